//! Tunable parameters of the controller.

use std::time::Duration;

use oliveshift_policy::Weights;
use oliveshift_wire::settings::Settings;

/// Tunable parameters; none of them affects safety.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Weights and thresholds of the score.
    pub weights: Weights,
    /// Target number of blocks for each controller.
    pub blocks_per_controller: usize,
    /// Minimum and maximum number of machines in a block.
    pub min_block_machines: usize,
    pub max_block_machines: usize,
    /// Duration of a controller's lease at the state service, after which a dead
    /// controller is noticed.
    pub member_lease: Duration,
    /// How long an on-demand machine may be idle before it is returned.
    pub on_demand_idle_timeout: Duration,
    /// How long a spot machine may be idle before it is returned.
    pub spot_idle_timeout: Duration,
    /// No machine is rented for work that is expected to find capacity within this
    /// many usual boot times.
    pub rent_horizon_boots: f64,
    /// Work that may use spot machines waits at most this many usual boot times
    /// before on-demand machines are rented for it.
    pub max_spot_wait_boots: f64,
    /// How long an assigned task may wait for capacity in its block.
    pub placement_timeout: Duration,
    /// Wait after which the few machine types that a job fits are reserved for it.
    pub scarce_type_wait: Duration,
    /// Admission horizon: jobs are refused when the open work would take the whole
    /// fleet longer than this.
    pub horizon: Duration,
    /// Maximum number of machines rented at once.
    pub max_rent_batch: usize,
}

impl Tuning {
    /// The default parameters of a deployment.
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
