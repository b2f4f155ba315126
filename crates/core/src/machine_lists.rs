//! The lists of machines of each block. Only the leader writes them, for many
//! machines in one transaction. Machines that do not fit into a block's first list
//! go into further lists.
//!
//! A machine must never be in two blocks. Only one write is in flight, and a write
//! without an answer is repeated with the same conditions until its outcome is
//! known, so the next write starts from known lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    state::{Change, Cond, Txn, json_len},
    worker::Report,
};
use rmpv::Value;

use crate::{
    controller::Controller,
    recorder::WriteStep,
    records::{BlockId, BlockRecord, FormatLevel, Key, MachineListEntry, MachineListRecord},
    store::{Outcome, Purpose, Urgency},
};

/// The most lists in one write, and the most machines in them: the size of a
/// transaction is limited.
const MAX_LISTS_PER_WRITE: usize = 8;
const MAX_MACHINES_PER_WRITE: usize = 250;
/// The most bytes that a machine takes in a list at the first format level.
const MAX_FLAT_ENTRY_BYTES: f64 = 200.0;

/// The minimum time between two writes: without it most writes would change a list for a
/// single machine. New machines wait for the write, so additions skip the interval while
/// the write budget has room to spare; removals are not urgent.
const MIN_ADD_INTERVAL: Duration = Duration::from_millis(400);
const MIN_REMOVE_INTERVAL: Duration = Duration::from_millis(2000);

/// A write of machine lists in flight.
#[derive(Debug)]
pub(crate) struct MachineListWrite {
    txn: Txn,
    step: WriteStep,
    /// Whether this write, or an earlier one with the same conditions, got no answer.
    in_doubt: bool,
    /// Whether the state service rejects the write as malformed or too large.
    impossible: bool,
}

/// Lists to be written, by block and list number.
type Lists = BTreeMap<(BlockId, u32), Vec<MachineListEntry>>;

impl Controller {
    /// How many machines a block may have. There should be enough blocks that each
    /// controller holds several that can be moved, but so few that leasing them again
    /// after a crash takes few writes.
    fn block_size(&self) -> usize {
        let waiting = self.leader.as_ref().map_or(0, |l| l.reports.len());
        let machines = self.view.machines.len() + waiting;
        let blocks = self.settings.controller_count() * self.tuning.blocks_per_controller;
        let mut max_machines = self.tuning.max_block_machines;
        if self.level() < FormatLevel::PIPELINES {
            let fits = self.limits().value_kb * 1024.0 / MAX_FLAT_ENTRY_BYTES;
            max_machines = max_machines.min(fits as usize);
        }
        machines.div_ceil(blocks.max(1)).clamp(
            self.tuning.min_block_machines.min(max_machines),
            max_machines,
        )
    }

    /// Adds machines that have reported to blocks of their zone, and removes machines
    /// that are known to be gone.
    pub(crate) fn update_machine_lists(&mut self) {
        let now = self.now;
        let revision = self.view.revision;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(write) = &leader.list_write {
            match write.step {
                WriteStep::VisibleAt(shown) if revision >= shown => leader.list_write = None,
                WriteStep::Retry(at) if now >= at => return self.retry_list_write(),
                _ => return,
            }
        }
        let since = now.saturating_sub(leader.lists_written_at);
        let due = if leader.reports.is_empty() {
            let mut gone = self.fleet.returned_machines.keys();
            since >= MIN_REMOVE_INTERVAL && gone.any(|name| self.view.machines.contains_key(name))
        } else {
            since >= MIN_ADD_INTERVAL || self.has_spare_writes()
        };
        if !due {
            return;
        }
        let (lists, full_zones) = self.plan_lists();
        for zone in full_zones {
            self.create_block(zone);
        }
        self.write_lists(lists);
    }

    fn write_lists(&mut self, lists: Lists) {
        let Some(lead) = self.leader_cond().filter(|_| !lists.is_empty()) else {
            return;
        };
        let mut txn = Txn {
            conds: vec![lead],
            changes: Vec::new(),
        };
        for ((id, list_number), list) in lists {
            let key = Key::Machines(id, list_number).path();
            txn.conds.push(Cond {
                key: key.clone(),
                version: self.view.machine_list_version(id, list_number),
            });
            txn.changes.push(Change::Put {
                key,
                value: self.list_value(id, list),
                lease: None,
            });
        }
        self.send_lists(txn, false);
    }

