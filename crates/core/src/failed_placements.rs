//! Which jobs found no room in which blocks.
//!
//! A task without room was tried anew at each input, against every machine of
//! its block: with a few dozen such tasks that took a fifth of a controller's
//! processor time on ordinary days, and most of it just when it was behind.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::JobId;

use crate::records::BlockId;

/// What time alone may change is looked at again after this.
const AGAIN: Duration = Duration::from_millis(250);

/// Searches that found nothing, and would find nothing now.
#[derive(Debug, Default)]
pub(crate) struct FailedPlacements {
    /// When a task of a job was tried last, by block.
    attempts: BTreeMap<BlockId, BTreeMap<JobId, Duration>>,
    /// Some machine has gained room since.
    changed: BTreeSet<BlockId>,
}

impl FailedPlacements {
    /// Whether a task of this job would find nothing in the block, as far as
    /// is known.
    pub fn has_failed_recently(&self, now: Duration, block: BlockId, job: &JobId) -> bool {
        let attempts = self.attempts.get(&block).and_then(|jobs| jobs.get(job));
        attempts.is_some_and(|at| now < *at + AGAIN)
    }

    /// One has found nothing.
    pub fn record(&mut self, now: Duration, block: BlockId, job: &JobId) {
        let jobs = self.attempts.entry(block).or_default();
        jobs.retain(|_, at| now < *at + AGAIN);
        jobs.insert(job.clone(), now);
    }

    /// A machine of the block has room that it had not: all jobs may be tried
    /// again.
    pub fn capacity_gained(&mut self, block: BlockId) {
        if self.attempts.remove(&block).is_some() {
            self.changed.insert(block);
        }
    }

    /// Whether something that could not be placed may be placed now.
    pub fn take_changed(&mut self) -> bool {
        !std::mem::take(&mut self.changed).is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_search_is_repeated_when_its_block_changes_or_after_a_while() {
        let ms = Duration::from_millis;
        let job: JobId = "j-000001".parse().expect("an id");
        let other: JobId = "j-000002".parse().expect("an id");
        let (here, there) = (1, 2);
        let mut failures = FailedPlacements::default();
        assert!(!failures.has_failed_recently(ms(0), here, &job));
        failures.record(ms(0), here, &job);
        assert!(failures.has_failed_recently(ms(100), here, &job));
        assert!(!failures.has_failed_recently(ms(100), there, &job));
        assert!(!failures.has_failed_recently(ms(100), here, &other));
        assert!(
            !failures.has_failed_recently(ms(250), here, &job),
            "time passes"
        );
        failures.capacity_gained(there);
        assert!(failures.has_failed_recently(ms(100), here, &job) && !failures.take_changed());
        failures.capacity_gained(here);
        assert!(!failures.has_failed_recently(ms(100), here, &job));
        assert!(failures.take_changed() && !failures.take_changed());
    }
}
