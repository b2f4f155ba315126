use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn job() -> JobId {
    "j-1".parse().expect("an id")
}

fn id(conn: ConnId) -> WriteId {
    (job(), conn)
}

/// A submission first sent at 1000 ms.
fn submission(conn: ConnId, accepted_ms: u64) -> UserWrite {
    let request = UserRequest {
        conn,
        job: job(),
        kind: RequestKind::Submit,
        since: ms(1000),
        submission: None,
        accepted_ms: Some(accepted_ms),
    };
    let txn = Txn {
        conds: Vec::new(),
        changes: Vec::new(),
    };
    UserWrite::new(ms(1000), request, txn)
}

#[test]
fn a_write_without_an_answer_is_repeated_a_few_times() {
    let mut writes = UserWrites::default();
    writes.add(submission(7, 1));
    let id = id(7);
    let mut repeated = Vec::new();
    for now in (1000..4000).step_by(10).map(ms) {
        for due in writes.due(now) {
            assert_eq!(due, id);
            writes.record_repeat(now, &due);
            repeated.push(now);
        }
    }
    assert_eq!(repeated, [ms(1350), ms(1700)]);
    // Other requests may still be answered.
    for _ in 0..2 {
        let follows = writes.record_outcome(&id, Outcome::Unknown);
        assert!(matches!(follows, WriteResolution::Nothing));
    }
    match writes.record_outcome(&id, Outcome::Refused) {
        WriteResolution::Failed(write) => assert!(write.is_in_doubt()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_refused_write_is_not_in_doubt() {
    let mut writes = UserWrites::default();
    writes.add(submission(7, 1));
    match writes.record_outcome(&id(7), Outcome::Refused) {
        WriteResolution::Failed(write) => assert!(!write.is_in_doubt()),
        other => panic!("{other:?}"),
    }
}

/// When the answer to a write was lost, its user was told to try again although a watch
/// had shown the record within milliseconds.
#[test]
fn the_record_confirms_a_write_whose_answer_is_lost() {
    let mut writes = UserWrites::default();
    writes.add(submission(7, 1));
    writes.add(submission(8, 2));
    let shown = writes.take_confirmed(&job(), |request| request.has_written(1));
    let conns: Vec<_> = shown.iter().map(|request| request.conn).collect();
    assert_eq!(conns, [7], "the other request has not written this record");
    let late = writes.record_outcome(&id(7), Outcome::Done(5));
    assert!(
        matches!(late, WriteResolution::Nothing),
        "it is answered once"
    );
    let conflict = writes.record_outcome(&id(8), Outcome::Conflict(5));
    assert!(matches!(conflict, WriteResolution::Conflict(request, 5) if request.conn == 8));
}
