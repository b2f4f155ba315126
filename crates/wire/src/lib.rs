//! The wire formats of oliveshift: the APIs for users, workers and operators,
//! the clients of the cloud and the state service, the messages between
//! controllers, and the settings file.
//!
//! The Rust names are the usual terms (task, machine, zone, session, token).
//! The names of the deployment's protocol appear only in the serde renames of
//! this crate. Messages between controllers are encoded as borsh; the settings,
//! the operators' API and the workflow API are JSON; everything else is
//! MessagePack, with structs as maps.

pub mod admin;
pub mod cloud;
pub mod codec;
pub mod idempotency_key;
pub mod ids;
pub mod job;
pub mod peer;
pub mod settings;
pub mod state;
pub mod wes;
pub mod worker;

pub use codec::{CodecError, decode, encode};
pub use idempotency_key::IdempotencyKey;
pub use ids::{JobId, TaskId};
