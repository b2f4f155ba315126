//! Tasks handed to blocks that we hold.

use std::{rc::Rc, time::Duration};

use oliveshift_wire::{
    JobId, TaskId,
    job::JobSpec,
    worker::{TaskReport, TaskState, Why},
};

use crate::{
    attempt::AbsenceProof,
    controller::Controller,
    records::{BlockId, Phase, TaskStatus, Term},
};

/// A task handed to one of our blocks.
#[derive(Debug)]
pub(crate) struct AssignedTask {
    pub spec: Rc<JobSpec>,
    pub block: BlockId,
    /// The term at hand-out.
    pub assigned_term: Term,
    pub state: AssignmentState,
    /// Its user has cancelled the job.
    pub cancelled: bool,
    /// Machines on which it has failed.
    pub failed_on: Vec<String>,
}

/// Where it stands.
#[derive(Debug)]
pub(crate) enum AssignmentState {
    /// Handed under an earlier term: somewhere in the block, or nowhere.
    Unlocated,
    /// Surely nowhere in the block; since when, and when to try again.
    Free {
        since: Duration,
        not_before: Duration,
        evidence: AbsenceProof,
    },
    /// Possibly on this machine and on no other.
    Bound(Bound),
    /// Completed, to be recorded.
    Done,
    /// Surely nowhere in the block, to be given back to the leader.
    Returning,
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Bound {
    pub machine: String,
    pub attempt: u64,
    /// Why the task was nowhere when it was placed there; none: it was found there.
    pub evidence: Option<AbsenceProof>,
    /// The session in which it was started.
    pub session: u64,
    /// Its start went out; with the answer to the report of this number.
    pub start_sent_with: Option<u64>,
    /// A report has listed it: it need not be started again.
    pub listed: bool,
    /// It has its image and runs.
    pub running: bool,
    /// It has to stop.
    pub stop: Option<Stop>,
}

/// How a worker's message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The worker sent it. It has one report in flight at a time, so the answer
    /// to the one before has arrived by then or never will.
    Report,
    /// It answers direct orders, which may have overtaken the answer to a
    /// report.
    Orders,
}

/// What follows when a worker's newest message does not list a bound attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnlistedAttempt {
    /// Its start may yet arrive.
    Unknown,
    /// The start was lost and has to go out again.
    Resend,
    /// It is not there and will not be.
    Absent,
}

/// Why and how a task is stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Its time to save.
    pub grace: Duration,
    /// Direct orders have carried it.
    pub sent: bool,
}

impl Bound {
    /// What follows when the message numbered `seq` does not list it, and no
    /// start that was sent directly is under way.
    ///
    /// A start goes with the answer to a report. Before that answer arrives the
    /// worker may carry direct orders out, and what it says then is newer than
    /// that report without the task on it. A task that had to stop was taken
    /// to be nowhere then, was started elsewhere, and ran twice when the answer
    /// came, late by a second or more where a controller was behind.
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
    /// The machine that it may be on.
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
    /// A job's record has changed: what was cancelled has to stop.
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
            // Its start has not gone out.
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

    /// A chunk's record has changed: slots follow it.
    pub(crate) fn chunk_changed(&mut self, id: &JobId, part: u32) {
        let Some(job) = self.view.jobs.get(id) else {
            return;
        };
        let (first, count) = job.chunk_span(part);
        let Some(spec) = job.spec.clone() else {
            return self.drop_slots(id, first, count);
        };
        if job.is_complete()
            && let Some(leader) = &mut self.leader
        {
            leader.complete.insert(id.clone());
        }
        let cancelled = job.phase == Phase::Cancelled;
        let places: Vec<TaskStatus> = (0..count as u32)
            .map(|i| job.task_status(first + i))
            .collect();
        for (i, place) in places.into_iter().enumerate() {
            let task = id.task(first + i as u32);
            let ours = match place {
                TaskStatus::Assigned { block, term } if self.held_blocks.contains_key(&block) => {
                    Some((block, term))
                }
                _ => None,
            };
            let known = self
                .assigned_tasks
                .get(&task)
                .map(|s| (s.block, s.assigned_term));
            match (ours, known) {
                (None, None) => {}
                (None, Some(_)) => self.unassign(&task),
                (Some(new), Some(old)) if new == old => {}
                // The same hand-out, its term over and no longer told.
                (Some((block, 0)), Some((old, _))) if block == old => {
                    if let Some(assigned) = self.assigned_tasks.get_mut(&task) {
                        assigned.assigned_term = 0;
                    }
                }
                (Some((block, term)), known) => {
                    if known.is_some() {
                        self.unassign(&task);
                    }
                    self.assign(task, spec.clone(), block, term, cancelled);
                }
            }
        }
    }

