use oliveshift_wire::job::{Priority, Shape};

use super::*;

fn id(text: &str) -> JobId {
    text.parse().expect("an id")
}

#[test]
fn chunk_records_round_trip() {
    let mut statuses = vec![TaskStatus::Waiting; 12];
    statuses[3] = TaskStatus::Done;
    statuses[4] = TaskStatus::Done;
    for (i, p) in statuses.iter_mut().enumerate().skip(6) {
        *p = TaskStatus::Assigned {
            block: (i / 9) as u32,
            term: 7,
        };
    }
    for level in [FormatLevel::FIRST, FormatLevel::PIPELINES] {
        let packed = ChunkRecord::pack(level, 256, &statuses).expect("it fits");
        let back = ChunkRecord::from_value(packed.to_value()).expect("its own form");
        assert_eq!(back.unpack(256, 12), Some(statuses.clone()), "{level:?}");
    }
    let bad = ChunkRecord::Symbols(TaskSymbols {
        block_terms: vec![(1, 2)],
        tasks: "+1".into(),
    });
    assert_eq!(bad.unpack(0, 2), None);
}

#[test]
fn the_largest_chunk_record_fits_into_a_value() {
    for kb in [2.0, 16.0, 32.0] {
        let max_bytes = (kb * 1024.0) as usize;
        let worst = |term: u64| TaskStatus::Assigned {
            block: u32::MAX,
            term: (1 << 53) - term,
        };
        for level in [FormatLevel::FIRST, FormatLevel::PIPELINES] {
            let count = max_chunk_tasks(level, kb) as usize;
            let pairs = max_block_terms(level, max_bytes, count).min(count);
            let statuses: Vec<_> = (0..count).map(|i| worst((i % pairs) as u64)).collect();
            let first = 100_000 - count as u32;
            let record = ChunkRecord::pack(level, first, &statuses).expect("it fits");
            let size = json_len(&record.to_value());
            assert!(size <= max_bytes, "{level:?} {kb}: {size}");
        }
    }
}

#[test]
fn packed_ids_round_trip() {
    let long = "j-00000000000000000000000000000000000007";
    let mut ids: Vec<_> = ["j-7", "j-07", "j-000007", "j-999999999999999999", long]
        .map(id)
        .to_vec();
    ids.extend((0..3000u32).map(|i| id(&format!("j-{:06}", i * 331 % 999_983))));
    ids.sort();
    ids.dedup();
    let text = pack_ids(&ids);
    assert_eq!(unpack_ids(&text), Some(ids));
    assert!(text.len() < 3000 * 4, "{}", text.len());
    for bad in ["", "6", "6:", "6:!", "x:1", "1:z"] {
        assert_eq!(unpack_ids(bad), None, "{bad}");
    }
}

