//! Handover of blocks while the previous holder does not yet know that it lost the block,
//! and the previous and the new holder reach different workers.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    Fault, Outcome, RuleViolation, Size, Timing, World, draw_handovers, draw_incidents, draw_links,
    draw_timing, run_seeds_in_parallel,
};

const NODES: usize = 3;
/// When users stop submitting jobs.
const BUSY: Duration = Duration::from_secs(150);
/// When the last fault is over.
const CALM: Duration = Duration::from_secs(180);
/// When the simulation ends.
const END: Duration = Duration::from_secs(330);

fn run_simulation(
    seed: u64,
    timing: Timing,
    faults: Vec<Fault>,
    sabotage: Option<Sabotage>,
) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::timed(Size::SMALL, timing, seed, BUSY, faults, sabotage).run(END)
}

/// Runs a simulation with block handovers and the default timing.
fn run_default_timing(seed: u64, sabotage: Option<Sabotage>) -> Outcome {
    let faults = draw_handovers(seed, NODES, CALM);
    run_simulation(seed, Timing::DEFAULT, faults, sabotage)
}

/// The state service refuses a holder, and its block is leased to another controller a second
/// later. The new holder renews the lease of a worker whose reports no longer reach the previous
/// holder, while other workers do not receive messages from the new holder. The previous holder
/// must not conclude from one lease time of silence that the tasks of that worker run nowhere
/// and start them again on the other workers.
#[test]
fn a_holder_that_has_lost_its_block_starts_no_task_again() {
    let mut violations = Vec::new();
    for seed in 0..40 {
        let outcome = run_default_timing(seed, None);
        violations.extend(
            outcome
                .violations
                .into_iter()
                .map(|violation| (seed, violation)),
        );
        assert_eq!(outcome.open, [], "seed {seed}");
    }
    assert_eq!(violations, []);
}

/// Returns the rules that are violated with `sabotage` on any of seeds 0 to 39.
fn violated_rules(sabotage: Sabotage) -> Vec<RuleViolation> {
    let violations = (0..40).flat_map(|seed| run_default_timing(seed, Some(sabotage)).violations);
    violations.map(|(_, rule, _)| rule).collect()
}

#[test]
fn silence_beyond_proven_tenure_is_caught() {
    let violations = violated_rules(Sabotage::StaleEvidence);
    assert!(
        violations.contains(&RuleViolation::RanTwice),
        "{violations:?}"
    );
    assert!(violations.contains(&RuleViolation::Quota), "{violations:?}");
}

/// A second guard, at the start of a task, blocks a start that the first guard lets through,
/// and reports an invariant violation.
#[test]
fn a_start_on_stale_evidence_does_not_leave() {
    let violations = violated_rules(Sabotage::SilenceAsExpiry);
    assert!(
        violations.contains(&RuleViolation::Invariant),
        "{violations:?}"
    );
    assert!(
        !violations.contains(&RuleViolation::RanTwice),
        "{violations:?}"
    );
}

/// Such answers renew the leases of workers without the holder's knowledge.
#[test]
fn answering_a_forwarded_report_by_an_earlier_answer_is_caught() {
    let violations = violated_rules(Sabotage::StaleForwards);
    assert!(
        violations.contains(&RuleViolation::RanTwice),
        "{violations:?}"
    );
}

/// Whether `rule` is a safety rule. How soon work resumes depends on the settings, and some
/// leave too little time for it in these simulations; the safety rules hold with all settings.
fn is_safety_rule(rule: RuleViolation) -> bool {
    rule != RuleViolation::LeftWaiting
}

/// Checks the safety rules with drawn settings: leases shorter and longer than the contact
/// limit, and clock drift.
fn assert_safe_with_drawn_timing(seed: u64, draw: impl Fn(u64, usize, Duration) -> Vec<Fault>) {
    let timing = draw_timing(seed);
    let outcome = run_simulation(seed, timing, draw(seed, NODES, CALM), None);
    let violations = outcome.violations.into_iter();
    let violations: Vec<_> = violations
        .filter(|violation| is_safety_rule(violation.1))
        .collect();
    assert_eq!(violations, [], "seed {seed}, {timing:?}");
}

#[test]
fn drawn_settings_break_no_rule() {
    for seed in 600..640 {
        assert_safe_with_drawn_timing(seed, draw_handovers);
    }
    for seed in 640..660 {
        assert_safe_with_drawn_timing(seed, draw_incidents);
    }
}

/// Cuts links between each controller and each third of the machines, in one or both
/// directions.
#[test]
fn drawn_links_by_pair_break_no_rule() {
    for seed in 700..740 {
        assert_safe_with_drawn_timing(seed, draw_links);
    }
}

/// The same checks with more seeds, and with hundreds of machines.
#[test]
#[ignore = "takes minutes"]
fn many_drawn_settings_and_links() {
    run_seeds_in_parallel(10_000..10_600, |seed| {
        assert_safe_with_drawn_timing(seed, draw_handovers);
        assert_safe_with_drawn_timing(seed, draw_links);
    });
    run_seeds_in_parallel(10_600..10_612, |seed| {
        let (timing, faults) = (draw_timing(seed), draw_links(seed, NODES, CALM));
        let outcome = World::timed(Size::LARGE, timing, seed, BUSY, faults, None).run(END);
        let mut violations = outcome
            .violations
            .iter()
            .filter(|violation| is_safety_rule(violation.1));
        assert_eq!(
            violations.next(),
            None,
            "large fleet, seed {seed}, {timing:?}"
        );
    });
}
