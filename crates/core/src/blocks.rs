//! Blocks that we hold, and what their workers report.

use std::time::Duration;

use oliveshift_wire::{
    TaskId, decode, encode,
    job::Shape,
    worker::{Redirect, Report, ReportAnswer, TaskReport, TaskState, Why},
};

use crate::{
    assigned_tasks::{AssignmentState, Bound, Origin, Stop, UnlistedAttempt},
    attempt::AbsenceProof,
    call::ConnId,
    controller::Controller,
    lease::LeaseLimits,
    machine::{Machine, SilentWorkers},
    records::{BlockId, Term},
};

/// How long a task that failed waits before it is tried again; doubled with
/// each further failure.
const RETRY: Duration = Duration::from_millis(500);

/// A block that we hold.
#[derive(Debug)]
pub(crate) struct HeldBlock {
    /// The version of its record: the token of its workers.
    pub term: Term,
    /// Tasks whose whereabouts are not known yet.
    pub unlocated: u32,
}

impl Controller {
    /// A block's record has changed.
    pub(crate) fn block_changed(&mut self, id: BlockId) {
        if let Some(block) = self.view.blocks.get(&id) {
            self.reachability.record_lease(self.now, id, block.version);
        }
        let mine = self.view.blocks.get(&id).filter(|b| {
            #[cfg(feature = "sabotage")]
            if self.sabotage == Some(crate::Sabotage::OldLife) {
                return b.record.holder == self.settings.node;
            }
            b.record.holder == self.settings.node && b.record.incarnation == self.incarnation
        });
        let term = mine.map(|b| b.version);
        let had = self.held_blocks.get(&id).map(|h| h.term);
        if term == had {
            return;
        }
        if let Some(old) = had {
            log::info!("block {id}: lost (term {old})");
            self.drop_block(id);
            self.invariants.term_lost(id, old);
        }
        let Some(term) = term else { return };
        if !self.invariants.may_hold(id, term) {
            return self.rejoin();
        }
        log::info!("block {id}: taken under term {term}");
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

    /// A machine's record has come or gone.
    pub(crate) fn machine_changed(&mut self, name: &str) {
        self.sync_machine(name);
        self.mark_changed(name);
        self.room_changed(name);
        // Also when the block is another controller's: a worker that waits for
        // its place has to be sent there at once, not when its report is late.
        self.machines_reported(name);
    }

    /// What a machine's record means for the blocks that we hold.
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
                for image in self.last_known_images(name) {
                    let gb = self.image_size(&image);
                    let kind = self.machine_types.get(&machine.record.kind);
                    machine.note_image(&image, gb, kind);
                }
                self.machines.insert(name.to_owned(), machine);
                self.order_queue.insert(name.to_owned());
            }
            None => {
                // The leader removes a record only when the machine is gone.
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

    /// A worker's report.
    pub(crate) fn report(&mut self, conn: ConnId, body: &[u8]) {
        let report: Report = match decode(body) {
            Ok(report) => report,
            Err(e) => return self.refuse(conn, 400, &e.to_string()),
        };
        let close = self
            .sockets
            .identify_worker(self.now, conn, &report.machine);
        self.close(close);
        self.process_report(conn, report);
    }

    /// A report that could be read.
    pub(crate) fn process_report(&mut self, conn: ConnId, report: Report) {
        if !self.may_act() {
            return self.refuse(conn, 503, "no contact with the state service");
        }
        let Some(record) = self.view.machines.get(&report.machine) else {
            return self.unknown_machine(conn, report);
        };
        let block = record.block;
        let Some(held) = self.held_blocks.get(&block) else {
            return self.handle_stray_report(conn, report, block);
        };
        let term = held.term;
        if report.token > term {
            // Another holder has our block, and our view is late.
            return self.redirect(conn, None);
        }
        if !self.forwarding.is_forwarded(conn) {
            self.reachability
                .record_report(self.now, block, &report.machine);
            self.forwarding.record_direct_report(&report.machine);
        }
        let name = report.machine.clone();
        let (session, seq) = (report.session, report.seq);
        let newest = self.apply_report(report, Origin::Report);
        let expired = self
            .machines
            .get(&name)
            .is_none_or(|m| m.lease.is_expired());
        if expired || !newest {
            // Stale: an answer would renew a lease that we count as over, or
            // that a newer message has moved beyond.
            let is_newer = self
                .machines
                .get(&name)
                .is_some_and(|m| !m.lease.is_expired() && m.session == session);
            if !is_newer {
                return self.refuse(conn, 503, "an old report");
            }
        }
        let orders = if newest {
            self.orders_in_answer(&name, seq)
        } else {
            Vec::new()
        };
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.lease.renew(self.now);
            machine.last_answer_at = Some(self.now);
        }
        let answer = ReportAnswer {
            token: term,
            orders,
        };
        self.answer(conn, 200, encode(&answer));
    }

