//! Messages between controllers. All of them are advice: losing them costs
//! quality and never safety.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::TaskId;

/// What a controller tells another.
///
/// Machines are told as differences: those that changed after the version
/// `base`, which the other has said to have, up to `upto`. A receiver that has
/// less than `base` refuses the message and is told everything.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerMessage {
    /// Who speaks.
    pub from: String,
    /// In which incarnation.
    pub incarnation: u64,
    /// How long ago its view of the state service was whole; none: never.
    pub contact_age_ms: Option<u64>,
    /// The version after which the machines told here have changed; 0: all are
    /// told.
    pub base_version: u64,
    /// The version that the receiver has with them.
    pub new_version: u64,
    /// Machines of the sender's blocks.
    pub machines: Vec<MachineSummary>,
    /// Tasks that are over or given back in the sender's blocks while the
    /// records do not say so yet: they take no room.
    pub unrecorded: Vec<TaskId>,
    /// From the leader: machines that get no new tasks and are to be emptied.
    pub drain: Vec<String>,
    /// From the leader: tasks that have to make room.
    pub preempt: Vec<TaskId>,
}

/// A machine as its holder sees it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineSummary {
    /// The machine.
    pub name: String,
    /// The term of its block.
    pub term: u64,
    /// Whether tasks can be placed on it.
    pub usable: bool,
    /// Whether it is to be replaced.
    pub faulty: bool,
    /// How long its worker has been silent; none: it was heard lately.
    pub silent_ms: Option<u64>,
    /// For how long it has had no task; none: it has some.
    pub idle_ms: Option<u64>,
    /// Free processors, accelerators and memory.
    pub free: [f64; 3],
    /// Images that it most likely has.
    pub images: Vec<String>,
    /// Tasks bound to it.
    pub tasks: Vec<TaskId>,
}

/// What a controller tells the others about links to workers, only while there
/// is something to tell. An older program knows no such message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReachabilityMessage {
    /// Who speaks.
    pub from: String,
    /// In which incarnation.
    pub incarnation: u64,
    /// Blocks that it holds and whose workers it does not hear.
    pub unheard_blocks: Vec<u32>,
    /// Zones whose workers it does not reach.
    pub unreached_zones: Vec<String>,
    /// Workers that came to it although others hold them.
    pub strays: Vec<StrayWorker>,
}

/// A worker that came to somebody who does not hold it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StrayWorker {
    /// Its machine.
    pub machine: String,
    /// Its block.
    pub block: u32,
    /// The term under which somebody else holds it.
    pub term: u64,
    /// That one had had time to be found.
    pub settled: bool,
    /// How often it came, after it was sent back each time.
    pub times: u32,
    /// How long ago it came last.
    pub ago_ms: u64,
}

/// A user's request that its controller can't serve, carried on to a peer. An
/// older program knows no such message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedRequest {
    /// It asks (GET); otherwise it submits or cancels (POST).
    pub is_query: bool,
    /// The path, without query.
    pub path: String,
    /// The body, as the user sent it.
    pub body: Vec<u8>,
}

/// The answer that the user gets.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedAnswer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When the user should come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Whom a forwarded report is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReportAddressee {
    /// The holder of the machine's block under this term.
    Holder {
        /// The block.
        block: u32,
        /// The term.
        term: u64,
    },
    /// The leader, as the machine has no record.
    Leader,
}

/// A worker's report that its controller can't answer, forwarded to the one that can.
/// An older program knows no such message.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedReport {
    /// Who forwards it.
    pub from: String,
    /// Whom it is meant for.
    pub addressee: ReportAddressee,
    /// The report as a worker encodes it.
    pub body: Vec<u8>,
}

/// Names one report of a worker.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReportId {
    /// Its machine.
    pub machine: String,
    /// The worker's session.
    pub session: u64,
    /// The number of the message.
    pub seq: u64,
}

/// The answer that the worker gets to a forwarded report.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ForwardedAnswer {
    /// The report that it answers.
    pub report: ReportId,
    /// The status.
    pub status: u16,
    /// The body as the worker decodes it.
    pub body: Vec<u8>,
}

/// The answer to the question after a controller's level, from the second
/// level on. Unlike the messages above it keeps its form for ever.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FormatLevelAnswer {
    /// Who answers.
    pub node: String,
    /// In which incarnation.
    pub incarnation: u64,
    /// The highest format of records that it can read and write.
    pub level: u32,
}
