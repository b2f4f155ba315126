//! The order in which waiting jobs are served, also when not all can be served in time.
//!
//! Waiting jobs are examined in serving order as if they started gradually as capacity is
//! freed: when would the last task of each job start? If that is too late for the job's
//! next objective, the largest job before it (or the job itself) is removed and tries for
//! its next objective after that, behind all others. This is the algorithm of Moore and
//! Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late
//! jobs", 1968), applied objective by objective: with one kind of capacity, no order meets
//! more first objectives. Jobs that meet an objective go in the order that ends them
//! soonest on average without any being late. Jobs that can meet none go last, the least
//! work first, as that leaves the fewest open.

use std::{
    cmp::Ordering,
    collections::{BTreeSet, BinaryHeap},
};

use oliveshift_wire::job::Priority;

mod backward;

/// Safety factor on estimated start times. A job served only just in time is late if
/// anything goes wrong, and has then used capacity of a job that would not have been late.
const START_TIME_MARGIN: f64 = 1.2;
/// Tolerance for sums of floating-point numbers, in seconds.
const ROUNDING_TOLERANCE_S: f64 = 1e-6;

/// A resource that jobs share and that can run out: the machines that they fit on, or their
/// team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedResource {
    /// The share of it that is free now, 0 to 1.
    pub free: f64,
}

/// Why a job goes ahead of other borrowing jobs. Ordered: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// It is starved and gets a few tasks, which cost the others little.
    Starved,
    /// It has the turn of its flow's minimum share, with all of its tasks.
    MinimumShare,
    /// It has no turn.
    None,
}

/// What takes precedence over all time constraints. Ordered: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityBand {
    /// Production services come first, as users wait for them.
    pub behind_production: bool,
    /// Then work within a team's guarantee, which must not wait for borrowing jobs.
    pub borrowed: bool,
    /// Then jobs with a turn.
    pub turn: Turn,
    /// Then by priority.
    pub priority: Priority,
}

/// A job with waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// Its priority band.
    pub band: PriorityBand,
    /// Its place in the order of arrival, or of the latest start that its deadline allows.
    pub order_ms: u64,
    /// The latest starts that its objectives allow, in seconds from now, ascending; below
    /// 0: missed.
    pub latest_starts_s: Vec<f64>,
    /// Whether some of its tasks are assigned already.
    pub started: bool,
    /// The shared resources that it needs, and the share of each that its waiting tasks
    /// would use if all ran at once.
    pub resources: Vec<(usize, f64)>,
    /// Duration of a task, in seconds.
    pub length_s: f64,
}

impl WaitingJob {
    fn missed(&self) -> usize {
        self.latest_starts_s.iter().filter(|at| **at < 0.0).count()
    }

    /// Whether it goes first in a tier and is not removed for other jobs. Jobs that have
    /// started and can still be in time are finished, as their work so far would otherwise
    /// be of no use.
    fn is_protected(&self, tier: usize) -> bool {
        self.started && self.latest_starts_s.len() > tier
    }

    /// Its work, counted on the resource of which it uses the largest share.
    pub fn work(&self) -> f64 {
        let shares = self.resources.iter().map(|(_, share)| *share);
        shares.fold(0.0, f64::max) * self.length_s
    }
}

/// Load put on a shared resource.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    share: f64,
    work: f64,
}

impl Load {
    fn add(&mut self, share: f64, length_s: f64) {
        self.share += share;
        self.work += share * length_s;
    }

    /// When the last of the load starts, in seconds from now: what exceeds the free share
    /// waits until its part of the total work is over.
    fn last_start_s(&self, resource: &SharedResource) -> f64 {
        if self.share <= resource.free + 1e-9 {
            return 0.0;
        }
        self.work * (1.0 - resource.free / self.share)
    }

    /// Whether the last of the load starts too late for an objective.
    fn is_too_late(&self, resource: &SharedResource, latest_start_s: f64) -> bool {
        self.last_start_s(resource) * START_TIME_MARGIN > latest_start_s + ROUNDING_TOLERANCE_S
    }
}

/// A job in a heap with the largest work on top.
#[derive(Debug)]
struct JobByWork {
    work: f64,
    job: usize,
}

impl Ord for JobByWork {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_work = self.work.total_cmp(&other.work);
        by_work.then_with(|| self.job.cmp(&other.job))
    }
}

