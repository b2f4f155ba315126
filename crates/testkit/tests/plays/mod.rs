//! What days begin with that several test files play.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Fault, Outcome, Size, World};

/// A second.
pub const S: Duration = Duration::from_secs(1);

/// Plays a day; `RUST_LOG=debug` shows what the controllers say.
pub fn day(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::new(seed, S * 150, faults, sabotage).run(S * 330)
}

/// Plays a day on which no rule may break and all work has to get done.
pub fn good(seed: u64, faults: Vec<Fault>) {
    let text = format!("{faults:?}");
    let outcome = day(seed, faults, None);
    assert_eq!(outcome.violations, [], "seed {seed}: {text}");
    assert_eq!(outcome.open, [], "seed {seed}: {text}");
    assert!(
        outcome.started > 20,
        "seed {seed}: {} started",
        outcome.started
    );
    assert_eq!(outcome.accepted, 24, "seed {seed}: {text}");
}

/// Plays a day of hundreds of machines until `end`.
pub fn grown(seed: u64, faults: Vec<Fault>, end: Duration) -> Outcome {
    let outcome = World::sized(Size::LARGE, seed, S * 100, faults, None).run(end);
    assert_eq!(outcome.violations, [], "grown, seed {seed}");
    assert_eq!(outcome.open, [], "grown, seed {seed}");
    outcome
}

/// Plays a day with pipelines on which the program is replaced.
pub fn roll(seed: u64, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Outcome {
    let _ = env_logger::Builder::from_default_env()
        .is_test(true)
        .try_init();
    World::sized(Size::PIPELINES, seed, S * 150, faults, sabotage).run(S * 480)
}

/// The same for a day on which the program is replaced.
pub fn good_roll(seed: u64, faults: Vec<Fault>) {
    let text = format!("{faults:?}");
    let outcome = roll(seed, faults, None);
    assert_eq!(outcome.violations, [], "seed {seed}: {text}");
    assert_eq!(outcome.open, [], "seed {seed}: {text}");
    assert_eq!(outcome.refused_writes.0, 0, "seed {seed}: {text}");
    assert!(outcome.refused_jobs.is_empty(), "seed {seed}");
}