    fn send_lists(&mut self, txn: Txn, in_doubt: bool) {
        if self.send_txn(txn.clone(), Purpose::MachineLists, Urgency::Safety)
            && let Some(leader) = &mut self.leader
        {
            leader.lists_written_at = self.now;
            leader.list_write = Some(MachineListWrite {
                txn,
                step: WriteStep::Sent,
                in_doubt,
                impossible: false,
            });
        }
    }

    /// Repeats a write that got no answer. If it is now larger than the service accepts,
    /// a repeat would not show its outcome. Its first list is then written with its
    /// present content instead: this either makes the conditions of the earlier write
    /// fail from then on, or conflicts because that write has taken effect.
    fn retry_list_write(&mut self) {
        let write = self.leader.as_ref().and_then(|l| l.list_write.as_ref());
        let Some((txn, impossible)) = write.map(|w| (w.txn.clone(), w.impossible)) else {
            return;
        };
        if !impossible && self.txn_fits(&txn) {
            return self.send_lists(txn, true);
        }
        let first = txn.changes.first().and_then(|change| match change {
            Change::Put { key, .. } | Change::Delete { key } => Key::parse(key),
        });
        let Some(Key::Machines(id, list_number)) = first else {
            return;
        };
        let key = Key::Machines(id, list_number).path();
        let version = self.view.machine_list_version(id, list_number);
        if txn
            .conds
            .iter()
            .any(|c| c.key == key && c.version != version)
        {
            // The view shows another version of the list, so the outcome is known.
            if let Some(leader) = &mut self.leader {
                leader.list_write = None;
            }
            return;
        }
        let mut lists = Lists::from([((id, list_number), self.current_list(id, list_number))]);
        if self.split_oversized(&mut lists) {
            log::info!(
                "block {id}: machine list write without an answer is now too large to repeat; \
                 rewriting list {list_number} to settle it"
            );
            self.write_lists(lists);
            if let Some(write) = self.leader.as_mut().and_then(|l| l.list_write.as_mut()) {
                write.in_doubt = true;
            }
        }
    }

    fn list_value(&self, id: BlockId, machines: Vec<MachineListEntry>) -> Value {
        let zone = self.view.blocks.get(&id).map(|b| b.record.zone.clone());
        let zone = zone.unwrap_or_default();
        MachineListRecord::new(self.level(), zone, machines).to_value()
    }

    fn list_fits(&self, id: BlockId, machines: &[MachineListEntry]) -> bool {
        self.level() < FormatLevel::PIPELINES
            || json_len(&self.list_value(id, machines.to_vec())) <= self.limits().value_bytes()
    }

    /// The most lists in one write.
    fn max_lists(&self) -> usize {
        MAX_LISTS_PER_WRITE.min(self.limits().txn_ops)
    }

    /// The number for the next new list of a block.
    fn next_list_number(&self, id: BlockId, lists: &Lists) -> u32 {
        let all = (id, 0)..=(id, u32::MAX);
        let known = self.view.machine_lists.range(all.clone()).next_back();
        let planned = lists.range(all).next_back();
        let last = known.map(|(at, _)| at.1).max(planned.map(|(at, _)| at.1));
        last.map_or(0, |last| last + 1)
    }

    /// Moves machines that do not fit into their list to new lists in the same write:
    /// lists may have been written when larger values were allowed. New lists come
    /// later in key order, so that a read of all records, page by page, never misses a
    /// machine that moves meanwhile. False if one write can't hold all the lists.
    fn split_oversized(&self, lists: &mut Lists) -> bool {
        for at in lists.keys().copied().collect::<Vec<_>>() {
            let (id, _) = at;
            let mut from = at;
            while let Some(list) = lists.get_mut(&from).filter(|l| !self.list_fits(id, l)) {
                let mut excess = Vec::new();
                while !self.list_fits(id, list) {
                    excess.extend(list.pop());
                }
                from = (id, self.next_list_number(id, lists));
                lists.insert(from, excess);
            }
        }
        lists.len() <= self.max_lists()
    }

