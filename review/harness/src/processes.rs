//! The programs under test, as processes that are started, stopped, continued and killed.

use std::{
    fs::OpenOptions,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// A process, with the command that starts it. It is killed when this value is dropped.
pub struct Process {
    args: Vec<String>,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started yet; what it logs is appended to `log`.
    pub fn new(program: &Path, args: &[&str], log: &Path) -> Self {
        Self {
            args: args.iter().map(|a| (*a).to_owned()).collect(),
            program: program.to_owned(),
            log: log.to_owned(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".to_owned());
        let child = Command::new(&self.program)
            .args(&self.args)
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit code, if the process has ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
