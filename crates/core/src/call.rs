//! What goes in and out of the state machine.

use std::time::Duration;

use crate::sockets::{Close, SocketId};

/// Names a request that the controller made.
pub type CallId = u64;
/// Names a request that the controller has to answer.
pub type ConnId = u64;

/// The methods in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes and orders.
    Post,
    /// Ends a lease.
    Delete,
    /// Changes a setting.
    Put,
    /// Anything else; refused.
    Other,
}

/// Whom a request goes to.
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

/// A request to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its name; the reply carries it.
    pub id: CallId,
    /// Whom it goes to.
    pub to: Target,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty: none.
    pub body: Vec<u8>,
    /// When to give up.
    pub timeout: Duration,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// An answer.
    Answer {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// It surely never left: no connection could be made.
    NotSent,
    /// None came in time: it may have been executed, or may be yet.
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
    /// Names it; the answer carries it.
    pub conn: ConnId,
    /// The connection that it came in on, if that was told of.
    pub socket: SocketId,
    /// Where it came in.
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
    /// The request.
    pub conn: ConnId,
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When the sender should come back.
    pub retry_after: Option<Duration>,
}

/// What the surroundings have to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Make a request.
    Call(Call),
    /// Answer one.
    Answer(Answer),
    /// Read from a connection that has something to say.
    ReadFrom(SocketId),
    /// Close connections.
    Close(Close),
    /// End the program with this line.
    Exit(String),
}
