//! Regression: the operators' sites, scored and compared with references.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
    process::Command,
};

use clap::Args;
use comfy_table::{CellAlignment, Table, presets};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::journal::{self, BadJournal, Entry};

/// A fall by more than this is one; less is scatter, as the operators say.
const NOISE: f64 = 0.03;
/// The sites, below the kit.
const SITES: [&str; 6] = [
    "more/atlas-herbaria-rabat-ops.toml",
    "more/gempa-nusantara-ops-ops.toml",
    "change/atlas-herbaria-rabat-next.toml",
    "change/gempa-nusantara-ops-next.toml",
    "more/fleet/atlas-herbaria-rabat-fleet.toml",
    "more/fleet/gempa-nusantara-ops-fleet.toml",
];
const BENCH: &str = "more/fleet/bin/fleetbench";

/// How a regression is run.
#[derive(Debug, Args)]
pub struct Options {
    /// Plays only the two roughest days of each site.
    #[arg(long)]
    quick: bool,
    /// Where the operators' kit is.
    #[arg(long, value_name = "DIR", default_value = "../given/kit")]
    kit: PathBuf,
    /// Only sites whose name has this in it.
    #[arg(long, value_name = "NAME")]
    only: Option<String>,
    /// What is measured, for the journal.
    #[arg(long, value_name = "TEXT", default_value = "regression")]
    why: String,
    /// Plays nothing: judges the newest entry of each site.
    #[arg(long)]
    no_run: bool,
    /// Makes the scores the new references, if no rule was broken.
    #[arg(long, conflicts_with = "quick")]
    accept: bool,
    /// The references.
    #[arg(
        long,
        value_name = "FILE",
        default_value = "crates/xtask/references.toml"
    )]
    references: PathBuf,
}

/// Why there is no verdict.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("no bench at {0}: name the operators' kit with --kit")]
    NoBench(String),
    #[error("no site file {0}: the kit is not whole, or --only names no site")]
    NoSite(String),
    #[error("the bench can't be started: {0}")]
    Start(std::io::Error),
    #[error("the bench ended with {0} and left no entry for {1}")]
    NoEntry(String, String),
    #[error("no reference can be made of {0}: {1}")]
    NotAccepted(String, String),
    #[error("{0}: {1}")]
    References(String, String),
    #[error(transparent)]
    Journal(#[from] BadJournal),
}

/// What a site has reached before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reference {
    /// The score, between 0 and 1.
    pub figure: f64,
    /// The journal's entry.
    pub journal: String,
    /// The commit that it measured.
    pub commit: String,
}

/// The references, by site.
pub type References = BTreeMap<String, Reference>;

/// What a site's entry says against its reference.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub site: String,
    pub figure: Option<f64>,
    pub reference: Option<f64>,
    /// What speaks against a landing, in words.
    pub against: Vec<String>,
    pub ended: f64,
}

impl Row {
    /// Judges an entry.
    pub fn judge(site: &str, entry: &Entry, reference: Option<&Reference>) -> Self {
        let reference = reference.map(|r| r.figure);
        let mut against: Vec<_> = entry.broken();
        against.extend(entry.failed().iter().map(|d| format!("{d} failed")));
        if !entry.ok {
            let why = entry.error.as_deref().unwrap_or("no reason given");
            against.push(format!("not ended: {why}"));
        }
        match (entry.score, reference) {
            (None, _) => against.push("no score".into()),
            // Figures have four digits; a fall of just the noise is none.
            (Some(now), Some(then)) if then - now > NOISE + 1e-9 => against.push("fell".into()),
            _ => {}
        }
        Self {
            site: site.to_owned(),
            figure: entry.score,
            reference,
            against,
            ended: entry.ended(),
        }
    }

    /// Whether nothing speaks against a landing.
    pub fn is_good(&self) -> bool {
        self.against.is_empty()
    }
}

