use super::*;
use crate::records::RunState;

#[test]
fn the_run_record_is_removed_last() {
    let mut sweeps = Sweeps::new(Duration::from_secs(100));
    let id = RunId {
        range: 1,
        number: 2,
    };
    let mut record = RunRecord {
        state: RunState::Complete,
        begun_s: 10,
        ended_s: Some(50),
        pieces: 2,
        outputs: 1,
        failure: None,
        job_pieces: None,
        idempotency_key: "once".parse().ok(),
    };
    sweeps.consider(id, &record, 7, 149);
    assert_eq!(sweeps.next_step(3), None);
    record.state = RunState::Failing;
    sweeps.consider(id, &record, 7, 500);
    assert_eq!(sweeps.next_step(3), None);
    record.state = RunState::ExecutorError;
    sweeps.consider(id, &record, 7, 150);
    assert_eq!(sweeps.next_step(3), Some(SweepStep::ListJobs(id, None)));
    assert_eq!(sweeps.next_step(3), None);
    let job = Item {
        key: piece_key('j', id, 0),
        value: rmpv::Value::Nil,
        version: 1,
    };
    sweeps.jobs_listed(id, Some((&[job], false)));
    let mut removed = Vec::new();
    while let Some(SweepStep::Remove(_, cond, changes)) = sweeps.next_step(4) {
        sweeps.removal_answered(id, Some(changes.len()));
        // Executed late, the last removal must not remove the key of another run.
        let is_key = |c: &Change| matches!(c, Change::Delete { key } if key == "wf/k/once");
        let removes_key = changes.iter().any(is_key);
        let unchanged = Cond {
            key: run_key('r', id),
            version: 7,
        };
        assert_eq!(cond, removes_key.then_some(unchanged));
        removed.extend(changes.into_iter().map(|c| match c {
            Change::Delete { key } => key,
            other => panic!("{other:?}"),
        }));
    }
    let t = |i| piece_key('t', id, i);
    let last = [run_key('c', id), "wf/k/once".to_owned(), run_key('r', id)];
    let mut all = vec![piece_key('j', id, 0), t(2), t(1), t(0)];
    all.extend(last);
    assert_eq!(removed, all);
}
