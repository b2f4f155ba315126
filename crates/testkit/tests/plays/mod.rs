//! Simulation runs that several test files share.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Fault, Outcome, Size, World};

/// One second.
pub const S: Duration = Duration::from_secs(1);

/// Runs a simulation; `RUST_LOG=debug` shows the log of the controllers.
pub fn run_simulation(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::new(seed, S * 150, faults, sabotage).run(S * 330)
}

/// Runs a simulation and asserts that no rule is violated and all work gets done.
pub fn assert_run_succeeds(seed: u64, faults: Vec<Fault>) {
    let text = format!("{faults:?}");
    let outcome = run_simulation(seed, faults, None);
    assert_eq!(outcome.violations, [], "seed {seed}: {text}");
    assert_eq!(outcome.open, [], "seed {seed}: {text}");
    assert!(
        outcome.started > 20,
        "seed {seed}: {} started",
        outcome.started
    );
    assert_eq!(outcome.accepted, 24, "seed {seed}: {text}");
}

/// Runs a simulation with hundreds of machines until `end`, and asserts that no rule is
/// violated and no work is left.
pub fn run_large_fleet(seed: u64, faults: Vec<Fault>, end: Duration) -> Outcome {
    let outcome = World::sized(Size::LARGE, seed, S * 100, faults, None).run(end);
    assert_eq!(outcome.violations, [], "large fleet, seed {seed}");
    assert_eq!(outcome.open, [], "large fleet, seed {seed}");
    outcome
}

/// Runs a simulation of pipelines that is long enough for an upgrade of the controllers.
pub fn run_upgrade(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::sized(Size::PIPELINES, seed, S * 150, faults, sabotage).run(S * 480)
}

/// Runs an upgrade simulation and asserts that no rule is violated, all work gets done and
/// no write or job is refused.
pub fn assert_upgrade_succeeds(seed: u64, faults: Vec<Fault>) {
    let text = format!("{faults:?}");
    let outcome = run_upgrade(seed, faults, None);
    assert_eq!(outcome.violations, [], "seed {seed}: {text}");
    assert_eq!(outcome.open, [], "seed {seed}: {text}");
    assert_eq!(outcome.refused_writes.0, 0, "seed {seed}: {text}");
    assert!(outcome.refused_jobs.is_empty(), "seed {seed}");
}
