//! Eight more combinations of faults: the answers that users see, the state that a new leader or
//! holder finds, and messages of former leaders and holders. Each seed selects a controller (the
//! leader or a follower) and the time between the faults.

use std::time::Duration;

use oliveshift_testkit::{ExtraJobs, Fault, Outcome};

use crate::{
    MS, S,
    rows::{
        FaultCombination, LONG, PATIENT, SMALL_JOBS, URGENT, cut_machines, first_leads, node_of,
        restart, span,
    },
};

/// One-task jobs, four a second for two minutes, a quarter of them cancelled.
pub const SINGLES: ExtraJobs = ExtraJobs {
    class: "single",
    team: "red",
    jobs: 480,
    tasks: 1,
    cpus: 0.5,
    from: Duration::from_secs(15),
    until: Duration::from_secs(135),
    cancel_one_in: 4,
};

/// The time between two faults that a seed selects, in steps.
fn step_of(seed: u64) -> u32 {
    seed as u32 / 3 % 4
}

/// Users send follow-up requests throughout the simulation.
pub fn follow_up_requests() -> Fault {
    Fault::FollowUpRequests {
        from: S * 5,
        until: S * 200,
    }
}

/// Whether both teams were at their limits between two times in seconds.
fn all_at_limit(outcome: &Outcome, from: u64, until: u64) -> bool {
    ["red", "blue"].iter().all(|team| {
        let at_limit =
            |(at, name): &(Duration, String)| span(from, until).contains(at) && name == team;
        outcome.at_limit.iter().any(at_limit)
    })
}

/// Whether jobs with tasks on machines were cancelled between two times in seconds.
fn cancelled_on_machines(outcome: &Outcome, from: u64, until: u64) -> bool {
    let cancelled = outcome.evidence.cancelled.iter();
    cancelled
        .filter(|c| c.on > 0)
        .any(|c| span(from, until).contains(&c.at))
}

