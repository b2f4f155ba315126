//! `oliveshift workflows` as a process on loopback, against a simulated state service and a fake
//! or simulated user API. One test kills the process during a run and starts another.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command},
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, Ordering},
        mpsc,
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use http_types::{Request, Response, StatusCode};
use oliveshift_core::{Call, Method, Target};
use oliveshift_testkit::{
    ApiClient, ApiOperation, ApiRequest, Size, StateLimits, StateResponse, StateService, World,
    tools,
};
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobSpec, JobStatus},
};
use serde_json::{Value, json};

mod support;

use support::{EXAMPLES, PROGRAM, cwl};

/// Number of jobs accepted, by class.
type AcceptedCounts = Arc<Mutex<BTreeMap<String, usize>>>;

/// A fake user API. A job is done once all jobs that it awaits are done and 700 ms have passed
/// since it was accepted.
struct FakeUserApi {
    objects: PathBuf,
    jobs: BTreeMap<JobId, (JobSpec, JobPhase, Duration)>,
    accepted: AcceptedCounts,
    failing: Option<&'static str>,
}

impl FakeUserApi {
    fn advance(&mut self, now: Duration) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let (spec, phase, since) = &self.jobs[&id];
            if *phase != JobPhase::Pending {
                continue;
            }
            let phases: Vec<_> = spec.awaits.iter().map(|a| self.jobs[a].1).collect();
            let cancelled = phases.contains(&JobPhase::Cancelled);
            let ready = phases.iter().all(|p| *p == JobPhase::Done);
            let finished = now > *since + Duration::from_millis(700);
            let spec = spec.clone();
            if cancelled || (ready && finished) {
                let phase = if cancelled {
                    JobPhase::Cancelled
                } else {
                    JobPhase::Done
                };
                if phase == JobPhase::Done {
                    self.write_results(&spec);
                }
                self.jobs.insert(id, (spec, phase, now));
            }
        }
    }

    fn write_results(&self, spec: &JobSpec) {
        let dir = self.objects.join("results").join(spec.id.as_str());
        std::fs::create_dir_all(&dir).expect("a directory");
        for i in 0..spec.tasks {
            let fails = self.failing == Some(spec.class.as_str());
            let names = tools::output_files(&spec.class).iter();
            let files =
                names.map(|n| json!([n, false, 10, format!("store://{}/{i}/{n}", spec.id)]));
            let result = json!({
                "code": if fails { 9 } else { 0 },
                "left": files.collect::<Vec<_>>(),
                "texts": {"matched.txt": "3\n"},
            });
            std::fs::write(dir.join(format!("{i}.json")), result.to_string()).expect("written");
        }
    }

    fn answer(&mut self, now: Duration, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        self.advance(now);
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        let (status, id) = match parts.as_slice() {
            ["work"] => {
                let spec = JobSpec::parse(body).expect("a job");
                let id = spec.id.clone();
                if self.jobs.contains_key(&id) {
                    (200, id)
                } else {
                    let mut accepted = self.accepted.lock().expect("not poisoned");
                    *accepted.entry(spec.class.clone()).or_default() += 1;
                    self.jobs.insert(id.clone(), (spec, JobPhase::Pending, now));
                    (201, id)
                }
            }
            ["work", id, rest @ ..] => {
                let id: JobId = id.parse().expect("an id");
                if let (["abort"], Some(job)) = (rest, self.jobs.get_mut(&id))
                    && job.1 != JobPhase::Done
                {
                    job.1 = JobPhase::Cancelled;
                }
                (200, id)
            }
            _ => return (404, Vec::new()),
        };
        let Some((_, phase, _)) = self.jobs.get(&id) else {
            return (404, Vec::new());
        };
        let job_status = JobStatus {
            id,
            phase: *phase,
            done: None,
            running: None,
        };
        (status, encode(&job_status))
    }
}

/// The simulated services, in a thread that is stopped on drop.
struct TestServices {
    state: SocketAddr,
    users: SocketAddr,
    objects: PathBuf,
    accepted: AcceptedCounts,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for TestServices {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.objects);
    }
}

