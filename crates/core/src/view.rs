//! The controller's copy of the records, kept whole by watches.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

use oliveshift_wire::{
    JobId,
    job::JobSpec,
    state::{Event, Item},
};
use rmpv::Value;

use crate::records::{
    BlockId, BlockRecord, ChunkRecord, JobRecord, Key, MachineList, MachineRecord, MemberRecord,
    Phase, Place, from_value,
};

/// A job as recorded.
#[derive(Clone, Debug)]
pub struct Job {
    /// The version of `job/ID`; 0 while only chunks were seen.
    pub version: u64,
    /// Its phase.
    pub phase: Phase,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks in a chunk.
    pub chunk: u32,
    /// When it was accepted.
    pub at_ms: u64,
    /// The description, unless compacted.
    pub spec: Option<Rc<JobSpec>>,
    /// The chunks that have a record.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Tasks done.
    pub done: u32,
    /// Tasks handed to each block.
    pub handed: BTreeMap<BlockId, u32>,
}

/// A chunk as recorded.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    /// The version of its record.
    pub version: u64,
    /// Where its tasks are.
    pub places: Vec<Place>,
}

impl Job {
    /// Tasks handed and not done or given back.
    pub fn handed_total(&self) -> u32 {
        self.handed.values().sum()
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> u32 {
        self.tasks
            .saturating_sub(self.done)
            .saturating_sub(self.handed_total())
    }

    /// The first task of a chunk and how many it has.
    pub fn chunk_span(&self, part: u32) -> (u32, usize) {
        let first = part.saturating_mul(self.chunk);
        let count = self.tasks.saturating_sub(first).min(self.chunk);
        (first, count as usize)
    }

    /// The chunk that a task is in.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk.max(1)
    }

    /// How many chunks there are.
    pub fn chunk_count(&self) -> u32 {
        self.tasks.div_ceil(self.chunk.max(1))
    }

    /// Where a task is.
    pub fn place(&self, index: u32) -> Place {
        let part = self.chunk_of(index);
        let first = part * self.chunk;
        self.chunks
            .get(&part)
            .and_then(|c| c.places.get((index - first) as usize))
            .copied()
            .unwrap_or_default()
    }

    /// Whether nothing of it is left to do or to clean up.
    pub fn settled(&self) -> bool {
        self.phase != Phase::Open && self.spec.is_none() && self.chunks.is_empty()
    }

    fn count(&mut self, part: u32, add: bool) {
        let Some(chunk) = self.chunks.get(&part) else {
            return;
        };
        for place in &chunk.places {
            match place {
                Place::Waiting => {}
                Place::Done if add => self.done += 1,
                Place::Done => self.done = self.done.saturating_sub(1),
                Place::Handed { block, .. } if add => *self.handed.entry(*block).or_default() += 1,
                Place::Handed { block, .. } => {
                    let left = self.handed.get(block).map_or(0, |n| n.saturating_sub(1));
                    if left == 0 {
                        self.handed.remove(block);
                    } else {
                        self.handed.insert(*block, left);
                    }
                }
            }
        }
    }
}

/// A versioned record.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The version.
    pub version: u64,
    /// The record.
    pub record: T,
}

/// All records.
#[derive(Debug, Default)]
pub struct View {
    /// All changes up to here are in.
    pub revision: u64,
    /// Who leads.
    pub leader: Option<Versioned<MemberRecord>>,
    /// Who is up.
    pub members: BTreeMap<String, Versioned<MemberRecord>>,
    /// The blocks.
    pub blocks: BTreeMap<BlockId, Versioned<BlockRecord>>,
    /// The machines.
    pub machines: BTreeMap<String, MachineRecord>,
    /// The machines of each block.
    pub in_block: BTreeMap<BlockId, BTreeSet<String>>,
    /// The version of each block's list of machines.
    pub lists: BTreeMap<BlockId, u64>,
    /// Machines that the last change has brought or taken.
    pub news: Vec<String>,
    /// The jobs.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs on which something is left to do.
    pub active: BTreeSet<JobId>,
    /// The operators' settings.
    pub settings: Option<Versioned<Value>>,
}

impl View {
    /// Takes a key from a page of a first read.
    pub fn load(&mut self, item: Item) -> Option<Key> {
        self.put(&item.key, item.value, item.version)
    }

