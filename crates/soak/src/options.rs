//! What is asked of a soak, and whether this machine can give it.

use std::{path::PathBuf, time::Duration};

use clap::Parser;
use thiserror::Error;

/// Open files that a machine of ours takes at most: its listener and connections.
const FILES_EACH: u64 = 6;
/// Open files for everything else.
const FILES_BESIDES: u64 = 400;
/// Memory that a machine of ours takes at most, in KiB, and a controller.
const MACHINE_KIB: u64 = 64;
const CONTROLLER_KIB: u64 = 200 * 1024;

/// Real controllers on loopback under random faults.
#[derive(Clone, Debug, Parser)]
#[command(name = "oliveshift-soak")]
pub struct Options {
    /// The first seed: it fixes the faults and the work.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// For how long faults happen in each; a quiet minute follows.
    #[arg(long, default_value_t = 2.0)]
    pub minutes: f64,
    /// How many machines are up at the beginning.
    #[arg(long, default_value_t = 60)]
    pub machines: u32,
    /// How many controllers there are.
    #[arg(long, default_value_t = 3)]
    pub controllers: u32,
    /// The program of the controllers.
    #[arg(long, default_value = "target/release/oliveshift")]
    pub program: PathBuf,
    /// Where records and the logs of failed seeds go.
    #[arg(long, default_value = "target/soak")]
    pub out: PathBuf,
}

/// Why a soak can't be run as asked.
#[derive(Debug, Error)]
pub enum BadOptions {
    #[error("--{0} has to be at least 1")]
    Zero(&'static str),
    #[error("--minutes has to be a number above 0, and at most 600")]
    Minutes,
    #[error("--controllers can be at most 9")]
    Controllers,
    #[error("{0} is not there: build it with `cargo build --release -p oliveshift`")]
    Program(PathBuf),
    #[error("--machines {machines} needs {needed} open files, and {limit} are allowed")]
    Files {
        machines: u32,
        needed: u64,
        limit: u64,
    },
    #[error(
        "--machines {machines} needs {needed} MiB, and half of this machine's memory is {half} MiB"
    )]
    Memory {
        machines: u32,
        needed: u64,
        half: u64,
    },
}

impl Options {
    /// Whether it can be run.
    ///
    /// # Errors
    ///
    /// If a number makes no sense, the program is missing, or this machine is too small.
    pub fn check(&self) -> Result<(), BadOptions> {
        let counts = [
            ("seeds", self.seeds),
            ("machines", u64::from(self.machines)),
            ("controllers", u64::from(self.controllers)),
        ];
        if let Some((name, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
            return Err(BadOptions::Zero(name));
        }
        if !(self.minutes > 0.0 && self.minutes <= 600.0) {
            return Err(BadOptions::Minutes);
        }
        if self.controllers > 9 {
            return Err(BadOptions::Controllers);
        }
        if !self.program.is_file() {
            return Err(BadOptions::Program(self.program.clone()));
        }
        let machines = self.machines;
        // As many again may be rented.
        let needed = u64::from(machines) * 2 * FILES_EACH + FILES_BESIDES;
        if let Some(limit) = open_file_limit().filter(|limit| needed > *limit) {
            return Err(BadOptions::Files {
                machines,
                needed,
                limit,
            });
        }
        let controllers = u64::from(self.controllers) * CONTROLLER_KIB;
        let needed = (u64::from(machines) * 2 * MACHINE_KIB + controllers) / 1024;
        if let Some(half) = total_memory_mib().map(|all| all / 2)
            && needed > half
        {
            return Err(BadOptions::Memory {
                machines,
                needed,
                half,
            });
        }
        Ok(())
    }

    /// All seeds to be played.
    pub fn all_seeds(&self) -> impl Iterator<Item = u64> {
        self.seed..self.seed.saturating_add(self.seeds)
    }

    /// For how long faults happen.
    pub fn troubled(&self) -> Duration {
        Duration::from_secs_f64(self.minutes * 60.0)
    }
}

/// How many files this process may have open; unknown where there is no `/proc`.
fn open_file_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find(|l| l.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

fn total_memory_mib() -> Option<u64> {
    let info = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = info.lines().find(|l| l.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024)
}

#[cfg(test)]
mod tests;
