//! Recording what became of handed tasks, as batched ranges.

use std::time::Duration;

use oliveshift_wire::{
    JobId,
    state::{Change, Cond, Txn, json_len},
};

use crate::{
    assigned_tasks::AssignmentState,
    controller::Controller,
    records::{ChunkRecord, FormatLevel, JobRecord, Key, Phase, TaskStatus},
    store::{Outcome, Purpose, Urgency},
    view::Job,
};

/// How long news is gathered before it is written.
const GATHER: Duration = Duration::from_millis(60);
/// How long what is not pressing is gathered, and when it presses all the same.
const GATHER_MORE: Duration = Duration::from_millis(2500);
const PATIENCE: Duration = Duration::from_secs(25);
/// How long what is not pressing is gathered while its team is near its limit: what
/// has ended counts as used until it is recorded.
const GATHER_NEAR_LIMIT: Duration = Duration::from_millis(700);
/// How long to wait after a write that got no answer.
const RETRY: Duration = Duration::from_millis(400);

/// News of a chunk: since when, and when to see whether to write it.
#[derive(Debug)]
pub(crate) struct DirtyChunk {
    since: Duration,
    check_at: Duration,
}

/// A write of a chunk under way. Until its outcome shows in the view, the
/// chunk gets no other write from us.
#[derive(Debug)]
pub(crate) struct ChunkWrite {
    /// The chunk's version that the write depends on.
    base_version: u64,
    txn: Txn,
    step: WriteStep,
    /// It, or one before it on the same conditions, has got no answer: it may
    /// have been executed or may be yet, whatever a repeat is told.
    in_doubt: bool,
    /// The service does not take it as it is.
    impossible: bool,
    /// Tasks that the write hands out, with their blocks: they count as
    /// handed while it may still take effect.
    pub assignments: Vec<(u32, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteStep {
    /// No answer yet.
    Sent,
    /// Answered; the view will show it at this revision.
    VisibleAt(u64),
    /// No answer came: it is sent again, which settles it either way.
    Retry(Duration),
}

impl WriteStep {
    /// What follows from a write's outcome; none if nothing of it can take
    /// effect any more. `in_doubt`: an earlier request for it got no answer,
    /// so that a refusal of this one proves nothing.
    pub fn after(outcome: Outcome, in_doubt: bool, now: Duration) -> Option<Self> {
        match outcome {
            Outcome::Done(revision) | Outcome::Conflict(revision) => {
                Some(Self::VisibleAt(revision))
            }
            Outcome::Unknown => Some(Self::Retry(now + RETRY)),
            Outcome::Refused | Outcome::Impossible | Outcome::NoLease => {
                in_doubt.then_some(Self::Retry(now + RETRY))
            }
        }
    }
}

/// What a chunk's news asks for.
enum NextWrite {
    /// Nothing.
    Nothing,
    /// A write for which there is no room in the record yet.
    Later,
    /// This write.
    Write(Txn),
}

impl Controller {
    /// Writes what is due of the chunks with news.
    pub(crate) fn record_dirty_chunks(&mut self) {
        if self.dirty_chunks.is_empty() {
            return;
        }
        let now = self.now;
        let teams = &self.settings.params.teams;
        self.team_use.refresh(now, &self.view, teams);
        let due: Vec<_> = self
            .dirty_chunks
            .iter()
            .filter(|(chunk, news)| now >= news.check_at && !self.chunk_writes.contains_key(*chunk))
            .map(|(chunk, news)| (chunk.clone(), news.since))
            .collect();
        let mut todo = Vec::new();
        for ((id, part), since) in due {
            if self.is_urgent(&id, part) {
                todo.push((0, since, id, part));
            } else if now >= since + PATIENCE {
                todo.push((1, since, id, part));
            } else if self.blocks_its_team(&id) {
                match now >= since + GATHER_NEAR_LIMIT {
                    true => todo.push((2, since, id, part)),
                    false => self.recheck_chunk_at(id, part, since + GATHER_NEAR_LIMIT),
                }
            } else if now >= since + GATHER_MORE || self.has_spare_writes() {
                todo.push((3, since, id, part));
            } else {
                self.recheck_chunk_at(id, part, since + GATHER_MORE);
            }
        }
        // What presses goes first, as there may not be enough for all.
        todo.sort();
        for (rank, _, id, part) in todo {
            let urgency = match rank {
                0 | 1 => Urgency::Safety,
                2 => Urgency::Quota,
                _ => Urgency::Background,
            };
            match self.next_chunk_write(&id, part) {
                NextWrite::Nothing => {
                    self.dirty_chunks.remove(&(id, part));
                }
                NextWrite::Later => self.recheck_chunk_at(id, part, now + PATIENCE),
                NextWrite::Write(txn) => {
                    if self.write_chunk(&id, part, txn, Vec::new(), urgency) {
                        self.dirty_chunks.remove(&(id, part));
                    } else {
                        self.recheck_chunk_at(id, part, now + GATHER);
                    }
                }
            }
        }
    }

    /// Whether a job's team is near its limit, so that what has ended of it keeps
    /// other work of the team from starting.
    fn blocks_its_team(&self, id: &JobId) -> bool {
        let spec = self.view.spec(id);
        spec.is_some_and(|spec| self.team_use.is_near_limit(&spec.team))
    }

    fn recheck_chunk_at(&mut self, id: JobId, part: u32, at: Duration) {
        if let Some(news) = self.dirty_chunks.get_mut(&(id, part)) {
            news.check_at = at;
        }
    }

    /// There is news of a chunk to record.
    pub(crate) fn mark_chunk_dirty(&mut self, id: &JobId, part: u32) {
        let now = self.now;
        let news = self
            .dirty_chunks
            .entry((id.clone(), part))
            .or_insert(DirtyChunk {
                since: now,
                check_at: now + GATHER,
            });
        news.check_at = news.check_at.min(now + GATHER);
    }

    /// Whether a chunk's news should not wait for more: something of it is
    /// given back, or nothing more will come from us soon. What is done
    /// besides can wait, since users hear of whole jobs only, the room is known
    /// to be free, and every write of a chunk holds up all others.
    fn is_urgent(&self, id: &JobId, part: u32) -> bool {
        let Some(job) = self.view.jobs.get(id) else {
            return true;
        };
        let (first, count) = job.chunk_span(part);
        let tasks = self
            .assigned_tasks
            .range(id.task(first)..id.task(first.saturating_add(count as u32)));
        let mut more = false;
        for (_, assigned) in tasks {
            match assigned.state {
                AssignmentState::Returning => return true,
                AssignmentState::Done => {}
                AssignmentState::Bound(_)
                | AssignmentState::Free { .. }
                | AssignmentState::Unlocated => more = true,
            }
        }
        !more
    }

    /// The write that a chunk's news asks for.
    fn next_chunk_write(&self, id: &JobId, part: u32) -> NextWrite {
        let Some(job) = self.view.jobs.get(id) else {
            return NextWrite::Nothing;
        };
        let Some(chunk) = job.chunks.get(&part) else {
            return NextWrite::Nothing;
        };
        let limits = self.limits();
        let (first, _) = job.chunk_span(part);
        let mut statuses = chunk.task_statuses.clone();
        let mut done = 0;
        let mut blocks = Vec::new();
        // The other conditions are on the chunk and the job; what goes beyond
        // the limit goes with the next write.
        let most_blocks = limits.txn_conds().saturating_sub(2);
        for (i, status) in statuses.iter_mut().enumerate() {
            let TaskStatus::Assigned { block, term } = *status else {
                continue;
            };
            let task = id.task(first + i as u32);
            let Some(assigned) = self.assigned_tasks.get(&task) else {
                continue;
            };
            let known = blocks.contains(&block);
            if (assigned.block, assigned.assigned_term) != (block, term)
                || (!known && blocks.len() >= most_blocks)
            {
                continue;
            }
            match assigned.state {
                AssignmentState::Done => {
                    *status = TaskStatus::Done;
                    done += 1;
                }
                AssignmentState::Returning => *status = TaskStatus::Waiting,
                _ => continue,
            }
            if !known {
                blocks.push(block);
            }
        }
        if blocks.is_empty() {
            return NextWrite::Nothing;
        }
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoTermCheck) {
            blocks.truncate(0);
        }
        let mut conds = Vec::new();
        for block in blocks {
            // Only the holder may say that a task is nowhere: once the block
            // is leased anew, the next holder may have started it again.
            let Some(held) = self.held_blocks.get(&block) else {
                return NextWrite::Nothing;
            };
            conds.push(Cond {
                key: Key::Block(block).path(),
                version: held.term,
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
            let mut changes = vec![self.put_final(id, job, Phase::Done)];
            // The other chunks are done, so none of them changes any more.
            let parts = job.chunks.keys().copied().filter(|p| *p != part);
            let parts = std::iter::once(part).chain(parts).take(limits.txn_ops - 1);
            changes.extend(parts.map(|p| Change::Delete {
                key: Key::Chunk(id.clone(), p).path(),
            }));
            return NextWrite::Write(Txn { conds, changes });
        }
        match self.put_chunk(key, first, statuses) {
            Some(put) => NextWrite::Write(Txn {
                conds,
                changes: vec![put],
            }),
            None => NextWrite::Later,
        }
    }

    /// A change that ends a job's record.
    pub(crate) fn put_final(&self, id: &JobId, job: &Job, phase: Phase) -> Change {
        let mut record = JobRecord {
            phase,
            ..job.record()
        };
        if self.level() >= FormatLevel::PIPELINES {
            record.service = job.service;
            let now = self.wall_clock.as_millis() as u64;
            record.done_ms = (phase == Phase::Done).then_some(now);
        }
        Change::Put {
            key: Key::Job(id.clone()).path(),
            value: record.to_value(self.level()),
            lease: None,
        }
    }

    /// A change that writes a chunk's record; none if it would be too large.
    /// Where need be, terms that are over are not told apart any more: a task
    /// handed under any of them waits for the same proof.
    pub(crate) fn put_chunk(
        &self,
        key: String,
        first: u32,
        mut statuses: Vec<TaskStatus>,
    ) -> Option<Change> {
        let (level, most) = (self.level(), self.limits().value_bytes());
        let pack = |statuses: &[TaskStatus]| {
            let value = ChunkRecord::pack(level, first, statuses)?.to_value();
            (level < FormatLevel::PIPELINES || json_len(&value) <= most).then_some(value)
        };
        let value = pack(&statuses).or_else(|| {
            for status in &mut statuses {
                if let TaskStatus::Assigned { block, term } = status
                    && self
                        .view
                        .blocks
                        .get(block)
                        .is_none_or(|b| b.version > *term)
                {
                    *term = 0;
                }
            }
            pack(&statuses)
        });
        if value.is_none() {
            log::error!("{key}: too large to be written");
        }
        Some(Change::Put {
            key,
            value: value?,
            lease: None,
        })
    }

    /// Sends a write of a chunk; false if the budget does not allow it now.
    pub(crate) fn write_chunk(
        &mut self,
        id: &JobId,
        part: u32,
        txn: Txn,
        assignments: Vec<(u32, u32)>,
        urgency: Urgency,
    ) -> bool {
        let base_version = self.view.chunk_version(id, part);
        if !self.send_txn(txn.clone(), Purpose::Chunk(id.clone(), part), urgency) {
            return false;
        }
        let write = ChunkWrite {
            base_version,
            txn,
            step: WriteStep::Sent,
            in_doubt: false,
            impossible: false,
            assignments,
        };
        self.chunk_writes.insert((id.clone(), part), write);
        true
    }

    pub(crate) fn chunk_written(&mut self, id: JobId, part: u32, txn: Txn, outcome: Outcome) {
        let now = self.now;
        let key = (id, part);
        // Records that the write left out, or that it lost, are tried again.
        let (id, part) = &key;
        self.mark_chunk_dirty(id, *part);
        let Some(write) = self.chunk_writes.get_mut(&key) else {
            return;
        };
        if write.txn != txn {
            return;
        }
        write.in_doubt |= outcome == Outcome::Unknown;
        write.impossible = outcome == Outcome::Impossible;
        let wait = if write.impossible { PATIENCE } else { RETRY };
        match WriteStep::after(outcome, write.in_doubt, now) {
            Some(step) => write.step = step,
            None => {
                self.chunk_writes.remove(&key);
                let (id, part) = key;
                self.recheck_chunk_at(id, part, now + wait);
            }
        }
        self.advance_chunk_writes();
    }

    /// Ends the wait for writes whose outcome the view shows, and repeats
    /// those that got no answer.
    pub(crate) fn advance_chunk_writes(&mut self) {
        if self.chunk_writes.is_empty() {
            return;
        }
        let view = &self.view;
        let before = self.chunk_writes.len();
        self.chunk_writes.retain(|(id, part), write| {
            let shown = matches!(write.step, WriteStep::VisibleAt(r) if view.revision >= r);
            let moved = view.chunk_version(id, *part) != write.base_version
                || view.jobs.get(id).is_none_or(Job::is_cleaned_up);
            !shown && !moved
        });
        if self.chunk_writes.len() != before
            && let Some(leader) = &mut self.leader
        {
            leader.plan_due = true;
        }
        let now = self.now;
        let again: Vec<_> = self
            .chunk_writes
            .iter()
            .filter(|(_, b)| matches!(b.step, WriteStep::Retry(at) if now >= at))
            .map(|(key, b)| {
                (
                    key.clone(),
                    b.impossible || !self.txn_fits(&b.txn),
                    b.txn.clone(),
                )
            })
            .collect();
        for ((id, part), too_large, mut txn) in again {
            if too_large {
                // Its repeat is refused, and that proves nothing. The same
                // chunk written as it was keeps it from ever taking effect,
                // or finds that it has.
                log::info!("{id}: a write in doubt is too large by now and is settled");
                match self.no_op_write(&id, part) {
                    Some(small) => txn = small,
                    None => continue,
                }
            }
            let purpose = Purpose::Chunk(id.clone(), part);
            if self.send_txn(txn.clone(), purpose, Urgency::Safety)
                && let Some(write) = self.chunk_writes.get_mut(&(id, part))
            {
                write.step = WriteStep::Sent;
                write.txn = txn;
            }
        }
    }

    /// A write that changes nothing of a chunk but its version.
    fn no_op_write(&self, id: &JobId, part: u32) -> Option<Txn> {
        let job = self.view.jobs.get(id)?;
        let (first, count) = job.chunk_span(part);
        let statuses = match job.chunks.get(&part) {
            Some(chunk) => chunk.task_statuses.clone(),
            None => vec![TaskStatus::Waiting; count],
        };
        let key = Key::Chunk(id.clone(), part).path();
        let cond = Cond {
            key: key.clone(),
            version: self.view.chunk_version(id, part),
        };
        Some(Txn {
            conds: vec![cond],
            changes: vec![self.put_chunk(key, first, statuses)?],
        })
    }
}

#[cfg(test)]
mod tests;
