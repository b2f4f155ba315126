//! Compares the policy with a slow reference model.

use std::time::Duration;

use oliveshift_policy::{
    Candidate, Task, Weights, best,
    fair_share::max_min,
    fleet::{CapacityRequest, FreeCapacity, Offer, machines_to_rent},
    graph::{AwaitedState, DependencyGraph, JobDemand, Readiness},
    ranking::Ranking,
    score::minus,
    triage::{self, PriorityBand, SharedResource, Turn, WaitingJob},
};
use oliveshift_testkit::model::{self, PlainJob, PlainJobs};
use oliveshift_wire::{
    cloud::MachineType,
    job::{Priority, Resources},
};

#[test]
fn the_best_machine_is_that_of_the_model() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut placed = 0;
    for _ in 0..3000 {
        let image_gb = rng.f64() * 5.0 + 0.1;
        let task = Task {
            need: Resources {
                cpus: f64::from(rng.u32(1..9)),
                gpus: f64::from(rng.u32(0..2)),
                memory_gb: f64::from(rng.u32(1..33)),
            },
            image_gb,
            spot: rng.bool(),
            service: rng.bool(),
        };
        let machine = |_| {
            let cpus = f64::from(rng.u32(1..5)) * 4.0;
            let total = Resources {
                cpus,
                gpus: 2.0,
                memory_gb: cpus * 4.0,
            };
            let free = Resources {
                cpus: total.cpus * rng.f64(),
                gpus: f64::from(rng.u32(0..3)),
                memory_gb: total.memory_gb * rng.f64(),
            };
            Candidate {
                total,
                free,
                cached_gb: if rng.bool() { image_gb } else { 0.0 },
                spot: rng.bool(),
                service_share: rng.f64(),
            }
        };
        let all: Vec<_> = (0..12).map(machine).collect();
        let weights = Weights::default();
        let real = best(&task, all.iter().enumerate(), &weights).map(|(i, _)| i);
        assert_eq!(real, model::best_machine(&task, &all, &weights));
        placed += usize::from(real.is_some());
    }
    assert!(placed > 1000);
}

/// A large job on a thousand machines: the ranking scores each machine once at first, and
/// chooses the same machines as scoring all of them for every task.
#[test]
fn a_ranking_chooses_as_the_model_does() {
    let mut rng = fastrand::Rng::with_seed(11);
    let weights = Weights::default();
    let mut placed = 0;
    for service in [false, true, false] {
        let task = Task {
            need: Resources {
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: f64::from(rng.u32(4..12)),
            },
            image_gb: 1.5,
            spot: !service,
            service,
        };
        let machine = |_| {
            let cpus = if rng.u32(0..8) == 0 { 16.0 } else { 4.0 };
            let total = Resources {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            };
            let used = Resources {
                cpus: f64::from(rng.u32(0..=cpus as u32)),
                gpus: 0.0,
                memory_gb: rng.f64() * total.memory_gb,
            };
            Candidate {
                total,
                free: minus(&total, &used),
                cached_gb: if rng.bool() { 1.5 } else { 0.0 },
                spot: rng.bool(),
                service_share: rng.f64(),
            }
        };
        let mut machines: Vec<_> = (0..1000).map(machine).collect();
        let numbered = machines.iter().cloned().enumerate();
        let mut ranking = Ranking::new(task.clone(), numbered, &weights);
        for _ in 0..400 {
            let chosen = ranking.pop();
            assert_eq!(chosen, model::best_machine(&task, &machines, &weights));
            let Some(at) = chosen else { break };
            machines[at].free = minus(&machines[at].free, &task.need);
            ranking.put(at, &machines[at], &weights);
            placed += 1;
        }
    }
    assert!(placed > 400, "{placed} tasks placed");
}

fn draw_demand(rng: &mut fastrand::Rng, now: u64) -> JobDemand {
    let priorities = [
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ];
    JobDemand {
        priority: priorities[rng.usize(0..4)],
        length: Duration::from_secs(rng.u64(0..30)),
        due: (rng.u32(0..3) == 0).then(|| Duration::from_secs(now + rng.u64(0..200))),
        arrived: Duration::from_secs(now),
    }
}

