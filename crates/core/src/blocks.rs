//! Blocks held by this controller, and the reports of their workers.

use std::time::Duration;

use oliveshift_wire::{
    TaskId, decode, encode,
    job::Shape,
    worker::{EndCause, Redirect, Report, ReportAnswer, TaskReport, TaskState},
};

use crate::{
    assigned_tasks::{AssignmentState, Bound, Origin, Stop, UnlistedAttempt},
    attempt::AbsenceProof,
    call::{CompleteBody, ConnId},
    controller::Controller,
    invariants::Violation,
    lease::LeaseLimits,
    machine::{Machine, SilentWorkers},
    placement::is_attempt_after,
    records::{BlockId, Term},
    verdict::{RefusalStatus, Verdict},
};

/// Backoff after the first failure of a task; doubled with each further failure, up to
/// the sixth.
const TASK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A block held by this controller.
#[derive(Debug)]
pub(crate) struct HeldBlock {
    /// Version of the block's record, and the first fencing token of this lease.
    pub term: Term,
    /// Number of tasks in state `Unlocated`.
    pub unlocated: u32,
}

impl Controller {
    /// Takes over or drops a block after a change of its record.
    pub(crate) fn block_changed(&mut self, id: BlockId) {
        if let Some(block) = self.view.blocks.get(&id) {
            self.reachability.record_lease(self.now, id, block.version);
        }
        let own = self.view.blocks.get(&id).filter(|b| {
            #[cfg(feature = "sabotage")]
            if self.sabotage == Some(crate::Sabotage::OldLife) {
                return b.record.holder == self.settings.node;
            }
            b.record.holder == self.settings.node && b.record.incarnation == self.incarnation
        });
        let term = own.map(|b| b.version);
        let previous_term = self.held_blocks.get(&id).map(|h| h.term);
        if term == previous_term {
            return;
        }
        if let Some(old) = previous_term {
            log::info!("block {id}: no longer held (was term {old})");
            self.drop_block(id);
            self.invariants.term_lost(id, old);
        }
        let Some(term) = term else { return };
        if !self.invariants.may_hold(id, term) {
            return self.rejoin();
        }
        log::info!("block {id}: held under term {term}");
        let held = HeldBlock { term, unlocated: 0 };
        self.held_blocks.insert(id, held);
        if let Some(block) = self.view.blocks.get(&id) {
            self.reachability
                .block_acquired(self.now, id, &block.record.zone);
        }
        let names = self
            .view
            .machines_by_block
            .get(&id)
            .cloned()
            .unwrap_or_default();
        for name in names {
            self.machine_changed(&name);
        }
        for (job, part) in self.active_chunks(|b| b == id) {
            self.chunk_changed(&job, part);
        }
    }

