//! Which machines are in which block: written by the leader alone, for many
//! machines at a time. What does not fit a block's record goes into further
//! ones.
//!
//! A machine must never be in two blocks. Only one write is under way, and one
//! without an answer is sent again with the same conditions until it is
//! settled, so what the next one builds upon is known.

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

/// Most lists in one write, and most machines in them: a transaction has a
/// limit in bytes.
const MOST_LISTS: usize = 8;
const MOST_MACHINES: usize = 250;
/// What a machine takes in its block's list at the first level, in bytes, at
/// most.
const ENTRY_BYTES: f64 = 200.0;

/// How long it takes at least from one write to the next while writes are
/// short: a machine that has come up waits for it, one that is gone does not
/// mind at all. Most lists change for a single machine otherwise, and each
/// costs a write.
const GATHER: Duration = Duration::from_millis(400);
const GATHER_GONE: Duration = Duration::from_millis(2000);

/// A write under way.
#[derive(Debug)]
pub(crate) struct MachineListWrite {
    txn: Txn,
    step: WriteStep,
    /// It, or one before it on the same conditions, has got no answer.
    in_doubt: bool,
    /// The service does not take it as it is.
    impossible: bool,
}

/// Lists to be written: by block and number.
type Lists = BTreeMap<(BlockId, u32), Vec<MachineListEntry>>;

impl Controller {
    /// How many machines a block may have: enough blocks that each controller
    /// has several to give away, and few enough that leasing them anew after
    /// a crash takes few writes.
    fn block_size(&self) -> usize {
        let waiting = self.leader.as_ref().map_or(0, |l| l.reports.len());
        let machines = self.view.machines.len() + waiting;
        let blocks = self.settings.peers_and_me() * self.tuning.blocks_each;
        let mut most = self.tuning.block_most;
        if self.level() < FormatLevel::PIPELINES {
            let fits = self.limits().value_kb * 1024.0 / ENTRY_BYTES;
            most = most.min(fits as usize);
        }
        machines
            .div_ceil(blocks.max(1))
            .clamp(self.tuning.block_least.min(most), most)
    }