    /// The lists that have to be written, and the zones with machines to add but no
    /// block that can take them.
    fn plan_lists(&self) -> (Lists, BTreeSet<String>) {
        let mut lists = Lists::new();
        let mut full_zones = BTreeSet::new();
        let max_lists = self.max_lists();
        let size = self.block_size();
        let has_room = |lists: &Lists, at: &(BlockId, u32)| {
            let machines: usize = lists.values().map(Vec::len).sum();
            lists.contains_key(at) || (lists.len() < max_lists && machines < MAX_MACHINES_PER_WRITE)
        };
        for name in self.fleet.returned_machines.keys() {
            let Some(machine) = self.view.machines.get(name) else {
                continue;
            };
            let at = (machine.block, machine.list_number);
            if !has_room(&lists, &at) {
                continue;
            }
            let mut trial = lists.clone();
            let list = trial
                .entry(at)
                .or_insert_with(|| self.current_list(at.0, at.1));
            list.retain(|m| m.name != *name);
            if self.split_oversized(&mut trial) {
                lists = trial;
            }
        }
        let mut taken: BTreeSet<&str> = BTreeSet::new();
        let reports = self.leader.iter().flat_map(|l| &l.reports);
        for (_, report, _) in reports {
            let known = self.view.machines.contains_key(&report.machine);
            if known || self.fleet.is_returning(&report.machine) || !taken.insert(&report.machine) {
                continue;
            }
            // The number of machines of a block once the planned lists are written.
            let count = |id: &BlockId| {
                let planned = lists.range((*id, 0)..=(*id, u32::MAX));
                planned.fold(self.view.machine_count(id), |n, (at, list)| {
                    let before = self.view.machine_lists.get(at).map_or(0, |l| l.names.len());
                    (n + list.len()).saturating_sub(before)
                })
            };
            let blocks = self.view.blocks.iter();
            let mut open = blocks
                .filter(|(id, b)| b.record.zone == report.zone && count(id) < size)
                .filter(|(id, b)| self.can_serve_new_machine(**id, &b.record))
                .peekable();
            if open.peek().is_none() {
                full_zones.insert(report.zone.clone());
                continue;
            }
            // Machines that do not fit into this write are added by a later one.
            let place = open.find_map(|(id, _)| {
                let (at, list) = self.list_with_room(*id, &lists, list_entry(report))?;
                has_room(&lists, &at).then_some((at, list))
            });
            if let Some((at, list)) = place {
                lists.insert(at, list);
            }
        }
        (lists, full_zones)
    }

    /// Whether the holder of a block can serve a new machine in the block, as far as is
    /// known; true if no controller can serve the zone.
    fn can_serve_new_machine(&self, id: BlockId, block: &BlockRecord) -> bool {
        let us = &self.settings.node;
        let serves = |node: &String| {
            self.reachability
                .can_serve_zone(self.now, us, node, &block.zone)
        };
        if serves(&block.holder) && !self.reachability.holder_hears_none(us, &block.holder, id) {
            return true;
        }
        !self.view.members.keys().any(serves)
    }

    /// The first of a block's lists that has room for a machine, with the machine
    /// added; a new list if needed. `None` if the machine alone is too large.
    fn list_with_room(
        &self,
        id: BlockId,
        lists: &Lists,
        machine: MachineListEntry,
    ) -> Option<((BlockId, u32), Vec<MachineListEntry>)> {
        (0..=self.next_list_number(id, lists)).find_map(|list_number| {
            let at = (id, list_number);
            let planned = lists.get(&at).cloned();
            let mut list = planned.unwrap_or_else(|| self.current_list(id, list_number));
            list.push(machine.clone());
            self.list_fits(id, &list).then_some((at, list))
        })
    }

    fn current_list(&self, id: BlockId, list_number: u32) -> Vec<MachineListEntry> {
        let listing = self.view.machine_lists.get(&(id, list_number));
        let machine = |name: &String| {
            let record = self.view.machines.get(name)?;
            Some(MachineListEntry {
                name: name.clone(),
                kind: record.kind.clone(),
                spot: record.spot,
                addr: record.addr.clone(),
            })
        };
        let names = listing.into_iter().flat_map(|l| &l.names);
        names.filter_map(machine).collect()
    }

    pub(crate) fn machine_lists_written(&mut self, txn: &Txn, outcome: Outcome) {
        let now = self.now;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(mut write) = leader.list_write.take_if(|w| w.txn == *txn) {
            write.in_doubt |= outcome == Outcome::Unknown;
            write.impossible = outcome == Outcome::Impossible;
            let step = WriteStep::after(outcome, write.in_doubt, now);
            leader.list_write = step.map(|step| MachineListWrite { step, ..write });
        }
    }
}

fn list_entry(report: &Report) -> MachineListEntry {
    MachineListEntry {
        name: report.machine.clone(),
        kind: report.kind.clone(),
        spot: report.spot,
        addr: report.addr.clone(),
    }
}