fn assert_matches_model(graph: &DependencyGraph<u32>, jobs: &PlainJobs, context: &str) {
    for (id, job) in jobs {
        if job.recorded == AwaitedState::Open {
            let real = (graph.readiness(id), graph.effective_priority(id));
            let plain = (
                Some(model::readiness(jobs, *id)),
                model::effective_priority(jobs, *id),
            );
            assert_eq!(real, plain, "{context}: job {id}");
        } else {
            assert_eq!(graph.readiness(id), None, "{context}: job {id}");
        }
    }
}

/// Adds a job to the graph as it is recorded; records may be read in any order.
fn add_recorded_job(graph: &mut DependencyGraph<u32>, read: &PlainJobs, id: u32, job: &PlainJob) {
    match job.recorded {
        AwaitedState::Open => {
            let awaits = job.awaits.iter().map(|a| {
                let known = read.get(a).map_or(AwaitedState::Open, |j| j.recorded);
                (*a, known)
            });
            graph.open(id, job.own, awaits.collect::<Vec<_>>());
        }
        AwaitedState::Done(at) => graph.done(&id, at),
        AwaitedState::Cancelled => graph.cancelled(&id),
    }
}

/// Random graphs with jobs that end or are cancelled at any moment, and the same records read
/// again in a random order.
#[test]
fn readiness_and_priority_match_the_model() {
    let mut rng = fastrand::Rng::with_seed(13);
    let (mut waiting, mut cancelled) = (0, 0);
    for round in 0..60 {
        let mut graph = DependencyGraph::default();
        let mut jobs = PlainJobs::new();
        for step in 0..60u64 {
            let open: Vec<u32> = jobs
                .iter()
                .filter(|(_, j)| j.recorded == AwaitedState::Open)
                .map(|(id, _)| *id)
                .collect();
            let chosen = rng.choice(open);
            match (rng.u32(0..10), chosen) {
                (0, Some(id)) => {
                    graph.cancelled(&id);
                    jobs.get_mut(&id).expect("known").recorded = AwaitedState::Cancelled;
                }
                (1..4, Some(id)) => {
                    if let Readiness::Ready(_) = model::readiness(&jobs, id) {
                        let at = Duration::from_secs(step + rng.u64(0..5));
                        graph.done(&id, at);
                        jobs.get_mut(&id).expect("known").recorded = AwaitedState::Done(at);
                    }
                }
                _ => {
                    let id = jobs.len() as u32;
                    let count = rng.usize(0..4.min(jobs.len() + 1));
                    let job = PlainJob {
                        own: draw_demand(&mut rng, step),
                        awaits: rng.choose_multiple(jobs.keys().copied(), count),
                        recorded: AwaitedState::Open,
                    };
                    add_recorded_job(&mut graph, &jobs, id, &job);
                    jobs.insert(id, job);
                }
            }
            assert_matches_model(&graph, &jobs, &format!("round {round}, step {step}"));
        }
        let mut order: Vec<u32> = jobs.keys().copied().collect();
        rng.shuffle(&mut order);
        let (mut graph, mut read) = (DependencyGraph::default(), PlainJobs::new());
        for id in order {
            add_recorded_job(&mut graph, &read, id, &jobs[&id]);
            read.insert(id, jobs[&id].clone());
        }
        assert_matches_model(&graph, &jobs, &format!("round {round}, records read again"));
        for (id, job) in &jobs {
            if job.recorded == AwaitedState::Open {
                match model::readiness(&jobs, *id) {
                    Readiness::Waiting => waiting += 1,
                    Readiness::Cancelled => cancelled += 1,
                    Readiness::Ready(_) => {}
                }
            }
        }
    }
    assert!(
        waiting > 100 && cancelled > 100,
        "{waiting} waiting, {cancelled} cancelled"
    );
}

