//! Late copies of direct orders that were executed and answered have no effect.

use std::{
    ops::Range,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    CopiedStart, ExtraJobs, Fault, RuleViolation, Size, World, draw_combined_faults,
    draw_incidents, draw_quick_restarts, run_seeds_in_parallel,
};
use oliveshift_wire::worker::EndCause;

const S: Duration = Duration::from_secs(1);

/// Copies of all direct orders of a day.
const COPY_ALL: Fault = Fault::CopiedOrders {
    one_in: 1,
    from: Duration::ZERO,
    until: Duration::from_secs(200),
};

/// A situation in which copies arrive.
struct Situation {
    name: &'static str,
    faults: fn(u64) -> Vec<Fault>,
    /// Whether a copy arrived in this situation.
    occurred: fn(&CopiedStart) -> bool,
}

fn faulty_machines(_: u64) -> Vec<Fault> {
    let faulty = |machine| Fault::FaultyMachine {
        machine,
        at: S * (10 + 20 * machine as u32),
    };
    (0..5).map(faulty).collect()
}

fn cancel_bursts(_: u64) -> Vec<Fault> {
    let burst = |second| Fault::CancelBurst {
        count: 3,
        at: S * second,
    };
    (2..15).map(|n| burst(n * 10)).collect()
}

/// Kills the controllers again and again; each is back within a second.
fn restarts(nodes: Range<usize>) -> Vec<Fault> {
    let times = (3..30).map(|n| S * (n * 5));
    times
        .flat_map(|at| {
            nodes.clone().map(move |node| Fault::Restart {
                node,
                at,
                restart_after: Duration::from_millis(150),
            })
        })
        .chain(faulty_machines(0))
        .collect()
}

fn one_controller_restarts(seed: u64) -> Vec<Fault> {
    let node = seed as usize % 3;
    restarts(node..node + 1)
}

fn all_controllers_restart(_: u64) -> Vec<Fault> {
    restarts(0..3)
}

const SITUATIONS: [Situation; 8] = [
    Situation {
        name: "failed and started elsewhere",
        faults: faulty_machines,
        occurred: |copy| copy.ended == Some(EndCause::Error) && copy.is_elsewhere,
    },
    Situation {
        name: "moved to another machine",
        faults: |_| Vec::new(),
        occurred: |copy| copy.ended == Some(EndCause::Stopped) && copy.is_elsewhere,
    },
    Situation {
        name: "stopped by preemption",
        faults: |_| Vec::new(),
        occurred: |copy| copy.ended == Some(EndCause::Stopped) && !copy.is_cancelled,
    },
    Situation {
        name: "cancelled and confirmed",
        faults: cancel_bursts,
        occurred: |copy| copy.ended.is_some() && copy.is_cancelled,
    },
    Situation {
        name: "done",
        faults: |_| Vec::new(),
        occurred: |copy| copy.ended == Some(EndCause::Done),
    },
    Situation {
        name: "one controller killed and back within a second",
        faults: one_controller_restarts,
        occurred: |copy| copy.ended.is_some() && copy.sender_restarted,
    },
    Situation {
        name: "all controllers killed and back within a second",
        faults: all_controllers_restart,
        occurred: |copy| copy.ended.is_some() && copy.sender_restarted,
    },
    Situation {
        name: "the successor has not reached the worker",
        faults: all_controllers_restart,
        occurred: |copy| copy.ended.is_some() && copy.sender_restarted && copy.successor_unheard,
    },
];

