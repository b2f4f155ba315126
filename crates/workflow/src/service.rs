//! An instance of the workflow service: advances the runs of the ranges that it holds.

mod messages;
mod submissions;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use oliveshift_wire::state::{Change, Cond, Txn};

#[cfg(feature = "sabotage")]
use crate::active::Sabotage;
use crate::{
    active::{self, ActiveRun, JobReply},
    budget::Budget,
    creation::RunCreation,
    documents::DocumentCache,
    flow::JobKey,
    ranges::{self, Ranges},
    records::{
        RunId, RunRecord, RunState, parse_record, put_record, put_text, range_key, run_id_of_key,
        run_key,
    },
    run_loading::{LoadProgress, LoadStage},
    submission::SubmissionIdentity,
    sweep::{SweepStep, Sweeps},
};

pub(crate) use messages::RETRY_AFTER;
pub use messages::{
    ANSWER_TIMEOUT, Answer, CallId, Input, MAX_BUNDLE_BYTES, Output, Settings, StoreCall,
    StoreReply, Submission, UserRequest, UserRequestId,
};

/// Interval between scans for cancellation requests.
const CANCEL_SCAN_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between scans of a range for runs that this instance has not loaded.
const RUN_SCAN_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum share of the writes that record submissions, so that runs go on meanwhile.
const CREATION_WRITE_SHARE: f64 = 0.75;

/// Purpose of a request in flight.
#[derive(Debug)]
enum Pending {
    Ranges(ranges::Action),
    CancelScan,
    RunScan(u32),
    Load(RunId, LoadStage),
    /// Write for a run, with the changes of the transactions that follow it.
    Write(RunId, VecDeque<Vec<Change>>),
    Job(RunId, JobKey, bool),
    Results(RunId, JobKey),
    Text(RunId, String),
    Create(RunId),
    /// Read that tells whether a submission is recorded, after a write of it failed.
    SettleCreation(RunId, RunCreation),
    /// Read of the record of a submission that cannot be recorded now.
    FindSubmission(UserRequestId, SubmissionIdentity),
    Status(UserRequestId, RunId),
    Cancel(UserRequestId),
    List(UserRequestId),
    Log(UserRequestId, RunId, LoadStage),
    SweepList(RunId),
    SweepRemove(RunId, usize),
}

impl Pending {
    /// Run that the reply is applied to, if it depends on the run's state in memory.
    fn run(&self) -> Option<RunId> {
        match self {
            Self::Write(id, _) | Self::Job(id, ..) | Self::Results(id, _) | Self::Text(id, _) => {
                Some(*id)
            }
            _ => None,
        }
    }
}

/// An unfinished run of a range that this instance holds.
#[derive(Debug)]
enum HeldRun {
    /// It is being loaded.
    Loading,
    /// It is to be loaded, not before this time.
    ToLoad(Duration),
    /// It cannot be executed. Holds its final record, the version of the stored record, and
    /// whether the write of the end is in flight.
    Invalid(RunRecord, u64, bool),
    /// It is in progress; holds the version of its stored record.
    Active(Box<ActiveRun>, u64),
}

/// An instance of the workflow service, as a state machine without I/O.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    rng: fastrand::Rng,
    next_call: CallId,
    pending_calls: HashMap<CallId, Pending>,
    ranges: Ranges,
    documents: DocumentCache,
    sweeps: Sweeps,
    runs: BTreeMap<RunId, HeldRun>,
    creating: BTreeMap<RunId, RunCreation>,
    store_budget: Budget,
    write_budget: Budget,
    /// Share of the write budget for submissions.
    creation_budget: Budget,
    job_budget: Budget,
    /// Run that was advanced last, for round-robin scheduling.
    last_advanced: Option<RunId>,
    next_cancel_scan: Duration,
    next_run_scans: BTreeMap<u32, Duration>,
    /// Fault that a test injects.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
    outputs: Vec<Output>,
}

