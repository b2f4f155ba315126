//! The records in the state service: the only thing that outlives a process.

use std::collections::BTreeMap;

use oliveshift_wire::{JobId, job::JobSpec, settings::StateLimits, state::json_len};
use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The prefix of all keys.
pub const KEY_PREFIX: &str = "oliveshift/";

/// A block of machines; names the range of tasks' place, never a process.
pub type BlockId = u32;
/// The version of a block's record: its workers' token.
pub type Term = u64;

/// The format of the records that a controller writes and can read. See
/// docs/design.md, "Two versions at once".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// The first form: jobs do not await others.
    pub const FIRST: Self = Self(1);
    /// Jobs that await others, records that fit 2 KiB.
    pub const PIPELINES: Self = Self(2);
    /// What this program reads and writes.
    pub const SUPPORTED: Self = Self::PIPELINES;
}

/// A key, taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Who leads.
    Leader,
    /// A controller that is up.
    Member(String),
    /// The lease of a block.
    Block(BlockId),
    /// The machines of a block; the list is continued under further numbers.
    Machines(BlockId, u32),
    /// A job.
    Job(JobId),
    /// What of a job's description does not fit its record.
    SpecOverflow(JobId, u32),
    /// Part of a job's tasks.
    Chunk(JobId, u32),
    /// The operators' settings.
    Settings,
    /// The format in which all controllers write.
    Format,
    /// The format that a controller is able to read and write.
    FormatLevel(String),
    /// The lower limits of the state service hold.
    LoweredLimits,
    /// What may be let in.
    Admission,
}

impl Key {
    /// The key as the state service has it.
    pub fn path(&self) -> String {
        match self {
            Self::Leader => format!("{KEY_PREFIX}leader"),
            Self::Member(name) => format!("{KEY_PREFIX}member/{name}"),
            Self::Block(id) => format!("{KEY_PREFIX}block/{id}"),
            Self::Machines(id, 0) => format!("{KEY_PREFIX}machines/{id}"),
            Self::Machines(id, piece) => format!("{KEY_PREFIX}machines/{id}/{piece}"),
            Self::Job(id) => format!("{KEY_PREFIX}job/{id}"),
            Self::SpecOverflow(id, piece) => format!("{KEY_PREFIX}more/{id}/{piece}"),
            Self::Chunk(id, part) => format!("{KEY_PREFIX}part/{id}/{part}"),
            Self::Settings => format!("{KEY_PREFIX}settings"),
            Self::Format => format!("{KEY_PREFIX}format"),
            Self::FormatLevel(name) => format!("{KEY_PREFIX}level/{name}"),
            Self::LoweredLimits => format!("{KEY_PREFIX}lowered"),
            Self::Admission => format!("{KEY_PREFIX}admission"),
        }
    }

    /// Takes a key apart; none for keys that we don't know.
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
                Err(_) => numbered(rest).map(|(id, piece)| Self::Machines(id, piece))?,
            },
            Some(("job", id)) => Self::Job(id.parse().ok()?),
            Some(("more", rest)) => numbered(rest).map(|(id, k)| Self::SpecOverflow(id, k))?,
            Some(("part", rest)) => numbered(rest).map(|(id, k)| Self::Chunk(id, k))?,
            Some(_) => return None,
        })
    }
}

/// `format`, written once for each new level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The level of which all controllers are.
    pub level: FormatLevel,
}

/// `level/NAME`: what a controller is able to read and write. Outlives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRecord {
    /// Its level.
    pub level: FormatLevel,
    /// The incarnation that this was found out of; 0: an operator's word that
    /// the controller never comes back.
    pub incarnation: u64,
}

/// `leader` and `member/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The controller's name.
    pub node: String,
    /// Its incarnation: another one after each start.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
}

/// `block/ID`. Written for nothing but leasing the block.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// The zone in which all its machines lie.
    pub zone: String,
    /// The controller that holds it.
    pub holder: String,
    /// In which incarnation.
    pub incarnation: u64,
}

/// `machines/ID`: the machines of a block. A machine is taken out only when it
/// is surely gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineListRecord {
    /// The first level's form.
    Flat(FlatMachineList),
    /// From the second level on: half of the size.
    Grouped(GroupedMachineList),
}

