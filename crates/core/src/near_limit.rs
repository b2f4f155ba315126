//! Which teams are near their processor limit, by the records.
//!
//! A task that has ended counts against its team's limit until that is recorded. While a
//! team is near its limit, every second that the end of a task waits to be recorded is
//! therefore lost to the work that the limit holds back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::settings::Team;

use crate::view::View;

/// Interval at which the records are evaluated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Share of its limit from which a team counts as near it: tasks that ended within the last
/// seconds still count as used.
pub(crate) const NEAR_LIMIT_SHARE: f64 = 0.8;

/// The teams that were near their limit at the last evaluation.
#[derive(Debug, Default)]
pub(crate) struct NearLimitTeams {
    refreshed_at: Option<Duration>,
    near_limit: BTreeSet<String>,
}

impl NearLimitTeams {
    /// Evaluates the records again if the interval has passed.
    pub fn refresh(&mut self, now: Duration, view: &View, teams: &[Team]) {
        if self
            .refreshed_at
            .is_some_and(|at| now < at + REFRESH_INTERVAL)
        {
            return;
        }
        self.refreshed_at = Some(now);
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
            team.cpus_max > 0.0 && used >= NEAR_LIMIT_SHARE * team.cpus_max
        };
        let near = teams.iter().filter(is_near);
        self.near_limit = near.map(|team| team.name.clone()).collect();
    }

    /// Whether a team was near its limit at the last evaluation.
    pub fn is_near_limit(&self, team: &str) -> bool {
        self.near_limit.contains(team)
    }
}
