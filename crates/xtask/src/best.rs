//! The best that a day's machines could have done, by the debug log of the day.
//!
//! Jobs are as their users described them, machines as the leader summed them
//! up; of the machines those count that the day had at most, from its beginning,
//! less what services took.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
    time::Duration,
};

use clap::Args;
use comfy_table::{Table, presets};
use oliveshift_testkit::upper_bound::{Arrival, MachinePool, achievable_jobs};
use thiserror::Error;

/// What is looked at.
#[derive(Debug, Args)]
pub struct Options {
    /// What the bench printed with `run … --log debug`.
    #[arg(value_name = "LOG")]
    log: PathBuf,
    /// In which time jobs of a class should be done, if they say nothing.
    #[arg(long, value_name = "CLASS=SECONDS", value_parser = class_time)]
    within: Vec<(String, f64)>,
}

fn class_time(text: &str) -> Result<(String, f64), String> {
    let (class, seconds) = text.split_once('=').ok_or("CLASS=SECONDS is meant")?;
    let seconds = seconds.parse::<f64>().map_err(|e| e.to_string())?;
    Ok((class.to_owned(), seconds))
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0} tells of no jobs or no machines: write it with `--log debug`")]
    Empty(String),
}

/// What a log tells.
#[derive(Debug, Default)]
struct Seen {
    known: BTreeSet<String>,
    jobs: Vec<(Arrival, f64)>,
    /// By kind, spot or not: machines, processors; the most of each.
    machines: BTreeMap<(String, String), (f64, f64)>,
    /// What services had, by size of machine: the sum and how often it was
    /// told.
    services: BTreeMap<u32, (f64, u32)>,
    end: f64,
}

/// The number before a word: `12` of `12 tasks of`.
fn before(text: &str, word: &str) -> Option<f64> {
    let (head, _) = text.split_once(word)?;
    head.split_whitespace().last()?.parse().ok()
}

impl Seen {
    fn line(&mut self, line: &str) -> Option<()> {
        let mut words = line.split_whitespace();
        let at: f64 = words.next()?.parse().ok()?;
        self.end = self.end.max(at);
        if let Some((head, text)) = line.split_once(": submitted: ") {
            let id = head.split_whitespace().last()?;
            if !self.known.insert(id.to_owned()) {
                return None;
            }
            let (class, text) = text.split_once(" of ")?;
            let (team, text) = text.split_once(", ")?;
            let runs = before(text, " s, due")?;
            if runs > 0.0 {
                let due = before(text, " s, image")?;
                let job = Arrival {
                    class: class.to_owned(),
                    team: team.to_owned(),
                    at: Duration::try_from_secs_f64(at).ok()?,
                    due: Duration::ZERO,
                    tasks: before(text, " tasks")? as u32,
                    cpus: before(text, " processors")?,
                    run_time: Duration::try_from_secs_f64(runs).ok()?,
                };
                self.jobs.push((job, due));
            }
        } else if let Some((_, text)) = line.split_once(" fleet: ") {
            let (kind, text) = text.split_once(": ")?;
            let (kind, spot) = kind.split_once(' ')?;
            let machines = before(text, " machines")?;
            let cpus = before(text, " processors")?;
            let services = before(text, " by services")?;
            let key = (kind.to_owned(), spot.to_owned());
            let most = self.machines.entry(key).or_default();
            *most = (most.0.max(machines), most.1.max(cpus));
            let sum = self.services.entry((cpus / machines) as u32).or_default();
            sum.0 += services;
            sum.1 += 1;
        }
        None
    }

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

/// Prints what could have been served.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    let name = options.log.display().to_string();
    let text = std::fs::read_to_string(root.join(&options.log));
    let text = text.map_err(|e| Failure::Read(name.clone(), e))?;
    let mut seen = Seen::default();
    for line in text.lines() {
        // Lines that tell something else are most of them.
        let _ = seen.line(line);
    }
    let pools = seen.pools();
    if seen.jobs.is_empty() || pools.is_empty() {
        return Err(Failure::Empty(name));
    }
    let end = Duration::from_secs_f64(seen.end);
    let jobs: Vec<_> = seen
        .jobs
        .iter()
        .map(|(job, due)| {
            let within = options.within.iter().find(|(class, _)| *class == job.class);
            let due = if *due > 0.0 {
                Some(*due)
            } else {
                within.map(|(_, seconds)| *seconds)
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
    table.set_header(["of", "submitted", "done at best", "in time at best"]);
    for (what, best) in achievable_jobs(&jobs, &pools, &BTreeMap::new(), end) {
        let share = |part: u32| f64::from(part) / f64::from(best.submitted.max(1));
        table.add_row([
            what,
            best.submitted.to_string(),
            format!("{} ({:.3})", best.done, share(best.done)),
            format!("{} ({:.3})", best.in_time, share(best.in_time)),
        ]);
    }
    println!("{table}");
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_log_is_read() {
        let mut seen = Seen::default();
        for line in [
            "    5.0410 grove-3 DEBUG fleet: core ordinary: 2 machines, 128 processors, 8 in use, 16 by services; 1 idle, 0 not usable",
            "    6.0000 grove-1 DEBUG j-000001: submitted: rush of red, 12 tasks of 4 processors for 40.5 s, due in 0 s, image i-1, awaits []",
            "    7.0000 grove-2 DEBUG j-000001: submitted: rush of red, 12 tasks of 4 processors for 40.5 s, due in 0 s, image i-1, awaits []",
            "    8.0000 grove-2 DEBUG j-000002: submitted: web of red, 2 tasks of 4 processors for 0 s, due in 0 s, image i-1, awaits []",
            "   30.0000 grove-2 INFO something else",
        ] {
            let _ = seen.line(line);
        }
        assert_eq!(seen.jobs.len(), 1);
        let (job, due) = &seen.jobs[0];
        assert_eq!((job.tasks, job.cpus, *due), (12, 4.0, 0.0));
        assert_eq!(job.run_time, Duration::from_millis(40_500));
        let pool = MachinePool {
            cpus_per_machine: 64.0,
            cpus: 112.0,
        };
        assert_eq!(seen.pools(), [pool]);
        assert_eq!(seen.end, 30.0);
    }
}
