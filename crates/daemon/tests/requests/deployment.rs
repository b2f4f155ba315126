//! Real controllers on loopback, with a simulated state service and cloud.

use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use http_types::{Request, Response, StatusCode};
use oliveshift_core::{Call, Method, Target};
use oliveshift_testkit::{StateLimits, StateResponse, StateService, cloud::Cloud};

use crate::http;

/// Path of the program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_oliveshift");
/// The zone of all controllers and machines.
pub const ZONE: &str = "east";
/// The team of the submitted jobs.
pub const TEAM: &str = "red";
/// How long the controllers may take to start to serve.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a watch of the state service looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// The simulated services and the controllers, stopped when dropped.
pub struct Deployment {
    /// The controllers' addresses for users and workers.
    pub public: Vec<SocketAddr>,
    /// The controllers' addresses for each other and for operators.
    pub internal: Vec<SocketAddr>,
    controllers: Vec<Child>,
    directory: PathBuf,
    stop: Arc<AtomicBool>,
    services: Option<JoinHandle<()>>,
}

impl Deployment {
    /// Starts the services and `count` controllers, and waits until all of these are healthy.
    pub fn start(name: &str, count: usize, max_sockets: usize) -> Self {
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("oliveshift-{process}-{name}"));
        std::fs::create_dir_all(&directory).expect("a directory");
        let [state, cloud] = [free_listener(), free_listener()];
        let services = [address(&state), address(&cloud)];
        let stop = Arc::new(AtomicBool::new(false));
        let until = stop.clone();
        let thread = std::thread::spawn(move || serve_until(&until, state, cloud));
        // All ports are reserved until all are known, so that none is given out twice.
        let reserved: Vec<_> = (0..count)
            .map(|_| [free_listener(), free_listener()])
            .collect();
        let addresses: Vec<_> = reserved
            .iter()
            .map(|[public, internal]| [address(public), address(internal)])
            .collect();
        drop(reserved);
        let controllers = (0..count).map(|number| {
            let text = settings(number, &addresses, services, max_sockets);
            let path = directory.join(format!("{number}.json"));
            std::fs::write(&path, text).expect("a settings file");
            let log = std::fs::File::create(directory.join(format!("{number}.log")));
            Command::new(PROGRAM)
                .arg("--config")
                .arg(path)
                .stderr(Stdio::from(log.expect("a log file")))
                .spawn()
                .expect("the program runs")
        });
        let deployment = Self {
            public: addresses.iter().map(|[public, _]| *public).collect(),
            internal: addresses.iter().map(|[_, internal]| *internal).collect(),
            controllers: controllers.collect(),
            directory,
            stop,
            services: Some(thread),
        };
        deployment.wait_until_healthy();
        deployment
    }

    fn wait_until_healthy(&self) {
        let started = Instant::now();
        let probe = http::request("GET", "/healthz", b"");
        for addr in &self.public {
            while http::exchange(*addr, &probe, Duration::from_secs(1)) != Some(200) {
                let log = || (0..self.controllers.len()).map(|number| self.log(number));
                let waited = started.elapsed();
                assert!(waited < START_TIMEOUT, "{:?}", log().collect::<Vec<_>>());
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// The log of a controller so far.
    pub fn log(&self, controller: usize) -> String {
        let path = self.directory.join(format!("{controller}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// The most memory that a controller has had, in KiB.
    pub fn peak_memory_kib(&self, controller: usize) -> u64 {
        let path = format!("/proc/{}/status", self.controllers[controller].id());
        let status = std::fs::read_to_string(path).expect("the controller runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number
            .and_then(|n| n.parse().ok())
            .expect("a number of KiB")
    }

    /// The number of sockets that a controller has open.
    pub fn open_sockets(&self, controller: usize) -> usize {
        let path = format!("/proc/{}/fd", self.controllers[controller].id());
        let descriptors = std::fs::read_dir(path).expect("the controller runs");
        let links = descriptors
            .flatten()
            .filter_map(|d| std::fs::read_link(d.path()).ok());
        let sockets = links.filter(|to| to.to_string_lossy().starts_with("socket:"));
        sockets.count()
    }

    /// Whether all controllers are still running.
    pub fn is_running(&mut self) -> bool {
        let mut controllers = self.controllers.iter_mut();
        controllers.all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.controllers {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.services.take() {
            let _ = thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("its address")
}

fn settings(
    number: usize,
    addresses: &[[SocketAddr; 2]],
    [state, cloud]: [SocketAddr; 2],
    max_sockets: usize,
) -> String {
    let [public, internal] = addresses[number];
    let others = addresses.iter().enumerate().filter(|(i, _)| *i != number);
    let peers: Vec<_> = others
        .map(|(i, [_, at])| format!(r#"{{"member":"n-{i}","site":"{ZONE}","endpoint":"{at}"}}"#))
        .collect();
    let peers = peers.join(",");
    format!(
        r#"{{"member":"n-{number}","site":"{ZONE}","bind":"{public}","internal_addr":"{internal}",
        "members":[{peers}],"outside":{{"cloud":"{cloud}","state":"{state}"}},
        "deployment":{{"zones":["{ZONE}"],"teams":[{{"name":"{TEAM}","cpus":8,"cpus_max":64}}],
        "workers":{{"report_s":2.0,"lease_s":12.0,"cancel_s":30.0}},
        "state":{{"rps":1000,"write_rps":1000,"value_kb":16,"txn_ops":20}},
        "cloud":{{"rps":50,"list_lag_s":3}},"limits":{{"max_sockets":{max_sockets}}}}}}}"#
    )
}

/// Serves the state service and the cloud until `stop` is set.
fn serve_until(stop: &AtomicBool, state: TcpListener, cloud: TcpListener) {
    let executor = Rc::new(LocalExecutor::new());
    let started = Instant::now();
    let store = Rc::new(RefCell::new(StateService::new(StateLimits {
        txn_ops: 20,
        value_bytes: 16 * 1024,
        write_rps: 1000.0,
    })));
    let machines = Rc::new(RefCell::new(Cloud::new(&[ZONE.to_owned()], 1)));
    let answer_state = move |call| answer_state(store.clone(), started, call);
    let answer_cloud = move |call: Call| {
        let machines = machines.clone();
        async move {
            let (status, body, _) = machines.borrow_mut().execute(started.elapsed(), &call);
            (status, body)
        }
    };
    let serve_state = serve(executor.clone(), state, Target::State, answer_state);
    executor.spawn(serve_state).detach();
    let serve_cloud = serve(executor.clone(), cloud, Target::Cloud, answer_cloud);
    executor.spawn(serve_cloud).detach();
    block_on(executor.run(async {
        while !stop.load(Ordering::Relaxed) {
            Timer::after(Duration::from_millis(50)).await;
        }
    }));
}

async fn answer_state(
    store: Rc<RefCell<StateService>>,
    started: Instant,
    call: Call,
) -> (u16, Vec<u8>) {
    let response = {
        let mut store = store.borrow_mut();
        store.expire_leases(started.elapsed());
        store.execute(started.elapsed(), &call)
    };
    let (after, block) = match response {
        StateResponse::Answer(status, body) => return (status, body),
        StateResponse::Wait { after, block } => (after, block),
    };
    let until = started.elapsed() + block;
    loop {
        Timer::after(WATCH_INTERVAL).await;
        let mut store = store.borrow_mut();
        store.expire_leases(started.elapsed());
        if store.revision() > after || started.elapsed() >= until {
            return store.changes(after);
        }
    }
}

async fn serve<F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    target: Target,
    answer: impl Fn(Call) -> F + Clone + 'static,
) where
    F: Future<Output = (u16, Vec<u8>)> + 'static,
{
    let listener = Async::new(listener).expect("a listener");
    loop {
        let (tcp, _) = listener.accept().await.expect("a connection");
        let (answer, target) = (answer.clone(), target.clone());
        let connection = async move {
            let endpoint = |mut request: Request| {
                let (answer, target) = (answer.clone(), target.clone());
                async move {
                    let body = request.body_bytes().await?;
                    let (status, body) = answer(to_call(target, &request, body)).await;
                    let mut response = Response::new(StatusCode::try_from(status)?);
                    response.set_body(body);
                    Ok(response)
                }
            };
            let _ = async_h1::accept(async_dup::Arc::new(tcp), endpoint).await;
        };
        executor.spawn(connection).detach();
    }
}

fn to_call(to: Target, request: &Request, body: Vec<u8>) -> Call {
    let url = request.url();
    let query = url.query().map(|q| format!("?{q}")).unwrap_or_default();
    Call {
        id: 0,
        to,
        method: match request.method() {
            http_types::Method::Get => Method::Get,
            http_types::Method::Delete => Method::Delete,
            _ => Method::Post,
        },
        path: format!("{}{query}", url.path()),
        body,
        timeout: Duration::ZERO,
    }
}
