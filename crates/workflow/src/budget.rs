//! Limits the rate of outbound requests.

use std::time::Duration;

/// Token bucket that refills at `rate` tokens per second and holds at most one second's worth,
/// but at least one token.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
    /// No request may be sent before this time.
    blocked_until: Duration,
}

impl Budget {
    /// A full bucket.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            refilled_at: Duration::ZERO,
            blocked_until: Duration::ZERO,
        }
    }

    /// Number of requests that may be sent now.
    pub fn available(&mut self, now: Duration) -> usize {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        match now < self.blocked_until {
            true => 0,
            false => self.tokens as usize,
        }
    }

    /// Takes `count` tokens. The balance may become negative.
    pub fn charge(&mut self, count: usize) {
        self.tokens -= count as f64;
    }

    /// Blocks all requests until the given time, because the server cannot take more now.
    pub fn block_until(&mut self, until: Duration) {
        self.blocked_until = self.blocked_until.max(until);
    }
}