impl PartialOrd for JobByWork {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for JobByWork {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for JobByWork {}

/// The order in which `jobs` are served, as indices. Of equal jobs, the one with the
/// smallest index goes first.
pub fn order(jobs: &[WaitingJob], resources: &[SharedResource]) -> Vec<usize> {
    let mut loads = vec![Load::default(); resources.len()];
    let mut all: Vec<usize> = (0..jobs.len()).collect();
    all.sort_by_key(|at| (jobs[*at].band, jobs[*at].order_ms, *at));
    let mut order = Vec::with_capacity(all.len());
    for band in all.chunk_by(|a, b| jobs[*a].band == jobs[*b].band) {
        if jobs[band[0]].band.behind_production {
            order_by_tiers(jobs, resources, &mut loads, band, &mut order);
        } else {
            order.extend_from_slice(band);
            for at in band {
                add_load(&mut loads, &jobs[*at]);
            }
        }
    }
    order
}

fn add_load(loads: &mut [Load], job: &WaitingJob) {
    for (resource, share) in &job.resources {
        loads[*resource].add(*share, job.length_s);
    }
}

fn remove_load(loads: &mut [Load], job: &WaitingJob) {
    for (resource, share) in &job.resources {
        loads[*resource].add(-*share, job.length_s);
    }
}

/// Orders the jobs of a band. A tier stands for one objective of each job: its first one, its
/// second one, and so on. Jobs that miss the objective of a tier are tried in the next one.
fn order_by_tiers(
    jobs: &[WaitingJob],
    resources: &[SharedResource],
    loads: &mut [Load],
    band: &[usize],
    order: &mut Vec<usize>,
) {
    let objective_counts = band.iter().map(|at| jobs[*at].latest_starts_s.len());
    let tiers = objective_counts.max().unwrap_or(0).max(1);
    let mut by_tier: Vec<Vec<usize>> = vec![Vec::new(); tiers];
    let mut late = Vec::new();
    for at in band {
        let objectives = jobs[*at].latest_starts_s.len().max(1);
        match jobs[*at].missed() {
            missed if missed < objectives => by_tier[missed].push(*at),
            _ => late.push(*at),
        }
    }
    for tier in 0..tiers {
        let mut candidates = std::mem::take(&mut by_tier[tier]);
        // Jobs removed from the previous tier are sorted into their places.
        candidates.sort_by_key(|at| (!jobs[*at].is_protected(tier), jobs[*at].order_ms, *at));
        let left_out_jobs = left_out(jobs, resources, loads, tier, &candidates);
        let kept = candidates
            .iter()
            .copied()
            .filter(|at| !left_out_jobs.contains(at));
        let (protected, kept): (Vec<usize>, Vec<usize>) =
            kept.partition(|at| jobs[*at].is_protected(tier));
        order.extend(protected);
        order.extend(backward::order(jobs, resources, loads, tier, kept));
        for at in left_out_jobs {
            if tier + 1 < jobs[at].latest_starts_s.len() {
                by_tier[tier + 1].push(at);
            } else {
                late.push(at);
            }
        }
    }
    late.sort_by(|a, b| {
        let key = |at: &usize| (jobs[*at].order_ms, *at);
        let by_work = jobs[*a].work().total_cmp(&jobs[*b].work());
        by_work.then_with(|| key(a).cmp(&key(b)))
    });
    for at in &late {
        add_load(loads, &jobs[*at]);
    }
    order.extend(late);
}

/// The candidates that are left out in this tier, so that as many as possible meet its
/// objective.
fn left_out(
    jobs: &[WaitingJob],
    resources: &[SharedResource],
    loads: &mut [Load],
    tier: usize,
    candidates: &[usize],
) -> BTreeSet<usize> {
    let mut left_out_jobs = BTreeSet::new();
    let mut removable: Vec<BinaryHeap<JobByWork>> =
        resources.iter().map(|_| BinaryHeap::new()).collect();
    for at in candidates {
        let job = &jobs[*at];
        add_load(loads, job);
        for (resource, share) in job.resources.iter().filter(|_| !job.is_protected(tier)) {
            let work = share * job.length_s;
            removable[*resource].push(JobByWork { work, job: *at });
        }
        let Some(latest) = job.latest_starts_s.get(tier) else {
            continue;
        };
        while !left_out_jobs.contains(at) {
            let mut job_resources = job.resources.iter().map(|(resource, _)| *resource);
            let overloaded = job_resources
                .find(|resource| loads[*resource].is_too_late(&resources[*resource], *latest));
            let Some(resource) = overloaded else { break };
            let largest = std::iter::from_fn(|| removable[resource].pop());
            let largest = largest.map(|c| c.job).find(|j| !left_out_jobs.contains(j));
            let largest = largest.unwrap_or(*at);
            remove_load(loads, &jobs[largest]);
            left_out_jobs.insert(largest);
        }
    }
    left_out_jobs
}