async fn serve_http<F>(executor: Rc<LocalExecutor<'static>>, listener: TcpListener, answer: F)
where
    F: Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Clone + 'static,
{
    let listener = Async::new(listener).expect("a listener");
    loop {
        let (tcp, _) = listener.accept().await.expect("a connection");
        let answer = answer.clone();
        let serve = async move {
            let stream = async_dup::Arc::new(tcp);
            let _ = async_h1::accept(stream, |mut request: Request| {
                let answer = answer.clone();
                async move {
                    let body = request.body_bytes().await?;
                    let url = request.url();
                    let query = url.query().map(|q| format!("?{q}")).unwrap_or_default();
                    let path = format!("{}{query}", url.path());
                    let (status, body) = answer(request.method().as_ref(), &path, &body);
                    let status = StatusCode::try_from(status).expect("a status");
                    let mut response = Response::new(status);
                    response.set_body(body);
                    Ok(response)
                }
            })
            .await;
        };
        executor.spawn(serve).detach();
    }
}

/// Receives the answer to a request: status and body, or `None` if there is no answer.
type AnswerSender = mpsc::Sender<Option<(u16, Vec<u8>)>>;
/// A request to the user API on its way into the simulated world: path, body, and the sender for
/// the answer.
type ForwardedRequest = (String, Vec<u8>, AnswerSender);

/// Parses a request to the user API.
fn parse_request(path: &str, body: &[u8]) -> Option<ApiOperation> {
    let parts: Vec<_> = path.trim_matches('/').split('/').collect();
    Some(match parts.as_slice() {
        ["work"] => ApiOperation::Submit(Box::new(JobSpec::parse(body).ok()?)),
        ["work", id] => ApiOperation::Poll(id.parse().ok()?),
        ["work", id, "abort"] => ApiOperation::Abort(id.parse().ok()?),
        _ => return None,
    })
}

/// How many times faster than real time the simulated world runs.
const WORLD_SPEEDUP: u32 = 10;

/// Passes requests into a simulated world. Until the test ends, it also slows the world down to
/// [`WORLD_SPEEDUP`] times real time.
struct Bridge {
    requests: mpsc::Receiver<ForwardedRequest>,
    pending: BTreeMap<u64, AnswerSender>,
    next_token: u64,
    started: Instant,
    stop: Arc<AtomicBool>,
}

impl ApiClient for Bridge {
    fn step(&mut self, now: Duration) -> Vec<ApiRequest> {
        while self.started.elapsed() * WORLD_SPEEDUP < now && !self.stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut asks = Vec::new();
        while let Ok((path, body, answer)) = self.requests.try_recv() {
            let Some(what) = parse_request(&path, &body) else {
                continue;
            };
            self.next_token += 1;
            self.pending.insert(self.next_token, answer);
            asks.push(ApiRequest {
                token: self.next_token,
                what,
            });
        }
        asks
    }

    fn answered(&mut self, _: Duration, token: u64, answer: Option<(u16, Vec<u8>)>) {
        if let Some(sender) = self.pending.remove(&token) {
            // The requester may have given up.
            let _ = sender.send(answer);
        }
    }
}

/// The user API of real controllers, in a simulated world that runs in its own thread.
struct SimulatedControllers {
    sender: mpsc::Sender<ForwardedRequest>,
    specs: BTreeMap<JobId, JobSpec>,
    api: FakeUserApi,
}

impl SimulatedControllers {
    fn new(api: FakeUserApi, stop: Arc<AtomicBool>) -> Self {
        let (sender, requests) = mpsc::channel();
        std::thread::spawn(move || {
            let size = Size {
                jobs: 0,
                ..Size::SMALL
            };
            let mut world = World::sized(size, 15, Duration::ZERO, Vec::new(), None);
            world.set_api_client(Bridge {
                requests,
                pending: BTreeMap::new(),
                next_token: 0,
                started: Instant::now(),
                stop,
            });
            let outcome = world.run(Duration::from_secs(1200));
            assert_eq!(outcome.violations, vec![]);
        });
        Self {
            sender,
            specs: BTreeMap::new(),
            api,
        }
    }

    /// Passes a request to the controllers and waits for the answer, for up to 4 s.
    fn answer(&mut self, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if let Some(ApiOperation::Submit(spec)) = parse_request(path, body) {
            let mut accepted = self.api.accepted.lock().expect("not poisoned");
            if self
                .specs
                .insert(spec.id.clone(), (*spec).clone())
                .is_none()
            {
                *accepted.entry(spec.class.clone()).or_default() += 1;
            }
        }
        let (send, receive) = mpsc::channel();
        if self
            .sender
            .send((path.to_owned(), body.to_vec(), send))
            .is_err()
        {
            return (503, Vec::new());
        }
        let Ok(Some((status, body))) = receive.recv_timeout(Duration::from_secs(4)) else {
            return (503, Vec::new());
        };
        if let Ok(job_status) = decode::<JobStatus>(&body)
            && job_status.phase == JobPhase::Done
        {
            // Agents write their results before they report a task as done.
            self.api.write_results(&self.specs[&job_status.id]);
        }
        (status, body)
    }
}

/// The implementation of the user API.
enum UserApi {
    Fake(FakeUserApi),
    Simulated(Box<SimulatedControllers>),
}

impl UserApi {
    fn answer(&mut self, now: Duration, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        match self {
            Self::Fake(api) => api.answer(now, path, body),
            Self::Simulated(controllers) => controllers.answer(path, body),
        }
    }
}

fn start_services(name: &str, failing: Option<&'static str>) -> TestServices {
    start_services_with(name, failing, false)
}

fn start_services_with(
    name: &str,
    failing: Option<&'static str>,
    controllers: bool,
) -> TestServices {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (state, users) = (bind(), bind());
    let addr = |l: &TcpListener| l.local_addr().expect("its address");
    let objects = std::env::temp_dir().join(format!("oliveshift-wf-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&objects).expect("a directory");
    let accepted = AcceptedCounts::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut services = TestServices {
        state: addr(&state),
        users: addr(&users),
        objects: objects.clone(),
        accepted: accepted.clone(),
        stop: stop.clone(),
        thread: None,
    };
    services.thread = Some(std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let started = Instant::now();
        let store = Rc::new(RefCell::new(StateService::new(StateLimits {
            txn_ops: 20,
            value_bytes: 16 * 1024,
            write_rps: 100.0,
        })));
        let api = FakeUserApi {
            objects,
            jobs: BTreeMap::new(),
            accepted,
            failing,
        };
        let api = match controllers {
            true => UserApi::Simulated(Box::new(SimulatedControllers::new(api, stop.clone()))),
            false => UserApi::Fake(api),
        };
        let api = Rc::new(RefCell::new(api));
        let answer_state = move |method: &str, path: &str, body: &[u8]| {
            let call = Call {
                id: 0,
                to: Target::State,
                method: if method == "GET" {
                    Method::Get
                } else {
                    Method::Post
                },
                path: path.to_owned(),
                body: body.to_vec(),
                timeout: Duration::ZERO,
            };
            let mut store = store.borrow_mut();
            store.expire_leases(started.elapsed());
            match store.execute(started.elapsed(), &call) {
                StateResponse::Answer(status, body) => (status, body),
                StateResponse::Wait { .. } => (503, Vec::new()),
            }
        };
        let answer_users = move |_: &str, path: &str, body: &[u8]| {
            api.borrow_mut().answer(started.elapsed(), path, body)
        };
        executor
            .spawn(serve_http(executor.clone(), state, answer_state))
            .detach();
        executor
            .spawn(serve_http(executor.clone(), users, answer_users))
            .detach();
        block_on(executor.run(async {
            while !stop.load(Ordering::Relaxed) {
                Timer::after(Duration::from_millis(50)).await;
            }
        }));
    }));
    services
}

/// A running instance of the workflow service, killed on drop.
struct Instance {
    child: Child,
    addr: SocketAddr,
    config: PathBuf,
    log: PathBuf,
}

impl Instance {
    /// Submits an example and returns the run id; panics with the answer and the instance's log
    /// unless it is accepted.
    fn submit_example(&self, example: &str) -> String {
        let (status, answer) = submit(self.addr, example, None);
        let run = answer["run_id"].as_str().filter(|_| status == 200);
        let run = run.unwrap_or_else(|| {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            panic!("{example} was not accepted: status {status}, {answer}; the log:\n{log}")
        });
        run.to_owned()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let state = self.child.try_wait();
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("the instance at {}: {state:?}; its log:\n{log}", self.addr);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.log);
    }
}

