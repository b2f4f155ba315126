//! Each check and each guard is tripped by breaking the code on purpose.

use oliveshift_core::Sabotage;
use oliveshift_testkit::{Fault, Outcome, RuleViolation};

use crate::{MS, S, SEEDS, observers::close_looks, play, rows::URGENT};

/// Whether breaking the code on purpose shows on some of the days.
pub fn is_caught(
    sabotage: Sabotage,
    faults: fn(u64) -> Vec<Fault>,
    shows: impl Fn(&Outcome) -> bool,
) {
    let mut seeds = SEEDS;
    let caught = seeds.any(|seed| shows(&play(&[URGENT], seed, faults(seed), Some(sabotage))));
    assert!(caught, "{sabotage:?} went unnoticed");
}

pub fn broke(rule: RuleViolation) -> impl Fn(&Outcome) -> bool {
    move |outcome| outcome.violations.iter().any(|(_, b, _)| *b == rule)
}

fn cancels(_: u64) -> Vec<Fault> {
    vec![Fault::CancelBurst {
        count: 6,
        at: S * 60,
    }]
}

#[test]
fn tasks_of_cancelled_jobs_that_go_on_or_start_are_caught() {
    is_caught(
        Sabotage::NoStops,
        cancels,
        broke(RuleViolation::RanCancelled),
    );
    is_caught(Sabotage::NoStops, cancels, |outcome| {
        outcome.late_starts > 0
    });
}

#[test]
fn leaving_questions_unanswered_is_caught() {
    is_caught(
        Sabotage::UnansweredRequests,
        cancels,
        broke(RuleViolation::Forgotten),
    );
}

#[test]
fn leaving_work_beside_room_is_caught() {
    is_caught(
        Sabotage::SkippedJobs,
        cancels,
        broke(RuleViolation::LeftWaiting),
    );
}

#[test]
fn accepting_what_can_not_run_is_caught() {
    let odd = |_| {
        vec![Fault::UnusualRequests {
            from: S * 20,
            until: S * 60,
        }]
    };
    is_caught(
        Sabotage::NoAdmissionChecks,
        odd,
        broke(RuleViolation::Unfit),
    );
}

/// Whatever one controller has told, another that answers from memory takes back.
#[test]
fn answers_from_memory_are_caught_by_close_looks() {
    let looks = |_| vec![close_looks()];
    is_caught(Sabotage::FromMemory, looks, |outcome| {
        let older = [RuleViolation::Forgotten, RuleViolation::WentBack];
        outcome
            .violations
            .iter()
            .any(|(_, rule, _)| older.contains(rule))
    });
}

/// A start that was held up arrives after its attempt was forgotten.
#[test]
fn forgetting_that_a_start_may_come_late_is_caught() {
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
    is_caught(Sabotage::NoLateStarts, faults, |outcome| {
        !outcome.violations.is_empty() || outcome.late_starts > 0
    });
}

/// What a write without an answer has handed out is counted, or a team at its limit
/// gets beyond it.
#[test]
fn forgetting_hand_outs_in_doubt_is_caught() {
    let faults = |_| {
        vec![Fault::LateWrites {
            one_in: 2,
            from: S * 10,
            until: S * 140,
        }]
    };
    is_caught(
        Sabotage::LostAnswerAsFailure,
        faults,
        broke(RuleViolation::Quota),
    );
}
