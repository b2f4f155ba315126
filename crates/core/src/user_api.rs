//! The users' API: poll and cancel jobs, and requests that wait; [`crate::submissions`] has the
//! submissions.
//!
//! Answers state only what the state service has confirmed. Acceptance and
//! cancellation are answered after their write; a state that may still change is
//! answered after a read that began after the request came in. This includes the
//! answer that a job was never accepted, both for a polled job and for one that a
//! submission awaits, and the refusal of a submission for good. Final phases are
//! answered from memory. A request that can't be answered now gets status 503 at once.

use std::{rc::Rc, time::Duration};

use oliveshift_policy::quota::Quota;
use oliveshift_wire::{
    JobId, encode,
    job::{JobPhase, JobSpec, JobStatus},
    state::{Change, Cond, Txn},
};

use crate::{
    call::{CompleteBody, ConnId, Method},
    controller::Controller,
    records::{JobRecord, Key, Phase},
    store::{Outcome, Purpose, Urgency},
    submissions::Submission,
    user_writes::{UserWrite, UserWrites, WriteId, WriteResolution},
    verdict::{FreshRead, RefusalStatus, Verdict},
    view::Job,
};

/// Time limit for a read or a cancellation of a user's request. Clients stop waiting
/// for the answer to a poll after 2 s, so the controller gives up before that.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of requests that wait for a read, and of those that wait for a write.
const MAX_WAITING: usize = 2000;

/// What a user requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Submit a job.
    Submit,
    /// Read a job's state.
    Poll,
    /// Cancel a job.
    Abort,
}

/// A user's request that waits for a read or a write of the state service.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    pub conn: ConnId,
    pub job: JobId,
    pub kind: RequestKind,
    pub since: Duration,
    /// What a submission says, unless its job was known already.
    pub submission: Option<Submission>,
    /// Time of acceptance in the job record that was written for this request.
    pub accepted_ms: Option<u64>,
}

impl UserRequest {
    /// A request that came in at `since` and for which nothing has been written.
    pub fn new(
        conn: ConnId,
        job: JobId,
        kind: RequestKind,
        since: Duration,
        submission: Option<Submission>,
    ) -> Self {
        Self {
            conn,
            job,
            kind,
            since,
            submission,
            accepted_ms: None,
        }
    }

    /// The submitted job.
    pub fn spec(&self) -> Option<&Rc<JobSpec>> {
        match &self.submission {
            Some(Submission::Complete(spec)) => Some(spec),
            Some(Submission::Malformed(_)) | None => None,
        }
    }
}

/// Users' requests that wait.
#[derive(Debug, Default)]
pub(crate) struct UserRequests {
    /// Requests that wait for a read of the records.
    pub awaiting_read: Vec<UserRequest>,
    /// Cancellations that wait until the view reaches a revision.
    awaiting_revision: Vec<(UserRequest, u64)>,
    /// Requests whose write is not confirmed yet.
    pub awaiting_write: UserWrites,
}

impl Controller {
    /// Handles a user's request below `/work`, received directly or relayed by a peer.
    pub(crate) fn handle_user_request(
        &mut self,
        conn: ConnId,
        method: Method,
        below: (Option<&str>, Option<&str>, Option<&str>),
        body: &CompleteBody,
    ) {
        match (below, method) {
            ((None, ..), Method::Post) => self.submit(conn, body),
            ((Some(id), None, _), Method::Get) => self.poll(conn, id, body),
            ((Some(id), Some("abort"), None), Method::Post) => self.abort(conn, id, body),
            ((None, ..) | (Some(_), None | Some("abort"), None), _) => {
                self.refuse(conn, RefusalStatus::MethodNotAllowed, "method not allowed");
            }
            _ => self.deny(conn, &Verdict::no_such_path(body, "no such path")),
        }
    }

    /// Guarantee and limit of a team.
    pub(crate) fn team_quota(&self, team: &str) -> Option<Quota> {
        let teams = &self.settings.deployment.teams;
        teams.iter().find(|t| t.name == team).map(|t| Quota {
            guarantee: (t.cpus, t.gpus),
            limit: (t.cpus_max, t.gpus_max),
        })
    }

