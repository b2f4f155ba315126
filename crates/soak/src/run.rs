//! One seed from its beginning to its end.

use std::{cell::RefCell, fs, io, path::Path, rc::Rc, time::Duration};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use thiserror::Error;

use crate::{
    cloud,
    controllers::{Addresses, Controllers, free_ports, own_address},
    faults::{Fault, Timed, draw, draw_handovers},
    http,
    options::Options,
    record::{Break, Record},
    site::{Shared, Site, Timing},
    state,
    users::Users,
    workers,
};

/// How often the stand-ins act by themselves.
const TICK: Duration = Duration::from_millis(20);
/// How long the site is left in peace at the end.
const CALM: Duration = Duration::from_secs(45);
/// So many jobs for each machine and minute of faults, so that most machines are busy.
const JOBS_PER_MACHINE: f64 = 2.5;
/// Writes a second that the state service takes: some, and more for more machines.
const WRITES: f64 = 40.0;
const WRITES_PER_MACHINE: f64 = 0.1;

/// Why a seed can't be played.
#[derive(Debug, Error)]
pub enum Failure {
    #[error("a port of {address} can't be listened on: {0}", address = own_address())]
    Ports(io::Error),
    #[error("the controllers can't be run: {0}")]
    Controllers(io::Error),
    #[error("signals can't be waited for: {0}")]
    Signals(io::Error),
}

/// Plays a seed.
///
/// # Errors
///
/// If it can't be played at all; that something broke is in the record.
pub fn run(options: &Options, seed: u64) -> Result<Record, Failure> {
    let folder = options.out.join(format!("seed-{seed}"));
    let executor = Rc::new(LocalExecutor::new());
    let record = block_on(executor.run(play(options, seed, &folder, executor.clone())))?;
    if record.holds() {
        // The logs of what went well are of no use to anybody.
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(record)
}

/// All that a seed is played with.
struct Play {
    executor: Rc<LocalExecutor<'static>>,
    site: Shared,
    users: Rc<Users>,
    addresses: Rc<Addresses>,
    controllers: Controllers,
    faults: Vec<Timed>,
}

async fn play(
    options: &Options,
    seed: u64,
    folder: &Path,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Record, Failure> {
    let nodes = options.controllers as usize;
    let troubled = options.troubled();
    let write_rps = WRITES + WRITES_PER_MACHINE * f64::from(options.machines);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = draw(&mut rng, nodes, troubled);
    let mut other_rng = fastrand::Rng::with_seed(!seed);
    let timing = Timing::draw(&mut other_rng);
    faults.extend(draw_handovers(&mut other_rng, nodes, troubled));
    faults.sort_by_key(|fault| fault.from_ms);
    let jobs = JOBS_PER_MACHINE * f64::from(options.machines) * options.minutes;
    let users = Users::draw(&mut rng, jobs.ceil() as usize, troubled.mul_f64(0.9));
    let mut site = Site::new(options.machines, write_rps, timing, seed);
    site.faults = faults.clone();
    let site = Rc::new(RefCell::new(site));
    let addresses = serve(&executor, &site, nodes).map_err(Failure::Ports)?;
    let controllers = Controllers::new(
        &options.program,
        folder,
        &addresses,
        options.machines,
        write_rps,
        timing,
    );
    let mut play = Play {
        executor,
        site,
        users: Rc::new(users),
        addresses: Rc::new(addresses),
        controllers: controllers.map_err(Failure::Controllers)?,
        faults,
    };
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(Failure::Signals)?;
    let interrupted = async {
        signals.next().await;
        Ok(true)
    };
    let interrupted = play.go_on(troubled + CALM).or(interrupted).await?;
    Ok(play.record(options, seed, interrupted))
}

/// Serves the state service and the cloud, and finds ports for the controllers.
fn serve(
    executor: &Rc<LocalExecutor<'static>>,
    site: &Shared,
    nodes: usize,
) -> io::Result<Addresses> {
    let mut state = Vec::new();
    for node in 0..nodes {
        let site = site.clone();
        let answer = move |asked| state::answer(site.clone(), node, asked);
        state.push(http::serve(executor, own_address(), answer)?);
    }
    let site = site.clone();
    let answer = move |asked| {
        let told = cloud::answer(&site, asked);
        async move { Some(told) }
    };
    let cloud = http::serve(executor, own_address(), answer)?;
    let mut public = free_ports(2 * nodes)?;
    let internal = public.split_off(nodes);
    Ok(Addresses {
        public,
        internal,
        state,
        cloud,
    })
}

impl Play {
    /// Lets the site be until some time; whether it was interrupted.
    async fn go_on(&mut self, end: Duration) -> Result<bool, Failure> {
        let mut begun = 0;
        loop {
            let now = self.site.borrow().now();
            if now >= end {
                return Ok(false);
            }
            self.site.borrow_mut().pass();
            self.machines_come_up()?;
            while let Some(timed) = self.faults.get(begun).filter(|t| now >= t.from()) {
                let timed = timed.clone();
                self.begin(&timed, now);
                begun += 1;
            }
            self.pauses(now);
            self.controllers.tick(now).map_err(Failure::Controllers)?;
            workers::reports(&self.executor, &self.site, &self.addresses);
            self.users.act(&self.executor, &self.site, &self.addresses);
            Timer::after(TICK).await;
        }
    }

    fn machines_come_up(&self) -> Result<(), Failure> {
        let names = self.site.borrow().without_worker();
        for name in names {
            let (site, served): (_, Rc<str>) = (self.site.clone(), Rc::from(name.as_str()));
            let answer = move |asked| workers::answer(site.clone(), Rc::clone(&served), asked);
            let address = http::serve(&self.executor, own_address(), answer);
            let address = address.map_err(Failure::Ports)?;
            self.site.borrow_mut().begin_worker(&name, address);
        }
        Ok(())
    }

    /// Does what a fault does at its beginning; the others are looked for while they
    /// last.
    fn begin(&mut self, timed: &Timed, now: Duration) {
        match &timed.fault {
            Fault::Kill {
                controllers,
                back_ms,
            } => {
                for node in controllers {
                    let back = Duration::from_millis(*back_ms);
                    self.controllers.kill(*node, now + back);
                }
            }
            Fault::Cancel { count } => self.users.cancel(*count, now),
            _ => {}
        }
    }

    fn pauses(&mut self, now: Duration) {
        for node in 0..self.addresses.public.len() {
            let pauses = self.faults.iter().any(|t| {
                matches!(t.fault, Fault::Pause { controller } if controller == node) && t.lasts(now)
            });
            self.controllers.pause(node, pauses);
        }
    }

    fn record(self, options: &Options, seed: u64, interrupted: bool) -> Record {
        let (accepted, open) = self.users.counts();
        let site = self.site.borrow();
        let broken = site.rules.violations.iter().map(|(at, rule, what)| Break {
            at_ms: at.as_millis() as u64,
            rule: format!("{rule:?}"),
            what: what.clone(),
        });
        Record {
            seed,
            controllers: options.controllers,
            machines: options.machines,
            timing: site.timing,
            seconds: site.now().as_secs(),
            too_old: site.state.too_old,
            accepted,
            open,
            started: site.rules.started,
            done: site.rules.done.len(),
            lost: site.rules.lost,
            broken: broken.collect(),
            deaths: self.controllers.deaths.clone(),
            violations: self.controllers.violations(),
            interrupted,
            faults: self.faults.clone(),
        }
    }
}
