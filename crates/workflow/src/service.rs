//! An instance of the service: drives the runs of its ranges.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_wire::{
    JobId,
    job::JobSpec,
    state::{Cond, Item, Txn},
};

#[cfg(feature = "sabotage")]
use crate::active::Sabotage;
use crate::{
    active::{self, ActiveRun, JobReply},
    budget::Budget,
    documents::DocumentCache,
    flow::JobKey,
    job::TaskResult,
    ranges::{self, Ranges},
    records::{
        Bundle, JobRecord, RunId, RunRecord, RunState, StoredRun, get, piece_key, pieces, put,
        put_text, range_key, run_id_of_key, run_key,
    },
    sweep::{Step, Sweeps},
};

/// Names a request of ours; the reply carries it.
pub type CallId = u64;
/// Names a request of somebody's; the answer carries it.
pub type UserRequestId = u64;

/// How often requests to cancel are looked for.
const CANCELS_EVERY: Duration = Duration::from_secs(2);
/// How often a range's runs are looked through for those that we don't have.
const RUNS_EVERY: Duration = Duration::from_secs(10);
/// When whoever is turned away should come back.
const COME_BACK: Duration = Duration::from_secs(5);
/// The most that an inline document and its inputs may be, in bytes.
pub const MAX_BUNDLE_BYTES: usize = 4 << 20;

/// What an instance is set to.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name; no two instances share one.
    pub name: String,
    /// In how many ranges runs are. The same for all instances, for good.
    pub ranges: u32,
    /// After which time without contact others take over.
    pub lease: Duration,
    /// Requests a second to the users' API, at most.
    pub calls_per_s: f64,
    /// Requests a second to the state service, at most.
    pub store_per_s: f64,
    /// Changes a second that are written there, at most.
    pub writes_per_s: f64,
    /// The most runs at a time.
    pub max_runs: usize,
    /// The largest value, in bytes of its JSON form.
    pub value_bytes: usize,
    /// The most changes of a transaction.
    pub txn_ops: usize,
    /// For how long ended runs are kept.
    pub retention: Duration,
}

/// What the state service is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Keys below a prefix, after a key.
    Page {
        /// The prefix.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
    },
    /// A transaction.
    Txn(Txn),
    /// A lease of this length.
    LeaseGrant(Duration),
    /// Renews one.
    LeaseRenewal(u64),
}

/// What the state service says.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Keys, and whether there are more.
    Page(Vec<Item>, bool),
    /// The transaction was done, in this revision.
    Committed(u64),
    /// Its conditions did not hold.
    ConditionFailed,
    /// A lease.
    LeaseGranted(u64),
    /// The lease is renewed, or gone.
    LeaseRenewed(bool),
    /// Not executed: too much, or an outage.
    Refused,
    /// No answer: it may have been executed, or may be yet.
    Lost,
}

/// What somebody wants.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Run this.
    Submit(Box<Bundle>),
    /// Tell how a run is.
    Status(RunId),
    /// Cancel a run.
    Cancel(RunId),
    /// Tell all about a run.
    Log(RunId),
    /// Tell which runs there are, after the key that the page before ended with.
    List(Option<String>),
}

/// What is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It runs, under this name.
    Started(RunId),
    /// The document or its inputs are wrong.
    Invalid(String),
    /// How a run is.
    Status(Box<RunRecord>),
    /// All about a run, as it is written.
    Log(Box<StoredRun>),
    /// Runs and their records, and where to go on; none: these are all.
    Runs(Vec<(RunId, RunRecord)>, Option<String>),
    /// The wish to cancel it is written down.
    Cancelling,
    /// There is no such run.
    Unknown,
    /// Not now.
    RetryAfter(Duration),
}

/// What an instance is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The state service answers.
    Store(CallId, StoreReply),
    /// The users' API answers.
    Job(CallId, JobReply),
    /// What a job's tasks have left behind; none: it can't be had now.
    Results(CallId, Option<Vec<TaskResult>>),
    /// The beginning of a file; none: there is none.
    Text(CallId, Option<String>),
    /// Somebody asks.
    UserRequest(UserRequestId, UserRequest),
}

