//! A world in simulated time for oliveshift's tests.
//!
//! Whole controllers run against stand-ins for the state service, the cloud
//! and the workers that speak the published protocol, under scripted or drawn
//! faults, while a checker watches for every rule. Everything follows from a
//! seed, so a failure always comes back.

pub mod best;
pub mod cloud;
pub mod contacts;
pub mod draws;
pub mod evidence;
pub mod faults;
pub mod guest;
pub mod handover;
pub mod model;
pub mod net;
pub mod rules;
pub mod side_by_side;
pub mod state;
pub mod tools;
pub mod worker;
pub mod world;

pub use draws::{
    draw, draw_behind, draw_meetings, draw_quick, draw_roll, draw_slow, draw_troubles,
};
pub use evidence::Evidence;
pub use faults::{Fault, Way, over};
pub use guest::{Guest, GuestAsk, Wish};
pub use handover::{draw_handovers, draw_links, draw_timing};
pub use rules::{Broken, Rules};
pub use side_by_side::side_by_side;
pub use state::{Done, Limits as StateLimits, State};
pub use world::{ExtraJobs, Load, Outcome, Size, Timing, World};
