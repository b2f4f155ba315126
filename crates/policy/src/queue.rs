//! The order in which waiting jobs are served.

use oliveshift_wire::job::{Amounts, Priority};

/// After this many times the last moment that its aims allow, a job is no
/// longer put behind others for having missed it.
const TURN: f64 = 3.0;

/// A team's guarantee and limit; 0: none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// Guaranteed processors and accelerators.
    pub guarantee: (f64, f64),
    /// Most processors and accelerators; 0: no limit.
    pub limit: (f64, f64),
}

impl Share {
    /// Whether `used` keeps to the limit.
    pub fn allows(&self, used: &Amounts) -> bool {
        let within = |used: f64, limit: f64| limit <= 0.0 || used <= limit + 1e-6;
        within(used.cpus, self.limit.0) && within(used.gpus, self.limit.1)
    }

    /// Whether `wanted` lies within the guarantee.
    pub fn guarantees(&self, wanted: &Amounts) -> bool {
        wanted.cpus <= self.guarantee.0 + 1e-6 && wanted.gpus <= self.guarantee.1 + 1e-6
    }
}

/// What a job's place in the queue depends on. Ordered: the smallest goes
/// first.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    /// Services in production come before all else, as people look at them.
    pub behind_production: bool,
    /// Then work within a guarantee, which must not wait for borrowers.
    pub borrowed: bool,
    /// Then by priority.
    pub priority: Priority,
    /// Then by how many of its aims can't be kept any more: when not all can
    /// be served in time, those go first who still can.
    pub missed: u32,
    /// Then by arrival, or by the latest start that a deadline allows.
    pub order_ms: u64,
}

impl Rank {
    /// The rank of a job.
    pub fn new(priority: Priority, guaranteed: bool, missed: u32, order_ms: u64) -> Self {
        Self {
            behind_production: priority != Priority::Production,
            borrowed: !guaranteed,
            priority,
            missed,
            order_ms,
        }
    }
}

/// How many of the latest moments to start, in seconds after its arrival, a
/// job has missed. One that has waited for long comes to its turn all the same.
pub fn missed(waited_s: f64, latest_s: &[f64]) -> u32 {
    let last = latest_s.iter().copied().fold(0.0, f64::max);
    if waited_s > last * TURN {
        return 0;
    }
    latest_s.iter().filter(|at| waited_s > **at).count() as u32
}

/// Whether `victim` may be stopped to make room for `wanting`: for a higher
/// priority, or because it was lent beyond its own team's guarantee while the
/// other team claims what it is guaranteed.
pub fn may_preempt(
    wanting: Priority,
    wanting_guaranteed: bool,
    victim: Priority,
    victim_borrowed: bool,
    same_team: bool,
) -> bool {
    wanting < victim || (wanting_guaranteed && victim_borrowed && !same_team)
}
