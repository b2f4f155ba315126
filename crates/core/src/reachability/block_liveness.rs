//! Whether the workers of a block are heard by its holder: a failure detector for all of
//! them together.

use std::{collections::BTreeSet, time::Duration};

/// Whoever has taken a block is found by its workers within this time beyond
/// their reports.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
/// For how long a block without machines stays unheard.
const EMPTY_UNHEARD: Duration = Duration::from_secs(60);

/// A block that we hold.
#[derive(Debug)]
pub(super) struct BlockLiveness {
    pub zone: String,
    /// None of its workers is heard.
    pub unheard: bool,
    machines: usize,
    /// When it had machines last.
    inhabited: Duration,
    /// Until when its workers may still be looking for us.
    grace_until: Duration,
    /// Those that have found us until then.
    found: BTreeSet<String>,
    /// When a worker of it was heard last.
    heard: Option<Duration>,
}

impl BlockLiveness {
    /// A block that we begin to hold.
    pub fn new(now: Duration, zone: String) -> Self {
        Self {
            zone,
            unheard: false,
            machines: 0,
            inhabited: now,
            grace_until: now + GRACE_PERIOD,
            found: BTreeSet::new(),
            heard: None,
        }
    }

    /// How many machines are expected to report.
    pub fn machines(&self) -> usize {
        self.machines
    }

    /// Since when nobody has been heard; before anybody was, when they will have found
    /// us.
    pub fn silent_since(&self) -> Duration {
        self.heard.unwrap_or(self.grace_until)
    }

    /// A worker has reported.
    pub fn hear(&mut self, now: Duration, machine: &str) {
        self.heard = Some(now);
        if now < self.grace_until && !self.found.contains(machine) {
            self.found.insert(machine.to_owned());
        }
    }

    /// We stood still for a while and have heard nobody meanwhile.
    pub fn stood_still(&mut self, gap: Duration) {
        self.grace_until += gap;
        self.heard = self.heard.map(|at| at + gap);
    }

    /// So many machines are expected to report now. The first ones of a block that was
    /// empty look for us, and may have found us `since` the last count already.
    pub fn count(&mut self, now: Duration, since: Duration, machines: usize) {
        let was_empty = std::mem::replace(&mut self.machines, machines) == 0;
        if machines > 0 {
            self.inhabited = now;
        }
        if !was_empty || machines == 0 || self.unheard {
            return;
        }
        self.grace_until = now + GRACE_PERIOD;
        if self.heard.is_none_or(|at| at < since) {
            self.found.clear();
            self.heard = None;
        }
    }

    /// How many workers can be expected to report: as long as others may still be
    /// looking for us, those that have found us.
    pub fn expected(&self, now: Duration) -> usize {
        match now < self.grace_until {
            true => self.found.len().min(self.machines),
            false => self.machines,
        }
    }

    /// Whether none was heard for longer than chance explains. A block whose machines
    /// are all gone goes on as it was for a while: whoever heard none of them may not
    /// hear the next one either.
    pub fn is_silent(&self, now: Duration, period: Duration) -> bool {
        if self.machines == 0 {
            return self.unheard && now < self.inhabited + EMPTY_UNHEARD;
        }
        let quiet = now.saturating_sub(self.silent_since());
        quiet > explained(period, self.expected(now))
    }

    /// Machines of its zone have answered us.
    pub fn zone_answers(&mut self) {
        if self.machines == 0 {
            self.unheard = false;
        }
    }
}

/// For how long so many workers may all be silent by chance. They report a
/// quarter earlier or later than they should, at first all together.
pub(super) fn explained(period: Duration, machines: usize) -> Duration {
    let by_chance = period * 8 / machines.max(1) as u32;
    by_chance.clamp(period * 17 / 20, period * 7 / 5)
}
