//! Orders and requests to the cloud that are held up on their way for up to minutes.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Evidence, Fault, Outcome, RuleViolation, Size, World};

const S: Duration = Duration::from_secs(1);
/// How long users submit jobs.
const BUSY: Duration = Duration::from_secs(150);
/// End of the troubles.
const UNTIL: Duration = Duration::from_secs(180);
/// End of a run: all that was held up has arrived by then, and leases have ended since.
const END: Duration = Duration::from_secs(420);
/// The longest time for which an order is held up.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(170);

/// A trouble that meets held messages.
struct Row {
    name: &'static str,
    faults: fn() -> Vec<Fault>,
}

/// The same trouble three times, from 35, 80 and 125 s on.
fn spells(length_s: u32, fault: fn(Duration, Duration) -> Fault) -> Vec<Fault> {
    let starts = [35, 80, 125].map(|second| S * second);
    starts
        .map(|from| fault(from, from + S * length_s))
        .into_iter()
        .collect()
}

fn restarts() -> Vec<Fault> {
    let restart = |second: u32| Fault::Restart {
        node: second as usize / 12 % 3,
        at: S * second,
        restart_after: Duration::from_millis(150),
    };
    (2..14).map(|n| restart(n * 12)).collect()
}

const ROWS: [Row; 7] = [
    Row {
        name: "no other trouble",
        faults: Vec::new,
    },
    Row {
        name: "the holder is killed in between",
        faults: restarts,
    },
    Row {
        name: "machines are deaf",
        faults: || {
            spells(9, |from, until| Fault::AnswersLost {
                machine_group: 0,
                from,
                until,
            })
        },
    },
    Row {
        name: "machines are mute",
        faults: || {
            spells(9, |from, until| Fault::ReportsLost {
                machine_group: 1,
                from,
                until,
            })
        },
    },
    Row {
        name: "machines hang within their leases",
        faults: || {
            spells(9, |from, until| Fault::WorkerHang {
                machine_group: 2,
                from,
                until,
            })
        },
    },
    Row {
        name: "sessions end",
        faults: || {
            spells(20, |from, until| Fault::ReportsLost {
                machine_group: 0,
                from,
                until,
            })
        },
    },
    Row {
        name: "the state service is out for longer than a cancellation has",
        faults: || spells(34, |from, until| Fault::StateOutage { from, until }),
    },
];

fn run(seed: u64, faults: Vec<Fault>) -> Outcome {
    run_with(seed, faults, None)
}

fn run_with(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let size = Size {
        jobs: 48,
        ..Size::SMALL
    };
    let mut world = World::sized(size, seed, BUSY, faults, sabotage);
    world.set_max_order_delay(MAX_ORDER_DELAY);
    world.run(END)
}

/// Direct orders that are held up, and cancellations.
fn held_orders() -> Vec<Fault> {
    let bursts = (2..17).map(|n| Fault::CancelBurst {
        count: 3,
        at: S * (n * 10),
    });
    let held = Fault::DelayedOrders {
        one_in: 3,
        from: Duration::ZERO,
        until: UNTIL,
    };
    bursts.chain([held]).collect()
}

#[test]
fn a_start_that_was_held_up_does_not_run_after_its_jobs_time_for_cancelling() {
    for (number, row) in ROWS.iter().enumerate() {
        let mut late_starts = 0;
        for seed in 0..3 {
            let mut faults = (row.faults)();
            faults.extend(held_orders());
            let outcome = run(7200 + 10 * number as u64 + seed, faults);
            assert_eq!(outcome.violations, [], "{}, seed {seed}", row.name);
            late_starts += outcome.evidence.late_starts_of_cancelled_jobs;
        }
        assert!(late_starts > 0, "{}: no start arrived late", row.name);
    }
}

#[test]
fn missing_stops_of_cancelled_tasks_are_caught() {
    let outcome = run_with(7200, held_orders(), Some(Sabotage::NoStops));
    let mut violations = outcome.violations.iter();
    let caught = violations.any(|(_, rule, _)| *rule == RuleViolation::RanCancelled);
    assert!(caught, "{:?}", outcome.violations);
}

/// Machines that are back at once again and again, while direct orders are held up.
fn machine_restarts(remembers_session: bool) -> Vec<Fault> {
    let restarts = (2..15).map(|n| Fault::MachineRestart {
        remembers_session,
        machine_group: n as usize % 3,
        at: S * (n * 11),
    });
    let mut faults: Vec<_> = restarts.collect();
    faults.push(Fault::DelayedOrders {
        one_in: 4,
        from: Duration::ZERO,
        until: UNTIL,
    });
    faults
}

/// Machines that appear, go or are back when nobody expects it.
struct Unexpected {
    name: &'static str,
    faults: Vec<Fault>,
    has_occurred: fn(&Evidence) -> bool,
}

#[test]
fn machines_that_are_rented_returned_or_back_unexpectedly_run_nothing_twice() {
    let late_calls = Fault::LateCloudCalls {
        one_in: 2,
        from: Duration::ZERO,
        until: UNTIL,
    };
    let and_restarts = restarts().into_iter().chain([late_calls.clone()]);
    let many_late = |evidence: &Evidence| evidence.late_cloud_calls > 5;
    let many_restarts = |evidence: &Evidence| evidence.machine_restarts.1 > 5;
    let troubles = [
        Unexpected {
            name: "rentals and returns are carried out late",
            faults: vec![late_calls.clone()],
            has_occurred: many_late,
        },
        Unexpected {
            name: "the same, and all controllers are killed",
            faults: and_restarts.collect(),
            has_occurred: many_late,
        },
        Unexpected {
            name: "machines are back at once under their names",
            faults: machine_restarts(true),
            has_occurred: many_restarts,
        },
    ];
    for (number, trouble) in troubles.into_iter().enumerate() {
        for seed in 0..6 {
            let outcome = run(7300 + 10 * number as u64 + seed, trouble.faults.clone());
            let name = trouble.name;
            assert_eq!(outcome.violations, [], "{name}, seed {seed}");
            let has_occurred = (trouble.has_occurred)(&outcome.evidence);
            assert!(has_occurred, "{name}, seed {seed}");
        }
    }
}

#[test]
fn machines_back_in_their_first_session_leave_no_job_waiting() {
    for seed in 7320..7326 {
        let outcome = run(seed, machine_restarts(false));
        assert!(outcome.evidence.machine_restarts.1 > 5, "seed {seed}");
        assert_eq!(outcome.violations, [], "seed {seed}");
    }
}
