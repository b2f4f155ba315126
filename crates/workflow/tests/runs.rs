//! Runs against stand-ins, in simulated time: instances crash, answers are
//! lost, the state service fails, steps fail, people cancel.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use oliveshift_testkit::{StateLimits, StateService};
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobSpec, JobStatus},
    state::Item,
};
use oliveshift_workflow::{
    active::{JobReply, Sabotage},
    api::{self, Reply},
    records::{JobRecord, RunId, RunRecord, RunState, parse_record, run_id_of_key},
    service::{Answer, Input, Output, Service, Settings, StoreCall, UserRequest},
};

mod support;

use support::{answer_store_call, example, task_result};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

/// A job as a stand-in for the whole service keeps it: tasks run one by one
/// for a drawn time once all that it awaits is done.
struct Job {
    spec: JobSpec,
    phase: JobPhase,
    starts: Option<Duration>,
    ends: Duration,
    /// Whether its tasks did work: not if what they await failed.
    worked: bool,
    code: i64,
}

/// What goes wrong on a day.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    crashes: bool,
    lost: f64,
    outages: bool,
    fail: f64,
    cancel: f64,
    strangers: f64,
    lower: bool,
}

struct Instance {
    service: Option<Service>,
    life: u64,
    back_at: Duration,
}

enum Event {
    Input(usize, u64, Input),
    Arrive(usize, u64, u64, StoreCall),
    Job(usize, u64, u64, JobAsk),
}

#[derive(Clone)]
enum JobAsk {
    Submit(Box<JobSpec>),
    Poll(JobId),
    Abort(JobId),
    Results(JobId),
}

struct World {
    now: Duration,
    rng: fastrand::Rng,
    trouble: Trouble,
    state: StateService,
    jobs: BTreeMap<JobId, Job>,
    instances: Vec<Instance>,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    asks: VecDeque<(Duration, UserRequest)>,
    begun: Vec<RunId>,
    /// What was seen of each run's end.
    finals: BTreeMap<RunId, RunRecord>,
    failing: BTreeMap<RunId, Duration>,
    /// Submissions and questions, by second.
    polls: BTreeMap<u64, usize>,
    /// Requests to the state service, by second.
    stores: BTreeMap<u64, usize>,
    writes: usize,
    turned_away: usize,
    broken: Vec<String>,
    sabotage: Option<Sabotage>,
    keep: Duration,
}

impl World {
    fn new(seed: u64, trouble: Trouble, instances: usize, sabotage: Option<Sabotage>) -> Self {
        let limits = StateLimits {
            txn_ops: 20,
            value_bytes: 16 * 1024,
            write_rps: 60.0,
        };
        let down = || Instance {
            service: None,
            life: 0,
            back_at: Duration::ZERO,
        };
        Self {
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            trouble,
            state: StateService::new(limits),
            jobs: BTreeMap::new(),
            instances: (0..instances).map(|_| down()).collect(),
            queue: BTreeMap::new(),
            seq: 0,
            asks: VecDeque::new(),
            begun: Vec::new(),
            finals: BTreeMap::new(),
            failing: BTreeMap::new(),
            polls: BTreeMap::new(),
            stores: BTreeMap::new(),
            writes: 0,
            turned_away: 0,
            broken: Vec::new(),
            sabotage,
            keep: S * 100_000,
        }
    }

