//! Floors: whatever the flood of others, each flow of work (a team's jobs of a
//! class) that waits for long has its part of the machines.
//!
//! There are two. A flow whose work has waited for half of the time that its
//! aims leave is entitled to a part of the machines, whatever the priority of
//! others: less than half of a class served makes a day worthless to the
//! operators. And a flow that is late spends a part on its oldest job:
//! otherwise a large job that can't be in time any more would wait as long as
//! smaller ones come.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use oliveshift_wire::{JobId, job::JobSpec};

/// The part of all machines that goes to the oldest jobs of late flows.
pub const LATE_FLOWS_SHARE: f64 = 0.15;
/// The part that flows which wait for long are entitled to, all together.
pub const LONG_WAITING_FLOWS_SHARE: f64 = 0.35;
/// For so long an entitlement is saved up, and for so long what a flow had
/// beyond it is held against it.
const MEMORY: Duration = Duration::from_secs(10);

/// A team's jobs of a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The team.
    pub team: Rc<str>,
    /// The class of jobs.
    pub class: Rc<str>,
}

impl Flow {
    /// The flow that a job belongs to.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.as_str().into(),
            class: spec.class.as_str().into(),
        }
    }
}

/// The oldest job of a flow that is late and has tasks that wait.
#[derive(Clone, Debug, PartialEq)]
pub struct OldestJob {
    /// Which.
    pub id: JobId,
    /// What is left of it: shares of the machines it fits, times seconds.
    pub work: f64,
}

/// Whose turn it is. A leader begins without debts of others.
#[derive(Debug, Default)]
pub struct MinimumShares {
    lanes: BTreeMap<Flow, Lane>,
    at: Duration,
    /// What each flow that waits for long may still have of its part, in
    /// seconds of all machines.
    entitled: BTreeMap<Flow, f64>,
    entitled_at: Duration,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

#[derive(Debug, Default)]
struct Lane {
    /// Work that it may still have; below 0: had before its time. It is never
    /// saved up.
    credit: f64,
    /// The job whose turn it is, until none of its tasks waits.
    turn: Option<JobId>,
}

impl MinimumShares {
    /// The flows that have had less than their part. `waiting` are those that
    /// wait for long, `given` is what each flow was given since the last time.
    pub fn flows_below_share(
        &mut self,
        now: Duration,
        waiting: &BTreeSet<Flow>,
        given: &BTreeMap<Flow, f64>,
    ) -> BTreeSet<Flow> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoMinimumShares) {
            return BTreeSet::new();
        }
        let passed = now.saturating_sub(self.entitled_at).as_secs_f64();
        self.entitled_at = now;
        let each = LONG_WAITING_FLOWS_SHARE / waiting.len().max(1) as f64;
        let most = each * MEMORY.as_secs_f64();
        self.entitled.retain(|flow, _| waiting.contains(flow));
        for flow in waiting {
            let credit = self.entitled.entry(flow.clone()).or_default();
            let had = given.get(flow).copied().unwrap_or(0.0);
            *credit = (*credit + each * passed - had).clamp(-most, most);
        }
        let short = self.entitled.iter().filter(|(_, credit)| **credit > 0.0);
        short.map(|(flow, _)| flow.clone()).collect()
    }

    /// The jobs whose turn it is, one of each flow that is late at most.
    /// `waits` tells whether a job still has tasks that wait.
    pub fn turns(
        &mut self,
        now: Duration,
        late: &BTreeMap<Flow, OldestJob>,
        waits: impl Fn(&JobId) -> bool,
    ) -> BTreeSet<JobId> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoMinimumShares) {
            return BTreeSet::new();
        }
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        for flow in late.keys() {
            self.lanes.entry(flow.clone()).or_default();
        }
        // Those in debt are owed nothing while they have nothing to wait for.
        let each = LATE_FLOWS_SHARE * passed / late.len().max(1) as f64;
        for (flow, lane) in &mut self.lanes {
            lane.credit = (lane.credit + each).min(0.0);
            lane.turn = lane.turn.take().filter(&waits);
            let Some(oldest) = late.get(flow) else {
                continue;
            };
            if lane.turn.is_none() && lane.credit >= 0.0 {
                lane.credit -= oldest.work;
                lane.turn = Some(oldest.id.clone());
            }
        }
        self.lanes
            .retain(|_, lane| lane.turn.is_some() || lane.credit < 0.0);
        self.lanes.values().filter_map(|l| l.turn.clone()).collect()
    }
}
