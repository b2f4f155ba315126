//! The first eighteen combinations of faults, of controllers, machines and the state service.

use std::{ops::Range, time::Duration};

use oliveshift_testkit::{
    ExtraJobs, Fault, Outcome,
    evidence::{Cancelled, LateWrite},
};
use oliveshift_wire::job::{JobSpec, Shape};

use crate::{MS, S};

/// A combination of faults that overlap in time.
pub struct FaultCombination {
    pub name: &'static str,
    /// Jobs that are submitted besides the drawn ones.
    pub extra_jobs: &'static [ExtraJobs],
    pub faults: fn(seed: u64) -> Vec<Fault>,
    /// Whether the faults actually overlapped.
    pub occurred: fn(seed: u64, &Outcome) -> bool,
}

/// The controller, or the machines by their number modulo three, that a seed selects.
pub fn node_of(seed: u64) -> usize {
    seed as usize % 3
}

/// The times from `from` to `until`, in seconds.
pub fn span(from: u64, until: u64) -> Range<Duration> {
    S * from as u32..S * until as u32
}

/// Stops a controller at `at` and restarts it after `restart_after`.
pub fn restart(node: usize, at: Duration, restart_after: Duration) -> Fault {
    Fault::Restart {
        node,
        at,
        restart_after,
    }
}

/// Cuts a third of the machines off from all controllers.
pub fn cut_machines(machine_group: usize, from: u32, until: u32) -> Fault {
    Fault::CutWorkers {
        node: None,
        machine_group: Some(machine_group),
        from: S * from,
        until: S * until,
    }
}

/// The state service refuses a controller.
pub fn refused(node: usize, from: u32, until: u32) -> Fault {
    Fault::StateRefusesNode {
        node,
        from: S * from,
        until: S * until,
    }
}

/// Cuts a controller off from the state service and from all other controllers.
pub fn isolated(node: usize, from: u32, until: u32) -> [Fault; 2] {
    let (from, until) = (S * from, S * until);
    [
        Fault::CutState { node, from, until },
        Fault::CutPeers { node, from, until },
    ]
}

/// The other controllers start 2 s later, so the first one becomes leader.
pub fn first_leads() -> [Fault; 2] {
    [1, 2].map(|node| restart(node, Duration::ZERO, S * 2))
}

