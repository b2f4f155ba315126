//! The policy against the slow plain model.

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
fn the_top_scorer_is_the_models() {
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

/// A large job on a thousand machines: the ranking scores each machine once and
/// chooses what scoring all of them for every task would.
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
    assert!(placed > 400, "{placed}");
}

fn draw_own(rng: &mut fastrand::Rng, now: u64) -> JobDemand {
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

fn compare(graph: &DependencyGraph<u32>, jobs: &PlainJobs, what: &str) {
    for (id, job) in jobs {
        if job.recorded == AwaitedState::Open {
            let real = (graph.readiness(id), graph.effective_priority(id));
            let plain = (
                Some(model::readiness(jobs, *id)),
                model::effective_priority(jobs, *id),
            );
            assert_eq!(real, plain, "{what}: job {id}");
        } else {
            assert_eq!(graph.readiness(id), None, "{what}: job {id}");
        }
    }
}

/// Enters a job as its record has it, in whatever order records are read.
fn enter(graph: &mut DependencyGraph<u32>, read: &PlainJobs, id: u32, job: &PlainJob) {
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

/// Random graphs, with jobs that end or are cancelled at any moment; and the
/// same records read anew in a random order.
#[test]
fn what_follows_for_awaiting_jobs_is_the_models() {
    let mut rng = fastrand::Rng::with_seed(13);
    let (mut waited, mut chained) = (0, 0);
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
                        own: draw_own(&mut rng, step),
                        awaits: rng.choose_multiple(jobs.keys().copied(), count),
                        recorded: AwaitedState::Open,
                    };
                    enter(&mut graph, &jobs, id, &job);
                    jobs.insert(id, job);
                }
            }
            compare(&graph, &jobs, &format!("round {round}, step {step}"));
        }
        let mut order: Vec<u32> = jobs.keys().copied().collect();
        rng.shuffle(&mut order);
        let (mut graph, mut read) = (DependencyGraph::default(), PlainJobs::new());
        for id in order {
            enter(&mut graph, &read, id, &jobs[&id]);
            read.insert(id, jobs[&id].clone());
        }
        compare(&graph, &jobs, &format!("round {round}, read anew"));
        for (id, job) in &jobs {
            if job.recorded == AwaitedState::Open {
                match model::readiness(&jobs, *id) {
                    Readiness::Waiting => waited += 1,
                    Readiness::Cancelled => chained += 1,
                    Readiness::Ready(_) => {}
                }
            }
        }
    }
    assert!(waited > 100 && chained > 100, "{waited} {chained}");
}

/// Chains of thousands, one job awaited by thousands, thousands awaited by
/// one: what changes is found without looking at the rest.
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
    let aims = rng.usize(0..4);
    let mut latest_starts_s: Vec<f64> = (0..aims).map(|_| rng.f64() * 200.0 - 40.0).collect();
    latest_starts_s.sort_by(f64::total_cmp);
    let priority = [Priority::Production, Priority::High, Priority::Normal][rng.usize(0..3)];
    let mut places = vec![(rng.usize(0..resources), rng.f64() * 0.8)];
    if rng.bool() {
        let other = (places[0].0 + 1) % resources;
        places.push((other, rng.f64()));
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
        resources: places,
        length_s: rng.f64() * 60.0,
    }
}

#[test]
fn the_order_of_serving_is_the_models() {
    let mut rng = fastrand::Rng::with_seed(23);
    let mut put_back = 0;
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
        let behind = |pair: &&[usize]| {
            let [a, b] = [&jobs[pair[0]], &jobs[pair[1]]];
            a.band == b.band && a.order_ms > b.order_ms
        };
        put_back += order.windows(2).filter(behind).count();
    }
    assert!(put_back > 600, "{put_back}");
}

