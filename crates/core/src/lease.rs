//! Leases of workers, as tracked by the holder of their block.
//!
//! A worker stops its tasks once `lease_s` has passed since it sent the last report
//! that was answered. Any holder of its block may have answered, so silence proves that
//! a lease has expired only if this controller certainly held the block until then. A
//! holder that did not know yet that its block was leased to another one counted workers
//! as dead that the new holder served, and started their tasks a second time.

use std::time::Duration;

use oliveshift_wire::settings::Settings;

/// The latest time until which this controller is proven to have held its blocks: when
/// the last request was sent whose answer brought the records up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tenure(Option<Duration>);

impl Tenure {
    /// Tenure that is proven until `at`, or not at all.
    pub fn proven_until(at: Option<Duration>) -> Self {
        Self(at)
    }

    /// Whether no other controller can have held one of the held blocks between its
    /// acquisition and `at`.
    pub fn covers(self, at: Duration) -> bool {
        self.0.is_some_and(|proven| at <= proven)
    }
}

/// Upper bounds on the duration of a worker's lease, on this controller's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseLimits {
    /// Counted from this controller's last answer to the worker.
    pub renewed: Duration,
    /// Counted from the acquisition of the block, for a worker that has not acknowledged
    /// the current term.
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
    /// When the block was acquired, or the machine was added to it.
    since: Duration,
    /// The latest time at which an answer of this controller or the start of a session may
    /// have renewed the lease.
    renewed: Option<Duration>,
    /// When the lease expired, once that is certain.
    expired_at: Option<Duration>,
}

impl WorkerLease {
    /// The lease of a worker that has sent no message yet.
    pub fn new(since: Duration) -> Self {
        Self {
            since,
            renewed: None,
            expired_at: None,
        }
    }

    /// Since when the machine is known.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Notes that the lease may have been renewed at `at`.
    pub fn renew(&mut self, at: Duration) {
        self.renewed = self.renewed.max(Some(at));
    }

    /// Marks the lease as valid after a message of the worker, in the same session or a new
    /// one.
    pub fn resume(&mut self) {
        self.expired_at = None;
    }

    /// When the lease expired, and with it all tasks of its session, if that is certain.
    pub fn expired_at(&self) -> Option<Duration> {
        self.expired_at
    }

    /// Whether the lease has certainly expired.
    pub fn is_expired(&self) -> bool {
        self.expired_at.is_some()
    }

    /// When the lease expires unless it is renewed. With `term_acknowledged` the worker
    /// has reported the current term, so answers of earlier holders no longer renew it.
    pub fn expires_at(&self, term_acknowledged: bool, limits: &LeaseLimits) -> Duration {
        let renewed_until = self
            .renewed
            .map_or(Duration::ZERO, |at| at + limits.renewed);
        match term_acknowledged {
            true => renewed_until,
            false => renewed_until.max(self.since + limits.takeover),
        }
    }

    /// Status of the lease at `now`, if the worker has stayed silent.
    pub fn status(
        &self,
        now: Duration,
        term_acknowledged: bool,
        limits: &LeaseLimits,
        tenure: Tenure,
    ) -> LeaseStatus {
        let expires_at = self.expires_at(term_acknowledged, limits);
        if now <= expires_at {
            LeaseStatus::Valid
        } else if tenure.covers(expires_at) {
            LeaseStatus::Expired(expires_at)
        } else {
            LeaseStatus::Unconfirmed(expires_at)
        }
    }

    /// Marks the lease as expired at `at`.
    pub fn mark_expired(&mut self, at: Duration) {
        self.expired_at = Some(at);
    }
}

/// What can be concluded from a worker's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseStatus {
    /// The lease may still be valid.
    Valid,
    /// The lease expired at this time, if this controller still held the block then.
    Unconfirmed(Duration),
    /// The lease expired at this time.
    Expired(Duration),
}

#[cfg(test)]
mod tests;
