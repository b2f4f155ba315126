//! The API of the GA4GH Workflow Execution Service (WES) 1.1, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The path prefix of all requests.
pub const BASE_PATH: &str = "/ga4gh/wes/v1";
/// The version of the API that is implemented.
pub const API_VERSION: &str = "1.1.0";

/// The description of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// The id of the service.
    pub id: String,
    /// The human-readable name of the service.
    pub name: String,
    /// The API that it implements.
    #[serde(rename = "type")]
    pub kind: ServiceType,
    /// The organization that runs it.
    pub organization: Organization,
    /// The version of the program.
    pub version: String,
    /// Supported versions of each workflow language.
    pub workflow_type_versions: BTreeMap<String, TypeVersions>,
    /// Supported versions of this API.
    pub supported_wes_versions: Vec<String>,
    /// Supported protocols for the locations of files.
    pub supported_filesystem_protocols: Vec<String>,
    /// Versions of each workflow engine.
    pub workflow_engine_versions: BTreeMap<String, EngineVersions>,
    /// Default parameters of the engine; always empty.
    pub default_workflow_engine_parameters: Vec<Value>,
    /// Number of runs in progress on this server, by state.
    pub system_state_counts: BTreeMap<State, usize>,
    /// URL of the instructions for authentication.
    pub auth_instructions_url: String,
    /// Tags; always empty.
    pub tags: BTreeMap<String, String>,
}

/// The API that a service implements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceType {
    /// The namespace, `org.ga4gh`.
    pub group: String,
    /// The name of the API, `wes`.
    pub artifact: String,
    /// The version of the API.
    pub version: String,
}

/// The organization that runs a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organization {
    /// Name of the organization.
    pub name: String,
    /// URL of its web site.
    pub url: String,
}

/// Supported versions of a workflow language.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TypeVersions {
    /// The versions.
    pub workflow_type_version: Vec<String>,
}

/// Versions of a workflow engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineVersions {
    /// The versions.
    pub workflow_engine_version: Vec<String>,
}

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    /// The run is in progress.
    Running,
    /// The run is being cancelled.
    Canceling,
    /// The run has completed successfully.
    Complete,
    /// A step failed.
    ExecutorError,
    /// The service could not execute the run.
    SystemError,
    /// The run was cancelled.
    Canceled,
}

/// The answer that names a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunId {
    /// The id of the run.
    pub run_id: String,
}

/// The status of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The id of the run.
    pub run_id: String,
    /// Its state.
    pub state: State,
}

/// A run in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The id of the run.
    pub run_id: String,
    /// Its state.
    pub state: State,
    /// When the run started, as an RFC 3339 time.
    pub start_time: String,
    /// When it ended, as an RFC 3339 time; `None` while it is in progress.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub end_time: Option<String>,
    /// Tags; always empty.
    pub tags: BTreeMap<String, String>,
}

/// A page of the list of runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// The runs on this page.
    pub runs: Vec<RunSummary>,
    /// Token that requests the next page; empty on the last page.
    pub next_page_token: String,
}

/// The request that started a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The inputs of the workflow.
    pub workflow_params: Value,
    /// The workflow language, `CWL`.
    pub workflow_type: String,
    /// The version of the language, `v1.2`.
    pub workflow_type_version: String,
    /// The workflow document, as a name among the attachments.
    pub workflow_url: String,
}

/// The log of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Name of the workflow document.
    pub name: String,
    /// When the run started, as an RFC 3339 time.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub start_time: Option<String>,
    /// When the run ended, as an RFC 3339 time.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub end_time: Option<String>,
    /// The reasons of its failure, one line each.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub system_logs: Vec<String>,
}

/// The log of a step's job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLog {
    /// The id of the job in the users' API.
    pub id: String,
    /// The name of the step.
    pub name: String,
    /// Messages about the job, one line each.
    pub system_logs: Vec<String>,
}

/// The full description of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLog {
    /// The id of the run.
    pub run_id: String,
    /// The request that started it.
    pub request: RunRequest,
    /// The state of the run.
    pub state: State,
    /// The log of the run.
    pub run_log: Log,
    /// The logs of its jobs.
    pub task_logs: Vec<TaskLog>,
    /// The outputs of the workflow; null until the run is complete.
    pub outputs: Value,
}

/// The body of an answer with an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Human-readable reason of the error.
    pub msg: String,
    /// The HTTP status.
    pub status_code: u16,
}
