//! Compares pipelines submitted as native jobs with the same pipelines submitted as CWL runs, on
//! the real controllers in simulated time.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use oliveshift_testkit::{
    ApiClient, ApiOperation, ApiRequest, Fault, Outcome, Size, StateLimits, StateService, World,
    draw,
};
use oliveshift_wire::{
    JobId, decode,
    job::{JobPhase, JobSpec, JobStatus, Priority, Shape},
};
use oliveshift_workflow::{
    active::JobReply,
    api::{self, Reply},
    records::{Bundle, RunId, RunState},
    service::{Answer, Input, Output, Service, Settings, UserRequest},
};

mod support;

use support::{
    examples::{example, task_result},
    store::answer_store_call,
};

const S: Duration = Duration::from_secs(1);
/// Times at which pipelines are submitted, in seconds.
const SUBMIT_TIMES_S: [u64; 5] = [20, 35, 50, 80, 95];

/// Jobs and results of the pipelines, as their submitter sees them.
#[derive(Debug, Default)]
struct Observations {
    /// Pipeline and class of each job.
    job_classes: BTreeMap<JobId, (usize, String)>,
    /// Result of each pipeline.
    results: BTreeMap<usize, String>,
}

/// Client that submits each pipeline as four native jobs that await each other.
struct NativeClient {
    jobs: Vec<(usize, JobSpec, JobPhase, bool, Duration)>,
    tokens: BTreeMap<u64, usize>,
    next: u64,
    observed: Rc<RefCell<Observations>>,
}

fn native_spec(pipeline: usize, step: usize) -> JobSpec {
    let id = |step: usize| -> JobId {
        let digits = 1_000_000 + 10 * pipeline + step;
        format!("j-{digits}").parse().expect("an id")
    };
    let (class, tasks, cpus, memory_gb, image, image_gb, estimate_s, priority) = [
        (
            "trace-repair",
            3,
            1.0,
            1600.0,
            "waves/repair",
            0.8,
            15.0,
            Priority::Low,
        ),
        (
            "noise-survey",
            3,
            2.0,
            3200.0,
            "waves/noise",
            1.1,
            25.0,
            Priority::Low,
        ),
        (
            "phase-picking",
            3,
            2.0,
            3200.0,
            "waves/picker",
            1.6,
            20.0,
            Priority::Normal,
        ),
        (
            "catalog-merge",
            1,
            1.0,
            1600.0,
            "waves/catalog",
            0.7,
            8.0,
            Priority::High,
        ),
    ][step];
    let awaits = match step {
        0 => vec![],
        1 => vec![id(0)],
        2 => vec![id(1), id(0)],
        _ => vec![id(2)],
    };
    JobSpec {
        id: id(step),
        class: class.into(),
        team: "red".into(),
        shape: Shape::Array,
        priority,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: memory_gb / 1024.0,
        image: image.into(),
        image_gb,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: (step == 3).then_some(150.0),
        awaits,
    }
}

impl NativeClient {
    fn new(observed: Rc<RefCell<Observations>>) -> Self {
        let jobs = SUBMIT_TIMES_S
            .iter()
            .enumerate()
            .flat_map(|(pipeline, at)| {
                let at = S * u32::try_from(*at).expect("seconds");
                (0..4).map(move |step| {
                    let spec = native_spec(pipeline, step);
                    (pipeline, spec, JobPhase::Pending, false, at)
                })
            });
        let jobs: Vec<_> = jobs.collect();
        for (pipeline, spec, ..) in &jobs {
            let entry = (*pipeline, spec.class.clone());
            observed
                .borrow_mut()
                .job_classes
                .insert(spec.id.clone(), entry);
        }
        Self {
            jobs,
            tokens: BTreeMap::new(),
            next: 0,
            observed,
        }
    }
}

