//! Tests that are known to fail: `KNOWN-RED.txt` at the root names them, and a run of
//! all tests passes over exactly these and prints them.
//!
//! A line is `test | cause | issue`: the test's name as the test harness lists it,
//! why it fails, and the number of the issue that it waits for. There are three at
//! most, and a name has to be that of one test.

use std::{
    path::Path,
    process::{Command, Stdio},
};

use thiserror::Error;

const FILE: &str = "KNOWN-RED.txt";
/// More than these are not passed over: they are mended first.
const MOST: usize = 3;

/// A test that is known to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Red {
    pub test: String,
    pub cause: String,
    pub issue: u32,
}

/// Why tests can't be run.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Failure {
    #[error("{FILE}, line {0}: `{1}` is not of the form `test | cause | issue`")]
    Malformed(usize, String),
    #[error("{FILE} lists {0} tests, and {MOST} are the most: mend the others first")]
    TooMany(usize),
    #[error("{FILE}: {0} tests are named `{1}`, and it has to be one")]
    Name(usize, String),
    #[error("{FILE} can't be read: {0}")]
    Read(String),
    #[error("cargo can't be started: {0}")]
    Start(String),
    #[error("the tests can't be listed: cargo ended with {0}")]
    List(String),
}

/// Reads the lines of the file; empty ones say nothing.
pub fn parse(text: &str) -> Result<Vec<Red>, Failure> {
    let mut reds = Vec::new();
    for (at, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let bad = || Failure::Malformed(at + 1, line.to_owned());
        let parts: Vec<_> = line.split('|').map(str::trim).collect();
        let [test, cause, issue] = parts[..] else {
            return Err(bad());
        };
        let issue = issue.trim_start_matches('#').parse().map_err(|_| bad())?;
        if test.is_empty() || cause.is_empty() || test.contains(char::is_whitespace) {
            return Err(bad());
        }
        reds.push(Red {
            test: test.to_owned(),
            cause: cause.to_owned(),
            issue,
        });
    }
    if reds.len() > MOST {
        return Err(Failure::TooMany(reds.len()));
    }
    Ok(reds)
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
    let mut arguments = ["test", "--workspace", "--locked"]
        .map(String::from)
        .to_vec();
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
    let file = root.join(FILE);
    let text = match file.exists() {
        true => std::fs::read_to_string(&file).map_err(|e| Failure::Read(e.to_string()))?,
        false => String::new(),
    };
    let reds = parse(&text)?;
    let cargo = || {
        let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        command.current_dir(root);
        command
    };
    let start = |e: std::io::Error| Failure::Start(e.to_string());
    if !reds.is_empty() {
        let mut list = cargo();
        list.args(["test", "--workspace", "--locked", "--", "--list"]);
        let listed = list.stderr(Stdio::inherit()).output().map_err(start)?;
        if !listed.status.success() {
            return Err(Failure::List(listed.status.to_string()));
        }
        check(&reds, &String::from_utf8_lossy(&listed.stdout))?;
    }
    for red in &reds {
        println!(
            "known red: {} ({}), issue {}",
            red.test, red.cause, red.issue
        );
    }
    let status = cargo().args(arguments(&reds)).status().map_err(start)?;
    Ok(status.success())
}

#[cfg(test)]
mod tests;
