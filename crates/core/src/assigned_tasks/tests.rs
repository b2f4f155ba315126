use oliveshift_wire::worker::Report;

use super::*;
use crate::{
    controller::Input,
    controller::Now,
    fixtures::{self, job_spec},
    records::{ChunkRecord, FormatLevel, JobRecord, Key, to_list},
};

#[test]
fn a_start_in_an_answer_may_be_overtaken_by_direct_orders() {
    let bound = |start_sent_with, listed, stops: bool| Bound {
        machine: "vm-1".into(),
        attempt: 1,
        evidence: None,
        session: 1,
        start_sent_with,
        listed,
        running: false,
        stop: stops.then_some(Stop {
            grace: Duration::ZERO,
            sent: false,
        }),
    };
    let cases = [
        // Sent with the answer to report 7, and has to stop.
        (
            bound(Some(7), false, true),
            8,
            Origin::Orders,
            UnlistedAttempt::Unknown,
        ),
        (
            bound(Some(7), false, true),
            8,
            Origin::Report,
            UnlistedAttempt::Absent,
        ),
        (
            bound(Some(7), false, true),
            7,
            Origin::Report,
            UnlistedAttempt::Unknown,
        ),
        (
            bound(Some(7), false, false),
            8,
            Origin::Orders,
            UnlistedAttempt::Unknown,
        ),
        (
            bound(Some(7), false, false),
            8,
            Origin::Report,
            UnlistedAttempt::Resend,
        ),
        // Listed once, so the answer did arrive.
        (
            bound(Some(7), true, false),
            9,
            Origin::Orders,
            UnlistedAttempt::Absent,
        ),
        // Sent directly: its own answer lists it.
        (
            bound(Some(0), false, true),
            8,
            Origin::Orders,
            UnlistedAttempt::Absent,
        ),
        (
            bound(None, false, true),
            8,
            Origin::Report,
            UnlistedAttempt::Unknown,
        ),
    ];
    for (bound, seq, origin, expected) in cases {
        assert_eq!(
            bound.unlisted(seq, origin),
            expected,
            "{bound:?} {origin:?}"
        );
    }
}

/// A new holder heard a late copy of an old report first, went by the attempt in
/// there, and when that was gone placed a task again that ran under a later one.
#[test]
fn an_old_report_that_comes_first_is_not_all_there_is() {
    let stands = |breaks: fn(&mut Controller)| {
        let mut controller = fixtures::controller("[]");
        breaks(&mut controller);
        let id: JobId = "j-1".parse().expect("an id");
        let spec = job_spec();
        let block = fixtures::block_of(&controller);
        let list = fixtures::machine_list();
        let job = JobRecord {
            phase: Phase::Open,
            tasks: 1,
            accepted_ms: 1,
            chunk_size: 256,
            spec: Some(spec),
            spec_overflow_count: 0,
            done_ms: None,
            service: false,
        };
        // Handed under term 4; the block has been leased anew since.
        let handed = [TaskStatus::Assigned { block: 0, term: 4 }];
        let chunk = ChunkRecord::pack(FormatLevel::FIRST, 0, &handed).expect("it fits");
        let records = [
            (Key::Machines(0, 0), list.to_value(), 5),
            (Key::Job(id.clone()), to_list(&job), 6),
            (Key::Chunk(id.clone(), 0), chunk.to_value(), 7),
            (Key::Block(0), to_list(&block), 9),
        ];
        fixtures::show(&mut controller, records);
        let at = Duration::from_secs(1);
        let now = Now {
            monotonic: at,
            wall_clock: Duration::from_secs(1_800_000_000),
        };
        controller.handle(now, Input::Tick);
        let task = id.task(0);
        let report = |seq, token, attempt| Report {
            machine: "vm-1".into(),
            addr: "10.1.0.1:9000".into(),
            kind: "small".into(),
            zone: "a".into(),
            spot: false,
            session: 1,
            seq,
            token,
            notice_s: None,
            tasks: vec![TaskReport {
                task: task.clone(),
                attempt,
                state: TaskState::Running,
                why: None,
                saved: None,
            }],
        };
        // The copy, with the attempt that was stopped since; then what is true.
        controller.apply_report(report(3, 4, 11), Origin::Report);
        controller.apply_report(report(17, 9, 12), Origin::Orders);
        let assigned = &controller.assigned_tasks[&task];
        assigned.bound().map(|b| (b.machine.clone(), b.attempt))
    };
    assert_eq!(stands(|_| {}), Some(("vm-1".to_owned(), 12)));
    #[cfg(feature = "sabotage")]
    {
        let first = stands(|c| c.sabotage = Some(crate::Sabotage::FirstReportOnly));
        assert_eq!(
            first, None,
            "it counts as nowhere, and would be placed again"
        );
    }
}
