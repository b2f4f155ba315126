//! Final answers: those after which a client does not repeat its request.
//!
//! The protocol has a user give up on status 400 and 422, and believe 404. So these three need a
//! request that was received to its announced end, and what they say about a job needs a read of
//! the state service that began after the request. Both are types that can't be obtained
//! otherwise. Everything else that keeps a request from being served is a [`RefusalStatus`]: nothing is
//! decided, and the client may repeat the request.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use crate::call::CompleteBody;

/// Proof that the view shows every job that was accepted before a request came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreshRead {
    /// How long after the request the read began.
    delay: Duration,
}

impl FreshRead {
    /// A successful read of the state service that began at `started`, for a request that was
    /// received at `received`. `None` if the read is older.
    pub fn of_read(started: Duration, received: Duration) -> Option<Self> {
        let delay = started.checked_sub(received)?;
        Some(Self { delay })
    }

    /// A view of this revision, for a request whose own write was answered as of `answered`.
    /// `None` if the view is older.
    pub fn of_revision(revision: u64, answered: u64) -> Option<Self> {
        let delay = Duration::ZERO;
        (revision >= answered).then_some(Self { delay })
    }
}

/// What a final answer rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// The request alone.
    Request,
    /// The request and the records.
    Records(FreshRead),
}

impl Display for Basis {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request => f.write_str("the request alone"),
            Self::Records(read) => {
                let delay = read.delay;
                write!(f, "a read that began {delay:.0?} after the request")
            }
        }
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    status: u16,
    reason: String,
    basis: Basis,
}

impl Verdict {
    /// The message is malformed, and names no job. Not for submissions of a job that may have been
    /// accepted, whatever is wrong with the rest of them.
    pub fn malformed(_: &CompleteBody, reason: impl Into<String>) -> Self {
        Self::new(400, reason, Basis::Request)
    }

    /// The submission is malformed, and its job was never accepted.
    pub fn malformed_submission(read: FreshRead, reason: impl Into<String>) -> Self {
        Self::new(400, reason, Basis::Records(read))
    }

    /// Nothing can have the path of the request.
    pub fn no_such_path(_: &CompleteBody, reason: impl Into<String>) -> Self {
        Self::new(404, reason, Basis::Request)
    }

    /// The settings name no such controller.
    pub fn unknown_controller(_: &CompleteBody) -> Self {
        Self::new(404, "no such controller in the settings", Basis::Request)
    }

    /// The job was never accepted.
    pub fn unknown_job(read: FreshRead) -> Self {
        Self::new(404, "no such job", Basis::Records(read))
    }

    /// The submitted job can never run, and was never accepted.
    pub fn infeasible(read: FreshRead, reason: impl Into<String>) -> Self {
        Self::new(422, reason, Basis::Records(read))
    }

    fn new(status: u16, reason: impl Into<String>, basis: Basis) -> Self {
        let reason = reason.into();
        Self {
            status,
            reason,
            basis,
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Why the request is not served.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// What the answer rests on, for the log.
    pub fn basis(&self) -> &impl Display {
        &self.basis
    }
}

/// Why a request is not served, while nothing is decided about what it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalStatus {
    /// The sender is not a controller of this deployment.
    Forbidden,
    /// The path has no such method.
    MethodNotAllowed,
    /// What the message builds on is not known here.
    Conflict,
    /// The request can't be served now.
    Unavailable,
}

impl RefusalStatus {
    /// The HTTP status.
    pub fn code(self) -> u16 {
        match self {
            Self::Forbidden => 403,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::Unavailable => 503,
        }
    }
}

#[cfg(test)]
mod tests;