    fn settings(n: usize) -> Settings {
        Settings {
            name: format!("wf-{n}"),
            ranges: 8,
            lease: S * 6,
            calls_per_s: 40.0,
            store_per_s: 60.0,
            writes_per_s: 30.0,
            max_runs: 300,
            value_bytes: 2 * 1024,
            txn_ops: 6,
            retention: S * 100_000,
        }
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn latency(&mut self) -> Duration {
        MS * self.rng.u32(1..30)
    }

    fn outage(&self) -> bool {
        let s = self.now.as_secs();
        self.trouble.outages && ((40..52).contains(&s) || (90..93).contains(&s))
    }

    /// Plays until all is over, or `end`.
    fn run(mut self, end: Duration) -> Self {
        let mut next_step = Duration::ZERO;
        while self.now < end {
            let next = self.queue.keys().next().map(|k| k.0);
            match next {
                Some(at) if at <= next_step => {
                    if let Some(((at, _), event)) = self.queue.pop_first() {
                        self.now = at;
                        self.event(event);
                    }
                }
                _ => {
                    self.now = next_step;
                    next_step += MS * 100;
                    self.step();
                    let over = self.finals.len() == self.begun.len();
                    if over && self.asks.is_empty() && !self.begun.is_empty() && self.idle() {
                        break;
                    }
                }
            }
        }
        self
    }

    fn idle(&self) -> bool {
        let open = |j: &Job| !matches!(j.phase, JobPhase::Done | JobPhase::Cancelled);
        !self.jobs.values().any(open)
    }

    fn step(&mut self) {
        if !self.outage() {
            self.state.expire_leases(self.now);
        }
        if self.trouble.lower && self.now == S * 30 {
            self.state.set_limits(StateLimits {
                txn_ops: 6,
                value_bytes: 2 * 1024,
                write_rps: 20.0,
            });
        }
        for n in 0..self.instances.len() {
            let instance = &mut self.instances[n];
            if instance.service.is_none() && self.now >= instance.back_at {
                let seed = self.rng.u64(..);
                let settings = Settings {
                    retention: self.keep,
                    ..Self::settings(n)
                };
                let mut service = Service::new(settings, seed);
                service.sabotage = self.sabotage;
                instance.service = Some(service);
                instance.life += 1;
            } else if self.trouble.crashes && self.now < S * 200 && self.rng.f64() < 0.004 {
                instance.service = None;
                instance.life += 1;
                let away = S * self.rng.u32(1..12);
                self.instances[n].back_at = self.now + away;
            }
            let life = self.instances[n].life;
            self.at(Duration::ZERO, Event::Input(n, life, Input::Tick));
        }
        self.ask();
        self.jobs_pass();
        self.watch();
    }

    fn ask(&mut self) {
        let due = |asks: &VecDeque<(Duration, UserRequest)>, now| {
            asks.iter().position(|(at, _)| *at <= now)
        };
        while let Some(i) = due(&self.asks, self.now)
            && let Some((_, ask)) = self.asks.remove(i)
        {
            let n = self.rng.usize(0..self.instances.len());
            let life = self.instances[n].life;
            if self.instances[n].service.is_none() {
                self.asks.push_back((self.now + S, ask));
                continue;
            }
            self.seq += 1;
            let input = Input::UserRequest(self.seq, ask);
            self.at(Duration::ZERO, Event::Input(n, life, input));
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Input(n, life, input) => {
                let instance = &mut self.instances[n];
                if instance.life != life {
                    return;
                }
                let Some(service) = &mut instance.service else {
                    return;
                };
                let day = 1_800_000_000 + self.now.as_secs();
                for output in service.handle(self.now, day, input) {
                    self.output(n, life, output);
                }
            }
            Event::Arrive(n, life, call, ask) => self.store(n, life, call, &ask),
            Event::Job(n, life, call, ask) => self.job(n, life, call, ask),
        }
    }

    fn output(&mut self, n: usize, life: u64, output: Output) {
        let mut latency = self.latency();
        // Some arrive much later, when everybody has given up on them.
        if self.rng.f64() < self.trouble.lost / 2.0 {
            latency += S * self.rng.u32(1..40);
        }
        let second = self.now.as_secs();
        match output {
            Output::Store(call, ask) => {
                *self.stores.entry(second).or_default() += 1;
                self.at(
                    S * 2,
                    Event::Input(
                        n,
                        life,
                        Input::Store(call, api::store_reply(&ask, Reply::Lost)),
                    ),
                );
                self.at(latency, Event::Arrive(n, life, call, ask));
            }
            Output::Submit(call, spec) => {
                *self.polls.entry(second).or_default() += 1;
                self.ask_job(n, life, call, latency, JobAsk::Submit(spec))
            }
            Output::Poll(call, id) => {
                *self.polls.entry(second).or_default() += 1;
                self.ask_job(n, life, call, latency, JobAsk::Poll(id));
            }
            Output::Abort(call, id) => self.ask_job(n, life, call, latency, JobAsk::Abort(id)),
            Output::Results(call, id, _) => {
                self.at(latency, Event::Job(n, life, call, JobAsk::Results(id)))
            }
            Output::Text(call, _) => {
                self.at(
                    latency,
                    Event::Input(n, life, Input::Text(call, Some("3\n".into()))),
                );
            }
            Output::Answer(_, Answer::Started(id)) => {
                self.begun.push(id);
                if self.rng.f64() < self.trouble.cancel {
                    let at = self.now + S * self.rng.u32(0..40);
                    self.asks.push_back((at, UserRequest::Cancel(id)));
                }
            }
            Output::Answer(_, Answer::Invalid(why)) => self.broken.push(why),
            Output::Answer(_, Answer::RetryAfter(_)) => self.turned_away += 1,
            Output::Answer(..) => {}
        }
    }

    fn ask_job(&mut self, n: usize, life: u64, call: u64, latency: Duration, ask: JobAsk) {
        let late = Input::Job(call, JobReply::RetryAfter(None));
        self.at(S * 5, Event::Input(n, life, late));
        self.at(latency, Event::Job(n, life, call, ask));
    }

    fn store(&mut self, n: usize, life: u64, call: u64, ask: &StoreCall) {
        let reply = if self.outage() {
            Reply::Answer(503, Vec::new(), None)
        } else {
            if let StoreCall::Txn(txn) = ask {
                self.writes += txn.changes.len();
            }
            answer_store_call(&mut self.state, self.now, ask)
        };
        if self.rng.f64() < self.trouble.lost {
            return;
        }
        let reply = api::store_reply(ask, reply);
        let latency = self.latency();
        self.at(latency, Event::Input(n, life, Input::Store(call, reply)));
    }

    fn job(&mut self, n: usize, life: u64, call: u64, ask: JobAsk) {
        let status = |id: &JobId, phase| {
            encode(&JobStatus {
                id: id.clone(),
                phase,
                done: None,
                running: None,
            })
        };
        let reply = match ask {
            JobAsk::Results(id) => {
                let results = self.jobs.get(&id).filter(|j| j.phase == JobPhase::Done);
                let results = results.map(|job| {
                    let tasks = 0..job.spec.tasks;
                    let code = |i| if i == job.spec.tasks - 1 { job.code } else { 0 };
                    tasks
                        .map(|i| task_result(&job.spec.class, &id, i, code(i)))
                        .collect()
                });
                let latency = self.latency();
                return self.at(
                    latency,
                    Event::Input(n, life, Input::Results(call, results)),
                );
            }
            JobAsk::Submit(spec) => {
                let spec = *spec;
                let id = spec.id.clone();
                let bytes = encode(&spec);
                assert!(JobSpec::parse(&bytes).is_ok(), "{spec:?}");
                match self.jobs.get(&id) {
                    Some(job) => Reply::Answer(200, status(&id, job.phase), None),
                    None if self.rng.f64() < self.trouble.strangers => {
                        // Somebody else has used this id already.
                        let job = Job {
                            spec: JobSpec {
                                class: "foreign".into(),
                                ..spec
                            },
                            phase: JobPhase::Running,
                            starts: None,
                            ends: self.now + S * 20,
                            worked: false,
                            code: 0,
                        };
                        self.jobs.insert(id.clone(), job);
                        Reply::Answer(200, status(&id, JobPhase::Running), None)
                    }
                    None => {
                        for other in &spec.awaits {
                            if !self.jobs.contains_key(other) {
                                self.broken
                                    .push(format!("{id} awaits {other}, which is not known"));
                            }
                        }
                        let code = if self.rng.f64() < self.trouble.fail {
                            3
                        } else {
                            0
                        };
                        let job = Job {
                            spec,
                            phase: JobPhase::Pending,
                            starts: None,
                            ends: Duration::ZERO,
                            worked: false,
                            code,
                        };
                        self.jobs.insert(id.clone(), job);
                        Reply::Answer(201, status(&id, JobPhase::Pending), None)
                    }
                }
            }
            JobAsk::Poll(id) => match self.jobs.get(&id) {
                Some(job) => Reply::Answer(200, status(&id, job.phase), None),
                None => Reply::Answer(404, Vec::new(), None),
            },
            JobAsk::Abort(id) => match self.jobs.get_mut(&id) {
                Some(job) => {
                    if job.phase != JobPhase::Done {
                        job.phase = JobPhase::Cancelled;
                    }
                    Reply::Answer(200, status(&id, job.phase), None)
                }
                None => Reply::Answer(404, Vec::new(), None),
            },
        };
        if self.rng.f64() < self.trouble.lost {
            return;
        }
        let latency = self.latency();
        let input = Input::Job(call, api::job_reply(reply));
        self.at(latency, Event::Input(n, life, input));
    }

    /// Jobs go on.
    fn jobs_pass(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            if job.phase == JobPhase::Running && self.now >= job.ends {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.phase = JobPhase::Done;
                }
                continue;
            }
            if job.phase != JobPhase::Pending {
                continue;
            }
            let awaited: Vec<_> = job
                .spec
                .awaits
                .iter()
                .filter_map(|a| self.jobs.get(a))
                .collect();
            if awaited.iter().any(|j| j.phase == JobPhase::Cancelled) {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.phase = JobPhase::Cancelled;
                }
                continue;
            }
            if !awaited.iter().all(|j| j.phase == JobPhase::Done) {
                continue;
            }
            // Its agent looks at what came before, and does nothing on a failure.
            let good = awaited.iter().all(|j| j.code == 0 && j.worked);
            let takes = if good {
                S * self.rng.u32(1..8)
            } else {
                Duration::ZERO
            };
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.phase = JobPhase::Running;
                job.starts = Some(now);
                job.ends = now + takes;
                job.worked = good;
                if !good {
                    job.code = 1;
                }
            }
        }
    }

    /// Looks into the state service, as nobody could.
    fn watch(&mut self) {
        for item in self.items("wf/r/") {
            let (Some(id), Some(record)) =
                (run_id_of_key(&item.key), parse_record::<RunRecord>(&item))
            else {
                self.broken
                    .push(format!("{}: a record that can't be read", item.key));
                continue;
            };
            if record.state == RunState::Failing {
                self.failing.entry(id).or_insert(self.now);
            }
            match self.finals.get(&id) {
                Some(before) if *before != record => {
                    self.broken
                        .push(format!("{id}: two ends, {before:?} and {record:?}"));
                }
                None if record.state.is_final() => {
                    self.finals.insert(id, record);
                    self.nothing_runs(id);
                    if !self.begun.contains(&id) {
                        // Nobody was told of it, but it was written.
                        self.begun.push(id);
                    }
                }
                _ => {}
            }
        }
    }

    /// When a run has ended, so have its jobs.
    fn nothing_runs(&mut self, id: RunId) {
        for item in self.items(&format!("wf/j/{}/{:016x}/", id.range, id.number)) {
            for job in parse_record::<Vec<JobRecord>>(&item).expect("jobs") {
                let known = self.jobs.get(&job.spec.id);
                let open =
                    known.filter(|j| !api::is_final_phase(j.phase) && j.spec.class != "foreign");
                if let Some(open) = open {
                    self.broken
                        .push(format!("{id} ended, {} is {:?}", job.step, open.phase));
                }
            }
        }
    }

    fn items(&mut self, prefix: &str) -> Vec<Item> {
        let mut all: Vec<Item> = Vec::new();
        loop {
            let after = all.last().map(|i| i.key.clone());
            let ask = StoreCall::Page {
                prefix: prefix.to_owned(),
                after,
            };
            let Reply::Answer(_, body, _) = answer_store_call(&mut self.state, self.now, &ask)
            else {
                return all;
            };
            let page: oliveshift_wire::state::Page = decode(&body).expect("a page");
            all.extend(page.items);
            if !page.more {
                return all;
            }
        }
    }

    /// Checks the whole day.
    fn check(&mut self) {
        let mut of: BTreeMap<JobId, (RunId, String)> = BTreeMap::new();
        let mut steps: BTreeMap<(RunId, String, u32), BTreeSet<JobId>> = BTreeMap::new();
        for item in self.items("wf/j/") {
            let id = run_id_of_key(&item.key).expect("a run's key");
            for job in parse_record::<Vec<JobRecord>>(&item).expect("jobs") {
                let foreign = |j: &Job| j.spec.class == "foreign";
                if self.jobs.get(&job.spec.id).is_some_and(|j| !foreign(j)) {
                    let step = (id, job.step.clone(), job.group);
                    steps.entry(step).or_default().insert(job.spec.id.clone());
                }
                of.insert(job.spec.id.clone(), (id, job.step));
            }
        }
        for (step, jobs) in steps {
            if jobs.len() > 1 {
                self.broken
                    .push(format!("{step:?} has {} jobs", jobs.len()));
            }
        }
        for (id, job) in &self.jobs {
            if job.spec.class == "foreign" {
                if job.phase == JobPhase::Cancelled {
                    self.broken
                        .push(format!("{id}: somebody else's was cancelled"));
                }
                continue;
            }
            let Some((run, step)) = of.get(id) else {
                self.broken.push(format!("{id} is nobody's"));
                continue;
            };
            if !matches!(job.phase, JobPhase::Done | JobPhase::Cancelled) {
                self.broken
                    .push(format!("{run} {step}: its job was left {:?}", job.phase));
            }
            let failed = self.failing.get(run);
            if let (Some(failed), Some(starts)) = (failed, job.starts)
                && job.worked
                && starts > *failed + S * 3
            {
                self.broken
                    .push(format!("{run} {step}: started after a failure"));
            }
        }
        for id in &self.begun {
            let Some(end) = self.finals.get(id) else {
                let held = self.instances.iter().filter_map(|i| i.service.as_ref());
                let held: Vec<_> = held.map(|s| s.describe(*id)).collect();
                self.broken.push(format!("{id} has no end: {held:?}"));
                continue;
            };
            let jobs = self
                .jobs
                .iter()
                .filter(|(job, _)| of.get(*job).is_some_and(|o| o.0 == *id));
            let codes: BTreeSet<i64> = jobs
                .filter(|(_, j)| j.phase == JobPhase::Done)
                .map(|(_, j)| j.code)
                .collect();
            let failed = codes.iter().any(|c| *c != 0);
            match end.state {
                RunState::Complete if failed => self
                    .broken
                    .push(format!("{id}: complete, but a step failed")),
                RunState::ExecutorError if !failed => {
                    self.broken.push(format!("{id}: {:?}", end.failure))
                }
                RunState::SystemError => self.broken.push(format!("{id}: {:?}", end.failure)),
                _ => {}
            }
        }
    }
}

