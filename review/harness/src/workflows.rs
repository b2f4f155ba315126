//! Instances of the workflow service, and the partner's document.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use crate::{http, processes::Process, site::Site, wait_for};

/// A workflow of two steps with one task each: an alert is computed, then issued.
pub const DOCUMENT: &str = r##"cwlVersion: v1.2
$namespaces:
  oliveshift: https://oliveshift.example/cwl#
$graph:
  - id: main
    class: Workflow
    inputs:
      event: string
    outputs:
      bulletin:
        type: File
        outputSource: issue/bulletin
    steps:
      compute:
        run: "#compute-alert"
        in: {event: event}
        out: [alert]
      issue:
        run: "#issue-alert"
        in: {alert: compute/alert}
        out: [bulletin]
  - id: compute-alert
    class: CommandLineTool
    baseCommand: compute-alert
    requirements:
      ResourceRequirement: {coresMin: 1, ramMin: 1024}
    hints:
      oliveshift:Placement: {class_of_work: compute-alert, estimate_s: 2, image_gb: 0.5}
    inputs:
      event: {type: string, inputBinding: {position: 1}}
    stdout: out.txt
    outputs:
      alert: stdout
  - id: issue-alert
    class: CommandLineTool
    baseCommand: issue-alert
    requirements:
      ResourceRequirement: {coresMin: 1, ramMin: 1024}
    hints:
      oliveshift:Placement: {class_of_work: issue-alert, estimate_s: 2, image_gb: 0.5}
    inputs:
      alert: {type: File, inputBinding: {position: 1}}
    stdout: out.txt
    outputs:
      bulletin: stdout
"##;

/// Starts an instance with the settings of `deploy/workflows.toml`, on addresses of this site.
pub fn start(site: &Arc<Site>, program: &Path, name: &str) -> (Process, SocketAddr) {
    let state = site.state_for(name);
    let number: usize = name.trim_start_matches("wf-").parse().unwrap_or(0);
    let listen = site.spare[number];
    let text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nstate = \"{state}\"\nusers = [\"{}\"]\n\
         objects = \"{}\"\n[defaults]\nteam = \"transcription\"\nclass = \"cwl\"\n\
         [limits]\ncalls_per_s = 20.0\nstore_per_s = 20.0\nwrites_per_s = 10.0\nmost_runs = 2000\n\
         value_kb = 8.0\ntxn_ops = 10\nlease_s = 10.0\nranges = 32\nkeep_days = 30.0\n",
        site.balancer,
        site.objects.display()
    );
    let config = site.folder.join(format!("{name}.toml"));
    std::fs::write(&config, text).expect("written");
    let args = ["workflows", "--config", &config.display().to_string()];
    let mut process = Process::new(program, &args, &site.folder.join(format!("{name}.log")));
    process.start();
    (process, listen)
}

/// Waits until an instance answers and holds ranges of runs.
pub fn wait_until_up(addr: SocketAddr) -> bool {
    wait_for(Duration::from_secs(15), || {
        let path = "/ga4gh/wes/v1/service-info";
        let answer = http::call(addr, "GET", path, &[], Duration::from_secs(1));
        matches!(answer, Ok((200, ..)))
    })
}

/// Asks the Workflow Execution Service; the body of an answer is JSON.
pub fn ask(
    site: &Site,
    addr: SocketAddr,
    method: &str,
    path: &str,
) -> Option<(u16, serde_json::Value)> {
    let path = format!("/ga4gh/wes/v1{path}");
    let answer = http::call(addr, method, &path, &[], Duration::from_secs(10)).ok();
    let answer =
        answer.map(|(status, _, body)| (status, serde_json::from_slice(&body).unwrap_or_default()));
    crate::note!(
        site.record,
        "partner: {method} {path} at {addr}: {answer:?}"
    );
    answer
}
