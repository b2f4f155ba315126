//! Request budgets: the state service and the cloud refuse what comes too
//! fast, and refusals at the wrong moment cost more than waiting.

use std::time::Duration;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
    /// The most urgent of those that had to wait lately.
    blocked: Option<BlockedRequest>,
}

/// Somebody waits for so much to be in the bucket.
#[derive(Clone, Copy, Debug)]
struct BlockedRequest {
    cost: f64,
    reserve: f64,
    until: Duration,
}

/// For how long a claim that is not renewed counts.
const BLOCKED_REQUEST_TTL: Duration = Duration::from_millis(300);

impl Budget {
    /// A full bucket that holds `burst_s` seconds' worth.
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

    /// Changes the rate, keeping what is in the bucket.
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

    /// Whether `cost` can be had so that the share `reserve` of a full bucket
    /// is left for what matters more. What is larger than that ever allows
    /// goes when the bucket is full: a job whose last write was too large for
    /// a small share was never recorded as done.
    pub fn can_take(&mut self, now: Duration, cost: f64, reserve: f64) -> bool {
        self.refill(now);
        self.blocked = self.blocked.filter(|c| now < c.until);
        let before = self.blocked.filter(|c| c.reserve < reserve);
        let floor = self.burst * reserve + before.map_or(0.0, |c| c.cost);
        let large = cost > self.burst - floor && self.tokens >= self.burst - 1e-9;
        self.tokens - cost >= floor || large
    }

    /// Has those wait that matter less, until there is enough for this. What
    /// is large would otherwise never be there: whatever drips in went to small
    /// requests, and for minutes no machine was taken into a block.
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

    /// Whether there is so much left that nothing needs to be spared.
    pub fn is_mostly_full(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens >= 0.75 * self.burst
    }

    /// Takes `cost` if it can be had.
    pub fn take(&mut self, now: Duration, cost: f64, reserve: f64) -> bool {
        let has = self.can_take(now, cost, reserve);
        if has {
            self.tokens -= cost;
            self.blocked = self.blocked.filter(|c| c.reserve < reserve);
        }
        has
    }

    /// Takes `cost` in any case; what follows waits the longer.
    pub fn charge(&mut self, now: Duration, cost: f64) {
        self.refill(now);
        self.tokens = (self.tokens - cost).max(-self.burst);
    }

    /// Empties the bucket: the other side says that it is too much.
    pub fn empty(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_larger_than_the_bucket_goes_when_it_is_full() {
        let s = Duration::from_secs;
        let mut budget = Budget::new(2.9, 1.0);
        assert!(budget.take(s(0), 3.0, 0.05));
        assert!(!budget.take(s(0), 1.0, 0.05), "it is paid for afterwards");
        assert!(!budget.can_take(s(1), 3.0, 0.05));
        assert!(budget.take(s(3), 3.0, 0.4));
    }

    #[test]
    fn what_is_large_is_saved_for() {
        let ms = Duration::from_millis;
        let mut budget = Budget::new(6.0, 1.0);
        budget.charge(ms(0), 6.0);
        let mut small = 0;
        let got = (1..100).find(|i| {
            let now = ms(50 * i);
            small += u32::from(budget.take(now, 1.0, 0.15));
            let got = budget.take(now, 5.0, 0.05);
            if !got {
                budget.record_blocked(now, 5.0, 0.05);
            }
            got
        });
        assert!(got.is_some_and(|i| i < 25) && small <= 1, "{got:?} {small}");
        assert!(budget.take(ms(4000), 1.0, 0.15), "the claim is met");
    }

    #[test]
    fn a_reserve_is_left_to_what_matters_more() {
        let now = Duration::ZERO;
        let mut budget = Budget::new(10.0, 1.0);
        assert!(budget.take(now, 5.0, 0.5));
        assert!(!budget.take(now, 1.0, 0.5));
        assert!(budget.take(now, 5.0, 0.0));
        assert!(!budget.take(now, 1.0, 0.0));
        assert!(budget.take(now, 10.0, -1.0), "on credit");
        assert!(!budget.can_take(now, 1.0, -1.0));
    }
}
