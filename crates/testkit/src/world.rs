//! Simulated deployment: controllers, workers, the state service, the cloud and users,
//! connected by a network with faults.
//!
//! [`World`] holds the event loop; the submodules handle the events of each kind.

mod checks;
mod copied_orders;
mod delayed_reads;
mod follow_ups;
mod machines;
mod network;
mod outcome;
mod processes;
mod setup;
mod slow_requests;
mod unusual_requests;
mod users;

pub use outcome::{Load, Outcome};
pub use setup::{ExtraJobs, Size, Timing};

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use oliveshift_core::{
    Call, CallId, Controller, Input, Listener, Method, Output, Reply, Request, Sabotage, SocketId,
    records::FormatLevel,
};
use oliveshift_wire::{
    JobId,
    job::{JobSpec, Priority, Shape},
    settings::Settings,
};

use crate::{
    api_client::ApiClient,
    cloud::Cloud,
    evidence::Evidence,
    faults::{Fault, MAX_ORDER_DELAY, RESTART_DELAY, last_fault_end, upgrade_complete_at},
    net::{ConnectionCounts, Sockets},
    rules::{RuleChecker, Site},
    state::{Limits, StateService},
    worker::Worker,
};
use checks::{LastAnswers, TeamUsage, WaitingJobs};
use delayed_reads::DelayedRead;
use follow_ups::FollowUpAnswer;
use machines::is_selected;
use setup::{draw_pipelines, draw_user, settings};
use unusual_requests::InvalidSubmission;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// Interval between ticks of a controller.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which machines, users and the API client act.
const STEP_INTERVAL: Duration = Duration::from_millis(30);
/// How long a worker waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a user waits for an answer.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
const CONTROLLER_COUNT: usize = 3;
const ZONES: [&str; 2] = ["east", "west"];

/// Relative difference between the rates of the fastest and the slowest monotonic
/// clock.
const MAX_CLOCK_DRIFT: f64 = 0.0005;

/// A controller process and its place in the deployment.
struct Node {
    controller: Option<Controller>,
    /// Rate of the monotonic clock relative to simulated time.
    clock_rate: f64,
    settings: Settings,
    level: FormatLevel,
    incarnation: u64,
    restart_at: Duration,
    started_at: Duration,
    sockets: Sockets,
    /// Requests that have arrived and that the controller has not read from their
    /// connections.
    unread_requests: HashMap<SocketId, Request>,
    /// Inputs that arrived while the process was paused.
    deferred_inputs: Vec<Input>,
    /// Times until which inputs (0) and outputs (1) are delayed by a controller lag.
    /// Their order is preserved.
    delayed_until: [Duration; 2],
    /// Whether a turn of a slow controller is scheduled.
    turn_scheduled: bool,
    /// Invariant violations that this incarnation has counted so far.
    violations: u64,
}

/// Events of the simulation. Controllers are given by their index, followed by the
/// incarnation where the event concerns one process. Calls of an ended incarnation still
/// arrive; its turns, delayed inputs and outputs, and replies to it are dropped.
enum Event {
    Step,
    Tick(usize),
    CallArrives(usize, u64, Call),
    WatchTimeout(usize, u64, CallId, u64),
    Reply(usize, u64, CallId, Reply),
    /// At this controller: the number of the report, its body and the machine.
    ReportArrives(usize, u64, Vec<u8>, String),
    /// Number of the report, machine, status and body.
    ReportAnswer(u64, String, u16, Vec<u8>),
    /// The controller restarts after this time.
    Crash(usize, Duration),
    DuplicateCall(Call),
    DuplicateUserRequest(usize, RequestKind),
    Upgrade(usize),
    PermanentLoss(usize),
    ResumeProcess(usize),
    Turn(usize, u64),
    /// Once a second.
    Second,
    ConnectionCloses(usize, u64, SocketId),
    DelayedInput(usize, u64, Input),
    DelayedOutput(usize, u64, Output),
    WriteOff(usize),
    LowerStateLimits,
    ReclaimSpotMachines,
    FaultyMachine(usize),
    /// Machines whose number leaves this remainder modulo 3.
    MachineCrash(usize),
    MachineRestart(usize, bool),
    /// Number of the controller's writes that were executed when it sent this one.
    DelayedWrite(usize, usize, Call),
    DelayedOrder(usize, u64, Call),
    /// A copy of direct orders that this incarnation of a controller sent.
    CopiedOrder(usize, u64, Call),
    CancelRunningJobs(usize),
    FollowUpRequest(usize, usize, RequestKind),
    FollowUpAnswer(FollowUpAnswer),
    /// Machines as for `MachineCrash`, and how long they were hung.
    MachinesResume(usize, Duration),
    RefreshLeases,
    ApiClientTimeout(u64),
}

