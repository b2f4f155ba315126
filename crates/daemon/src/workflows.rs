//! `oliveshift workflows`: serves CWL workflows through the GA4GH Workflow Execution Service
//! (WES) and runs them through the controllers' user API.

mod config;
mod object_store;
mod server;

use std::{path::PathBuf, process::ExitCode};

use clap::Args;

use config::Config;

/// Serves CWL workflows.
#[derive(Debug, Args)]
pub struct Workflows {
    /// The settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Only checks the settings and prints a summary.
    #[arg(long)]
    check: bool,
}

/// Checks the settings, or serves workflows until the process is killed.
pub fn run(command: &Workflows) -> ExitCode {
    let config = match Config::read(&command.config) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("oliveshift: {e}");
            return ExitCode::from(2);
        }
    };
    if command.check {
        println!("{config}");
        return ExitCode::SUCCESS;
    }
    crate::logging::init();
    server::run(config)
}
