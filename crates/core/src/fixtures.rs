//! Fixtures shared by several unit tests.

use oliveshift_wire::{
    job::{JobSpec, Priority, Shape},
    settings::Settings,
    state::Event,
};
use rmpv::Value;

use crate::{
    controller::Controller,
    records::{BlockRecord, FormatLevel, Key, MachineListEntry, MachineListRecord},
};

/// Controller n-0 of one zone, before it has read any record. `members` lists the other
/// controllers in the format of the settings.
pub(crate) fn controller(members: &str) -> Controller {
    let settings = format!(
        r#"{{"member":"n-0","site":"a","bind":"10.0.0.1:80",
        "internal_addr":"10.0.0.1:81","members":{members},
        "outside":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
        "deployment":{{"zones":["a"],"teams":[],
        "workers":{{"report_s":2,"lease_s":12,"cancel_s":30}},
        "state":{{"rps":100,"write_rps":50,"value_kb":16,"txn_ops":20}},
        "cloud":{{"rps":6,"list_lag_s":3}},"limits":{{"max_sockets":100}}}}}}"#
    );
    Controller::new(Settings::parse(&settings).expect("settings"), 1)
}

/// The record of a block that this controller holds.
pub(crate) fn block_record(controller: &Controller) -> BlockRecord {
    BlockRecord {
        zone: "a".into(),
        holder: "n-0".into(),
        incarnation: controller.incarnation,
    }
}

/// The record of a block with the single machine vm-1.
pub(crate) fn machine_list() -> MachineListRecord {
    let machine = MachineListEntry {
        name: "vm-1".into(),
        kind: "small".into(),
        spot: false,
        addr: "10.1.0.1:9000".into(),
    };
    MachineListRecord::new(FormatLevel::FIRST, "a".into(), vec![machine])
}

/// Applies records, each with its version, to the view of a controller.
pub(crate) fn apply_records<const N: usize>(
    controller: &mut Controller,
    records: [(Key, Value, u64); N],
) {
    for (key, value, version) in records {
        let key = key.path();
        let put = Event::Put {
            key,
            value,
            version,
        };
        let key = controller.view.apply(put).expect("a change of the view");
        controller.record_changed(&key);
    }
}

/// A job with one small task that may run anywhere.
pub(crate) fn job_spec() -> JobSpec {
    JobSpec {
        id: "j-1".parse().expect("an id"),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}
