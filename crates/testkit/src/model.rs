//! Reference implementation of the policy, slow and simple, to compare the real one with.

use std::{cmp::Ordering::Equal, collections::BTreeMap, time::Duration};

use oliveshift_policy::{
    Candidate, Task, Weights,
    fleet::{CapacityRequest, Offer, count_fitting, offer_allowed},
    graph::{AwaitedState, EffectivePriority, JobDemand, Readiness},
    score::{fits, minus},
    triage::{SharedResource, WaitingJob},
};
use oliveshift_wire::{
    cloud::MachineType,
    job::{Priority, Resources},
};

/// Placement score: the terms of the paper and the additions of this project, each
/// computed separately. `None` if the task does not fit.
pub fn score(task: &Task, on: &Candidate, w: &Weights) -> Option<f64> {
    let has_capacity = task.need.cpus - on.free.cpus < 1e-6
        && task.need.gpus - on.free.gpus < 1e-6
        && task.need.memory_gb - on.free.memory_gb < 1e-6;
    if !has_capacity {
        return None;
    }
    let used_cpu = 1.0 - on.free.cpus / on.total.cpus;
    let used_memory = 1.0 - on.free.memory_gb / on.total.memory_gb;
    let mut sum = 0.0;
    if on.cached_gb > 0.0 {
        let light = used_cpu < w.gate_max_cpu;
        let balanced = (used_cpu - used_memory).abs() / 2.0 < w.gate_max_gap;
        let enough = on.cached_gb * 1000.0 > w.gate_min_cached_mb;
        let layer = on.cached_gb / task.image_gb * 100.0;
        sum += layer
            * if light && balanced && enough {
                w.gate_open
            } else {
                w.gate_closed
            };
    }
    sum += (1.0 - used_cpu) * 50.0;
    sum += (1.0 - used_memory) * 50.0;
    if on.spot && task.spot {
        sum += w.spot_bonus;
    }
    if task.service {
        sum += w.service_packing_bonus * on.service_share;
    } else {
        sum += w.cpu_fill_bonus * task.need.cpus / on.total.cpus;
    }
    Some(sum)
}

/// Index of the candidate with the best score, found by comparing each with all others;
/// the first of equal ones.
pub fn best_machine(task: &Task, all: &[Candidate], w: &Weights) -> Option<usize> {
    (0..all.len()).find(|i| {
        let Some(mine) = score(task, &all[*i], w) else {
            return false;
        };
        all.iter().enumerate().all(|(j, other)| {
            let theirs = score(task, other, w);
            theirs.is_none_or(|t| t < mine - 1e-9 || (t - mine).abs() <= 1e-9 && j >= *i)
        })
    })
}

/// A job as recorded.
#[derive(Clone, Debug)]
pub struct PlainJob {
    /// Its own demand.
    pub own: JobDemand,
    /// The jobs that it awaits.
    pub awaits: Vec<u32>,
    /// Recorded state.
    pub recorded: AwaitedState,
}

/// Jobs by number.
pub type PlainJobs = BTreeMap<u32, PlainJob>;

/// Whether a job is recorded as cancelled or depends on one that is.
fn is_cancelled(jobs: &PlainJobs, id: u32) -> bool {
    let job = &jobs[&id];
    job.recorded == AwaitedState::Cancelled || job.awaits.iter().any(|a| is_cancelled(jobs, *a))
}

/// Readiness of an open job, computed from all jobs that it depends on.
pub fn readiness(jobs: &PlainJobs, id: u32) -> Readiness {
    if is_cancelled(jobs, id) {
        return Readiness::Cancelled;
    }
    let mut since = jobs[&id].own.arrived;
    for awaited in &jobs[&id].awaits {
        match jobs[awaited].recorded {
            AwaitedState::Done(at) => since = since.max(at),
            _ => return Readiness::Waiting,
        }
    }
    Readiness::Ready(since)
}