fn day(
    seed: u64,
    trouble: Trouble,
    instances: usize,
    runs: usize,
    sabotage: Option<Sabotage>,
) -> World {
    let mut world = World::new(seed, trouble, instances, sabotage);
    let bundles = [example("sheet-to-portal"), example("waveform-to-catalog")];
    for i in 0..runs {
        let at = S * 5 + S * world.rng.u32(0..60);
        let bundle = Box::new(bundles[i % 2].clone());
        world.asks.push_back((at, UserRequest::Submit(bundle)));
    }
    world.asks.make_contiguous().sort_by_key(|a| a.0);
    let mut world = world.run(S * 900);
    world.check();
    world
}

fn ends(world: &World, state: RunState) -> usize {
    world.finals.values().filter(|r| r.state == state).count()
}

#[test]
fn a_quiet_day() {
    let world = day(1, Trouble::default(), 2, 20, None);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(ends(&world, RunState::Complete), 20);
    // Each pipeline is four arrays, however many members they have.
    assert_eq!(world.jobs.len(), 80);
    assert!(world.writes < 20 * 20, "{} writes", world.writes);
}

/// However many runs there are, no more is asked than the settings allow, and
/// whoever comes when the queue is full is told at once to come back.
#[test]
fn a_crowd_of_runs_keeps_to_the_budget() {
    let mut world = World::new(5, Trouble::default(), 1, None);
    let bundle = Box::new(example("waveform-to-catalog"));
    for i in 0..400 {
        let at = S * 5 + MS * 100 * i;
        world
            .asks
            .push_back((at, UserRequest::Submit(bundle.clone())));
    }
    let mut world = world.run(S * 900);
    world.check();
    assert_eq!(world.broken, Vec::<String>::new());
    // A second's worth may come at once.
    let busiest = world.polls.values().max().copied().unwrap_or(0);
    assert!((35..=80).contains(&busiest), "{busiest} a second");
    let busiest = world.stores.values().max().copied().unwrap_or(0);
    assert!((50..=120).contains(&busiest), "{busiest} a second");
    assert!(world.turned_away > 20, "{} turned away", world.turned_away);
    let complete = ends(&world, RunState::Complete);
    assert_eq!(complete + world.turned_away, 400);
    assert!(complete > 200, "{complete}");
}

