//! A client of the GA4GH Workflow Execution Service (WES).

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use async_io::block_on;
use oliveshift_core::{Call, Method, Reply, Target};
use oliveshift_wire::{
    IdempotencyKey,
    wes::{BASE_PATH, ErrorResponse, RunId, RunList, RunLog, RunSummary, State},
};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::client::{Client, RequestHeaders};

/// How long the service may take to answer a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of attempts while the service does not execute a request, or does not tell
/// whether it did.
const MAX_ATTEMPTS: u32 = 20;
/// Delay before the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// No further page is requested once this many runs are listed.
const MAX_LISTED_RUNS: usize = 100_000;

/// Why a request failed.
#[derive(Debug, Error)]
pub enum WesError {
    /// No connection could be made, or no answer came in time.
    #[error("{0} cannot be reached")]
    Unreachable(SocketAddrV4),
    /// The service answered with status 503 at each attempt.
    #[error("{0} cannot process the request now (status 503); try again later")]
    Unavailable(SocketAddrV4),
    /// The answer to a submission was lost at some attempt, and no later one told the outcome.
    #[error(
        "{0} did not say whether the run was started; repeat the command with \
         --idempotency-key {1} to learn it, or to start the run if it was not"
    )]
    SubmissionInDoubt(SocketAddrV4, IdempotencyKey),
    /// The answer to a cancellation was lost at some attempt, and no later one told the outcome.
    #[error("{0} did not say whether the run is being cancelled; repeat the command")]
    CancellationInDoubt(SocketAddrV4),
    /// The service rejected the request.
    #[error("{0} refuses: {1}")]
    Refused(SocketAddrV4, String),
    /// The answer is not the JSON that WES defines; probably another service listens there.
    #[error("{0} sent an answer that is not valid for WES: {1}")]
    Unreadable(SocketAddrV4, serde_json::Error),
}

impl WesError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unreachable(_)
            | Self::Unavailable(_)
            | Self::SubmissionInDoubt(..)
            | Self::CancellationInDoubt(_) => 4,
            Self::Refused(..) | Self::Unreadable(..) => 5,
        }
    }

    /// Whether a later attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Unavailable(_))
    }
}

/// The name of a state in the protocol.
pub fn state_name(state: State) -> String {
    let text = serde_json::to_value(state).unwrap_or_default();
    text.as_str().unwrap_or_default().to_owned()
}

/// Result of one attempt at a request.
enum Attempt<T> {
    /// The service executed the request.
    Done(T),
    /// No connection could be made.
    NotSent,
    /// The service did not execute the request and will not.
    NotExecuted,
    /// The service may have executed the request, or may still.
    Unknown,
}

/// A client of the service at this address.
#[derive(Clone, Copy, Debug)]
pub struct WesClient(pub SocketAddrV4);

impl WesClient {
    /// Sends a request once.
    fn attempt<T: DeserializeOwned>(
        self,
        call: &Call,
        headers: RequestHeaders<'_>,
    ) -> Result<Attempt<T>, WesError> {
        let client = Client::default();
        let call = client.call_with_headers(self.0.into(), call, headers);
        let (status, body) = match block_on(call).0 {
            Reply::Answer { status, body } => (status, body),
            Reply::NotSent => return Ok(Attempt::NotSent),
            Reply::Lost => return Ok(Attempt::Unknown),
        };
        match status {
            200 => serde_json::from_slice(&body)
                .map(Attempt::Done)
                .map_err(|e| WesError::Unreadable(self.0, e)),
            408 | 503 => Ok(Attempt::NotExecuted),
            504 => Ok(Attempt::Unknown),
            status => {
                let problem = serde_json::from_slice::<ErrorResponse>(&body);
                let reason = problem.map_or_else(|_| format!("status {status}"), |p| p.msg);
                Err(WesError::Refused(self.0, reason))
            }
        }
    }

    /// Reads something, while the service answers that it cannot now.
    fn read<T: DeserializeOwned>(self, path: &str) -> Result<T, WesError> {
        let call = wes_call(Method::Get, path, Vec::new());
        for i in 0..MAX_ATTEMPTS {
            if i > 0 {
                std::thread::sleep(RETRY_INTERVAL);
            }
            match self.attempt(&call, RequestHeaders::default())? {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::NotSent | Attempt::Unknown => return Err(WesError::Unreachable(self.0)),
                Attempt::NotExecuted => {}
            }
        }
        Err(WesError::Unavailable(self.0))
    }

