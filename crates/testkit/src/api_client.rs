//! Interface for an additional client of the simulated users' API, besides the simulated
//! users, such as the workflow service.

use std::time::Duration;

use oliveshift_wire::{JobId, job::JobSpec};

/// A request to the users' API.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Identifies the request; its answer carries the same token.
    pub token: u64,
    /// The requested operation.
    pub what: ApiOperation,
}

/// An operation of the users' API.
#[derive(Clone, Debug)]
pub enum ApiOperation {
    /// Submit a job.
    Submit(Box<JobSpec>),
    /// Query the status of a job.
    Poll(JobId),
    /// Cancel a job.
    Abort(JobId),
}

/// An additional client of the users' API.
pub trait ApiClient {
    /// Called as time passes; returns the requests to send now.
    fn step(&mut self, now: Duration) -> Vec<ApiRequest>;
    /// Called with the status and body of an answer, or with `None` if there was no answer;
    /// an answer may still arrive after that.
    fn answered(&mut self, now: Duration, token: u64, answer: Option<(u16, Vec<u8>)>);
}
