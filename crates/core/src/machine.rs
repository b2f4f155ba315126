//! State that a holder keeps of each machine in its blocks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    TaskId,
    cloud::MachineType,
    worker::{TaskReport, TaskState},
};

use crate::{
    fencing::{DirectStarts, LeaseTokens, MAX_RETAINED_ATTEMPTS},
    lease::{LeaseLimits, LeaseStatus, Tenure, WorkerLease},
    records::{BlockId, MachineRecord, Term},
};

/// A machine of a held block.
#[derive(Debug)]
pub(crate) struct Machine {
    pub record: MachineRecord,
    pub block: BlockId,
    /// The term under which this controller holds the block.
    pub term: Term,
    /// Number of attempts that this controller had given out when the machine was added.
    pub attempts_before: u64,
    /// Session and sequence number of the worker's newest message; 0 before the first.
    pub session: u64,
    pub seq: u64,
    /// The fencing token in the worker's newest message.
    pub token: u64,
    /// The fencing token that orders to the worker carry: of this controller's lease of the
    /// block.
    pub order_token: u64,
    /// The worker has reported a token of this controller's lease. Orders of earlier
    /// holders can no longer take effect, and attempts that it does not list are not
    /// on the machine.
    pub term_acknowledged: bool,
    /// The worker's lease. Once it has expired, all tasks of the last known session have
    /// stopped.
    pub lease: WorkerLease,
    /// When the worker's last message was received.
    pub last_message_at: Option<Duration>,
    /// When the worker's last report was answered, which renewed its lease.
    pub last_answer_at: Option<Duration>,
    /// When the cloud reclaims the machine.
    pub reclaimed_at: Option<Duration>,
    /// All tasks that the newest message lists.
    pub tasks: Vec<TaskReport>,
    /// Assigned tasks that are bound to the machine.
    pub bound_tasks: BTreeSet<TaskId>,
    /// Images that are probably cached on the machine, with their sizes in GB, least
    /// recently used first.
    pub images: Vec<(String, f64)>,
    /// Direct orders are in flight.
    pub orders_in_flight: bool,
    /// Starts sent with direct orders, answered or not.
    pub direct_starts: DirectStarts,
    /// Earliest time for the next direct orders.
    pub next_orders_at: Duration,
    /// Number of consecutive direct orders without an answer.
    pub unanswered_orders: u32,
    /// Since when the machine has had no task.
    pub idle_since: Option<Duration>,
    /// Consecutive task failures attributed to the machine.
    pub consecutive_failures: u32,
    /// Time of the last of them.
    pub last_failure_at: Duration,
    /// When the machine last refused a start for lack of room: it has tasks that this
    /// controller does not know of.
    pub refused_at: Option<Duration>,
}

impl Machine {
    pub fn new(record: MachineRecord, term: Term, now: Duration) -> Self {
        Self {
            block: record.block,
            record,
            term,
            attempts_before: 0,
            session: 0,
            seq: 0,
            token: 0,
            order_token: term,
            term_acknowledged: false,
            lease: WorkerLease::new(now),
            last_message_at: None,
            last_answer_at: None,
            reclaimed_at: None,
            tasks: Vec::new(),
            bound_tasks: BTreeSet::new(),
            images: Vec::new(),
            orders_in_flight: false,
            direct_starts: DirectStarts::default(),
            next_orders_at: Duration::ZERO,
            unanswered_orders: 0,
            idle_since: Some(now),
            consecutive_failures: 0,
            last_failure_at: Duration::ZERO,
            refused_at: None,
        }
    }

    /// Whether no attempt started by an earlier holder can run unseen on the machine.
    pub fn is_cleared(&self) -> bool {
        self.term_acknowledged || self.lease.is_expired()
    }

    /// Time since the worker's last message, or since the machine is known if there was
    /// none.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_message_at.unwrap_or(self.lease.since()))
    }

    /// Number of ended attempts that the worker must not forget under the present token, as a
    /// late copy of their direct start would run them again.
    pub fn retained_attempts(&self) -> usize {
        let is_retained = |entry: &&TaskReport| {
            entry.state == TaskState::Exited && self.direct_starts.may_pass(entry, self.order_token)
        };
        self.tasks.iter().filter(is_retained).count()
    }

    /// Whether starts may be sent with direct orders. Those sent with answers to reports never
    /// arrive late.
    pub fn allows_direct_starts(&self) -> bool {
        self.retained_attempts() < MAX_RETAINED_ATTEMPTS
    }

    /// Raises the token of orders, if one is available. Direct orders in flight carry the
    /// present token and would be rejected.
    pub fn raise_order_token(&mut self, tokens: LeaseTokens) {
        if self.orders_in_flight {
            return;
        }
        if let Some(token) = tokens.above(self.order_token) {
            self.order_token = token;
        }
    }

    /// Records an image as cached and most recently used; evicts the least recently used
    /// ones beyond the size of the cache.
    pub fn note_image(&mut self, name: &str, gb: f64, kind: Option<&MachineType>) {
        self.images.retain(|(n, _)| n != name);
        self.images.push((name.to_owned(), gb));
        let room = kind.map_or(f64::INFINITY, |k| k.cache_gb);
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > room {
            self.images.remove(0);
        }
    }

    /// Whether the image is probably cached on the machine.
    pub fn has_image(&self, name: &str) -> bool {
        self.images.iter().any(|(n, _)| n == name)
    }

    /// Whether at least two tasks in a row have failed on the machine.
    pub fn is_faulty(&self) -> bool {
        self.consecutive_failures >= 2
    }
}

/// Workers that have been silent for longer than their leases: names of their machines
/// and times at which the leases expired.
#[derive(Debug, Default)]
pub(crate) struct SilentWorkers {
    /// Their leases have certainly expired.
    pub expired: Vec<(String, Duration)>,
    /// It is not proven that this controller held their blocks until then, so another
    /// holder may have renewed the leases.
    pub unconfirmed: Vec<(String, Duration)>,
}

impl SilentWorkers {
    /// Finds the silent workers among the machines of held blocks.
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

    /// Counts unconfirmed leases as expired; for fault injection.
    #[cfg(feature = "sabotage")]
    pub fn treat_all_as_expired(mut self) -> Self {
        self.expired.append(&mut self.unconfirmed);
        self
    }
}
