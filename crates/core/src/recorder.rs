//! Records the results of assigned tasks in batched writes of their chunks.

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

/// How long results of a chunk are batched before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// How long results that are not urgent are batched.
const BACKGROUND_BATCH_DELAY: Duration = Duration::from_millis(2500);
/// After this time results are written with the urgency `Safety` in any case. Also the
/// retry delay of writes that exceed the limits of the record or the state service.
const MAX_BATCH_DELAY: Duration = Duration::from_secs(25);
/// How long results that are not urgent are batched while their team is near its limit:
/// ended tasks count against the limit until they are recorded.
const NEAR_LIMIT_BATCH_DELAY: Duration = Duration::from_millis(700);
/// Delay before a write that got no answer, or failed, is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A chunk with results to record: since when, and when to check again whether to write.
#[derive(Debug)]
pub(crate) struct DirtyChunk {
    since: Duration,
    check_at: Duration,
}

/// A write of a chunk that is not settled. Until its outcome shows in the view, this
/// controller sends no other write of the chunk.
#[derive(Debug)]
pub(crate) struct ChunkWrite {
    /// The version of the chunk that the write is conditional on.
    base_version: u64,
    txn: Txn,
    step: WriteStep,
    /// This request, or an earlier one with the same conditions, got no answer. It may
    /// have been executed or may still be, whatever a repeat is answered.
    in_doubt: bool,
    /// The state service can't accept the transaction as it is.
    impossible: bool,
    /// Tasks that the write assigns, with their blocks. They count as assigned while the
    /// write may still take effect.
    pub assignments: Vec<(u32, u32)>,
}

/// Progress of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteStep {
    /// Sent, without an answer so far.
    Sent,
    /// Answered; the view shows the outcome from this revision on.
    VisibleAt(u64),
    /// Got no answer; it is sent again at this time, which settles it either way.
    Retry(Duration),
}

impl WriteStep {
    /// The next step after an outcome, or none if the write can no longer take effect.
    /// With `in_doubt` an earlier request got no answer, so a refusal of this one does
    /// not prove that the write was not executed.
    pub fn after(outcome: Outcome, in_doubt: bool, now: Duration) -> Option<Self> {
        match outcome {
            Outcome::Done(revision) | Outcome::Conflict(revision) => {
                Some(Self::VisibleAt(revision))
            }
            Outcome::Unknown => Some(Self::Retry(now + WRITE_RETRY_DELAY)),
            Outcome::Refused | Outcome::Impossible | Outcome::NoLease => {
                in_doubt.then_some(Self::Retry(now + WRITE_RETRY_DELAY))
            }
        }
    }
}

/// The next write of a chunk's results.
enum NextWrite {
    /// No write is needed.
    Nothing,
    /// A write whose record would be too large for now.
    Later,
    /// The write to send.
    Write(Txn),
}

