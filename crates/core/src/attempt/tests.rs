use std::rc::Rc;

use oliveshift_wire::TaskId;

use super::*;
use crate::{assigned_tasks::Stop, fixtures::job_spec, records::MachineRecord};

const ATTEMPT: u64 = 7;
const TOKEN: u64 = 5;

fn task() -> TaskId {
    "j-1/0".parse().expect("a task")
}

fn machine() -> Machine {
    let record = MachineRecord {
        block: 1,
        list_number: 0,
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        addr: "10.1.0.1:9000".into(),
    };
    let mut machine = Machine::new(record, 5, Duration::ZERO);
    machine.session = 3;
    machine.term_acknowledged = true;
    machine
}

fn bound() -> Bound {
    Bound {
        machine: "vm-1".into(),
        attempt: ATTEMPT,
        evidence: None,
        session: 3,
        start_sent_with: None,
        listed: false,
        running: false,
        stop: None,
    }
}

fn assigned(state: AssignmentState) -> AssignedTask {
    AssignedTask {
        spec: Rc::new(job_spec()),
        block: 1,
        assigned_term: 5,
        state,
        cancelled: false,
        failed_on: Vec::new(),
    }
}

fn entry(state: TaskState, cause: Option<EndCause>) -> TaskReport {
    TaskReport {
        task: task(),
        attempt: ATTEMPT,
        state,
        cause,
        saved: None,
    }
}

#[test]
fn a_start_needs_contact_and_a_proven_machine_in_the_same_session() {
    let contact = Some(Tenure::proven_until(Some(Duration::from_secs(1))));
    let decides = |tenure, changes: fn(&mut Machine, &mut Bound)| {
        let (mut machine, mut bound) = (machine(), bound());
        changes(&mut machine, &mut bound);
        let attempt = Attempt {
            machine: &machine,
            name: "vm-1",
            assigned: None,
        };
        attempt.may_start(&bound, tenure)
    };
    assert_eq!(decides(contact, |_, _| {}), Ok(()));
    assert_eq!(decides(None, |_, _| {}), Err(StartRefusal::NoContact));
    let unacknowledged = decides(contact, |m, _| m.term_acknowledged = false);
    assert_eq!(unacknowledged, Err(StartRefusal::NotProven));
    let expired = decides(contact, |m, _| m.lease.mark_expired(Duration::ZERO));
    assert_eq!(expired, Err(StartRefusal::LeaseExpired));
    let other_session = decides(contact, |m, _| m.session = 4);
    assert_eq!(other_session, Err(StartRefusal::OtherSession));
    let stops = decides(contact, |_, b| {
        b.stop = Some(Stop {
            grace: Duration::ZERO,
            sent: false,
        });
    });
    assert_eq!(stops, Err(StartRefusal::MustStop));
}

#[test]
fn only_ends_that_are_recorded_and_can_not_come_again_are_forgotten() {
    let done = || entry(TaskState::Exited, Some(EndCause::Done));
    let decides_under = |token, entry: TaskReport, assigned: Option<AssignedTask>, direct| {
        let mut machine = machine();
        if direct {
            machine.direct_starts.sent(task(), ATTEMPT, TOKEN);
        }
        let attempt = Attempt {
            machine: &machine,
            name: "vm-1",
            assigned: assigned.as_ref(),
        };
        attempt.may_forget(&entry, token)
    };
    let decides = |entry, assigned, direct| decides_under(TOKEN, entry, assigned, direct);
    assert_eq!(decides(done(), None, false), Ok(()));
    let running = decides(entry(TaskState::Running, None), None, false);
    assert_eq!(running, Err(ForgetRefusal::Alive));
    let bound = decides(
        done(),
        Some(assigned(AssignmentState::Bound(bound()))),
        false,
    );
    assert_eq!(bound, Err(ForgetRefusal::StillBound));
    let unrecorded = decides(done(), Some(assigned(AssignmentState::Done)), false);
    assert_eq!(unrecorded, Err(ForgetRefusal::NotRecorded));
    assert_eq!(
        decides(done(), None, true),
        Err(ForgetRefusal::MayStartLate)
    );
    assert_eq!(decides_under(TOKEN + 1, done(), None, true), Ok(()));
}

/// Proof that rests on a worker's silence needs tenure beyond the end of its lease; other
/// proof stays valid.
#[test]
fn a_start_on_silence_needs_tenure_beyond_it() {
    let at = |s| Duration::from_secs(s);
    let decides = |evidence, proven| {
        let machine = machine();
        let attempt = Attempt {
            machine: &machine,
            name: "vm-1",
            assigned: None,
        };
        let bound = Bound {
            evidence: Some(evidence),
            ..bound()
        };
        attempt.may_start(&bound, Some(Tenure::proven_until(proven)))
    };
    let silence_proofs = [
        AbsenceProof::LeaseExpired { at: at(75) },
        AbsenceProof::BlockCleared {
            silent_until: Some(at(75)),
        },
    ];
    for evidence in silence_proofs {
        assert_eq!(decides(evidence, Some(at(75))), Ok(()));
        let refused = Err(StartRefusal::NoTenure(evidence));
        assert_eq!(decides(evidence, Some(at(74))), refused);
        assert_eq!(decides(evidence, None), refused);
    }
    let independent_of_tenure = [
        AbsenceProof::AssignedUnderOwnTerm,
        AbsenceProof::NotStarted,
        AbsenceProof::Ended(EndCause::Error),
        AbsenceProof::NotListed,
        AbsenceProof::SessionEnded,
        AbsenceProof::MachineReturned,
        AbsenceProof::BlockCleared { silent_until: None },
    ];
    for evidence in independent_of_tenure {
        assert_eq!(decides(evidence, Some(at(1))), Ok(()), "{evidence}");
    }
}
