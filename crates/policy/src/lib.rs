//! What goes where, as pure functions: no clock, no I/O, no hidden state.
//!
//! [`score`] holds the paper's image score, load gate and base score;
//! [`ranking`] the top scorers for many tasks that are alike;
//! [`queue`] teams' shares and who may be stopped for whom; [`triage`] the order
//! in which waiting work is served; [`share`] how too little is divided; [`graph`] what follows
//! for jobs that await others; [`fleet`] how many machines of which kind the
//! waiting work asks for.

pub mod fair_share;
pub mod fleet;
pub mod graph;
pub mod quota;
pub mod ranking;
pub mod score;
pub mod triage;

pub use score::{Candidate, Task, Weights, best};
