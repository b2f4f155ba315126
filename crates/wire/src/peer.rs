//! Messages between controllers, encoded as borsh: the order and types of fields and
//! variants are fixed, the names are not transferred.
//!
//! All of these messages are advisory. Losing one can make decisions worse, but never
//! unsafe.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::TaskId;

/// The regular message of a controller to a peer.
///
/// It contains only the machines that changed after `base_version`, which the receiver has
/// confirmed, up to `new_version`. A receiver with an older version refuses the message
/// and is sent all machines next.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerMessage {
    /// Name of the sender.
    pub from: String,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// How long ago the sender's view of the state service was complete; `None` if it never
    /// was.
    pub contact_age_ms: Option<u64>,
    /// The version after which the machines in this message have changed; 0 if the
    /// message contains all machines.
    pub base_version: u64,
    /// The version that the receiver has after it has applied this message.
    pub new_version: u64,
    /// Changed machines of the sender's blocks.
    pub machines: Vec<MachineSummary>,
    /// Tasks of the sender's blocks that have ended or been returned to the leader, which
    /// is not recorded yet. They no longer take resources.
    pub unrecorded: Vec<TaskId>,
    /// From the leader: machines to drain, which get no new tasks.
    pub drain: Vec<String>,
    /// From the leader: tasks to preempt.
    pub preempt: Vec<TaskId>,
}

/// The status of a machine as its holder sees it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineSummary {
    /// Name of the machine.
    pub name: String,
    /// The term under which its block is held.
    pub term: u64,
    /// Whether tasks can be placed on it.
    pub usable: bool,
    /// Whether the machine is faulty and is to be replaced.
    pub faulty: bool,
    /// How long its worker has been silent; `None` if it reported recently.
    pub silent_ms: Option<u64>,
    /// How long it has had no task; `None` if it has any.
    pub idle_ms: Option<u64>,
    /// Free processors, accelerators and memory.
    pub free: [f64; 3],
    /// Images that it presumably has in its cache.
    pub images: Vec<String>,
    /// Tasks bound to it.
    pub tasks: Vec<TaskId>,
}

/// What a controller knows about its links to workers. It is sent while there is something
/// to report, and a few times empty afterwards to revoke earlier messages. Older programs
/// do not support this message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReachabilityMessage {
    /// Name of the sender.
    pub from: String,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Blocks whose workers the sender does not hear as their holder, or did not hear
    /// when it lost them recently.
    pub unheard_blocks: Vec<u32>,
    /// Zones whose workers the sender does not reach.
    pub unreached_zones: Vec<String>,
    /// Workers that reported to the sender although another controller holds their blocks.
    pub strays: Vec<StrayWorker>,
}

/// A worker that reported to a controller that does not hold its block.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StrayWorker {
    /// Name of the worker's machine.
    pub machine: String,
    /// The block of the machine.
    pub block: u32,
    /// The term under which another controller holds the block.
    pub term: u64,
    /// Whether the holder had had the block long enough to be found by the worker.
    pub settled: bool,
    /// How often it reported to the sender. Reports without a redirect in between count once.
    pub times: u32,
    /// How long ago it reported to the sender last.
    pub ago_ms: u64,
}

/// A user's request that the controller cannot serve and relays to a peer. Older programs
/// do not support this message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedRequest {
    /// Whether it is a status query (GET) instead of a submission or cancellation (POST).
    pub is_query: bool,
    /// The path, without its query string.
    pub path: String,
    /// The body as the user sent it.
    pub body: Vec<u8>,
}

/// The answer that the user gets to a relayed request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// After how many milliseconds the user should retry.
    pub retry_after_ms: Option<u64>,
}

/// The controller that a forwarded report is addressed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReportAddressee {
    /// The holder of the machine's block under this term.
    Holder {
        /// The block.
        block: u32,
        /// The term.
        term: u64,
    },
    /// The leader, because no record exists for the machine.
    Leader,
}

/// A worker's report, forwarded by a controller that cannot answer it to the one that can.
/// Older programs do not support this message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedReport {
    /// Name of the controller that forwards it.
    pub from: String,
    /// The controller that it is addressed to.
    pub addressee: ReportAddressee,
    /// The report as the worker encodes it.
    pub body: Vec<u8>,
}

/// Identifies one report of a worker.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReportId {
    /// Name of the worker's machine.
    pub machine: String,
    /// The worker's session.
    pub session: u64,
    /// Sequence number of the report.
    pub seq: u64,
}

/// The answer that the worker gets to a forwarded report.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedAnswer {
    /// The report that it answers.
    pub report: ReportId,
    /// The HTTP status.
    pub status: u16,
    /// The body, in the form that the worker decodes.
    pub body: Vec<u8>,
}

/// The answer to a query for a controller's format level, supported since level 2. Unlike
/// the messages above, its encoding never changes.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FormatLevelAnswer {
    /// Name of the controller that answers.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The highest format level of records that it can read and write.
    pub level: u32,
}
