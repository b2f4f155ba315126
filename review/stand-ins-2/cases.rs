//! The cases. Each gives 1 if its rule was broken, 0 if it held, 2 if it could not run.

use std::time::Duration;

use crate::{
    mp::V,
    site::{CloudMode, Config, SharedSite, Site, ZONE, job},
};

const BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;

pub fn play(case: &str, trouble: bool) -> i32 {
    match case {
        "machine-back" => machine_back(trouble),
        "drained" => drained(trouble),
        "late-start" => late_start(trouble),
        "failing-step" => failing_step(trouble),
        "sweep" => sweep(trouble),
        _ => NOT_RUN,
    }
}

fn end(site: &SharedSite, code: i32, why: &str) -> i32 {
    site.end();
    site.note(&format!("verdict {code}: {why}"));
    println!("{code}: {why}");
    code
}

/// Waits until the controllers serve and all machines of the start have answered reports.
fn begin(config: Config) -> Option<SharedSite> {
    let site = Site::new(config);
    site.start_controllers();
    let all = site.config.controllers;
    let ready = site.wait(20.0, || {
        site.healthy().len() == all
            && site.leader().is_some()
            && site.workers().iter().all(|w| w.lock().unwrap().epoch > 0)
    });
    if !ready {
        end(&site, NOT_RUN, "the deployment did not come up");
        return None;
    }
    Some(site)
}

fn starts(site: &SharedSite, uid: &str) -> usize {
    let events = site.events.lock().unwrap();
    let prefix = format!("{uid}/");
    events
        .iter()
        .filter(|e| e.what == "start" && e.shard.starts_with(&prefix))
        .count()
}

/// A machine stops with all that is on it and is back within a fraction of a second.
fn machine_back(trouble: bool) -> i32 {
    let config = Config {
        machines: vec![ZONE, ZONE],
        report_s: 6.0,
        ..Config::default()
    };
    let Some(site) = begin(config) else {
        return NOT_RUN;
    };
    let uid = "j-000412";
    if !site.submit(&job(uid, "array", 1, 2.0, 4.0, 20.0), Some(20.0)) {
        return end(&site, NOT_RUN, "the job was not accepted");
    }
    if !site.wait(site.t() + 20.0, || !site.on_machines().is_empty()) {
        return end(&site, NOT_RUN, "the job did not start");
    }
    std::thread::sleep(Duration::from_secs(4));
    let back_at = site.t();
    if trouble {
        let host = site.on_machines()[0].1.clone();
        site.restart_machine(&host);
    }
    let mut done = false;
    while site.t() < back_at + 92.0 && !done {
        std::thread::sleep(Duration::from_secs(5));
        done = site.phase(uid) == "done";
    }
    if done {
        return end(&site, HELD, "the job is done");
    }
    let text = format!(
        "the accepted job was started {} times; {:.0} s after its machine was back it is on no machine ({:?})",
        starts(&site, uid),
        site.t() - back_at,
        site.on_machines()
    );
    end(&site, BROKEN, &text)
}

/// The leader ends while the cloud refuses to take an idle machine back.
fn drained(trouble: bool) -> i32 {
    let config = Config {
        capacity: 1,
        ..Config::default()
    };
    let Some(site) = begin(config) else {
        return NOT_RUN;
    };
    if trouble {
        site.sleep_until(6.0);
        site.set_cloud(CloudMode::Trouble);
        if !site.wait(30.0, || !site.refused_returns().is_empty()) {
            return end(&site, NOT_RUN, "no idle machine was to be returned");
        }
        std::thread::sleep(Duration::from_secs(1));
        let Some(leader) = site.leader() else {
            return end(&site, NOT_RUN, "no leader");
        };
        site.kill_controller(leader);
        let killed_at = site.t();
        if !site.wait(killed_at + 10.0, || {
            site.leader().is_some_and(|l| l != leader)
        }) {
            return end(&site, NOT_RUN, "no other controller leads");
        }
        site.set_cloud(CloudMode::Serve);
        site.sleep_until(killed_at + 5.0);
        site.start_controller(leader);
    } else {
        site.sleep_until(20.0);
    }
    let over_at = site.t();
    site.note("no trouble from now on");
    // Only the zone of the one machine is allowed.
    let uid = "j-000413";
    let mut spec = job(uid, "array", 1, 2.0, 4.0, 10.0);
    if let V::M(fields) = &mut spec {
        for (name, value) in fields {
            if name == "site" {
                *value = ZONE.into();
            }
        }
    }
    if !site.submit(&spec, Some(10.0)) {
        return end(&site, NOT_RUN, "the job was not accepted");
    }
    let submitted_at = site.t();
    let until = (submitted_at + 92.0).min(115.0);
    let started = site.wait(until, || starts(&site, uid) > 0);
    let phase = site.phase(uid);
    if started {
        return end(&site, HELD, "the job was started");
    }
    if site.t() - submitted_at < 90.0 {
        return end(&site, NOT_RUN, "no time was left to wait for 90 s");
    }
    let text = format!(
        "the accepted job ({phase}) has waited for {:.0} s, with no trouble for {:.0} s, beside {:?}, which is up, empty and fits",
        site.t() - submitted_at,
        site.t() - over_at,
        site.rented()
    );
    end(&site, BROKEN, &text)
}

