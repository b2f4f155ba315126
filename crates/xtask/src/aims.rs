//! Summarizes the journal by objective and shows which objectives score lowest.

use std::{collections::BTreeMap, path::Path, path::PathBuf};

use clap::Args;
use comfy_table::{Table, presets};
use thiserror::Error;

use crate::{
    journal::{self, Entry, JournalError},
    plots::{self, PlotError},
};

/// Options of `cargo xtask aims`.
#[derive(Debug, Args)]
pub struct Options {
    /// Starts with the journal entry that has this id.
    #[arg(long, value_name = "ID")]
    since: Option<String>,
    /// Includes only sites whose name contains this text.
    #[arg(long, value_name = "NAME")]
    only: Option<String>,
    /// Includes only runs of `score`, which run the standard days.
    #[arg(long)]
    scores: bool,
    /// Maximum number of rows in the table.
    #[arg(long, value_name = "N", default_value_t = 25)]
    top: usize,
    /// Also writes an HTML report with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Error of `cargo xtask aims`.
#[derive(Debug, Error)]
pub enum Failure {
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error("no completed journal entry matches the options and has a day with objectives")]
    Empty,
    #[error("{0}: {1}")]
    Write(String, std::io::Error),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// Scores of one objective on one day of a site, over all runs of that day.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveScore {
    pub site: String,
    pub day: String,
    pub objective: String,
    /// Between 0 and 1.
    pub lowest: f64,
    /// Between 0 and 1.
    pub mean: f64,
    /// Number of runs of the day.
    pub runs: usize,
    /// Id of the journal entry with the lowest score.
    pub journal: String,
    /// Value reached in that entry, as printed by the bench.
    pub reached: String,
}

/// Scores of all objectives by site and day, lowest score first. Skips incomplete runs.
pub fn summarize(entries: &[Entry]) -> Vec<ObjectiveScore> {
    let mut objective_scores: BTreeMap<(&str, &str, &str), ObjectiveScore> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.ok) {
        let Some(site) = entry.site.as_deref() else {
            continue;
        };
        for day in &entry.days {
            for (objective, score) in &day.objectives {
                let (name, reached) = objective.split_once(": ").unwrap_or((objective, ""));
                let new = || ObjectiveScore {
                    site: site.to_owned(),
                    day: day.name.clone(),
                    objective: name.to_owned(),
                    lowest: f64::INFINITY,
                    mean: 0.0,
                    runs: 0,
                    journal: String::new(),
                    reached: String::new(),
                };
                let sum = objective_scores
                    .entry((site, &day.name, name))
                    .or_insert_with(new);
                sum.mean = (sum.mean * sum.runs as f64 + score) / (sum.runs + 1) as f64;
                sum.runs += 1;
                if *score < sum.lowest {
                    sum.lowest = *score;
                    sum.journal = entry.id.clone();
                    sum.reached = reached.to_owned();
                }
            }
        }
    }
    let mut objective_scores: Vec<_> = objective_scores.into_values().collect();
    objective_scores.sort_by(|a, b| a.lowest.total_cmp(&b.lowest));
    objective_scores
}

/// For each site, its objectives over all days as (name, lowest score, mean score), lowest
/// mean first.
pub fn summarize_by_site(
    objective_scores: &[ObjectiveScore],
) -> BTreeMap<&str, Vec<(String, f64, f64)>> {
    let mut sites: BTreeMap<&str, BTreeMap<&str, (f64, f64, usize)>> = BTreeMap::new();
    for score in objective_scores {
        let site = sites.entry(&score.site).or_default();
        let objective = site
            .entry(&score.objective)
            .or_insert((f64::INFINITY, 0.0, 0));
        objective.0 = objective.0.min(score.lowest);
        objective.1 += score.mean * score.runs as f64;
        objective.2 += score.runs;
    }
    let mean = |(objective, (lowest, sum, runs)): (&str, (f64, f64, usize))| {
        (objective.to_owned(), lowest, sum / runs as f64)
    };
    let order = |objectives: BTreeMap<&str, _>| {
        let mut objectives: Vec<_> = objectives.into_iter().map(mean).collect();
        objectives.sort_by(|a, b| a.2.total_cmp(&b.2));
        objectives
    };
    sites
        .into_iter()
        .map(|(s, objectives)| (s, order(objectives)))
        .collect()
}

/// For each site, its scores in journal order, each with whether it is from a quick run.
pub fn site_scores(entries: &[Entry]) -> BTreeMap<&str, Vec<(f64, bool)>> {
    let mut site_scores: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.ok && e.is_score()) {
        if let (Some(site), Some(score)) = (entry.site.as_deref(), entry.score) {
            site_scores
                .entry(site)
                .or_default()
                .push((score, entry.is_quick()));
        }
    }
    site_scores
}

fn table(objective_scores: &[ObjectiveScore]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "lowest",
        "mean",
        "runs",
        "site",
        "day",
        "objective",
        "reached",
        "journal",
    ]);
    for score in objective_scores {
        table.add_row([
            format!("{:.2}", score.lowest),
            format!("{:.2}", score.mean),
            score.runs.to_string(),
            score.site.clone(),
            score.day.clone(),
            score.objective.clone(),
            score.reached.clone(),
            score.journal.clone(),
        ]);
    }
    table.to_string()
}

/// Prints the summary and writes the report.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    let mut entries = journal::since(&root.join("journal"), options.since.as_deref())?;
    if let Some(only) = &options.only {
        entries.retain(|e| e.site.as_ref().is_some_and(|s| s.contains(only.as_str())));
    }
    if options.scores {
        entries.retain(Entry::is_score);
    }
    let objective_scores = summarize(&entries);
    if objective_scores.is_empty() {
        return Err(Failure::Empty);
    }
    let top = &objective_scores[..options.top.min(objective_scores.len())];
    println!("{}", table(top));
    if let Some(file) = &options.html {
        let page = plots::report(&entries, &objective_scores, options.top)?;
        let failed = |e| Failure::Write(file.display().to_string(), e);
        std::fs::write(file, page).map_err(failed)?;
        println!("{} written", file.display());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
