//! Admission that the controllers agree on.
//!
//! A job is refused for one reason only: so much is open already that it could
//! not be worked off within the horizon. What is accepted has to run and to be
//! kept, and a queue without an end is a promise that nobody keeps. How much
//! more may be let in is the leader's to say, in one record: for each flow (a
//! team's jobs of a class) a share for each controller, so divided that no
//! flow takes the room of the others. Each spends its own without asking.
//!
//! A share is spent by a write that has the record's version as a condition. So
//! the next record ends all shares of the one before in the same instant for
//! everybody, whoever has seen it, and the leader that writes it counts as let
//! in all that might have been until then. No share is ever handed out twice,
//! by two leaders in a row neither.
//!
//! Amounts are seconds of the whole fleet: the share of it that a job's tasks
//! would take at once, times how long they run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_policy::share::max_min;
use oliveshift_wire::{
    JobId,
    job::{Amounts, JobSpec, Shape},
};
use serde::{Deserialize, Serialize};

use crate::{
    minimum_shares::Flow,
    queue_order::{QueueOrder, dominant_share},
    records::Phase,
    view::View,
};

/// How much of the horizon has to be full until shares are handed out: before
/// that nobody is refused, and nobody asks.
const ACTIVE: f64 = 0.75;
/// The same for giving that up again.
const CALM: f64 = 0.4;
/// How many times what is free a flow may have open.
const THRESHOLD: f64 = 2.0;
/// A share that is a smaller part of the horizon is none: on an untouched one a
/// job may come in that is larger.
const LEAST: f64 = 0.0005;
/// The part of the horizon that is kept for when the shares are out and the
/// leader is gone.
const RESERVE: f64 = 0.05;
/// The least time between two records, and the age from which one is not taken
/// to be renewed any more.
const RENEW: Duration = Duration::from_millis(1000);
const STALE: Duration = Duration::from_secs(6);
/// Jobs that may be open at a time: they are kept in memory by every
/// controller. Each takes at least so much of the horizon.
const MOST_JOBS: f64 = 12_000.0;
/// Within these bounds users are told to come back.
const SOON: Duration = Duration::from_secs(1);
const LATEST: Duration = Duration::from_secs(30);
/// For how long a place is kept for somebody beyond the time he was told.
const GRACE: Duration = Duration::from_secs(4);
/// Most places kept.
const MOST_PLACES: usize = 1000;

/// `admission`: what may be let in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// The controllers that have shares, each with its incarnation: one that
    /// begins anew does not know what it has spent.
    pub nodes: Vec<(String, u64)>,
    /// What the fleet has, by which jobs are measured: processors,
    /// accelerators, GB of memory.
    pub fleet: [f64; 3],
    /// The horizon in seconds.
    pub horizon_s: f64,
    /// What is let in by each of the controllers, by flow.
    pub flows: Vec<FlowShare>,
    /// What each may let in of flows that are not named.
    pub other_s: f64,
    /// What each may let in besides, of any flow, once its shares are out and
    /// the record is not renewed.
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
    /// How fast the flow drains: seconds of the whole fleet in a second.
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
    /// Whether anybody may be refused under it.
    pub fn is_limiting(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// What a job takes, in seconds of the whole fleet.
    pub fn work_s(&self, spec: &JobSpec) -> f64 {
        work_s(spec, spec.tasks, self.fleet, self.horizon_s)
    }

    fn flow(&self, flow: &Flow) -> Option<&FlowShare> {
        let mut flows = self.flows.iter();
        flows.find(|f| *f.team == *flow.team && *f.class == *flow.class)
    }

    /// All that can be let in under it, by all controllers, without what goes
    /// beyond a share by one job.
    pub fn total_s(&self) -> f64 {
        let flows: f64 = self.flows.iter().map(|f| f.share_s).sum();
        (flows + self.other_s + self.reserve_s) * self.nodes.len() as f64
    }
}

