//! Requests, replies and answers that go in and out of the state machine.

use std::{ops::Deref, time::Duration};

use thiserror::Error;

use crate::sockets::{Close, SocketId};

/// Identifies a request that the controller sent.
pub type CallId = u64;
/// Identifies a request that the controller has to answer.
pub type ConnId = u64;

/// HTTP methods in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes, and orders to workers.
    Post,
    /// Ends a lease.
    Delete,
    /// Changes a setting.
    Put,
    /// Any other method; refused.
    Other,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// A worker, by address.
    Worker(String),
    /// Another controller, by name.
    Peer(String),
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the call; the reply carries it.
    pub id: CallId,
    /// The destination.
    pub to: Target,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// Time after which the call fails.
    pub timeout: Duration,
}

/// Result of a request that the controller sent.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The answer.
    Answer {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The request was certainly not sent: no connection could be made.
    NotSent,
    /// No answer came in time: the request may have been executed, or may be later.
    Lost,
}

/// The address at which a request came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Users and workers.
    Public,
    /// Controllers and operators.
    Internal,
}

/// A request that came in.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request; the answer carries it.
    pub conn: ConnId,
    /// The connection that it came in on, if that is known.
    pub socket: SocketId,
    /// The address at which it came in.
    pub listener: Listener,
    /// The method.
    pub method: Method,
    /// The path, without query.
    pub path: String,
    /// The body.
    pub body: CompleteBody,
    /// Time from the first byte of the request to its last.
    pub receipt_time: Duration,
}

/// The body of a request that was received to its announced end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteBody(Vec<u8>);

impl CompleteBody {
    /// A body of which all `announced` bytes were received; for a body in chunks, `None`, and
    /// `bytes` are those up to its last chunk.
    ///
    /// # Errors
    ///
    /// If the number of bytes is another one.
    pub fn new(bytes: Vec<u8>, announced: Option<usize>) -> Result<Self, CutOff> {
        match announced {
            Some(announced) if announced != bytes.len() => Err(CutOff {
                received: bytes.len(),
                announced,
            }),
            _ => Ok(Self(bytes)),
        }
    }

    /// The bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// The body of another message, which this one carries whole.
    pub(crate) fn carried(&self, bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}

impl Deref for CompleteBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

/// A body ended before its announced end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the body ended after {received} of {announced} bytes")]
pub struct CutOff {
    /// The bytes that were received.
    pub received: usize,
    /// The bytes that were announced.
    pub announced: usize,
}

/// A request of which only a part was received.
#[derive(Clone, Debug)]
pub struct IncompleteRequest {
    /// The path; `None` if the head was not received completely.
    pub path: Option<String>,
    /// Bytes of the body that were received.
    pub received: usize,
    /// Bytes of the body that were announced, if they were.
    pub announced: Option<usize>,
    /// Time from the first byte of the request until it was given up.
    pub receipt_time: Duration,
    /// The status that its sender is answered with, if any.
    pub status: Option<u16>,
    /// Why the request was given up.
    pub reason: &'static str,
}

/// An answer to a request that came in.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request that is answered.
    pub conn: ConnId,
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Time after which the sender should retry.
    pub retry_after: Option<Duration>,
}

/// What the runtime has to do for the controller.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a request.
    Call(Call),
    /// Answer a request.
    Answer(Answer),
    /// Read a request from a connection that is readable.
    ReadFrom(SocketId),
    /// Close connections.
    Close(Close),
    /// Log this line and exit.
    Exit(String),
}