impl Controller {
    /// Writes the chunks whose results are due.
    pub(crate) fn record_dirty_chunks(&mut self) {
        if self.dirty_chunks.is_empty() {
            return;
        }
        let now = self.now;
        let teams = &self.settings.deployment.teams;
        self.near_limit_teams.refresh(now, &self.view, teams);
        let due: Vec<_> = self
            .dirty_chunks
            .iter()
            .filter(|(chunk, dirty)| {
                now >= dirty.check_at && !self.chunk_writes.contains_key(*chunk)
            })
            .map(|(chunk, dirty)| (chunk.clone(), dirty.since))
            .collect();
        let mut todo = Vec::new();
        for ((id, part), since) in due {
            if self.is_urgent(&id, part) {
                todo.push((0, since, id, part));
            } else if now >= since + MAX_BATCH_DELAY {
                todo.push((1, since, id, part));
            } else if self.blocks_its_team(&id) {
                match now >= since + NEAR_LIMIT_BATCH_DELAY {
                    true => todo.push((2, since, id, part)),
                    false => self.recheck_chunk_at(id, part, since + NEAR_LIMIT_BATCH_DELAY),
                }
            } else if now >= since + BACKGROUND_BATCH_DELAY || self.has_spare_writes() {
                todo.push((3, since, id, part));
            } else {
                self.recheck_chunk_at(id, part, since + BACKGROUND_BATCH_DELAY);
            }
        }
        // The most urgent first, since the request budget may not suffice for all.
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
                NextWrite::Later => self.recheck_chunk_at(id, part, now + MAX_BATCH_DELAY),
                NextWrite::Write(txn) => {
                    if self.write_chunk(&id, part, txn, Vec::new(), urgency) {
                        self.dirty_chunks.remove(&(id, part));
                    } else {
                        self.recheck_chunk_at(id, part, now + BATCH_DELAY);
                    }
                }
            }
        }
    }

    /// Whether the job's team is near its limit, so that ended tasks that are not
    /// recorded keep other tasks of the team from starting.
    fn blocks_its_team(&self, id: &JobId) -> bool {
        let spec = self.view.spec(id);
        spec.is_some_and(|spec| self.near_limit_teams.is_near_limit(&spec.team))
    }

    fn recheck_chunk_at(&mut self, id: JobId, part: u32, at: Duration) {
        if let Some(dirty) = self.dirty_chunks.get_mut(&(id, part)) {
            dirty.check_at = at;
        }
    }

    /// Notes that a chunk has results to record.
    pub(crate) fn mark_chunk_dirty(&mut self, id: &JobId, part: u32) {
        let now = self.now;
        let dirty = self
            .dirty_chunks
            .entry((id.clone(), part))
            .or_insert(DirtyChunk {
                since: now,
                check_at: now + BATCH_DELAY,
            });
        dirty.check_at = dirty.check_at.min(now + BATCH_DELAY);
    }

    /// Whether a chunk's results should not be batched any longer: a task is to be
    /// returned to the leader, or this controller has no unfinished task of the chunk
    /// left. Other completed tasks can wait, since users only see whole jobs, the machine's
    /// capacity is known to be free, and each write of a chunk delays all other writes
    /// of it.
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

    /// Builds the write that records a chunk's results.
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
        // Two conditions are for the chunk and the job. Results of blocks beyond the
        // limit go with the next write.
        let max_blocks = limits.txn_conds().saturating_sub(2);
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
                || (!known && blocks.len() >= max_blocks)
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
            // Only the holder may record that a task runs nowhere: once the block is
            // leased again, the next holder may have started the task again.
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
            // The other chunks are done, so none of them can change any more.
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

    /// The change that moves a job's record to its final phase.
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

    /// The change that writes a chunk's record, or none if it would be too large. If
    /// necessary, terms that are over are written as 0 to save space: tasks assigned under
    /// any of them wait for the same proof.
    pub(crate) fn put_chunk(
        &self,
        key: String,
        first: u32,
        mut statuses: Vec<TaskStatus>,
    ) -> Option<Change> {
        let (level, max_bytes) = (self.level(), self.limits().value_bytes());
        let pack = |statuses: &[TaskStatus]| {
            let value = ChunkRecord::pack(level, first, statuses)?.to_value();
            (level < FormatLevel::PIPELINES || json_len(&value) <= max_bytes).then_some(value)
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
            log::error!("{key}: record too large to write, value limit {max_bytes} bytes");
        }
        Some(Change::Put {
            key,
            value: value?,
            lease: None,
        })
    }

    /// Sends a write of a chunk. Returns false if the request budget does not allow it now.
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
        // Results that the write left out or failed to record are tried again.
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
        let wait = if write.impossible {
            MAX_BATCH_DELAY
        } else {
            WRITE_RETRY_DELAY
        };
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

    /// Removes writes whose outcome the view shows, and repeats those that got no answer.
    pub(crate) fn advance_chunk_writes(&mut self) {
        if self.chunk_writes.is_empty() {
            return;
        }
        let view = &self.view;
        let count_before = self.chunk_writes.len();
        self.chunk_writes.retain(|(id, part), write| {
            let is_visible = matches!(write.step, WriteStep::VisibleAt(r) if view.revision >= r);
            let is_changed = view.chunk_version(id, *part) != write.base_version
                || view.jobs.get(id).is_none_or(Job::is_cleaned_up);
            !is_visible && !is_changed
        });
        if self.chunk_writes.len() != count_before
            && let Some(leader) = &mut self.leader
        {
            leader.plan_due = true;
        }
        let now = self.now;
        let to_repeat: Vec<_> = self
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
        for ((id, part), too_large, mut txn) in to_repeat {
            if too_large {
                // A repeat would be refused, which proves nothing. Writing the chunk
                // unchanged raises its version, so the write in doubt can no longer take
                // effect. A conflict shows that the chunk has already changed.
                log::info!(
                    "{id}: chunk write without an answer exceeds the limits, replaced by an unchanged record"
                );
                match self.no_op_write(&id, part) {
                    Some(replacement) => txn = replacement,
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

    /// A write that changes only the version of a chunk.
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