/// What an instance wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Ask the state service.
    Store(CallId, StoreCall),
    /// Submit a job.
    Submit(CallId, Box<JobSpec>),
    /// Ask how a job is.
    Poll(CallId, JobId),
    /// Cancel a job.
    Abort(CallId, JobId),
    /// Get what its tasks, so many, have left behind.
    Results(CallId, JobId, u32),
    /// Get the beginning of a file.
    Text(CallId, String),
    /// Answer.
    Answer(UserRequestId, Answer),
}

/// A request under way.
#[derive(Debug)]
enum Pending {
    Ranges(ranges::Act),
    Cancels,
    Runs(u32),
    Load(RunId, Stage),
    /// With what is to be written after it.
    Write(RunId, Vec<Txn>),
    Job(RunId, JobKey, bool),
    Results(RunId, JobKey),
    Text(RunId, String),
    Create(RunId),
    Status(UserRequestId, RunId),
    Cancel(UserRequestId),
    List(UserRequestId),
    Log(UserRequestId, RunId, Stage),
    SweepLook(RunId),
    Sweep(RunId, usize),
}

impl Pending {
    /// The run under way that the answer is for.
    fn run(&self) -> Option<RunId> {
        match self {
            Self::Write(id, _) | Self::Job(id, ..) | Self::Results(id, _) | Self::Text(id, _) => {
                Some(*id)
            }
            _ => None,
        }
    }
}

/// How far a run has been read.
#[derive(Debug)]
enum Stage {
    Record,
    Texts(RunRecord, u64, Vec<Item>),
    Jobs(Box<StoredRun>, Vec<Item>),
}

/// What came of reading on.
enum Read {
    /// There is more.
    More(Stage, StoreCall),
    /// It did not work; from the beginning, later.
    Again,
    /// There is no such run.
    Nothing,
    /// What is there can't be understood.
    Broken(RunRecord, u64, String),
    /// All of it.
    All(Box<StoredRun>),
}

impl Stage {
    /// Takes a page in.
    fn next(self, id: RunId, reply: StoreReply) -> Read {
        let StoreReply::Page(items, more) = reply else {
            return Read::Again;
        };
        let page = |kind: char, after: Option<String>| StoreCall::Page {
            prefix: format!("{}/", run_key(kind, id)),
            after,
        };
        let last = items.last().map(|i| i.key.clone());
        match self {
            Self::Record => {
                let key = run_key('r', id);
                let item = items.iter().find(|i| i.key == key);
                match item.and_then(|i| Some((get::<RunRecord>(i)?, i.version))) {
                    Some((record, version)) => {
                        Read::More(Self::Texts(record, version, Vec::new()), page('t', None))
                    }
                    None => Read::Nothing,
                }
            }
            Self::Texts(record, version, mut texts) => {
                texts.extend(items);
                if more {
                    return Read::More(Self::Texts(record, version, texts), page('t', last));
                }
                let join = |texts: &[Item]| -> String {
                    texts.iter().filter_map(|i| i.value.as_str()).collect()
                };
                let (first, rest) = texts.split_at(texts.len().min(record.pieces as usize));
                let bundle = match serde_json::from_str(&join(first)) {
                    Ok(bundle) => bundle,
                    Err(e) => return Read::Broken(record, version, format!("its record: {e}")),
                };
                let outputs = match record.outputs {
                    0 => None,
                    n => serde_json::from_str(&join(&rest[..rest.len().min(n as usize)])).ok(),
                };
                let whole = StoredRun {
                    version,
                    outputs: outputs.unwrap_or_default(),
                    ..StoredRun::new(record, bundle)
                };
                Read::More(Self::Jobs(Box::new(whole), Vec::new()), page('j', None))
            }
            Self::Jobs(mut whole, mut all) => {
                all.extend(items);
                if more {
                    return Read::More(Self::Jobs(whole, all), page('j', last));
                }
                let jobs: Option<Vec<Vec<JobRecord>>> = all.iter().map(get).collect();
                let Some(jobs) = jobs else {
                    let why = "its jobs' record can't be read".to_owned();
                    return Read::Broken(whole.record, whole.version, why);
                };
                whole.job_pieces = all.len();
                whole.jobs = jobs.into_iter().flatten().collect();
                Read::All(whole)
            }
        }
    }
}

