//! Share of the jobs of each class and team that was served. The operators score a day 0 if
//! less than half of any class or team was served.
//!
//! A class of batch jobs counts its completed jobs as served. Services do not end, and the
//! bench does not report completed jobs by team, so services and teams count the started jobs.
//! Cancelled jobs of batch classes are left out of the total.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use clap::Args;
use comfy_table::{CellAlignment, Table, presets};
use serde::Deserialize;
use thiserror::Error;

/// Minimum share of the jobs of a class or team that must be served.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Options of `cargo xtask served`.
#[derive(Debug, Args)]
pub struct Options {
    /// Reports that the bench wrote with `--report`.
    #[arg(required = true, value_name = "REPORT")]
    reports: Vec<PathBuf>,
}

/// Error of `cargo xtask served`.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0} is not a valid report of a day: {1}; write one with `run … --report FILE`")]
    Report(String, serde_json::Error),
}

/// Report of one day; only the fields used here.
#[derive(Debug, Deserialize)]
struct Report {
    scenario: String,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    targets: Vec<Target>,
    classes: BTreeMap<String, Class>,
    #[serde(default)]
    teams: BTreeMap<String, Team>,
}

#[derive(Debug, Deserialize)]
struct Target {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    times: Option<f64>,
    #[serde(default)]
    value: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Class {
    jobs: u64,
    accepted: u64,
    started: u64,
    done: u64,
    #[serde(default)]
    cancelled: u64,
    /// Only services have this value.
    #[serde(default)]
    up: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct Team {
    jobs: u64,
    started: u64,
}

/// Result of a class or a team on one day: one row of the result table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    day: String,
    group: String,
    submitted: u64,
    accepted: Option<u64>,
    started: u64,
    done: Option<u64>,
    in_time: String,
    served: f64,
}

impl Row {
    /// Whether less than the minimum share was served.
    pub fn is_underserved(&self) -> bool {
        self.served < MIN_SERVED_SHARE
    }
}

fn share(part: u64, all: u64) -> f64 {
    if all == 0 {
        1.0
    } else {
        (part as f64 / all as f64).min(1.0)
    }
}

/// Parses a report and returns a row for each class and each team. `name` identifies the
/// report in errors.
pub fn rows(name: &str, text: &str) -> Result<Vec<Row>, Failure> {
    let report: Report =
        serde_json::from_str(text).map_err(|e| Failure::Report(name.to_owned(), e))?;
    let day = format!("{} {}", report.scenario, report.seed);
    let mut rows = Vec::new();
    for (class, sums) in &report.classes {
        let targets = report.targets.iter();
        let timed = targets.filter(|t| t.class.as_ref() == Some(class));
        let in_time: Vec<_> = timed
            .filter_map(|t| {
                let value = t.value?;
                match (t.kind.as_str(), t.within_s, t.times) {
                    ("finished", Some(within), _) => Some(format!("{value:.3} in {within} s")),
                    ("deadline", _, Some(times)) => Some(format!("{value:.3} by {times}x")),
                    _ => None,
                }
            })
            .collect();
        let service = sums.up.is_some();
        let served = if service {
            share(sums.started, sums.jobs)
        } else {
            share(sums.done, sums.jobs.saturating_sub(sums.cancelled))
        };
        rows.push(Row {
            day: day.clone(),
            group: class.clone(),
            submitted: sums.jobs,
            accepted: Some(sums.accepted),
            started: sums.started,
            done: (!service).then_some(sums.done),
            in_time: in_time.join(", "),
            served,
        });
    }
    for (team, sums) in &report.teams {
        rows.push(Row {
            day: day.clone(),
            group: format!("team {team}"),
            submitted: sums.jobs,
            accepted: None,
            started: sums.started,
            done: None,
            in_time: String::new(),
            served: share(sums.started, sums.jobs),
        });
    }
    Ok(rows)
}

fn table(rows: &[Row]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "day",
        "group",
        "submitted",
        "accepted",
        "started",
        "done",
        "served",
        "in time",
    ]);
    let count = |n: Option<u64>| n.map_or("-".to_owned(), |n| n.to_string());
    for row in rows {
        let verdict = if row.is_underserved() {
            " below minimum"
        } else {
            ""
        };
        table.add_row([
            row.day.clone(),
            row.group.clone(),
            row.submitted.to_string(),
            count(row.accepted),
            row.started.to_string(),
            count(row.done),
            format!("{:.3}{verdict}", row.served),
            row.in_time.clone(),
        ]);
    }
    for column in 2..7 {
        if let Some(column) = table.column_mut(column) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

/// Prints the table. Returns false if less than the minimum share of a class or team was
/// served.
pub fn run(root: &Path, options: &Options) -> Result<bool, Failure> {
    let mut all = Vec::new();
    for path in &options.reports {
        let name = path.display().to_string();
        let path = root.join(path);
        let text = std::fs::read_to_string(path).map_err(|e| Failure::Read(name.clone(), e))?;
        all.extend(rows(&name, &text)?);
    }
    println!("{}", table(&all));
    Ok(!all.iter().any(Row::is_underserved))
}

#[cfg(test)]
mod tests;
