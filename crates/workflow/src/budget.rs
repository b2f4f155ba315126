//! So many requests a second, and no more.

use std::time::Duration;

/// A bucket that fills by `rate` a second, up to a second's worth.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    tokens: f64,
    at: Duration,
    /// Nothing may go before this.
    not_before: Duration,
}

impl Budget {
    /// A full one.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            at: Duration::ZERO,
            not_before: Duration::ZERO,
        }
    }

    /// How many may go now.
    pub fn left(&mut self, now: Duration) -> usize {
        let gone = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + gone * self.rate).min(self.rate.max(1.0));
        match now < self.not_before {
            true => 0,
            false => self.tokens as usize,
        }
    }

    /// So many go.
    pub fn take(&mut self, count: usize) {
        self.tokens -= count as f64;
    }

    /// The other side has had too much: nothing goes for some time.
    pub fn hold(&mut self, until: Duration) {
        self.not_before = self.not_before.max(until);
    }
}
