//! The journal summed up by aims: where the next round goes.

use std::{collections::BTreeMap, path::Path, path::PathBuf};

use clap::Args;
use comfy_table::{Table, presets};
use thiserror::Error;

use crate::{
    journal::{self, BadJournal, Entry},
    plots::{self, NoPlot},
};

/// What is summed up.
#[derive(Debug, Args)]
pub struct Options {
    /// From the entry with this id on.
    #[arg(long, value_name = "ID")]
    since: Option<String>,
    /// Only sites whose name has this in it.
    #[arg(long, value_name = "NAME")]
    only: Option<String>,
    /// Only standard days, as played for scores.
    #[arg(long)]
    scores: bool,
    /// Rows of the table.
    #[arg(long, value_name = "N", default_value_t = 25)]
    top: usize,
    /// Also writes a report with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Why there is no summary.
#[derive(Debug, Error)]
pub enum Failure {
    #[error(transparent)]
    Journal(#[from] BadJournal),
    #[error("the journal has no day that counts here")]
    Empty,
    #[error("{0}: {1}")]
    Write(String, std::io::Error),
    #[error(transparent)]
    Plot(#[from] NoPlot),
}

/// What one aim was worth on one of a site's days.
#[derive(Clone, Debug, PartialEq)]
pub struct Worth {
    pub site: String,
    pub day: String,
    pub aim: String,
    /// The least and the mean, between 0 and 1.
    pub least: f64,
    pub mean: f64,
    /// How often the day was played.
    pub plays: usize,
    /// The entry with the least.
    pub journal: String,
    /// What was reached there, as the bench says it.
    pub reached: String,
}

/// All aims of all days, the least worth first.
pub fn sum_up(entries: &[Entry]) -> Vec<Worth> {
    let mut worths: BTreeMap<(&str, &str, &str), Worth> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.ok) {
        let Some(site) = entry.site.as_deref() else {
            continue;
        };
        for day in &entry.days {
            for (aim, worth) in &day.aims {
                let (name, reached) = aim.split_once(": ").unwrap_or((aim, ""));
                let new = || Worth {
                    site: site.to_owned(),
                    day: day.name.clone(),
                    aim: name.to_owned(),
                    least: f64::INFINITY,
                    mean: 0.0,
                    plays: 0,
                    journal: String::new(),
                    reached: String::new(),
                };
                let sum = worths.entry((site, &day.name, name)).or_insert_with(new);
                sum.mean = (sum.mean * sum.plays as f64 + worth) / (sum.plays + 1) as f64;
                sum.plays += 1;
                if *worth < sum.least {
                    sum.least = *worth;
                    sum.journal = entry.id.clone();
                    sum.reached = reached.to_owned();
                }
            }
        }
    }
    let mut worths: Vec<_> = worths.into_values().collect();
    worths.sort_by(|a, b| a.least.total_cmp(&b.least));
    worths
}

/// For each site, its aims over all days: name, least and mean worth, the least
/// mean first.
pub fn by_site(worths: &[Worth]) -> BTreeMap<&str, Vec<(String, f64, f64)>> {
    let mut sites: BTreeMap<&str, BTreeMap<&str, (f64, f64, usize)>> = BTreeMap::new();
    for worth in worths {
        let site = sites.entry(&worth.site).or_default();
        let aim = site.entry(&worth.aim).or_insert((f64::INFINITY, 0.0, 0));
        aim.0 = aim.0.min(worth.least);
        aim.1 += worth.mean * worth.plays as f64;
        aim.2 += worth.plays;
    }
    let mean = |(aim, (least, sum, plays)): (&str, (f64, f64, usize))| {
        (aim.to_owned(), least, sum / plays as f64)
    };
    let order = |aims: BTreeMap<&str, _>| {
        let mut aims: Vec<_> = aims.into_iter().map(mean).collect();
        aims.sort_by(|a, b| a.2.total_cmp(&b.2));
        aims
    };
    sites
        .into_iter()
        .map(|(s, aims)| (s, order(aims)))
        .collect()
}

/// Scores by site, in the order of the journal; whether each is a quick one.
pub fn scores(entries: &[Entry]) -> BTreeMap<&str, Vec<(f64, bool)>> {
    let mut scores: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.ok && e.is_score()) {
        if let (Some(site), Some(score)) = (entry.site.as_deref(), entry.score) {
            scores
                .entry(site)
                .or_default()
                .push((score, entry.is_quick()));
        }
    }
    scores
}

fn table(worths: &[Worth]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "least", "mean", "plays", "site", "day", "aim", "reached", "journal",
    ]);
    for worth in worths {
        table.add_row([
            format!("{:.2}", worth.least),
            format!("{:.2}", worth.mean),
            worth.plays.to_string(),
            worth.site.clone(),
            worth.day.clone(),
            worth.aim.clone(),
            worth.reached.clone(),
            worth.journal.clone(),
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
    let worths = sum_up(&entries);
    if worths.is_empty() {
        return Err(Failure::Empty);
    }
    let top = &worths[..options.top.min(worths.len())];
    println!("{}", table(top));
    if let Some(file) = &options.html {
        let page = plots::report(&entries, &worths, options.top)?;
        let failed = |e| Failure::Write(file.display().to_string(), e);
        std::fs::write(file, page).map_err(failed)?;
        println!("{} written", file.display());
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, ok: bool, worth: f64) -> Entry {
        let text = format!(
            r#"{{"id":"{id}","cmd":"score","argv":[],"site":"x <&> y","ok":{ok},"score":0.7,"days":[
            {{"G":0.8,"name":"calm","rules":{{}},"aims":[["up feed: 0.9 (aim 0.95)",{worth}],
            ["submit 1000 ms: 1.0 (aim 0.9)",1.0]]}},
            {{"G":0.5,"name":"zone","rules":{{}},"aims":[["up feed: 0.5 (aim 0.95)",0.4]]}}]}}"#
        );
        Entry::parse(id, &text).expect("an entry")
    }

    #[test]
    fn the_least_worth_comes_first_with_its_entry() {
        let entries = [
            entry("a", true, 0.3),
            entry("b", true, 0.1),
            entry("c", false, 0.0),
        ];
        let worths = sum_up(&entries);
        assert_eq!(worths.len(), 3);
        let first = &worths[0];
        assert_eq!((&*first.day, &*first.aim), ("calm", "up feed"));
        assert_eq!((first.least, first.plays, &*first.journal), (0.1, 2, "b"));
        assert!((first.mean - 0.2).abs() < 1e-9);
        assert_eq!(first.reached, "0.9 (aim 0.95)");
        let sites = by_site(&worths);
        let aims = &sites["x <&> y"];
        assert_eq!((&*aims[0].0, aims[0].1), ("up feed", 0.1));
        assert!((aims[0].2 - 0.3).abs() < 1e-9, "0.3, 0.1 and twice 0.4");
        assert!(table(&worths).lines().count() == 4);
    }

    #[test]
    fn the_report_stands_alone() {
        let entries = [entry("a", true, 0.3), entry("b", true, 0.1)];
        let worths = sum_up(&entries);
        let page = plots::report(&entries, &worths, 2).expect("it can be drawn");
        assert_eq!(page.matches("<svg").count(), 2, "aims and scores of a site");
        assert!(page.contains("x &lt;&amp;&gt; y") && !page.contains("x <&> y"));
        for from_elsewhere in ["<script", "<link", "src=", "@import", "url("] {
            assert!(!page.contains(from_elsewhere), "{from_elsewhere}");
        }
        let rows = page.matches("<tr>").count();
        assert_eq!(rows, 3, "a head and two rows");
    }
}