pub const OBSERVERS: [FaultCombination; 8] = [
    FaultCombination {
        name: "users query all controllers within milliseconds and repeat the submission, and \
               some cancel at once, while controllers are new, lagging or cut off",
        extra_jobs: &[SMALL_JOBS],
        faults: |seed| {
            let node = node_of(seed);
            vec![
                follow_up_requests(),
                restart(node, S * 60, MS * 300),
                Fault::CutState {
                    node: (node + 1) % 3,
                    from: S * 70,
                    until: S * (74 + 4 * step_of(seed)),
                },
                Fault::ControllerLag {
                    node,
                    lag: MS * (200 + 300 * step_of(seed)),
                    from: S * 95,
                    until: S * 120,
                },
            ]
        },
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            evidence.follow_up_answers[0] > 100
                && evidence.follow_up_answers[1] > 100
                && evidence.follow_up_answers[2] > 2
                && evidence.overtaken_follow_ups > 20
        },
    },
    FaultCombination {
        name: "a transaction is executed at once and only its answer is lost, while other \
               controllers read what it wrote",
        extra_jobs: &[SMALL_JOBS],
        faults: |seed| {
            vec![
                Fault::LostAnswers {
                    one_in: 3,
                    from: S * 20,
                    until: S * 120,
                },
                follow_up_requests(),
                restart(node_of(seed), S * 70 + MS * (700 * step_of(seed)), MS * 300),
                Fault::CancelBurst {
                    count: 4,
                    at: S * 50,
                },
                Fault::CancelBurst {
                    count: 4,
                    at: S * 72,
                },
            ]
        },
        occurred: |_, outcome| {
            outcome.evidence.lost_answers > 30 && outcome.evidence.follow_up_answers[0] > 50
        },
    },
    FaultCombination {
        name: "every team is at its limit while jobs are cancelled whose machines are cut \
               off or hang, and the leader changes",
        extra_jobs: &[URGENT, PATIENT],
        faults: |seed| {
            let machine_group = node_of(seed);
            let [second, third] = first_leads();
            vec![
                Fault::WorkerHang {
                    machine_group,
                    from: S * 42,
                    until: S * (50 + 4 * step_of(seed)),
                },
                cut_machines((machine_group + 1) % 3, 44, 68),
                restart(0, S * 46 + MS * (800 * step_of(seed)), S * 6),
                Fault::CancelBurst {
                    count: 6,
                    at: S * 45,
                },
                Fault::CancelBurst {
                    count: 6,
                    at: S * 49,
                },
                second,
                third,
            ]
        },
        occurred: |_, outcome| {
            all_at_limit(outcome, 30, 60)
                && outcome.evidence.leaders_in(span(46, 60)) > 0
                && cancelled_on_machines(outcome, 44, 60)
        },
    },
    FaultCombination {
        name: "jobs are cancelled in the seconds in which one controller's work is handed over",
        extra_jobs: &[LONG],
        faults: |seed| {
            let node = node_of(seed);
            // The controller restarts, or loses its workers only.
            let fault = match step_of(seed) % 2 {
                0 => restart(node, S * 50, S * 9),
                _ => Fault::CutWorkers {
                    node: Some(node),
                    machine_group: None,
                    from: S * 48,
                    until: S * 75,
                },
            };
            let mut faults = vec![fault];
            faults.extend((0..4).map(|i| Fault::CancelBurst {
                count: 2,
                at: S * 50 + MS * (350 * step_of(seed) + 1100 * i),
            }));
            faults
        },
        occurred: |_, outcome| cancelled_on_machines(outcome, 50, 57),
    },
    FaultCombination {
        name: "new machines are up within two seconds and get work at once while writes \
               lag, and the leader stops",
        extra_jobs: &[URGENT],
        faults: |seed| {
            let [second, third] = first_leads();
            vec![
                Fault::FastBoots {
                    from: Duration::ZERO,
                    until: S * 150,
                },
                Fault::LateWrites {
                    one_in: 2,
                    from: S * 18,
                    until: S * 90,
                },
                Fault::MachineCrash {
                    machine_group: node_of(seed),
                    at: S * 20,
                },
                Fault::MachineCrash {
                    machine_group: (node_of(seed) + 1) % 3,
                    at: S * 36,
                },
                Fault::MachineCrash {
                    machine_group: (node_of(seed) + 2) % 3,
                    at: S * 52,
                },
                restart(0, S * 24 + MS * (900 * step_of(seed)), MS * 400),
                restart(node_of(seed), S * 40 + MS * (900 * step_of(seed)), S * 3),
                second,
                third,
            ]
        },
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let early = evidence.early_starts.iter();
            early.filter(|at| span(18, 100).contains(at)).count() > 2
                && evidence.late_writes.len() > 10
                && evidence.leaders_in(span(24, 60)) > 0
        },
    },
    FaultCombination {
        name: "an old report reaches every controller just as a new leader takes over",
        extra_jobs: &[LONG],
        faults: |seed| {
            // All controllers are down for longer than a lease, so the copies that the next
            // leader receives belong to the previous session.
            let long_restart = |node: usize| {
                let order = (node + node_of(seed)) % 3;
                restart(
                    node,
                    S * 32,
                    S * 13 + MS * (700 * step_of(seed)) + S * order as u32,
                )
            };
            vec![
                Fault::ReportsForNextLeader {
                    one_in: 3,
                    from: S * 15,
                    until: S * 110,
                },
                long_restart(0),
                long_restart(1),
                long_restart(2),
                restart(node_of(seed), S * 62, S * 5),
                restart(1, S * 85, S * 4),
                restart(2, S * 95, MS * 500),
            ]
        },
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let of_earlier_session = evidence
                .old_reports
                .iter()
                .any(|(_, earlier_session)| *earlier_session);
            evidence.reports_for_leader > 10
                && of_earlier_session
                && evidence.leaders_in(span(40, 60)) > 0
        },
    },
    FaultCombination {
        name: "one-task jobs come four a second for minutes, a quarter of them cancelled",
        extra_jobs: &[SINGLES],
        faults: |seed| match step_of(seed) {
            0 => Vec::new(),
            step => vec![
                restart(node_of(seed), S * 60, MS * (300 * step)),
                Fault::StateOutage {
                    from: S * 90,
                    until: S * (92 + 4 * step),
                },
            ],
        },
        occurred: |_, outcome| outcome.accepted > 480 && outcome.cancelled.len() > 90,
    },
    FaultCombination {
        name: "an order of a leader or holder that has stopped or lost its role arrives \
               after one of its successor",
        extra_jobs: &[URGENT],
        faults: |seed| {
            let node = node_of(seed);
            vec![
                Fault::DelayedOrders {
                    one_in: 2,
                    from: S * 20,
                    until: S * 110,
                },
                restart(node, S * 50 + MS * (600 * step_of(seed)), MS * 300),
                Fault::CutWorkers {
                    node: Some((node + 1) % 3),
                    machine_group: None,
                    from: S * 68,
                    until: S * 84,
                },
                restart((node + 2) % 3, S * 92, S * 3),
                Fault::CancelBurst {
                    count: 4,
                    at: S * 52,
                },
                Fault::CancelBurst {
                    count: 4,
                    at: S * 74,
                },
            ]
        },
        occurred: |_, outcome| {
            let late = &outcome.evidence.late_orders;
            late.iter().any(|order| order.sender_ended) && late.iter().any(|order| order.fenced)
        },
    },
];
