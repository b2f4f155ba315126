//! The records kept in the state service, the only state that survives a restart
//! of a controller: their keys, fields and stored forms.

use std::collections::BTreeMap;

use oliveshift_wire::{JobId, job::JobSpec, settings::StateLimits, state::json_len};
use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The prefix of all keys.
pub const KEY_PREFIX: &str = "oliveshift/";

/// The id of a block of machines. Tasks are assigned to a block, never to the
/// controller that holds it.
pub type BlockId = u32;
/// The version of a block's record, which its workers use as fencing token.
pub type Term = u64;

/// The format level of the records that a controller writes and can read. See
/// docs/design.md, "Two versions at once".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// The first format: jobs cannot await other jobs.
    pub const FIRST: Self = Self(1);
    /// Jobs can await other jobs, and records fit into 2 KiB.
    pub const PIPELINES: Self = Self(2);
    /// The highest level that this program reads and writes.
    pub const SUPPORTED: Self = Self::PIPELINES;
}

/// A parsed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The leader.
    Leader,
    /// A controller that is a member of the cluster.
    Member(String),
    /// The lease of a block.
    Block(BlockId),
    /// One of a block's lists of machines, by block and list number.
    Machines(BlockId, u32),
    /// A job.
    Job(JobId),
    /// Part of a job's description that does not fit into the job's record.
    SpecOverflow(JobId, u32),
    /// A chunk of a job's tasks.
    Chunk(JobId, u32),
    /// The operators' settings.
    Settings,
    /// The format level in which all controllers write.
    Format,
    /// The highest format level that a controller can read and write.
    FormatLevel(String),
    /// Marks that the lowered limits of the state service apply.
    LoweredLimits,
    /// What each controller may admit.
    Admission,
}

impl Key {
    /// The key as text, as the state service stores it.
    pub fn path(&self) -> String {
        match self {
            Self::Leader => format!("{KEY_PREFIX}leader"),
            Self::Member(name) => format!("{KEY_PREFIX}member/{name}"),
            Self::Block(id) => format!("{KEY_PREFIX}block/{id}"),
            Self::Machines(id, 0) => format!("{KEY_PREFIX}machines/{id}"),
            Self::Machines(id, list_number) => format!("{KEY_PREFIX}machines/{id}/{list_number}"),
            Self::Job(id) => format!("{KEY_PREFIX}job/{id}"),
            Self::SpecOverflow(id, k) => format!("{KEY_PREFIX}more/{id}/{k}"),
            Self::Chunk(id, part) => format!("{KEY_PREFIX}part/{id}/{part}"),
            Self::Settings => format!("{KEY_PREFIX}settings"),
            Self::Format => format!("{KEY_PREFIX}format"),
            Self::FormatLevel(name) => format!("{KEY_PREFIX}level/{name}"),
            Self::LoweredLimits => format!("{KEY_PREFIX}lowered"),
            Self::Admission => format!("{KEY_PREFIX}admission"),
        }
    }

    /// Parses a key; `None` if it is unknown to this program.
    pub fn parse(path: &str) -> Option<Self> {
        fn numbered<T: std::str::FromStr>(rest: &str) -> Option<(T, u32)> {
            let (id, number) = rest.split_once('/')?;
            Some((id.parse().ok()?, number.parse().ok()?))
        }
        let rest = path.strip_prefix(KEY_PREFIX)?;
        Some(match rest.split_once('/') {
            None => match rest {
                "leader" => Self::Leader,
                "settings" => Self::Settings,
                "format" => Self::Format,
                "lowered" => Self::LoweredLimits,
                "admission" => Self::Admission,
                _ => return None,
            },
            Some(("member", name)) => Self::Member(name.to_owned()),
            Some(("level", name)) => Self::FormatLevel(name.to_owned()),
            Some(("block", id)) => Self::Block(id.parse().ok()?),
            Some(("machines", rest)) => match rest.parse() {
                Ok(id) => Self::Machines(id, 0),
                Err(_) => numbered(rest).map(|(id, number)| Self::Machines(id, number))?,
            },
            Some(("job", id)) => Self::Job(id.parse().ok()?),
            Some(("more", rest)) => numbered(rest).map(|(id, k)| Self::SpecOverflow(id, k))?,
            Some(("part", rest)) => numbered(rest).map(|(id, k)| Self::Chunk(id, k))?,
            Some(_) => return None,
        })
    }
}

