//! Which teams are near their limit, by the records.
//!
//! What has ended counts against its team's limit until the records show it, so
//! while a team is near its limit every second that an end waits to be recorded is
//! lost to the work that the limit holds back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::settings::Team;

use crate::view::View;

/// How often the records are looked at.
const PERIOD: Duration = Duration::from_millis(500);
/// A team is near its limit from this share of it on: what ended within the last
/// seconds still counts as used.
pub(crate) const NEAR_LIMIT: f64 = 0.8;

/// The teams that were near their limit when the records were last looked at.
#[derive(Debug, Default)]
pub(crate) struct NearLimitTeams {
    looked_at: Option<Duration>,
    near_limit: BTreeSet<String>,
}

impl NearLimitTeams {
    /// Looks at the records again if it is time to.
    pub fn refresh(&mut self, now: Duration, view: &View, teams: &[Team]) {
        if self.looked_at.is_some_and(|at| now < at + PERIOD) {
            return;
        }
        self.looked_at = Some(now);
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for id in &view.active {
            let Some(job) = view.jobs.get(id) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            *used.entry(&spec.team).or_default() += spec.cpus * f64::from(job.assigned_total());
        }
        let is_near = |team: &&Team| {
            let used = used.get(team.name.as_str()).copied().unwrap_or(0.0);
            team.cpus_max > 0.0 && used >= NEAR_LIMIT * team.cpus_max
        };
        let near = teams.iter().filter(is_near);
        self.near_limit = near.map(|team| team.name.clone()).collect();
    }

    /// Whether a team was near its limit.
    pub fn is_near_limit(&self, team: &str) -> bool {
        self.near_limit.contains(team)
    }
}
