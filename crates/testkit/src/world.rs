//! Controllers and stand-ins, joined by a network that can be cut.
//!
//! [`World`] is the event loop; what each kind of event does is in a module of its
//! own.

mod checks;
mod looks;
mod machines;
mod network;
mod odd;
mod outcome;
mod processes;
mod setup;
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
    faults::{Fault, RESTART_DELAY, last_fault_end, upgrade_complete_at},
    net::{ConnectionCounts, Sockets},
    rules::{RuleChecker, Site},
    state::{Limits, StateService},
    worker::Worker,
};
use checks::{Heard, Left, Used};
use looks::LookAnswer;
use machines::is_of;
use odd::Oddity;
use setup::{draw_pipelines, draw_user, settings};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(30);
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
const USER_PATIENCE: Duration = Duration::from_secs(2);
const NODES: usize = 3;
const ZONES: [&str; 2] = ["east", "west"];

/// How much faster than others a steady clock may run.
const DRIFT: f64 = 0.0005;

struct Node {
    controller: Option<Controller>,
    /// How fast its steady clock runs.
    clock_rate: f64,
    settings: Settings,
    level: FormatLevel,
    life: u64,
    back_at: Duration,
    started: Duration,
    sockets: Sockets,
    /// What comes over connections that are not read yet.
    lobby: HashMap<SocketId, Request>,
    /// What came in while it stands still.
    frozen: Vec<Input>,
    /// If it is behind: when it is through with what came in, and with what it
    /// sends.
    through: [Duration; 2],
    /// It is slow and has a turn to come.
    turning: bool,
    /// How many violated invariants it has counted in this life.
    violations: u64,
}

enum Event {
    Step,
    Tick(usize),
    Arrive(usize, u64, Call),
    WatchEnd(usize, u64, CallId, u64),
    Reply(usize, u64, CallId, Reply),
    Report(usize, u64, Vec<u8>, String),
    ReportAnswer(u64, String, u16, Vec<u8>),
    Crash(usize, Duration),
    Copy(Call),
    CopyOfUser(usize, Ask),
    Upgrade(usize),
    Gone(usize),
    Thaw(usize),
    Turn(usize, u64),
    Second,
    Ends(usize, u64, SocketId),
    TakenIn(usize, u64, Input),
    Leaves(usize, u64, Output),
    WriteOff(usize),
    Lower,
    Taken,
    Sick(usize),
    Dies(usize),
    LateWrite(usize, usize, Call),
    Held(usize, u64, Call),
    CancelNow(usize),
    Look(usize, usize, Ask),
    LookHeard(LookAnswer),
    Wakes(usize, Duration),
    RefreshLeases,
    GuestLate(u64),
}

