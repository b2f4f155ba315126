//! Removes ended runs after the retention period: pieces first, the run's own record last, so
//! that an interrupted sweep is resumed when the record is read again. The record of the run's
//! idempotency key is removed together with it: from then on the key may be another run's, so that
//! the removal depends on the run's record.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::state::{Change, Cond, Item};

use crate::records::{RunId, RunRecord, piece_key, run_key, submission_key};

/// Maximum number of runs that are removed at the same time.
const MAX_CONCURRENT_SWEEPS: usize = 4;

/// Next step in the removal of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum SweepStep {
    /// List the records of the run's jobs, after a key.
    ListJobs(RunId, Option<String>),
    /// Delete these keys, on this condition if there is one.
    Remove(RunId, Option<Cond>, Vec<Change>),
}

#[derive(Debug)]
struct Sweep {
    /// Keys of pieces to remove, in reverse order: the last one is removed first.
    keys: Vec<String>,
    /// Keys to remove together, once all pieces are removed.
    final_keys: Vec<String>,
    /// Version of the run's record.
    version: u64,
    /// Key after which the list of jobs continues, `Some(None)` at its start; `None` once all job
    /// keys are known.
    list_after: Option<Option<String>>,
    in_flight: bool,
}

/// Runs that are being removed.
#[derive(Debug)]
pub struct Sweeps {
    retention: Duration,
    runs: BTreeMap<RunId, Sweep>,
}

impl Sweeps {
    /// Runs are removed once `retention` has passed since their end.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            runs: BTreeMap::new(),
        }
    }

    /// Starts the removal of a run if its retention period is over and the limit of concurrent
    /// sweeps allows it.
    pub fn consider(&mut self, id: RunId, record: &RunRecord, version: u64, unix_s: u64) {
        let expires_s = record.ended_s.map(|ended| ended + self.retention.as_secs());
        if !record.state.is_final() || expires_s.is_none_or(|at_s| unix_s < at_s) {
            return;
        }
        if self.runs.len() >= MAX_CONCURRENT_SWEEPS || self.runs.contains_key(&id) {
            return;
        }
        let pieces = (record.pieces + record.outputs) as usize;
        let mut keys = vec![run_key('c', id)];
        keys.extend((0..pieces).map(|i| piece_key('t', id, i)));
        let submission = record.idempotency_key.as_ref().map(submission_key);
        let sweep = Sweep {
            keys,
            final_keys: submission.into_iter().chain([run_key('r', id)]).collect(),
            version,
            list_after: Some(None),
            in_flight: false,
        };
        self.runs.insert(id, sweep);
    }

    /// Next step of any sweep without a request in flight, with at most `max_changes` changes.
    pub fn next_step(&mut self, max_changes: usize) -> Option<SweepStep> {
        let (id, sweep) = self.runs.iter_mut().find(|(_, s)| !s.in_flight)?;
        sweep.in_flight = true;
        if let Some(after) = &sweep.list_after {
            return Some(SweepStep::ListJobs(*id, after.clone()));
        }
        let from = sweep.keys.len().saturating_sub(max_changes);
        let unchanged = Cond {
            key: run_key('r', *id),
            version: sweep.version,
        };
        let (cond, keys): (_, Vec<String>) = match sweep.keys.is_empty() {
            true => (Some(unchanged), sweep.final_keys.clone()),
            false => (None, sweep.keys[from..].iter().rev().cloned().collect()),
        };
        let changes = keys.into_iter().map(|key| Change::Delete { key }).collect();
        Some(SweepStep::Remove(*id, cond, changes))
    }

    /// Adds a page of job keys, with whether more follow. `None` means that the read failed.
    pub fn jobs_listed(&mut self, id: RunId, page: Option<(&[Item], bool)>) {
        let Some(sweep) = self.runs.get_mut(&id) else {
            return;
        };
        let Some((items, more)) = page else {
            // The next scan of the range finds the run again.
            self.runs.remove(&id);
            return;
        };
        sweep.in_flight = false;
        sweep.keys.extend(items.iter().map(|i| i.key.clone()));
        sweep.list_after = match more {
            true => Some(items.last().map(|i| i.key.clone())),
            false => None,
        };
    }

    /// Records the answer to a removal: the number of keys that were deleted, or `None` if it
    /// failed.
    pub fn removal_answered(&mut self, id: RunId, count: Option<usize>) {
        let (Some(sweep), Some(count)) = (self.runs.get_mut(&id), count) else {
            self.runs.remove(&id);
            return;
        };
        sweep.in_flight = false;
        if sweep.keys.is_empty() {
            log::debug!("{id}: run removed after its retention period");
            self.runs.remove(&id);
            return;
        }
        sweep.keys.truncate(sweep.keys.len().saturating_sub(count));
    }
}

#[cfg(test)]
mod tests;
