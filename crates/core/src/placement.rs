//! Placement: the holder of a block puts the tasks assigned to the block on its machines,
//! by the score of the LRScheduler paper.

use std::{rc::Rc, time::Duration};

use oliveshift_policy::{
    Candidate, Task, best,
    score::{minus, plus},
};
use oliveshift_wire::{
    TaskId,
    job::{JobSpec, Resources, Shape},
    worker::TaskState,
};

use crate::{
    assigned_tasks::{AssignedTask, AssignmentState, Bound},
    client_timeouts::REPORT_TIMEOUT,
    controller::Controller,
    machine::Machine,
    records::Term,
};

/// A worker whose report got no answer reports to the next controller within this time. The
/// leader learns of that at the latest after the same time again.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(2);
/// A report to a controller that is not the holder may appear this much later than an
/// answer that the holder gave through a peer.
const MAX_FORWARDING_DELAY: Duration = Duration::from_secs(1);
/// Attempt numbers are the term times this value plus a counter below it.
const ATTEMPTS_PER_TERM: u64 = 1 << 20;

/// Whether the holder of a block under `term` gave out an attempt number after the first
/// `count` ones. Those of gangs derive from the version of a chunk's record.
pub(crate) fn is_attempt_after(term: Term, count: u64, attempt: u64) -> bool {
    attempt / ATTEMPTS_PER_TERM == term && attempt % ATTEMPTS_PER_TERM > count
}

impl Controller {
    /// Places the tasks that have no machine yet, in order of priority.
    pub(crate) fn place(&mut self) {
        if self.unplaced.is_empty() || !self.may_act() || self.machine_types.is_empty() {
            return;
        }
        let now = self.now;
        let mut ready: Vec<_> = self
            .unplaced
            .iter()
            .filter_map(|task| match self.assigned_tasks.get(task)?.state {
                AssignmentState::Free { not_before, .. } if not_before <= now => {
                    let spec = &self.assigned_tasks.get(task)?.spec;
                    Some((self.view.priority(&task.job, spec), task.clone()))
                }
                _ => None,
            })
            .collect();
        ready.sort();
        for (_, task) in ready {
            self.place_task(&task);
        }
    }

    fn place_task(&mut self, task: &TaskId) {
        let Some(assigned) = self.assigned_tasks.get(task) else {
            return;
        };
        let (block, job) = (assigned.block, &task.job);
        // A task that failed on some machine avoids it, so it may fail to fit where the
        // other tasks of its job do.
        let has_no_failures = assigned.failed_on.is_empty();
        if has_no_failures
            && self
                .failed_placements
                .has_failed_recently(self.now, block, job)
        {
            return;
        }
        let Some((name, session, term)) = self.choose_machine(assigned) else {
            if has_no_failures {
                self.failed_placements.record(self.now, block, job);
            }
            let timeout = self.tuning.placement_timeout;
            if let AssignmentState::Free { since, .. } = assigned.state
                && self.now > since + timeout
            {
                log::debug!(
                    "{task}: no capacity in block {}, given back to the leader",
                    assigned.block
                );
                self.set_task_state(task, AssignmentState::Returning);
            }
            return;
        };
        let AssignmentState::Free { evidence, .. } = assigned.state else {
            return;
        };
        let attempt = self.next_attempt(task, term);
        log::debug!("{task}: placed on {name}");
        let bound = Bound {
            machine: name.clone(),
            attempt,
            evidence: Some(evidence),
            session,
            start_sent_with: None,
            listed: false,
            running: false,
            stop: None,
        };
        self.set_task_state(task, AssignmentState::Bound(bound));
        self.order_queue.insert(name);
    }

    /// An attempt number that no other attempt of the task has on any machine. The members
    /// of a gang use one common number to find each other: that of the write that assigned
    /// them together.
    fn next_attempt(&mut self, task: &TaskId, term: Term) -> u64 {
        let gang = self.assigned_tasks.get(task).map(|s| s.spec.shape) == Some(Shape::Gang);
        let job = self.view.jobs.get(&task.job);
        if let Some(job) = job.filter(|_| gang) {
            let part = job.chunk_of(task.index);
            return self.view.chunk_version(&task.job, part) * ATTEMPTS_PER_TERM;
        }
        self.attempts = self.attempts % (ATTEMPTS_PER_TERM - 1) + 1;
        term * ATTEMPTS_PER_TERM + self.attempts
    }

