//! Blocks that change hands while their old holder, which does not know yet, and the
//! new one reach different workers.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    Fault, Outcome, RuleViolation, Size, Timing, World, draw_handovers, draw_incidents, draw_links,
    draw_timing, run_seeds_in_parallel,
};

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
    day(seed, Timing::DEFAULT, faults, sabotage)
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
        broken.extend(outcome.violations.into_iter().map(|b| (seed, b)));
        assert_eq!(outcome.open, [], "seed {seed}");
    }
    assert_eq!(broken, []);
}

/// The rules that were broken on some of these days.
fn broken_with(sabotage: Sabotage) -> Vec<RuleViolation> {
    let broken = (0..40).flat_map(|seed| usual(seed, Some(sabotage)).violations);
    broken.map(|(_, rule, _)| rule).collect()
}

#[test]
fn silence_beyond_proven_tenure_is_caught() {
    let broken = broken_with(Sabotage::StaleEvidence);
    assert!(broken.contains(&RuleViolation::RanTwice), "{broken:?}");
    assert!(broken.contains(&RuleViolation::Quota), "{broken:?}");
}

/// The second guard, at the start itself, holds what the first lets through, and says so.
#[test]
fn a_start_on_stale_evidence_does_not_leave() {
    let broken = broken_with(Sabotage::SilenceAsExpiry);
    assert!(broken.contains(&RuleViolation::Invariant), "{broken:?}");
    assert!(!broken.contains(&RuleViolation::RanTwice), "{broken:?}");
}

/// Their leases go on by answers of which the holder knows nothing.
#[test]
fn answering_a_forwarded_report_by_an_earlier_answer_is_caught() {
    let broken = broken_with(Sabotage::StaleForwards);
    assert!(broken.contains(&RuleViolation::RanTwice), "{broken:?}");
}

/// How soon work goes on depends on the settings, and some leave it no time on these
/// days; that no rule of safety breaks does not.
fn is_about_safety(rule: RuleViolation) -> bool {
    rule != RuleViolation::LeftWaiting
}

/// Whatever the settings: leases shorter and longer than the contact limit, and clocks
/// that drift.
fn safe_whatever_the_settings(seed: u64, draw: impl Fn(u64, usize, Duration) -> Vec<Fault>) {
    let timing = draw_timing(seed);
    let outcome = day(seed, timing, draw(seed, NODES, CALM), None);
    let broken = outcome.violations.into_iter();
    let broken: Vec<_> = broken.filter(|b| is_about_safety(b.1)).collect();
    assert_eq!(broken, [], "seed {seed}, {timing:?}");
}

#[test]
fn drawn_settings_break_no_rule() {
    for seed in 600..640 {
        safe_whatever_the_settings(seed, draw_handovers);
    }
    for seed in 640..660 {
        safe_whatever_the_settings(seed, draw_incidents);
    }
}

/// Links between each controller and each third of the machines, both ways and one way.
#[test]
fn drawn_links_by_pair_break_no_rule() {
    for seed in 700..740 {
        safe_whatever_the_settings(seed, draw_links);
    }
}

/// The same search on more days, and with hundreds of machines.
#[test]
#[ignore = "takes minutes"]
fn many_drawn_settings_and_links() {
    run_seeds_in_parallel(10_000..10_600, |seed| {
        safe_whatever_the_settings(seed, draw_handovers);
        safe_whatever_the_settings(seed, draw_links);
    });
    run_seeds_in_parallel(10_600..10_612, |seed| {
        let (timing, faults) = (draw_timing(seed), draw_links(seed, NODES, CALM));
        let outcome = World::timed(Size::LARGE, timing, seed, BUSY, faults, None).run(END);
        let mut broken = outcome.violations.iter().filter(|b| is_about_safety(b.1));
        assert_eq!(broken.next(), None, "grown, seed {seed}, {timing:?}");
    });
}
