//! Users who look closely: the same user asks at all controllers, again and again
//! within milliseconds, over connections of their own. Answers travel for a while,
//! so that they overtake each other; what each may say follows from what was heard
//! before it was asked.

use std::time::Duration;

use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode, encode,
    job::{JobPhase, JobStatus},
};

use super::{CONTROLLER_COUNT, Event, MS, RequestKind, Requester, World};
use crate::faults::Fault;

/// When a close look asks, in milliseconds after the answer that it follows.
const FOLLOW_UP_DELAYS_MS: [u32; 6] = [0, 1, 4, 15, 60, 240];
/// The longest that an answer travels, in milliseconds.
const MAX_ANSWER_DELAY_MS: u32 = 90;
/// One in so many users whose job was accepted cancels it at once.
const CANCEL_ONE_IN: u32 = 4;

/// An answer on its way to a user who looks closely.
#[derive(Clone, Debug)]
pub(super) struct FollowUpAnswer {
    pub(super) job: JobId,
    pub(super) what: RequestKind,
    pub(super) asked: Duration,
    pub(super) node: usize,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl World {
    /// A user has just been told that a job is accepted or over, and looks closely
    /// if such a spell lasts.
    pub(super) fn schedule_follow_ups(&mut self, job: &JobId, is_over: bool) {
        if !self.is_fault_active(|f| matches!(f, Fault::FollowUpRequests { .. })) {
            return;
        }
        let Some(user) = self.users.iter().position(|u| u.spec.id == *job) else {
            return;
        };
        for moment in FOLLOW_UP_DELAYS_MS {
            for node in 0..CONTROLLER_COUNT {
                let what = match self.rng.bool() {
                    true => RequestKind::Poll,
                    false => RequestKind::Submit,
                };
                self.schedule(
                    self.now + MS * moment,
                    Event::FollowUpRequest(user, node, what),
                );
            }
        }
        if !is_over && self.rng.u32(0..CANCEL_ONE_IN) == 0 {
            let node = self.rng.usize(0..CONTROLLER_COUNT);
            let moment = MS * self.rng.u32(0..200);
            self.schedule(
                self.now + moment,
                Event::FollowUpRequest(user, node, RequestKind::Cancel),
            );
        }
    }

    /// A user who looks closely asks one controller.
    pub(super) fn send_follow_up(&mut self, user: usize, node: usize, what: RequestKind) {
        if self.nodes[node].controller.is_none() || self.is_zone_cut(node) {
            return;
        }
        let now = self.now;
        let spec = self.users[user].spec.clone();
        let job = spec.id.clone();
        let (method, path, body) = match what {
            RequestKind::Submit => (Method::Post, "/work".to_owned(), encode(&spec)),
            RequestKind::Cancel => {
                self.rules.cancel_requested(&job);
                // Repeated until it is confirmed.
                self.users[user].cancel_at = Some(now.saturating_sub(MS));
                (Method::Post, format!("/work/{job}/abort"), Vec::new())
            }
            RequestKind::Poll | RequestKind::PollUnknown => {
                (Method::Get, format!("/work/{job}"), Vec::new())
            }
        };
        let requester = Requester::FollowUp {
            job,
            what,
            asked: now,
        };
        let conn = self.new_id();
        self.send_request(node, conn, requester, method, path, body);
    }

    /// An answer leaves for a user who looks closely.
    pub(super) fn follow_up_answered(&mut self, answer: FollowUpAnswer) {
        let travels = MS * self.rng.u32(1..=MAX_ANSWER_DELAY_MS);
        self.schedule(self.now + travels, Event::FollowUpAnswer(answer));
    }

    /// It has arrived.
    pub(super) fn receive_follow_up_answer(&mut self, answer: FollowUpAnswer) {
        let now = self.now;
        let FollowUpAnswer {
            job, what, asked, ..
        } = &answer;
        match answer.status {
            200 | 201 => {
                let Ok(told) = decode::<JobStatus>(&answer.body) else {
                    return;
                };
                let kind = match what {
                    RequestKind::Poll | RequestKind::PollUnknown => 0,
                    RequestKind::Submit => 1,
                    RequestKind::Cancel => 2,
                };
                self.evidence.follow_up_answers[kind] += 1;
                let before = self.last_answers.get(job).copied().unwrap_or_default();
                self.evidence.overtaken_follow_ups += usize::from(*asked < before);
                self.rules.phase_reported(now, *asked, job, told.phase);
                let cancelled = told.phase == JobPhase::Cancelled;
                self.record_answer(job, cancelled, answer.node);
            }
            400 | 404 | 422 => self.rules.job_denied(now, *asked, job),
            _ => {}
        }
    }
}
