//! Writes that users wait for: submissions and cancellations.
//!
//! A write is confirmed by whichever comes first: its answer, the answer to a repeat of
//! it, or the record itself in the answer to a watch. A lost or late answer therefore
//! does not delay the user when the store has the record already. Repeats have the same
//! conditions, so at most one takes effect.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{JobId, state::Txn};

use crate::{
    call::ConnId,
    store::Outcome,
    user_api::{RequestKind, UserRequest},
};

/// The time after which a write without an answer is sent again, and the most times that a
/// write is sent.
const HEDGE_DELAY: Duration = Duration::from_millis(350);
const MAX_SENDS: u32 = 3;

/// The id of a write: its job and the user's connection.
pub(crate) type WriteId = (JobId, ConnId);

/// A user's write that is not confirmed yet.
#[derive(Debug)]
pub(crate) struct UserWrite {
    pub request: UserRequest,
    pub txn: Txn,
    send_count: u32,
    in_flight: u32,
    sent_at: Duration,
    /// Whether some send of it got no answer, so that it may still take effect.
    in_doubt: bool,
}

impl UserWrite {
    /// A write that is sent for the first time now.
    pub fn new(now: Duration, request: UserRequest, txn: Txn) -> Self {
        Self {
            request,
            txn,
            send_count: 1,
            in_flight: 1,
            sent_at: now,
            in_doubt: false,
        }
    }

    /// Whether some send of it got no answer, so that it may still take effect after its
    /// user has been told that it failed.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }
}

/// What an answer means for a write.
#[derive(Debug)]
pub(crate) enum WriteResolution {
    /// Nothing: other sends of it are in flight, or its user has been answered.
    Nothing,
    /// The store has the write.
    Confirmed(UserRequest),
    /// A condition did not hold, as of this revision.
    Conflict(UserRequest, u64),
    /// No send of it is in flight, and none has confirmed it.
    Failed(UserWrite),
}

/// All writes that users wait for.
#[derive(Debug, Default)]
pub(crate) struct UserWrites {
    waiting: BTreeMap<WriteId, UserWrite>,
}

impl UserWrites {
    /// The number of writes that are not confirmed.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a write.
    pub fn add(&mut self, write: UserWrite) {
        let id = (write.request.job.clone(), write.request.conn);
        self.waiting.insert(id, write);
    }

    /// The writes that are due to be repeated.
    pub fn due(&self, now: Duration) -> Vec<WriteId> {
        let due = self.waiting.iter().filter(|(_, write)| {
            write.send_count < MAX_SENDS && now >= write.sent_at + HEDGE_DELAY
        });
        due.map(|(id, _)| id.clone()).collect()
    }

    /// The transaction of a write.
    pub fn txn(&self, id: &WriteId) -> Option<&Txn> {
        self.waiting.get(id).map(|write| &write.txn)
    }

    /// Records that a write has been repeated.
    pub fn record_repeat(&mut self, now: Duration, id: &WriteId) {
        if let Some(write) = self.waiting.get_mut(id) {
            write.send_count += 1;
            write.in_flight += 1;
            write.sent_at = now;
        }
    }

    /// Records the outcome of one send of a write.
    pub fn record_outcome(&mut self, id: &WriteId, outcome: Outcome) -> WriteResolution {
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

    /// Takes the requests that a changed record of a job confirms. `shows` tells whether
    /// the record shows the effect of a request.
    pub fn take_confirmed(
        &mut self,
        job: &JobId,
        shows: impl Fn(&UserRequest) -> bool,
    ) -> Vec<UserRequest> {
        let all = (job.clone(), ConnId::MIN)..=(job.clone(), ConnId::MAX);
        let confirmed = self.waiting.range(all).filter(|(_, w)| shows(&w.request));
        let confirmed: Vec<_> = confirmed.map(|(id, _)| id.clone()).collect();
        let writes = confirmed.iter().filter_map(|id| self.waiting.remove(id));
        writes.map(|write| write.request).collect()
    }
}

impl UserRequest {
    /// Whether a job record with this time of acceptance was written by this request.
    pub fn has_written(&self, accepted_ms: u64) -> bool {
        self.kind == RequestKind::Submit && self.accepted_ms == Some(accepted_ms)
    }
}

#[cfg(test)]
mod tests;
