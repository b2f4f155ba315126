//! Admission control by shares that the leader grants to the controllers.
//!
//! A job is refused here for one reason only: the open work already fills the
//! admission horizon. Accepted jobs have to be stored and run, so the queue must
//! stay bounded. The leader writes one admission record that gives each controller
//! a share of the remaining work for each flow (a team's jobs of a class), divided
//! so that no flow takes the capacity of the others. A controller spends its shares
//! without further coordination.
//!
//! A share is spent by a write that has the record's version as a condition. The
//! next record therefore ends all earlier shares at the same instant for all
//! controllers, whether or not they have seen it, and the leader that writes it
//! counts everything that may have been admitted until then as admitted. No share
//! is granted twice, not even across a change of leader.
//!
//! Amounts are seconds of the whole fleet: the fraction of the fleet that a job's
//! tasks use when all run at once, times their run time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_policy::fair_share::max_min;
use oliveshift_wire::{
    JobId,
    job::{JobSpec, Resources, Shape},
};
use serde::{Deserialize, Serialize};

use crate::{
    minimum_shares::Flow,
    queue_order::{QueueOrder, dominant_share},
    records::Phase,
    view::View,
};

/// Fraction of the horizon that open work must fill before admission is limited.
/// Below it no job is refused and no share is needed.
const LIMITING_START_FRACTION: f64 = 0.75;
/// Fraction of the horizon below which limiting ends again.
const LIMITING_END_FRACTION: f64 = 0.4;
/// A flow may have at most this many times the free work open.
const FLOW_THRESHOLD_FACTOR: f64 = 2.0;
/// A share below this fraction of the horizon is set to zero, because an unspent
/// share above zero admits one job that is larger than the share.
const MIN_SHARE_FRACTION: f64 = 0.0005;
/// Fraction of the horizon that is reserved for the case that the shares are spent
/// and no leader renews the record.
const RESERVE_FRACTION: f64 = 0.05;
/// Minimum time between two admission records.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(1000);
/// Age above which the record counts as no longer renewed, so that the reserve may
/// be spent.
const RECORD_STALE_TIMEOUT: Duration = Duration::from_secs(6);
/// Limit of open jobs, because every controller keeps all of them in memory. Each
/// job counts for at least this part of the horizon.
const MAX_OPEN_JOBS: f64 = 12_000.0;
/// Bounds of the retry time given to a refused submission.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// How long a retry slot is kept after its time.
const RETRY_SLOT_GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Maximum number of retry slots kept.
const MAX_RETRY_SLOTS: usize = 1000;

/// The record under the key `admission`: the shares of all controllers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// The controllers that have shares, each with its incarnation: a restarted
    /// controller does not know what it has spent.
    pub nodes: Vec<(String, u64)>,
    /// Capacity of the fleet by which jobs are measured: processors, accelerators,
    /// GB of memory.
    pub fleet: [f64; 3],
    /// The horizon in seconds.
    pub horizon_s: f64,
    /// Each controller's share, by flow.
    pub flows: Vec<FlowShare>,
    /// Each controller's common share for all flows that are not listed.
    pub other_s: f64,
    /// What each controller may admit in addition, of any flow, once a share is
    /// spent and the record is no longer renewed.
    pub reserve_s: f64,
}

/// A flow's share for each controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowShare {
    /// The team.
    pub team: String,
    /// The class of jobs.
    pub class: String,
    /// The share, in seconds of the whole fleet.
    pub share_s: f64,
    /// Rate at which the flow completes work: seconds of the whole fleet per second.
    pub drain: f64,
}

impl FlowShare {
    fn flow(&self) -> Flow {
        Flow {
            team: self.team.as_str().into(),
            class: self.class.as_str().into(),
        }
    }
}