/// The state service refuses one controller, users cancel jobs through the other controllers,
/// and then the service is down for all controllers for longer than the 30 s within which a
/// cancellation must take effect. `gap_ms` is the time between the refusal and the outage.
pub fn cancel_before_outage(node: usize, gap_ms: u32) -> Vec<Fault> {
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

/// Whether another controller confirmed a cancellation while the refused controller was leader,
/// and workers continued to receive answers of the refused one.
pub fn cancelled_before_outage(node: usize, outcome: &Outcome) -> bool {
    let evidence = &outcome.evidence;
    let leader = evidence.leader_changes.iter().rfind(|(at, _)| *at < S * 40);
    let cancelled = evidence
        .cancelled
        .iter()
        .find(|c| (S * 40..S * 45).contains(&c.at) && c.by != node && c.on > 0);
    let cancelled_at = cancelled.map(|c| c.at);
    leader.is_some_and(|(_, n)| *n == node)
        && cancelled_at.is_some_and(|cancelled_at| {
            let later = |(at, by): &(Duration, usize)| *by == node && *at > cancelled_at + S * 5;
            evidence.lease_renewals.iter().any(later)
        })
}

/// Controllers restart one after the other, all three within each ten seconds.
fn ten_leader_changes(seed: u64) -> Vec<Fault> {
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
            faults.push(restart((first + i as usize) % 3, at, restart_after));
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
/// A few jobs with long tasks.
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

/// Whether a task of a job bound to one zone started again.
fn zone_bound_task_restarted(outcome: &Outcome) -> bool {
    let mut starts: Vec<_> = outcome.starts.iter().map(|(_, task)| task).collect();
    starts.sort();
    let twice = starts.windows(2).filter(|pair| pair[0] == pair[1]);
    let mut jobs = twice.filter_map(|pair| outcome.jobs.get(&pair[0].job));
    jobs.any(|spec| spec.shape == Shape::Array && (spec.one_zone || spec.zone.is_some()))
}

/// Whether tasks of a job with two or three tasks ended more than 3 s apart, with a change of
/// leader in between.
fn ended_across_leader_change(outcome: &Outcome) -> bool {
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

pub const COMBINATIONS: [FaultCombination; 18] = [
    FaultCombination {
        name: "an old report arrives after newer ones, also of an earlier session",
        extra_jobs: &[],
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
                restart(machine_group, S * 60, MS * 300),
                cut_machines((machine_group + 1) % 3, 70, 84),
            ]
        },
        occurred: |_, outcome| {
            let old = &outcome.evidence.old_reports;
            old.len() > 50 && old.iter().any(|(_, earlier_session)| *earlier_session)
        },
    },
    FaultCombination {
        name: "a team is at its limit when the leader changes, some machines can't be \
               queried, and jobs are cancelled meanwhile",
        extra_jobs: &[URGENT],
        faults: |seed| {
            vec![
                cut_machines(node_of(seed), 44, 75),
                restart(0, S * 50, S * 6),
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
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let at_limit = |(at, _): &(Duration, String)| span(40, 75).contains(at);
            let cancelled = evidence.cancelled.iter().filter(|c| c.on > 0);
            evidence.leaders_in(span(50, 60)) > 0
                && outcome.at_limit.iter().any(at_limit)
                && cancelled.filter(|c| span(50, 75).contains(&c.at)).count() > 0
        },
    },
    FaultCombination {
        name: "jobs are cancelled as the state service refuses only the leader, and the \
               service is down a second later for longer than the cancellation timeout",
        extra_jobs: &[LONG],
        faults: |seed| cancel_before_outage(0, 500 * (seed as u32 % 6) + 500),
        occurred: |_, outcome| cancelled_before_outage(0, outcome),
    },
    FaultCombination {
        name: "a leader stops while machines can't be reached or don't receive answers of \
               the new one",
        extra_jobs: &[LONG],
        faults: |seed| {
            let (machine_group, from, until) = (node_of(seed), S * 45, S * 70);
            vec![
                restart(0, S * 50, S * 12),
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
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            evidence.leaders_in(span(50, 60)) > 0
                && evidence.lost_report_answers > 3
                && outcome.lost > 0
        },
    },
    FaultCombination {
        name: "a report is delayed until a new leader has acted, and then arrives there",
        extra_jobs: &[],
        faults: |seed| {
            let held = |node| Fault::CutWorkers {
                node: Some(node),
                machine_group: Some(node_of(seed)),
                from: S * 46,
                until: S * 60,
            };
            let [second, third] = first_leads();
            vec![restart(0, S * 50, S * 30), held(1), held(2), second, third]
        },
        occurred: |_, outcome| {
            let across = &outcome.evidence.reports_across_leaders;
            across.iter().any(|at| span(59, 63).contains(at))
        },
    },
    FaultCombination {
        name: "jobs of two or three tasks end far apart across a change of leader",
        extra_jobs: &[SMALL_JOBS],
        faults: |seed| {
            let restart_after = MS * (200 + 900 * (seed as u32 % 6));
            (0..8u32)
                .map(|i| {
                    restart(
                        (seed as usize + i as usize) % 3,
                        S * (40 + 9 * i),
                        restart_after,
                    )
                })
                .collect()
        },
        occurred: |_, outcome| ended_across_leader_change(outcome),
    },
    FaultCombination {
        name: "an order or its answer is delayed for seconds, and the machine continues",
        extra_jobs: &[],
        faults: |seed| {
            vec![
                Fault::DelayedOrders {
                    one_in: 2,
                    from: S * 20,
                    until: S * 130,
                },
                restart(node_of(seed), S * 60, MS * 400),
                Fault::CancelBurst {
                    count: 4,
                    at: S * 70,
                },
            ]
        },
        occurred: |_, outcome| outcome.evidence.delayed_orders > 20,
    },
    FaultCombination {
        name: "a cancellation, a query or a repeated request coincides with the end of \
               a job's last task",
        extra_jobs: &[SMALL_JOBS],
        faults: |_| {
            vec![Fault::RequestsAtJobEnd {
                one_in: 1,
                from: S * 5,
                until: S * 200,
            }]
        },
        occurred: |_, outcome| outcome.evidence.requests_at_job_end.iter().all(|n| *n > 2),
    },
    FaultCombination {
        name: "the state service answers slowly, or refuses only the leader and then all \
               controllers, while users cancel jobs and query",
        extra_jobs: &[LONG],
        faults: |seed| {
            let mut faults = cancel_before_outage(0, 1500);
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
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let is_late = |c: &&Cancelled| c.at > S * 95;
            evidence.slow_answers > 20 && evidence.cancelled.iter().any(|c| is_late(&c))
        },
    },
    FaultCombination {
        name: "leaders change ten times in two minutes, also inside an outage",
        extra_jobs: &[],
        faults: ten_leader_changes,
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let inside = |(at, _): &&(Duration, usize)| span(80, 95).contains(at);
            evidence.leaders_in(span(30, 150)) >= 10
                && evidence.controller_starts.iter().any(|b| inside(&b))
        },
    },
    FaultCombination {
        name: "a transaction without an answer is executed late, after newer ones of \
               the same controller",
        extra_jobs: &[],
        faults: |seed| {
            vec![
                Fault::LateWrites {
                    one_in: 3,
                    from: S * 20,
                    until: S * 120,
                },
                restart(node_of(seed), S * 70, MS * 500),
            ]
        },
        occurred: |_, outcome| {
            let late = &outcome.evidence.late_writes;
            let overtaken = |w: &&LateWrite| w.overtaken_by > 0;
            late.iter().filter(overtaken).count() > 10 && late.iter().any(|w| w.took_effect)
        },
    },
    FaultCombination {
        name: "workers can't open connections to any controller, direct orders reach them",
        extra_jobs: &[URGENT],
        faults: |seed| {
            vec![
                Fault::ReportsLost {
                    machine_group: node_of(seed),
                    from: S * 40,
                    until: S * 85,
                },
                restart(0, S * 60, S * 5),
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
        occurred: |_, outcome| outcome.evidence.orders_during_report_loss > 0,
    },
    FaultCombination {
        name: "a zone with workers and a controller is cut off for longer than a lease",
        extra_jobs: &[URGENT],
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
        occurred: |seed, outcome| {
            let evidence = &outcome.evidence;
            let inside = |(at, by): &(Duration, usize)| {
                span(42, 72).contains(at) && by % 2 == seed as usize % 2
            };
            evidence.lease_renewals.iter().any(inside) && outcome.lost > 0
        },
    },
    FaultCombination {
        name: "all controllers are down for longer than a lease",
        extra_jobs: &[URGENT],
        faults: |seed| {
            let restart_after = |i: u32| S * (14 + (seed as u32 + i) % 6);
            (0..3u32)
                .map(|i| restart(i as usize, S * 50, restart_after(i)))
                .collect()
        },
        occurred: |_, outcome| {
            let started = outcome.evidence.controller_starts.iter();
            started.filter(|(at, _)| span(50, 63).contains(at)).count() == 0 && outcome.lost > 0
        },
    },
    FaultCombination {
        name: "a leader is cut off from the state service and the other controllers while \
               workers and users reach it, and jobs are cancelled through the new one",
        extra_jobs: &[URGENT],
        faults: |seed| {
            let mut faults = isolated(0, 40, 75).to_vec();
            faults.extend(first_leads());
            faults.push(Fault::CancelBurst {
                count: 8,
                at: S * (44 + seed as u32 % 6),
            });
            faults
        },
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let cancelled = evidence
                .cancelled
                .iter()
                .any(|c| span(43, 60).contains(&c.at) && c.by != 0 && c.on > 0);
            let served = |(at, by): &(Duration, usize)| *by == 0 && span(40, 50).contains(at);
            evidence.leaders_in(span(40, 50)) > 0
                && cancelled
                && evidence.lease_renewals.iter().any(served)
        },
    },
    FaultCombination {
        name: "there is more work than capacity, urgent and not, over slow links",
        extra_jobs: &[URGENT, PATIENT],
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
        occurred: |_, outcome| {
            let waited = outcome.longest_start_delay().map(|(waited, _)| waited);
            waited > Some(S * 20) && outcome.slowest_report_answer > S / 2
        },
    },
    FaultCombination {
        name: "jobs bound to one zone, also arrays, lose machines",
        extra_jobs: &[URGENT],
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
        occurred: |_, outcome| zone_bound_task_restarted(outcome),
    },
    FaultCombination {
        name: "controllers hand over and back, all stop, and one returns, also within a second",
        extra_jobs: &[],
        faults: |seed| {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut faults = vec![restart(0, S * 30, MS * 4500), restart(1, S * 42, MS * 4500)];
            for at in [S * 55, S * 90] {
                let first = rng.usize(0..3);
                faults.push(restart(first, at, MS * rng.u32(50..900)));
                for i in 1..3 {
                    let restart_after = S * rng.u32(8..16);
                    faults.push(restart(
                        (first + i) % 3,
                        at + MS * rng.u32(0..300),
                        restart_after,
                    ));
                }
            }
            faults
        },
        occurred: |_, outcome| {
            let evidence = &outcome.evidence;
            let one_started = |from: u64| {
                let started = evidence.controller_starts.iter();
                started
                    .filter(|(at, _)| span(from, from + 5).contains(at))
                    .count()
                    == 1
            };
            one_started(55) && one_started(90) && evidence.leaders_in(span(55, 60)) > 0
        },
    },
];
