//! Controllers that have missed more changes than the state service keeps, and read
//! all records again while other controllers write.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    Outcome, RuleViolation, World, draw_reads_across_moves, draw_short_disconnections,
};

const NODES: usize = 3;
/// When users stop submitting jobs.
const BUSY: Duration = Duration::from_secs(150);
/// When the last fault is over.
const CALM: Duration = Duration::from_secs(180);
/// When the simulation ends.
const END: Duration = Duration::from_secs(330);

/// How the faults of a run are drawn.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    /// Controllers are disconnected from the state service for a short time and keep their leases.
    ShortDisconnections,
    /// Controllers read all records while their blocks are leased to others.
    ReadsAcrossMoves,
}

fn run_simulation(scenario: Scenario, seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (faults, retained_changes) = match scenario {
        Scenario::ShortDisconnections => (draw_short_disconnections(&mut rng, NODES, CALM), 2..8),
        Scenario::ReadsAcrossMoves => (draw_reads_across_moves(&mut rng, NODES, CALM), 1..4),
    };
    let mut world = World::new(seed, BUSY, faults, sabotage);
    world.keep_newest_changes(rng.usize(retained_changes));
    world.run(END)
}

/// Number of runs on seeds 0 to 39 in which `sabotage` violates one of `rules`.
fn count_caught(scenario: Scenario, sabotage: Sabotage, rules: &[RuleViolation]) -> usize {
    let caught = (0..40).filter(|seed| is_caught(scenario, *seed, sabotage, rules));
    caught.count()
}

fn is_caught(scenario: Scenario, seed: u64, sabotage: Sabotage, rules: &[RuleViolation]) -> bool {
    let violations = run_simulation(scenario, seed, Some(sabotage)).violations;
    violations.iter().any(|(_, rule, _)| rules.contains(rule))
}

/// Guards against two faults of a full read of the records. A second answer that changes are
/// no longer kept restarted the read while a later page of the previous read was in flight;
/// that page was taken for the first one, so the records before it were missing. And the pages
/// of one read show different revisions, so controllers acted on a state that never existed: a
/// task that had just been started was assigned to the same block again and ran twice, and
/// accepted jobs were answered with 404.
#[test]
fn records_read_anew_break_no_rule() {
    let mut too_old = 0;
    for seed in 0..40 {
        let outcome = run_simulation(Scenario::ShortDisconnections, seed, None);
        assert_eq!(outcome.violations, [], "seed {seed}");
        assert_eq!(outcome.open, [], "seed {seed}");
        too_old += outcome.evidence.too_old;
    }
    assert!(too_old > 200, "changes were too old {too_old} times");
}

/// Guards against the second of these faults where it is most likely: blocks are leased to other
/// controllers between two pages.
#[test]
fn records_read_while_blocks_move_break_no_rule() {
    let mut read_across_moves = 0;
    for seed in 0..40 {
        let outcome = run_simulation(Scenario::ReadsAcrossMoves, seed, None);
        assert_eq!(outcome.violations, [], "seed {seed}");
        assert_eq!(outcome.open, [], "seed {seed}");
        read_across_moves += outcome.evidence.pages_across_moves;
    }
    assert!(
        read_across_moves >= 40,
        "{read_across_moves} pages were read after a block had moved"
    );
}

#[test]
fn acting_on_pages_of_different_moments_is_caught() {
    let rules = [RuleViolation::RanTwice, RuleViolation::Invariant];
    let caught = count_caught(Scenario::ReadsAcrossMoves, Sabotage::PartialView, &rules);
    assert!(caught >= 10, "caught on {caught} of 40 seeds");
}

/// The same on two seeds of the scenario in which controllers keep their leases most of the time
/// and the violation is rare.
#[test]
fn pages_of_different_moments_are_noticed_on_two_days() {
    let rules = [RuleViolation::RanTwice, RuleViolation::Invariant];
    let caught = [280, 324].map(|seed| {
        is_caught(
            Scenario::ShortDisconnections,
            seed,
            Sabotage::PartialView,
            &rules,
        )
    });
    assert!(caught.contains(&true), "{caught:?}");
}

#[test]
fn mixing_pages_of_two_reads_is_caught() {
    let rules = [RuleViolation::Forgotten];
    let caught = count_caught(Scenario::ShortDisconnections, Sabotage::MixedReads, &rules);
    assert!(caught >= 1, "caught on no seed");
}
