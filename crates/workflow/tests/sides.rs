//! One pipeline submitted both ways, natively and as CWL, to the real
//! controllers in simulated time.

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

use support::{answer_store_call, example, task_result};

const S: Duration = Duration::from_secs(1);
/// When pipelines are handed in.
const TIMES: [u64; 5] = [20, 35, 50, 80, 95];

/// What came of it, as whoever handed it in sees it.
#[derive(Debug, Default)]
struct Seen {
    /// The class of each job.
    classes: BTreeMap<JobId, (usize, String)>,
    /// How each pipeline ended.
    ends: BTreeMap<usize, String>,
}

/// Staff, who write four jobs that await each other.
struct Staff {
    jobs: Vec<(usize, JobSpec, JobPhase, bool, Duration)>,
    tokens: BTreeMap<u64, usize>,
    next: u64,
    seen: Rc<RefCell<Seen>>,
}

fn native(pipeline: usize, step: usize) -> JobSpec {
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

impl Staff {
    fn new(seen: Rc<RefCell<Seen>>) -> Self {
        let jobs = TIMES.iter().enumerate().flat_map(|(pipeline, at)| {
            let at = S * u32::try_from(*at).expect("seconds");
            (0..4).map(move |step| {
                let spec = native(pipeline, step);
                (pipeline, spec, JobPhase::Pending, false, at)
            })
        });
        let jobs: Vec<_> = jobs.collect();
        for (pipeline, spec, ..) in &jobs {
            let entry = (*pipeline, spec.class.clone());
            seen.borrow_mut().classes.insert(spec.id.clone(), entry);
        }
        Self {
            jobs,
            tokens: BTreeMap::new(),
            next: 0,
            seen,
        }
    }
}

impl ApiClient for Staff {
    fn step(&mut self, now: Duration) -> Vec<ApiRequest> {
        let mut asks = Vec::new();
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
            asks.push(ApiRequest {
                token: self.next,
                what,
            });
        }
        asks
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
                    let end = match phase {
                        JobPhase::Done => "complete",
                        _ => "cancelled",
                    };
                    self.seen.borrow_mut().ends.insert(*pipeline, end.into());
                }
            }
            _ => *at = now + S,
        }
    }
}

/// The partner, whose runs go through an instance of the workflow service.
struct Partner {
    /// What is handed in when.
    bundles: Vec<(Duration, Bundle)>,
    service: Service,
    state: StateService,
    /// Answers of the stand-in store, on their way.
    waiting: Vec<(Duration, Input)>,
    tokens: BTreeMap<u64, ()>,
    handed_in: usize,
    runs: BTreeMap<RunId, usize>,
    specs: BTreeMap<JobId, JobSpec>,
    seen: Rc<RefCell<Seen>>,
}

impl Partner {
    fn new(bundles: Vec<(Duration, Bundle)>, seen: Rc<RefCell<Seen>>) -> Self {
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
            waiting: Vec::new(),
            tokens: BTreeMap::new(),
            handed_in: 0,
            runs: BTreeMap::new(),
            specs: BTreeMap::new(),
            seen,
        }
    }

    fn handle(&mut self, now: Duration, input: Input, asks: &mut Vec<ApiRequest>) {
        let day = 1_800_000_000 + now.as_secs();
        for output in self.service.handle(now, day, input) {
            let soon = now + Duration::from_millis(8);
            match output {
                Output::Store(call, ask) => {
                    let reply = answer_store_call(&mut self.state, now, &ask);
                    let reply = api::store_reply(&ask, reply);
                    self.waiting.push((soon, Input::Store(call, reply)));
                }
                Output::Submit(call, spec) => {
                    // The runs' order is that in which they were handed in.
                    let known = self
                        .specs
                        .values()
                        .filter(|s| s.class == spec.class)
                        .count();
                    if !self.specs.contains_key(&spec.id) {
                        let entry = (known, spec.class.clone());
                        self.seen
                            .borrow_mut()
                            .classes
                            .insert(spec.id.clone(), entry);
                    }
                    self.specs.insert(spec.id.clone(), (*spec).clone());
                    self.ask(call, ApiOperation::Submit(spec), asks);
                }
                Output::Poll(call, id) => self.ask(call, ApiOperation::Poll(id), asks),
                Output::Abort(call, id) => self.ask(call, ApiOperation::Abort(id), asks),
                Output::Results(call, id, _) => {
                    let spec = &self.specs[&id];
                    let results = (0..spec.tasks).map(|i| task_result(&spec.class, &id, i, 0));
                    let input = Input::Results(call, Some(results.collect()));
                    self.waiting.push((soon, input));
                }
                Output::Text(call, _) => {
                    self.waiting.push((soon, Input::Text(call, None)));
                }
                Output::Answer(asker, Answer::Started(id)) => {
                    self.runs.insert(id, asker as usize);
                }
                Output::Answer(asker, Answer::Status(record)) => {
                    if record.state.is_final() {
                        let end = match record.state {
                            RunState::Complete => "complete".to_owned(),
                            state => format!("{state:?}: {:?}", record.failure),
                        };
                        let run = asker as usize % 1000;
                        self.seen.borrow_mut().ends.insert(run, end);
                    }
                }
                Output::Answer(_, answer) => panic!("{answer:?}"),
            }
        }
    }

    fn ask(&mut self, token: u64, what: ApiOperation, asks: &mut Vec<ApiRequest>) {
        self.tokens.insert(token, ());
        asks.push(ApiRequest { token, what });
    }
}

