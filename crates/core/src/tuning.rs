//! The numbers that operators may change while the service runs.

use std::time::Duration;

use oliveshift_policy::Weights;
use oliveshift_wire::settings::Settings;

/// Tunable numbers; none of them matters for safety.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Weights and thresholds of the score.
    pub weights: Weights,
    /// How many blocks a controller should have, and how many machines a
    /// block has at least and at most for that.
    pub blocks_per_controller: usize,
    pub min_block_machines: usize,
    pub max_block_machines: usize,
    /// Life of a controller's lease at the state service: how soon a dead
    /// controller is noticed.
    pub member_lease: Duration,
    /// How long an ordinary machine stays without work before it is returned.
    pub on_demand_idle_timeout: Duration,
    /// The same for a spot machine.
    pub spot_idle_timeout: Duration,
    /// Work that is expected to find room within this share of the usual boot
    /// time is not rented for.
    pub rent_horizon_boots: f64,
    /// Work that may use spot machines waits this many usual boot times before
    /// ordinary ones are rented for it.
    pub max_spot_wait_boots: f64,
    /// How long a handed task may wait for room in its block.
    pub placement_timeout: Duration,
    /// After this wait, a job that fits few machine types has them to itself.
    pub scarce_type_wait: Duration,
    /// What would take the whole fleet longer than this is not let in.
    pub horizon: Duration,
    /// Machines rented at most in one go.
    pub max_rent_batch: usize,
}

impl Tuning {
    /// The defaults for a deployment.
    pub fn new(_settings: &Settings) -> Self {
        Self {
            weights: Weights::default(),
            blocks_per_controller: 5,
            min_block_machines: 16,
            max_block_machines: 48,
            member_lease: Duration::from_millis(3000),
            on_demand_idle_timeout: Duration::from_secs(12),
            spot_idle_timeout: Duration::from_secs(20),
            rent_horizon_boots: 1.0,
            max_spot_wait_boots: 1.5,
            placement_timeout: Duration::from_secs(2),
            scarce_type_wait: Duration::from_secs(20),
            horizon: Duration::from_secs(7200),
            max_rent_batch: 12,
        }
    }
}