/// Effective priority of an open job, computed from all jobs that depend on it; `None` if
/// the job is cancelled.
pub fn effective_priority(jobs: &PlainJobs, id: u32) -> Option<EffectivePriority> {
    if is_cancelled(jobs, id) {
        return None;
    }
    let own = jobs[&id].own;
    let mut priority = own.priority;
    let mut due = own.due;
    for (other, job) in jobs {
        let open = job.recorded == AwaitedState::Open && job.awaits.contains(&id);
        if let Some(theirs) = open.then(|| effective_priority(jobs, *other)).flatten() {
            priority = priority.min(theirs.priority.max(Priority::High));
            due = match (due, theirs.latest_start) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
    }
    let before = |at: Duration| at.saturating_sub(own.length);
    Some(EffectivePriority {
        priority,
        latest_start: due.map(before),
    })
}

/// Time until the last task of `jobs` starts on one shared resource with `free` capacity,
/// computed anew from all of them.
fn last_start_s(all: &[WaitingJob], jobs: &[usize], resource: usize, free: f64) -> f64 {
    let mine = jobs.iter().flat_map(|at| {
        let job = &all[*at];
        let here = job.resources.iter().filter(move |(l, _)| *l == resource);
        here.map(move |(_, width)| (*width, width * job.length_s))
    });
    let (width, work) = mine.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    if width <= free + 1e-9 {
        0.0
    } else {
        work * (1.0 - free / width)
    }
}

/// The order in which jobs are served, determined job by job and tier by tier, with all
/// sums computed anew each time.
pub fn order(all: &[WaitingJob], resources: &[SharedResource]) -> Vec<usize> {
    let mut left: Vec<usize> = (0..all.len()).collect();
    left.sort_by_key(|at| (all[*at].band, all[*at].order_ms, *at));
    let mut order: Vec<usize> = Vec::new();
    while let Some(first) = left.first().copied() {
        let band = all[first].band;
        let (mut now, later): (Vec<_>, Vec<_>) =
            left.into_iter().partition(|at| all[*at].band == band);
        left = later;
        if !band.behind_production {
            order.extend(now);
            continue;
        }
        let passed = |at: usize| all[at].latest_starts_s.iter().filter(|l| **l < 0.0).count();
        let mut missed: BTreeMap<usize, usize> = now.iter().map(|at| (*at, passed(*at))).collect();
        for tier in 0..8 {
            let aims = |at: usize| all[at].latest_starts_s.len().max(1);
            let mut candidates: Vec<_> = now.clone();
            candidates.retain(|at| missed[at] == tier && tier < aims(*at));
            let held = |at: usize| all[at].started && all[at].latest_starts_s.len() > tier;
            candidates.sort_by_key(|at| (!held(*at), all[*at].order_ms, *at));
            let mut kept: Vec<usize> = Vec::new();
            for at in candidates {
                kept.push(at);
                let Some(latest) = all[at].latest_starts_s.get(tier) else {
                    continue;
                };
                loop {
                    let so_far: Vec<_> = order.iter().chain(&kept).copied().collect();
                    let late = all[at].resources.iter().find(|(l, _)| {
                        last_start_s(all, &so_far, *l, resources[*l].free) * 1.2 > latest + 1e-6
                    });
                    let Some((resource, _)) = late.filter(|_| kept.contains(&at)) else {
                        break;
                    };
                    let work = |at: usize| {
                        let here = all[at].resources.iter().find(|(l, _)| l == resource);
                        here.map(|(_, width)| width * all[at].length_s)
                    };
                    let open = kept.iter().filter(|at| !held(**at));
                    let sized = open.filter_map(|at| Some((work(*at)?, *at)));
                    let largest = sized.max_by(|a, b| a.partial_cmp(b).expect("numbers"));
                    let out = largest.map_or(at, |(_, at)| at);
                    kept.retain(|k| *k != out);
                    missed.insert(out, tier + 1);
                }
            }
            now.retain(|at| !kept.contains(at));
            let (first, mut rest): (Vec<_>, Vec<_>) = kept.into_iter().partition(|at| held(*at));
            order.extend(first);
            // Smith's rule, backwards: of the jobs that still start in time in last place, the
            // one with the most work goes last.
            let has_aim = |at: &usize| all[*at].latest_starts_s.len() > tier;
            let places: Vec<bool> = rest.iter().map(has_aim).collect();
            let without: Vec<usize> = rest.iter().copied().filter(|at| !has_aim(at)).collect();
            let mut without = without.into_iter();
            rest.retain(has_aim);
            let mut ordered = Vec::new();
            while !rest.is_empty() {
                let unplaced = order.iter().chain(&rest).copied();
                let so_far: Vec<_> = unplaced.chain(without.clone()).collect();
                let suits = |at: &&usize| {
                    let latest = all[**at].latest_starts_s[tier];
                    all[**at].resources.iter().all(|(l, _)| {
                        last_start_s(all, &so_far, *l, resources[*l].free) * 1.2 <= latest + 1e-6
                    })
                };
                let sized = rest.iter().filter(suits).map(|at| (all[*at].work(), *at));
                let largest = sized.max_by(|a, b| a.partial_cmp(b).expect("numbers"));
                let last = largest.map_or(rest[rest.len() - 1], |(_, at)| at);
                rest.retain(|at| *at != last);
                ordered.push(last);
            }
            let placed = places.into_iter().filter_map(|has_aim| match has_aim {
                true => ordered.pop(),
                false => without.next(),
            });
            order.extend(placed);
        }
        now.sort_by(|a, b| {
            let key = |at: &usize| (all[*at].work(), all[*at].order_ms, *at);
            key(a).partial_cmp(&key(b)).expect("numbers")
        });
        order.extend(now);
    }
    order
}

/// Max-min fair shares, computed by giving a small step to each demand that is not yet met.
pub fn max_min(asked: &[f64], whole: f64) -> Vec<f64> {
    let mut given = vec![0.0; asked.len()];
    let mut left = whole;
    let step = whole / 20_000.0;
    loop {
        let still: Vec<_> = (0..asked.len())
            .filter(|at| given[*at] + step <= asked[*at])
            .collect();
        if still.is_empty() || left < step * still.len() as f64 {
            return given;
        }
        for at in still {
            given[at] += step;
            left -= step;
        }
    }
}

/// Number of tasks of a request that fit on no machine, allocated one by one.
pub fn allocate(request: &CapacityRequest, capacities: &mut [(Offer, Resources)]) -> u32 {
    let mut left = request.tasks;
    for (_, free) in capacities
        .iter_mut()
        .filter(|(offer, _)| offer_allowed(request, offer))
    {
        while left > 0 && fits(&request.need, free) {
            *free = minus(free, &request.need);
            left -= 1;
        }
    }
    left
}

/// Machines to rent, chosen one by one: each time the offer with the lowest price per task.
pub fn machines_to_rent(
    requests: &[CapacityRequest],
    capacities: &mut Vec<(Offer, Resources)>,
    types: &[MachineType],
    closed: &[Offer],
    most: usize,
) -> Vec<Offer> {
    let mut rent: Vec<Offer> = Vec::new();
    for request in requests {
        let mut left = allocate(request, capacities);
        while left > 0 && rent.len() < most {
            let mut offers = Vec::new();
            for kind in types {
                let fitting = count_fitting(&request.need, &kind.resources()).min(left);
                for (spot, price) in [(true, kind.spot_price), (false, kind.price)] {
                    for zone in &kind.zones {
                        let offer = Offer {
                            kind: kind.name.clone(),
                            zone: zone.clone(),
                            spot,
                        };
                        let there = rent.iter().filter(|o| o.zone == *zone).count();
                        let allowed =
                            offer_allowed(request, &offer) && (spot || !request.spot_only);
                        if fitting > 0 && allowed && !closed.contains(&offer) {
                            let rank = (price / f64::from(fitting), there, offers.len());
                            offers.push((rank, offer, kind.resources(), fitting));
                        }
                    }
                }
            }
            let least = offers
                .into_iter()
                .min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Equal));
            let Some((_, offer, total, fitting)) = least else {
                break;
            };
            let mut free = total;
            for _ in 0..fitting {
                free = minus(&free, &request.need);
            }
            left -= fitting;
            capacities.push((offer.clone(), free));
            rent.push(offer);
        }
    }
    rent
}
