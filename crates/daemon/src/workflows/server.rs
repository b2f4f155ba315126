//! Carries what goes in and out of the state machine, and speaks WES.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use futures_lite::{AsyncReadExt, FutureExt, stream::once};
use http_types::{Method as HttpMethod, Request, Response, StatusCode, headers, mime};
use oliveshift_core::{Call, Method, Reply as CoreReply, Target};
use oliveshift_wire::{
    encode,
    wes::{self, BASE, State},
};
use oliveshift_workflow::{
    api::{self, Reply},
    records::{Bundle, RunId, RunState, Whole},
    service::{Answer, Ask, AskId, Input, MAX_BUNDLE, Output, Service},
};
use serde::Serialize;

use super::{config::Config, object_store::ObjectStore};
use crate::{
    client::Client,
    stream::{self, Stream},
};

/// How often the state machine hears that time has passed.
const TICK: Duration = Duration::from_millis(100);
/// How long the state service and the users' API may take.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long a partner may take over a request, and be silent.
const PARTNER_PATIENCE: Duration = Duration::from_secs(30);
/// When a partner is told to come back if no answer was found.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// The most partners at a time.
const MOST_PARTNERS: usize = 256;

struct WesServer {
    executor: LocalExecutor<'static>,
    service: RefCell<Service>,
    client: Client,
    object_store: ObjectStore,
    config: Config,
    started: Instant,
    waiting: RefCell<HashMap<AskId, Sender<Answer>>>,
    next: Cell<u64>,
    partners: Cell<usize>,
}

/// Runs until the process is killed.
pub fn run(config: Config) -> ExitCode {
    let seed = fastrand::u64(..);
    let server = Rc::new(WesServer {
        executor: LocalExecutor::new(),
        service: RefCell::new(Service::new(config.settings(), seed)),
        client: Client::default(),
        object_store: ObjectStore(config.objects.clone()),
        started: Instant::now(),
        waiting: RefCell::default(),
        next: Cell::new(0),
        partners: Cell::new(0),
        config,
    });
    log::info!(
        "{}: serving workflows on {}",
        server.config.name,
        server.config.listen
    );
    let tasks = server.clone();
    block_on(tasks.executor.run(async move {
        server.executor.spawn(server.clone().listen()).detach();
        let mut ticks = 0u32;
        loop {
            server.input(Input::Tick);
            Timer::after(TICK).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(100) {
                server.client.prune();
            }
        }
    }))
}

