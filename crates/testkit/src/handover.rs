//! Days on which blocks change hands while the old holder and the new one are cut from
//! different workers.
//!
//! A lease of a worker can be renewed by whoever holds its block. What a holder
//! concludes from the silence of a worker is wrong if the block is somebody else's
//! meanwhile, so these days let the state service refuse a controller for about as long
//! as a worker's lease, and draw the settings on which the outcome depends.

use std::time::Duration;

use crate::{Direction, Fault, Timing};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// What the settings need between `lease_s` and `cancel_s`, as a share of the lease and
/// beyond that, so that a controller starts.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
const MIN_CANCEL_MARGIN: Duration = Duration::from_millis(3600);

/// Draws the faults of a day. Every half minute or so the state service refuses one
/// controller; within a second of that it loses some workers, and the others lose
/// other ones. All is over by `end`.
pub fn draw_handovers(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = S * rng.u32(15..30);
    while at + S * 31 < end {
        let node = rng.usize(0..nodes);
        let refused_for = MS * rng.u32(14_000..30_000);
        faults.push(Fault::StateRefusesNode {
            node,
            from: at,
            until: at + refused_for,
        });
        let rest = rng.usize(0..3);
        for other in 0..nodes {
            let from = at + MS * rng.u32(0..1000);
            let until = (from + refused_for.mul_f64(0.5 + rng.f64() * 0.6)).min(end);
            faults.push(Fault::CutWorkers {
                node: Some(other),
                rest: Some(if other == node { rest } else { (rest + 1) % 3 }),
                from,
                until,
            });
        }
        at += S * rng.u32(30..45);
    }
    faults
}

/// Draws the faults of a day with links by pair: between each controller and each third
/// of the machines, both ways, one direction or not at all, while controllers are refused by
/// the state service, cut from it, end and come back within moments, and old messages
/// are about. All is over by `end`.
pub fn draw_links(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6c69_6e6b);
    let mut faults = Vec::new();
    let mut at = S * rng.u32(15..30);
    while at + S * 31 < end {
        let length = |rng: &mut fastrand::Rng| MS * rng.u32(3_000..30_000);
        let node = rng.usize(0..nodes);
        let until = at + length(&mut rng);
        let from = at;
        faults.push(match rng.u32(0..5) {
            0 | 1 => Fault::StateRefusesNode { node, from, until },
            2 | 3 => Fault::CutState { node, from, until },
            _ => Fault::Restart {
                node,
                at,
                back: MS * rng.u32(200..9_000),
            },
        });
        for pair in 0..nodes * 3 {
            let (node, rest) = (pair / 3, pair % 3);
            let from = at + MS * rng.u32(0..4000);
            let until = (from + length(&mut rng)).min(end);
            let one_way = |direction| Fault::OneWay {
                node,
                rest,
                direction,
                from,
                until,
            };
            match rng.u32(0..20) {
                0..10 => {}
                10..14 => faults.push(Fault::CutWorkers {
                    node: Some(node),
                    rest: Some(rest),
                    from,
                    until,
                }),
                14..17 => faults.push(one_way(Direction::ToMachine)),
                _ => faults.push(one_way(Direction::FromMachine)),
            }
        }
        at += S * rng.u32(12..40);
    }
    let (from, until) = (S * 20, end);
    let one_in = rng.u32(3..10);
    faults.push(match rng.u32(0..5) {
        0 => Fault::LateReports {
            one_in,
            from,
            until: end - crate::faults::MAX_REPORT_DELAY,
        },
        1 => Fault::DelayedOrders {
            one_in,
            from,
            until: end - crate::faults::MAX_ORDER_DELAY,
        },
        2 => Fault::DuplicateMessages {
            one_in,
            from,
            until,
        },
        3 => Fault::FaultyMachine {
            machine: rng.usize(0..6),
            at: from,
        },
        _ => Fault::LateWrites {
            one_in,
            from,
            until: end - crate::faults::MAX_WRITE_DELAY,
        },
    });
    faults
}

/// Draws settings under which a controller starts: leases from 6 s to 40 s, and from
/// hardly more time for a cancellation than a lease to three times that. Clocks drift.
pub fn draw_timing(seed: u64) -> Timing {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x7469_6d65);
    let lease = MS * rng.u32(6_000..40_000);
    let least = lease.mul_f64(LEASE_DRIFT_FACTOR) + MIN_CANCEL_MARGIN;
    // Close to the least as often as far from it.
    let beyond = rng.f64().powi(2);
    let cancel = least + (lease * 3).saturating_sub(least).mul_f64(beyond);
    Timing {
        report: MS * rng.u32(1_000..3_000),
        lease,
        cancel,
        clock_drift: true,
    }
}