/// The first level's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlatMachineList {
    /// The zone of the block.
    pub zone: String,
    /// Its machines.
    pub machines: Vec<MachineListEntry>,
}

/// The second level's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupedMachineList {
    /// The zone of the block.
    pub zone: String,
    /// Its machines by type: ordinary ones, then spot ones, each with name and
    /// address.
    pub kinds: BTreeMap<String, [Vec<(String, String)>; 2]>,
}

/// A machine of a block. Never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineListEntry {
    /// Its name.
    pub name: String,
    /// The machine type.
    pub kind: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes orders.
    pub addr: String,
}

impl MachineListRecord {
    /// A list in the form of a level.
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

    /// The zone and the machines, whatever the form.
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

/// A machine as the records have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// The block that it belongs to.
    pub block: BlockId,
    /// Which of the block's keys names it.
    pub piece: u32,
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
    /// Accepted and not over.
    Open,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// `job/ID`. The fields with a default came with the second level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its phase.
    pub phase: Phase,
    /// How many tasks it has.
    pub tasks: u32,
    /// When it was accepted, in ms of the time of day: orders the queue.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
    /// How many tasks a chunk record holds.
    #[serde(rename = "chunk")]
    pub chunk_size: u32,
    /// The description; left out once nothing of the job is anywhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// How many records `more/ID/K` continue the description.
    #[serde(rename = "more", default, skip_serializing_if = "is_default")]
    pub spec_overflow_count: u32,
    /// When it was done, in ms of the time of day: those that await it count
    /// from then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<u64>,
    /// A service, without its description: it must not be awaited.
    #[serde(default, skip_serializing_if = "is_default")]
    pub service: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// `more/ID/K`: what of a description does not fit its record, in the order of
/// the numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpecOverflowRecord {
    /// Machine types allowed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub types: Vec<String>,
    /// Part of the text that names the awaited jobs.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub awaits: String,
}

/// Why a job can't be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JobTooLarge {
    /// Its names alone are too long.
    #[error("the job's names are too long to be kept")]
    Names,
    /// It names too many types and jobs.
    #[error("the job names more machine types and jobs than can be kept")]
    Lists,
}

impl JobRecord {
    /// The value in the store. At the first level it is a list, which must not
    /// have one field more than programs of that level know.
    pub fn to_value(&self, level: FormatLevel) -> Value {
        if level < FormatLevel::PIPELINES {
            to_list(self)
        } else {
            to_map(self)
        }
    }

    /// The records that keep a job: this one whole if it fits, or else with
    /// its lists in further records.
    pub fn split(
        mut self,
        id: &JobId,
        level: FormatLevel,
        limits: &StateLimits,
    ) -> Result<Vec<(Key, Value)>, JobTooLarge> {
        let most = limits.value_bytes();
        let whole = self.to_value(level);
        if json_len(&whole) <= most {
            return Ok(vec![(Key::Job(id.clone()), whole)]);
        }
        let mut pieces = Vec::new();
        if let Some(spec) = &mut self.spec {
            let types = spec.types.as_mut().map(std::mem::take);
            let awaits = pack_ids(&std::mem::take(&mut spec.awaits));
            pieces = SpecOverflowRecord::pieces(types.unwrap_or_default(), &awaits, most);
        }
        self.spec_overflow_count = pieces.len() as u32;
        let short = self.to_value(level);
        if json_len(&short) > most {
            return Err(JobTooLarge::Names);
        }
        let mut records = vec![(Key::Job(id.clone()), short)];
        records.extend(pieces.iter().enumerate().map(|(k, piece)| {
            let key = Key::SpecOverflow(id.clone(), k as u32);
            (key, to_map(piece))
        }));
        if records.len() > limits.txn_ops {
            return Err(JobTooLarge::Lists);
        }
        Ok(records)
    }

