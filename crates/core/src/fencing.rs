//! Fencing tokens: which of them a lease of a block covers, and which starts they fence.
//!
//! A worker executes direct orders only if their token is at least the highest that it has
//! seen. A copy of such orders may arrive minutes after they were executed, and starts an
//! attempt once more that the worker has forgotten by then. Only a higher token prevents
//! this for certain while the worker's session lasts.

use std::collections::HashMap;

use oliveshift_wire::{TaskId, worker::TaskReport};

use crate::records::Term;

/// Number of ended attempts awaiting a higher token from which on a worker gets no direct
/// starts. It bounds the size of reports while no higher token is available.
pub(crate) const MAX_RETAINED_ATTEMPTS: usize = 16;

/// The fencing tokens that belong to one lease of a block: from the version of its record up
/// to the newest revision of the state service at which the record is known to be unchanged.
/// The version of any later lease is higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTokens {
    first: Term,
    last: Term,
}

impl LeaseTokens {
    /// Tokens of the lease under `term`, which is known to be in force at `revision`.
    pub fn new(term: Term, revision: u64) -> Self {
        Self {
            first: term,
            last: revision.max(term),
        }
    }

    /// The version of the block's record.
    pub fn term(&self) -> Term {
        self.first
    }

    /// Whether a token belongs to this lease.
    pub fn contains(&self, token: u64) -> bool {
        (self.first..=self.last).contains(&token)
    }

    /// Whether a token may belong to a later lease.
    pub fn is_exceeded_by(&self, token: u64) -> bool {
        token > self.last
    }

    /// The lowest token of this lease above `token`; none until newer records have been read.
    pub fn above(&self, token: u64) -> Option<u64> {
        let next = token.max(self.first) + 1;
        (next <= self.last).then_some(next)
    }
}

/// Starts sent to a worker with direct orders in its current session that may still take
/// effect, or take effect again, and the token that they were sent under.
#[derive(Debug, Default)]
pub(crate) struct DirectStarts {
    tokens: HashMap<(TaskId, u64), u64>,
}

impl DirectStarts {
    /// Records a start that is sent.
    pub fn sent(&mut self, task: TaskId, attempt: u64, token: u64) {
        self.tokens.insert((task, attempt), token);
    }

    /// Removes a start that was certainly not executed and never will be.
    pub fn not_executed(&mut self, task: &TaskId, attempt: u64) {
        self.tokens.remove(&(task.clone(), attempt));
    }

    /// Removes the starts that a worker rejects which has seen `token`.
    pub fn token_seen(&mut self, token: u64) {
        self.tokens.retain(|_, sent| *sent >= token);
    }

    /// Removes all starts, as the worker's session is over.
    pub fn session_ended(&mut self) {
        self.tokens.clear();
    }

    /// Whether a start of the attempt may still take effect.
    pub fn may_take_effect(&self, task: &TaskId, attempt: u64) -> bool {
        self.tokens.contains_key(&(task.clone(), attempt))
    }

    /// Whether a start of the listed attempt may take effect at a worker that has seen
    /// `token`.
    pub fn may_pass(&self, entry: &TaskReport, token: u64) -> bool {
        let key = (entry.task.clone(), entry.attempt);
        self.tokens.get(&key).is_some_and(|sent| *sent >= token)
    }
}

#[cfg(test)]
mod tests;
