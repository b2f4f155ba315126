//! What came of a seed.

use std::{fs, io, path::Path};

use serde::Serialize;

use crate::{faults::Timed, site::Timing};

/// Most findings of a kind that are shown.
const MOST_SHOWN: usize = 3;

/// A rule that was broken.
#[derive(Debug, Serialize)]
pub struct Break {
    /// When, in milliseconds since the beginning.
    pub at_ms: u64,
    /// Which.
    pub rule: String,
    /// By what.
    pub what: String,
}

/// What came of a seed.
#[derive(Debug, Serialize)]
pub struct Record {
    /// The seed.
    pub seed: u64,
    /// Controllers.
    pub controllers: u32,
    /// Machines up at the beginning.
    pub machines: u32,
    /// Workers' leases and cancellations.
    pub timing: Timing,
    /// How long it took, in seconds.
    pub seconds: u64,
    /// Answers that changes are no longer kept.
    pub too_old: usize,
    /// Jobs accepted.
    pub accepted: usize,
    /// Accepted jobs whose end nobody had told at the end.
    pub open: usize,
    /// Starts of tasks.
    pub started: u64,
    /// Tasks that completed.
    pub done: usize,
    /// Tasks that ended with their machine or the lease of its worker.
    pub lost: usize,
    /// Broken rules.
    pub broken: Vec<Break>,
    /// Controllers that ended by themselves.
    pub deaths: Vec<String>,
    /// Invariants that controllers have found violated.
    pub violations: Vec<String>,
    /// It was ended before its time.
    pub interrupted: bool,
    /// What went wrong when.
    pub faults: Vec<Timed>,
}

impl Record {
    /// Whether all that has to hold did.
    pub fn holds(&self) -> bool {
        self.broken.is_empty()
            && self.deaths.is_empty()
            && self.violations.is_empty()
            && self.accepted > 0
            && self.done > 0
            && !self.interrupted
    }

    /// The record in a line.
    pub fn line(&self) -> String {
        let verdict = if self.holds() { "holds" } else { "FAILED" };
        let broken: Vec<_> = self.broken.iter().map(|b| b.rule.as_str()).collect();
        format!(
            "seed {}: {verdict}: {} faults, {} jobs accepted, {} open, {} tasks started, {} done, {} lost, \
             {} times changes too old; broken {broken:?}, {} ended by themselves, {} violations",
            self.seed,
            self.faults.len(),
            self.accepted,
            self.open,
            self.started,
            self.done,
            self.lost,
            self.too_old,
            self.deaths.len(),
            self.violations.len(),
        )
    }

    /// The first things that must not have been, a line each.
    pub fn findings(&self) -> Vec<String> {
        let broken = self.broken.iter().take(MOST_SHOWN);
        let mut lines: Vec<_> = broken
            .map(|b| format!("  {} ms: {}: {}", b.at_ms, b.rule, b.what))
            .collect();
        let others = [&self.deaths, &self.violations];
        lines.extend(others.into_iter().flat_map(|all| {
            let first = all.iter().take(MOST_SHOWN);
            first.map(|line| format!("  {line}"))
        }));
        lines
    }

    /// Writes it to a folder.
    ///
    /// # Errors
    ///
    /// If the folder can't be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self)?;
        fs::write(folder.join(format!("seed-{}.json", self.seed)), text)
    }
}