/// The sender of a request to a controller.
#[derive(Clone, Debug)]
enum Requester {
    Worker {
        name: String,
        report: u64,
    },
    User {
        job: JobId,
        kind: RequestKind,
        /// When the user stops waiting.
        until: Duration,
    },
    Peer {
        node: usize,
        incarnation: u64,
        id: CallId,
    },
    Probe {
        asked: Duration,
    },
    ApiClient {
        token: u64,
        job: JobId,
        submits: bool,
    },
    FollowUp {
        job: JobId,
        kind: RequestKind,
        asked: Duration,
    },
    InvalidSubmission {
        job: JobId,
        defect: InvalidSubmission,
    },
}

/// A request of the users' API.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
    /// Polls a job that was never submitted.
    PollUnknown,
}

/// A user with one job.
struct User {
    spec: JobSpec,
    /// Indices of users whose jobs must be accepted, or ended if `waits_for_end` is
    /// set, before this job is submitted.
    waits_for: Vec<usize>,
    waits_for_end: bool,
    next_request_at: Duration,
    /// Time of the first submission.
    submit_at: Duration,
    cancel_at: Option<Duration>,
    accepted: bool,
    ended: bool,
    answer_due: Option<Duration>,
}

/// A simulated deployment.
pub struct World {
    now: Duration,
    seq: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    state: StateService,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    dead_machines: BTreeSet<String>,
    watches: Vec<(usize, u64, CallId, u64)>,
    open_calls: BTreeSet<(usize, u64, CallId)>,
    /// Delayed reads of records, by controller, incarnation and call.
    delayed_reads: BTreeMap<(usize, u64, CallId), DelayedRead>,
    /// Calls to the state service by controllers that still used the format before
    /// `FormatLevel::PIPELINES`.
    old_format_calls: BTreeSet<(usize, u64, CallId)>,
    /// Sender and connection of each request without an answer, by controller,
    /// incarnation and request number.
    pending_requests: BTreeMap<(usize, u64, u64), (Requester, SocketId)>,
    /// Connection over which each worker reports, with the controller and its
    /// incarnation.
    report_connections: BTreeMap<String, (usize, u64, SocketId)>,
    sockets: ConnectionCounts,
    max_sockets: usize,
    sent_reports: HashMap<u64, (u64, Duration)>,
    users: Vec<User>,
    refused_jobs: BTreeSet<JobId>,
    limits: [Limits; 2],
    timing: Timing,
    faults: Vec<Fault>,
    sabotage: Option<Sabotage>,
    next_id: u64,
    slowest_report_answer: Duration,
    load: Load,
    /// Checks the rules of the protocol.
    pub rules: RuleChecker,
    api_client: Option<Box<dyn ApiClient>>,
    /// Separate from `rng`, so that an API client does not change the other draws.
    api_client_rng: fastrand::Rng,
    /// Separate from `rng`, so that copies without effect do not change the other draws.
    copies_rng: fastrand::Rng,
    /// Separate from `rng`, so that slow requests do not change the other draws.
    deliveries_rng: fastrand::Rng,
    /// Maximum delay of a direct order that is held up.
    max_order_delay: Duration,
    /// Number of submissions, which are sent in all forms in turn.
    submissions_sent: usize,
    /// Revision of the state service when each process of a controller ended.
    revisions_at_end: BTreeMap<(usize, u64), u64>,
    /// Set by `use_fixed_delays`.
    fixed_delays: bool,
    /// Highest total of processors that the running machines of each size had at one
    /// time.
    max_cpus_by_machine_size: BTreeMap<u32, f64>,
    /// Admission horizon of the controllers, if it differs from their default.
    horizon: Option<Duration>,
    admission_refusals: usize,
    temporary_refusals: usize,
    /// Evidence that the scripted situations occurred.
    evidence: Evidence,
    /// End of the last fault.
    faults_end: Duration,
    /// When users last received an answer about each job.
    last_answers: LastAnswers,
    /// Accepted jobs without progress although a machine has capacity for them.
    waiting_jobs: WaitingJobs,
    /// Processors used by each team, sampled in each of the last seconds.
    recent_usage: VecDeque<TeamUsage>,
    /// Number of task ends for which requests at the end of a job have been considered.
    ends_processed: usize,
    /// Newest report of each machine that has arrived: session and sequence number.
    newest_reports: BTreeMap<String, (u64, u64)>,
    /// Version of the leader record that was last seen.
    leader_version: u64,
    /// Copies of reports that are delivered when the leader changes: body and machine.
    reports_for_next_leader: Vec<(Vec<u8>, String)>,
}

