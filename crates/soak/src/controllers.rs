//! The controllers: real processes that are started, killed and paused.

use std::{
    fs::{self, File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::site::{CPUS_PER_SIX_MACHINES, MAX_TXN_OPS, MAX_VALUE_KB, Timing, ZONES};

/// Number of final log lines that are shown of a controller that exited unexpectedly.
const LOG_TAIL_LINES: usize = 8;
/// Request rate limit of the state service in the settings, per second.
const STATE_RPS: f64 = 400.0;

/// Listening addresses of the controllers, the state service and the cloud.
#[derive(Debug)]
pub struct Addresses {
    /// Addresses of the controllers for users and workers.
    pub public: Vec<SocketAddrV4>,
    /// Addresses of the controllers for their peers.
    pub internal: Vec<SocketAddrV4>,
    /// Addresses of the state service, one for each controller.
    pub state: Vec<SocketAddrV4>,
    /// Address of the cloud.
    pub cloud: SocketAddrV4,
}

/// A loopback address derived from the id of this process, so that runs at the same time use
/// different ones: a restarted controller must find its ports free, not used by another run.
pub fn loopback_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | high, middle, low)
}

/// Chooses free ports of `loopback_address`.
///
/// # Errors
///
/// If a port can't be bound.
pub fn free_ports(count: usize) -> io::Result<Vec<SocketAddrV4>> {
    // All ports stay bound until the last one is, so that none is returned twice.
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind(SocketAddrV4::new(loopback_address(), 0)))
        .collect::<io::Result<_>>()?;
    let ports = listeners.iter().map(|l| l.local_addr().map(|a| a.port()));
    let addresses = ports.map(|port| Ok(SocketAddrV4::new(loopback_address(), port?)));
    addresses.collect()
}

impl Addresses {
    /// Index of the controller with this name.
    pub fn controller_index(&self, node: &str) -> Option<usize> {
        let number: usize = node.strip_prefix("n-")?.parse().ok()?;
        (number < self.public.len()).then_some(number)
    }

    fn settings(
        &self,
        node: usize,
        machines: u32,
        write_rps: f64,
        timing: Timing,
    ) -> serde_json::Value {
        let cpus = f64::from(machines) / 6.0 * CPUS_PER_SIX_MACHINES;
        let zone = |node: usize| ZONES[node % ZONES.len()];
        let members: Vec<_> = (0..self.public.len())
            .filter(|other| *other != node)
            .map(|other| {
                let endpoint = self.internal[other].to_string();
                json!({"member": format!("n-{other}"), "site": zone(other), "endpoint": endpoint})
            })
            .collect();
        let team = |name: &str, guarantee: f64, limit: f64| json!({"name": name, "cpus": cpus * guarantee, "cpus_max": cpus * limit});
        json!({
            "member": format!("n-{node}"),
            "site": zone(node),
            "bind": self.public[node].to_string(),
            "internal_addr": self.internal[node].to_string(),
            "members": members,
            "outside": {
                "cloud": self.cloud.to_string(),
                "state": self.state[node].to_string(),
            },
            "deployment": {
                "zones": ZONES,
                "teams": [
                    team("red", 12.0 / CPUS_PER_SIX_MACHINES, 40.0 / CPUS_PER_SIX_MACHINES),
                    team("blue", 8.0 / CPUS_PER_SIX_MACHINES, 24.0 / CPUS_PER_SIX_MACHINES),
                ],
                "objectives": [],
                "workers": {
                    "report_s": 2.0,
                    "lease_s": timing.lease_s,
                    "cancel_s": timing.cancel_s,
                },
                "state": {
                    "rps": STATE_RPS,
                    "write_rps": write_rps,
                    "value_kb": MAX_VALUE_KB,
                    "txn_ops": MAX_TXN_OPS,
                },
                "cloud": {"rps": 12.0, "list_lag_s": 3.0},
                "limits": {"max_sockets": 2000},
            },
        })
    }
}

/// The process of a controller.
#[derive(Debug)]
struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    restart_at: Duration,
    paused: bool,
}

/// All controller processes. They are killed when this value is dropped.
#[derive(Debug)]
pub struct Controllers {
    program: PathBuf,
    processes: Vec<Process>,
    /// Controllers that exited without being killed, with their last log lines.
    pub unexpected_exits: Vec<String>,
}

impl Controllers {
    /// Writes the settings of the controllers, without starting them.
    ///
    /// # Errors
    ///
    /// If the folder can't be written or the program does not exist.
    pub fn new(
        program: &Path,
        folder: &Path,
        addresses: &Addresses,
        machines: u32,
        write_rps: f64,
        timing: Timing,
    ) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let mut processes = Vec::new();
        for node in 0..addresses.public.len() {
            let settings = folder.join(format!("n-{node}.json"));
            let text = addresses
                .settings(node, machines, write_rps, timing)
                .to_string();
            fs::write(&settings, text)?;
            let log = folder.join(format!("n-{node}.log"));
            File::create(&log)?;
            processes.push(Process {
                child: None,
                settings,
                log,
                restart_at: Duration::ZERO,
                paused: false,
            });
        }
        let program = fs::canonicalize(program)?;
        let unexpected_exits = Vec::new();
        Ok(Self {
            program,
            processes,
            unexpected_exits,
        })
    }

    /// Starts the controllers that are due, and records those that exited unexpectedly.
    ///
    /// # Errors
    ///
    /// If the state of a process can't be read or the program can't be started.
    pub fn tick(&mut self, now: Duration) -> io::Result<()> {
        for (node, process) in self.processes.iter_mut().enumerate() {
            if let Some(child) = &mut process.child
                && let Some(status) = child.try_wait()?
            {
                let last = log_tail(&process.log);
                self.unexpected_exits.push(format!(
                    "controller n-{node} exited unexpectedly, {status}; end of its log: {last}"
                ));
                process.child = None;
                process.restart_at = now + Duration::from_secs(1);
            }
            if process.child.is_none() && now >= process.restart_at {
                let log = OpenOptions::new().append(true).open(&process.log)?;
                let child = Command::new(&self.program)
                    .arg("--config")
                    .arg(&process.settings)
                    .env("LOG_LEVEL", "debug")
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .spawn()?;
                process.child = Some(child);
            }
        }
        Ok(())
    }

    /// Kills a controller; `tick` restarts it at `restart_at`.
    pub fn kill(&mut self, node: usize, restart_at: Duration) {
        let process = &mut self.processes[node];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        process.paused = false;
        process.restart_at = restart_at;
    }

    /// Stops a controller with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&mut self, node: usize, paused: bool) {
        let process = &mut self.processes[node];
        if process.paused == paused {
            return;
        }
        if let Some(child) = &process.child {
            let signal = if paused { Signal::STOP } else { Signal::CONT };
            let _ = kill_process(Pid::from_child(child), signal);
            process.paused = paused;
        }
    }

    /// Log lines in which controllers report a violated invariant.
    pub fn invariant_violations(&self) -> Vec<String> {
        let logs = self
            .processes
            .iter()
            .filter_map(|p| fs::read_to_string(&p.log).ok());
        let mut invariant_violations = Vec::new();
        for log in logs {
            let lines = log.lines().filter(|l| l.contains("invariant violated"));
            invariant_violations.extend(lines.map(str::to_owned));
        }
        invariant_violations
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.processes.len() {
            self.kill(node, Duration::MAX);
        }
    }
}

fn log_tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().rev().take(LOG_TAIL_LINES).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
}
