//! The workflow service process: serves WES over HTTP and performs the I/O of the state machine.

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
use futures_lite::{FutureExt, stream::once};
use http_types::{Method as HttpMethod, Request, Response, StatusCode, headers, mime};
use oliveshift_core::{Call, CompleteBody, Method, Reply as CoreReply, Target};
use oliveshift_wire::{
    encode,
    idempotency_key::{IDEMPOTENCY_KEY_HEADER, InvalidIdempotencyKey},
    wes::{self, BASE_PATH, State},
};
use oliveshift_workflow::{
    api::{self, Reply},
    records::{Bundle, RunId, RunState, StoredRun},
    service::{
        ANSWER_TIMEOUT, Answer, Input, MAX_BUNDLE_BYTES, Output, Service, Submission, UserRequest,
        UserRequestId,
    },
};
use serde::Serialize;

use super::{config::Config, object_store::ObjectStore};
use crate::{
    client::Client,
    request_reader::{IncompleteBody, receive_body},
    stream::{self, Stream},
};

/// Interval of the ticks passed to the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of requests to the state service and the user API.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client connection may be idle or take over one request, including the answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a submission may take to arrive, from its first byte on.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of client connections; further ones are closed.
const MAX_CLIENT_CONNECTIONS: usize = 256;

/// The process around the state machine of an instance.
struct WesServer {
    executor: LocalExecutor<'static>,
    service: RefCell<Service>,
    client: Client,
    object_store: ObjectStore,
    config: Config,
    started: Instant,
    pending_answers: RefCell<HashMap<UserRequestId, Sender<Answer>>>,
    /// Numbers requests of clients, and selects the next address of the user API.
    next_number: Cell<u64>,
    client_connections: Cell<usize>,
}

/// Serves workflows until the process is killed.
pub fn run(config: Config) -> ExitCode {
    let seed = fastrand::u64(..);
    let server = Rc::new(WesServer {
        executor: LocalExecutor::new(),
        service: RefCell::new(Service::new(config.settings(), seed)),
        client: Client::default(),
        object_store: ObjectStore(config.objects.clone()),
        started: Instant::now(),
        pending_answers: RefCell::default(),
        next_number: Cell::new(0),
        client_connections: Cell::new(0),
        config,
    });
    log::info!(
        "{}: serving workflows on {}",
        server.config.name,
        server.config.listen
    );
    let executor_owner = server.clone();
    block_on(executor_owner.executor.run(async move {
        server.executor.spawn(server.clone().listen()).detach();
        let mut ticks = 0u32;
        loop {
            server.handle_input(Input::Tick);
            Timer::after(TICK_INTERVAL).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(100) {
                server.client.prune();
            }
        }
    }))
}

