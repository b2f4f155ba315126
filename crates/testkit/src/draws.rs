//! Fault scenarios drawn from a seed, one function for each mix of faults.

use std::time::Duration;

use crate::faults::{Fault, upgrade_complete_at};

/// Draws the basic mix of faults. They end by `end`, except for faulty machines and the
/// restart after a crash.
pub fn draw(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = Duration::from_secs;
    let count = rng.usize(3..=7);
    let mut faults = Vec::new();
    for _ in 0..count {
        let from = s(rng.u64(15..end.as_secs() - 20));
        let until = (from + s(rng.u64(4..60))).min(end);
        let node = rng.usize(0..nodes);
        faults.push(match rng.u32(0..10) {
            0 | 1 => Fault::Crash { node, at: from },
            2 => Fault::CutState { node, from, until },
            3 => Fault::StateRefusesNode { node, from, until },
            4 => Fault::StateOutage { from, until },
            5 => Fault::CutWorkers {
                node: Some(node),
                machine_group: None,
                from,
                until,
            },
            6 => Fault::CutWorkers {
                node: None,
                machine_group: Some(rng.usize(0..3)),
                from,
                until,
            },
            7 => Fault::SpotReclaim { at: from },
            8 => Fault::CloudOutage { from, until },
            _ => Fault::FaultyMachine {
                machine: rng.usize(0..6),
                at: from,
            },
        });
    }
    if rng.u32(0..4) == 0 {
        let from = s(rng.u64(15..end.as_secs() - 30));
        let until = from + s(20);
        faults.push(Fault::PeersUnreachable { from, until });
    }
    if rng.bool() {
        let at = s(rng.u64(15..end.as_secs() - 20));
        faults.extend((0..nodes).map(|node| Fault::Crash { node, at }));
    }
    faults.push(copied_orders(end));
    faults
}

/// Late copies of direct orders for the whole run, on top of other faults.
pub(crate) fn copied_orders(end: Duration) -> Fault {
    Fault::CopiedOrders {
        one_in: 2,
        from: Duration::ZERO,
        until: end,
    }
}

/// Draws the basic faults, a rolling upgrade, and lower limits of the state service some
/// time after it.
pub fn draw_rolling_upgrade(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = draw(seed, nodes, end);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x726f_6c6c);
    let ms = Duration::from_millis;
    let at = ms(rng.u64(15_000..50_000));
    let interval = ms(rng.u64(2_000..15_000));
    let first = rng.usize(0..nodes);
    faults.push(Fault::RollingUpgrade {
        first,
        at,
        interval,
    });
    let new = upgrade_complete_at(&faults, nodes);
    faults.push(Fault::LowerStateLimits {
        at: new + ms(rng.u64(0..60_000)),
    });
    if rng.u32(0..3) == 0 {
        let from = ms(rng.u64(15_000..160_000));
        let until = from + ms(rng.u64(500..5_000));
        faults.push(Fault::LostAnswers {
            one_in: 1,
            from,
            until,
        });
    }
    faults
}

/// Draws the basic faults, and controllers whose input, output or answers to workers lag.
pub fn draw_lag(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = draw(seed, nodes, end);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6265_6869);
    let ms = Duration::from_millis;
    for node in 0..nodes {
        for _ in 0..rng.usize(0..=2) {
            let from = ms(rng.u64(15_000..120_000));
            let lag = ms(rng.u64(300..12_000));
            let until = (from + ms(rng.u64(5_000..60_000))).min(end);
            faults.push(Fault::ControllerLag {
                node,
                lag,
                from,
                until,
            });
        }
        if rng.bool() {
            let from = ms(rng.u64(15_000..120_000));
            let lag = ms(rng.u64(100..3_900));
            let until = (from + ms(rng.u64(20_000..90_000))).min(end);
            faults.push(Fault::LateAnswers {
                node,
                lag,
                from,
                until,
            });
        }
    }
    faults
}

