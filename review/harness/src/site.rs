//! A small deployment: three controllers, six machines at the start, two zones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

use oliveshift_core::{Call, Method, Target};
use oliveshift_testkit::{
    RuleChecker, StateLimits, StateResponse, StateService, cloud::Cloud, rules::Site as Place,
    worker::Worker,
};
use oliveshift_wire::{
    JobId, TaskId, decode, encode,
    job::{JobSpec, JobStatus},
    worker::{DirectOrders, Redirect, ReportAnswer},
};
use serde_json::json;

use crate::{
    Record,
    http::{self, Answer, Failure, Request},
    note,
    processes::Process,
    wait_for,
};

pub const ZONES: [&str; 2] = ["east", "west"];
/// The limit for request bodies, and for answers to workers.
const MAX_BODY_BYTES: usize = 64 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

/// The settings that cases may vary.
#[derive(Clone, Debug)]
pub struct Setup {
    pub controllers: usize,
    pub machines: usize,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub txn_ops: usize,
    /// Team, guarantee and limit in processors.
    pub teams: Vec<(&'static str, f64, f64)>,
}

impl Default for Setup {
    /// Times and limits of the small herbarium deployment.
    fn default() -> Self {
        Self {
            controllers: 3,
            machines: 6,
            report_s: 3.0,
            lease_s: 28.0,
            cancel_s: 48.0,
            state_rps: 150.0,
            write_rps: 60.0,
            value_kb: 32,
            txn_ops: 32,
            teams: vec![("transcription", 40.0, 120.0), ("imaging", 32.0, 96.0)],
        }
    }
}

/// How the state service treats the requests of one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Open,
    /// 503: not executed; open watches wait.
    Refused,
    /// The client is cut off: packets are lost, and nothing answers.
    Cut,
}

struct Machine {
    worker: Worker,
    addr: SocketAddr,
}

struct Inner {
    state: StateService,
    cloud: Cloud,
    machines: BTreeMap<String, Machine>,
    rules: RuleChecker,
    /// Links of the clients of the state service, by name.
    links: BTreeMap<String, Link>,
    outage: bool,
    written: BTreeSet<TaskId>,
    noted_starts: usize,
    noted_ends: usize,
    hung: BTreeMap<String, Duration>,
    cut_machines: BTreeSet<String>,
    record: Record,
    objects: PathBuf,
}

impl Inner {
    fn new(setup: &Setup, record: Record, objects: PathBuf) -> Self {
        let zones = ZONES.map(String::from);
        let mut cloud = Cloud::new(&zones, 1);
        cloud.deterministic = true;
        cloud.fast_boot = true;
        cloud.capacity = setup.machines.max(4);
        for i in 0..setup.machines {
            cloud.add_running(Duration::ZERO, "small", ZONES[i % 2], false);
        }
        let limits = setup
            .teams
            .iter()
            .map(|(name, _, most)| ((*name).to_owned(), *most));
        Self {
            state: StateService::new(StateLimits {
                txn_ops: setup.txn_ops,
                value_bytes: setup.value_kb * 1024,
                write_rps: setup.write_rps,
            }),
            cloud,
            machines: BTreeMap::new(),
            rules: RuleChecker::new(limits.collect(), Duration::from_secs_f64(setup.cancel_s)),
            links: BTreeMap::new(),
            outage: false,
            written: BTreeSet::new(),
            noted_starts: 0,
            noted_ends: 0,
            hung: BTreeMap::new(),
            cut_machines: BTreeSet::new(),
            record,
            objects,
        }
    }

    fn link(&self, client: &str) -> Link {
        match self.links.get(client).copied().unwrap_or(Link::Open) {
            Link::Open if self.outage => Link::Refused,
            link => link,
        }
    }

    fn is_silent(&self, name: &str) -> bool {
        self.cut_machines.contains(name) || self.hung.contains_key(name)
    }

