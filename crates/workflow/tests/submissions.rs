//! Submissions of runs in simulated time, while the state service is out or its answers are lost.
//! Whatever a client is told, a run that it submitted once is executed at most once.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_testkit::{StateLimits, StateService};
use oliveshift_wire::{
    decode,
    state::{Change, Item, Page},
};
use oliveshift_workflow::{
    active::JobReply,
    api::{self, Reply},
    job::Defaults,
    records::{Bundle, RunId, run_id_of_key},
    service::{
        ANSWER_TIMEOUT, Answer, Input, Output, Service, Settings, StoreCall, StoreReply,
        UserRequest, UserRequestId,
    },
};

mod support {
    pub mod store;
}

use support::store::answer_store_call;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// Timeout of a request to the state service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the answer that a request was not executed until the client repeats it.
const CLIENT_RETRY_INTERVAL: Duration = S;
/// Time at which the instances hold their ranges.
const SETTLED: Duration = Duration::from_secs(10);

const DOCUMENT: &str = "cwlVersion: v1.2
class: CommandLineTool
baseCommand: issue-alert
requirements:
  ResourceRequirement: {coresMin: 1, ramMin: 1024}
inputs:
  event: {type: string, inputBinding: {position: 1}}
stdout: out.txt
outputs:
  bulletin: stdout
";

/// What happens to a request to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is executed and answered.
    Answered,
    /// It is executed at once, but its answer is lost.
    AnswerLost,
    /// It is executed after this time, and its answer is lost.
    ExecutedLate(Duration),
    /// It is lost.
    Lost,
}

type ChooseFate = Box<dyn FnMut(Duration, &StoreCall) -> Fate>;

/// A client that submits one run, and what it has been told.
#[derive(Debug, Default)]
struct Client {
    request: Option<UserRequestId>,
    /// Answers in the order in which they came.
    answers: Vec<Answer>,
}

impl Client {
    fn started(&self) -> Option<RunId> {
        match self.answers.last() {
            Some(Answer::Started(id)) => Some(*id),
            _ => None,
        }
    }
}

enum Event {
    Tick,
    Input(usize, Input),
    Execute(usize, u64, StoreCall, Fate),
    Submit(usize),
    AnswerTimeout(usize, UserRequestId),
}

struct Simulation {
    now: Duration,
    state: StateService,
    services: Vec<Service>,
    /// The state service refuses all requests within these times.
    outages: Vec<(Duration, Duration)>,
    choose_fate: ChooseFate,
    clients: Vec<Client>,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
}

impl Simulation {
    fn new(instances: usize, seed: u64, choose_fate: ChooseFate) -> Self {
        let services =
            (0..instances).map(|n| Service::new(Self::settings(n), seed * 100 + n as u64));
        let mut simulation = Self {
            now: Duration::ZERO,
            state: StateService::new(StateLimits {
                txn_ops: 10,
                value_bytes: 8 * 1024,
                write_rps: 60.0,
            }),
            services: services.collect(),
            outages: Vec::new(),
            choose_fate,
            clients: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
        };
        simulation.schedule(Duration::ZERO, Event::Tick);
        simulation
    }

    fn settings(n: usize) -> Settings {
        Settings {
            name: format!("wf-{n}"),
            ranges: 8,
            lease: S * 10,
            calls_per_s: 20.0,
            store_per_s: 40.0,
            writes_per_s: 20.0,
            max_runs: 300,
            value_bytes: 256,
            txn_ops: 2,
            retention: S * 100_000,
        }
    }

