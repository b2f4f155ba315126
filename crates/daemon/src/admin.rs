//! `oliveshift admin`: operator requests to a running controller.

use std::{net::SocketAddrV4, process::ExitCode, time::Duration};

use async_io::block_on;
use clap::{Args, Subcommand};
use oliveshift_core::{Call, ClientKind, Method, Reply, Target};
use oliveshift_wire::{
    admin::{UpgradeStatus, WriteOff},
    job::Refusal,
};
use thiserror::Error;

use crate::client::Client;

/// How long a controller may take to answer.
const ANSWER_TIMEOUT: Duration = ClientKind::Operator.timeout();

/// Operator commands.
#[derive(Debug, Subcommand)]
pub enum Admin {
    /// Shows the progress of an upgrade, or stops waiting for a controller.
    Upgrade(Upgrade),
}

/// Shows the progress of an upgrade, or stops waiting for a controller.
#[derive(Debug, Args)]
pub struct Upgrade {
    /// The internal address of a controller.
    #[arg(long, value_name = "HOST:PORT")]
    at: SocketAddrV4,
    /// States that this controller never returns with an old program version, so that the
    /// upgrade does not wait for it.
    #[arg(long, value_name = "NAME")]
    without: Option<String>,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Why a command failed.
#[derive(Debug, Error)]
enum AdminError {
    #[error("{0} cannot be reached")]
    Unreachable(SocketAddrV4),
    #[error("{0} refuses: {1}")]
    Refused(SocketAddrV4, String),
    #[error("{0} sent an answer that cannot be parsed: {1}")]
    Unreadable(SocketAddrV4, serde_json::Error),
}

impl AdminError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(..) => 1,
            Self::Unreachable(_) => 4,
            Self::Unreadable(..) => 5,
        }
    }
}

/// Runs an operator command.
pub fn run(command: &Admin) -> ExitCode {
    let Admin::Upgrade(upgrade) = command;
    match upgrade.execute() {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("oliveshift: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

impl Upgrade {
    fn execute(&self) -> Result<String, AdminError> {
        let unreadable = |e| AdminError::Unreadable(self.at, e);
        if let Some(node) = &self.without {
            let write_off = WriteOff {
                without: node.clone(),
            };
            let body = serde_json::to_vec(&write_off).map_err(unreadable)?;
            self.send(Method::Post, body)?;
        }
        let answer = self.send(Method::Get, Vec::new())?;
        let status: UpgradeStatus = serde_json::from_slice(&answer).map_err(unreadable)?;
        if self.json {
            serde_json::to_string_pretty(&status).map_err(unreadable)
        } else {
            Ok(format_status(&status))
        }
    }

    fn send(&self, method: Method, body: Vec<u8>) -> Result<Vec<u8>, AdminError> {
        let call = Call {
            id: 0,
            to: Target::Peer(String::new()),
            method,
            path: "/admin/upgrade".into(),
            body,
            timeout: ANSWER_TIMEOUT,
        };
        match block_on(Client::default().call(self.at.into(), &call)) {
            Reply::Answer { status: 200, body } => Ok(body),
            Reply::Answer { status, body } => {
                let refusal = serde_json::from_slice::<Refusal>(&body);
                let reason = refusal.map_or_else(|_| format!("status {status}"), |r| r.error);
                Err(AdminError::Refused(self.at, reason))
            }
            Reply::NotSent | Reply::Lost => Err(AdminError::Unreachable(self.at)),
        }
    }
}

fn format_status(status: &UpgradeStatus) -> String {
    let mut lines = vec![
        format!(
            "{} supports record format level {}; records are written at level {}.",
            status.node, status.program, status.format
        ),
        format!("leader: {}", status.leader.as_deref().unwrap_or("none")),
        String::new(),
        format!("{:<20} {:<6} level", "controller", "state"),
    ];
    for controller in &status.controllers {
        let state = if controller.up { "up" } else { "down" };
        let level = match controller.level {
            _ if controller.written_off => "written off (never returns)".to_owned(),
            Some(level) => level.to_string(),
            None => "unknown".to_owned(),
        };
        lines.push(format!("{:<20} {state:<6} {level}", controller.node));
    }
    lines.join("\n")
}