impl Service {
    /// An instance that has not read anything yet. `seed` must differ between starts.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = rng.u64(1..1 << 53);
        Self {
            ranges: Ranges::new(&settings.name, start, settings.ranges, settings.lease),
            store_budget: Budget::new(settings.store_per_s),
            write_budget: Budget::new(settings.writes_per_s),
            creation_budget: Budget::new(settings.writes_per_s * CREATION_WRITE_SHARE),
            job_budget: Budget::new(settings.calls_per_s),
            documents: DocumentCache::default(),
            sweeps: Sweeps::new(settings.retention),
            settings,
            rng,
            next_call: 0,
            pending_calls: HashMap::new(),
            runs: BTreeMap::new(),
            creating: BTreeMap::new(),
            last_advanced: None,
            next_cancel_scan: Duration::ZERO,
            next_run_scans: BTreeMap::new(),
            #[cfg(feature = "sabotage")]
            sabotage: None,
            outputs: Vec::new(),
        }
    }

    /// Handles one input and returns the requests and answers to send. `now` is monotonic,
    /// `unix_s` the wall-clock time in seconds since the Unix epoch.
    pub fn handle(&mut self, now: Duration, unix_s: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => {}
            Input::Store(call, reply) => self.store_answered(now, unix_s, call, reply),
            Input::Job(call, reply) => {
                if let Some(Pending::Job(id, key, aborted)) = self.pending_calls.remove(&call) {
                    if let JobReply::RetryAfter(Some(after)) = reply {
                        self.job_budget.block_until(now + after);
                    }
                    if let Some(HeldRun::Active(run, _)) = self.runs.get_mut(&id) {
                        run.job_answered(now, &key, reply, aborted);
                    }
                }
            }
            Input::Results(call, results) => {
                if let Some(Pending::Results(id, key)) = self.pending_calls.remove(&call)
                    && let Some(HeldRun::Active(run, _)) = self.runs.get_mut(&id)
                {
                    run.results_fetched(now, &key, results);
                }
            }
            Input::Text(call, text) => {
                if let Some(Pending::Text(id, location)) = self.pending_calls.remove(&call)
                    && let Some(HeldRun::Active(run, _)) = self.runs.get_mut(&id)
                {
                    run.text_fetched(&location, text);
                }
            }
            Input::UserRequest(request_id, request) => {
                self.handle_request(now, unix_s, request_id, request)
            }
        }
        self.advance(now, unix_s);
        std::mem::take(&mut self.outputs)
    }

    /// Number of unfinished runs that this instance holds.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Describes in readable form what this instance knows of a run, for diagnostics.
    pub fn describe(&self, id: RunId) -> String {
        match self.runs.get(&id) {
            None if self.ranges.version(id.range).is_some() => {
                "not found when its range was scanned".to_owned()
            }
            None => format!(
                "in a range that this instance does not hold; it holds {:?}",
                self.ranges.held().collect::<Vec<_>>()
            ),
            Some(HeldRun::Loading | HeldRun::ToLoad(_)) => "being loaded".to_owned(),
            Some(HeldRun::Invalid(record, ..)) => {
                format!("cannot be executed: {:?}", record.failure)
            }
            Some(HeldRun::Active(run, _)) => run.describe(),
        }
    }

    fn register_call(&mut self, pending: Pending) -> CallId {
        self.next_call += 1;
        self.pending_calls.insert(self.next_call, pending);
        self.next_call
    }

    fn call_store(&mut self, pending: Pending, call: StoreCall) {
        self.store_budget.charge(1);
        if let StoreCall::Txn(txn) = &call {
            self.write_budget.charge(txn.changes.len());
        }
        let id = self.register_call(pending);
        self.outputs.push(Output::Store(id, call));
    }

    fn handle_request(
        &mut self,
        now: Duration,
        unix_s: u64,
        request_id: UserRequestId,
        request: UserRequest,
    ) {
        let retry = Answer::RetryAfter(RETRY_AFTER);
        match request {
            UserRequest::Submit(submission) => self.submit(now, unix_s, request_id, *submission),
            UserRequest::Status(id) => {
                // Only recorded state is reported: unrecorded state is lost in a crash.
                if let Some(HeldRun::Active(run, _)) = self.runs.get(&id)
                    && self.ranges.version(id.range).is_some()
                {
                    let record = Box::new(run.record().clone());
                    return self
                        .outputs
                        .push(Output::Answer(request_id, Answer::Status(record)));
                }
                if self.store_budget.available(now) == 0 {
                    return self.outputs.push(Output::Answer(request_id, retry));
                }
                let prefix = run_key('r', id);
                let call = StoreCall::Page {
                    prefix,
                    after: None,
                };
                self.call_store(Pending::Status(request_id, id), call);
            }
            UserRequest::Log(_) | UserRequest::List(_) if self.store_budget.available(now) == 0 => {
                self.outputs.push(Output::Answer(request_id, retry));
            }
            UserRequest::Log(id) => {
                let call = StoreCall::Page {
                    prefix: run_key('r', id),
                    after: None,
                };
                self.call_store(Pending::Log(request_id, id, LoadStage::Record), call);
            }
            UserRequest::List(after) => {
                let call = StoreCall::Page {
                    prefix: "wf/r/".to_owned(),
                    after,
                };
                self.call_store(Pending::List(request_id), call);
            }
            UserRequest::Cancel(id) => {
                if self.store_budget.available(now) == 0 || self.write_budget.available(now) == 0 {
                    return self.outputs.push(Output::Answer(request_id, retry));
                }
                let txn = Txn {
                    conds: Vec::new(),
                    changes: vec![put_text(run_key('c', id), String::new())],
                };
                self.call_store(Pending::Cancel(request_id), StoreCall::Txn(txn));
            }
        }
    }

    /// Maximum number of changes per transaction. A transaction may take at most 64 KiB,
    /// independent of the size limit of values.
    fn max_txn_changes(&self) -> usize {
        let by_size = (48 * 1024 / self.settings.value_bytes.max(1)).max(1);
        self.settings.txn_ops.clamp(1, by_size)
    }

    /// Adds the condition that this instance still holds a range. Returns false if it does not.
    fn add_fence(&self, range: u32, conds: &mut Vec<Cond>) -> bool {
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

    /// Conditions that a run's record is unchanged and this instance still holds its range.
    /// `None` if it no longer holds the range.
    fn run_conditions(&self, id: RunId, version: u64) -> Option<Vec<Cond>> {
        let key = run_key('r', id);
        let mut conds = vec![Cond { key, version }];
        self.add_fence(id.range, &mut conds).then_some(conds)
    }

    fn store_answered(&mut self, now: Duration, unix_s: u64, call: CallId, reply: StoreReply) {
        let Some(pending) = self.pending_calls.remove(&call) else {
            return;
        };
        if reply == StoreReply::Refused {
            self.store_budget
                .block_until(now + Duration::from_millis(300));
        }
        match pending {
            Pending::Ranges(action) => self.ranges_answered(now, action, reply),
            Pending::CancelScan => {
                if let StoreReply::Page(items, more) = reply {
                    if more {
                        let call = StoreCall::Page {
                            prefix: "wf/c/".to_owned(),
                            after: items.last().map(|i| i.key.clone()),
                        };
                        self.call_store(Pending::CancelScan, call);
                    }
                    for id in items.iter().filter_map(|i| run_id_of_key(&i.key)) {
                        if let Some(HeldRun::Active(run, _)) = self.runs.get_mut(&id) {
                            run.cancel();
                        }
                    }
                }
            }
            Pending::RunScan(range) => match reply {
                StoreReply::Page(items, more) => {
                    let last = items.last().map(|i| i.key.clone());
                    for item in &items {
                        let record: Option<RunRecord> = parse_record(item);
                        let (Some(id), Some(record)) = (run_id_of_key(&item.key), record) else {
                            continue;
                        };
                        if record.state.is_final() {
                            self.sweeps.consider(id, &record, item.version, unix_s);
                        } else if !self.creating.contains_key(&id) {
                            self.runs.entry(id).or_insert(HeldRun::ToLoad(now));
                        }
                    }
                    if more {
                        let prefix = format!("wf/r/{range}/");
                        let call = StoreCall::Page {
                            prefix,
                            after: last,
                        };
                        self.call_store(Pending::RunScan(range), call);
                    }
                }
                _ => {
                    self.next_run_scans.remove(&range);
                }
            },
            Pending::Load(id, stage) => self.load_answered(now, id, stage, reply),
            Pending::Write(id, rest) => self.run_write_answered(now, id, rest, reply),
            Pending::Create(id) => self.creation_answered(now, id, &reply),
            Pending::SettleCreation(id, creation) => {
                self.creation_settled(now, id, &creation, reply)
            }
            Pending::FindSubmission(request_id, identity) => {
                let answer = match &reply {
                    StoreReply::Page(items, _) => identity.answer(items),
                    _ => None,
                };
                let answer = answer.unwrap_or(Answer::RetryAfter(RETRY_AFTER));
                self.outputs.push(Output::Answer(request_id, answer));
            }
            Pending::Status(request_id, id) => {
                let answer = match reply {
                    StoreReply::Page(items, _) => {
                        let key = run_key('r', id);
                        let item = items.iter().find(|i| i.key == key);
                        let record = item.and_then(parse_record);
                        record.map_or(Answer::Unknown, |r| Answer::Status(Box::new(r)))
                    }
                    _ => Answer::RetryAfter(RETRY_AFTER),
                };
                self.outputs.push(Output::Answer(request_id, answer));
            }
            Pending::List(request_id) => {
                let answer = match reply {
                    StoreReply::Page(items, more) => {
                        let next = items.last().map(|i| i.key.clone()).filter(|_| more);
                        let runs = items
                            .iter()
                            .filter_map(|i| Some((run_id_of_key(&i.key)?, parse_record(i)?)));
                        Answer::Runs(runs.collect(), next)
                    }
                    _ => Answer::RetryAfter(RETRY_AFTER),
                };
                self.outputs.push(Output::Answer(request_id, answer));
            }
            Pending::Log(request_id, id, stage) => self.log_answered(request_id, id, stage, reply),
            Pending::SweepList(id) => match &reply {
                StoreReply::Page(items, more) => self.sweeps.jobs_listed(id, Some((items, *more))),
                _ => self.sweeps.jobs_listed(id, None),
            },
            Pending::SweepRemove(id, count) => {
                let done = matches!(reply, StoreReply::Committed(_));
                self.sweeps.removal_answered(id, done.then_some(count));
            }
            Pending::Cancel(request_id) => {
                let answer = match reply {
                    StoreReply::Committed(_) => Answer::Cancelling,
                    StoreReply::Lost => Answer::OutcomeUnknown(RETRY_AFTER),
                    _ => Answer::RetryAfter(RETRY_AFTER),
                };
                self.outputs.push(Output::Answer(request_id, answer));
            }
            Pending::Job(..) | Pending::Results(..) | Pending::Text(..) => {}
        }
    }

    fn ranges_answered(&mut self, now: Duration, action: ranges::Action, reply: StoreReply) {
        use ranges::Action;
        match (action, reply) {
            (Action::GrantLease, StoreReply::LeaseGranted(lease)) => {
                self.ranges.lease_granted(now, Some(lease))
            }
            (Action::RenewLease(_), StoreReply::LeaseRenewed(success)) => {
                self.ranges.lease_renewed(success)
            }
            (Action::RegisterMember(_), reply) => {
                self.ranges
                    .member_registered(matches!(reply, StoreReply::Committed(_)));
            }
            (Action::ReadPage(prefix, _), StoreReply::Page(items, more)) => {
                self.ranges.page_read(prefix, items, more);
            }
            (Action::WriteClaim(range, _, take), StoreReply::Committed(revision)) => {
                self.ranges.claim_answered(range, take, Some(revision));
                self.next_run_scans.remove(&range);
            }
            (Action::WriteClaim(range, _, take), _) => {
                self.ranges.claim_answered(range, take, None)
            }
            _ => self.ranges.request_failed(),
        }
    }

    fn load_answered(&mut self, now: Duration, id: RunId, stage: LoadStage, reply: StoreReply) {
        match stage.next(id, reply) {
            LoadProgress::More(stage, call) => self.call_store(Pending::Load(id, stage), call),
            LoadProgress::Retry => {
                let again = now + Duration::from_secs(1);
                self.runs.insert(id, HeldRun::ToLoad(again));
            }
            LoadProgress::Missing => {
                self.runs.remove(&id);
            }
            LoadProgress::Invalid(record, version, reason) if !record.state.is_final() => {
                self.end_invalid_run(id, record, version, reason);
            }
            LoadProgress::Invalid(..) => {
                self.runs.remove(&id);
            }
            LoadProgress::Complete(stored_run) if stored_run.record.state.is_final() => {
                self.runs.remove(&id);
            }
            LoadProgress::Complete(stored_run) => {
                let (record, version) = (stored_run.record.clone(), stored_run.version);
                let seed = self.rng.u64(..);
                let piece_bytes = self.settings.value_bytes;
                let process = self.documents.read(&stored_run.bundle);
                let run =
                    process.and_then(|p| ActiveRun::new(id, &p, *stored_run, piece_bytes, seed));
                match run {
                    #[cfg_attr(not(feature = "sabotage"), expect(unused_mut))]
                    Ok(mut run) => {
                        #[cfg(feature = "sabotage")]
                        run.set_sabotage(self.sabotage);
                        // Replies to requests from before the reload refer to a later state of
                        // the run, so they are dropped.
                        self.pending_calls
                            .retain(|_, pending| pending.run() != Some(id));
                        self.runs
                            .insert(id, HeldRun::Active(Box::new(run), version));
                    }
                    Err(reason) => self.end_invalid_run(id, record, version, reason),
                }
            }
        }
    }

    /// Applies a page of a run that is read to answer a user's request for its log.
    fn log_answered(
        &mut self,
        request_id: UserRequestId,
        id: RunId,
        stage: LoadStage,
        reply: StoreReply,
    ) {
        let answer = match stage.next(id, reply) {
            LoadProgress::More(stage, call) => {
                return self.call_store(Pending::Log(request_id, id, stage), call);
            }
            LoadProgress::Retry | LoadProgress::Invalid(..) => Answer::RetryAfter(RETRY_AFTER),
            LoadProgress::Missing => Answer::Unknown,
            LoadProgress::Complete(stored_run) => Answer::Log(stored_run),
        };
        self.outputs.push(Output::Answer(request_id, answer));
    }

    /// Ends a run that cannot be executed, as a system error.
    fn end_invalid_run(&mut self, id: RunId, mut record: RunRecord, version: u64, reason: String) {
        log::error!("{id}: run cannot be executed and ends as SYSTEM_ERROR: {reason}");
        record.state = RunState::SystemError;
        record.failure = Some((String::new(), reason));
        self.runs
            .insert(id, HeldRun::Invalid(record, version, false));
    }

    fn run_write_answered(
        &mut self,
        now: Duration,
        id: RunId,
        rest: VecDeque<Vec<Change>>,
        reply: StoreReply,
    ) {
        match (self.runs.get_mut(&id), reply) {
            (Some(HeldRun::Active(run, version)), StoreReply::Committed(revision)) => {
                *version = revision;
                if !rest.is_empty() {
                    return self.write_part(id, revision, rest);
                }
                run.write_committed();
                if run.record().state.is_final() {
                    self.runs.remove(&id);
                }
            }
            (Some(HeldRun::Invalid(..)), StoreReply::Committed(_)) => {
                self.runs.remove(&id);
            }
            (Some(_), StoreReply::ConditionFailed) => {
                // Another instance has written, or an earlier write of this one whose answer was
                // lost. The stored state is authoritative and is loaded again.
                self.runs.insert(id, HeldRun::ToLoad(now));
                self.ranges.range_lost(id.range);
            }
            (Some(_), _) => {
                self.runs
                    .insert(id, HeldRun::ToLoad(now + Duration::from_millis(500)));
            }
            (None, _) => {}
        }
    }

    /// Sends the first of several parts of a write for a run.
    fn write_part(&mut self, id: RunId, version: u64, mut parts: VecDeque<Vec<Change>>) {
        if let Some(conds) = self.run_conditions(id, version)
            && let Some(changes) = parts.pop_front()
        {
            let call = StoreCall::Txn(Txn { conds, changes });
            self.call_store(Pending::Write(id, parts), call);
        }
    }

    /// Performs all due work within the request budgets.
    fn advance(&mut self, now: Duration, unix_s: u64) {
        let held: BTreeSet<u32> = self.ranges.held().collect();
        // Runs of ranges that this instance no longer holds are left to the new holder.
        self.runs.retain(|id, _| held.contains(&id.range));
        while self.store_budget.available(now) > 0
            && let Some(action) = self.ranges.next_action(now)
        {
            let call = match &action {
                ranges::Action::GrantLease => StoreCall::LeaseGrant(self.settings.lease),
                ranges::Action::RenewLease(lease) => StoreCall::LeaseRenewal(*lease),
                ranges::Action::RegisterMember(txn) | ranges::Action::WriteClaim(_, txn, _) => {
                    StoreCall::Txn(txn.clone())
                }
                ranges::Action::ReadPage(prefix, after) => StoreCall::Page {
                    prefix: (*prefix).to_owned(),
                    after: after.clone(),
                },
            };
            self.call_store(Pending::Ranges(action), call);
        }
        if now >= self.next_cancel_scan && self.store_budget.available(now) > 0 && !held.is_empty()
        {
            self.next_cancel_scan = now + CANCEL_SCAN_INTERVAL;
            let call = StoreCall::Page {
                prefix: "wf/c/".to_owned(),
                after: None,
            };
            self.call_store(Pending::CancelScan, call);
        }
        self.next_run_scans.retain(|range, _| held.contains(range));
        for range in held {
            let due = self.next_run_scans.get(&range).is_none_or(|at| now >= *at);
            if due && self.store_budget.available(now) > 0 {
                self.next_run_scans.insert(range, now + RUN_SCAN_INTERVAL);
                let call = StoreCall::Page {
                    prefix: format!("wf/r/{range}/"),
                    after: None,
                };
                self.call_store(Pending::RunScan(range), call);
            }
        }
        self.advance_creations(now);
        self.advance_sweeps(now);
        // Runs are advanced round robin, after the one that was advanced last.
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        let first = ids.partition_point(|id| Some(*id) <= self.last_advanced);
        for id in ids[first..].iter().chain(&ids[..first]) {
            if self.store_budget.available(now) == 0 && self.job_budget.available(now) == 0 {
                break;
            }
            self.last_advanced = Some(*id);
            self.advance_run(now, unix_s, *id);
        }
    }

    /// Removes runs whose retention period is over, with what remains of the budgets.
    fn advance_sweeps(&mut self, now: Duration) {
        let max_txn_changes = self.max_txn_changes();
        while self.store_budget.available(now) > 2
            && self.write_budget.available(now) > max_txn_changes
        {
            match self.sweeps.next_step(max_txn_changes) {
                Some(SweepStep::ListJobs(id, after)) => {
                    let prefix = format!("{}/", run_key('j', id));
                    let call = StoreCall::Page { prefix, after };
                    self.call_store(Pending::SweepList(id), call);
                }
                Some(SweepStep::Remove(id, cond, changes)) => {
                    let mut conds: Vec<Cond> = cond.into_iter().collect();
                    if !self.add_fence(id.range, &mut conds) {
                        self.sweeps.removal_answered(id, None);
                        continue;
                    }
                    let pending = Pending::SweepRemove(id, changes.len());
                    self.call_store(pending, StoreCall::Txn(Txn { conds, changes }));
                }
                None => return,
            }
        }
    }

    fn advance_run(&mut self, now: Duration, unix_s: u64, id: RunId) {
        match self.runs.get_mut(&id) {
            Some(HeldRun::ToLoad(at)) if now >= *at && self.store_budget.available(now) > 0 => {
                self.runs.insert(id, HeldRun::Loading);
                let call = StoreCall::Page {
                    prefix: run_key('r', id),
                    after: None,
                };
                self.call_store(Pending::Load(id, LoadStage::Record), call);
            }
            Some(HeldRun::Invalid(record, version, in_flight))
                if !*in_flight && self.store_budget.available(now) > 0 =>
            {
                *in_flight = true;
                record.ended_s = Some(unix_s);
                let changes = vec![put_record(run_key('r', id), record)];
                let version = *version;
                if let Some(conds) = self.run_conditions(id, version) {
                    let call = StoreCall::Txn(Txn { conds, changes });
                    self.call_store(Pending::Write(id, VecDeque::new()), call);
                }
            }
            Some(HeldRun::Active(run, version)) => {
                let left = self.job_budget.available(now);
                let may_write =
                    self.store_budget.available(now) > 0 && self.write_budget.available(now) > 0;
                if left == 0 && !may_write {
                    return;
                }
                let version = *version;
                let actions = run.next_actions(now, unix_s, left, may_write);
                for action in actions {
                    self.perform(id, version, action);
                }
            }
            _ => {}
        }
    }

    fn perform(&mut self, id: RunId, version: u64, action: active::Action) {
        use active::Action;
        if !matches!(action, Action::Write(_)) {
            self.job_budget.charge(1);
        }
        match action {
            Action::Write(changes) => {
                if let Some(HeldRun::Active(run, _)) = self.runs.get(&id) {
                    let unchanged = put_record(run_key('r', id), run.record());
                    let parts = split_write(changes, &unchanged, self.max_txn_changes());
                    self.write_part(id, version, parts);
                }
            }
            Action::Submit(key, spec) => {
                let call = self.register_call(Pending::Job(id, key, false));
                self.outputs.push(Output::Submit(call, spec));
            }
            Action::Poll(key, job) => {
                let call = self.register_call(Pending::Job(id, key, false));
                self.outputs.push(Output::Poll(call, job));
            }
            Action::Abort(key, job) => {
                let call = self.register_call(Pending::Job(id, key, true));
                self.outputs.push(Output::Abort(call, job));
            }
            Action::Results(key, job, tasks) => {
                let call = self.register_call(Pending::Results(id, key));
                self.outputs.push(Output::Results(call, job, tasks));
            }
            Action::Text(location) => {
                let call = self.register_call(Pending::Text(id, location.clone()));
                self.outputs.push(Output::Text(call, location));
            }
        }
    }
}

/// Splits a write for a run into transactions of at most `max_changes` changes. The last change, the
/// run's record, is in the last one; the others write the record as it is. So each transaction gives
/// the record a new version, on which the next one depends, and none can be executed late between
/// those of a later write.
fn split_write(
    mut changes: Vec<Change>,
    unchanged_record: &Change,
    max_changes: usize,
) -> VecDeque<Vec<Change>> {
    let mut parts = VecDeque::new();
    while changes.len() > max_changes.max(1) {
        let part = max_changes.saturating_sub(1).max(1);
        let rest = changes.split_off(part);
        changes.push(unchanged_record.clone());
        parts.push_back(std::mem::replace(&mut changes, rest));
    }
    parts.push_back(changes);
    parts
}