#[derive(Clone, Debug)]
enum Asker {
    Worker {
        name: String,
        report: u64,
    },
    User {
        job: JobId,
        what: Ask,
        until: Duration,
    },
    Peer {
        node: usize,
        life: u64,
        id: CallId,
    },
    Probe {
        asked: Duration,
    },
    Guest {
        token: u64,
        job: JobId,
        submits: bool,
    },
    Look {
        job: JobId,
        what: Ask,
        asked: Duration,
    },
    Odd {
        job: JobId,
        oddity: Oddity,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ask {
    Submit,
    Poll,
    Abort,
    Unknown,
}

struct User {
    spec: JobSpec,
    /// Jobs that have to be accepted, or to be over, before it is submitted.
    after: Vec<usize>,
    late: bool,
    next: Duration,
    /// When it comes first.
    came: Duration,
    abort_at: Option<Duration>,
    accepted: bool,
    ended: bool,
    waiting: Option<Duration>,
}

/// The world.
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
    dead: BTreeSet<String>,
    watches: Vec<(usize, u64, CallId, u64)>,
    open_calls: BTreeSet<(usize, u64, CallId)>,
    /// Calls by controllers that did not know of the new forms yet.
    unaware: BTreeSet<(usize, u64, CallId)>,
    /// Who asked, and over which connection.
    askers: BTreeMap<(usize, u64, u64), (Asker, SocketId)>,
    /// The connection over which a worker reports, with the node's life.
    lines: BTreeMap<String, (usize, u64, SocketId)>,
    sockets: ConnectionCounts,
    max_sockets: usize,
    reports: HashMap<u64, (u64, Duration)>,
    users: Vec<User>,
    refused_jobs: BTreeSet<JobId>,
    limits: [Limits; 2],
    timing: Timing,
    faults: Vec<Fault>,
    sabotage: Option<Sabotage>,
    next_id: u64,
    slowest_report_answer: Duration,
    load: Load,
    /// Watches the rules.
    pub rules: RuleChecker,
    guest: Option<Box<dyn ApiClient>>,
    /// For what guests need drawn, so that other draws don't depend on them.
    guest_rng: fastrand::Rng,
    steady: bool,
    /// The most processors that machines of each size had.
    max_cpus_by_machine_size: BTreeMap<u32, f64>,
    /// What may be open, if it is another than the controllers' own.
    horizon: Option<Duration>,
    admission_refusals: usize,
    temporary_refusals: usize,
    /// What really came about.
    evidence: Evidence,
    /// When the last trouble is over.
    calm: Duration,
    /// When users were last told of each job.
    heard: Heard,
    /// Jobs that wait beside room for them.
    left: Left,
    /// What teams took in each of the last seconds.
    used: VecDeque<Used>,
    /// How many ends of tasks have been looked at.
    ends_seen: usize,
    /// The newest message of each machine that has arrived: session and number.
    newest: BTreeMap<String, (u64, u64)>,
    /// Who led last, by the version of the record.
    led: u64,
    /// Copies of reports for whoever leads next: body and machine.
    reports_for_next: Vec<(Vec<u8>, String)>,
}

impl World {
    /// A world with some machines up, and users who submit jobs until `busy`.
    pub fn new(seed: u64, busy: Duration, faults: Vec<Fault>, sabotage: Option<Sabotage>) -> Self {
        Self::sized(Size::SMALL, seed, busy, faults, sabotage)
    }

    /// The same in another size.
    pub fn sized(
        size: Size,
        seed: u64,
        busy: Duration,
        faults: Vec<Fault>,
        sabotage: Option<Sabotage>,
    ) -> Self {
        Self::timed(size, Timing::DEFAULT, seed, busy, faults, sabotage)
    }

    /// The same with other settings for workers' timing.
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
        let new = upgrade_complete_at(&faults, NODES);
        draw_pipelines(&mut users, seed, size.pipelines, new, busy);
        let rolls = faults
            .iter()
            .any(|f| matches!(f, Fault::RollingUpgrade { .. }));
        let nodes = (0..NODES).map(|i| Node {
            controller: None,
            clock_rate: match timing.clock_drift && (seed as usize + i).is_multiple_of(2) {
                true => 1.0 + DRIFT,
                false => 1.0,
            },
            settings: settings(i, size, &timing),
            level: if rolls {
                FormatLevel::FIRST
            } else {
                FormatLevel::SUPPORTED
            },
            life: 0,
            back_at: Duration::ZERO,
            started: Duration::ZERO,
            sockets: Sockets::default(),
            lobby: HashMap::new(),
            frozen: Vec::new(),
            through: [Duration::ZERO; 2],
            turning: false,
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
            dead: BTreeSet::new(),
            watches: Vec::new(),
            open_calls: BTreeSet::new(),
            unaware: BTreeSet::new(),
            askers: BTreeMap::new(),
            lines: BTreeMap::new(),
            sockets: ConnectionCounts::default(),
            max_sockets: size.max_sockets,
            reports: HashMap::new(),
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
            guest_rng: fastrand::Rng::with_seed(seed),
            steady: false,
            max_cpus_by_machine_size: BTreeMap::new(),
            horizon: None,
            admission_refusals: 0,
            temporary_refusals: 0,
            rng,
            guest: None,
            evidence: Evidence::default(),
            calm: Duration::ZERO,
            heard: Heard::new(),
            left: Left::new(),
            used: VecDeque::new(),
            ends_seen: 0,
            newest: BTreeMap::new(),
            led: 0,
            reports_for_next: Vec::new(),
        };
        world.calm = last_fault_end(&world.faults);
        world.cloud.capacity *= size.scale as usize;
        for i in 0..size.machines {
            let kind = if i % 6 < 4 { "small" } else { "large" };
            world
                .cloud
                .add_running(Duration::ZERO, kind, ZONES[i % 2], false);
        }
        world.at(Duration::ZERO, Event::Step);
        world.at(S, Event::Second);
        for i in 0..NODES {
            world.at(MS * 20 * i as u32, Event::Tick(i));
        }
        for fault in world.faults.clone() {
            match fault {
                Fault::Crash { node, at } => world.at(at, Event::Crash(node, RESTART_DELAY)),
                Fault::Restart { node, at, back } => world.at(at, Event::Crash(node, back)),
                Fault::SpotReclaim { at } => world.at(at, Event::Taken),
                Fault::FaultyMachine { machine, at } => world.at(at, Event::Sick(machine)),
                Fault::RollingUpgrade { first, at, every } => {
                    for i in 0..NODES {
                        let node = (first + i) % NODES;
                        world.at(at + every * i as u32, Event::Upgrade(node));
                    }
                }
                Fault::LowerStateLimits { at } => world.at(at, Event::Lower),
                Fault::PermanentLoss { node, at } => world.at(at, Event::Gone(node)),
                Fault::WriteOff { node, at } => world.at(at, Event::WriteOff(node)),
                Fault::StateOutage { until, .. } => world.at(until, Event::RefreshLeases),
                Fault::ProcessPause { node, until, .. } => world.at(until, Event::Thaw(node)),
                Fault::MachineCrash { rest, at } => world.at(at, Event::Dies(rest)),
                Fault::CancelBurst { count, at } => world.at(at, Event::CancelNow(count)),
                Fault::WorkerHang { rest, from, until } => {
                    world.at(until, Event::Wakes(rest, until.saturating_sub(from)));
                }
                _ => {}
            }
        }
        world
    }

