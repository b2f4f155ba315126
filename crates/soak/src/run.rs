//! Runs one seed from start to end.

use std::{cell::RefCell, fs, io, path::Path, rc::Rc, time::Duration};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use thiserror::Error;

use crate::{
    cloud,
    controllers::{Addresses, Controllers, free_ports, loopback_address},
    faults::{Fault, ScheduledFault, copied_orders, draw_faults, draw_handovers},
    http,
    options::Options,
    record::{Record, RuleViolation},
    site::{SharedSite, Site, Timing},
    state,
    users::Users,
    workers,
};

/// Interval at which the simulated services, workers and users act.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Fault-free period at the end of a run.
const RECOVERY_DURATION: Duration = Duration::from_secs(45);
/// Jobs for each machine and minute of the fault period, so that most machines are busy.
const JOBS_PER_MACHINE_MINUTE: f64 = 2.5;
/// Write rate limit of the state service, per second: a base and a share for each machine.
const BASE_WRITE_RPS: f64 = 40.0;
const WRITE_RPS_PER_MACHINE: f64 = 0.1;

/// Why a seed can't be run.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("cannot listen on a port of {address}: {0}", address = loopback_address())]
    Ports(io::Error),
    #[error("cannot run the controllers: {0}")]
    Controllers(io::Error),
    #[error("cannot handle SIGINT and SIGTERM: {0}")]
    Signals(io::Error),
}

