//! A small deployment: cloud, machines with their workers, users, and the real controllers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Req, Resp},
    mp::{V, map},
    state::{State, answer},
};

pub const TEAM: &str = "curation";
pub const ZONE: &str = "rabat-north";

/// What differs between the cases.
#[derive(Clone)]
pub struct Config {
    pub zones: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// Most machines of the only type in each zone.
    pub capacity: usize,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub ready_s: f64,
    /// Machines that are up at the start, by zone.
    pub machines: Vec<&'static str>,
    pub controllers: usize,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cpus_max: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            zones: vec!["rabat-north", "rabat-annex", "casablanca-dc"],
            report_s: 3.0,
            lease_s: 28.0,
            cancel_s: 48.0,
            capacity: 8,
            vcpus: 16.0,
            ram_gb: 64.0,
            ready_s: 3.0,
            machines: vec![ZONE],
            controllers: 3,
            value_kb: 32.0,
            txn_ops: 32,
            cpus_max: 112.0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CloudMode {
    Serve,
    /// An outage: 503 `trouble`.
    Trouble,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub shard: String,
    pub attempt: u64,
    pub phase: &'static str,
    pub cause: &'static str,
    ends: Option<Instant>,
}

/// A worker and its machine.
pub struct Worker {
    pub host: String,
    pub zone: String,
    pub endpoint: SocketAddr,
    pub spot: bool,
    pub tenure: u64,
    pub tick: u64,
    pub epoch: u64,
    pub tasks: Vec<Task>,
    lease_from: Instant,
    images: BTreeSet<String>,
    pub gone: bool,
    hurry: bool,
    /// Answers and direct commands are lost until then.
    deaf_until: Option<Instant>,
    /// Grows when the machine starts anew: what was in flight before is lost.
    boot: u64,
}

impl Worker {
    fn is_deaf(&self) -> bool {
        self.deaf_until.is_some_and(|until| Instant::now() < until)
    }
}

/// A start or an end of a task, as its machine saw it.
#[derive(Clone, Debug)]
pub struct Event {
    pub shard: String,
    /// `start`, or why it ended.
    pub what: String,
}

struct CloudMachine {
    host: String,
    zone: String,
    rented: Instant,
    spot: bool,
    worker: Option<Arc<Mutex<Worker>>>,
    deleted: bool,
}

#[derive(Default)]
struct CloudState {
    machines: Vec<CloudMachine>,
    claims: BTreeMap<String, Vec<String>>,
    mode: Option<CloudMode>,
    /// Names in requests to return machines that got 503.
    refused_returns: Vec<(f64, String)>,
}

pub struct Controller {
    pub name: String,
    pub public: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    starts: usize,
}

/// An instance of the workflow service.
pub struct Instance {
    pub name: String,
    pub listen: SocketAddr,
    child: Option<Child>,
}

pub struct Site {
    pub config: Config,
    pub state: Arc<State>,
    started: Instant,
    record: Mutex<File>,
    pub dir: PathBuf,
    root: PathBuf,
    cloud: Mutex<CloudState>,
    cloud_addr: Mutex<Option<SocketAddr>>,
    /// Descriptions that users have uploaded.
    pub jobs: Mutex<BTreeMap<String, V>>,
    /// How long a task of a job runs; none for services.
    pub run_s: Mutex<BTreeMap<String, f64>>,
    /// How long a task runs whose job another program has submitted.
    pub default_run_s: Mutex<Option<f64>>,
    pub events: Mutex<Vec<Event>>,
    pub controllers: Mutex<Vec<Controller>>,
    pub instances: Mutex<Vec<Instance>>,
    /// Writes result files for the tasks of workflow jobs: given the shard, gives path and text.
    pub results: Mutex<Option<Box<dyn Fn(&str) -> Option<(PathBuf, String)> + Send>>>,
}

pub type SharedSite = Arc<Site>;

fn env(name: &str) -> String {
    std::env::var(name).unwrap_or_default()
}

impl Site {
    pub fn new(config: Config) -> SharedSite {
        let dir = PathBuf::from(env("CASE_TMP"));
        let record = PathBuf::from(env("CASE_DIR")).join("record.txt");
        let site = Arc::new(Site {
            state: State::new(config.value_kb, config.txn_ops),
            config,
            started: Instant::now(),
            record: Mutex::new(File::create(record).expect("record.txt")),
            dir,
            root: PathBuf::from(env("CASE_ROOT")),
            cloud: Mutex::default(),
            cloud_addr: Mutex::default(),
            jobs: Mutex::default(),
            run_s: Mutex::default(),
            default_run_s: Mutex::default(),
            events: Mutex::default(),
            controllers: Mutex::default(),
            instances: Mutex::default(),
            results: Mutex::default(),
        });
        let for_cloud = site.clone();
        let addr = http::serve(Arc::new(move |req| cloud(&for_cloud, &req)));
        *site.cloud_addr.lock().unwrap() = Some(addr);
        for zone in site.config.machines.clone() {
            add_machine(&site, zone, false, Instant::now());
        }
        site
    }

