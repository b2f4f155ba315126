//! The users' API: submitting jobs, reading their status and cancelling them.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use crate::{CodecError, JobId, codec};

/// The largest number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;

/// The kind of a job, which determines how its tasks start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas of a service, which run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run to completion and have to run all at the same time.
    #[serde(rename = "group")]
    Gang,
}

/// The priority of a job. Declared from most to least urgent: jobs are served in the
/// derived order, lowest value first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// User-facing services.
    #[serde(rename = "critical")]
    Production,
    /// Urgent work.
    #[serde(rename = "high")]
    High,
    /// Regular work.
    #[serde(rename = "standard")]
    Normal,
    /// Work for capacity that is otherwise unused.
    #[serde(rename = "idle")]
    Low,
}

/// The resources that a task takes or that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of processors.
    pub cpus: f64,
    /// Number of accelerators.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// The specification of a job, as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id that the user chose.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The class of the job, which the operators' objectives refer to.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team that the job is charged to.
    #[serde(rename = "owner")]
    pub team: String,
    /// The kind of the job.
    pub shape: Shape,
    /// The priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shards")]
    pub tasks: u32,
    /// Processors that each task takes.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators that each task takes.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// The image that each task runs from.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The machine types that are allowed; `None` allows all.
    #[serde(rename = "flavors", default)]
    pub types: Option<Vec<String>>,
    /// The only zone that is allowed; `None` allows all.
    #[serde(rename = "site", default)]
    pub zone: Option<String>,
    /// Whether all tasks have to be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The user's estimate of a task's run time in seconds.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0 if progress is never saved.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    /// Seconds from submission within which the job should be complete.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this job starts, sorted and
    /// without duplicates.
    #[serde(
        default,
        deserialize_with = "sorted_and_deduplicated",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub awaits: Vec<JobId>,
}

fn sorted_and_deduplicated<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    let ids: Option<Vec<JobId>> = Deserialize::deserialize(from)?;
    let mut ids = ids.unwrap_or_default();
    ids.sort();
    ids.dedup();
    Ok(ids)
}

/// Errors in a submission.
#[derive(Debug, Error)]
pub enum BadJob {
    /// The body is not a map of the specified fields.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The value of a field is outside its range.
    #[error("`{0}` is out of range")]
    Range(&'static str),
}

impl JobSpec {
    /// Decodes and validates a submission.
    pub fn parse(body: &[u8]) -> Result<Self, BadJob> {
        let spec: Self = codec::decode(body)?;
        spec.check()?;
        Ok(spec)
    }

    /// The id in a submission whose other fields may be invalid; `None` if it has no valid id.
    pub fn parse_id(body: &[u8]) -> Option<JobId> {
        #[derive(Deserialize)]
        struct IdOnly {
            uid: JobId,
        }
        codec::decode::<IdOnly>(body).ok().map(|only| only.uid)
    }

    fn check(&self) -> Result<(), BadJob> {
        // Far above the resources of any machine, yet small enough for sums to stay exact.
        const MAX_AMOUNT: f64 = 1e9;
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
            if !(0.0..=MAX_AMOUNT).contains(&value) {
                return Err(BadJob::Range(name));
            }
        }
        // The specification has to fit into the state service together with other records.
        let types = self.types.iter().flatten();
        let texts = [&self.class, &self.team, &self.image];
        if texts.into_iter().chain(types).any(|t| t.len() > 200) {
            return Err(BadJob::Range("length of a name"));
        }
        if self.types.as_ref().is_some_and(|t| t.len() > 64) {
            return Err(BadJob::Range("flavors"));
        }
        Ok(())
    }

    /// The resources that each task takes.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Whether a task keeps its progress when it is stopped with enough time to save it.
    pub fn can_save(&self) -> bool {
        self.checkpoint_s > 0.0
    }

    /// The time that a task needs to save its progress when it is stopped.
    pub fn save_time(&self) -> Duration {
        Duration::from_secs_f64(self.save_s)
    }

    /// Whether the tasks may run on this machine type.
    pub fn allows_type(&self, name: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| t == name))
    }

    /// Whether the tasks may run in this zone.
    pub fn allows_zone(&self, name: &str) -> bool {
        self.zone.as_ref().is_none_or(|z| z == name)
    }

    /// The largest number of tasks that may be in one zone at the same time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// The phase of a job, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// The user has cancelled the job.
    Cancelled,
}

/// The answer to a submission, a status query or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The job's phase.
    pub phase: JobPhase,
    /// Number of tasks that are done, for display only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks, for display only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of every answer that refuses a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Human-readable reason of the refusal.
    pub error: String,
}