impl WesServer {
    fn input(self: &Rc<Self>, input: Input) {
        let day = SystemTime::now().duration_since(UNIX_EPOCH);
        let day_s = day.unwrap_or_default().as_secs();
        let now = self.started.elapsed();
        let outputs = self.service.borrow_mut().handle(now, day_s, input);
        for output in outputs {
            match output {
                Output::Answer(asker, answer) => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&asker) {
                        let _ = waiting.try_send(answer);
                    }
                }
                other => {
                    let server = self.clone();
                    self.executor.spawn(server.carry_out(other)).detach();
                }
            }
        }
    }

    /// Does what the state machine wants of others and tells it what came of
    /// it.
    async fn carry_out(self: Rc<Self>, output: Output) {
        let input = match output {
            Output::Store(call, ask) => {
                let request = api::store_request(&ask);
                let reply = self
                    .send(Target::State, request.method, request.path, request.body)
                    .await;
                Input::Store(call, api::store_reply(&ask, reply))
            }
            Output::Submit(call, spec) => {
                let path = "/work".to_owned();
                Input::Job(call, self.ask_users("POST", path, encode(&*spec)).await)
            }
            Output::Poll(call, id) => {
                let path = format!("/work/{id}");
                Input::Job(call, self.ask_users("GET", path, Vec::new()).await)
            }
            Output::Abort(call, id) => {
                let path = format!("/work/{id}/abort");
                Input::Job(call, self.ask_users("POST", path, Vec::new()).await)
            }
            Output::Results(call, id, tasks) => {
                Input::Results(call, self.object_store.results(&id, tasks))
            }
            Output::Text(call, location) => Input::Text(call, self.object_store.text(&location)),
            Output::Answer(..) => return,
        };
        self.input(input);
    }

    async fn ask_users(
        &self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> oliveshift_workflow::active::JobReply {
        let target = Target::Peer(String::new());
        api::job_reply(self.send(target, method, path, body).await)
    }

    async fn send(&self, to: Target, method: &str, path: String, body: Vec<u8>) -> Reply {
        let addr = match to {
            Target::State => self.config.state,
            _ => {
                // One after the other, so that a dead one costs its part only.
                let next = self.next.get();
                self.next.set(next + 1);
                self.config.users[next as usize % self.config.users.len()]
            }
        };
        let call = Call {
            id: 0,
            to,
            method: if method == "GET" {
                Method::Get
            } else {
                Method::Post
            },
            path,
            body,
            timeout: PATIENCE,
        };
        let (reply, after) = self.client.call_told(addr.into(), &call).await;
        match reply {
            CoreReply::Answer { status, body } => Reply::Answer(status, body, after),
            CoreReply::NotSent => Reply::NotSent,
            CoreReply::Lost => Reply::Lost,
        }
    }

    async fn listen(self: Rc<Self>) {
        let listener = stream::bind(self.config.listen).await;
        loop {
            let tcp = stream::accept(&listener).await;
            if self.partners.get() >= MOST_PARTNERS {
                continue;
            }
            self.partners.set(self.partners.get() + 1);
            let server = self.clone();
            let serve = async move {
                server.serve(Stream::new(tcp)).await;
                server.partners.set(server.partners.get() - 1);
            };
            self.executor.spawn(serve).detach();
        }
    }

    async fn serve(self: &Rc<Self>, stream: Stream) {
        let endpoint = |request| async { Ok(self.answer(request).await) };
        let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
        loop {
            stream.allow(MAX_BUNDLE + 64 * 1024);
            let one = async { server.accept_one().await.ok() };
            let late = async {
                Timer::after(PARTNER_PATIENCE).await;
                None
            };
            match one.or(late).await {
                Some(async_h1::server::ConnectionStatus::KeepAlive) => {}
                _ => break,
            }
        }
    }

    async fn answer(self: &Rc<Self>, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        let Some(path) = path.strip_prefix(BASE) else {
            return problem(404, "no such path");
        };
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (HttpMethod::Get, ["service-info"]) => json(&self.info()),
            (HttpMethod::Get, ["runs"]) => self.list(&request).await,
            (HttpMethod::Post, ["runs"]) => match self.bundle(&mut request).await {
                Ok(bundle) => {
                    let answer = self.ask(Ask::Submit(Box::new(bundle))).await;
                    told(answer)
                }
                Err(why) => problem(400, &why),
            },
            (method, ["runs", id, rest @ ..]) => {
                let Ok(id) = id.parse::<RunId>() else {
                    return problem(404, "no such run");
                };
                let ask = match (method, rest) {
                    (HttpMethod::Get, []) => Ask::Log(id),
                    (HttpMethod::Get, ["status"]) => Ask::Status(id),
                    (HttpMethod::Post, ["cancel"]) => {
                        // Of a run that there is not, nothing is written.
                        match self.ask(Ask::Status(id)).await {
                            Answer::Is(_) => Ask::Cancel(id),
                            other => return told(other),
                        }
                    }
                    _ => return problem(404, "no such path"),
                };
                match self.ask(ask).await {
                    Answer::Is(record) => json(&wes::RunStatus {
                        run_id: id.to_string(),
                        state: shown(record.state),
                    }),
                    Answer::Cancelling => json(&wes::RunId {
                        run_id: id.to_string(),
                    }),
                    Answer::Log(log) => json(&run_log(id, *log)),
                    other => told(other),
                }
            }
            _ => problem(404, "no such path"),
        }
    }

    async fn ask(self: &Rc<Self>, ask: Ask) -> Answer {
        let asker = self.next.get();
        self.next.set(asker + 1);
        let (send, receive) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(asker, send);
        self.input(Input::Ask(asker, ask));
        let late = async {
            Timer::after(ANSWER_WITHIN).await;
            Answer::ComeBack(PATIENCE)
        };
        let answer = async {
            let answer = receive.recv().await;
            answer.unwrap_or(Answer::ComeBack(PATIENCE))
        };
        let answer = answer.or(late).await;
        self.waiting.borrow_mut().remove(&asker);
        answer
    }

    async fn list(self: &Rc<Self>, request: &Request) -> Response {
        let token = request
            .url()
            .query_pairs()
            .find(|(name, _)| name == "page_token");
        let token = token
            .map(|(_, token)| token.into_owned())
            .filter(|t| !t.is_empty());
        if token
            .as_ref()
            .is_some_and(|t| !t.starts_with("wf/r/") || t.contains(['&', '?', '#', ' ']))
        {
            return problem(400, "not a token of a page before");
        }
        match self.ask(Ask::List(token)).await {
            Answer::Runs(runs, next) => {
                let runs = runs.into_iter().map(|(id, record)| wes::RunSummary {
                    run_id: id.to_string(),
                    state: shown(record.state),
                    start_time: time(record.begun_s),
                    end_time: record.ended_s.map(time),
                    tags: BTreeMap::new(),
                });
                json(&wes::RunList {
                    runs: runs.collect(),
                    next_page_token: next.unwrap_or_default(),
                })
            }
            other => told(other),
        }
    }

    fn info(&self) -> wes::ServiceInfo {
        let version = env!("CARGO_PKG_VERSION").to_owned();
        let cwl = wes::TypeVersions {
            workflow_type_version: vec![oliveshift_cwl::load::VERSION.to_owned()],
        };
        let engine = wes::EngineVersions {
            workflow_engine_version: vec![version.clone()],
        };
        let under_way = self.service.borrow().under_way();
        wes::ServiceInfo {
            id: "oliveshift.workflows".into(),
            name: self.config.name.clone(),
            kind: wes::ServiceType {
                group: "org.ga4gh".into(),
                artifact: "wes".into(),
                version: wes::VERSION.into(),
            },
            organization: wes::Organization {
                name: "oliveshift".into(),
                url: "https://oliveshift.example".into(),
            },
            version,
            workflow_type_versions: [("CWL".to_owned(), cwl)].into(),
            supported_wes_versions: vec![wes::VERSION.into()],
            supported_filesystem_protocols: vec!["store".into()],
            workflow_engine_versions: [("oliveshift".to_owned(), engine)].into(),
            default_workflow_engine_parameters: Vec::new(),
            system_state_counts: [(State::Running, under_way)].into(),
            auth_instructions_url: "https://oliveshift.example".into(),
            tags: BTreeMap::new(),
        }
    }

    /// The document and inputs that a partner hands in.
    async fn bundle(&self, request: &mut Request) -> Result<Bundle, String> {
        let kind = request.header(headers::CONTENT_TYPE);
        let kind = kind.map(|k| k.as_str().to_owned()).unwrap_or_default();
        let boundary = multer::parse_boundary(kind);
        let boundary = boundary.map_err(|_| "multipart/form-data is expected".to_owned())?;
        let mut body = Vec::new();
        let mut taken = request.take_body().take(MAX_BUNDLE as u64 + 1);
        let read = taken.read_to_end(&mut body).await;
        read.map_err(|e| format!("the body can't be read: {e}"))?;
        if body.len() > MAX_BUNDLE {
            return Err(format!("larger than {MAX_BUNDLE} bytes"));
        }
        let body = once(Ok::<_, std::io::Error>(body));
        let mut parts = multer::Multipart::new(body, boundary);
        let mut bundle = Bundle {
            main: String::new(),
            files: BTreeMap::new(),
            inputs: serde_json::Value::Null,
            defaults: self.config.defaults.clone(),
        };
        let (mut kind, mut version) = (String::new(), String::new());
        while let Some(part) = parts.next_field().await.map_err(|e| e.to_string())? {
            let name = part.name().unwrap_or_default().to_owned();
            let file = part.file_name().map(str::to_owned);
            let text = part.text().await.map_err(|e| e.to_string())?;
            match name.as_str() {
                "workflow_params" => {
                    let inputs = serde_json::from_str(&text);
                    bundle.inputs = inputs.map_err(|e| format!("workflow_params: {e}"))?;
                }
                "workflow_type" => kind = text,
                "workflow_type_version" => version = text,
                "workflow_url" => bundle.main = text,
                "workflow_attachment" => {
                    let file = file.ok_or("a workflow_attachment needs a file name")?;
                    bundle.files.insert(file, text);
                }
                // Tags and parameters of engines change nothing here.
                _ => {}
            }
        }
        if kind != "CWL" || version != oliveshift_cwl::load::VERSION {
            let known = oliveshift_cwl::load::VERSION;
            return Err(format!("workflow_type CWL, version {known}, is understood"));
        }
        if bundle.main.is_empty() {
            return Err("workflow_url is missing: name one of the attachments".into());
        }
        Ok(bundle)
    }
}