/// A chain of thousands of jobs, one job awaited by thousands, and thousands awaited by one:
/// changed jobs are found without visiting the rest of the graph.
#[test]
fn deep_and_broad_graphs() {
    const MANY: u32 = 5000;
    let own = |priority| JobDemand {
        priority,
        length: Duration::from_secs(1),
        due: None,
        arrived: Duration::ZERO,
    };
    let at = Duration::from_secs(9);
    let mut chain = DependencyGraph::default();
    for id in 0..MANY {
        let before = id.checked_sub(1).map(|b| (b, AwaitedState::Open));
        chain.open(id, own(Priority::Low), before);
    }
    let last = JobDemand {
        due: Some(Duration::from_secs(10_000)),
        ..own(Priority::High)
    };
    chain.open(MANY, last, [(MANY - 1, AwaitedState::Open)]);
    let first = chain.effective_priority(&0).expect("open");
    assert_eq!(first.priority, Priority::High);
    let start = Duration::from_secs(10_000 - u64::from(MANY) - 1);
    assert_eq!(first.latest_start, Some(start));
    chain.done(&0, at);
    assert_eq!(chain.take_changed(), [1]);
    chain.cancelled(&1);
    assert_eq!(chain.take_changed().len() as u32, MANY);

    let mut broad = DependencyGraph::default();
    broad.open(0, own(Priority::Low), []);
    for id in 1..MANY {
        broad.open(id, own(Priority::Low), [(0, AwaitedState::Open)]);
    }
    let all = (1..MANY).map(|id| (id, AwaitedState::Open));
    broad.open(MANY, own(Priority::Normal), all);
    assert_eq!(
        broad.effective_priority(&0).map(|c| c.priority),
        Some(Priority::Normal)
    );
    broad.done(&0, at);
    assert_eq!(broad.take_changed().len() as u32, MANY - 1);
    for id in 1..MANY {
        assert_eq!(broad.readiness(&MANY), Some(Readiness::Waiting));
        broad.done(&id, at);
    }
    assert_eq!(broad.take_changed(), [MANY]);
    assert_eq!(broad.readiness(&MANY), Some(Readiness::Ready(at)));
}

fn draw_waiting(rng: &mut fastrand::Rng, resources: usize) -> WaitingJob {
    let target_count = rng.usize(0..4);
    let mut latest_starts_s: Vec<f64> = (0..target_count)
        .map(|_| rng.f64() * 200.0 - 40.0)
        .collect();
    latest_starts_s.sort_by(f64::total_cmp);
    let priority = [Priority::Production, Priority::High, Priority::Normal][rng.usize(0..3)];
    let mut resource_shares = vec![(rng.usize(0..resources), rng.f64() * 0.8)];
    if rng.bool() {
        let other = (resource_shares[0].0 + 1) % resources;
        resource_shares.push((other, rng.f64()));
    }
    WaitingJob {
        band: PriorityBand {
            behind_production: priority != Priority::Production,
            borrowed: rng.bool(),
            turn: match rng.u32(0..16) {
                0 => Turn::Starved,
                1 => Turn::MinimumShare,
                _ => Turn::None,
            },
            priority,
        },
        order_ms: rng.u64(0..50),
        latest_starts_s,
        started: rng.u32(0..4) == 0,
        resources: resource_shares,
        length_s: rng.f64() * 60.0,
    }
}

#[test]
fn the_queue_order_matches_the_model() {
    let mut rng = fastrand::Rng::with_seed(23);
    let mut postponed = 0;
    for _ in 0..600 {
        let resources: Vec<_> = (0..3)
            .map(|_| SharedResource {
                free: rng.f64() * 0.4,
            })
            .collect();
        let count = rng.usize(1..40);
        let jobs: Vec<_> = (0..count).map(|_| draw_waiting(&mut rng, 3)).collect();
        let order = triage::order(&jobs, &resources);
        assert_eq!(order, model::order(&jobs, &resources));
        let is_postponed = |pair: &&[usize]| {
            let [a, b] = [&jobs[pair[0]], &jobs[pair[1]]];
            a.band == b.band && a.order_ms > b.order_ms
        };
        postponed += order.windows(2).filter(is_postponed).count();
    }
    assert!(postponed > 600, "{postponed} jobs postponed");
}

