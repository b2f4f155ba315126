//! Users, API clients and probes: their requests, and how they handle the answers.

use std::time::Duration;

use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobStatus},
};

use super::{
    CONTROLLER_COUNT, Event, MS, RequestKind, Requester, S, USER_TIMEOUT, World,
    follow_ups::FollowUpAnswer,
};
use crate::{
    Direction,
    api_client::{ApiOperation, ApiRequest},
    faults::Fault,
    submission_forms::SubmissionForm,
};

impl World {
    pub(super) fn step_api_client(&mut self) {
        let now = self.now;
        let Some(client) = &mut self.api_client else {
            return;
        };
        for ApiRequest { token, what } in client.step(now) {
            let node = self.api_client_rng.usize(0..CONTROLLER_COUNT);
            if self.nodes[node].controller.is_none() {
                self.answer_api_client(token, None);
                continue;
            }
            self.schedule(now + S * 5, Event::ApiClientTimeout(token));
            let submits = matches!(what, ApiOperation::Submit(_));
            let (job, method, path, body) = match what {
                ApiOperation::Submit(spec) => {
                    let body = encode(&*spec);
                    let job = spec.id.clone();
                    self.rules.jobs.insert(job.clone(), *spec);
                    (job, Method::Post, "/work".to_owned(), body)
                }
                ApiOperation::Poll(id) => {
                    let path = format!("/work/{id}");
                    (id, Method::Get, path, Vec::new())
                }
                ApiOperation::Abort(id) => {
                    self.rules.cancel_requested(&id);
                    let path = format!("/work/{id}/abort");
                    (id, Method::Post, path, Vec::new())
                }
            };
            let requester = Requester::ApiClient {
                token,
                job,
                submits,
            };
            let conn = self.new_id();
            self.send_request(node, conn, requester, method, path, body);
        }
    }

    pub(super) fn answer_api_client(&mut self, token: u64, answer: Option<(u16, Vec<u8>)>) {
        let now = self.now;
        if let Some(client) = &mut self.api_client {
            client.answered(now, token, answer);
        }
    }

    pub(super) fn step_users(&mut self) {
        let now = self.now;
        for i in 0..self.users.len() {
            let user = &self.users[i];
            let waits = |j: &usize| {
                let other = &self.users[*j];
                !(if user.waits_for_end {
                    other.ended
                } else {
                    other.accepted
                })
            };
            let refused = self.refused_jobs.contains(&user.spec.id);
            if refused || user.waits_for.iter().any(waits) {
                continue;
            }
            let user = &mut self.users[i];
            if user.answer_due.is_some_and(|until| until <= now) {
                user.answer_due = None;
                self.sockets.late.0 += 1;
            }
            if now < user.next_request_at || user.answer_due.is_some_and(|at| now < at) {
                continue;
            }
            user.next_request_at = now + MS * 1000;
            user.answer_due = Some(now + MS * 2000);
            let cancel = user.cancel_at.is_some_and(|at| now > at);
            let kind = if self.rng.f64() < 0.03 {
                RequestKind::PollUnknown
            } else if !user.accepted || self.rng.f64() < 0.03 {
                RequestKind::Submit
            } else if cancel && !user.ended {
                RequestKind::Cancel
            } else {
                RequestKind::Poll
            };
            if matches!(kind, RequestKind::Submit | RequestKind::Cancel)
                && let Some(lag) = self.draw_duplicate_lag()
            {
                self.schedule(now + lag, Event::DuplicateUserRequest(i, kind));
            }
            self.send_user_request(i, kind);
        }
    }

    /// The encoding of the next submission; all are used in turn.
    pub(super) fn next_submission_form(&mut self) -> SubmissionForm {
        let forms = SubmissionForm::ALL;
        self.submissions_sent += 1;
        forms[self.submissions_sent % forms.len()]
    }

    /// Sends a request of a user to a random controller.
    pub(super) fn send_user_request(&mut self, i: usize, kind: RequestKind) {
        let now = self.now;
        let node = self.rng.usize(0..CONTROLLER_COUNT);
        if self.nodes[node].controller.is_none() || self.is_zone_cut(node) {
            return;
        }
        let spec = self.users[i].spec.clone();
        let conn = self.new_id();
        let mut job = spec.id.clone();
        let (method, path, body) = match kind {
            RequestKind::Submit => {
                self.rules.jobs.insert(job.clone(), spec.clone());
                let form = self.next_submission_form();
                (Method::Post, "/work".to_owned(), form.encode(&spec))
            }
            RequestKind::Poll => (Method::Get, format!("/work/{job}"), Vec::new()),
            RequestKind::Cancel => {
                self.rules.cancel_requested(&job);
                (Method::Post, format!("/work/{job}/abort"), Vec::new())
            }
            RequestKind::PollUnknown => {
                // The job id belongs to no user, so no answer resets `answer_due`: the
                // user's next request follows when the answer would have been due.
                let user = &mut self.users[i];
                user.next_request_at = user.answer_due.take().unwrap_or(now);
                job = format!("j-99{conn}").parse().expect("a valid job id");
                (Method::Get, format!("/work/{job}"), Vec::new())
            }
        };
        let until = now + USER_TIMEOUT;
        let requester = Requester::User { job, kind, until };
        self.send_request(node, conn, requester, method, path, body);
    }

