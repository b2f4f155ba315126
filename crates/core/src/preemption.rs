//! Preemption: which tasks are asked to stop to free capacity for others.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use oliveshift_policy::{
    fleet::count_fitting,
    quota::may_preempt,
    score::{fits, plus},
};
use oliveshift_wire::{
    TaskId,
    job::{JobSpec, Priority, Resources},
};

use crate::{
    assignment::Plan, controller::Controller, inventory::MachineView, queue_order::QueuedJob,
};

/// Maximum number of searches through all machines for tasks to preempt, per plan.
const MAX_SEARCHES: u32 = 12;

impl Controller {
    /// Asks tasks to stop for tasks of a job that have no capacity: tasks of lower
    /// priority, or tasks beyond their own team's guarantee if the job is within its team's
    /// guarantee. `zones` gives how many of the job's tasks may go to each zone.
    pub(crate) fn preempt_tasks(
        &mut self,
        plan: &mut Plan,
        queued: &QueuedJob,
        spec: &Rc<JobSpec>,
        tasks: u32,
        mut zones: BTreeMap<String, u32>,
    ) {
        let is_production = queued.priority == Priority::Production;
        if !is_production && !queued.guaranteed || plan.searches >= MAX_SEARCHES {
            return;
        }
        plan.searches += 1;
        // Users wait for all replicas of a production service. For other work, tasks are
        // stopped for one task at a time, as capacity is also freed without preemption.
        let mut left = if is_production { tasks } else { 1 };
        let need = spec.resources();
        let mut options = Vec::new();
        for (at, machine) in plan.inventory.list.iter().enumerate() {
            if machine.tasks.is_empty()
                || !fits(&need, &machine.candidate.total)
                || !machine.accepts(spec)
                || !zones.contains_key(&machine.zone)
            {
                continue;
            }
            if let Some((free, victims)) = self.victims(plan, machine, queued, &need) {
                options.push((victims.len(), at, count_fitting(&need, &free), victims));
            }
        }
        // Machines on which the fewest tasks have to be asked come first. Tasks that were
        // asked before don't count.
        options.sort_by_key(|(victims, at, ..)| (*victims, *at));
        for (_, at, fit, victims) in options {
            if left == 0 {
                break;
            }
            let machine = &mut plan.inventory.list[at];
            let Some(open) = zones.get_mut(&machine.zone).filter(|open| **open > 0) else {
                continue;
            };
            let taken = fit.min(left).min(*open);
            left -= taken;
            *open -= taken;
            // No other task of this plan is assigned to this machine.
            machine.closed = true;
            let name = machine.name.clone();
            for task in victims {
                log::info!(
                    "{task}: asked to stop on {name} to free capacity for {}",
                    queued.id
                );
                if let Some(leader) = &mut self.leader {
                    leader.stop_requested_at.insert(task.clone(), self.now);
                }
                self.request_preemption(&task);
            }
        }
    }

    /// Tasks that still have to be asked to stop so that a task fits on a machine, and the
    /// capacity that is free then. None if the task can't fit.
    fn victims(
        &self,
        plan: &Plan,
        machine: &MachineView,
        queued: &QueuedJob,
        need: &Resources,
    ) -> Option<(Resources, Vec<TaskId>)> {
        let mut free = machine.candidate.free;
        let mut victims = Vec::new();
        let mut already_asked = 0;
        let mut preemptable_tasks: Vec<_> = machine
            .tasks
            .iter()
            .filter_map(|(task, other)| {
                let victim_priority = self.view.priority(&task.job, other);
                let may_stop = may_preempt(
                    queued.priority,
                    queued.guaranteed,
                    victim_priority,
                    plan.borrowed.contains(&task.job),
                    other.team == queued.spec.team,
                );
                if !may_stop {
                    return None;
                }
                let is_asked = self.leader.as_ref()?.stop_requested_at.contains_key(task);
                // For production, which users wait for, the tasks that stop most quickly go
                // first; otherwise those that lose no work.
                let lost = match (queued.priority, other.can_save()) {
                    (Priority::Production, true) => other.save_time(),
                    (Priority::Production, false) | (_, true) => Duration::ZERO,
                    (_, false) => Duration::from_secs(1),
                };
                let priority = std::cmp::Reverse(victim_priority);
                Some((!is_asked, priority, lost, task, other))
            })
            .collect();
        preemptable_tasks.sort_by(|a, b| (a.0, a.1, a.2, a.3).cmp(&(b.0, b.1, b.2, b.3)));
        for (is_new, _, _, task, other) in preemptable_tasks {
            if fits(need, &free) {
                break;
            }
            free = plus(&free, &other.resources());
            if is_new {
                victims.push(task.clone());
            } else {
                already_asked += 1;
            }
        }
        let possible = fits(need, &free) && (!victims.is_empty() || already_asked > 0);
        possible.then_some((free, victims))
    }
}
