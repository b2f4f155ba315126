//! Users who are told that their job can't be accepted or does not exist give up for good, so an
//! accepted job never gets such an answer, whatever the controller knows.

use std::time::Duration;

use oliveshift_core::Sabotage;
use oliveshift_testkit::{
    Fault, RuleViolation, World, draw_combined_faults, run_seeds_in_parallel,
};

const S: Duration = Duration::from_secs(1);
/// How long users submit jobs.
const BUSY: Duration = Duration::from_secs(180);

/// The jobs that were forgotten on a day on which users repeat their submissions at all
/// controllers, one of which has settings without their team.
fn forgotten_with_an_unknown_team(seed: u64, sabotage: Option<Sabotage>) -> Vec<String> {
    let repeats = Fault::FollowUpRequests {
        from: Duration::ZERO,
        until: BUSY,
    };
    let lag = Fault::ControllerLag {
        node: 2,
        lag: S / 50,
        from: Duration::ZERO,
        until: BUSY,
    };
    let mut world = World::new(seed, BUSY, vec![repeats, lag], sabotage);
    world.remove_team(2, "blue");
    let outcome = world.run(BUSY + 30 * S);
    assert!(outcome.accepted > 12, "{} accepted", outcome.accepted);
    assert!(outcome.evidence.follow_up_answers[1] > 100);
    let violations = outcome.violations.into_iter();
    let forgotten = violations.filter(|(_, rule, _)| *rule == RuleViolation::Forgotten);
    forgotten.map(|(_, _, job)| job).collect()
}

#[test]
fn an_accepted_job_is_not_refused_by_a_controller_with_older_settings() {
    for seed in 7100..7108 {
        let forgotten = forgotten_with_an_unknown_team(seed, None);
        assert_eq!(forgotten, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn drawn_days_with_slow_requests() {
    run_seeds_in_parallel(7400..7424, |seed| {
        let mut faults = draw_combined_faults(seed, 3, BUSY);
        faults.push(Fault::SlowRequests {
            one_in: 3,
            from: Duration::ZERO,
            until: BUSY,
        });
        let outcome = World::new(seed, BUSY, faults, None).run(BUSY + 240 * S);
        assert_eq!(outcome.violations, [], "seed {seed}");
        assert_eq!(outcome.open, [], "seed {seed}");
        let (arrived, given_up) = outcome.evidence.slow_requests;
        assert!(arrived > 20 && given_up > 20, "{arrived}, {given_up}");
    });
}

#[test]
fn refusals_without_a_read_are_caught() {
    let sabotage = Some(Sabotage::StaleVerdicts);
    let forgotten = (7100..7108).flat_map(|seed| forgotten_with_an_unknown_team(seed, sabotage));
    assert!(forgotten.count() > 0);
}
