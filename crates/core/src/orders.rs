//! Orders to workers: in answers to their reports, and at once.

use std::time::Duration;

use log::Level;
use oliveshift_wire::{
    TaskId, decode, encode,
    worker::{DirectOrders, Order, Report, TaskReport, TaskState},
};

use crate::{
    assigned_tasks::Origin,
    attempt::{AbsenceProof, Attempt, StartRefusal},
    call::{Method, Reply, Target},
    controller::{Controller, Pending},
    invariants::Violation,
    machine::Machine,
    records::Term,
};

/// When to give direct orders up.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// How long to wait after direct orders that got no answer; doubled with each
/// more in a row, so that hundreds of cut machines don't take up our sockets.
const PAUSE: Duration = Duration::from_millis(1000);
const MOST_DOUBLED: u32 = 3;
/// How long to wait for a socket.
const CROWDED: Duration = Duration::from_millis(50);

impl Controller {
    /// The orders that go with the answer to the report numbered `seq`: all
    /// that is still wanted, as every order may be repeated.
    pub(crate) fn orders_in_answer(&mut self, name: &str, seq: u64) -> Vec<Order> {
        let mut orders = self.stops(name, true);
        orders.extend(self.forgets(name));
        let Some(machine) = self.machines.get(name) else {
            return orders;
        };
        for task in machine.bound_tasks.clone() {
            let bound = self.assigned_tasks.get(&task).and_then(|s| s.bound());
            if bound.is_some_and(|b| !b.listed && b.stop.is_none()) {
                orders.extend(self.start_order(name, &task, seq));
            }
        }
        orders
    }