/// `format`: the format level in use, written once for each new level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The level that all controllers can read and write.
    pub level: FormatLevel,
}

/// `level/NAME`: the highest format level that a controller can read and write. The
/// record stays when the controller stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// The controller's level.
    pub level: FormatLevel,
    /// The incarnation that reported the level; 0 if an operator declared that the
    /// controller never returns.
    pub incarnation: u64,
}

/// `leader` and `member/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The controller's name.
    pub node: String,
    /// Its incarnation, which is new after each start.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
}

/// `block/ID`: the lease of a block. It is written only to lease the block, so its
/// version is the term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// The zone of all its machines.
    pub zone: String,
    /// The controller that holds it.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
}

/// `machines/ID`: a list of machines of a block. A machine is removed from it only
/// once it is known to be gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineListRecord {
    /// The form of the first level.
    Flat(FlatMachineList),
    /// The form from the second level on, half the size.
    Grouped(GroupedMachineList),
}

/// A list of machines in the form of the first level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlatMachineList {
    /// The zone of the block.
    pub zone: String,
    /// Its machines.
    pub machines: Vec<MachineListEntry>,
}

/// A list of machines in the form of the second level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupedMachineList {
    /// The zone of the block.
    pub zone: String,
    /// Its machines by type: on-demand machines, then spot machines, each with name
    /// and address.
    pub kinds: BTreeMap<String, [Vec<(String, String)>; 2]>,
}

/// A machine in a block's list. Its fields never change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineListEntry {
    /// The machine's name.
    pub name: String,
    /// The machine type.
    pub kind: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes orders.
    pub addr: String,
}

impl MachineListRecord {
    /// Creates a list in the form of the given level.
    pub fn new(level: FormatLevel, zone: String, machines: Vec<MachineListEntry>) -> Self {
        if level < FormatLevel::PIPELINES {
            return Self::Flat(FlatMachineList { zone, machines });
        }
        let mut kinds: BTreeMap<String, [Vec<_>; 2]> = BTreeMap::new();
        for machine in machines {
            let lists = kinds.entry(machine.kind).or_default();
            lists[usize::from(machine.spot)].push((machine.name, machine.addr));
        }
        Self::Grouped(GroupedMachineList { zone, kinds })
    }

    /// The value in the store.
    pub fn to_value(&self) -> Value {
        match self {
            Self::Flat(list) => to_list(list),
            Self::Grouped(list) => to_map(list),
        }
    }

    /// Reads either form.
    pub fn from_value(value: Value) -> Option<Self> {
        if value.is_map() {
            from_value(value).map(Self::Grouped)
        } else {
            from_value(value).map(Self::Flat)
        }
    }

    /// The zone and the machines, for either form.
    pub fn into_parts(self) -> (String, Vec<MachineListEntry>) {
        match self {
            Self::Flat(FlatMachineList { zone, machines }) => (zone, machines),
            Self::Grouped(GroupedMachineList { zone, kinds }) => {
                let mut machines = Vec::new();
                for (kind, lists) in kinds {
                    for (spot, list) in [false, true].into_iter().zip(lists) {
                        machines.extend(list.into_iter().map(|(name, addr)| MachineListEntry {
                            name,
                            kind: kind.clone(),
                            spot,
                            addr,
                        }));
                    }
                }
                (zone, machines)
            }
        }
    }
}

/// A machine as the records show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// The block that it belongs to.
    pub block: BlockId,
    /// The number of the block's list that names it.
    pub list_number: u32,
    /// The machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes orders.
    pub addr: String,
}

