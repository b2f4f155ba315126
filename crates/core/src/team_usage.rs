//! Team usage, as the leader counts it for a plan.
//!
//! Every task that is assigned and not recorded as done or given back counts, and so does
//! every assignment whose write may still take effect. This keeps teams within their limits
//! whatever fails.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use oliveshift_policy::score::{fits, plus};
use oliveshift_wire::{JobId, TaskId, job::JobSpec};

use crate::{
    assignment::Plan,
    controller::Controller,
    inventory::Inventory,
    records::{BlockId, TaskStatus},
    view::Job,
};

/// Minimum interval between two logs of team usage.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Parts of a team's usage, in processors.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TeamUsage {
    /// Placed on machines.
    placed: f64,
    /// Assigned to blocks and not yet placed.
    assigned: f64,
    /// Ended, as reported by a holder, and not yet recorded.
    ended: f64,
    /// Assigned by writes that may still take effect.
    in_doubt: f64,
}

impl fmt::Display for TeamUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} processors placed, {:.1} assigned, {:.1} ended and not recorded, {:.1} in doubt",
            self.placed, self.assigned, self.ended, self.in_doubt
        )
    }
}

/// A task that counts as used and is on no machine.
struct Unplaced {
    task: TaskId,
    block: BlockId,
    spec: Rc<JobSpec>,
}

impl Controller {
    /// Counts what teams use, and reserves capacity for tasks that are assigned but on no
    /// machine yet.
    pub(crate) fn count_team_usage(&mut self, plan: &mut Plan) {
        let unplaced = self.count_tasks(plan);
        self.reserve_capacity(&mut plan.inventory, unplaced);
    }

    /// Counts what teams use. Returns the tasks that count and are on no machine.
    fn count_tasks(&mut self, plan: &mut Plan) -> Vec<Unplaced> {
        let unrecorded = self.peers.values().flat_map(|p| &p.over);
        let unrecorded: HashSet<&TaskId> = unrecorded.chain(&self.unrecorded).collect();
        let mut unplaced = Vec::new();
        let mut usage: BTreeMap<&str, TeamUsage> = BTreeMap::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            let team = usage.entry(&spec.team).or_default();
            let mut count = 0;
            for (task, block) in assigned_tasks_of(id, job) {
                count += 1;
                if plan.inventory.has_task(&task) {
                    team.placed += spec.cpus;
                } else if unrecorded.contains(&task) {
                    team.ended += spec.cpus;
                } else {
                    team.assigned += spec.cpus;
                    let spec = spec.clone();
                    unplaced.push(Unplaced { task, block, spec });
                }
            }
            for (index, block) in self.in_doubt(id, job) {
                count += 1;
                team.in_doubt += spec.cpus;
                let (task, spec) = (id.task(index), spec.clone());
                unplaced.push(Unplaced { task, block, spec });
            }
            let used = plan.used.entry(spec.team.clone()).or_default();
            let need = spec.resources();
            for _ in 0..count {
                *used = plus(used, &need);
            }
        }
        if let Some(leader) = &mut self.leader
            && self.now >= leader.usage_logged_at + MIN_LOG_INTERVAL
        {
            leader.usage_logged_at = self.now;
            for (team, usage) in usage {
                log::debug!("{team}: {usage}");
            }
        }
        unplaced
    }

    /// Reserves capacity for tasks that are on no machine yet: on the machine that they
    /// were planned for, or else on any machine of their block, one with enough free
    /// capacity if there is one.
    fn reserve_capacity(&mut self, inventory: &mut Inventory, unplaced: Vec<Unplaced>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut by_block: HashMap<BlockId, Vec<usize>> = HashMap::new();
        if !unplaced.is_empty() {
            for (at, machine) in inventory.list.iter().enumerate() {
                by_block.entry(machine.block).or_default().push(at);
            }
        }
        let mut planned = BTreeMap::new();
        for Unplaced { task, block, spec } in unplaced {
            let name = leader.planned_machines.remove(&task);
            let at = name.as_ref().and_then(|name| inventory.index_of(name));
            let at = at.filter(|at| inventory.list[*at].block == block);
            let need = spec.resources();
            let at = at.or_else(|| {
                let all = by_block.get(&block)?;
                let fitting = |at: &&usize| fits(&need, &inventory.list[**at].candidate.free);
                all.iter().find(fitting).or_else(|| all.first()).copied()
            });
            if let Some(at) = at {
                inventory.list[at].reserve(&spec);
            }
            if let Some(name) = name {
                planned.insert(task, name);
            }
        }
        leader.planned_machines = planned;
    }

    /// Tasks whose assignment may have taken effect without the view showing it yet.
    pub(crate) fn in_doubt(&self, id: &JobId, job: &Job) -> Vec<(u32, u32)> {
        if self.chunk_writes.is_empty() {
            return Vec::new();
        }
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::LostAnswerAsFailure) {
            return Vec::new();
        }
        let mut tasks = Vec::new();
        let parts = (id.clone(), 0)..=(id.clone(), u32::MAX);
        for (_, write) in self.chunk_writes.range(parts) {
            let new = |(index, _): &&(u32, u32)| job.task_status(*index) == TaskStatus::Waiting;
            tasks.extend(write.assignments.iter().filter(new).copied());
        }
        tasks
    }
}

/// The tasks of a job that the records show as assigned, with their blocks.
fn assigned_tasks_of<'a>(
    id: &'a JobId,
    job: &'a Job,
) -> impl Iterator<Item = (TaskId, BlockId)> + 'a {
    let chunks = job.chunks.iter().filter(|_| !job.assigned.is_empty());
    chunks.flat_map(move |(part, chunk)| {
        let (first, _) = job.chunk_span(*part);
        let places = (first..).zip(&chunk.task_statuses);
        places.filter_map(move |(index, place)| match place {
            TaskStatus::Assigned { block, .. } => Some((id.task(index), *block)),
            _ => None,
        })
    })
}