/// Draws the basic faults, and controllers that have too little processor time.
pub fn draw_slow_controllers(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = draw(seed, nodes, end);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x736c_6f77);
    let ms = Duration::from_millis;
    for node in 0..nodes {
        let from = ms(rng.u64(15_000..110_000));
        faults.push(Fault::SlowController {
            node,
            time_per_request: ms(rng.u64(40..700)),
            from,
            until: (from + ms(rng.u64(10_000..60_000))).min(end),
        });
    }
    faults
}

/// Draws the basic faults with quick restarts instead of crashes, and further restarts: of
/// single controllers, of all of them, several times within seconds, and during an election.
/// Late copies of messages are delivered throughout.
pub fn draw_quick_restarts(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x7175_6963);
    let ms = Duration::from_millis;
    let mut faults = draw(seed, nodes, end);
    let restart_after = |rng: &mut fastrand::Rng| match rng.u32(0..4) {
        0 => ms(rng.u64(20..60)),
        1 | 2 => ms(rng.u64(60..800)),
        _ => ms(rng.u64(800..5000)),
    };
    for fault in &mut faults {
        if let Fault::Crash { node, at } = *fault {
            let restart_after = restart_after(&mut rng);
            *fault = Fault::Restart {
                node,
                at,
                restart_after,
            };
        }
    }
    let last = end.as_millis() as u64 - 15_000;
    for _ in 0..rng.usize(2..6) {
        let mut at = ms(rng.u64(5_000..last));
        let node = rng.usize(0..nodes);
        match rng.u32(0..4) {
            // A restart that is too quick for the peers to notice.
            0 => faults.push(Fault::Restart {
                node,
                at,
                restart_after: ms(rng.u64(20..200)),
            }),
            // Repeated restarts, each soon after the process is running again.
            1 => {
                for _ in 0..rng.usize(3..12) {
                    let restart_after = ms(rng.u64(20..600));
                    faults.push(Fault::Restart {
                        node,
                        at,
                        restart_after,
                    });
                    at += restart_after + ms(rng.u64(100..1500));
                }
            }
            // Down long enough for an election; the other controllers restart during it.
            2 => {
                let restart_after = ms(rng.u64(2800..4500));
                faults.push(Fault::Restart {
                    node,
                    at,
                    restart_after,
                });
                for other in (0..nodes).filter(|n| *n != node) {
                    let at = at + ms(rng.u64(2500..4200));
                    let restart_after = ms(rng.u64(20..500));
                    faults.push(Fault::Restart {
                        node: other,
                        at,
                        restart_after,
                    });
                }
            }
            // All controllers at about the same time, twice.
            _ => {
                for node in 0..nodes {
                    let at = at + ms(rng.u64(0..400));
                    let restart_after = restart_after(&mut rng);
                    faults.push(Fault::Restart {
                        node,
                        at,
                        restart_after,
                    });
                    let at = at + restart_after + ms(rng.u64(50..4000));
                    let restart_after = ms(rng.u64(20..400));
                    faults.push(Fault::Restart {
                        node,
                        at,
                        restart_after,
                    });
                }
            }
        }
    }
    faults.push(Fault::DuplicateMessages {
        one_in: rng.u32(4..40),
        from: Duration::ZERO,
        until: end,
    });
    if rng.u32(0..3) == 0 {
        let from = ms(rng.u64(15_000..last));
        let until = from + ms(rng.u64(500..4_000));
        faults.push(Fault::LostAnswers {
            one_in: 1,
            from,
            until,
        });
    }
    faults
}

