//! Fault scenarios in which blocks change their holder while the old and the new holder
//! are partitioned from different workers.
//!
//! Any current holder of a block can renew the leases of its workers. A holder that treats
//! a worker's silence as an expired lease is wrong if the block has another holder by then.
//! These scenarios therefore let the state service reject a controller for about the length
//! of a worker's lease, and draw the timing settings on which the outcome depends.

use std::time::Duration;

use crate::{Direction, Fault, Timing, draws::copied_orders};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// A controller starts only if `cancel_s` is at least `lease_s` times this factor, plus
/// [`MIN_CANCEL_MARGIN`].
const LEASE_DRIFT_FACTOR: f64 = 1.002;
/// Minimum of `cancel_s` beyond the lease with its drift.
const MIN_CANCEL_MARGIN: Duration = Duration::from_millis(3600);

/// Draws a scenario in which, every 30 s to 45 s, the state service rejects one controller.
/// Within a second that controller is partitioned from a third of the machines, and its
/// peers from another third. All faults end by `end`.
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
        let machine_group = rng.usize(0..3);
        for other in 0..nodes {
            let from = at + MS * rng.u32(0..1000);
            let until = (from + refused_for.mul_f64(0.5 + rng.f64() * 0.6)).min(end);
            faults.push(Fault::CutWorkers {
                node: Some(other),
                machine_group: Some(if other == node {
                    machine_group
                } else {
                    (machine_group + 1) % 3
                }),
                from,
                until,
            });
        }
        at += S * rng.u32(30..45);
    }
    faults.push(copied_orders(end));
    faults
}

/// Draws a scenario with link faults per pair of a controller and a third of the machines:
/// no fault, a partition, or a block in one direction. Meanwhile controllers are rejected
/// by the state service, partitioned from it, or restarted within seconds, and one further
/// fault is active, such as late copies of messages. All faults end by `end`, except a
/// faulty machine, which has no end.
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
                restart_after: MS * rng.u32(200..9_000),
            },
        });
        for pair in 0..nodes * 3 {
            let (node, machine_group) = (pair / 3, pair % 3);
            let from = at + MS * rng.u32(0..4000);
            let until = (from + length(&mut rng)).min(end);
            let one_way = |direction| Fault::OneWay {
                node,
                machine_group,
                direction,
                from,
                until,
            };
            match rng.u32(0..20) {
                0..10 => {}
                10..14 => faults.push(Fault::CutWorkers {
                    node: Some(node),
                    machine_group: Some(machine_group),
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
    faults.push(copied_orders(end));
    faults
}

/// Draws timing settings under which a controller starts: leases from 6 s to 40 s, and a
/// cancellation time between the permitted minimum and three times the lease (or that
/// minimum, if it is longer). Clocks drift.
pub fn draw_timing(seed: u64) -> Timing {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x7469_6d65);
    let lease = MS * rng.u32(6_000..40_000);
    let least = lease.mul_f64(LEASE_DRIFT_FACTOR) + MIN_CANCEL_MARGIN;
    // Squaring favors values close to the minimum.
    let beyond = rng.f64().powi(2);
    let cancel = least + (lease * 3).saturating_sub(least).mul_f64(beyond);
    Timing {
        report: MS * rng.u32(1_000..3_000),
        lease,
        cancel,
        clock_drift: true,
    }
}