/// A state as partners see it.
fn shown(state: RunState) -> State {
    match state {
        // What runs is still being ended, and how it ends is certain only then.
        RunState::Running | RunState::Failing => State::Running,
        RunState::Canceling => State::Canceling,
        RunState::Complete => State::Complete,
        RunState::ExecutorError => State::ExecutorError,
        RunState::SystemError => State::SystemError,
        RunState::Canceled => State::Canceled,
    }
}

fn time(day_s: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(day_s)).to_string()
}

fn run_log(id: RunId, log: Whole) -> wes::RunLog {
    let record = &log.record;
    let reason = record.failed().map(|f| match f.step.as_str() {
        "" => f.reason,
        step => format!("{step}: {}", f.reason),
    });
    let tasks = log.jobs.iter().map(|job| wes::TaskLog {
        id: job.spec.id.to_string(),
        name: job.step.clone(),
        system_logs: vec![format!(
            "{} tasks of {} CPUs",
            job.spec.tasks, job.spec.cpus
        )],
    });
    wes::RunLog {
        run_id: id.to_string(),
        state: shown(record.state),
        run_log: wes::Log {
            name: log.bundle.main.clone(),
            start_time: Some(time(record.begun_s)),
            end_time: record.ended_s.map(time),
            system_logs: reason.into_iter().collect(),
        },
        task_logs: tasks.collect(),
        outputs: log.outputs,
        request: wes::RunRequest {
            workflow_params: log.bundle.inputs,
            workflow_type: "CWL".into(),
            workflow_type_version: oliveshift_cwl::load::VERSION.into(),
            workflow_url: log.bundle.main,
        },
    }
}

/// Answers that are the same for all requests.
fn told(answer: Answer) -> Response {
    match answer {
        Answer::Begun(id) => json(&wes::RunId {
            run_id: id.to_string(),
        }),
        Answer::Bad(why) => problem(400, &why),
        Answer::Unknown => problem(404, "no such run"),
        Answer::ComeBack(after) => {
            let mut response = problem(503, "not now; come back later");
            let after = after.as_secs().max(1).to_string();
            response.insert_header(headers::RETRY_AFTER, after);
            response
        }
        _ => problem(500, "an answer that was not asked for"),
    }
}

fn json<T: Serialize>(body: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    response.set_content_type(mime::JSON);
    response
}

fn problem(status: u16, why: &str) -> Response {
    let mut response = json(&wes::Problem {
        msg: why.to_owned(),
        status_code: status,
    });
    response.set_status(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response
}
