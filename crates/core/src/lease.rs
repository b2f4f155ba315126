//! Leases of workers, as the holder of their block counts them.
//!
//! A worker stops its tasks once `lease_s` has passed since it sent the last report
//! that was answered. Whoever holds its block may have answered, so silence proves the
//! end of a lease only for an instant at which the block was surely ours: a holder that
//! did not know yet that its block had been leased anew took workers for dead that the
//! new holder went on to serve, and started their tasks a second time.

use std::time::Duration;

use oliveshift_wire::settings::Settings;

/// The latest instant at which the records surely gave us the blocks that we hold: the
/// sending of the last request whose answer brought them up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tenure(Option<Duration>);

impl Tenure {
    /// Tenure that is proven up to an instant; none: it never was.
    pub fn proven_until(at: Option<Duration>) -> Self {
        Self(at)
    }

    /// Whether nobody else can have held a block of ours from our taking it until this
    /// instant.
    pub fn covers(self, at: Duration) -> bool {
        self.0.is_some_and(|proven| at <= proven)
    }
}

/// How long leases last at most, on our clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseLimits {
    /// From our last answer to a worker.
    pub renewed: Duration,
    /// From our taking of a block, for a worker that has not shown our term.
    pub takeover: Duration,
}

impl From<&Settings> for LeaseLimits {
    fn from(settings: &Settings) -> Self {
        Self {
            renewed: settings.lease_limit(),
            takeover: settings.takeover_limit(),
        }
    }
}

/// The lease of one worker.
#[derive(Debug)]
pub(crate) struct WorkerLease {
    /// When we took its block, or learnt of its machine.
    since: Duration,
    /// The latest instant at which we or its own beginning may have renewed it.
    renewed: Option<Duration>,
    /// When it was over for sure.
    expired_at: Option<Duration>,
}

impl WorkerLease {
    /// The lease of a worker that nothing is known of yet.
    pub fn new(since: Duration) -> Self {
        Self {
            since,
            renewed: None,
            expired_at: None,
        }
    }

    /// Since when its machine has been known to us.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// It may have been renewed at an instant.
    pub fn renew(&mut self, at: Duration) {
        self.renewed = self.renewed.max(Some(at));
    }

    /// Its worker has been heard: it goes on, or another session has begun.
    pub fn resume(&mut self) {
        self.expired_at = None;
    }

    /// Since when it has been over for sure, with all tasks of its session.
    pub fn expired_at(&self) -> Option<Duration> {
        self.expired_at
    }

    /// Whether it is over for sure.
    pub fn is_expired(&self) -> bool {
        self.expired_at.is_some()
    }

    /// When it is over, unless it is renewed. `proven`: the worker has shown our term,
    /// so that answers of earlier holders renew nothing.
    pub fn expires_at(&self, proven: bool, limits: &LeaseLimits) -> Duration {
        let ours = self
            .renewed
            .map_or(Duration::ZERO, |at| at + limits.renewed);
        match proven {
            true => ours,
            false => ours.max(self.since + limits.takeover),
        }
    }

    /// What silence says of it at some time.
    pub fn status(
        &self,
        now: Duration,
        proven: bool,
        limits: &LeaseLimits,
        tenure: Tenure,
    ) -> LeaseStatus {
        let expires_at = self.expires_at(proven, limits);
        if now <= expires_at {
            LeaseStatus::Valid
        } else if tenure.covers(expires_at) {
            LeaseStatus::Expired(expires_at)
        } else {
            LeaseStatus::Unconfirmed(expires_at)
        }
    }

    /// It was over at an instant.
    pub fn mark_expired(&mut self, at: Duration) {
        self.expired_at = Some(at);
    }
}

/// What the silence of a worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStatus {
    /// Nothing: its lease lasts.
    Valid,
    /// Its lease was over at this instant, if the block was still ours.
    Unconfirmed(Duration),
    /// Its lease was over at this instant.
    Expired(Duration),
}

#[cfg(test)]
mod tests;
