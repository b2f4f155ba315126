//! Each check and each guard is triggered by sabotage of the code.

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Fault, Outcome, RuleViolation};

use crate::{MS, S, SEEDS, observers::follow_up_requests, rows::URGENT, run_simulation};

/// Asserts that `is_caught` holds with `sabotage` for one of the seeds.
pub fn assert_caught(
    sabotage: Sabotage,
    faults: fn(u64) -> Vec<Fault>,
    is_caught: impl Fn(&Outcome) -> bool,
) {
    let mut seeds = SEEDS;
    let caught = seeds.any(|seed| {
        is_caught(&run_simulation(
            &[URGENT],
            seed,
            faults(seed),
            Some(sabotage),
        ))
    });
    assert!(caught, "{sabotage:?} was not caught with any seed");
}

/// Returns a predicate: whether an outcome violates `rule`.
pub fn violates(rule: RuleViolation) -> impl Fn(&Outcome) -> bool {
    move |outcome| {
        outcome
            .violations
            .iter()
            .any(|(_, violated, _)| *violated == rule)
    }
}

fn cancels(_: u64) -> Vec<Fault> {
    vec![Fault::CancelBurst {
        count: 6,
        at: S * 60,
    }]
}

#[test]
fn tasks_of_cancelled_jobs_that_keep_running_or_start_are_caught() {
    assert_caught(
        Sabotage::NoStops,
        cancels,
        violates(RuleViolation::RanCancelled),
    );
    assert_caught(Sabotage::NoStops, cancels, |outcome| {
        outcome.late_starts > 0
    });
}

#[test]
fn leaving_requests_unanswered_is_caught() {
    assert_caught(
        Sabotage::UnansweredRequests,
        cancels,
        violates(RuleViolation::Forgotten),
    );
}

#[test]
fn leaving_work_waiting_beside_free_capacity_is_caught() {
    assert_caught(
        Sabotage::SkippedJobs,
        cancels,
        violates(RuleViolation::LeftWaiting),
    );
}

#[test]
fn accepting_jobs_that_cannot_run_is_caught() {
    let unusual_requests = |_| {
        vec![Fault::UnusualRequests {
            from: S * 20,
            until: S * 60,
        }]
    };
    assert_caught(
        Sabotage::NoAdmissionChecks,
        unusual_requests,
        violates(RuleViolation::Unfit),
    );
}

/// A controller that answers from memory contradicts what another controller has answered.
#[test]
fn answers_from_memory_are_caught_by_follow_up_requests() {
    let faults = |_| vec![follow_up_requests()];
    assert_caught(Sabotage::FromMemory, faults, |outcome| {
        let rules = [RuleViolation::Forgotten, RuleViolation::WentBack];
        outcome
            .violations
            .iter()
            .any(|(_, rule, _)| rules.contains(rule))
    });
}

/// A delayed start order arrives after its attempt was forgotten.
#[test]
fn ignoring_late_starts_is_caught() {
    let faults = |seed| {
        let mut faults = vec![Fault::DelayedOrders {
            one_in: 2,
            from: S * 10,
            until: S * 140,
        }];
        faults.extend((0..6).map(|i| Fault::CancelBurst {
            count: 3,
            at: S * (30 + 12 * i) + MS * (100 * seed as u32 % 7),
        }));
        faults
    };
    assert_caught(Sabotage::NoLateStarts, faults, |outcome| {
        !outcome.violations.is_empty() || outcome.late_starts > 0
    });
}

/// Assignments by a write without an answer must be counted; otherwise a team at its limit
/// exceeds it.
#[test]
fn ignoring_unconfirmed_assignments_is_caught() {
    let faults = |_| {
        vec![Fault::LateWrites {
            one_in: 2,
            from: S * 10,
            until: S * 140,
        }]
    };
    assert_caught(
        Sabotage::LostAnswerAsFailure,
        faults,
        violates(RuleViolation::Quota),
    );
}