impl ApiClient for NativeClient {
    fn step(&mut self, now: Duration) -> Vec<ApiRequest> {
        let mut requests = Vec::new();
        let accepted: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|j| j.3)
            .map(|j| j.1.id.clone())
            .collect();
        for (i, (_, spec, phase, is_accepted, at)) in self.jobs.iter_mut().enumerate() {
            let open = !api::is_final_phase(*phase);
            let ready = spec.awaits.iter().all(|id| accepted.contains(id));
            if now < *at || !open || !ready {
                continue;
            }
            *at = now + S * 5;
            self.next += 1;
            self.tokens.insert(self.next, i);
            let what = match is_accepted {
                true => ApiOperation::Poll(spec.id.clone()),
                false => ApiOperation::Submit(Box::new(spec.clone())),
            };
            requests.push(ApiRequest {
                token: self.next,
                what,
            });
        }
        requests
    }

    fn answered(&mut self, now: Duration, token: u64, answer: Option<(u16, Vec<u8>)>) {
        let Some(i) = self.tokens.remove(&token) else {
            return;
        };
        let (pipeline, _, phase, is_accepted, at) = &mut self.jobs[i];
        match answer {
            Some((200 | 201, body)) => {
                let status: JobStatus = decode(&body).expect("a status");
                *phase = status.phase;
                *is_accepted = true;
                if i % 4 == 3 && api::is_final_phase(*phase) {
                    let result = match phase {
                        JobPhase::Done => "complete",
                        _ => "cancelled",
                    };
                    self.observed
                        .borrow_mut()
                        .results
                        .insert(*pipeline, result.into());
                }
            }
            _ => *at = now + S,
        }
    }
}

/// Client that submits pipelines as CWL runs to an instance of the workflow service.
struct CwlClient {
    /// Bundles with the times at which they are submitted.
    bundles: Vec<(Duration, Bundle)>,
    service: Service,
    state: StateService,
    /// Inputs to the service that arrive later, such as replies of the simulated state service.
    pending_inputs: Vec<(Duration, Input)>,
    tokens: BTreeMap<u64, ()>,
    submitted: usize,
    runs: BTreeMap<RunId, usize>,
    specs: BTreeMap<JobId, JobSpec>,
    observed: Rc<RefCell<Observations>>,
}

impl CwlClient {
    fn new(bundles: Vec<(Duration, Bundle)>, observed: Rc<RefCell<Observations>>) -> Self {
        let settings = Settings {
            name: "wf-0".into(),
            ranges: 2,
            lease: S * 10,
            calls_per_s: 40.0,
            store_per_s: 60.0,
            writes_per_s: 30.0,
            max_runs: 100,
            value_bytes: 8 * 1024,
            txn_ops: 10,
            retention: S * 100_000,
        };
        let limits = StateLimits {
            txn_ops: 20,
            value_bytes: 16 * 1024,
            write_rps: 60.0,
        };
        Self {
            bundles,
            service: Service::new(settings, 9),
            state: StateService::new(limits),
            pending_inputs: Vec::new(),
            tokens: BTreeMap::new(),
            submitted: 0,
            runs: BTreeMap::new(),
            specs: BTreeMap::new(),
            observed,
        }
    }