impl ApiClient for Partner {
    fn step(&mut self, now: Duration) -> Vec<ApiRequest> {
        let mut asks = Vec::new();
        self.state.expire_leases(now);
        let (due, later) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.waiting = later;
        for (_, input) in Vec::from_iter::<Vec<(Duration, Input)>>(due) {
            self.handle(now, input, &mut asks);
        }
        self.handle(now, Input::Tick, &mut asks);
        if let Some((at, bundle)) = self.bundles.get(self.handed_in)
            && now >= *at
        {
            let ask = UserRequest::Submit(Box::new(bundle.clone()));
            self.handle(
                now,
                Input::UserRequest(self.handed_in as u64, ask),
                &mut asks,
            );
            self.handed_in += 1;
        }
        let runs: Vec<(RunId, usize)> = self.runs.iter().map(|(id, n)| (*id, *n)).collect();
        for (id, run) in runs {
            if !self.seen.borrow().ends.contains_key(&run) {
                let asker = 1000 + run as u64;
                self.handle(
                    now,
                    Input::UserRequest(asker, UserRequest::Status(id)),
                    &mut asks,
                );
            }
        }
        asks
    }

    fn answered(&mut self, now: Duration, token: u64, answer: Option<(u16, Vec<u8>)>) {
        if self.tokens.remove(&token).is_none() {
            return;
        }
        let reply = match answer {
            Some((status, body)) => api::job_reply(Reply::Answer(status, body, None)),
            None => JobReply::RetryAfter(None),
        };
        self.waiting.push((now, Input::Job(token, reply)));
    }
}

/// The pipelines as the partner hands them in.
fn pipelines() -> Vec<(Duration, Bundle)> {
    let mut bundle = example("waveform-to-catalog");
    for text in bundle.files.values_mut() {
        *text = text.replace("network-ops", "red");
    }
    let times = TIMES
        .iter()
        .map(|at| S * u32::try_from(*at).expect("seconds"));
    times.map(|at| (at, bundle.clone())).collect()
}

/// Plays a day with the pipelines handed in one way or the other, among other
/// people's work.
fn play(size: Size, seed: u64, as_cwl: bool, faults: Vec<Fault>) -> (Outcome, Seen) {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let mut world = World::sized(size, seed, S * 90, faults, None);
    if size.jobs == 0 {
        world.use_fixed_delays();
    }
    match as_cwl {
        true => world.set_api_client(Partner::new(pipelines(), seen.clone())),
        false => world.set_api_client(Staff::new(seen.clone())),
    }
    let outcome = world.run(S * 500);
    let seen = std::mem::take(&mut *seen.borrow_mut());
    (outcome, seen)
}

/// When each job of the pipelines first started.
fn starts(outcome: &Outcome, seen: &Seen) -> BTreeMap<(usize, String), Duration> {
    let mut starts = BTreeMap::new();
    for (at, task) in &outcome.starts {
        if let Some(job) = seen.classes.get(&task.job) {
            starts.entry(job.clone()).or_insert(*at);
        }
    }
    starts
}

