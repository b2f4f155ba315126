//! `oliveshift`: the controller program, with commands for operators and users.

mod admin;
mod client;
mod connection_task;
mod cwl;
mod executor;
mod logging;
mod receipt_budget;
mod request_reader;
mod runtime;
mod server;
mod stream;
mod wes;
mod workflows;

use std::{path::PathBuf, process::ExitCode};

use clap::{Args, Parser, Subcommand};
use oliveshift_core::sockets::Shares;
use oliveshift_wire::settings::{BadSettings, Settings, StateLimits};
use thiserror::Error;

/// A layer-aware, load-adaptive cluster scheduler.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    subcommand_negates_reqs = true,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Args)]
struct Run {
    /// Runs a controller with the platform's settings file (JSON).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a settings file and prints the limits derived from it.
    Check {
        /// The settings file (JSON).
        file: PathBuf,
    },
    /// Sends requests to a running controller.
    #[command(subcommand)]
    Admin(admin::Admin),
    /// Serves CWL workflows (GA4GH WES).
    Workflows(workflows::Workflows),
    /// Checks, plans and runs CWL documents.
    #[command(subcommand)]
    Cwl(cwl::Cwl),
}

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
enum LoadError {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, BadSettings),
}

fn load_settings(file: &PathBuf) -> Result<Settings, LoadError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| LoadError::Read(name.clone(), e))?;
    Settings::parse(&text).map_err(|e| LoadError::Settings(name, e))
}

fn print_summary(settings: &Settings) {
    println!("{}: settings are valid", settings.node);
    println!("controllers:   {}", settings.controller_count());
    let describe = |limits: &StateLimits| {
        format!(
            "at most {} KiB per value, {} changes per transaction, {} changes per second",
            limits.value_kb, limits.txn_ops, limits.write_rps
        )
    };
    println!("state service: {}", describe(&settings.deployment.state));
    if settings.deployment.state.next.is_some() {
        println!(
            "  announced:   {}",
            describe(&settings.deployment.state.lowered())
        );
    }
    let sockets = Shares::new(settings);
    println!(
        "sockets:       {} for users, {} for workers ({} for orders to them), {} for controllers, \
         {} for state service and cloud",
        sockets.users, sockets.workers, sockets.orders, sockets.peers, sockets.outside
    );
    println!("zones:         {}", settings.deployment.zones.join(", "));
    println!("contact limit: {:.1?}", settings.contact_limit());
    println!("lease limit:   {:.1?}", settings.lease_limit());
    println!("takeover:      {:.1?}", settings.takeover_limit());
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let file = match (&cli.command, &cli.run.config) {
        (Some(Command::Admin(command)), _) => return admin::run(command),
        (Some(Command::Cwl(command)), _) => return cwl::run(command),
        (Some(Command::Workflows(command)), _) => return workflows::run(command),
        (Some(Command::Check { file }), _) | (None, Some(file)) => file,
        // `clap` requires a subcommand or `--config`.
        (None, None) => return ExitCode::from(2),
    };
    let settings = match load_settings(file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("oliveshift: {e}");
            return ExitCode::from(2);
        }
    };
    if cli.command.is_some() {
        print_summary(&settings);
        return ExitCode::SUCCESS;
    }
    logging::init();
    runtime::run(settings)
}
