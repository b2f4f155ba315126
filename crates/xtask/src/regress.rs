//! Regression check: scores the operators' sites with their bench and compares the scores
//! with reference scores.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
    process::Command,
};

use clap::Args;
use comfy_table::{CellAlignment, Table, presets};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::journal::{self, Entry, JournalError};

/// A score drop of more than this is a regression. The operators state that smaller
/// differences are noise.
const MAX_SCORE_DROP: f64 = 0.03;
/// Site files that are scored, relative to the kit.
const SITES: [&str; 6] = [
    "more/atlas-herbaria-rabat-ops.toml",
    "more/gempa-nusantara-ops-ops.toml",
    "change/atlas-herbaria-rabat-next.toml",
    "change/gempa-nusantara-ops-next.toml",
    "more/fleet/atlas-herbaria-rabat-fleet.toml",
    "more/fleet/gempa-nusantara-ops-fleet.toml",
];
/// Site files for `--hunt`, relative to the kit.
const HUNT_SITES: [&str; 2] = [
    "more/hunt/atlas-herbaria-rabat-hunt.toml",
    "more/hunt/gempa-nusantara-ops-hunt.toml",
];
/// The bench executable, relative to the kit.
const BENCH_PATH: &str = "more/hunt/bin/fleetbench";

/// Options of `cargo xtask regress`.
#[derive(Debug, Args)]
pub struct Options {
    /// Runs only the two hardest days of each site.
    #[arg(long)]
    quick: bool,
    /// Folder of the operators' kit, which holds the bench and the site files.
    #[arg(long, value_name = "DIR", default_value = "../given/kit")]
    kit: PathBuf,
    /// Runs only the sites whose name contains this text.
    #[arg(long, value_name = "NAME")]
    only: Option<String>,
    /// Purpose of the run, recorded in the journal entries.
    #[arg(long, value_name = "TEXT", default_value = "regression")]
    why: String,
    /// Runs nothing; evaluates the newest journal entry of each site.
    #[arg(long)]
    no_run: bool,
    /// Stores the scores as the new references. Requires completed scores of a clean commit,
    /// without broken rules or failed days.
    #[arg(long, conflicts_with = "quick")]
    accept: bool,
    /// After scoring, runs the bench's `hunt` for this many days on each hunt site, where
    /// faults coincide.
    #[arg(long, value_name = "DAYS", conflicts_with_all = ["no_run", "accept"])]
    hunt: Option<u32>,
    /// File that holds the reference scores.
    #[arg(
        long,
        value_name = "FILE",
        default_value = "crates/xtask/references.toml"
    )]
    references: PathBuf,
}

/// Error of `cargo xtask regress`.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("no bench executable at {0}; pass the folder of the operators' kit with --kit")]
    NoBench(String),
    #[error("no site file {0}: the kit is incomplete, or --only matches no site")]
    NoSite(String),
    #[error("the bench could not be started: {0}")]
    Start(std::io::Error),
    #[error("no matching journal entry for {1} (bench: {0})")]
    NoEntry(String, String),
    #[error("the score of {0} cannot become a reference: {1}")]
    NotAccepted(String, String),
    #[error("{0}: {1}")]
    References(String, String),
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Reference score of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reference {
    /// Between 0 and 1.
    #[serde(rename = "figure")]
    pub score: f64,
    /// Id of the journal entry that the score comes from.
    pub journal: String,
    /// Commit that was scored.
    pub commit: String,
}

/// Reference scores by site name.
pub type References = BTreeMap<String, Reference>;

/// A site's score compared with its reference: one row of the result table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub site: String,
    pub score: Option<f64>,
    pub reference: Option<f64>,
    /// Reasons why the change must not be merged; empty if there are none.
    pub problems: Vec<String>,
    /// Number of processes that exited on their own.
    pub unexpected_exits: f64,
}

impl Row {
    /// Compares a journal entry with the reference score.
    pub fn compare(site: &str, entry: &Entry, reference: Option<&Reference>) -> Self {
        let reference = reference.map(|r| r.score);
        let mut problems: Vec<_> = entry.broken_rules();
        problems.extend(entry.failed_days().iter().map(|d| format!("{d} failed")));
        if !entry.ok {
            let why = entry.error.as_deref().unwrap_or("no reason given");
            problems.push(format!("run incomplete: {why}"));
        }
        match (entry.score, reference) {
            (None, _) => problems.push("no score".into()),
            // Scores have four decimal places. The tolerance of 1e-9 keeps a drop of exactly
            // the limit from failing because of floating-point rounding.
            (Some(now), Some(then)) if then - now > MAX_SCORE_DROP + 1e-9 => {
                problems.push("score dropped".into())
            }
            _ => {}
        }
        Self {
            site: site.to_owned(),
            score: entry.score,
            reference,
            problems,
            unexpected_exits: entry.unexpected_exits(),
        }
    }

