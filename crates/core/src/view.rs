//! The controller's copy of the records, kept up to date by watches.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use oliveshift_policy::graph::{
    AwaitedState, DependencyGraph, EffectivePriority, JobDemand, Readiness,
};
use oliveshift_wire::{
    JobId,
    job::{JobSpec, Priority, Shape},
    state::Event,
};
use rmpv::Value;

use crate::admission_shares::AdmissionRecord;
use crate::fencing::LeaseTokens;
use crate::minimum_shares::Flow;
use crate::records::{
    BlockId, BlockRecord, ChunkRecord, FormatLevel, FormatRecord, JobRecord, Key, LevelRecord,
    MachineListEntry, MachineListRecord, MachineRecord, MemberRecord, Phase, SpecOverflowRecord,
    TaskStatus, Term, from_value,
};

/// A job as recorded, combined with the state of the jobs that it awaits.
#[derive(Clone, Debug)]
pub struct Job {
    /// The version of `job/ID`.
    pub version: u64,
    /// Its phase. Also cancelled if a job that it awaits is cancelled, even before its
    /// own record says so.
    pub phase: Phase,
    /// Whether it is open and awaits a job that is not done, or its description is not
    /// complete yet.
    pub waits_for_dependencies: bool,
    /// How many tasks it has.
    pub tasks: u32,
    /// How many tasks each chunk holds.
    pub chunk_size: u32,
    /// When it was accepted, in ms of wall-clock time.
    pub accepted_ms: u64,
    /// When the last job that it awaits was done; the time of acceptance if it awaits
    /// none.
    pub ready_ms: u64,
    /// When it was done, if known.
    pub done_ms: Option<u64>,
    /// The description, unless it is incomplete or has been removed by compaction.
    pub spec: Option<Rc<JobSpec>>,
    /// The flow that it belongs to; known once a description has been seen.
    pub flow: Option<Flow>,
    /// Whether it is known to be a service.
    pub service: bool,
    /// How many records hold the rest of the description.
    pub spec_overflow_count: u32,
    /// The description without its overflow, until all overflow records are there.
    partial_spec: Option<Box<JobSpec>>,
    /// The overflow records seen so far, by number.
    pub spec_overflow: BTreeMap<u32, SpecOverflow>,
    /// The chunks that have a record, by number.
    pub chunks: BTreeMap<u32, Chunk>,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks are assigned to each block.
    pub assigned: BTreeMap<BlockId, u32>,
}

/// A record that holds part of a description.
#[derive(Clone, Debug, Default)]
pub struct SpecOverflow {
    /// Its version.
    pub version: u64,
    /// The record; taken out once the description is complete.
    record: Option<SpecOverflowRecord>,
}

/// A chunk as recorded.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    /// The version of its record.
    pub version: u64,
    /// The status of each of its tasks.
    pub task_statuses: Vec<TaskStatus>,
}

impl Job {
    /// How many tasks are assigned to any block.
    pub fn assigned_total(&self) -> u32 {
        self.assigned.values().sum()
    }

    /// How many tasks are waiting to be assigned.
    pub fn waiting(&self) -> u32 {
        self.tasks
            .saturating_sub(self.done)
            .saturating_sub(self.assigned_total())
    }

    /// The index of a chunk's first task, and the number of its tasks.
    pub fn chunk_span(&self, part: u32) -> (u32, usize) {
        let first = part.saturating_mul(self.chunk_size);
        let count = self.tasks.saturating_sub(first).min(self.chunk_size);
        (first, count as usize)
    }

