//! Machines as their holders see them: our own by what we know, the others'
//! by what their holders told us last. Kept up to date machine by machine, as
//! there are too many to look at all of them at each piece of news.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_policy::score::minus;
use oliveshift_wire::{TaskId, job::Amounts, peer::MachineView};

use crate::{
    controller::Controller,
    machine::Machine,
    records::{BlockRecord, Term},
    view::Versioned,
};

/// How often all machines are looked at, for what time alone changes.
const PERIOD: Duration = Duration::from_millis(500);

/// A machine as its holder sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MachineStatus {
    pub term: Term,
    /// Whether tasks can be placed on it.
    pub usable: bool,
    /// Whether it is to be replaced.
    pub faulty: bool,
    /// Since when it has been silent; none: it was heard lately.
    pub silent_since: Option<Duration>,
    /// Since when it has had no task.
    pub idle_since: Option<Duration>,
    pub free: Amounts,
    pub images: Vec<String>,
    /// Tasks bound to it.
    pub tasks: Vec<TaskId>,
}

impl MachineStatus {
    /// As told by a peer just now.
    pub fn hear(now: Duration, view: MachineView) -> (String, Self) {
        let at = |ms| now.saturating_sub(Duration::from_millis(ms));
        let [cpus, gpus, memory_gb] = view.free;
        let seen = Self {
            term: view.term,
            usable: view.usable,
            faulty: view.faulty,
            silent_since: view.silent_ms.map(at),
            idle_since: view.idle_ms.map(at),
            free: Amounts {
                cpus,
                gpus,
                memory_gb,
            },
            images: view.images,
            tasks: view.tasks,
        };
        (view.name, seen)
    }

    /// Whether a task may fit now that did not before.
    fn has_gained(&self, before: Option<&Self>) -> bool {
        let more = |b: &Self| {
            let (now, then) = (&self.free, &b.free);
            !b.usable
                || now.cpus > then.cpus
                || now.gpus > then.gpus
                || now.memory_gb > then.memory_gb
        };
        self.usable && before.is_none_or(more)
    }

    /// To be told to a peer.
    pub fn tell(&self, now: Duration, name: &str) -> MachineView {
        let ago = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        MachineView {
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

/// Our own machines as we see them, each with the version in which it changed
/// last.
#[derive(Debug, Default)]
pub(crate) struct OwnMachines {
    pub version: u64,
    pub machines: BTreeMap<String, (u64, MachineStatus)>,
    /// Machines to look at again.
    touched: BTreeSet<String>,
    looked_at: Duration,
}

impl Controller {
    /// Something about a machine of ours may have changed.
    pub(crate) fn mark_changed(&mut self, name: &str) {
        if !self.own_machines.touched.contains(name) {
            self.own_machines.touched.insert(name.to_owned());
        }
    }

    /// Looks again at the machines of ours that may have changed.
    pub(crate) fn refresh_own_machines(&mut self) {
        if self.now >= self.own_machines.looked_at + PERIOD {
            self.own_machines.looked_at = self.now;
            let all = self
                .machines
                .keys()
                .chain(self.own_machines.machines.keys());
            self.own_machines.touched = all.cloned().collect();
        }
        for name in std::mem::take(&mut self.own_machines.touched) {
            let changed = match self.machines.get(&name) {
                None => self.own_machines.machines.remove(&name).is_some(),
                Some(machine) => {
                    let seen = self.look(&name, machine);
                    let before = self.own_machines.machines.get(&name).map(|o| &o.1);
                    let changed = before.is_none_or(|b| *b != seen);
                    if seen.has_gained(before) {
                        self.futile.room_gained(machine.block);
                    }
                    if changed {
                        self.own_machines.version += 1;
                        let version = self.own_machines.version;
                        self.own_machines
                            .machines
                            .insert(name.clone(), (version, seen));
                    }
                    changed
                }
            };
            if changed {
                self.room_changed(&name);
            }
        }
    }

    fn look(&self, name: &str, machine: &Machine) -> MachineStatus {
        let total = self
            .machine_types
            .get(&machine.record.kind)
            .map(|k| k.amounts());
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

    /// A machine as its holder sees it, whether that is us or a peer, if it is
    /// by its present term; and whether that is recent.
    pub(crate) fn machine_status(
        &self,
        name: &str,
        block: &Versioned<BlockRecord>,
    ) -> Option<(&MachineStatus, bool)> {
        if let Some((_, seen)) = self.own_machines.machines.get(name) {
            return Some((seen, true)).filter(|_| self.machines.contains_key(name));
        }
        let peer = self.peers.get(&block.record.holder)?;
        let seen = peer.machines.get(name)?;
        (seen.term == block.version).then(|| (seen, peer.is_fresh(self.now)))
    }
}
