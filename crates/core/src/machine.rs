//! What a holder knows of a machine in its blocks.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

use oliveshift_wire::{TaskId, cloud::MachineType, worker::TaskReport};

use crate::{
    lease::{LeaseLimits, Silence, Tenure, WorkerLease},
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
    pub proven: bool,
    /// The lease of its worker: once over, all tasks of its last known session have
    /// stopped.
    pub lease: WorkerLease,
    /// When a message came last.
    pub heard: Option<Duration>,
    /// When we answered a report of its worker last, which renewed its lease.
    pub answered: Option<Duration>,
    /// When the cloud takes it away.
    pub taken_at: Option<Duration>,
    /// All tasks on it by its newest message.
    pub tasks: Vec<TaskReport>,
    /// Slots bound to it.
    pub bound: BTreeSet<TaskId>,
    /// Images that it most likely has, least recently used first.
    pub images: Vec<(String, f64)>,
    /// Direct orders under way; with the attempts that they start.
    pub ordering: bool,
    pub in_flight: Vec<(TaskId, u64)>,
    /// Attempts whose start was ordered directly without an answer: they may
    /// still start, so they must never be forgotten in this session.
    pub tainted: HashSet<(TaskId, u64)>,
    /// No direct orders before.
    pub order_at: Duration,
    /// Direct orders in a row that got no answer.
    pub unanswered: u32,
    /// Since when it has had no task.
    pub idle_since: Option<Duration>,
    /// Failures of tasks in a row, and of how many jobs.
    pub errors: u32,
    /// When the last failure was.
    pub error_at: Duration,
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
            proven: false,
            lease: WorkerLease::new(now),
            heard: None,
            answered: None,
            taken_at: None,
            tasks: Vec::new(),
            bound: BTreeSet::new(),
            images: Vec::new(),
            ordering: false,
            in_flight: Vec::new(),
            tainted: HashSet::new(),
            order_at: Duration::ZERO,
            unanswered: 0,
            idle_since: Some(now),
            errors: 0,
            error_at: Duration::ZERO,
            refused_at: None,
        }
    }

    /// Whether no task of an earlier holder can be on it unseen.
    pub fn settled(&self) -> bool {
        self.proven || self.lease.is_over()
    }

    /// How long it has been silent.
    pub fn silent(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard.unwrap_or(self.lease.since()))
    }

    /// Whether a start of the attempt may still arrive.
    pub fn may_start_late(&self, task: &TaskId, attempt: u64) -> bool {
        let same = |(t, a): &(TaskId, u64)| t == task && *a == attempt;
        self.in_flight.iter().any(same) || self.tainted.iter().any(same)
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
    pub fn faulty(&self) -> bool {
        self.errors >= 2
    }
}

/// Workers that have been silent for as long as their leases, by the names of their
/// machines, with the instants at which the leases were over.
#[derive(Debug, Default)]
pub(crate) struct SilentWorkers {
    /// Their leases are over for sure.
    pub over: Vec<(String, Duration)>,
    /// It is not proven that their blocks were ours until then.
    pub unproven: Vec<(String, Duration)>,
}

impl SilentWorkers {
    /// Those among the machines of our blocks.
    pub fn among(
        machines: &BTreeMap<String, Machine>,
        now: Duration,
        limits: &LeaseLimits,
        tenure: Tenure,
    ) -> Self {
        let mut silent = Self::default();
        for (name, machine) in machines.iter().filter(|(_, m)| !m.lease.is_over()) {
            match machine.lease.look(now, machine.proven, limits, tenure) {
                Silence::Nothing => {}
                Silence::Unproven(at) => silent.unproven.push((name.clone(), at)),
                Silence::LeaseOver(at) => silent.over.push((name.clone(), at)),
            }
        }
        silent
    }

    /// The same as if all were proven.
    #[cfg(feature = "sabotage")]
    pub fn trusted(mut self) -> Self {
        self.over.append(&mut self.unproven);
        self
    }
}
