//! Stand-ins for a small deployment on loopback and the real clock: state service, cloud,
//! workers, load balancer and users. They follow the protocol page; the models of the state
//! service, the cloud and the workers, and the checker of the rules, are those of the project's
//! `crates/testkit`. The programs under test run as processes of their own.

pub mod http;
pub mod processes;
pub mod site;
pub mod workflows;

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// `record.txt`: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Writes a line to the record.
#[macro_export]
macro_rules! note {
    ($record:expr, $($arg:tt)*) => { $record.line(&format!($($arg)*)) };
}

/// Whether the disruption is left out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Waits for up to `limit` until `ready` holds.
pub fn wait_for(limit: Duration, ready: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !ready() {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}
