//! The leader's inventory of machines. It is kept between plans, and only changed machines
//! are updated.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use oliveshift_policy::{
    Candidate,
    fleet::{FreeCapacity, Offer},
    score::{minus, plus},
};
use oliveshift_wire::{
    TaskId,
    job::{JobSpec, Resources, Shape},
};

use crate::{
    controller::Controller,
    machine_status::MachineStatus,
    placement::service_share,
    records::{BlockId, TaskStatus, Term},
};

/// Interval at which the whole inventory is rebuilt, for changes that come with time alone.
const REBUILD_INTERVAL: Duration = Duration::from_millis(1000);

/// A machine as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct MachineView {
    pub name: String,
    pub block: BlockId,
    pub term: Term,
    pub zone: String,
    pub kind: String,
    pub spot: bool,
    /// Whether tasks can be placed on it.
    pub usable: bool,
    /// Whether its holder's last message is recent.
    pub fresh: bool,
    pub faulty: bool,
    pub silent_since: Option<Duration>,
    pub idle_since: Option<Duration>,
    /// Capacity that no task uses, and the share of processors that services use, as last
    /// reported.
    pub free: Resources,
    pub service_share: f64,
    /// The machine as a candidate, updated during a plan.
    pub candidate: Candidate,
    /// Capacity that running tasks are expected to free within a boot time.
    pub freed_soon: Resources,
    pub images: Vec<String>,
    pub tasks: Vec<(TaskId, Rc<JobSpec>)>,
    /// No further task of the present plan is assigned to it.
    pub closed: bool,
}

impl MachineView {
    pub fn accepts(&self, spec: &JobSpec) -> bool {
        self.usable
            && !self.closed
            && (spec.spot || !self.spot)
            && spec.allows_type(&self.kind)
            && spec.allows_zone(&self.zone)
    }

    pub fn cached_gb(&self, spec: &JobSpec) -> f64 {
        if self.images.contains(&spec.image) {
            spec.image_gb
        } else {
            0.0
        }
    }

    /// The offer that it was rented by.
    pub fn offer(&self) -> Offer {
        Offer {
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// Adds its free capacity after the last plan, for sizing the fleet. With
    /// `with_freed_soon` this includes the capacity that running tasks will probably free
    /// by the time a machine rented now would be up.
    pub fn add_free_to(&self, free_capacity: &mut FreeCapacity, with_freed_soon: bool) {
        let free = &self.candidate.free;
        let free = match with_freed_soon {
            true => plus(free, &self.freed_soon),
            false => *free,
        };
        free_capacity.add_machine(&self.kind, &self.zone, self.spot, free);
    }

    pub fn reserve(&mut self, spec: &JobSpec) {
        self.candidate.free = minus(&self.candidate.free, &spec.resources());
        if spec.shape == Shape::Service {
            self.candidate.service_share +=
                spec.cpus / self.candidate.total.cpus.max(f64::MIN_POSITIVE);
        }
    }
}

/// All machines, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    pub list: Vec<MachineView>,
    /// Number of machines that have each task.
    machine_counts: HashMap<TaskId, u32>,
    /// Machines whose views are outdated.
    stale: BTreeSet<String>,
    rebuilt_at: Option<Duration>,
}

impl Inventory {
    /// Position of a machine in the list.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.search(name).ok()
    }

    /// The view of a machine.
    pub fn get(&self, name: &str) -> Option<&MachineView> {
        self.index_of(name).map(|at| &self.list[at])
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|r| r.name.as_str().cmp(name))
    }

    /// Total capacity of the usable machines.
    pub fn usable_capacity(&self) -> Resources {
        let usable = self.list.iter().filter(|r| r.usable);
        usable.fold(Resources::default(), |sum, r| {
            plus(&sum, &r.candidate.total)
        })
    }

    /// Whether any machine has the task.
    pub fn has_task(&self, task: &TaskId) -> bool {
        self.machine_counts.contains_key(task)
    }

    /// Adds a machine's tasks to the counts of machines by task.
    fn count(&mut self, machine: &MachineView) {
        for (task, _) in &machine.tasks {
            *self.machine_counts.entry(task.clone()).or_default() += 1;
        }
    }

    fn set(&mut self, name: &str, machine: Option<MachineView>) {
        let at = self.search(name);
        if let Some(machine) = &machine {
            self.count(machine);
        }
        let old = match (at, machine) {
            (Ok(at), Some(machine)) => Some(std::mem::replace(&mut self.list[at], machine)),
            (Ok(at), None) => Some(self.list.remove(at)),
            (Err(at), Some(machine)) => {
                self.list.insert(at, machine);
                None
            }
            (Err(_), None) => None,
        };
        for (task, _) in old.iter().flat_map(|r| &r.tasks) {
            if let Some(n) = self.machine_counts.get_mut(task) {
                *n -= 1;
                if *n == 0 {
                    self.machine_counts.remove(task);
                }
            }
        }
    }
}

