//! The controller of oliveshift, as a state machine without I/O.
//!
//! [`Controller::receive`] takes the time and one [`Input`], and
//! [`Controller::run_turn`] processes the inputs received so far; both return the
//! [`Output`]s, such as calls to make and requests to answer. Time and the seed for
//! random numbers are passed in, so the same inputs always give the same outputs.

pub mod admission_shares;
mod assigned_tasks;
mod assignment;
mod attempt;
mod blocks;
mod budget;
mod call;
pub mod client_timeouts;
mod cloud;
mod controller;
mod failed_placements;
mod fencing;
#[cfg(test)]
mod fixtures;
mod fleet;
mod forwarding;
mod invariants;
mod inventory;
mod leader;
mod lease;
mod links;
mod machine;
mod machine_lists;
mod machine_status;
pub mod minimum_shares;
mod near_limit;
mod order_queue;
mod orders;
mod peers;
mod placement;
mod preemption;
mod queue_order;
mod reachability;
mod recorder;
pub mod records;
mod relay;
mod request_queue;
#[cfg(feature = "sabotage")]
mod sabotage;
mod snapshot;
pub mod sockets;
mod starvation;
mod store;
mod submissions;
mod team_usage;
mod throughput;
pub mod tuning;
mod unplaced;
mod upgrade;
mod user_api;
mod user_request_log;
mod user_writes;
mod verdict;
mod view;

pub use call::{
    Answer, Call, CallId, CompleteBody, ConnId, CutOff, IncompleteRequest, Listener, Method,
    Output, Reply, Request, Target,
};
pub use client_timeouts::ClientKind;
pub use controller::{Controller, Input, Now};
pub use request_queue::is_report;
#[cfg(feature = "sabotage")]
pub use sabotage::Sabotage;
pub use sockets::{Close, SocketId};