/// Pipelines only, which compete with each other for machines that all boot
/// alike. Otherwise no two plays are the same, native ones neither: what a
/// machine takes is drawn anew by each request that anybody makes.
const PIPELINES_ONLY: Size = Size {
    jobs: 0,
    ..Size::SMALL
};

#[test]
fn both_ways_are_treated_alike() {
    let (mut compared, mut apart) = (0, Duration::ZERO);
    for seed in 1..7 {
        let (staff, staff_seen) = play(PIPELINES_ONLY, seed, false, vec![]);
        let (partner, partner_seen) = play(PIPELINES_ONLY, seed, true, vec![]);
        for outcome in [&staff, &partner] {
            assert_eq!(
                (&outcome.violations, &outcome.open),
                (&vec![], &vec![]),
                "seed {seed}"
            );
        }
        let complete = (0..TIMES.len()).map(|i| (i, "complete".to_owned()));
        assert_eq!(staff_seen.ends, complete.collect(), "seed {seed}");
        assert_eq!(partner_seen.ends, staff_seen.ends, "seed {seed}");
        let (a, b) = (starts(&staff, &staff_seen), starts(&partner, &partner_seen));
        assert_eq!(a.len(), 4 * TIMES.len());
        assert!(a.keys().eq(b.keys()), "seed {seed}");
        for (job, at) in &a {
            apart = apart.max(at.abs_diff(b[job]));
            // Which of two comes first must be the same, but for those that
            // are so close that the network decides.
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
    assert!(apart < S / 2, "{apart:?}");
}

/// Among other people's work and with too few machines, on average.
#[test]
fn both_ways_wait_alike_among_others() {
    let mean = |as_cwl: bool| {
        let mut all = Vec::new();
        for seed in 200..224 {
            let (outcome, seen) = play(Size::SMALL, seed, as_cwl, vec![]);
            assert_eq!(seen.ends.len(), TIMES.len(), "seed {seed}");
            all.extend(starts(&outcome, &seen).into_values());
        }
        let sum: Duration = all.iter().sum();
        sum.div_f64(all.len() as f64)
    };
    let (staff, partner) = (mean(false), mean(true));
    assert!(staff.abs_diff(partner) < S * 3, "{staff:?} {partner:?}");
}

#[test]
fn both_ways_end_alike_whatever_fails() {
    for seed in 40..48 {
        for as_cwl in [false, true] {
            let faults = draw(seed, 3, S * 150);
            let (outcome, seen) = play(Size::SMALL, seed, as_cwl, faults);
            let what = format!("seed {seed}, as CWL: {as_cwl}");
            assert_eq!(
                (&outcome.violations, &outcome.open),
                (&vec![], &vec![]),
                "{what}"
            );
            let complete = (0..TIMES.len()).map(|i| (i, "complete".to_owned()));
            assert_eq!(seen.ends, complete.collect(), "{what}");
        }
    }
}

/// One step scattered over 5,000 files.
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

/// A batch of 5,000 members arrives among services and urgent work of 280
/// machines. Two plays part ways for all sorts of reasons, and a job that just
/// misses its place waits for long, so the mean hangs on single jobs: jobs are
/// counted that start much later, less those that start as much sooner.
#[test]
fn a_large_batch_displaces_nobody() {
    const MUCH: f64 = 5.0;
    let (mut late, mut early, mut jobs, mut batch_starts) = (0, 0, 0, 0);
    for seed in [70, 71] {
        let play = |bundles| {
            let seen = Rc::new(RefCell::new(Seen::default()));
            let mut world = World::sized(Size::LARGE, seed, S * 100, vec![], None);
            world.set_api_client(Partner::new(bundles, seen));
            let outcome = world.run(S * 200);
            assert_eq!(outcome.violations, vec![], "seed {seed}");
            outcome
        };
        let (without, with) = (play(vec![]), play(vec![(S * 15, batch())]));
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
                late += usize::from(later > MUCH);
                early += usize::from(later < -MUCH);
                jobs += 1;
            }
        }
    }
    assert!(jobs > 50 && batch_starts > 500, "{jobs} {batch_starts}");
    assert!(
        late <= early + jobs / 8,
        "{late} late, {early} early of {jobs}"
    );
}