/// Runs a seed and returns its record.
///
/// # Errors
///
/// If the seed can't be run. Violations found during the run are in the record.
pub fn run(options: &Options, seed: u64) -> Result<Record, RunError> {
    let folder = options.out.join(format!("seed-{seed}"));
    let executor = Rc::new(LocalExecutor::new());
    let record = block_on(executor.run(run_seed(options, seed, &folder, executor.clone())))?;
    if record.passed() {
        // Settings and logs are kept only for failed seeds.
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(record)
}

/// The parts of a running seed.
struct SeedRun {
    executor: Rc<LocalExecutor<'static>>,
    site: SharedSite,
    users: Rc<Users>,
    addresses: Rc<Addresses>,
    controllers: Controllers,
    faults: Vec<ScheduledFault>,
}

async fn run_seed(
    options: &Options,
    seed: u64,
    folder: &Path,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Record, RunError> {
    let nodes = options.controllers as usize;
    let fault_duration = options.fault_duration();
    let write_rps = BASE_WRITE_RPS + WRITE_RPS_PER_MACHINE * f64::from(options.machines);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = draw_faults(&mut rng, nodes, fault_duration);
    let mut second_rng = fastrand::Rng::with_seed(!seed);
    let timing = Timing::draw(&mut second_rng);
    faults.extend(draw_handovers(&mut second_rng, nodes, fault_duration));
    faults.push(copied_orders(fault_duration));
    faults.sort_by_key(|fault| fault.from_ms);
    let jobs = JOBS_PER_MACHINE_MINUTE * f64::from(options.machines) * options.minutes;
    let users = Users::draw(&mut rng, jobs.ceil() as usize, fault_duration.mul_f64(0.9));
    let mut site = Site::new(options.machines, write_rps, timing, seed);
    site.faults = faults.clone();
    let site = Rc::new(RefCell::new(site));
    let addresses = serve(&executor, &site, nodes).map_err(RunError::Ports)?;
    let controllers = Controllers::new(
        &options.program,
        folder,
        &addresses,
        options.machines,
        write_rps,
        timing,
    );
    let mut seed_run = SeedRun {
        executor,
        site,
        users: Rc::new(users),
        addresses: Rc::new(addresses),
        controllers: controllers.map_err(RunError::Controllers)?,
        faults,
    };
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(RunError::Signals)?;
    let interrupted = async {
        signals.next().await;
        Ok(true)
    };
    let interrupted = seed_run
        .run_until(fault_duration + RECOVERY_DURATION)
        .or(interrupted)
        .await?;
    Ok(seed_run.record(options, seed, interrupted))
}

/// Starts the state service (one address for each controller) and the cloud, and chooses
/// ports for the controllers.
fn serve(
    executor: &Rc<LocalExecutor<'static>>,
    site: &SharedSite,
    nodes: usize,
) -> io::Result<Addresses> {
    let mut state = Vec::new();
    for node in 0..nodes {
        let site = site.clone();
        let handler = move |request| state::handle_request(site.clone(), node, request);
        state.push(http::serve(executor, loopback_address(), handler)?);
    }
    let site = site.clone();
    let handler = move |request| {
        let response = cloud::handle_request(&site, request);
        async move { Some(response) }
    };
    let cloud = http::serve(executor, loopback_address(), handler)?;
    let mut public = free_ports(2 * nodes)?;
    let internal = public.split_off(nodes);
    Ok(Addresses {
        public,
        internal,
        state,
        cloud,
    })
}

impl SeedRun {
    /// Runs until `end`, then returns `false`: the run was not interrupted.
    async fn run_until(&mut self, end: Duration) -> Result<bool, RunError> {
        let mut started_faults = 0;
        loop {
            let now = self.site.borrow().now();
            if now >= end {
                return Ok(false);
            }
            self.site.borrow_mut().advance();
            self.start_workers()?;
            while let Some(scheduled) = self.faults.get(started_faults).filter(|t| now >= t.start())
            {
                let scheduled = scheduled.clone();
                self.start_fault(&scheduled, now);
                started_faults += 1;
            }
            self.apply_pauses(now);
            self.controllers.tick(now).map_err(RunError::Controllers)?;
            workers::send_due_reports(&self.executor, &self.site, &self.addresses);
            self.users
                .send_due_requests(&self.executor, &self.site, &self.addresses);
            Timer::after(TICK_INTERVAL).await;
        }
    }

    fn start_workers(&self) -> Result<(), RunError> {
        let names = self.site.borrow().machines_without_worker();
        for name in names {
            let (site, worker_name): (_, Rc<str>) = (self.site.clone(), Rc::from(name.as_str()));
            let executor = self.executor.clone();
            let handler = move |request| {
                workers::handle_request(
                    executor.clone(),
                    site.clone(),
                    Rc::clone(&worker_name),
                    request,
                )
            };
            let address = http::serve(&self.executor, loopback_address(), handler);
            let address = address.map_err(RunError::Ports)?;
            self.site.borrow_mut().start_worker(&name, address);
        }
        Ok(())
    }

    /// Carries out faults that act once, at their start. All others are checked for while
    /// they are active.
    fn start_fault(&mut self, scheduled: &ScheduledFault, now: Duration) {
        match &scheduled.fault {
            Fault::Kill {
                controllers,
                restart_after_ms,
            } => {
                for node in controllers {
                    let downtime = Duration::from_millis(*restart_after_ms);
                    self.controllers.kill(*node, now + downtime);
                }
            }
            Fault::Cancel { count } => self.users.cancel(*count, now),
            _ => {}
        }
    }

    fn apply_pauses(&mut self, now: Duration) {
        for node in 0..self.addresses.public.len() {
            let paused = self.faults.iter().any(|t| {
                matches!(t.fault, Fault::Pause { controller } if controller == node)
                    && t.is_active(now)
            });
            self.controllers.set_paused(node, paused);
        }
    }

    fn record(self, options: &Options, seed: u64, interrupted: bool) -> Record {
        let (accepted, open) = self.users.counts();
        let site = self.site.borrow();
        let violations = site
            .rules
            .violations
            .iter()
            .map(|(at, rule, what)| RuleViolation {
                at_ms: at.as_millis() as u64,
                rule: format!("{rule:?}"),
                description: what.clone(),
            });
        Record {
            seed,
            controllers: options.controllers,
            machines: options.machines,
            timing: site.timing,
            seconds: site.now().as_secs(),
            too_old: site.state.too_old,
            accepted,
            slow_requests: self.users.slow_request_counts(),
            open,
            started: site.rules.started,
            done: site.rules.done.len(),
            lost: site.rules.lost,
            copied_orders: site.copied_orders,
            copies_of_forgotten: site.copies_of_forgotten,
            rule_violations: violations.collect(),
            unexpected_exits: self.controllers.unexpected_exits.clone(),
            invariant_violations: self.controllers.invariant_violations(),
            interrupted,
            faults: self.faults.clone(),
        }
    }
}
