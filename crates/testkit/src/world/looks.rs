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

use super::{Ask, Asker, Event, MS, NODES, World};
use crate::faults::Fault;

/// When a close look asks, in milliseconds after the answer that it follows.
const MOMENTS: [u32; 6] = [0, 1, 4, 15, 60, 240];
/// The longest that an answer travels, in milliseconds.
const SLOWEST_ANSWER: u32 = 90;
/// One in so many users whose job was accepted cancels it at once.
const CANCELS_ONE_IN: u32 = 4;

/// An answer on its way to a user who looks closely.
#[derive(Clone, Debug)]
pub(super) struct LookAnswer {
    pub(super) job: JobId,
    pub(super) what: Ask,
    pub(super) asked: Duration,
    pub(super) node: usize,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl World {
    /// A user has just been told that a job is accepted or over, and looks closely
    /// if such a spell lasts.
    pub(super) fn look_closely(&mut self, job: &JobId, is_over: bool) {
        if !self.is_on(|f| matches!(f, Fault::FollowUpRequests { .. })) {
            return;
        }
        let Some(user) = self.users.iter().position(|u| u.spec.id == *job) else {
            return;
        };
        for moment in MOMENTS {
            for node in 0..NODES {
                let what = match self.rng.bool() {
                    true => Ask::Poll,
                    false => Ask::Submit,
                };
                self.at(self.now + MS * moment, Event::Look(user, node, what));
            }
        }
        if !is_over && self.rng.u32(0..CANCELS_ONE_IN) == 0 {
            let node = self.rng.usize(0..NODES);
            let moment = MS * self.rng.u32(0..200);
            self.at(self.now + moment, Event::Look(user, node, Ask::Abort));
        }
    }

    /// A user who looks closely asks one controller.
    pub(super) fn look(&mut self, user: usize, node: usize, what: Ask) {
        if self.nodes[node].controller.is_none() || self.zone_cut(node) {
            return;
        }
        let now = self.now;
        let spec = self.users[user].spec.clone();
        let job = spec.id.clone();
        let (method, path, body) = match what {
            Ask::Submit => (Method::Post, "/work".to_owned(), encode(&spec)),
            Ask::Abort => {
                self.rules.cancel_requested(&job);
                // Repeated until it is confirmed.
                self.users[user].abort_at = Some(now.saturating_sub(MS));
                (Method::Post, format!("/work/{job}/abort"), Vec::new())
            }
            Ask::Poll | Ask::Unknown => (Method::Get, format!("/work/{job}"), Vec::new()),
        };
        let asker = Asker::Look {
            job,
            what,
            asked: now,
        };
        let conn = self.id();
        self.asks(node, conn, asker, method, path, body);
    }

    /// An answer leaves for a user who looks closely.
    pub(super) fn look_answered(&mut self, answer: LookAnswer) {
        let travels = MS * self.rng.u32(1..=SLOWEST_ANSWER);
        self.at(self.now + travels, Event::LookHeard(answer));
    }

    /// It has arrived.
    pub(super) fn look_heard(&mut self, answer: LookAnswer) {
        let now = self.now;
        let LookAnswer {
            job, what, asked, ..
        } = &answer;
        match answer.status {
            200 | 201 => {
                let Ok(told) = decode::<JobStatus>(&answer.body) else {
                    return;
                };
                let kind = match what {
                    Ask::Poll | Ask::Unknown => 0,
                    Ask::Submit => 1,
                    Ask::Abort => 2,
                };
                self.evidence.follow_up_answers[kind] += 1;
                let before = self.heard.get(job).copied().unwrap_or_default();
                self.evidence.overtaken_follow_ups += usize::from(*asked < before);
                self.rules.phase_reported(now, *asked, job, told.phase);
                let cancelled = told.phase == JobPhase::Cancelled;
                self.heard_of(job, cancelled, answer.node);
            }
            400 | 404 | 422 => self.rules.job_denied(now, *asked, job),
            _ => {}
        }
    }
}