/// Draws a job that uses one resource and has one latest start, within `max_latest_start_s`.
fn draw_targeted(rng: &mut fastrand::Rng, max_latest_start_s: f64) -> WaitingJob {
    let latest = rng.f64() * max_latest_start_s;
    WaitingJob {
        band: PriorityBand {
            behind_production: true,
            borrowed: true,
            turn: Turn::None,
            priority: Priority::High,
        },
        order_ms: (latest * 1e6) as u64,
        latest_starts_s: vec![latest],
        started: false,
        resources: vec![(0, rng.f64() + 0.05)],
        length_s: 30.0,
    }
}

/// With one resource and one latest start per job, no order meets the latest start of more jobs.
#[test]
fn no_order_meets_more_latest_starts() {
    let mut rng = fastrand::Rng::with_seed(29);
    let mut infeasible = 0;
    for _ in 0..300 {
        let count = rng.usize(3..9);
        let jobs: Vec<_> = (0..count).map(|_| draw_targeted(&mut rng, 100.0)).collect();
        // A set of jobs is feasible exactly if it is feasible in the order of latest starts.
        let count_met = |order: &mut dyn Iterator<Item = usize>| {
            let mut work = 0.0;
            let mut met = 0u32;
            for at in order {
                work += jobs[at].work();
                met += u32::from(work * 1.2 <= jobs[at].latest_starts_s[0] + 1e-6);
            }
            met
        };
        let mut by_latest: Vec<_> = (0..count).collect();
        by_latest.sort_by_key(|at| jobs[*at].order_ms);
        let most = (0..1u32 << count)
            .filter_map(|set| {
                let mut chosen = by_latest.iter().copied().filter(|at| set & (1 << at) != 0);
                (count_met(&mut chosen) == set.count_ones()).then_some(set.count_ones())
            })
            .max()
            .unwrap_or(0);
        let order = triage::order(&jobs, &[SharedResource { free: 0.0 }]);
        let got = count_met(&mut order.into_iter());
        assert!(got >= most, "{got} latest starts met, {most} possible");
        infeasible += u32::from(most < count as u32);
    }
    assert!(
        infeasible > 100,
        "{infeasible} cases in which not all can be met"
    );
}

/// Returns all permutations of `numbers`.
fn permutations(numbers: &[usize]) -> Vec<Vec<usize>> {
    if numbers.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, first) in numbers.iter().enumerate() {
        let rest = [&numbers[..i], &numbers[i + 1..]].concat();
        let rest = permutations(&rest).into_iter();
        all.extend(rest.map(|rest| [&[*first], &rest[..]].concat()));
    }
    all
}

/// Of all orders that meet every latest start, none has an earlier average end of jobs.
#[test]
fn no_feasible_order_ends_jobs_earlier() {
    let mut rng = fastrand::Rng::with_seed(41);
    let mut feasible = 0;
    let mut reordered = 0;
    while feasible < 150 {
        let count = rng.usize(2..8);
        let jobs: Vec<_> = (0..count).map(|_| draw_targeted(&mut rng, 150.0)).collect();
        // The sum of the end times, if all latest starts are met.
        let sum_of_ends = |order: &[usize]| {
            let mut work = 0.0;
            let mut sum = 0.0;
            for at in order {
                work += jobs[*at].work();
                sum += work;
                if work * 1.2 > jobs[*at].latest_starts_s[0] + 1e-6 {
                    return None;
                }
            }
            Some(sum)
        };
        let numbers: Vec<usize> = (0..count).collect();
        let all = permutations(&numbers);
        let least = all.iter().filter_map(|order| sum_of_ends(order));
        let Some(least) = least.min_by(f64::total_cmp) else {
            continue;
        };
        feasible += 1;
        let order = triage::order(&jobs, &[SharedResource { free: 0.0 }]);
        let got = sum_of_ends(&order).expect("an order that meets all latest starts");
        assert!(
            got <= least + 1e-6,
            "sum of end times {got} instead of {least}: {jobs:?}"
        );
        let mut by_latest = numbers;
        by_latest.sort_by_key(|at| jobs[*at].order_ms);
        reordered += u32::from(order != by_latest);
    }
    assert!(reordered > 50, "{reordered} cases reordered");
}

