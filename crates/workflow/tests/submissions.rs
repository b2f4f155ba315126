//! Submissions of runs in simulated time, while the state service is out, answers are lost,
//! instances crash and clients repeat. Whatever a client is told, a run that it submitted once is
//! executed at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_testkit::{StateLimits, StateService};
use oliveshift_wire::{
    IdempotencyKey, decode,
    state::{Change, Item, Page},
};
use oliveshift_workflow::{
    active::{JobReply, Sabotage},
    api::{self, Reply},
    job::Defaults,
    records::{Bundle, RunId, run_id_of_key},
    service::{
        ANSWER_TIMEOUT, Answer, Input, Output, Service, Settings, StoreCall, StoreReply,
        Submission, UserRequest, UserRequestId,
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
/// Time after which a client no longer waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
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

/// A client that submits one run, and what it has been told. A client without a key repeats only
/// what was not executed; one with a key repeats until it is told of a run.
#[derive(Debug, Default)]
struct Client {
    key: Option<IdempotencyKey>,
    /// The request that it waits for.
    request: Option<UserRequestId>,
    /// Answers in the order in which they came.
    answers: Vec<Answer>,
    /// How many times it repeats its submission after it was told of a run.
    extra_repeats: usize,
}

impl Client {
    fn started(&self) -> Option<RunId> {
        match self.answers.last() {
            Some(Answer::Started(id)) => Some(*id),
            _ => None,
        }
    }
}

/// Faults between clients and instances.
#[derive(Clone, Copy, Debug, Default)]
struct ClientFaults {
    /// Share of the answers to clients that are lost.
    answer_loss_rate: f64,
    /// Share of the requests that arrive up to a minute late.
    late_request_rate: f64,
    /// Share of the repeats that come up to a minute later, as their client died.
    death_rate: f64,
}

/// An instance, with a number that differs between its starts.
struct Instance {
    service: Option<Service>,
    incarnation: u64,
}

enum Event {
    Tick,
    Input(usize, u64, Input),
    Execute(usize, u64, u64, StoreCall, Fate),
    Submit(usize),
    Arrive(usize, usize, UserRequestId),
    AnswerTimeout(usize, u64, usize, UserRequestId),
    ClientTimeout(usize, UserRequestId),
    Crash(usize),
    Start(usize),
}

struct Simulation {
    now: Duration,
    state: StateService,
    instances: Vec<Instance>,
    rng: fastrand::Rng,
    client_faults: ClientFaults,
    sabotage: Option<Sabotage>,
    /// The state service refuses all requests within these times.
    outages: Vec<(Duration, Duration)>,
    choose_fate: ChooseFate,
    clients: Vec<Client>,
    /// Answers to requests that are not a client's submission.
    other_answers: BTreeMap<UserRequestId, Answer>,
    /// Requests that an instance has answered, whether or not the answer arrived.
    answered: BTreeSet<UserRequestId>,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
}

impl Simulation {
    fn new(instances: usize, seed: u64, choose_fate: ChooseFate) -> Self {
        let stopped = || Instance {
            service: None,
            incarnation: 0,
        };
        let mut simulation = Self {
            now: Duration::ZERO,
            state: StateService::new(StateLimits {
                txn_ops: 10,
                value_bytes: 8 * 1024,
                write_rps: 60.0,
            }),
            instances: (0..instances).map(|_| stopped()).collect(),
            rng: fastrand::Rng::with_seed(seed),
            client_faults: ClientFaults::default(),
            sabotage: None,
            outages: Vec::new(),
            choose_fate,
            clients: Vec::new(),
            other_answers: BTreeMap::new(),
            answered: BTreeSet::new(),
            queue: BTreeMap::new(),
            seq: 0,
        };
        for n in 0..instances {
            simulation.schedule(Duration::ZERO, Event::Start(n));
        }
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
    fn add_client(&mut self, at: Duration, key: Option<IdempotencyKey>) -> usize {
        let client = self.clients.len();
        self.clients.push(Client {
            key,
            ..Client::default()
        });
        self.schedule(at, Event::Submit(client));
        client
    }

    /// Sends a request to the first instance.
    fn send_request(&mut self, request: UserRequest) -> UserRequestId {
        self.seq += 1;
        let request_id = self.seq;
        let input = Input::UserRequest(request_id, request);
        self.input(0, self.instances[0].incarnation, input);
        request_id
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn run(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 < end
        {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => {
                if !self.is_outage() {
                    self.state.expire_leases(self.now);
                }
                for n in 0..self.instances.len() {
                    self.input(n, self.instances[n].incarnation, Input::Tick);
                }
                self.schedule(MS * 100, Event::Tick);
            }
            Event::Input(n, incarnation, input) => self.input(n, incarnation, input),
            Event::Execute(n, incarnation, call, request, fate) => {
                let reply = match self.is_outage() {
                    true => Reply::Answer(503, Vec::new(), None),
                    false => answer_store_call(&mut self.state, self.now, &request),
                };
                if fate == Fate::Answered {
                    let reply = Input::Store(call, api::store_reply(&request, reply));
                    self.schedule(MS * 3, Event::Input(n, incarnation, reply));
                }
            }
            Event::Submit(client) => self.submit(client),
            Event::Arrive(n, client, request) => {
                let incarnation = self.instances[n].incarnation;
                let timeout = Event::AnswerTimeout(n, incarnation, client, request);
                self.schedule(ANSWER_TIMEOUT, timeout);
                let input = Input::UserRequest(request, self.request(client));
                self.input(n, incarnation, input);
            }
            Event::AnswerTimeout(n, incarnation, client, request) => {
                if self.instances[n].incarnation == incarnation {
                    let answer = self.request(client).answer_when_timed_out();
                    self.client_answered(client, request, answer);
                }
            }
            Event::ClientTimeout(client, request) => {
                if self.clients[client].request == Some(request) {
                    self.clients[client].request = None;
                    self.repeat(client);
                }
            }
            Event::Crash(n) => {
                self.instances[n].service = None;
                self.instances[n].incarnation += 1;
            }
            Event::Start(n) => {
                let instance = &mut self.instances[n];
                instance.incarnation += 1;
                let mut service = Service::new(Self::settings(n), self.rng.u64(..));
                service.sabotage = self.sabotage;
                instance.service = Some(service);
            }
        }
    }

    fn is_outage(&self) -> bool {
        let mut outages = self.outages.iter();
        outages.any(|(begin, end)| (*begin..*end).contains(&self.now))
    }

    fn input(&mut self, n: usize, incarnation: u64, input: Input) {
        let unix_s = 1_800_000_000 + self.now.as_secs();
        let instance = &mut self.instances[n];
        let Some(service) = &mut instance.service else {
            return;
        };
        if instance.incarnation != incarnation {
            return;
        }
        for output in service.handle(self.now, unix_s, input) {
            self.handle_output(n, incarnation, output);
        }
    }

    fn handle_output(&mut self, n: usize, incarnation: u64, output: Output) {
        let input = match output {
            Output::Store(call, request) => {
                return self.send_to_store(n, incarnation, call, request);
            }
            Output::Answer(request, answer) => {
                let mut clients = self.clients.iter();
                match clients.position(|c| c.request == Some(request)) {
                    Some(client) => self.client_answered(client, request, answer),
                    None => {
                        self.other_answers.insert(request, answer);
                    }
                }
                return;
            }
            // No controller can be reached, so that all runs stay open.
            Output::Submit(call, _) | Output::Poll(call, _) | Output::Abort(call, _) => {
                Input::Job(call, JobReply::RetryAfter(None))
            }
            Output::Results(call, ..) => Input::Results(call, None),
            Output::Text(call, _) => Input::Text(call, None),
        };
        self.schedule(MS * 5, Event::Input(n, incarnation, input));
    }

    fn send_to_store(&mut self, n: usize, incarnation: u64, call: u64, request: StoreCall) {
        let fate = (self.choose_fate)(self.now, &request);
        if fate != Fate::Answered {
            let reply = Input::Store(call, StoreReply::Lost);
            self.schedule(STORE_TIMEOUT, Event::Input(n, incarnation, reply));
        }
        let latency = match fate {
            Fate::Answered | Fate::AnswerLost => MS * 3,
            Fate::ExecutedLate(after) => after,
            Fate::Lost => return,
        };
        let execute = Event::Execute(n, incarnation, call, request, fate);
        self.schedule(latency, execute);
    }

    /// The submission of a client.
    fn request(&self, client: usize) -> UserRequest {
        let bundle = Bundle {
            main: "alert.cwl".into(),
            files: [("alert.cwl".to_owned(), DOCUMENT.to_owned())].into(),
            inputs: serde_json::json!({ "event": Self::event(client) }),
            defaults: Defaults {
                team: "partners".into(),
                class: "cwl".into(),
            },
        };
        UserRequest::Submit(Box::new(Submission {
            bundle,
            idempotency_key: self.clients[client].key.clone(),
        }))
    }

    /// Input value by which the runs of a client are recognized.
    fn event(client: usize) -> String {
        format!("event-{client:04}")
    }

    /// Sends the submission of a client to any instance that is up.
    fn submit(&mut self, client: usize) {
        let n = self.rng.usize(0..self.instances.len());
        if self.instances[n].service.is_none() {
            return self.schedule(CLIENT_RETRY_INTERVAL, Event::Submit(client));
        }
        self.seq += 1;
        let request = self.seq;
        self.clients[client].request = Some(request);
        if self.clients[client].key.is_some() {
            self.schedule(CLIENT_TIMEOUT, Event::ClientTimeout(client, request));
        }
        let latency = match self.rng.f64() < self.client_faults.late_request_rate {
            true => S * self.rng.u32(1..60),
            false => MS,
        };
        self.schedule(latency, Event::Arrive(n, client, request));
    }

    fn repeat(&mut self, client: usize) {
        let pause = match self.rng.f64() < self.client_faults.death_rate {
            true => S * self.rng.u32(1..60),
            false => CLIENT_RETRY_INTERVAL,
        };
        self.schedule(pause, Event::Submit(client));
    }

    fn client_answered(&mut self, client: usize, request: UserRequestId, answer: Answer) {
        if !self.answered.insert(request) || self.clients[client].request != Some(request) {
            return;
        }
        let has_key = self.clients[client].key.is_some();
        if has_key && self.rng.f64() < self.client_faults.answer_loss_rate {
            return;
        }
        let client_state = &mut self.clients[client];
        client_state.request = None;
        let repeats = match &answer {
            Answer::RetryAfter(_) => true,
            Answer::Started(_) if client_state.extra_repeats > 0 => {
                client_state.extra_repeats -= 1;
                true
            }
            Answer::OutcomeUnknown(_) => has_key,
            _ => false,
        };
        client_state.answers.push(answer);
        if repeats {
            self.repeat(client);
        }
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

    /// Describes the clients that have more than one run, or were told of another one than theirs.
    fn violations(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        for client in 0..self.clients.len() {
            let runs = self.recorded_runs(client);
            let answers = &self.clients[client].answers;
            let is_foreign = |a: &Answer| matches!(a, Answer::Started(id) if !runs.contains(id));
            if runs.len() > 1 || answers.iter().any(is_foreign) {
                violations.push(format!("client {client} has {runs:?} after {answers:?}"));
            }
        }
        violations
    }

    fn check_runs(&mut self, context: &str) {
        assert_eq!(self.violations(), Vec::<String>::new(), "{context}");
    }
}

/// Whether a call writes a key with this prefix.
fn writes(call: &StoreCall, prefix: &str) -> bool {
    let StoreCall::Txn(txn) = call else {
        return false;
    };
    txn.changes
        .iter()
        .any(|c| matches!(c, Change::Put { key, .. } if key.starts_with(prefix)))
}

/// Draws what happens to requests to the state service: this share of them is lost, or only their
/// answer, or they are executed late.
fn draw_fates(seed: u64, loss_rate: f64) -> ChooseFate {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xfa7e);
    Box::new(move |_, _| match rng.f64() < loss_rate {
        false => Fate::Answered,
        true => match rng.u32(0..3) {
            0 => Fate::AnswerLost,
            1 => Fate::Lost,
            _ => Fate::ExecutedLate(S * rng.u32(1..30)),
        },
    })
}

fn key(client: usize) -> Option<IdempotencyKey> {
    Some(format!("key-{client}").parse().expect("a valid key"))
}

/// Guards against a submission that is answered with status 503 as the state service is out, is
/// recorded when it is back, and is repeated by its client.
#[test]
fn a_submission_that_is_refused_in_an_outage_is_not_executed_afterwards() {
    for begin_ms in (0..25_000).step_by(500) {
        let mut simulation = Simulation::new(1, 1, Box::new(|_, _| Fate::Answered));
        simulation.outages = vec![(SETTLED, SETTLED + S * 25)];
        let client = simulation.add_client(SETTLED + MS * begin_ms, None);
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
            let choose_fate = move |_, call: &StoreCall| match writes(call, "wf/r/") {
                true if remaining > 0 => {
                    remaining -= 1;
                    fate
                }
                _ => Fate::Answered,
            };
            let mut simulation = Simulation::new(1, 2, Box::new(choose_fate));
            let client = simulation.add_client(SETTLED, None);
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
        let mut simulation = Simulation::new(3, seed, draw_fates(seed, loss_rate));
        for _ in 0..rng.usize(0..3) {
            let begin = S * rng.u32(5..60);
            let end = begin + S * rng.u32(3..40);
            simulation.outages.push((begin, end));
        }
        for _ in 0..20 {
            let at = S * 5 + MS * rng.u32(0..60_000);
            simulation.add_client(at, None);
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

/// Three instances that crash and are started again, and clients with keys that lose answers,
/// deliver requests late and die between two tries.
fn simulate_repeats(seed: u64, sabotage: Option<Sabotage>) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let loss_rate = [0.0, 0.05, 0.2][rng.usize(0..3)];
    let mut simulation = Simulation::new(3, seed, draw_fates(seed, loss_rate));
    simulation.sabotage = sabotage;
    simulation.client_faults = ClientFaults {
        answer_loss_rate: 0.3,
        late_request_rate: 0.1,
        death_rate: 0.2,
    };
    for _ in 0..rng.usize(0..3) {
        let begin = S * rng.u32(5..60);
        let end = begin + S * rng.u32(3..40);
        simulation.outages.push((begin, end));
    }
    for n in 0..3 {
        for _ in 0..rng.usize(0..3) {
            let at = MS * rng.u32(8_000..100_000);
            simulation.schedule(at, Event::Crash(n));
            let away = MS * rng.u32(0..20_000);
            simulation.schedule(at + away, Event::Start(n));
        }
    }
    for i in 0..20 {
        let at = S * 5 + MS * rng.u32(0..60_000);
        let client = simulation.add_client(at, key(i));
        simulation.clients[client].extra_repeats = rng.usize(0..3);
    }
    simulation.run(S * 600);
    simulation
}

/// Guards against a repeat that starts a second run: after a lost answer, a restart of the
/// instance, at another instance, and of a client that died between two tries.
#[test]
fn repeats_with_a_key_start_one_run() {
    let mut attempts = 0;
    for seed in 0..60 {
        let mut simulation = simulate_repeats(seed, None);
        simulation.check_runs(&format!("seed {seed}"));
        for client in &simulation.clients {
            assert!(client.started().is_some(), "seed {seed}: {client:?}");
            attempts += client.answers.len();
        }
    }
    assert!(attempts > 2 * 60 * 20, "{attempts}");
}

/// The simulation of repeats notices an instance that ignores keys.
#[test]
fn ignored_keys_are_noticed() {
    let violations = |seed| simulate_repeats(seed, Some(Sabotage::KeysIgnored)).violations();
    let noticed = (0..12).filter(|seed| !violations(*seed).is_empty());
    assert!(noticed.count() >= 6);
}

/// Guards against a key that is taken for another submission: it starts no run and is not answered
/// with the run of the first one.
#[test]
fn a_key_that_is_sent_with_other_inputs_is_refused() {
    // At the same time, and after the first one is recorded.
    for later in [Duration::ZERO, MS * 2, S * 20] {
        let mut simulation = Simulation::new(1, 3, Box::new(|_, _| Fate::Answered));
        let first = simulation.add_client(SETTLED, key(0));
        let second = simulation.add_client(SETTLED + later, key(0));
        simulation.run(S * 60);
        simulation.check_runs("reused");
        assert!(simulation.clients[first].started().is_some());
        assert_eq!(simulation.clients[second].answers, [Answer::KeyReused]);
    }
}

/// A repeat is answered with its run while no new run can be recorded.
#[test]
fn a_repeat_is_recognized_while_the_queue_of_runs_is_full() {
    let mut simulation = Simulation::new(1, 4, Box::new(|_, _| Fate::Answered));
    let first = simulation.add_client(SETTLED, key(0));
    simulation.clients[first].extra_repeats = 1;
    simulation.client_faults.death_rate = 1.0;
    let max_runs = Simulation::settings(0).max_runs;
    for _ in 1..=max_runs {
        simulation.add_client(SETTLED + MS, None);
    }
    simulation.run(S * 240);
    simulation.check_runs("full");
    let runs: Vec<_> = simulation.clients[first].answers.iter().collect();
    assert!(
        matches!(runs[..], [Answer::Started(a), Answer::Started(b)] if a == b),
        "{runs:?}"
    );
    assert_eq!(simulation.read_items("wf/r/").len(), max_runs);
}

/// Guards against a cancellation that is answered with status 503 although only the answer to its
/// write was lost, so that a run is cancelled that its user was told is not.
#[test]
fn a_cancellation_whose_write_got_no_answer_is_not_called_refused() {
    let fates = [Fate::Answered, Fate::AnswerLost, Fate::Lost].into_iter();
    for fate in fates.chain((1..16).map(|s| Fate::ExecutedLate(S * s))) {
        let choose_fate = move |_, call: &StoreCall| match writes(call, "wf/c/") {
            true => fate,
            false => Fate::Answered,
        };
        let mut simulation = Simulation::new(1, 5, Box::new(choose_fate));
        let client = simulation.add_client(SETTLED, None);
        simulation.run(S * 20);
        let run = simulation.clients[client].started().expect("a run");
        let request = simulation.send_request(UserRequest::Cancel(run));
        simulation.run(S * 60);
        let expected = match fate {
            Fate::Answered => Answer::Cancelling,
            _ => Answer::OutcomeUnknown(S * 5),
        };
        assert_eq!(
            simulation.other_answers.get(&request),
            Some(&expected),
            "{fate:?}"
        );
    }
    // In an outage nothing is executed, and a repeat is safe.
    let mut simulation = Simulation::new(1, 5, Box::new(|_, _| Fate::Answered));
    let client = simulation.add_client(SETTLED, None);
    simulation.run(S * 20);
    let run = simulation.clients[client].started().expect("a run");
    simulation.outages = vec![(S * 20, S * 25)];
    let request = simulation.send_request(UserRequest::Cancel(run));
    simulation.run(S * 60);
    let answer = simulation.other_answers.get(&request);
    assert_eq!(answer, Some(&Answer::RetryAfter(S * 5)));
    assert!(simulation.read_items("wf/c/").is_empty());
}
