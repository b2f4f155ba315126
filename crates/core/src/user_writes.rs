//! Writes that users wait for: acceptances and cancellations.
//!
//! A user is told what the store has confirmed, whichever way that is learnt first:
//! the answer to the write, the answer to a repeat of it, or the record itself as a
//! watch brings it. So a lost or late answer costs the user nothing that the store
//! knows already. Repeats have the same conditions, so at most one takes effect.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{JobId, state::Txn};

use crate::{
    call::ConnId,
    store::Outcome,
    user_api::{RequestKind, UserRequest},
};

/// A write without an answer is repeated after so long, so many times at most.
const HEDGE_AFTER: Duration = Duration::from_millis(350);
const MOST_SENT: u32 = 3;

/// What identifies a write: its job, and the user's connection.
pub(crate) type WriteId = (JobId, ConnId);

/// A user's write that is not confirmed yet.
#[derive(Debug)]
pub(crate) struct UserWrite {
    pub request: UserRequest,
    pub txn: Txn,
    sent: u32,
    in_flight: u32,
    sent_at: Duration,
    /// Some request for it got no answer: it may yet take effect.
    in_doubt: bool,
}

impl UserWrite {
    /// One whose first request goes out now.
    pub fn new(now: Duration, request: UserRequest, txn: Txn) -> Self {
        Self {
            request,
            txn,
            sent: 1,
            in_flight: 1,
            sent_at: now,
            in_doubt: false,
        }
    }

    /// Whether it may take effect although its user is told otherwise.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }
}

/// What follows from an answer to a write.
#[derive(Debug)]
pub(crate) enum WriteResolution {
    /// Nothing: others are under way, or its user has been answered.
    Nothing,
    /// The store has it.
    Confirmed(UserRequest),
    /// A condition did not hold at this revision.
    Conflict(UserRequest, u64),
    /// No request for it is left that may be answered.
    Failed(UserWrite),
}

/// All writes that users wait for.
#[derive(Debug, Default)]
pub(crate) struct UserWrites {
    waiting: BTreeMap<WriteId, UserWrite>,
}

impl UserWrites {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// A new one.
    pub fn add(&mut self, write: UserWrite) {
        let id = (write.request.job.clone(), write.request.conn);
        self.waiting.insert(id, write);
    }

    /// The writes that are to be repeated now.
    pub fn due(&self, now: Duration) -> Vec<WriteId> {
        let due = self
            .waiting
            .iter()
            .filter(|(_, write)| write.sent < MOST_SENT && now >= write.sent_at + HEDGE_AFTER);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// The transaction of a write.
    pub fn txn(&self, id: &WriteId) -> Option<&Txn> {
        self.waiting.get(id).map(|write| &write.txn)
    }

    /// One more request for it has gone out.
    pub fn sent(&mut self, now: Duration, id: &WriteId) {
        if let Some(write) = self.waiting.get_mut(id) {
            write.sent += 1;
            write.in_flight += 1;
            write.sent_at = now;
        }
    }

    /// A request for a write has come to an outcome.
    pub fn answered(&mut self, id: &WriteId, outcome: Outcome) -> WriteResolution {
        let Some(write) = self.waiting.get_mut(id) else {
            return WriteResolution::Nothing;
        };
        write.in_flight = write.in_flight.saturating_sub(1);
        write.in_doubt |= outcome == Outcome::Unknown;
        let is_settled = matches!(outcome, Outcome::Done(_) | Outcome::Conflict(_));
        if write.in_flight > 0 && !is_settled {
            return WriteResolution::Nothing;
        }
        let Some(write) = self.waiting.remove(id) else {
            return WriteResolution::Nothing;
        };
        match outcome {
            Outcome::Done(_) => WriteResolution::Confirmed(write.request),
            Outcome::Conflict(revision) => WriteResolution::Conflict(write.request, revision),
            _ => WriteResolution::Failed(write),
        }
    }

    /// The record of a job has changed: takes the asks that it confirms. `shows`
    /// tells whether it shows what a wish was for.
    pub fn take_confirmed(
        &mut self,
        job: &JobId,
        shows: impl Fn(&UserRequest) -> bool,
    ) -> Vec<UserRequest> {
        let all = (job.clone(), ConnId::MIN)..=(job.clone(), ConnId::MAX);
        let shown = self.waiting.range(all).filter(|(_, w)| shows(&w.request));
        let shown: Vec<_> = shown.map(|(id, _)| id.clone()).collect();
        let writes = shown.iter().filter_map(|id| self.waiting.remove(id));
        writes.map(|write| write.request).collect()
    }
}

impl UserRequest {
    /// Whether a job's record of this time of acceptance is the one that this ask
    /// has written.
    pub fn has_written(&self, at_ms: u64) -> bool {
        self.kind == RequestKind::Submit && self.at_ms == Some(at_ms)
    }
}

#[cfg(test)]
mod tests;