    /// Whether there is no reason against merging.
    pub fn passes(&self) -> bool {
        self.problems.is_empty()
    }
}

/// Reasons in a hunt's journal entry against merging: broken rules, failed days and an
/// incomplete run. Hunt days have no reference, so a low score above 0 is not a problem.
pub fn hunt_problems(entry: &Entry) -> Vec<String> {
    let mut problems = entry.broken_rules();
    problems.extend(entry.failed_days().iter().map(|d| format!("{d} failed")));
    if !entry.ok || entry.days.is_empty() {
        let why = entry.error.as_deref().unwrap_or("no day was run");
        problems.push(format!("run incomplete: {why}"));
    }
    problems
}

/// Formats the results as a table.
pub fn table(rows: &[Row]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "site",
        "score",
        "reference",
        "difference",
        "exits",
        "verdict",
    ]);
    for row in rows {
        let number = |n: Option<f64>| n.map_or("-".to_owned(), |n| format!("{n:.3}"));
        let difference = row.score.zip(row.reference);
        table.add_row([
            row.site.clone(),
            number(row.score),
            number(row.reference),
            difference.map_or("-".to_owned(), |(now, then)| format!("{:+.3}", now - then)),
            row.unexpected_exits.to_string(),
            if row.passes() {
                "good".to_owned()
            } else {
                row.problems.join(", ")
            },
        ]);
    }
    for column in 1..5 {
        if let Some(column) = table.column_mut(column) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

/// Returns `old` with the scores of `entries` as new references; sites without an entry keep
/// theirs. If `all` holds several full scores of the same site and commit, the reference is
/// their mean: a reference from one unusually high score makes later scores look like
/// regressions.
pub fn updated_references(
    old: &References,
    entries: &[(String, Entry)],
    all: &[Entry],
) -> Result<References, Failure> {
    let mut new = old.clone();
    for (site, entry) in entries {
        let refuse = |why: &str| Err(Failure::NotAccepted(site.clone(), why.to_owned()));
        if !entry.broken_rules().is_empty() || !entry.failed_days().is_empty() {
            return refuse("a rule was broken or a day failed");
        }
        let (true, Some(score), Some(commit)) = (entry.is_reference(), entry.score, &entry.head)
        else {
            return refuse("a reference needs a completed full score of a clean commit");
        };
        let same = |e: &&Entry| {
            e.is_reference() && e.site.as_ref() == Some(site) && e.head.as_ref() == Some(commit)
        };
        let scores: Vec<f64> = all.iter().filter(same).filter_map(|e| e.score).collect();
        let score = match scores.len() {
            0 => score,
            n => scores.iter().sum::<f64>() / n as f64,
        };
        let reference = Reference {
            score: (score * 1e4).round() / 1e4,
            journal: entry.id.clone(),
            commit: commit.clone(),
        };
        new.insert(site.clone(), reference);
    }
    Ok(new)
}

fn load(path: &Path) -> Result<References, Failure> {
    let bad = |e: String| Failure::References(path.display().to_string(), e);
    if !path.exists() {
        return Ok(References::new());
    }
    let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
    toml::from_str(&text).map_err(|e| bad(e.to_string().lines().collect::<Vec<_>>().join(" ")))
}

fn save(path: &Path, references: &References) -> Result<(), Failure> {
    let bad = |e: String| Failure::References(path.display().to_string(), e);
    let text = toml::to_string(references).map_err(|e| bad(e.to_string()))?;
    std::fs::write(path, text).map_err(|e| bad(e.to_string()))
}

fn site_name(file: &str) -> String {
    let stem = Path::new(file).file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

/// Paths of the files in `all` whose site name contains `only`; all files without `only`.
/// Fails if one of them is missing or none matches.
fn site_files(kit: &Path, all: &[&str], only: Option<&str>) -> Result<Vec<PathBuf>, Failure> {
    let is_selected = |file: &&&str| only.is_none_or(|only| site_name(file).contains(only));
    let files: Vec<_> = all
        .iter()
        .filter(is_selected)
        .map(|f| kit.join(f))
        .collect();
    let missing = files.iter().find(|f| !f.is_file());
    if let Some(missing) = missing {
        return Err(Failure::NoSite(missing.display().to_string()));
    }
    if files.is_empty() {
        return Err(Failure::NoSite(only.unwrap_or_default().to_owned()));
    }
    Ok(files)
}

/// Runs the regression check. Returns false if there is a reason against merging.
pub fn run(root: &Path, options: &Options) -> Result<bool, Failure> {
    let kit = root.join(&options.kit);
    let bench = kit.join(BENCH_PATH);
    if !bench.is_file() {
        return Err(Failure::NoBench(bench.display().to_string()));
    }
    let hunt_files = match options.hunt {
        Some(_) => site_files(&kit, &HUNT_SITES, None)?,
        None => Vec::new(),
    };
    let site_files = site_files(&kit, &SITES, options.only.as_deref())?;
    let references_file = root.join(&options.references);
    let references = load(&references_file)?;
    let journal = root.join("journal");
    let before: BTreeSet<_> = if options.no_run {
        BTreeSet::new()
    } else {
        journal::files(&journal)?.into_iter().collect()
    };
    let mut status = "not run".to_owned();
    if !options.no_run {
        let mut command = Command::new(&bench);
        command.current_dir(root).arg("score").args(&site_files);
        if options.quick {
            command.arg("--quick");
        }
        command.args(["--why", &options.why]);
        status = command.status().map_err(Failure::Start)?.to_string();
    }
    // The newest entry of each site, quick or full as requested.
    let mut newest = BTreeMap::new();
    let mut all = Vec::new();
    for path in journal::files(&journal)? {
        let is_new = !before.contains(&path);
        if !is_new && !options.accept {
            continue;
        }
        let entry = journal::read(&path)?;
        if options.accept {
            all.push(entry.clone());
        }
        if !is_new {
            continue;
        }
        if let Some(site) = entry.site.clone()
            && entry.is_score()
            && entry.is_quick() == options.quick
        {
            newest.insert(site, entry);
        }
    }
    let mut scored = Vec::new();
    for site in &site_files {
        let name = site_name(&site.to_string_lossy());
        let Some(entry) = newest.remove(&name) else {
            return Err(Failure::NoEntry(status, name));
        };
        scored.push((name, entry));
    }
    let compare = |(name, entry): &(String, Entry)| Row::compare(name, entry, references.get(name));
    let rows: Vec<_> = scored.iter().map(compare).collect();
    println!("{}", table(&rows));
    if options.accept {
        save(
            &references_file,
            &updated_references(&references, &scored, &all)?,
        )?;
        println!("scores stored as new references");
        return Ok(true);
    }
    let mut good = rows.iter().all(Row::passes);
    if let Some(days) = options.hunt {
        for site in hunt_files {
            good &= hunt(root, &bench, &site, days, &options.why)?;
        }
    }
    Ok(good)
}

/// Runs the bench's `hunt` on a site. Returns false if a rule was broken, a day failed or the
/// run is incomplete.
fn hunt(root: &Path, bench: &Path, site: &Path, days: u32, why: &str) -> Result<bool, Failure> {
    let journal = root.join("journal");
    let before: BTreeSet<_> = journal::files(&journal)?.into_iter().collect();
    let mut command = Command::new(bench);
    command.current_dir(root).arg("hunt").arg(site);
    command.args(["--days", &days.to_string(), "--why", why]);
    let status = command.status().map_err(Failure::Start)?.to_string();
    let new = journal::files(&journal)?;
    let new = new.into_iter().filter(|path| !before.contains(path));
    let name = site_name(&site.to_string_lossy());
    let mut found = None;
    for path in new {
        let entry = journal::read(&path)?;
        if entry.cmd == "hunt" && entry.site.as_ref() == Some(&name) {
            found = Some(entry);
        }
    }
    let entry = found.ok_or_else(|| Failure::NoEntry(status, name.clone()))?;
    let problems = hunt_problems(&entry);
    let verdict = match problems.is_empty() {
        true => "good".to_owned(),
        false => problems.join(", "),
    };
    println!("{name}: {} hunt days: {verdict}", entry.days.len());
    Ok(problems.is_empty())
}

#[cfg(test)]
mod tests;
