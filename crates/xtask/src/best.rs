//! Upper bound for the jobs that a day's machines could have completed, from the debug log of
//! the day.
//!
//! Jobs are taken from the log lines of their submission, machines from the leader's log lines
//! about the fleet. The bound uses the maximum number of machines that the day had, as if all
//! were there from its start, less the average use by services.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
    time::Duration,
};

use clap::Args;
use comfy_table::{Table, presets};
use oliveshift_testkit::upper_bound::{Arrival, MachinePool, achievable_jobs};
use thiserror::Error;

/// Options of `cargo xtask best`.
#[derive(Debug, Args)]
pub struct Options {
    /// Log that the bench printed with `run … --log debug`.
    #[arg(value_name = "LOG")]
    log: PathBuf,
    /// Time limit for the jobs of a class that were submitted without one.
    #[arg(long, value_name = "CLASS=SECONDS", value_parser = class_time)]
    within: Vec<(String, f64)>,
}

fn class_time(text: &str) -> Result<(String, f64), String> {
    let (class, seconds) = text.split_once('=').ok_or("expected CLASS=SECONDS")?;
    let seconds = seconds.parse::<f64>().map_err(|e| e.to_string())?;
    Ok((class.to_owned(), seconds))
}

/// Error of `cargo xtask best`.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0} has no log lines about jobs or none about machines; write it with `--log debug`")]
    Empty(String),
}

/// Jobs and machines found in a log.
#[derive(Debug, Default)]
struct LogSummary {
    /// Ids of the jobs read so far; the log may name a submission several times.
    job_ids: BTreeSet<String>,
    /// Jobs that end, each with its deadline in seconds after submission; 0 without one.
    jobs: Vec<(Arrival, f64)>,
    /// Maximum machines and maximum processors, by machine type and rental kind.
    machines: BTreeMap<(String, String), (f64, f64)>,
    /// Processors used by services, by processors per machine: sum over the log lines and
    /// number of these lines.
    services: BTreeMap<u32, (f64, u32)>,
    /// Time of the last log line, in seconds.
    last_event_s: f64,
}

/// Returns the number before a word: 12 for ` tasks` in `12 tasks of`.
fn number_before(text: &str, word: &str) -> Option<f64> {
    let (head, _) = text.split_once(word)?;
    head.split_whitespace().last()?.parse().ok()
}

impl LogSummary {
    /// Adds a log line; `None` if it has no data that is used here. The return value only
    /// allows `?` in the body.
    fn parse_line(&mut self, line: &str) -> Option<()> {
        let mut words = line.split_whitespace();
        let at: f64 = words.next()?.parse().ok()?;
        self.last_event_s = self.last_event_s.max(at);
        if let Some((head, text)) = line.split_once(": submitted: ") {
            let id = head.split_whitespace().last()?;
            if !self.job_ids.insert(id.to_owned()) {
                return None;
            }
            let (class, text) = text.split_once(" of ")?;
            let (team, text) = text.split_once(", ")?;
            let runs = number_before(text, " s, due")?;
            if runs > 0.0 {
                let due = number_before(text, " s, image")?;
                let job = Arrival {
                    class: class.to_owned(),
                    team: team.to_owned(),
                    at: Duration::try_from_secs_f64(at).ok()?,
                    due: Duration::ZERO,
                    tasks: number_before(text, " tasks")? as u32,
                    cpus: number_before(text, " processors")?,
                    run_time: Duration::try_from_secs_f64(runs).ok()?,
                };
                self.jobs.push((job, due));
            }
        } else if let Some((_, text)) = line.split_once(" fleet: ") {
            let (kind, text) = text.split_once(": ")?;
            let (kind, spot) = kind.split_once(' ')?;
            let machines = number_before(text, " machines")?;
            let cpus = number_before(text, " processors")?;
            let services = number_before(text, " by services")?;
            let key = (kind.to_owned(), spot.to_owned());
            let maximum = self.machines.entry(key).or_default();
            *maximum = (maximum.0.max(machines), maximum.1.max(cpus));
            let sum = self.services.entry((cpus / machines) as u32).or_default();
            sum.0 += services;
            sum.1 += 1;
        }
        None
    }

    /// Pools of machines of the same size, without the processors used by services.
    fn pools(&self) -> Vec<MachinePool> {
        let mut pools: BTreeMap<u32, f64> = BTreeMap::new();
        let mut kinds: BTreeMap<u32, f64> = BTreeMap::new();
        for (machines, cpus) in self.machines.values() {
            let size = (cpus / machines) as u32;
            *pools.entry(size).or_default() += cpus;
            *kinds.entry(size).or_default() += 1.0;
        }
        let pools = pools.into_iter().map(|(size, cpus)| {
            let (sum, times) = self.services.get(&size).copied().unwrap_or((0.0, 1));
            let services = sum / f64::from(times.max(1)) * kinds[&size];
            MachinePool {
                cpus_per_machine: f64::from(size),
                cpus: (cpus - services).max(0.0),
            }
        });
        pools.collect()
    }
}

/// Prints how many jobs could have been completed, by class and by team.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    let name = options.log.display().to_string();
    let text = std::fs::read_to_string(root.join(&options.log));
    let text = text.map_err(|e| Failure::Read(name.clone(), e))?;
    let mut summary = LogSummary::default();
    for line in text.lines() {
        // Most lines are about something else and are skipped.
        let _ = summary.parse_line(line);
    }
    let pools = summary.pools();
    if summary.jobs.is_empty() || pools.is_empty() {
        return Err(Failure::Empty(name));
    }
    let end = Duration::from_secs_f64(summary.last_event_s);
    let jobs: Vec<_> = summary
        .jobs
        .iter()
        .map(|(job, due)| {
            let limit = options.within.iter().find(|(class, _)| *class == job.class);
            let due = if *due > 0.0 {
                Some(*due)
            } else {
                limit.map(|(_, seconds)| *seconds)
            };
            let due = due.map_or(end, |s| job.at + Duration::from_secs_f64(s));
            Arrival { due, ..job.clone() }
        })
        .collect();
    for pool in &pools {
        println!(
            "{:.0} processors on machines of {}",
            pool.cpus, pool.cpus_per_machine
        );
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["group", "submitted", "done at best", "in time at best"]);
    for (group, counts) in achievable_jobs(&jobs, &pools, &BTreeMap::new(), end) {
        let share = |part: u32| f64::from(part) / f64::from(counts.submitted.max(1));
        table.add_row([
            group,
            counts.submitted.to_string(),
            format!("{} ({:.3})", counts.done, share(counts.done)),
            format!("{} ({:.3})", counts.in_time, share(counts.in_time)),
        ]);
    }
    println!("{table}");
    Ok(())
}

#[cfg(test)]
mod tests;