    /// Sends a write that a user waits for. Returns false if too many writes are
    /// pending or the request budget does not allow it.
    pub(crate) fn write_for_user(&mut self, request: UserRequest, txn: Txn) -> bool {
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

    /// Repeats users' writes that have not been answered in time, as far as the
    /// request budget allows.
    fn repeat_user_writes(&mut self) {
        if !self.in_contact() {
            return;
        }
        for id in self.user_requests.awaiting_write.due(self.now) {
            let Some(txn) = self.user_requests.awaiting_write.txn(&id).cloned() else {
                continue;
            };
            if self.send_txn(txn, Purpose::User(id.clone()), Urgency::Background) {
                self.user_requests
                    .awaiting_write
                    .record_repeat(self.now, &id);
            }
        }
    }

    /// Handles the outcome of one request of a user's write.
    pub(crate) fn user_write_answered(&mut self, id: &WriteId, outcome: Outcome) {
        match self
            .user_requests
            .awaiting_write
            .record_outcome(id, outcome)
        {
            WriteResolution::Nothing => {}
            WriteResolution::Confirmed(request) => self.answer_written(&request),
            // Either the job record exists already, written through another controller by
            // a retry of the user or by an earlier request of this write, or the admission
            // record has changed. A read decides.
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
                    // The write was certainly not executed.
                    write.request.accepted_ms = None;
                }
                self.abandon(&write.request, "the state service did not answer");
            }
        }
        self.resume_cancellations();
        self.refresh_view();
    }

    /// Relays a request that can't be answered here to a peer. A submission whose
    /// write may have been executed is not relayed but refused with a retry time: the
    /// peer would answer that the job exists already, and the user would take it for
    /// the job of another user.
    fn abandon(&mut self, request: &UserRequest, why: &str) {
        match request.accepted_ms {
            Some(_) => self.refuse_with_retry(request.conn, why),
            None => self.relay_to_peer(request.conn, why),
        }
    }

    /// Answers the pending writes that a changed job record confirms.
    pub(crate) fn confirm_writes_by_record(&mut self, id: &JobId) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let (accepted_ms, is_cancelled) = (job.accepted_ms, job.phase == Phase::Cancelled);
        let shows = |request: &UserRequest| match request.kind {
            RequestKind::Submit => request.has_written(accepted_ms),
            RequestKind::Abort => is_cancelled,
            RequestKind::Poll => false,
        };
        for request in self.user_requests.awaiting_write.take_confirmed(id, shows) {
            self.answer_written(&request);
        }
    }

    /// Answers a request whose write is confirmed.
    fn answer_written(&mut self, request: &UserRequest) {
        match request.kind {
            RequestKind::Abort => self.answer_cancelled(request),
            RequestKind::Submit | RequestKind::Poll => self.answer_accepted(request),
        }
    }

    fn answer_accepted(&mut self, request: &UserRequest) {
        let id = &request.job;
        log::debug!("{id}: accepted");
        // The job may have ended already if the answer to the write took long.
        let over = self.view.jobs.get(id).filter(|j| j.phase != Phase::Open);
        let is_cancelled = |awaited: &JobId| {
            let job = self.view.jobs.get(awaited);
            job.is_some_and(|j| j.phase == Phase::Cancelled)
        };
        let mut awaits = request.spec().into_iter().flat_map(|s| &s.awaits);
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

    pub(crate) fn poll(&mut self, conn: ConnId, id: &str, body: &CompleteBody) {
        let Ok(id) = id.parse::<JobId>() else {
            return self.deny(conn, &Verdict::no_such_path(body, "no job has such an id"));
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
                false => self.answer(conn, 404, Vec::new()),
            };
        }
        match self.view.jobs.get(&id) {
            Some(job) if job.phase != Phase::Open => self.answer_status(conn, &id, 200),
            _ => self.read_first(conn, id, RequestKind::Poll, None),
        }
    }

    pub(crate) fn abort(&mut self, conn: ConnId, id: &str, body: &CompleteBody) {
        let Ok(id) = id.parse::<JobId>() else {
            return self.deny(conn, &Verdict::no_such_path(body, "no job has such an id"));
        };
        match self.view.jobs.get(&id) {
            Some(job) if job.phase != Phase::Open => self.answer_status(conn, &id, 200),
            Some(_) if self.in_contact() => {
                let request = UserRequest::new(conn, id, RequestKind::Abort, self.now, None);
                self.cancel(request);
            }
            _ => self.read_first(conn, id, RequestKind::Abort, None),
        }
    }

    /// Queues a request that has to be answered from a read that begins after it.
    pub(crate) fn read_first(
        &mut self,
        conn: ConnId,
        job: JobId,
        kind: RequestKind,
        submission: Option<Submission>,
    ) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::StaleVerdicts)
            && submission.is_some()
            && let Some(read) = FreshRead::of_read(self.now, self.now)
        {
            let request = UserRequest::new(conn, job, kind, self.now, submission);
            return self.decide_submission(request, read);
        }
        if !self.in_contact() || self.user_requests.awaiting_read.len() >= MAX_WAITING {
            return self.relay_to_peer(
                conn,
                "the state service cannot be reached or too many requests wait",
            );
        }
        let request = UserRequest::new(conn, job, kind, self.now, submission);
        self.user_requests.awaiting_read.push(request);
        self.refresh_view();
    }

    /// Answers requests that waited for a read; `read` gives it, unless it failed or is too old
    /// for a request.
    pub(crate) fn complete_user_requests(
        &mut self,
        requests: Vec<UserRequest>,
        read: impl Fn(&UserRequest) -> Option<FreshRead>,
    ) {
        for request in requests {
            let open = self
                .view
                .jobs
                .get(&request.job)
                .map(|j| j.phase == Phase::Open);
            if open.is_none() && self.view.unreadable_jobs.contains(&request.job) {
                self.refuse_with_retry(request.conn, "the record of the job cannot be read");
                continue;
            }
            match (open, request.kind, read(&request)) {
                (Some(true) | None, _, None) => {
                    self.abandon(&request, "the state service did not answer");
                }
                (None, RequestKind::Submit, Some(read)) => self.decide_submission(request, read),
                (None, _, Some(read)) => self.deny(request.conn, &Verdict::unknown_job(read)),
                (Some(true), RequestKind::Abort, Some(_)) => self.cancel(request),
                // A final phase needs no read.
                (Some(_), ..) => self.answer_known(&request),
            }
        }
    }

    /// Answers with the state of a job that is known.
    fn answer_known(&mut self, request: &UserRequest) {
        let accepted_ms = self.view.jobs.get(&request.job).map(|j| j.accepted_ms);
        let is_ours = accepted_ms.is_some_and(|accepted_ms| request.has_written(accepted_ms));
        self.answer_status(request.conn, &request.job, if is_ours { 201 } else { 200 });
    }

    pub(crate) fn answer_status(&mut self, conn: ConnId, id: &JobId, status: u16) {
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

    /// Resumes cancellations that conflicted with a newer record, once the view has
    /// reached that record's revision.
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
        for (request, needs) in ready {
            self.complete_user_requests(vec![request], |_| FreshRead::of_revision(revision, needs));
        }
    }

    pub(crate) fn user_requests_tick(&mut self) {
        let now = self.now;
        self.repeat_user_writes();
        let log = &self.user_request_log;
        let is_expired = |request: &UserRequest| {
            now.saturating_sub(request.since) > REQUEST_TIMEOUT
                || log.answer_due(request.conn).is_some_and(|due| now > due)
        };
        let mut expired = Vec::new();
        self.user_requests.awaiting_read.retain(|request| {
            if is_expired(request) {
                expired.push(request.clone());
            }
            !is_expired(request)
        });
        self.user_requests.awaiting_revision.retain(|(request, _)| {
            if is_expired(request) {
                expired.push(request.clone());
            }
            !is_expired(request)
        });
        for request in expired {
            self.abandon(&request, "the state service did not answer in time");
        }
        self.refresh_view();
    }
}

/// The status of a job as users see it.
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