impl AdmissionRecord {
    /// Whether admission is limited under this record.
    pub fn is_limiting(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Work of a job, in seconds of the whole fleet.
    pub fn work_s(&self, spec: &JobSpec) -> f64 {
        work_s(spec, spec.tasks, self.fleet, self.horizon_s)
    }

    fn flow(&self, flow: &Flow) -> Option<&FlowShare> {
        let mut flows = self.flows.iter();
        flows.find(|f| *f.team == *flow.team && *f.class == *flow.class)
    }

    /// Sum of all shares and reserves of all controllers. One job may exceed each
    /// share; that excess is not included.
    pub fn total_s(&self) -> f64 {
        let flows: f64 = self.flows.iter().map(|f| f.share_s).sum();
        (flows + self.other_s + self.reserve_s) * self.nodes.len() as f64
    }
}

/// Work of this many tasks of a job, in seconds of the given fleet.
pub(crate) fn work_s(spec: &JobSpec, tasks: u32, fleet: [f64; 3], horizon_s: f64) -> f64 {
    let [cpus, gpus, memory_gb] = fleet;
    let fleet = Resources {
        cpus,
        gpus,
        memory_gb,
    };
    let run_s = dominant_share(&spec.resources(), &fleet) * f64::from(tasks) * spec.estimate_s;
    run_s.max(horizon_s / MAX_OPEN_JOBS)
}

/// Whether a job needs an admission share. Services do not: they are few, serve
/// people directly and preempt other work, so only their team's limit applies.
pub(crate) fn needs_share(spec: &JobSpec) -> bool {
    spec.shape != Shape::Service
}

/// The decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Admitted, whatever the admission record is by the time of the write.
    Unrestricted,
    /// Admitted on condition that the admission record still has this version.
    IfVersion(u64),
    /// Refused; to be submitted again after this time.
    RetryAfter(Duration),
}

/// Work held back for a refused submission that is expected to be retried.
#[derive(Debug)]
struct RetrySlot {
    flow: Flow,
    work_s: f64,
    at: Duration,
}

/// What a controller has spent of its shares, and the retry slots that it has assigned.
#[derive(Debug, Default)]
pub struct AdmissionShares {
    /// Version of the admission record that the shares belong to.
    version: u64,
    /// When this version was first used.
    since: Duration,
    /// Work admitted under this version: by flow, of other flows, from the reserve.
    spent: BTreeMap<Flow, f64>,
    other_spent: f64,
    reserve_spent: f64,
    retry_slots: BTreeMap<JobId, RetrySlot>,
    /// Time of the last retry slot of each flow.
    last_retry_at: BTreeMap<Flow, Duration>,
    /// Fault injected by tests.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl AdmissionShares {
    /// Decides whether a job is admitted now, and spends its share. `record` is the
    /// newest record that this controller has seen; `node` is its name and
    /// incarnation.
    pub fn admit(
        &mut self,
        now: Duration,
        node: (&str, u64),
        record: Option<(u64, &AdmissionRecord)>,
        spec: &JobSpec,
    ) -> AdmissionDecision {
        let Some((version, record)) = record.filter(|(_, r)| r.is_limiting()) else {
            self.retry_slots.clear();
            return AdmissionDecision::Unrestricted;
        };
        if !needs_share(spec) {
            return AdmissionDecision::Unrestricted;
        }
        self.reset_on_new_version(now, version);
        if !record
            .nodes
            .iter()
            .any(|(name, life)| (name.as_str(), *life) == node)
        {
            // This incarnation has just started: the next record has a share for it.
            return AdmissionDecision::RetryAfter(MIN_RETRY_DELAY);
        }
        let work = record.work_s(spec);
        let flow = self.share_flow(record, Flow::of(spec));
        let own_slot_due = self.retry_slots.get(&spec.id).is_some_and(|k| now >= k.at);
        let held = if own_slot_due {
            0.0
        } else {
            self.held_work_s(&flow, now)
        };
        let (share, spent) = match record.flow(&flow) {
            Some(f) => (f.share_s, self.spent.get(&flow).copied().unwrap_or(0.0)),
            None => (record.other_s, self.other_spent),
        };
        // A job that is larger than its share is admitted while the share is unspent.
        let fits = spent + work + held <= share + 1e-9;
        let large = spent <= 0.0 && held <= 0.0 && share > 0.0;
        if fits || large {
            self.spend(record, &flow, work);
            self.retry_slots.remove(&spec.id);
            return AdmissionDecision::IfVersion(version);
        }
        let stale = now > self.since + RECORD_STALE_TIMEOUT;
        if stale && self.reserve_spent + work <= record.reserve_s + 1e-9 {
            self.reserve_spent += work;
            self.retry_slots.remove(&spec.id);
            return AdmissionDecision::IfVersion(version);
        }
        AdmissionDecision::RetryAfter(self.assign_retry(now, record, flow, work, &spec.id))
    }

