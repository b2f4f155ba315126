//! Users, guests and probes: what they ask and what they make of the answers.

use std::time::Duration;

use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobStatus},
};

use super::{Ask, Asker, Event, MS, NODES, S, USER_PATIENCE, World, looks::LookAnswer};
use crate::{
    Direction,
    api_client::{ApiOperation, ApiRequest},
    faults::Fault,
};

impl World {
    pub(super) fn guest_acts(&mut self) {
        let now = self.now;
        let Some(guest) = &mut self.guest else {
            return;
        };
        for ApiRequest { token, what } in guest.step(now) {
            let node = self.guest_rng.usize(0..NODES);
            if self.nodes[node].controller.is_none() {
                self.guest_answered(token, None);
                continue;
            }
            self.at(now + S * 5, Event::GuestLate(token));
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
            let asker = Asker::Guest {
                token,
                job,
                submits,
            };
            let conn = self.id();
            self.asks(node, conn, asker, method, path, body);
        }
    }

    pub(super) fn guest_answered(&mut self, token: u64, answer: Option<(u16, Vec<u8>)>) {
        let now = self.now;
        if let Some(guest) = &mut self.guest {
            guest.answered(now, token, answer);
        }
    }

    pub(super) fn users_act(&mut self) {
        let now = self.now;
        for i in 0..self.users.len() {
            let user = &self.users[i];
            let waits = |j: &usize| {
                let other = &self.users[*j];
                !(if user.late {
                    other.ended
                } else {
                    other.accepted
                })
            };
            let refused = self.refused_jobs.contains(&user.spec.id);
            if refused || user.after.iter().any(waits) {
                continue;
            }
            let user = &mut self.users[i];
            if user.waiting.is_some_and(|until| until <= now) {
                user.waiting = None;
                self.sockets.late.0 += 1;
            }
            if now < user.next || user.waiting.is_some_and(|at| now < at) {
                continue;
            }
            user.next = now + MS * 1000;
            user.waiting = Some(now + MS * 2000);
            let abort = user.abort_at.is_some_and(|at| now > at);
            let what = if self.rng.f64() < 0.03 {
                Ask::Unknown
            } else if !user.accepted || self.rng.f64() < 0.03 {
                Ask::Submit
            } else if abort && !user.ended {
                Ask::Abort
            } else {
                Ask::Poll
            };
            if matches!(what, Ask::Submit | Ask::Abort)
                && let Some(lag) = self.copied()
            {
                self.at(now + lag, Event::CopyOfUser(i, what));
            }
            self.user_asks(i, what);
        }
    }

    /// A user asks something of a controller.
    pub(super) fn user_asks(&mut self, i: usize, what: Ask) {
        let now = self.now;
        let node = self.rng.usize(0..NODES);
        if self.nodes[node].controller.is_none() || self.zone_cut(node) {
            return;
        }
        let spec = self.users[i].spec.clone();
        let conn = self.id();
        let mut job = spec.id.clone();
        let (method, path, body) = match what {
            Ask::Submit => {
                self.rules.jobs.insert(job.clone(), spec.clone());
                (Method::Post, "/work".to_owned(), encode(&spec))
            }
            Ask::Poll => (Method::Get, format!("/work/{job}"), Vec::new()),
            Ask::Abort => {
                self.rules.cancel_requested(&job);
                (Method::Post, format!("/work/{job}/abort"), Vec::new())
            }
            Ask::Unknown => {
                // Nobody's, so nothing tells this user that it is answered.
                let user = &mut self.users[i];
                user.next = user.waiting.take().unwrap_or(now);
                job = format!("j-99{conn}").parse().expect("a valid id");
                (Method::Get, format!("/work/{job}"), Vec::new())
            }
        };
        let until = now + USER_PATIENCE;
        let asker = Asker::User { job, what, until };
        self.asks(node, conn, asker, method, path, body);
    }