/// Ended runs are removed after their time, whoever crashes meanwhile, and
/// nothing of them stays.
#[test]
fn ended_runs_are_removed() {
    let trouble = Trouble {
        crashes: true,
        lost: 0.05,
        ..Trouble::default()
    };
    let mut world = World::new(8, trouble, 2, None);
    world.keep = S * 60;
    let bundle = Box::new(example("waveform-to-catalog"));
    for i in 0..12 {
        world
            .asks
            .push_back((S * (5 + 5 * i), UserRequest::Submit(bundle.clone())));
    }
    // One that nobody removes as long as the day lasts keeps it going.
    world.asks.push_back((S * 700, UserRequest::Submit(bundle)));
    let mut world = world.run(S * 900);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.finals.len() >= 8, "{}", world.finals.len());
    let kept = |id: &RunId| world.finals[id].ended_s.is_some_and(|e| e > 1_800_000_600);
    let kept: Vec<RunId> = world.finals.keys().copied().filter(kept).collect();
    assert!(kept.len() <= 1 && world.items("wf/r/").len() <= 3);
    for kind in ["r", "t", "j", "c"] {
        for item in world.items(&format!("wf/{kind}/")) {
            let id = run_id_of_key(&item.key).expect("a run's key");
            let told = world.begun.contains(&id);
            assert!(kept.contains(&id) || !told, "{}", item.key);
        }
    }
}

