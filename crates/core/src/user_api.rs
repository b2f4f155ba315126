//! The users' API: submitting, asking, cancelling.
//!
//! Users hear only what the store has confirmed: acceptance and cancellation
//! after the write that makes them so, anything that may still change after a
//! read begun when they asked; that a job was never accepted is no exception,
//! whether it is asked for or named by a submission. Final phases come from
//! memory. What can't be found out now is sent back at once with 503.

use std::{rc::Rc, time::Duration};

use oliveshift_policy::{queue::Share, score::fits};
use oliveshift_wire::{
    JobId, encode,
    job::{Amounts, JobPhase, JobSpec, JobStatus, Shape},
    state::{Change, Cond, MAX_TXN, Txn, json_len},
};

use crate::{
    admission_shares::AdmissionDecision,
    call::{ConnId, Method},
    controller::Controller,
    records::{FormatLevel, JobRecord, JobTooLarge, Key, Phase, max_chunk_tasks},
    store::{Outcome, Purpose, Urgency},
    user_writes::{UserWrite, UserWrites, WriteId, WriteResolution},
    view::Job,
};

/// The time after which a user stops waiting for an answer to a question is
/// 2 s; we give up before.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most requests kept waiting for a read or a write.
const MAX_WAITING: usize = 2000;

/// What a user wants to know or have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// To submit a job that seems to be known already.
    Submit,
    /// To know its state.
    Poll,
    /// To cancel it.
    Abort,
}

/// A user who waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    pub conn: ConnId,
    pub job: JobId,
    pub kind: RequestKind,
    pub since: Duration,
    /// What is submitted.
    pub spec: Option<Rc<JobSpec>>,
    /// The time of acceptance in the record that was written for it.
    pub at_ms: Option<u64>,
}

/// How the jobs that a submission names are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AwaitedJobs {
    /// All are accepted.
    Accepted,
    /// Some are not, as far as we know.
    Unknown,
    /// One is a service.
    Service,
}

/// Users who wait.
#[derive(Debug, Default)]
pub(crate) struct UserRequests {
    /// For a read of the records.
    pub awaiting_read: Vec<UserRequest>,
    /// For the view to reach a revision, to cancel then.
    awaiting_revision: Vec<(UserRequest, u64)>,
    /// For a write to be confirmed.
    pub awaiting_write: UserWrites,
}

impl Controller {
    /// A user's request below `/work`, whichever way it came in.
    pub(crate) fn handle_user_request(
        &mut self,
        conn: ConnId,
        method: Method,
        below: (Option<&str>, Option<&str>, Option<&str>),
        body: &[u8],
    ) {
        match (below, method) {
            ((None, ..), Method::Post) => self.submit(conn, body),
            ((Some(id), None, _), Method::Get) => self.poll(conn, id),
            ((Some(id), Some("abort"), None), Method::Post) => self.abort(conn, id),
            ((None, ..) | (Some(_), None | Some("abort"), None), _) => {
                self.refuse(conn, 405, "method not allowed");
            }
            _ => self.refuse(conn, 404, "no such path"),
        }
    }

