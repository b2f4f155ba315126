//! Instances of the workflow service against simulated services, in simulated time. Instances
//! crash, answers are lost, the state service fails, steps fail and users cancel runs.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use oliveshift_testkit::{StateLimits, StateService};
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobSpec, JobStatus},
    state::{Change, Item},
};
use oliveshift_workflow::{
    active::{JobReply, Sabotage},
    api::{self, Reply},
    records::{JobRecord, RunId, RunRecord, RunState, parse_record, run_id_of_key},
    service::{Answer, Input, Output, Service, Settings, StoreCall, Submission, UserRequest},
};

mod support;

use support::{
    examples::{example, task_result},
    store::answer_store_call,
};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

/// A job of the simulated user API. It runs for a random time once all jobs that it awaits are
/// done.
struct Job {
    spec: JobSpec,
    phase: JobPhase,
    started_at: Option<Duration>,
    ends_at: Duration,
    /// Whether its tasks executed their commands; false if an awaited job failed.
    worked: bool,
    code: i64,
}

/// Faults injected into a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    crashes: bool,
    loss_rate: f64,
    outages: bool,
    task_failure_rate: f64,
    cancel_rate: f64,
    id_collision_rate: f64,
    lower_limits: bool,
}

struct Instance {
    service: Option<Service>,
    incarnation: u64,
    restart_at: Duration,
}

enum Event {
    Input(usize, u64, Input),
    StoreCall(usize, u64, u64, StoreCall),
    JobCall(usize, u64, u64, JobCall),
}

#[derive(Clone)]
enum JobCall {
    Submit(Box<JobSpec>),
    Poll(JobId),
    Abort(JobId),
    Results(JobId),
}

struct World {
    now: Duration,
    rng: fastrand::Rng,
    faults: Faults,
    state: StateService,
    jobs: BTreeMap<JobId, Job>,
    instances: Vec<Instance>,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    user_requests: VecDeque<(Duration, UserRequest)>,
    started_runs: Vec<RunId>,
    /// Final record of each run, as first read.
    final_records: BTreeMap<RunId, RunRecord>,
    failing_since: BTreeMap<RunId, Duration>,
    /// Number of submissions and status requests, by second.
    job_requests_by_second: BTreeMap<u64, usize>,
    /// Number of requests to the state service, by second.
    store_requests_by_second: BTreeMap<u64, usize>,
    changes_written: usize,
    refusals: usize,
    violations: Vec<String>,
    sabotage: Option<Sabotage>,
    retention: Duration,
    /// Maximum number of changes in a transaction of the instances, and size of a value in bytes.
    txn_ops: usize,
    value_bytes: usize,
    /// Time after which the first transaction with records of jobs is executed, without an answer.
    late_job_write: Option<Duration>,
    /// Time at which the first instance crashes.
    crash_at: Option<Duration>,
}

