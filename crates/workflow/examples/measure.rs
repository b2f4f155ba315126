//! Measures the workflow service: time to load and plan a document, memory of open
//! runs, and writes and requests of many runs submitted at once. Prints the
//! figures of docs/cwl.md.
//!
//!     cargo run --release -p oliveshift-workflow --example measure -- 2000

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use oliveshift_cwl::load;
use oliveshift_testkit::{StateLimits, StateService};
use oliveshift_wire::{JobId, job::JobPhase};
use oliveshift_workflow::{
    active::{ActiveRun, JobReply},
    api,
    plan::plan,
    records::{RunId, RunRecord, RunState, StoredRun},
    service::{Answer, Input, Output, Service, Settings, StoreCall, UserRequest},
};

#[path = "../tests/support/mod.rs"]
mod support;

use support::{
    examples::{example, task_result},
    store::answer_store_call,
};

const SECOND: Duration = Duration::from_secs(1);

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn print_latencies(what: &str, latencies_us: &Histogram<u64>) {
    println!(
        "{what}: mean {:.0} us, p50 {}, p99 {}, max {} us, {} samples",
        latencies_us.mean(),
        latencies_us.value_at_quantile(0.5),
        latencies_us.value_at_quantile(0.99),
        latencies_us.max(),
        latencies_us.len()
    );
}

fn measure_planning() {
    for name in ["sheet-to-portal", "waveform-to-catalog"] {
        let bundle = example(name);
        let mut latencies_us = Histogram::<u64>::new(3).expect("a histogram");
        for _ in 0..300 {
            let start = Instant::now();
            let process = load::load(&bundle, &bundle.main).expect("a valid example");
            plan(&process, &bundle.inputs).expect("a valid example");
            latencies_us
                .record(start.elapsed().as_micros() as u64)
                .expect("a latency within the range");
        }
        print_latencies(&format!("{name} loaded and planned"), &latencies_us);
    }
}

fn measure_memory(count: u64) {
    let bundle = example("waveform-to-catalog");
    let record = RunRecord {
        state: RunState::Running,
        begun_s: 0,
        ended_s: None,
        pieces: 1,
        outputs: 0,
        failure: None,
        job_pieces: None,
        idempotency_key: None,
    };
    let process = load::load(&bundle, &bundle.main).expect("a valid example");
    let before = resident_kib();
    let runs: Vec<ActiveRun> = (0..count)
        .map(|number| {
            let id = RunId { range: 0, number };
            let stored = StoredRun::new(record.clone(), bundle.clone());
            let run = ActiveRun::new(id, &process, stored, 8192, number);
            let mut run = run.expect("a run that can start");
            run.next_actions(Duration::ZERO, 0, 4, true);
            run
        })
        .collect();
    let each = resident_kib().saturating_sub(before) as f64 / count as f64;
    println!("{} open runs: {each:.1} KiB per run", runs.len());
}

/// Submits many runs as fast as the service accepts them and simulates them to
/// their end.
fn measure_many_runs(count: usize) {
    let settings = Settings {
        name: "wf-0".into(),
        ranges: 8,
        lease: SECOND * 10,
        calls_per_s: 100.0,
        store_per_s: 100.0,
        writes_per_s: 200.0,
        max_runs: count,
        value_bytes: 8192,
        txn_ops: 20,
        retention: SECOND * 100_000,
    };
    let mut service = Service::new(settings, 1);
    let mut state = StateService::new(StateLimits {
        txn_ops: 32,
        value_bytes: 32 * 1024,
        write_rps: 1e6,
    });
    let bundle = example("waveform-to-catalog");
    let mut jobs: BTreeMap<JobId, (String, u32, Duration)> = BTreeMap::new();
    let mut latencies_us = Histogram::<u64>::new(3).expect("a histogram");
    let (mut started, mut submitted, mut writes, mut submissions, mut polls) = (0, 0, 0, 0, 0);
    let mut calls_by_second: BTreeMap<u64, usize> = BTreeMap::new();
    let mut now = Duration::ZERO;
    let mut max_open = 0;
    let wall_start = Instant::now();
    while (started < count || service.open_runs() > 0) && now < SECOND * 7200 {
        now += Duration::from_millis(100);
        let mut inputs = vec![Input::Tick];
        if submitted < count && submitted < started + 4 {
            inputs.push(Input::UserRequest(
                submitted as u64,
                UserRequest::Submit(Box::new(bundle.clone().into())),
            ));
            submitted += 1;
        }
        while let Some(input) = inputs.pop() {
            let start = Instant::now();
            let outputs = service.handle(now, now.as_secs(), input);
            latencies_us
                .record(start.elapsed().as_micros() as u64)
                .expect("a latency within the range");
            for output in outputs {
                *calls_by_second.entry(now.as_secs()).or_default() += usize::from(matches!(
                    output,
                    Output::Submit(..) | Output::Poll(..) | Output::Abort(..)
                ));
                match output {
                    Output::Store(call, store_call) => {
                        if let StoreCall::Txn(txn) = &store_call {
                            writes += txn.changes.len();
                        }
                        let reply = answer_store_call(&mut state, now, &store_call);
                        let reply = api::store_reply(&store_call, reply);
                        inputs.push(Input::Store(call, reply));
                    }
                    Output::Submit(call, spec) => {
                        submissions += 1;
                        let job = (spec.class.clone(), spec.tasks, now + SECOND * 15);
                        jobs.insert(spec.id.clone(), job);
                        inputs.push(Input::Job(call, JobReply::Created));
                    }
                    Output::Poll(call, id) => {
                        polls += 1;
                        let phase = match now >= jobs[&id].2 {
                            true => JobPhase::Done,
                            false => JobPhase::Running,
                        };
                        inputs.push(Input::Job(call, JobReply::Known(phase)));
                    }
                    Output::Abort(call, _) => {
                        inputs.push(Input::Job(call, JobReply::Known(JobPhase::Cancelled)));
                    }
                    Output::Results(call, id, tasks) => {
                        let class = &jobs[&id].0;
                        let results = (0..tasks).map(|i| task_result(class, &id, i, 0)).collect();
                        inputs.push(Input::Results(call, Some(results)));
                    }
                    Output::Text(call, _) => inputs.push(Input::Text(call, None)),
                    Output::Answer(_, Answer::Started(_)) => started += 1,
                    Output::Answer(_, Answer::RetryAfter(_)) => submitted -= 1,
                    Output::Answer(_, answer) => panic!("{answer:?}"),
                }
            }
        }
        max_open = max_open.max(service.open_runs());
    }
    let busiest = calls_by_second.values().max().copied().unwrap_or(0);
    println!(
        "{started} runs submitted at once, all ended after {:.0} s of simulated time ({:.1} s of real time): \
         at most {max_open} open, {:.1} changes, {:.1} submissions and {:.1} polls a run; \
         at most {busiest} requests to the users' API in a second, of 100 allowed",
        now.as_secs_f64(),
        wall_start.elapsed().as_secs_f64(),
        writes as f64 / started as f64,
        submissions as f64 / started as f64,
        polls as f64 / started as f64,
    );
    print_latencies("handling of one input", &latencies_us);
}

fn main() {
    let count = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(2000);
    measure_planning();
    measure_memory(count as u64);
    measure_many_runs(count);
}
