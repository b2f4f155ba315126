//! Measures the workflow service: documents planned a second, memory of open
//! runs, writes and requests of a crowd of runs. The figures of docs/cwl.md.
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

use support::{answer_store_call, example, task_result};

const S: Duration = Duration::from_secs(1);

/// Resident memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn show(what: &str, micros: &Histogram<u64>) {
    println!(
        "{what}: mean {:.0} us, p50 {}, p99 {}, max {} us, {} times",
        micros.mean(),
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
        micros.max(),
        micros.len()
    );
}

fn planning() {
    for name in ["sheet-to-portal", "waveform-to-catalog"] {
        let bundle = example(name);
        let mut micros = Histogram::<u64>::new(3).expect("a histogram");
        for _ in 0..300 {
            let begun = Instant::now();
            let process = load::load(&bundle, &bundle.main).expect("good");
            plan(&process, &bundle.inputs).expect("good");
            micros
                .record(begun.elapsed().as_micros() as u64)
                .expect("in range");
        }
        show(&format!("{name} read and planned"), &micros);
    }
}

fn memory(count: u64) {
    let bundle = example("waveform-to-catalog");
    let record = RunRecord {
        state: RunState::Running,
        begun_s: 0,
        ended_s: None,
        pieces: 1,
        outputs: 0,
        failure: None,
    };
    let process = load::load(&bundle, &bundle.main).expect("good");
    let before = resident();
    let runs: Vec<ActiveRun> = (0..count)
        .map(|number| {
            let id = RunId { range: 0, number };
            let whole = StoredRun::new(record.clone(), bundle.clone());
            let run = ActiveRun::new(id, &process, whole, 8192, number);
            let mut run = run.expect("good");
            run.next_actions(Duration::ZERO, 0, 4, true);
            run
        })
        .collect();
    let each = resident().saturating_sub(before) as f64 / count as f64;
    println!("{} open runs: {each:.1} KiB each", runs.len());
}

/// A crowd of runs, handed in as fast as they are taken.
fn crowd(count: usize) {
    let settings = Settings {
        name: "wf-0".into(),
        ranges: 8,
        lease: S * 10,
        calls_per_s: 100.0,
        store_per_s: 100.0,
        writes_per_s: 200.0,
        max_runs: count,
        value_bytes: 8192,
        txn_ops: 20,
        retention: S * 100_000,
    };
    let mut service = Service::new(settings, 1);
    let mut state = StateService::new(StateLimits {
        txn_ops: 32,
        value_bytes: 32 * 1024,
        write_rps: 1e6,
    });
    let bundle = example("waveform-to-catalog");
    let mut jobs: BTreeMap<JobId, (String, u32, Duration)> = BTreeMap::new();
    let mut micros = Histogram::<u64>::new(3).expect("a histogram");
    let (mut begun, mut asked, mut writes, mut submits, mut polls) = (0, 0, 0, 0, 0);
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    let mut now = Duration::ZERO;
    let mut most = 0;
    let wall = Instant::now();
    while (begun < count || service.open_runs() > 0) && now < S * 7200 {
        now += Duration::from_millis(100);
        let mut inputs = vec![Input::Tick];
        if asked < count && asked < begun + 4 {
            inputs.push(Input::UserRequest(
                asked as u64,
                UserRequest::Submit(Box::new(bundle.clone())),
            ));
            asked += 1;
        }
        while let Some(input) = inputs.pop() {
            let at = Instant::now();
            let outputs = service.handle(now, now.as_secs(), input);
            micros
                .record(at.elapsed().as_micros() as u64)
                .expect("in range");
            for output in outputs {
                *calls.entry(now.as_secs()).or_default() += usize::from(matches!(
                    output,
                    Output::Submit(..) | Output::Poll(..) | Output::Abort(..)
                ));
                match output {
                    Output::Store(call, ask) => {
                        if let StoreCall::Txn(txn) = &ask {
                            writes += txn.changes.len();
                        }
                        let reply = answer_store_call(&mut state, now, &ask);
                        let reply = api::store_reply(&ask, reply);
                        inputs.push(Input::Store(call, reply));
                    }
                    Output::Submit(call, spec) => {
                        submits += 1;
                        let job = (spec.class.clone(), spec.tasks, now + S * 15);
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
                    Output::Answer(_, Answer::Started(_)) => begun += 1,
                    Output::Answer(_, Answer::RetryAfter(_)) => asked -= 1,
                    Output::Answer(_, answer) => panic!("{answer:?}"),
                }
            }
        }
        most = most.max(service.open_runs());
    }
    let busiest = calls.values().max().copied().unwrap_or(0);
    println!(
        "{begun} runs handed in at once, all over after {:.0} s of simulated time ({:.1} s in fact): \
         at most {most} open, {:.1} changes, {:.1} submissions and {:.1} questions a run; \
         at most {busiest} requests to the users' API in a second, of 100 allowed",
        now.as_secs_f64(),
        wall.elapsed().as_secs_f64(),
        writes as f64 / begun as f64,
        submits as f64 / begun as f64,
        polls as f64 / begun as f64,
    );
    show("an input handled", &micros);
}

fn main() {
    let count = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(2000);
    planning();
    memory(count as u64);
    crowd(count);
}