/// A job's phase as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted, neither done nor cancelled.
    Open,
    /// All tasks are done.
    Done,
    /// Cancelled.
    Cancelled,
}

/// `job/ID`: a job. The fields with a default were added with the second level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its phase.
    pub phase: Phase,
    /// How many tasks it has.
    pub tasks: u32,
    /// When it was accepted, in ms of wall-clock time; the queue is ordered by it.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
    /// How many tasks each chunk record holds.
    #[serde(rename = "chunk")]
    pub chunk_size: u32,
    /// The description; removed once the job is over and none of its tasks is assigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// How many records `more/ID/K` hold the rest of the description.
    #[serde(rename = "more", default, skip_serializing_if = "is_default")]
    pub spec_overflow_count: u32,
    /// When it was done, in ms of wall-clock time. Jobs that await it count their
    /// waiting time from then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<u64>,
    /// Whether the job is a service. Kept apart from the description, which may have
    /// been removed, because a service must not be awaited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub service: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// `more/ID/K`: the part of a description that does not fit into the job's record.
/// The parts are joined in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpecOverflowRecord {
    /// Allowed machine types.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub types: Vec<String>,
    /// Part of the packed ids of the awaited jobs, see [`pack_ids`].
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub awaits: String,
}

/// Why a job is too large to be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JobTooLarge {
    /// The record is too large even without its lists.
    #[error("the job's names are too long to be stored")]
    Names,
    /// The lists of machine types and awaited jobs need too many records.
    #[error("the job names more machine types and jobs than can be stored")]
    Lists,
}

impl JobRecord {
    /// The value as stored. At the first level it is a list, which must not have
    /// more fields than programs of that level know.
    pub fn to_value(&self, level: FormatLevel) -> Value {
        if level < FormatLevel::PIPELINES {
            to_list(self)
        } else {
            to_map(self)
        }
    }

    /// The records that store the job: this one alone if it fits into a value, or
    /// else this one without its lists, which go into overflow records.
    pub fn split(
        mut self,
        id: &JobId,
        level: FormatLevel,
        limits: &StateLimits,
    ) -> Result<Vec<(Key, Value)>, JobTooLarge> {
        let max_bytes = limits.value_bytes();
        let whole = self.to_value(level);
        if json_len(&whole) <= max_bytes {
            return Ok(vec![(Key::Job(id.clone()), whole)]);
        }
        let mut overflow = Vec::new();
        if let Some(spec) = &mut self.spec {
            let types = spec.types.as_mut().map(std::mem::take);
            let awaits = pack_ids(&std::mem::take(&mut spec.awaits));
            overflow =
                SpecOverflowRecord::split_lists(types.unwrap_or_default(), &awaits, max_bytes);
        }
        self.spec_overflow_count = overflow.len() as u32;
        let short = self.to_value(level);
        if json_len(&short) > max_bytes {
            return Err(JobTooLarge::Names);
        }
        let mut records = vec![(Key::Job(id.clone()), short)];
        records.extend(overflow.iter().enumerate().map(|(k, record)| {
            let key = Key::SpecOverflow(id.clone(), k as u32);
            (key, to_map(record))
        }));
        if records.len() > limits.txn_ops {
            return Err(JobTooLarge::Lists);
        }
        Ok(records)
    }

    /// Joins a description with its overflow records; `None` if the packed ids are
    /// malformed.
    pub fn join<'a>(
        mut spec: JobSpec,
        overflow_records: impl IntoIterator<Item = &'a SpecOverflowRecord>,
    ) -> Option<JobSpec> {
        let mut awaits = String::new();
        for record in overflow_records {
            if let Some(types) = &mut spec.types {
                types.extend(record.types.iter().cloned());
            }
            awaits += &record.awaits;
        }
        if !awaits.is_empty() {
            spec.awaits = unpack_ids(&awaits)?;
        }
        Some(spec)
    }

    /// The record of a cancelled job, without fields that are no longer needed if it
    /// exceeds `max_bytes`. It may have been written when larger values were allowed.
    pub fn trimmed(mut self, level: FormatLevel, max_bytes: usize) -> Self {
        if json_len(&self.to_value(level)) > max_bytes
            && let Some(spec) = &mut self.spec
        {
            spec.types = None;
            spec.awaits.clear();
        }
        if json_len(&self.to_value(level)) > max_bytes
            && let Some(spec) = &mut self.spec
        {
            spec.class.clear();
            spec.image.clear();
        }
        self
    }
}