    /// Returns the share of a job that was admitted under this version but not written.
    pub fn refund(&mut self, version: u64, record: Option<&AdmissionRecord>, spec: &JobSpec) {
        let Some(record) = record.filter(|_| version == self.version) else {
            return;
        };
        let work = record.work_s(spec);
        let flow = self.share_flow(record, Flow::of(spec));
        self.spend(record, &flow, -work);
    }

    fn spend(&mut self, record: &AdmissionRecord, flow: &Flow, work: f64) {
        let spent = match record.flow(flow) {
            Some(_) => self.spent.entry(flow.clone()).or_default(),
            None => &mut self.other_spent,
        };
        *spent = (*spent + work).max(0.0);
    }

    fn reset_on_new_version(&mut self, now: Duration, version: u64) {
        if self.version != version {
            self.version = version;
            self.since = now;
            self.spent.clear();
            self.other_spent = 0.0;
            self.reserve_spent = 0.0;
        }
        self.retry_slots
            .retain(|_, slot| now <= slot.at + RETRY_SLOT_GRACE_PERIOD);
    }

    /// The flow whose share is spent: the job's own, except under fault injection.
    fn share_flow(&self, record: &AdmissionRecord, flow: Flow) -> Flow {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoFlows)
            && let Some(first) = record.flows.first()
        {
            return first.flow();
        }
        let _ = record;
        flow
    }

    /// Work of the retry slots of a flow that are due by now or within the minimum
    /// retry delay.
    fn held_work_s(&self, flow: &Flow, now: Duration) -> f64 {
        let due = self.retry_slots.values();
        let due = due.filter(|k| k.flow == *flow && k.at <= now + MIN_RETRY_DELAY);
        due.map(|k| k.work_s).sum()
    }

    /// Assigns a retry slot to a refused submission and returns the time until it.
    /// Slots follow one another at the rate at which the flow drains, so that
    /// refused submissions don't all return at once. A submission that returns
    /// early keeps its slot.
    fn assign_retry(
        &mut self,
        now: Duration,
        record: &AdmissionRecord,
        flow: Flow,
        work_s: f64,
        id: &JobId,
    ) -> Duration {
        if let Some(slot) = self.retry_slots.get(id).filter(|k| k.at > now) {
            return (slot.at - now).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        }
        let named = record.flow(&flow);
        let drain = named.map_or(0.0, |f| f.drain) / record.nodes.len().max(1) as f64;
        let takes =
            Duration::try_from_secs_f64(work_s / drain.max(1e-6)).unwrap_or(MAX_RETRY_DELAY);
        let last = self.last_retry_at.get(&flow).copied().unwrap_or_default();
        // After the flow's last slot, and not before the minimum delay of 1 s.
        let at = last.max(now) + takes.clamp(Duration::from_millis(20), MAX_RETRY_DELAY);
        let at = at.clamp(now + MIN_RETRY_DELAY, now + MAX_RETRY_DELAY);
        self.last_retry_at.insert(flow.clone(), at);
        if self.retry_slots.len() < MAX_RETRY_SLOTS {
            self.retry_slots
                .insert(id.clone(), RetrySlot { flow, work_s, at });
        }
        at - now
    }
}

/// Open work of a flow, as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlowLoad {
    /// Open work, in seconds of the whole fleet.
    pub open_s: f64,
    /// Rate at which it completes: seconds of the whole fleet per second.
    pub drain: f64,
}

/// Open work of the whole fleet: what the leader plans shares from.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    /// Capacity of the fleet: processors, accelerators, GB of memory.
    pub fleet: [f64; 3],
    /// The horizon in seconds.
    pub horizon_s: f64,
    /// Load by flow.
    pub flows: BTreeMap<Flow, FlowLoad>,
    /// The open jobs that need a share, with their flow and work.
    pub open: BTreeMap<JobId, (Flow, f64)>,
    /// The controllers that are up, with their incarnations.
    pub nodes: Vec<(String, u64)>,
    /// Many machines are still booting, so the fleet is smaller than it will be.
    pub is_growing: bool,
}

