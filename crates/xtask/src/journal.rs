//! Reads the journal entries that the bench writes to `journal/`. Only the fields that xtask
//! uses are declared.

use std::{collections::BTreeMap, path::Path, path::PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Journal entry: one run of the bench on one site.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Unique id; the file name ends with it.
    pub id: String,
    /// Subcommand of the bench: `score`, `run` or `hunt`.
    #[serde(default)]
    pub cmd: String,
    /// Arguments of the subcommand.
    #[serde(default)]
    pub argv: Vec<String>,
    /// Name of the site; `None` if the run failed before it was known.
    #[serde(default)]
    pub site: Option<String>,
    /// Commit that was checked out.
    #[serde(default)]
    pub head: Option<String>,
    /// Whether the checkout had uncommitted changes.
    #[serde(default)]
    pub dirty: bool,
    /// Whether the run completed.
    #[serde(default)]
    pub ok: bool,
    /// Why the run did not complete.
    #[serde(default)]
    pub error: Option<String>,
    /// Score of the site, between 0 and 1; `None` for runs of single days.
    #[serde(default)]
    pub score: Option<f64>,
    /// Simulated days of the run.
    #[serde(default)]
    pub days: Vec<Day>,
}

/// One simulated day of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    /// Name of the day.
    pub name: String,
    /// Score of the day, between 0 and 1.
    #[serde(rename = "G", default)]
    pub score: Option<f64>,
    /// Broken rules and how often each was broken.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// Why the day could not be run.
    #[serde(default)]
    pub fault: Option<serde_json::Value>,
    /// Number of processes that exited on their own.
    #[serde(default)]
    pub restarts: Option<f64>,
    /// Each objective as `NAME: REACHED VALUE`, with its score between 0 and 1.
    #[serde(rename = "aims", default)]
    pub objectives: Vec<(String, f64)>,
}

/// Error while reading the journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A folder or file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// A file is not a valid journal entry.
    #[error("{0} is not a valid journal entry: {1}")]
    Entry(String, serde_json::Error),
    /// No entry has the requested id.
    #[error("no journal entry has the id `{0}`")]
    UnknownId(String),
}

impl Entry {
    /// Parses an entry; `name` identifies it in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, JournalError> {
        serde_json::from_str(text).map_err(|e| JournalError::Entry(name.to_owned(), e))
    }

    /// Whether the bench ran `score`, which runs the standard days of the site.
    pub fn is_score(&self) -> bool {
        self.cmd == "score"
    }

    /// Whether only the hardest days were run (`--quick`).
    pub fn is_quick(&self) -> bool {
        self.argv.iter().any(|a| a == "--quick")
    }

    /// Whether this is a completed full score of a commit without uncommitted changes.
    pub fn is_reference(&self) -> bool {
        self.ok && self.is_score() && !self.is_quick() && !self.dirty && self.score.is_some()
    }

    /// Broken rules as `RULE (DAY)`.
    pub fn broken_rules(&self) -> Vec<String> {
        let days = self.days.iter();
        let broken = days.flat_map(|d| d.rules.keys().map(move |r| format!("{r} ({})", d.name)));
        broken.collect()
    }

    /// Days that have a fault or a score of 0 or none, although no rule was broken.
    pub fn failed_days(&self) -> Vec<String> {
        let failed = |d: &&Day| d.fault.is_some() || d.score.is_none_or(|f| f <= 0.0);
        let days = self.days.iter().filter(failed);
        days.filter(|d| d.rules.is_empty())
            .map(|d| d.name.clone())
            .collect()
    }

    /// Total number of processes that exited on their own.
    pub fn unexpected_exits(&self) -> f64 {
        self.days.iter().filter_map(|d| d.restarts).sum()
    }
}

/// Files of the journal, oldest first: their names start with the time.
pub fn files(folder: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let read = |e| JournalError::Read(folder.display().to_string(), e);
    let mut files = Vec::new();
    for file in std::fs::read_dir(folder).map_err(read)? {
        let path = file.map_err(read)?.path();
        if path.extension().is_some_and(|e| e == "json") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Reads the entry in a file.
pub fn read(path: &Path) -> Result<Entry, JournalError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| JournalError::Read(name.clone(), e))?;
    Entry::parse(&name, &text)
}

/// Entries from the one with this id on; all entries without an id.
pub fn since(folder: &Path, id: Option<&str>) -> Result<Vec<Entry>, JournalError> {
    let mut files = files(folder)?;
    if let Some(id) = id {
        let ends = format!("-{id}");
        let is_it = |p: &PathBuf| {
            let stem = p.file_stem().map(|s| s.to_string_lossy().into_owned());
            stem.is_some_and(|s| s.ends_with(&ends))
        };
        let first = files.iter().position(is_it);
        let first = first.ok_or_else(|| JournalError::UnknownId(id.to_owned()))?;
        files.drain(..first);
    }
    files.iter().map(|path| read(path)).collect()
}
