//! `oliveshift-soak`: real controllers on loopback under random faults.
//!
//! The controllers are processes of the program as it is released. State service, cloud,
//! workers and users are stand-ins in this process, which speak the published protocol
//! and share their models with the simulated world. Whether a rule is broken is judged
//! by what workers and users see. A real clock makes no run repeat exactly: a seed fixes
//! the faults and the work, not what comes of them.

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
    let mut all_hold = true;
    for seed in options.all_seeds() {
        match run::run(&options, seed) {
            Ok(record) => {
                println!("{}", record.line());
                for finding in record.findings() {
                    eprintln!("{finding}");
                }
                all_hold &= record.holds();
                if let Err(e) = record.write(&options.out) {
                    eprintln!("oliveshift-soak: the record can't be written: {e}");
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
    match all_hold {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