impl World {
    /// Creates a small deployment with running machines, and users that submit jobs
    /// until `busy`.
    pub fn new(seed: u64, busy: Duration, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Self {
        Self::sized(Size::SMALL, seed, busy, faults, sabotage)
    }

    /// Creates a deployment of the given size.
    pub fn sized(
        size: Size,
        seed: u64,
        busy: Duration,
        faults: Vec<Fault>,
        sabotage: Option<Sabotage>,
    ) -> Self {
        Self::timed(size, Timing::DEFAULT, seed, busy, faults, sabotage)
    }

    /// Creates a deployment of the given size and timing.
    pub fn timed(
        size: Size,
        timing: Timing,
        seed: u64,
        busy: Duration,
        faults: Vec<Fault>,
        sabotage: Option<Sabotage>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones: Vec<String> = ZONES.map(String::from).to_vec();
        let limits = [("red", 40.0), ("blue", 24.0)]
            .map(|(team, cpus)| (team.to_owned(), cpus * f64::from(size.scale)));
        let rules = RuleChecker::new(limits.into(), timing.cancel);
        let mut users: Vec<_> = (0..size.jobs)
            .map(|i| draw_user(&mut rng, i, busy, size.scale))
            .collect();
        let upgraded_at = upgrade_complete_at(&faults, CONTROLLER_COUNT);
        draw_pipelines(&mut users, seed, size.pipelines, upgraded_at, busy);
        let starts_at_first_level = faults
            .iter()
            .any(|f| matches!(f, Fault::RollingUpgrade { .. }));
        let nodes = (0..CONTROLLER_COUNT).map(|i| Node {
            controller: None,
            clock_rate: match timing.clock_drift && (seed as usize + i).is_multiple_of(2) {
                true => 1.0 + MAX_CLOCK_DRIFT,
                false => 1.0,
            },
            settings: settings(i, size, &timing),
            level: if starts_at_first_level {
                FormatLevel::FIRST
            } else {
                FormatLevel::SUPPORTED
            },
            incarnation: 0,
            restart_at: Duration::ZERO,
            started_at: Duration::ZERO,
            sockets: Sockets::default(),
            unread_requests: HashMap::new(),
            deferred_inputs: Vec::new(),
            delayed_until: [Duration::ZERO; 2],
            turn_scheduled: false,
            violations: 0,
        });
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            nodes: nodes.collect(),
            state: StateService::new(size.limits()[0]),
            cloud: Cloud::new(&zones, rng.u64(..)),
            workers: BTreeMap::new(),
            dead_machines: BTreeSet::new(),
            watches: Vec::new(),
            open_calls: BTreeSet::new(),
            delayed_reads: BTreeMap::new(),
            old_format_calls: BTreeSet::new(),
            pending_requests: BTreeMap::new(),
            report_connections: BTreeMap::new(),
            sockets: ConnectionCounts::default(),
            max_sockets: size.max_sockets,
            sent_reports: HashMap::new(),
            users,
            refused_jobs: BTreeSet::new(),
            limits: size.limits(),
            timing,
            faults,
            sabotage,
            next_id: 0,
            slowest_report_answer: Duration::ZERO,
            load: Load::default(),
            rules,
            api_client_rng: fastrand::Rng::with_seed(seed),
            copies_rng: fastrand::Rng::with_seed(seed),
            deliveries_rng: fastrand::Rng::with_seed(seed),
            max_order_delay: MAX_ORDER_DELAY,
            submissions_sent: 0,
            revisions_at_end: BTreeMap::new(),
            fixed_delays: false,
            max_cpus_by_machine_size: BTreeMap::new(),
            horizon: None,
            admission_refusals: 0,
            temporary_refusals: 0,
            rng,
            api_client: None,
            evidence: Evidence::default(),
            faults_end: Duration::ZERO,
            last_answers: LastAnswers::new(),
            waiting_jobs: WaitingJobs::new(),
            recent_usage: VecDeque::new(),
            ends_processed: 0,
            newest_reports: BTreeMap::new(),
            leader_version: 0,
            reports_for_next_leader: Vec::new(),
        };
        world.faults_end = last_fault_end(&world.faults);
        world.cloud.capacity *= size.scale as usize;
        for i in 0..size.machines {
            let kind = if i % 6 < 4 { "small" } else { "large" };
            world
                .cloud
                .add_running(Duration::ZERO, kind, ZONES[i % 2], false);
        }
        world.schedule(Duration::ZERO, Event::Step);
        world.schedule(S, Event::Second);
        for i in 0..CONTROLLER_COUNT {
            world.schedule(MS * 20 * i as u32, Event::Tick(i));
        }
        for fault in world.faults.clone() {
            match fault {
                Fault::Crash { node, at } => world.schedule(at, Event::Crash(node, RESTART_DELAY)),
                Fault::Restart {
                    node,
                    at,
                    restart_after,
                } => world.schedule(at, Event::Crash(node, restart_after)),
                Fault::SpotReclaim { at } => world.schedule(at, Event::ReclaimSpotMachines),
                Fault::FaultyMachine { machine, at } => {
                    world.schedule(at, Event::FaultyMachine(machine))
                }
                Fault::RollingUpgrade {
                    first,
                    at,
                    interval,
                } => {
                    for i in 0..CONTROLLER_COUNT {
                        let node = (first + i) % CONTROLLER_COUNT;
                        world.schedule(at + interval * i as u32, Event::Upgrade(node));
                    }
                }
                Fault::LowerStateLimits { at } => world.schedule(at, Event::LowerStateLimits),
                Fault::PermanentLoss { node, at } => world.schedule(at, Event::PermanentLoss(node)),
                Fault::WriteOff { node, at } => world.schedule(at, Event::WriteOff(node)),
                Fault::StateOutage { until, .. } => world.schedule(until, Event::RefreshLeases),
                Fault::ProcessPause { node, until, .. } => {
                    world.schedule(until, Event::ResumeProcess(node))
                }
                Fault::MachineRestart {
                    remembers_session,
                    machine_group,
                    at,
                } => world.schedule(at, Event::MachineRestart(machine_group, remembers_session)),
                Fault::MachineCrash { machine_group, at } => {
                    world.schedule(at, Event::MachineCrash(machine_group))
                }
                Fault::CancelBurst { count, at } => {
                    world.schedule(at, Event::CancelRunningJobs(count))
                }
                Fault::WorkerHang {
                    machine_group,
                    from,
                    until,
                } => {
                    world.schedule(
                        until,
                        Event::MachinesResume(machine_group, until.saturating_sub(from)),
                    );
                }
                _ => {}
            }
        }
        world
    }

