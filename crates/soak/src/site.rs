//! The world outside the controllers: one model for all stand-ins, in real time.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddrV4,
    rc::Rc,
    time::{Duration, Instant},
};

use async_io::Timer;
use oliveshift_core::{
    Call, Method, Target,
    records::{BlockRecord, Key, Term, from_value},
};
use oliveshift_testkit::{
    RuleChecker, StateLimits, StateService, cloud::Cloud, rules::Site as Place, worker::Worker,
};
use oliveshift_wire::{
    state::{Change, Txn, TxnAnswer},
    worker::Report,
};
use serde::Serialize;

use crate::{
    faults::{Fault, Timed},
    http::Asked,
};

/// The zones of the site.
pub const ZONES: [&str; 2] = ["east", "west"];
/// What the state service takes.
pub const VALUE_KB: usize = 16;
pub const TXN_OPS: usize = 20;
/// Machines are of types that have so many processors together, by six.
pub const CPUS_OF_SIX: f64 = 48.0;
/// How many changes the state service keeps: few, so that short cuts make controllers
/// read all records again.
const KEPT_CHANGES: std::ops::Range<usize> = 3..60;
/// How often time passes for all machines, at least.
const PASS_EVERY: Duration = Duration::from_millis(10);

/// What the settings say of workers' leases and of cancellations.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Timing {
    /// A worker's lease, in seconds.
    pub lease_s: f64,
    /// The time until tasks of cancelled jobs are gone, in seconds.
    pub cancel_s: f64,
}

impl Timing {
    /// Draws leases from 6 s to 20 s, and the rest so that a controller may act without
    /// new contact for 2.5 s to two leases: on half of all seeds a lease can end before.
    pub fn draw(rng: &mut fastrand::Rng) -> Self {
        let lease_s = 6.0 + rng.f64() * 14.0;
        let contact_s = 2.5 + rng.f64() * (lease_s * 2.0 - 2.5);
        Self {
            lease_s,
            cancel_s: lease_s * 1.002 + 1.5 + contact_s,
        }
    }

    fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    fn cancel(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The site, shared by all that serve and ask.
pub type Shared = Rc<RefCell<Site>>;

/// A machine that is up.
#[derive(Debug)]
pub struct Machine {
    /// Its worker.
    pub worker: Worker,
    /// Where the worker listens.
    pub address: SocketAddrV4,
}

/// All that the controllers deal with.
pub struct Site {
    started: Instant,
    /// Workers' leases and cancellations.
    pub timing: Timing,
    /// Who took a block, by its term.
    holders: BTreeMap<Term, usize>,
    /// The state service.
    pub state: StateService,
    /// The cloud.
    pub cloud: Cloud,
    /// Machines that are up, by name.
    pub machines: BTreeMap<String, Machine>,
    /// Watches the rules.
    pub rules: RuleChecker,
    /// What goes wrong when.
    pub faults: Vec<Timed>,
    /// For what is drawn while it runs.
    pub rng: fastrand::Rng,
    passed: Duration,
    was_out: bool,
}

impl Site {
    /// A site with some machines up.
    pub fn new(machines: u32, write_rps: f64, timing: Timing, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = ZONES.map(String::from);
        let factor = f64::from(machines) / 6.0;
        let limits = [("red", 40.0), ("blue", 24.0)];
        let limits = limits.map(|(team, cpus)| (team.to_owned(), cpus * factor));
        let mut cloud = Cloud::new(&zones, rng.u64(..));
        cloud.capacity = (cloud.capacity as f64 * factor).ceil() as usize;
        for i in 0..machines as usize {
            let kind = if i % 6 < 4 { "small" } else { "large" };
            cloud.add_running(Duration::ZERO, kind, ZONES[i % 2], i % 3 == 0);
        }
        let mut state = StateService::new(StateLimits {
            txn_ops: TXN_OPS,
            value_bytes: VALUE_KB * 1024,
            write_rps,
        });
        state.retain_changes(rng.usize(KEPT_CHANGES));
        Self {
            started: Instant::now(),
            state,
            cloud,
            machines: BTreeMap::new(),
            timing,
            holders: BTreeMap::new(),
            rules: RuleChecker::new(limits.into(), timing.cancel()),
            faults: Vec::new(),
            rng,
            passed: Duration::ZERO,
            was_out: false,
        }
    }

    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The fault of a kind that lasts now, and until when.
    pub fn lasting<T>(&self, kind: impl Fn(&Fault) -> Option<T>) -> Option<(T, Duration)> {
        let now = self.now();
        let mut lasting = self.faults.iter().filter(|t| t.lasts(now));
        lasting.find_map(|t| Some((kind(&t.fault)?, t.until())))
    }

    /// Whether one in so many of something is meant, if such a fault lasts.
    pub fn is_chosen(&mut self, one_in: impl Fn(&Fault) -> Option<u32>) -> bool {
        let one_in = self.lasting(one_in);
        one_in.is_some_and(|(one_in, _)| self.rng.u32(0..one_in.max(1)) == 0)
    }

    /// Whether the state service refuses everybody.
    pub fn is_out(&self) -> bool {
        let outage = |f: &Fault| matches!(f, Fault::Outage).then_some(());
        self.lasting(outage).is_some()
    }

    /// Until when a machine hangs.
    pub fn hangs(&self, name: &str) -> Option<Duration> {
        let until = self.lasting(|f| match f {
            Fault::Hang { rest } if is_of(name, *rest) => Some(()),
            _ => None,
        });
        until.map(|(_, until)| until)
    }

    /// Whether answers and orders to a machine are lost.
    pub fn is_deaf(&self, name: &str) -> bool {
        let deaf = self.lasting(|f| match f {
            Fault::Deaf { rest } if is_of(name, *rest) => Some(()),
            _ => None,
        });
        deaf.is_some()
    }

    /// Whether a controller and a machine do not hear each other.
    pub fn is_cut(&self, controller: usize, name: &str) -> bool {
        let cut = self.lasting(|f| match f {
            Fault::CutPair {
                controller: of,
                rest,
            } if *of == controller && is_of(name, *rest) => Some(()),
            _ => None,
        });
        cut.is_some()
    }

    /// Whether the holder of a block under some term is cut from a machine. A term is
    /// that of one holder.
    pub fn is_holder_cut(&self, term: Term, name: &str) -> bool {
        let holder = self.holders.get(&term);
        holder.is_some_and(|holder| self.is_cut(*holder, name))
    }

    /// Takes in what a transaction that was carried out has written of blocks.
    pub fn note_holders(&mut self, txn: Txn, answer: &TxnAnswer) {
        for change in txn.changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            if !matches!(Key::parse(&key), Some(Key::Block(_))) {
                continue;
            }
            let record: Option<BlockRecord> = from_value(value);
            let holder = record.and_then(|r| r.holder.strip_prefix("n-")?.parse().ok());
            if let Some(holder) = holder {
                self.holders.insert(answer.revision, holder);
            }
        }
    }

    /// Whether a machine reaches no controller.
    pub fn is_mute(&self, name: &str) -> bool {
        let mute = self.lasting(|f| match f {
            Fault::Mute { rest } if is_of(name, *rest) => Some(()),
            _ => None,
        });
        mute.is_some()
    }

    /// Lets time pass for the leases and all machines. Called before anything else
    /// happens: if this process is late, leases that are over have to end before what
    /// comes after their end.
    pub fn pass(&mut self) {
        let now = self.now();
        if now < self.passed + PASS_EVERY {
            return;
        }
        self.passed = now;
        let is_out = self.is_out();
        if std::mem::replace(&mut self.was_out, is_out) && !is_out {
            self.state.refresh_leases(now);
        }
        if !is_out {
            self.state.expire_leases(now);
        }
        let hanging: Vec<_> = self.machines.keys().map(|name| self.hangs(name)).collect();
        for (machine, hangs) in self.machines.values_mut().zip(hanging) {
            match hangs {
                Some(_) => machine.worker.check_lease_while_hung(now, &mut self.rules),
                None => machine.worker.advance(now, &mut self.rules),
            }
        }
        self.rules.check_cancelled_jobs(now);
    }

    /// The names of machines that are up and have no worker yet.
    pub fn without_worker(&self) -> Vec<String> {
        let now = self.now();
        let cloud = self.cloud.machines.iter();
        let up = cloud.filter(|(name, m)| {
            let is_up = m.gone_at.is_none() && m.running_at.is_some_and(|up| up <= now);
            is_up && !self.machines.contains_key(*name)
        });
        up.map(|(name, _)| name.clone()).collect()
    }

    /// A machine's worker begins, and listens at an address.
    pub fn begin_worker(&mut self, name: &str, address: SocketAddrV4) {
        let now = self.now();
        let Some(rented) = self.cloud.machines.get(name).cloned() else {
            return;
        };
        let kind = self.cloud.types.iter().find(|t| t.name == rented.kind);
        let Some(kind) = kind.cloned() else { return };
        let place = Place {
            kind: rented.kind,
            zone: rented.zone,
            spot: rented.spot,
        };
        let lease = self.timing.lease();
        let worker = Worker::new(name.to_owned(), place, kind, lease, now);
        let machine = Machine { worker, address };
        self.machines.insert(name.to_owned(), machine);
    }

    /// A machine is gone with all that is on it.
    pub fn remove(&mut self, name: &str) {
        if let Some(mut machine) = self.machines.remove(name) {
            machine.worker.drop_tasks(&mut self.rules);
        }
    }

    /// A worker's next message.
    pub fn report(&mut self, name: &str) -> Option<Report> {
        let now = self.now();
        let machine = self.machines.get_mut(name)?;
        let mut report = machine.worker.report(now);
        report.addr = machine.address.to_string();
        Some(report)
    }
}

/// Whether a machine is one of those that a fault befalls.
fn is_of(name: &str, rest: u32) -> bool {
    number_of(name) % 4 == rest
}

fn number_of(name: &str) -> u32 {
    name.trim_start_matches("vm-").parse().unwrap_or(0)
}

/// What the stand-ins of the simulated world take.
pub fn call(to: Target, asked: Asked) -> Call {
    Call {
        id: 0,
        to,
        method: asked.method,
        path: asked.path,
        body: asked.body,
        timeout: Duration::ZERO,
    }
}

/// Waits until some time since the beginning.
pub async fn until(site: &Shared, at: Duration) {
    let left = at.saturating_sub(site.borrow().now());
    Timer::after(left).await;
}

/// A request to the controllers.
pub fn request(method: Method, path: &str, body: Vec<u8>) -> Asked {
    Asked {
        method,
        path: path.to_owned(),
        body,
    }
}
