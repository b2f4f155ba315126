//! The example workflows, the results of their tools, and a simulated state service.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_core::{Call, Method, Target};
use oliveshift_testkit::{StateResponse, StateService};
use oliveshift_wire::JobId;
use oliveshift_workflow::{
    api::{self, Reply},
    job::{Defaults, TaskResult},
    records::Bundle,
    service::StoreCall,
};

/// Answers a store call from the simulated state service. A call that it would
/// hold open is reported as lost.
pub fn answer_store_call(state: &mut StateService, now: Duration, store_call: &StoreCall) -> Reply {
    let request = api::store_request(store_call);
    let call = Call {
        id: 0,
        to: Target::State,
        method: match request.method {
            "GET" => Method::Get,
            _ => Method::Post,
        },
        path: request.path,
        body: request.body,
        timeout: Duration::from_secs(1),
    };
    match state.execute(now, &call) {
        StateResponse::Answer(status, body) => Reply::Answer(status, body, None),
        StateResponse::Wait { .. } => Reply::Lost,
    }
}

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