    /// Sets the admission horizon of controllers that start from now on: they refuse
    /// jobs when the open work would take all machines longer than this.
    pub fn set_horizon(&mut self, horizon: Duration) {
        self.horizon = Some(horizon);
    }

    /// Sets the maximum delay of a direct order under [`Fault::DelayedOrders`].
    pub fn set_max_order_delay(&mut self, max_delay: Duration) {
        self.max_order_delay = max_delay;
    }

    /// Gives a controller settings from before a team was added.
    pub fn remove_team(&mut self, node: usize, team: &str) {
        let teams = &mut self.nodes[node].settings.deployment.teams;
        teams.retain(|t| t.name != team);
    }

    /// Limits the change log of the state service to the newest changes, so that
    /// controllers that are behind have to read all records again.
    pub fn keep_newest_changes(&mut self, most: usize) {
        self.state.retain_changes(most);
    }

    /// Adds drawn jobs, which may need more than the machines can run.
    pub fn add_extra_jobs(&mut self, seed: u64, extra: &ExtraJobs) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let span = extra.until.saturating_sub(extra.from);
        for _ in 0..extra.jobs {
            let mut user = draw_user(&mut rng, self.users.len(), span, 1);
            // Few jobs are large, as in real deployments.
            let part = rng.f64().powi(3);
            user.spec = JobSpec {
                class: extra.class.into(),
                team: extra.team.into(),
                shape: Shape::Array,
                priority: if extra.class == "rush" {
                    Priority::High
                } else {
                    Priority::Normal
                },
                tasks: 1 + (part * f64::from(extra.tasks)) as u32,
                cpus: extra.cpus,
                memory_gb: extra.cpus * 2.0,
                types: None,
                zone: None,
                one_zone: false,
                spread: false,
                spot: true,
                estimate_s: 5.0 + rng.f64() * 10.0,
                ..user.spec
            };
            user.cancel_at = None;
            user.next_request_at = extra.from + span.mul_f64(rng.f64());
            user.submit_at = user.next_request_at;
            if extra.cancel_one_in > 0 && rng.u32(0..extra.cancel_one_in) == 0 {
                user.cancel_at = Some(user.submit_at + MS * rng.u32(500..15_000));
            }
            self.users.push(user);
        }
    }

    /// Multiplies the run time of all tasks of a class of jobs.
    pub fn scale_estimates(&mut self, class: &str, times: f64) {
        for user in self.users.iter_mut().filter(|u| u.spec.class == class) {
            user.spec.estimate_s *= times;
        }
    }

    /// Adds a user that submits this job at the given time and never cancels it.
    pub fn add_job(&mut self, at: Duration, spec: JobSpec) {
        self.users.push(User {
            spec,
            waits_for: Vec::new(),
            waits_for_end: false,
            next_request_at: at,
            submit_at: at,
            cancel_at: None,
            accepted: false,
            ended: false,
            answer_due: None,
        });
    }

    /// Sets a client that uses the API besides the drawn users.
    pub fn set_api_client(&mut self, client: impl ApiClient + 'static) {
        self.api_client = Some(Box::new(client));
    }

    /// Uses fixed latencies, report intervals and cloud delays, and loses no answers, so
    /// that two runs differ only in the requests that they receive.
    pub fn use_fixed_delays(&mut self) {
        self.fixed_delays = true;
        self.cloud.deterministic = true;
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.queue.push(Reverse((at.max(self.now), self.seq)));
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Runs the simulation until `end` and returns its outcome.
    pub fn run(mut self, end: Duration) -> Outcome {
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.handle_event(event);
            }
        }
        let submissions = self.users.iter().map(|u| (u.spec.id.clone(), u.submit_at));
        Outcome {
            submitted_at: submissions.collect(),
            admission_refusals: self.admission_refusals,
            temporary_refusals: self.temporary_refusals,
            cancelled: std::mem::take(&mut self.rules.cancel_requests),
            ended: std::mem::take(&mut self.rules.ended),
            max_cpus_by_machine_size: self.max_cpus_by_machine_size,
            open: self.rules.open_jobs(),
            lost: self.rules.lost,
            started: self.rules.started,
            starts: self.rules.starts,
            jobs: self.rules.jobs,
            slowest_report_answer: self.slowest_report_answer,
            load: self.load,
            accepted: self.users.iter().filter(|u| u.accepted).count(),
            refused_writes: self.state.refused,
            refused_jobs: self.refused_jobs,
            sockets: self.sockets,
            violations: self.rules.violations,
            evidence: Evidence {
                early_starts: std::mem::take(&mut self.rules.starts_on_new_machines),
                too_old: self.state.too_old,
                ..self.evidence
            },
            late_starts: self.rules.late_starts,
            at_limit: self.rules.at_limit,
            ends: self.rules.ends,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Step => self.step(),
            Event::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(node));
                if self.nodes[node].controller.is_none() && self.now >= self.nodes[node].restart_at
                {
                    self.start(node);
                }
                if !self.is_paused(node) {
                    self.deliver_input(node, Input::Tick);
                }
            }
            Event::ResumeProcess(node) => {
                // Connections have to be opened before requests on them are processed.
                let mut inputs = std::mem::take(&mut self.nodes[node].deferred_inputs);
                inputs.sort_by_key(|i| !matches!(i, Input::Opened(..)));
                for input in inputs {
                    self.deliver_input(node, input);
                }
            }
            Event::Turn(node, incarnation) => {
                if self.nodes[node].incarnation == incarnation {
                    self.nodes[node].turn_scheduled = false;
                    self.run_turn(node);
                }
            }
            Event::Second => self.second_passed(),
            Event::ConnectionCloses(node, incarnation, id) => {
                self.close_by_client(node, incarnation, id)
            }
            Event::DelayedInput(node, incarnation, input) => {
                if self.nodes[node].incarnation == incarnation {
                    self.process_input(node, input);
                }
            }
            Event::DelayedOutput(node, incarnation, output) => {
                if self.nodes[node].incarnation == incarnation {
                    self.process_output(node, incarnation, output);
                }
            }
            Event::CallArrives(node, incarnation, call) => {
                self.deliver_call(node, incarnation, call)
            }
            Event::WatchTimeout(node, incarnation, id, after) => {
                if self
                    .watches
                    .iter()
                    .any(|w| (w.0, w.1, w.2) == (node, incarnation, id))
                {
                    self.watches
                        .retain(|w| (w.0, w.1, w.2) != (node, incarnation, id));
                    let (status, body) = self.state.changes(after);
                    self.answer_state_call(node, incarnation, id, status, body);
                }
            }
            Event::Reply(node, incarnation, id, reply) => {
                let open = self.open_calls.remove(&(node, incarnation, id));
                if open && self.nodes[node].incarnation == incarnation {
                    let answered = matches!(reply, Reply::Answer { .. });
                    self.nodes[node]
                        .sockets
                        .call_finished(self.now, id, answered);
                    self.deliver_input(node, Input::Reply(id, reply));
                }
            }
            Event::ReportArrives(node, report, body, name) => {
                self.deliver_report(node, report, body, name)
            }
            Event::ReportAnswer(report, name, status, body) => {
                self.report_answered(report, &name, status, &body);
            }
            Event::Crash(node, restart_after) => self.crash(node, restart_after),
            Event::DuplicateCall(call) => self.execute_duplicate(call),
            Event::DuplicateUserRequest(user, kind) => self.send_user_request(user, kind),
            Event::Upgrade(node) => {
                self.nodes[node].level = FormatLevel::SUPPORTED;
                if self.nodes[node].controller.is_some() {
                    self.crash(node, RESTART_DELAY);
                }
            }
            Event::PermanentLoss(node) => {
                self.crash(node, Duration::MAX);
            }
            Event::WriteOff(node) => self.write_off(node),
            Event::LowerStateLimits => self.state.set_limits(self.limits[1]),
            Event::ReclaimSpotMachines => {
                let spot = |w: &&Worker| w.site.spot;
                let reclaimed: Vec<_> = self.workers.values().filter(spot).collect();
                let reclaimed: Vec<_> = reclaimed
                    .iter()
                    .step_by(2)
                    .map(|w| w.name.clone())
                    .collect();
                for name in reclaimed {
                    if let Some(m) = self.cloud.machines.get_mut(&name) {
                        m.gone_at.get_or_insert(self.now);
                    }
                    self.kill(&name);
                }
            }
            Event::FaultyMachine(machine) => {
                if let Some(worker) = self.workers.values_mut().nth(machine) {
                    worker.faulty = true;
                }
            }
            Event::DelayedWrite(node, writes, call) => {
                self.execute_delayed_write(node, writes, &call)
            }
            Event::DelayedOrder(node, incarnation, call) => {
                self.evidence.delayed_orders += 1;
                self.record_late_order(node, incarnation, &call);
                self.deliver_call(node, incarnation, call);
            }
            Event::CopiedOrder(node, incarnation, call) => {
                self.execute_copied_order(node, incarnation, call)
            }
            Event::MachineRestart(machine_group, remembers_session) => {
                self.restart_machines(machine_group, remembers_session)
            }
            Event::MachineCrash(machine_group) => {
                let names: Vec<_> = self.workers.keys().cloned().collect();
                for name in names
                    .into_iter()
                    .filter(|name| is_selected(name, machine_group))
                {
                    if let Some(m) = self.cloud.machines.get_mut(&name) {
                        m.gone_at.get_or_insert(self.now);
                    }
                    self.kill(&name);
                }
            }
            Event::CancelRunningJobs(count) => self.cancel_running_jobs(count),
            Event::FollowUpRequest(user, node, kind) => self.send_follow_up(user, node, kind),
            Event::FollowUpAnswer(answer) => self.receive_follow_up_answer(answer),
            Event::MachinesResume(machine_group, after) => {
                self.resume_machines(machine_group, after)
            }
            Event::RefreshLeases => self.state.refresh_leases(self.now),
            Event::ApiClientTimeout(token) => self.answer_api_client(token, None),
        }
    }

    /// Runs once a second: machine statistics, unusual requests, progress checks,
    /// silent connections and health probes.
    fn second_passed(&mut self) {
        self.schedule(self.now + S, Event::Second);
        let now = self.now;
        let mut sizes: BTreeMap<u32, f64> = BTreeMap::new();
        for worker in self.workers.values() {
            *sizes.entry(worker.cpus() as u32).or_default() += worker.cpus();
        }
        for (size, cpus) in sizes {
            let most = self.max_cpus_by_machine_size.entry(size).or_default();
            *most = most.max(cpus);
        }
        let silent_rate = |f: &Fault| match f {
            Fault::SilentConnections { rate, from, until } if (*from..*until).contains(&now) => {
                *rate
            }
            _ => 0,
        };
        let rate: u32 = self.faults.iter().map(silent_rate).sum();
        self.send_unusual_requests();
        self.check_progress();
        for node in 0..CONTROLLER_COUNT {
            if self.nodes[node].controller.is_none() {
                continue;
            }
            for _ in 0..rate {
                let id = SocketId(self.new_id());
                self.open_connection(node, id, Listener::Public);
            }
            let conn = self.new_id();
            let requester = Requester::Probe { asked: now };
            self.send_request(
                node,
                conn,
                requester,
                Method::Get,
                "/healthz".into(),
                Vec::new(),
            );
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.schedule(now + STEP_INTERVAL, Event::Step);
        if !self.is_state_out() {
            self.state.expire_leases(now);
        }
        let up: Vec<_> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| {
                m.gone_at.is_none()
                    && m.running_at.is_some_and(|up| up <= now)
                    && !self.workers.contains_key(*name)
                    && !self.dead_machines.contains(*name)
            })
            .map(|(name, m)| (name.clone(), m.clone()))
            .collect();
        for (name, m) in up {
            let kind = self.cloud.types.iter().find(|t| t.name == m.kind);
            let kind = kind
                .expect("the cloud offers the type of each of its machines")
                .clone();
            let site = Site {
                kind: m.kind,
                zone: m.zone,
                spot: m.spot,
            };
            let worker = Worker::new(name.clone(), site, kind, self.timing.lease, now);
            self.workers.insert(name, worker);
        }
        self.advance_machines();
        self.send_requests_at_job_end();
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in names {
            self.send_report(&name);
        }
        self.rules.check_cancelled_jobs(now);
        self.step_users();
        self.step_api_client();
        self.answer_watches();
    }

    /// Whether a matching fault is active now.
    fn is_fault_active(&self, kind: impl Fn(&Fault) -> bool) -> bool {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        self.faults.iter().filter(lasts).any(kind)
    }

    /// Delay that the first matching active fault adds; zero if there is none.
    fn active_lag(&self, kind: impl Fn(&Fault) -> Option<Duration>) -> Duration {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        let lag = self.faults.iter().filter(lasts).find_map(kind);
        lag.unwrap_or_default()
    }

    /// Draws whether a fault applies to one message or event: with probability 1/n if a
    /// matching fault with rate n is active.
    fn draw_one_in(&mut self, one_in: impl Fn(&Fault) -> Option<u32>) -> bool {
        let one_in = self.active_rate(one_in);
        one_in.is_some_and(|n| self.rng.u32(0..n) == 0)
    }

    /// The rate of the first active fault that has one: one in this many is affected.
    fn active_rate(&self, one_in: impl Fn(&Fault) -> Option<u32>) -> Option<u32> {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        let one_in = self.faults.iter().filter(lasts).find_map(one_in)?;
        Some(one_in.max(1))
    }
}
