use oliveshift_wire::worker::{EndCause, TaskState};

use super::*;
use crate::{
    fixtures::{apply_records, block_record, controller},
    records::{Key, to_list},
};

fn task() -> TaskId {
    "j-1/0".parse().expect("a task")
}

#[test]
fn tokens_of_a_lease_end_at_the_newest_revision() {
    let tokens = LeaseTokens::new(40, 42);
    assert!(!tokens.contains(39) && tokens.contains(40) && tokens.contains(42));
    assert!(!tokens.is_exceeded_by(42) && tokens.is_exceeded_by(43));
    assert_eq!(tokens.above(40), Some(41));
    assert_eq!(tokens.above(42), None);
    // The view that shows a new lease may not have its revision yet.
    assert!(LeaseTokens::new(40, 39).contains(40));
}

#[test]
fn only_a_higher_token_or_the_end_of_the_session_fences_a_direct_start() {
    let entry = TaskReport {
        task: task(),
        attempt: 7,
        state: TaskState::Exited,
        cause: Some(EndCause::Error),
        saved: None,
    };
    let mut starts = DirectStarts::default();
    starts.sent(task(), 7, 41);
    assert!(starts.may_pass(&entry, 41) && !starts.may_pass(&entry, 42));
    starts.token_seen(41);
    assert!(starts.may_take_effect(&task(), 7));
    starts.token_seen(42);
    assert!(!starts.may_take_effect(&task(), 7));
    starts.sent(task(), 8, 42);
    starts.session_ended();
    assert!(!starts.may_take_effect(&task(), 8));
}

#[test]
fn a_lease_that_is_over_has_no_tokens_above_its_term() {
    let mut controller = controller("[]");
    let record = block_record(&controller);
    apply_records(&mut controller, [(Key::Block(1), to_list(&record), 40)]);
    controller.view.revision = 50;
    assert!(controller.view.lease_tokens(1, 40).contains(50));
    assert!(controller.view.lease_tokens(1, 39).is_exceeded_by(40));
}