/// What is known beforehand goes in at once, awaiting what comes before.
#[test]
fn a_pipeline_is_submitted_as_staff_would() {
    let world = day(2, Trouble::default(), 1, 2, None);
    assert_eq!(world.broken, Vec::<String>::new());
    let spec = |class: &str| {
        let mut jobs = world.jobs.values().map(|j| &j.spec);
        jobs.find(|s| s.class == class).expect("a job")
    };
    let awaits = |class: &str| -> Vec<&str> {
        let ids = spec(class).awaits.iter();
        ids.map(|id| world.jobs[id].spec.class.as_str()).collect()
    };
    assert_eq!(spec("noise-survey").tasks, 3);
    assert_eq!(awaits("noise-survey"), ["trace-repair"]);
    let mut picking = awaits("phase-picking");
    picking.sort();
    assert_eq!(picking, ["noise-survey", "trace-repair"]);
    assert_eq!(awaits("catalog-merge"), ["phase-picking"]);
    assert_eq!(spec("catalog-merge").deadline_s, Some(150.0));
    // Two sheets by two instruments.
    assert_eq!(
        (spec("color-check").tasks, awaits("color-check")),
        (4, vec!["tile-split"])
    );
    assert_eq!(
        (spec("color-check").cpus, spec("color-check").memory_gb),
        (2.0, 6.25)
    );
    // Whether it is published at all, only the names can say.
    assert!(awaits("publish-batch").is_empty());
}

