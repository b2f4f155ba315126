//! Runs of CWL workflows on oliveshift, as a state machine without I/O.
//!
//! [`flow`] evaluates the steps of one run, [`active`] adds the run's jobs and
//! stored records, and [`service`] is one service instance that drives many runs.

pub mod active;
pub mod api;
mod budget;
mod creation;
mod documents;
pub mod flow;
pub mod job;
pub mod plan;
mod ranges;
pub mod records;
mod run_loading;
pub mod service;
mod submission;
mod sweep;