impl SpecOverflowRecord {
    /// Splits the lists into records of at most `max_bytes` each.
    fn split_lists(types: Vec<String>, awaits: &str, max_bytes: usize) -> Vec<Self> {
        let mut records = vec![Self::default()];
        for kind in types {
            // A type adds at most its length in JSON and one byte for the comma.
            let last = records.last().map_or(0, |p| json_len(&to_map(p))) + "\"types\":[],".len();
            if last + json_len(&kind) + 1 > max_bytes {
                records.push(Self::default());
            }
            if let Some(record) = records.last_mut() {
                record.types.push(kind);
            }
        }
        let mut rest = awaits;
        while !rest.is_empty() {
            let last =
                records.last().map_or(0, |p| json_len(&to_map(p))) + ",\"awaits\":\"\"".len();
            let fits = max_bytes.saturating_sub(last).min(rest.len());
            let (now, later) = rest.split_at(fits);
            if let Some(record) = records.last_mut() {
                record.awaits.push_str(now);
            }
            rest = later;
            if !rest.is_empty() {
                records.push(Self::default());
            }
        }
        records
    }
}

/// Digits of the differences between ids, in base 36.
const BASE36_DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";
/// The most digits of an id that is packed as a number; longer ids are packed as text.
const MAX_NUMERIC_ID_DIGITS: usize = 18;

/// Packs ids into a short text: for each length of id the differences between
/// neighbours in base 36 (`6:a3.1.1f`); ids too long for numbers stay as text.
pub fn pack_ids(ids: &[JobId]) -> String {
    let mut groups: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for id in ids {
        groups
            .entry(id.digits().len())
            .or_default()
            .push(id.digits());
    }
    let mut text = String::new();
    for (len, mut digits) in groups {
        if !text.is_empty() {
            text.push(',');
        }
        text += &format!("{len}:");
        digits.sort_unstable();
        let mut before = 0;
        for (i, digits) in digits.into_iter().enumerate() {
            if i > 0 {
                text.push('.');
            }
            match digits.parse::<u64>() {
                Ok(number) if len <= MAX_NUMERIC_ID_DIGITS => {
                    push_base36(&mut text, number - before);
                    before = number;
                }
                _ => text += digits,
            }
        }
    }
    text
}

fn push_base36(text: &mut String, mut number: u64) {
    let mut digits = Vec::new();
    loop {
        digits.push(BASE36_DIGITS[(number % 36) as usize]);
        number /= 36;
        if number == 0 {
            break;
        }
    }
    text.extend(digits.into_iter().rev().map(char::from));
}

/// The sorted ids of a text written by [`pack_ids`]; `None` if it is malformed.
pub fn unpack_ids(text: &str) -> Option<Vec<JobId>> {
    let mut ids = Vec::new();
    for group in text.split(',') {
        let (len, rest) = group.split_once(':')?;
        let len: usize = len.parse().ok()?;
        let mut number = 0u64;
        for part in rest.split('.') {
            let digits = if len <= MAX_NUMERIC_ID_DIGITS {
                number = number.checked_add(u64::from_str_radix(part, 36).ok()?)?;
                format!("{number:0len$}")
            } else {
                part.to_owned()
            };
            if digits.len() != len {
                return None;
            }
            ids.push(JobId::from_digits(&digits).ok()?);
        }
    }
    ids.sort();
    Some(ids)
}