/// What so many tasks of a job take, in seconds of a whole fleet.
pub(crate) fn work_s(spec: &JobSpec, tasks: u32, fleet: [f64; 3], horizon_s: f64) -> f64 {
    let [cpus, gpus, memory_gb] = fleet;
    let fleet = Amounts {
        cpus,
        gpus,
        memory_gb,
    };
    let run_s = dominant_share(&spec.amounts(), &fleet) * f64::from(tasks) * spec.estimate_s;
    run_s.max(horizon_s / MOST_JOBS)
}

/// Whether a job is subject to shares: services are people's, few, and stop
/// others; they are refused only by their team's limit.
pub(crate) fn needs_share(spec: &JobSpec) -> bool {
    spec.shape != Shape::Service
}

/// What a submission is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It may come in, whatever the record is by then.
    Unrestricted,
    /// It may come in as long as the record has this version.
    IfVersion(u64),
    /// It is refused and should come again after this time.
    RetryAfter(Duration),
}

/// A place kept for somebody who was refused.
#[derive(Debug)]
struct RetrySlot {
    flow: Flow,
    work_s: f64,
    at: Duration,
}

/// A controller's own shares, and what it has spent of them.
#[derive(Debug, Default)]
pub struct AdmissionShares {
    version: u64,
    since: Duration,
    spent: BTreeMap<Flow, f64>,
    other_spent: f64,
    reserve_spent: f64,
    retry_slots: BTreeMap<JobId, RetrySlot>,
    /// When the last place of each flow is.
    last_retry_at: BTreeMap<Flow, Duration>,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl AdmissionShares {
    /// Whether a job may come in now. `record` is the newest one that this
    /// controller, `node` by its name and incarnation, has seen.
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
        self.follow(now, version);
        if !record
            .nodes
            .iter()
            .any(|(name, life)| (name.as_str(), *life) == node)
        {
            // Just up: the next record has a share for it.
            return AdmissionDecision::RetryAfter(SOON);
        }
        let work = record.work_s(spec);
        let flow = self.named(record, Flow::of(spec));
        let mine = self.retry_slots.get(&spec.id).is_some_and(|k| now >= k.at);
        let held = if mine {
            0.0
        } else {
            self.held_work_s(&flow, now)
        };
        let (share, spent) = match record.flow(&flow) {
            Some(f) => (f.share_s, self.spent.get(&flow).copied().unwrap_or(0.0)),
            None => (record.other_s, self.other_spent),
        };
        // A job that is larger than any share comes in on an untouched one.
        let fits = spent + work + held <= share + 1e-9;
        let large = spent <= 0.0 && held <= 0.0 && share > 0.0;
        if fits || large {
            self.spend(record, &flow, work);
            self.retry_slots.remove(&spec.id);
            return AdmissionDecision::IfVersion(version);
        }
        let stale = now > self.since + STALE;
        if stale && self.reserve_spent + work <= record.reserve_s + 1e-9 {
            self.reserve_spent += work;
            self.retry_slots.remove(&spec.id);
            return AdmissionDecision::IfVersion(version);
        }
        AdmissionDecision::RetryAfter(self.assign_retry(now, record, flow, work, &spec.id))
    }

    /// A job that was let in under a version did not come in.
    pub fn refund(&mut self, version: u64, record: Option<&AdmissionRecord>, spec: &JobSpec) {
        let Some(record) = record.filter(|_| version == self.version) else {
            return;
        };
        let work = record.work_s(spec);
        let flow = self.named(record, Flow::of(spec));
        self.spend(record, &flow, -work);
    }

    fn spend(&mut self, record: &AdmissionRecord, flow: &Flow, work: f64) {
        let spent = match record.flow(flow) {
            Some(_) => self.spent.entry(flow.clone()).or_default(),
            None => &mut self.other_spent,
        };
        *spent = (*spent + work).max(0.0);
    }