    /// Takes machines that have reported into blocks of their zone, and
    /// removes those that are surely gone.
    pub(crate) fn update_machine_lists(&mut self) {
        let now = self.now;
        let revision = self.view.revision;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(write) = &leader.lists {
            match write.step {
                WriteStep::VisibleAt(shown) if revision >= shown => leader.lists = None,
                WriteStep::Retry(at) if now >= at => return self.repeat_lists(),
                _ => return,
            }
        }
        let since = now.saturating_sub(leader.lists_at);
        let due = if leader.reports.is_empty() {
            let mut gone = self.fleet.gone.keys();
            since >= GATHER_GONE && gone.any(|name| self.view.machines.contains_key(name))
        } else {
            since >= GATHER || self.has_spare_writes()
        };
        if !due {
            return;
        }
        let (lists, full) = self.new_lists();
        for zone in full {
            self.new_block(zone);
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
        if self.send_txn(txn.clone(), Purpose::Lists, Urgency::Safety)
            && let Some(leader) = &mut self.leader
        {
            leader.lists_at = self.now;
            leader.lists = Some(MachineListWrite {
                txn,
                step: WriteStep::Sent,
                in_doubt,
                impossible: false,
            });
        }
    }

    /// Sends a write that got no answer once more. If it is larger than the
    /// service takes by now, its repeat proves nothing: the first of its lists
    /// is written as it was instead, which keeps the other from ever taking
    /// effect or finds that it has.
    fn repeat_lists(&mut self) {
        let write = self.leader.as_ref().and_then(|l| l.lists.as_ref());
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
            // The view shows that it has changed, so the write is settled.
            if let Some(leader) = &mut self.leader {
                leader.lists = None;
            }
            return;
        }
        let mut lists = Lists::from([((id, list_number), self.list_of(id, list_number))]);
        if self.cut_to_size(&mut lists) {
            log::info!("block {id}: a write in doubt is too large by now and is settled");
            self.write_lists(lists);
            if let Some(write) = self.leader.as_mut().and_then(|l| l.lists.as_mut()) {
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

    /// Most lists in one write.
    fn most_lists(&self) -> usize {
        MOST_LISTS.min(self.limits().txn_ops)
    }

    /// The number of a list that a block does not have yet.
    fn next_list_number(&self, id: BlockId, lists: &Lists) -> u32 {
        let all = (id, 0)..=(id, u32::MAX);
        let known = self.view.machine_lists.range(all.clone()).next_back();
        let planned = lists.range(all).next_back();
        let last = known.map(|(at, _)| at.1).max(planned.map(|(at, _)| at.1));
        last.map_or(0, |last| last + 1)
    }

    /// Lists may have been written when larger ones were allowed: what does
    /// not fit goes into further lists in the same write. These come later in
    /// the order of the keys, so that a first read, which reads page after
    /// page, never misses a machine that moves meanwhile. False if that takes
    /// more lists than one write can hold.
    fn cut_to_size(&self, lists: &mut Lists) -> bool {
        for at in lists.keys().copied().collect::<Vec<_>>() {
            let (id, _) = at;
            let mut from = at;
            while let Some(list) = lists.get_mut(&from).filter(|l| !self.list_fits(id, l)) {
                let mut over = Vec::new();
                while !self.list_fits(id, list) {
                    over.extend(list.pop());
                }
                from = (id, self.next_list_number(id, lists));
                lists.insert(from, over);
            }
        }
        lists.len() <= self.most_lists()
    }

    /// The lists that have to change, and the zones in which all blocks are
    /// full.
    fn new_lists(&self) -> (Lists, BTreeSet<String>) {
        let mut lists = Lists::new();
        let mut full = BTreeSet::new();
        let most = self.most_lists();
        let size = self.block_size();
        let has_room = |lists: &Lists, at: &(BlockId, u32)| {
            let machines: usize = lists.values().map(Vec::len).sum();
            lists.contains_key(at) || (lists.len() < most && machines < MOST_MACHINES)
        };
        for name in self.fleet.gone.keys() {
            let Some(machine) = self.view.machines.get(name) else {
                continue;
            };
            let at = (machine.block, machine.list_number);
            if !has_room(&lists, &at) {
                continue;
            }
            let mut trial = lists.clone();
            let list = trial.entry(at).or_insert_with(|| self.list_of(at.0, at.1));
            list.retain(|m| m.name != *name);
            if self.cut_to_size(&mut trial) {
                lists = trial;
            }
        }
        let mut taken: BTreeSet<&str> = BTreeSet::new();
        let reports = self.leader.iter().flat_map(|l| &l.reports);
        for (_, report, _) in reports {
            let known = self.view.machines.contains_key(&report.machine);
            if known || self.fleet.returning(&report.machine) || !taken.insert(&report.machine) {
                continue;
            }
            // How many a block has by the lists as they will be.
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
                .filter(|(id, b)| self.may_hear_new(**id, &b.record))
                .peekable();
            if open.peek().is_none() {
                full.insert(report.zone.clone());
                continue;
            }
            // What this write can't hold goes into the next.
            let place = open.find_map(|(id, _)| {
                let (at, list) = self.list_with(*id, &lists, listed(report))?;
                has_room(&lists, &at).then_some((at, list))
            });
            if let Some((at, list)) = place {
                lists.insert(at, list);
            }
        }
        (lists, full)
    }

    /// Whether the holder of a block may hear a machine that comes into it; true where
    /// no controller may.
    fn may_hear_new(&self, id: BlockId, block: &BlockRecord) -> bool {
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

    /// The first of a block's lists that has room for a machine, with it; a
    /// new one if need be. None if the machine alone is too large.
    fn list_with(
        &self,
        id: BlockId,
        lists: &Lists,
        machine: MachineListEntry,
    ) -> Option<((BlockId, u32), Vec<MachineListEntry>)> {
        (0..=self.next_list_number(id, lists)).find_map(|list_number| {
            let at = (id, list_number);
            let planned = lists.get(&at).cloned();
            let mut list = planned.unwrap_or_else(|| self.list_of(id, list_number));
            list.push(machine.clone());
            self.list_fits(id, &list).then_some((at, list))
        })
    }

    fn list_of(&self, id: BlockId, list_number: u32) -> Vec<MachineListEntry> {
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
        if let Some(mut write) = leader.lists.take_if(|w| w.txn == *txn) {
            write.in_doubt |= outcome == Outcome::Unknown;
            write.impossible = outcome == Outcome::Impossible;
            let step = WriteStep::after(outcome, write.in_doubt, now);
            leader.lists = step.map(|step| MachineListWrite { step, ..write });
        }
    }
}

fn listed(report: &Report) -> MachineListEntry {
    MachineListEntry {
        name: report.machine.clone(),
        kind: report.kind.clone(),
        spot: report.spot,
        addr: report.addr.clone(),
    }
}