#[test]
fn fair_shares_match_the_model() {
    let mut rng = fastrand::Rng::with_seed(31);
    for _ in 0..200 {
        let requested: Vec<f64> = (0..rng.usize(1..9)).map(|_| rng.f64() * 10.0).collect();
        let capacity = rng.f64() * 30.0;
        let granted = max_min(&requested, capacity);
        let plain = model::max_min(&requested, capacity);
        let near = |(a, b): (&f64, &f64)| (a - b).abs() < 0.02 * capacity.max(1.0);
        assert!(
            granted.iter().zip(&plain).all(near),
            "granted {granted:?}, model {plain:?}"
        );
        assert!(granted.iter().sum::<f64>() <= capacity + 1e-9);
    }
}

#[test]
fn rented_machines_match_the_model() {
    let mut rng = fastrand::Rng::with_seed(37);
    let zones: Vec<String> = ["a", "b", "c"].map(String::from).into();
    let kind = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 3.0,
        boot_s: 20.0,
        zones: zones.clone(),
    };
    let types = [kind("s", 4.0, 0.3), kind("l", 16.0, 1.1)];
    let (mut rented, mut placed) = (0, 0);
    for _ in 0..400 {
        let offer = |rng: &mut fastrand::Rng| Offer {
            kind: types[rng.usize(0..2)].name.clone(),
            zone: zones[rng.usize(0..3)].clone(),
            spot: rng.bool(),
        };
        let mut model_capacity = Vec::new();
        let mut free_capacity = FreeCapacity::default();
        for _ in 0..rng.usize(0..40) {
            let offer = offer(&mut rng);
            let cpus = f64::from(rng.u32(0..17));
            let free = Resources {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            };
            free_capacity.add_machine(&offer.kind, &offer.zone, offer.spot, free);
            model_capacity.push((offer, free));
        }
        let closed: Vec<_> = (0..rng.usize(0..8)).map(|_| offer(&mut rng)).collect();
        let requests: Vec<_> = (0..rng.usize(1..30))
            .map(|_| CapacityRequest {
                need: Resources {
                    cpus: [0.25, 2.0, 4.0, 8.0, 32.0][rng.usize(0..5)],
                    gpus: 0.0,
                    memory_gb: [1.0, 25.0][rng.usize(0..2)],
                },
                tasks: rng.u32(1..30),
                spot: rng.bool(),
                spot_only: rng.bool(),
                types: (rng.u32(0..4) == 0).then(|| vec!["l".to_owned()]),
                zones: zones
                    .iter()
                    .filter(|_| rng.u32(0..4) > 0)
                    .cloned()
                    .collect(),
            })
            .collect();
        let max_machines = rng.usize(0..12);
        let is_closed = |o: &Offer| closed.contains(o);
        let real = machines_to_rent(
            &requests,
            &mut free_capacity,
            &types,
            is_closed,
            |_| 0,
            max_machines,
        );
        let plain = model::machines_to_rent(
            &requests,
            &mut model_capacity,
            &types,
            &closed,
            max_machines,
        );
        assert_eq!(real, plain, "{requests:?}");
        rented += real.len();
        for request in &requests {
            let left = free_capacity.allocate(request);
            assert_eq!(
                left,
                model::allocate(request, &mut model_capacity),
                "{request:?}"
            );
            placed += request.tasks - left;
        }
    }
    assert!(
        rented > 800 && placed > 100,
        "{rented} machines rented, {placed} tasks placed"
    );
}