    pub(crate) fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let mut spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(e) => return self.refuse(conn, 400, &e.to_string()),
        };
        if self.supported_level < FormatLevel::PIPELINES {
            spec.awaits.clear();
        }
        let id = spec.id.clone();
        if let Some(job) = self.view.jobs.get(&id) {
            if job.phase == Phase::Open {
                self.read_first(conn, id, RequestKind::Submit, None);
            } else {
                self.answer_status(conn, &id, 200);
            }
            return;
        }
        if !self.in_contact() {
            return self.relay_to_peer(conn, "the state service can not be reached");
        }
        if self.machine_types.is_empty() {
            return self.refuse_with_retry(conn, "the machine types are not known yet");
        }
        if let Err(why) = self.check_feasible(&spec) {
            // It may have been accepted under other circumstances by another
            // controller; an accepted job is never refused.
            log::debug!("{id}: refused: {why}");
            return self.refuse(conn, 422, why);
        }
        if !spec.awaits.is_empty() && self.level() < FormatLevel::PIPELINES {
            // An old program would start it at once.
            return self
                .refuse_with_retry(conn, "not all controllers can keep jobs that await others");
        }
        match self.classify_awaited(&spec) {
            AwaitedJobs::Accepted => self.accept(conn, Rc::new(spec)),
            AwaitedJobs::Service => self.refuse(conn, 422, "a service can not be awaited"),
            AwaitedJobs::Unknown => {
                self.read_first(conn, id, RequestKind::Submit, Some(Rc::new(spec)))
            }
        }
    }

    /// How the jobs that a submission names are known. It can't name itself:
    /// it is not accepted before.
    fn classify_awaited(&self, spec: &JobSpec) -> AwaitedJobs {
        let mut known = AwaitedJobs::Accepted;
        for awaited in &spec.awaits {
            match self.view.jobs.get(awaited) {
                Some(job) if job.service => return AwaitedJobs::Service,
                Some(_) => {}
                None => known = AwaitedJobs::Unknown,
            }
        }
        known
    }

    /// Records a job that may be accepted.
    fn accept(&mut self, conn: ConnId, spec: Rc<JobSpec>) {
        let id = spec.id.clone();
        log::debug!(
            "{id}: submitted: {} of {}, {} tasks of {} processors for {} s, due in {} s, \
             image {}, awaits {:?}",
            spec.class,
            spec.team,
            spec.tasks,
            spec.cpus,
            spec.estimate_s,
            spec.deadline_s.unwrap_or(0.0),
            spec.image,
            spec.awaits
        );
        let limits = self.limits();
        let accepted_ms = self.wall_clock.as_millis() as u64;
        let record = JobRecord {
            phase: Phase::Open,
            tasks: spec.tasks,
            accepted_ms,
            chunk_size: max_chunk_tasks(self.level(), limits.value_kb),
            spec: Some((*spec).clone()),
            spec_overflow_count: 0,
            done_ms: None,
            service: false,
        };
        let records = match record.split(&id, self.level(), limits) {
            Ok(records) if records.len() > 1 && self.level() < FormatLevel::PIPELINES => {
                // An old program could not make it whole again.
                return self.refuse_with_retry(conn, "not all controllers can keep so long a job");
            }
            Ok(records) => records,
            Err(why) => return self.refuse(conn, 422, &why.to_string()),
        };
        let mut txn = Txn {
            conds: vec![Cond {
                key: Key::Job(id.clone()).path(),
                version: 0,
            }],
            changes: records
                .into_iter()
                .map(|(key, value)| Change::Put {
                    key: key.path(),
                    value,
                    lease: None,
                })
                .collect(),
        };
        if json_len(&txn) > MAX_TXN {
            return self.refuse(conn, 422, &JobTooLarge::Lists.to_string());
        }
        let present = self.view.admission.as_ref();
        let present = present.map(|r| (r.version, &r.record));
        #[cfg(feature = "sabotage")]
        {
            self.admission_shares.sabotage = self.sabotage;
        }
        let me = (self.settings.node.as_str(), self.incarnation);
        let version = match self.admission_shares.admit(self.now, me, present, &spec) {
            AdmissionDecision::Unrestricted => None,
            AdmissionDecision::IfVersion(version) => Some(version),
            AdmissionDecision::RetryAfter(after) => {
                log::debug!("{id}: refused for now, to come again in {after:?}");
                return self.refuse_with_retry_after(
                    conn,
                    "more is open than can be done soon",
                    after,
                );
            }
        };
        // The share is spent only if the record is still the same.
        txn.conds.extend(version.map(|version| Cond {
            key: Key::Admission.path(),
            version,
        }));
        let request = UserRequest {
            conn,
            job: id,
            kind: RequestKind::Submit,
            since: self.now,
            spec: Some(spec),
            at_ms: Some(accepted_ms),
        };
        let spec = request.spec.clone();
        if !self.write_for_user(request, txn) {
            self.refund_share(version, spec.as_deref());
        }
    }

    /// A job that had a share of ours under this version did not come in.
    fn refund_share(&mut self, version: Option<u64>, spec: Option<&JobSpec>) {
        let record = self.view.admission.as_ref().map(|r| &r.record);
        if let (Some(version), Some(spec)) = (version, spec) {
            self.admission_shares.refund(version, record, spec);
        }
    }

    /// Why a job could never run, if so.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), &'static str> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoAdmissionChecks) {
            return Ok(());
        }
        let Some(team) = self.team_share(&spec.team) else {
            return Err("unknown team");
        };
        if spec
            .zone
            .as_ref()
            .is_some_and(|z| !self.settings.params.zones.contains(z))
        {
            return Err("unknown zone");
        }
        let need = spec.amounts();
        let fits_some = self.machine_types.values().any(|t| {
            spec.allows_type(&t.name)
                && fits(&need, &t.amounts())
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        if !fits_some {
            return Err("a task fits no allowed machine type");
        }
        let tasks = match spec.shape {
            Shape::Array => 1.0,
            Shape::Service | Shape::Gang => f64::from(spec.tasks),
        };
        let all = Amounts {
            cpus: need.cpus * tasks,
            gpus: need.gpus * tasks,
            memory_gb: 0.0,
        };
        if !team.allows(&all) {
            return Err("the job needs more than the team's limit");
        }
        Ok(())
    }

    /// A team's guarantee and limit.
    pub(crate) fn team_share(&self, team: &str) -> Option<Share> {
        let teams = &self.settings.params.teams;
        teams.iter().find(|t| t.name == team).map(|t| Share {
            guarantee: (t.cpus, t.gpus),
            limit: (t.cpus_max, t.gpus_max),
        })
    }

    /// Sends a write that a user waits for; false if there is no budget for it.
    fn write_for_user(&mut self, request: UserRequest, txn: Txn) -> bool {
        let id = (request.job.clone(), request.conn);
        if self.user_requests.awaiting_write.len() >= MAX_WAITING
            || !self.send_txn(txn.clone(), Purpose::User(id), Urgency::User)
        {
            self.refuse_with_retry(request.conn, "too many requests at once");
            return false;
        }
        let write = UserWrite::new(self.now, request, txn);
        self.user_requests.awaiting_write.add(write);
        true
    }

    /// Repeats the writes of users that got no answer for a while, as far as writes
    /// are not short.
    fn repeat_user_writes(&mut self) {
        if !self.in_contact() {
            return;
        }
        for id in self.user_requests.awaiting_write.due(self.now) {
            let Some(txn) = self.user_requests.awaiting_write.txn(&id).cloned() else {
                continue;
            };
            if self.send_txn(txn, Purpose::User(id.clone()), Urgency::Background) {
                self.user_requests.awaiting_write.sent(self.now, &id);
            }
        }
    }

    /// A request for a user's write has come to an outcome.
    pub(crate) fn user_write_answered(&mut self, id: &WriteId, outcome: Outcome) {
        match self.user_requests.awaiting_write.answered(id, outcome) {
            WriteResolution::Nothing => {}
            WriteResolution::Confirmed(request) => self.answer_written(&request),
            // Known already: by a retry that came in elsewhere, or by this write's
            // own first request.
            WriteResolution::Conflict(request, _) if request.kind == RequestKind::Submit => {
                let since = self.now;
                self.user_requests
                    .awaiting_read
                    .push(UserRequest { since, ..request });
            }
            WriteResolution::Conflict(request, revision) => {
                self.user_requests
                    .awaiting_revision
                    .push((request, revision));
            }
            WriteResolution::Failed(mut write) => {
                if !write.is_in_doubt() {
                    // Surely not executed.
                    write.request.at_ms = None;
                }
                self.abandon(&write.request, "the state service did not answer");
            }
        }
        self.resume_cancellations();
        self.refresh_view();
    }

    /// Lets somebody else answer a user who can't be answered here. A submission whose
    /// write may have been executed is not carried on: a peer would call the job known
    /// already at the user's first attempt, which then takes it for somebody else's.
    fn abandon(&mut self, request: &UserRequest, why: &str) {
        match request.at_ms {
            Some(_) => self.refuse_with_retry(request.conn, why),
            None => self.relay_to_peer(request.conn, why),
        }
    }

    /// A job's record has changed, which may confirm what users wait for.
    pub(crate) fn confirm_writes_by_record(&mut self, id: &JobId) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let (at_ms, is_cancelled) = (job.accepted_ms, job.phase == Phase::Cancelled);
        let shows = |request: &UserRequest| match request.kind {
            RequestKind::Submit => request.has_written(at_ms),
            RequestKind::Abort => is_cancelled,
            RequestKind::Poll => false,
        };
        for request in self.user_requests.awaiting_write.take_confirmed(id, shows) {
            self.answer_written(&request);
        }
    }

    /// Tells a user that the store has what was asked for.
    fn answer_written(&mut self, request: &UserRequest) {
        match request.kind {
            RequestKind::Abort => self.answer_cancelled(request),
            RequestKind::Submit | RequestKind::Poll => self.answer_accepted(request),
        }
    }

    fn answer_accepted(&mut self, request: &UserRequest) {
        let id = &request.job;
        log::debug!("{id}: accepted");
        // It may be over by now, if the answer to the write took long.
        let over = self.view.jobs.get(id).filter(|j| j.phase != Phase::Open);
        let is_cancelled = |awaited: &JobId| {
            let job = self.view.jobs.get(awaited);
            job.is_some_and(|j| j.phase == Phase::Cancelled)
        };
        let mut awaits = request.spec.iter().flat_map(|s| &s.awaits);
        let phase = match over {
            Some(job) => status_of(id, job).phase,
            None if awaits.any(is_cancelled) => JobPhase::Cancelled,
            None => JobPhase::Pending,
        };
        let status = JobStatus {
            id: id.clone(),
            phase,
            done: None,
            running: None,
        };
        self.answer(request.conn, 201, encode(&status));
    }

    fn answer_cancelled(&mut self, request: &UserRequest) {
        let id = &request.job;
        log::info!("{id}: cancelled by its user");
        let done = self.view.jobs.get(id).map(|j| j.done);
        let status = JobStatus {
            id: id.clone(),
            phase: JobPhase::Cancelled,
            done,
            running: Some(0),
        };
        self.answer(request.conn, 200, encode(&status));
    }

    pub(crate) fn poll(&mut self, conn: ConnId, id: &str) {
        let Ok(id) = id.parse::<JobId>() else {
            return self.refuse(conn, 404, "no such job");
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::UnansweredRequests)
            && crate::Sabotage::affects_job(&id)
        {
            return;
        }
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::FromMemory) {
            return match self.view.jobs.contains_key(&id) {
                true => self.answer_status(conn, &id, 200),
                false => self.refuse(conn, 404, "no such job"),
            };
        }
        match self.view.jobs.get(&id) {
            Some(job) if job.phase != Phase::Open => self.answer_status(conn, &id, 200),
            _ => self.read_first(conn, id, RequestKind::Poll, None),
        }
    }

    pub(crate) fn abort(&mut self, conn: ConnId, id: &str) {
        let Ok(id) = id.parse::<JobId>() else {
            return self.refuse(conn, 404, "no such job");
        };
        match self.view.jobs.get(&id) {
            Some(job) if job.phase != Phase::Open => self.answer_status(conn, &id, 200),
            Some(_) if self.in_contact() => {
                let request = UserRequest {
                    conn,
                    job: id,
                    kind: RequestKind::Abort,
                    since: self.now,
                    spec: None,
                    at_ms: None,
                };
                self.cancel(request);
            }
            _ => self.read_first(conn, id, RequestKind::Abort, None),
        }
    }

    /// Puts a user among those who wait for a read.
    fn read_first(
        &mut self,
        conn: ConnId,
        job: JobId,
        kind: RequestKind,
        spec: Option<Rc<JobSpec>>,
    ) {
        if !self.in_contact() || self.user_requests.awaiting_read.len() >= MAX_WAITING {
            return self.relay_to_peer(conn, "the state service can not be reached");
        }
        self.user_requests.awaiting_read.push(UserRequest {
            conn,
            job,
            kind,
            since: self.now,
            spec,
            at_ms: None,
        });
        self.refresh_view();
    }

    /// A read begun after they asked has ended.
    pub(crate) fn complete_user_requests(&mut self, requests: Vec<UserRequest>, fresh: bool) {
        for request in requests {
            let open = self
                .view
                .jobs
                .get(&request.job)
                .map(|j| j.phase == Phase::Open);
            if !fresh && open != Some(false) {
                self.abandon(&request, "the state service did not answer");
                continue;
            }
            match (open, request.kind) {
                (None, RequestKind::Submit) => match request.spec {
                    // What it names was not known before the read.
                    Some(spec) => match self.classify_awaited(&spec) {
                        AwaitedJobs::Accepted => self.accept(request.conn, spec),
                        AwaitedJobs::Service => {
                            self.refuse(request.conn, 422, "a service can not be awaited");
                        }
                        AwaitedJobs::Unknown => {
                            self.refuse(
                                request.conn,
                                422,
                                "it awaits a job that was never accepted",
                            );
                        }
                    },
                    None => self.refuse_with_retry(request.conn, "come again"),
                },
                (None, _) => self.refuse(request.conn, 404, "no such job"),
                (Some(true), RequestKind::Abort) => self.cancel(request),
                (Some(_), _) => {
                    let at_ms = self.view.jobs.get(&request.job).map(|j| j.accepted_ms);
                    let is_ours = at_ms.is_some_and(|at_ms| request.has_written(at_ms));
                    self.answer_status(request.conn, &request.job, if is_ours { 201 } else { 200 });
                }
            }
        }
    }

    fn answer_status(&mut self, conn: ConnId, id: &JobId, status: u16) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let body = encode(&status_of(id, job));
        self.answer(conn, status, body);
    }

    fn cancel(&mut self, request: UserRequest) {
        let Some(job) = self.view.jobs.get(&request.job) else {
            return;
        };
        let id = request.job.clone();
        let record = JobRecord {
            phase: Phase::Cancelled,
            spec: job.spec.as_deref().cloned(),
            ..job.record()
        };
        let record = record.trimmed(self.level(), self.limits().value_bytes());
        let key = Key::Job(id.clone()).path();
        let txn = Txn {
            conds: vec![Cond {
                key: key.clone(),
                version: job.version,
            }],
            changes: vec![Change::Put {
                key,
                value: record.to_value(self.level()),
                lease: None,
            }],
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::UnconfirmedCancels) {
            let conn = request.conn;
            let status = JobStatus {
                id: id.clone(),
                phase: JobPhase::Cancelled,
                done: None,
                running: None,
            };
            self.answer(conn, 200, encode(&status));
        }
        self.write_for_user(request, txn);
    }

    /// Cancellations that met a newer record go on once the view has it.
    pub(crate) fn resume_cancellations(&mut self) {
        if self.user_requests.awaiting_revision.is_empty() {
            return;
        }
        let revision = self.view.revision;
        let (ready, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.user_requests.awaiting_revision)
                .into_iter()
                .partition(|(_, needs)| *needs <= revision);
        self.user_requests.awaiting_revision = wait;
        let requests = ready.into_iter().map(|(request, _)| request).collect();
        self.complete_user_requests(requests, true);
    }

    pub(crate) fn user_requests_tick(&mut self) {
        let now = self.now;
        self.repeat_user_writes();
        let late = |request: &UserRequest| now.saturating_sub(request.since) > REQUEST_TIMEOUT;
        let mut given_up = Vec::new();
        self.user_requests.awaiting_read.retain(|request| {
            if late(request) {
                given_up.push(request.clone());
            }
            !late(request)
        });
        self.user_requests.awaiting_revision.retain(|(request, _)| {
            if late(request) {
                given_up.push(request.clone());
            }
            !late(request)
        });
        for request in given_up {
            self.abandon(&request, "the state service did not answer in time");
        }
        self.refresh_view();
    }
}

fn status_of(id: &JobId, job: &Job) -> JobStatus {
    let running = job.assigned_total();
    let phase = match job.phase {
        Phase::Done => JobPhase::Done,
        Phase::Cancelled => JobPhase::Cancelled,
        Phase::Open if running > 0 => JobPhase::Running,
        Phase::Open => JobPhase::Pending,
    };
    let (done, running) = match job.phase {
        Phase::Done => (job.tasks, 0),
        Phase::Cancelled => (job.done, 0),
        Phase::Open => (job.done, running),
    };
    JobStatus {
        id: id.clone(),
        phase,
        done: Some(done),
        running: Some(running),
    }
}
