//! Follow-up requests: a user that has received an answer sends requests about the same
//! job to all controllers, several times within 240 ms and each over its own
//! connection. Answers have random delays, so they may overtake each other; which
//! answers are allowed follows from those that the user had received when it sent the
//! request.

use std::time::Duration;

use oliveshift_core::Method;
use oliveshift_wire::{
    JobId, decode,
    job::{JobPhase, JobStatus},
};

use super::{CONTROLLER_COUNT, Event, MS, RequestKind, Requester, World};
use crate::faults::Fault;

/// Delays after the first answer at which follow-up requests are sent, in milliseconds.
const FOLLOW_UP_DELAYS_MS: [u32; 6] = [0, 1, 4, 15, 60, 240];
/// Longest delay of an answer to a follow-up request, in milliseconds.
const MAX_ANSWER_DELAY_MS: u32 = 90;
/// One in this many users cancels its job shortly after its acceptance.
const CANCEL_ONE_IN: u32 = 4;

/// An answer to a follow-up request, on its way to the user.
#[derive(Clone, Debug)]
pub(super) struct FollowUpAnswer {
    pub(super) job: JobId,
    pub(super) kind: RequestKind,
    pub(super) asked: Duration,
    pub(super) node: usize,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl World {
    /// Schedules follow-up requests after an answer that a job is accepted or over, if
    /// a fault of that kind is active.
    pub(super) fn schedule_follow_ups(&mut self, job: &JobId, is_over: bool) {
        if !self.is_fault_active(|f| matches!(f, Fault::FollowUpRequests { .. })) {
            return;
        }
        let Some(user) = self.users.iter().position(|u| u.spec.id == *job) else {
            return;
        };
        for delay in FOLLOW_UP_DELAYS_MS {
            for node in 0..CONTROLLER_COUNT {
                let kind = match self.rng.bool() {
                    true => RequestKind::Poll,
                    false => RequestKind::Submit,
                };
                self.schedule(
                    self.now + MS * delay,
                    Event::FollowUpRequest(user, node, kind),
                );
            }
        }
        if !is_over && self.rng.u32(0..CANCEL_ONE_IN) == 0 {
            let node = self.rng.usize(0..CONTROLLER_COUNT);
            let delay = MS * self.rng.u32(0..200);
            self.schedule(
                self.now + delay,
                Event::FollowUpRequest(user, node, RequestKind::Cancel),
            );
        }
    }

    /// Sends one follow-up request to a controller.
    pub(super) fn send_follow_up(&mut self, user: usize, node: usize, kind: RequestKind) {
        if self.nodes[node].controller.is_none() || self.is_zone_cut(node) {
            return;
        }
        let now = self.now;
        let spec = self.users[user].spec.clone();
        let job = spec.id.clone();
        let (method, path, body) = match kind {
            RequestKind::Submit => {
                let form = self.next_submission_form();
                (Method::Post, "/work".to_owned(), form.encode(&spec))
            }
            RequestKind::Cancel => {
                self.rules.cancel_requested(&job);
                // A time in the past makes the user repeat the cancellation until it is
                // confirmed.
                self.users[user].cancel_at = Some(now.saturating_sub(MS));
                (Method::Post, format!("/work/{job}/abort"), Vec::new())
            }
            RequestKind::Poll | RequestKind::PollUnknown => {
                (Method::Get, format!("/work/{job}"), Vec::new())
            }
        };
        let requester = Requester::FollowUp {
            job,
            kind,
            asked: now,
        };
        let conn = self.new_id();
        self.send_request(node, conn, requester, method, path, body);
    }

    /// Schedules the arrival of an answer after a random delay.
    pub(super) fn follow_up_answered(&mut self, answer: FollowUpAnswer) {
        let delay = MS * self.rng.u32(1..=MAX_ANSWER_DELAY_MS);
        self.schedule(self.now + delay, Event::FollowUpAnswer(answer));
    }

    /// Checks an answer that has arrived at the user.
    pub(super) fn receive_follow_up_answer(&mut self, answer: FollowUpAnswer) {
        let now = self.now;
        let FollowUpAnswer {
            job, kind, asked, ..
        } = &answer;
        match answer.status {
            200 | 201 => {
                let Ok(job_status) = decode::<JobStatus>(&answer.body) else {
                    return;
                };
                let index = match kind {
                    RequestKind::Poll | RequestKind::PollUnknown => 0,
                    RequestKind::Submit => 1,
                    RequestKind::Cancel => 2,
                };
                self.evidence.follow_up_answers[index] += 1;
                let before = self.last_answers.get(job).copied().unwrap_or_default();
                self.evidence.overtaken_follow_ups += usize::from(*asked < before);
                self.rules
                    .phase_reported(now, *asked, job, job_status.phase);
                let cancelled = job_status.phase == JobPhase::Cancelled;
                self.record_answer(job, cancelled, answer.node);
            }
            400 | 404 | 422 => self.rules.job_denied(now, *asked, job),
            _ => {}
        }
    }
}
