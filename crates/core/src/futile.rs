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
pub(crate) struct Futile {
    /// When a task of a job was tried last, by block.
    tried: BTreeMap<BlockId, BTreeMap<JobId, Duration>>,
    /// Some machine has gained room since.
    changed: BTreeSet<BlockId>,
}

impl Futile {
    /// Whether a task of this job would find nothing in the block, as far as
    /// is known.
    pub fn is_known(&self, now: Duration, block: BlockId, job: &JobId) -> bool {
        let tried = self.tried.get(&block).and_then(|jobs| jobs.get(job));
        tried.is_some_and(|at| now < *at + AGAIN)
    }

    /// One has found nothing.
    pub fn note(&mut self, now: Duration, block: BlockId, job: &JobId) {
        let jobs = self.tried.entry(block).or_default();
        jobs.retain(|_, at| now < *at + AGAIN);
        jobs.insert(job.clone(), now);
    }

    /// A machine of the block has room that it had not: all jobs may be tried
    /// again.
    pub fn room_gained(&mut self, block: BlockId) {
        if self.tried.remove(&block).is_some() {
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
        let mut futile = Futile::default();
        assert!(!futile.is_known(ms(0), here, &job));
        futile.note(ms(0), here, &job);
        assert!(futile.is_known(ms(100), here, &job));
        assert!(!futile.is_known(ms(100), there, &job));
        assert!(!futile.is_known(ms(100), here, &other));
        assert!(!futile.is_known(ms(250), here, &job), "time passes");
        futile.room_gained(there);
        assert!(futile.is_known(ms(100), here, &job) && !futile.take_changed());
        futile.room_gained(here);
        assert!(!futile.is_known(ms(100), here, &job));
        assert!(futile.take_changed() && !futile.take_changed());
    }
}