/// The status of a task, as recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TaskStatus {
    /// Not assigned to a block.
    #[default]
    Waiting,
    /// Assigned to a block, and possibly running on one of its machines.
    Assigned {
        /// The block.
        block: BlockId,
        /// The block's term when the task was assigned.
        term: Term,
    },
    /// Completed.
    Done,
}

/// `part/ID/K`: the statuses of a chunk of a job's tasks. The key sorts after `job/`,
/// so a read of all records sees each job before its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkRecord {
    /// The form of the first level.
    Ranges(TaskRanges),
    /// The form from the second level on.
    Symbols(TaskSymbols),
}

/// Half-open ranges of task indexes within the job. Tasks in no range are waiting.
/// The worst case takes 50 bytes per task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRanges {
    /// Ranges of done tasks.
    pub done: Vec<(u32, u32)>,
    /// Ranges assigned to a block under a term.
    #[serde(rename = "handed")]
    pub assigned: Vec<(u32, u32, BlockId, Term)>,
}

/// One symbol per task, and the blocks and terms that the symbols of assigned tasks
/// refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSymbols {
    /// The blocks and terms, in the order of `BLOCK_SYMBOLS`.
    #[serde(rename = "to")]
    pub block_terms: Vec<(BlockId, Term)>,
    /// One symbol for each task.
    pub tasks: String,
}

/// The most bytes that one task can add to a chunk's record at the first level:
/// `[100000,100000,4294967295,9007199254740992],`.
const MAX_RANGE_ENTRY_BYTES: f64 = 50.0;
/// The most bytes that a block and its term can add at the second level:
/// `[4294967295,9007199254740992],`.
const MAX_BLOCK_TERM_BYTES: usize = 30;
/// The bytes of a record at the second level without its entries:
/// `{"to":[],"tasks":""}` and a margin.
const SYMBOLS_OVERHEAD_BYTES: usize = 40;
/// The most tasks in a chunk.
const MAX_CHUNK_TASKS: u32 = 256;
/// The symbols of waiting, done and assigned tasks. Each takes one byte in JSON.
const WAITING_SYMBOL: u8 = b'.';
const DONE_SYMBOL: u8 = b'+';
const BLOCK_SYMBOLS: &[u8; 90] =
    b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz!#$%&'()*,-/:;<=>?@[]^_`{|}~";

/// How many tasks a chunk may hold so that its record fits into a value.
pub fn max_chunk_tasks(level: FormatLevel, value_kb: f64) -> u32 {
    if level >= FormatLevel::PIPELINES {
        return MAX_CHUNK_TASKS;
    }
    let fits = (value_kb.min(48.0) * 1024.0 - 200.0) / MAX_RANGE_ENTRY_BYTES;
    (fits as u32).clamp(8, MAX_CHUNK_TASKS)
}

/// To how many pairs of block and term the tasks of a chunk may be assigned so that
/// its record fits into a value, whatever the numbers are.
pub fn max_block_terms(level: FormatLevel, value_bytes: usize, count: usize) -> usize {
    if level < FormatLevel::PIPELINES {
        return usize::MAX;
    }
    let fits = value_bytes.saturating_sub(SYMBOLS_OVERHEAD_BYTES + count) / MAX_BLOCK_TERM_BYTES;
    fits.min(BLOCK_SYMBOLS.len())
}

impl ChunkRecord {
    /// Packs the statuses of the tasks from index `first` on, in the form of a level.
    /// `None` if there are more pairs of block and term than symbols.
    pub fn pack(level: FormatLevel, first: u32, statuses: &[TaskStatus]) -> Option<Self> {
        if level < FormatLevel::PIPELINES {
            Some(Self::ranges(first, statuses))
        } else {
            Self::symbols(statuses)
        }
    }

    /// The value in the store.
    pub fn to_value(&self) -> Value {
        match self {
            Self::Ranges(ranges) => to_list(ranges),
            Self::Symbols(symbols) => to_map(symbols),
        }
    }

