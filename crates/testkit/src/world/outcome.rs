//! What came of a simulated day.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    job::{JobSpec, Shape},
};

use crate::{
    evidence::Evidence, net::ConnectionCounts, rules::RuleViolation, upper_bound::JobCounts,
};

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<(Duration, RuleViolation, String)>,
    /// Accepted jobs that should have ended and did not.
    pub open: Vec<JobId>,
    /// Tasks that ended with their machine or with the lease of their worker.
    pub lost: usize,
    /// Tasks started.
    pub started: u64,
    /// Which, and when.
    pub starts: Vec<(Duration, TaskId)>,
    /// All jobs that were submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    /// Jobs accepted, however they ended.
    pub accepted: usize,
    /// The longest that a worker waited for an answer to a report.
    pub slowest_report_answer: Duration,
    /// What the controllers asked of the outside.
    pub load: Load,
    /// Transactions that the state service refused for their size, and as too
    /// many.
    pub refused_writes: (usize, usize),
    /// Jobs that were refused when they were submitted.
    pub refused_jobs: BTreeSet<JobId>,
    /// What came of connections.
    pub sockets: ConnectionCounts,
    /// When each job that is done had its last task done.
    pub ended: BTreeMap<JobId, Duration>,
    /// How often submissions were refused for what is open already.
    pub admission_refusals: usize,
    /// How often users were told to come again, for whatever reason.
    pub temporary_refusals: usize,
    /// Jobs that their users asked to cancel.
    pub cancelled: BTreeSet<JobId>,
    /// When each user came first.
    pub submitted_at: BTreeMap<JobId, Duration>,
    /// What machines of each size had in processors at most: of each, of all.
    pub max_cpus_by_machine_size: BTreeMap<u32, f64>,
    /// What really came about.
    pub evidence: Evidence,
    /// Tasks started after their user was told that the job is cancelled.
    pub late_starts: usize,
    /// When a team was within one task of its limit.
    pub at_limit: Vec<(Duration, String)>,
    /// When each task that is done was.
    pub ends: Vec<(Duration, TaskId)>,
}

impl Outcome {
    /// The longest that a job which was not called off had to wait until its first
    /// task started, and which one it was.
    pub fn longest_start_delay(&self) -> Option<(Duration, JobId)> {
        let mut first: BTreeMap<&JobId, Duration> = BTreeMap::new();
        for (at, task) in &self.starts {
            first.entry(&task.job).or_insert(*at);
        }
        let begun = first
            .iter()
            .filter(|(id, _)| !self.cancelled.contains(**id));
        let waits = begun.map(|(id, at)| {
            let came = self.submitted_at.get(*id).copied().unwrap_or_default();
            (at.saturating_sub(came), (*id).clone())
        });
        waits.max()
    }

    /// What was served until `end`, by class and by `team NAME`: services not
    /// among it, as they don't end, and neither what was cancelled.
    pub fn served(
        &self,
        end: Duration,
        due: impl Fn(&JobSpec) -> Duration,
    ) -> BTreeMap<String, JobCounts> {
        let mut sums: BTreeMap<String, JobCounts> = BTreeMap::new();
        let jobs = self.jobs.iter().filter(|(_, s)| s.shape != Shape::Service);
        for (id, spec) in jobs.filter(|(id, _)| !self.cancelled.contains(*id)) {
            let ended = self.ended.get(id).filter(|at| **at <= end);
            let came = self.submitted_at.get(id).copied().unwrap_or_default();
            for key in [spec.class.clone(), format!("team {}", spec.team)] {
                let sum = sums.entry(key).or_default();
                sum.submitted += 1;
                sum.done += u32::from(ended.is_some());
                let in_time = ended.is_some_and(|at| *at <= came + due(spec));
                sum.in_time += u32::from(in_time);
            }
        }
        sums
    }
}

/// Counts of what the controllers send.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests to the state service, by second.
    pub requests: BTreeMap<u64, usize>,
    /// Changes in transactions, by second.
    pub writes: BTreeMap<u64, usize>,
    /// Bytes told to peers.
    pub peer_bytes: usize,
    /// Direct orders to workers.
    pub orders: usize,
}
