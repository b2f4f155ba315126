//! Settings of an instance of the workflow service.

use std::{
    fmt,
    net::SocketAddrV4,
    path::{Path, PathBuf},
    time::Duration,
};

use oliveshift_workflow::{job::Defaults, service::Settings};
use serde::Deserialize;
use thiserror::Error;

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The file is not valid TOML, or has unknown or missing fields or wrong types.
    #[error("{0}: {1}")]
    Parse(String, String),
    /// A value is out of range.
    #[error("{0}: `{1}` {2}")]
    Value(String, &'static str, String),
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the instance; unique among all instances.
    pub name: String,
    /// Listen address of the Workflow Execution Service.
    pub listen: SocketAddrV4,
    /// Address of the state service.
    pub state: SocketAddrV4,
    /// Addresses of the controllers' user API.
    pub users: Vec<SocketAddrV4>,
    /// Directory that represents the object store.
    pub objects: PathBuf,
    /// Team and class of runs that do not name them.
    pub defaults: Defaults,
    /// Rate limits and sizes.
    #[serde(default)]
    pub limits: Limits,
}

/// Rate limits and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second to the user API.
    pub calls_per_s: f64,
    /// Requests per second to the state service.
    pub store_per_s: f64,
    /// Changes per second written to the state service.
    pub writes_per_s: f64,
    /// Maximum number of concurrent runs.
    pub most_runs: usize,
    /// Maximum size of a value in the state service, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Lease duration in seconds: other instances take over the runs of an instance without
    /// contact for this long.
    pub lease_s: f64,
    /// Number of ranges that the runs are divided into; the same for all instances, and never
    /// changed.
    pub ranges: u32,
    /// How many days ended runs are kept.
    pub keep_days: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            calls_per_s: 20.0,
            store_per_s: 20.0,
            writes_per_s: 10.0,
            most_runs: 2_000,
            value_kb: 8.0,
            txn_ops: 10,
            lease_s: 10.0,
            ranges: 32,
            keep_days: 30.0,
        }
    }
}

impl Config {
    /// Reads and validates a settings file.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| ConfigError::Read(name.clone(), e))?;
        Self::parse(&name, &text)
    }

    fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let config: Self = toml::from_str(text).map_err(|e| {
            // Only the line number and the message, so that the error fits on one line.
            let line = e
                .span()
                .map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            let position = line.map_or(String::new(), |n| format!("line {n}: "));
            ConfigError::Parse(file.to_owned(), format!("{position}{}", e.message()))
        })?;
        config.validate(file)?;
        Ok(config)
    }

    fn validate(&self, file: &str) -> Result<(), ConfigError> {
        let invalid = |field, problem: &str| {
            Err(ConfigError::Value(
                file.to_owned(),
                field,
                problem.to_owned(),
            ))
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(is_allowed) {
            return invalid("name", "must be 1 to 64 letters, digits, - or _");
        }
        if self.users.is_empty() {
            return invalid("users", "needs at least one address");
        }
        if !self.objects.is_dir() {
            return invalid("objects", "must be a directory");
        }
        if self.defaults.team.is_empty() || self.defaults.class.is_empty() {
            return invalid("defaults", "must name a team and a class");
        }
        let limits = &self.limits;
        for (field, value, min) in [
            ("limits.calls_per_s", limits.calls_per_s, 1.0),
            ("limits.store_per_s", limits.store_per_s, 2.0),
            ("limits.writes_per_s", limits.writes_per_s, 1.0),
            ("limits.value_kb", limits.value_kb, 2.0),
            ("limits.lease_s", limits.lease_s, 2.0),
            ("limits.keep_days", limits.keep_days, 0.01),
        ] {
            if !(min..=600_000.0).contains(&value) {
                return invalid(field, &format!("must be at least {min} and at most 600000"));
            }
        }
        if limits.most_runs == 0 {
            return invalid("limits.most_runs", "must be at least 1");
        }
        if limits.txn_ops < 2 {
            return invalid("limits.txn_ops", "must be at least 2");
        }
        if !(1..=1024).contains(&limits.ranges) {
            return invalid("limits.ranges", "must be 1 to 1024");
        }
        Ok(())
    }

    /// The settings in the form that the state machine takes.
    pub fn settings(&self) -> Settings {
        let limits = &self.limits;
        Settings {
            name: self.name.clone(),
            ranges: limits.ranges,
            lease: Duration::from_secs_f64(limits.lease_s),
            calls_per_s: limits.calls_per_s,
            store_per_s: limits.store_per_s,
            writes_per_s: limits.writes_per_s,
            max_runs: limits.most_runs,
            value_bytes: (limits.value_kb * 1024.0) as usize,
            txn_ops: limits.txn_ops,
            retention: Duration::from_secs_f64(limits.keep_days * 86_400.0),
        }
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = &self.limits;
        let users: Vec<_> = self.users.iter().map(SocketAddrV4::to_string).collect();
        writeln!(f, "{}: settings are valid", self.name)?;
        writeln!(
            f,
            "WES endpoint:     http://{}{}",
            self.listen,
            oliveshift_wire::wes::BASE_PATH
        )?;
        writeln!(
            f,
            "user API:         {}, at most {} requests per second",
            users.join(", "),
            limits.calls_per_s
        )?;
        writeln!(
            f,
            "state service:    {}, at most {} requests and {} changes per second",
            self.state, limits.store_per_s, limits.writes_per_s
        )?;
        writeln!(f, "object store:     {}", self.objects.display())?;
        write!(
            f,
            "runs:             at most {} at a time, in {} ranges; taken over after {} s, kept for {} days",
            limits.most_runs, limits.ranges, limits.lease_s, limits.keep_days
        )
    }
}

#[cfg(test)]
mod tests;
