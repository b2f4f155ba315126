//! The example workflows and the results of their tools.

use std::collections::BTreeMap;

use oliveshift_wire::JobId;
use oliveshift_workflow::{
    job::{Defaults, TaskResult},
    records::Bundle,
};

/// Reads one of the examples in deploy/examples/cwl, with its inputs.
pub fn example(name: &str) -> Bundle {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl/");
    let mut files = BTreeMap::new();
    let read = |path: &str| {
        std::fs::read_to_string(format!("{dir}{path}")).expect("a readable example file")
    };
    files.insert(format!("{name}.cwl"), read(&format!("{name}.cwl")));
    for tool in [
        "trace-repair",
        "noise-survey",
        "phase-picking",
        "catalog-merge",
    ] {
        let path = format!("tools/{tool}.cwl");
        files.insert(path.clone(), read(&path));
    }
    let inputs = read(&format!("{name}.inputs.yaml"));
    let inputs = oliveshift_cwl::load::values("inputs", &inputs).expect("valid example inputs");
    Bundle {
        main: format!("{name}.cwl"),
        files,
        inputs: inputs.to_value(),
        defaults: Defaults {
            team: "partners".into(),
            class: "cwl".into(),
        },
    }
}

/// The result of a task of the examples; without output files if `exit_code` is
/// not 0.
pub fn task_result(class: &str, job: &JobId, index: u32, exit_code: i64) -> TaskResult {
    let names = oliveshift_testkit::tools::output_files(class);
    let files = names.iter().map(|name| {
        let location = format!("store://{job}/{index}/{name}");
        ((*name).to_owned(), false, 10, location)
    });
    TaskResult {
        exit_code,
        files: if exit_code == 0 {
            files.collect()
        } else {
            Vec::new()
        },
        texts: [("matched.txt".to_owned(), "3\n".to_owned())].into(),
    }
}
