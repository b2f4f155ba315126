//! Teams' guarantees and limits, and which tasks may be preempted. The order in which
//! waiting jobs are served is in [`triage`](crate::triage).

use oliveshift_wire::job::{Priority, Resources};

/// A team's guarantee and limit; 0: none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Quota {
    /// Guaranteed processors and accelerators.
    pub guarantee: (f64, f64),
    /// Maximum processors and accelerators; 0: no limit.
    pub limit: (f64, f64),
}

impl Quota {
    /// Whether `used` is within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        let within = |used: f64, limit: f64| limit <= 0.0 || used <= limit + 1e-6;
        within(used.cpus, self.limit.0) && within(used.gpus, self.limit.1)
    }

    /// Whether `wanted` is within the guarantee.
    pub fn guarantees(&self, wanted: &Resources) -> bool {
        wanted.cpus <= self.guarantee.0 + 1e-6 && wanted.gpus <= self.guarantee.1 + 1e-6
    }
}

/// Whether a task of priority `victim` may be stopped for one of priority `wanting`: for a
/// higher priority, or because the victim was started beyond its own team's guarantee while
/// the other team claims what it is guaranteed.
pub fn may_preempt(
    wanting: Priority,
    wanting_guaranteed: bool,
    victim: Priority,
    victim_borrowed: bool,
    same_team: bool,
) -> bool {
    wanting < victim || (wanting_guaranteed && victim_borrowed && !same_team)
}
