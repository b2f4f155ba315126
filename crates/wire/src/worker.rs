//! Workers: reports, orders and the answers to both.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where it takes direct orders.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Its machine type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Its session, which ends with its lease.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Counts its messages.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest token it has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskReport>,
}

/// One task in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "shard")]
    pub task: TaskId,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Where it stands.
    #[serde(rename = "phase")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether its progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// Where a task on a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Has its image and waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "flushing")]
    Saving,
    /// Is over.
    #[serde(rename = "ended")]
    Exited,
    /// A state of a newer worker; it is on the machine.
    #[serde(other, rename = "unknown")]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by order.
    #[serde(rename = "stopped")]
    Stopped,
    /// Refused: not enough room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: here under another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// Lost a member of its gang.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// Waited in vain for its gang.
    #[serde(rename = "alone")]
    GangTimeout,
    /// Failed, or a cause of a newer worker.
    #[serde(other, rename = "error")]
    Error,
}

/// What a worker is to do with a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Start it.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop it, with time to save.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "drain_s")]
        grace_s: f64,
    },
    /// Leave the ended task out of further reports.
    #[serde(rename = "forget")]
    Forget {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// The token under which the orders are given.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The orders, in order.
    #[serde(rename = "orders")]
    pub orders: Vec<Order>,
}

/// Sends a worker to another controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to.
    #[serde(rename = "upstream", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Orders sent to a worker directly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The token under which they are given.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The session that they are meant for.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// The orders, in order.
    pub orders: Vec<Order>,
}
