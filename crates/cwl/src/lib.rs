//! CWL v1.2 for oliveshift, without I/O: documents and their checks, types,
//! expressions, scatter and command lines.
//!
//! [`load::load`] reads and checks a document. The resulting processes are executed
//! by other crates.

pub mod command;
pub mod cursor;
pub mod document;
pub mod engine;
pub mod expr;
mod fault;
pub mod load;
pub mod requirements;
pub mod types;
pub mod values;
pub mod yaml;

pub use engine::Engine;
pub use fault::Fault;