/// Draws two to four faults that the on-call engineers of operators have met,
/// on top of [`draw_quick_restarts`]: a controller is paused for seconds while its clocks
/// run on, is down for a minute or more, reaches its workers but not the state service or
/// the reverse, or is the only one that the state service rejects.
pub fn draw_incidents(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = draw_quick_restarts(seed, nodes, end);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6f6e_6361);
    let ms = Duration::from_millis;
    let last = end.as_millis() as u64 - 15_000;
    for _ in 0..rng.usize(2..5) {
        let node = rng.usize(0..nodes);
        let from = ms(rng.u64(15_000..last));
        let until = (from + ms(rng.u64(5_000..50_000))).min(end);
        faults.push(match rng.u32(0..8) {
            // Shorter than, close to, and longer than the leases of controllers and workers.
            0..3 => Fault::ProcessPause {
                node,
                from,
                until: (from + ms(rng.u64(1_000..40_000))).min(end),
            },
            3 => Fault::Restart {
                node,
                at: from,
                restart_after: ms(rng.u64(60_000..90_000)),
            },
            4 | 5 => Fault::CutWorkers {
                node: Some(node),
                machine_group: None,
                from,
                until,
            },
            6 => Fault::StateRefusesNode { node, from, until },
            _ => Fault::CutState { node, from, until },
        });
    }
    faults
}

/// Draws two to four faults of the kinds whose combinations operators reported, on top of
/// [`draw_incidents`], and adds those of `draw_observers`.
pub fn draw_combined_faults(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = draw_incidents(seed, nodes, end);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6d65_6574);
    let ms = Duration::from_millis;
    let last = end.as_millis() as u64 - 25_000;
    for _ in 0..rng.usize(2..5) {
        let from = ms(rng.u64(15_000..last));
        let until = (from + ms(rng.u64(8_000..45_000))).min(end - ms(20_000));
        let (node, machine_group) = (rng.usize(0..nodes), rng.usize(0..3));
        let one_in = rng.u32(2..8);
        if rng.u32(0..11) == 0 {
            // A leader without state service and peers that workers and users still reach.
            faults.push(Fault::CutState { node, from, until });
            faults.push(Fault::CutPeers { node, from, until });
            continue;
        }
        faults.push(match rng.u32(0..10) {
            0 => Fault::LateWrites {
                one_in,
                from,
                until,
            },
            1 => Fault::LateReports {
                one_in,
                from,
                until,
            },
            2 => Fault::AnswersLost {
                machine_group,
                from,
                until,
            },
            3 => Fault::ReportsLost {
                machine_group,
                from,
                until,
            },
            4 => {
                // Shorter than, close to, and longer than a lease.
                let until = from + ms(rng.u64(3_000..20_000));
                Fault::WorkerHang {
                    machine_group,
                    from,
                    until,
                }
            }
            5 => Fault::SlowState {
                lag: ms(rng.u64(100..2_000)),
                from,
                until,
            },
            6 => Fault::DelayedOrders {
                one_in,
                from,
                until,
            },
            7 => Fault::CancelBurst {
                count: rng.usize(2..8),
                at: from,
            },
            8 => Fault::RequestsAtJobEnd {
                one_in,
                from,
                until,
            },
            _ => Fault::UnusualRequests { from, until },
        });
    }
    draw_observers(&mut faults, seed, end);
    faults
}

/// Adds up to two faults that test what users and new leaders observe: lost answers,
/// reports kept for the next leader, fast boots, and follow-up requests.
fn draw_observers(faults: &mut Vec<Fault>, seed: u64, end: Duration) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6c6f_6f6b);
    let ms = Duration::from_millis;
    let last = end.as_millis() as u64 - 25_000;
    for _ in 0..rng.usize(0..3) {
        let from = ms(rng.u64(10_000..last));
        let until = (from + ms(rng.u64(8_000..60_000))).min(end - ms(20_000));
        let one_in = rng.u32(2..8);
        faults.push(match rng.u32(0..4) {
            0 => Fault::LostAnswers {
                one_in,
                from,
                until,
            },
            1 => Fault::ReportsForNextLeader {
                one_in,
                from,
                until,
            },
            2 => Fault::FastBoots { from, until },
            _ => Fault::FollowUpRequests { from, until },
        });
    }
}
