//! The simulated environment of the controllers: one model of the state service, the cloud
//! and all machines, in real time.

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
    records::{BlockId, BlockRecord, Key, MachineListRecord, Term, from_value},
};
use oliveshift_testkit::{
    RuleChecker, StateLimits, StateService, cloud::Cloud, rules::Site as Place, worker::Worker,
};
use oliveshift_wire::{
    decode,
    state::{Change, Txn, TxnAnswer},
    worker::{DirectOrders, Order, Report},
};
use serde::Serialize;

use crate::{
    faults::{Fault, ScheduledFault},
    http::HttpRequest,
};

/// Zones of the site.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Maximum size of a value in the state service, in KiB.
pub const MAX_VALUE_KB: usize = 16;
/// Maximum number of operations in a transaction of the state service.
pub const MAX_TXN_OPS: usize = 20;
/// Processors of each six initial machines together: four `small` and two `large`.
pub const CPUS_PER_SIX_MACHINES: f64 = 48.0;
/// Number of changes that the state service retains. It is small, so that even short
/// interruptions make controllers read all records again.
const CHANGE_HISTORY_LENGTH: std::ops::Range<usize> = 3..60;
/// Minimum time between two advances of the model.
const MIN_ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// Worker lease and cancellation settings of the controllers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Timing {
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must have ended, in seconds.
    pub cancel_s: f64,
}