    /// Orders to stop, for tasks that have to and for those that have no
    /// business here. `all`: those ordered directly before as well.
    fn stops(&mut self, name: &str, all: bool) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(machine) = self.machines.get(name) else {
            return orders;
        };
        for task in &machine.bound_tasks {
            let Some(bound) = self
                .assigned_tasks
                .get_mut(task)
                .and_then(|s| s.bound_mut())
            else {
                continue;
            };
            let attempt = bound.attempt;
            let Some(stop) = &mut bound.stop else {
                continue;
            };
            if !all && stop.sent {
                continue;
            }
            if !bound.listed {
                if !all || !machine.may_start_late(task, attempt) {
                    continue;
                }
                // A start that may yet arrive can't be taken back. Once the
                // worker has known the attempt, though, it starts no more.
                orders.push(Order::Start {
                    task: task.clone(),
                    attempt,
                });
            }
            stop.sent = true;
            orders.push(Order::Stop {
                task: task.clone(),
                attempt,
                grace_s: stop.grace.as_secs_f64(),
            });
        }
        for entry in &machine.tasks {
            let bound = self.assigned_tasks.get(&entry.task).and_then(|s| s.bound());
            let here = bound.is_some_and(|b| b.machine == name && b.attempt == entry.attempt);
            if entry.state != TaskState::Exited && !here {
                orders.push(Order::Stop {
                    task: entry.task.clone(),
                    attempt: entry.attempt,
                    grace_s: 0.0,
                });
            }
        }
        orders
    }

    /// Ended attempts whose outcome is recorded or of no interest, and of
    /// which no start can arrive any more: such a start would run again.
    fn forgets(&self, name: &str) -> Vec<Order> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let may_forget = |entry: &&TaskReport| {
            let assigned = self.assigned_tasks.get(&entry.task);
            let attempt = Attempt {
                machine,
                name,
                assigned,
            };
            attempt.may_forget(entry).is_ok()
        };
        let forgotten = machine.tasks.iter().filter(may_forget);
        forgotten
            .inspect(|entry| log::debug!("{}: {name} may forget it", entry.task))
            .map(|entry| Order::Forget {
                task: entry.task.clone(),
                attempt: entry.attempt,
            })
            .collect()
    }

    /// The order to start a task that was placed on a machine, with whatever carries
    /// it: the answer to a report of this number, or direct orders (0).
    fn start_order(&mut self, name: &str, task: &TaskId, carried_by: u64) -> Option<Order> {
        let tenure = self.may_act().then(|| self.store.tenure());
        let machine = self.machines.get(name)?;
        let assigned = self.assigned_tasks.get(task)?;
        let bound = assigned.bound()?;
        let attempt = bound.attempt;
        let decided = Attempt {
            machine,
            name,
            assigned: Some(assigned),
        };
        let decision = decided.may_start(bound, tenure);
        #[cfg(feature = "sabotage")]
        let decision = match decision {
            Err(StartRefusal::NoTenure(_))
                if self.sabotage == Some(crate::Sabotage::StaleEvidence) =>
            {
                Ok(())
            }
            decision => decision,
        };
        if let Err(why) = decision {
            log::debug!("{task}: attempt {attempt} is not started on {name}: {why:?}");
            if let StartRefusal::NoTenure(evidence) = why {
                let task = task.clone();
                self.invariants.report(&Violation::StartWithoutTenure {
                    task,
                    attempt,
                    evidence,
                });
            }
            return None;
        }
        let level = match bound.evidence.and_then(|e| e.silent_until()) {
            Some(_) => Level::Info,
            None => Level::Debug,
        };
        log::log!(
            level,
            "{task}: attempt {attempt} is started on {name}, session {}, term {}, contact {:.1?} ago, as {}",
            bound.session,
            machine.term,
            self.contact_age().unwrap_or_default(),
            bound
                .evidence
                .map_or("found there".to_owned(), |e| e.to_string()),
        );
        self.assigned_tasks
            .get_mut(task)?
            .bound_mut()?
            .start_sent_with = Some(carried_by);
        let task = task.clone();
        Some(Order::Start { task, attempt })
    }

    /// Sends what can't wait for the next report.
    pub(crate) fn send_orders(&mut self) {
        if !self.may_act() {
            return;
        }
        let now = self.now;
        for name in self.order_queue.take_due(now) {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            if machine.orders_in_flight {
                // The reply to what is under way brings it here again.
                continue;
            }
            if now < machine.next_orders_at {
                self.order_queue.insert_at(machine.next_orders_at, name);
                continue;
            }
            let unresponsive = machine.unanswered_orders > 0;
            if !self.sockets.may_send_order(unresponsive) {
                self.order_queue.insert_at(now + CROWDED, name);
                continue;
            }
            let probe = !machine.is_cleared();
            let (token, session) = (machine.term, machine.session);
            let addr = machine.record.addr.clone();
            let mut orders = self.stops(&name, false);
            let mut starts = Vec::new();
            let bound = self.machines.get(&name).map(|m| m.bound_tasks.clone());
            for task in bound.into_iter().flatten() {
                let bound = self.assigned_tasks.get(&task).and_then(|s| s.bound());
                if bound.is_none_or(|b| b.start_sent_with.is_some() || b.stop.is_some()) {
                    continue;
                }
                if let Some(Order::Start { task, attempt }) = self.start_order(&name, &task, 0) {
                    starts.push((task.clone(), attempt));
                    orders.push(Order::Start { task, attempt });
                }
            }
            if orders.is_empty() && !probe {
                continue;
            }
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.orders_in_flight = true;
                machine.starts_in_flight = starts.clone();
                if probe {
                    machine.next_orders_at = now + PAUSE;
                }
            }
            let body = encode(&DirectOrders {
                token,
                session,
                orders,
            });
            let pending = Pending::Orders {
                machine: name,
                starts,
                term: token,
                unresponsive,
            };
            self.call(
                Target::Worker(addr),
                Method::Post,
                "/do".into(),
                body,
                TIMEOUT,
                pending,
            );
        }
    }

    pub(crate) fn orders_answered(
        &mut self,
        name: &str,
        starts: &[(TaskId, u64)],
        term: Term,
        reply: &Reply,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.term != term {
            return;
        }
        machine.orders_in_flight = false;
        machine.starts_in_flight.clear();
        self.order_queue.insert(name.to_owned());
        let answered = matches!(reply, Reply::Answer { .. });
        if !answered {
            machine.unanswered_orders = machine.unanswered_orders.saturating_add(1);
        }
        let doubled = machine
            .unanswered_orders
            .saturating_sub(1)
            .min(MOST_DOUBLED);
        let pause = self.now + PAUSE * 2u32.pow(doubled);
        match reply {
            Reply::Answer { status, body } if matches!(status, 200 | 409) => {
                let executed = *status == 200;
                let Ok(report) = decode::<Report>(body) else {
                    return self.taint(name, starts);
                };
                if report.machine != name {
                    // Its address has passed to another machine.
                    self.unsent(name, starts);
                    return;
                }
                if report.token > term {
                    return;
                }
                let was = machine.session;
                self.apply_report(report, Origin::Orders);
                if !executed {
                    self.unsent(name, starts);
                    let same = |m: &Machine| m.session == was;
                    if self.machines.get(name).is_some_and(same)
                        && let Some(machine) = self.machines.get_mut(name)
                    {
                        machine.next_orders_at = pause;
                    } else if let Some(machine) = self.machines.get_mut(name) {
                        machine.next_orders_at = Duration::ZERO;
                    }
                }
            }
            Reply::Answer { status: 400, .. } | Reply::NotSent => {
                machine.next_orders_at = pause;
                self.unsent(name, starts);
            }
            Reply::Answer { .. } | Reply::Lost => {
                machine.next_orders_at = pause;
                self.taint(name, starts);
            }
        }
    }

    /// The starts may still be executed, as long as the session lasts.
    fn taint(&mut self, name: &str, starts: &[(TaskId, u64)]) {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoLateStarts) {
            return self.unsent(name, starts);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.unanswered_starts.extend(starts.iter().cloned());
        }
    }

    /// The starts have surely not been executed and go out once more.
    fn unsent(&mut self, name: &str, starts: &[(TaskId, u64)]) {
        for (task, attempt) in starts {
            let Some(assigned) = self.assigned_tasks.get_mut(task) else {
                continue;
            };
            let Some(bound) = assigned.bound_mut() else {
                continue;
            };
            let same = bound.machine == name && bound.attempt == *attempt;
            if !same || bound.listed || bound.start_sent_with != Some(0) {
                continue;
            }
            bound.start_sent_with = None;
            if bound.stop.is_some() {
                self.release_task(task, AbsenceProof::NotStarted, Duration::ZERO);
            }
        }
        self.order_queue.insert(name.to_owned());
    }
}
