//! Simulated workers: their reports, and the orders they receive.

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
    http::{HttpRequest, HttpResponse, send_with_timeout},
    site::{SharedSite, controller_request, wait_until},
};

/// Mean time between two reports; each interval varies by up to a quarter.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker reports to the next controller after a failed report.
const RETARGET_DELAY: Duration = Duration::from_secs(1);
/// Delay of late orders and of copied reports, in milliseconds.
const LATE_DELAY_MS: std::ops::Range<u64> = 2000..16_000;
/// Delay of copies of direct orders, in milliseconds.
const COPY_DELAY_MS: std::ops::Range<u64> = 1000..8000;

/// Handles a request to a worker: direct orders, or `/inspect`, which is answered with the
/// worker's next report. `None` closes the connection without an answer.
pub async fn handle_request(
    executor: Rc<LocalExecutor<'static>>,
    site: SharedSite,
    name: Rc<str>,
    request: HttpRequest,
) -> Option<HttpResponse> {
    let hangs = site.borrow().hangs_until(&name);
    if let Some(hang_end) = hangs {
        wait_until(&site, hang_end).await;
    }
    if site.borrow().loses_answers(&name) {
        return None;
    }
    let orders = decode::<DirectOrders>(&request.body);
    if orders.is_ok_and(|o| site.borrow().is_holder_partitioned(o.token, &name)) {
        return None;
    }
    if request.path == "/inspect" {
        let report = site.borrow_mut().next_report(&name)?;
        return Some(HttpResponse {
            status: 200,
            body: encode(&report),
        });
    }
    let late = site.borrow_mut().is_affected(|f| match f {
        Fault::LateOrders { one_in } => Some(*one_in),
        _ => None,
    });
    if late {
        let delay_ms = site.borrow_mut().rng.u64(LATE_DELAY_MS);
        Timer::after(Duration::from_millis(delay_ms)).await;
    }
    let response = execute(&site, &name, &request.body);
    if response.as_ref().is_some_and(|r| r.status == 200) {
        copy_orders(&executor, &site, &name, &request.body);
    }
    response.filter(|_| !late)
}

/// Lets a copy of executed orders arrive later, if a fault affects them.
fn copy_orders(
    executor: &Rc<LocalExecutor<'static>>,
    site: &SharedSite,
    name: &Rc<str>,
    body: &[u8],
) {
    let copied = site.borrow_mut().is_affected(|f| match f {
        Fault::CopiedOrders { one_in } => Some(*one_in),
        _ => None,
    });
    if !copied {
        return;
    }
    let delay_ms = site.borrow_mut().rng.u64(COPY_DELAY_MS);
    let (site, name, body) = (site.clone(), Rc::clone(name), body.to_vec());
    let late_copy = async move {
        Timer::after(Duration::from_millis(delay_ms)).await;
        let hangs = site.borrow().hangs_until(&name);
        if let Some(hang_end) = hangs {
            wait_until(&site, hang_end).await;
        }
        site.borrow_mut().record_copy(&name, &body);
        execute(&site, &name, &body);
    };
    executor.spawn(late_copy).detach();
}

