//! `cargo xtask`: development tools for oliveshift that are not part of the product.

mod aims;
mod best;
mod journal;
mod known_red;
mod plots;
mod regress;
mod served;
mod widen;

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};

/// Development tools for oliveshift.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask", about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Scores the operators' sites with their bench and compares the scores with references.
    ///
    /// Exits with 0 on success, with 1 on a broken rule, a failed day, an incomplete run or a
    /// score drop of more than 0.03, and with 2 on errors such as a missing bench or site file.
    Regress(regress::Options),
    /// Summarizes the journal: the objectives with the lowest scores, by site and day.
    Aims(aims::Options),
    /// Prints the share of the jobs of each class and team that was served, from bench reports.
    ///
    /// Exits with 1 if it is less than half for any class or team.
    Served(served::Options),
    /// Computes from a debug log an upper bound for the jobs of a day that its machines could
    /// have completed.
    Best(best::Options),
    /// Derives a site with more machines, faster controller restarts or other lease settings
    /// from a site file of the operators' kit.
    Widen(widen::Options),
    /// Prints the tests that `KNOWN-RED.txt` lists and runs all others.
    ///
    /// Exits with 1 if a test fails, and with 2 if the file has a malformed line or a name
    /// that does not match exactly one test.
    Test,
    /// Runs the tests that `KNOWN-RED.txt` lists, including ignored ones, in release mode, and
    /// prints how many runs passed and how long they took.
    ///
    /// Failing tests do not change the exit code. Exits with 2 if the list can't be read or a
    /// name does not match exactly one test.
    KnownRed(known_red::Options),
}

/// Root of the repository, independent of the current folder.
fn repository_root() -> PathBuf {
    // Prefers the variable at run time: the path from compile time is outdated if the
    // repository was moved after the build.
    let manifest_dir = std::env::var_os("CARGO_MANIFEST_DIR");
    let manifest_dir =
        manifest_dir.map_or_else(|| env!("CARGO_MANIFEST_DIR").into(), PathBuf::from);
    manifest_dir
        .ancestors()
        .nth(2)
        .map(PathBuf::from)
        .unwrap_or(manifest_dir)
}

fn main() -> ExitCode {
    let root = repository_root();
    let result = match Cli::parse().command {
        Command::Regress(options) => regress::run(&root, &options).map_err(|e| e.to_string()),
        Command::Aims(options) => aims::run(&root, &options)
            .map(|()| true)
            .map_err(|e| e.to_string()),
        Command::Best(options) => best::run(&root, &options)
            .map(|()| true)
            .map_err(|e| e.to_string()),
        Command::Widen(options) => widen::run(&root, &options)
            .map(|()| true)
            .map_err(|e| e.to_string()),
        Command::KnownRed(options) => known_red::repeat(&root, &options)
            .map(|()| true)
            .map_err(|e| e.to_string()),
        Command::Test => known_red::run(&root).map_err(|e| e.to_string()),
        Command::Served(options) => served::run(&root, &options).map_err(|e| e.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("xtask: {e}");
            ExitCode::from(2)
        }
    }
}
