//! Which machines are in which block: one record a block, written by the
//! leader alone, for many machines at a time.
//!
//! A machine must never be in two blocks. Only one write is under way, and one
//! without an answer is sent again with the same conditions until it is
//! settled, so what the next one builds upon is known.

use std::collections::{BTreeMap, BTreeSet};

use oliveshift_wire::{
    state::{Change, Cond, Txn},
    worker::Report,
};

use crate::{
    controller::Controller,
    recorder::Step,
    records::{BlockId, Key, ListedMachine, MachineList, to_value},
    store::{Outcome, Purpose, Urgency},
};

/// Most blocks in one write, and most machines in their lists: a transaction
/// has a limit in bytes.
const MOST_BLOCKS: usize = 8;
const MOST_MACHINES: usize = 250;
/// What a machine takes in its block's list, in bytes, at most.
const ENTRY_BYTES: f64 = 200.0;

/// A write under way.
#[derive(Debug)]
pub(crate) struct ListWrite {
    txn: Txn,
    step: Step,
}

impl Controller {
    /// How many machines a block may have: enough blocks that each controller
    /// has several to give away, and few enough that leasing them anew after
    /// a crash takes few writes.
    fn block_size(&self) -> usize {
        let waiting = self.leader.as_ref().map_or(0, |l| l.reports.len());
        let machines = self.view.machines.len() + waiting;
        let blocks = self.settings.peers_and_me() * self.tuning.blocks_each;
        let fits = self.settings.params.state.value_kb * 1024.0 / ENTRY_BYTES;
        let most = self.tuning.block_most.min(fits as usize);
        machines
            .div_ceil(blocks.max(1))
            .clamp(self.tuning.block_least.min(most), most)
    }

    /// Takes machines that have reported into blocks of their zone, and
    /// removes those that are surely gone.
    pub(crate) fn keep_lists(&mut self) {
        let now = self.now;
        let revision = self.view.revision;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(write) = &mut leader.lists {
            match write.step {
                Step::Until(shown) if revision >= shown => leader.lists = None,
                Step::Again(at) if now >= at => {
                    let txn = write.txn.clone();
                    if self.txn(txn.clone(), Purpose::Lists, Urgency::Safety) {
                        self.note_lists(txn);
                    }
                    return;
                }
                _ => return,
            }
        }
        if self.fleet.gone.is_empty() && self.leader.as_ref().is_none_or(|l| l.reports.is_empty()) {
            return;
        }
        let (lists, full) = self.new_lists();
        for zone in full {
            self.new_block(zone);
        }
        let Some(lead) = self.leader_cond().filter(|_| !lists.is_empty()) else {
            return;
        };
        let mut txn = Txn {
            conds: vec![lead],
            changes: Vec::new(),
        };
        for (id, list) in &lists {
            let key = Key::Machines(*id).path();
            txn.conds.push(Cond {
                key: key.clone(),
                version: self.view.lists.get(id).copied().unwrap_or(0),
            });
            txn.changes.push(Change::Put {
                key,
                value: to_value(list),
                lease: None,
            });
        }
        if self.txn(txn.clone(), Purpose::Lists, Urgency::Safety) {
            self.note_lists(txn);
        }
    }

    /// A write of lists is under way.
    fn note_lists(&mut self, txn: Txn) {
        if let Some(leader) = &mut self.leader {
            let step = Step::Sent;
            leader.lists = Some(ListWrite { txn, step });
        }
    }

    /// The lists that have to change, and the zones in which all blocks are
    /// full.
    fn new_lists(&self) -> (BTreeMap<BlockId, MachineList>, BTreeSet<String>) {
        let mut lists: BTreeMap<BlockId, MachineList> = BTreeMap::new();
        let mut full = BTreeSet::new();
        let most = MOST_BLOCKS.min(self.settings.params.state.txn_ops);
        let size = self.block_size();
        let has_room = |lists: &BTreeMap<BlockId, MachineList>, id: &BlockId| {
            let machines: usize = lists.values().map(|l| l.machines.len()).sum();
            lists.contains_key(id) || (lists.len() < most && machines < MOST_MACHINES)
        };
        for name in self.fleet.gone.keys() {
            let Some(machine) = self.view.machines.get(name) else {
                continue;
            };
            let id = machine.block;
            if has_room(&lists, &id) {
                let list = lists.entry(id).or_insert_with(|| self.list_of(id));
                list.machines.retain(|m| m.name != *name);
            }
        }
        let mut taken: BTreeSet<&str> = BTreeSet::new();
        let reports = self.leader.iter().flat_map(|l| &l.reports);
        for (_, report, _) in reports {
            let known = self.view.machines.contains_key(&report.machine);
            if known || self.fleet.returning(&report.machine) || !taken.insert(&report.machine) {
                continue;
            }
            let count = |id: &BlockId| match lists.get(id) {
                Some(list) => list.machines.len(),
                None => self.view.count_in(id),
            };
            let blocks = self.view.blocks.iter();
            let mut open = blocks
                .filter(|(id, b)| b.record.zone == report.zone && count(id) < size)
                .peekable();
            if open.peek().is_none() {
                full.insert(report.zone.clone());
                continue;
            }
            // What this write can't hold goes into the next.
            let Some((id, _)) = open.find(|(id, _)| has_room(&lists, id)) else {
                continue;
            };
            let list = lists.entry(*id).or_insert_with(|| self.list_of(*id));
            list.machines.push(listed(report));
        }
        (lists, full)
    }

    fn list_of(&self, id: BlockId) -> MachineList {
        let names = self.view.in_block.get(&id).into_iter().flatten();
        let machine = |name: &String| {
            let record = self.view.machines.get(name)?;
            Some(ListedMachine {
                name: name.clone(),
                kind: record.kind.clone(),
                spot: record.spot,
                addr: record.addr.clone(),
            })
        };
        let zone = self.view.blocks.get(&id).map(|b| b.record.zone.clone());
        MachineList {
            zone: zone.unwrap_or_default(),
            machines: names.filter_map(machine).collect(),
        }
    }

    pub(crate) fn lists_written(&mut self, txn: &Txn, outcome: Outcome) {
        let step = Step::after(outcome, self.now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(write) = leader.lists.take_if(|w| w.txn == *txn) {
            leader.lists = step.map(|step| ListWrite { step, ..write });
        }
    }
}

fn listed(report: &Report) -> ListedMachine {
    ListedMachine {
        name: report.machine.clone(),
        kind: report.kind.clone(),
        spot: report.spot,
        addr: report.addr.clone(),
    }
}