/// A run of ours.
#[derive(Debug)]
enum Held {
    /// It is being read.
    Loading,
    /// It is to be read, not before this.
    ToLoad(Duration),
    /// It can't be run; its end is being written.
    Broken(RunRecord, u64, bool),
    /// It is under way; the version of its record.
    Active(Box<ActiveRun>, u64),
}

/// A run that is being created.
#[derive(Debug)]
struct Creating {
    asker: UserRequestId,
    /// The first to go last.
    txns: Vec<Txn>,
    busy: bool,
}

/// An instance.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    rng: fastrand::Rng,
    next_call: CallId,
    calls: HashMap<CallId, Pending>,
    ranges: Ranges,
    documents: DocumentCache,
    sweeps: Sweeps,
    runs: BTreeMap<RunId, Held>,
    creating: BTreeMap<RunId, Creating>,
    store: Budget,
    writes: Budget,
    jobs: Budget,
    /// Where to go on, so that each run gets its turn.
    turn: Option<RunId>,
    cancels_at: Duration,
    runs_at: BTreeMap<u32, Duration>,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
    out: Vec<Output>,
}

impl Service {
    /// An instance that knows nothing yet. `seed` differs between starts.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = rng.u64(1..1 << 53);
        Self {
            ranges: Ranges::new(&settings.name, start, settings.ranges, settings.lease),
            store: Budget::new(settings.store_per_s),
            writes: Budget::new(settings.writes_per_s),
            jobs: Budget::new(settings.calls_per_s),
            documents: DocumentCache::default(),
            sweeps: Sweeps::new(settings.retention),
            settings,
            rng,
            next_call: 0,
            calls: HashMap::new(),
            runs: BTreeMap::new(),
            creating: BTreeMap::new(),
            turn: None,
            cancels_at: Duration::ZERO,
            runs_at: BTreeMap::new(),
            #[cfg(feature = "sabotage")]
            sabotage: None,
            out: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done. `unix_s` is the time of
    /// day in seconds since 1970.
    pub fn handle(&mut self, now: Duration, unix_s: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => {}
            Input::Store(call, reply) => self.stored(now, unix_s, call, reply),
            Input::Job(call, reply) => {
                if let Some(Pending::Job(id, key, aborted)) = self.calls.remove(&call) {
                    if let JobReply::RetryAfter(Some(after)) = reply {
                        self.jobs.hold(now + after);
                    }
                    if let Some(Held::Active(run, _)) = self.runs.get_mut(&id) {
                        run.job_replied(now, &key, reply, aborted);
                    }
                }
            }
            Input::Results(call, results) => {
                if let Some(Pending::Results(id, key)) = self.calls.remove(&call)
                    && let Some(Held::Active(run, _)) = self.runs.get_mut(&id)
                {
                    run.results(now, &key, results);
                }
            }
            Input::Text(call, text) => {
                if let Some(Pending::Text(id, location)) = self.calls.remove(&call)
                    && let Some(Held::Active(run, _)) = self.runs.get_mut(&id)
                {
                    run.text(&location, text);
                }
            }
            Input::UserRequest(asker, ask) => self.ask(now, unix_s, asker, ask),
        }
        self.go_on(now, unix_s);
        std::mem::take(&mut self.out)
    }

    /// How many runs are under way here.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// What this instance knows of a run, for people.
    pub fn describe(&self, id: RunId) -> String {
        match self.runs.get(&id) {
            None if self.ranges.version(id.range).is_some() => "not found in its range".to_owned(),
            None => format!(
                "not ours, which are {:?}",
                self.ranges.held().collect::<Vec<_>>()
            ),
            Some(Held::Loading | Held::ToLoad(_)) => "being read".to_owned(),
            Some(Held::Broken(record, ..)) => format!("broken: {:?}", record.failure),
            Some(Held::Active(run, _)) => run.describe(),
        }
    }

    fn call(&mut self, pending: Pending) -> CallId {
        self.next_call += 1;
        self.calls.insert(self.next_call, pending);
        self.next_call
    }

