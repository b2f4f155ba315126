//! Blocks that change hands while their old holder, which does not know yet, and the
//! new one reach different workers.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Fault, Outcome, Size, Timing, World, draw_handovers};

const S: Duration = Duration::from_secs(1);
const NODES: usize = 3;
/// Until when users submit jobs, when the last trouble is over, and when the day is.
const BUSY: Duration = Duration::from_secs(150);
const CALM: Duration = Duration::from_secs(180);
const END: Duration = Duration::from_secs(330);

fn day(seed: u64, timing: Timing, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::timed(Size::SMALL, timing, seed, BUSY, faults, sabotage).run(END)
}

/// Plays a day on which blocks change hands, with the usual settings.
fn usual(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let faults = draw_handovers(seed, NODES, CALM);
    day(seed, Timing::USUAL, faults, sabotage)
}

/// The state service refused a holder, whose block was leased anew a second later. The
/// new holder renewed the lease of a worker that the old one no longer heard, while
/// other workers did not hear the new one: after a lease of silence the old holder took
/// the tasks of that worker for nowhere, and started them again on the others.
#[test]
fn a_holder_that_has_lost_its_block_starts_no_task_again() {
    let mut broken = Vec::new();
    for seed in 0..40 {
        let outcome = usual(seed, None);
        broken.extend(outcome.broken.into_iter().map(|b| (seed, b)));
        assert_eq!(outcome.open, [], "seed {seed}");
    }
    assert_eq!(broken, []);
}