impl WesServer {
    /// Passes an input to the state machine and starts to carry out its outputs.
    fn handle_input(self: &Rc<Self>, input: Input) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_s = since_epoch.unwrap_or_default().as_secs();
        let now = self.started.elapsed();
        let outputs = self.service.borrow_mut().handle(now, now_s, input);
        for output in outputs {
            match output {
                Output::Answer(asker, answer) => {
                    if let Some(sender) = self.pending_answers.borrow_mut().remove(&asker) {
                        let _ = sender.try_send(answer);
                    }
                }
                other => {
                    let server = self.clone();
                    self.executor.spawn(server.perform(other)).detach();
                }
            }
        }
    }

    /// Performs an output of the state machine and passes the result back to it.
    async fn perform(self: Rc<Self>, output: Output) {
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
                Input::Job(call, self.call_user_api("POST", path, encode(&*spec)).await)
            }
            Output::Poll(call, id) => {
                let path = format!("/work/{id}");
                Input::Job(call, self.call_user_api("GET", path, Vec::new()).await)
            }
            Output::Abort(call, id) => {
                let path = format!("/work/{id}/abort");
                Input::Job(call, self.call_user_api("POST", path, Vec::new()).await)
            }
            Output::Results(call, id, tasks) => {
                Input::Results(call, self.object_store.results(&id, tasks))
            }
            Output::Text(call, location) => Input::Text(call, self.object_store.text(&location)),
            Output::Answer(..) => return,
        };
        self.handle_input(input);
    }

    async fn call_user_api(
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
                // Round robin, so that an unreachable address fails only its share of the
                // requests.
                let next = self.next_number.get();
                self.next_number.set(next + 1);
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
            timeout: CALL_TIMEOUT,
        };
        let (reply, retry_after) = self.client.call_with_retry_after(addr.into(), &call).await;
        match reply {
            CoreReply::Answer { status, body } => Reply::Answer(status, body, retry_after),
            CoreReply::NotSent => Reply::NotSent,
            CoreReply::Lost => Reply::Lost,
        }
    }

    async fn listen(self: Rc<Self>) {
        let listener = stream::bind(self.config.listen).await;
        loop {
            let tcp = stream::accept(&listener).await;
            if self.client_connections.get() >= MAX_CLIENT_CONNECTIONS {
                continue;
            }
            self.client_connections
                .set(self.client_connections.get() + 1);
            let server = self.clone();
            let serve = async move {
                server.serve_connection(Stream::new(tcp)).await;
                server
                    .client_connections
                    .set(server.client_connections.get() - 1);
            };
            self.executor.spawn(serve).detach();
        }
    }

    async fn serve_connection(self: &Rc<Self>, stream: Stream) {
        let endpoint = |request| async { Ok(self.handle_request(&stream, request).await) };
        let mut server = async_h1::server::Server::new(stream.clone(), endpoint);
        loop {
            stream.begin_receipt(MAX_BUNDLE_BYTES + 64 * 1024);
            let served = async { server.accept_one().await.ok() };
            let timed_out = async {
                Timer::after(CLIENT_TIMEOUT).await;
                None
            };
            match served.or(timed_out).await {
                Some(async_h1::server::ConnectionStatus::KeepAlive) => {}
                _ => break,
            }
        }
    }

    async fn handle_request(self: &Rc<Self>, stream: &Stream, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        let Some(path) = path.strip_prefix(BASE_PATH) else {
            return problem(404, "no such path");
        };
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (HttpMethod::Get, ["service-info"]) => json(&self.service_info()),
            (HttpMethod::Get, ["runs"]) => self.list_runs(&request).await,
            (HttpMethod::Post, ["runs"]) => self.submit(stream, &mut request).await,
            (method, ["runs", id, rest @ ..]) => {
                let Ok(id) = id.parse::<RunId>() else {
                    return problem(404, "no such run");
                };
                let ask = match (method, rest) {
                    (HttpMethod::Get, []) => UserRequest::Log(id),
                    (HttpMethod::Get, ["status"]) => UserRequest::Status(id),
                    (HttpMethod::Post, ["cancel"]) => {
                        // The status is read first because `Ask::Cancel` writes the request
                        // without a check that the run exists.
                        match self.ask(UserRequest::Status(id)).await {
                            Answer::Status(_) => UserRequest::Cancel(id),
                            other => return common_response(other),
                        }
                    }
                    _ => return problem(404, "no such path"),
                };
                match self.ask(ask).await {
                    Answer::Status(record) => json(&wes::RunStatus {
                        run_id: id.to_string(),
                        state: wes_state(record.state),
                    }),
                    Answer::Cancelling => json(&wes::RunId {
                        run_id: id.to_string(),
                    }),
                    Answer::Log(log) => json(&run_log(id, *log)),
                    other => common_response(other),
                }
            }
            _ => problem(404, "no such path"),
        }
    }

    async fn ask(self: &Rc<Self>, ask: UserRequest) -> Answer {
        let asker = self.next_number.get();
        self.next_number.set(asker + 1);
        let (send, receive) = async_channel::bounded(1);
        let answer_when_timed_out = ask.answer_when_timed_out();
        self.pending_answers.borrow_mut().insert(asker, send);
        self.handle_input(Input::UserRequest(asker, ask));
        let timed_out = async {
            Timer::after(ANSWER_TIMEOUT).await;
            log::warn!("request {asker}: no answer within {ANSWER_TIMEOUT:?}");
            None
        };
        let answer = async { receive.recv().await.ok() };
        let answer = answer.or(timed_out).await;
        self.pending_answers.borrow_mut().remove(&asker);
        answer.unwrap_or(answer_when_timed_out)
    }

    async fn list_runs(self: &Rc<Self>, request: &Request) -> Response {
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
            return problem(400, "page_token is not one that a previous page returned");
        }
        match self.ask(UserRequest::List(token)).await {
            Answer::Runs(runs, next) => {
                let runs = runs.into_iter().map(|(id, record)| wes::RunSummary {
                    run_id: id.to_string(),
                    state: wes_state(record.state),
                    start_time: format_time(record.begun_s),
                    end_time: record.ended_s.map(format_time),
                    tags: BTreeMap::new(),
                });
                json(&wes::RunList {
                    runs: runs.collect(),
                    next_page_token: next.unwrap_or_default(),
                })
            }
            other => common_response(other),
        }
    }

    fn service_info(&self) -> wes::ServiceInfo {
        let version = env!("CARGO_PKG_VERSION").to_owned();
        let cwl = wes::TypeVersions {
            workflow_type_version: vec![oliveshift_cwl::load::VERSION.to_owned()],
        };
        let engine = wes::EngineVersions {
            workflow_engine_version: vec![version.clone()],
        };
        let open_runs = self.service.borrow().open_runs();
        wes::ServiceInfo {
            id: "oliveshift.workflows".into(),
            name: self.config.name.clone(),
            kind: wes::ServiceType {
                group: "org.ga4gh".into(),
                artifact: "wes".into(),
                version: wes::API_VERSION.into(),
            },
            organization: wes::Organization {
                name: "oliveshift".into(),
                url: "https://oliveshift.example".into(),
            },
            version,
            workflow_type_versions: [("CWL".to_owned(), cwl)].into(),
            supported_wes_versions: vec![wes::API_VERSION.into()],
            supported_filesystem_protocols: vec!["store".into()],
            workflow_engine_versions: [("oliveshift".to_owned(), engine)].into(),
            default_workflow_engine_parameters: Vec::new(),
            system_state_counts: [(State::Running, open_runs)].into(),
            auth_instructions_url: "https://oliveshift.example".into(),
            tags: BTreeMap::new(),
        }
    }

    /// Answers a submission. Only one that was received to its announced end can be malformed.
    async fn submit(self: &Rc<Self>, stream: &Stream, request: &mut Request) -> Response {
        let received = receive_body(stream, request, MAX_BUNDLE_BYTES, RECEIVE_TIMEOUT).await;
        let body = match received {
            Ok(body) => body,
            Err(incomplete) => return incomplete_response(stream, &incomplete),
        };
        match self.parse_submission(request, body).await {
            Ok(submission) => {
                let answer = self.ask(UserRequest::Submit(Box::new(submission))).await;
                common_response(answer)
            }
            Err(reason) => problem(400, &reason),
        }
    }

    async fn parse_submission(
        &self,
        request: &Request,
        body: CompleteBody,
    ) -> Result<Submission, String> {
        let key = request.header(IDEMPOTENCY_KEY_HEADER);
        // In the form of a structured field, the key is quoted.
        let key = key.map(|key| key.as_str().trim().trim_matches('"').parse());
        let idempotency_key = key
            .transpose()
            .map_err(|e: InvalidIdempotencyKey| e.to_string())?;
        let bundle = self.parse_bundle(request, body).await?;
        Ok(Submission {
            bundle,
            idempotency_key,
        })
    }

    /// Parses a submitted document and its inputs, the multipart body of a request.
    async fn parse_bundle(&self, request: &Request, body: CompleteBody) -> Result<Bundle, String> {
        let kind = request.header(headers::CONTENT_TYPE);
        let kind = kind.map(|k| k.as_str().to_owned()).unwrap_or_default();
        let boundary = multer::parse_boundary(kind);
        let boundary =
            boundary.map_err(|_| "expected a body of type multipart/form-data".to_owned())?;
        let body = once(Ok::<_, std::io::Error>(body.into_bytes()));
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
                // Tags and engine parameters are ignored.
                _ => {}
            }
        }
        if kind != "CWL" || version != oliveshift_cwl::load::VERSION {
            let version = oliveshift_cwl::load::VERSION;
            return Err(format!(
                "only workflow_type CWL with workflow_type_version {version} is supported"
            ));
        }
        if bundle.main.is_empty() {
            return Err("workflow_url is missing: it must name one of the attachments".into());
        }
        Ok(bundle)
    }
}

