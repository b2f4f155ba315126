//! Records of runs in the state service, under the key prefix `wf/`.
//!
//! | key | content |
//! | --- | --- |
//! | `wf/m/NAME` | an instance that is up; removed when its lease ends |
//! | `wf/g/RANGE` | the instance that holds a range of runs |
//! | `wf/r/RANGE/ID` | a run: its state, start and end times, failure |
//! | `wf/t/RANGE/ID/N` | pieces of its document and inputs, followed by those of its outputs |
//! | `wf/j/RANGE/ID/N` | records of the jobs of its steps |
//! | `wf/c/RANGE/ID` | a request to cancel it |
//! | `wf/k/KEY` | the run that was submitted with an idempotency key; removed with the run |

use std::{collections::BTreeMap, fmt, str::FromStr};

use oliveshift_wire::{
    IdempotencyKey,
    job::JobSpec,
    state::{Change, Item},
};
use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{
    flow::{Failure, JobKey},
    job::Defaults,
};

/// Identifies a run by its range and its number within the range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RunId {
    /// Range that the run belongs to.
    pub range: u32,
    /// Number of the run within its range, drawn at random.
    pub number: u64,
}

/// The text is not a valid run id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a run id: expected run-RANGE-NUMBER with the number as 16 hexadecimal digits")]
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
        // Each run has exactly one textual id, so other spellings are rejected.
        match id.to_string() == text {
            true => Ok(id),
            false => Err(InvalidRunId),
        }
    }
}

impl TryFrom<String> for RunId {
    type Error = InvalidRunId;

    fn try_from(text: String) -> Result<Self, InvalidRunId> {
        text.parse()
    }
}

impl From<RunId> for String {
    fn from(id: RunId) -> Self {
        id.to_string()
    }
}

/// State of a run. The serialized names follow the GA4GH Workflow Execution Service, apart
/// from `FAILING`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum RunState {
    /// Steps are running or can be submitted.
    Running,
    /// The run was cancelled and its jobs are being ended.
    Canceling,
    /// A step failed and the run's jobs are being ended. Clients see it as running.
    Failing,
    /// All steps succeeded and the outputs are recorded.
    Complete,
    /// A step failed and all jobs have ended.
    ExecutorError,
    /// The service cannot run it: its stored document or records are invalid.
    SystemError,
    /// The run was cancelled and all jobs have ended.
    Canceled,
}

impl RunState {
    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Running | Self::Canceling | Self::Failing)
    }
}

/// State of a run as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Current state.
    pub state: RunState,
    /// Start time, in seconds since the Unix epoch.
    pub begun_s: u64,
    /// End time, in seconds since the Unix epoch; set with the final state.
    pub ended_s: Option<u64>,
    /// Number of records that hold the document and inputs.
    pub pieces: u32,
    /// Number of records that hold the outputs; they are numbered after the document's.
    pub outputs: u32,
    /// Step that failed, and the reason.
    pub failure: Option<(String, String)>,
    /// Number of records that hold the run's jobs; further ones belong to a write that was not
    /// completed. `None` in records of earlier versions, whose job records all count.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub job_pieces: Option<u32>,
    /// Key that the client submitted the run with.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub idempotency_key: Option<IdempotencyKey>,
}

impl RunRecord {
    /// Step and reason of the failure, if the run failed.
    pub fn step_failure(&self) -> Option<Failure> {
        let (step, reason) = self.failure.clone()?;
        Some(Failure { step, reason })
    }
}

/// A workflow document with its inputs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// File, or `file#process`, that is run.
    pub main: String,
    /// Contents of all files, by path.
    pub files: BTreeMap<String, String>,
    /// Input values.
    pub inputs: serde_json::Value,
    /// Values for jobs whose tools do not state them.
    pub defaults: Defaults,
}