    fn choose_machine(&self, assigned: &AssignedTask) -> Option<(String, u64, u64)> {
        let names = self.view.machines_by_block.get(&assigned.block)?;
        let spec = &assigned.spec;
        let candidates: Vec<_> = names
            .iter()
            .filter_map(|name| {
                let machine = self.machines.get(name)?;
                let allowed = self.usable(name, machine)
                    && spec.allows_type(&machine.record.kind)
                    && spec.allows_zone(&machine.record.zone)
                    && (spec.spot || !machine.record.spot)
                    && !assigned.failed_on.contains(name);
                let candidate = allowed.then(|| self.candidate(machine, spec))??;
                Some((name, candidate))
            })
            .collect();
        let keyed = candidates.iter().map(|(name, c)| (*name, c));
        let task = Task::from(&**spec);
        let (name, _) = best(&task, keyed, &self.tuning.weights)?;
        let machine = self.machines.get(name)?;
        Some((name.clone(), machine.session, machine.term))
    }

    /// Whether tasks can be placed on a machine now.
    pub(crate) fn usable(&self, name: &str, machine: &Machine) -> bool {
        machine.term_acknowledged
            && !machine.lease.is_expired()
            && machine.reclaimed_at.is_none()
            && !machine.is_faulty()
            && !self.draining.contains(name)
            && !self.reachability.is_unheard(machine.block)
            && !self.reports_to_others(name, machine)
            && machine.silence(self.now) < self.silence_limit()
            && machine
                .refused_at
                .is_none_or(|at| self.now > at + Duration::from_secs(2))
    }

    /// Whether a machine has reported to another controller since we last answered a report
    /// of it. Until it reports here again its lease runs out, even if direct orders reach
    /// it.
    fn reports_to_others(&self, name: &str, machine: &Machine) -> bool {
        let stray_at = self.reachability.last_stray_at(self.now, name);
        stray_at.is_some_and(|at| {
            machine
                .last_answer_at
                .is_none_or(|answered| at > answered + MAX_FORWARDING_DELAY)
        })
    }

    /// Silence after which a worker counts as unreachable: two reports that should have
    /// arrived.
    pub(crate) fn silence_limit(&self) -> Duration {
        self.settings.report_period() * 9 / 4 + Duration::from_millis(500)
    }

    /// Silence after which a few machines are returned early to free their tasks. It is
    /// long enough for a worker that is cut off only from its holder to report to another
    /// controller, after its timeout and a pause, and for the leader to learn of this.
    pub(crate) fn early_return_limit(&self) -> Duration {
        let max_detour =
            self.settings.report_period() * 5 / 4 + REPORT_TIMEOUT + NEXT_CONTROLLER_DELAY;
        max_detour.max(self.silence_limit() * 3 / 2)
    }

    /// Resources that a machine's tasks use, including tasks that run there but are not
    /// assigned to it.
    pub(crate) fn used(&self, machine: &Machine) -> Resources {
        let mut used = Resources::default();
        for task in &machine.bound_tasks {
            if let Some(assigned) = self.assigned_tasks.get(task) {
                used = plus(&used, &assigned.spec.resources());
            }
        }
        for entry in &machine.tasks {
            if entry.state == TaskState::Exited || machine.bound_tasks.contains(&entry.task) {
                continue;
            }
            if let Some(spec) = self.view.spec(&entry.task.job) {
                used = plus(&used, &spec.resources());
            }
        }
        used
    }

    fn candidate(&self, machine: &Machine, spec: &JobSpec) -> Option<Candidate> {
        let total = self.machine_types.get(&machine.record.kind)?.resources();
        let cached = machine.has_image(&spec.image);
        let bound = machine.bound_tasks.iter();
        let bound = bound.filter_map(|task| self.view.spec(&task.job));
        Some(Candidate {
            free: minus(&total, &self.used(machine)),
            total,
            cached_gb: if cached { spec.image_gb } else { 0.0 },
            spot: machine.record.spot,
            service_share: service_share(bound, &total),
        })
    }
}

/// Share of a machine's processors that the services among the given tasks use.
pub(crate) fn service_share<'a>(
    specs: impl Iterator<Item = &'a Rc<JobSpec>>,
    total: &Resources,
) -> f64 {
    let services = specs.filter(|s| s.shape == Shape::Service);
    services.map(|s| s.cpus).sum::<f64>() / total.cpus.max(f64::MIN_POSITIVE)
}
