//! What the state service keeps of runs, below a prefix of its own.
//!
//! | key | what |
//! | --- | --- |
//! | `wf/m/NAME` | an instance that is up; goes with its lease |
//! | `wf/g/RANGE` | who holds a range of runs |
//! | `wf/r/RANGE/ID` | a run: its state, when it was begun, its end |
//! | `wf/t/RANGE/ID/N` | pieces of its document and inputs, later of its outputs |
//! | `wf/j/RANGE/ID/N` | the jobs of its steps |
//! | `wf/c/RANGE/ID` | somebody wants it cancelled |

use std::{collections::BTreeMap, fmt, str::FromStr};

use oliveshift_wire::{
    job::JobSpec,
    state::{Change, Item},
};
use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    flow::{Failure, JobKey},
    job::Defaults,
};

/// Names a run: the range that it is in, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The range.
    pub range: u32,
    /// The number.
    pub number: u64,
}

/// The text names no run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a run's id")]
pub struct InvalidRunId;

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run-{}-{:016x}", self.range, self.number)
    }
}

impl FromStr for RunId {
    type Err = InvalidRunId;

    fn from_str(text: &str) -> Result<Self, InvalidRunId> {
        let rest = text.strip_prefix("run-").ok_or(InvalidRunId)?;
        let (range, number) = rest.split_once('-').ok_or(InvalidRunId)?;
        let id = Self {
            range: range.parse().map_err(|_| InvalidRunId)?,
            number: u64::from_str_radix(number, 16).map_err(|_| InvalidRunId)?,
        };
        // One name for each run.
        match id.to_string() == text {
            true => Ok(id),
            false => Err(InvalidRunId),
        }
    }
}

/// The state of a run, by the names of the Workflow Execution Service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum RunState {
    /// Its steps run.
    Running,
    /// It was cancelled and what runs is being ended.
    Canceling,
    /// A step failed and what runs is being ended. Shown as running.
    Failing,
    /// All outputs are there.
    Complete,
    /// A step failed.
    ExecutorError,
    /// The service can't run it.
    SystemError,
    /// It was cancelled.
    Canceled,
}

impl RunState {
    /// Whether it stays.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Running | Self::Canceling | Self::Failing)
    }
}

/// What is known of a run as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Its state.
    pub state: RunState,
    /// When it was begun, in seconds since 1970.
    pub begun_s: u64,
    /// When it ended.
    pub ended_s: Option<u64>,
    /// How many pieces its document and inputs have.
    pub pieces: u32,
    /// How many pieces its outputs have, which come after those.
    pub outputs: u32,
    /// The step that failed, and why.
    pub failure: Option<(String, String)>,
}

impl RunRecord {
    /// Why it failed.
    pub fn step_failure(&self) -> Option<Failure> {
        let (step, reason) = self.failure.clone()?;
        Some(Failure { step, reason })
    }
}

/// A document with its inputs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The file, or `file#process`, that is run.
    pub main: String,
    /// All files by path.
    pub files: BTreeMap<String, String>,
    /// What goes in.
    pub inputs: serde_json::Value,
    /// What it says of itself.
    pub defaults: Defaults,
}

impl oliveshift_cwl::load::Resolver for Bundle {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = self.files.get(path).cloned();
        text.ok_or_else(|| "the file was not handed in".to_owned())
    }
}

/// A job of a run, with all that is needed to hand it in again. Written before
/// it is submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The step.
    pub step: String,
    /// Which group of its members.
    pub group: u32,
    /// The job.
    pub spec: JobSpec,
}

impl JobRecord {
    /// Its name in the run.
    pub fn key(&self) -> JobKey {
        JobKey {
            step: self.step.clone(),
            group: self.group,
        }
    }
}

/// A run as it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRun {
    /// Its state.
    pub record: RunRecord,
    /// The version of that.
    pub version: u64,
    /// What is run.
    pub bundle: Bundle,
    /// What came out; null until it is complete.
    pub outputs: serde_json::Value,
    /// The jobs of its steps.
    pub jobs: Vec<JobRecord>,
    /// How many records these are in.
    pub job_pieces: usize,
}