impl Controller {
    /// Marks a machine's view as outdated and a plan as due.
    pub(crate) fn mark_machine_stale(&mut self, name: &str) {
        if let Some(leader) = &mut self.leader {
            leader.inventory.stale.insert(name.to_owned());
            leader.plan_due = true;
        }
    }

    /// Updates the views of machines that may have changed.
    pub(crate) fn refresh_inventory(&self, inventory: &mut Inventory) {
        let now = self.now;
        if inventory
            .rebuilt_at
            .is_none_or(|at| now >= at + REBUILD_INTERVAL)
        {
            *inventory = Inventory {
                rebuilt_at: Some(now),
                ..Inventory::default()
            };
            for name in self.view.machines.keys() {
                if let Some(machine) = self.machine_view(name) {
                    inventory.count(&machine);
                    inventory.list.push(machine);
                }
            }
            return;
        }
        for name in std::mem::take(&mut inventory.stale) {
            inventory.set(&name, self.machine_view(&name));
        }
    }

    fn machine_view(&self, name: &str) -> Option<MachineView> {
        let record = self.view.machines.get(name)?;
        let block = self.view.blocks.get(&record.block)?;
        let kind = self.machine_types.get(&record.kind)?;
        let (status, fresh) = self.machine_status(name, block)?;
        let total = kind.resources();
        let tasks = self.tasks_on(status, record.block, fresh);
        let free = if fresh {
            status.free
        } else {
            // Without recent messages from the holder, the records decide: tasks recorded
            // as done or given back use no capacity any more.
            let needs = tasks.iter().map(|(_, spec)| spec.resources());
            needs.fold(total, |free, need| minus(&free, &need))
        };
        let service_share = service_share(tasks.iter().map(|(_, spec)| spec), &total);
        Some(MachineView {
            name: name.to_owned(),
            block: record.block,
            term: block.version,
            zone: record.zone.clone(),
            kind: record.kind.clone(),
            spot: record.spot,
            usable: status.usable && !self.draining.contains(name),
            fresh,
            faulty: status.faulty,
            silent_since: status.silent_since,
            idle_since: status.idle_since,
            free,
            service_share,
            candidate: Candidate {
                total,
                free,
                cached_gb: 0.0,
                spot: record.spot,
                service_share,
            },
            freed_soon: self.freed_soon(&tasks),
            images: status.images.clone(),
            tasks,
            closed: false,
        })
    }

    fn tasks_on(
        &self,
        status: &MachineStatus,
        block: BlockId,
        fresh: bool,
    ) -> Vec<(TaskId, Rc<JobSpec>)> {
        let is_here = |task: &&TaskId| {
            let job = self.view.jobs.get(&task.job);
            let place = job.map(|j| j.task_status(task.index));
            fresh || matches!(place, Some(TaskStatus::Assigned { block: b, .. }) if b == block)
        };
        let tasks = status.tasks.iter().filter(is_here);
        tasks
            .filter_map(|t| Some((t.clone(), self.view.spec(&t.job)?.clone())))
            .collect()
    }

    fn freed_soon(&self, tasks: &[(TaskId, Rc<JobSpec>)]) -> Resources {
        let horizon_s = self.tuning.rent_horizon_boots * self.shortest_boot_s();
        let mut ending = Resources::default();
        for (_, spec) in tasks.iter().filter(|(_, s)| s.shape != Shape::Service) {
            let part = (horizon_s / spec.estimate_s.max(1.0)).min(1.0);
            ending.cpus += spec.cpus * part;
            ending.gpus += spec.gpus * part;
            ending.memory_gb += spec.memory_gb * part;
        }
        ending
    }
}