    fn store(&mut self, pending: Pending, call: StoreCall) {
        self.store.take(1);
        if let StoreCall::Txn(txn) = &call {
            self.writes.take(txn.changes.len());
        }
        let id = self.call(pending);
        self.out.push(Output::Store(id, call));
    }

    fn ask(&mut self, now: Duration, unix_s: u64, asker: UserRequestId, ask: UserRequest) {
        let later = Answer::RetryAfter(COME_BACK);
        match ask {
            UserRequest::Submit(bundle) => {
                let mine: Vec<u32> = self.ranges.held().collect();
                let full = self.runs.len() + self.creating.len() >= self.settings.max_runs;
                let Some(range) = self.rng.choice(mine).filter(|_| !full) else {
                    return self.out.push(Output::Answer(asker, later));
                };
                let id = RunId {
                    range,
                    number: self.rng.u64(..),
                };
                self.create(unix_s, asker, id, *bundle);
            }
            UserRequest::Status(id) => {
                // Only what is written is told: what is not may be forgotten.
                if let Some(Held::Active(run, _)) = self.runs.get(&id)
                    && self.ranges.version(id.range).is_some()
                {
                    let record = Box::new(run.record().clone());
                    return self.out.push(Output::Answer(asker, Answer::Status(record)));
                }
                if self.store.left(now) == 0 {
                    return self.out.push(Output::Answer(asker, later));
                }
                let prefix = run_key('r', id);
                let call = StoreCall::Page {
                    prefix,
                    after: None,
                };
                self.store(Pending::Status(asker, id), call);
            }
            UserRequest::Log(_) | UserRequest::List(_) if self.store.left(now) == 0 => {
                self.out.push(Output::Answer(asker, later));
            }
            UserRequest::Log(id) => {
                let call = StoreCall::Page {
                    prefix: run_key('r', id),
                    after: None,
                };
                self.store(Pending::Log(asker, id, Stage::Record), call);
            }
            UserRequest::List(after) => {
                let call = StoreCall::Page {
                    prefix: "wf/r/".to_owned(),
                    after,
                };
                self.store(Pending::List(asker), call);
            }
            UserRequest::Cancel(id) => {
                if self.store.left(now) == 0 || self.writes.left(now) == 0 {
                    return self.out.push(Output::Answer(asker, later));
                }
                let txn = Txn {
                    conds: Vec::new(),
                    changes: vec![put_text(run_key('c', id), String::new())],
                };
                self.store(Pending::Cancel(asker), StoreCall::Txn(txn));
            }
        }
    }

    /// Writes a new run down: first its document and inputs, then the run.
    fn create(&mut self, unix_s: u64, asker: UserRequestId, id: RunId, bundle: Bundle) {
        let text = serde_json::to_string(&bundle).unwrap_or_default();
        let piece = self.settings.value_bytes;
        let mut record = RunRecord {
            state: RunState::Running,
            begun_s: unix_s,
            ended_s: None,
            pieces: 0,
            outputs: 0,
            failure: None,
        };
        let bad = if text.len() > MAX_BUNDLE_BYTES {
            Some(format!("larger than {MAX_BUNDLE_BYTES} bytes"))
        } else {
            let process = self.documents.read(&bundle);
            let whole = StoredRun::new(record.clone(), bundle);
            let made = process.and_then(|p| ActiveRun::new(id, &p, whole, piece, 0));
            made.err()
        };
        if let Some(bad) = bad {
            return self.out.push(Output::Answer(asker, Answer::Invalid(bad)));
        }
        let pieces = pieces(&text, piece);
        record.pieces = pieces.len() as u32;
        let changes: Vec<_> = pieces
            .into_iter()
            .enumerate()
            .map(|(i, text)| put_text(piece_key('t', id, i), text))
            .collect();
        let at_once = self.at_once();
        let mut txns: Vec<Txn> = changes
            .chunks(at_once)
            .map(|changes| Txn {
                conds: Vec::new(),
                changes: changes.to_vec(),
            })
            .collect();
        txns.push(Txn {
            conds: vec![Cond {
                key: run_key('r', id),
                version: 0,
            }],
            changes: vec![put(run_key('r', id), &record)],
        });
        // The last one goes first out of the list.
        txns.reverse();
        let creating = Creating {
            asker,
            txns,
            busy: false,
        };
        self.creating.insert(id, creating);
    }

