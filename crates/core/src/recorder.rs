//! Recording what became of handed tasks, as batched ranges.

use std::time::Duration;

use oliveshift_wire::{
    JobId,
    state::{Change, Cond, Txn},
};

use crate::{
    controller::Controller,
    records::{ChunkRecord, JobRecord, Key, Phase, Place, to_value},
    slots::State,
    store::{Outcome, Purpose, Urgency},
    view::Job,
};

/// How long news is gathered before it is written.
const GATHER: Duration = Duration::from_millis(60);
/// How long what is not pressing is gathered, and when it presses all the same.
const GATHER_MORE: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_secs(8);
/// How long to wait after a write that got no answer.
const RETRY: Duration = Duration::from_millis(400);

/// News of a chunk: since when, and when to see whether to write it.
#[derive(Debug)]
pub(crate) struct News {
    since: Duration,
    look_at: Duration,
}

/// A write of a chunk under way. Until its outcome shows in the view, the
/// chunk gets no other write from us.
#[derive(Debug)]
pub(crate) struct Busy {
    /// The chunk's version that the write depends on.
    base: u64,
    txn: Txn,
    step: Step,
    /// Tasks that the write hands out, with their blocks: they count as
    /// handed while it may still take effect.
    pub handed: Vec<(u32, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// No answer yet.
    Sent,
    /// Answered; the view will show it at this revision.
    Until(u64),
    /// No answer came: it is sent again, which settles it either way.
    Again(Duration),
}

impl Step {
    /// What follows from a write's outcome; none if it was surely not executed.
    pub fn after(outcome: Outcome, now: Duration) -> Option<Self> {
        match outcome {
            Outcome::Done(revision) | Outcome::Conflict(revision) => Some(Self::Until(revision)),
            Outcome::Unknown => Some(Self::Again(now + RETRY)),
            Outcome::Refused | Outcome::NoLease => None,
        }
    }
}

/// A change that writes a job's record.
pub(crate) fn put_job(id: &JobId, job: &Job, phase: Phase) -> Change {
    let record = JobRecord {
        phase,
        tasks: job.tasks,
        at_ms: job.at_ms,
        chunk: job.chunk,
        spec: None,
    };
    Change::Put {
        key: Key::Job(id.clone()).path(),
        value: to_value(&record),
        lease: None,
    }
}

impl Controller {
    /// Writes what is due of the chunks with news.
    pub(crate) fn record(&mut self) {
        if self.dirty.is_empty() {
            return;
        }
        let now = self.now;
        let due: Vec<_> = self
            .dirty
            .iter()
            .filter(|(chunk, news)| now >= news.look_at && !self.busy.contains_key(*chunk))
            .map(|(chunk, news)| (chunk.clone(), news.since))
            .collect();
        let mut todo = Vec::new();
        for ((id, part), since) in due {
            if self.is_pressing(&id, part) {
                todo.push((0, since, id, part));
            } else if now >= since + PATIENCE {
                todo.push((1, since, id, part));
            } else if now >= since + GATHER_MORE || self.writes_are_rich() {
                todo.push((2, since, id, part));
            } else {
                self.look_again(id, part, since + GATHER_MORE);
            }
        }
        // What presses goes first, as there may not be enough for all.
        todo.sort();
        for (rank, _, id, part) in todo {
            let urgency = if rank < 2 {
                Urgency::Safety
            } else {
                Urgency::Later
            };
            match self.chunk_news(&id, part) {
                None => {
                    self.dirty.remove(&(id, part));
                }
                Some(txn) => {
                    if self.write_chunk(&id, part, txn, Vec::new(), urgency) {
                        self.dirty.remove(&(id, part));
                    } else {
                        self.look_again(id, part, now + GATHER);
                    }
                }
            }
        }
    }

    fn look_again(&mut self, id: JobId, part: u32, at: Duration) {
        if let Some(news) = self.dirty.get_mut(&(id, part)) {
            news.look_at = at;
        }
    }

    /// There is news of a chunk to record.
    pub(crate) fn note_news(&mut self, id: &JobId, part: u32) {
        let now = self.now;
        let news = self.dirty.entry((id.clone(), part)).or_insert(News {
            since: now,
            look_at: now + GATHER,
        });
        news.look_at = news.look_at.min(now + GATHER);
    }

    /// Whether a chunk's news should not wait for more: something of it is
    /// given back, or nothing more will come from us soon. What is done
    /// besides can wait, since users hear of whole jobs only, the room is known
    /// to be free, and every write of a chunk holds up all others.
    fn is_pressing(&self, id: &JobId, part: u32) -> bool {
        let Some(job) = self.view.jobs.get(id) else {
            return true;
        };
        let (first, count) = job.chunk_span(part);
        let slots = self
            .slots
            .range(id.task(first)..id.task(first.saturating_add(count as u32)));
        let mut more = false;
        for (_, slot) in slots {
            match slot.state {
                State::Leaving => return true,
                State::Done => {}
                State::Bound(_) | State::Free { .. } | State::Lost => more = true,
            }
        }
        !more
    }