    pub(super) fn asker_answered(&mut self, node: usize, asker: Asker, status: u16, body: Vec<u8>) {
        match asker {
            Asker::Worker { name, .. } if self.is_deaf(&name) => {
                self.evidence.lost_report_answers += 1;
            }
            Asker::Look { job, what, asked } => self.look_answered(LookAnswer {
                job,
                what,
                asked,
                node,
                status,
                body,
            }),
            Asker::Odd { job, oddity } => self.odd_answered(&job, oddity, status),
            Asker::Worker { name, report } => {
                let latency = self.latency() + self.late_answers(node);
                let at = match self.worker_cut(node, &name, Direction::ToMachine) {
                    Some(until) => until + latency,
                    None => self.now + latency,
                };
                self.at(at, Event::ReportAnswer(report, name, status, body));
            }
            // Whoever has given up reads no answer.
            Asker::User { until, .. } if self.now > until => {}
            Asker::User { job, what, until } => {
                let asked = until.saturating_sub(USER_PATIENCE);
                self.user_answered(node, job, what, asked, status, &body);
            }
            Asker::Probe { asked } => {
                self.sockets.late.1 += usize::from(self.now > asked + S);
            }
            Asker::Peer { node, life, id } => self.answer_call(node, life, id, status, body),
            Asker::Guest {
                token,
                job,
                submits,
            } => {
                match (status, decode::<JobStatus>(&body)) {
                    (200 | 201, Ok(told)) => {
                        let now = self.now;
                        self.rules.phase_reported(now, now, &job, told.phase);
                    }
                    (404, _) | (400 | 422, _) if !submits => {
                        self.rules.job_denied(self.now, self.now, &job);
                    }
                    _ => {}
                }
                self.guest_answered(token, Some((status, body)));
            }
        }
    }

    pub(super) fn user_answered(
        &mut self,
        node: usize,
        job: JobId,
        what: Ask,
        asked: Duration,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        match status {
            200 | 201 => {
                let told: JobStatus = decode(body).expect("a status");
                let phase = told.phase;
                self.rules.phase_reported(now, asked, &job, phase);
                self.heard_of(&job, phase == JobPhase::Cancelled, node);
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user {
                    let before = (user.accepted, user.ended);
                    user.accepted = true;
                    user.ended = what != Ask::Submit
                        && matches!(phase, JobPhase::Done | JobPhase::Cancelled);
                    user.waiting = None;
                    user.next = now + MS * 4000;
                    let (is_over, is_news) = (user.ended, (user.accepted, user.ended) != before);
                    if is_news {
                        self.look_closely(&job, is_over);
                    }
                }
            }
            400 | 404 | 422 => {
                self.rules.job_denied(now, asked, &job);
                if what == Ask::Submit {
                    self.refused_jobs.insert(job);
                }
            }
            _ => {
                self.temporary_refusals += 1;
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user {
                    user.waiting = None;
                }
            }
        }
    }

    /// Users call off so many jobs that run.
    pub(super) fn cancel_now(&mut self, count: usize) {
        let runs = |i: &usize| {
            let user = &self.users[*i];
            let on = self.rules.tasks_by_zone(&user.spec.id);
            user.accepted && !user.ended && on.values().sum::<u32>() > 0
        };
        let running: Vec<_> = (0..self.users.len()).filter(runs).collect();
        for i in running.into_iter().take(count) {
            self.users[i].abort_at = Some(self.now.saturating_sub(Duration::from_millis(1)));
            self.users[i].next = self.now + Duration::from_millis(1000);
            self.users[i].waiting = Some(self.now + Duration::from_millis(2000));
            self.user_asks(i, Ask::Abort);
        }
    }

    /// Some jobs that have just ended are called off, asked for or submitted once
    /// more.
    pub(super) fn requests_at_end(&mut self) {
        let from = self.ends_seen;
        self.ends_seen = self.rules.ends.len();
        let mut ended: Vec<JobId> = Vec::new();
        for (_, task) in &self.rules.ends[from..] {
            if self.rules.ended.contains_key(&task.job) && !ended.contains(&task.job) {
                ended.push(task.job.clone());
            }
        }
        for job in ended {
            let chosen = self.is_chosen(|f| match f {
                Fault::RequestsAtJobEnd { one_in, .. } => Some(*one_in),
                _ => None,
            });
            let user = self.users.iter().position(|u| u.spec.id == job);
            let Some(i) = user.filter(|_| chosen) else {
                continue;
            };
            let which = self.rng.usize(0..3);
            self.evidence.requests_at_job_end[which] += 1;
            self.user_asks(i, [Ask::Abort, Ask::Poll, Ask::Submit][which]);
        }
    }
}
