//! A client of the Workflow Execution Service.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use async_io::block_on;
use oliveshift_core::{Call, Method, Reply, Target};
use oliveshift_wire::wes::{BASE, Problem, RunId, RunList, RunLog, RunSummary, State};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::client::Client;

/// When to give an answer up.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How often something that can't be done now is tried again.
const TRIES: u32 = 20;
/// The most runs that are listed.
const MOST_LISTED: usize = 100_000;

/// Why there is no result.
#[derive(Debug, Error)]
pub enum WesError {
    /// Nobody answers.
    #[error("{0} can not be reached")]
    Unreached(SocketAddrV4),
    /// Not now.
    #[error("{0} can not do it now")]
    Later(SocketAddrV4),
    /// Not ever.
    #[error("{0} refuses: {1}")]
    Refused(SocketAddrV4, String),
    /// Something else is served there.
    #[error("{0} answers what this program can not read: {1}")]
    Unreadable(SocketAddrV4, serde_json::Error),
}

impl WesError {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Unreached(_) | Self::Later(_) => 4,
            Self::Refused(..) | Self::Unreadable(..) => 5,
        }
    }

    /// Whether it may be over soon.
    pub fn is_passing(&self) -> bool {
        matches!(self, Self::Unreached(_) | Self::Later(_))
    }
}

/// A state by its name in the protocol.
pub fn word(state: State) -> String {
    let text = serde_json::to_value(state).unwrap_or_default();
    text.as_str().unwrap_or_default().to_owned()
}

/// Where workflows are served.
#[derive(Clone, Copy, Debug)]
pub struct Wes(pub SocketAddrV4);

impl Wes {
    fn ask<T: DeserializeOwned>(
        self,
        method: Method,
        path: &str,
        kind: Option<&str>,
        body: Vec<u8>,
    ) -> Result<T, WesError> {
        let call = Call {
            id: 0,
            to: Target::Peer(String::new()),
            method,
            path: format!("{BASE}{path}"),
            body,
            timeout: TIMEOUT,
        };
        for i in 0..TRIES {
            if i > 0 {
                std::thread::sleep(Duration::from_secs(1));
            }
            let client = Client::default();
            let (status, body) = match block_on(client.call_kind(self.0.into(), &call, kind)).0 {
                Reply::Answer { status, body } => (status, body),
                // It may have been executed: a second run would be one too many.
                Reply::NotSent | Reply::Lost => return Err(WesError::Unreached(self.0)),
            };
            match status {
                200 => {
                    let read = serde_json::from_slice(&body);
                    return read.map_err(|e| WesError::Unreadable(self.0, e));
                }
                503 => {}
                status => {
                    let problem = serde_json::from_slice::<Problem>(&body);
                    let why = problem.map_or_else(|_| format!("status {status}"), |p| p.msg);
                    return Err(WesError::Refused(self.0, why));
                }
            }
        }
        Err(WesError::Later(self.0))
    }

    /// Hands a document in and returns the run's name.
    pub fn submit(
        self,
        main: &str,
        files: &BTreeMap<String, String>,
        inputs: &serde_json::Value,
    ) -> Result<String, WesError> {
        // One that is in none of the parts.
        let mut boundary = String::new();
        let holds = |boundary: &str| files.values().any(|text| text.contains(boundary));
        while boundary.is_empty() || holds(&boundary) {
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
        let kind = format!("multipart/form-data; boundary={boundary}");
        let run: RunId = self.ask(Method::Post, "/runs", Some(&kind), body.into_bytes())?;
        Ok(run.run_id)
    }

    /// All about a run.
    pub fn log(self, run: &str) -> Result<RunLog, WesError> {
        self.ask(Method::Get, &format!("/runs/{run}"), None, Vec::new())
    }

    /// Cancels a run.
    pub fn cancel(self, run: &str) -> Result<(), WesError> {
        let path = format!("/runs/{run}/cancel");
        let done: Result<RunId, _> = self.ask(Method::Post, &path, None, Vec::new());
        done.map(|_| ())
    }

    /// All runs.
    pub fn list(self) -> Result<Vec<RunSummary>, WesError> {
        let mut all = Vec::new();
        let mut token = String::new();
        loop {
            let path = match token.as_str() {
                "" => "/runs".to_owned(),
                token => format!("/runs?page_token={token}"),
            };
            let page: RunList = self.ask(Method::Get, &path, None, Vec::new())?;
            all.extend(page.runs);
            if page.next_page_token.is_empty() || all.len() >= MOST_LISTED {
                return Ok(all);
            }
            token = page.next_page_token;
        }
    }
}
