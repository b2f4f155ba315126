//! What would be submitted for a document with these inputs, for people.

use oliveshift_cwl::{Engine, Fault, document::Process};
use serde::Serialize;
use serde_json::Value;

use crate::flow::Run;

/// What becomes of a document at once, and what depends on values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Jobs that go in at once.
    pub jobs: Vec<PlannedJob>,
    /// Steps whose jobs are known later.
    #[serde(rename = "later")]
    pub deferred_steps: Vec<DeferredStep>,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedJob {
    /// The step.
    pub step: String,
    /// How many tasks.
    pub tasks: u32,
    /// Processors of each.
    pub cpus: f64,
    /// Memory of each, in GB.
    pub memory_gb: f64,
    /// The image.
    pub image: String,
    /// The team that pays; none: the run's.
    pub team: Option<String>,
    /// Its urgency.
    pub urgency: String,
    /// Steps whose jobs it awaits.
    pub awaits: Vec<String>,
}

/// A step whose job is known later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DeferredStep {
    /// The step.
    pub step: String,
    /// What it waits for.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Plans a document.
///
/// # Errors
/// The inputs don't fit, or a step of which all is known has a fault.
pub fn plan(process: &Process, inputs: &Value) -> Result<Plan, String> {
    let text = |fault: Fault| fault.to_string();
    let mut run = Run::new(process, inputs, Engine::default()).map_err(text)?;
    let work = run.advance();
    if let Some(failure) = run.failure() {
        return Err(failure.reason.clone());
    }
    let jobs = work.into_iter().map(|work| PlannedJob {
        step: work.key.step,
        tasks: work.tasks,
        cpus: work.requirements.cpus(),
        memory_gb: work.requirements.memory_gb(),
        image: work.requirements.image().to_owned(),
        team: work.requirements.placement().team.clone(),
        urgency: work
            .requirements
            .placement()
            .urgency
            .clone()
            .unwrap_or("normal".into()),
        awaits: work.awaits.into_iter().map(|key| key.step).collect(),
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
