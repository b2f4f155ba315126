//! What several unit tests begin with.

use oliveshift_wire::job::{JobSpec, Priority, Shape};

/// A job of one small task that may run anywhere.
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