    /// Reads either form.
    pub fn from_value(value: Value) -> Option<Self> {
        if value.is_map() {
            from_value(value).map(Self::Symbols)
        } else {
            from_value(value).map(Self::Ranges)
        }
    }

    fn ranges(first: u32, all: &[TaskStatus]) -> Self {
        let mut ranges = TaskRanges::default();
        let mut at = 0;
        while at < all.len() {
            let status = all[at];
            let run = all[at..].iter().take_while(|p| **p == status).count();
            let (from, to) = (first + at as u32, first + (at + run) as u32);
            match status {
                TaskStatus::Waiting => {}
                TaskStatus::Done => ranges.done.push((from, to)),
                TaskStatus::Assigned { block, term } => {
                    ranges.assigned.push((from, to, block, term));
                }
            }
            at += run;
        }
        Self::Ranges(ranges)
    }

    fn symbols(statuses: &[TaskStatus]) -> Option<Self> {
        let TaskSymbols {
            mut block_terms,
            mut tasks,
        } = TaskSymbols::default();
        for status in statuses {
            let symbol = match status {
                TaskStatus::Waiting => WAITING_SYMBOL,
                TaskStatus::Done => DONE_SYMBOL,
                TaskStatus::Assigned { block, term } => {
                    let pair = (*block, *term);
                    let at = block_terms
                        .iter()
                        .position(|p| *p == pair)
                        .unwrap_or_else(|| {
                            block_terms.push(pair);
                            block_terms.len() - 1
                        });
                    *BLOCK_SYMBOLS.get(at)?
                }
            };
            tasks.push(char::from(symbol));
        }
        Some(Self::Symbols(TaskSymbols { block_terms, tasks }))
    }

    /// Unpacks the statuses of `count` tasks from index `first` on; `None` if a symbol
    /// is unknown or refers to no block.
    pub fn unpack(&self, first: u32, count: usize) -> Option<Vec<TaskStatus>> {
        let mut statuses = vec![TaskStatus::Waiting; count];
        let mut fill = |from: u32, to: u32, status| {
            for at in from.max(first)..to {
                if let Some(p) = statuses.get_mut((at - first) as usize) {
                    *p = status;
                } else {
                    break;
                }
            }
        };
        match self {
            Self::Ranges(TaskRanges { done, assigned }) => {
                for &(from, to, block, term) in assigned {
                    fill(from, to, TaskStatus::Assigned { block, term });
                }
                for &(from, to) in done {
                    fill(from, to, TaskStatus::Done);
                }
            }
            Self::Symbols(TaskSymbols { block_terms, tasks }) => {
                for (status, symbol) in statuses.iter_mut().zip(tasks.bytes()) {
                    *status = match symbol {
                        WAITING_SYMBOL => TaskStatus::Waiting,
                        DONE_SYMBOL => TaskStatus::Done,
                        symbol => {
                            let at = BLOCK_SYMBOLS.iter().position(|l| *l == symbol)?;
                            let &(block, term) = block_terms.get(at)?;
                            TaskStatus::Assigned { block, term }
                        }
                    };
                }
            }
        }
        Some(statuses)
    }
}

/// A record as a list of its fields in order, the form of the first level. Readers
/// of a list accept exactly the fields that they know.
pub fn to_list<T: Serialize>(record: &T) -> Value {
    rmpv::ext::to_value(record).unwrap_or(Value::Nil)
}

/// A record as a map by field name. Readers ignore fields that they don't know, so
/// later levels can add some.
pub fn to_map<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&oliveshift_wire::encode(record)).unwrap_or(Value::Nil)
}

/// Reads a record from a value in either form; `None` if it was written in a format
/// that this program can't read.
pub fn from_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    if !value.is_map() {
        return rmpv::ext::from_value(value).ok();
    }
    // `rmpv` reads enum variants only by number, not by name, so the value is encoded
    // and decoded again.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

#[cfg(test)]
mod tests;