    /// From the beginning controllers let in only what takes all machines this
    /// long.
    pub fn set_horizon(&mut self, horizon: Duration) {
        self.horizon = Some(horizon);
    }

    /// The state service keeps only so many of the newest changes, so that
    /// controllers that are behind have to read all records again.
    pub fn keep_newest_changes(&mut self, most: usize) {
        self.state.retain_changes(most);
    }

    /// More users than there are machines for.
    pub fn add_extra_jobs(&mut self, seed: u64, crowd: &ExtraJobs) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let span = crowd.until.saturating_sub(crowd.from);
        for _ in 0..crowd.jobs {
            let mut user = draw_user(&mut rng, self.users.len(), span, 1);
            // Few are large, as in the deployments.
            let part = rng.f64().powi(3);
            user.spec = JobSpec {
                class: crowd.class.into(),
                team: crowd.team.into(),
                shape: Shape::Array,
                priority: if crowd.class == "rush" {
                    Priority::High
                } else {
                    Priority::Normal
                },
                tasks: 1 + (part * f64::from(crowd.tasks)) as u32,
                cpus: crowd.cpus,
                memory_gb: crowd.cpus * 2.0,
                types: None,
                zone: None,
                one_zone: false,
                spread: false,
                spot: true,
                estimate_s: 5.0 + rng.f64() * 10.0,
                ..user.spec
            };
            user.abort_at = None;
            user.next = crowd.from + span.mul_f64(rng.f64());
            user.came = user.next;
            if crowd.cancel_one_in > 0 && rng.u32(0..crowd.cancel_one_in) == 0 {
                user.abort_at = Some(user.came + MS * rng.u32(500..15_000));
            }
            self.users.push(user);
        }
    }

    /// Tasks of a class of jobs run so many times as long.
    pub fn scale_estimates(&mut self, class: &str, times: f64) {
        for user in self.users.iter_mut().filter(|u| u.spec.class == class) {
            user.spec.estimate_s *= times;
        }
    }

    /// One more user, who submits this job at some time and never calls it off.
    pub fn add_job(&mut self, at: Duration, spec: JobSpec) {
        self.users.push(User {
            spec,
            after: Vec::new(),
            late: false,
            next: at,
            came: at,
            abort_at: None,
            accepted: false,
            ended: false,
            waiting: None,
        });
    }

    /// Lets somebody else use the service as well.
    pub fn set_guest(&mut self, guest: impl ApiClient + 'static) {
        self.guest = Some(Box::new(guest));
    }