impl FleetLoad {
    /// Sums up all open jobs. `fleet` is the capacity of all machines.
    pub(crate) fn from_view(
        view: &View,
        queue_order: &QueueOrder,
        fleet: [f64; 3],
        horizon: Duration,
    ) -> Self {
        let mut seen = Self {
            fleet,
            horizon_s: horizon.as_secs_f64(),
            nodes: view
                .members
                .iter()
                .map(|(n, m)| (n.clone(), m.record.incarnation))
                .collect(),
            ..Self::default()
        };
        for id in &view.active {
            let Some(job) = view.jobs.get(id).filter(|j| j.phase == Phase::Open) else {
                continue;
            };
            let Some(spec) = job.spec.as_ref().filter(|s| needs_share(s)) else {
                continue;
            };
            let left = job.tasks.saturating_sub(job.done);
            let work = work_s(spec, left, fleet, seen.horizon_s);
            let flow = job.flow.clone().unwrap_or_else(|| Flow::of(spec));
            let demand = seen.flows.entry(flow.clone()).or_insert_with(|| FlowLoad {
                open_s: 0.0,
                drain: queue_order.drain_rate(&flow),
            });
            demand.open_s += work;
            seen.open.insert(id.clone(), (flow, work));
        }
        seen
    }
}

/// Plans the admission record on the leader: its shares and when it is due.
#[derive(Debug, Default)]
pub struct SharePlanner {
    at: Duration,
    /// The version of the record whose admissions are counted, and the jobs that
    /// were open when this leader first saw it.
    since: Option<(u64, BTreeSet<JobId>)>,
    /// Fault injected by tests.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl SharePlanner {
    /// The record to be written in place of the present one, if one is due.
    pub fn next_record(
        &mut self,
        now: Duration,
        present: Option<(u64, &AdmissionRecord)>,
        seen: &FleetLoad,
    ) -> Option<AdmissionRecord> {
        let version = present.map_or(0, |(v, _)| v);
        let limits = present.filter(|(_, r)| r.is_limiting()).map(|(_, r)| r);
        if self.since.as_ref().is_none_or(|(v, _)| *v != version) {
            // The jobs open by now may or may not have been admitted under this
            // record: none of them counts as spent, and all shares count as unspent.
            self.since = Some((version, seen.open.keys().cloned().collect()));
        }
        if now < self.at + MIN_RENEWAL_INTERVAL {
            return None;
        }
        let open: f64 = seen.flows.values().map(|d| d.open_s).sum();
        let full = seen.horizon_s
            * if limits.is_some() {
                LIMITING_END_FRACTION
            } else {
                LIMITING_START_FRACTION
            };
        let grows = seen.is_growing && limits.is_none();
        if open < full || grows || seen.nodes.is_empty() {
            self.at = now;
            return limits.map(|_| AdmissionRecord::default());
        }
        let unspent = self.unspent(limits, seen);
        let next = divide(seen, &unspent, self.granted_fraction());
        let due = limits.is_none_or(|r| differs_enough(r, &next));
        due.then(|| {
            self.at = now;
            next
        })
    }

