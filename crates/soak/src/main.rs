//! `oliveshift-soak`: runs real controllers on loopback under random faults.
//!
//! The controllers are processes of the release program. The state service, the cloud,
//! workers and users are simulated in this process: they speak the published protocol
//! and share their models with the simulation in `oliveshift-testkit`. Rules are checked
//! against what workers and users observe. Runs use a real clock and don't repeat
//! exactly: a seed determines the faults and the workload, not their outcome.

mod cloud;
mod controllers;
mod faults;
mod http;
mod options;
mod record;
mod run;
mod site;
mod state;
mod users;
mod workers;

use std::process::ExitCode;

use clap::Parser;

use crate::options::Options;

fn main() -> ExitCode {
    let options = Options::parse();
    if let Err(e) = options.check() {
        eprintln!("oliveshift-soak: {e}");
        return ExitCode::from(2);
    }
    let mut all_passed = true;
    for seed in options.all_seeds() {
        match run::run(&options, seed) {
            Ok(record) => {
                println!("{}", record.summary());
                for finding in record.findings() {
                    eprintln!("{finding}");
                }
                all_passed &= record.passed();
                if let Err(e) = record.write(&options.out) {
                    eprintln!("oliveshift-soak: seed {seed}: cannot write the record: {e}");
                    return ExitCode::from(2);
                }
                if record.interrupted {
                    break;
                }
            }
            Err(e) => {
                eprintln!("oliveshift-soak: seed {seed}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    match all_passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
