use super::*;

fn bound() -> Bound {
    Bound {
        machine: "vm-1".into(),
        attempt: 7,
        evidence: None,
        session: 3,
        start_sent_with: Some(0),
        listed: true,
        running: true,
        stop: None,
    }
}

#[test]
fn a_term_is_held_once() {
    let mut invariants = Invariants::default();
    assert!(invariants.may_hold(1, 5));
    invariants.term_lost(1, 5);
    assert!(invariants.may_hold(1, 6) && invariants.may_hold(2, 5));
    assert_eq!(invariants.violations(), 0);
    assert!(!invariants.may_hold(1, 5));
    assert_eq!(invariants.violations(), 1);
}

#[test]
fn a_started_task_that_was_dropped_is_remembered_until_its_term_is_over() {
    let mut invariants = Invariants::default();
    let [one, other]: [TaskId; 2] = ["j-1/0", "j-1/1"].map(|t| t.parse().expect("a task"));
    assert!(invariants.take_dropped(&one).is_none());
    assert_eq!(invariants.violations(), 0);
    invariants.started_task_dropped(&one, 1, bound());
    invariants.started_task_dropped(&other, 2, bound());
    let again = invariants.take_dropped(&one).map(|b| b.attempt);
    assert_eq!(again, Some(7));
    assert!(
        invariants.take_dropped(&one).is_none(),
        "it is an assigned task again"
    );
    invariants.term_lost(2, 5);
    assert!(invariants.take_dropped(&other).is_none());
    assert_eq!(invariants.violations(), 3);
}
