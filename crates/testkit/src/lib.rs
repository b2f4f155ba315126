//! Deterministic simulation of a deployment for oliveshift's tests.
//!
//! Complete controllers run in simulated time against simulated state service, cloud
//! and workers that speak the published protocol. Faults are scripted or drawn from a
//! seed, and a checker verifies the rules of the protocol. A run depends only on its
//! seed and parameters, so every failure can be reproduced.

pub mod api_client;
pub mod cloud;
pub mod contacts;
pub mod draws;
pub mod evidence;
pub mod faults;
pub mod handover;
pub mod model;
pub mod net;
pub mod parallel;
pub mod rereads;
pub mod rules;
pub mod state;
pub mod submission_forms;
pub mod tools;
pub mod upper_bound;
pub mod worker;
pub mod world;

pub use api_client::{ApiClient, ApiOperation, ApiRequest};
pub use draws::{
    draw, draw_combined_faults, draw_incidents, draw_lag, draw_quick_restarts,
    draw_rolling_upgrade, draw_slow_controllers,
};
pub use evidence::{CopiedStart, Evidence};
pub use faults::{Direction, Fault, last_fault_end};
pub use handover::{draw_handovers, draw_links, draw_timing};
pub use parallel::run_seeds_in_parallel;
pub use rereads::{draw_reads_across_moves, draw_short_disconnections};
pub use rules::{RuleChecker, RuleViolation};
pub use state::{Limits as StateLimits, StateResponse, StateService};
pub use submission_forms::SubmissionForm;
pub use world::{ExtraJobs, Load, Outcome, Size, Timing, World};
