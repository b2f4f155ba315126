//! Workers: their reports, and the orders that they get.

use std::{rc::Rc, time::Duration};

use async_executor::LocalExecutor;
use async_io::Timer;
use oliveshift_core::Method;
use oliveshift_wire::{
    decode, encode,
    worker::{DirectOrders, Redirect, ReportAnswer},
};

use crate::{
    controllers::Addresses,
    faults::Fault,
    http::{Asked, Told, ask},
    site::{Shared, request, until},
};

/// Time between two reports, give or take a quarter.
const REPORT_EVERY: Duration = Duration::from_secs(2);
/// For how long a worker waits for the answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// How long it waits before it tries the next controller.
const TRY_NEXT: Duration = Duration::from_secs(1);
/// When held messages arrive, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2000..16_000;

/// Answers direct orders, or says what the worker would report.
pub async fn answer(site: Shared, name: Rc<str>, asked: Asked) -> Option<Told> {
    let hangs = site.borrow().hangs(&name);
    if let Some(over) = hangs {
        until(&site, over).await;
    }
    if site.borrow().is_deaf(&name) {
        return None;
    }
    let orders = decode::<DirectOrders>(&asked.body);
    if orders.is_ok_and(|o| site.borrow().is_holder_cut(o.token, &name)) {
        return None;
    }
    if asked.path == "/inspect" {
        let report = site.borrow_mut().report(&name)?;
        return Some(Told {
            status: 200,
            body: encode(&report),
        });
    }
    let late = site.borrow_mut().is_chosen(|f| match f {
        Fault::LateOrders { one_in } => Some(*one_in),
        _ => None,
    });
    if late {
        let lag = site.borrow_mut().rng.u64(LATE_MS);
        Timer::after(Duration::from_millis(lag)).await;
    }
    let told = execute(&site, &name, &asked.body);
    told.filter(|_| !late)
}

fn execute(site: &Shared, name: &str, body: &[u8]) -> Option<Told> {
    let mut site = site.borrow_mut();
    site.pass();
    let Ok(orders) = decode::<DirectOrders>(body) else {
        return Some(Told {
            status: 400,
            body: Vec::new(),
        });
    };
    let now = site.now();
    let site = &mut *site;
    let machine = site.machines.get_mut(name)?;
    let status = machine
        .worker
        .handle_direct_orders(now, orders, &mut site.rules);
    let body = encode(&site.report(name)?);
    Some(Told { status, body })
}

/// Sends the reports that are due.
pub fn reports(executor: &Rc<LocalExecutor<'static>>, site: &Shared, addresses: &Rc<Addresses>) {
    let now = site.borrow().now();
    let due: Vec<String> = {
        let site = site.borrow();
        let machines = site.machines.iter().filter(|(name, machine)| {
            let worker = &machine.worker;
            worker.in_flight.is_none() && now >= worker.report_at && site.hangs(name).is_none()
        });
        machines.map(|(name, _)| name.clone()).collect()
    };
    for name in due {
        let report = send_report(site.clone(), name, addresses.clone(), executor.clone());
        executor.spawn(report).detach();
    }
}

async fn send_report(
    site: Shared,
    name: String,
    addresses: Rc<Addresses>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let Some((target, session, sent, asked)) = begin_report(&site, &name) else {
        return;
    };
    let copied = site.borrow_mut().is_chosen(|f| match f {
        Fault::LateReports { one_in } => Some(*one_in),
        _ => None,
    });
    if copied {
        let (lag, to) = {
            let rng = &mut site.borrow_mut().rng;
            (rng.u64(LATE_MS), rng.usize(0..addresses.public.len()))
        };
        let (address, copy) = (addresses.public[to], asked.clone());
        let again = async move {
            Timer::after(Duration::from_millis(lag)).await;
            ask(address, copy, PATIENCE).await;
        };
        executor.spawn(again).detach();
    }
    let is_lost = site.borrow().is_mute(&name) || site.borrow().is_cut(target, &name);
    let told = match is_lost {
        true => None,
        false => ask(addresses.public[target], asked, PATIENCE).await,
    };
    let hangs = site.borrow().hangs(&name);
    if let Some(over) = hangs {
        until(&site, over).await;
    }
    let lost_now = site.borrow().is_deaf(&name) || site.borrow().is_cut(target, &name);
    let told = told.filter(|_| !lost_now);
    end_report(&site, &name, session, sent, told, &addresses);
}

/// Which controller a report goes to, its session, when it was sent, and the request.
fn begin_report(site: &Shared, name: &str) -> Option<(usize, u64, Duration, Asked)> {
    let mut site = site.borrow_mut();
    site.pass();
    let now = site.now();
    let body = encode(&site.report(name)?);
    let next = REPORT_EVERY.mul_f64(0.75 + 0.5 * site.rng.f64());
    let worker = &mut site.machines.get_mut(name)?.worker;
    worker.report_at = now + next;
    worker.in_flight = Some((0, now));
    let asked = request(Method::Post, "/checkin", body);
    Some((worker.target, worker.session(), now, asked))
}

fn end_report(
    site: &Shared,
    name: &str,
    session: u64,
    sent: Duration,
    told: Option<Told>,
    addresses: &Addresses,
) {
    let mut site = site.borrow_mut();
    site.pass();
    let now = site.now();
    let soon = Duration::from_millis(site.rng.u64(0..500));
    let site = &mut *site;
    let Some(machine) = site.machines.get_mut(name) else {
        return;
    };
    let worker = &mut machine.worker;
    worker.in_flight = None;
    let told = told.filter(|_| now <= sent + PATIENCE);
    match told {
        Some(Told { status: 200, body }) => {
            if worker.session() == session
                && let Ok(answer) = decode::<ReportAnswer>(&body)
            {
                worker.handle_report_answer(now, sent, answer, &mut site.rules);
            }
        }
        Some(Told { status: 421, body }) => {
            let named = decode::<Redirect>(&body).ok().and_then(|r| r.report_to);
            let named = named.and_then(|node| addresses.number_of(&node));
            match named.filter(|n| *n != worker.target) {
                Some(target) => {
                    worker.target = target;
                    worker.report_at = now + soon;
                }
                None => try_next(worker, now, addresses),
            }
        }
        _ => try_next(worker, now, addresses),
    }
}

fn try_next(worker: &mut oliveshift_testkit::worker::Worker, now: Duration, addresses: &Addresses) {
    worker.target = (worker.target + 1) % addresses.public.len();
    worker.report_at = now + TRY_NEXT;
}
