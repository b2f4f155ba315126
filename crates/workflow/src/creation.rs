//! A submitted run until its record is written.
//!
//! A run exists once its record is in the state service. The document and inputs are written
//! before it, in pieces; the transaction with the record comes last. A request whose answer was
//! lost may have been executed, or may be executed later, so it is repeated on the same
//! conditions until an answer settles it. A submitter is told that nothing was executed only if
//! the record was never sent or each send of it was refused, and nothing is sent afterwards.

use std::time::Duration;

use oliveshift_wire::state::Txn;

use crate::{
    service::{Answer, RETRY_AFTER, StoreReply, UserRequestId},
    submission::SubmissionIdentity,
};

/// Time limit for recording a submitted run. Less than
/// [`ANSWER_TIMEOUT`](crate::service::ANSWER_TIMEOUT), so that the submitter is answered from what
/// is known of the write.
pub(crate) const CREATION_TIMEOUT: Duration = Duration::from_secs(14);

/// What follows from the reply to a write of a run that is being created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreationProgress {
    /// A further write is needed, or the same one again.
    Incomplete,
    /// The run's record is written.
    Recorded,
    /// A condition did not hold. Whether an earlier send was executed is not known yet.
    ConditionFailed,
}

/// A run whose first records are being written.
#[derive(Debug)]
pub(crate) struct RunCreation {
    /// Requests that submitted the run: the first one, and repeats with the same key.
    request_ids: Vec<UserRequestId>,
    /// Set if the client sent an idempotency key.
    identity: Option<SubmissionIdentity>,
    /// Version of the claim to the run's range that all writes are conditional on.
    claim_version: u64,
    /// Transactions still to be written, in reverse order; the first one holds the run's record.
    txns: Vec<Txn>,
    /// Nothing is sent after this time.
    deadline: Duration,
    in_flight: bool,
    /// Whether the answer to a write of the run's record was lost.
    in_doubt: bool,
}

impl RunCreation {
    /// A run that is recorded by these transactions, in this order, the last of which holds the
    /// run's record.
    pub fn new(
        now: Duration,
        request_id: UserRequestId,
        identity: Option<SubmissionIdentity>,
        claim_version: u64,
        mut txns: Vec<Txn>,
    ) -> Self {
        txns.reverse();
        Self {
            request_ids: vec![request_id],
            identity,
            claim_version,
            txns,
            deadline: now + CREATION_TIMEOUT,
            in_flight: false,
            in_doubt: false,
        }
    }

    /// Requests that submitted the run.
    pub fn request_ids(&self) -> &[UserRequestId] {
        &self.request_ids
    }

    /// Adds a repeat of the submission; it gets the same answer.
    pub fn add_request(&mut self, request_id: UserRequestId) {
        self.request_ids.push(request_id);
    }

    /// What the submission is recognized by, if the client sent an idempotency key.
    pub fn identity(&self) -> Option<&SubmissionIdentity> {
        self.identity.as_ref()
    }

    /// Version of the claim that all writes are conditional on.
    pub fn claim_version(&self) -> u64 {
        self.claim_version
    }

    /// Time after which nothing is sent.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Whether the time for recording the run is over. The reply to a write in flight still counts.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.deadline
    }

    /// Whether a write is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Next write; `None` if one is in flight.
    pub fn next_txn(&mut self) -> Option<Txn> {
        let next = self.txns.last().filter(|_| !self.in_flight)?;
        self.in_flight = true;
        Some(next.clone())
    }

    /// Applies the reply to the write in flight.
    pub fn write_answered(&mut self, reply: &StoreReply) -> CreationProgress {
        let sent_record = self.may_be_recorded();
        self.in_flight = false;
        match reply {
            StoreReply::Committed(_) => {
                self.txns.pop();
                match self.txns.is_empty() {
                    true => CreationProgress::Recorded,
                    false => CreationProgress::Incomplete,
                }
            }
            StoreReply::ConditionFailed => CreationProgress::ConditionFailed,
            StoreReply::Lost => {
                self.in_doubt = sent_record;
                CreationProgress::Incomplete
            }
            _ => CreationProgress::Incomplete,
        }
    }

    /// Whether the run may have been recorded, or may be later, by a write that was sent already.
    pub fn may_be_recorded(&self) -> bool {
        let sends_record = self.txns.len() == 1;
        self.in_doubt || (sends_record && self.in_flight)
    }

    /// Answer to the submitter if the run is not recorded in time.
    pub fn answer_when_abandoned(&self) -> Answer {
        match self.may_be_recorded() {
            true => Answer::OutcomeUnknown(RETRY_AFTER),
            false => Answer::RetryAfter(RETRY_AFTER),
        }
    }
}

#[cfg(test)]
mod tests;
