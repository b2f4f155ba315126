//! Failure detector for all workers of a block together: whether the block's holder hears any
//! of them.

use std::{collections::BTreeSet, time::Duration};

/// Time beyond a report period in which the workers of a block find a new holder.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
/// How long an unheard block stays so after its last machine is gone.
const EMPTY_UNHEARD_LIFETIME: Duration = Duration::from_secs(60);

/// A block that this controller holds, and when its workers were heard.
#[derive(Debug)]
pub(super) struct BlockLiveness {
    pub zone: String,
    /// Whether none of its workers is heard, as of the last evaluation.
    pub unheard: bool,
    machines: usize,
    /// When it last had machines.
    had_machines_at: Duration,
    /// Until when its workers may still be looking for this controller.
    grace_until: Duration,
    /// The machines that have reported before that time.
    reported_in_grace: BTreeSet<String>,
    /// When any of its workers reported last.
    last_report_at: Option<Duration>,
}

impl BlockLiveness {
    /// Creates the state of a block that this controller now holds.
    pub fn new(now: Duration, zone: String) -> Self {
        Self {
            zone,
            unheard: false,
            machines: 0,
            had_machines_at: now,
            grace_until: now + GRACE_PERIOD,
            reported_in_grace: BTreeSet::new(),
            last_report_at: None,
        }
    }

    /// How many machines are expected to report once they have found this controller.
    pub fn machines(&self) -> usize {
        self.machines
    }

    /// When any worker was heard last; before the first report, the end of the grace period.
    pub fn silent_since(&self) -> Duration {
        self.last_report_at.unwrap_or(self.grace_until)
    }

    /// Records a report of a worker.
    pub fn record_report(&mut self, now: Duration, machine: &str) {
        self.last_report_at = Some(now);
        if now < self.grace_until && !self.reported_in_grace.contains(machine) {
            self.reported_in_grace.insert(machine.to_owned());
        }
    }

    /// Discounts a time in which this controller was stalled and received no reports.
    pub fn extend_after_stall(&mut self, gap: Duration) {
        self.grace_until += gap;
        self.last_report_at = self.last_report_at.map(|at| at + gap);
    }

    /// Sets how many machines are expected to report. The first machines of an empty block get
    /// a new grace period; a report of theirs after `since`, the last evaluation, still counts.
    pub fn set_machine_count(&mut self, now: Duration, since: Duration, machines: usize) {
        let was_empty = std::mem::replace(&mut self.machines, machines) == 0;
        if machines > 0 {
            self.had_machines_at = now;
        }
        if !was_empty || machines == 0 || self.unheard {
            return;
        }
        self.grace_until = now + GRACE_PERIOD;
        if self.last_report_at.is_none_or(|at| at < since) {
            self.reported_in_grace.clear();
            self.last_report_at = None;
        }
    }

    /// How many workers can be expected to report: within the grace period only those that have
    /// reported before.
    pub fn expected_workers(&self, now: Duration) -> usize {
        match now < self.grace_until {
            true => self.reported_in_grace.len().min(self.machines),
            false => self.machines,
        }
    }

    /// Whether no worker was heard for longer than chance explains. A block that was unheard when
    /// its last machine went stays so for a while: its holder may not hear the next one either.
    pub fn is_silent(&self, now: Duration, period: Duration) -> bool {
        if self.machines == 0 {
            return self.unheard && now < self.had_machines_at + EMPTY_UNHEARD_LIFETIME;
        }
        let quiet = now.saturating_sub(self.silent_since());
        quiet > chance_silence_limit(period, self.expected_workers(now))
    }

    /// Machines of the block's zone have answered probes: an empty block is no longer unheard.
    pub fn zone_reached(&mut self) {
        if self.machines == 0 {
            self.unheard = false;
        }
    }
}

/// How long this number of workers may all be silent by chance. Report times vary by up to a
/// quarter of the period; after a start all workers report together.
pub(super) fn chance_silence_limit(period: Duration, machines: usize) -> Duration {
    let by_chance = period * 8 / machines.max(1) as u32;
    by_chance.clamp(period * 17 / 20, period * 7 / 5)
}