    pub(crate) fn redirect(&mut self, conn: ConnId, report_to: Option<String>) {
        self.answer(conn, 421, encode(&Redirect { report_to }));
    }

    /// Takes in what a worker says, whichever way it came. False if something
    /// newer is known already.
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
            // Sent before its lease ran out and held up: what it lists is gone.
            return false;
        }
        let new_session = report.session > machine.session;
        let first = machine.session == 0;
        if new_session {
            // Its lease runs from its beginning, which we may learn from the
            // answer to direct orders. Counted from our last answer to the
            // session before, it would be over while its tasks run.
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
        let proof = report.token == machine.term;
        #[cfg(feature = "sabotage")]
        let proof = proof || self.sabotage == Some(crate::Sabotage::NoTermCheck);
        if proof && !machine.term_acknowledged {
            machine.term_acknowledged = true;
            // Answers of earlier holders renew nothing from here on.
            machine.lease.renew(now);
        }
        let proven = machine.term_acknowledged;
        let gone: Vec<TaskId> = if new_session && !first {
            machine.unanswered_starts.clear();
            machine.tasks.clear();
            machine.bound_tasks.iter().cloned().collect()
        } else {
            Vec::new()
        };
        if !gone.is_empty() {
            log::info!(
                "{name}: its worker's lease ran out, {} tasks lost",
                gone.len()
            );
        }
        for task in gone {
            self.release_task(&task, AbsenceProof::SessionEnded, Duration::ZERO);
        }
        for entry in &report.tasks {
            self.apply_task_entry(&name, report.session, entry);
        }
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.tasks = report.tasks;
        }
        self.settle_unlisted(&name, report.seq, origin);
        if proven {
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

    /// Whether a machine has tasks, or is the only one besides us that knows of the end
    /// of some: returned as idle before these were recorded, it took them along, and
    /// if we ended as well they were started again.
    fn is_busy(&self, name: &str) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let keeps = |entry: &TaskReport| match entry.state {
            TaskState::Exited => self.is_unrecorded(&entry.task),
            _ => true,
        };
        !machine.bound_tasks.is_empty() || machine.tasks.iter().any(keeps)
    }

    /// Whether a task is done and the records don't show it yet.
    fn is_unrecorded(&self, task: &TaskId) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::IdleWithUnrecordedEnds) {
            return false;
        }
        let assigned = self.assigned_tasks.get(task);
        assigned.is_some_and(|assigned| matches!(assigned.state, AssignmentState::Done))
    }

    /// One task on a machine.
    pub(crate) fn apply_task_entry(&mut self, name: &str, session: u64, entry: &TaskReport) {
        let task = &entry.task;
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let spec = assigned.spec.clone();
        let here = match &assigned.state {
            AssignmentState::Bound(b) => b.machine == name && b.attempt == entry.attempt,
            // Found: what an earlier holder started goes on.
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
                if entry.why == Some(Why::Done) =>
            {
                self.set_task_state(task, AssignmentState::Done);
                return;
            }
            _ => false,
        };
        if !here {
            return;
        }
        let kind = self.machines.get(name).map(|m| m.record.kind.clone());
        let kind = kind.and_then(|k| self.machine_types.get(&k).cloned());
        let has_image = matches!(
            entry.state,
            TaskState::Running | TaskState::Waiting | TaskState::Saving
        ) || matches!(entry.why, Some(Why::Done | Why::Error));
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
                    log::debug!("{task}: runs on {name}");
                }
            }
            return;
        }
        self.ended(name, task, entry.why.unwrap_or(Why::Error));
    }

    /// A task bound to a machine is over there.
    fn ended(&mut self, name: &str, task: &TaskId, why: Why) {
        log::debug!("{task}: ended on {name}: {why:?}");
        let now = self.now;
        let mut wait = Duration::ZERO;
        let shape = self.assigned_tasks.get(task).map(|s| s.spec.shape);
        if shape == Some(Shape::Gang) && why != Why::Done {
            // Its gang has to start anew as a whole: the leader decides.
            return self.return_to_leader(task, AbsenceProof::Ended(why));
        }
        match why {
            Why::Done => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.consecutive_failures = 0;
                }
                self.set_task_state(task, AssignmentState::Done);
                return;
            }
            Why::Stopped | Why::Peers | Why::Alone => {
                // It was stopped to make room: the leader decides anew.
                self.return_to_leader(task, AbsenceProof::Ended(why));
                return;
            }
            Why::Error | Why::Unknown => {
                let job_fails = self.job_fails(task);
                if let Some(machine) = self.machines.get_mut(name)
                    && why == Why::Error
                    && !job_fails
                {
                    machine.consecutive_failures += 1;
                    machine.last_failure_at = now;
                    if machine.consecutive_failures == 2 {
                        log::info!("{name}: task after task fails on it; avoided");
                    }
                }
                if let Some(assigned) = self.assigned_tasks.get_mut(task) {
                    assigned.failed_on.push(name.to_owned());
                    let times = assigned.failed_on.len().min(6) as u32;
                    wait = RETRY * 2u32.pow(times.saturating_sub(1));
                }
            }
            Why::NoRoom | Why::Busy => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.refused_at = Some(now);
                }
                wait = Duration::from_millis(300);
            }
        }
        self.release_task(task, AbsenceProof::Ended(why), wait);
    }

    /// Whether a job's tasks have failed on several machines: then it is the
    /// job, and no machine is to blame.
    fn job_fails(&self, task: &TaskId) -> bool {
        let tasks = self
            .assigned_tasks
            .range(task.job.task(0)..=task.job.task(u32::MAX));
        let mut machines: Vec<_> = tasks.flat_map(|(_, s)| &s.failed_on).collect();
        machines.sort();
        machines.dedup();
        machines.len() >= 2
    }

    /// Bound tasks that the newest message of their machine does not list and
    /// whose start can no longer arrive are not there.
    fn settle_unlisted(&mut self, name: &str, seq: u64, origin: Origin) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let listed = |task: &TaskId, attempt: u64| {
            let same = |t: &TaskReport| t.task == *task && t.attempt == attempt;
            machine.tasks.iter().any(same)
        };
        let mut gone = Vec::new();
        let mut again = false;
        for task in &machine.bound_tasks {
            let Some(bound) = self.assigned_tasks.get(task).and_then(|s| s.bound()) else {
                continue;
            };
            if listed(task, bound.attempt) || machine.may_start_late(task, bound.attempt) {
                continue;
            }
            match bound.unlisted(seq, origin) {
                UnlistedAttempt::Unknown => {}
                UnlistedAttempt::Resend => again = true,
                UnlistedAttempt::Absent => gone.push(task.clone()),
            }
        }
        for task in gone {
            self.release_task(&task, AbsenceProof::NotListed, Duration::ZERO);
        }
        if again {
            self.order_queue.insert(name.to_owned());
        }
    }

    /// Tasks handed under an earlier term that no machine of the block can
    /// have are nowhere.
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
        let lost: Vec<_> = self
            .assigned_tasks
            .iter()
            .filter(|(_, s)| s.block == block && matches!(s.state, AssignmentState::Unlocated))
            .map(|(t, _)| t.clone())
            .collect();
        log::info!(
            "block {block}: {} tasks are nowhere and free again",
            lost.len()
        );
        for task in lost {
            self.release_task(&task, proof, Duration::ZERO);
        }
    }

    /// Evidence that nothing that earlier holders started in the block can be unseen.
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
            Some(way) if way.trusts_worker_silence() => silent.treat_all_as_expired(),
            _ => silent,
        };
        for (name, at) in silent.expired {
            self.expire(&name, at);
        }
        // The watch under way was sent before these leases were over.
        self.store.needs_fresh_read = !silent.unconfirmed.is_empty() && self.in_contact();
        if self.store.needs_fresh_read {
            self.refresh_view();
        }
        // A block without machines hears no report that would settle it.
        let lost = self.held_blocks.iter().filter(|(_, h)| h.unlocated > 0);
        for block in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
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

    /// A worker's lease was over at some instant: its tasks are gone.
    fn expire(&mut self, name: &str, at: Duration) {
        let (now, contact) = (self.now, self.contact_age().unwrap_or_default());
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.lease.mark_expired(at);
        machine.tasks.clear();
        let block = machine.block;
        let tasks: Vec<_> = machine.bound_tasks.iter().cloned().collect();
        log::info!(
            "{name}: silent beyond its lease, {} tasks written off; the lease was over {:.1?} ago, \
             term {}, token shown {}, contact {contact:.1?} ago",
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
