//! Support for tests: a simulated state service, the example workflows and their results.

pub mod examples;
pub mod store;
