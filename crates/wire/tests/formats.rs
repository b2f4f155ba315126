//! Encoding and decoding of the formats that the protocol specifies.

use oliveshift_wire::{
    cloud::MachineTypes,
    decode, encode,
    job::{JobSpec, Priority, Shape},
    peer::{FormatLevelAnswer, MachineSummary, PeerMessage},
    state::{Change, Event, Events, Txn},
    worker::{DirectOrders, EndCause, Order, Report, TaskState},
};
use serde_json::{Value, json};

/// Encodes a JSON value as the MessagePack that is sent on the wire.
fn pack(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("JSON can be packed")
}

fn unpack(body: &[u8]) -> Value {
    rmp_serde::from_slice(body).expect("it is MessagePack")
}

fn job() -> Value {
    json!({"uid":"j-7","jobclass":"scan","owner":"red","shape":"array","urgency":"standard",
        "shards":3,"vcpus":2,"accelerators":0.0,"ram_gb":4.5,"bundle":"img","size_gb":1.5,
        "flavors":null,"together":false,"spread":true,"reclaimable":true,"expect_s":30,
        "snapshot_s":10.0,"flush_s":2.0,"due_s":75.0,"later":{"is":"ignored"}})
}

#[test]
fn jobs_are_decoded_as_specified() {
    let spec = JobSpec::parse(&pack(&job())).expect("a good job");
    assert_eq!(
        (spec.shape, spec.priority),
        (Shape::Array, Priority::Normal)
    );
    assert_eq!(
        (spec.cpus, spec.zone.clone(), spec.max_tasks_per_zone()),
        (2.0, None, 2)
    );
    assert_eq!(JobSpec::parse(&encode(&spec)).expect("its own form"), spec);
}

#[test]
fn malformed_jobs_are_refused() {
    let with = |name: &str, value: Value| {
        let mut job = job();
        job[name] = value;
        JobSpec::parse(&pack(&job))
    };
    let bad = [
        ("uid", json!("x-7")),
        ("uid", json!("j-7/1")),
        ("uid", json!(7)),
        ("shards", json!(0)),
        ("shards", json!(100_001)),
        ("shards", json!(-1)),
        ("shape", json!("circle")),
        ("urgency", json!("HIGH")),
        ("vcpus", json!(-0.5)),
        ("vcpus", json!("2")),
        ("ram_gb", json!(1e300)),
        ("due_s", json!(-1)),
        ("together", json!(1)),
        ("flavors", json!("g8")),
    ];
    for (name, value) in bad {
        assert!(with(name, value.clone()).is_err(), "{name}: {value}");
    }
    assert!(with("shards", json!(100_000)).is_ok());
    let required = ["uid", "owner", "shards", "vcpus", "reclaimable", "expect_s"];
    for name in required {
        let mut job = job();
        job.as_object_mut().expect("a map").remove(name);
        assert!(JobSpec::parse(&pack(&job)).is_err(), "without {name}");
    }
    let mut nan = JobSpec::parse(&pack(&job())).expect("a good job");
    nan.memory_gb = f64::NAN;
    assert!(JobSpec::parse(&encode(&nan)).is_err());
    assert!(JobSpec::parse(&pack(&json!([1, 2]))).is_err());
    assert!(JobSpec::parse(b"").is_err());
    let mut twice = pack(&job());
    twice.push(0xc0);
    assert!(JobSpec::parse(&twice).is_err(), "bytes after the end");
}

#[test]
fn reports_and_orders_keep_their_format() {
    let text = json!({"host":"vm-1","endpoint":"10.1.0.1:9","flavor":"g","site":"a",
        "reclaimable":false,"tenure":2,"tick":9,"epoch":41,"warning_s":null,
        "shards":[{"shard":"j-7/2","try":9_007_199_254_740_991u64,"phase":"ended","cause":"no_room"},
            {"shard":"j-7/1","try":1,"phase":"dreaming"},
            {"shard":"j-7/0","try":1,"phase":"ended","cause":"a new one"}]});
    let report: Report = decode(&pack(&text)).expect("a report");
    assert_eq!(report.tasks[0].cause, Some(EndCause::NoRoom));
    assert_eq!(report.tasks[1].state, TaskState::Other);
    assert_eq!(report.tasks[2].cause, Some(EndCause::Error));

    let orders = DirectOrders {
        token: 41,
        session: 2,
        orders: vec![
            Order::Start {
                task: "j-7/0".parse().expect("a task"),
                attempt: 5,
            },
            Order::Stop {
                task: "j-7/1".parse().expect("a task"),
                attempt: 4,
                grace_s: 2.5,
            },
        ],
    };
    let form = json!({"epoch":41,"tenure":2,"orders":[
        {"verb":"start","shard":"j-7/0","try":5},
        {"verb":"kill","shard":"j-7/1","try":4,"drain_s":2.5}]});
    assert_eq!(unpack(&encode(&orders)), form);
    assert_eq!(
        decode::<DirectOrders>(&pack(&form)).expect("orders"),
        orders
    );
}