    fn follow(&mut self, now: Duration, version: u64) {
        if self.version != version {
            self.version = version;
            self.since = now;
            self.spent.clear();
            self.other_spent = 0.0;
            self.reserve_spent = 0.0;
        }
        self.retry_slots.retain(|_, slot| now <= slot.at + GRACE);
    }

    /// The flow whose share counts, which is another one only if it is broken
    /// on purpose.
    fn named(&self, record: &AdmissionRecord, flow: Flow) -> Flow {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoFlows)
            && let Some(first) = record.flows.first()
        {
            return first.flow();
        }
        let _ = record;
        flow
    }

    /// What is kept of a flow for those who were told to come by now.
    fn held_work_s(&self, flow: &Flow, now: Duration) -> f64 {
        let due = self.retry_slots.values();
        let due = due.filter(|k| k.flow == *flow && k.at <= now + SOON);
        due.map(|k| k.work_s).sum()
    }

    /// Keeps a place for somebody who is refused: one after the other, as fast
    /// as the flow drains, so that they don't all come at once. Who comes too
    /// early keeps his.
    fn assign_retry(
        &mut self,
        now: Duration,
        record: &AdmissionRecord,
        flow: Flow,
        work_s: f64,
        id: &JobId,
    ) -> Duration {
        if let Some(slot) = self.retry_slots.get(id).filter(|k| k.at > now) {
            return (slot.at - now).clamp(SOON, LATEST);
        }
        let named = record.flow(&flow);
        let drain = named.map_or(0.0, |f| f.drain) / record.nodes.len().max(1) as f64;
        let takes = Duration::try_from_secs_f64(work_s / drain.max(1e-6)).unwrap_or(LATEST);
        let last = self.last_retry_at.get(&flow).copied().unwrap_or_default();
        // Behind the last one, and soonest in a second.
        let at = last.max(now) + takes.clamp(Duration::from_millis(20), LATEST);
        let at = at.clamp(now + SOON, now + LATEST);
        self.last_retry_at.insert(flow.clone(), at);
        if self.retry_slots.len() < MOST_PLACES {
            self.retry_slots
                .insert(id.clone(), RetrySlot { flow, work_s, at });
        }
        at - now
    }
}

/// What the leader sees of a flow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlowLoad {
    /// What is open, in seconds of the whole fleet.
    pub open_s: f64,
    /// How fast it drains: seconds of the whole fleet in a second.
    pub drain: f64,
}

/// All that the leader sees.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    /// The fleet: processors, accelerators, GB of memory.
    pub fleet: [f64; 3],
    /// The horizon in seconds.
    pub horizon_s: f64,
    /// By flow.
    pub flows: BTreeMap<Flow, FlowLoad>,
    /// The jobs that are open and subject to shares, with their flow and work.
    pub open: BTreeMap<JobId, (Flow, f64)>,
    /// The controllers that are up, with their incarnations.
    pub nodes: Vec<(String, u64)>,
    /// Machines are on their way: the fleet is not yet what it can be.
    pub is_growing: bool,
}

