//! What a holder knows of a machine in its blocks.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

use oliveshift_wire::{TaskId, cloud::MachineType, worker::TaskReport};

use crate::{
    lease::{LeaseLimits, LeaseStatus, Tenure, WorkerLease},
    records::{BlockId, MachineRecord, Term},
};

/// A machine of a block that we hold.
#[derive(Debug)]
pub(crate) struct Machine {
    pub record: MachineRecord,
    pub block: BlockId,
    /// The term under which we know it.
    pub term: Term,
    /// The newest message's session and number; 0: none yet.
    pub session: u64,
    pub seq: u64,
    /// The highest token that its worker has shown.
    pub token: u64,
    /// A newest report has shown our term: what earlier holders have sent can
    /// no longer take effect, and what it does not list is not there.
    pub term_acknowledged: bool,
    /// The lease of its worker: once over, all tasks of its last known session have
    /// stopped.
    pub lease: WorkerLease,
    /// When a message came last.
    pub last_message_at: Option<Duration>,
    /// When we answered a report of its worker last, which renewed its lease.
    pub last_answer_at: Option<Duration>,
    /// When the cloud takes it away.
    pub reclaimed_at: Option<Duration>,
    /// All tasks on it by its newest message.
    pub tasks: Vec<TaskReport>,
    /// Slots bound to it.
    pub bound_tasks: BTreeSet<TaskId>,
    /// Images that it most likely has, least recently used first.
    pub images: Vec<(String, f64)>,
    /// Direct orders under way; with the attempts that they start.
    pub orders_in_flight: bool,
    pub starts_in_flight: Vec<(TaskId, u64)>,
    /// Attempts whose start was ordered directly without an answer: they may
    /// still start, so they must never be forgotten in this session.
    pub unanswered_starts: HashSet<(TaskId, u64)>,
    /// No direct orders before.
    pub next_orders_at: Duration,
    /// Direct orders in a row that got no answer.
    pub unanswered_orders: u32,
    /// Since when it has had no task.
    pub idle_since: Option<Duration>,
    /// Failures of tasks in a row, and of how many jobs.
    pub consecutive_failures: u32,
    /// When the last failure was.
    pub last_failure_at: Duration,
    /// It refused starts for lack of room: tasks that we don't know of.
    pub refused_at: Option<Duration>,
}

impl Machine {
    pub fn new(record: MachineRecord, term: Term, now: Duration) -> Self {
        Self {
            block: record.block,
            record,
            term,
            session: 0,
            seq: 0,
            token: 0,
            term_acknowledged: false,
            lease: WorkerLease::new(now),
            last_message_at: None,
            last_answer_at: None,
            reclaimed_at: None,
            tasks: Vec::new(),
            bound_tasks: BTreeSet::new(),
            images: Vec::new(),
            orders_in_flight: false,
            starts_in_flight: Vec::new(),
            unanswered_starts: HashSet::new(),
            next_orders_at: Duration::ZERO,
            unanswered_orders: 0,
            idle_since: Some(now),
            consecutive_failures: 0,
            last_failure_at: Duration::ZERO,
            refused_at: None,
        }
    }

    /// Whether no task of an earlier holder can be on it unseen.
    pub fn is_cleared(&self) -> bool {
        self.term_acknowledged || self.lease.is_expired()
    }

    /// How long it has been silent.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_message_at.unwrap_or(self.lease.since()))
    }

    /// Whether a start of the attempt may still arrive.
    pub fn may_start_late(&self, task: &TaskId, attempt: u64) -> bool {
        let same = |(t, a): &(TaskId, u64)| t == task && *a == attempt;
        self.starts_in_flight.iter().any(same) || self.unanswered_starts.iter().any(same)
    }

    /// Notes that it has an image, as the most recently used one.
    pub fn note_image(&mut self, name: &str, gb: f64, kind: Option<&MachineType>) {
        self.images.retain(|(n, _)| n != name);
        self.images.push((name.to_owned(), gb));
        let room = kind.map_or(f64::INFINITY, |k| k.cache_gb);
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > room {
            self.images.remove(0);
        }
    }

    /// Whether it most likely has an image.
    pub fn has_image(&self, name: &str) -> bool {
        self.images.iter().any(|(n, _)| n == name)
    }

    /// Whether several tasks in a row have failed on it lately.
    pub fn is_faulty(&self) -> bool {
        self.consecutive_failures >= 2
    }
}

/// Workers that have been silent for as long as their leases, by the names of their
/// machines, with the instants at which the leases were over.
#[derive(Debug, Default)]
pub(crate) struct SilentWorkers {
    /// Their leases are over for sure.
    pub expired: Vec<(String, Duration)>,
    /// It is not proven that their blocks were ours until then.
    pub unconfirmed: Vec<(String, Duration)>,
}

impl SilentWorkers {
    /// Those among the machines of our blocks.
    pub fn find(
        machines: &BTreeMap<String, Machine>,
        now: Duration,
        limits: &LeaseLimits,
        tenure: Tenure,
    ) -> Self {
        let mut silent = Self::default();
        for (name, machine) in machines.iter().filter(|(_, m)| !m.lease.is_expired()) {
            match machine
                .lease
                .status(now, machine.term_acknowledged, limits, tenure)
            {
                LeaseStatus::Valid => {}
                LeaseStatus::Unconfirmed(at) => silent.unconfirmed.push((name.clone(), at)),
                LeaseStatus::Expired(at) => silent.expired.push((name.clone(), at)),
            }
        }
        silent
    }

    /// The same as if all were proven.
    #[cfg(feature = "sabotage")]
    pub fn treat_all_as_expired(mut self) -> Self {
        self.expired.append(&mut self.unconfirmed);
        self
    }
}