    /// The write that a chunk's news asks for; none if there are none.
    fn chunk_news(&self, id: &JobId, part: u32) -> Option<Txn> {
        let job = self.view.jobs.get(id)?;
        let chunk = job.chunks.get(&part)?;
        let (first, _) = job.chunk_span(part);
        let mut places = chunk.places.clone();
        let mut conds = Vec::new();
        let mut done = 0;
        let mut blocks = Vec::new();
        for (i, place) in places.iter_mut().enumerate() {
            let Place::Handed { block, term } = *place else {
                continue;
            };
            let task = id.task(first + i as u32);
            let Some(slot) = self.slots.get(&task) else {
                continue;
            };
            if (slot.block, slot.handed) != (block, term) {
                continue;
            }
            match slot.state {
                State::Done => {
                    *place = Place::Done;
                    done += 1;
                }
                State::Leaving => *place = Place::Waiting,
                _ => continue,
            }
            if !blocks.contains(&block) {
                blocks.push(block);
            }
        }
        if blocks.is_empty() {
            return None;
        }
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoTerms) {
            blocks.truncate(0);
        }
        for block in blocks {
            // Only the holder may say that a task is nowhere: once the block
            // is leased anew, the next holder may have started it again.
            conds.push(Cond {
                key: Key::Block(block).path(),
                version: self.held.get(&block)?.term,
            });
        }
        let key = Key::Chunk(id.clone(), part).path();
        conds.push(Cond {
            key: key.clone(),
            version: chunk.version,
        });
        let all_done = job.done + done >= job.tasks && job.phase == Phase::Open;
        if all_done {
            conds.push(Cond {
                key: Key::Job(id.clone()).path(),
                version: job.version,
            });
            let mut changes = vec![put_job(id, job, Phase::Done)];
            // The other chunks are done, so none of them changes any more.
            let most = self.settings.params.state.txn_ops - 1;
            let parts = job.chunks.keys().copied().filter(|p| *p != part);
            let parts = std::iter::once(part).chain(parts).take(most);
            changes.extend(parts.map(|p| Change::Delete {
                key: Key::Chunk(id.clone(), p).path(),
            }));
            return Some(Txn { conds, changes });
        }
        let value = to_value(&ChunkRecord::pack(first, &places));
        let put = Change::Put {
            key,
            value,
            lease: None,
        };
        Some(Txn {
            conds,
            changes: vec![put],
        })
    }

    /// Sends a write of a chunk; false if the budget does not allow it now.
    pub(crate) fn write_chunk(
        &mut self,
        id: &JobId,
        part: u32,
        txn: Txn,
        handed: Vec<(u32, u32)>,
        urgency: Urgency,
    ) -> bool {
        let base = self.view.chunk_version(id, part);
        if !self.txn(txn.clone(), Purpose::Chunk(id.clone(), part), urgency) {
            return false;
        }
        let busy = Busy {
            base,
            txn,
            step: Step::Sent,
            handed,
        };
        self.busy.insert((id.clone(), part), busy);
        true
    }

    pub(crate) fn chunk_written(&mut self, id: JobId, part: u32, txn: Txn, outcome: Outcome) {
        let now = self.now;
        let key = (id, part);
        // Records that the write left out, or that it lost, are tried again.
        let (id, part) = &key;
        self.note_news(id, *part);
        let Some(busy) = self.busy.get_mut(&key) else {
            return;
        };
        if busy.txn != txn {
            return;
        }
        match Step::after(outcome, now) {
            Some(step) => busy.step = step,
            None => {
                self.busy.remove(&key);
                let (id, part) = key;
                self.look_again(id, part, now + RETRY);
            }
        }
        self.busy_progress();
    }

    /// Ends the wait for writes whose outcome the view shows, and repeats
    /// those that got no answer.
    pub(crate) fn busy_progress(&mut self) {
        if self.busy.is_empty() {
            return;
        }
        let view = &self.view;
        let before = self.busy.len();
        self.busy.retain(|(id, part), busy| {
            let shown = matches!(busy.step, Step::Until(r) if view.revision >= r);
            let moved = view.chunk_version(id, *part) != busy.base
                || view.jobs.get(id).is_none_or(Job::settled);
            !shown && !moved
        });
        if self.busy.len() != before
            && let Some(leader) = &mut self.leader
        {
            leader.plan_due = true;
        }
        let now = self.now;
        let again: Vec<_> = self
            .busy
            .iter()
            .filter(|(_, b)| matches!(b.step, Step::Again(at) if now >= at))
            .map(|(key, b)| (key.clone(), b.txn.clone()))
            .collect();
        for ((id, part), txn) in again {
            let purpose = Purpose::Chunk(id.clone(), part);
            if self.txn(txn, purpose, Urgency::Safety)
                && let Some(busy) = self.busy.get_mut(&(id, part))
            {
                busy.step = Step::Sent;
            }
        }
    }
}
