//! The workers' API: reports, orders and the answers to both.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// A worker's regular report to its controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the worker's machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which it accepts direct orders.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// Zone of the machine.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The worker's session, which ends when its lease expires.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Sequence number of the worker's messages.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine, once it has announced that.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine. Ended ones are included until an order to forget them.
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskReport>,
}

/// The state of one attempt at a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "shard")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The state of the attempt.
    #[serde(rename = "phase")]
    pub state: TaskState,
    /// The cause of its end, once it has ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether the task's progress was saved.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The machine is fetching the task's image.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task has its image and waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task was ordered to stop and is saving its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this program does not know, of a newer worker. The task counts as
    /// being on the machine.
    #[serde(other, rename = "unknown")]
    Other,
}

/// The cause of a task's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by an order.
    #[serde(rename = "stopped")]
    Stopped,
    /// The start was refused: the machine lacks the resources.
    #[serde(rename = "no_room")]
    NoRoom,
    /// The start was refused: another attempt at the task is on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The start was refused: the job or task does not exist.
    #[serde(rename = "no_such")]
    Unknown,
    /// Another member of its gang was lost.
    #[serde(rename = "peers")]
    GangMemberLost,
    /// The rest of its gang did not become ready in time.
    #[serde(rename = "alone")]
    GangTimeout,
    /// The task failed, or the cause is one of a newer worker that this program does not
    /// know.
    #[serde(other, rename = "error")]
    Error,
}

/// An order to a worker about one attempt at a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Start the attempt.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the attempt, with time to save its progress.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "shard")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds for saving its progress.
        #[serde(rename = "drain_s")]
        grace_s: f64,
    },
    /// Leave the ended attempt out of further reports.
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
    /// The fencing token under which the orders are given.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The orders, to be carried out in this order.
    #[serde(rename = "orders")]
    pub orders: Vec<Order>,
}

/// An answer that redirects a worker to another controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to report to.
    #[serde(rename = "upstream", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Orders sent to a worker directly, not in the answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The fencing token under which the orders are given.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The worker's session that the orders apply to.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// The orders, to be carried out in this order.
    pub orders: Vec<Order>,
}