    /// Fraction of the free work that is granted as shares. Half is held back:
    /// unspent shares count as open for the next record, which would otherwise have
    /// nothing left to grant.
    fn granted_fraction(&self) -> f64 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::SharesReissued) {
            return 1.0;
        }
        0.5
    }

    /// What may still be admitted under the present record before the next one is
    /// written, by flow, beyond the open work that this leader sees.
    fn unspent(&self, present: Option<&AdmissionRecord>, seen: &FleetLoad) -> Unspent {
        let Some(record) = present else {
            return Unspent::default();
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::SharesReissued) {
            return Unspent::default();
        }
        let before = self.since.as_ref().map(|(_, jobs)| jobs);
        let new = |id: &JobId| before.is_some_and(|jobs| !jobs.contains(id));
        let mut admitted: BTreeMap<&Flow, f64> = BTreeMap::new();
        let open = seen.open.iter().filter(|(id, _)| new(id));
        for (flow, work) in open.map(|(_, open)| open) {
            // A job that is larger than a share has used up one controller's share:
            // the other controllers still have theirs.
            let share = record.flow(flow).map_or(record.other_s, |f| f.share_s);
            *admitted.entry(flow).or_default() += work.min(share);
        }
        let nodes = record.nodes.len() as f64;
        let mut unspent = Unspent {
            flows: BTreeMap::new(),
            other_s: record.other_s * nodes,
            reserve_s: record.reserve_s * nodes,
        };
        for share in &record.flows {
            let flow = share.flow();
            let admitted = admitted.remove(&flow).unwrap_or(0.0);
            let left = (share.share_s * nodes - admitted).max(0.0);
            unspent.flows.insert(flow, left);
        }
        let others: f64 = admitted.values().sum();
        unspent.other_s = (unspent.other_s - others).max(0.0);
        unspent
    }
}

/// Shares of a record that may not have been spent yet, summed over all controllers.
#[derive(Debug, Default)]
struct Unspent {
    flows: BTreeMap<Flow, f64>,
    other_s: f64,
    reserve_s: f64,
}

/// Divides the rest of the horizon among the flows. No flow may have more open than
/// [`FLOW_THRESHOLD_FACTOR`] times the free work, as in Choudhury's and Hahne's
/// dynamic queue length thresholds (1998): however many flows are overloaded, some
/// work stays free for the others, and a single flow may use most of the horizon.
/// Within that limit, the division is max-min fair. Shares that may have been spent
/// meanwhile count as open.
fn divide(seen: &FleetLoad, unspent: &Unspent, part: f64) -> AdmissionRecord {
    let names: BTreeSet<&Flow> = seen.flows.keys().chain(unspent.flows.keys()).collect();
    let nodes = seen.nodes.len() as f64;
    let have = names.iter().map(|flow| {
        let open = seen.flows.get(*flow).map_or(0.0, |d| d.open_s);
        open + unspent.flows.get(*flow).copied().unwrap_or(0.0)
    });
    // All flows that are not listed count as one more.
    let have: Vec<f64> = have.chain([unspent.other_s]).collect();
    let taken = have.iter().sum::<f64>() + unspent.reserve_s;
    let left = (seen.horizon_s - taken).max(0.0);
    let reserve = left.min(seen.horizon_s * RESERVE_FRACTION);
    let free = left - reserve;
    let asked: Vec<f64> = have
        .iter()
        .map(|h| free * FLOW_THRESHOLD_FACTOR - h)
        .collect();
    let shares: Vec<f64> = max_min(&asked, free * part)
        .into_iter()
        .map(|share| share / nodes)
        .map(|share| {
            if share < seen.horizon_s * MIN_SHARE_FRACTION {
                0.0
            } else {
                share
            }
        })
        .collect();
    let flows = names.iter().zip(&shares).map(|(flow, share)| FlowShare {
        team: flow.team.to_string(),
        class: flow.class.to_string(),
        share_s: *share,
        drain: seen.flows.get(*flow).map_or(0.0, |d| d.drain),
    });
    AdmissionRecord {
        nodes: seen.nodes.clone(),
        fleet: seen.fleet,
        horizon_s: seen.horizon_s,
        flows: flows.collect(),
        other_s: shares.last().copied().unwrap_or(0.0),
        reserve_s: reserve / nodes,
    }
}

/// Whether the next record differs enough from the present one to be written: in its
/// controllers, in its flows, or in a share by more than 0.02 % of the horizon.
fn differs_enough(present: &AdmissionRecord, next: &AdmissionRecord) -> bool {
    if present.nodes != next.nodes || present.flows.len() != next.flows.len() {
        return true;
    }
    let differs = |a: f64, b: f64| (a - b).abs() > 0.02 * next.horizon_s / 100.0;
    let pairs = present.flows.iter().zip(&next.flows);
    differs(present.other_s, next.other_s)
        || pairs
            .into_iter()
            .any(|(a, b)| a.team != b.team || a.class != b.class || differs(a.share_s, b.share_s))
}
