//! Users: submitting, asking and cancelling.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use crate::{CodecError, JobId, codec};

/// The largest number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;

/// How a job's tasks end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run to completion only all at the same time.
    #[serde(rename = "group")]
    Gang,
}

/// Most urgent first, so that the order of the values is the order of serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Services that people look at.
    #[serde(rename = "critical")]
    Production,
    /// Rush work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Normal,
    /// Work for otherwise unused room.
    #[serde(rename = "idle")]
    Low,
}

/// What one task takes of its machine, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The name that the user chose.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The class that the operators' aims speak of.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team that is charged.
    #[serde(rename = "owner")]
    pub team: String,
    /// How its tasks end.
    pub shape: Shape,
    /// Who goes first.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks there are.
    #[serde(rename = "shards")]
    pub tasks: u32,
    /// Processors of each task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// The image that each task needs.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The image's size.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The machine types allowed; none named: all.
    #[serde(rename = "flavors", default)]
    pub types: Option<Vec<String>>,
    /// The only zone allowed.
    #[serde(rename = "site", default)]
    pub zone: Option<String>,
    /// All tasks have to be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Progress between two checkpoints; 0: never saved.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    /// When the job should be complete, from its submission on.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each
    /// named once.
    #[serde(
        default,
        deserialize_with = "each_once",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub awaits: Vec<JobId>,
}

fn each_once<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    let ids: Option<Vec<JobId>> = Deserialize::deserialize(from)?;
    let mut ids = ids.unwrap_or_default();
    ids.sort();
    ids.dedup();
    Ok(ids)
}

/// Why a submission is malformed.
#[derive(Debug, Error)]
pub enum BadJob {
    /// It is no map of the documented fields.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A field has a value that makes no sense.
    #[error("`{0}` is out of range")]
    Range(&'static str),
}

impl JobSpec {
    /// Reads and checks a submission.
    pub fn parse(body: &[u8]) -> Result<Self, BadJob> {
        let spec: Self = codec::decode(body)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), BadJob> {
        // So large that sums stay exact, yet no machine comes near it.
        const MOST: f64 = 1e9;
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(BadJob::Range("shards"));
        }
        let amounts = [
            ("vcpus", self.cpus),
            ("accelerators", self.gpus),
            ("ram_gb", self.memory_gb),
            ("size_gb", self.image_gb),
            ("expect_s", self.estimate_s),
            ("snapshot_s", self.checkpoint_s),
            ("flush_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, value) in amounts {
            if !(0.0..=MOST).contains(&value) {
                return Err(BadJob::Range(name));
            }
        }
        // A description has to fit the store beside other records.
        let types = self.types.iter().flatten();
        let texts = [&self.class, &self.team, &self.image];
        if texts.into_iter().chain(types).any(|t| t.len() > 200) {
            return Err(BadJob::Range("a name"));
        }
        if self.types.as_ref().is_some_and(|t| t.len() > 64) {
            return Err(BadJob::Range("flavors"));
        }
        Ok(())
    }

    /// What each task takes.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Whether a task keeps its progress when it is stopped with time to save.
    pub fn can_save(&self) -> bool {
        self.checkpoint_s > 0.0
    }

    /// Time to save when stopped.
    pub fn save_time(&self) -> Duration {
        Duration::from_secs_f64(self.save_s)
    }

    /// Whether a machine type is among the allowed ones.
    pub fn allows_type(&self, name: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| t == name))
    }

    /// Whether a zone is allowed.
    pub fn allows_zone(&self, name: &str) -> bool {
        self.zone.as_ref().is_none_or(|z| z == name)
    }

    /// The most tasks that may be in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// What users see of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The answer to a submission, a question or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Its phase.
    pub phase: JobPhase,
    /// Tasks done, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is wrong, for people.
    pub error: String,
}