    fn drop_block(&mut self, id: BlockId) {
        let tasks: Vec<_> = self
            .assigned_tasks
            .iter()
            .filter(|(_, s)| s.block == id)
            .map(|(t, _)| t.clone())
            .collect();
        for task in tasks {
            self.remove_assigned(&task);
        }
        let names = self.machines.iter().filter(|(_, m)| m.block == id);
        let names: Vec<_> = names.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.machines.remove(&name);
            self.mark_changed(&name);
        }
        self.held_blocks.remove(&id);
    }

    /// Updates all state that depends on a machine's record after it was added or
    /// removed.
    pub(crate) fn machine_changed(&mut self, name: &str) {
        self.sync_machine(name);
        self.mark_changed(name);
        self.mark_machine_stale(name);
        // Also for blocks of other controllers: a worker whose report waits here for
        // this record is redirected at once, before its report times out.
        self.answer_waiting_reports(name);
    }

    /// Adds or removes a machine of a held block.
    fn sync_machine(&mut self, name: &str) {
        let record = self.view.machines.get(name).cloned();
        match record {
            Some(record) => {
                let Some(term) = self.held_blocks.get(&record.block).map(|h| h.term) else {
                    return;
                };
                if self.machines.contains_key(name) {
                    return;
                }
                let mut machine = Machine::new(record, term, self.now);
                machine.attempts_before = self.attempts;
                for image in self.last_known_images(name) {
                    let gb = self.image_size(&image);
                    let kind = self.machine_types.get(&machine.record.kind);
                    machine.note_image(&image, gb, kind);
                }
                self.machines.insert(name.to_owned(), machine);
                self.order_queue.insert(name.to_owned());
            }
            None => {
                // The leader removes a record only after the machine was returned.
                if let Some(machine) = self.machines.remove(name) {
                    for task in machine.bound_tasks {
                        self.release_task(&task, AbsenceProof::MachineReturned, Duration::ZERO);
                    }
                    self.release_unlocated(machine.block);
                }
            }
        }
    }

    fn image_size(&self, image: &str) -> f64 {
        let active = self.view.active.iter();
        let mut specs = active.filter_map(|id| self.view.spec(id));
        specs.find(|s| s.image == image).map_or(1.0, |s| s.image_gb)
    }

    /// Handles a worker's report.
    pub(crate) fn handle_report(&mut self, conn: ConnId, body: &CompleteBody) {
        let report: Report = match decode(body) {
            Ok(report) => report,
            Err(e) => return self.deny(conn, &Verdict::malformed(body, e.to_string())),
        };
        let close = self
            .sockets
            .identify_worker(self.now, conn, &report.machine);
        self.close(close);
        self.process_report(conn, report);
    }

    /// Handles a decoded report: answers it, or redirects the worker.
    pub(crate) fn process_report(&mut self, conn: ConnId, report: Report) {
        if !self.may_act() {
            return self.refuse(
                conn,
                RefusalStatus::Unavailable,
                "no contact with the state service",
            );
        }
        let Some(record) = self.view.machines.get(&report.machine) else {
            return self.report_of_unknown_machine(conn, report);
        };
        let block = record.block;
        let Some(held) = self.held_blocks.get(&block) else {
            return self.handle_stray_report(conn, report, block);
        };
        let term = held.term;
        if self
            .view
            .lease_tokens(block, term)
            .is_exceeded_by(report.token)
        {
            // The worker has seen a token of a later lease: another controller holds the block, and
            // this view is behind.
            return self.redirect(conn, None);
        }
        if !self.forwarding.is_forwarded(conn) {
            self.reachability
                .record_report(self.now, block, &report.machine);
            self.forwarding.record_direct_report(&report.machine);
        }
        let name = report.machine.clone();
        let (session, seq) = (report.session, report.seq);
        let is_newest = self.apply_report(report, Origin::Report);
        let is_expired = self
            .machines
            .get(&name)
            .is_none_or(|m| m.lease.is_expired());
        if is_expired || !is_newest {
            // A stale report. Answering it would renew a lease that counts as expired
            // or belongs to an earlier session.
            let is_newer = self
                .machines
                .get(&name)
                .is_some_and(|m| !m.lease.is_expired() && m.session == session);
            if !is_newer {
                return self.refuse(conn, RefusalStatus::Unavailable, "stale report");
            }
        }
        let answer = match is_newest {
            true => self.report_answer(&name, seq),
            false => ReportAnswer {
                token: self.machines.get(&name).map_or(term, |m| m.order_token),
                orders: Vec::new(),
            },
        };
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.lease.renew(self.now);
            machine.last_answer_at = Some(self.now);
        }
        self.answer(conn, 200, encode(&answer));
    }

    pub(crate) fn redirect(&mut self, conn: ConnId, report_to: Option<String>) {
        self.answer(conn, 421, encode(&Redirect { report_to }));
    }

    /// Applies a worker's message, which came as a report or as the answer to direct
    /// orders. Returns false if it is stale.
    pub(crate) fn apply_report(&mut self, report: Report, origin: Origin) -> bool {
        let now = self.now;
        let name = report.machine;
        let Some(machine) = self.machines.get_mut(&name) else {
            return false;
        };
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return false;
        }
        if machine.lease.is_expired() && machine.session != 0 && report.session <= machine.session {
            // Sent before the lease expired and delayed: the listed tasks have stopped.
            return false;
        }
        let is_new_session = report.session > machine.session;
        let is_first_session = machine.session == 0;
        if is_new_session {
            // The lease of a new session starts with the session, which may first show
            // in the answer to direct orders. Counted from the last answer to the
            // previous session, the lease would expire while tasks run.
            machine.lease.renew(now);
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.last_message_at = Some(now);
        machine.unanswered_orders = 0;
        machine.token = report.token;
        machine.lease.resume();
        machine.reclaimed_at = report
            .notice_s
            .map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 1e6)));
        machine.direct_starts.token_seen(report.token);
        let is_current_term = self
            .view
            .lease_tokens(machine.block, machine.term)
            .contains(report.token);
        if is_current_term {
            machine.order_token = machine.order_token.max(report.token);
        }
        #[cfg(feature = "sabotage")]
        let is_current_term =
            is_current_term || self.sabotage == Some(crate::Sabotage::NoTermCheck);
        if is_current_term && !machine.term_acknowledged {
            machine.term_acknowledged = true;
            // From now on answers of earlier holders no longer renew the lease.
            machine.lease.renew(now);
        }
        let term_acknowledged = machine.term_acknowledged;
        let stopped: Vec<TaskId> = if is_new_session && !is_first_session {
            machine.direct_starts.session_ended();
            machine.tasks.clear();
            machine.bound_tasks.iter().cloned().collect()
        } else {
            Vec::new()
        };
        if !stopped.is_empty() {
            log::info!(
                "{name}: worker began a new session, {} tasks of the previous one have stopped",
                stopped.len()
            );
        }
        for task in stopped {
            self.release_task(&task, AbsenceProof::SessionEnded, Duration::ZERO);
        }
        for entry in &report.tasks {
            self.check_reappearance(&name, entry);
            self.apply_task_entry(&name, report.session, entry);
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.tasks = report.tasks;
        }
        self.resolve_unlisted(&name, report.seq, origin);
        if term_acknowledged {
            let block = self.machines.get(&name).map(|m| m.block);
            if let Some(block) = block {
                self.release_unlocated(block);
            }
        }
        let is_busy = self.is_busy(&name);
        if let Some(machine) = self.machines.get_mut(&name) {
            if is_busy {
                machine.idle_since = None;
            } else if machine.idle_since.is_none() {
                machine.idle_since = Some(now);
            }
            if !machine.tasks.is_empty() {
                self.order_queue.insert(name.clone());
            }
        }
        self.mark_changed(&name);
        true
    }

    /// Checks that a running attempt which this controller started under its present term,
    /// since the machine was added, is the current attempt of its task, or was listed before.
    /// A late report of a machine that was returned may list older ones.
    fn check_reappearance(&mut self, name: &str, entry: &TaskReport) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let is_own = is_attempt_after(machine.term, machine.attempts_before, entry.attempt);
        let is_same = |t: &TaskReport| {
            t.attempt == entry.attempt && t.task == entry.task && t.state != TaskState::Exited
        };
        if entry.state == TaskState::Exited || !is_own || machine.tasks.iter().any(is_same) {
            return;
        }
        let bound = self.assigned_tasks.get(&entry.task).and_then(|s| s.bound());
        if bound.is_some_and(|b| b.machine == name && b.attempt == entry.attempt) {
            return;
        }
        self.invariants.report(&Violation::AttemptReappeared {
            task: entry.task.clone(),
            machine: name.to_owned(),
            attempt: entry.attempt,
        });
    }

    /// Whether a machine has tasks, or results that are not recorded yet. If it were
    /// returned as idle before they are recorded and this controller stopped as well,
    /// the results would be lost and the tasks started again.
    fn is_busy(&self, name: &str) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let keeps_busy = |entry: &TaskReport| match entry.state {
            TaskState::Exited => self.is_unrecorded(&entry.task),
            _ => true,
        };
        !machine.bound_tasks.is_empty() || machine.tasks.iter().any(keeps_busy)
    }

    /// Whether a task is done but not recorded as done.
    fn is_unrecorded(&self, task: &TaskId) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::IdleWithUnrecordedEnds) {
            return false;
        }
        let assigned = self.assigned_tasks.get(task);
        assigned.is_some_and(|assigned| matches!(assigned.state, AssignmentState::Done))
    }

    /// Applies a worker's entry about one of its tasks.
    pub(crate) fn apply_task_entry(&mut self, name: &str, session: u64, entry: &TaskReport) {
        let task = &entry.task;
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let spec = assigned.spec.clone();
        let bound_here = match &assigned.state {
            AssignmentState::Bound(b) => b.machine == name && b.attempt == entry.attempt,
            // Started by an earlier holder: the attempt continues.
            AssignmentState::Unlocated | AssignmentState::Free { .. }
                if entry.state != TaskState::Exited =>
            {
                let stop = assigned.cancelled.then_some(Stop {
                    grace: Duration::ZERO,
                    sent: false,
                });
                let bound = Bound {
                    machine: name.to_owned(),
                    attempt: entry.attempt,
                    evidence: None,
                    session,
                    start_sent_with: Some(0),
                    listed: true,
                    running: false,
                    stop,
                };
                self.set_task_state(task, AssignmentState::Bound(bound));
                true
            }
            AssignmentState::Unlocated | AssignmentState::Free { .. }
                if entry.cause == Some(EndCause::Done) =>
            {
                self.set_task_state(task, AssignmentState::Done);
                return;
            }
            _ => false,
        };
        if !bound_here {
            return;
        }
        let kind = self.machines.get(name).map(|m| m.record.kind.clone());
        let kind = kind.and_then(|k| self.machine_types.get(&k).cloned());
        let has_image = matches!(
            entry.state,
            TaskState::Running | TaskState::Waiting | TaskState::Saving
        ) || matches!(entry.cause, Some(EndCause::Done | EndCause::Error));
        if has_image && let Some(machine) = self.machines.get_mut(name) {
            machine.note_image(&spec.image, spec.image_gb, kind.as_ref());
        }
        if entry.state != TaskState::Exited {
            if let Some(bound) = self
                .assigned_tasks
                .get_mut(task)
                .and_then(|s| s.bound_mut())
            {
                bound.listed = true;
                if entry.state == TaskState::Running && !bound.running {
                    bound.running = true;
                    log::debug!("{task}: running on {name}");
                }
            }
            return;
        }
        let cause = entry.cause.unwrap_or(EndCause::Error);
        log::info!(
            "{task}: attempt {} on {name} ended in session {session}: {cause:?}",
            entry.attempt
        );
        self.attempt_ended(name, task, cause);
    }

    /// Handles the end of an attempt on the machine that the task is bound to.
    fn attempt_ended(&mut self, name: &str, task: &TaskId, why: EndCause) {
        let now = self.now;
        let mut wait = Duration::ZERO;
        let shape = self.assigned_tasks.get(task).map(|s| s.spec.shape);
        if shape == Some(Shape::Gang) && why != EndCause::Done {
            // A gang restarts as a whole, which the leader decides.
            return self.return_to_leader(task, AbsenceProof::Ended(why));
        }
        match why {
            EndCause::Done => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.consecutive_failures = 0;
                }
                self.set_task_state(task, AssignmentState::Done);
                return;
            }
            EndCause::Stopped | EndCause::GangMemberLost | EndCause::GangTimeout => {
                // Stopped on order or for lack of its gang: the leader decides what follows.
                self.return_to_leader(task, AbsenceProof::Ended(why));
                return;
            }
            EndCause::Error | EndCause::Unknown => {
                let is_job_fault = self.fails_on_several_machines(task);
                if let Some(machine) = self.machines.get_mut(name)
                    && why == EndCause::Error
                    && !is_job_fault
                {
                    machine.consecutive_failures += 1;
                    machine.last_failure_at = now;
                    if machine.consecutive_failures == 2 {
                        log::info!("{name}: two tasks in a row failed; avoided for placement");
                    }
                }
                if let Some(assigned) = self.assigned_tasks.get_mut(task) {
                    assigned.failed_on.push(name.to_owned());
                    let failures = assigned.failed_on.len().min(6) as u32;
                    wait = TASK_RETRY_DELAY * 2u32.pow(failures.saturating_sub(1));
                }
            }
            EndCause::NoRoom | EndCause::Busy => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.refused_at = Some(now);
                }
                wait = Duration::from_millis(300);
            }
        }
        self.release_task(task, AbsenceProof::Ended(why), wait);
    }

    /// Whether tasks of the job have failed on several machines, so that the failures
    /// are attributed to the job and not to the machines.
    fn fails_on_several_machines(&self, task: &TaskId) -> bool {
        let tasks = self
            .assigned_tasks
            .range(task.job.task(0)..=task.job.task(u32::MAX));
        let mut machines: Vec<_> = tasks.flat_map(|(_, s)| &s.failed_on).collect();
        machines.sort();
        machines.dedup();
        machines.len() >= 2
    }

    /// Releases bound tasks that the newest message of their machine does not list and
    /// whose start can no longer arrive. Starts that were lost are sent again.
    fn resolve_unlisted(&mut self, name: &str, seq: u64, origin: Origin) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let listed = |task: &TaskId, attempt: u64| {
            let same = |t: &TaskReport| t.task == *task && t.attempt == attempt;
            machine.tasks.iter().any(same)
        };
        let mut absent = Vec::new();
        let mut resend = false;
        for task in &machine.bound_tasks {
            let Some(bound) = self.assigned_tasks.get(task).and_then(|s| s.bound()) else {
                continue;
            };
            if listed(task, bound.attempt)
                || machine.direct_starts.may_take_effect(task, bound.attempt)
            {
                continue;
            }
            match bound.unlisted(seq, origin) {
                UnlistedAttempt::Unknown => {}
                UnlistedAttempt::Resend => resend = true,
                UnlistedAttempt::Absent => absent.push(task.clone()),
            }
        }
        for task in absent {
            self.release_task(&task, AbsenceProof::NotListed, Duration::ZERO);
        }
        if resend {
            self.order_queue.insert(name.to_owned());
        }
    }

    /// Releases the unlocated tasks of a block once it is cleared.
    fn release_unlocated(&mut self, block: BlockId) {
        if self
            .held_blocks
            .get(&block)
            .is_none_or(|h| h.unlocated == 0)
        {
            return;
        }
        let Some(proof) = self.block_clearance(block) else {
            return;
        };
        let unlocated: Vec<_> = self
            .assigned_tasks
            .iter()
            .filter(|(_, s)| s.block == block && matches!(s.state, AssignmentState::Unlocated))
            .map(|(t, _)| t.clone())
            .collect();
        log::info!(
            "block {block}: cleared, {} tasks that run nowhere are free again",
            unlocated.len()
        );
        for task in unlocated {
            self.release_task(&task, proof, Duration::ZERO);
        }
    }

    /// Proof that no attempt started by an earlier holder can run unseen in the block.
    pub(crate) fn block_clearance(&self, block: BlockId) -> Option<AbsenceProof> {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoProof) {
            return Some(AbsenceProof::BlockCleared { silent_until: None });
        }
        let mut silent_until = None;
        for name in self
            .view
            .machines_by_block
            .get(&block)
            .into_iter()
            .flatten()
        {
            let machine = self.machines.get(name).filter(|m| m.is_cleared())?;
            silent_until = silent_until.max(machine.lease.expired_at());
        }
        Some(AbsenceProof::BlockCleared { silent_until })
    }

    pub(crate) fn blocks_tick(&mut self) {
        let now = self.now;
        let limits = LeaseLimits::from(&*self.settings);
        let silent = SilentWorkers::find(&self.machines, now, &limits, self.store.tenure());
        #[cfg(feature = "sabotage")]
        let silent = match self.sabotage {
            Some(fault) if fault.trusts_worker_silence() => silent.treat_all_as_expired(),
            _ => silent,
        };
        for (name, at) in silent.expired {
            self.expire_lease(&name, at);
        }
        // The pending watch was sent before these leases expired, so its answer does not
        // prove that the blocks were held until then.
        self.store.needs_fresh_read = !silent.unconfirmed.is_empty() && self.in_contact();
        if self.store.needs_fresh_read {
            self.refresh_view();
        }
        // A block without machines gets no report that would trigger this.
        let unlocated = self.held_blocks.iter().filter(|(_, h)| h.unlocated > 0);
        for block in unlocated.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release_unlocated(block);
        }
        let probe: Vec<_> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.is_cleared() && now >= m.next_orders_at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in probe {
            self.order_queue.insert(name);
        }
    }

    /// Marks a worker's lease as expired at `at` and releases its tasks.
    fn expire_lease(&mut self, name: &str, at: Duration) {
        let (now, contact) = (self.now, self.contact_age().unwrap_or_default());
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.lease.mark_expired(at);
        machine.tasks.clear();
        let block = machine.block;
        let tasks: Vec<_> = machine.bound_tasks.iter().cloned().collect();
        log::info!(
            "{name}: silent beyond its lease, {} tasks released; lease expired {:.1?} ago, \
             term {}, token reported {}, contact {contact:.1?} ago",
            tasks.len(),
            now.saturating_sub(at),
            machine.term,
            machine.token,
        );
        for task in tasks {
            self.release_task(&task, AbsenceProof::LeaseExpired { at }, Duration::ZERO);
        }
        self.release_unlocated(block);
        self.mark_changed(name);
    }
}
