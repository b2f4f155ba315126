//! The formats in which oliveshift speaks: to its users, to workers, to the
//! cloud, to the state service and between its controllers.
//!
//! The Rust names are the field's own (task, machine, zone, session, token);
//! the deployment's names appear only here, in serde renames. Everything but
//! the messages between controllers is MessagePack in maps; those are borsh.

pub mod admin;
pub mod cloud;
pub mod codec;
pub mod ids;
pub mod job;
pub mod peer;
pub mod settings;
pub mod state;
pub mod wes;
pub mod worker;

pub use codec::{CodecError, decode, encode};
pub use ids::{JobId, TaskId};