    /// Makes a description whole again.
    pub fn join<'a>(
        mut spec: JobSpec,
        pieces: impl IntoIterator<Item = &'a SpecOverflowRecord>,
    ) -> Option<JobSpec> {
        let mut awaits = String::new();
        for piece in pieces {
            if let Some(types) = &mut spec.types {
                types.extend(piece.types.iter().cloned());
            }
            awaits += &piece.awaits;
        }
        if !awaits.is_empty() {
            spec.awaits = unpack_ids(&awaits)?;
        }
        Some(spec)
    }

    /// The same without what nobody needs of a job that is cancelled, as the
    /// record may have been written when larger ones were allowed.
    pub fn trimmed(mut self, level: FormatLevel, most: usize) -> Self {
        if json_len(&self.to_value(level)) > most
            && let Some(spec) = &mut self.spec
        {
            spec.types = None;
            spec.awaits.clear();
        }
        if json_len(&self.to_value(level)) > most
            && let Some(spec) = &mut self.spec
        {
            spec.class.clear();
            spec.image.clear();
        }
        self
    }
}

impl SpecOverflowRecord {
    /// Cuts lists into records of at most so many bytes.
    fn pieces(types: Vec<String>, awaits: &str, most: usize) -> Vec<Self> {
        let mut pieces = vec![Self::default()];
        for kind in types {
            // What a type adds, with its comma, is at most its own length in
            // JSON and one more.
            let last = pieces.last().map_or(0, |p| json_len(&to_map(p))) + "\"types\":[],".len();
            if last + json_len(&kind) + 1 > most {
                pieces.push(Self::default());
            }
            if let Some(piece) = pieces.last_mut() {
                piece.types.push(kind);
            }
        }
        let mut rest = awaits;
        while !rest.is_empty() {
            let last = pieces.last().map_or(0, |p| json_len(&to_map(p))) + ",\"awaits\":\"\"".len();
            let fits = most.saturating_sub(last).min(rest.len());
            let (now, later) = rest.split_at(fits);
            if let Some(piece) = pieces.last_mut() {
                piece.awaits.push_str(now);
            }
            rest = later;
            if !rest.is_empty() {
                pieces.push(Self::default());
            }
        }
        pieces
    }
}

/// Digits in which differences are written.
const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";
/// The most digits of an id that is written as a number.
const NUMBER_DIGITS: usize = 18;

/// Many ids as a short text: per length of the ids the differences between
/// neighbours (`6:a3.1.1f`), ids that are too long for numbers as they are.
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
                Ok(number) if len <= NUMBER_DIGITS => {
                    push_number(&mut text, number - before);
                    before = number;
                }
                _ => text += digits,
            }
        }
    }
    text
}

fn push_number(text: &mut String, mut number: u64) {
    let mut digits = Vec::new();
    loop {
        digits.push(DIGITS[(number % 36) as usize]);
        number /= 36;
        if number == 0 {
            break;
        }
    }
    text.extend(digits.into_iter().rev().map(char::from));
}

/// The ids of such a text, in order; none if it is not one.
pub fn unpack_ids(text: &str) -> Option<Vec<JobId>> {
    let mut ids = Vec::new();
    for group in text.split(',') {
        let (len, rest) = group.split_once(':')?;
        let len: usize = len.parse().ok()?;
        let mut number = 0u64;
        for part in rest.split('.') {
            let digits = if len <= NUMBER_DIGITS {
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

/// Where a task is, as recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TaskStatus {
    /// Nowhere.
    #[default]
    Waiting,
    /// Possibly on one of the block's machines.
    Assigned {
        /// The block.
        block: BlockId,
        /// The block's term at hand-out.
        term: Term,
    },
    /// Completed.
    Done,
}

/// `part/ID/K`: a chunk of a job. The key sorts behind `job/`, so that a first
/// read meets each job before its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkRecord {
    /// The first level's.
    Ranges(TaskRanges),
    /// From the second level on.
    Symbols(TaskSymbols),
}

/// Ranges of tasks, from and up to, numbered within the job. Tasks in no range
/// wait. The worst case takes 50 bytes a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRanges {
    /// Ranges of done tasks.
    pub done: Vec<(u32, u32)>,
    /// Ranges handed to a block under a term.
    pub handed: Vec<(u32, u32, BlockId, Term)>,
}

/// A letter for each task, and the blocks and terms that the letters stand
/// for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSymbols {
    /// The blocks and their terms.
    pub to: Vec<(BlockId, Term)>,
    /// What is with each task.
    pub tasks: String,
}

