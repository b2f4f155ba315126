//! The controllers: real processes, started, killed and paused.

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

use crate::site::{CPUS_OF_SIX, TXN_OPS, Timing, VALUE_KB, ZONES};

/// Last lines of its log that are shown of a controller that ended by itself.
const LAST_LINES: usize = 8;
/// Requests a second that the state service takes, by the settings.
const STATE_RPS: f64 = 400.0;

/// Where everybody listens.
#[derive(Debug)]
pub struct Addresses {
    /// Users and workers reach controllers here.
    pub public: Vec<SocketAddrV4>,
    /// Controllers reach each other here.
    pub internal: Vec<SocketAddrV4>,
    /// The state service, for each controller.
    pub state: Vec<SocketAddrV4>,
    /// The cloud.
    pub cloud: SocketAddrV4,
}

/// An address of the loopback range that no other process of ours uses: a controller
/// that is started again has to find its ports free, and nobody else's at them.
pub fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | high, middle, low)
}

/// Free ports of our address.
///
/// # Errors
///
/// If there are none.
pub fn free_ports(count: usize) -> io::Result<Vec<SocketAddrV4>> {
    // All are taken before any is given back, so that none is given twice.
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind(SocketAddrV4::new(own_address(), 0)))
        .collect::<io::Result<_>>()?;
    let ports = listeners.iter().map(|l| l.local_addr().map(|a| a.port()));
    let addresses = ports.map(|port| Ok(SocketAddrV4::new(own_address(), port?)));
    addresses.collect()
}

impl Addresses {
    /// The number of the controller of this name.
    pub fn number_of(&self, node: &str) -> Option<usize> {
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
        let cpus = f64::from(machines) / 6.0 * CPUS_OF_SIX;
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
                    team("red", 12.0 / CPUS_OF_SIX, 40.0 / CPUS_OF_SIX),
                    team("blue", 8.0 / CPUS_OF_SIX, 24.0 / CPUS_OF_SIX),
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
                    "value_kb": VALUE_KB,
                    "txn_ops": TXN_OPS,
                },
                "cloud": {"rps": 12.0, "list_lag_s": 3.0},
                "limits": {"max_sockets": 2000},
            },
        })
    }
}

/// A controller.
#[derive(Debug)]
struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    back_at: Duration,
    paused: bool,
}

/// All controllers. They end with this value.
#[derive(Debug)]
pub struct Controllers {
    program: PathBuf,
    all: Vec<Process>,
    /// Controllers that ended by themselves, with their last lines.
    pub deaths: Vec<String>,
}

impl Controllers {
    /// Writes the settings; nothing runs yet.
    ///
    /// # Errors
    ///
    /// If the folder can't be written.
    pub fn new(
        program: &Path,
        folder: &Path,
        addresses: &Addresses,
        machines: u32,
        write_rps: f64,
        timing: Timing,
    ) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let mut all = Vec::new();
        for node in 0..addresses.public.len() {
            let settings = folder.join(format!("n-{node}.json"));
            let text = addresses
                .settings(node, machines, write_rps, timing)
                .to_string();
            fs::write(&settings, text)?;
            let log = folder.join(format!("n-{node}.log"));
            File::create(&log)?;
            all.push(Process {
                child: None,
                settings,
                log,
                back_at: Duration::ZERO,
                paused: false,
            });
        }
        let program = fs::canonicalize(program)?;
        let deaths = Vec::new();
        Ok(Self {
            program,
            all,
            deaths,
        })
    }

    /// Starts those whose time has come, and notes those that ended by themselves.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    pub fn tick(&mut self, now: Duration) -> io::Result<()> {
        for (node, process) in self.all.iter_mut().enumerate() {
            if let Some(child) = &mut process.child
                && let Some(status) = child.try_wait()?
            {
                let last = last_lines(&process.log);
                self.deaths
                    .push(format!("n-{node} ended by itself, {status}: {last}"));
                process.child = None;
                process.back_at = now + Duration::from_secs(1);
            }
            if process.child.is_none() && now >= process.back_at {
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

    /// Kills a controller, which is back at some time.
    pub fn kill(&mut self, node: usize, back_at: Duration) {
        let process = &mut self.all[node];
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        process.paused = false;
        process.back_at = back_at;
    }

    /// Lets a controller stand still, or go on.
    pub fn pause(&mut self, node: usize, pauses: bool) {
        let process = &mut self.all[node];
        if process.paused == pauses {
            return;
        }
        if let Some(child) = &process.child {
            let signal = if pauses { Signal::STOP } else { Signal::CONT };
            let _ = kill_process(Pid::from_child(child), signal);
            process.paused = pauses;
        }
    }

    /// Lines of the logs in which a controller has found an invariant violated.
    pub fn violations(&self) -> Vec<String> {
        let logs = self
            .all
            .iter()
            .filter_map(|p| fs::read_to_string(&p.log).ok());
        let mut violations = Vec::new();
        for log in logs {
            let lines = log.lines().filter(|l| l.contains("invariant violated"));
            violations.extend(lines.map(str::to_owned));
        }
        violations
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.all.len() {
            self.kill(node, Duration::MAX);
        }
    }
}

fn last_lines(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().rev().take(LAST_LINES).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
}
