//! The status of machines as their holders see them: this controller's own machines, and those
//! of peers by their last messages. Statuses are updated machine by machine, as there are too
//! many to recompute all of them at each change.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_policy::score::minus;
use oliveshift_wire::{TaskId, job::Resources, peer::MachineSummary};

use crate::{
    controller::Controller,
    machine::Machine,
    records::{BlockRecord, Term},
    view::Versioned,
};

/// Interval of a refresh of all own machines, for changes that only the passage of time causes.
const FULL_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// A machine as its holder sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MachineStatus {
    pub term: Term,
    /// Whether tasks can be placed on it.
    pub usable: bool,
    /// Whether it is to be replaced.
    pub faulty: bool,
    /// Since when it has been silent; `None` if it was heard recently.
    pub silent_since: Option<Duration>,
    /// Since when it has had no task; `None` if it has any.
    pub idle_since: Option<Duration>,
    pub free: Resources,
    pub images: Vec<String>,
    /// Tasks bound to it.
    pub tasks: Vec<TaskId>,
}

impl MachineStatus {
    /// Converts from the form that a peer's message has, received at `now`.
    pub fn from_peer(now: Duration, view: MachineSummary) -> (String, Self) {
        let at = |ms| now.saturating_sub(Duration::from_millis(ms));
        let [cpus, gpus, memory_gb] = view.free;
        let status = Self {
            term: view.term,
            usable: view.usable,
            faulty: view.faulty,
            silent_since: view.silent_ms.map(at),
            idle_since: view.idle_ms.map(at),
            free: Resources {
                cpus,
                gpus,
                memory_gb,
            },
            images: view.images,
            tasks: view.tasks,
        };
        (view.name, status)
    }

    /// Whether a task may fit now that did not fit before.
    fn has_gained_capacity(&self, before: Option<&Self>) -> bool {
        let more = |b: &Self| {
            let (now, then) = (&self.free, &b.free);
            !b.usable
                || now.cpus > then.cpus
                || now.gpus > then.gpus
                || now.memory_gb > then.memory_gb
        };
        self.usable && before.is_none_or(more)
    }

    /// Converts to the form for a message to a peer.
    pub fn to_peer(&self, now: Duration, name: &str) -> MachineSummary {
        let ago = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        MachineSummary {
            name: name.to_owned(),
            term: self.term,
            usable: self.usable,
            faulty: self.faulty,
            silent_ms: self.silent_since.map(ago),
            idle_ms: self.idle_since.map(ago),
            free: [self.free.cpus, self.free.gpus, self.free.memory_gb],
            images: self.images.clone(),
            tasks: self.tasks.clone(),
        }
    }
}

/// The statuses of this controller's machines, each with the version in which it last changed.
#[derive(Debug, Default)]
pub(crate) struct OwnMachines {
    pub version: u64,
    pub machines: BTreeMap<String, (u64, MachineStatus)>,
    /// Machines whose status has to be recomputed.
    changed_names: BTreeSet<String>,
    refreshed_at: Duration,
}

impl Controller {
    /// Marks an own machine whose status may have changed.
    pub(crate) fn mark_changed(&mut self, name: &str) {
        if !self.own_machines.changed_names.contains(name) {
            self.own_machines.changed_names.insert(name.to_owned());
        }
    }

    /// Recomputes the statuses of the own machines that may have changed.
    pub(crate) fn refresh_own_machines(&mut self) {
        if self.now >= self.own_machines.refreshed_at + FULL_REFRESH_INTERVAL {
            self.own_machines.refreshed_at = self.now;
            let all = self
                .machines
                .keys()
                .chain(self.own_machines.machines.keys());
            self.own_machines.changed_names = all.cloned().collect();
        }
        for name in std::mem::take(&mut self.own_machines.changed_names) {
            let changed = match self.machines.get(&name) {
                None => self.own_machines.machines.remove(&name).is_some(),
                Some(machine) => {
                    let status = self.own_status(&name, machine);
                    let before = self.own_machines.machines.get(&name).map(|o| &o.1);
                    let changed = before.is_none_or(|b| *b != status);
                    if status.has_gained_capacity(before) {
                        self.failed_placements.capacity_gained(machine.block);
                    }
                    if changed {
                        self.own_machines.version += 1;
                        let version = self.own_machines.version;
                        self.own_machines
                            .machines
                            .insert(name.clone(), (version, status));
                    }
                    changed
                }
            };
            if changed {
                self.mark_machine_stale(&name);
            }
        }
    }

    /// Computes the status of an own machine.
    fn own_status(&self, name: &str, machine: &Machine) -> MachineStatus {
        let total = self
            .machine_types
            .get(&machine.record.kind)
            .map(|k| k.resources());
        let silent = machine.silence(self.now) >= self.silence_limit();
        MachineStatus {
            term: machine.term,
            usable: self.usable(name, machine),
            faulty: machine.is_faulty(),
            silent_since: silent.then(|| machine.last_message_at.unwrap_or(machine.lease.since())),
            idle_since: machine.idle_since,
            free: minus(&total.unwrap_or_default(), &self.used(machine)),
            images: machine.images.iter().map(|(n, _)| n.clone()).collect(),
            tasks: machine.bound_tasks.iter().cloned().collect(),
        }
    }

    /// The status of a machine from its holder, this controller or a peer, and whether it is
    /// recent. `None` if there is no status, or if a peer's is not of the block's current term.
    pub(crate) fn machine_status(
        &self,
        name: &str,
        block: &Versioned<BlockRecord>,
    ) -> Option<(&MachineStatus, bool)> {
        if let Some((_, status)) = self.own_machines.machines.get(name) {
            return Some((status, true)).filter(|_| self.machines.contains_key(name));
        }
        let peer = self.peers.get(&block.record.holder)?;
        let status = peer.machines.get(name)?;
        (status.term == block.version).then(|| (status, peer.is_fresh(self.now)))
    }
}
