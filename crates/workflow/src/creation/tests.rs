use super::*;

const NOW: Duration = Duration::from_secs(100);

fn creation(pieces: usize) -> RunCreation {
    let txn = Txn {
        conds: Vec::new(),
        changes: Vec::new(),
    };
    RunCreation::new(NOW, 7, None, 3, vec![txn; pieces + 1])
}

fn send(creation: &mut RunCreation, reply: StoreReply) -> CreationProgress {
    assert!(creation.next_txn().is_some());
    assert!(creation.is_in_flight() && creation.next_txn().is_none());
    creation.write_answered(&reply)
}

#[test]
fn a_refused_write_leaves_no_doubt() {
    let mut creation = creation(1);
    for _ in 0..3 {
        send(&mut creation, StoreReply::Refused);
    }
    let committed = StoreReply::Committed(1);
    assert_eq!(send(&mut creation, committed), CreationProgress::Incomplete);
    send(&mut creation, StoreReply::Refused);
    assert_eq!(
        creation.answer_when_abandoned(),
        Answer::RetryAfter(RETRY_AFTER)
    );
}

/// The pieces of a document do not make a run, so a lost answer to their write leaves no doubt.
#[test]
fn only_the_record_makes_a_run() {
    let mut creation = creation(1);
    send(&mut creation, StoreReply::Lost);
    assert!(!creation.may_be_recorded());
    send(&mut creation, StoreReply::Committed(1));
    assert!(!creation.may_be_recorded());
    assert!(creation.next_txn().is_some());
    assert!(creation.may_be_recorded());
}

/// A refused repeat proves nothing about the first write, whose answer was lost.
#[test]
fn a_lost_answer_leaves_a_doubt_that_a_refusal_does_not_settle() {
    let mut creation = creation(0);
    send(&mut creation, StoreReply::Lost);
    send(&mut creation, StoreReply::Refused);
    let failed = send(&mut creation, StoreReply::ConditionFailed);
    assert_eq!(failed, CreationProgress::ConditionFailed);
    assert_eq!(
        creation.answer_when_abandoned(),
        Answer::OutcomeUnknown(RETRY_AFTER)
    );
}

#[test]
fn the_submitter_is_answered_before_its_request_times_out() {
    let creation = creation(0);
    assert!(!creation.is_expired(NOW + CREATION_TIMEOUT - Duration::from_millis(1)));
    assert!(creation.is_expired(NOW + CREATION_TIMEOUT));
    assert!(CREATION_TIMEOUT < crate::service::ANSWER_TIMEOUT);
}
