//! Tests that are known to fail. `KNOWN-RED.txt` at the root lists them, and `cargo xtask test`
//! prints them and runs all other tests.
//!
//! Each line is `test | command | seen | issue`: the test's name as the test harness lists it,
//! the command and seed that reproduce the failure, the failure as observed with its cause as
//! far as known, and the number of the issue. A name must match exactly one test.

mod repeat;

use std::{
    path::Path,
    process::{Command, Stdio},
};

use thiserror::Error;

pub use repeat::{Options, run as repeat};

/// Name of the list, relative to the root of the repository.
const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";
/// Cargo arguments that run the tests of all packages with the locked dependencies.
const ALL_TESTS_ARGS: [&str; 3] = ["test", "--workspace", "--locked"];

/// Entry of the list: a test that is known to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFailure {
    /// Name of the test as the test harness lists it.
    pub test: String,
    /// Command and seed that reproduce the failure.
    pub command: String,
    /// The failure as observed, and its cause as far as known.
    pub observed: String,
    /// Number of the issue that tracks the failure.
    pub issue: u32,
}

/// Error of `cargo xtask test` and `cargo xtask known-red`.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Failure {
    #[error("{KNOWN_RED_FILE}, line {0}: `{1}` is not of the form `test | command | seen | issue`")]
    Malformed(usize, String),
    #[error("{KNOWN_RED_FILE}: expected exactly one test named `{1}`, found {0}")]
    TestCount(usize, String),
    #[error("{KNOWN_RED_FILE} could not be read: {0}")]
    Read(String),
    #[error("cargo could not be started: {0}")]
    StartCargo(String),
    #[error("--times must be at least 1, got 0")]
    NoRuns,
    #[error("the tests could not be listed: cargo ended with {0}")]
    ListTests(String),
}

/// Parses the list; empty lines are skipped.
pub fn parse(text: &str) -> Result<Vec<KnownFailure>, Failure> {
    let lines = text.lines().enumerate();
    let entries = lines.filter(|(_, line)| !line.trim().is_empty());
    entries
        .map(|(at, line)| {
            parse_line(line).ok_or_else(|| Failure::Malformed(at + 1, line.to_owned()))
        })
        .collect()
}

/// Parses one line; `None` if it is malformed.
fn parse_line(line: &str) -> Option<KnownFailure> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    let [test, command, observed, issue] = fields[..] else {
        return None;
    };
    let is_empty = [test, command, observed]
        .iter()
        .any(|field| field.is_empty());
    if is_empty || test.contains(char::is_whitespace) {
        return None;
    }
    Some(KnownFailure {
        test: test.to_owned(),
        command: command.to_owned(),
        observed: observed.to_owned(),
        issue: issue.trim_start_matches('#').parse().ok()?,
    })
}

/// Checks that each entry names exactly one test of `listed`, the output of the harness's
/// `--list`.
pub fn check_test_names(known_failures: &[KnownFailure], listed: &str) -> Result<(), Failure> {
    for known_failure in known_failures {
        let names = listed
            .lines()
            .filter_map(|line| line.strip_suffix(": test"));
        let count = names.filter(|name| *name == known_failure.test).count();
        if count != 1 {
            return Err(Failure::TestCount(count, known_failure.test.clone()));
        }
    }
    Ok(())
}

/// Cargo arguments that run all tests except these.
pub fn arguments(known_failures: &[KnownFailure]) -> Vec<String> {
    let mut arguments = ALL_TESTS_ARGS.map(String::from).to_vec();
    if !known_failures.is_empty() {
        arguments.extend(["--", "--exact"].map(String::from));
    }
    for known_failure in known_failures {
        arguments.extend(["--skip".to_owned(), known_failure.test.clone()]);
    }
    arguments
}

/// Prints the tests that are known to fail and runs all others. Returns false if one fails.
pub fn run(root: &Path) -> Result<bool, Failure> {
    let known_failures = read(root)?;
    if !known_failures.is_empty() {
        check_test_names(&known_failures, &list_tests(root, &[])?)?;
    }
    for known_failure in &known_failures {
        println!(
            "known red: {} ({}), issue {}",
            known_failure.test, known_failure.observed, known_failure.issue
        );
    }
    let status = cargo(root).args(arguments(&known_failures)).status();
    Ok(status.map_err(start_error)?.success())
}

/// Reads the list; it is empty if the file does not exist.
fn read(root: &Path) -> Result<Vec<KnownFailure>, Failure> {
    let file = root.join(KNOWN_RED_FILE);
    if !file.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(&file).map_err(|e| Failure::Read(e.to_string()))?;
    parse(&text)
}

/// Output of the harness's `--list` for all tests; `extra_arguments` go to cargo.
fn list_tests(root: &Path, extra_arguments: &[&str]) -> Result<String, Failure> {
    let mut command = cargo(root);
    command
        .args(ALL_TESTS_ARGS)
        .args(extra_arguments)
        .args(["--", "--list"]);
    let listed = command
        .stderr(Stdio::inherit())
        .output()
        .map_err(start_error)?;
    if !listed.status.success() {
        return Err(Failure::ListTests(listed.status.to_string()));
    }
    Ok(String::from_utf8_lossy(&listed.stdout).into_owned())
}

fn cargo(root: &Path) -> Command {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command.current_dir(root);
    command
}

fn start_error(e: std::io::Error) -> Failure {
    Failure::StartCargo(e.to_string())
}

#[cfg(test)]
mod tests;
