//! The policy against the slow plain model.

use oliveshift_policy::{Candidate, Task, Weights, best, ranking::Ranking, score::minus};
use oliveshift_testkit::model;
use oliveshift_wire::job::Amounts;

#[test]
fn the_top_scorer_is_the_models() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut placed = 0;
    for _ in 0..3000 {
        let image_gb = rng.f64() * 5.0 + 0.1;
        let task = Task {
            need: Amounts {
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
            let total = Amounts {
                cpus,
                gpus: 2.0,
                memory_gb: cpus * 4.0,
            };
            let free = Amounts {
                cpus: total.cpus * rng.f64(),
                gpus: f64::from(rng.u32(0..3)),
                memory_gb: total.memory_gb * rng.f64(),
            };
            Candidate {
                total,
                free,
                cached_gb: if rng.bool() { image_gb } else { 0.0 },
                spot: rng.bool(),
                kept: rng.f64(),
            }
        };
        let all: Vec<_> = (0..12).map(machine).collect();
        let weights = Weights::default();
        let real = best(&task, all.iter().enumerate(), &weights).map(|(i, _)| i);
        assert_eq!(real, model::best(&task, &all, &weights));
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
            need: Amounts {
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
            let total = Amounts {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            };
            let used = Amounts {
                cpus: f64::from(rng.u32(0..=cpus as u32)),
                gpus: 0.0,
                memory_gb: rng.f64() * total.memory_gb,
            };
            Candidate {
                total,
                free: minus(&total, &used),
                cached_gb: if rng.bool() { 1.5 } else { 0.0 },
                spot: rng.bool(),
                kept: rng.f64(),
            }
        };
        let mut machines: Vec<_> = (0..1000).map(machine).collect();
        let numbered = machines.iter().cloned().enumerate();
        let mut ranking = Ranking::new(task.clone(), numbered, &weights);
        for _ in 0..400 {
            let chosen = ranking.pop();
            assert_eq!(chosen, model::best(&task, &machines, &weights));
            let Some(at) = chosen else { break };
            machines[at].free = minus(&machines[at].free, &task.need);
            ranking.put(at, &machines[at], &weights);
            placed += 1;
        }
    }
    assert!(placed > 400, "{placed}");
}