    /// So many changes go in one transaction. It takes 64 KiB at most, whatever
    /// a value may take.
    fn at_once(&self) -> usize {
        let by_size = (48 * 1024 / self.settings.value_bytes.max(1)).max(1);
        self.settings.txn_ops.clamp(1, by_size)
    }

    /// The condition that a range is still ours.
    fn fence(&self, range: u32, conds: &mut Vec<Cond>) -> bool {
        let Some(version) = self.ranges.version(range) else {
            return false;
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::NoFence) {
            conds.clear();
            return true;
        }
        conds.push(Cond {
            key: range_key(range),
            version,
        });
        true
    }

    /// The conditions that a run is as we know it, and still ours.
    fn unchanged(&self, id: RunId, version: u64) -> Option<Vec<Cond>> {
        let key = run_key('r', id);
        let mut conds = vec![Cond { key, version }];
        self.fence(id.range, &mut conds).then_some(conds)
    }

    fn stored(&mut self, now: Duration, unix_s: u64, call: CallId, reply: StoreReply) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        if reply == StoreReply::Refused {
            self.store.hold(now + Duration::from_millis(300));
        }
        match pending {
            Pending::Ranges(act) => self.ranges_replied(now, act, reply),
            Pending::Cancels => {
                if let StoreReply::Page(items, more) = reply {
                    if more {
                        let call = StoreCall::Page {
                            prefix: "wf/c/".to_owned(),
                            after: items.last().map(|i| i.key.clone()),
                        };
                        self.store(Pending::Cancels, call);
                    }
                    for id in items.iter().filter_map(|i| run_id_of_key(&i.key)) {
                        if let Some(Held::Active(run, _)) = self.runs.get_mut(&id) {
                            run.cancel();
                        }
                    }
                }
            }
            Pending::Runs(range) => match reply {
                StoreReply::Page(items, more) => {
                    let last = items.last().map(|i| i.key.clone());
                    for item in &items {
                        let record: Option<RunRecord> = get(item);
                        let (Some(id), Some(record)) = (run_id_of_key(&item.key), record) else {
                            continue;
                        };
                        if record.state.is_final() {
                            self.sweeps.seen(id, &record, unix_s);
                        } else if !self.creating.contains_key(&id) {
                            self.runs.entry(id).or_insert(Held::ToLoad(now));
                        }
                    }
                    if more {
                        let prefix = format!("wf/r/{range}/");
                        let call = StoreCall::Page {
                            prefix,
                            after: last,
                        };
                        self.store(Pending::Runs(range), call);
                    }
                }
                _ => {
                    self.runs_at.remove(&range);
                }
            },
            Pending::Load(id, stage) => self.loaded(now, id, stage, reply),
            Pending::Write(id, rest) => self.run_written(now, id, rest, reply),
            Pending::Create(id) => self.created(now, id, reply),
            Pending::Status(asker, id) => {
                let answer = match reply {
                    StoreReply::Page(items, _) => {
                        let key = run_key('r', id);
                        let item = items.iter().find(|i| i.key == key);
                        let record = item.and_then(get);
                        record.map_or(Answer::Unknown, |r| Answer::Status(Box::new(r)))
                    }
                    _ => Answer::RetryAfter(COME_BACK),
                };
                self.out.push(Output::Answer(asker, answer));
            }
            Pending::List(asker) => {
                let answer = match reply {
                    StoreReply::Page(items, more) => {
                        let next = items.last().map(|i| i.key.clone()).filter(|_| more);
                        let runs = items
                            .iter()
                            .filter_map(|i| Some((run_id_of_key(&i.key)?, get(i)?)));
                        Answer::Runs(runs.collect(), next)
                    }
                    _ => Answer::RetryAfter(COME_BACK),
                };
                self.out.push(Output::Answer(asker, answer));
            }
            Pending::Log(asker, id, stage) => self.logged(asker, id, stage, reply),
            Pending::SweepLook(id) => match &reply {
                StoreReply::Page(items, more) => self.sweeps.looked(id, Some((items, *more))),
                _ => self.sweeps.looked(id, None),
            },
            Pending::Sweep(id, count) => {
                let done = matches!(reply, StoreReply::Committed(_));
                self.sweeps.removed(id, done.then_some(count));
            }
            Pending::Cancel(asker) => {
                let answer = match reply {
                    StoreReply::Committed(_) => Answer::Cancelling,
                    _ => Answer::RetryAfter(COME_BACK),
                };
                self.out.push(Output::Answer(asker, answer));
            }
            Pending::Job(..) | Pending::Results(..) | Pending::Text(..) => {}
        }
    }

    fn ranges_replied(&mut self, now: Duration, act: ranges::Act, reply: StoreReply) {
        use ranges::Act;
        match (act, reply) {
            (Act::NewLease, StoreReply::LeaseGranted(lease)) => {
                self.ranges.leased(now, Some(lease))
            }
            (Act::Touch(_), StoreReply::LeaseRenewed(good)) => self.ranges.touched(good),
            (Act::Join(_), reply) => {
                self.ranges
                    .joined(matches!(reply, StoreReply::Committed(_)));
            }
            (Act::Look(prefix, _), StoreReply::Page(items, more)) => {
                self.ranges.looked(prefix, items, more);
            }
            (Act::Claim(range, _, take), StoreReply::Committed(revision)) => {
                self.ranges.claimed(range, take, Some(revision));
                self.runs_at.remove(&range);
            }
            (Act::Claim(range, _, take), _) => self.ranges.claimed(range, take, None),
            _ => self.ranges.failed(),
        }
    }

    fn loaded(&mut self, now: Duration, id: RunId, stage: Stage, reply: StoreReply) {
        match stage.next(id, reply) {
            Read::More(stage, call) => self.store(Pending::Load(id, stage), call),
            Read::Again => {
                let again = now + Duration::from_secs(1);
                self.runs.insert(id, Held::ToLoad(again));
            }
            Read::Nothing => {
                self.runs.remove(&id);
            }
            Read::Broken(record, version, why) if !record.state.is_final() => {
                self.broken(id, record, version, why);
            }
            Read::Broken(..) => {
                self.runs.remove(&id);
            }
            Read::All(all) if all.record.state.is_final() => {
                self.runs.remove(&id);
            }
            Read::All(all) => {
                let (record, version) = (all.record.clone(), all.version);
                let seed = self.rng.u64(..);
                let piece = self.settings.value_bytes;
                let process = self.documents.read(&all.bundle);
                let run = process.and_then(|p| ActiveRun::new(id, &p, *all, piece, seed));
                match run {
                    #[cfg_attr(not(feature = "sabotage"), expect(unused_mut))]
                    Ok(mut run) => {
                        #[cfg(feature = "sabotage")]
                        run.break_by(self.sabotage);
                        // What was asked before it was read again is about a
                        // run that had come further.
                        self.calls.retain(|_, pending| pending.run() != Some(id));
                        self.runs.insert(id, Held::Active(Box::new(run), version));
                    }
                    Err(why) => self.broken(id, record, version, why),
                }
            }
        }
    }

    /// The same for somebody who wants to know all about a run.
    fn logged(&mut self, asker: UserRequestId, id: RunId, stage: Stage, reply: StoreReply) {
        let answer = match stage.next(id, reply) {
            Read::More(stage, call) => {
                return self.store(Pending::Log(asker, id, stage), call);
            }
            Read::Again | Read::Broken(..) => Answer::RetryAfter(COME_BACK),
            Read::Nothing => Answer::Unknown,
            Read::All(all) => Answer::Log(all),
        };
        self.out.push(Output::Answer(asker, answer));
    }

    /// A run that can't be taken up ends as the service's error.
    fn broken(&mut self, id: RunId, mut record: RunRecord, version: u64, why: String) {
        log::error!("{id}: {why}");
        record.state = RunState::SystemError;
        record.failure = Some((String::new(), why));
        self.runs.insert(id, Held::Broken(record, version, false));
    }

    fn run_written(&mut self, now: Duration, id: RunId, mut rest: Vec<Txn>, reply: StoreReply) {
        match (self.runs.get_mut(&id), reply) {
            (Some(Held::Active(..)), StoreReply::Committed(_)) if !rest.is_empty() => {
                let txn = rest.remove(0);
                self.store(Pending::Write(id, rest), StoreCall::Txn(txn));
            }
            (Some(Held::Active(run, version)), StoreReply::Committed(revision)) => {
                *version = revision;
                run.written();
                if run.record().state.is_final() {
                    self.runs.remove(&id);
                }
            }
            (Some(Held::Broken(..)), StoreReply::Committed(_)) => {
                self.runs.remove(&id);
            }
            (Some(_), StoreReply::ConditionFailed) => {
                // Somebody else has written, or a write of ours whose answer
                // was lost: what is stored counts.
                self.runs.insert(id, Held::ToLoad(now));
                self.ranges.lost(id.range);
            }
            (Some(_), _) => {
                self.runs
                    .insert(id, Held::ToLoad(now + Duration::from_millis(500)));
            }
            (None, _) => {}
        }
    }

    fn created(&mut self, now: Duration, id: RunId, reply: StoreReply) {
        let Some(creating) = self.creating.get_mut(&id) else {
            return;
        };
        let asker = creating.asker;
        creating.busy = false;
        match reply {
            StoreReply::Committed(_) => {
                creating.txns.pop();
                if creating.txns.is_empty() {
                    self.creating.remove(&id);
                    // Read as it was written, as after a crash.
                    self.runs.insert(id, Held::ToLoad(now));
                    self.out.push(Output::Answer(asker, Answer::Started(id)));
                }
            }
            StoreReply::Refused => {}
            // If the run was written all the same, it runs; nobody was told of
            // it. It is found when the range is looked through.
            _ => {
                self.creating.remove(&id);
                let answer = Answer::RetryAfter(COME_BACK);
                self.out.push(Output::Answer(asker, answer));
            }
        }
    }

    /// Does what is due, as far as the budgets go.
    fn go_on(&mut self, now: Duration, unix_s: u64) {
        let held: BTreeSet<u32> = self.ranges.held().collect();
        // What is not ours any more is somebody else's to go on with.
        self.runs.retain(|id, _| held.contains(&id.range));
        while self.store.left(now) > 0
            && let Some(act) = self.ranges.next(now)
        {
            let call = match &act {
                ranges::Act::NewLease => StoreCall::LeaseGrant(self.settings.lease),
                ranges::Act::Touch(lease) => StoreCall::LeaseRenewal(*lease),
                ranges::Act::Join(txn) | ranges::Act::Claim(_, txn, _) => {
                    StoreCall::Txn(txn.clone())
                }
                ranges::Act::Look(prefix, after) => StoreCall::Page {
                    prefix: (*prefix).to_owned(),
                    after: after.clone(),
                },
            };
            self.store(Pending::Ranges(act), call);
        }
        if now >= self.cancels_at && self.store.left(now) > 0 && !held.is_empty() {
            self.cancels_at = now + CANCELS_EVERY;
            let call = StoreCall::Page {
                prefix: "wf/c/".to_owned(),
                after: None,
            };
            self.store(Pending::Cancels, call);
        }
        self.runs_at.retain(|range, _| held.contains(range));
        for range in held {
            let due = self.runs_at.get(&range).is_none_or(|at| now >= *at);
            if due && self.store.left(now) > 0 {
                self.runs_at.insert(range, now + RUNS_EVERY);
                let call = StoreCall::Page {
                    prefix: format!("wf/r/{range}/"),
                    after: None,
                };
                self.store(Pending::Runs(range), call);
            }
        }
        self.create_on(now);
        self.sweep_on(now);
        // Each run gets its turn, whoever was first last time.
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        let first = ids.partition_point(|id| Some(*id) <= self.turn);
        for id in ids[first..].iter().chain(&ids[..first]) {
            if self.store.left(now) == 0 && self.jobs.left(now) == 0 {
                break;
            }
            self.turn = Some(*id);
            self.run_on(now, unix_s, *id);
        }
    }

    fn create_on(&mut self, now: Duration) {
        let ids: Vec<_> = self.creating.keys().copied().collect();
        for id in ids {
            let Some(creating) = self.creating.get_mut(&id) else {
                continue;
            };
            let Some(txn) = creating.txns.last() else {
                continue;
            };
            let room =
                self.store.left(now) > 0 && self.writes.left(now) >= txn.changes.len().min(8);
            if creating.busy || !room {
                continue;
            }
            creating.busy = true;
            let mut txn = txn.clone();
            if !self.fence(id.range, &mut txn.conds) {
                if let Some(creating) = self.creating.remove(&id) {
                    let answer = Answer::RetryAfter(COME_BACK);
                    self.out.push(Output::Answer(creating.asker, answer));
                }
                continue;
            }
            self.store(Pending::Create(id), StoreCall::Txn(txn));
        }
    }

    /// Removes runs that have been kept for long enough, in what is left of the
    /// budgets.
    fn sweep_on(&mut self, now: Duration) {
        let at_once = self.at_once();
        while self.store.left(now) > 2 && self.writes.left(now) > at_once {
            match self.sweeps.next(at_once) {
                Some(Step::Look(id, after)) => {
                    let prefix = format!("{}/", run_key('j', id));
                    let call = StoreCall::Page { prefix, after };
                    self.store(Pending::SweepLook(id), call);
                }
                Some(Step::Remove(id, changes)) => {
                    let mut conds = Vec::new();
                    if !self.fence(id.range, &mut conds) {
                        self.sweeps.removed(id, None);
                        continue;
                    }
                    let pending = Pending::Sweep(id, changes.len());
                    self.store(pending, StoreCall::Txn(Txn { conds, changes }));
                }
                None => return,
            }
        }
    }

    fn run_on(&mut self, now: Duration, unix_s: u64, id: RunId) {
        match self.runs.get_mut(&id) {
            Some(Held::ToLoad(at)) if now >= *at && self.store.left(now) > 0 => {
                self.runs.insert(id, Held::Loading);
                let call = StoreCall::Page {
                    prefix: run_key('r', id),
                    after: None,
                };
                self.store(Pending::Load(id, Stage::Record), call);
            }
            Some(Held::Broken(record, version, busy)) if !*busy && self.store.left(now) > 0 => {
                *busy = true;
                record.ended_s = Some(unix_s);
                let changes = vec![put(run_key('r', id), record)];
                let version = *version;
                if let Some(conds) = self.unchanged(id, version) {
                    let call = StoreCall::Txn(Txn { conds, changes });
                    self.store(Pending::Write(id, Vec::new()), call);
                }
            }
            Some(Held::Active(run, version)) => {
                let left = self.jobs.left(now);
                let may_write = self.store.left(now) > 0 && self.writes.left(now) > 0;
                if left == 0 && !may_write {
                    return;
                }
                let version = *version;
                let acts = run.next_actions(now, unix_s, left, may_write);
                for act in acts {
                    self.act(id, version, act);
                }
            }
            _ => {}
        }
    }

    fn act(&mut self, id: RunId, version: u64, act: active::Act) {
        use active::Act;
        if !matches!(act, Act::Write(_)) {
            self.jobs.take(1);
        }
        match act {
            Act::Write(changes) => {
                if let Some(conds) = self.unchanged(id, version) {
                    // The run's record comes last: until then nothing counts.
                    let mut txns: Vec<Txn> = changes
                        .chunks(self.at_once())
                        .map(|changes| Txn {
                            conds: conds.clone(),
                            changes: changes.to_vec(),
                        })
                        .collect();
                    let first = txns.remove(0);
                    self.store(Pending::Write(id, txns), StoreCall::Txn(first));
                }
            }
            Act::Submit(key, spec) => {
                let call = self.call(Pending::Job(id, key, false));
                self.out.push(Output::Submit(call, spec));
            }
            Act::Poll(key, job) => {
                let call = self.call(Pending::Job(id, key, false));
                self.out.push(Output::Poll(call, job));
            }
            Act::Abort(key, job) => {
                let call = self.call(Pending::Job(id, key, true));
                self.out.push(Output::Abort(call, job));
            }
            Act::Results(key, job, tasks) => {
                let call = self.call(Pending::Results(id, key));
                self.out.push(Output::Results(call, job, tasks));
            }
            Act::Text(location) => {
                let call = self.call(Pending::Text(id, location.clone()));
                self.out.push(Output::Text(call, location));
            }
        }
    }
}