    /// Adds a client that submits a run at this time, and returns its number.
    fn add_client(&mut self, at: Duration) -> usize {
        let client = self.clients.len();
        self.clients.push(Client::default());
        self.schedule(at, Event::Submit(client));
        client
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn run(&mut self, end: Duration) {
        while let Some(((at, _), event)) = self.queue.pop_first()
            && at < end
        {
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => {
                if !self.is_outage() {
                    self.state.expire_leases(self.now);
                }
                for n in 0..self.services.len() {
                    self.input(n, Input::Tick);
                }
                self.schedule(MS * 100, Event::Tick);
            }
            Event::Input(n, input) => self.input(n, input),
            Event::Execute(n, call, request, fate) => {
                let reply = match self.is_outage() {
                    true => Reply::Answer(503, Vec::new(), None),
                    false => answer_store_call(&mut self.state, self.now, &request),
                };
                if fate == Fate::Answered {
                    let reply = Input::Store(call, api::store_reply(&request, reply));
                    self.schedule(MS * 3, Event::Input(n, reply));
                }
            }
            Event::Submit(client) => self.submit(client),
            Event::AnswerTimeout(client, request) => {
                if self.clients[client].request == Some(request) {
                    let answer = Self::request(client).answer_when_timed_out();
                    self.client_answered(client, answer);
                }
            }
        }
    }

    fn is_outage(&self) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|(begin, end)| (*begin..*end).contains(&self.now))
    }

    fn input(&mut self, n: usize, input: Input) {
        let unix_s = 1_800_000_000 + self.now.as_secs();
        for output in self.services[n].handle(self.now, unix_s, input) {
            self.handle_output(n, output);
        }
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Store(call, request) => self.send_to_store(n, call, request),
            // No controller can be reached, so that all runs stay open.
            Output::Submit(call, _) | Output::Poll(call, _) | Output::Abort(call, _) => {
                let reply = Input::Job(call, JobReply::RetryAfter(None));
                self.schedule(MS * 5, Event::Input(n, reply));
            }
            Output::Results(call, ..) => {
                self.schedule(MS * 5, Event::Input(n, Input::Results(call, None)));
            }
            Output::Text(call, _) => {
                self.schedule(MS * 5, Event::Input(n, Input::Text(call, None)));
            }
            Output::Answer(request, answer) => {
                let mut clients = self.clients.iter();
                if let Some(client) = clients.position(|c| c.request == Some(request)) {
                    self.client_answered(client, answer);
                }
            }
        }
    }

    fn send_to_store(&mut self, n: usize, call: u64, request: StoreCall) {
        let fate = (self.choose_fate)(self.now, &request);
        if fate != Fate::Answered {
            let reply = Input::Store(call, StoreReply::Lost);
            self.schedule(STORE_TIMEOUT, Event::Input(n, reply));
        }
        let latency = match fate {
            Fate::Answered | Fate::AnswerLost => MS * 3,
            Fate::ExecutedLate(after) => after,
            Fate::Lost => return,
        };
        self.schedule(latency, Event::Execute(n, call, request, fate));
    }

    /// The submission of a client.
    fn request(client: usize) -> UserRequest {
        UserRequest::Submit(Box::new(Bundle {
            main: "alert.cwl".into(),
            files: [("alert.cwl".to_owned(), DOCUMENT.to_owned())].into(),
            inputs: serde_json::json!({ "event": Self::event(client) }),
            defaults: Defaults {
                team: "partners".into(),
                class: "cwl".into(),
            },
        }))
    }

    /// Input value by which the runs of a client are recognized.
    fn event(client: usize) -> String {
        format!("event-{client:04}")
    }

    fn submit(&mut self, client: usize) {
        self.seq += 1;
        let request = self.seq;
        self.clients[client].request = Some(request);
        self.schedule(ANSWER_TIMEOUT, Event::AnswerTimeout(client, request));
        let n = client % self.services.len();
        self.input(n, Input::UserRequest(request, Self::request(client)));
    }

    /// Applies an answer as a client does that repeats only what was not executed.
    fn client_answered(&mut self, client: usize, answer: Answer) {
        self.clients[client].request = None;
        if matches!(answer, Answer::RetryAfter(_)) {
            self.schedule(CLIENT_RETRY_INTERVAL, Event::Submit(client));
        }
        self.clients[client].answers.push(answer);
    }

    fn read_items(&mut self, prefix: &str) -> Vec<Item> {
        let mut all: Vec<Item> = Vec::new();
        loop {
            let request = StoreCall::Page {
                prefix: prefix.to_owned(),
                after: all.last().map(|i| i.key.clone()),
            };
            let Reply::Answer(_, body, _) = answer_store_call(&mut self.state, self.now, &request)
            else {
                return all;
            };
            let page: Page = decode(&body).expect("a page");
            all.extend(page.items);
            if !page.more {
                return all;
            }
        }
    }

    /// Runs that are recorded for a client.
    fn recorded_runs(&mut self, client: usize) -> Vec<RunId> {
        let event = Self::event(client);
        let runs = self.read_items("wf/r/");
        let runs = runs.iter().filter_map(|item| run_id_of_key(&item.key));
        let runs: Vec<RunId> = runs.collect();
        let mut documents: BTreeMap<RunId, String> = BTreeMap::new();
        for item in self.read_items("wf/t/") {
            let id = run_id_of_key(&item.key).expect("a run's key");
            *documents.entry(id).or_default() += item.value.as_str().expect("a text");
        }
        let submitted = |id: &RunId| documents.get(id).is_some_and(|d| d.contains(&event));
        runs.into_iter().filter(submitted).collect()
    }

    /// Checks that each client that was told of a run has exactly this one, and that no client
    /// has more than one.
    fn check_runs(&mut self, context: &str) {
        for client in 0..self.clients.len() {
            let runs = self.recorded_runs(client);
            let answers = &self.clients[client].answers;
            assert!(
                runs.len() <= 1,
                "{context}: client {client} has {runs:?} after {answers:?}"
            );
            let started: Vec<RunId> = self.clients[client].started().into_iter().collect();
            assert!(
                started.is_empty() || started == runs,
                "{context}: client {client} has {runs:?} after {answers:?}"
            );
        }
    }
}