/// The answer to a submission that was not received completely; the connection cannot be reused
/// after that.
fn incomplete_response(stream: &Stream, incomplete: &IncompleteBody) -> Response {
    let reason = incomplete.error.reason();
    log::info!(
        "a submission was not received: {reason}; {:.1?} after its first byte, {} of {:?} bytes",
        stream.receipt_time(),
        incomplete.received,
        incomplete.announced
    );
    stream.begin_receipt(0);
    let status = incomplete.error.status();
    let mut response = problem(status.unwrap_or(StatusCode::RequestTimeout).into(), reason);
    response.insert_header(headers::CONNECTION, "close");
    response
}

/// The state of a run in WES terms.
fn wes_state(state: RunState) -> State {
    match state {
        // A failing run still has jobs to be ended, and its final state is certain only then.
        RunState::Running | RunState::Failing => State::Running,
        RunState::Canceling => State::Canceling,
        RunState::Complete => State::Complete,
        RunState::ExecutorError => State::ExecutorError,
        RunState::SystemError => State::SystemError,
        RunState::Canceled => State::Canceled,
    }
}

fn format_time(unix_s: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(unix_s)).to_string()
}

fn run_log(id: RunId, log: StoredRun) -> wes::RunLog {
    let record = &log.record;
    let reason = record.step_failure().map(|f| match f.step.as_str() {
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
        state: wes_state(record.state),
        run_log: wes::Log {
            name: log.bundle.main.clone(),
            start_time: Some(format_time(record.begun_s)),
            end_time: record.ended_s.map(format_time),
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

/// The response for the answers that any request may get.
fn common_response(answer: Answer) -> Response {
    match answer {
        Answer::Started(id) => json(&wes::RunId {
            run_id: id.to_string(),
        }),
        Answer::Invalid(reason) => problem(400, &reason),
        Answer::KeyReused => {
            let message = "the Idempotency-Key was sent with another document or other inputs";
            problem(422, message)
        }
        Answer::Unknown => problem(404, "no such run"),
        Answer::RetryAfter(after) => {
            let message = "the request was not executed; retry later";
            problem_with_retry(503, message, after)
        }
        Answer::OutcomeUnknown(after) => {
            let message = "the request may have been executed, or may still be; repeat a \
                           submission only with the same Idempotency-Key";
            problem_with_retry(504, message, after)
        }
        _ => problem(500, "internal error: the answer does not match the request"),
    }
}

fn problem_with_retry(status: u16, message: &str, after: Duration) -> Response {
    let mut response = problem(status, message);
    let seconds = after.as_secs().max(1).to_string();
    response.insert_header(headers::RETRY_AFTER, seconds);
    response
}

fn json<T: Serialize>(body: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(body).unwrap_or_default());
    response.set_content_type(mime::JSON);
    response
}

fn problem(status: u16, message: &str) -> Response {
    let mut response = json(&wes::ErrorResponse {
        msg: message.to_owned(),
        status_code: status,
    });
    response.set_status(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    response
}
