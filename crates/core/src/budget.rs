//! Request budgets as token buckets. The state service and the cloud refuse requests
//! above their rate limits, and a refusal at a critical moment costs more than a delay.

use std::time::Duration;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
    /// The most urgent request that was blocked recently.
    blocked: Option<BlockedRequest>,
}

/// A request that waits until the bucket holds its cost.
#[derive(Clone, Copy, Debug)]
struct BlockedRequest {
    cost: f64,
    reserve: f64,
    until: Duration,
}

/// How long a blocked request counts if it is not recorded again.
const BLOCKED_REQUEST_TTL: Duration = Duration::from_millis(300);

impl Budget {
    /// A full bucket that holds the tokens of `burst_s` seconds, at least one.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let burst = (rate * burst_s).max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            at: Duration::ZERO,
            blocked: None,
        }
    }

    /// Changes the rate and keeps the tokens, up to the new size of the bucket.
    pub fn set_rate(&mut self, now: Duration, rate: f64, burst_s: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = (rate * burst_s).max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.at = now;
    }

    /// Whether `cost` can be taken so that the fraction `reserve` of a full bucket is
    /// left for more urgent requests. A request that is too large for that even with a
    /// full bucket passes when the bucket is full: without this, a job whose last
    /// write was too large for its part of the bucket was never recorded as done.
    pub fn can_take(&mut self, now: Duration, cost: f64, reserve: f64) -> bool {
        self.refill(now);
        self.blocked = self.blocked.filter(|c| now < c.until);
        let before = self.blocked.filter(|c| c.reserve < reserve);
        let floor = self.burst * reserve + before.map_or(0.0, |c| c.cost);
        let large = cost > self.burst - floor && self.tokens >= self.burst - 1e-9;
        self.tokens - cost >= floor || large
    }

    /// Makes less urgent requests wait until there are enough tokens for this one.
    /// Without this, small requests used up the tokens as they came in, large ones
    /// never got enough, and for minutes no machine was added to a block.
    pub fn record_blocked(&mut self, now: Duration, cost: f64, reserve: f64) {
        if self
            .blocked
            .is_none_or(|c| now >= c.until || reserve <= c.reserve)
        {
            let until = now + BLOCKED_REQUEST_TTL;
            self.blocked = Some(BlockedRequest {
                cost,
                reserve,
                until,
            });
        }
    }

    /// Whether at least three quarters of the bucket are left, so that writes that
    /// could be postponed need not wait.
    pub fn is_mostly_full(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens >= 0.75 * self.burst
    }

    /// Takes `cost` if [`Self::can_take`] allows it.
    pub fn take(&mut self, now: Duration, cost: f64, reserve: f64) -> bool {
        let has = self.can_take(now, cost, reserve);
        if has {
            self.tokens -= cost;
            self.blocked = self.blocked.filter(|c| c.reserve < reserve);
        }
        has
    }

    /// Takes `cost` in any case, going into debt by at most one full bucket; later
    /// requests wait longer.
    pub fn charge(&mut self, now: Duration, cost: f64) {
        self.refill(now);
        self.tokens = (self.tokens - cost).max(-self.burst);
    }

    /// Empties the bucket, after the other side has refused a request as too many.
    pub fn empty(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests;