impl FleetLoad {
    /// Looks at all open jobs. `fleet` is what all machines have.
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

/// The leader's side: what the next record says, and when it is due.
#[derive(Debug, Default)]
pub struct SharePlanner {
    at: Duration,
    /// The record of which we know what came in since it was written, and the
    /// jobs that had come in when we saw it first.
    since: Option<(u64, BTreeSet<JobId>)>,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl SharePlanner {
    /// The record to be written in place of the present one, if any is due.
    pub fn next_record(
        &mut self,
        now: Duration,
        present: Option<(u64, &AdmissionRecord)>,
        seen: &FleetLoad,
    ) -> Option<AdmissionRecord> {
        let version = present.map_or(0, |(v, _)| v);
        let limits = present.filter(|(_, r)| r.is_limiting()).map(|(_, r)| r);
        if self.since.as_ref().is_none_or(|(v, _)| *v != version) {
            // What had come in by now may have been under this record or not:
            // none of it counts as spent, and all shares as still to be spent.
            self.since = Some((version, seen.open.keys().cloned().collect()));
        }
        if now < self.at + RENEW {
            return None;
        }
        let open: f64 = seen.flows.values().map(|d| d.open_s).sum();
        let full = seen.horizon_s * if limits.is_some() { CALM } else { ACTIVE };
        let grows = seen.is_growing && limits.is_none();
        if open < full || grows || seen.nodes.is_empty() {
            self.at = now;
            return limits.map(|_| AdmissionRecord::default());
        }
        let unspent = self.unspent(limits, seen);
        let next = divide(seen, &unspent, self.part_given());
        let due = limits.is_none_or(|r| is_worth(r, &next));
        due.then(|| {
            self.at = now;
            next
        })
    }

    /// The part of what is left that is given. Half is kept back: what is not
    /// spent counts as open for the next record, which would have nothing to
    /// give then.
    fn part_given(&self) -> f64 {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::SharesReissued) {
            return 1.0;
        }
        0.5
    }

    /// What may still be let in, by flow, under the present record by the time
    /// the next one is written, beyond what we see.
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
        let mut came: BTreeMap<&Flow, f64> = BTreeMap::new();
        let open = seen.open.iter().filter(|(id, _)| new(id));
        for (flow, work) in open.map(|(_, open)| open) {
            // One that is larger than a share has used up one share: the others
            // still have theirs.
            let share = record.flow(flow).map_or(record.other_s, |f| f.share_s);
            *came.entry(flow).or_default() += work.min(share);
        }
        let nodes = record.nodes.len() as f64;
        let mut unspent = Unspent {
            flows: BTreeMap::new(),
            other_s: record.other_s * nodes,
            reserve_s: record.reserve_s * nodes,
        };
        for share in &record.flows {
            let flow = share.flow();
            let came = came.remove(&flow).unwrap_or(0.0);
            let left = (share.share_s * nodes - came).max(0.0);
            unspent.flows.insert(flow, left);
        }
        let others: f64 = came.values().sum();
        unspent.other_s = (unspent.other_s - others).max(0.0);
        unspent
    }
}

#[derive(Debug, Default)]
struct Unspent {
    flows: BTreeMap<Flow, f64>,
    other_s: f64,
    reserve_s: f64,
}

/// Divides what of the horizon is left. No flow may have more open than
/// [`THRESHOLD`] times what is free, as in Choudhury's and Hahne's dynamic queue
/// length thresholds (1998): however many flood, something stays free for those
/// who do not, and a single flow may have most. Within that, max-min fair. What
/// may have been spent meanwhile counts as open.
fn divide(seen: &FleetLoad, unspent: &Unspent, part: f64) -> AdmissionRecord {
    let names: BTreeSet<&Flow> = seen.flows.keys().chain(unspent.flows.keys()).collect();
    let nodes = seen.nodes.len() as f64;
    let have = names.iter().map(|flow| {
        let open = seen.flows.get(*flow).map_or(0.0, |d| d.open_s);
        open + unspent.flows.get(*flow).copied().unwrap_or(0.0)
    });
    // Those not named count as one more.
    let have: Vec<f64> = have.chain([unspent.other_s]).collect();
    let taken = have.iter().sum::<f64>() + unspent.reserve_s;
    let left = (seen.horizon_s - taken).max(0.0);
    let reserve = left.min(seen.horizon_s * RESERVE);
    let free = left - reserve;
    let asked: Vec<f64> = have.iter().map(|h| free * THRESHOLD - h).collect();
    let shares: Vec<f64> = max_min(&asked, free * part)
        .into_iter()
        .map(|share| share / nodes)
        .map(|share| {
            if share < seen.horizon_s * LEAST {
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

/// Whether the next record would let in more than scatter, or other people.
fn is_worth(present: &AdmissionRecord, next: &AdmissionRecord) -> bool {
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
