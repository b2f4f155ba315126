//! `oliveshift`: one controller of the service.

mod admin;
mod client;
mod cwl;
mod executor;
mod logging;
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
    /// Checks a settings file and says what follows from it.
    Check {
        /// The settings file (JSON).
        file: PathBuf,
    },
    /// Asks a running controller.
    #[command(subcommand)]
    Admin(admin::Admin),
    /// Serves CWL workflows (GA4GH WES).
    Workflows(workflows::Workflows),
    /// Looks at CWL documents.
    #[command(subcommand)]
    Cwl(cwl::Cwl),
}

/// Why the program can't start.
#[derive(Debug, Error)]
enum StartError {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, BadSettings),
}

fn read(file: &PathBuf) -> Result<Settings, StartError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| StartError::Read(name.clone(), e))?;
    Settings::parse(&text).map_err(|e| StartError::Settings(name, e))
}

fn check(settings: &Settings) {
    println!("{}: settings are good", settings.node);
    println!("controllers:   {}", settings.peers_and_me());
    let limits = |limits: &StateLimits| {
        format!(
            "{} KiB a value, {} changes a transaction, {} a second",
            limits.value_kb, limits.txn_ops, limits.write_rps
        )
    };
    println!("state service: {}", limits(&settings.params.state));
    if settings.params.state.next.is_some() {
        println!(
            "  to come:     {}",
            limits(&settings.params.state.lowered())
        );
    }
    let sockets = Shares::new(settings);
    println!(
        "sockets:       {} for users, {} for workers ({} for orders to them), {} for controllers, \
         {} for state service and cloud",
        sockets.users, sockets.workers, sockets.orders, sockets.peers, sockets.outside
    );
    println!("zones:         {}", settings.params.zones.join(", "));
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
        // `clap` asks for one of both.
        (None, None) => return ExitCode::from(2),
    };
    let settings = match read(file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("oliveshift: {e}");
            return ExitCode::from(2);
        }
    };
    if cli.command.is_some() {
        check(&settings);
        return ExitCode::SUCCESS;
    }
    logging::start();
    runtime::run(settings)
}
