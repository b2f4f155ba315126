//! Encodes requests to the state service as HTTP requests, and decodes replies of the state
//! service and the user API.

use std::time::Duration;

use oliveshift_wire::{
    decode, encode,
    job::{JobPhase, JobStatus, Refusal},
    state::{LeaseGrant, LeaseRequest, Page, TxnAnswer},
};

use crate::{
    active::JobReply,
    service::{StoreCall, StoreReply},
};

/// An HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// Result of an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status, body, and the retry delay that the server asked for.
    Answer(u16, Vec<u8>, Option<Duration>),
    /// The request was certainly not sent.
    NotSent,
    /// No answer came in time; the request may have been executed.
    Lost,
}

/// Builds the HTTP request for a call to the state service.
pub fn store_request(call: &StoreCall) -> Request {
    let (method, path, body) = match call {
        StoreCall::Page { prefix, after } => {
            let after = after.as_ref().map(|a| format!("&after={a}"));
            let path = format!("/kv?starts={prefix}{}", after.unwrap_or_default());
            ("GET", path, Vec::new())
        }
        StoreCall::Txn(txn) => ("POST", "/multi".to_owned(), encode(txn)),
        StoreCall::LeaseGrant(life) => {
            let ttl_ms = life.as_millis() as u64;
            (
                "POST",
                "/holds".to_owned(),
                encode(&LeaseRequest { ttl_ms }),
            )
        }
        StoreCall::LeaseRenewal(lease) => ("POST", format!("/holds/{lease}/touch"), Vec::new()),
    };
    Request { method, path, body }
}

/// Interprets the reply of the state service to a call.
pub fn store_reply(call: &StoreCall, reply: Reply) -> StoreReply {
    let (status, body) = match reply {
        Reply::Answer(status, body, _) => (status, body),
        Reply::NotSent => return StoreReply::Refused,
        Reply::Lost => return StoreReply::Lost,
    };
    match (call, status) {
        (_, 429 | 503) => StoreReply::Refused,
        (StoreCall::Page { .. }, 200) => match decode::<Page>(&body) {
            Ok(page) => StoreReply::Page(page.items, page.more),
            Err(_) => StoreReply::Refused,
        },
        (StoreCall::Txn(_), 200) => match decode::<TxnAnswer>(&body) {
            Ok(answer) => StoreReply::Committed(answer.revision),
            Err(_) => StoreReply::Lost,
        },
        // Also covers a transaction whose lease has expired.
        (StoreCall::Txn(_), 400 | 409) => StoreReply::ConditionFailed,
        (StoreCall::LeaseGrant(_), 200) => match decode::<LeaseGrant>(&body) {
            Ok(grant) => StoreReply::LeaseGranted(grant.lease),
            Err(_) => StoreReply::Refused,
        },
        (StoreCall::LeaseRenewal(_), 200) => StoreReply::LeaseRenewed(true),
        (StoreCall::LeaseRenewal(_), 404) => StoreReply::LeaseRenewed(false),
        _ => StoreReply::Lost,
    }
}

/// Interprets the reply of the user API to a request about a job.
pub fn job_reply(reply: Reply) -> JobReply {
    let (status, body, after) = match reply {
        Reply::Answer(status, body, after) => (status, body, after),
        Reply::NotSent | Reply::Lost => return JobReply::RetryAfter(None),
    };
    match status {
        201 => JobReply::Created,
        200 => match decode::<JobStatus>(&body) {
            Ok(status) => JobReply::Known(status.phase),
            Err(_) => JobReply::RetryAfter(None),
        },
        404 => JobReply::Unknown,
        400 | 422 => match decode::<Refusal>(&body) {
            Ok(refusal) => JobReply::Refused(refusal.error),
            Err(_) => JobReply::Refused("no reason given".to_owned()),
        },
        _ => JobReply::RetryAfter(after),
    }
}

/// Whether a job in this phase never changes phase again.
pub fn is_final_phase(phase: JobPhase) -> bool {
    matches!(phase, JobPhase::Done | JobPhase::Cancelled)
}