    pub(super) fn deliver_answer(
        &mut self,
        node: usize,
        requester: Requester,
        status: u16,
        body: Vec<u8>,
    ) {
        match requester {
            Requester::Worker { name, .. } if self.are_answers_lost(&name) => {
                self.evidence.lost_report_answers += 1;
            }
            Requester::FollowUp { job, kind, asked } => self.follow_up_answered(FollowUpAnswer {
                job,
                kind,
                asked,
                node,
                status,
                body,
            }),
            Requester::InvalidSubmission { job, defect } => {
                self.check_rejection(&job, defect, status)
            }
            Requester::Worker { name, report } => {
                let latency = self.draw_latency() + self.report_answer_lag(node);
                let at = match self.worker_cut_until(node, &name, Direction::ToMachine) {
                    Some(until) => until + latency,
                    None => self.now + latency,
                };
                self.schedule(at, Event::ReportAnswer(report, name, status, body));
            }
            // A user that has timed out does not read the answer.
            Requester::User { until, .. } if self.now > until => {}
            Requester::User { job, kind, until } => {
                let asked = until.saturating_sub(USER_TIMEOUT);
                self.process_user_answer(node, job, kind, asked, status, &body);
            }
            Requester::Probe { asked } => {
                self.sockets.late.1 += usize::from(self.now > asked + S);
            }
            Requester::Peer {
                node,
                incarnation,
                id,
            } => self.answer_call(node, incarnation, id, status, body),
            Requester::ApiClient {
                token,
                job,
                submits,
            } => {
                match (status, decode::<JobStatus>(&body)) {
                    (200 | 201, Ok(job_status)) => {
                        let now = self.now;
                        self.rules.phase_reported(now, now, &job, job_status.phase);
                    }
                    (404, _) | (400 | 422, _) if !submits => {
                        self.rules.job_denied(self.now, self.now, &job);
                    }
                    _ => {}
                }
                self.answer_api_client(token, Some((status, body)));
            }
        }
    }

    pub(super) fn process_user_answer(
        &mut self,
        node: usize,
        job: JobId,
        kind: RequestKind,
        asked: Duration,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        match status {
            200 | 201 => {
                let job_status: JobStatus = decode(body).expect("a job status");
                let phase = job_status.phase;
                self.rules.phase_reported(now, asked, &job, phase);
                self.record_answer(&job, phase == JobPhase::Cancelled, node);
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user {
                    let before = (user.accepted, user.ended);
                    user.accepted = true;
                    user.ended = kind != RequestKind::Submit
                        && matches!(phase, JobPhase::Done | JobPhase::Cancelled);
                    user.answer_due = None;
                    user.next_request_at = now + MS * 4000;
                    let (is_over, has_changed) =
                        (user.ended, (user.accepted, user.ended) != before);
                    if has_changed {
                        self.schedule_follow_ups(&job, is_over);
                    }
                }
            }
            400 | 404 | 422 => {
                self.rules.job_denied(now, asked, &job);
                if kind == RequestKind::Submit {
                    self.refused_jobs.insert(job);
                }
            }
            _ => {
                self.temporary_refusals += 1;
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user {
                    user.answer_due = None;
                }
            }
        }
    }

    /// Cancels up to `count` jobs that have running tasks, all at once.
    pub(super) fn cancel_running_jobs(&mut self, count: usize) {
        let runs = |i: &usize| {
            let user = &self.users[*i];
            let on = self.rules.tasks_by_zone(&user.spec.id);
            user.accepted && !user.ended && on.values().sum::<u32>() > 0
        };
        let running: Vec<_> = (0..self.users.len()).filter(runs).collect();
        for i in running.into_iter().take(count) {
            self.users[i].cancel_at = Some(self.now.saturating_sub(Duration::from_millis(1)));
            self.users[i].next_request_at = self.now + Duration::from_millis(1000);
            self.users[i].answer_due = Some(self.now + Duration::from_millis(2000));
            self.send_user_request(i, RequestKind::Cancel);
        }
    }

    /// Cancels, polls or resubmits some jobs at the moment of their end.
    pub(super) fn send_requests_at_job_end(&mut self) {
        let from = self.ends_processed;
        self.ends_processed = self.rules.ends.len();
        let mut ended: Vec<JobId> = Vec::new();
        for (_, task) in &self.rules.ends[from..] {
            if self.rules.ended.contains_key(&task.job) && !ended.contains(&task.job) {
                ended.push(task.job.clone());
            }
        }
        for job in ended {
            let chosen = self.draw_one_in(|f| match f {
                Fault::RequestsAtJobEnd { one_in, .. } => Some(*one_in),
                _ => None,
            });
            let user = self.users.iter().position(|u| u.spec.id == job);
            let Some(i) = user.filter(|_| chosen) else {
                continue;
            };
            let which = self.rng.usize(0..3);
            self.evidence.requests_at_job_end[which] += 1;
            self.send_user_request(
                i,
                [RequestKind::Cancel, RequestKind::Poll, RequestKind::Submit][which],
            );
        }
    }
}
