//! Eight more rows: what users get to see, what a new leader or holder finds, and
//! messages of those that are none any more. Each seed is about another controller
//! (the leader or a follower) and another distance between the troubles.

use std::time::Duration;

use oliveshift_testkit::{ExtraJobs, Fault, Outcome};

use crate::{
    MS, S,
    rows::{
        LONG, Meeting, PATIENT, SMALL_JOBS, URGENT, cut_machines, ends, first_leads, node_of, span,
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

/// The distance between two troubles that a seed is about, in steps.
fn step_of(seed: u64) -> u32 {
    seed as u32 / 3 % 4
}

/// Users look closely all day.
pub fn close_looks() -> Fault {
    Fault::FollowUpRequests {
        from: S * 5,
        until: S * 200,
    }
}

/// Whether a task of both teams kept it at its limit within a span of seconds.
fn all_at_limit(outcome: &Outcome, from: u64, until: u64) -> bool {
    ["red", "blue"].iter().all(|team| {
        let at_limit =
            |(at, name): &(Duration, String)| span(from, until).contains(at) && name == team;
        outcome.at_limit.iter().any(at_limit)
    })
}

/// Whether jobs with tasks on machines were cancelled within a span of seconds.
fn cancelled_on_machines(outcome: &Outcome, from: u64, until: u64) -> bool {
    let told = outcome.evidence.cancelled.iter();
    told.filter(|c| c.on > 0)
        .any(|c| span(from, until).contains(&c.at))
}

pub const OBSERVERS: [Meeting; 8] = [
    Meeting {
        name: "users ask at all nodes within milliseconds and repeat the submission, and \
               some cancel at once, while nodes are new, behind or cut",
        crowds: &[SMALL_JOBS],
        faults: |seed| {
            let node = node_of(seed);
            vec![
                close_looks(),
                ends(node, S * 60, MS * 300),
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
        met: |_, outcome| {
            let seen = &outcome.evidence;
            seen.follow_up_answers[0] > 100
                && seen.follow_up_answers[1] > 100
                && seen.follow_up_answers[2] > 2
                && seen.overtaken_follow_ups > 20
        },
    },
    Meeting {
        name: "a transaction is carried out at once and only its answer is lost, while \
               other nodes read what it wrote",
        crowds: &[SMALL_JOBS],
        faults: |seed| {
            vec![
                Fault::LostAnswers {
                    one_in: 3,
                    from: S * 20,
                    until: S * 120,
                },
                close_looks(),
                ends(node_of(seed), S * 70 + MS * (700 * step_of(seed)), MS * 300),
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
        met: |_, outcome| {
            outcome.evidence.lost_answers > 30 && outcome.evidence.follow_up_answers[0] > 50
        },
    },
    Meeting {
        name: "every team is at its limit while jobs are cancelled whose machines are cut \
               off or hang, and the leader changes",
        crowds: &[URGENT, PATIENT],
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
                ends(0, S * 46 + MS * (800 * step_of(seed)), S * 6),
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
        met: |_, outcome| {
            all_at_limit(outcome, 30, 60)
                && outcome.evidence.leaders_in(span(46, 60)) > 0
                && cancelled_on_machines(outcome, 44, 60)
        },
    },
    Meeting {
        name: "jobs are cancelled in the seconds in which one controller's work changes hands",
        crowds: &[LONG],
        faults: |seed| {
            let node = node_of(seed);
            // It ends, or loses its workers and keeps the rest.
            let loses = match step_of(seed) % 2 {
                0 => ends(node, S * 50, S * 9),
                _ => Fault::CutWorkers {
                    node: Some(node),
                    machine_group: None,
                    from: S * 48,
                    until: S * 75,
                },
            };
            let mut faults = vec![loses];
            faults.extend((0..4).map(|i| Fault::CancelBurst {
                count: 2,
                at: S * 50 + MS * (350 * step_of(seed) + 1100 * i),
            }));
            faults
        },
        met: |_, outcome| cancelled_on_machines(outcome, 50, 57),
    },
    Meeting {
        name: "new machines are up within two seconds and get work at once while writes \
               lag, and the leader ends",
        crowds: &[URGENT],
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
                ends(0, S * 24 + MS * (900 * step_of(seed)), MS * 400),
                ends(node_of(seed), S * 40 + MS * (900 * step_of(seed)), S * 3),
                second,
                third,
            ]
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let early = seen.early_starts.iter();
            early.filter(|at| span(18, 100).contains(at)).count() > 2
                && seen.late_writes.len() > 10
                && seen.leaders_in(span(24, 60)) > 0
        },
    },
    Meeting {
        name: "an old report reaches every controller just as a new leader begins",
        crowds: &[LONG],
        faults: |seed| {
            // All are away for longer than a lease, so the copies that the next leader
            // gets are of the session before.
            let away = |node: usize| {
                let later = (node + node_of(seed)) % 3;
                ends(
                    node,
                    S * 32,
                    S * 13 + MS * (700 * step_of(seed)) + S * later as u32,
                )
            };
            vec![
                Fault::ReportsForNextLeader {
                    one_in: 3,
                    from: S * 15,
                    until: S * 110,
                },
                away(0),
                away(1),
                away(2),
                ends(node_of(seed), S * 62, S * 5),
                ends(1, S * 85, S * 4),
                ends(2, S * 95, MS * 500),
            ]
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let old_session = seen.old_reports.iter().any(|(_, earlier)| *earlier);
            seen.reports_for_leader > 10 && old_session && seen.leaders_in(span(40, 60)) > 0
        },
    },
    Meeting {
        name: "one-task jobs come four a second for minutes, a quarter of them cancelled",
        crowds: &[SINGLES],
        faults: |seed| match step_of(seed) {
            0 => Vec::new(),
            step => vec![
                ends(node_of(seed), S * 60, MS * (300 * step)),
                Fault::StateOutage {
                    from: S * 90,
                    until: S * (92 + 4 * step),
                },
            ],
        },
        met: |_, outcome| outcome.accepted > 480 && outcome.cancelled.len() > 90,
    },
    Meeting {
        name: "a command of a leader or holder that has ended or was deposed arrives after \
               the new one's",
        crowds: &[URGENT],
        faults: |seed| {
            let node = node_of(seed);
            vec![
                Fault::DelayedOrders {
                    one_in: 2,
                    from: S * 20,
                    until: S * 110,
                },
                ends(node, S * 50 + MS * (600 * step_of(seed)), MS * 300),
                Fault::CutWorkers {
                    node: Some((node + 1) % 3),
                    machine_group: None,
                    from: S * 68,
                    until: S * 84,
                },
                ends((node + 2) % 3, S * 92, S * 3),
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
        met: |_, outcome| {
            let late = &outcome.evidence.late_orders;
            late.iter().any(|order| order.sender_ended) && late.iter().any(|order| order.fenced)
        },
    },
];
