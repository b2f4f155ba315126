//! Cache of recent placement attempts that found no machine, by block and job.
//!
//! Without it a task that fits nowhere was tried again at each input, against every machine
//! of its block. With a few dozen such tasks this took a fifth of a controller's processor
//! time in normal operation, most of it while the controller was already behind.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::JobId;

use crate::records::BlockId;

/// A failed attempt is repeated after this time, for changes that come with time alone.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Placement attempts that found no machine and would still find none.
#[derive(Debug, Default)]
pub(crate) struct FailedPlacements {
    /// When a task of each job was last tried, by block.
    attempts: BTreeMap<BlockId, BTreeMap<JobId, Duration>>,
    /// Blocks in which a machine has gained capacity after failed attempts.
    changed: BTreeSet<BlockId>,
}

impl FailedPlacements {
    /// Whether a task of this job found no machine in the block recently, and no machine of
    /// the block has gained capacity since.
    pub fn has_failed_recently(&self, now: Duration, block: BlockId, job: &JobId) -> bool {
        let attempts = self.attempts.get(&block).and_then(|jobs| jobs.get(job));
        attempts.is_some_and(|at| now < *at + RETRY_INTERVAL)
    }

    /// Records that a task of this job found no machine in the block.
    pub fn record(&mut self, now: Duration, block: BlockId, job: &JobId) {
        let jobs = self.attempts.entry(block).or_default();
        jobs.retain(|_, at| now < *at + RETRY_INTERVAL);
        jobs.insert(job.clone(), now);
    }

    /// Handles a gain of capacity on a machine of the block: all jobs may be tried again.
    pub fn capacity_gained(&mut self, block: BlockId) {
        if self.attempts.remove(&block).is_some() {
            self.changed.insert(block);
        }
    }

    /// Whether tasks that could not be placed may fit now. Resets the answer.
    pub fn take_changed(&mut self) -> bool {
        !std::mem::take(&mut self.changed).is_empty()
    }
}

#[cfg(test)]
mod tests;
