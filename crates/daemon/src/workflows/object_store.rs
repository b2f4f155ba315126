//! The object store, represented by a directory.
//!
//! `store://a/b` is the file `a/b`. The result of task 3 of a job is `results/JOB/3.json`, a
//! [`TaskResult`]; its agent writes the complete file before it reports the task as done.

use std::{io::Read, path::PathBuf};

use oliveshift_cwl::command::MAX_CONTENTS_BYTES;
use oliveshift_wire::JobId;
use oliveshift_workflow::job::TaskResult;

/// The object store in this directory.
#[derive(Clone, Debug)]
pub struct ObjectStore(pub PathBuf);

impl ObjectStore {
    /// The results of all tasks of a job; `None` if any of them is missing or unreadable.
    pub fn results(&self, job: &JobId, tasks: u32) -> Option<Vec<TaskResult>> {
        let dir = self.0.join("results").join(job.as_str());
        let read = |i: u32| -> Option<TaskResult> {
            let text = std::fs::read(dir.join(format!("{i}.json"))).ok()?;
            serde_json::from_slice(&text).ok()
        };
        (0..tasks).map(read).collect()
    }

    /// The first [`MAX_CONTENTS_BYTES`] bytes of a file; `None` if it cannot be read or is not UTF-8.
    pub fn text(&self, location: &str) -> Option<String> {
        let path = location.strip_prefix("store://")?;
        if path.split('/').any(|part| matches!(part, "" | "." | "..")) {
            return None;
        }
        let mut bytes = Vec::new();
        let file = std::fs::File::open(self.0.join(path)).ok()?;
        file.take(MAX_CONTENTS_BYTES as u64)
            .read_to_end(&mut bytes)
            .ok()?;
        String::from_utf8(bytes).ok()
    }
}
