//! Ended runs are kept for some time and then removed: pieces first, the run's
//! own record last, so that a sweep that is cut short is taken up again.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::state::{Change, Item};

use crate::records::{RunId, RunRecord, piece_key, run_key};

/// So many are removed at a time.
const AT_A_TIME: usize = 4;

/// What is to be done next for a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read what its jobs are kept in, after a key.
    Look(RunId, Option<String>),
    /// Remove these.
    Remove(RunId, Vec<Change>),
}

#[derive(Debug)]
struct Sweep {
    /// To be removed, the first to go last.
    keys: Vec<String>,
    /// Where to look on; none: all is known.
    look: Option<Option<String>>,
    busy: bool,
}

/// The runs that are being removed.
#[derive(Debug)]
pub struct Sweeps {
    keep: Duration,
    runs: BTreeMap<RunId, Sweep>,
}

impl Sweeps {
    /// Runs are kept for so long after their end.
    pub fn new(keep: Duration) -> Self {
        Self {
            keep,
            runs: BTreeMap::new(),
        }
    }

    /// An ended run was seen.
    pub fn seen(&mut self, id: RunId, record: &RunRecord, unix_s: u64) {
        let over = record.ended_s.map(|ended| ended + self.keep.as_secs());
        if !record.state.is_final() || over.is_none_or(|over| unix_s < over) {
            return;
        }
        if self.runs.len() >= AT_A_TIME || self.runs.contains_key(&id) {
            return;
        }
        let pieces = (record.pieces + record.outputs) as usize;
        let mut keys = vec![run_key('r', id), run_key('c', id)];
        keys.extend((0..pieces).map(|i| piece_key('t', id, i)));
        let sweep = Sweep {
            keys,
            look: Some(None),
            busy: false,
        };
        self.runs.insert(id, sweep);
    }

    /// What is to be done, at most so many changes at once.
    pub fn next(&mut self, at_once: usize) -> Option<Step> {
        let (id, sweep) = self.runs.iter_mut().find(|(_, s)| !s.busy)?;
        sweep.busy = true;
        if let Some(after) = &sweep.look {
            return Some(Step::Look(*id, after.clone()));
        }
        let from = sweep.keys.len().saturating_sub(at_once);
        let keys = sweep.keys[from..].iter().rev().cloned();
        let changes = keys.map(|key| Change::Delete { key }).collect();
        Some(Step::Remove(*id, changes))
    }

    /// A page of its jobs' keys; none: it could not be had.
    pub fn looked(&mut self, id: RunId, page: Option<(&[Item], bool)>) {
        let Some(sweep) = self.runs.get_mut(&id) else {
            return;
        };
        let Some((items, more)) = page else {
            // It is found again when its range is looked through.
            self.runs.remove(&id);
            return;
        };
        sweep.busy = false;
        sweep.keys.extend(items.iter().map(|i| i.key.clone()));
        sweep.look = match more {
            true => Some(items.last().map(|i| i.key.clone())),
            false => None,
        };
    }

    /// Whether so many keys are gone.
    pub fn removed(&mut self, id: RunId, count: Option<usize>) {
        let (Some(sweep), Some(count)) = (self.runs.get_mut(&id), count) else {
            self.runs.remove(&id);
            return;
        };
        sweep.busy = false;
        sweep.keys.truncate(sweep.keys.len().saturating_sub(count));
        if sweep.keys.is_empty() {
            log::debug!("{id}: removed");
            self.runs.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::records::RunState;

    #[test]
    fn the_record_goes_last() {
        let mut sweeps = Sweeps::new(Duration::from_secs(100));
        let id = RunId {
            range: 1,
            number: 2,
        };
        let mut record = RunRecord {
            state: RunState::Complete,
            begun_s: 10,
            ended_s: Some(50),
            pieces: 2,
            outputs: 1,
            failure: None,
        };
        sweeps.seen(id, &record, 149);
        assert_eq!(sweeps.next(3), None);
        record.state = RunState::Failing;
        sweeps.seen(id, &record, 500);
        assert_eq!(sweeps.next(3), None);
        record.state = RunState::ExecutorError;
        sweeps.seen(id, &record, 150);
        assert_eq!(sweeps.next(3), Some(Step::Look(id, None)));
        assert_eq!(sweeps.next(3), None);
        let job = Item {
            key: piece_key('j', id, 0),
            value: rmpv::Value::Nil,
            version: 1,
        };
        sweeps.looked(id, Some((&[job], false)));
        let mut gone = Vec::new();
        while let Some(Step::Remove(_, changes)) = sweeps.next(4) {
            sweeps.removed(id, Some(changes.len()));
            gone.extend(changes.into_iter().map(|c| match c {
                Change::Delete { key } => key,
                other => panic!("{other:?}"),
            }));
        }
        let t = |i| piece_key('t', id, i);
        let last = [run_key('c', id), run_key('r', id)];
        let mut all = vec![piece_key('j', id, 0), t(2), t(1), t(0)];
        all.extend(last);
        assert_eq!(gone, all);
    }
}
