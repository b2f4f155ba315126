//! What an instance receives and sends, and its settings.

use std::time::Duration;

use oliveshift_wire::{
    IdempotencyKey, JobId,
    job::JobSpec,
    state::{Item, Txn},
};

use crate::{
    active::JobReply,
    job::TaskResult,
    records::{Bundle, RunId, RunRecord, StoredRun},
};

/// Identifies a request that the instance sent; the reply carries the same id.
pub type CallId = u64;
/// Identifies a request of a user; the answer carries the same id.
pub type UserRequestId = u64;

/// Retry delay given to users whose request cannot be handled now.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which a request that is not answered gets [`UserRequest::answer_when_timed_out`].
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a submitted document with its inputs, in bytes.
pub const MAX_BUNDLE_BYTES: usize = 4 << 20;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; unique among instances.
    pub name: String,
    /// Number of ranges that runs are divided into. Must be the same for all instances and never
    /// change.
    pub ranges: u32,
    /// Lease duration: time without contact after which other instances take over.
    pub lease: Duration,
    /// Maximum requests per second to the user API.
    pub calls_per_s: f64,
    /// Maximum requests per second to the state service.
    pub store_per_s: f64,
    /// Maximum changes per second written to the state service.
    pub writes_per_s: f64,
    /// Maximum number of open runs.
    pub max_runs: usize,
    /// Maximum size of a stored value, in bytes of its JSON form.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Time for which ended runs are kept.
    pub retention: Duration,
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read a page of the keys below a prefix, after a key.
    Page {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page.
        after: Option<String>,
    },
    /// Execute a transaction.
    Txn(Txn),
    /// Grant a lease of this duration.
    LeaseGrant(Duration),
    /// Renew a lease.
    LeaseRenewal(u64),
}

/// Reply of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Items, and whether more follow.
    Page(Vec<Item>, bool),
    /// The transaction was committed in this revision.
    Committed(u64),
    /// The transaction was not executed: a condition did not hold or its lease has expired.
    ConditionFailed,
    /// The lease with this id was granted.
    LeaseGranted(u64),
    /// The lease was renewed, or no longer exists.
    LeaseRenewed(bool),
    /// Not executed, for example because of a rate limit or an outage.
    Refused,
    /// No answer: the request may have been executed, or may still be.
    Lost,
}

/// A run that a user submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Document and inputs.
    pub bundle: Bundle,
    /// Key by which a repeat of the submission is recognized. A submission without a key always
    /// starts a run.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl From<Bundle> for Submission {
    /// A submission without a key.
    fn from(bundle: Bundle) -> Self {
        Self {
            bundle,
            idempotency_key: None,
        }
    }
}

/// A request of a user.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Start a run.
    Submit(Box<Submission>),
    /// Return the status of a run.
    Status(RunId),
    /// Cancel a run.
    Cancel(RunId),
    /// Return everything that is stored about a run.
    Log(RunId),
    /// List runs, after the key that the previous page ended with.
    List(Option<String>),
}

impl UserRequest {
    /// Answer to a request that is not answered within [`ANSWER_TIMEOUT`].
    pub fn answer_when_timed_out(&self) -> Answer {
        match self {
            Self::Submit(_) | Self::Cancel(_) => Answer::OutcomeUnknown(RETRY_AFTER),
            Self::Status(_) | Self::Log(_) | Self::List(_) => Answer::RetryAfter(RETRY_AFTER),
        }
    }
}

/// Answer to a request of a user.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The run was recorded under this id and will be executed. A repeat of a submission gets the
    /// id of the run that was started first.
    Started(RunId),
    /// The idempotency key was sent with another document or other inputs before.
    KeyReused,
    /// The document or its inputs are invalid, for this reason.
    Invalid(String),
    /// Status of a run.
    Status(Box<RunRecord>),
    /// Everything that is stored about a run.
    Log(Box<StoredRun>),
    /// Runs with their records, and the key after which the list continues, if it does.
    Runs(Vec<(RunId, RunRecord)>, Option<String>),
    /// The cancellation request was recorded.
    Cancelling,
    /// The run does not exist.
    Unknown,
    /// The request was not executed and will not be; retry after this time.
    RetryAfter(Duration),
    /// The request may have been executed, or may still be. Its outcome can be looked up after
    /// this time.
    OutcomeUnknown(Duration),
}

/// Input of an instance.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Reply of the state service.
    Store(CallId, StoreReply),
    /// Reply of the user API.
    Job(CallId, JobReply),
    /// Results of a job's tasks; `None` if they are not available now.
    Results(CallId, Option<Vec<TaskResult>>),
    /// Beginning of a file; `None` if there is no such file.
    Text(CallId, Option<String>),
    /// Request of a user.
    UserRequest(UserRequestId, UserRequest),
}

/// Output of an instance: a request to send or an answer to return.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a request to the state service.
    Store(CallId, StoreCall),
    /// Submit a job to the user API.
    Submit(CallId, Box<JobSpec>),
    /// Request the status of a job.
    Poll(CallId, JobId),
    /// Cancel a job.
    Abort(CallId, JobId),
    /// Fetch the results of a job with this number of tasks.
    Results(CallId, JobId, u32),
    /// Fetch the beginning of a file.
    Text(CallId, String),
    /// Answer a request of a user.
    Answer(UserRequestId, Answer),
}
