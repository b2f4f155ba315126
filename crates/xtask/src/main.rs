//! `cargo xtask`: what goes with working on oliveshift and is no part of it.

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

/// Tools for those who work on oliveshift.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask", about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays the operators' sites and compares their scores with the references.
    ///
    /// Ends with 0 if all is well, with 1 on a broken rule, a failed day or a
    /// fall of more than 0.03, and with 2 if the bench or a site is missing.
    Regress(regress::Options),
    /// Sums up the journal: which aims are worth least, by site and day.
    Aims(aims::Options),
    /// How much of each class of jobs and each team was served, by reports.
    ///
    /// Ends with 1 if less than half of any one was.
    Served(served::Options),
    /// What of a day's jobs the machines that it had could have served at best,
    /// by a debug log.
    Best(best::Options),
    /// Derives a site with more machines, and with controllers that are back
    /// sooner, from one of the kit's.
    Widen(widen::Options),
    /// Runs all tests but those that `KNOWN-RED.txt` lists, which it prints.
    ///
    /// Ends with 1 if a test fails, and with 2 if the file has a line that is
    /// malformed or a name that is not that of one test.
    Test,
    /// Runs the tests that `KNOWN-RED.txt` lists, ignored ones too, in release mode,
    /// and prints how many runs passed and how long they took. It judges nothing.
    ///
    /// Ends with 2 if the list can't be read or names no single test.
    KnownRed(known_red::Options),
}

/// The root of the repository, wherever the command is started in it.
fn root() -> PathBuf {
    // What cargo says now: the folder may have been moved since it was built.
    let here = std::env::var_os("CARGO_MANIFEST_DIR");
    let here = here.map_or_else(|| env!("CARGO_MANIFEST_DIR").into(), PathBuf::from);
    here.ancestors().nth(2).map(PathBuf::from).unwrap_or(here)
}

fn main() -> ExitCode {
    let root = root();
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
