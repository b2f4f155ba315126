//! Minimum shares: each flow (a team's jobs of one class) that has waited for long gets a
//! part of the machines, however much other work there is.
//!
//! There are two of them. A flow whose work has waited for half of the time that its
//! objectives allow is entitled to a part of the machines regardless of priorities, because
//! a day on which less than half of a class is served has no value to the operators. And a
//! late flow spends a part on its oldest job, because a large job that can't be in time any
//! more would otherwise wait as long as smaller ones arrive.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use oliveshift_wire::{JobId, job::JobSpec};

/// Share of all machines that goes to the oldest jobs of late flows.
pub const LATE_FLOWS_SHARE: f64 = 0.15;
/// Share that all flows that have waited for long are entitled to together.
pub const LONG_WAITING_FLOWS_SHARE: f64 = 0.35;
/// Window over which an unused entitlement accumulates, and over which use beyond it is
/// counted against the flow.
const CREDIT_WINDOW: Duration = Duration::from_secs(10);

/// A team's jobs of one class.
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

/// The oldest job with waiting tasks of a late flow.
#[derive(Clone, Debug, PartialEq)]
pub struct OldestJob {
    /// Its id.
    pub id: JobId,
    /// Its remaining work: the share of the machines that it fits on, times seconds.
    pub work: f64,
}

/// Credit and turns of flows. A new leader starts without the debts counted by the former
/// one.
#[derive(Debug, Default)]
pub struct MinimumShares {
    flows: BTreeMap<Flow, FlowCredit>,
    updated_at: Duration,
    /// Remaining entitlement of each flow that has waited for long, in seconds of all
    /// machines.
    entitlements: BTreeMap<Flow, f64>,
    entitlements_at: Duration,
    /// The fault injected by a test.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

#[derive(Debug, Default)]
struct FlowCredit {
    /// Work that the flow may still get; below 0 if it got work in advance. Credit is never
    /// accumulated above 0.
    credit: f64,
    /// The job that has the turn, until none of its tasks waits.
    turn: Option<JobId>,
}

impl MinimumShares {
    /// The flows that got less than their share. `waiting` are the flows that have waited
    /// for long, `received_by_flow` is what each flow got since the last call.
    pub fn flows_below_share(
        &mut self,
        now: Duration,
        waiting: &BTreeSet<Flow>,
        received_by_flow: &BTreeMap<Flow, f64>,
    ) -> BTreeSet<Flow> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoMinimumShares) {
            return BTreeSet::new();
        }
        let passed = now.saturating_sub(self.entitlements_at).as_secs_f64();
        self.entitlements_at = now;
        let share = LONG_WAITING_FLOWS_SHARE / waiting.len().max(1) as f64;
        let max_credit = share * CREDIT_WINDOW.as_secs_f64();
        self.entitlements.retain(|flow, _| waiting.contains(flow));
        for flow in waiting {
            let credit = self.entitlements.entry(flow.clone()).or_default();
            let received = received_by_flow.get(flow).copied().unwrap_or(0.0);
            *credit = (*credit + share * passed - received).clamp(-max_credit, max_credit);
        }
        let below_share = self
            .entitlements
            .iter()
            .filter(|(_, credit)| **credit > 0.0);
        below_share.map(|(flow, _)| flow.clone()).collect()
    }

    /// The jobs that have a turn, at most one for each late flow. `waits` returns whether a
    /// job still has waiting tasks.
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
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        for flow in late.keys() {
            self.flows.entry(flow.clone()).or_default();
        }
        // The share is divided by the number of late flows only: flows in debt that are not
        // late do not reduce it.
        let share = LATE_FLOWS_SHARE * passed / late.len().max(1) as f64;
        for (flow, flow_credit) in &mut self.flows {
            flow_credit.credit = (flow_credit.credit + share).min(0.0);
            flow_credit.turn = flow_credit.turn.take().filter(&waits);
            let Some(oldest) = late.get(flow) else {
                continue;
            };
            if flow_credit.turn.is_none() && flow_credit.credit >= 0.0 {
                flow_credit.credit -= oldest.work;
                flow_credit.turn = Some(oldest.id.clone());
            }
        }
        self.flows
            .retain(|_, flow_credit| flow_credit.turn.is_some() || flow_credit.credit < 0.0);
        self.flows.values().filter_map(|l| l.turn.clone()).collect()
    }
}