    /// The number of the chunk that holds a task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk_size.max(1)
    }

    /// How many chunks the job has, with or without a record.
    pub fn chunk_count(&self) -> u32 {
        self.tasks.div_ceil(self.chunk_size.max(1))
    }

    /// The status of a task; waiting if its chunk has no record.
    pub fn task_status(&self, index: u32) -> TaskStatus {
        let part = self.chunk_of(index);
        let first = part * self.chunk_size;
        self.chunks
            .get(&part)
            .and_then(|c| c.task_statuses.get((index - first) as usize))
            .copied()
            .unwrap_or_default()
    }

    /// Whether the job is over and its description, overflow and chunks are gone from
    /// the records.
    pub fn is_cleaned_up(&self) -> bool {
        self.phase != Phase::Open
            && self.spec.is_none()
            && self.chunks.is_empty()
            && self.spec_overflow.is_empty()
    }

    /// Whether all tasks are recorded as done while the job is still open.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::Open && self.done >= self.tasks
    }

    /// Its record without the description, the overflow and the service flag.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            phase: self.phase,
            tasks: self.tasks,
            accepted_ms: self.accepted_ms,
            chunk_size: self.chunk_size,
            spec: None,
            spec_overflow_count: 0,
            done_ms: self.done_ms,
            service: false,
        }
    }

    /// Its state for the jobs that await it.
    fn awaited_state(&self) -> AwaitedState {
        match self.phase {
            Phase::Open => AwaitedState::Open,
            Phase::Done => AwaitedState::Done(Duration::from_millis(self.done_ms.unwrap_or(0))),
            Phase::Cancelled => AwaitedState::Cancelled,
        }
    }

    /// Adds the tasks of a chunk to the job's counts, or subtracts them.
    fn count_chunk(&mut self, part: u32, add: bool) {
        let Some(chunk) = self.chunks.get(&part) else {
            return;
        };
        for status in &chunk.task_statuses {
            match status {
                TaskStatus::Waiting => {}
                TaskStatus::Done if add => self.done += 1,
                TaskStatus::Done => self.done = self.done.saturating_sub(1),
                TaskStatus::Assigned { block, .. } if add => {
                    *self.assigned.entry(*block).or_default() += 1
                }
                TaskStatus::Assigned { block, .. } => {
                    let left = self.assigned.get(block).map_or(0, |n| n.saturating_sub(1));
                    if left == 0 {
                        self.assigned.remove(block);
                    } else {
                        self.assigned.insert(*block, left);
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

/// One of a block's lists of machines, as recorded.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its version.
    pub version: u64,
    /// The machines' names.
    pub names: BTreeSet<String>,
}

/// All records as of one revision, with indexes over them.
#[derive(Debug, Default)]
pub struct View {
    /// The revision up to which all changes are applied.
    pub revision: u64,
    /// The leader.
    pub leader: Option<Versioned<MemberRecord>>,
    /// The members: the controllers that are up.
    pub members: BTreeMap<String, Versioned<MemberRecord>>,
    /// The blocks.
    pub blocks: BTreeMap<BlockId, Versioned<BlockRecord>>,
    /// The machines.
    pub machines: BTreeMap<String, MachineRecord>,
    /// The names of each block's machines, over all of its lists.
    pub machines_by_block: BTreeMap<BlockId, BTreeSet<String>>,
    /// The lists of machines, by block and list number.
    pub machine_lists: BTreeMap<(BlockId, u32), Listing>,
    /// Machines added or removed by the latest changes, for the caller to take.
    pub changed_machines: Vec<String>,
    /// The jobs.
    pub jobs: HashMap<JobId, Job>,
    /// Jobs whose newest record this program can't read: they exist, and nothing more is known.
    pub unreadable_jobs: BTreeSet<JobId>,
    /// Jobs on which something is left to do now. Jobs that wait for others are not
    /// among them.
    pub active: BTreeSet<JobId>,
    /// The dependencies between the open jobs.
    graph: DependencyGraph<JobId>,
    /// The operators' settings.
    pub settings: Option<Versioned<Value>>,
    /// The format level in which all controllers write.
    pub format: Option<Versioned<FormatRecord>>,
    /// The highest format level of each controller.
    pub levels: BTreeMap<String, Versioned<LevelRecord>>,
    /// What each controller may admit.
    pub admission: Option<Versioned<AdmissionRecord>>,
    /// The version of the record that says that the lowered limits apply; 0 if there
    /// is none.
    pub lowered_limits_version: u64,
    /// The fault injected by a test.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<crate::Sabotage>,
}

impl View {
    /// The fencing tokens of the lease of a block under `term`. Only the term itself if the
    /// block is not leased under it any more.
    pub fn lease_tokens(&self, block: BlockId, term: Term) -> LeaseTokens {
        let is_in_force = self.blocks.get(&block).is_some_and(|b| b.version == term);
        LeaseTokens::new(term, if is_in_force { self.revision } else { term })
    }

    /// Applies a change. Returns its key, or `None` if the change was already known or
    /// can't be read.
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
            Key::Machines(id, list_number) => self.machine_list_version(*id, *list_number),
            Key::Job(id) => self.jobs.get(id).map_or(0, |j| j.version),
            Key::SpecOverflow(id, number) => {
                let spec_overflow = self.jobs.get(id).map(|j| &j.spec_overflow);
                spec_overflow
                    .and_then(|p| p.get(number))
                    .map_or(0, |p| p.version)
            }
            Key::Chunk(id, part) => self.chunk_version(id, *part),
            Key::Settings => self.settings.as_ref().map_or(0, |r| r.version),
            Key::Format => self.format.as_ref().map_or(0, |r| r.version),
            Key::FormatLevel(name) => self.level_version(name),
            Key::LoweredLimits => self.lowered_limits_version,
            Key::Admission => self.admission.as_ref().map_or(0, |r| r.version),
        }
    }

    /// Whether no format, controller, block, machine list or job is recorded.
    pub fn is_empty(&self) -> bool {
        self.leader.is_none()
            && self.format.is_none()
            && self.members.is_empty()
            && self.levels.is_empty()
            && self.blocks.is_empty()
            && self.machine_lists.is_empty()
            && self.jobs.is_empty()
    }

    /// The version of one of a block's lists; 0 if there is none.
    pub fn machine_list_version(&self, id: BlockId, list_number: u32) -> u64 {
        self.machine_lists
            .get(&(id, list_number))
            .map_or(0, |l| l.version)
    }

    /// The version of a controller's level record; 0 if there is none.
    pub fn level_version(&self, node: &str) -> u64 {
        self.levels.get(node).map_or(0, |r| r.version)
    }

    /// The format level in which all controllers write.
    pub fn level(&self) -> FormatLevel {
        let format = self.format.as_ref();
        format.map_or(FormatLevel::FIRST, |f| f.record.level)
    }

    /// The version of a chunk's record; 0 if there is none.
    pub fn chunk_version(&self, id: &JobId, part: u32) -> u64 {
        self.jobs
            .get(id)
            .and_then(|j| j.chunks.get(&part))
            .map_or(0, |c| c.version)
    }

    fn put(&mut self, path: &str, value: Value, version: u64) -> Option<Key> {
        let key = Key::parse(path)?;
        // Later pages of a read of all records may be newer than the changes that are
        // applied after them.
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
            Key::Machines(id, list_number) => {
                let list = MachineListRecord::from_value(value)?;
                let (zone, machines) = list.into_parts();
                self.put_machine_list(*id, *list_number, &zone, machines, version);
            }
            Key::Job(id) => {
                let Some(record) = from_value::<JobRecord>(value) else {
                    self.unreadable_jobs.insert(id.clone());
                    return None;
                };
                self.unreadable_jobs.remove(id);
                self.put_job(id, record, version);
            }
            Key::SpecOverflow(id, number) => {
                let record = Some(from_value(value)?);
                let job = self.jobs.get_mut(id)?;
                job.spec_overflow
                    .insert(*number, SpecOverflow { version, record });
                self.assemble_spec(id);
                self.update_active(id);
            }
            Key::Chunk(id, part) => {
                let record = ChunkRecord::from_value(value)?;
                let job = self.jobs.get_mut(id)?;
                let (first, count) = job.chunk_span(*part);
                let task_statuses = record.unpack(first, count)?;
                job.count_chunk(*part, false);
                job.chunks.insert(
                    *part,
                    Chunk {
                        version,
                        task_statuses,
                    },
                );
                job.count_chunk(*part, true);
                self.update_active(id);
            }
            Key::Settings => {
                self.settings = Some(Versioned {
                    version,
                    record: value,
                });
            }
            Key::Format => {
                let record = from_value(value)?;
                self.format = Some(Versioned { version, record });
            }
            Key::FormatLevel(name) => {
                let record = from_value(value)?;
                self.levels
                    .insert(name.clone(), Versioned { version, record });
            }
            Key::LoweredLimits => self.lowered_limits_version = version,
            Key::Admission => {
                let record = from_value(value)?;
                self.admission = Some(Versioned { version, record });
            }
        }
        Some(key)
    }

    /// Applies one of a block's lists and notes added and removed machines in
    /// `changed_machines`. A machine that has moved to another list is not removed.
    fn put_machine_list(
        &mut self,
        id: BlockId,
        list_number: u32,
        zone: &str,
        machines: Vec<MachineListEntry>,
        version: u64,
    ) {
        let mut listing = Listing {
            version,
            names: BTreeSet::new(),
        };
        for machine in machines {
            listing.names.insert(machine.name.clone());
            let record = MachineRecord {
                block: id,
                list_number,
                kind: machine.kind,
                zone: zone.to_owned(),
                spot: machine.spot,
                addr: machine.addr,
            };
            let block_machines = self.machines_by_block.entry(id).or_default();
            if block_machines.insert(machine.name.clone()) {
                self.changed_machines.push(machine.name.clone());
            }
            self.machines.insert(machine.name, record);
        }
        self.machines_by_block.entry(id).or_default();
        let names = listing.names.clone();
        let old = self
            .machine_lists
            .insert((id, list_number), listing)
            .unwrap_or_default();
        for name in old.names.difference(&names) {
            let is_listed_here = |m: &MachineRecord| (m.block, m.list_number) == (id, list_number);
            if self.machines.get(name).is_some_and(is_listed_here) {
                self.machines.remove(name);
                if let Some(block_machines) = self.machines_by_block.get_mut(&id) {
                    block_machines.remove(name);
                }
                self.changed_machines.push(name.clone());
            }
        }
    }

    fn put_job(&mut self, id: &JobId, record: JobRecord, version: u64) {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: 0,
            phase: Phase::Open,
            waits_for_dependencies: false,
            tasks: record.tasks,
            chunk_size: record.chunk_size,
            accepted_ms: record.accepted_ms,
            ready_ms: record.accepted_ms,
            done_ms: None,
            spec: None,
            flow: None,
            service: false,
            spec_overflow_count: 0,
            partial_spec: None,
            spec_overflow: BTreeMap::new(),
            chunks: BTreeMap::new(),
            done: 0,
            assigned: BTreeMap::new(),
        });
        job.version = version;
        // A job that was cancelled with a job that it awaits stays cancelled while its
        // own record still says that it is open.
        if record.phase != Phase::Open {
            job.phase = record.phase;
        }
        job.done_ms = record.done_ms;
        job.service |= record.service;
        job.spec_overflow_count = record.spec_overflow_count;
        job.partial_spec = None;
        // The description never changes, so the copy from an earlier version is kept.
        match record.spec {
            Some(spec) if job.spec.is_none() => {
                job.service = spec.shape == Shape::Service;
                job.flow = Some(Flow::of(&spec));
                if record.phase == Phase::Open && record.spec_overflow_count > 0 {
                    job.partial_spec = Some(Box::new(spec));
                } else {
                    job.spec = Some(Rc::new(spec));
                }
            }
            Some(_) => {}
            None => job.spec = None,
        }
        match job.phase {
            Phase::Open => self.assemble_spec(id),
            Phase::Done => {
                let at = Duration::from_millis(job.done_ms.unwrap_or(0));
                job.waits_for_dependencies = false;
                self.graph.done(id, at);
            }
            Phase::Cancelled => {
                job.waits_for_dependencies = false;
                if record.phase == Phase::Cancelled {
                    self.graph.cancelled(id);
                }
            }
        }
        self.apply_dependency_changes();
        self.update_active(id);
    }

    /// Adds an open job to the dependency graph once its description is complete.
    fn assemble_spec(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.phase == Phase::Open) else {
            return;
        };
        if let Some(partial_spec) = job
            .partial_spec
            .take_if(|_| job.spec_overflow.len() as u32 >= job.spec_overflow_count)
        {
            let spec_overflow = job.spec_overflow.values_mut().map(|p| p.record.take());
            let spec_overflow: Vec<_> = spec_overflow.flatten().collect();
            job.spec = JobRecord::join(*partial_spec, &spec_overflow).map(Rc::new);
        }
        let Some(spec) = job.spec.clone() else {
            job.waits_for_dependencies = true;
            return;
        };
        let arrived = Duration::from_millis(job.accepted_ms);
        let seconds = |s: f64| Duration::try_from_secs_f64(s).unwrap_or_default();
        let own = JobDemand {
            priority: spec.priority,
            length: seconds(spec.estimate_s),
            due: spec.deadline_s.map(|due| arrived + seconds(due)),
            arrived,
        };
        let awaits = spec.awaits.iter().map(|awaited| {
            let awaited_state = self
                .jobs
                .get(awaited)
                .map_or(AwaitedState::Open, Job::awaited_state);
            (awaited.clone(), awaited_state)
        });
        self.graph.open(id.clone(), own, awaits);
        self.update_readiness(id);
        self.apply_dependency_changes();
    }

    /// Updates the jobs whose readiness has changed with the jobs that they await.
    fn apply_dependency_changes(&mut self) {
        for id in self.graph.take_changed() {
            self.update_readiness(&id);
            self.update_active(&id);
        }
    }

    fn update_readiness(&mut self, id: &JobId) {
        let Some(standing) = self.graph.readiness(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        #[cfg(feature = "sabotage")]
        match (self.sabotage, standing) {
            (Some(crate::Sabotage::NoDependencies), Readiness::Waiting)
            | (Some(crate::Sabotage::NoCancelCascade), Readiness::Cancelled) => return,
            _ => {}
        }
        job.waits_for_dependencies = standing == Readiness::Waiting;
        match standing {
            Readiness::Waiting => {}
            Readiness::Ready(since) => job.ready_ms = since.as_millis() as u64,
            Readiness::Cancelled => job.phase = Phase::Cancelled,
        }
    }

    /// The priority and latest start of an open job, with the needs of the jobs that
    /// await it; `None` if it is not in the dependency graph.
    pub fn effective_priority(&self, id: &JobId) -> Option<EffectivePriority> {
        self.graph.effective_priority(id)
    }

    /// The effective priority of a job; its own if it is not in the dependency graph.
    pub fn priority(&self, id: &JobId, spec: &JobSpec) -> Priority {
        self.graph
            .effective_priority(id)
            .map_or(spec.priority, |c| c.priority)
    }

    fn update_active(&mut self, id: &JobId) {
        let is_inactive = |job: &Job| job.waits_for_dependencies || job.is_cleaned_up();
        if self.jobs.get(id).is_none_or(is_inactive) {
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
            Key::Machines(id, list_number) => {
                self.put_machine_list(*id, *list_number, "", Vec::new(), version);
                self.machine_lists.remove(&(*id, *list_number));
            }
            Key::Job(id) => {
                self.jobs.remove(id);
                self.unreadable_jobs.remove(id);
                self.update_active(id);
            }
            Key::SpecOverflow(id, number) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.spec_overflow.remove(number);
                }
                self.update_active(id);
            }
            Key::Chunk(id, part) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    // A job that is over keeps its count of done tasks.
                    let done = job.done;
                    job.count_chunk(*part, false);
                    if job.phase != Phase::Open {
                        job.done = done;
                    }
                    job.chunks.remove(part);
                }
                self.update_active(id);
            }
            Key::Settings => self.settings = None,
            Key::Format => self.format = None,
            Key::FormatLevel(name) => {
                self.levels.remove(name);
            }
            Key::LoweredLimits => self.lowered_limits_version = 0,
            Key::Admission => self.admission = None,
        }
        Some(key)
    }

    /// A job's description; `None` once it has been removed by compaction.
    pub fn spec(&self, id: &JobId) -> Option<&Rc<JobSpec>> {
        self.jobs.get(id)?.spec.as_ref()
    }

    /// The number of machines of a block.
    pub fn machine_count(&self, id: &BlockId) -> usize {
        self.machines_by_block.get(id).map_or(0, BTreeSet::len)
    }

    /// Whether a block's holder is up in the incarnation to which the block was leased.
    pub fn holder_is_up(&self, block: &BlockRecord) -> bool {
        self.members
            .get(&block.holder)
            .is_some_and(|m| m.record.incarnation == block.incarnation)
    }
}
