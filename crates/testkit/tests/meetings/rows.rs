//! The first eighteen rows: what happens to controllers, machines and the state
//! service.

use std::{ops::Range, time::Duration};

use oliveshift_testkit::{
    ExtraJobs, Fault, Outcome,
    evidence::{Cancelled, LateWrite},
};
use oliveshift_wire::job::{JobSpec, Shape};

use crate::{MS, S};

/// A meeting.
pub struct Meeting {
    pub name: &'static str,
    /// Jobs that come besides the drawn ones.
    pub crowds: &'static [ExtraJobs],
    pub faults: fn(seed: u64) -> Vec<Fault>,
    /// Whether the troubles met.
    pub met: fn(seed: u64, &Outcome) -> bool,
}

/// The controller that a seed is about.
pub fn node_of(seed: u64) -> usize {
    seed as usize % 3
}

pub fn span(from: u64, until: u64) -> Range<Duration> {
    S * from as u32..S * until as u32
}

pub fn ends(node: usize, at: Duration, restart_after: Duration) -> Fault {
    Fault::Restart {
        node,
        at,
        restart_after,
    }
}

pub fn cut_machines(machine_group: usize, from: u32, until: u32) -> Fault {
    Fault::CutWorkers {
        node: None,
        machine_group: Some(machine_group),
        from: S * from,
        until: S * until,
    }
}

pub fn refused(node: usize, from: u32, until: u32) -> Fault {
    Fault::StateRefusesNode {
        node,
        from: S * from,
        until: S * until,
    }
}

/// Cut from the state service and from all other controllers.
pub fn lone(node: usize, from: u32, until: u32) -> [Fault; 2] {
    let (from, until) = (S * from, S * until);
    [
        Fault::CutState { node, from, until },
        Fault::CutPeers { node, from, until },
    ]
}

/// The others come up later, so the first one leads.
pub fn first_leads() -> [Fault; 2] {
    [1, 2].map(|node| ends(node, Duration::ZERO, S * 2))
}

/// The state service refuses one controller, users call jobs off through others,
/// then it is down for all for longer than the 30 s that a cancellation has.
/// `gap_ms` lies between the refusal and the outage.
pub fn first_meeting(node: usize, gap_ms: u32) -> Vec<Fault> {
    let [second, third] = first_leads();
    vec![
        refused(node, 40, 54),
        second,
        third,
        Fault::CancelBurst {
            count: 6,
            at: S * 40 + MS * (gap_ms * 2 / 3),
        },
        Fault::StateOutage {
            from: S * 40 + MS * gap_ms,
            until: S * 82,
        },
    ]
}

/// Whether somebody else confirmed a cancellation while the one refused led, and
/// workers went on getting its answers.
pub fn first_met(node: usize, outcome: &Outcome) -> bool {
    let seen = &outcome.evidence;
    let leader = seen.leader_changes.iter().rfind(|(at, _)| *at < S * 40);
    let told = seen
        .cancelled
        .iter()
        .find(|c| (S * 40..S * 45).contains(&c.at) && c.by != node && c.on > 0);
    let told_at = told.map(|c| c.at);
    leader.is_some_and(|(_, n)| *n == node)
        && told_at.is_some_and(|told| {
            let later = |(at, by): &(Duration, usize)| *by == node && *at > told + S * 5;
            seen.lease_renewals.iter().any(later)
        })
}

/// Controllers end one after the other, all three within each ten seconds.
fn ten_changes(seed: u64) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = vec![Fault::StateOutage {
        from: S * 80,
        until: S * 95,
    }];
    for round in 0..12u32 {
        let first = rng.usize(0..3);
        for i in 0..3u32 {
            let at = S * (30 + 10 * round) + MS * (2500 * i + rng.u32(0..1500));
            let restart_after = MS * rng.u32(50..4000);
            faults.push(ends((first + i as usize) % 3, at, restart_after));
        }
    }
    faults
}

