use oliveshift_wire::{
    encode,
    job::JobSpec,
    settings::Settings,
    state::{Event, TxnAnswer},
};
use rmpv::Value;

use super::*;
use crate::{
    call::{Output, Reply},
    controller::{Input, Now},
    fixtures::job_spec,
    records::{FormatRecord, to_list, to_map},
};

/// An assignment whose answer was lost counted as not executed once its repeat was refused
/// by the rate limit. Its capacity was then used for other tasks, beyond the team's limit.
#[test]
fn a_refused_repeat_proves_nothing() {
    let now = Duration::from_secs(9);
    for refused in [Outcome::Refused, Outcome::Impossible] {
        assert_eq!(WriteStep::after(refused, false, now), None);
        let retry = Some(WriteStep::Retry(now + WRITE_RETRY_DELAY));
        assert_eq!(WriteStep::after(refused, true, now), retry);
    }
    for in_doubt in [false, true] {
        let visible = Some(WriteStep::VisibleAt(7));
        assert_eq!(WriteStep::after(Outcome::Done(7), in_doubt, now), visible);
        assert_eq!(
            WriteStep::after(Outcome::Conflict(7), in_doubt, now),
            visible
        );
    }
}

fn controller() -> Controller {
    let settings = r#"{"member":"n-0","site":"a","bind":"10.0.0.1:80",
        "internal_addr":"10.0.0.1:81","members":[],
        "outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
        "deployment":{"zones":["a"],"teams":[],
        "workers":{"report_s":2,"lease_s":12,"cancel_s":30},
        "state":{"rps":100,"write_rps":50,"value_kb":16,"txn_ops":20,
            "next":{"write_rps":20,"value_kb":2,"txn_ops":6}},
        "cloud":{"rps":6,"list_lag_s":3},"limits":{"max_sockets":100}}}"#;
    Controller::new(Settings::parse(settings).expect("good settings"), 1)
}

fn spec() -> JobSpec {
    JobSpec {
        tasks: 256,
        ..job_spec()
    }
}

fn sent(outputs: &[Output]) -> Vec<(u64, Txn)> {
    let calls = outputs.iter().filter_map(|output| match output {
        Output::Call(call) if call.path == "/multi" => {
            Some((call.id, oliveshift_wire::decode(&call.body).ok()?))
        }
        _ => None,
    });
    calls.collect()
}

/// A write in the first record format got no answer and exceeds the state service's limits
/// since they were lowered, as the record itself does. Repeats of it would always be
/// refused.
#[test]
fn a_write_in_doubt_that_is_too_large_is_settled_by_a_small_one() {
    let mut controller = controller();
    let id = spec().id;
    let put = |key: &Key, value: Value, version| Event::Put {
        key: key.path(),
        value,
        version,
    };
    let handed = |i: u32| TaskStatus::Assigned {
        block: i % 60,
        term: 900_000 + u64::from(i),
    };
    let mut places: Vec<_> = (0..256).map(handed).collect();
    let record = |places: &[TaskStatus]| ChunkRecord::pack(FormatLevel::FIRST, 0, places);
    let old = record(&places).expect("it fits").to_value();
    assert!(json_len(&old) > 4096);
    let job = JobRecord {
        phase: Phase::Open,
        tasks: 256,
        accepted_ms: 1,
        chunk_size: 256,
        spec: Some(spec()),
        spec_overflow_count: 0,
        done_ms: None,
        service: false,
    };
    let (chunk, format) = (Key::Chunk(id.clone(), 0), Key::Format);
    let level = FormatLevel::PIPELINES;
    for event in [
        put(&Key::Job(id.clone()), to_list(&job), 2),
        put(&chunk, old, 3),
        put(&format, to_map(&FormatRecord { level }), 4),
    ] {
        controller.view.apply(event);
    }
    // Sent before the format switch without an answer; its repeat was refused.
    places[7] = TaskStatus::Waiting;
    let value = record(&places).expect("it fits").to_value();
    let txn = Txn {
        conds: vec![Cond {
            key: chunk.path(),
            version: 3,
        }],
        changes: vec![Change::Put {
            key: chunk.path(),
            value,
            lease: None,
        }],
    };
    assert!(!controller.txn_fits(&txn));
    let key = (id.clone(), 0);
    let write = ChunkWrite {
        base_version: 3,
        txn,
        step: WriteStep::Retry(Duration::ZERO),
        in_doubt: true,
        impossible: true,
        assignments: vec![(7, 1)],
    };
    controller.chunk_writes.insert(key.clone(), write);
    let now = |s| Now {
        monotonic: Duration::from_secs(s),
        wall_clock: Duration::from_secs(1_800_000_000 + s),
    };
    controller.now = now(1).monotonic;
    controller.advance_chunk_writes();
    let outputs = controller.handle(now(2), Input::Tick);
    let [(call, txn)] = &sent(&outputs)[..] else {
        panic!("one write");
    };
    assert!(controller.txn_fits(txn), "{}", json_len(txn));
    assert!(
        txn.conds
            .iter()
            .any(|c| c.key == chunk.path() && c.version == 3)
    );
    assert!(controller.chunk_writes.contains_key(&key));
    // It is executed, so the write in doubt never will be.
    let body = encode(&TxnAnswer {
        revision: 5,
        failed: Vec::new(),
    });
    let reply = Reply::Answer { status: 200, body };
    controller.handle(now(3), Input::Reply(*call, reply));
    let [Change::Put { value, .. }] = &txn.changes[..] else {
        panic!("one change");
    };
    controller.view.apply(put(&chunk, value.clone(), 5));
    controller.advance_chunk_writes();
    assert!(controller.chunk_writes.is_empty());
    let assigned_block = |place: TaskStatus| match place {
        TaskStatus::Assigned { block, .. } => block,
        _ => panic!("handed as before"),
    };
    let places = &controller.view.jobs[&id].chunks[&0].task_statuses;
    let blocks: Vec<_> = places.iter().copied().map(assigned_block).collect();
    assert_eq!(blocks, (0..256).map(|i| i % 60).collect::<Vec<_>>());
}
