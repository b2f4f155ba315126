//! The GA4GH Workflow Execution Service 1.1, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The path that all requests begin with.
pub const BASE_PATH: &str = "/ga4gh/wes/v1";
/// The version that is spoken.
pub const API_VERSION: &str = "1.1.0";

/// What the service is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Its name.
    pub id: String,
    /// The same for people.
    pub name: String,
    /// What it implements.
    #[serde(rename = "type")]
    pub kind: ServiceType,
    /// Whose it is.
    pub organization: Organization,
    /// The version of the program.
    pub version: String,
    /// Versions of each workflow language.
    pub workflow_type_versions: BTreeMap<String, TypeVersions>,
    /// Versions of this interface.
    pub supported_wes_versions: Vec<String>,
    /// Where files may be.
    pub supported_filesystem_protocols: Vec<String>,
    /// What runs workflows.
    pub workflow_engine_versions: BTreeMap<String, EngineVersions>,
    /// Parameters of the engine; none.
    pub default_workflow_engine_parameters: Vec<Value>,
    /// Runs under way here, by state.
    pub system_state_counts: BTreeMap<State, usize>,
    /// Where to read about access.
    pub auth_instructions_url: String,
    /// Nothing.
    pub tags: BTreeMap<String, String>,
}

/// What a service implements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceType {
    /// `org.ga4gh`.
    pub group: String,
    /// `wes`.
    pub artifact: String,
    /// The version.
    pub version: String,
}

/// Whose a service is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organization {
    /// The name.
    pub name: String,
    /// The site.
    pub url: String,
}

/// Versions of a workflow language.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TypeVersions {
    /// Those that are understood.
    pub workflow_type_version: Vec<String>,
}

/// Versions of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineVersions {
    /// Those that are there.
    pub workflow_engine_version: Vec<String>,
}

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    /// It runs.
    Running,
    /// It is being cancelled.
    Canceling,
    /// It is complete.
    Complete,
    /// A step failed.
    ExecutorError,
    /// The service could not run it.
    SystemError,
    /// It was cancelled.
    Canceled,
}

/// A run's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunId {
    /// The name.
    pub run_id: String,
}

/// How a run is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run_id: String,
    /// Its state.
    pub state: State,
}

/// A run in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The run.
    pub run_id: String,
    /// Its state.
    pub state: State,
    /// When it was begun, by RFC 3339.
    pub start_time: String,
    /// When it ended.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub end_time: Option<String>,
    /// Nothing.
    pub tags: BTreeMap<String, String>,
}

/// A page of runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// The runs.
    pub runs: Vec<RunSummary>,
    /// Asks for the next page; empty: there is none.
    pub next_page_token: String,
}

/// What was asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// What goes in.
    pub workflow_params: Value,
    /// `CWL`.
    pub workflow_type: String,
    /// `v1.2`.
    pub workflow_type_version: String,
    /// The document among the attachments.
    pub workflow_url: String,
}

/// What became of a run or a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The step, or the document.
    pub name: String,
    /// When it was begun.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub start_time: Option<String>,
    /// When it ended.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub end_time: Option<String>,
    /// Why it failed, line by line.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub system_logs: Vec<String>,
}

/// A step's job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLog {
    /// The job, as the users' API has it.
    pub id: String,
    /// The step.
    pub name: String,
    /// Lines about it.
    pub system_logs: Vec<String>,
}

/// All about a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLog {
    /// The run.
    pub run_id: String,
    /// What was asked for.
    pub request: RunRequest,
    /// Its state.
    pub state: State,
    /// What became of it.
    pub run_log: Log,
    /// Its jobs.
    pub task_logs: Vec<TaskLog>,
    /// What came out; null until it is complete.
    pub outputs: Value,
}

/// Why there is no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// For people.
    pub msg: String,
    /// The HTTP status.
    pub status_code: u16,
}
