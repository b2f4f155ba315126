//! The result of a seed, written as JSON.

use std::{fs, io, path::Path};

use serde::Serialize;

use crate::{faults::ScheduledFault, site::Timing};

/// Maximum number of findings of each kind that are printed.
const MAX_FINDINGS_SHOWN: usize = 3;

/// A violation of a rule of the test kit.
#[derive(Debug, Serialize)]
pub struct RuleViolation {
    /// Time of the violation, in milliseconds since the start of the seed.
    pub at_ms: u64,
    /// Name of the rule.
    pub rule: String,
    /// Description of the violating event.
    #[serde(rename = "what")]
    pub description: String,
}

/// The result of a seed.
#[derive(Debug, Serialize)]
pub struct Record {
    /// Seed of the faults and the workload.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: u32,
    /// Number of machines that are up at the start.
    pub machines: u32,
    /// Worker lease and cancellation settings.
    pub timing: Timing,
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// Number of watch answers saying that the requested changes are no longer retained.
    pub too_old: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of accepted jobs that were never reported to their user as ended.
    pub open: usize,
    /// Number of submissions and cancellations whose body was sent in two parts, and of requests
    /// that were answered as incomplete.
    pub slow_requests: (u32, u32),
    /// Number of task starts.
    pub started: u64,
    /// Number of completed tasks.
    pub done: usize,
    /// Number of tasks that ended because their machine was lost or its worker's lease expired.
    pub lost: usize,
    /// Number of late copies of direct orders that arrived.
    pub copied_orders: usize,
    /// Number of starts in them whose attempt the worker had forgotten.
    pub copies_of_forgotten: usize,
    /// Rule violations.
    #[serde(rename = "broken")]
    pub rule_violations: Vec<RuleViolation>,
    /// Controllers that exited without being killed by a fault.
    #[serde(rename = "deaths")]
    pub unexpected_exits: Vec<String>,
    /// Log lines in which controllers report a violated invariant.
    #[serde(rename = "violations")]
    pub invariant_violations: Vec<String>,
    /// Whether a signal ended the run early.
    pub interrupted: bool,
    /// Injected faults and their times.
    pub faults: Vec<ScheduledFault>,
}

impl Record {
    /// Whether the run was complete, did some work and violated nothing.
    pub fn passed(&self) -> bool {
        self.rule_violations.is_empty()
            && self.unexpected_exits.is_empty()
            && self.invariant_violations.is_empty()
            && self.accepted > 0
            && self.done > 0
            && !self.interrupted
    }

    /// One-line summary of the result.
    pub fn summary(&self) -> String {
        let verdict = if self.passed() { "holds" } else { "FAILED" };
        let rule_violations: Vec<_> = self
            .rule_violations
            .iter()
            .map(|v| v.rule.as_str())
            .collect();
        format!(
            "seed {}: {verdict}: {} faults, {} jobs accepted, {} open, {} tasks started, {} done, {} lost, \
             {} times changes too old, {} copied orders, {} starts of forgotten attempts in them; rules broken {rule_violations:?}, {} controllers exited unexpectedly, \
             {} invariant violations",
            self.seed,
            self.faults.len(),
            self.accepted,
            self.open,
            self.started,
            self.done,
            self.lost,
            self.too_old,
            self.copied_orders,
            self.copies_of_forgotten,
            self.unexpected_exits.len(),
            self.invariant_violations.len(),
        )
    }

    /// The first rule violations, unexpected exits and invariant violations, one line each.
    pub fn findings(&self) -> Vec<String> {
        let rule_violations = self.rule_violations.iter().take(MAX_FINDINGS_SHOWN);
        let mut lines: Vec<_> = rule_violations
            .map(|v| format!("  {} ms: {}: {}", v.at_ms, v.rule, v.description))
            .collect();
        let other_findings = [&self.unexpected_exits, &self.invariant_violations];
        lines.extend(other_findings.into_iter().flat_map(|all| {
            let first = all.iter().take(MAX_FINDINGS_SHOWN);
            first.map(|line| format!("  {line}"))
        }));
        lines
    }

    /// Writes the result to `seed-N.json` in a directory, which is created if missing.
    ///
    /// # Errors
    ///
    /// If the directory or the file can't be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self)?;
        fs::write(folder.join(format!("seed-{}.json", self.seed)), text)
    }
}
