//! The examples, and what their tools leave behind.

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

/// What the stand-in for the state service answers.
pub fn answer_store_call(state: &mut StateService, now: Duration, ask: &StoreCall) -> Reply {
    let request = api::store_request(ask);
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

/// An example that is shipped.
pub fn example(name: &str) -> Bundle {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl/");
    let mut files = BTreeMap::new();
    let read = |path: &str| std::fs::read_to_string(format!("{dir}{path}")).expect("shipped");
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
    let inputs = oliveshift_cwl::load::values("inputs", &inputs).expect("good");
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

/// What the tools of the examples leave behind.
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
