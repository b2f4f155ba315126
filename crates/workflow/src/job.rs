//! Builds a native job from a workflow step: its resources, and its placement
//! options from the hints of the step or from defaults.

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

/// Estimated run time in seconds of a task whose step gives no estimate.
const DEFAULT_ESTIMATE_S: f64 = 60.0;
/// Image size in GB of a task whose step gives no size.
const DEFAULT_IMAGE_GB: f64 = 1.0;

/// The resources, image and placement that all tasks of a job share.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRequirements {
    cores: f64,
    ram_mib: f64,
    image: String,
    placement: Placement,
}

impl TaskRequirements {
    /// CPUs per task.
    pub fn cpus(&self) -> f64 {
        self.cores
    }

    /// Memory per task, in GB; one GB is taken as 1024 MiB.
    pub fn memory_gb(&self) -> f64 {
        self.ram_mib / 1024.0
    }

    /// The container image; `none` if the tool names no image.
    pub fn image(&self) -> &str {
        &self.image
    }

    /// Placement and priority options.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

/// Computes the requirements of one member of a step. Returns `None` if `inputs`
/// is `None` and the resources depend on the inputs.
///
/// # Errors
/// A resource expression throws, or its value is not a number above zero.
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

/// The options of a run for steps that do not set their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Defaults {
    /// The team that is charged.
    pub team: String,
    /// The job class.
    pub class: String,
}

/// Builds the job for a group of members. `elapsed_s` is the time since the run
/// started, in seconds.
pub fn job_spec(
    id: JobId,
    requirements: &TaskRequirements,
    tasks: u32,
    awaits: Vec<JobId>,
    defaults: &Defaults,
    elapsed_s: f64,
) -> JobSpec {
    let TaskRequirements {
        cores,
        image,
        placement,
        ..
    } = requirements;
    let or_default =
        |given: &Option<String>, default: &String| given.as_ref().unwrap_or(default).clone();
    JobSpec {
        id,
        class: or_default(&placement.class, &defaults.class),
        team: or_default(&placement.team, &defaults.team),
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
        image_gb: placement.image_gb.unwrap_or(DEFAULT_IMAGE_GB),
        types: placement.types.clone(),
        zone: placement.zone.clone(),
        one_zone: false,
        spread: false,
        spot: placement.spot.unwrap_or(false),
        estimate_s: placement.estimate_s.unwrap_or(DEFAULT_ESTIMATE_S),
        checkpoint_s: 0.0,
        save_s: 0.0,
        // Clients give deadlines relative to the start of the run, but a job's
        // deadline is relative to its submission.
        deadline_s: placement
            .deadline_s
            .map(|d| (d - elapsed_s).max(1.0).round()),
        awaits,
    }
}

/// The result of a task, as its agent writes it to the object store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The exit code.
    #[serde(rename = "code")]
    pub exit_code: i64,
    /// Files and directories in the output directory: path, whether it is a
    /// directory, size in bytes, location.
    #[serde(rename = "left")]
    pub files: Vec<(String, bool, u64, String)>,
    /// By path, the first part of the contents of each file that an output is
    /// evaluated from.
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
        text.ok_or_else(|| "the task result does not hold the contents of this file".to_owned())
    }
}

/// Whether a step permits its job to be submitted before the step's inputs are
/// known: it has no `when` condition and none of its inputs loads file contents.
pub fn can_submit_early(step: &Step) -> bool {
    step.when.is_none() && step.inputs.iter().all(|i| !i.load_contents)
}
