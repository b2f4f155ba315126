//! How long each kind of client waits for an answer, and how much of that time its request may
//! take to arrive.
//!
//! All times run from the first byte of a request: what the request takes to arrive is not left
//! for its answer. The clients' timeouts are those of the protocol, and those of
//! [`crate::links`] and [`crate::relay`] for controllers.

use std::time::Duration;

use crate::call::{Listener, Method};

/// The share of a client's timeout in which its request has to arrive completely.
const RECEIVE_SHARE: f64 = 0.8;
/// The share of a client's timeout in which it has to be answered; the rest is for the way.
const ANSWER_SHARE: f64 = 0.9;

/// The kinds of clients, by how long they wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// The load balancer's health probe.
    HealthProbe,
    /// Another controller.
    Controller,
    /// A user who asks for the state of a job.
    Poll,
    /// A worker that reports.
    Worker,
    /// A user who submits or cancels a job.
    UserWrite,
    /// An operator.
    Operator,
}

impl ClientKind {
    /// The kind of client that sends this request.
    pub fn of(listener: Listener, method: Method, path: &str) -> Self {
        let path = path.trim_start_matches('/');
        match (listener, path) {
            (_, "healthz") => Self::HealthProbe,
            (Listener::Internal, "forward") => Self::Worker,
            (Listener::Internal, _) if path.starts_with("admin/") => Self::Operator,
            (Listener::Internal, _) => Self::Controller,
            (Listener::Public, "checkin") => Self::Worker,
            (Listener::Public, _) if method == Method::Get => Self::Poll,
            (Listener::Public, _) => Self::UserWrite,
        }
    }

    /// How long the client waits for an answer.
    pub const fn timeout(self) -> Duration {
        match self {
            Self::HealthProbe => Duration::from_secs(1),
            Self::Controller => Duration::from_millis(1500),
            Self::Poll => Duration::from_secs(2),
            Self::Worker => Duration::from_secs(4),
            Self::UserWrite | Self::Operator => Duration::from_secs(5),
        }
    }

    /// How long the request may take to arrive completely.
    pub fn receive_timeout(self) -> Duration {
        self.timeout().mul_f64(RECEIVE_SHARE)
    }

    /// Within which time the request has to be answered.
    pub fn answer_timeout(self) -> Duration {
        self.timeout().mul_f64(ANSWER_SHARE)
    }
}

/// The longest time that any client waits for an answer.
pub const MAX_CLIENT_TIMEOUT: Duration = ClientKind::UserWrite.timeout();
/// Time after which a worker gives up on a report.
pub(crate) const REPORT_TIMEOUT: Duration = ClientKind::Worker.timeout();

/// The longest time that the head of a request may take to arrive: its client is not known before.
pub fn head_timeout() -> Duration {
    MAX_CLIENT_TIMEOUT.mul_f64(RECEIVE_SHARE)
}