    /// Takes a change; returns the key if it was news.
    pub fn apply(&mut self, event: Event) -> Option<Key> {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.put(&key, value, version),
            Event::Delete { key, version } => self.delete(&key, version),
        }
    }

    fn version(&self, key: &Key) -> u64 {
        match key {
            Key::Leader => self.leader.as_ref().map_or(0, |r| r.version),
            Key::Member(name) => self.members.get(name).map_or(0, |r| r.version),
            Key::Block(id) => self.blocks.get(id).map_or(0, |r| r.version),
            Key::Machines(id) => self.lists.get(id).copied().unwrap_or(0),
            Key::Job(id) => self.jobs.get(id).map_or(0, |j| j.version),
            Key::Chunk(id, part) => self.chunk_version(id, *part),
            Key::Settings => self.settings.as_ref().map_or(0, |r| r.version),
        }
    }

    /// The version of a chunk's record; 0: none.
    pub fn chunk_version(&self, id: &JobId, part: u32) -> u64 {
        self.jobs
            .get(id)
            .and_then(|j| j.chunks.get(&part))
            .map_or(0, |c| c.version)
    }

    fn put(&mut self, path: &str, value: Value, version: u64) -> Option<Key> {
        let key = Key::parse(path)?;
        // Pages of a first read may be newer than the changes read after it.
        if self.version(&key) >= version {
            return None;
        }
        match &key {
            Key::Leader => {
                let record = from_value(value)?;
                self.leader = Some(Versioned { version, record });
            }
            Key::Member(name) => {
                let record = from_value(value)?;
                self.members
                    .insert(name.clone(), Versioned { version, record });
            }
            Key::Block(id) => {
                let record = from_value(value)?;
                self.blocks.insert(*id, Versioned { version, record });
            }
            Key::Machines(id) => {
                let list: MachineList = from_value(value)?;
                self.put_list(*id, list, version);
            }
            Key::Job(id) => {
                let record: JobRecord = from_value(value)?;
                self.put_job(id, record, version);
            }
            Key::Chunk(id, part) => {
                let record: ChunkRecord = from_value(value)?;
                let job = self.jobs.get_mut(id)?;
                let (first, count) = job.chunk_span(*part);
                job.count(*part, false);
                let places = record.unpack(first, count);
                job.chunks.insert(*part, Chunk { version, places });
                job.count(*part, true);
                self.refresh(id);
            }
            Key::Settings => {
                self.settings = Some(Versioned {
                    version,
                    record: value,
                });
            }
        }
        Some(key)
    }

    /// Follows a block's list; the machines that came or went are `news`.
    fn put_list(&mut self, id: BlockId, list: MachineList, version: u64) {
        self.lists.insert(id, version);
        let old = self.in_block.remove(&id).unwrap_or_default();
        let mut names = BTreeSet::new();
        for machine in list.machines {
            names.insert(machine.name.clone());
            if old.contains(&machine.name) {
                continue;
            }
            self.news.push(machine.name.clone());
            let record = MachineRecord {
                block: id,
                kind: machine.kind,
                zone: list.zone.clone(),
                spot: machine.spot,
                addr: machine.addr,
            };
            self.machines.insert(machine.name, record);
        }
        for name in old.difference(&names) {
            self.machines.remove(name);
            self.news.push(name.clone());
        }
        self.in_block.insert(id, names);
    }

    fn put_job(&mut self, id: &JobId, record: JobRecord, version: u64) {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: 0,
            phase: record.phase,
            tasks: record.tasks,
            chunk: record.chunk,
            at_ms: record.at_ms,
            spec: None,
            chunks: BTreeMap::new(),
            done: 0,
            handed: BTreeMap::new(),
        });
        job.version = version;
        job.phase = record.phase;
        // The description never changes, so one copy serves all versions.
        match record.spec {
            Some(spec) if job.spec.is_none() => job.spec = Some(Rc::new(spec)),
            Some(_) => {}
            None => job.spec = None,
        }
        self.refresh(id);
    }

    fn refresh(&mut self, id: &JobId) {
        let settled = self.jobs.get(id).is_none_or(Job::settled);
        if settled {
            self.active.remove(id);
        } else {
            self.active.insert(id.clone());
        }
    }

    fn delete(&mut self, path: &str, version: u64) -> Option<Key> {
        let key = Key::parse(path)?;
        let have = self.version(&key);
        if have == 0 || have >= version {
            return None;
        }
        match &key {
            Key::Leader => self.leader = None,
            Key::Member(name) => {
                self.members.remove(name);
            }
            Key::Block(id) => {
                self.blocks.remove(id);
            }
            Key::Machines(id) => {
                self.put_list(*id, MachineList::default(), version);
                self.lists.remove(id);
            }
            Key::Job(id) => {
                self.jobs.remove(id);
                self.refresh(id);
            }
            Key::Chunk(id, part) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    // What a job that is over has done is kept as a number.
                    let done = job.done;
                    job.count(*part, false);
                    if job.phase != Phase::Open {
                        job.done = done;
                    }
                    job.chunks.remove(part);
                }
                self.refresh(id);
            }
            Key::Settings => self.settings = None,
        }
        Some(key)
    }

    /// A job's description, while something of it is left to do.
    pub fn spec(&self, id: &JobId) -> Option<&Rc<JobSpec>> {
        self.jobs.get(id)?.spec.as_ref()
    }

    /// How many machines a block has.
    pub fn count_in(&self, id: &BlockId) -> usize {
        self.in_block.get(id).map_or(0, BTreeSet::len)
    }

    /// Whether a block's holder is up in the incarnation that was given it.
    pub fn holder_is_up(&self, block: &BlockRecord) -> bool {
        self.members
            .get(&block.holder)
            .is_some_and(|m| m.record.incarnation == block.incarnation)
    }
}