pub const SMALL_JOBS: ExtraJobs = ExtraJobs {
    class: "bulk",
    team: "red",
    jobs: 40,
    tasks: 3,
    cpus: 4.0,
    from: Duration::from_secs(30),
    until: Duration::from_secs(110),
    cancel_one_in: 0,
};
pub const URGENT: ExtraJobs = ExtraJobs {
    class: "rush",
    team: "red",
    jobs: 16,
    tasks: 12,
    cpus: 4.0,
    from: Duration::from_secs(20),
    until: Duration::from_secs(70),
    cancel_one_in: 0,
};
/// Few jobs of long tasks.
pub const LONG: ExtraJobs = ExtraJobs {
    class: "long",
    team: "red",
    jobs: 10,
    tasks: 6,
    cpus: 4.0,
    from: Duration::from_secs(5),
    until: Duration::from_secs(38),
    cancel_one_in: 0,
};
pub const PATIENT: ExtraJobs = ExtraJobs {
    class: "bulk",
    team: "blue",
    ..URGENT
};

/// Whether a task of a job bound to one zone had to start once more.
fn bound_started_again(outcome: &Outcome) -> bool {
    let mut starts: Vec<_> = outcome.starts.iter().map(|(_, task)| task).collect();
    starts.sort();
    let twice = starts.windows(2).filter(|pair| pair[0] == pair[1]);
    let mut jobs = twice.filter_map(|pair| outcome.jobs.get(&pair[0].job));
    jobs.any(|spec| spec.shape == Shape::Array && (spec.one_zone || spec.zone.is_some()))
}

/// Whether the tasks of a job of two or three ended far apart, with the lead
/// changing in between.
fn ended_across(outcome: &Outcome) -> bool {
    outcome.evidence.leader_changes.iter().any(|(led, _)| {
        outcome.ends.iter().any(|(first, task)| {
            let few = |spec: &JobSpec| (2..=3).contains(&spec.tasks);
            first < led
                && outcome.jobs.get(&task.job).is_some_and(few)
                && outcome.ends.iter().any(|(last, other)| {
                    other.job == task.job && last > led && *last - *first > S * 3
                })
        })
    })
}

