//! What operators ask of a running controller.

use std::{net::SocketAddrV4, process::ExitCode, time::Duration};

use async_io::block_on;
use clap::{Args, Subcommand};
use oliveshift_core::{Call, Method, Reply, Target};
use oliveshift_wire::{
    admin::{UpgradeStatus, WriteOff},
    job::Refusal,
};
use thiserror::Error;

use crate::client::Client;

/// When to give a controller up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What an operator may ask.
#[derive(Debug, Subcommand)]
pub enum Admin {
    /// Tells how far an upgrade is, or ends the wait for a controller.
    Upgrade(Upgrade),
}

/// How far an upgrade is.
#[derive(Debug, Args)]
pub struct Upgrade {
    /// The internal address of a controller.
    #[arg(long, value_name = "HOST:PORT")]
    at: SocketAddrV4,
    /// Says that this controller never comes back with an old program, so that
    /// the others need not wait for it.
    #[arg(long, value_name = "NAME")]
    without: Option<String>,
    /// Prints JSON, for programs.
    #[arg(long)]
    json: bool,
}

/// Why there is no result.
#[derive(Debug, Error)]
enum Failure {
    #[error("{0} can not be reached")]
    Unreached(SocketAddrV4),
    #[error("{0} refuses: {1}")]
    Refused(SocketAddrV4, String),
    #[error("{0} answers what this program can not read: {1}")]
    Unreadable(SocketAddrV4, serde_json::Error),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Self::Refused(..) => 1,
            Self::Unreached(_) => 4,
            Self::Unreadable(..) => 5,
        }
    }
}

/// Carries a command out.
pub fn run(command: &Admin) -> ExitCode {
    let Admin::Upgrade(upgrade) = command;
    match upgrade.carry_out() {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("oliveshift: {e}");
            ExitCode::from(e.code())
        }
    }
}

impl Upgrade {
    fn carry_out(&self) -> Result<String, Failure> {
        let unreadable = |e| Failure::Unreadable(self.at, e);
        if let Some(node) = &self.without {
            let wish = WriteOff {
                without: node.clone(),
            };
            let body = serde_json::to_vec(&wish).map_err(unreadable)?;
            self.ask(Method::Post, body)?;
        }
        let answer = self.ask(Method::Get, Vec::new())?;
        let status: UpgradeStatus = serde_json::from_slice(&answer).map_err(unreadable)?;
        if self.json {
            serde_json::to_string_pretty(&status).map_err(unreadable)
        } else {
            Ok(table(&status))
        }
    }

    fn ask(&self, method: Method, body: Vec<u8>) -> Result<Vec<u8>, Failure> {
        let call = Call {
            id: 0,
            to: Target::Peer(String::new()),
            method,
            path: "/admin/upgrade".into(),
            body,
            timeout: TIMEOUT,
        };
        match block_on(Client::default().call(self.at.into(), &call)) {
            Reply::Answer { status: 200, body } => Ok(body),
            Reply::Answer { status, body } => {
                let refusal = serde_json::from_slice::<Refusal>(&body);
                let why = refusal.map_or_else(|_| format!("status {status}"), |r| r.error);
                Err(Failure::Refused(self.at, why))
            }
            Reply::NotSent | Reply::Lost => Err(Failure::Unreached(self.at)),
        }
    }
}

fn table(status: &UpgradeStatus) -> String {
    let mut lines = vec![
        format!(
            "{} runs a program of level {}; the records are of level {}.",
            status.node, status.program, status.format
        ),
        format!("leader: {}", status.leader.as_deref().unwrap_or("none")),
        String::new(),
        format!("{:<20} {:<6} level", "controller", "state"),
    ];
    for controller in &status.controllers {
        let state = if controller.up { "up" } else { "down" };
        let level = match controller.level {
            _ if controller.written_off => "never comes back".to_owned(),
            Some(level) => level.to_string(),
            None => "not known".to_owned(),
        };
        lines.push(format!("{:<20} {state:<6} {level}", controller.node));
    }
    lines.join("\n")
}
