//! The settings of an instance.

use std::{
    fmt,
    net::SocketAddrV4,
    path::{Path, PathBuf},
    time::Duration,
};

use oliveshift_workflow::{job::Defaults, service::Settings};
use serde::Deserialize;
use thiserror::Error;

/// Why there are no settings.
#[derive(Debug, Error)]
pub enum BadConfig {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is no TOML, or has names or types that are not known.
    #[error("{0}: {1}")]
    Parse(String, String),
    /// A value makes no sense.
    #[error("{0}: `{1}` {2}")]
    Value(String, &'static str, String),
}

/// What an instance is set to.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its name; no two instances share one.
    pub name: String,
    /// Where partners come.
    pub listen: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
    /// The users' API, at one or several addresses.
    pub users: Vec<SocketAddrV4>,
    /// The directory that stands for the object store.
    pub objects: PathBuf,
    /// Who pays for runs that don't say it, and their class.
    pub defaults: Defaults,
    /// How much is asked of others, and taken on.
    #[serde(default)]
    pub limits: Limits,
}

/// How much is asked of others, and taken on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second to the users' API.
    pub calls_per_s: f64,
    /// Requests a second to the state service.
    pub store_per_s: f64,
    /// Changes a second there.
    pub writes_per_s: f64,
    /// Runs at a time.
    pub most_runs: usize,
    /// The largest value in the state service, in KiB.
    pub value_kb: f64,
    /// The most changes of a transaction.
    pub txn_ops: usize,
    /// After how many seconds without contact others take runs over.
    pub lease_s: f64,
    /// In how many ranges runs are; the same for all instances, for good.
    pub ranges: u32,
    /// For how many days ended runs are kept.
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
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, BadConfig> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| BadConfig::Read(name.clone(), e))?;
        Self::parse(&name, &text)
    }

    fn parse(file: &str, text: &str) -> Result<Self, BadConfig> {
        let config: Self = toml::from_str(text).map_err(|e| {
            // One line: what is wrong, and where.
            let line = e
                .span()
                .map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            let at = line.map_or(String::new(), |n| format!("line {n}: "));
            BadConfig::Parse(file.to_owned(), format!("{at}{}", e.message()))
        })?;
        config.check(file)?;
        Ok(config)
    }

    fn check(&self, file: &str) -> Result<(), BadConfig> {
        let bad = |what, why: &str| Err(BadConfig::Value(file.to_owned(), what, why.to_owned()));
        let good = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(good) {
            return bad("name", "has to be 1 to 64 letters, digits, - or _");
        }
        if self.users.is_empty() {
            return bad("users", "needs an address");
        }
        if !self.objects.is_dir() {
            return bad("objects", "has to be a directory");
        }
        if self.defaults.team.is_empty() || self.defaults.class.is_empty() {
            return bad("defaults", "need a team and a class");
        }
        let limits = &self.limits;
        for (what, value, least) in [
            ("limits.calls_per_s", limits.calls_per_s, 1.0),
            ("limits.store_per_s", limits.store_per_s, 2.0),
            ("limits.writes_per_s", limits.writes_per_s, 1.0),
            ("limits.value_kb", limits.value_kb, 2.0),
            ("limits.lease_s", limits.lease_s, 2.0),
            ("limits.keep_days", limits.keep_days, 0.01),
        ] {
            if !(least..=600_000.0).contains(&value) {
                return bad(what, &format!("has to be at least {least}"));
            }
        }
        if limits.most_runs == 0 {
            return bad("limits.most_runs", "has to be at least 1");
        }
        if limits.txn_ops < 2 {
            return bad("limits.txn_ops", "has to be at least 2");
        }
        if !(1..=1024).contains(&limits.ranges) {
            return bad("limits.ranges", "has to be 1 to 1024");
        }
        Ok(())
    }

    /// As the state machine wants them.
    pub fn settings(&self) -> Settings {
        let limits = &self.limits;
        Settings {
            name: self.name.clone(),
            ranges: limits.ranges,
            lease: Duration::from_secs_f64(limits.lease_s),
            calls_per_s: limits.calls_per_s,
            store_per_s: limits.store_per_s,
            writes_per_s: limits.writes_per_s,
            most_runs: limits.most_runs,
            value_bytes: (limits.value_kb * 1024.0) as usize,
            txn_ops: limits.txn_ops,
            keep: Duration::from_secs_f64(limits.keep_days * 86_400.0),
        }
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = &self.limits;
        let users: Vec<_> = self.users.iter().map(SocketAddrV4::to_string).collect();
        writeln!(f, "{}: settings are good", self.name)?;
        writeln!(
            f,
            "partners come to: http://{}{}",
            self.listen,
            oliveshift_wire::wes::BASE
        )?;
        writeln!(
            f,
            "users' API:       {}, at most {} requests a second",
            users.join(", "),
            limits.calls_per_s
        )?;
        writeln!(
            f,
            "state service:    {}, at most {} requests and {} changes a second",
            self.state, limits.store_per_s, limits.writes_per_s
        )?;
        writeln!(f, "object store:     {}", self.objects.display())?;
        write!(
            f,
            "runs:             {} at a time, in {} ranges; taken over after {} s, kept for {} days",
            limits.most_runs, limits.ranges, limits.lease_s, limits.keep_days
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
name = "wf-0"
listen = "127.0.0.1:8090"
state = "127.0.0.1:4001"
users = ["127.0.0.1:8080"]
objects = "/tmp"
defaults = { team = "partners", class = "cwl" }
limits = { value_kb = 4 }
"#;

    #[test]
    fn settings_are_checked_as_a_whole() {
        let good = Config::parse("f", GOOD).expect("good");
        assert_eq!(good.settings().value_bytes, 4096);
        let cases = [
            (GOOD.replace("wf-0", "wf 0"), "f: `name` has to be"),
            (
                GOOD.replace("listen", "lisen"),
                "line 3: unknown field `lisen`",
            ),
            (GOOD.replace("127.0.0.1:4001", "nowhere"), "line 4: "),
            (
                GOOD.replace("[\"127.0.0.1:8080\"]", "[]"),
                "f: `users` needs an address",
            ),
            (
                GOOD.replace("/tmp", "/no/such/dir"),
                "f: `objects` has to be a directory",
            ),
            (
                GOOD.replace("value_kb = 4", "value_kb = 1"),
                "f: `limits.value_kb` has to be at least 2",
            ),
            (
                GOOD.replace("value_kb = 4", "ranges = 0"),
                "f: `limits.ranges` has to be",
            ),
            (
                GOOD.replace("team = \"partners\", ", ""),
                "missing field `team`",
            ),
        ];
        for (text, why) in cases {
            let error = Config::parse("f", &text).expect_err(why).to_string();
            assert!(error.contains(why) && error.lines().count() == 1, "{error}");
        }
    }
}
