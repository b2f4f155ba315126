//! Fault scenarios in which controllers miss more changes than the state service keeps, and
//! read all records again while other controllers write.

use std::time::Duration;

use crate::Fault;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// Draws short disconnections from a state service that is slow for seconds at a time and
/// keeps few changes: controllers keep their leases, but have to read all records again.
pub fn draw_short_disconnections(
    rng: &mut fastrand::Rng,
    nodes: usize,
    end: Duration,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = S * 10;
    while at < end {
        let slow_until = at + MS * rng.u32(2000..6000);
        faults.push(Fault::SlowState {
            lag: MS * rng.u32(50..700),
            from: at,
            until: slow_until,
        });
        let node = rng.usize(0..nodes);
        let until = at + MS * rng.u32(300..2500);
        faults.push(match rng.bool() {
            true => Fault::CutState {
                node,
                from: at,
                until,
            },
            false => Fault::StateRefusesNode {
                node,
                from: at,
                until,
            },
        });
        at += MS * rng.u32(2000..9000);
    }
    faults
}

/// Draws spans in which one controller cannot renew its membership lease of 3 s, and reads all
/// records again just as its blocks are leased to others, see [`Fault::ReadAcrossMoves`].
pub fn draw_reads_across_moves(rng: &mut fastrand::Rng, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = S * 10;
    while at < end {
        let until = at + MS * rng.u32(4000..7000);
        faults.push(Fault::SlowState {
            lag: MS * rng.u32(10..120),
            from: at,
            until,
        });
        faults.push(Fault::ReadAcrossMoves {
            node: rng.usize(0..nodes),
            from: at,
            until,
        });
        at = until + MS * rng.u32(2000..6000);
    }
    faults
}
