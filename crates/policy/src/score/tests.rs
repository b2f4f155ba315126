use super::*;

fn machine(cpus: f64, used: f64, memory_used: f64, cached_gb: f64) -> Candidate {
    let total = Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
    };
    let used = Resources {
        cpus: used,
        gpus: 0.0,
        memory_gb: memory_used,
    };
    Candidate {
        free: minus(&total, &used),
        total,
        cached_gb,
        spot: false,
        service_share: 0.0,
    }
}

const TASK: Task = Task {
    need: Resources {
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
    },
    image_gb: 2.0,
    spot: true,
    service: false,
};

fn paper_weights() -> Weights {
    Weights {
        gate_closed: 0.5,
        spot_bonus: 0.0,
        cpu_fill_bonus: 0.0,
        service_packing_bonus: 0.0,
        ..Weights::default()
    }
}

#[test]
fn score_matches_the_lrscheduler_paper() {
    let of = |m: &Candidate| score(&TASK, m, &paper_weights());
    // Low and balanced load: the gate is open.
    assert_eq!(of(&machine(16.0, 8.0, 32.0, 2.0)), Some(250.0));
    // No cached image: only free capacity counts.
    assert_eq!(of(&machine(16.0, 8.0, 32.0, 0.0)), Some(50.0));
    // High load: the gate is closed.
    assert_eq!(of(&machine(16.0, 12.0, 48.0, 2.0)), Some(75.0));
    // Processor and memory shares differ by more than 0.32: the gate is closed.
    assert_eq!(of(&machine(16.0, 8.0, 0.0, 2.0)), Some(125.0));
    // The task does not fit.
    assert_eq!(of(&machine(16.0, 15.0, 0.0, 2.0)), None);
}

#[test]
fn first_machine_wins_ties() {
    let m = machine(16.0, 0.0, 0.0, 0.0);
    let best_candidate = best(&TASK, [("a", &m), ("b", &m)], &Weights::default());
    assert_eq!(best_candidate.map(|t| t.0), Some("a"));
}

#[test]
fn keeps_ordinary_and_large_machines_free_if_others_suffice() {
    let weights = Weights::default();
    let on_demand = machine(16.0, 0.0, 0.0, 0.0);
    let spot = Candidate {
        spot: true,
        ..on_demand.clone()
    };
    let small = machine(4.0, 0.0, 0.0, 0.0);
    let all = [("large", &on_demand), ("spot", &spot), ("small", &small)];
    assert_eq!(best(&TASK, all, &weights).map(|t| t.0), Some("spot"));
    let two = [("large", &on_demand), ("small", &small)];
    let rush = Task {
        need: small.total,
        ..TASK
    };
    assert_eq!(best(&rush, two, &weights).map(|t| t.0), Some("small"));
    let service = Task {
        service: true,
        spot: false,
        ..TASK
    };
    let service_share = Candidate {
        service_share: 0.5,
        ..machine(16.0, 8.0, 32.0, 0.0)
    };
    let two = [("empty", &on_demand), ("kept", &service_share)];
    assert_eq!(best(&service, two, &weights).map(|t| t.0), Some("kept"));
}