    fn advance(&mut self, now: Duration) {
        if !self.outage {
            self.state.expire_leases(now);
        }
        self.hung.retain(|_, until| *until > now);
        let hung: BTreeSet<String> = self.hung.keys().cloned().collect();
        for (name, machine) in &mut self.machines {
            if hung.contains(name) {
                machine.worker.check_lease_while_hung(now, &mut self.rules);
            } else {
                machine.worker.advance(now, &mut self.rules);
            }
        }
        self.rules.check_cancelled_jobs(now);
        for (_, task) in &self.rules.starts[self.noted_starts..] {
            let class = self
                .rules
                .jobs
                .get(&task.job)
                .map_or("", |s| s.class.as_str());
            note!(self.record, "worker: {task} runs ({class})");
        }
        self.noted_starts = self.rules.starts.len();
        for (_, task) in &self.rules.ends[self.noted_ends..] {
            note!(self.record, "worker: {task} is done");
        }
        self.noted_ends = self.rules.ends.len();
        // The agent of a task writes its result before it reports the task as done.
        for task in self
            .rules
            .done
            .difference(&self.written.clone())
            .cloned()
            .collect::<Vec<_>>()
        {
            let dir = self.objects.join("results").join(task.job.as_str());
            let _ = std::fs::create_dir_all(&dir);
            let left = json!([[
                "out.txt",
                false,
                3,
                format!("store://{}/{}/out.txt", task.job, task.index)
            ]]);
            let result = json!({"code": 0, "left": left, "texts": {"out.txt": "ok\n"}}).to_string();
            let file = dir.join(format!("{}.json", task.index));
            let part = dir.join(format!("{}.part", task.index));
            std::fs::write(&part, result).expect("written");
            std::fs::rename(part, file).expect("renamed");
            self.written.insert(task.clone());
        }
    }
}

type Job = Box<dyn FnOnce(&mut Inner) + Send>;

/// What a case may do to a request to the state service: client, path and body in; `true` means
/// that the request is executed and its answer lost.
pub type LoseAnswer = Arc<dyn Fn(&str, &Request) -> bool + Send + Sync>;

/// The deployment; the stand-ins run on threads of this process.
pub struct Site {
    pub record: Record,
    pub setup: Setup,
    pub folder: PathBuf,
    pub objects: PathBuf,
    /// Addresses of the controllers for users and workers, and for each other.
    pub public: Vec<SocketAddr>,
    pub internal: Vec<SocketAddr>,
    /// Addresses for other programs under test.
    pub spare: Vec<SocketAddr>,
    /// Address of the load balancer.
    pub balancer: SocketAddr,
    /// Requests to the thread that owns the models.
    model: Mutex<mpsc::Sender<Job>>,
    lose_answer: Mutex<Option<LoseAnswer>>,
    /// Controllers that the load balancer does not use.
    pub down: Mutex<BTreeSet<usize>>,
    next: AtomicUsize,
    requests: AtomicU64,
}

fn method(name: &str) -> Method {
    match name {
        "GET" => Method::Get,
        "POST" => Method::Post,
        "DELETE" => Method::Delete,
        _ => Method::Other,
    }
}

fn to_call(to: Target, request: &Request) -> Call {
    Call {
        id: 0,
        to,
        method: method(&request.method),
        path: request.path.clone(),
        body: request.body.clone(),
        timeout: Duration::ZERO,
    }
}