impl Bundle {
    /// Digest of what the client submitted, in hexadecimal digits. The defaults are the service's.
    pub fn digest(&self) -> String {
        let submitted = (&self.main, &self.files, &self.inputs);
        let text = serde_json::to_vec(&submitted).unwrap_or_default();
        let digest = Sha256::digest(&text);
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl oliveshift_cwl::load::Resolver for Bundle {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = self.files.get(path).cloned();
        text.ok_or_else(|| "the file was not submitted with the document".to_owned())
    }
}

/// The run that was submitted with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// The run.
    pub run: RunId,
    /// [`Bundle::digest`] of the submission.
    pub digest: String,
}

/// A job of a run, with everything needed to submit it again. Written before the first
/// submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of the step.
    pub step: String,
    /// Index of the group of the step's members that the job runs.
    pub group: u32,
    /// Specification that is submitted to the user API.
    pub spec: JobSpec,
}

impl JobRecord {
    /// Key of the job within its run.
    pub fn key(&self) -> JobKey {
        JobKey {
            step: self.step.clone(),
            group: self.group,
        }
    }
}

/// A run as read from all of its records.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRun {
    /// The run's own record.
    pub record: RunRecord,
    /// Version of that record in the state service.
    pub version: u64,
    /// Document and inputs.
    pub bundle: Bundle,
    /// Outputs; null until the run is complete.
    pub outputs: serde_json::Value,
    /// Jobs of the run's steps.
    pub jobs: Vec<JobRecord>,
    /// Number of records that hold the jobs.
    pub job_pieces: usize,
}

impl StoredRun {
    /// A run without jobs and outputs.
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

/// Claim of an instance to a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRecord {
    /// Name of the instance; empty if the range was released.
    pub holder: String,
    /// Start number of the instance; it differs between starts.
    pub start: u64,
}

/// Key of an instance's membership record.
pub fn member_key(name: &str) -> String {
    format!("wf/m/{name}")
}

/// Key of a range's claim.
pub fn range_key(range: u32) -> String {
    format!("wf/g/{range}")
}

/// Key of a run's record, or the prefix of its pieces; `kind` is `r`, `t`, `j` or `c`.
pub fn run_key(kind: char, id: RunId) -> String {
    format!("wf/{kind}/{}/{:016x}", id.range, id.number)
}

/// Key of the record of a submission.
pub fn submission_key(key: &IdempotencyKey) -> String {
    format!("wf/k/{key}")
}

/// Key of one piece of a run. The numbers are zero-padded so that keys sort by number.
pub fn piece_key(kind: char, id: RunId, number: usize) -> String {
    format!("{}/{number:06}", run_key(kind, id))
}

/// Parses the id of the run that a key belongs to.
pub fn run_id_of_key(key: &str) -> Option<RunId> {
    let mut parts = key.split('/').skip(2);
    Some(RunId {
        range: parts.next()?.parse().ok()?,
        number: u64::from_str_radix(parts.next()?, 16).ok()?,
    })
}

/// Change that stores a record as JSON text.
pub fn put_record<T: Serialize>(key: String, record: &T) -> Change {
    let text = serde_json::to_string(record).unwrap_or_default();
    put_text(key, text)
}

/// Change that stores a text without a lease.
pub fn put_text(key: String, text: String) -> Change {
    Change::Put {
        key,
        value: Value::from(text),
        lease: None,
    }
}

/// Parses a record. Returns `None` if this version of the program cannot read it.
pub fn parse_record<T: DeserializeOwned>(item: &Item) -> Option<T> {
    serde_json::from_str(item.value.as_str()?).ok()
}

/// Splits a text into pieces whose JSON form takes at most `max_bytes` each.
pub fn split_text(text: &str, max_bytes: usize) -> Vec<String> {
    let mut pieces = vec![String::new()];
    let mut size = 2;
    for c in text.chars() {
        // Upper bound of the character's JSON form, with the longest escape.
        let char_bytes = match c {
            '"' | '\\' => 2,
            c if c < ' ' => 6,
            c => c.len_utf8(),
        };
        if size + char_bytes > max_bytes {
            pieces.push(String::new());
            size = 2;
        }
        size += char_bytes;
        if let Some(last) = pieces.last_mut() {
            last.push(c);
        }
    }
    pieces
}

#[cfg(test)]
mod tests;
