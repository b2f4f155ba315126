//! A directory that stands for the object store.
//!
//! `store://a/b` is the file `a/b`. What task 3 of a job has left behind is
//! `results/JOB/3.json`, a [`TaskResult`], which its agent writes whole before
//! it says that the task is done.

use std::{io::Read, path::PathBuf};

use oliveshift_cwl::command::MAX_CONTENTS;
use oliveshift_wire::JobId;
use oliveshift_workflow::job::TaskResult;

/// The directory.
#[derive(Clone, Debug)]
pub struct ObjectStore(pub PathBuf);

impl ObjectStore {
    /// What all tasks of a job have left behind; none: not all of it is there.
    pub fn results(&self, job: &JobId, tasks: u32) -> Option<Vec<TaskResult>> {
        let dir = self.0.join("results").join(job.as_str());
        let read = |i: u32| -> Option<TaskResult> {
            let text = std::fs::read(dir.join(format!("{i}.json"))).ok()?;
            serde_json::from_slice(&text).ok()
        };
        (0..tasks).map(read).collect()
    }

    /// The beginning of a file; none: there is no such file, or it is no text.
    pub fn text(&self, location: &str) -> Option<String> {
        let path = location.strip_prefix("store://")?;
        if path.split('/').any(|part| matches!(part, "" | "." | "..")) {
            return None;
        }
        let mut bytes = Vec::new();
        let file = std::fs::File::open(self.0.join(path)).ok()?;
        file.take(MAX_CONTENTS as u64)
            .read_to_end(&mut bytes)
            .ok()?;
        String::from_utf8(bytes).ok()
    }
}