fn hex(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn spec() -> JobSpec {
    JobSpec {
        id: id("j-000412"),
        class: "scan".into(),
        team: "red".into(),
        shape: Shape::Array,
        priority: Priority::High,
        tasks: 3,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.5,
        image: "img-07".into(),
        image_gb: 1.5,
        types: Some(vec!["small".into(), "large".into()]),
        zone: None,
        one_zone: false,
        spread: true,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 10.0,
        save_s: 2.0,
        deadline_s: Some(75.0),
        awaits: Vec::new(),
    }
}

fn job(phase: Phase, spec: Option<JobSpec>) -> JobRecord {
    JobRecord {
        phase,
        tasks: 3,
        accepted_ms: 1_800_000_000_123,
        chunk_size: 256,
        spec,
        spec_overflow_count: 0,
        done_ms: None,
        service: false,
    }
}

fn machines() -> Vec<MachineListEntry> {
    let machine = |name: &str, kind: &str, spot, addr: &str| MachineListEntry {
        name: name.into(),
        kind: kind.into(),
        spot,
        addr: addr.into(),
    };
    vec![
        machine("vm-000001", "small", false, "10.1.0.1:9000"),
        machine("vm-000002", "large", true, "10.1.0.2:9000"),
    ]
}

/// Values written by the commit named `production` in `deploy/service.toml` can be
/// read and are written again byte for byte at their level.
#[test]
fn first_level_records_keep_their_stored_form() {
    fn check<T: PartialEq + std::fmt::Debug>(
        stored: &str,
        record: T,
        write: impl Fn(&T) -> Value,
        read: impl Fn(Value) -> Option<T>,
    ) {
        let bytes = hex(stored);
        let value: Value = rmp_serde::from_slice(&bytes).expect("MessagePack");
        assert_eq!(read(value.clone()).as_ref(), Some(&record));
        assert_eq!(write(&record), value);
    }
    let member = MemberRecord {
        node: "n-1".into(),
        incarnation: 7,
        zone: "east".into(),
    };
    check("93a36e2d3107a465617374", member, to_list, from_value);
    let block = BlockRecord {
        zone: "east".into(),
        holder: "n-1".into(),
        incarnation: 7,
    };
    check("93a465617374a36e2d3107", block, to_list, from_value);
    let list = |machines| MachineListRecord::new(FormatLevel::FIRST, "east".into(), machines);
    let lists = [
        (
            "92a4656173749294a9766d2d303030303031a5736d616c6cc2ad31302e312e302e313a3930303094\
                 a9766d2d303030303032a56c61726765c3ad31302e312e302e323a39303030",
            machines(),
        ),
        ("92a46561737490", Vec::new()),
    ];
    for (stored, machines) in lists {
        let to = MachineListRecord::to_value;
        check(stored, list(machines), to, MachineListRecord::from_value);
    }
    let service = JobSpec {
        types: None,
        zone: Some("west".into()),
        deadline_s: None,
        shape: Shape::Service,
        priority: Priority::Production,
        ..spec()
    };
    let jobs = [
        (
            "9592009003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649200\
                 9092019003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff800000000000092a5736d616c6ca56c61726765c0c2c3c3cb403e000000000000cb4024000000\
                 000000cb4000000000000000cb4052c00000000000",
            job(Phase::Open, Some(spec())),
        ),
        (
            "9592029003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649200\
                 9092019003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff800000000000092a5736d616c6ca56c61726765c0c2c3c3cb403e000000000000cb4024000000\
                 000000cb4000000000000000cb4052c00000000000",
            job(Phase::Cancelled, Some(spec())),
        ),
        ("9492019003cf000001a3185c507bcd0100", job(Phase::Done, None)),
        (
            "9592009003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649201\
                 9092009003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff8000000000000c0a477657374c2c3c3cb403e000000000000cb4024000000000000cb40000000\
                 00000000c0",
            job(Phase::Open, Some(service)),
        ),
    ];
    for (stored, job) in jobs {
        let to = |job: &JobRecord| job.to_value(FormatLevel::FIRST);
        check(stored, job, to, from_value);
    }
    let statuses = [
        TaskStatus::Done,
        TaskStatus::Assigned { block: 4, term: 41 },
        TaskStatus::Assigned { block: 5, term: 42 },
    ];
    let chunk = ChunkRecord::pack(FormatLevel::FIRST, 0, &statuses).expect("it fits");
    let stored = "9291920001929401020429940203052a";
    check(
        stored,
        chunk,
        ChunkRecord::to_value,
        ChunkRecord::from_value,
    );
}

#[test]
fn second_level_records_round_trip() {
    let second = FormatLevel::PIPELINES;
    let list = MachineListRecord::new(second, "east".into(), machines());
    let back = MachineListRecord::from_value(list.to_value()).map(MachineListRecord::into_parts);
    let (zone, mut back) = back.expect("its own form");
    back.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!((zone.as_str(), back), ("east", machines()));
    let many = JobRecord {
        done_ms: Some(1_800_000_000_456),
        service: true,
        ..job(
            Phase::Open,
            Some(JobSpec {
                awaits: vec![id("j-000007"), id("j-7")],
                ..spec()
            }),
        )
    };
    for record in [many, job(Phase::Done, None)] {
        let Value::Map(mut fields) = record.to_value(second) else {
            panic!("a map");
        };
        // Fields added by later levels are ignored.
        fields.push(("later".into(), Value::from(3)));
        assert_eq!(from_value(Value::Map(fields)), Some(record));
    }
}

/// A description that does not fit into one value is split over several records.
#[test]
fn long_descriptions_are_split_and_joined() {
    let limits = StateLimits {
        rps: 100.0,
        write_rps: 18.0,
        value_kb: 2.0,
        txn_ops: 6,
        next: None,
    };
    let awaits: Vec<_> = (0..2000)
        .map(|i| id(&format!("j-{:06}", i * 499)))
        .collect();
    let long = JobSpec {
        types: Some((0..30).map(|i| format!("a type with a name {i}")).collect()),
        awaits: awaits.clone(),
        ..spec()
    };
    let record = job(Phase::Open, Some(long.clone()));
    let split = record.split(&long.id, FormatLevel::PIPELINES, &limits);
    let records = split.expect("it fits");
    assert!(records.len() > 2);
    for (key, value) in &records {
        assert!(json_len(value) <= limits.value_bytes(), "{key:?}");
    }
    let mut values = records.into_iter().map(|(_, value)| value);
    let first: JobRecord = values.next().and_then(from_value).expect("a job");
    let overflow: Vec<SpecOverflowRecord> = values
        .map(|v| from_value(v).expect("an overflow record"))
        .collect();
    assert_eq!(first.spec_overflow_count as usize, overflow.len());
    let whole = JobRecord::join(first.spec.expect("a description"), &overflow);
    assert_eq!(whole, Some(long.clone()));

    let short = job(Phase::Cancelled, Some(long.clone())).trimmed(FormatLevel::PIPELINES, 2048);
    assert!(json_len(&short.to_value(FormatLevel::PIPELINES)) <= 2048);
    let too_many = JobSpec {
        awaits: (0..20_000)
            .map(|i| id(&format!("j-{:09}", i * 49_999)))
            .collect(),
        ..spec()
    };
    let split = |spec: JobSpec| {
        let id = spec.id.clone();
        job(Phase::Open, Some(spec)).split(&id, FormatLevel::PIPELINES, &limits)
    };
    assert_eq!(split(too_many), Err(JobTooLarge::Lists));
    let long_names = JobSpec {
        class: "\u{1}".repeat(200),
        image: "\u{1}".repeat(200),
        ..spec()
    };
    assert_eq!(split(long_names), Err(JobTooLarge::Names));
}

#[test]
fn keys_round_trip() {
    let id = id("j-000007");
    for key in [
        Key::Leader,
        Key::Member("grove-0".into()),
        Key::Block(3),
        Key::Machines(4, 0),
        Key::Machines(4, 2),
        Key::Job(id.clone()),
        Key::SpecOverflow(id.clone(), 1),
        Key::Chunk(id, 9),
        Key::Settings,
        Key::Format,
        Key::FormatLevel("grove-1".into()),
        Key::LoweredLimits,
        Key::Admission,
    ] {
        assert_eq!(Key::parse(&key.path()), Some(key));
    }
    for other in ["other/leader", "oliveshift/block/3/1", "oliveshift/later"] {
        assert_eq!(Key::parse(other), None, "{other}");
    }
}
