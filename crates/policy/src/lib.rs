//! Scheduling policy as pure functions: no clock, no I/O, no hidden state.
//!
//! [`score`] holds the image score, load gate and base score of the LRScheduler paper;
//! [`ranking`] ranks machines for many identical tasks; [`quota`] holds teams' guarantees
//! and limits and the rule for preemption; [`triage`] orders the waiting jobs;
//! [`fair_share`] divides scarce capacity; [`graph`] resolves dependencies between jobs;
//! [`fleet`] decides which machines to rent for the waiting tasks.

pub mod fair_share;
pub mod fleet;
pub mod graph;
pub mod quota;
pub mod ranking;
pub mod score;
pub mod triage;

pub use score::{Candidate, Task, Weights, best};