const BOUNDARY: &str = "part-of-a-submission";

/// A submission of a document with one file.
fn submission(document: &str, inputs: &str) -> (String, String) {
    let mut body = String::new();
    for (name, text) in [
        ("workflow_type", "CWL"),
        ("workflow_type_version", "v1.2"),
        ("workflow_url", "main.cwl"),
        ("workflow_params", inputs),
    ] {
        body += &format!(
            "--{BOUNDARY}\r\ncontent-disposition: form-data; name=\"{name}\"\r\n\r\n{text}\r\n"
        );
    }
    body += &format!(
        "--{BOUNDARY}\r\ncontent-disposition: form-data; name=\"workflow_attachment\"; filename=\"main.cwl\"\r\n\r\n{document}\r\n--{BOUNDARY}--\r\n"
    );
    (format!("multipart/form-data; boundary={BOUNDARY}"), body)
}

/// Submits a document until an instance takes it: the run.
fn start_run(site: &SharedSite, instance: usize, document: &str, inputs: &str) -> Option<String> {
    let (kind, body) = submission(document, inputs);
    for _ in 0..10 {
        let got = site.wes(instance, "POST", "/runs", &kind, &body);
        if let Some((200, text)) = got {
            return text
                .split('"')
                .find(|t| t.starts_with("run-"))
                .map(str::to_owned);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    None
}

/// The state of a run, as an instance tells it.
fn run_state(site: &SharedSite, instance: usize, run: &str) -> Option<String> {
    let (status, text) = site.wes(instance, "GET", &format!("/runs/{run}/status"), "", "")?;
    let state = text
        .split("\"state\":\"")
        .nth(1)?
        .split('"')
        .next()?
        .to_owned();
    (status == 200).then_some(state)
}

fn is_final(state: &str) -> bool {
    matches!(
        state,
        "COMPLETE" | "EXECUTOR_ERROR" | "SYSTEM_ERROR" | "CANCELED"
    )
}

const ONE_STEP: &str = r#"cwlVersion: v1.2
class: CommandLineTool
baseCommand: scan
requirements:
  ResourceRequirement:
    coresMin: 1
    ramMin: 1024
inputs: []
outputs: []
"#;

/// Makes all workflow tasks run for `run_s`, and leave a result.
fn agent(site: &SharedSite, run_s: f64, result: impl Fn(&str) -> String + Send + 'static) {
    let objects = site.objects();
    *site.results.lock().unwrap() = Some(Box::new(move |shard| {
        let (uid, index) = shard.split_once('/')?;
        let path = objects
            .join("results")
            .join(uid)
            .join(format!("{index}.json"));
        Some((path, result(uid)))
    }));
    *site.default_run_s.lock().unwrap() = Some(run_s);
}

const THREE_STEPS: &str = r#"cwlVersion: v1.2
class: Workflow
requirements:
  InlineJavascriptRequirement: {}
inputs: []
outputs: []
steps:
  split:
    in: []
    out: [sheets]
    run:
      class: CommandLineTool
      baseCommand: split
      inputs: []
      outputs:
        sheets:
          type: string
          outputBinding:
            glob: sheets.json
            loadContents: true
            outputEval: $(self[0].contents)
  check:
    in:
      sheets: split/sheets
    out: [checked]
    run:
      class: CommandLineTool
      requirements:
        InlineJavascriptRequirement: {}
      baseCommand: check
      inputs:
        sheets: string
      outputs:
        checked:
          type: string
          outputBinding:
            glob: checked.json
            loadContents: true
            outputEval: |
              ${
                var text = self[0].contents;
                if (text.indexOf("\"bad\"") >= 0) throw new Error("not a good record: " + text);
                return "good";
              }
  publish:
    in:
      checked: check/checked
    out: []
    run:
      class: CommandLineTool
      baseCommand: publish
      inputs:
        checked: string
      outputs: []
"#;

/// The middle step of a workflow fails, with a long reason.
fn failing_step(trouble: bool) -> i32 {
    let Some(site) = begin(Config::default()) else {
        return NOT_RUN;
    };
    agent(&site, 2.0, move |_| {
        let word = if trouble { "bad" } else { "fine" };
        let record = format!("[\\\"{word}\\\",\\\"{}\\\"]", "x".repeat(40_000));
        format!(
            "{{\"code\":0,\"left\":[[\"sheets.json\",false,9,\"store://a/sheets.json\"],[\"checked.json\",false,40000,\"store://a/checked.json\"]],\"texts\":{{\"sheets.json\":\"s\",\"checked.json\":\"{record}\"}}}}"
        )
    });
    site.start_instance("wf-0");
    std::thread::sleep(Duration::from_secs(5));
    let Some(run) = start_run(&site, 0, THREE_STEPS, "{}") else {
        return end(&site, NOT_RUN, "no run was accepted");
    };
    let mut last = String::new();
    let over = site.wait(112.0, || {
        std::thread::sleep(Duration::from_secs(3));
        last = run_state(&site, 0, &run).unwrap_or_else(|| last.clone());
        is_final(&last)
    });
    if over {
        return end(&site, HELD, &format!("the run ended as {last}"));
    }
    let open = site.on_machines();
    end(
        &site,
        BROKEN,
        &format!(
            "the run is still called {last:?}, with {open:?} on machines; it gets no final answer"
        ),
    )
}

const SWEEP: &str = r#"cwlVersion: v1.2
class: Workflow
requirements:
  ScatterFeatureRequirement: {}
  InlineJavascriptRequirement: {}
  StepInputExpressionRequirement: {}
inputs:
  traces: string[]
outputs: []
steps:
  filter:
    scatter: trace
    in:
      trace: traces
      all: traces
      reference: traces
      place:
        valueFrom: $(inputs.all.indexOf(inputs.trace))
      count:
        valueFrom: $(inputs.all.length)
    out: []
    run:
      class: CommandLineTool
      requirements:
        ResourceRequirement:
          coresMin: 1
          ramMin: 1024
      baseCommand: filter
      inputs:
        trace: string
        place: int
        count: int
      outputs: []
"#;

/// A sweep of 5,000 members beside a run of one task.
fn sweep(trouble: bool) -> i32 {
    let Some(site) = begin(Config::default()) else {
        return NOT_RUN;
    };
    agent(&site, 15.0, |_| {
        r#"{"code":0,"left":[],"texts":{}}"#.to_owned()
    });
    site.start_instance("wf-0");
    site.start_instance("wf-1");
    std::thread::sleep(Duration::from_secs(8));
    let Some(small) = start_run(&site, 0, ONE_STEP, "{}") else {
        return end(&site, NOT_RUN, "the small run was not accepted");
    };
    if !site.wait(site.t() + 20.0, || !site.on_machines().is_empty()) {
        return end(&site, NOT_RUN, "the small run did not start");
    }
    let members = if trouble { 5000 } else { 50 };
    let traces: Vec<String> = (0..members)
        .map(|i| format!("\"store://archive/2019/BMKG/JAGI/BHZ/2019.{i:05}.BMKG.JAGI.00.BHZ.D.mseed#bandpass-0.10-2.00-Hz\""))
        .collect();
    let inputs = format!("{{\"traces\":[{}]}}", traces.join(","));
    let Some(large) = start_run(&site, 0, SWEEP, &inputs) else {
        return end(&site, NOT_RUN, "the sweep was not accepted");
    };
    let accepted_at = site.t();
    // The range of a run is the first number of its name.
    let range = large.split('-').nth(1).unwrap_or_default().to_owned();
    let (mut of_small, mut of_large) = (String::new(), String::new());
    let (mut asked, mut answered, mut at) = (0, 0, 0);
    let (mut claim, mut claims) = (0, 0);
    let handed_in = || site.jobs.lock().unwrap().len() > 1;
    site.wait(accepted_at + 75.0, || {
        std::thread::sleep(Duration::from_secs(1));
        let now = site.state.stamp(&format!("wf/g/{range}"));
        if now != claim {
            site.note(&format!(
                "range {range}, to which the sweep belongs: {}",
                site.state
                    .get(&format!("wf/g/{range}"))
                    .unwrap_or(V::Nil)
                    .str()
            ));
            (claim, claims) = (now, claims + 1);
        }
        at += 1;
        for (run, state) in [(&small, &mut of_small), (&large, &mut of_large)] {
            if is_final(state) {
                continue;
            }
            asked += 1;
            if let Some(got) = run_state(&site, at % 2, run) {
                answered += 1;
                *state = got;
            }
        }
        handed_in() || is_final(&of_large)
    });
    let text = format!(
        "{:.0} s after the sweep of {members} was accepted it is {of_large:?}, with {} jobs handed in; it was claimed {claims} times; \
         the run of one task is {of_small:?}; {answered} of {asked} questions were answered",
        site.t() - accepted_at,
        site.jobs.lock().unwrap().len() - 1
    );
    end(
        &site,
        if handed_in() || is_final(&of_large) {
            HELD
        } else {
            BROKEN
        },
        &text,
    )
}

/// A machine does not hear for some seconds, in which a job is handed in and called off.
fn late_start(trouble: bool) -> i32 {
    let Some(site) = begin(Config::default()) else {
        return NOT_RUN;
    };
    // An earlier job of the same image, so that the machine has it.
    let (before, uid) = ("j-000416", "j-000417");
    if !site.submit(&job(before, "array", 1, 2.0, 4.0, 2.0), Some(2.0))
        || !site.wait(site.t() + 20.0, || {
            std::thread::sleep(Duration::from_millis(400));
            site.phase(before) == "done"
        })
    {
        return end(&site, NOT_RUN, "the first job was not done");
    }
    let forgotten = || {
        site.workers()
            .iter()
            .all(|w| w.lock().unwrap().tasks.is_empty())
    };
    if !site.wait(site.t() + 10.0, forgotten) {
        return end(&site, NOT_RUN, "the first job was not forgotten");
    }
    // Right after a report, so that the next one comes after the cancellation.
    let ticks = || {
        site.workers()
            .iter()
            .map(|w| w.lock().unwrap().tick)
            .sum::<u64>()
    };
    let before = ticks();
    site.wait(site.t() + 10.0, || ticks() > before);
    std::thread::sleep(Duration::from_millis(100));
    if trouble {
        site.deafen(2.0);
    }
    if !site.submit(&job(uid, "array", 1, 2.0, 4.0, 60.0), Some(60.0)) {
        return end(&site, NOT_RUN, "the job was not accepted");
    }
    std::thread::sleep(Duration::from_millis(700));
    let path = format!("/work/{uid}/abort");
    let Some((_, said)) = site.user("POST", &path, &[], 5.0, |s| s == 200) else {
        return end(&site, NOT_RUN, "the cancellation was not answered");
    };
    if said.get("phase").str() != "cancelled" {
        return end(&site, NOT_RUN, "the job was not cancelled");
    }
    let (told_at, by_then) = (site.t(), starts(&site, uid));
    site.sleep_until(told_at + 30.0);
    let later = starts(&site, uid) - by_then;
    let text = format!("{later} starts of the job after its user was told that it is cancelled");
    end(&site, if later > 0 { BROKEN } else { HELD }, &text)
}
