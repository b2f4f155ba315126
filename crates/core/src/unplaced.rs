//! Tasks that are assigned to blocks and not yet reported as placed by their holders.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use oliveshift_policy::score::fits;
use oliveshift_wire::{JobId, job::JobSpec};

use crate::{controller::Controller, inventory::MachineView, records::BlockId};

/// Where such tasks may run. A holder places a task on the machine of the block that fits
/// best, which may differ from the machine that the leader planned.
#[derive(Debug, Default)]
pub(crate) struct UnplacedTasks {
    /// The machines that the leader planned them for.
    machines: BTreeSet<String>,
    /// Their jobs, by the block that they are assigned to.
    jobs: BTreeMap<BlockId, BTreeMap<JobId, Rc<JobSpec>>>,
}

impl UnplacedTasks {
    /// Whether one of the tasks may run on the machine.
    pub fn may_be_on(&self, room: &MachineView) -> bool {
        let jobs = self.jobs.get(&room.block).into_iter().flatten();
        let mut specs = jobs.map(|(_, spec)| spec);
        self.machines.contains(&room.name)
            || specs.any(|spec| {
                fits(&spec.resources(), &room.free)
                    && spec.allows_type(&room.kind)
                    && (spec.spot || !room.spot)
            })
    }
}

impl Controller {
    /// Tasks that the leader has assigned and that no holder has reported as placed.
    pub(crate) fn unplaced_tasks(&self) -> UnplacedTasks {
        let mut unplaced = UnplacedTasks::default();
        let Some(leader) = &self.leader else {
            return unplaced;
        };
        for (task, machine) in &leader.planned_machines {
            unplaced.machines.insert(machine.clone());
            #[cfg(feature = "sabotage")]
            if self.sabotage == Some(crate::Sabotage::IdleAsPlanned) {
                continue;
            }
            let room = leader.inventory.get(machine);
            if let (Some(room), Some(spec)) = (room, self.view.spec(&task.job)) {
                let jobs = unplaced.jobs.entry(room.block).or_default();
                jobs.insert(task.job.clone(), spec.clone());
            }
        }
        unplaced
    }
}