impl World {
    fn new(seed: u64, faults: Faults, instances: usize, sabotage: Option<Sabotage>) -> Self {
        let limits = StateLimits {
            txn_ops: 20,
            value_bytes: 16 * 1024,
            write_rps: 60.0,
        };
        let stopped = || Instance {
            service: None,
            incarnation: 0,
            restart_at: Duration::ZERO,
        };
        Self {
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            faults,
            state: StateService::new(limits),
            jobs: BTreeMap::new(),
            instances: (0..instances).map(|_| stopped()).collect(),
            queue: BTreeMap::new(),
            seq: 0,
            user_requests: VecDeque::new(),
            started_runs: Vec::new(),
            final_records: BTreeMap::new(),
            failing_since: BTreeMap::new(),
            job_requests_by_second: BTreeMap::new(),
            store_requests_by_second: BTreeMap::new(),
            changes_written: 0,
            refusals: 0,
            violations: Vec::new(),
            sabotage,
            retention: S * 100_000,
            txn_ops: 6,
            value_bytes: 2 * 1024,
            late_job_write: None,
            crash_at: None,
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

    fn schedule(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn latency(&mut self) -> Duration {
        MS * self.rng.u32(1..30)
    }

    fn is_outage(&self) -> bool {
        let s = self.now.as_secs();
        self.faults.outages && ((40..52).contains(&s) || (90..93).contains(&s))
    }

    /// Runs the simulation until all runs and jobs have ended, or until `end`.
    fn run(mut self, end: Duration) -> Self {
        let mut next_step = Duration::ZERO;
        while self.now < end {
            let next = self.queue.keys().next().map(|k| k.0);
            match next {
                Some(at) if at <= next_step => {
                    if let Some(((at, _), event)) = self.queue.pop_first() {
                        self.now = at;
                        self.handle_event(event);
                    }
                }
                _ => {
                    self.now = next_step;
                    next_step += MS * 100;
                    self.step();
                    let over = self.final_records.len() == self.started_runs.len();
                    if over
                        && self.user_requests.is_empty()
                        && !self.started_runs.is_empty()
                        && self.all_jobs_ended()
                    {
                        break;
                    }
                }
            }
        }
        self
    }

    fn all_jobs_ended(&self) -> bool {
        let open = |j: &Job| !matches!(j.phase, JobPhase::Done | JobPhase::Cancelled);
        !self.jobs.values().any(open)
    }

    fn step(&mut self) {
        if !self.is_outage() {
            self.state.expire_leases(self.now);
        }
        if self.faults.lower_limits && self.now == S * 30 {
            self.state.set_limits(StateLimits {
                txn_ops: 6,
                value_bytes: 2 * 1024,
                write_rps: 20.0,
            });
        }
        if self.crash_at.is_some_and(|at| self.now >= at) {
            self.crash_at = None;
            self.crash(0, S);
        }
        for n in 0..self.instances.len() {
            let instance = &mut self.instances[n];
            if instance.service.is_none() && self.now >= instance.restart_at {
                let seed = self.rng.u64(..);
                let settings = Settings {
                    retention: self.retention,
                    txn_ops: self.txn_ops,
                    value_bytes: self.value_bytes,
                    ..Self::settings(n)
                };
                let mut service = Service::new(settings, seed);
                service.sabotage = self.sabotage;
                instance.service = Some(service);
                instance.incarnation += 1;
            } else if self.faults.crashes && self.now < S * 200 && self.rng.f64() < 0.004 {
                let away = S * self.rng.u32(1..12);
                self.crash(n, away);
            }
            let incarnation = self.instances[n].incarnation;
            self.schedule(Duration::ZERO, Event::Input(n, incarnation, Input::Tick));
        }
        self.send_user_requests();
        self.advance_jobs();
        self.check_run_records();
    }

    /// Ends an instance, which is started again after this time.
    fn crash(&mut self, n: usize, away: Duration) {
        let instance = &mut self.instances[n];
        instance.service = None;
        instance.incarnation += 1;
        instance.restart_at = self.now + away;
    }

    fn send_user_requests(&mut self) {
        let due = |user_requests: &VecDeque<(Duration, UserRequest)>, now| {
            user_requests.iter().position(|(at, _)| *at <= now)
        };
        while let Some(i) = due(&self.user_requests, self.now)
            && let Some((_, request)) = self.user_requests.remove(i)
        {
            let n = self.rng.usize(0..self.instances.len());
            let incarnation = self.instances[n].incarnation;
            if self.instances[n].service.is_none() {
                self.user_requests.push_back((self.now + S, request));
                continue;
            }
            self.seq += 1;
            let input = Input::UserRequest(self.seq, request);
            self.schedule(Duration::ZERO, Event::Input(n, incarnation, input));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(n, incarnation, input) => {
                let instance = &mut self.instances[n];
                if instance.incarnation != incarnation {
                    return;
                }
                let Some(service) = &mut instance.service else {
                    return;
                };
                let unix_s = 1_800_000_000 + self.now.as_secs();
                for output in service.handle(self.now, unix_s, input) {
                    self.handle_output(n, incarnation, output);
                }
            }
            Event::StoreCall(n, incarnation, call, request) => {
                self.execute_store_call(n, incarnation, call, &request)
            }
            Event::JobCall(n, incarnation, call, request) => {
                self.execute_job_call(n, incarnation, call, request)
            }
        }
    }

    fn handle_output(&mut self, n: usize, incarnation: u64, output: Output) {
        let mut latency = self.latency();
        // Some requests arrive long after their sender has timed out.
        if self.rng.f64() < self.faults.loss_rate / 2.0 {
            latency += S * self.rng.u32(1..40);
        }
        let second = self.now.as_secs();
        match output {
            Output::Store(call, request) => {
                if writes_jobs(&request)
                    && let Some(after) = self.late_job_write.take()
                {
                    latency = after;
                }
                *self.store_requests_by_second.entry(second).or_default() += 1;
                self.schedule(
                    S * 2,
                    Event::Input(
                        n,
                        incarnation,
                        Input::Store(call, api::store_reply(&request, Reply::Lost)),
                    ),
                );
                self.schedule(latency, Event::StoreCall(n, incarnation, call, request));
            }
            Output::Submit(call, spec) => {
                *self.job_requests_by_second.entry(second).or_default() += 1;
                self.send_job_call(n, incarnation, call, latency, JobCall::Submit(spec))
            }
            Output::Poll(call, id) => {
                *self.job_requests_by_second.entry(second).or_default() += 1;
                self.send_job_call(n, incarnation, call, latency, JobCall::Poll(id));
            }
            Output::Abort(call, id) => {
                self.send_job_call(n, incarnation, call, latency, JobCall::Abort(id))
            }
            Output::Results(call, id, _) => self.schedule(
                latency,
                Event::JobCall(n, incarnation, call, JobCall::Results(id)),
            ),
            Output::Text(call, _) => {
                self.schedule(
                    latency,
                    Event::Input(n, incarnation, Input::Text(call, Some("3\n".into()))),
                );
            }
            Output::Answer(_, Answer::Started(id)) => {
                self.started_runs.push(id);
                if self.rng.f64() < self.faults.cancel_rate {
                    let at = self.now + S * self.rng.u32(0..40);
                    self.user_requests.push_back((at, UserRequest::Cancel(id)));
                }
            }
            Output::Answer(_, Answer::Invalid(message)) => self.violations.push(message),
            Output::Answer(_, Answer::RetryAfter(_)) => self.refusals += 1,
            Output::Answer(..) => {}
        }
    }

    fn send_job_call(
        &mut self,
        n: usize,
        incarnation: u64,
        call: u64,
        latency: Duration,
        request: JobCall,
    ) {
        let late = Input::Job(call, JobReply::RetryAfter(None));
        self.schedule(S * 5, Event::Input(n, incarnation, late));
        self.schedule(latency, Event::JobCall(n, incarnation, call, request));
    }

    fn execute_store_call(&mut self, n: usize, incarnation: u64, call: u64, request: &StoreCall) {
        let reply = if self.is_outage() {
            Reply::Answer(503, Vec::new(), None)
        } else {
            if let StoreCall::Txn(txn) = request {
                self.changes_written += txn.changes.len();
            }
            answer_store_call(&mut self.state, self.now, request)
        };
        if self.rng.f64() < self.faults.loss_rate {
            return;
        }
        let reply = api::store_reply(request, reply);
        let latency = self.latency();
        self.schedule(
            latency,
            Event::Input(n, incarnation, Input::Store(call, reply)),
        );
    }

    fn execute_job_call(&mut self, n: usize, incarnation: u64, call: u64, request: JobCall) {
        let status = |id: &JobId, phase| {
            encode(&JobStatus {
                id: id.clone(),
                phase,
                done: None,
                running: None,
            })
        };
        let reply = match request {
            JobCall::Results(id) => {
                let results = self.jobs.get(&id).filter(|j| j.phase == JobPhase::Done);
                let results = results.map(|job| {
                    let tasks = 0..job.spec.tasks;
                    let code = |i| if i == job.spec.tasks - 1 { job.code } else { 0 };
                    tasks
                        .map(|i| task_result(&job.spec.class, &id, i, code(i)))
                        .collect()
                });
                let latency = self.latency();
                return self.schedule(
                    latency,
                    Event::Input(n, incarnation, Input::Results(call, results)),
                );
            }
            JobCall::Submit(spec) => {
                let spec = *spec;
                let id = spec.id.clone();
                let bytes = encode(&spec);
                assert!(JobSpec::parse(&bytes).is_ok(), "{spec:?}");
                match self.jobs.get(&id) {
                    Some(job) => Reply::Answer(200, status(&id, job.phase), None),
                    None if self.rng.f64() < self.faults.id_collision_rate => {
                        // Another submitter already uses this id.
                        let job = Job {
                            spec: JobSpec {
                                class: "foreign".into(),
                                ..spec
                            },
                            phase: JobPhase::Running,
                            started_at: None,
                            ends_at: self.now + S * 20,
                            worked: false,
                            code: 0,
                        };
                        self.jobs.insert(id.clone(), job);
                        Reply::Answer(200, status(&id, JobPhase::Running), None)
                    }
                    None => {
                        for other in &spec.awaits {
                            if !self.jobs.contains_key(other) {
                                self.violations
                                    .push(format!("{id} awaits {other}, which was not submitted"));
                            }
                        }
                        let code = if self.rng.f64() < self.faults.task_failure_rate {
                            3
                        } else {
                            0
                        };
                        let job = Job {
                            spec,
                            phase: JobPhase::Pending,
                            started_at: None,
                            ends_at: Duration::ZERO,
                            worked: false,
                            code,
                        };
                        self.jobs.insert(id.clone(), job);
                        Reply::Answer(201, status(&id, JobPhase::Pending), None)
                    }
                }
            }
            JobCall::Poll(id) => match self.jobs.get(&id) {
                Some(job) => Reply::Answer(200, status(&id, job.phase), None),
                None => Reply::Answer(404, Vec::new(), None),
            },
            JobCall::Abort(id) => match self.jobs.get_mut(&id) {
                Some(job) => {
                    if job.phase != JobPhase::Done {
                        job.phase = JobPhase::Cancelled;
                    }
                    Reply::Answer(200, status(&id, job.phase), None)
                }
                None => Reply::Answer(404, Vec::new(), None),
            },
        };
        if self.rng.f64() < self.faults.loss_rate {
            return;
        }
        let latency = self.latency();
        let input = Input::Job(call, api::job_reply(reply));
        self.schedule(latency, Event::Input(n, incarnation, input));
    }

    /// Starts and ends jobs of the simulated user API.
    fn advance_jobs(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            if job.phase == JobPhase::Running && self.now >= job.ends_at {
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
            // The job's agent checks the results of awaited jobs and does nothing if one failed.
            let good = awaited.iter().all(|j| j.code == 0 && j.worked);
            let takes = if good {
                S * self.rng.u32(1..8)
            } else {
                Duration::ZERO
            };
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.phase = JobPhase::Running;
                job.started_at = Some(now);
                job.ends_at = now + takes;
                job.worked = good;
                if !good {
                    job.code = 1;
                }
            }
        }
    }

    /// Checks the run records in the simulated state service after each step.
    fn check_run_records(&mut self) {
        for item in self.read_items("wf/r/") {
            let (Some(id), Some(record)) =
                (run_id_of_key(&item.key), parse_record::<RunRecord>(&item))
            else {
                self.violations
                    .push(format!("{}: the record cannot be parsed", item.key));
                continue;
            };
            if record.state == RunState::Failing {
                self.failing_since.entry(id).or_insert(self.now);
            }
            match self.final_records.get(&id) {
                Some(before) if *before != record => {
                    self.violations.push(format!(
                        "{id}: final record changed from {before:?} to {record:?}"
                    ));
                }
                None if record.state.is_final() => {
                    self.final_records.insert(id, record);
                    self.check_jobs_ended(id);
                    if !self.started_runs.contains(&id) {
                        // The run was recorded, but its id was not returned to the user.
                        self.started_runs.push(id);
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks that all jobs of an ended run have ended.
    fn check_jobs_ended(&mut self, id: RunId) {
        for item in self.read_items(&format!("wf/j/{}/{:016x}/", id.range, id.number)) {
            for job in parse_record::<Vec<JobRecord>>(&item).expect("jobs") {
                let known = self.jobs.get(&job.spec.id);
                let open =
                    known.filter(|j| !api::is_final_phase(j.phase) && j.spec.class != "foreign");
                if let Some(open) = open {
                    self.violations.push(format!(
                        "{id} ended while its job {} is {:?}",
                        job.step, open.phase
                    ));
                }
            }
        }
    }

    fn read_items(&mut self, prefix: &str) -> Vec<Item> {
        let mut all: Vec<Item> = Vec::new();
        loop {
            let after = all.last().map(|i| i.key.clone());
            let request = StoreCall::Page {
                prefix: prefix.to_owned(),
                after,
            };
            let Reply::Answer(_, body, _) = answer_store_call(&mut self.state, self.now, &request)
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

    /// Checks the jobs and records at the end of the simulation.
    fn check_outcome(&mut self) {
        let mut job_owners: BTreeMap<JobId, (RunId, String)> = BTreeMap::new();
        let mut steps: BTreeMap<(RunId, String, u32), BTreeSet<JobId>> = BTreeMap::new();
        for item in self.read_items("wf/j/") {
            let id = run_id_of_key(&item.key).expect("a run's key");
            for job in parse_record::<Vec<JobRecord>>(&item).expect("jobs") {
                let foreign = |j: &Job| j.spec.class == "foreign";
                if self.jobs.get(&job.spec.id).is_some_and(|j| !foreign(j)) {
                    let step = (id, job.step.clone(), job.group);
                    steps.entry(step).or_default().insert(job.spec.id.clone());
                }
                job_owners.insert(job.spec.id.clone(), (id, job.step));
            }
        }
        for (step, jobs) in steps {
            if jobs.len() > 1 {
                self.violations
                    .push(format!("{step:?} has {} jobs", jobs.len()));
            }
        }
        for (id, job) in &self.jobs {
            if job.spec.class == "foreign" {
                if job.phase == JobPhase::Cancelled {
                    self.violations
                        .push(format!("{id}: job of another submitter was cancelled"));
                }
                continue;
            }
            let Some((run, step)) = job_owners.get(id) else {
                self.violations.push(format!("{id} belongs to no run"));
                continue;
            };
            if !matches!(job.phase, JobPhase::Done | JobPhase::Cancelled) {
                self.violations.push(format!(
                    "{run} {step}: its job did not end, it is {:?}",
                    job.phase
                ));
            }
            let failed = self.failing_since.get(run);
            if let (Some(failed), Some(starts)) = (failed, job.started_at)
                && job.worked
                && starts > *failed + S * 3
            {
                self.violations.push(format!(
                    "{run} {step}: job started more than 3 s after the run failed"
                ));
            }
        }
        for id in &self.started_runs {
            let Some(end) = self.final_records.get(id) else {
                let held = self.instances.iter().filter_map(|i| i.service.as_ref());
                let held: Vec<_> = held.map(|s| s.describe(*id)).collect();
                self.violations.push(format!("{id} did not end: {held:?}"));
                continue;
            };
            let jobs = self
                .jobs
                .iter()
                .filter(|(job, _)| job_owners.get(*job).is_some_and(|o| o.0 == *id));
            let codes: BTreeSet<i64> = jobs
                .filter(|(_, j)| j.phase == JobPhase::Done)
                .map(|(_, j)| j.code)
                .collect();
            let failed = codes.iter().any(|c| *c != 0);
            match end.state {
                RunState::Complete if failed => self
                    .violations
                    .push(format!("{id}: complete, but a step failed")),
                RunState::ExecutorError if !failed => self
                    .violations
                    .push(format!("{id}: failed, but no step did: {:?}", end.failure)),
                RunState::SystemError => self.violations.push(format!(
                    "{id}: ended with a system error: {:?}",
                    end.failure
                )),
                _ => {}
            }
        }
    }
}

fn writes_jobs(request: &StoreCall) -> bool {
    let StoreCall::Txn(txn) = request else {
        return false;
    };
    let mut changes = txn.changes.iter();
    changes.any(|c| matches!(c, Change::Put { key, .. } if key.starts_with("wf/j/")))
}

fn simulate(
    seed: u64,
    faults: Faults,
    instances: usize,
    runs: usize,
    sabotage: Option<Sabotage>,
) -> World {
    let mut world = World::new(seed, faults, instances, sabotage);
    let bundles = [example("sheet-to-portal"), example("waveform-to-catalog")];
    for i in 0..runs {
        let at = S * 5 + S * world.rng.u32(0..60);
        let bundle = Box::new(bundles[i % 2].clone().into());
        world
            .user_requests
            .push_back((at, UserRequest::Submit(bundle)));
    }
    world.user_requests.make_contiguous().sort_by_key(|a| a.0);
    let mut world = world.run(S * 900);
    world.check_outcome();
    world
}

fn count_ended(world: &World, state: RunState) -> usize {
    world
        .final_records
        .values()
        .filter(|r| r.state == state)
        .count()
}

#[test]
fn all_runs_complete_without_faults() {
    let world = simulate(1, Faults::default(), 2, 20, None);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(count_ended(&world, RunState::Complete), 20);
    // Each pipeline has four jobs, independent of their numbers of tasks.
    assert_eq!(world.jobs.len(), 80);
    assert!(
        world.changes_written < 20 * 20,
        "{} changes",
        world.changes_written
    );
}

/// With many runs, request rates stay within the settings, and submissions beyond the limit of
/// open runs are refused at once with a retry delay.
#[test]
fn many_runs_stay_within_the_request_budgets() {
    let mut world = World::new(5, Faults::default(), 1, None);
    let bundle = Box::new(Submission::from(example("waveform-to-catalog")));
    for i in 0..400 {
        let at = S * 5 + MS * 100 * i;
        world
            .user_requests
            .push_back((at, UserRequest::Submit(bundle.clone())));
    }
    let mut world = world.run(S * 900);
    world.check_outcome();
    assert_eq!(world.violations, Vec::<String>::new());
    // The budget allows a burst of one second's worth of requests.
    let busiest = world
        .job_requests_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    assert!(
        (35..=80).contains(&busiest),
        "{busiest} requests per second"
    );
    let busiest = world
        .store_requests_by_second
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    assert!(
        (50..=120).contains(&busiest),
        "{busiest} requests per second"
    );
    assert!(world.refusals > 20, "{} refused", world.refusals);
    let complete = count_ended(&world, RunState::Complete);
    assert_eq!(complete + world.refusals, 400);
    assert!(complete > 200, "{complete}");
}

/// Guards against runs that stand still while submissions take all writes: further jobs are
/// recorded and submitted while more is submitted than can be recorded.
#[test]
fn runs_go_on_while_more_is_submitted_than_can_be_recorded() {
    let submitted_jobs = |end: Duration| {
        let mut world = World::new(6, Faults::default(), 1, None);
        let bundle = Box::new(Submission::from(example("waveform-to-catalog")));
        for i in 0..600 {
            let at = S * 5 + MS * 50 * i;
            let request = UserRequest::Submit(bundle.clone());
            world.user_requests.push_back((at, request));
        }
        world.run(end).jobs.len()
    };
    let (before, after) = (submitted_jobs(S * 15), submitted_jobs(S * 35));
    assert!(before > 0 && after > before, "{before} {after}");
}

/// Ended runs are removed completely after the retention period, even if instances crash
/// meanwhile.
#[test]
fn ended_runs_are_removed() {
    let faults = Faults {
        crashes: true,
        loss_rate: 0.05,
        ..Faults::default()
    };
    let mut world = World::new(8, faults, 2, None);
    world.retention = S * 60;
    let bundle = Box::new(Submission::from(example("waveform-to-catalog")));
    for i in 0..12 {
        world
            .user_requests
            .push_back((S * (5 + 5 * i), UserRequest::Submit(bundle.clone())));
    }
    // This run is not removed before the simulation ends; its late submission keeps the simulation
    // running until the others are removed.
    world
        .user_requests
        .push_back((S * 700, UserRequest::Submit(bundle)));
    let mut world = world.run(S * 900);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(
        world.final_records.len() >= 8,
        "{}",
        world.final_records.len()
    );
    let kept = |id: &RunId| {
        world.final_records[id]
            .ended_s
            .is_some_and(|e| e > 1_800_000_600)
    };
    let kept: Vec<RunId> = world.final_records.keys().copied().filter(kept).collect();
    assert!(kept.len() <= 1 && world.read_items("wf/r/").len() <= 3);
    for kind in ["r", "t", "j", "c"] {
        for item in world.read_items(&format!("wf/{kind}/")) {
            let id = run_id_of_key(&item.key).expect("a run's key");
            let reported = world.started_runs.contains(&id);
            assert!(kept.contains(&id) || !reported, "{}", item.key);
        }
    }
}

/// Steps that are known in advance are submitted at once, as jobs that await their
/// predecessors.
#[test]
fn a_pipeline_is_submitted_as_jobs_that_await_each_other() {
    let world = simulate(2, Faults::default(), 1, 2, None);
    assert_eq!(world.violations, Vec::<String>::new());
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
    // Two sheets times two instruments.
    assert_eq!(
        (spec("color-check").tasks, awaits("color-check")),
        (4, vec!["tile-split"])
    );
    assert_eq!(
        (spec("color-check").cpus, spec("color-check").memory_gb),
        (2.0, 6.25)
    );
    // Whether the step runs depends on names that an earlier step outputs, so it is submitted only
    // once they are known.
    assert!(awaits("publish-batch").is_empty());
}

fn draw_faults(seed: u64) -> Faults {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0064_6179);
    let mut faults = Faults {
        crashes: rng.bool(),
        loss_rate: [0.0, 0.02, 0.1][rng.usize(0..3)],
        outages: rng.bool(),
        task_failure_rate: [0.0, 0.1][rng.usize(0..2)],
        cancel_rate: [0.0, 0.2][rng.usize(0..2)],
        id_collision_rate: 0.0,
        lower_limits: rng.bool(),
    };
    if faults.loss_rate == 0.0 && !faults.crashes {
        // If the first answer is lost, a service cannot tell whether the job of this id is its own.
        // Ids are long enough that this does not happen in practice, so collisions are drawn
        // only without losses and crashes.
        faults.id_collision_rate = 0.05;
    }
    faults
}

#[test]
fn random_faults() {
    let (mut failed, mut cancelled) = (0, 0);
    for seed in 100..220 {
        let faults = draw_faults(seed);
        let world = simulate(seed, faults, 3, 12, None);
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "seed {seed}: {faults:?}"
        );
        assert!(!world.final_records.is_empty(), "seed {seed}");
        failed += count_ended(&world, RunState::ExecutorError);
        cancelled += count_ended(&world, RunState::Canceled);
    }
    assert!(failed > 50 && cancelled > 30, "{failed} {cancelled}");
}

/// Checks that at least one of 12 simulations with an injected code fault reports a matching
/// violation.
fn assert_detected(sabotage: Sabotage, message: &str, faults: Faults) {
    let violations = |seed| simulate(seed, faults, 3, 12, Some(sabotage)).violations;
    let all: Vec<String> = (500..512).flat_map(violations).collect();
    assert!(
        all.iter().any(|b| b.contains(message)),
        "{sabotage:?}: {all:?}"
    );
}

#[test]
fn injected_code_faults_are_detected() {
    let faults = Faults {
        crashes: true,
        loss_rate: 0.1,
        task_failure_rate: 0.2,
        cancel_rate: 0.2,
        ..Faults::default()
    };
    assert_detected(Sabotage::NoFence, "final record changed", faults);
    assert_detected(Sabotage::UnrecordedIds, "belongs to no run", faults);
    assert_detected(Sabotage::JobsLeftRunning, "ended while its job", faults);
    let id_collision_rate = Faults {
        id_collision_rate: 0.1,
        cancel_rate: 0.5,
        ..Faults::default()
    };
    assert_detected(
        Sabotage::ForeignJobAdopted,
        "job of another submitter was cancelled",
        id_collision_rate,
    );
}

/// One run on one instance, whose job records take several transactions.
fn world_with_small_writes(seed: u64) -> World {
    let mut world = World::new(seed, Faults::default(), 1, None);
    world.txn_ops = 2;
    world.value_bytes = 1024;
    let bundle = Box::new(Submission::from(example("waveform-to-catalog")));
    world
        .user_requests
        .push_back((S * 5, UserRequest::Submit(bundle)));
    world
}

/// Plays a world for each of these times and describes the first one that breaks a rule.
fn first_violation(
    times_ms: impl Iterator<Item = u32>,
    set_up: impl Fn(&mut World, Duration),
) -> Option<(u32, Vec<String>)> {
    times_ms.into_iter().find_map(|ms| {
        let mut world = world_with_small_writes(u64::from(ms));
        set_up(&mut world, MS * ms);
        let mut world = world.run(S * 120);
        world.check_outcome();
        (!world.violations.is_empty()).then_some((ms, world.violations))
    })
}

/// Guards against a run that never ends because a crash interrupted the write of its jobs: the part
/// that was written names jobs that await others under ids that were never recorded.
#[test]
fn a_part_of_an_interrupted_write_does_not_count_as_jobs_of_the_run() {
    let violation = first_violation((5_000..7_000).step_by(10), |world, crash_at| {
        world.crash_at = Some(crash_at);
    });
    assert_eq!(violation, None);
}

/// Guards against a step that runs twice because a part of a write whose answer was lost is executed
/// between the parts of the write that replaces it: the records then name other jobs than those that
/// were submitted, and whoever loads the run next submits these.
#[test]
fn a_late_part_of_a_write_does_not_change_the_jobs_of_a_run() {
    let violation = first_violation((2_000..3_500).step_by(5), |world, late| {
        world.late_job_write = Some(late);
        // The jobs are submitted by then, and none has ended.
        world.crash_at = Some(S * 5 + late + MS * 1_500);
    });
    assert_eq!(violation, None);
}
