//! Runs of CWL workflows on oliveshift, as a state machine without I/O.
//!
//! [`flow`] is one run without its surroundings, [`active`] one with its jobs
//! and records, [`service`] an instance that drives many of them.

pub mod active;
pub mod api;
mod budget;
mod documents;
pub mod flow;
pub mod job;
pub mod plan;
mod ranges;
pub mod records;
pub mod service;
mod sweep;