fn execute(site: &SharedSite, name: &str, body: &[u8]) -> Option<HttpResponse> {
    let mut site = site.borrow_mut();
    site.advance();
    let Ok(orders) = decode::<DirectOrders>(body) else {
        return Some(HttpResponse {
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
    let body = encode(&site.next_report(name)?);
    Some(HttpResponse { status, body })
}

/// Sends the reports that are due.
pub fn send_due_reports(
    executor: &Rc<LocalExecutor<'static>>,
    site: &SharedSite,
    addresses: &Rc<Addresses>,
) {
    let now = site.borrow().now();
    let due: Vec<String> = {
        let site = site.borrow();
        let machines = site.machines.iter().filter(|(name, machine)| {
            let worker = &machine.worker;
            worker.in_flight.is_none()
                && now >= worker.report_at
                && site.hangs_until(name).is_none()
        });
        machines.map(|(name, _)| name.clone()).collect()
    };
    for name in due {
        let report = send_report(site.clone(), name, addresses.clone(), executor.clone());
        executor.spawn(report).detach();
    }
}

async fn send_report(
    site: SharedSite,
    name: String,
    addresses: Rc<Addresses>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let Some((target, session, sent, request)) = begin_report(&site, &name) else {
        return;
    };
    let copied = site.borrow_mut().is_affected(|f| match f {
        Fault::LateReports { one_in } => Some(*one_in),
        _ => None,
    });
    if copied {
        let (delay_ms, to) = {
            let rng = &mut site.borrow_mut().rng;
            (rng.u64(LATE_DELAY_MS), rng.usize(0..addresses.public.len()))
        };
        let (address, copy) = (addresses.public[to], request.clone());
        let late_copy = async move {
            Timer::after(Duration::from_millis(delay_ms)).await;
            send_with_timeout(address, copy, REPORT_TIMEOUT).await;
        };
        executor.spawn(late_copy).detach();
    }
    let is_lost = site.borrow().loses_reports(&name) || site.borrow().is_partitioned(target, &name);
    let response = match is_lost {
        true => None,
        false => send_with_timeout(addresses.public[target], request, REPORT_TIMEOUT).await,
    };
    let hangs = site.borrow().hangs_until(&name);
    if let Some(hang_end) = hangs {
        wait_until(&site, hang_end).await;
    }
    let answer_lost =
        site.borrow().loses_answers(&name) || site.borrow().is_partitioned(target, &name);
    let response = response.filter(|_| !answer_lost);
    handle_report_response(&site, &name, session, sent, response, &addresses);
}

/// Builds a report. Returns the index of the controller that it goes to, the worker's session,
/// the time of sending, and the request.
fn begin_report(site: &SharedSite, name: &str) -> Option<(usize, u64, Duration, HttpRequest)> {
    let mut site = site.borrow_mut();
    site.advance();
    let now = site.now();
    let body = encode(&site.next_report(name)?);
    let next = REPORT_INTERVAL.mul_f64(0.75 + 0.5 * site.rng.f64());
    let worker = &mut site.machines.get_mut(name)?.worker;
    worker.report_at = now + next;
    worker.in_flight = Some((0, now));
    let request = controller_request(Method::Post, "/checkin", body);
    Some((worker.target, worker.session(), now, request))
}

fn handle_report_response(
    site: &SharedSite,
    name: &str,
    session: u64,
    sent: Duration,
    response: Option<HttpResponse>,
    addresses: &Addresses,
) {
    let mut site = site.borrow_mut();
    site.advance();
    let now = site.now();
    let redirect_delay = Duration::from_millis(site.rng.u64(0..500));
    let site = &mut *site;
    let Some(machine) = site.machines.get_mut(name) else {
        return;
    };
    let worker = &mut machine.worker;
    worker.in_flight = None;
    let response = response.filter(|_| now <= sent + REPORT_TIMEOUT);
    match response {
        Some(HttpResponse { status: 200, body }) => {
            if worker.session() == session
                && let Ok(answer) = decode::<ReportAnswer>(&body)
            {
                worker.handle_report_answer(now, sent, answer, &mut site.rules);
            }
        }
        Some(HttpResponse { status: 421, body }) => {
            let target = decode::<Redirect>(&body).ok().and_then(|r| r.report_to);
            let target = target.and_then(|node| addresses.controller_index(&node));
            match target.filter(|n| *n != worker.target) {
                Some(target) => {
                    worker.target = target;
                    worker.report_at = now + redirect_delay;
                }
                None => target_next_controller(worker, now, addresses),
            }
        }
        _ => target_next_controller(worker, now, addresses),
    }
}

fn target_next_controller(
    worker: &mut oliveshift_testkit::worker::Worker,
    now: Duration,
    addresses: &Addresses,
) {
    worker.target = (worker.target + 1) % addresses.public.len();
    worker.report_at = now + RETARGET_DELAY;
}