/// The most that one task can add to a chunk's record at the first level:
/// `[100000,100000,4294967295,9007199254740992],`.
const RANGE_BYTES: f64 = 50.0;
/// The same for a block and its term in the second level's form:
/// `[4294967295,9007199254740992],`.
const PAIR_BYTES: usize = 30;
/// What such a record has besides: `{"to":[],"tasks":""}` and some more.
const LETTERS_BYTES: usize = 40;
/// Most tasks in a chunk.
const CHUNK: u32 = 256;
/// A task that waits, one that is done, and those for blocks. None of them
/// takes more than one byte in JSON.
const WAITING: u8 = b'.';
const DONE: u8 = b'+';
const BLOCK_SYMBOLS: &[u8; 90] =
    b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz!#$%&'()*,-/:;<=>?@[]^_`{|}~";

/// How many tasks a chunk may hold for the store to take its record.
pub fn max_chunk_tasks(level: FormatLevel, value_kb: f64) -> u32 {
    if level >= FormatLevel::PIPELINES {
        return CHUNK;
    }
    let fits = (value_kb.min(48.0) * 1024.0 - 200.0) / RANGE_BYTES;
    (fits as u32).clamp(8, CHUNK)
}

/// To how many blocks under as many terms the tasks of a chunk may be handed
/// for the store to take its record, whatever the numbers are.
pub fn max_block_terms(level: FormatLevel, value_bytes: usize, count: usize) -> usize {
    if level < FormatLevel::PIPELINES {
        return usize::MAX;
    }
    let fits = value_bytes.saturating_sub(LETTERS_BYTES + count) / PAIR_BYTES;
    fits.min(BLOCK_SYMBOLS.len())
}

impl ChunkRecord {
    /// Packs the places of the tasks from `first` on, in the form of a level.
    /// None if the letters do not suffice.
    pub fn pack(level: FormatLevel, first: u32, places: &[TaskStatus]) -> Option<Self> {
        if level < FormatLevel::PIPELINES {
            Some(Self::ranges(first, places))
        } else {
            Self::letters(places)
        }
    }

    /// The value in the store.
    pub fn to_value(&self) -> Value {
        match self {
            Self::Ranges(ranges) => to_list(ranges),
            Self::Symbols(letters) => to_map(letters),
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
            let place = all[at];
            let run = all[at..].iter().take_while(|p| **p == place).count();
            let (from, to) = (first + at as u32, first + (at + run) as u32);
            match place {
                TaskStatus::Waiting => {}
                TaskStatus::Done => ranges.done.push((from, to)),
                TaskStatus::Assigned { block, term } => {
                    ranges.handed.push((from, to, block, term));
                }
            }
            at += run;
        }
        Self::Ranges(ranges)
    }

    fn letters(places: &[TaskStatus]) -> Option<Self> {
        let TaskSymbols { mut to, mut tasks } = TaskSymbols::default();
        for place in places {
            let letter = match place {
                TaskStatus::Waiting => WAITING,
                TaskStatus::Done => DONE,
                TaskStatus::Assigned { block, term } => {
                    let pair = (*block, *term);
                    let at = to.iter().position(|p| *p == pair).unwrap_or_else(|| {
                        to.push(pair);
                        to.len() - 1
                    });
                    *BLOCK_SYMBOLS.get(at)?
                }
            };
            tasks.push(char::from(letter));
        }
        Some(Self::Symbols(TaskSymbols { to, tasks }))
    }

    /// Unpacks the places of `count` tasks from `first` on. A letter that
    /// stands for nothing can't be read: none.
    pub fn unpack(&self, first: u32, count: usize) -> Option<Vec<TaskStatus>> {
        let mut places = vec![TaskStatus::Waiting; count];
        let mut fill = |from: u32, to: u32, place| {
            for at in from.max(first)..to {
                if let Some(p) = places.get_mut((at - first) as usize) {
                    *p = place;
                } else {
                    break;
                }
            }
        };
        match self {
            Self::Ranges(TaskRanges { done, handed }) => {
                for &(from, to, block, term) in handed {
                    fill(from, to, TaskStatus::Assigned { block, term });
                }
                for &(from, to) in done {
                    fill(from, to, TaskStatus::Done);
                }
            }
            Self::Symbols(TaskSymbols { to, tasks }) => {
                for (place, letter) in places.iter_mut().zip(tasks.bytes()) {
                    *place = match letter {
                        WAITING => TaskStatus::Waiting,
                        DONE => TaskStatus::Done,
                        letter => {
                            let at = BLOCK_SYMBOLS.iter().position(|l| *l == letter)?;
                            let &(block, term) = to.get(at)?;
                            TaskStatus::Assigned { block, term }
                        }
                    };
                }
            }
        }
        Some(places)
    }
}