fn drawn(seed: u64) -> Trouble {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0064_6179);
    let mut trouble = Trouble {
        crashes: rng.bool(),
        lost: [0.0, 0.02, 0.1][rng.usize(0..3)],
        outages: rng.bool(),
        fail: [0.0, 0.1][rng.usize(0..2)],
        cancel: [0.0, 0.2][rng.usize(0..2)],
        strangers: 0.0,
        lower: rng.bool(),
    };
    if trouble.lost == 0.0 && !trouble.crashes {
        // With the first answer lost nobody can tell whose id it is; ids are
        // so long that nobody draws the same.
        trouble.strangers = 0.05;
    }
    trouble
}

#[test]
fn drawn_days() {
    let (mut failed, mut cancelled) = (0, 0);
    for seed in 100..220 {
        let trouble = drawn(seed);
        let world = day(seed, trouble, 3, 12, None);
        assert_eq!(
            world.broken,
            Vec::<String>::new(),
            "seed {seed}: {trouble:?}"
        );
        assert!(!world.finals.is_empty(), "seed {seed}");
        failed += ends(&world, RunState::ExecutorError);
        cancelled += ends(&world, RunState::Canceled);
    }
    assert!(failed > 50 && cancelled > 30, "{failed} {cancelled}");
}

/// Some days with a way to break the code must show it.
fn is_caught(sabotage: Sabotage, why: &str, trouble: Trouble) {
    let broken = |seed| day(seed, trouble, 3, 12, Some(sabotage)).broken;
    let all: Vec<String> = (500..512).flat_map(broken).collect();
    assert!(all.iter().any(|b| b.contains(why)), "{sabotage:?}: {all:?}");
}

#[test]
fn broken_code_is_caught() {
    let trouble = Trouble {
        crashes: true,
        lost: 0.1,
        fail: 0.2,
        cancel: 0.2,
        ..Trouble::default()
    };
    is_caught(Sabotage::NoFence, "two ends", trouble);
    is_caught(Sabotage::UnrecordedIds, "is nobody's", trouble);
    is_caught(Sabotage::JobsLeftRunning, "ended, ", trouble);
    let strangers = Trouble {
        strangers: 0.1,
        cancel: 0.5,
        ..Trouble::default()
    };
    is_caught(
        Sabotage::ForeignJobAdopted,
        "somebody else's was cancelled",
        strangers,
    );
}