pub const MEETINGS: [Meeting; 18] = [
    Meeting {
        name: "an old report arrives after newer ones, also of an earlier session",
        crowds: &[],
        faults: |seed| {
            let machine_group = node_of(seed);
            vec![
                Fault::LateReports {
                    one_in: 2,
                    from: S * 20,
                    until: S * 110,
                },
                Fault::WorkerHang {
                    machine_group,
                    from: S * 40,
                    until: S * 54,
                },
                ends(machine_group, S * 60, MS * 300),
                cut_machines((machine_group + 1) % 3, 70, 84),
            ]
        },
        met: |_, outcome| {
            let old = &outcome.evidence.old_reports;
            old.len() > 50 && old.iter().any(|(_, earlier_session)| *earlier_session)
        },
    },
    Meeting {
        name: "a team is at its limit when the lead changes, some machines can't be asked, \
               and a cancellation falls into that spell",
        crowds: &[URGENT],
        faults: |seed| {
            vec![
                cut_machines(node_of(seed), 44, 75),
                ends(0, S * 50, S * 6),
                Fault::CancelBurst {
                    count: 5,
                    at: S * 52,
                },
                Fault::CancelBurst {
                    count: 5,
                    at: S * 56,
                },
            ]
            .into_iter()
            .chain(first_leads())
            .collect()
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let at_limit = |(at, _): &(Duration, String)| span(40, 75).contains(at);
            let told = seen.cancelled.iter().filter(|c| c.on > 0);
            seen.leaders_in(span(50, 60)) > 0
                && outcome.at_limit.iter().any(at_limit)
                && told.filter(|c| span(50, 75).contains(&c.at)).count() > 0
        },
    },
    Meeting {
        name: "jobs are cancelled as the state service refuses the leader alone, and it is \
               out a second later for longer than a cancellation has",
        crowds: &[LONG],
        faults: |seed| first_meeting(0, 500 * (seed as u32 % 6) + 500),
        met: |_, outcome| first_met(0, outcome),
    },
    Meeting {
        name: "a leader ends while machines can't be reached or don't hear the new one",
        crowds: &[LONG],
        faults: |seed| {
            let (machine_group, from, until) = (node_of(seed), S * 45, S * 70);
            vec![
                ends(0, S * 50, S * 12),
                cut_machines(machine_group, 46, 66),
                Fault::AnswersLost {
                    machine_group: (machine_group + 1) % 3,
                    from,
                    until,
                },
            ]
            .into_iter()
            .chain(first_leads())
            .collect()
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            seen.leaders_in(span(50, 60)) > 0 && seen.lost_report_answers > 3 && outcome.lost > 0
        },
    },
    Meeting {
        name: "a report is held back until a new leader has acted, and then arrives there",
        crowds: &[],
        faults: |seed| {
            let held = |node| Fault::CutWorkers {
                node: Some(node),
                machine_group: Some(node_of(seed)),
                from: S * 46,
                until: S * 60,
            };
            let [second, third] = first_leads();
            vec![ends(0, S * 50, S * 30), held(1), held(2), second, third]
        },
        met: |_, outcome| {
            let across = &outcome.evidence.reports_across_leaders;
            across.iter().any(|at| span(59, 63).contains(at))
        },
    },
    Meeting {
        name: "jobs of two or three tasks end far apart across a change of leader",
        crowds: &[SMALL_JOBS],
        faults: |seed| {
            let restart_after = MS * (200 + 900 * (seed as u32 % 6));
            (0..8u32)
                .map(|i| {
                    ends(
                        (seed as usize + i as usize) % 3,
                        S * (40 + 9 * i),
                        restart_after,
                    )
                })
                .collect()
        },
        met: |_, outcome| ended_across(outcome),
    },
    Meeting {
        name: "a command or its answer is held up for seconds, and the machine goes on",
        crowds: &[],
        faults: |seed| {
            vec![
                Fault::DelayedOrders {
                    one_in: 2,
                    from: S * 20,
                    until: S * 130,
                },
                ends(node_of(seed), S * 60, MS * 400),
                Fault::CancelBurst {
                    count: 4,
                    at: S * 70,
                },
            ]
        },
        met: |_, outcome| outcome.evidence.delayed_orders > 20,
    },
    Meeting {
        name: "a cancellation, a question or a repeat meets the end of a job's last task",
        crowds: &[SMALL_JOBS],
        faults: |_| {
            vec![Fault::RequestsAtJobEnd {
                one_in: 1,
                from: S * 5,
                until: S * 200,
            }]
        },
        met: |_, outcome| outcome.evidence.requests_at_job_end.iter().all(|n| *n > 2),
    },
    Meeting {
        name: "the state service answers slowly, or refuses the leader alone and then \
               everybody, while users cancel and ask",
        crowds: &[LONG],
        faults: |seed| {
            let mut faults = first_meeting(0, 1500);
            faults.push(Fault::SlowState {
                lag: MS * (400 + 200 * (seed as u32 % 6)),
                from: S * 95,
                until: S * 125,
            });
            faults.push(Fault::SlowState {
                lag: MS * 1200,
                from: S * 20,
                until: S * 32,
            });
            faults.push(Fault::CancelBurst {
                count: 4,
                at: S * 30,
            });
            faults.push(Fault::CancelBurst {
                count: 4,
                at: S * 100,
            });
            faults
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let told = |c: &&Cancelled| c.at > S * 95;
            seen.slow_answers > 20 && seen.cancelled.iter().any(|c| told(&c))
        },
    },
    Meeting {
        name: "leaders change ten times in two minutes, also inside an outage",
        crowds: &[],
        faults: ten_changes,
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let inside = |(at, _): &&(Duration, usize)| span(80, 95).contains(at);
            seen.leaders_in(span(30, 150)) >= 10
                && seen.controller_starts.iter().any(|b| inside(&b))
        },
    },
    Meeting {
        name: "a transaction without an answer is carried out late, after newer ones of \
               the same controller",
        crowds: &[],
        faults: |seed| {
            vec![
                Fault::LateWrites {
                    one_in: 3,
                    from: S * 20,
                    until: S * 120,
                },
                ends(node_of(seed), S * 70, MS * 500),
            ]
        },
        met: |_, outcome| {
            let late = &outcome.evidence.late_writes;
            let overtaken = |w: &&LateWrite| w.overtaken_by > 0;
            late.iter().filter(overtaken).count() > 10 && late.iter().any(|w| w.took_effect)
        },
    },
    Meeting {
        name: "workers can't open connections to any controller, direct commands reach them",
        crowds: &[URGENT],
        faults: |seed| {
            vec![
                Fault::ReportsLost {
                    machine_group: node_of(seed),
                    from: S * 40,
                    until: S * 85,
                },
                ends(0, S * 60, S * 5),
                Fault::CancelBurst {
                    count: 6,
                    at: S * 42,
                },
                Fault::CancelBurst {
                    count: 6,
                    at: S * 46,
                },
            ]
        },
        met: |_, outcome| outcome.evidence.orders_during_report_loss > 0,
    },
    Meeting {
        name: "a zone with workers and a controller is cut off for longer than a lease",
        crowds: &[URGENT],
        faults: |seed| {
            vec![
                Fault::ZoneCut {
                    zone: seed as usize % 2,
                    from: S * 40,
                    until: S * 72,
                },
                Fault::CancelBurst {
                    count: 4,
                    at: S * 42,
                },
                Fault::CancelBurst {
                    count: 4,
                    at: S * 60,
                },
            ]
        },
        met: |seed, outcome| {
            let seen = &outcome.evidence;
            let inside = |(at, by): &(Duration, usize)| {
                span(42, 72).contains(at) && by % 2 == seed as usize % 2
            };
            seen.lease_renewals.iter().any(inside) && outcome.lost > 0
        },
    },
    Meeting {
        name: "all controllers are away for longer than a lease",
        crowds: &[URGENT],
        faults: |seed| {
            let restart_after = |i: u32| S * (14 + (seed as u32 + i) % 6);
            (0..3u32)
                .map(|i| ends(i as usize, S * 50, restart_after(i)))
                .collect()
        },
        met: |_, outcome| {
            let begun = outcome.evidence.controller_starts.iter();
            begun.filter(|(at, _)| span(50, 63).contains(at)).count() == 0 && outcome.lost > 0
        },
    },
    Meeting {
        name: "a leader is cut from the state service and the other controllers while \
               workers and users reach it, and jobs are cancelled through the new one",
        crowds: &[URGENT],
        faults: |seed| {
            let mut faults = lone(0, 40, 75).to_vec();
            faults.extend(first_leads());
            faults.push(Fault::CancelBurst {
                count: 8,
                at: S * (44 + seed as u32 % 6),
            });
            faults
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let told = seen
                .cancelled
                .iter()
                .any(|c| span(43, 60).contains(&c.at) && c.by != 0 && c.on > 0);
            let served = |(at, by): &(Duration, usize)| *by == 0 && span(40, 50).contains(at);
            seen.leaders_in(span(40, 50)) > 0 && told && seen.lease_renewals.iter().any(served)
        },
    },
    Meeting {
        name: "there is more work than room, urgent and not, over slow links",
        crowds: &[URGENT, PATIENT],
        faults: |seed| {
            let mut faults = Vec::new();
            for node in 0..3 {
                faults.push(Fault::LateAnswers {
                    node,
                    lag: MS * (300 + 400 * (seed as u32 % 6)),
                    from: S * 20,
                    until: S * 120,
                });
                faults.push(Fault::ControllerLag {
                    node,
                    lag: MS * 250,
                    from: S * 25,
                    until: S * 110,
                });
            }
            faults
        },
        met: |_, outcome| {
            let waited = outcome.longest_start_delay().map(|(waited, _)| waited);
            waited > Some(S * 20) && outcome.slowest_report_answer > S / 2
        },
    },
    Meeting {
        name: "jobs bound to one zone, arrays too, lose machines",
        crowds: &[URGENT],
        faults: |seed| {
            let machine_group = node_of(seed);
            vec![
                Fault::MachineCrash {
                    machine_group,
                    at: S * 50,
                },
                Fault::MachineCrash {
                    machine_group: (machine_group + 1) % 3,
                    at: S * 80,
                },
                Fault::SpotReclaim { at: S * 65 },
                cut_machines((machine_group + 2) % 3, 95, 115),
            ]
        },
        met: |_, outcome| bound_started_again(outcome),
    },
    Meeting {
        name: "controllers hand over and back, all end, and one returns, also within a second",
        crowds: &[],
        faults: |seed| {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut faults = vec![ends(0, S * 30, MS * 4500), ends(1, S * 42, MS * 4500)];
            for at in [S * 55, S * 90] {
                let first = rng.usize(0..3);
                faults.push(ends(first, at, MS * rng.u32(50..900)));
                for i in 1..3 {
                    let restart_after = S * rng.u32(8..16);
                    faults.push(ends(
                        (first + i) % 3,
                        at + MS * rng.u32(0..300),
                        restart_after,
                    ));
                }
            }
            faults
        },
        met: |_, outcome| {
            let seen = &outcome.evidence;
            let alone = |from: u64| {
                let begun = seen.controller_starts.iter();
                begun
                    .filter(|(at, _)| span(from, from + 5).contains(at))
                    .count()
                    == 1
            };
            alone(55) && alone(90) && seen.leaders_in(span(55, 60)) > 0
        },
    },
];