/// A loopback address that only one instance uses. On a shared address, the free port found for
/// an instance could be bound by a simulated service of another test before the program bound
/// it, and that service answered in place of the instance.
fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(number < 64, "too many instances");
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + number, middle, low)
}

fn start_instance(services: &TestServices, name: &str) -> Instance {
    let listener = TcpListener::bind((unique_loopback_address(), 0)).expect("a free port");
    let addr = listener.local_addr().expect("its address");
    drop(listener);
    let config = services.objects.join(format!("{name}.toml"));
    let log = services.objects.join(format!("{name}.log"));
    let text = format!(
        "name = \"wf-0\"\nlisten = \"{addr}\"\nstate = \"{}\"\nusers = [\"{}\"]\nobjects = \"{}\"\n\
         defaults = {{ team = \"partners\", class = \"cwl\" }}\n\
         limits = {{ store_per_s = 100, writes_per_s = 50, lease_s = 2, ranges = 2 }}\n",
        services.state,
        services.users,
        services.objects.display()
    );
    std::fs::write(&config, text).expect("a file");
    let child = Command::new(PROGRAM)
        .args(["workflows", "--config"])
        .arg(&config)
        .stderr(File::create(&log).expect("a file"))
        .spawn()
        .expect("the program runs");
    let instance = Instance {
        child,
        addr,
        config,
        log,
    };
    // Only an answer shows that the instance listens: a process that another test is starting may
    // hold a copy of the listener dropped above until it executes its program. It accepts
    // connections that nobody answers, and the instance cannot bind the port yet.
    for _ in 0..600 {
        if matches!(
            try_http(addr, "GET", "/service-info", "text/plain", b""),
            Ok((200, _))
        ) {
            return instance;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the instance does not listen on {addr}");
}

/// Sends a request and returns the status and the JSON body of the answer.
fn http(addr: SocketAddr, method: &str, path: &str, kind: &str, body: &[u8]) -> (u16, Value) {
    try_http(addr, method, path, kind, body).expect("a connection")
}

/// Like [`http`]; an error if the request cannot be sent.
fn try_http(
    addr: SocketAddr,
    method: &str,
    path: &str,
    kind: &str,
    body: &[u8],
) -> std::io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect(addr)?;
    let timeout = Some(Duration::from_secs(40));
    stream.set_read_timeout(timeout)?;
    let head = format!(
        "{method} /ga4gh/wes/v1{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: {kind}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let _ = stream.shutdown(Shutdown::Both);
    let text = String::from_utf8_lossy(&bytes);
    let status = text.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
    let json = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, serde_json::from_str(json).unwrap_or_default()))
}