impl Site {
    /// Starts the stand-ins. `folder` is temporary.
    pub fn start(record: Record, folder: &Path, setup: Setup) -> Arc<Self> {
        let objects = folder.join("objects");
        std::fs::create_dir_all(&objects).expect("a folder");
        let mut ports = http::free_ports(2 * setup.controllers + 4);
        let spare = ports.split_off(2 * setup.controllers);
        let internal = ports.split_off(setup.controllers);
        let (balancer, balancer_addr) = http::listen();
        let (model, jobs) = mpsc::channel::<Job>();
        let for_model = (setup.clone(), record.clone(), objects.clone());
        std::thread::spawn(move || {
            let (setup, record, objects) = for_model;
            let mut inner = Inner::new(&setup, record, objects);
            while let Ok(job) = jobs.recv() {
                job(&mut inner);
            }
        });
        let site = Arc::new(Self {
            record,
            setup,
            folder: folder.to_owned(),
            objects,
            public: ports,
            internal,
            spare,
            balancer: balancer_addr,
            model: Mutex::new(model),
            lose_answer: Mutex::new(None),
            down: Mutex::new(BTreeSet::new()),
            next: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
        });
        let for_users = site.clone();
        http::serve(
            balancer,
            Arc::new(move |request| for_users.balance(&request)),
        );
        let ticker = site.clone();
        std::thread::spawn(move || {
            loop {
                ticker.tick();
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        site
    }

    pub fn now(&self) -> Duration {
        self.record.now()
    }

    /// Runs `f` on the thread that owns the models.
    fn with<T: Send + 'static>(&self, f: impl FnOnce(&mut Inner) -> T + Send + 'static) -> T {
        let (send, receive) = mpsc::channel();
        let job: Job = Box::new(move |inner| {
            let _ = send.send(f(inner));
        });
        let model = self.model.lock().expect("not poisoned").clone();
        model.send(job).expect("the models are there");
        receive.recv().expect("an answer of the models")
    }

    /// An address of the state service for one client, whose link can be changed by its name.
    pub fn state_for(self: &Arc<Self>, client: &str) -> SocketAddr {
        let (listener, addr) = http::listen();
        let name = client.to_owned();
        self.with(move |inner| inner.links.insert(name, Link::Open));
        let (site, client) = (self.clone(), client.to_owned());
        http::serve(
            listener,
            Arc::new(move |request| site.state_request(&client, request)),
        );
        addr
    }

    /// Changes the link of a client to the state service.
    pub fn set_link(&self, client: &str, link: Link) {
        note!(
            self.record,
            "trouble: the link of {client} to the state service is {link:?}"
        );
        let client = client.to_owned();
        self.with(move |inner| inner.links.insert(client, link));
    }

    /// Begins or ends an outage of the state service for all.
    pub fn set_outage(&self, outage: bool) {
        let text = if outage { "begins" } else { "ends" };
        note!(self.record, "trouble: outage of the state service {text}");
        let now = self.now();
        self.with(move |inner| {
            inner.outage = outage;
            if !outage {
                inner.state.refresh_leases(now);
            }
        });
    }

    /// Sets which transactions are executed without an answer.
    pub fn set_lose_answer(&self, lose: Option<LoseAnswer>) {
        *self.lose_answer.lock().expect("not poisoned") = lose;
    }

    fn link(&self, client: &str) -> Link {
        let client = client.to_owned();
        self.with(move |inner| inner.link(&client))
    }

    fn state_request(&self, client: &str, request: Request) -> Answer {
        std::thread::sleep(Duration::from_millis(2));
        match self.link(client) {
            Link::Open => {}
            Link::Refused => return Some((503, Vec::new())),
            Link::Cut => {
                while self.link(client) == Link::Cut {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return None;
            }
        }
        let now = self.now();
        let lose = self.lose_answer.lock().expect("not poisoned").clone();
        let lose = lose.is_some_and(|lose| lose(client, &request));
        let name = format!("{client} {} {}", request.method, request.path);
        let done = self.with(move |inner| {
            if !inner.outage {
                inner.state.expire_leases(now);
            }
            inner.state.execute(now, &to_call(Target::State, &request))
        });
        let answer = match done {
            StateResponse::Answer(status, body) => (status, body),
            StateResponse::Wait { after, block } => {
                let ends = self.now() + block;
                loop {
                    std::thread::sleep(Duration::from_millis(5));
                    let (client, now) = (client.to_owned(), self.now());
                    let changes = self.with(move |inner| {
                        let open = inner.link(&client) == Link::Open;
                        let ready = open && (inner.state.revision() > after || now >= ends);
                        ready.then(|| inner.state.changes(after))
                    });
                    if let Some(changes) = changes {
                        break changes;
                    }
                }
            }
        };
        // A cut loses the answers that are on their way, too.
        if lose || self.link(client) == Link::Cut {
            note!(self.record, "trouble: executed, answer lost: {name}");
            return None;
        }
        Some(answer)
    }

    /// Value of a key of the state service, as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let key = key.to_owned();
        self.with(move |inner| inner.state.entry(&key).map(|(_, value)| value.to_string()))
    }

    /// The load balancer: passes each request to a controller that is up, the next one if it can't
    /// connect, and keeps the descriptions of jobs that users upload.
    fn balance(&self, request: &Request) -> Answer {
        let count = self.public.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for i in 0..count {
            let node = (first + i) % count;
            if self.down.lock().expect("not poisoned").contains(&node) {
                continue;
            }
            let timeout = Duration::from_secs(5);
            match self.ask(node, &request.method, &request.path, &request.body, timeout) {
                Ok(answer) => return Some(answer),
                Err(Failure::NotSent) => {}
                Err(Failure::NoAnswer) => return None,
            }
        }
        None
    }

    /// Sends a user's request to a controller, records it and checks the rules for its answer.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), Failure> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let asked = self.now();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let mut job = parts.get(1).map(|id| (*id).to_owned());
        let is_abort = parts.get(2) == Some(&"abort");
        if path == "/work"
            && let Ok(spec) = JobSpec::parse(body)
        {
            job = Some(spec.id.to_string());
            let body = body.to_vec();
            self.with(move |inner| {
                if let Ok(spec) = JobSpec::parse(&body) {
                    inner.rules.jobs.entry(spec.id.clone()).or_insert(spec);
                }
            });
        }
        let about = job.unwrap_or_default();
        if is_abort {
            let job = about.clone();
            self.with(move |inner| {
                if let Ok(id) = job.parse() {
                    inner.rules.cancel_requested(&id);
                }
            });
        }
        note!(
            self.record,
            "user #{number}: {method} {path} {about} to n-{node}"
        );
        let result = http::call(self.public[node], method, path, body, timeout);
        let now = self.now();
        match &result {
            Ok((status, _, body)) => {
                let phase = decode::<JobStatus>(body).ok().map(|s| s.phase);
                let phase = phase.filter(|_| matches!(status, 200 | 201));
                let text = phase.map(|p| format!("{p:?}")).unwrap_or_default();
                note!(self.record, "user #{number}: {status} {text}");
                let status = *status;
                self.with(move |inner| {
                    let Ok(id) = about.parse::<JobId>() else {
                        return;
                    };
                    match phase {
                        Some(phase) => inner.rules.phase_reported(now, asked, &id, phase),
                        None if status == 404 => inner.rules.job_denied(now, asked, &id),
                        None => {}
                    }
                });
            }
            Err(e) => note!(self.record, "user #{number}: {e:?}"),
        }
        result.map(|(status, _, body)| (status, body))
    }

    /// Starts the controllers.
    pub fn controllers(self: &Arc<Self>, program: &Path) -> Vec<Process> {
        let (listener, cloud) = http::listen();
        let site = self.clone();
        http::serve(
            listener,
            Arc::new(move |request| site.cloud_request(request)),
        );
        let mut all = Vec::new();
        for node in 0..self.public.len() {
            let state = self.state_for(&format!("n-{node}"));
            let settings = self.folder.join(format!("n-{node}.json"));
            let text = self.settings(node, state, cloud).to_string();
            std::fs::write(&settings, text).expect("written");
            let log = self.folder.join(format!("n-{node}.log"));
            let args = ["--config", &settings.display().to_string()];
            let mut process = Process::new(program, &args, &log);
            process.start();
            all.push(process);
        }
        all
    }

    fn settings(&self, node: usize, state: SocketAddr, cloud: SocketAddr) -> serde_json::Value {
        let setup = &self.setup;
        let zone = |node: usize| ZONES[node % ZONES.len()];
        let others = (0..self.public.len()).filter(|n| *n != node);
        let members: Vec<_> = others
            .map(|n| json!({"member": format!("n-{n}"), "site": zone(n), "endpoint": self.internal[n].to_string()}))
            .collect();
        let teams: Vec<_> = setup
            .teams
            .iter()
            .map(|(name, least, most)| json!({"name": name, "cpus": least, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0}))
            .collect();
        json!({
            "member": format!("n-{node}"),
            "site": zone(node),
            "bind": self.public[node].to_string(),
            "internal_addr": self.internal[node].to_string(),
            "members": members,
            "outside": {"cloud": cloud.to_string(), "state": state.to_string()},
            "deployment": {
                "nodes": self.public.len(),
                "zones": ZONES,
                "teams": teams,
                "objectives": [],
                "workers": {
                    "report_s": setup.report_s, "lease_s": setup.lease_s,
                    "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": setup.cancel_s,
                },
                "state": {
                    "rps": setup.state_rps, "write_rps": setup.write_rps,
                    "value_kb": setup.value_kb, "txn_ops": setup.txn_ops,
                },
                "cloud": {"rps": 6.0, "list_lag_s": 3.0},
                "limits": {"cpu": 0.12, "ram_mb": 136.0, "max_sockets": 3000},
                "clock_off_ms": 250.0,
            },
        })
    }

    /// Waits until all controllers are healthy and all machines obey a holder.
    pub fn wait_until_up(&self) -> bool {
        let healthy = |addr: &SocketAddr| {
            let answer = http::call(*addr, "GET", "/healthz", &[], Duration::from_secs(1));
            matches!(answer, Ok((200, ..)))
        };
        let machines = self.setup.machines;
        wait_for(Duration::from_secs(15), || self.public.iter().all(healthy))
            && wait_for(Duration::from_secs(15), || {
                self.with(move |inner| {
                    let mut all = inner.machines.values();
                    inner.machines.len() >= machines && all.all(|m| m.worker.token() > 0)
                })
            })
    }

    fn cloud_request(&self, request: Request) -> Answer {
        let now = self.now();
        self.with(move |inner| {
            let (status, body, gone) = inner.cloud.execute(now, &to_call(Target::Cloud, &request));
            for name in gone {
                if let Some(mut machine) = inner.machines.remove(&name) {
                    note!(inner.record, "cloud: {name} is returned");
                    machine.worker.drop_tasks(&mut inner.rules);
                }
            }
            Some((status, body))
        })
    }

    /// Lets a machine hang: it does nothing until `until`.
    pub fn hang(&self, name: &str, until: Duration) {
        note!(
            self.record,
            "trouble: {name} hangs until {:.1}",
            until.as_secs_f64()
        );
        let name = name.to_owned();
        self.with(move |inner| inner.hung.insert(name, until));
    }

    /// Cuts a machine off from all controllers, or ends the cut.
    pub fn cut_machine(&self, name: &str, cut: bool) {
        note!(self.record, "trouble: {name} is cut off: {cut}");
        let name = name.to_owned();
        self.with(move |inner| match cut {
            true => inner.cut_machines.insert(name),
            false => inner.cut_machines.remove(&name),
        });
    }

    fn is_silent(&self, name: &str) -> bool {
        let name = name.to_owned();
        self.with(move |inner| inner.is_silent(&name))
    }

    fn tick(self: &Arc<Self>) {
        let now = self.now();
        let (new, due) = self.with(move |inner| {
            inner.advance(now);
            let up = inner.cloud.machines.iter().filter(|(name, m)| {
                let is_up = m.gone_at.is_none() && m.running_at.is_some_and(|at| at <= now);
                is_up && !inner.machines.contains_key(*name)
            });
            let due = inner.machines.iter().filter(|(name, m)| {
                let is_due = m.worker.in_flight.is_none() && now >= m.worker.report_at;
                is_due && !inner.hung.contains_key(*name)
            });
            let new: Vec<String> = up.map(|(name, _)| name.clone()).collect();
            let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
            (new, due)
        });
        for name in new {
            self.start_worker(&name);
        }
        for name in due {
            self.send_report(name);
        }
    }

    fn start_worker(self: &Arc<Self>, name: &str) {
        let now = self.now();
        let (listener, addr) = http::listen();
        let lease = Duration::from_secs_f64(self.setup.lease_s);
        let target = self.next.fetch_add(1, Ordering::Relaxed) % self.public.len();
        let machine = name.to_owned();
        self.with(move |inner| {
            let Some(rented) = inner.cloud.machines.get(&machine).cloned() else {
                return;
            };
            let kind = inner.cloud.types.iter().find(|t| t.name == rented.kind);
            let Some(kind) = kind.cloned() else { return };
            let place = Place {
                kind: rented.kind,
                zone: rented.zone,
                spot: rented.spot,
            };
            let mut worker = Worker::new(machine.clone(), place, kind, lease, now);
            worker.target = target;
            note!(inner.record, "worker: {machine} is up");
            inner.machines.insert(machine, Machine { worker, addr });
        });
        let (site, name) = (self.clone(), name.to_owned());
        http::serve(
            listener,
            Arc::new(move |request| site.worker_request(&name, request)),
        );
    }

    fn worker_request(&self, name: &str, request: Request) -> Answer {
        while self.is_silent(name) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let (now, name) = (self.now(), name.to_owned());
        self.with(move |inner| {
            inner.advance(now);
            let machine = inner.machines.get_mut(&name)?;
            let mut status = 200;
            if request.path == "/do" {
                if request.body.len() > MAX_BODY_BYTES {
                    note!(
                        inner.record,
                        "worker: {name} refuses a body of {} bytes",
                        request.body.len()
                    );
                    return Some((400, Vec::new()));
                }
                let Ok(orders) = decode::<DirectOrders>(&request.body) else {
                    return Some((400, Vec::new()));
                };
                for order in &orders.orders {
                    note!(
                        inner.record,
                        "worker: {name} is ordered directly: {order:?}"
                    );
                }
                status = machine
                    .worker
                    .handle_direct_orders(now, orders, &mut inner.rules);
            }
            let mut report = machine.worker.report(now);
            report.addr = machine.addr.to_string();
            Some((status, encode(&report)))
        })
    }

    fn send_report(self: &Arc<Self>, name: String) {
        let (now, period) = (self.now(), self.setup.report_s);
        let machine = name.clone();
        let begun = self.with(move |inner| {
            let machine = inner.machines.get_mut(&machine)?;
            let mut report = machine.worker.report(now);
            report.addr = machine.addr.to_string();
            machine.worker.in_flight = Some((0, now));
            // Between three quarters and five quarters of the period.
            let vary = 0.75 + 0.5 * f64::from(now.subsec_millis()) / 1000.0;
            machine.worker.report_at = now + Duration::from_secs_f64(period * vary);
            Some((
                machine.worker.target,
                machine.worker.session(),
                encode(&report),
            ))
        });
        let Some((target, session, body)) = begun else {
            return;
        };
        let site = self.clone();
        std::thread::spawn(move || {
            let answer = if site.is_silent(&name) {
                std::thread::sleep(REPORT_TIMEOUT);
                Err(Failure::NoAnswer)
            } else {
                http::call(
                    site.public[target],
                    "POST",
                    "/checkin",
                    &body,
                    REPORT_TIMEOUT,
                )
            };
            let hangs = |name: String| site.with(move |inner| inner.hung.contains_key(&name));
            while hangs(name.clone()) {
                std::thread::sleep(Duration::from_millis(20));
            }
            let answer = answer.ok().filter(|_| !site.is_silent(&name));
            let answer = answer.map(|(status, _, body)| (status, body));
            site.report_answered(name, session, now, answer);
        });
    }

    fn report_answered(&self, name: String, session: u64, sent: Duration, answer: Answer) {
        let (now, nodes) = (self.now(), self.public.len());
        self.with(move |inner| {
            inner.advance(now);
            let Some(machine) = inner.machines.get_mut(&name) else {
                return;
            };
            let worker = &mut machine.worker;
            worker.in_flight = None;
            let answer = answer.filter(|_| now <= sent + REPORT_TIMEOUT);
            let next = |worker: &mut Worker| {
                worker.target = (worker.target + 1) % nodes;
                worker.report_at = now + Duration::from_secs(1);
            };
            match answer {
                Some((200, body)) if body.len() > MAX_BODY_BYTES => {
                    note!(
                        inner.record,
                        "worker: {name} refuses an answer of {} bytes",
                        body.len()
                    );
                    next(worker);
                }
                Some((200, body)) => {
                    if worker.session() == session
                        && let Ok(answer) = decode::<ReportAnswer>(&body)
                    {
                        for order in &answer.orders {
                            note!(inner.record, "worker: {name} is ordered: {order:?}");
                        }
                        worker.handle_report_answer(now, sent, answer, &mut inner.rules);
                    }
                }
                Some((421, body)) => {
                    let to = decode::<Redirect>(&body).ok().and_then(|r| r.report_to);
                    let to = to.and_then(|n| n.strip_prefix("n-")?.parse().ok());
                    match to.filter(|n: &usize| *n != worker.target && *n < nodes) {
                        Some(to) => {
                            worker.target = to;
                            worker.report_at = now + Duration::from_millis(100);
                        }
                        None => next(worker),
                    }
                }
                _ => next(worker),
            }
        });
    }

    /// Machines that are up, with the number of tasks on each.
    pub fn machines(&self) -> Vec<(String, usize)> {
        self.with(|inner| {
            let all = inner.machines.iter();
            all.map(|(n, m)| (n.clone(), m.worker.tasks())).collect()
        })
    }

    /// Tasks that have started on a machine: time, job, class and task.
    pub fn starts(&self) -> Vec<(Duration, String, String, String)> {
        self.with(|inner| {
            let all = inner.rules.starts.iter();
            all.map(|(at, task)| {
                let class = inner
                    .rules
                    .jobs
                    .get(&task.job)
                    .map_or("", |s| s.class.as_str());
                (
                    *at,
                    task.job.to_string(),
                    class.to_owned(),
                    task.to_string(),
                )
            })
            .collect()
        })
    }

    /// Broken rules of the protocol page, as the checker has found them.
    pub fn violations(&self) -> Vec<String> {
        self.with(|inner| {
            let all = inner.rules.violations.iter();
            all.map(|(at, rule, what)| format!("{:.3} {rule:?}: {what}", at.as_secs_f64()))
                .collect()
        })
    }
}