/// A job of one kind of room with one aim, within so many seconds.
fn draw_aimed(rng: &mut fastrand::Rng, within_s: f64) -> WaitingJob {
    let latest = rng.f64() * within_s;
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

/// With one kind of room and one aim no order keeps the aim for more jobs.
#[test]
fn no_order_keeps_more_aims() {
    let mut rng = fastrand::Rng::with_seed(29);
    let mut dropped = 0;
    for _ in 0..300 {
        let count = rng.usize(3..9);
        let jobs: Vec<_> = (0..count).map(|_| draw_aimed(&mut rng, 100.0)).collect();
        // A set can be kept if it can by the order of the latest starts.
        let kept = |order: &mut dyn Iterator<Item = usize>| {
            let mut work = 0.0;
            let mut kept = 0u32;
            for at in order {
                work += jobs[at].work();
                kept += u32::from(work * 1.2 <= jobs[at].latest_starts_s[0] + 1e-6);
            }
            kept
        };
        let mut by_latest: Vec<_> = (0..count).collect();
        by_latest.sort_by_key(|at| jobs[*at].order_ms);
        let most = (0..1u32 << count)
            .filter_map(|set| {
                let mut chosen = by_latest.iter().copied().filter(|at| set & (1 << at) != 0);
                (kept(&mut chosen) == set.count_ones()).then_some(set.count_ones())
            })
            .max()
            .unwrap_or(0);
        let order = triage::order(&jobs, &[SharedResource { free: 0.0 }]);
        let got = kept(&mut order.into_iter());
        assert!(got >= most, "{got} of {most}");
        dropped += u32::from(most < count as u32);
    }
    assert!(dropped > 100, "{dropped}");
}

/// All orders of some numbers.
fn permutations(of: &[usize]) -> Vec<Vec<usize>> {
    if of.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, first) in of.iter().enumerate() {
        let rest = [&of[..i], &of[i + 1..]].concat();
        let rest = permutations(&rest).into_iter();
        all.extend(rest.map(|rest| [&[*first], &rest[..]].concat()));
    }
    all
}

/// Of all orders that keep the aims of all jobs none ends them sooner on average.
#[test]
fn no_order_in_time_ends_jobs_sooner() {
    let mut rng = fastrand::Rng::with_seed(41);
    let mut judged = 0;
    let mut reordered = 0;
    while judged < 150 {
        let count = rng.usize(2..8);
        let jobs: Vec<_> = (0..count).map(|_| draw_aimed(&mut rng, 150.0)).collect();
        // The sum of ends, if all keep their aims.
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
        judged += 1;
        let order = triage::order(&jobs, &[SharedResource { free: 0.0 }]);
        let got = sum_of_ends(&order).expect("all aims can be kept");
        assert!(got <= least + 1e-6, "{got} instead of {least}: {jobs:?}");
        let mut by_latest = numbers;
        by_latest.sort_by_key(|at| jobs[*at].order_ms);
        reordered += u32::from(order != by_latest);
    }
    assert!(reordered > 50, "{reordered}");
}

#[test]
fn too_little_is_divided_as_the_model_does() {
    let mut rng = fastrand::Rng::with_seed(31);
    for _ in 0..200 {
        let asked: Vec<f64> = (0..rng.usize(1..9)).map(|_| rng.f64() * 10.0).collect();
        let whole = rng.f64() * 30.0;
        let given = max_min(&asked, whole);
        let plain = model::max_min(&asked, whole);
        let near = |(a, b): (&f64, &f64)| (a - b).abs() < 0.02 * whole.max(1.0);
        assert!(given.iter().zip(&plain).all(near), "{given:?} {plain:?}");
        assert!(given.iter().sum::<f64>() <= whole + 1e-9);
    }
}

#[test]
fn what_is_rented_is_what_the_model_rents() {
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
        let mut rooms = Vec::new();
        let mut stock = FreeCapacity::default();
        for _ in 0..rng.usize(0..40) {
            let offer = offer(&mut rng);
            let cpus = f64::from(rng.u32(0..17));
            let free = Resources {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            };
            stock.add_machine(&offer.kind, &offer.zone, offer.spot, free);
            rooms.push((offer, free));
        }
        let closed: Vec<_> = (0..rng.usize(0..8)).map(|_| offer(&mut rng)).collect();
        let wants: Vec<_> = (0..rng.usize(1..30))
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
        let most = rng.usize(0..12);
        let is_closed = |o: &Offer| closed.contains(o);
        let real = machines_to_rent(&wants, &mut stock, &types, is_closed, |_| 0, most);
        let plain = model::machines_to_rent(&wants, &mut rooms, &types, &closed, most);
        assert_eq!(real, plain, "{wants:?}");
        rented += real.len();
        for want in &wants {
            let left = stock.allocate(want);
            assert_eq!(left, model::allocate(want, &mut rooms), "{want:?}");
            placed += want.tasks - left;
        }
    }
    assert!(rented > 800 && placed > 100, "{rented} {placed}");
}