fn get(addr: SocketAddr, path: &str) -> (u16, Value) {
    http(addr, "GET", path, "text/plain", b"")
}

/// Submits an example over HTTP; retries while the service answers with status 503.
fn submit(addr: SocketAddr, example: &str, params: Option<Value>) -> (u16, Value) {
    let mut body = String::new();
    let mut part = |name: &str, file: Option<&str>, text: &str| {
        let file = file
            .map(|f| format!("; filename=\"{f}\""))
            .unwrap_or_default();
        body += &format!(
            "--zz\r\ncontent-disposition: form-data; name=\"{name}\"{file}\r\n\r\n{text}\r\n"
        );
    };
    // The teams of the examples are replaced by teams of the simulated world.
    let read = |path: &str| {
        let text =
            std::fs::read_to_string(Path::new(EXAMPLES).join(path)).expect("an example file");
        text.replace("network-ops", "red")
            .replace("transcription", "blue")
    };
    let inputs = oliveshift_cwl::load::values("i", &read(&format!("{example}.inputs.yaml")));
    let inputs = params.unwrap_or_else(|| inputs.expect("valid inputs").to_value());
    part("workflow_params", None, &inputs.to_string());
    part("workflow_type", None, "CWL");
    part("workflow_type_version", None, "v1.2");
    part("workflow_url", None, &format!("{example}.cwl"));
    part(
        "workflow_attachment",
        Some(&format!("{example}.cwl")),
        &read(&format!("{example}.cwl")),
    );
    for tool in [
        "trace-repair",
        "noise-survey",
        "phase-picking",
        "catalog-merge",
    ] {
        let path = format!("tools/{tool}.cwl");
        part("workflow_attachment", Some(&path), &read(&path));
    }
    body += "--zz--\r\n";
    for _ in 0..100 {
        let kind = "multipart/form-data; boundary=zz";
        let (status, answer) = http(addr, "POST", "/runs", kind, body.as_bytes());
        if status != 503 {
            return (status, answer);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("the submission of {example} is never accepted");
}

fn run_state(addr: SocketAddr, run: &str) -> String {
    let (_, status) = get(addr, &format!("/runs/{run}/status"));
    status["state"].as_str().unwrap_or_default().to_owned()
}

fn wait_for_end(addr: SocketAddr, run: &str) -> String {
    for _ in 0..600 {
        let state = run_state(addr, run);
        if !["RUNNING", "CANCELING", ""].contains(&state.as_str()) {
            return state;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("{run} does not end");
}

#[test]
fn a_run_is_taken_over_by_another_instance() {
    let services = start_services("survives", None);
    let first = start_instance(&services, "first");
    let run = first.submit_example("waveform-to-catalog");
    assert_eq!(run_state(first.addr, &run), "RUNNING");
    // Waits until the first job has been submitted.
    for _ in 0..200 {
        if !services.accepted.lock().expect("not poisoned").is_empty() {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(first);
    let second = start_instance(&services, "second");
    assert_eq!(wait_for_end(second.addr, &run), "COMPLETE");
    let (_, log) = get(second.addr, &format!("/runs/{run}"));
    assert_eq!(log["outputs"]["event"]["basename"], "event.xml", "{log}");
    assert_eq!(log["outputs"]["noise"].as_array().map(Vec::len), Some(3));
    assert_eq!(log["task_logs"].as_array().map(Vec::len), Some(4));
    assert!(
        log["run_log"]["end_time"]
            .as_str()
            .is_some_and(|t| t.ends_with('Z'))
    );
    // Each step was accepted as one job, whichever instance submitted it.
    let accepted = services.accepted.lock().expect("not poisoned").clone();
    let once = [
        "catalog-merge",
        "noise-survey",
        "phase-picking",
        "trace-repair",
    ];
    assert_eq!(accepted, once.map(|c| (c.to_owned(), 1)).into());
    let (_, list) = get(second.addr, "/runs");
    assert_eq!(list["runs"][0]["run_id"], run.as_str());
    let at = second.addr.to_string();
    let (code, out, _) = cwl(&["runs", "--at", &at]);
    assert_eq!(code, Some(0));
    assert!(out.starts_with(&format!("{run}  COMPLETE")), "{out}");
    let (_, info) = get(second.addr, "/service-info");
    assert_eq!(info["supported_wes_versions"], json!(["1.1.0"]));
}

/// Runs both examples on real controllers in a simulated world at ten times real time.
#[test]
fn controllers_run_the_examples() {
    let services = start_services_with("controllers", None, true);
    let wf = start_instance(&services, "one");
    let runs = ["waveform-to-catalog", "sheet-to-portal"].map(|example| wf.submit_example(example));
    for run in &runs {
        let end = wait_for_end(wf.addr, run);
        assert_eq!(
            end,
            "COMPLETE",
            "{}",
            get(wf.addr, &format!("/runs/{run}")).1
        );
    }
    let accepted = services.accepted.lock().expect("not poisoned").clone();
    assert_eq!(
        accepted.values().collect::<Vec<_>>(),
        [&1; 8],
        "{accepted:?}"
    );
}

#[test]
fn runs_are_submitted_followed_and_listed_on_the_command_line() {
    let services = start_services("commands", Some("publish-batch"));
    let wf = start_instance(&services, "one");
    let at = wf.addr.to_string();
    let run = |name: &str| {
        let (document, inputs) = (format!("{name}.cwl"), format!("{name}.inputs.yaml"));
        cwl(&["run", &document, &inputs, "--at", &at])
    };
    let (code, out, err) = run("waveform-to-catalog");
    assert_eq!(code, Some(0), "{err}");
    let outputs: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(outputs["event"]["basename"], "event.xml");
    assert!(
        err.contains("submitted") && err.contains("survey: 3 tasks of 2 CPUs"),
        "{err}"
    );
    let (code, out, err) = run("sheet-to-portal");
    assert_eq!((code, out.as_str()), (Some(3), ""));
    assert!(
        err.contains("is EXECUTOR_ERROR: publish: exit code 9"),
        "{err}"
    );
    let (code, _, err) = cwl(&["cancel", "run-0-0000000000000001", "--at", &at]);
    assert_eq!(code, Some(5));
    assert!(err.contains("refuses: no such run"), "{err}");
    drop(wf);
    let (code, _, err) = cwl(&["runs", "--at", &at]);
    assert_eq!(code, Some(4));
    assert!(err.contains("cannot be reached"), "{err}");
}

#[test]
fn runs_that_fail_are_cancelled_or_refused() {
    let services = start_services("fails", Some("taxon-match"));
    let wf = start_instance(&services, "one");
    let run = wf.submit_example("sheet-to-portal");
    let other = wf.submit_example("waveform-to-catalog");
    let (status, _) = http(
        wf.addr,
        "POST",
        &format!("/runs/{other}/cancel"),
        "text/plain",
        b"",
    );
    assert_eq!(status, 200);
    assert_eq!(wait_for_end(wf.addr, &other), "CANCELED");
    assert_eq!(wait_for_end(wf.addr, &run), "EXECUTOR_ERROR");
    let (_, log) = get(wf.addr, &format!("/runs/{run}"));
    assert_eq!(
        log["run_log"]["system_logs"],
        json!(["match: exit code 9"]),
        "{log}"
    );
    assert!(
        !services
            .accepted
            .lock()
            .expect("not poisoned")
            .contains_key("publish-batch")
    );

    let (status, problem) = submit(wf.addr, "sheet-to-portal", Some(json!({"sheets": 3})));
    assert_eq!(status, 400);
    let reason = problem["msg"].as_str().unwrap_or_default();
    assert!(
        reason.contains("sheets: File[] is expected, not 3"),
        "{reason}"
    );
    for (method, path, expected) in [
        ("GET", "/runs/run-0-0000000000000001", 404),
        ("GET", "/runs/run-0-0000000000000001/status", 404),
        ("POST", "/runs/run-0-0000000000000001/cancel", 404),
        ("GET", "/runs/nonsense", 404),
        ("POST", "/runs", 400),
        ("GET", "/runs?page_token=etc", 400),
        ("DELETE", "/runs", 404),
    ] {
        let (status, problem) = http(wf.addr, method, path, "text/plain", b"x");
        assert_eq!(
            (status, &problem["status_code"]),
            (expected, &json!(expected)),
            "{method} {path}"
        );
    }
}

/// What a proxy does with one connection to an instance.
#[derive(Clone, Copy, Debug)]
enum ConnectionFault {
    /// It passes a part of the request on, then closes both sides.
    RequestCut,
    /// It passes the request on and closes the connection without the answer.
    AnswerLost,
    /// It passes a part of the answer's head back, then closes the connection.
    AnswerCut,
    /// It passes the answer back but its last byte, then closes the connection.
    BodyCut,
    /// It passes the request and the answer on.
    None,
}

/// Number of bytes of a request or an answer that get through a connection that is cut.
const BYTES_BEFORE_CUT: usize = 40;

/// Passes connections on to an instance, with a fault for each; the last one applies to all that
/// follow.
fn start_proxy(to: SocketAddr, faults: Vec<ConnectionFault>) -> SocketAddr {
    let listener = TcpListener::bind((unique_loopback_address(), 0)).expect("a free port");
    let addr = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for (i, client) in listener.incoming().enumerate() {
            let fault = faults[i.min(faults.len() - 1)];
            if let Ok(client) = client {
                let _ = pass_connection(client, to, fault);
            }
        }
    });
    addr
}

fn pass_connection(
    mut client: TcpStream,
    to: SocketAddr,
    fault: ConnectionFault,
) -> std::io::Result<()> {
    let mut server = TcpStream::connect(to)?;
    let request = read_request(&mut client)?;
    if let ConnectionFault::RequestCut = fault {
        return server.write_all(&request[..BYTES_BEFORE_CUT]);
    }
    server.write_all(&request)?;
    let mut answer = vec![0; 64 * 1024];
    let mut len = server.read(&mut answer)?;
    // The rest of an answer whose head and body come apart.
    server.set_read_timeout(Some(Duration::from_millis(200)))?;
    while let Ok(more @ 1..) = server.read(&mut answer[len..]) {
        len += more;
    }
    match fault {
        ConnectionFault::RequestCut | ConnectionFault::AnswerLost => Ok(()),
        ConnectionFault::AnswerCut => client.write_all(&answer[..BYTES_BEFORE_CUT]),
        ConnectionFault::BodyCut => client.write_all(&answer[..len - 1]),
        ConnectionFault::None => client.write_all(&answer[..len]),
    }
}

/// Reads a request with its body, whose length its head tells.
fn read_request(client: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let len = client.read(&mut buffer)?;
        request.extend(&buffer[..len]);
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length: usize = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
        if len == 0 || body.len() >= length {
            return Ok(request);
        }
    }
}

/// Guards against a second run of a submission whose connection was dropped: at each step of it, and
/// when the command is repeated by its user.
#[test]
fn a_dropped_connection_does_not_start_a_second_run() {
    let services = start_services("drops", None);
    let wf = start_instance(&services, "one");
    // A document without its inputs is refused as invalid once the instance holds a range.
    let (status, _) = submit(wf.addr, "waveform-to-catalog", Some(json!({})));
    assert_eq!(status, 400);
    let faults = vec![
        ConnectionFault::RequestCut,
        ConnectionFault::AnswerLost,
        ConnectionFault::AnswerCut,
        ConnectionFault::BodyCut,
        ConnectionFault::None,
    ];
    let proxy = start_proxy(wf.addr, faults).to_string();
    let at = wf.addr.to_string();
    let run = |at: &str, inputs: &str, key: &str| {
        let document = "waveform-to-catalog.cwl";
        let key = ["--idempotency-key", key];
        let args = [
            "run", document, inputs, "--at", at, "--detach", key[0], key[1],
        ];
        cwl(&args)
    };
    let inputs = "waveform-to-catalog.inputs.yaml";
    let (code, first, err) = run(&proxy, inputs, "alert-1");
    assert_eq!(code, Some(0), "{err}");
    let (code, second, err) = run(&at, inputs, "alert-1");
    assert_eq!((code, second.as_str()), (Some(0), first.as_str()), "{err}");
    let (_, list) = get(wf.addr, "/runs");
    assert_eq!(list["runs"].as_array().map(Vec::len), Some(1), "{list}");
    assert_eq!(wait_for_end(wf.addr, first.trim()), "COMPLETE");
    let accepted = services.accepted.lock().expect("not poisoned").clone();
    assert_eq!(
        accepted.values().collect::<Vec<_>>(),
        [&1; 4],
        "{accepted:?}"
    );
    let other = services.objects.join("other.yaml");
    let text = std::fs::read_to_string(Path::new(EXAMPLES).join(inputs)).expect("the inputs");
    std::fs::write(&other, text.replace("shared.xml", "other.xml")).expect("written");
    let (code, _, err) = run(&at, &other.display().to_string(), "alert-1");
    assert_eq!(code, Some(5), "{err}");
    assert!(err.contains("another document or other inputs"), "{err}");
    let (code, _, err) = run(&at, inputs, "not a key");
    assert_eq!(code, Some(2), "{err}");
    assert!(err.contains("not an idempotency key"), "{err}");
}

#[test]
fn a_complete_submission_whose_client_ends_writing_is_read() {
    let services = start_services("half-closed", None);
    let instance = start_instance(&services, "half-closed");
    let mut stream = TcpStream::connect(instance.addr).expect("a connection");
    let body =
        "--zz\r\ncontent-disposition: form-data; name=\"workflow_type\"\r\n\r\nCWL\r\n--zz--\r\n";
    let request = format!(
        "POST /ga4gh/wes/v1/runs HTTP/1.1\r\nhost: x\r\n\
         content-type: multipart/form-data; boundary=zz\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("half-closed");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    // It was read to its end: what it lacks is named.
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("workflow_type_version"), "{answer}");
}

#[test]
fn a_submission_that_did_not_arrive_completely_is_not_called_malformed() {
    let services = start_services("incomplete", None);
    let instance = start_instance(&services, "incomplete");
    let part = "--zz\r\ncontent-disposition: form-data; name=\"workflow_type\"\r\n\r\nCWL\r\n";
    let framings = [
        format!("content-length: 1000\r\n\r\n{part}"),
        format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{part}\r\n",
            part.len()
        ),
    ];
    for framing in framings {
        let mut stream = TcpStream::connect(instance.addr).expect("a connection");
        let head = "POST /ga4gh/wes/v1/runs HTTP/1.1\r\nhost: x\r\n\
                    content-type: multipart/form-data; boundary=zz\r\n";
        let request = format!("{head}{framing}");
        stream.write_all(request.as_bytes()).expect("sent");
        stream.shutdown(Shutdown::Write).expect("half-closed");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
            "{answer}"
        );
    }
}
