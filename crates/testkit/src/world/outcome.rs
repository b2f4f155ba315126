//! The outcome of a simulated run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    job::{JobSpec, Shape},
    worker::{Report, TaskReport, TaskState},
};

use crate::{
    evidence::Evidence, net::ConnectionCounts, rules::RuleViolation, upper_bound::JobCounts,
};

/// The outcome of a simulated run.
#[derive(Debug)]
pub struct Outcome {
    /// Violations of the protocol's rules.
    pub violations: Vec<(Duration, RuleViolation, String)>,
    /// Accepted jobs of whose end no user was informed; services are left out.
    pub open: Vec<JobId>,
    /// Tasks that ended with their machine or with the lease of their worker.
    pub lost: usize,
    /// Number of tasks started.
    pub started: u64,
    /// Each task start with its time.
    pub starts: Vec<(Duration, TaskId)>,
    /// All jobs that were submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    /// Number of accepted jobs, however they ended.
    pub accepted: usize,
    /// Longest time from a report of a worker to its answer.
    pub slowest_report_answer: Duration,
    /// Calls of the controllers to the state service, peers and workers.
    pub load: Load,
    /// Transactions that the state service refused for their size, and for exceeding
    /// its rate limit.
    pub refused_writes: (usize, usize),
    /// Jobs that were refused permanently at submission.
    pub refused_jobs: BTreeSet<JobId>,
    /// Statistics of connections.
    pub sockets: ConnectionCounts,
    /// When the last task of each completed job was done.
    pub ended: BTreeMap<JobId, Duration>,
    /// Number of refusals with a retry delay of more than 1 s, which submissions get
    /// when too much work is open.
    pub admission_refusals: usize,
    /// Number of answers to users that were neither a success nor a permanent refusal.
    pub temporary_refusals: usize,
    /// Jobs whose users requested their cancellation.
    pub cancelled: BTreeSet<JobId>,
    /// When each user first submits its job.
    pub submitted_at: BTreeMap<JobId, Duration>,
    /// Highest total of processors that the running machines of each size had at one
    /// time, by processors of one machine.
    pub max_cpus_by_machine_size: BTreeMap<u32, f64>,
    /// Evidence that the scripted situations occurred.
    pub evidence: Evidence,
    /// Number of tasks started after a user was informed that the job is cancelled.
    pub late_starts: usize,
    /// When a team was within one task of its limit.
    pub at_limit: Vec<(Duration, String)>,
    /// Each task completion with its time.
    pub ends: Vec<(Duration, TaskId)>,
}

impl Outcome {
    /// Longest time from the submission of a job to the start of its first task, and
    /// that job. Jobs whose cancellation was requested are left out.
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

    /// Counts submitted jobs, jobs completed by `end` and jobs completed in time, by
    /// class and by `team NAME`. Services, which don't end, and jobs whose cancellation
    /// was requested are left out.
    pub fn job_counts(
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

/// Counts of the calls that the controllers send.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Calls to the state service, by second.
    pub requests: BTreeMap<u64, usize>,
    /// Changes in transactions, by second.
    pub writes: BTreeMap<u64, usize>,
    /// Bytes of the bodies of calls to peers.
    pub peer_bytes: usize,
    /// Calls to workers: direct orders and inspections.
    pub orders: usize,
    /// Number of reports that workers sent.
    pub reports: usize,
    /// Bytes of their bodies.
    pub report_bytes: usize,
    /// Largest body of a report.
    pub max_report_bytes: usize,
    /// Largest number of ended tasks that a report listed.
    pub max_ended_listed: usize,
}

impl Load {
    /// Records a report that a worker sends.
    pub(super) fn record_report(&mut self, report: &Report, bytes: usize) {
        let ended = |entry: &&TaskReport| entry.state == TaskState::Exited;
        let ended = report.tasks.iter().filter(ended).count();
        self.reports += 1;
        self.report_bytes += bytes;
        self.max_report_bytes = self.max_report_bytes.max(bytes);
        self.max_ended_listed = self.max_ended_listed.max(ended);
    }
}