impl Timing {
    /// Draws a lease of 6 s to 20 s, and a cancellation time that lets a controller act
    /// without new contact for 2.5 s to two lease durations: on about half of all seeds a
    /// lease can expire within that time.
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

/// The site, shared by all simulated services, workers and users.
pub type SharedSite = Rc<RefCell<Site>>;

/// A machine that is up.
#[derive(Debug)]
pub struct Machine {
    /// The worker on the machine.
    pub worker: Worker,
    /// Address at which the worker listens.
    pub address: SocketAddrV4,
}

/// Simulated state service, cloud and machines, with the faults that affect them.
pub struct Site {
    started_at: Instant,
    /// Worker lease and cancellation settings.
    pub timing: Timing,
    /// Index of the controller that acquired a block, by block and term.
    holders: BTreeMap<(BlockId, Term), usize>,
    /// Block of each registered machine.
    blocks: BTreeMap<String, BlockId>,
    /// Number of late copies of direct orders that arrived.
    pub copied_orders: usize,
    /// Number of starts in them whose attempt the worker had forgotten.
    pub copies_of_forgotten: usize,
    /// Model of the state service.
    pub state: StateService,
    /// Model of the cloud.
    pub cloud: Cloud,
    /// Machines that are up, by name.
    pub machines: BTreeMap<String, Machine>,
    /// Checks the rules against what workers and users observe.
    pub rules: RuleChecker,
    /// Faults and their times.
    pub faults: Vec<ScheduledFault>,
    /// Source of the random choices made during the run.
    pub rng: fastrand::Rng,
    last_advance: Duration,
    was_state_out: bool,
}

impl Site {
    /// Creates a site with some machines up.
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
            txn_ops: MAX_TXN_OPS,
            value_bytes: MAX_VALUE_KB * 1024,
            write_rps,
        });
        state.retain_changes(rng.usize(CHANGE_HISTORY_LENGTH));
        Self {
            started_at: Instant::now(),
            state,
            cloud,
            machines: BTreeMap::new(),
            timing,
            holders: BTreeMap::new(),
            blocks: BTreeMap::new(),
            copied_orders: 0,
            copies_of_forgotten: 0,
            rules: RuleChecker::new(limits.into(), timing.cancel()),
            faults: Vec::new(),
            rng,
            last_advance: Duration::ZERO,
            was_state_out: false,
        }
    }

    /// Time since the start of the seed.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The first active fault for which `kind` returns a value: that value, and the end of the
    /// fault.
    pub fn active_fault<T>(&self, kind: impl Fn(&Fault) -> Option<T>) -> Option<(T, Duration)> {
        let now = self.now();
        let mut active_fault = self.faults.iter().filter(|t| t.is_active(now));
        active_fault.find_map(|t| Some((kind(&t.fault)?, t.end())))
    }

    /// Whether this message is affected by an active fault that affects one in N, at random.
    /// `one_in` returns N for a fault of the wanted kind.
    pub fn is_affected(&mut self, one_in: impl Fn(&Fault) -> Option<u32>) -> bool {
        let one_in = self.active_fault(one_in);
        one_in.is_some_and(|(one_in, _)| self.rng.u32(0..one_in.max(1)) == 0)
    }

    /// Whether the state service refuses all controllers.
    pub fn is_state_out(&self) -> bool {
        let outage = |f: &Fault| matches!(f, Fault::Outage).then_some(());
        self.active_fault(outage).is_some()
    }

    /// The time until which a machine hangs, if it does.
    pub fn hangs_until(&self, name: &str) -> Option<Duration> {
        let until = self.active_fault(|f| match f {
            Fault::Hang { group } if is_in_group(name, *group) => Some(()),
            _ => None,
        });
        until.map(|(_, until)| until)
    }

    /// Whether answers and orders to a machine are lost.
    pub fn loses_answers(&self, name: &str) -> bool {
        let lost = self.active_fault(|f| match f {
            Fault::AnswersLost { group } if is_in_group(name, *group) => Some(()),
            _ => None,
        });
        lost.is_some()
    }

    /// Whether messages between a controller and a machine are lost.
    pub fn is_partitioned(&self, controller: usize, name: &str) -> bool {
        let partition = self.active_fault(|f| match f {
            Fault::Partition {
                controller: of,
                group,
            } if *of == controller && is_in_group(name, *group) => Some(()),
            _ => None,
        });
        partition.is_some()
    }

    /// Whether the controller that uses a token with a machine is partitioned from it. A token
    /// belongs to the latest lease of the machine's block that is not above it.
    pub fn is_holder_partitioned(&self, token: u64, name: &str) -> bool {
        let Some(block) = self.blocks.get(name) else {
            return false;
        };
        let leases = self.holders.range((*block, 0)..=(*block, token));
        let holder = leases.map(|(_, holder)| *holder).next_back();
        holder.is_some_and(|holder| self.is_partitioned(holder, name))
    }

    /// Records the blocks of machines and the holders of blocks that an executed transaction
    /// has written. The revision of the transaction is the term of a holder.
    pub fn record_blocks(&mut self, txn: Txn, answer: &TxnAnswer) {
        for change in txn.changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            match Key::parse(&key) {
                Some(Key::Block(block)) => {
                    let record: Option<BlockRecord> = from_value(value);
                    let holder = record.and_then(|r| r.holder.strip_prefix("n-")?.parse().ok());
                    if let Some(holder) = holder {
                        self.holders.insert((block, answer.revision), holder);
                    }
                }
                Some(Key::Machines(block, _)) => {
                    let list = MachineListRecord::from_value(value);
                    let machines = list.map(|list| list.into_parts().1).unwrap_or_default();
                    self.blocks
                        .extend(machines.into_iter().map(|machine| (machine.name, block)));
                }
                _ => {}
            }
        }
    }

    /// Records a late copy of direct orders before it is executed.
    pub fn record_copy(&mut self, name: &str, body: &[u8]) {
        let (Some(machine), Ok(orders)) = (self.machines.get(name), decode::<DirectOrders>(body))
        else {
            return;
        };
        let is_forgotten = |order: &&Order| match order {
            Order::Start { task, attempt } => machine.worker.has_forgotten(task, *attempt),
            Order::Stop { .. } | Order::Forget { .. } => false,
        };
        self.copied_orders += 1;
        self.copies_of_forgotten += orders.orders.iter().filter(is_forgotten).count();
    }

    /// Whether the reports of a machine reach no controller.
    pub fn loses_reports(&self, name: &str) -> bool {
        let lost = self.active_fault(|f| match f {
            Fault::ReportsLost { group } if is_in_group(name, *group) => Some(()),
            _ => None,
        });
        lost.is_some()
    }

    /// Advances leases and all machines to the current time. Called before anything else
    /// happens: if this process runs late, expired leases have to end before later events.
    /// Leases of the state service don't run during an outage, and are refreshed after it.
    pub fn advance(&mut self) {
        let now = self.now();
        if now < self.last_advance + MIN_ADVANCE_INTERVAL {
            return;
        }
        self.last_advance = now;
        let is_state_out = self.is_state_out();
        if std::mem::replace(&mut self.was_state_out, is_state_out) && !is_state_out {
            self.state.refresh_leases(now);
        }
        if !is_state_out {
            self.state.expire_leases(now);
        }
        let hanging: Vec<_> = self
            .machines
            .keys()
            .map(|name| self.hangs_until(name))
            .collect();
        for (machine, hangs) in self.machines.values_mut().zip(hanging) {
            match hangs {
                Some(_) => machine.worker.check_lease_while_hung(now, &mut self.rules),
                None => machine.worker.advance(now, &mut self.rules),
            }
        }
        self.rules.check_cancelled_jobs(now);
    }

    /// Names of machines that are up but have no worker yet.
    pub fn machines_without_worker(&self) -> Vec<String> {
        let now = self.now();
        let cloud = self.cloud.machines.iter();
        let up = cloud.filter(|(name, m)| {
            let is_up = m.gone_at.is_none() && m.running_at.is_some_and(|up| up <= now);
            is_up && !self.machines.contains_key(*name)
        });
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Starts the worker of a machine, which listens at `address`.
    pub fn start_worker(&mut self, name: &str, address: SocketAddrV4) {
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

    /// Removes a machine with all tasks on it.
    pub fn remove_machine(&mut self, name: &str) {
        if let Some(mut machine) = self.machines.remove(name) {
            machine.worker.drop_tasks(&mut self.rules);
        }
    }

    /// Builds the next report of a machine's worker.
    pub fn next_report(&mut self, name: &str) -> Option<Report> {
        let now = self.now();
        let machine = self.machines.get_mut(name)?;
        let mut report = machine.worker.report(now);
        report.addr = machine.address.to_string();
        Some(report)
    }
}

/// Whether a machine is in the group that a fault affects.
fn is_in_group(name: &str, group: u32) -> bool {
    machine_number(name) % 4 == group
}

fn machine_number(name: &str) -> u32 {
    name.trim_start_matches("vm-").parse().unwrap_or(0)
}

/// Converts a request to the type that the models of the test kit take.
pub fn to_call(to: Target, request: HttpRequest) -> Call {
    Call {
        id: 0,
        to,
        method: request.method,
        path: request.path,
        body: request.body,
        timeout: Duration::ZERO,
    }
}

/// Waits until a time since the start of the seed.
pub async fn wait_until(site: &SharedSite, at: Duration) {
    let left = at.saturating_sub(site.borrow().now());
    Timer::after(left).await;
}

/// Builds a request to a controller.
pub fn controller_request(method: Method, path: &str, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method,
        path: path.to_owned(),
        body,
        delay: None,
    }
}