impl StoredRun {
    /// A run that has no jobs yet.
    pub fn new(record: RunRecord, bundle: Bundle) -> Self {
        Self {
            record,
            version: 0,
            bundle,
            outputs: serde_json::Value::Null,
            jobs: Vec::new(),
            job_pieces: 0,
        }
    }
}

/// Who holds a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRecord {
    /// The instance; empty: nobody.
    pub holder: String,
    /// Its start; another one for each.
    pub start: u64,
}

/// The key of an instance.
pub fn member_key(name: &str) -> String {
    format!("wf/m/{name}")
}

/// The key of a range.
pub fn range_key(range: u32) -> String {
    format!("wf/g/{range}")
}

/// The key of a run; `kind` is `r`, `t`, `j` or `c`.
pub fn run_key(kind: char, id: RunId) -> String {
    format!("wf/{kind}/{}/{:016x}", id.range, id.number)
}

/// The key of one of a run's pieces. They sort by their numbers.
pub fn piece_key(kind: char, id: RunId, number: usize) -> String {
    format!("{}/{number:06}", run_key(kind, id))
}

/// The run that a key is of.
pub fn run_id_of_key(key: &str) -> Option<RunId> {
    let mut parts = key.split('/').skip(2);
    Some(RunId {
        range: parts.next()?.parse().ok()?,
        number: u64::from_str_radix(parts.next()?, 16).ok()?,
    })
}

/// A record as the state service keeps it.
pub fn put<T: Serialize>(key: String, record: &T) -> Change {
    let text = serde_json::to_string(record).unwrap_or_default();
    put_text(key, text)
}

/// A text as the state service keeps it.
pub fn put_text(key: String, text: String) -> Change {
    Change::Put {
        key,
        value: Value::from(text),
        lease: None,
    }
}

/// Reads a record; none: it is not one that this program knows.
pub fn get<T: DeserializeOwned>(item: &Item) -> Option<T> {
    serde_json::from_str(item.value.as_str()?).ok()
}

/// Cuts a text into pieces whose JSON form takes at most so many bytes.
pub fn pieces(text: &str, most: usize) -> Vec<String> {
    let mut pieces = vec![String::new()];
    let mut size = 2;
    for c in text.chars() {
        // The longest that an escape can be.
        let takes = match c {
            '"' | '\\' => 2,
            c if c < ' ' => 6,
            c => c.len_utf8(),
        };
        if size + takes > most {
            pieces.push(String::new());
            size = 2;
        }
        size += takes;
        if let Some(last) = pieces.last_mut() {
            last.push(c);
        }
    }
    pieces
}

#[cfg(test)]
mod tests {
    use super::*;
    use oliveshift_wire::state::json_len;

    #[test]
    fn pieces_fit_and_come_together_again() {
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..200 {
            let all = ['a', '"', '\\', '\n', '\u{1}', 'é', '木', '🌿'];
            let text: String = (0..rng.usize(0..400))
                .map(|_| all[rng.usize(0..8)])
                .collect();
            let most = rng.usize(12..60);
            let pieces = pieces(&text, most);
            assert_eq!(pieces.concat(), text);
            assert!(pieces.iter().all(|p| json_len(p) <= most), "{pieces:?}");
        }
    }

    #[test]
    fn runs_have_one_name_each() {
        let id = RunId {
            range: 3,
            number: 0xab,
        };
        assert_eq!(id.to_string(), "run-3-00000000000000ab");
        assert_eq!(id.to_string().parse(), Ok(id));
        assert_eq!(run_id_of_key(&piece_key('t', id, 7)), Some(id));
        for bad in ["run-3-ab", "run-03-00000000000000ab", "3-ab", "run-3", ""] {
            assert_eq!(bad.parse::<RunId>(), Err(InvalidRunId), "{bad}");
        }
    }
}