    fn handle(&mut self, now: Duration, input: Input, requests: &mut Vec<ApiRequest>) {
        let day = 1_800_000_000 + now.as_secs();
        for output in self.service.handle(now, day, input) {
            let reply_at = now + Duration::from_millis(8);
            match output {
                Output::Store(call, request) => {
                    let reply = answer_store_call(&mut self.state, now, &request);
                    let reply = api::store_reply(&request, reply);
                    self.pending_inputs
                        .push((reply_at, Input::Store(call, reply)));
                }
                Output::Submit(call, spec) => {
                    // Runs are numbered in the order in which they were submitted.
                    let known = self
                        .specs
                        .values()
                        .filter(|s| s.class == spec.class)
                        .count();
                    if !self.specs.contains_key(&spec.id) {
                        let entry = (known, spec.class.clone());
                        self.observed
                            .borrow_mut()
                            .job_classes
                            .insert(spec.id.clone(), entry);
                    }
                    self.specs.insert(spec.id.clone(), (*spec).clone());
                    self.push_request(call, ApiOperation::Submit(spec), requests);
                }
                Output::Poll(call, id) => self.push_request(call, ApiOperation::Poll(id), requests),
                Output::Abort(call, id) => {
                    self.push_request(call, ApiOperation::Abort(id), requests)
                }
                Output::Results(call, id, _) => {
                    let spec = &self.specs[&id];
                    let results = (0..spec.tasks).map(|i| task_result(&spec.class, &id, i, 0));
                    let input = Input::Results(call, Some(results.collect()));
                    self.pending_inputs.push((reply_at, input));
                }
                Output::Text(call, _) => {
                    self.pending_inputs
                        .push((reply_at, Input::Text(call, None)));
                }
                Output::Answer(request_id, Answer::Started(id)) => {
                    self.runs.insert(id, request_id as usize);
                }
                Output::Answer(request_id, Answer::Status(record)) => {
                    if record.state.is_final() {
                        let result = match record.state {
                            RunState::Complete => "complete".to_owned(),
                            state => format!("{state:?}: {:?}", record.failure),
                        };
                        let run = request_id as usize % 1000;
                        self.observed.borrow_mut().results.insert(run, result);
                    }
                }
                Output::Answer(_, answer) => panic!("{answer:?}"),
            }
        }
    }

    fn push_request(&mut self, token: u64, what: ApiOperation, requests: &mut Vec<ApiRequest>) {
        self.tokens.insert(token, ());
        requests.push(ApiRequest { token, what });
    }
}

impl ApiClient for CwlClient {
    fn step(&mut self, now: Duration) -> Vec<ApiRequest> {
        let mut requests = Vec::new();
        self.state.expire_leases(now);
        let (due, later) = std::mem::take(&mut self.pending_inputs)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_inputs = later;
        for (_, input) in Vec::from_iter::<Vec<(Duration, Input)>>(due) {
            self.handle(now, input, &mut requests);
        }
        self.handle(now, Input::Tick, &mut requests);
        if let Some((at, bundle)) = self.bundles.get(self.submitted)
            && now >= *at
        {
            let request = UserRequest::Submit(Box::new(bundle.clone().into()));
            self.handle(
                now,
                Input::UserRequest(self.submitted as u64, request),
                &mut requests,
            );
            self.submitted += 1;
        }
        let runs: Vec<(RunId, usize)> = self.runs.iter().map(|(id, n)| (*id, *n)).collect();
        for (id, run) in runs {
            if !self.observed.borrow().results.contains_key(&run) {
                let request_id = 1000 + run as u64;
                self.handle(
                    now,
                    Input::UserRequest(request_id, UserRequest::Status(id)),
                    &mut requests,
                );
            }
        }
        requests
    }

    fn answered(&mut self, now: Duration, token: u64, answer: Option<(u16, Vec<u8>)>) {
        if self.tokens.remove(&token).is_none() {
            return;
        }
        let reply = match answer {
            Some((status, body)) => api::job_reply(Reply::Answer(status, body, None)),
            None => JobReply::RetryAfter(None),
        };
        self.pending_inputs.push((now, Input::Job(token, reply)));
    }
}

/// The pipelines as CWL bundles of the same team as the native jobs.
fn pipelines() -> Vec<(Duration, Bundle)> {
    let mut bundle = example("waveform-to-catalog");
    for text in bundle.files.values_mut() {
        *text = text.replace("network-ops", "red");
    }
    let times = SUBMIT_TIMES_S
        .iter()
        .map(|at| S * u32::try_from(*at).expect("seconds"));
    times.map(|at| (at, bundle.clone())).collect()
}

