//! Tasks assigned to blocks that this controller holds.

use std::{rc::Rc, time::Duration};

use oliveshift_wire::{
    JobId, TaskId,
    job::JobSpec,
    worker::{EndCause, TaskReport, TaskState},
};

use crate::{
    attempt::AbsenceProof,
    controller::Controller,
    records::{BlockId, Phase, TaskStatus, Term},
};

/// A task assigned to a held block.
#[derive(Debug)]
pub(crate) struct AssignedTask {
    pub spec: Rc<JobSpec>,
    pub block: BlockId,
    /// The block's term when the task was assigned; 0 if the record no longer tells
    /// terms that are over.
    pub assigned_term: Term,
    pub state: AssignmentState,
    /// The job is cancelled.
    pub cancelled: bool,
    /// Machines on which the task has failed; one entry for each failure.
    pub failed_on: Vec<String>,
}

/// What is known about where an assigned task runs.
#[derive(Debug)]
pub(crate) enum AssignmentState {
    /// Assigned under an earlier term: it runs on an unknown machine of the block, or
    /// nowhere.
    Unlocated,
    /// Proven to run nowhere in the block since `since`; may be placed from `not_before`
    /// on.
    Free {
        since: Duration,
        not_before: Duration,
        evidence: AbsenceProof,
    },
    /// May run on this machine and on no other.
    Bound(Bound),
    /// Completed, not recorded yet.
    Done,
    /// Proven to run nowhere in the block; its return to the leader is not recorded yet.
    Returning,
}

/// An attempt of a task on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Bound {
    pub machine: String,
    pub attempt: u64,
    /// Proof that the task ran nowhere when it was placed; none if a report showed the
    /// attempt running.
    pub evidence: Option<AbsenceProof>,
    /// The worker's session in which the attempt was placed or found.
    pub session: u64,
    /// What carried the start: the answer to the report of this number, or direct orders
    /// (0). None if the start was not sent; 0 also if the attempt was found in a report.
    pub start_sent_with: Option<u64>,
    /// A message of the worker has listed the attempt, so the start need not be repeated.
    pub listed: bool,
    /// The worker has reported the attempt as running.
    pub running: bool,
    /// The attempt must stop.
    pub stop: Option<Stop>,
}

/// How a worker's message was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// As a report. A worker has one report in flight at a time, so the answer to its
    /// previous report has arrived before this one or never will.
    Report,
    /// As the answer to direct orders, which may have overtaken the answer to a report.
    Orders,
}

/// What it means that a worker's newest message does not list a bound attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnlistedAttempt {
    /// The start may still arrive.
    Unknown,
    /// The start was lost and must be sent again.
    Resend,
    /// The attempt is not on the machine and will not start there.
    Absent,
}

/// A stop that was requested for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Time that the task gets to save its state.
    pub grace: Duration,
    /// The stop was sent to the worker.
    pub sent: bool,
}

impl Bound {
    /// What it means that the message numbered `seq` does not list the attempt, if no
    /// start sent with direct orders may still arrive.
    ///
    /// A start may go with the answer to a report. The worker may execute direct orders
    /// before that answer arrives, and its message is then newer than the report but
    /// does not list the attempt. Treating the attempt as absent let a task that had to
    /// stop run twice: it was started elsewhere, and the answer arrived a second or more
    /// later from a controller with a backlog.
    pub fn unlisted(&self, seq: u64, origin: Origin) -> UnlistedAttempt {
        let Some(sent) = self.start_sent_with else {
            return UnlistedAttempt::Unknown;
        };
        let overtaken = origin == Origin::Orders && sent > 0 && !self.listed;
        if seq <= sent || overtaken {
            UnlistedAttempt::Unknown
        } else if self.listed || self.stop.is_some() {
            UnlistedAttempt::Absent
        } else {
            UnlistedAttempt::Resend
        }
    }
}

