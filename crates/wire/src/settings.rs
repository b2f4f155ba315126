//! The settings file that the platform hands over.

use std::{net::SocketAddrV4, time::Duration};

use serde::Deserialize;
use thiserror::Error;

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    #[serde(rename = "member")]
    pub node: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where users and workers reach it.
    #[serde(rename = "bind")]
    pub listen: SocketAddrV4,
    /// Where the other controllers reach it.
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddrV4,
    /// The other controllers.
    #[serde(rename = "members")]
    pub peers: Vec<Peer>,
    /// Cloud and state service.
    #[serde(rename = "outside")]
    pub services: Services,
    /// The deployment.
    #[serde(rename = "deployment")]
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "member")]
    pub node: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its internal address.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddrV4,
}

/// Outside services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
}

/// What holds for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// All zones.
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Aims at start and at finish.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' timing.
    pub workers: Workers,
    /// The state service's limits.
    pub state: StateLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// This process's limits.
    pub limits: Limits,
}

/// A team's guarantee and limit; 0: none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim at start or at finish.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is timed.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// The time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share that should make it.
    #[serde(default)]
    pub share: Option<f64>,
    /// For deadlines: within how many times the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Workers' timing.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Time between two reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// Time until a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
}

/// The state service's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Lower limits that hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the state service to come; what is not named stays.
#[derive(Clone, Debug, Deserialize)]
pub struct NextLimits {
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits that hold once those to come do.
    pub fn lowered(&self) -> Self {
        let next = self.next.as_ref();
        let least = |now: f64, then: Option<f64>| then.map_or(now, |then| now.min(then));
        let ops = next.and_then(|n| n.txn_ops);
        Self {
            rps: self.rps,
            write_rps: least(self.write_rps, next.and_then(|n| n.write_rps)),
            value_kb: least(self.value_kb, next.and_then(|n| n.value_kb)),
            txn_ops: ops.map_or(self.txn_ops, |ops| self.txn_ops.min(ops)),
            next: None,
        }
    }

    /// The size of the largest value, in bytes of its JSON form.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }

    /// Most conditions of a transaction.
    pub fn txn_conds(&self) -> usize {
        self.txn_ops * 4
    }
}

/// The cloud's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// By how much the list usually lags.
    pub list_lag_s: f64,
}

/// This process's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Most sockets.
    pub max_sockets: usize,
}

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum BadSettings {
    /// Not JSON, or a field is missing or of another type.
    #[error("settings can not be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A number makes no sense.
    #[error("settings: {0}")]
    Value(String),
}

/// How much clocks of two machines may drift apart, as a share.
const DRIFT: f64 = 0.0005;
/// What timers, scheduling and packet delays can add.
const SLACK: Duration = Duration::from_millis(1500);
/// The least contact limit that serves anybody. Contact is as old as the sending of the
/// last watch that was answered, and a watch stays open for 0.8 s: with less than this a
/// controller turns its workers away again and again with nothing wrong at all.
const LEAST_CONTACT: Duration = Duration::from_millis(2000);

impl Settings {
    /// Reads and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, BadSettings> {
        let settings: Self = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), BadSettings> {
        let bad = |what: String| Err(BadSettings::Value(what));
        let p = &self.deployment;
        let positive = [
            ("workers.report_s", p.workers.report_s),
            ("workers.lease_s", p.workers.lease_s),
            ("workers.cancel_s", p.workers.cancel_s),
            ("state.rps", p.state.rps),
            ("state.write_rps", p.state.write_rps),
            ("state.value_kb", p.state.value_kb),
            ("cloud.rps", p.cloud.rps),
        ];
        for (name, value) in positive {
            if !(value > 0.0 && value < 1e6) {
                return bad(format!("`{name}` has to be a positive number, not {value}"));
            }
        }
        if !(p.cloud.list_lag_s >= 0.0 && p.cloud.list_lag_s < 1e6) {
            return bad("`cloud.list_lag_s` has to be 0 or more".into());
        }
        let next = p.state.lowered();
        let to_come = [
            ("state.next.write_rps", next.write_rps),
            ("state.next.value_kb", next.value_kb),
        ];
        for (name, value) in to_come {
            if !(value > 0.0 && value < 1e6) {
                return bad(format!("`{name}` has to be a positive number, not {value}"));
            }
        }
        for (name, limits) in [("state", &p.state), ("state.next", &next)] {
            if limits.txn_ops < 2 || limits.value_kb < 2.0 {
                return bad(format!(
                    "`{name}.txn_ops` and `{name}.value_kb` have to be at least 2"
                ));
            }
        }
        if p.limits.max_sockets < 32 {
            return bad("`limits.max_sockets` has to be at least 32".into());
        }
        if p.zones.is_empty() {
            return bad("`zones` is empty".into());
        }
        for team in &p.teams {
            let shares = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if shares.iter().any(|s| !(0.0..1e9).contains(s)) {
                return bad(format!("team `{}`: shares have to be 0 or more", team.name));
            }
        }
        if self.contact_limit() < LEAST_CONTACT {
            let (cancel, lease) = (p.workers.cancel_s, p.workers.lease_s);
            let between = (SLACK + LEAST_CONTACT).as_secs_f64();
            let least_cancel = (lease * (1.0 + DRIFT) + between) / (1.0 - DRIFT);
            let most_lease = (cancel * (1.0 - DRIFT) - between) / (1.0 + DRIFT);
            let or_lease = match most_lease > 0.0 {
                true => format!(", or `workers.lease_s` at most {most_lease:.2}"),
                false => String::new(),
            };
            return bad(format!(
                "`workers.cancel_s` ({cancel}) leaves too little time for contact beyond `workers.lease_s` \
                 ({lease}): it has to be at least {least_cancel:.2}{or_lease}"
            ));
        }
        Ok(())
    }

    /// How old a controller's contact with the state service may be while it
    /// still answers workers. What lies beyond could miss a cancellation for
    /// so long that a task outlives `cancel_s`.
    pub fn contact_limit(&self) -> Duration {
        let workers = &self.deployment.workers;
        let lasts = workers.cancel_s * (1.0 - DRIFT) - workers.lease_s * (1.0 + DRIFT);
        Duration::from_secs_f64(lasts.max(0.0)).saturating_sub(SLACK)
    }

    /// The time after which a worker whose reports get no answer has stopped
    /// its tasks for sure, on our clock.
    pub fn lease_limit(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.lease_s * (1.0 + 2.0 * DRIFT))
            + Duration::from_millis(500)
    }

    /// The time between a block's new lease and the moment at which a machine
    /// never heard from can hold none of an earlier holder's tasks: that one acts for
    /// the contact limit on its clock, and then the worker's lease runs on.
    pub fn takeover_limit(&self) -> Duration {
        self.contact_limit().mul_f64(1.0 + 2.0 * DRIFT) + self.lease_limit() + SLACK
    }

    /// Time between two reports.
    pub fn report_period(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.report_s)
    }
}

impl Deployment {
    /// The aims that name a class of jobs.
    pub fn objectives_of(&self, class: &str) -> impl Iterator<Item = &Objective> {
        let aims = self.objectives.iter();
        aims.filter(move |a| a.class.as_deref() == Some(class))
    }
}

impl Settings {
    /// How many controllers there are.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}
