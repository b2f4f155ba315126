//! Command-line options, and checks that this machine has enough resources for them.

use std::{path::PathBuf, time::Duration};

use clap::Parser;
use thiserror::Error;

/// Maximum number of open files for a simulated machine: its listener and connections.
const FILES_PER_MACHINE: u64 = 6;
/// Number of open files for everything else.
const BASE_FILES: u64 = 400;
/// Maximum memory for a simulated machine, in KiB.
const MEMORY_PER_MACHINE_KIB: u64 = 64;
/// Maximum memory for a controller, in KiB.
const MEMORY_PER_CONTROLLER_KIB: u64 = 200 * 1024;

/// Run real controllers on loopback under random faults.
#[derive(Clone, Debug, Parser)]
#[command(name = "oliveshift-soak")]
pub struct Options {
    /// First seed; a seed determines the faults and the workload.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Duration of the fault period of each seed, in minutes; 45 s without faults follow.
    #[arg(long, default_value_t = 2.0)]
    pub minutes: f64,
    /// Number of machines that are up at the start.
    #[arg(long, default_value_t = 60)]
    pub machines: u32,
    /// Number of controllers.
    #[arg(long, default_value_t = 3)]
    pub controllers: u32,
    /// Path of the controller program.
    #[arg(long, default_value = "target/release/oliveshift")]
    pub program: PathBuf,
    /// Directory for records and for settings and logs of failed seeds.
    #[arg(long, default_value = "target/soak")]
    pub out: PathBuf,
}

/// Why a run with these options can't start.
#[derive(Debug, Error)]
pub enum OptionsError {
    #[error("--{0} must be at least 1")]
    Zero(&'static str),
    #[error("--minutes must be a number above 0 and at most 600")]
    Minutes,
    #[error("--controllers must be at most 9")]
    Controllers,
    #[error(
        "program {0} does not exist or is not a file: build it with `cargo build --release -p oliveshift`"
    )]
    Program(PathBuf),
    #[error("--machines {machines} needs {needed} open files, but the limit is {limit}")]
    Files {
        machines: u32,
        needed: u64,
        limit: u64,
    },
    #[error(
        "--machines {machines} needs {needed} MiB, but half of this machine's memory is {half} MiB"
    )]
    Memory {
        machines: u32,
        needed: u64,
        half: u64,
    },
}

impl Options {
    /// Checks whether a run with these options can start.
    ///
    /// # Errors
    ///
    /// If a number is out of range, the program is missing, or this machine has too few open
    /// files or too little memory.
    pub fn check(&self) -> Result<(), OptionsError> {
        let counts = [
            ("seeds", self.seeds),
            ("machines", u64::from(self.machines)),
            ("controllers", u64::from(self.controllers)),
        ];
        if let Some((name, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
            return Err(OptionsError::Zero(name));
        }
        if !(self.minutes > 0.0 && self.minutes <= 600.0) {
            return Err(OptionsError::Minutes);
        }
        if self.controllers > 9 {
            return Err(OptionsError::Controllers);
        }
        if !self.program.is_file() {
            return Err(OptionsError::Program(self.program.clone()));
        }
        let machines = self.machines;
        // The cloud may rent out as many machines again.
        let needed = u64::from(machines) * 2 * FILES_PER_MACHINE + BASE_FILES;
        if let Some(limit) = open_file_limit().filter(|limit| needed > *limit) {
            return Err(OptionsError::Files {
                machines,
                needed,
                limit,
            });
        }
        let controllers = u64::from(self.controllers) * MEMORY_PER_CONTROLLER_KIB;
        let needed = (u64::from(machines) * 2 * MEMORY_PER_MACHINE_KIB + controllers) / 1024;
        if let Some(half) = total_memory_mib().map(|all| all / 2)
            && needed > half
        {
            return Err(OptionsError::Memory {
                machines,
                needed,
                half,
            });
        }
        Ok(())
    }

    /// All seeds to run.
    pub fn all_seeds(&self) -> impl Iterator<Item = u64> {
        self.seed..self.seed.saturating_add(self.seeds)
    }

    /// Duration of the fault period.
    pub fn fault_duration(&self) -> Duration {
        Duration::from_secs_f64(self.minutes * 60.0)
    }
}

/// Limit of open files of this process; `None` where there is no `/proc`.
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
