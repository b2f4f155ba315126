//! A step as a native job, with what staff would say of it.

use std::collections::BTreeMap;

use oliveshift_cwl::{
    Engine, Fault,
    command::{OutputDir, OutputEntry},
    document::{Step, Tool},
    expr::{Object, Scope},
    requirements::Placement,
};
use oliveshift_wire::{
    JobId,
    job::{JobSpec, Priority, Shape},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What is taken for tasks of whom nothing is said, in seconds.
const ESTIMATE_S: f64 = 60.0;
/// The same for images, in GB.
const IMAGE_GB: f64 = 1.0;

/// What the members of a job have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRequirements {
    cores: f64,
    ram_mib: f64,
    image: String,
    placement: Placement,
}

impl TaskRequirements {
    /// Processors.
    pub fn cpus(&self) -> f64 {
        self.cores
    }

    /// Memory, in GB.
    pub fn memory_gb(&self) -> f64 {
        self.ram_mib / 1024.0
    }

    /// The image.
    pub fn image(&self) -> &str {
        &self.image
    }

    /// How it is placed and ordered.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

/// What a member of a step needs. Without inputs only what depends on none of
/// them can be told; `None` otherwise.
///
/// # Errors
/// An expression throws, or gives no number.
pub fn task_requirements(
    tool: &Tool,
    inputs: Option<&Object>,
    engine: &Engine,
) -> Result<Option<TaskRequirements>, Fault> {
    let requirements = &tool.common.requirements;
    if inputs.is_none() && !requirements.resources_are_constant() {
        return Ok(None);
    }
    let scope = Scope {
        inputs: inputs.cloned().unwrap_or_default(),
        self_value: Value::Null,
        runtime: Value::Null,
        library: requirements.library(),
    };
    let (cores, ram_mib) = requirements.resources(&scope, engine)?;
    Ok(Some(TaskRequirements {
        cores,
        ram_mib,
        image: requirements.image().unwrap_or("none").to_owned(),
        placement: requirements.placement(),
    }))
}

/// What a run says of itself, for steps that don't.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Defaults {
    /// The team that pays.
    pub team: String,
    /// The class of work.
    pub class: String,
}

/// The job of a group of members; `gone_s` is how long ago the run was begun.
pub fn job_spec(
    id: JobId,
    requirements: &TaskRequirements,
    tasks: u32,
    awaits: Vec<JobId>,
    defaults: &Defaults,
    gone_s: f64,
) -> JobSpec {
    let TaskRequirements {
        cores,
        image,
        placement,
        ..
    } = requirements;
    let text = |given: &Option<String>, other: &String| given.as_ref().unwrap_or(other).clone();
    JobSpec {
        id,
        class: text(&placement.class, &defaults.class),
        team: text(&placement.team, &defaults.team),
        shape: Shape::Array,
        priority: match placement.urgency.as_deref() {
            Some("low") => Priority::Low,
            Some("high") => Priority::High,
            _ => Priority::Normal,
        },
        tasks,
        cpus: *cores,
        gpus: placement.gpus.unwrap_or(0.0),
        memory_gb: requirements.memory_gb(),
        image: image.clone(),
        image_gb: placement.image_gb.unwrap_or(IMAGE_GB),
        types: placement.types.clone(),
        zone: placement.zone.clone(),
        one_zone: false,
        spread: false,
        spot: placement.spot.unwrap_or(false),
        estimate_s: placement.estimate_s.unwrap_or(ESTIMATE_S),
        checkpoint_s: 0.0,
        save_s: 0.0,
        // From the run's start, as the partner counts; jobs count from theirs.
        deadline_s: placement.deadline_s.map(|d| (d - gone_s).max(1.0).round()),
        awaits,
    }
}

/// What a task has left behind, as its agent puts it into the object store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The exit code.
    #[serde(rename = "code")]
    pub exit_code: i64,
    /// Files and directories: path, whether a directory, bytes, location.
    #[serde(rename = "left")]
    pub files: Vec<(String, bool, u64, String)>,
    /// The beginnings of those that outputs are made from.
    pub texts: BTreeMap<String, String>,
}

impl OutputDir for TaskResult {
    fn list(&self) -> Vec<OutputEntry> {
        let files = self.files.iter();
        let files = files.map(|(path, is_dir, size, location)| OutputEntry {
            path: path.clone(),
            is_dir: *is_dir,
            size: *size,
            location: location.clone(),
        });
        files.collect()
    }

    fn read_text(&self, path: &str) -> Result<String, String> {
        let text = self.texts.get(path).cloned();
        text.ok_or_else(|| "its contents were not kept".to_owned())
    }
}

/// Whether a step's members can be counted and its needs told before its
/// inputs are there.
pub fn can_submit_early(step: &Step) -> bool {
    step.when.is_none() && step.inputs.iter().all(|i| !i.load_contents)
}
