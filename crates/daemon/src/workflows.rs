//! `oliveshift workflows`: serves CWL workflows by the GA4GH Workflow Execution
//! Service, and runs them by the users' API.

mod config;
mod object_store;
mod server;

use std::{path::PathBuf, process::ExitCode};

use clap::Args;

use config::Config;

/// Serves CWL workflows.
#[derive(Debug, Args)]
pub struct Workflows {
    /// The settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Only checks the settings and says what follows from them.
    #[arg(long)]
    check: bool,
}

/// Runs until the process is killed.
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
    crate::logging::start();
    server::run(config)
}
