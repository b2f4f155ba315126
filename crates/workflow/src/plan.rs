//! Dry run: lists the jobs that a document would submit with given inputs.

use oliveshift_cwl::{Engine, Fault, document::Process};
use serde::Serialize;
use serde_json::Value;

use crate::flow::Run;

/// The jobs of a document that are known from its inputs, and the steps whose
/// jobs depend on values that other steps produce.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The id of the document's main process.
    pub name: String,
    /// Jobs that can be submitted at the start of the run.
    pub jobs: Vec<PlannedJob>,
    /// Steps whose jobs are not known before other steps complete or files are read.
    #[serde(rename = "later")]
    pub deferred_steps: Vec<DeferredStep>,
}

/// A job that would be submitted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedJob {
    /// The path of its step.
    pub step: String,
    /// The number of tasks.
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// Memory per task, in GB.
    pub memory_gb: f64,
    /// The container image; `none` if the tool names no image.
    pub image: String,
    /// The team that is charged; `None` if the step uses the default of the run.
    pub team: Option<String>,
    /// The priority: `low`, `normal` or `high`.
    pub urgency: String,
    /// Steps whose jobs must be done before this one starts.
    pub awaits: Vec<String>,
}

/// A step whose jobs are not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DeferredStep {
    /// The path of the step.
    pub step: String,
    /// What is not known yet and which steps decide it, as text for users.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Lists the jobs that a run of the process with these inputs would submit.
///
/// # Errors
/// The inputs don't match the declared parameters, or a step whose inputs are
/// known can't be evaluated.
pub fn plan(process: &Process, inputs: &Value) -> Result<Plan, String> {
    let text = |fault: Fault| fault.to_string();
    let mut run = Run::new(process, inputs, Engine::default()).map_err(text)?;
    let requests = run.advance();
    if let Some(failure) = run.failure() {
        return Err(failure.reason.clone());
    }
    let jobs = requests.into_iter().map(|request| PlannedJob {
        step: request.key.step,
        tasks: request.tasks,
        cpus: request.requirements.cpus(),
        memory_gb: request.requirements.memory_gb(),
        image: request.requirements.image().to_owned(),
        team: request.requirements.placement().team.clone(),
        urgency: request
            .requirements
            .placement()
            .urgency
            .clone()
            .unwrap_or("normal".into()),
        awaits: request.awaits.into_iter().map(|key| key.step).collect(),
    });
    Ok(Plan {
        name: process.common().id.clone(),
        jobs: jobs.collect(),
        deferred_steps: run
            .waiting_steps()
            .map(|(step, reason)| DeferredStep { step, reason })
            .collect(),
    })
}
