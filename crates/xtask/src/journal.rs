//! The entries that the bench leaves in `journal/`, as far as we read them.

use std::{collections::BTreeMap, path::Path, path::PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// One run of the bench on one site.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Names it.
    pub id: String,
    /// The bench's verb: `score`, `run`, `hunt`.
    #[serde(default)]
    pub cmd: String,
    /// What the verb was given.
    #[serde(default)]
    pub argv: Vec<String>,
    /// The site's name; none if the run did not get so far.
    #[serde(default)]
    pub site: Option<String>,
    /// The commit that was checked out.
    #[serde(default)]
    pub head: Option<String>,
    /// Whether there were changes besides.
    #[serde(default)]
    pub dirty: bool,
    /// Whether the run came to its end.
    #[serde(default)]
    pub ok: bool,
    /// What kept it from that.
    #[serde(default)]
    pub error: Option<String>,
    /// The site's score, between 0 and 1; none for single days.
    #[serde(default)]
    pub score: Option<f64>,
    /// The days played.
    #[serde(default)]
    pub days: Vec<Day>,
}

/// One day of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Its figure, between 0 and 1.
    #[serde(rename = "G", default)]
    pub figure: Option<f64>,
    /// How often each rule was broken.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// Why it could not be played.
    #[serde(default)]
    pub fault: Option<serde_json::Value>,
    /// Processes that ended by themselves.
    #[serde(default)]
    pub restarts: Option<f64>,
    /// Each aim with what was reached, and its worth between 0 and 1.
    #[serde(default)]
    pub aims: Vec<(String, f64)>,
}

/// Why the journal can't be read.
#[derive(Debug, Error)]
pub enum BadJournal {
    /// A folder or file can't be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// An entry is not what the bench writes.
    #[error("{0} is no journal entry: {1}")]
    Entry(String, serde_json::Error),
    /// No entry has this id.
    #[error("no entry of the journal has the id `{0}`")]
    Unknown(String),
}

impl Entry {
    /// Reads one.
    pub fn parse(name: &str, text: &str) -> Result<Self, BadJournal> {
        serde_json::from_str(text).map_err(|e| BadJournal::Entry(name.to_owned(), e))
    }

    /// Whether it is a score of a site's standard days.
    pub fn is_score(&self) -> bool {
        self.cmd == "score"
    }

    /// Whether only the roughest days were played.
    pub fn is_quick(&self) -> bool {
        self.argv.iter().any(|a| a == "--quick")
    }

    /// Whether it is a full score of what a commit holds.
    pub fn is_reference(&self) -> bool {
        self.ok && self.is_score() && !self.is_quick() && !self.dirty && self.score.is_some()
    }

    /// Names of rules that were broken, with the day.
    pub fn broken(&self) -> Vec<String> {
        let days = self.days.iter();
        let broken = days.flat_map(|d| d.rules.keys().map(move |r| format!("{r} ({})", d.name)));
        broken.collect()
    }

    /// Days that count for nothing though no rule was broken.
    pub fn failed(&self) -> Vec<String> {
        let failed = |d: &&Day| d.fault.is_some() || d.figure.is_none_or(|f| f <= 0.0);
        let days = self.days.iter().filter(failed);
        days.filter(|d| d.rules.is_empty())
            .map(|d| d.name.clone())
            .collect()
    }

    /// Processes that ended by themselves.
    pub fn ended(&self) -> f64 {
        self.days.iter().filter_map(|d| d.restarts).sum()
    }
}

/// The files of a journal, the oldest first: their names begin with the time.
pub fn files(folder: &Path) -> Result<Vec<PathBuf>, BadJournal> {
    let read = |e| BadJournal::Read(folder.display().to_string(), e);
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

/// Reads an entry.
pub fn read(path: &Path) -> Result<Entry, BadJournal> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| BadJournal::Read(name.clone(), e))?;
    Entry::parse(&name, &text)
}

/// All entries from the one with this id on.
pub fn since(folder: &Path, id: Option<&str>) -> Result<Vec<Entry>, BadJournal> {
    let mut files = files(folder)?;
    if let Some(id) = id {
        let ends = format!("-{id}");
        let is_it = |p: &PathBuf| {
            let stem = p.file_stem().map(|s| s.to_string_lossy().into_owned());
            stem.is_some_and(|s| s.ends_with(&ends))
        };
        let first = files.iter().position(is_it);
        let first = first.ok_or_else(|| BadJournal::Unknown(id.to_owned()))?;
        files.drain(..first);
    }
    files.iter().map(|path| read(path)).collect()
}