/// Simulates the cluster with the pipelines submitted natively or as CWL, among the other jobs of
/// `size`.
fn simulate(size: Size, seed: u64, as_cwl: bool, faults: Vec<Fault>) -> (Outcome, Observations) {
    let observed = Rc::new(RefCell::new(Observations::default()));
    let mut world = World::sized(size, seed, S * 90, faults, None);
    if size.jobs == 0 {
        world.use_fixed_delays();
    }
    match as_cwl {
        true => world.set_api_client(CwlClient::new(pipelines(), observed.clone())),
        false => world.set_api_client(NativeClient::new(observed.clone())),
    }
    let outcome = world.run(S * 500);
    let observed = std::mem::take(&mut *observed.borrow_mut());
    (outcome, observed)
}

/// Time of the first start of each job of the pipelines.
fn first_starts(outcome: &Outcome, observed: &Observations) -> BTreeMap<(usize, String), Duration> {
    let mut first_starts = BTreeMap::new();
    for (at, task) in &outcome.starts {
        if let Some(job) = observed.job_classes.get(&task.job) {
            first_starts.entry(job.clone()).or_insert(*at);
        }
    }
    first_starts
}

/// Only pipelines, which compete with each other for machines with fixed boot times. With other
/// jobs two simulations differ even if both are native, because delays are drawn anew for each
/// request.
const PIPELINES_ONLY: Size = Size {
    jobs: 0,
    ..Size::SMALL
};

#[test]
fn native_and_cwl_jobs_start_in_the_same_order() {
    let (mut compared, mut max_difference) = (0, Duration::ZERO);
    for seed in 1..7 {
        let (native, native_observed) = simulate(PIPELINES_ONLY, seed, false, vec![]);
        let (cwl, cwl_observed) = simulate(PIPELINES_ONLY, seed, true, vec![]);
        for outcome in [&native, &cwl] {
            assert_eq!(
                (&outcome.violations, &outcome.open),
                (&vec![], &vec![]),
                "seed {seed}"
            );
        }
        let complete = (0..SUBMIT_TIMES_S.len()).map(|i| (i, "complete".to_owned()));
        assert_eq!(native_observed.results, complete.collect(), "seed {seed}");
        assert_eq!(cwl_observed.results, native_observed.results, "seed {seed}");
        let (a, b) = (
            first_starts(&native, &native_observed),
            first_starts(&cwl, &cwl_observed),
        );
        assert_eq!(a.len(), 4 * SUBMIT_TIMES_S.len());
        assert!(a.keys().eq(b.keys()), "seed {seed}");
        for (job, at) in &a {
            max_difference = max_difference.max(at.abs_diff(b[job]));
            // The order of two starts must be the same, unless they are so close that network
            // delays decide it.
            for (other, other_at) in a.range(job..) {
                let close = |x: Duration, y: Duration| x.abs_diff(y) <= S;
                if close(*at, *other_at) || close(b[job], b[other]) {
                    continue;
                }
                compared += 1;
                let same = (at < other_at) == (b[job] < b[other]);
                assert!(same, "seed {seed}: {job:?} and {other:?}: {a:?} {b:?}");
            }
        }
    }
    assert!(compared > 1000, "{compared}");
    assert!(max_difference < S / 2, "{max_difference:?}");
}

/// Compares mean start times among other jobs and with too few machines.
#[test]
fn native_and_cwl_jobs_wait_equally_under_contention() {
    let mean = |as_cwl: bool| {
        let mut all = Vec::new();
        for seed in 200..224 {
            let (outcome, observed) = simulate(Size::SMALL, seed, as_cwl, vec![]);
            assert_eq!(observed.results.len(), SUBMIT_TIMES_S.len(), "seed {seed}");
            all.extend(first_starts(&outcome, &observed).into_values());
        }
        let sum: Duration = all.iter().sum();
        sum.div_f64(all.len() as f64)
    };
    let (native, cwl) = (mean(false), mean(true));
    assert!(
        native.abs_diff(cwl) < S * 3,
        "native {native:?}, CWL {cwl:?}"
    );
}