/// A record as a list of its fields in order: the first level's form. Readers
/// of such a list take neither more nor fewer fields than they know.
pub fn to_list<T: Serialize>(record: &T) -> Value {
    rmpv::ext::to_value(record).unwrap_or(Value::Nil)
}

/// A record as a map by the names of its fields: readers ignore those that
/// they don't know, so later levels can add some.
pub fn to_map<T: Serialize>(record: &T) -> Value {
    rmp_serde::from_slice(&oliveshift_wire::encode(record)).unwrap_or(Value::Nil)
}

/// A record from a value in either form; none if another version wrote what we
/// can't read.
pub fn from_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    if !value.is_map() {
        return rmpv::ext::from_value(value).ok();
    }
    // `rmpv` by itself takes choices as numbers only, not by their names.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

#[cfg(test)]
mod tests {
    use oliveshift_wire::job::{Priority, Shape};

    use super::*;

    fn id(text: &str) -> JobId {
        text.parse().expect("an id")
    }

    #[test]
    fn chunks_survive_packing() {
        let mut places = vec![TaskStatus::Waiting; 12];
        places[3] = TaskStatus::Done;
        places[4] = TaskStatus::Done;
        for (i, p) in places.iter_mut().enumerate().skip(6) {
            *p = TaskStatus::Assigned {
                block: (i / 9) as u32,
                term: 7,
            };
        }
        for level in [FormatLevel::FIRST, FormatLevel::PIPELINES] {
            let packed = ChunkRecord::pack(level, 256, &places).expect("it fits");
            let back = ChunkRecord::from_value(packed.to_value()).expect("its own form");
            assert_eq!(back.unpack(256, 12), Some(places.clone()), "{level:?}");
        }
        let bad = ChunkRecord::Symbols(TaskSymbols {
            to: vec![(1, 2)],
            tasks: "+1".into(),
        });
        assert_eq!(bad.unpack(0, 2), None);
    }

    #[test]
    fn the_worst_chunk_fits_the_store() {
        for kb in [2.0, 16.0, 32.0] {
            let most = (kb * 1024.0) as usize;
            let worst = |term: u64| TaskStatus::Assigned {
                block: u32::MAX,
                term: (1 << 53) - term,
            };
            for level in [FormatLevel::FIRST, FormatLevel::PIPELINES] {
                let count = max_chunk_tasks(level, kb) as usize;
                let pairs = max_block_terms(level, most, count).min(count);
                let places: Vec<_> = (0..count).map(|i| worst((i % pairs) as u64)).collect();
                let first = 100_000 - count as u32;
                let record = ChunkRecord::pack(level, first, &places).expect("it fits");
                let size = json_len(&record.to_value());
                assert!(size <= most, "{level:?} {kb}: {size}");
            }
        }
    }

    #[test]
    fn ids_survive_packing() {
        let long = "j-00000000000000000000000000000000000007";
        let mut ids: Vec<_> = ["j-7", "j-07", "j-000007", "j-999999999999999999", long]
            .map(id)
            .to_vec();
        ids.extend((0..3000u32).map(|i| id(&format!("j-{:06}", i * 331 % 999_983))));
        ids.sort();
        ids.dedup();
        let text = pack_ids(&ids);
        assert_eq!(unpack_ids(&text), Some(ids));
        assert!(text.len() < 3000 * 4, "{}", text.len());
        for bad in ["", "6", "6:", "6:!", "x:1", "1:z"] {
            assert_eq!(unpack_ids(bad), None, "{bad}");
        }
    }

    fn hex(text: &str) -> Vec<u8> {
        let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
        (0..text.len()).step_by(2).map(byte).collect()
    }

    fn spec() -> JobSpec {
        JobSpec {
            id: id("j-000412"),
            class: "scan".into(),
            team: "red".into(),
            shape: Shape::Array,
            priority: Priority::High,
            tasks: 3,
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 4.5,
            image: "img-07".into(),
            image_gb: 1.5,
            types: Some(vec!["small".into(), "large".into()]),
            zone: None,
            one_zone: false,
            spread: true,
            spot: true,
            estimate_s: 30.0,
            checkpoint_s: 10.0,
            save_s: 2.0,
            deadline_s: Some(75.0),
            awaits: Vec::new(),
        }
    }