impl AssignedTask {
    /// The attempt that may be running, if any.
    pub fn bound(&self) -> Option<&Bound> {
        match &self.state {
            AssignmentState::Bound(bound) => Some(bound),
            _ => None,
        }
    }

    pub fn bound_mut(&mut self) -> Option<&mut Bound> {
        match &mut self.state {
            AssignmentState::Bound(bound) => Some(bound),
            _ => None,
        }
    }
}

impl Controller {
    /// Stops the tasks of a job whose record shows that it was cancelled.
    pub(crate) fn job_changed(&mut self, id: &JobId) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        if job.phase == Phase::Done && job.spec.is_none() {
            log::debug!("{id}: done");
        }
        if job.phase != Phase::Cancelled {
            return;
        }
        let tasks: Vec<_> = self
            .assigned_tasks
            .range(id.task(0)..=id.task(u32::MAX))
            .filter(|(_, assigned)| !assigned.cancelled)
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.cancel_task(&task);
        }
    }

    fn cancel_task(&mut self, task: &TaskId) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoStops) {
            return;
        }
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        assigned.cancelled = true;
        match &mut assigned.state {
            AssignmentState::Free { .. } => self.set_task_state(task, AssignmentState::Returning),
            // The start was not sent.
            AssignmentState::Bound(bound) if bound.start_sent_with.is_none() => {
                self.release_task(task, AbsenceProof::NotStarted, Duration::ZERO);
            }
            AssignmentState::Bound(bound) => {
                bound.stop = Some(Stop {
                    grace: Duration::ZERO,
                    sent: false,
                });
                let machine = bound.machine.clone();
                self.order_queue.insert(machine);
            }
            AssignmentState::Unlocated | AssignmentState::Done | AssignmentState::Returning => {}
        }
    }

    /// Updates the assigned tasks after a change of a chunk's record.
    pub(crate) fn chunk_changed(&mut self, id: &JobId, part: u32) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let (first, count) = job.chunk_span(part);
        let Some(spec) = job.spec.clone() else {
            return self.unassign_chunk(id, first, count);
        };
        if job.is_complete()
            && let Some(leader) = &mut self.leader
        {
            leader.complete_jobs.insert(id.clone());
        }
        let cancelled = job.phase == Phase::Cancelled;
        let statuses: Vec<TaskStatus> = (0..count as u32)
            .map(|i| job.task_status(first + i))
            .collect();
        for (i, status) in statuses.into_iter().enumerate() {
            let task = id.task(first + i as u32);
            let current = match status {
                TaskStatus::Assigned { block, term } if self.held_blocks.contains_key(&block) => {
                    Some((block, term))
                }
                _ => None,
            };
            let previous = self
                .assigned_tasks
                .get(&task)
                .map(|s| (s.block, s.assigned_term));
            match (current, previous) {
                (None, None) => {}
                (None, Some(_)) => self.unassign(&task),
                (Some(new), Some(old)) if new == old => {}
                // The same assignment; the record no longer tells its term.
                (Some((block, 0)), Some((old, _))) if block == old => {
                    if let Some(assigned) = self.assigned_tasks.get_mut(&task) {
                        assigned.assigned_term = 0;
                    }
                }
                (Some((block, term)), previous) => {
                    if previous.is_some() {
                        self.unassign(&task);
                    }
                    self.assign(task, spec.clone(), block, term, cancelled);
                }
            }
        }
    }

    fn unassign_chunk(&mut self, id: &JobId, first: u32, count: usize) {
        let tasks: Vec<_> = self
            .assigned_tasks
            .range(id.task(first)..id.task(first.saturating_add(count as u32)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.unassign(&task);
        }
    }

    fn assign(
        &mut self,
        task: TaskId,
        spec: Rc<JobSpec>,
        block: BlockId,
        assigned_term: Term,
        cancelled: bool,
    ) {
        let Some(held) = self.held_blocks.get_mut(&block) else {
            return;
        };
        // Assigned under the current term: no earlier holder can have started it.
        let is_own_term = assigned_term == held.term;
        held.unlocated += 1;
        log::debug!("{task}: assigned to block {block} under term {assigned_term}");
        let assigned = AssignedTask {
            spec,
            block,
            assigned_term,
            state: AssignmentState::Unlocated,
            cancelled,
            failed_on: Vec::new(),
        };
        self.assigned_tasks.insert(task.clone(), assigned);
        if let Some(bound) = self.own_earlier_attempt(&task) {
            self.set_task_state(&task, AssignmentState::Bound(bound));
        } else if is_own_term {
            self.release_task(&task, AbsenceProof::AssignedUnderOwnTerm, Duration::ZERO);
        }
    }

    /// An attempt of a newly assigned task that this controller itself started earlier
    /// and that may still run.
    fn own_earlier_attempt(&mut self, task: &TaskId) -> Option<Bound> {
        let bound = self.invariants.take_dropped(task)?;
        let machine = self.machines.get(&bound.machine)?;
        let may_be_there = machine.session == bound.session && !machine.lease.is_expired();
        may_be_there.then_some(bound)
    }

    /// Changes the state of a task and updates the indexes that depend on it.
    pub(crate) fn set_task_state(&mut self, task: &TaskId, state: AssignmentState) {
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let mut changed_machines = Vec::new();
        match &assigned.state {
            AssignmentState::Bound(bound) => {
                if let Some(machine) = self.machines.get_mut(&bound.machine) {
                    machine.bound_tasks.remove(task);
                }
                changed_machines.push(bound.machine.clone());
            }
            AssignmentState::Free { .. } => {
                self.unplaced.remove(task);
            }
            AssignmentState::Unlocated => {
                if let Some(held) = self.held_blocks.get_mut(&assigned.block) {
                    held.unlocated = held.unlocated.saturating_sub(1);
                }
            }
            AssignmentState::Done | AssignmentState::Returning => {
                self.unrecorded.remove(task);
            }
        }
        assigned.state = state;
        match &assigned.state {
            AssignmentState::Bound(bound) => {
                if let Some(machine) = self.machines.get_mut(&bound.machine) {
                    machine.bound_tasks.insert(task.clone());
                    machine.idle_since = None;
                }
                changed_machines.push(bound.machine.clone());
            }
            AssignmentState::Free { .. } => {
                self.unplaced.insert(task.clone());
            }
            AssignmentState::Done | AssignmentState::Returning => {
                self.unrecorded.insert(task.clone());
                if let Some(job) = self.view.jobs.get(&task.job) {
                    let part = job.chunk_of(task.index);
                    self.mark_chunk_dirty(&task.job, part);
                }
            }
            AssignmentState::Unlocated => {
                if let Some(held) = self.held_blocks.get_mut(&assigned.block) {
                    held.unlocated += 1;
                }
            }
        }
        for name in changed_machines {
            self.mark_changed(&name);
        }
    }

    /// Releases a task from the machine that it was on: it is to be placed again, or
    /// returned to the leader if it was to stop. An earlier holder may have moved a task
    /// that was assigned under an earlier term within the block, so such a task stays
    /// unlocated until the whole block is cleared.
    pub(crate) fn release_task(&mut self, task: &TaskId, evidence: AbsenceProof, wait: Duration) {
        let Some(assigned) = self.assigned_tasks.get(task) else {
            return;
        };
        log::debug!(
            "{task}: not running in block {}: {evidence}",
            assigned.block
        );
        let is_own_term =
            self.held_blocks.get(&assigned.block).map(|h| h.term) == Some(assigned.assigned_term);
        if !is_own_term && let Some((machine, session, entry)) = self.other_listed_attempt(task) {
            self.set_task_state(task, AssignmentState::Unlocated);
            return self.apply_task_entry(&machine, session, &entry);
        }
        // Assigned under an earlier term, it runs nowhere only if the block is cleared.
        let evidence = match is_own_term {
            true => Some(evidence),
            false => self.block_clearance(assigned.block),
        };
        let Some(evidence) = evidence else {
            return self.set_task_state(task, AssignmentState::Unlocated);
        };
        let state = if assigned.cancelled || assigned.bound().is_some_and(|b| b.stop.is_some()) {
            AssignmentState::Returning
        } else {
            AssignmentState::Free {
                since: self.now,
                not_before: self.now + wait,
                evidence,
            }
        };
        self.set_task_state(task, state);
    }

    /// Finds a live or completed attempt of the task, other than the one it is bound to,
    /// in the reports of the block's machines. The first report that a new holder gets
    /// may be a delayed copy of an old one: bound to the attempt in it, the holder
    /// overlooked the running attempt and placed the task again once the old one had
    /// ended.
    fn other_listed_attempt(&self, task: &TaskId) -> Option<(String, u64, TaskReport)> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::FirstReportOnly) {
            return None;
        }
        let assigned = self.assigned_tasks.get(task)?;
        let known_attempt = assigned.bound().map(|b| (b.machine.as_str(), b.attempt));
        let names = self.view.machines_by_block.get(&assigned.block)?;
        names.iter().find_map(|name| {
            let machine = self.machines.get(name).filter(|m| !m.lease.is_expired())?;
            let entry = machine.tasks.iter().find(|t| {
                let is_live = t.state != TaskState::Exited || t.cause == Some(EndCause::Done);
                t.task == *task && is_live && known_attempt != Some((name.as_str(), t.attempt))
            })?;
            Some((name.clone(), machine.session, entry.clone()))
        })
    }

    /// Releases the task and returns it to the leader, which assigns it again.
    pub(crate) fn return_to_leader(&mut self, task: &TaskId, evidence: AbsenceProof) {
        self.release_task(task, evidence, Duration::ZERO);
        let free = |s: &AssignedTask| matches!(s.state, AssignmentState::Free { .. });
        if self.assigned_tasks.get(task).is_some_and(free) {
            self.set_task_state(task, AssignmentState::Returning);
        }
    }

    /// Removes a task that the records no longer assign to a held block.
    fn unassign(&mut self, task: &TaskId) {
        // Only the holder may record that a task is done or runs nowhere. A task that
        // was started and removed without either may still run. If it is assigned again
        // under the same term, it must not count as never started.
        if let Some(assigned) = self.assigned_tasks.get_mut(task)
            && let Some(bound) = assigned.bound_mut().filter(|b| b.start_sent_with.is_some())
        {
            let (bound, block) = (bound.clone(), assigned.block);
            self.invariants.started_task_dropped(task, block, bound);
        }
        self.remove_assigned(task);
    }

    pub(crate) fn remove_assigned(&mut self, task: &TaskId) {
        self.set_task_state(task, AssignmentState::Done);
        self.assigned_tasks.remove(task);
        self.unplaced.remove(task);
        self.unrecorded.remove(task);
    }

    /// Updates all assigned tasks after the view was replaced by a new snapshot.
    pub(crate) fn resync_assigned_tasks(&mut self) {
        let unassigned: Vec<_> = self
            .assigned_tasks
            .keys()
            .filter(|t| {
                let status = self.view.jobs.get(&t.job).map(|j| j.task_status(t.index));
                !matches!(status, Some(TaskStatus::Assigned { .. }))
            })
            .cloned()
            .collect();
        for task in unassigned {
            self.unassign(&task);
        }
        for (id, part) in self.active_chunks(|_| true) {
            self.chunk_changed(&id, part);
        }
    }

    /// All chunks of active jobs that have tasks assigned to a block for which
    /// `is_included` holds.
    pub(crate) fn active_chunks(&self, is_included: impl Fn(BlockId) -> bool) -> Vec<(JobId, u32)> {
        let mut chunks = Vec::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else {
                continue;
            };
            if job.assigned.keys().any(|b| is_included(*b)) {
                chunks.extend(job.chunks.keys().map(|part| (id.clone(), *part)));
            }
        }
        chunks
    }
}

#[cfg(test)]
mod tests;
