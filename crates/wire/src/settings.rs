//! The settings file that the platform provides to each controller.

use std::{net::SocketAddrV4, time::Duration};

use serde::Deserialize;
use thiserror::Error;

/// The settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "member")]
    pub node: String,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address for users and workers.
    #[serde(rename = "bind")]
    pub listen: SocketAddrV4,
    /// Address for the other controllers.
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddrV4,
    /// The other controllers.
    #[serde(rename = "members")]
    pub peers: Vec<Peer>,
    /// Addresses of the cloud and the state service.
    #[serde(rename = "outside")]
    pub services: Services,
    /// Settings that are the same for all controllers of the deployment.
    #[serde(rename = "deployment")]
    pub deployment: Deployment,
}

/// Another controller of the deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    #[serde(rename = "member")]
    pub node: String,
    /// Zone of the controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address for the other controllers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddrV4,
}

/// The external services that controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
}

/// Settings that are the same for all controllers of the deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// All zones.
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Objectives for the start and completion times of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// The state service's limits.
    pub state: StateLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// This process's limits.
    pub limits: Limits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Largest number of processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Largest number of accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An objective for the start or completion times of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The kind of time that is limited, such as `wait`, `finished` or `deadline`.
    pub kind: String,
    /// The class of jobs that it applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// The time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs that should meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// For deadlines: the time allowed, as a multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Seconds between two reports of a worker.
    pub report_s: f64,
    /// Duration of a worker's lease in seconds.
    pub lease_s: f64,
    /// Seconds from the cancellation of a job until its tasks have to be gone.
    pub cancel_s: f64,
}

/// The state service's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Size of the largest value, in KiB.
    pub value_kb: f64,
    /// Largest number of changes in a transaction.
    pub txn_ops: usize,
    /// Lower limits that come into force at some time, without further notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced lower limits of the state service. A limit that is `None` does not change.
#[derive(Clone, Debug, Deserialize)]
pub struct NextLimits {
    /// Puts and deletes per second, of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of the largest value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Largest number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits once the announced ones are in force.
    pub fn lowered(&self) -> Self {
        let next = self.next.as_ref();
        let lower_of = |now: f64, then: Option<f64>| then.map_or(now, |then| now.min(then));
        let ops = next.and_then(|n| n.txn_ops);
        Self {
            rps: self.rps,
            write_rps: lower_of(self.write_rps, next.and_then(|n| n.write_rps)),
            value_kb: lower_of(self.value_kb, next.and_then(|n| n.value_kb)),
            txn_ops: ops.map_or(self.txn_ops, |ops| self.txn_ops.min(ops)),
            next: None,
        }
    }

    /// Size of the largest value, in bytes of its JSON form.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }

    /// Largest number of conditions in a transaction.
    pub fn txn_conds(&self) -> usize {
        self.txn_ops * 4
    }
}

/// The cloud's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Usual delay in seconds after which the list of machines shows a change.
    pub list_lag_s: f64,
}

/// Limits of the controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Largest number of open sockets.
    pub max_sockets: usize,
}

/// Errors in a settings file.
#[derive(Debug, Error)]
pub enum BadSettings {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("settings cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// A value is outside its range, or does not fit another one.
    #[error("settings: {0}")]
    Value(String),
}

/// The largest relative drift between the clocks of two machines.
const MAX_CLOCK_DRIFT: f64 = 0.0005;
/// Allowance for delays by timers, scheduling and the network.
const DELAY_ALLOWANCE: Duration = Duration::from_millis(1500);
/// The smallest usable contact limit. The age of the contact counts from the sending of the
/// last watch that was answered, and a watch stays open for 0.8 s. With a smaller limit a
/// controller would repeatedly refuse its workers although nothing has failed.
const MIN_CONTACT_LIMIT: Duration = Duration::from_millis(2000);

impl Settings {
    /// Parses and validates the text of a settings file.
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
                return bad(format!(
                    "`{name}` has to be above 0 and below 1,000,000, not {value}"
                ));
            }
        }
        if !(p.cloud.list_lag_s >= 0.0 && p.cloud.list_lag_s < 1e6) {
            return bad("`cloud.list_lag_s` has to be at least 0 and below 1,000,000".into());
        }
        let next = p.state.lowered();
        let announced = [
            ("state.next.write_rps", next.write_rps),
            ("state.next.value_kb", next.value_kb),
        ];
        for (name, value) in announced {
            if !(value > 0.0 && value < 1e6) {
                return bad(format!(
                    "`{name}` has to be above 0 and below 1,000,000, not {value}"
                ));
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
            return bad("`zones` is empty: at least one zone is required".into());
        }
        for team in &p.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !(0.0..1e9).contains(a)) {
                return bad(format!(
                    "team `{}`: `cpus`, `cpus_max`, `gpus` and `gpus_max` have to be at least 0 \
                     and below 1,000,000,000",
                    team.name
                ));
            }
        }
        if self.contact_limit() < MIN_CONTACT_LIMIT {
            let (cancel, lease) = (p.workers.cancel_s, p.workers.lease_s);
            let margin = (DELAY_ALLOWANCE + MIN_CONTACT_LIMIT).as_secs_f64();
            let min_cancel = (lease * (1.0 + MAX_CLOCK_DRIFT) + margin) / (1.0 - MAX_CLOCK_DRIFT);
            let max_lease = (cancel * (1.0 - MAX_CLOCK_DRIFT) - margin) / (1.0 + MAX_CLOCK_DRIFT);
            let or_lease = match max_lease > 0.0 {
                true => format!(", or `workers.lease_s` at most {max_lease:.2}"),
                false => String::new(),
            };
            return bad(format!(
                "`workers.cancel_s` ({cancel}) is too close to `workers.lease_s` \
                 ({lease}) for a safe contact limit: it has to be at least {min_cancel:.2}{or_lease}"
            ));
        }
        Ok(())
    }

    /// How old a controller's contact with the state service may be while it still
    /// answers workers. With an older contact it could miss a cancellation for so long
    /// that a task of the cancelled job runs for longer than `cancel_s`.
    pub fn contact_limit(&self) -> Duration {
        let workers = &self.deployment.workers;
        let limit =
            workers.cancel_s * (1.0 - MAX_CLOCK_DRIFT) - workers.lease_s * (1.0 + MAX_CLOCK_DRIFT);
        Duration::from_secs_f64(limit.max(0.0)).saturating_sub(DELAY_ALLOWANCE)
    }

    /// The time after which a worker whose reports get no answer has certainly stopped
    /// its tasks, measured on this controller's clock.
    pub fn lease_limit(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.lease_s * (1.0 + 2.0 * MAX_CLOCK_DRIFT))
            + Duration::from_millis(500)
    }

    /// The time after a block's new lease until no machine of the block, even one that
    /// has not reported since, can run tasks of the previous holder. That holder may go on
    /// for the contact limit on its own clock, after which the worker's lease has to expire.
    pub fn takeover_limit(&self) -> Duration {
        self.contact_limit().mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
            + self.lease_limit()
            + DELAY_ALLOWANCE
    }

    /// The time between two reports of a worker.
    pub fn report_period(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.report_s)
    }
}

impl Deployment {
    /// The objectives for a class of jobs.
    pub fn objectives_of(&self, class: &str) -> impl Iterator<Item = &Objective> {
        let objectives = self.objectives.iter();
        objectives.filter(move |o| o.class.as_deref() == Some(class))
    }
}

impl Settings {
    /// The number of controllers, including this one.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}