/// A day with many one-task jobs, a quarter of which are cancelled, and preemption.
fn crowded_world(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> World {
    let size = Size {
        jobs: 48,
        ..Size::SMALL
    };
    let mut world = World::sized(size, seed, S * 150, faults, sabotage);
    let jobs = |class, team, cancel_one_in| ExtraJobs {
        class,
        team,
        jobs: 60,
        tasks: 1,
        cpus: 2.0,
        from: S * 10,
        until: S * 140,
        cancel_one_in,
    };
    world.add_extra_jobs(seed, &jobs("bulk", "red", 4));
    world.add_extra_jobs(seed + 1, &jobs("rush", "blue", 4));
    world
}

/// Plays days of a situation. Returns the number of copies that arrived in it, and the rules
/// that were violated.
fn play(situation: &Situation, sabotage: Option<Sabotage>) -> (usize, Vec<RuleViolation>) {
    let result = Mutex::new((0, Vec::new()));
    run_seeds_in_parallel(0..6, |seed| {
        let mut faults = (situation.faults)(seed);
        faults.push(COPY_ALL);
        let outcome = crowded_world(seed, faults, sabotage).run(S * 400);
        let copied = outcome.evidence.copied_starts.iter();
        let copies = copied.filter(|copy| (situation.occurred)(copy)).count();
        if sabotage.is_none() {
            let name = situation.name;
            assert_eq!(outcome.open, [], "{name}, seed {seed}");
            assert_eq!(outcome.violations, [], "{name}, seed {seed}");
        }
        let mut result = result.lock().expect("no other day has failed");
        result.0 += copies;
        let rules = outcome.violations.iter().map(|(_, rule, _)| *rule);
        result.1.extend(rules);
    });
    result.into_inner().expect("no day has failed")
}

#[test]
fn a_copied_start_does_not_run_a_forgotten_attempt_anew() {
    for situation in SITUATIONS {
        let (copies, _) = play(&situation, None);
        println!("{}: {copies} copies", situation.name);
        assert!(copies > 0, "{}: no copy arrived", situation.name);
    }
}

#[test]
fn forgetting_before_copies_are_fenced_is_caught() {
    let violations: Vec<_> = SITUATIONS
        .iter()
        .flat_map(|situation| play(situation, Some(Sabotage::EarlyForget)).1)
        .collect();
    for rule in [
        RuleViolation::RanAnew,
        RuleViolation::RanTwice,
        RuleViolation::Invariant,
    ] {
        assert!(violations.contains(&rule), "{rule:?} was not violated");
    }
}

/// Plays drawn days with copies of all direct orders.
fn assert_copies_have_no_effect(seeds: Range<u64>) {
    let days = seeds.end - seeds.start;
    let forgotten = AtomicU64::new(0);
    run_seeds_in_parallel(seeds, |seed| {
        let draw = match seed % 3 {
            0 => draw_quick_restarts,
            1 => draw_incidents,
            _ => draw_combined_faults,
        };
        let mut faults = vec![COPY_ALL];
        faults.extend(draw(seed, 3, S * 180));
        let outcome = World::sized(Size::SMALL, seed, S * 150, faults, None).run(S * 420);
        let copied = outcome.evidence.copied_starts.iter();
        let reached = copied.filter(|copy| copy.is_forgotten).count();
        forgotten.fetch_add(reached as u64, Ordering::Relaxed);
        assert_eq!(outcome.violations, [], "seed {seed}");
        assert_eq!(outcome.open, [], "seed {seed}");
    });
    let forgotten = forgotten.into_inner();
    println!("{forgotten} copies reached a worker that had forgotten the attempt");
    assert!(forgotten > days, "{forgotten} copies");
}

#[test]
fn copied_starts_have_no_effect_on_drawn_days() {
    assert_copies_have_no_effect(5000..5024);
}

#[test]
#[ignore = "takes minutes"]
fn copied_starts_have_no_effect_on_many_drawn_days() {
    assert_copies_have_no_effect(5000..5240);
}

/// The operators' limit on the reports of a worker.
const MAX_REPORT_BYTES_PER_SECOND: usize = 3000;
/// The protocol's limit on the body of a request.
const MAX_BODY_BYTES: usize = 64 * 1024;
const LOAD_DURATION: Duration = Duration::from_secs(700);

/// A load under which ends and restarted attempts are as frequent as possible.
struct Load {
    name: &'static str,
    faults: fn() -> Vec<Fault>,
    add_jobs: fn(&mut World),
    /// Limit on the ended tasks in a report: the attempts that may await a higher token, and
    /// twice the tasks that the largest machine can run, as their ends also await their
    /// record.
    max_ended: usize,
}

/// One-task jobs, four a second for ten minutes, a quarter of which are cancelled.
fn add_one_task_jobs(world: &mut World) {
    for (seed, team) in [(1, "red"), (2, "blue")] {
        let jobs = ExtraJobs {
            class: "bulk",
            team,
            jobs: 1200,
            tasks: 1,
            cpus: 1.0,
            from: S * 10,
            until: S * 610,
            cancel_one_in: 4,
        };
        world.add_extra_jobs(seed, &jobs);
    }
}

/// Arrays of thousands of tasks that are short and small.
fn add_large_arrays(world: &mut World) {
    let jobs = ExtraJobs {
        class: "bulk",
        team: "red",
        jobs: 4,
        tasks: 2500,
        cpus: 0.5,
        from: S * 10,
        until: S * 200,
        cancel_one_in: 0,
    };
    world.add_extra_jobs(3, &jobs);
    world.scale_estimates("bulk", 0.1);
}

/// All controllers restart, and the state service is out before they have read much.
fn restart_and_outage() -> Vec<Fault> {
    let restart = |node| Fault::Restart {
        node,
        at: S * 100,
        restart_after: Duration::from_millis(150),
    };
    let mut faults: Vec<_> = (0..3).map(restart).collect();
    faults.push(Fault::StateOutage {
        from: S * 104,
        until: S * 190,
    });
    faults
}

const LOADS: [Load; 3] = [
    Load {
        name: "one-task jobs",
        faults: Vec::new,
        add_jobs: add_one_task_jobs,
        max_ended: 16 + 2 * 16,
    },
    Load {
        name: "one-task jobs, and an outage after a restart of all controllers",
        faults: restart_and_outage,
        add_jobs: add_one_task_jobs,
        max_ended: 16 + 2 * 16,
    },
    Load {
        name: "large arrays of short tasks",
        faults: Vec::new,
        add_jobs: add_large_arrays,
        max_ended: 16 + 2 * 32,
    },
];

#[test]
fn reports_stay_small_although_attempts_await_a_higher_token() {
    run_seeds_in_parallel(0..LOADS.len() as u64, |row| {
        let load = &LOADS[row as usize];
        let mut faults = (load.faults)();
        faults.push(COPY_ALL);
        let mut world = World::sized(Size::FEW_JOBS, 7, S * 150, faults, None);
        (load.add_jobs)(&mut world);
        let outcome = world.run(LOAD_DURATION);
        let name = load.name;
        let reported = &outcome.load;
        // Machines that are rented besides make the mean smaller.
        let machine_seconds = LOAD_DURATION.as_secs() as usize * Size::FEW_JOBS.machines;
        let bytes_per_second = reported.report_bytes / machine_seconds;
        println!(
            "{name}: {bytes_per_second} B/s a worker, {} B and {} ended tasks at most in a report",
            reported.max_report_bytes, reported.max_ended_listed
        );
        assert!(bytes_per_second <= MAX_REPORT_BYTES_PER_SECOND, "{name}");
        assert!(reported.max_report_bytes <= MAX_BODY_BYTES, "{name}");
        assert!(reported.max_ended_listed <= load.max_ended, "{name}");
        assert_eq!(outcome.violations, [], "{name}");
        assert_eq!(outcome.open, [], "{name}");
    });
}