#[test]
fn transactions_and_watch_events_keep_their_format() {
    let form = json!({"if":[{"path":"a/b","stamp":0}],
        "then":[{"write":"a/b","v":{"x":1},"grant":7},{"drop":"c"}]});
    let txn: Txn = decode(&pack(&form)).expect("a transaction");
    assert!(matches!(&txn.changes[1], Change::Delete { key } if key == "c"));
    assert_eq!(unpack(&encode(&txn)), form);
    let form =
        json!({"generation":9,"log":[{"write":"k","v":[1],"stamp":8},{"drop":"k","stamp":9}]});
    let events: Events = decode(&pack(&form)).expect("events");
    assert!(matches!(
        &events.events[1],
        Event::Delete { version: 9, .. }
    ));
}

#[test]
fn integers_are_accepted_for_amounts() {
    let form = json!({"flavors":[{"label":"g","vcpus":4,"accelerators":0,"ram_gb":16,"local_gb":60,
        "fetch_gb_per_s":1,"hourly":1,"low_price":0.25,"ready_s":20,"sites":["a"]}]});
    let types: MachineTypes = decode(&pack(&form)).expect("types");
    assert_eq!(types.types[0].resources().memory_gb, 16.0);
}

#[test]
fn peer_messages_round_trip() {
    let message = PeerMessage {
        from: "n-1".into(),
        incarnation: 3,
        contact_age_ms: None,
        base_version: 4,
        new_version: 9,
        machines: Vec::new(),
        unrecorded: vec!["j-7/2".parse().expect("a task")],
        drain: vec!["vm-1".into()],
        preempt: Vec::new(),
    };
    let bytes = borsh::to_vec(&message).expect("it can be written");
    assert_eq!(
        borsh::from_slice::<PeerMessage>(&bytes).expect("and read"),
        message
    );
    assert!(borsh::from_slice::<PeerMessage>(&bytes[1..]).is_err());
}

/// The expected bytes are those that the commit named `production` in `deploy/service.toml`
/// writes. Programs of that version refuse any other encoding.
#[test]
fn peer_messages_keep_their_encoding() {
    let task = |name: &str| name.parse().expect("a task");
    let message = PeerMessage {
        from: "n-1".into(),
        incarnation: 3,
        contact_age_ms: Some(5),
        base_version: 4,
        new_version: 9,
        machines: vec![MachineSummary {
            name: "vm-000001".into(),
            term: 41,
            usable: true,
            faulty: false,
            silent_ms: None,
            idle_ms: Some(7),
            free: [1.0, 0.0, 2.5],
            images: vec!["img-07".into()],
            tasks: vec![task("j-000412/1")],
        }],
        unrecorded: vec![task("j-000412/0")],
        drain: vec!["vm-000002".into()],
        preempt: vec![task("j-000412/2")],
    };
    let bytes = borsh::to_vec(&message).expect("it can be written");
    let text: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(
        text,
        "030000006e2d3103000000000000000105000000000000000400000000000000090000000000000001000000\
         09000000766d2d3030303030312900000000000000010000010700000000000000000000000000f03f000000\
         000000000000000000000004400100000006000000696d672d303701000000080000006a2d30303034313201\
         00000001000000080000006a2d303030343132000000000100000009000000766d2d30303030303201000000\
         080000006a2d30303034313202000000"
    );
    let answer = FormatLevelAnswer {
        node: "n-1".into(),
        incarnation: 3,
        level: 2,
    };
    let bytes = borsh::to_vec(&answer).expect("it can be written");
    assert_eq!(bytes, b"\x03\0\0\0n-1\x03\0\0\0\0\0\0\0\x02\0\0\0");
}

#[test]
fn awaited_jobs_are_decoded_as_specified() {
    let with = |awaits: Value| {
        let mut job = job();
        job["awaits"] = awaits;
        JobSpec::parse(&pack(&job))
    };
    let named = with(json!(["j-9", "j-000398", "j-9"])).expect("a good job");
    let names: Vec<_> = named.awaits.iter().map(|id| id.as_str()).collect();
    assert_eq!(names, ["j-000398", "j-9"]);
    for none in [json!(null), json!([])] {
        assert_eq!(with(none).expect("a good job").awaits, []);
    }
    let plain = JobSpec::parse(&pack(&job())).expect("a good job");
    assert_eq!(plain.awaits, []);
    assert!(unpack(&encode(&plain)).get("awaits").is_none());
    for bad in [
        json!("j-9"),
        json!(["j-x"]),
        json!([9]),
        json!({"j-9": 1}),
        json!(["j-9/1"]),
    ] {
        assert!(with(bad.clone()).is_err(), "{bad}");
    }
}
