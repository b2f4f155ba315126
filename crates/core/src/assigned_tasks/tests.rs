use oliveshift_wire::worker::Report;

use super::*;
use crate::{
    controller::Input,
    controller::Now,
    fixtures::{self, job_spec},
    records::{ChunkRecord, FormatLevel, JobRecord, Key, to_list},
};

#[test]
fn direct_orders_may_overtake_a_start_in_an_answer() {
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
        // Sent with the answer to report 7, and must stop.
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
        // Was listed, so the start did arrive.
        (
            bound(Some(7), true, false),
            9,
            Origin::Orders,
            UnlistedAttempt::Absent,
        ),
        // Sent with direct orders, whose answer would list it.
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

/// The first report that a new holder gets may be a delayed copy of an old one. Bound to
/// the attempt in it, the holder placed a task again once that attempt had ended, while
/// the task ran under a later attempt.
#[test]
fn a_delayed_report_received_first_does_not_hide_the_running_attempt() {
    let bound_attempt = |configure: fn(&mut Controller)| {
        let mut controller = fixtures::controller("[]");
        configure(&mut controller);
        let id: JobId = "j-1".parse().expect("an id");
        let spec = job_spec();
        let block = fixtures::block_record(&controller);
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
        // Assigned under term 4; the block has been leased again since.
        let statuses = [TaskStatus::Assigned { block: 0, term: 4 }];
        let chunk = ChunkRecord::pack(FormatLevel::FIRST, 0, &statuses).expect("it fits");
        let records = [
            (Key::Machines(0, 0), list.to_value(), 5),
            (Key::Job(id.clone()), to_list(&job), 6),
            (Key::Chunk(id.clone(), 0), chunk.to_value(), 7),
            (Key::Block(0), to_list(&block), 9),
        ];
        fixtures::apply_records(&mut controller, records);
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
                cause: None,
                saved: None,
            }],
        };
        // The delayed copy with an attempt that has stopped since, then the current state.
        controller.apply_report(report(3, 4, 11), Origin::Report);
        controller.apply_report(report(17, 9, 12), Origin::Orders);
        let assigned = &controller.assigned_tasks[&task];
        assigned.bound().map(|b| (b.machine.clone(), b.attempt))
    };
    assert_eq!(bound_attempt(|_| {}), Some(("vm-1".to_owned(), 12)));
    #[cfg(feature = "sabotage")]
    {
        let with_fault = bound_attempt(|c| c.sabotage = Some(crate::Sabotage::FirstReportOnly));
        assert_eq!(
            with_fault, None,
            "the task counts as running nowhere and would be placed again"
        );
    }
}
