//! Requests, replies and answers that go in and out of the state machine.

use std::time::Duration;

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
    pub body: Vec<u8>,
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
