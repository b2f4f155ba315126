//! Tests that are known to fail: `KNOWN-RED.txt` at the root names them, and a run of
//! all tests passes over exactly these and prints them.
//!
//! A line is `test | command | seen | issue`: the test's name as the test harness
//! lists it, the command with its seed that reproduces the failure, what was seen and
//! the cause as far as it is shown, and the number of the issue that it waits for. A
//! name has to be that of one test.

mod repeat;

use std::{
    path::Path,
    process::{Command, Stdio},
};

use thiserror::Error;

pub use repeat::{Options, run as repeat};

const FILE: &str = "KNOWN-RED.txt";
/// What cargo is told to run tests of all packages as they are locked.
const ALL_TESTS: [&str; 3] = ["test", "--workspace", "--locked"];

/// A test that is known to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Red {
    /// Its name as the test harness lists it.
    pub test: String,
    /// What reproduces the failure, with its seed.
    pub command: String,
    /// What was seen, and the cause as far as it is shown.
    pub seen: String,
    /// The issue that it waits for.
    pub issue: u32,
}

/// Why tests can't be run.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Failure {
    #[error("{FILE}, line {0}: `{1}` is not of the form `test | command | seen | issue`")]
    Malformed(usize, String),
    #[error("{FILE}: {0} tests are named `{1}`, and it has to be one")]
    Name(usize, String),
    #[error("{FILE} can't be read: {0}")]
    Read(String),
    #[error("cargo can't be started: {0}")]
    Start(String),
    #[error("--times is 0, and each test has to be run once at least")]
    NoRuns,
    #[error("the tests can't be listed: cargo ended with {0}")]
    List(String),
}

/// Reads the lines of the file; empty ones say nothing.
pub fn parse(text: &str) -> Result<Vec<Red>, Failure> {
    let lines = text.lines().enumerate();
    let entries = lines.filter(|(_, line)| !line.trim().is_empty());
    entries
        .map(|(at, line)| {
            parse_line(line).ok_or_else(|| Failure::Malformed(at + 1, line.to_owned()))
        })
        .collect()
}

/// An entry; none if the line is malformed.
fn parse_line(line: &str) -> Option<Red> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    let [test, command, seen, issue] = fields[..] else {
        return None;
    };
    let is_empty = [test, command, seen].iter().any(|field| field.is_empty());
    if is_empty || test.contains(char::is_whitespace) {
        return None;
    }
    Some(Red {
        test: test.to_owned(),
        command: command.to_owned(),
        seen: seen.to_owned(),
        issue: issue.trim_start_matches('#').parse().ok()?,
    })
}

/// Checks that each names one test of those that the harness lists.
pub fn check(reds: &[Red], listed: &str) -> Result<(), Failure> {
    for red in reds {
        let name = listed
            .lines()
            .filter_map(|line| line.strip_suffix(": test"));
        let count = name.filter(|name| *name == red.test).count();
        if count != 1 {
            return Err(Failure::Name(count, red.test.clone()));
        }
    }
    Ok(())
}

/// What cargo is given to run all tests but these.
pub fn arguments(reds: &[Red]) -> Vec<String> {
    let mut arguments = ALL_TESTS.map(String::from).to_vec();
    if !reds.is_empty() {
        arguments.extend(["--", "--exact"].map(String::from));
    }
    for red in reds {
        arguments.extend(["--skip".to_owned(), red.test.clone()]);
    }
    arguments
}

/// Runs all tests but those known to fail, which it prints. False if one fails.
pub fn run(root: &Path) -> Result<bool, Failure> {
    let reds = read(root)?;
    if !reds.is_empty() {
        check(&reds, &list(root, &[])?)?;
    }
    for red in &reds {
        println!(
            "known red: {} ({}), issue {}",
            red.test, red.seen, red.issue
        );
    }
    let status = cargo(root).args(arguments(&reds)).status();
    Ok(status.map_err(start)?.success())
}

/// The entries of the file; none without a file.
fn read(root: &Path) -> Result<Vec<Red>, Failure> {
    let file = root.join(FILE);
    if !file.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(&file).map_err(|e| Failure::Read(e.to_string()))?;
    parse(&text)
}

/// All tests, as the harness lists them. `more`: further arguments for cargo.
fn list(root: &Path, more: &[&str]) -> Result<String, Failure> {
    let mut command = cargo(root);
    command.args(ALL_TESTS).args(more).args(["--", "--list"]);
    let listed = command.stderr(Stdio::inherit()).output().map_err(start)?;
    if !listed.status.success() {
        return Err(Failure::List(listed.status.to_string()));
    }
    Ok(String::from_utf8_lossy(&listed.stdout).into_owned())
}

fn cargo(root: &Path) -> Command {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command.current_dir(root);
    command
}

fn start(e: std::io::Error) -> Failure {
    Failure::Start(e.to_string())
}

#[cfg(test)]
mod tests;