    /// Seconds since the start.
    pub fn t(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:8.2} {line}", self.t());
    }

    pub fn sleep_until(&self, t: f64) {
        let left = t - self.t();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Waits until something holds, at most until `t`; gives whether it did.
    pub fn wait(&self, t: f64, mut holds: impl FnMut() -> bool) -> bool {
        loop {
            if holds() {
                return true;
            }
            if self.t() >= t {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The words of a program's start command in the deploy file.
    fn run_command(&self) -> Vec<String> {
        let text = fs::read_to_string(self.root.join("deploy/service.toml")).expect("deploy file");
        let line = text
            .lines()
            .find(|l| l.starts_with("run ="))
            .expect("`run`");
        let command = line.split('"').nth(1).expect("a command");
        command.split(' ').map(str::to_owned).collect()
    }

    /// The program that the deploy file names.
    pub fn program(&self) -> PathBuf {
        self.root.join(&self.run_command()[0])
    }

    pub fn start_controllers(self: &Arc<Site>) {
        let n = self.config.controllers;
        let names: Vec<String> = (0..n).map(|i| format!("grove-{i}")).collect();
        let zone = |i: usize| self.config.zones[i % self.config.zones.len()];
        let addrs: Vec<_> = (0..n)
            .map(|_| (http::free_port(), http::free_port()))
            .collect();
        let cloud = self.cloud_addr.lock().unwrap().expect("the cloud");
        for i in 0..n {
            let state = self.state.address();
            let members: Vec<V> = (0..n)
                .filter(|j| *j != i)
                .map(|j| {
                    map(vec![
                        ("member", names[j].clone().into()),
                        ("site", zone(j).into()),
                        ("endpoint", addrs[j].1.to_string().into()),
                    ])
                })
                .collect();
            let c = &self.config;
            let team = map(vec![
                ("name", TEAM.into()),
                ("cpus", V::F(40.0)),
                ("cpus_max", V::F(c.cpus_max)),
                ("gpus", V::F(0.0)),
                ("gpus_max", V::F(0.0)),
            ]);
            let deployment = map(vec![
                ("nodes", V::U(n as u64)),
                (
                    "zones",
                    c.zones
                        .iter()
                        .map(|z| V::from(*z))
                        .collect::<Vec<_>>()
                        .into(),
                ),
                ("teams", vec![team].into()),
                ("objectives", V::A(vec![])),
                (
                    "workers",
                    map(vec![
                        ("report_s", V::F(c.report_s)),
                        ("lease_s", V::F(c.lease_s)),
                        ("gang_wait_s", V::F(45.0)),
                        ("gang_peer_s", V::F(5.0)),
                        ("cancel_s", V::F(c.cancel_s)),
                    ]),
                ),
                (
                    "state",
                    map(vec![
                        ("rps", V::F(150.0)),
                        ("write_rps", V::F(60.0)),
                        ("value_kb", V::F(c.value_kb)),
                        ("txn_ops", V::U(c.txn_ops as u64)),
                    ]),
                ),
                (
                    "cloud",
                    map(vec![("rps", V::F(6.0)), ("list_lag_s", V::F(3.0))]),
                ),
                (
                    "limits",
                    map(vec![
                        ("cpu", V::F(0.12)),
                        ("ram_mb", V::F(136.0)),
                        ("max_sockets", V::U(3000)),
                    ]),
                ),
                ("clock_off_ms", V::F(250.0)),
            ]);
            let settings = map(vec![
                ("member", names[i].clone().into()),
                ("site", zone(i).into()),
                ("bind", addrs[i].0.to_string().into()),
                ("internal_addr", addrs[i].1.to_string().into()),
                ("members", members.into()),
                (
                    "outside",
                    map(vec![
                        ("cloud", cloud.to_string().into()),
                        ("state", state.to_string().into()),
                    ]),
                ),
                ("deployment", deployment),
            ]);
            let path = self.dir.join(format!("{}.json", names[i]));
            fs::write(&path, settings.json()).expect("settings");
            self.controllers.lock().unwrap().push(Controller {
                name: names[i].clone(),
                public: addrs[i].0,
                settings: path,
                child: None,
                starts: 0,
            });
            self.start_controller(i);
        }
    }

    pub fn start_controller(&self, i: usize) {
        let words = self.run_command();
        let mut controllers = self.controllers.lock().unwrap();
        let c = &mut controllers[i];
        c.starts += 1;
        let log = self.dir.join(format!("{}.{}.log", c.name, c.starts));
        let child = Command::new(self.root.join(&words[0]))
            .args(&words[1..])
            .arg(&c.settings)
            .env(
                "LOG_LEVEL",
                if env("CASE_LOG").is_empty() {
                    "info".to_owned()
                } else {
                    env("CASE_LOG")
                },
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log).expect("a log"))
            .spawn();
        self.note(&format!("platform: starts {}", c.name));
        let child = child.expect("the program of the deploy file");
        self.started_process(child.id());
        c.child = Some(child);
    }

    /// Notes the id of a process, so that the script can end it whatever happens here.
    pub fn started_process(&self, id: u32) {
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join("pids"));
        let _ = writeln!(file.expect("the list of processes"), "{id}");
    }

    pub fn kill_controller(&self, i: usize) {
        let mut controllers = self.controllers.lock().unwrap();
        let c = &mut controllers[i];
        if let Some(mut child) = c.child.take() {
            self.note(&format!("platform: {} is killed", c.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all processes that were started here.
    pub fn end(&self) {
        let mut controllers = self.controllers.lock().unwrap();
        for controller in controllers.iter_mut() {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for instance in self.instances.lock().unwrap().iter_mut() {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Where the results of tasks are left.
    pub fn objects(&self) -> PathBuf {
        self.dir.join("objects")
    }

    /// Starts an instance of the workflow service with the settings of `deploy/workflows.toml`,
    /// apart from names and addresses.
    pub fn start_instance(self: &Arc<Site>, name: &str) -> usize {
        let state = self.state.address();
        let site = self.clone();
        let balancer = http::serve(Arc::new(move |req| balance(&site, &req)));
        let listen = http::free_port();
        let _ = fs::create_dir_all(self.objects());
        let deployed =
            fs::read_to_string(self.root.join("deploy/workflows.toml")).expect("deploy file");
        let lines =
            deployed
                .lines()
                .map(|line| match line.split(" = ").next().unwrap_or_default() {
                    "name" => format!("name = \"{name}\""),
                    "listen" => format!("listen = \"{listen}\""),
                    "state" => format!("state = \"{state}\""),
                    "users" => format!("users = [\"{balancer}\"]"),
                    "objects" => format!("objects = \"{}\"", self.objects().display()),
                    "team" => format!("team = \"{TEAM}\""),
                    _ => line.to_owned(),
                });
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, lines.collect::<Vec<_>>().join("\n")).expect("settings");
        let log = File::create(self.dir.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(self.program())
            .args(["workflows", "--config"])
            .arg(&path)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        self.started_process(child.id());
        self.note(&format!("platform: starts {name} of the workflow service"));
        let mut instances = self.instances.lock().unwrap();
        instances.push(Instance {
            name: name.to_owned(),
            listen,
            child: Some(child),
        });
        instances.len() - 1
    }

    /// A request to an instance of the workflow service: its status and body.
    pub fn wes(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        kind: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let (name, listen) = {
            let instances = self.instances.lock().unwrap();
            (instances[instance].name.clone(), instances[instance].listen)
        };
        let path = format!("/ga4gh/wes/v1{path}");
        let kind = match kind {
            "" => String::new(),
            kind => format!("content-type: {kind}\r\n"),
        };
        let timeout = Duration::from_secs(if method == "GET" { 8 } else { 22 });
        let got = http::call(listen, method, &path, &kind, body.as_bytes(), timeout);
        match got {
            Ok(got) => {
                let text = String::from_utf8_lossy(&got.body).into_owned();
                let short: String = text.chars().take(300).collect();
                self.note(&format!(
                    "partner: {method} {path} at {name} -> {} {short}",
                    got.status
                ));
                Some((got.status, text))
            }
            Err(why) => {
                self.note(&format!("partner: {method} {path} at {name} -> {why}"));
                None
            }
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.controllers
            .lock()
            .unwrap()
            .iter()
            .map(|c| c.public)
            .collect()
    }

    pub fn healthy(&self) -> Vec<SocketAddr> {
        let probe = |a: &SocketAddr| {
            let got = http::call(*a, "GET", "/healthz", "", &[], Duration::from_secs(1));
            got.is_ok_and(|g| g.status == 200)
        };
        self.addresses().into_iter().filter(probe).collect()
    }

    /// The controller that leads, by the records of the state service.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.get("oliveshift/leader")?;
        let text = record.json();
        let controllers = self.controllers.lock().unwrap();
        controllers
            .iter()
            .position(|c| text.contains(&format!("\"{}\"", c.name)))
    }

    /// Sends a user's request to a healthy controller, again until `good` or 60 s are over.
    pub fn user(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_s: f64,
        good: impl Fn(u16) -> bool,
    ) -> Option<(u16, V)> {
        let until = self.t() + 60.0;
        let mut at = 0;
        loop {
            let all = self.healthy();
            let mut pause = 1.0;
            if !all.is_empty() {
                at += 1;
                let addr = all[at % all.len()];
                let timeout = Duration::from_secs_f64(timeout_s);
                match http::call(addr, method, path, "", body, timeout) {
                    Ok(got) => {
                        let v = V::decode(&got.body).unwrap_or(V::Nil);
                        self.note(&format!(
                            "user: {method} {path} -> {} {}",
                            got.status,
                            v.json()
                        ));
                        if good(got.status) {
                            return Some((got.status, v));
                        }
                        pause = got.retry_after.clamp(1.0, 30.0);
                    }
                    Err(why) => self.note(&format!("user: {method} {path} -> {why}")),
                }
            }
            if self.t() + pause >= until {
                return None;
            }
            thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    /// Submits a job, whose tasks run for `run_s` (none: until they are stopped).
    pub fn submit(&self, spec: &V, run_s: Option<f64>) -> bool {
        let uid = spec.get("uid").str().to_owned();
        self.jobs.lock().unwrap().insert(uid.clone(), spec.clone());
        if let Some(run_s) = run_s {
            self.run_s.lock().unwrap().insert(uid.clone(), run_s);
        }
        self.note(&format!("user: submits {}", spec.json()));
        let got = self.user("POST", "/work", &spec.encode(), 5.0, |s| {
            matches!(s, 200 | 201 | 400 | 422)
        });
        got.is_some_and(|(status, _)| status < 300)
    }

    pub fn poll(&self, uid: &str) -> Option<(u16, V)> {
        let addr = *self.healthy().first()?;
        let got = http::call(
            addr,
            "GET",
            &format!("/work/{uid}"),
            "",
            &[],
            Duration::from_secs(2),
        )
        .ok()?;
        let v = V::decode(&got.body).unwrap_or(V::Nil);
        self.note(&format!(
            "user: GET /work/{uid} -> {} {}",
            got.status,
            v.json()
        ));
        Some((got.status, v))
    }

    pub fn phase(&self, uid: &str) -> String {
        let got = self.poll(uid).filter(|(status, _)| *status == 200);
        got.map_or(String::new(), |(_, v)| v.get("phase").str().to_owned())
    }

    /// The shards that are on machines, with their machines.
    pub fn on_machines(&self) -> Vec<(String, String)> {
        let mut found = Vec::new();
        for worker in self.workers() {
            let w = worker.lock().unwrap();
            let live = w
                .tasks
                .iter()
                .filter(|t| t.phase == "running" || t.phase == "flushing");
            found.extend(live.map(|t| (t.shard.clone(), w.host.clone())));
        }
        found
    }

    pub fn workers(&self) -> Vec<Arc<Mutex<Worker>>> {
        let cloud = self.cloud.lock().unwrap();
        cloud
            .machines
            .iter()
            .filter_map(|m| m.worker.clone())
            .collect()
    }

    pub fn set_cloud(&self, mode: CloudMode) {
        self.note(&format!("cloud: {mode:?}"));
        self.cloud.lock().unwrap().mode = Some(mode);
    }

    pub fn refused_returns(&self) -> Vec<(f64, String)> {
        self.cloud.lock().unwrap().refused_returns.clone()
    }

    /// Machines that are rented and not deleted.
    pub fn rented(&self) -> Vec<String> {
        let cloud = self.cloud.lock().unwrap();
        cloud
            .machines
            .iter()
            .filter(|m| !m.deleted)
            .map(|m| m.host.clone())
            .collect()
    }

    /// A machine stops with all that is on it and is back at once. Its worker goes on with its
    /// tenure, as its lease has not expired, with larger ticks and without tasks.
    pub fn restart_machine(&self, host: &str) {
        for worker in self.workers() {
            let mut w = worker.lock().unwrap();
            if w.host == host {
                let lost: Vec<_> = w.tasks.iter().map(|t| t.shard.clone()).collect();
                self.note(&format!(
                    "{host}: stops with all that is on it ({}) and is back",
                    lost.join(" ")
                ));
                for t in std::mem::take(&mut w.tasks) {
                    if t.phase != "ended" {
                        self.event(&w, &t, "machine stopped");
                    }
                }
                w.images.clear();
                w.hurry = true;
                w.boot += 1;
            }
        }
    }

    /// The reports of all machines arrive; answers and direct commands to them are lost.
    pub fn deafen(&self, for_s: f64) {
        self.note(&format!(
            "answers and commands to the machines are lost for {for_s} s"
        ));
        for worker in self.workers() {
            worker.lock().unwrap().deaf_until =
                Some(Instant::now() + Duration::from_secs_f64(for_s));
        }
    }

    fn event(&self, w: &Worker, t: &Task, what: &str) {
        self.note(&format!(
            "{}: {} try {}: {what}",
            w.host, t.shard, t.attempt
        ));
        self.events.lock().unwrap().push(Event {
            shard: t.shard.clone(),
            what: what.to_owned(),
        });
    }
}

/// The load balancer before the users' API. Whoever submits a job has uploaded its description.
fn balance(site: &Site, req: &Req) -> Resp {
    if req.path == "/work"
        && let Some(spec) = V::decode(&req.body)
    {
        let uid = spec.get("uid").str().to_owned();
        site.jobs.lock().unwrap().insert(uid, spec);
    }
    let Some(addr) = site.healthy().first().copied() else {
        return Resp::Close;
    };
    let got = http::call(
        addr,
        &req.method,
        &req.path,
        "",
        &req.body,
        Duration::from_secs(5),
    );
    match got {
        Ok(got) => {
            let said = V::decode(&got.body).unwrap_or(V::Nil);
            site.note(&format!(
                "workflows: {} {} -> {} {}",
                req.method,
                req.path,
                got.status,
                said.json()
            ));
            Resp::Answer(got.status, got.body)
        }
        Err(_) => Resp::Close,
    }
}

/// A job's description.
pub fn job(uid: &str, shape: &str, shards: u64, vcpus: f64, ram_gb: f64, expect_s: f64) -> V {
    map(vec![
        ("uid", uid.into()),
        ("jobclass", "label-ocr".into()),
        ("owner", TEAM.into()),
        ("shape", shape.into()),
        ("urgency", "standard".into()),
        ("shards", shards.into()),
        ("vcpus", vcpus.into()),
        ("accelerators", V::F(0.0)),
        ("ram_gb", ram_gb.into()),
        ("bundle", "img-07".into()),
        ("size_gb", V::F(0.4)),
        ("flavors", V::Nil),
        ("site", V::Nil),
        ("together", false.into()),
        ("spread", false.into()),
        ("reclaimable", false.into()),
        ("expect_s", expect_s.into()),
        ("snapshot_s", V::F(0.0)),
        ("flush_s", V::F(0.0)),
        ("due_s", V::Nil),
    ])
}

// The cloud.

pub fn add_machine(site: &SharedSite, zone: &str, spot: bool, ready: Instant) -> String {
    let mut cloud = site.cloud.lock().unwrap();
    let host = format!("vm-{:06}", cloud.machines.len() + 1);
    cloud.machines.push(CloudMachine {
        host: host.clone(),
        zone: zone.to_owned(),
        rented: Instant::now(),
        spot,
        worker: None,
        deleted: false,
    });
    drop(cloud);
    let (site, name) = (site.clone(), host.clone());
    thread::spawn(move || {
        thread::sleep(ready.saturating_duration_since(Instant::now()));
        boot(&site, &name);
    });
    host
}

fn cloud(site: &SharedSite, req: &Req) -> Resp {
    thread::sleep(Duration::from_millis(100));
    let c = &site.config;
    let body = V::decode(&req.body).unwrap_or(V::Nil);
    if site.cloud.lock().unwrap().mode == Some(CloudMode::Trouble) {
        if req.path == "/hosts/return" {
            for host in body.get("hosts").list() {
                let host = host.str().to_owned();
                site.note(&format!("cloud: return of {host} -> 503 trouble"));
                let at = site.t();
                site.cloud.lock().unwrap().refused_returns.push((at, host));
            }
        }
        return answer(503, map(vec![("error", "trouble".into())]));
    }
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/machine_types") => {
            let sites: Vec<V> = c.zones.iter().map(|z| V::from(*z)).collect();
            let kind = map(vec![
                ("label", "cedar-large".into()),
                ("vcpus", c.vcpus.into()),
                ("accelerators", V::F(0.0)),
                ("ram_gb", c.ram_gb.into()),
                ("local_gb", V::F(40.0)),
                ("fetch_gb_per_s", V::F(0.5)),
                ("hourly", V::F(1.12)),
                ("low_price", V::F(0.36)),
                ("ready_s", c.ready_s.into()),
                ("sites", sites.into()),
            ]);
            answer(200, map(vec![("flavors", vec![kind].into())]))
        }
        ("GET", "/hosts") => {
            let most: usize = req.q("most").parse().unwrap_or(500);
            let cloud = site.cloud.lock().unwrap();
            let lag = Duration::from_secs(3);
            let listed = cloud.machines.iter().filter(|m| {
                !m.deleted
                    && m.host.as_str() > req.q("after")
                    && (m.rented.elapsed() > lag || site.started > m.rented)
            });
            let listed: Vec<_> = listed.collect();
            let hosts = listed.iter().take(most).map(|m| {
                let up = m.worker.is_some();
                map(vec![
                    ("uid", m.host.clone().into()),
                    ("flavor", "cedar-large".into()),
                    ("site", m.zone.clone().into()),
                    ("reclaimable", m.spot.into()),
                    ("phase", if up { "running" } else { "booting" }.into()),
                    ("age_s", m.rented.elapsed().as_secs_f64().into()),
                ])
            });
            let hosts: Vec<V> = hosts.collect();
            let more = listed.len() > most;
            answer(
                200,
                map(vec![("hosts", hosts.into()), ("truncated", more.into())]),
            )
        }
        ("POST", "/hosts") => {
            let claim = body.get("claim").str().to_owned();
            let names = |names: &[String]| {
                let hosts: Vec<V> = names.iter().map(|n| V::from(n.clone())).collect();
                answer(200, map(vec![("hosts", hosts.into())]))
            };
            if let Some(known) = site.cloud.lock().unwrap().claims.get(&claim) {
                return names(known);
            }
            let zone = body.get("site").str().to_owned();
            let have = {
                let cloud = site.cloud.lock().unwrap();
                cloud
                    .machines
                    .iter()
                    .filter(|m| !m.deleted && m.zone == zone)
                    .count()
            };
            let count = (body.get("count").u() as usize).min(c.capacity.saturating_sub(have));
            if count == 0 || !c.zones.contains(&zone.as_str()) {
                site.note(&format!("cloud: rental in {zone} -> no capacity"));
                return answer(503, map(vec![("error", "no capacity".into())]));
            }
            let spot = body.get("reclaimable").bool();
            let ready = Instant::now() + Duration::from_secs_f64(c.ready_s);
            let rented: Vec<String> = (0..count)
                .map(|_| add_machine(site, &zone, spot, ready))
                .collect();
            site.note(&format!("cloud: rents out {}", rented.join(" ")));
            site.cloud
                .lock()
                .unwrap()
                .claims
                .insert(claim, rented.clone());
            names(&rented)
        }
        ("POST", "/hosts/return") => {
            for host in body.get("hosts").list() {
                remove_machine(site, host.str());
            }
            answer(200, map(vec![]))
        }
        _ => answer(400, map(vec![])),
    }
}

fn remove_machine(site: &SharedSite, host: &str) {
    let mut cloud = site.cloud.lock().unwrap();
    let Some(m) = cloud
        .machines
        .iter_mut()
        .find(|m| m.host == host && !m.deleted)
    else {
        return;
    };
    m.deleted = true;
    site.note(&format!("cloud: {host} is returned"));
    if let Some(worker) = m.worker.take() {
        drop(cloud);
        let mut w = worker.lock().unwrap();
        w.gone = true;
        for t in std::mem::take(&mut w.tasks) {
            if t.phase != "ended" {
                site.event(&w, &t, "machine returned");
            }
        }
    }
}

// Workers.

fn boot(site: &SharedSite, host: &str) {
    let found = {
        let cloud = site.cloud.lock().unwrap();
        let m = cloud.machines.iter().find(|m| m.host == host && !m.deleted);
        m.map(|m| (m.zone.clone(), m.spot))
    };
    let Some((zone, spot)) = found else { return };
    let worker = Arc::new(Mutex::new(Worker {
        host: host.to_owned(),
        zone,
        endpoint: "127.0.0.1:1".parse().unwrap(),
        spot,
        tenure: 1,
        tick: 0,
        epoch: 0,
        tasks: Vec::new(),
        lease_from: Instant::now(),
        images: BTreeSet::new(),
        gone: false,
        hurry: true,
        deaf_until: None,
        boot: 0,
    }));
    let (for_orders, of) = (site.clone(), worker.clone());
    let endpoint = http::serve(Arc::new(move |req| direct(&for_orders, &of, &req)));
    worker.lock().unwrap().endpoint = endpoint;
    {
        let mut cloud = site.cloud.lock().unwrap();
        let m = cloud
            .machines
            .iter_mut()
            .find(|m| m.host == host && !m.deleted);
        let Some(m) = m else { return };
        m.worker = Some(worker.clone());
    }
    site.note(&format!("{host}: up"));
    let (ticking, of) = (site.clone(), worker.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(25));
            let mut w = of.lock().unwrap();
            if w.gone {
                return;
            }
            advance(&ticking, &mut w);
        }
    });
    let site = site.clone();
    thread::spawn(move || report_loop(&site, &worker));
}

/// Ends the lease if it is over, and moves tasks on.
fn advance(site: &SharedSite, w: &mut MutexGuard<'_, Worker>) {
    let now = Instant::now();
    if now > w.lease_from + Duration::from_secs_f64(site.config.lease_s) {
        let lost = std::mem::take(&mut w.tasks);
        site.note(&format!(
            "{}: lease over, {} tasks killed and forgotten",
            w.host,
            lost.len()
        ));
        for t in lost {
            if t.phase != "ended" {
                site.event(w, &t, "lease over");
            }
        }
        w.tenure += 1;
        w.lease_from = now;
        w.hurry = true;
    }
    for i in 0..w.tasks.len() {
        let t = w.tasks[i].clone();
        let due = t.ends.is_some_and(|at| now >= at);
        let uid = t.shard.split('/').next().unwrap_or_default().to_owned();
        match t.phase {
            "fetching" if due => {
                let bundle = site
                    .jobs
                    .lock()
                    .unwrap()
                    .get(&uid)
                    .map(|j| j.get("bundle").str().to_owned());
                w.images.extend(bundle);
                let run = site.run_s.lock().unwrap().get(&uid).copied();
                let run = run.or(*site.default_run_s.lock().unwrap());
                w.tasks[i].phase = "running";
                w.tasks[i].ends = run.map(|s| now + Duration::from_secs_f64(s));
                w.hurry = true;
                site.event(w, &t, "start");
            }
            "running" if due => {
                if let Some(results) = &*site.results.lock().unwrap()
                    && let Some((path, text)) = results(&t.shard)
                {
                    let _ = fs::create_dir_all(path.parent().expect("a folder"));
                    let _ = fs::write(path, text);
                }
                w.tasks[i].phase = "ended";
                w.tasks[i].cause = "done";
                w.tasks[i].ends = None;
                w.hurry = true;
                site.event(w, &t, "done");
            }
            _ => {}
        }
    }
}

fn report(w: &mut Worker) -> V {
    w.tick += 1;
    let shards = w.tasks.iter().map(|t| {
        let mut m = vec![
            ("shard", V::from(t.shard.clone())),
            ("try", V::U(t.attempt)),
            ("phase", t.phase.into()),
        ];
        if t.phase == "ended" {
            m.push(("cause", t.cause.into()));
        }
        map(m)
    });
    let shards: Vec<V> = shards.collect();
    map(vec![
        ("host", w.host.clone().into()),
        ("endpoint", w.endpoint.to_string().into()),
        ("flavor", "cedar-large".into()),
        ("site", w.zone.clone().into()),
        ("reclaimable", w.spot.into()),
        ("tenure", w.tenure.into()),
        ("tick", w.tick.into()),
        ("epoch", w.epoch.into()),
        ("warning_s", V::Nil),
        ("shards", shards.into()),
    ])
}

fn direct(site: &SharedSite, worker: &Arc<Mutex<Worker>>, req: &Req) -> Resp {
    let mut w = worker.lock().unwrap();
    if w.gone {
        return Resp::Close;
    }
    if w.is_deaf() {
        if !req.body.is_empty() {
            let orders = V::decode(&req.body).unwrap_or(V::Nil);
            site.note(&format!(
                "{}: lost on the way: {}",
                w.host,
                orders.get("orders").json()
            ));
        }
        return Resp::Close;
    }
    advance(site, &mut w);
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/inspect") => answer(200, report(&mut w)),
        ("POST", "/do") => {
            let body = V::decode(&req.body).unwrap_or(V::Nil);
            if body.get("epoch").is_nil() || body.get("tenure").is_nil() {
                return answer(400, map(vec![]));
            }
            let epoch = body.get("epoch").u();
            let fits = epoch >= w.epoch && body.get("tenure").u() == w.tenure;
            w.epoch = w.epoch.max(epoch);
            if fits {
                execute(site, &mut w, body.get("orders").list());
            }
            answer(if fits { 200 } else { 409 }, report(&mut w))
        }
        _ => answer(404, map(vec![])),
    }
}

fn execute(site: &SharedSite, w: &mut MutexGuard<'_, Worker>, orders: &[V]) {
    for order in orders {
        let shard = order.get("shard").str().to_owned();
        let attempt = order.get("try").u();
        let known = w
            .tasks
            .iter()
            .position(|t| t.shard == shard && t.attempt == attempt);
        let quiet = w.tasks.len() > 40;
        if !quiet {
            site.note(&format!("{}: gets {}", w.host, order.json()));
        }
        match (order.get("verb").str(), known) {
            ("start", None) => start(site, w, shard, attempt),
            ("kill", Some(i)) if w.tasks[i].phase != "ended" => {
                let t = w.tasks[i].clone();
                w.tasks[i].phase = "ended";
                w.tasks[i].cause = "stopped";
                w.tasks[i].ends = None;
                w.hurry = true;
                site.event(w, &t, "stopped");
            }
            ("forget", Some(i)) if w.tasks[i].phase == "ended" => {
                w.tasks.remove(i);
            }
            _ => {}
        }
    }
}

fn start(site: &SharedSite, w: &mut MutexGuard<'_, Worker>, shard: String, attempt: u64) {
    let uid = shard.split('/').next().unwrap_or_default().to_owned();
    let jobs = site.jobs.lock().unwrap();
    let spec = jobs.get(&uid).cloned();
    let need = |name: &str, uid: &str| jobs.get(uid).map_or(0.0, |j| j.get(name).f());
    let used = |name: &str| -> f64 {
        let live = w.tasks.iter().filter(|t| t.phase != "ended");
        live.map(|t| need(name, t.shard.split('/').next().unwrap_or_default()))
            .sum()
    };
    let room = used("vcpus") + need("vcpus", &uid) <= site.config.vcpus + 1e-6
        && used("ram_gb") + need("ram_gb", &uid) <= site.config.ram_gb + 1e-6;
    let busy = w
        .tasks
        .iter()
        .any(|t| t.shard == shard && t.phase != "ended");
    drop(jobs);
    let (mut phase, mut cause, mut ends) = ("ended", "", None);
    match spec {
        None => cause = "no_such",
        Some(_) if busy => cause = "in_use",
        Some(_) if !room => cause = "no_room",
        Some(spec) => {
            let cached = w.images.contains(spec.get("bundle").str());
            let fetch = if cached {
                0.0
            } else {
                spec.get("size_gb").f() / 0.5
            };
            phase = "fetching";
            ends = Some(Instant::now() + Duration::from_secs_f64(fetch));
        }
    }
    w.tasks.push(Task {
        shard,
        attempt,
        phase,
        cause,
        ends,
    });
    w.hurry = true;
    advance(site, w);
}

fn report_loop(site: &SharedSite, worker: &Arc<Mutex<Worker>>) {
    let mut target = 0;
    let mut last: Option<Instant> = None;
    loop {
        thread::sleep(Duration::from_millis(20));
        let addresses = site.addresses();
        if addresses.is_empty() {
            continue;
        }
        let (body, tenure, tick, boot) = {
            let mut w = worker.lock().unwrap();
            if w.gone {
                return;
            }
            let since = last.map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64());
            if since < 0.5 || (!w.hurry && since < site.config.report_s) {
                continue;
            }
            w.hurry = false;
            let body = report(&mut w);
            (body.encode(), w.tenure, w.tick, w.boot)
        };
        let sent = Instant::now();
        last = Some(sent);
        let got = http::call(
            addresses[target % addresses.len()],
            "POST",
            "/checkin",
            "",
            &body,
            Duration::from_secs(4),
        );
        let mut w = worker.lock().unwrap();
        if w.gone {
            return;
        }
        if w.boot != boot {
            continue;
        }
        let got = if w.is_deaf() {
            Err("the answer is lost".to_owned())
        } else {
            got
        };
        let status = got.as_ref().map_or(0, |g| g.status);
        let said = got
            .as_ref()
            .ok()
            .and_then(|g| V::decode(&g.body))
            .unwrap_or(V::Nil);
        match status {
            200 => {
                let epoch = said.get("epoch").u();
                if epoch >= w.epoch && epoch > 0 && w.tenure == tenure {
                    w.epoch = epoch;
                    w.lease_from = w.lease_from.max(sent);
                    execute(site, &mut w, said.get("orders").list());
                }
                continue;
            }
            421 => {
                let named = said.get("upstream").str().to_owned();
                let controllers = site.controllers.lock().unwrap();
                let next = controllers.iter().position(|c| c.name == named);
                if let Some(next) = next.filter(|n| *n != target % controllers.len()) {
                    target = next;
                    last = None;
                    continue;
                }
            }
            _ => {
                let why = got.as_ref().err().cloned().unwrap_or_default();
                site.note(&format!(
                    "{}: report {tenure}.{tick} of {} bytes -> {status} {} {why}",
                    w.host,
                    body.len(),
                    said.get("error").str()
                ));
            }
        }
        drop(w);
        target += 1;
        thread::sleep(Duration::from_secs(1));
        last = None;
    }
}
