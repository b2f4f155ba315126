//! Somebody who uses the simulated service besides its usual users: a program
//! of its own, such as one that serves workflows.

use std::time::Duration;

use oliveshift_wire::{JobId, job::JobSpec};

/// Something that a guest asks of the users' API.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Names it; the answer carries it.
    pub token: u64,
    /// What.
    pub what: ApiOperation,
}

/// What a guest wants.
#[derive(Clone, Debug)]
pub enum ApiOperation {
    /// Submit a job.
    Submit(Box<JobSpec>),
    /// Ask how a job is.
    Poll(JobId),
    /// Cancel a job.
    Abort(JobId),
}

/// A user with a program of its own.
pub trait ApiClient {
    /// Time has passed; what it asks now.
    fn step(&mut self, now: Duration) -> Vec<ApiRequest>;
    /// Status and body; none: no answer came. An answer may come after that.
    fn answered(&mut self, now: Duration, token: u64, answer: Option<(u16, Vec<u8>)>);
}