    /// Sends a request until its outcome is known; fails with `in_doubt` if it does not become
    /// known. A repeat of the request must change nothing once it was executed.
    fn execute<T: DeserializeOwned>(
        self,
        call: &Call,
        headers: RequestHeaders<'_>,
        in_doubt: WesError,
    ) -> Result<T, WesError> {
        let mut is_in_doubt = false;
        for i in 0..MAX_ATTEMPTS {
            if i > 0 {
                std::thread::sleep(RETRY_INTERVAL);
            }
            match self.attempt(call, headers)? {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::NotSent if i == 0 => return Err(WesError::Unreachable(self.0)),
                Attempt::NotSent | Attempt::NotExecuted => {}
                Attempt::Unknown => is_in_doubt = true,
            }
        }
        Err(match is_in_doubt {
            true => in_doubt,
            false => WesError::Unavailable(self.0),
        })
    }

    /// Submits a document with its inputs and returns the run id. All submissions with the same
    /// key start one run.
    pub fn submit(
        self,
        key: &IdempotencyKey,
        main: &str,
        files: &BTreeMap<String, String>,
        inputs: &serde_json::Value,
    ) -> Result<String, WesError> {
        // The boundary must not occur in any file.
        let mut boundary = String::new();
        let occurs = |boundary: &str| files.values().any(|text| text.contains(boundary));
        while boundary.is_empty() || occurs(&boundary) {
            boundary = format!("oliveshift-{:016x}", fastrand::u64(..));
        }
        let mut body = String::new();
        let mut part = |name: &str, file: Option<&str>, text: &str| {
            let file = file
                .map(|f| format!("; filename=\"{f}\""))
                .unwrap_or_default();
            body += &format!(
                "--{boundary}\r\ncontent-disposition: form-data; name=\"{name}\"{file}\r\n\r\n{text}\r\n"
            );
        };
        part("workflow_params", None, &inputs.to_string());
        part("workflow_type", None, "CWL");
        part("workflow_type_version", None, oliveshift_cwl::load::VERSION);
        part("workflow_url", None, main);
        for (name, text) in files {
            part("workflow_attachment", Some(name), text);
        }
        body += &format!("--{boundary}--\r\n");
        let content_type = format!("multipart/form-data; boundary={boundary}");
        let call = wes_call(Method::Post, "/runs", body.into_bytes());
        // The service recognizes repeats by the key.
        let headers = RequestHeaders {
            content_type: Some(&content_type),
            idempotency_key: Some(key),
        };
        let in_doubt = WesError::SubmissionInDoubt(self.0, key.clone());
        let run: RunId = self.execute(&call, headers, in_doubt)?;
        Ok(run.run_id)
    }

    /// Returns the full record of a run.
    pub fn log(self, run: &str) -> Result<RunLog, WesError> {
        self.read(&format!("/runs/{run}"))
    }

    /// Requests the cancellation of a run.
    pub fn cancel(self, run: &str) -> Result<(), WesError> {
        let call = wes_call(Method::Post, &format!("/runs/{run}/cancel"), Vec::new());
        let in_doubt = WesError::CancellationInDoubt(self.0);
        let run: Result<RunId, _> = self.execute(&call, RequestHeaders::default(), in_doubt);
        run.map(|_| ())
    }

    /// Lists all runs.
    pub fn list(self) -> Result<Vec<RunSummary>, WesError> {
        let mut all = Vec::new();
        let mut token = String::new();
        loop {
            let path = match token.as_str() {
                "" => "/runs".to_owned(),
                token => format!("/runs?page_token={token}"),
            };
            let page: RunList = self.read(&path)?;
            all.extend(page.runs);
            if page.next_page_token.is_empty() || all.len() >= MAX_LISTED_RUNS {
                return Ok(all);
            }
            token = page.next_page_token;
        }
    }
}

fn wes_call(method: Method, path: &str, body: Vec<u8>) -> Call {
    Call {
        id: 0,
        to: Target::Peer(String::new()),
        method,
        path: format!("{BASE_PATH}{path}"),
        body,
        timeout: ANSWER_TIMEOUT,
    }
}