    fn job(phase: Phase, spec: Option<JobSpec>) -> JobRecord {
        JobRecord {
            phase,
            tasks: 3,
            accepted_ms: 1_800_000_000_123,
            chunk_size: 256,
            spec,
            spec_overflow_count: 0,
            done_ms: None,
            service: false,
        }
    }

    fn machines() -> Vec<MachineListEntry> {
        let machine = |name: &str, kind: &str, spot, addr: &str| MachineListEntry {
            name: name.into(),
            kind: kind.into(),
            spot,
            addr: addr.into(),
        };
        vec![
            machine("vm-000001", "small", false, "10.1.0.1:9000"),
            machine("vm-000002", "large", true, "10.1.0.2:9000"),
        ]
    }

    /// Values as the commit named `production` in `deploy/service.toml` wrote
    /// them: read, and written again to the byte at its level.
    #[test]
    fn the_first_levels_records_keep_their_form() {
        fn check<T: PartialEq + std::fmt::Debug>(
            gold: &str,
            record: T,
            write: impl Fn(&T) -> Value,
            read: impl Fn(Value) -> Option<T>,
        ) {
            let bytes = hex(gold);
            let value: Value = rmp_serde::from_slice(&bytes).expect("MessagePack");
            assert_eq!(read(value.clone()).as_ref(), Some(&record));
            assert_eq!(write(&record), value);
        }
        let member = MemberRecord {
            node: "n-1".into(),
            incarnation: 7,
            zone: "east".into(),
        };
        check("93a36e2d3107a465617374", member, to_list, from_value);
        let block = BlockRecord {
            zone: "east".into(),
            holder: "n-1".into(),
            incarnation: 7,
        };
        check("93a465617374a36e2d3107", block, to_list, from_value);
        let list = |machines| MachineListRecord::new(FormatLevel::FIRST, "east".into(), machines);
        let lists = [
            (
                "92a4656173749294a9766d2d303030303031a5736d616c6cc2ad31302e312e302e313a3930303094\
                 a9766d2d303030303032a56c61726765c3ad31302e312e302e323a39303030",
                machines(),
            ),
            ("92a46561737490", Vec::new()),
        ];
        for (gold, machines) in lists {
            let to = MachineListRecord::to_value;
            check(gold, list(machines), to, MachineListRecord::from_value);
        }
        let service = JobSpec {
            types: None,
            zone: Some("west".into()),
            deadline_s: None,
            shape: Shape::Service,
            priority: Priority::Production,
            ..spec()
        };
        let jobs = [
            (
                "9592009003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649200\
                 9092019003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff800000000000092a5736d616c6ca56c61726765c0c2c3c3cb403e000000000000cb4024000000\
                 000000cb4000000000000000cb4052c00000000000",
                job(Phase::Open, Some(spec())),
            ),
            (
                "9592029003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649200\
                 9092019003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff800000000000092a5736d616c6ca56c61726765c0c2c3c3cb403e000000000000cb4024000000\
                 000000cb4000000000000000cb4052c00000000000",
                job(Phase::Cancelled, Some(spec())),
            ),
            ("9492019003cf000001a3185c507bcd0100", job(Phase::Done, None)),
            (
                "9592009003cf000001a3185c507bcd0100dc0014a86a2d303030343132a47363616ea37265649201\
                 9092009003cb4000000000000000cb0000000000000000cb4012000000000000a6696d672d3037cb\
                 3ff8000000000000c0a477657374c2c3c3cb403e000000000000cb4024000000000000cb40000000\
                 00000000c0",
                job(Phase::Open, Some(service)),
            ),
        ];
        for (gold, job) in jobs {
            let to = |job: &JobRecord| job.to_value(FormatLevel::FIRST);
            check(gold, job, to, from_value);
        }
        let places = [
            TaskStatus::Done,
            TaskStatus::Assigned { block: 4, term: 41 },
            TaskStatus::Assigned { block: 5, term: 42 },
        ];
        let chunk = ChunkRecord::pack(FormatLevel::FIRST, 0, &places).expect("it fits");
        let gold = "9291920001929401020429940203052a";
        check(gold, chunk, ChunkRecord::to_value, ChunkRecord::from_value);
    }