/// The verdict as a table.
pub fn table(rows: &[Row]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "site",
        "figure",
        "reference",
        "difference",
        "ended",
        "verdict",
    ]);
    for row in rows {
        let number = |n: Option<f64>| n.map_or("-".to_owned(), |n| format!("{n:.3}"));
        let difference = row.figure.zip(row.reference);
        table.add_row([
            row.site.clone(),
            number(row.figure),
            number(row.reference),
            difference.map_or("-".to_owned(), |(now, then)| format!("{:+.3}", now - then)),
            row.ended.to_string(),
            if row.is_good() {
                "good".to_owned()
            } else {
                row.against.join(", ")
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

/// New references out of full scores; what was not played stays. Where a commit
/// was scored several times, `all` having these scores, the mean counts: a
/// lucky score as the reference makes each later one look like a fall.
pub fn accept(
    old: &References,
    entries: &[(String, Entry)],
    all: &[Entry],
) -> Result<References, Failure> {
    let mut new = old.clone();
    for (site, entry) in entries {
        let refuse = |why: &str| Err(Failure::NotAccepted(site.clone(), why.to_owned()));
        if !entry.broken().is_empty() || !entry.failed().is_empty() {
            return refuse("a rule was broken or a day failed");
        }
        let (true, Some(figure), Some(commit)) = (entry.is_reference(), entry.score, &entry.head)
        else {
            return refuse("it takes a full score of committed sources that came to its end");
        };
        let same = |e: &&Entry| {
            e.is_reference() && e.site.as_ref() == Some(site) && e.head.as_ref() == Some(commit)
        };
        let scores: Vec<f64> = all.iter().filter(same).filter_map(|e| e.score).collect();
        let figure = match scores.len() {
            0 => figure,
            n => scores.iter().sum::<f64>() / n as f64,
        };
        let reference = Reference {
            figure: (figure * 1e4).round() / 1e4,
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

fn name_of(file: &str) -> String {
    let stem = Path::new(file).file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

/// The site files that are meant.
fn sites(kit: &Path, only: Option<&str>) -> Result<Vec<PathBuf>, Failure> {
    let meant = |file: &&&str| only.is_none_or(|only| name_of(file).contains(only));
    let files: Vec<_> = SITES.iter().filter(meant).map(|f| kit.join(f)).collect();
    let missing = files.iter().find(|f| !f.is_file());
    if let Some(missing) = missing {
        return Err(Failure::NoSite(missing.display().to_string()));
    }
    if files.is_empty() {
        return Err(Failure::NoSite(only.unwrap_or_default().to_owned()));
    }
    Ok(files)
}

/// Runs a regression. False if something speaks against a landing.
pub fn run(root: &Path, options: &Options) -> Result<bool, Failure> {
    let kit = root.join(&options.kit);
    let bench = kit.join(BENCH);
    if !bench.is_file() {
        return Err(Failure::NoBench(bench.display().to_string()));
    }
    let sites = sites(&kit, options.only.as_deref())?;
    let references_file = root.join(&options.references);
    let references = load(&references_file)?;
    let journal = root.join("journal");
    let before: BTreeSet<_> = if options.no_run {
        BTreeSet::new()
    } else {
        journal::files(&journal)?.into_iter().collect()
    };
    let mut ended = "nothing played".to_owned();
    if !options.no_run {
        let mut command = Command::new(&bench);
        command.current_dir(root).arg("score").args(&sites);
        if options.quick {
            command.arg("--quick");
        }
        command.args(["--why", &options.why]);
        ended = command.status().map_err(Failure::Start)?.to_string();
    }
    // Of each site the newest entry of the kind that was asked for.
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
    let mut played = Vec::new();
    for site in &sites {
        let name = name_of(&site.to_string_lossy());
        let Some(entry) = newest.remove(&name) else {
            return Err(Failure::NoEntry(ended, name));
        };
        played.push((name, entry));
    }
    let judge = |(name, entry): &(String, Entry)| Row::judge(name, entry, references.get(name));
    let rows: Vec<_> = played.iter().map(judge).collect();
    println!("{}", table(&rows));
    if options.accept {
        save(&references_file, &accept(&references, &played, &all)?)?;
        println!("these are the references from now on");
        return Ok(true);
    }
    Ok(rows.iter().all(Row::is_good))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(text: &str) -> Entry {
        Entry::parse("a test's", text).expect("an entry")
    }

    fn score(figure: &str, rules: &str) -> Entry {
        entry(&format!(
            r#"{{"v":1,"id":"0a1b","cmd":"score","argv":["x.toml"],"head":"c0ffee","dirty":false,
            "site":"x","ok":true,"error":null,"score":{figure},"days":[{{"G":0.8,"name":"calm",
            "rules":{rules},"fault":null,"restarts":1.0,"aims":[["up: 0.9 (aim 1)",0.5]]}}]}}"#
        ))
    }

    fn reference(figure: f64) -> Reference {
        Reference {
            figure,
            journal: "old".into(),
            commit: "older".into(),
        }
    }

    #[test]
    fn a_fall_beyond_scatter_and_a_broken_rule_speak_against_a_landing() {
        let judge = |figure: &str, rules: &str, before: f64| {
            Row::judge("x", &score(figure, rules), Some(&reference(before))).against
        };
        assert_eq!(judge("0.70", "{}", 0.73), Vec::<String>::new());
        assert_eq!(judge("0.80", "{}", 0.73), Vec::<String>::new());
        assert_eq!(judge("0.699", "{}", 0.73), ["fell"]);
        assert_eq!(judge("0.8", r#"{"quota":2}"#, 0.7), ["quota (calm)"]);
        assert_eq!(judge("null", "{}", 0.7), ["no score"]);
        let new = Row::judge("x", &score("0.1", "{}"), None);
        assert!(new.is_good() && new.ended == 1.0, "{new:?}");
        let mut failed = score("0.8", "{}");
        failed.days[0].figure = Some(0.0);
        let failed = Row::judge("x", &failed, None);
        assert_eq!(failed.against, ["calm failed"]);
        let mut torn = score("0.8", "{}");
        (torn.ok, torn.error) = (false, Some("the run did not finish".into()));
        let torn = Row::judge("x", &torn, None);
        assert_eq!(torn.against, ["not ended: the run did not finish"]);
    }

    #[test]
    fn the_table_says_what_is_wrong() {
        let good = Row::judge("x", &score("0.7", "{}"), Some(&reference(0.72)));
        let bad = Row::judge("x", &score("0.6", "{}"), Some(&reference(0.72)));
        let text = table(&[good, bad]);
        let lines: Vec<_> = text.lines().collect();
        assert_eq!(lines.len(), 3, "{text}");
        assert!(lines[1].contains("-0.020") && lines[1].contains("good"));
        assert!(lines[2].contains("-0.120") && lines[2].contains("fell"));
    }

    #[test]
    fn references_come_from_full_scores_only() {
        let old = References::from([
            ("x".to_owned(), reference(0.9)),
            ("y".to_owned(), reference(0.5)),
        ]);
        let full = score("0.7", "{}");
        let new = accept(&old, &[("x".into(), full.clone())], &[]).expect("it is full");
        assert_eq!((new["x"].figure, new["y"].figure), (0.7, 0.5));
        assert_eq!((&*new["x"].journal, &*new["x"].commit), ("0a1b", "c0ffee"));
        let text = toml::to_string(&new).expect("it can be written");
        assert_eq!(toml::from_str::<References>(&text).expect("and read"), new);
        let quick = Entry {
            argv: vec!["--quick".into()],
            ..full.clone()
        };
        // Of several scores of a commit the mean; others don't count.
        let other = |score, head: &str| Entry {
            score: Some(score),
            head: Some(head.into()),
            site: Some("x".into()),
            ..full.clone()
        };
        let all = [
            other(0.7, "c0ffee"),
            other(0.8, "c0ffee"),
            other(0.1, "bad"),
        ];
        let mean = accept(&old, &[("x".into(), full.clone())], &all).expect("it is full");
        assert_eq!(mean["x"].figure, 0.75);
        let dirty = Entry {
            dirty: true,
            ..full.clone()
        };
        let broken = score("0.7", r#"{"ran_twice":1}"#);
        for bad in [quick, dirty, broken] {
            assert!(accept(&old, &[("x".into(), bad)], &[]).is_err());
        }
    }

    #[test]
    fn a_kit_without_a_site_is_named() {
        let kit = std::env::temp_dir().join(format!("oliveshift-kit-{}", std::process::id()));
        let site = kit.join(SITES[0]);
        std::fs::create_dir_all(site.parent().expect("a folder")).expect("a temporary folder");
        std::fs::write(&site, "").expect("a file");
        let found = sites(&kit, Some("rabat-ops"));
        let missing = sites(&kit, None).expect_err("the others are missing");
        let unknown = sites(&kit, Some("nowhere")).expect_err("no such site");
        std::fs::remove_dir_all(&kit).expect("it can be removed");
        assert_eq!(found.expect("it is there"), [site]);
        assert!(missing.to_string().contains(SITES[1]), "{missing}");
        assert!(unknown.to_string().contains("nowhere"), "{unknown}");
    }
}
