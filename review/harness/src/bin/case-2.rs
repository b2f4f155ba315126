//! Case 2: an instance that lost its runs to another one goes on answering about them.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use review_harness::{
    Record, note,
    processes::Process,
    site::{Link, Setup, Site},
    trouble, wait_for, workflows,
};

/// How long the state service refuses one client: the site files have up to 50 s for a controller
/// that is cut from the state service.
const REFUSED: Duration = Duration::from_secs(45);

fn main() -> ExitCode {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, record, folder] = args.as_slice() else {
        return ExitCode::from(2);
    };
    let record = Record::create(record);
    let site = Site::start(record.clone(), folder, Setup::default());
    let _controllers = site.controllers(program);
    if !site.wait_until_up() {
        note!(record, "the controllers do not come up");
        return ExitCode::from(2);
    }
    let (_first, first) = workflows::start(&site, program, "wf-0");
    let (_second, second) = workflows::start(&site, program, "wf-1");
    if !workflows::wait_until_up(first) || !workflows::wait_until_up(second) {
        note!(record, "the workflow service does not come up");
        return ExitCode::from(2);
    }
    // The instances share the ranges of runs within some seconds.
    std::thread::sleep(Duration::from_secs(8));
    let document = folder.join("alert.cwl");
    std::fs::write(&document, workflows::DOCUMENT).expect("written");
    let inputs = folder.join("event.json");
    std::fs::write(&inputs, "{\"event\": \"m6.1-cianjur\"}").expect("written");
    let (document, inputs) = (document.display().to_string(), inputs.display().to_string());
    let at = first.to_string();
    let args = [
        "cwl",
        "run",
        "--detach",
        &format!("{document}#main"),
        &inputs,
        "--at",
        &at,
    ];
    let log = folder.join("client.log");
    let mut client = Process::new(program, &args, &log);
    note!(
        record,
        "partner: oliveshift cwl run --detach alert.cwl#main event.json --at {at}"
    );
    client.start();
    let mut code = None;
    wait_for(Duration::from_secs(15), || log.exists());
    let start = record.now();
    while code.is_none() && record.now() < start + Duration::from_secs(15) {
        code = client.exit_code();
        std::thread::sleep(Duration::from_millis(20));
    }
    let run = std::fs::read_to_string(&log).unwrap_or_default();
    let run = run
        .lines()
        .find(|l| l.starts_with("run-"))
        .unwrap_or_default()
        .to_owned();
    note!(record, "partner's command ended with {code:?}: {run}");
    if code != Some(0) || run.is_empty() {
        return ExitCode::from(2);
    }
    let refused_until = record.now() + REFUSED;
    if trouble() {
        site.set_link("wf-0", Link::Refused);
    }
    let path = format!("/runs/{run}/status");
    let state = |addr| {
        let (status, body) = workflows::ask(&site, addr, "GET", &path)?;
        let state = body
            .get("state")
            .and_then(|s| s.as_str())
            .map(str::to_owned);
        Some((status, state.unwrap_or_default()))
    };
    let complete = Some((200, "COMPLETE".to_owned()));
    let mut told = false;
    while record.now() < refused_until && !told {
        std::thread::sleep(Duration::from_secs(1));
        told = state(second) == complete;
    }
    if !told {
        note!(record, "the run does not end");
        return ExitCode::from(2);
    }
    // From here on every answer 200 about the run has to be COMPLETE.
    let mut older = Vec::new();
    for _ in 0..5 {
        if trouble() && record.now() >= refused_until {
            break;
        }
        if let Some((200, state)) = state(first)
            && state != "COMPLETE"
        {
            older.push(state);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    if trouble() {
        site.set_link("wf-0", Link::Open);
    }
    std::thread::sleep(Duration::from_secs(5));
    let at_last = state(first);
    note!(
        record,
        "after COMPLETE the partner was told: {older:?}, at last {at_last:?}"
    );
    for violation in site.violations() {
        note!(record, "broken rule of the protocol page: {violation}");
    }
    match older.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
