//! Case 1: a partner hands in one run while the state service is out; it is run twice.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use review_harness::{
    Record, note,
    processes::Process,
    site::{Setup, Site},
    trouble, wait_for, workflows,
};

/// The outage in the site file atlas-herbaria-rabat-fleet: 25 s.
const OUTAGE: Duration = Duration::from_secs(25);

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
    let (_instance, listen) = workflows::start(&site, program, "wf-0");
    if !workflows::wait_until_up(listen) {
        note!(record, "the workflow service does not come up");
        return ExitCode::from(2);
    }
    // The instance claims its ranges within a few seconds.
    std::thread::sleep(Duration::from_secs(8));
    let document = folder.join("alert.cwl");
    std::fs::write(&document, workflows::DOCUMENT).expect("written");
    let inputs = folder.join("event.json");
    std::fs::write(&inputs, "{\"event\": \"m6.1-cianjur\"}").expect("written");
    let outage_ends = record.now() + OUTAGE;
    if trouble() {
        site.set_outage(true);
        std::thread::sleep(Duration::from_secs(1));
    }
    // The partner's command, once.
    let (document, inputs) = (document.display().to_string(), inputs.display().to_string());
    let at = listen.to_string();
    let args = [
        "cwl",
        "run",
        &format!("{document}#main"),
        &inputs,
        "--at",
        &at,
    ];
    let mut client = Process::new(program, &args, &folder.join("client.log"));
    note!(
        record,
        "partner: oliveshift cwl run alert.cwl#main event.json --at {at}"
    );
    client.start();
    if trouble() {
        std::thread::sleep(outage_ends.saturating_sub(record.now()));
        site.set_outage(false);
    }
    let mut code = None;
    let limit = Duration::from_secs(60).saturating_sub(record.now().saturating_sub(outage_ends));
    let start = record.now();
    while code.is_none() && record.now() < start + limit {
        code = client.exit_code();
        std::thread::sleep(Duration::from_millis(50));
    }
    let log = std::fs::read_to_string(folder.join("client.log")).unwrap_or_default();
    for line in log.lines() {
        note!(record, "partner's command: {line}");
    }
    note!(record, "partner's command ended with {code:?}");
    // Time for whatever else runs to end.
    wait_for(Duration::from_secs(10), || site.starts().len() >= 4);
    let runs = workflows::ask(&site, listen, "GET", "/runs");
    let starts = site.starts();
    let issued: Vec<_> = starts
        .iter()
        .filter(|(_, _, class, _)| class == "issue-alert")
        .collect();
    let computed = starts
        .iter()
        .filter(|(_, _, class, _)| class == "compute-alert")
        .count();
    note!(record, "runs: {runs:?}");
    note!(
        record,
        "tasks that ran: compute-alert {computed}, issue-alert {}",
        issued.len()
    );
    for violation in site.violations() {
        note!(record, "broken rule of the protocol page: {violation}");
    }
    let runs = runs.and_then(|(_, list)| Some(list.get("runs")?.as_array()?.len()));
    match (code, runs) {
        (Some(0), Some(1)) if issued.len() == 1 && computed == 1 => ExitCode::SUCCESS,
        (Some(0), Some(runs)) if runs > 1 && issued.len() > 1 => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