    #[test]
    fn the_second_levels_records_come_back() {
        let second = FormatLevel::PIPELINES;
        let list = MachineListRecord::new(second, "east".into(), machines());
        let back =
            MachineListRecord::from_value(list.to_value()).map(MachineListRecord::into_parts);
        let (zone, mut back) = back.expect("its own form");
        back.sort_by(|a, b| a.name.cmp(&b.name));
        assert_eq!((zone.as_str(), back), ("east", machines()));
        let many = JobRecord {
            done_ms: Some(1_800_000_000_456),
            service: true,
            ..job(
                Phase::Open,
                Some(JobSpec {
                    awaits: vec![id("j-000007"), id("j-7")],
                    ..spec()
                }),
            )
        };
        for record in [many, job(Phase::Done, None)] {
            let Value::Map(mut fields) = record.to_value(second) else {
                panic!("a map");
            };
            // What later levels add does not disturb.
            fields.push(("later".into(), Value::from(3)));
            assert_eq!(from_value(Value::Map(fields)), Some(record));
        }
    }

    /// A description that is larger than a value may be goes into several.
    #[test]
    fn long_descriptions_are_split_and_joined() {
        let limits = StateLimits {
            rps: 100.0,
            write_rps: 18.0,
            value_kb: 2.0,
            txn_ops: 6,
            next: None,
        };
        let awaits: Vec<_> = (0..2000)
            .map(|i| id(&format!("j-{:06}", i * 499)))
            .collect();
        let long = JobSpec {
            types: Some((0..30).map(|i| format!("a type with a name {i}")).collect()),
            awaits: awaits.clone(),
            ..spec()
        };
        let record = job(Phase::Open, Some(long.clone()));
        let split = record.split(&long.id, FormatLevel::PIPELINES, &limits);
        let records = split.expect("it fits");
        assert!(records.len() > 2);
        for (key, value) in &records {
            assert!(json_len(value) <= limits.value_bytes(), "{key:?}");
        }
        let mut values = records.into_iter().map(|(_, value)| value);
        let first: JobRecord = values.next().and_then(from_value).expect("a job");
        let pieces: Vec<SpecOverflowRecord> =
            values.map(|v| from_value(v).expect("a piece")).collect();
        assert_eq!(first.spec_overflow_count as usize, pieces.len());
        let whole = JobRecord::join(first.spec.expect("a description"), &pieces);
        assert_eq!(whole, Some(long.clone()));

        let short = job(Phase::Cancelled, Some(long.clone())).trimmed(FormatLevel::PIPELINES, 2048);
        assert!(json_len(&short.to_value(FormatLevel::PIPELINES)) <= 2048);
        let too_many = JobSpec {
            awaits: (0..20_000)
                .map(|i| id(&format!("j-{:09}", i * 49_999)))
                .collect(),
            ..spec()
        };
        let split = |spec: JobSpec| {
            let id = spec.id.clone();
            job(Phase::Open, Some(spec)).split(&id, FormatLevel::PIPELINES, &limits)
        };
        assert_eq!(split(too_many), Err(JobTooLarge::Lists));
        let unkeepable = JobSpec {
            class: "\u{1}".repeat(200),
            image: "\u{1}".repeat(200),
            ..spec()
        };
        assert_eq!(split(unkeepable), Err(JobTooLarge::Names));
    }

    #[test]
    fn keys_come_back() {
        let id = id("j-000007");
        for key in [
            Key::Leader,
            Key::Member("grove-0".into()),
            Key::Block(3),
            Key::Machines(4, 0),
            Key::Machines(4, 2),
            Key::Job(id.clone()),
            Key::SpecOverflow(id.clone(), 1),
            Key::Chunk(id, 9),
            Key::Settings,
            Key::Format,
            Key::FormatLevel("grove-1".into()),
            Key::LoweredLimits,
            Key::Admission,
        ] {
            assert_eq!(Key::parse(&key.path()), Some(key));
        }
        for other in ["other/leader", "oliveshift/block/3/1", "oliveshift/later"] {
            assert_eq!(Key::parse(other), None, "{other}");
        }
    }
}