#[test]
fn native_and_cwl_pipelines_complete_despite_faults() {
    for seed in 40..48 {
        for as_cwl in [false, true] {
            let faults = draw(seed, 3, S * 150);
            let (outcome, observed) = simulate(Size::SMALL, seed, as_cwl, faults);
            let case = format!("seed {seed}, as CWL: {as_cwl}");
            assert_eq!(
                (&outcome.violations, &outcome.open),
                (&vec![], &vec![]),
                "{case}"
            );
            let complete = (0..SUBMIT_TIMES_S.len()).map(|i| (i, "complete".to_owned()));
            assert_eq!(observed.results, complete.collect(), "{case}");
        }
    }
}

/// A workflow with one step scattered over 5,000 files.
fn batch() -> Bundle {
    let text = "cwlVersion: v1.2
class: Workflow
$namespaces: {oliveshift: 'https://oliveshift.example/cwl#'}
requirements: {ScatterFeatureRequirement: {}}
hints: {oliveshift:Placement: {team: blue, urgency: low, estimate_s: 10, spot: true}}
inputs: {files: 'File[]'}
outputs: []
steps:
  rescan:
    run:
      class: CommandLineTool
      baseCommand: rescan
      inputs: {file: {type: File, inputBinding: {}}}
      outputs: []
    in: {file: files}
    scatter: file
    out: []
";
    let file = |i| serde_json::json!({"class": "File", "location": format!("store://{i}")});
    let files: Vec<_> = (0..5000).map(file).collect();
    Bundle {
        main: "batch.cwl".into(),
        files: [("batch.cwl".to_owned(), text.to_owned())].into(),
        inputs: serde_json::json!({ "files": files }),
        defaults: oliveshift_workflow::job::Defaults {
            team: "blue".into(),
            class: "batch".into(),
        },
    }
}

/// A batch of 5,000 tasks is submitted while services and urgent jobs run on 280 machines. It must
/// not delay urgent jobs. Two simulations diverge for many reasons, and a job that narrowly misses a
/// machine waits long, so a mean would depend on single jobs. Instead the test compares the number
/// of jobs that start much later with the number that start much earlier.
#[test]
fn a_large_batch_does_not_delay_urgent_jobs() {
    const LARGE_SHIFT_S: f64 = 5.0;
    let (mut late, mut early, mut jobs, mut batch_starts) = (0, 0, 0, 0);
    for seed in [70, 71] {
        let simulate = |bundles| {
            let observed = Rc::new(RefCell::new(Observations::default()));
            let mut world = World::sized(Size::LARGE, seed, S * 100, vec![], None);
            world.set_api_client(CwlClient::new(bundles, observed));
            let outcome = world.run(S * 200);
            assert_eq!(outcome.violations, vec![], "seed {seed}");
            outcome
        };
        let (without, with) = (simulate(vec![]), simulate(vec![(S * 15, batch())]));
        let first = |outcome: &Outcome| {
            let mut first: BTreeMap<JobId, Duration> = BTreeMap::new();
            for (at, task) in &outcome.starts {
                first.entry(task.job.clone()).or_insert(*at);
            }
            first
        };
        let (a, b) = (first(&without), first(&with));
        let batch = with
            .starts
            .iter()
            .filter(|s| with.jobs[&s.1.job].class == "batch");
        batch_starts += batch.count();
        for (id, at) in &a {
            let urgent = matches!(
                without.jobs[id].priority,
                Priority::Production | Priority::High
            );
            if urgent && let Some(then) = b.get(id) {
                let later = then.as_secs_f64() - at.as_secs_f64();
                late += usize::from(later > LARGE_SHIFT_S);
                early += usize::from(later < -LARGE_SHIFT_S);
                jobs += 1;
            }
        }
    }
    assert!(
        jobs > 50 && batch_starts > 500,
        "{jobs} urgent jobs, {batch_starts} starts of the batch"
    );
    assert!(
        late <= early + jobs / 8,
        "{late} jobs much later, {early} much earlier of {jobs}"
    );
}