fn writes_run_record(call: &StoreCall) -> bool {
    let StoreCall::Txn(txn) = call else {
        return false;
    };
    txn.changes
        .iter()
        .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with("wf/r/")))
}

/// Guards against a submission that is answered with status 503 as the state service is out, is
/// recorded when it is back, and is repeated by its client.
#[test]
fn a_submission_that_is_refused_in_an_outage_is_not_executed_afterwards() {
    for begin_ms in (0..25_000).step_by(500) {
        let mut simulation = Simulation::new(1, 1, Box::new(|_, _| Fate::Answered));
        simulation.outages = vec![(SETTLED, SETTLED + S * 25)];
        let client = simulation.add_client(SETTLED + MS * begin_ms);
        simulation.run(S * 120);
        let context = format!("submitted {begin_ms} ms after the outage began");
        simulation.check_runs(&context);
        assert!(simulation.clients[client].started().is_some(), "{context}");
    }
}

/// Guards against a submission that is answered with status 503 although only the answer to the
/// write of its record was lost, and that is repeated by its client.
#[test]
fn a_submission_whose_write_got_no_answer_is_not_called_refused() {
    let fates = [Fate::AnswerLost, Fate::Lost].into_iter();
    let late = (1..16).map(|s| Fate::ExecutedLate(S * s));
    for fate in fates.chain(late) {
        for count in 1..4 {
            let mut remaining = count;
            let choose_fate = move |_, call: &StoreCall| match writes_run_record(call) {
                true if remaining > 0 => {
                    remaining -= 1;
                    fate
                }
                _ => Fate::Answered,
            };
            let mut simulation = Simulation::new(1, 2, Box::new(choose_fate));
            let client = simulation.add_client(SETTLED);
            simulation.run(S * 90);
            let context = format!("{count} times {fate:?}");
            simulation.check_runs(&context);
            // Two sends fit into the time limit, and the third is in flight at its end.
            let answers = &simulation.clients[client].answers;
            match count {
                1 | 2 => assert!(matches!(answers[..], [Answer::Started(_)]), "{answers:?}"),
                _ => assert!(
                    matches!(
                        answers[..],
                        [Answer::Started(_) | Answer::OutcomeUnknown(_)]
                    ),
                    "{context}: {answers:?}"
                ),
            }
        }
    }
}

/// Guards against both faults together: outages, lost answers, late writes and changes of the
/// holder of a range, drawn at random.
#[test]
fn drawn_submissions_are_executed_at_most_once() {
    let (mut started, mut unknown) = (0, 0);
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let loss_rate = [0.02, 0.1, 0.3][rng.usize(0..3)];
        let mut fates = fastrand::Rng::with_seed(seed ^ 0xfa7e);
        let choose_fate = move |_, _: &StoreCall| match fates.f64() < loss_rate {
            false => Fate::Answered,
            true => match fates.u32(0..3) {
                0 => Fate::AnswerLost,
                1 => Fate::Lost,
                _ => Fate::ExecutedLate(S * fates.u32(1..30)),
            },
        };
        let mut simulation = Simulation::new(3, seed, Box::new(choose_fate));
        for _ in 0..rng.usize(0..3) {
            let begin = S * rng.u32(5..60);
            let end = begin + S * rng.u32(3..40);
            simulation.outages.push((begin, end));
        }
        for _ in 0..20 {
            let at = S * 5 + MS * rng.u32(0..60_000);
            simulation.add_client(at);
        }
        simulation.run(S * 240);
        simulation.check_runs(&format!("seed {seed}"));
        for client in &simulation.clients {
            match client.answers.last() {
                Some(Answer::Started(_)) => started += 1,
                Some(Answer::OutcomeUnknown(_)) => unknown += 1,
                last => panic!("seed {seed}: the last answer is {last:?}"),
            }
        }
    }
    assert!(started > 900 && unknown > 5, "{started} {unknown}");
}