    /// From now on nothing is drawn for messages and machines, so that two plays
    /// differ by nothing but what is asked.
    pub fn use_fixed_delays(&mut self) {
        self.steady = true;
        self.cloud.deterministic = true;
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.queue.push(Reverse((at.max(self.now), self.seq)));
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Lets time pass until `end` and says what came of it.
    pub fn run(mut self, end: Duration) -> Outcome {
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.event(event);
            }
        }
        let came = self.users.iter().map(|u| (u.spec.id.clone(), u.came));
        Outcome {
            submitted_at: came.collect(),
            admission_refusals: self.admission_refusals,
            temporary_refusals: self.temporary_refusals,
            cancelled: std::mem::take(&mut self.rules.asked_to_cancel),
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
            broken: self.rules.violations,
            evidence: Evidence {
                early_starts: std::mem::take(&mut self.rules.starts_on_new),
                too_old: self.state.too_old,
                ..self.evidence
            },
            late_starts: self.rules.late_starts,
            at_limit: self.rules.at_limit,
            ends: self.rules.ends,
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Step => self.step(),
            Event::Tick(node) => {
                self.at(self.now + TICK, Event::Tick(node));
                if self.nodes[node].controller.is_none() && self.now >= self.nodes[node].back_at {
                    self.start(node);
                }
                if !self.frozen(node) {
                    self.input(node, Input::Tick);
                }
            }
            Event::Thaw(node) => {
                // Connections are accepted first, then what came over them.
                let mut inputs = std::mem::take(&mut self.nodes[node].frozen);
                inputs.sort_by_key(|i| !matches!(i, Input::Opened(..)));
                for input in inputs {
                    self.input(node, input);
                }
            }
            Event::Turn(node, life) => {
                if self.nodes[node].life == life {
                    self.nodes[node].turning = false;
                    self.turn(node);
                }
            }
            Event::Second => self.second(),
            Event::Ends(node, life, id) => self.ends(node, life, id),
            Event::TakenIn(node, life, input) => {
                if self.nodes[node].life == life {
                    self.take_in(node, input);
                }
            }
            Event::Leaves(node, life, output) => {
                if self.nodes[node].life == life {
                    self.put_out(node, life, output);
                }
            }
            Event::Arrive(node, life, call) => self.arrive(node, life, call),
            Event::WatchEnd(node, life, id, after) => {
                if self
                    .watches
                    .iter()
                    .any(|w| (w.0, w.1, w.2) == (node, life, id))
                {
                    self.watches.retain(|w| (w.0, w.1, w.2) != (node, life, id));
                    let (status, body) = self.state.changes(after);
                    self.answer_state(node, life, id, status, body);
                }
            }
            Event::Reply(node, life, id, reply) => {
                let open = self.open_calls.remove(&(node, life, id));
                if open && self.nodes[node].life == life {
                    let answered = matches!(reply, Reply::Answer { .. });
                    self.nodes[node]
                        .sockets
                        .call_finished(self.now, id, answered);
                    self.input(node, Input::Reply(id, reply));
                }
            }
            Event::Report(node, report, body, name) => {
                self.report_arrives(node, report, body, name)
            }
            Event::ReportAnswer(report, name, status, body) => {
                self.report_answered(report, &name, status, &body);
            }
            Event::Crash(node, back) => self.crash(node, back),
            Event::Copy(call) => self.copy(call),
            Event::CopyOfUser(user, what) => self.user_asks(user, what),
            Event::Upgrade(node) => {
                self.nodes[node].level = FormatLevel::SUPPORTED;
                if self.nodes[node].controller.is_some() {
                    self.crash(node, RESTART_DELAY);
                }
            }
            Event::Gone(node) => {
                self.crash(node, Duration::MAX);
            }
            Event::WriteOff(node) => self.write_off(node),
            Event::Lower => self.state.set_limits(self.limits[1]),
            Event::Taken => {
                let spot = |w: &&Worker| w.site.spot;
                let taken: Vec<_> = self.workers.values().filter(spot).collect();
                let taken: Vec<_> = taken.iter().step_by(2).map(|w| w.name.clone()).collect();
                for name in taken {
                    if let Some(m) = self.cloud.machines.get_mut(&name) {
                        m.gone_at.get_or_insert(self.now);
                    }
                    self.kill(&name);
                }
            }
            Event::Sick(machine) => {
                if let Some(worker) = self.workers.values_mut().nth(machine) {
                    worker.faulty = true;
                }
            }
            Event::LateWrite(node, writes, call) => self.late_write(node, writes, &call),
            Event::Held(node, life, call) => {
                self.evidence.delayed_orders += 1;
                self.note_late_order(node, life, &call);
                self.arrive(node, life, call);
            }
            Event::Dies(rest) => {
                let names: Vec<_> = self.workers.keys().cloned().collect();
                for name in names.into_iter().filter(|name| is_of(name, rest)) {
                    if let Some(m) = self.cloud.machines.get_mut(&name) {
                        m.gone_at.get_or_insert(self.now);
                    }
                    self.kill(&name);
                }
            }
            Event::CancelNow(count) => self.cancel_now(count),
            Event::Look(user, node, what) => self.look(user, node, what),
            Event::LookHeard(answer) => self.look_heard(answer),
            Event::Wakes(rest, after) => self.wakes(rest, after),
            Event::RefreshLeases => self.state.refresh_leases(self.now),
            Event::GuestLate(token) => self.guest_answered(token, None),
        }
    }

    /// What happens each second: probes, and connections that stay silent.
    fn second(&mut self) {
        self.at(self.now + S, Event::Second);
        let now = self.now;
        let mut sizes: BTreeMap<u32, f64> = BTreeMap::new();
        for worker in self.workers.values() {
            *sizes.entry(worker.cpus() as u32).or_default() += worker.cpus();
        }
        for (size, cpus) in sizes {
            let most = self.max_cpus_by_machine_size.entry(size).or_default();
            *most = most.max(cpus);
        }
        let silent = |f: &Fault| match f {
            Fault::SilentConnections { rate, from, until } if (*from..*until).contains(&now) => {
                *rate
            }
            _ => 0,
        };
        let rate: u32 = self.faults.iter().map(silent).sum();
        self.odd_requests();
        self.watch_calm();
        for node in 0..NODES {
            if self.nodes[node].controller.is_none() {
                continue;
            }
            for _ in 0..rate {
                let id = SocketId(self.id());
                self.opens(node, id, Listener::Public);
            }
            let conn = self.id();
            let asker = Asker::Probe { asked: now };
            self.asks(
                node,
                conn,
                asker,
                Method::Get,
                "/healthz".into(),
                Vec::new(),
            );
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.at(now + STEP, Event::Step);
        if !self.outage() {
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
                    && !self.dead.contains(*name)
            })
            .map(|(name, m)| (name.clone(), m.clone()))
            .collect();
        for (name, m) in up {
            let kind = self.cloud.types.iter().find(|t| t.name == m.kind);
            let kind = kind.expect("a known type").clone();
            let site = Site {
                kind: m.kind,
                zone: m.zone,
                spot: m.spot,
            };
            let worker = Worker::new(name.clone(), site, kind, self.timing.lease, now);
            self.workers.insert(name, worker);
        }
        self.machines_pass();
        self.requests_at_end();
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in names {
            self.worker_reports(&name);
        }
        self.rules.check_cancelled_jobs(now);
        self.users_act();
        self.guest_acts();
        self.wake_watches();
    }

    /// Whether some trouble of a kind lasts now.
    fn is_on(&self, kind: impl Fn(&Fault) -> bool) -> bool {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        self.faults.iter().filter(lasts).any(kind)
    }

    /// The lag that some trouble of a kind brings now.
    fn lag(&self, kind: impl Fn(&Fault) -> Option<Duration>) -> Duration {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        let lag = self.faults.iter().filter(lasts).find_map(kind);
        lag.unwrap_or_default()
    }

    /// Whether one in so many of something is meant, if such a trouble lasts.
    fn is_chosen(&mut self, one_in: impl Fn(&Fault) -> Option<u32>) -> bool {
        let lasts = |f: &&Fault| f.span().is_some_and(|span| span.contains(&self.now));
        let one_in = self.faults.iter().filter(lasts).find_map(one_in);
        one_in.is_some_and(|n| self.rng.u32(0..n.max(1)) == 0)
    }
}
