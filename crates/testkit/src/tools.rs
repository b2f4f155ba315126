//! Simulated tools of the example workflows.

/// Names of the output files of the tool that a job class stands for.
pub fn output_files(class: &str) -> &'static [&'static str] {
    match class {
        "tile-split" => &["sheet.tiles"],
        "color-check" => &["report.json"],
        "taxon-match" => &["names.csv", "matched.txt"],
        "publish-batch" => &["records/1.json", "records/2.json"],
        "trace-repair" => &["bdg.whole.mseed", "sby.whole.mseed", "mlg.whole.mseed"],
        "noise-survey" => &["a.noise"],
        "phase-picking" => &["a.picks"],
        "catalog-merge" => &["event.xml"],
        _ => &[],
    }
}