    fn drop_slots(&mut self, id: &JobId, first: u32, count: usize) {
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
        // Handed under our own term: no earlier holder can have started it.
        let ours = assigned_term == held.term;
        held.unlocated += 1;
        log::debug!("{task}: handed to block {block} under term {assigned_term}");
        let assigned = AssignedTask {
            spec,
            block,
            assigned_term,
            state: AssignmentState::Unlocated,
            cancelled,
            failed_on: Vec::new(),
        };
        self.assigned_tasks.insert(task.clone(), assigned);
        if let Some(bound) = self.started_before(&task) {
            self.set_task_state(&task, AssignmentState::Bound(bound));
        } else if ours {
            self.release_task(&task, AbsenceProof::AssignedUnderOwnTerm, Duration::ZERO);
        }
    }

    /// Where a task that is handed to us is by our own start, if that may be so.
    fn started_before(&mut self, task: &TaskId) -> Option<Bound> {
        let bound = self.invariants.take_dropped(task)?;
        let machine = self.machines.get(&bound.machine)?;
        let may_be_there = machine.session == bound.session && !machine.lease.is_expired();
        may_be_there.then_some(bound)
    }

    /// Changes where a task stands, with all that hangs on it.
    pub(crate) fn set_task_state(&mut self, task: &TaskId, state: AssignmentState) {
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let mut touched = Vec::new();
        match &assigned.state {
            AssignmentState::Bound(bound) => {
                if let Some(machine) = self.machines.get_mut(&bound.machine) {
                    machine.bound_tasks.remove(task);
                }
                touched.push(bound.machine.clone());
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
                touched.push(bound.machine.clone());
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
        for name in touched {
            self.mark_changed(&name);
        }
    }

    /// The task is not where it was: place it anew, or give it back if nobody
    /// wants it any more. A task that an earlier holder was given may have
    /// been moved within the block by that holder, so until every machine of
    /// the block has been proven, it counts as lost instead.
    pub(crate) fn release_task(&mut self, task: &TaskId, evidence: AbsenceProof, wait: Duration) {
        let Some(assigned) = self.assigned_tasks.get(task) else {
            return;
        };
        log::debug!("{task}: nowhere in block {}: {evidence}", assigned.block);
        let ours =
            self.held_blocks.get(&assigned.block).map(|h| h.term) == Some(assigned.assigned_term);
        if !ours && let Some((machine, session, entry)) = self.listed_elsewhere(task) {
            self.set_task_state(task, AssignmentState::Unlocated);
            return self.apply_task_entry(&machine, session, &entry);
        }
        // Handed to an earlier holder, it is nowhere only if the whole block is.
        let evidence = match ours {
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

    /// A machine of the block that has the task under another attempt than the
    /// one that we went by. A late copy of an old report may be the first that a
    /// new holder hears: it went by the attempt in there, passed over the one
    /// that lived, and placed the task again once the old one was gone for sure.
    fn listed_elsewhere(&self, task: &TaskId) -> Option<(String, u64, TaskReport)> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::FirstReportOnly) {
            return None;
        }
        let assigned = self.assigned_tasks.get(task)?;
        let was = assigned.bound().map(|b| (b.machine.as_str(), b.attempt));
        let names = self.view.machines_by_block.get(&assigned.block)?;
        names.iter().find_map(|name| {
            let machine = self.machines.get(name).filter(|m| !m.lease.is_expired())?;
            let entry = machine.tasks.iter().find(|t| {
                let lives = t.state != TaskState::Exited || t.why == Some(Why::Done);
                t.task == *task && lives && was != Some((name.as_str(), t.attempt))
            })?;
            Some((name.clone(), machine.session, entry.clone()))
        })
    }

    /// The task has stopped for good: the leader decides where it goes next.
    pub(crate) fn return_to_leader(&mut self, task: &TaskId, evidence: AbsenceProof) {
        self.release_task(task, evidence, Duration::ZERO);
        let free = |s: &AssignedTask| matches!(s.state, AssignmentState::Free { .. });
        if self.assigned_tasks.get(task).is_some_and(free) {
            self.set_task_state(task, AssignmentState::Returning);
        }
    }

    /// The records no longer hand us a task of a block that we hold.
    fn unassign(&mut self, task: &TaskId) {
        // Only we may say that it is nowhere or done. If it was started and neither
        // was said, the task may still run: handed to us again under the same term, it
        // would be taken to have never been started.
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

    /// After a first read made anew: slots follow all records again.
    pub(crate) fn resync_assigned_tasks(&mut self) {
        let gone: Vec<_> = self
            .assigned_tasks
            .keys()
            .filter(|t| {
                let place = self.view.jobs.get(&t.job).map(|j| j.task_status(t.index));
                !matches!(place, Some(TaskStatus::Assigned { .. }))
            })
            .cloned()
            .collect();
        for task in gone {
            self.unassign(&task);
        }
        for (id, part) in self.active_chunks(|_| true) {
            self.chunk_changed(&id, part);
        }
    }

    /// All chunks of active jobs that have tasks in a block that fits.
    pub(crate) fn active_chunks(&self, fits: impl Fn(BlockId) -> bool) -> Vec<(JobId, u32)> {
        let mut chunks = Vec::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else {
                continue;
            };
            if job.assigned.keys().any(|b| fits(*b)) {
                chunks.extend(job.chunks.keys().map(|part| (id.clone(), *part)));
            }
        }
        chunks
    }
}

#[cfg(test)]
mod tests;
