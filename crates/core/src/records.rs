//! The records in the state service: the only thing that outlives a process.

use oliveshift_wire::{JobId, job::JobSpec};
use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The prefix of all keys.
pub const ROOT: &str = "oliveshift/";

/// A block of machines; names the range of tasks' place, never a process.
pub type BlockId = u32;
/// The version of a block's record: its workers' token.
pub type Term = u64;

/// A key, taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Who leads.
    Leader,
    /// A controller that is up.
    Member(String),
    /// The lease of a block.
    Block(BlockId),
    /// The machines of a block.
    Machines(BlockId),
    /// A job.
    Job(JobId),
    /// Part of a job's tasks.
    Chunk(JobId, u32),
    /// The operators' settings.
    Settings,
}

impl Key {
    /// The key as the state service has it.
    pub fn path(&self) -> String {
        match self {
            Self::Leader => format!("{ROOT}leader"),
            Self::Member(name) => format!("{ROOT}member/{name}"),
            Self::Block(id) => format!("{ROOT}block/{id}"),
            Self::Machines(id) => format!("{ROOT}machines/{id}"),
            Self::Job(id) => format!("{ROOT}job/{id}"),
            Self::Chunk(id, part) => format!("{ROOT}part/{id}/{part}"),
            Self::Settings => format!("{ROOT}settings"),
        }
    }

    /// Takes a key apart; none for keys that we don't know.
    pub fn parse(path: &str) -> Option<Self> {
        let rest = path.strip_prefix(ROOT)?;
        Some(match rest.split_once('/') {
            None if rest == "leader" => Self::Leader,
            None if rest == "settings" => Self::Settings,
            None => return None,
            Some(("member", name)) => Self::Member(name.to_owned()),
            Some(("block", id)) => Self::Block(id.parse().ok()?),
            Some(("machines", id)) => Self::Machines(id.parse().ok()?),
            Some(("job", id)) => Self::Job(id.parse().ok()?),
            Some(("part", rest)) => {
                let (job, part) = rest.split_once('/')?;
                Self::Chunk(job.parse().ok()?, part.parse().ok()?)
            }
            Some(_) => return None,
        })
    }
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// The zone of the block.
    pub zone: String,
    /// Its machines.
    pub machines: Vec<ListedMachine>,
}

/// A machine of a block. Never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub name: String,
    /// The machine type.
    pub kind: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes orders.
    pub addr: String,
}

/// A machine as the records have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// The block that it belongs to.
    pub block: BlockId,
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

/// `job/ID`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its phase.
    pub phase: Phase,
    /// How many tasks it has.
    pub tasks: u32,
    /// When it was accepted, in ms of the time of day: orders the queue.
    pub at_ms: u64,
    /// How many tasks a chunk record holds.
    pub chunk: u32,
    /// The description; left out once nothing of the job is anywhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// Where a task is, as recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// Nowhere.
    #[default]
    Waiting,
    /// Possibly on one of the block's machines.
    Handed {
        /// The block.
        block: BlockId,
        /// The block's term at hand-out.
        term: Term,
    },
    /// Completed.
    Done,
}

/// `part/ID/K`: a chunk of a job. The key sorts behind `job/`, so that a first read meets each job before its chunks. Ranges of tasks, from and up to, numbered within the job.
/// Tasks in no range wait. Lists instead of maps keep the worst case (every
/// task a range of its own) within the store's limit for values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Ranges of done tasks.
    pub done: Vec<(u32, u32)>,
    /// Ranges handed to a block under a term.
    pub handed: Vec<(u32, u32, BlockId, Term)>,
}

/// The most that one task can add to a chunk's record, in the JSON form in
/// which the limits count: `[100000,100000,4294967295,9007199254740992],`.
const RANGE_BYTES: f64 = 50.0;

/// How many tasks a chunk may hold for the store to take its record.
pub fn chunk_size(value_kb: f64) -> u32 {
    let fits = (value_kb.min(48.0) * 1024.0 - 200.0) / RANGE_BYTES;
    (fits as u32).clamp(8, 256)
}

impl ChunkRecord {
    /// Packs places of the tasks from `first` on into ranges.
    pub fn pack(first: u32, places: &[Place]) -> Self {
        let mut record = Self::default();
        let mut at = 0;
        while at < places.len() {
            let place = places[at];
            let run = places[at..].iter().take_while(|p| **p == place).count();
            let (from, to) = (first + at as u32, first + (at + run) as u32);
            match place {
                Place::Waiting => {}
                Place::Done => record.done.push((from, to)),
                Place::Handed { block, term } => record.handed.push((from, to, block, term)),
            }
            at += run;
        }
        record
    }

    /// Unpacks the places of `count` tasks from `first` on.
    pub fn unpack(&self, first: u32, count: usize) -> Vec<Place> {
        let mut places = vec![Place::Waiting; count];
        let mut fill = |from: u32, to: u32, place| {
            for at in from.max(first)..to {
                if let Some(p) = places.get_mut((at - first) as usize) {
                    *p = place;
                } else {
                    break;
                }
            }
        };
        for &(from, to, block, term) in &self.handed {
            fill(from, to, Place::Handed { block, term });
        }
        for &(from, to) in &self.done {
            fill(from, to, Place::Done);
        }
        places
    }
}

/// A record as a value of the state service.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    rmpv::ext::to_value(record).unwrap_or(Value::Nil)
}

/// A record from a value; none if another version wrote what we can't read.
pub fn from_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    rmpv::ext::from_value(value).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_survive_packing() {
        let mut places = vec![Place::Waiting; 12];
        places[3] = Place::Done;
        places[4] = Place::Done;
        for (i, p) in places.iter_mut().enumerate().skip(6) {
            *p = Place::Handed {
                block: (i / 9) as u32,
                term: 7,
            };
        }
        let packed = ChunkRecord::pack(256, &places);
        assert_eq!(packed.done, [(259, 261)]);
        assert_eq!(packed.handed.len(), 2);
        let back: ChunkRecord = from_value(to_value(&packed)).unwrap();
        assert_eq!(back.unpack(256, 12), places);
    }

    #[test]
    fn the_worst_chunk_fits_the_store() {
        for kb in [2.0, 16.0, 32.0] {
            let size = chunk_size(kb);
            let record = ChunkRecord {
                done: vec![],
                handed: vec![(100_000, 100_000, u32::MAX, 1 << 53); size as usize],
            };
            let json = 50 * record.handed.len() + 40;
            assert!((json as f64) < kb * 1024.0, "{kb}");
        }
    }

    #[test]
    fn keys_come_back() {
        let id: JobId = "j-000007".parse().unwrap();
        for key in [
            Key::Leader,
            Key::Member("grove-0".into()),
            Key::Block(3),
            Key::Machines(4),
            Key::Job(id.clone()),
            Key::Chunk(id, 9),
            Key::Settings,
        ] {
            assert_eq!(Key::parse(&key.path()), Some(key));
        }
        assert_eq!(Key::parse("other/leader"), None);
    }
}
