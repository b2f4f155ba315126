//! Runs each test that is known to fail a given number of times and prints how often it passed.
//! A failing test is not an error here.

use std::{
    fmt,
    path::Path,
    time::{Duration, Instant},
};

use clap::Args;

use super::{
    ALL_TESTS_ARGS, Failure, KNOWN_RED_FILE, KnownFailure, cargo, check_test_names, list_tests,
    read, start_error,
};

/// Release mode without documentation tests, which are recompiled on every run.
const RELEASE_TEST_ARGS: [&str; 2] = ["--release", "--tests"];

/// Options of `cargo xtask known-red`.
#[derive(Debug, Args)]
pub struct Options {
    /// Number of runs of each test.
    #[arg(long, default_value = "1")]
    pub times: u32,
}

/// Results of the runs of one test.
#[derive(Debug, Default, PartialEq)]
pub struct RunStats {
    /// Number of runs that passed.
    pub passed: u32,
    /// Duration of each run, including that of cargo.
    pub durations: Vec<Duration>,
}

impl RunStats {
    /// Adds one run.
    pub fn add(&mut self, passed: bool, duration: Duration) {
        self.passed += u32::from(passed);
        self.durations.push(duration);
    }
}

impl fmt::Display for RunStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds =
            |duration: Option<&Duration>| duration.copied().unwrap_or_default().as_secs_f64();
        write!(
            f,
            "{} of {} passed, {:.1} to {:.1} s each",
            self.passed,
            self.durations.len(),
            seconds(self.durations.iter().min()),
            seconds(self.durations.iter().max()),
        )
    }
}

/// Cargo arguments that run one test, even if it is marked as ignored.
pub fn arguments(known_failure: &KnownFailure) -> Vec<String> {
    let harness = ["--", "--exact", "--include-ignored", &known_failure.test];
    let arguments = ALL_TESTS_ARGS
        .iter()
        .chain(&RELEASE_TEST_ARGS)
        .chain(&harness);
    arguments.map(|argument| (*argument).to_owned()).collect()
}

/// Runs each listed test `times` times and prints its results. The output of the tests is
/// passed through.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    if options.times == 0 {
        return Err(Failure::NoRuns);
    }
    let known_failures = read(root)?;
    if known_failures.is_empty() {
        println!("{KNOWN_RED_FILE} lists no test");
        return Ok(());
    }
    check_test_names(&known_failures, &list_tests(root, &RELEASE_TEST_ARGS)?)?;
    let mut all_stats = Vec::new();
    for known_failure in &known_failures {
        let mut stats = RunStats::default();
        for _ in 0..options.times {
            let started = Instant::now();
            let status = cargo(root)
                .args(arguments(known_failure))
                .status()
                .map_err(start_error)?;
            stats.add(status.success(), started.elapsed());
        }
        all_stats.push(stats);
    }
    for (known_failure, stats) in known_failures.iter().zip(all_stats) {
        println!(
            "{}: {stats} ({})",
            known_failure.test, known_failure.command
        );
    }
    Ok(())
}
