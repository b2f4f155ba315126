//! Runs the tests that are known to fail, several times each, and says how often they
//! passed. It judges nothing.

use std::{
    fmt,
    path::Path,
    time::{Duration, Instant},
};

use clap::Args;

use super::{ALL_TESTS, FILE, Failure, Red, cargo, check, list, read, start};

/// Release mode, and no documentation tests: those are compiled anew each time.
const HOW: [&str; 2] = ["--release", "--tests"];

/// Which runs are made.
#[derive(Debug, Args)]
pub struct Options {
    /// How often each test is run.
    #[arg(long, default_value = "1")]
    pub times: u32,
}

/// What came of the runs of one test.
#[derive(Debug, Default, PartialEq)]
pub struct Tally {
    pub passed: u32,
    /// How long each run took.
    pub took: Vec<Duration>,
}

impl Tally {
    /// Counts one more run.
    pub fn add(&mut self, passed: bool, took: Duration) {
        self.passed += u32::from(passed);
        self.took.push(took);
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |took: Option<&Duration>| took.copied().unwrap_or_default().as_secs_f64();
        write!(
            f,
            "{} of {} passed, {:.1} to {:.1} s each",
            self.passed,
            self.took.len(),
            seconds(self.took.iter().min()),
            seconds(self.took.iter().max()),
        )
    }
}

/// What cargo is given to run one test, also if it is ignored.
pub fn arguments(red: &Red) -> Vec<String> {
    let harness = ["--", "--exact", "--include-ignored", &red.test];
    let arguments = ALL_TESTS.iter().chain(&HOW).chain(&harness);
    arguments.map(|argument| (*argument).to_owned()).collect()
}

/// Runs each test of the list so often and prints what came of it. Its own output is
/// passed on.
pub fn run(root: &Path, options: &Options) -> Result<(), Failure> {
    if options.times == 0 {
        return Err(Failure::NoRuns);
    }
    let reds = read(root)?;
    if reds.is_empty() {
        println!("{FILE} lists no test");
        return Ok(());
    }
    check(&reds, &list(root, &HOW)?)?;
    let mut tallies = Vec::new();
    for red in &reds {
        let mut tally = Tally::default();
        for _ in 0..options.times {
            let began = Instant::now();
            let status = cargo(root).args(arguments(red)).status().map_err(start)?;
            tally.add(status.success(), began.elapsed());
        }
        tallies.push(tally);
    }
    for (red, tally) in reds.iter().zip(tallies) {
        println!("{}: {tally} ({})", red.test, red.command);
    }
    Ok(())
}
