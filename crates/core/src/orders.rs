//! Orders to workers, sent with answers to their reports or directly.

use std::{fmt, time::Duration};

use oliveshift_wire::{
    TaskId, decode, encode,
    worker::{DirectOrders, Order, Report, ReportAnswer, TaskReport, TaskState},
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

/// Timeout of direct orders.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Backoff after direct orders without an answer. Doubled with each further one in a
/// row, so that hundreds of unreachable machines don't use up the sockets.
const ORDERS_BACKOFF: Duration = Duration::from_millis(1000);
/// How often the backoff is doubled at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Delay before the next attempt when no socket is available.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What carries an order: the answer to the report of this number, or direct orders (0).
struct Carrier(u64);

impl fmt::Display for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("direct orders"),
            seq => write!(f, "the answer to report {seq}"),
        }
    }
}

impl Controller {
    /// The answer to a worker's newest report, numbered `seq`: all orders that still apply,
    /// since orders may be repeated.
    pub(crate) fn report_answer(&mut self, name: &str, seq: u64) -> ReportAnswer {
        let token = self.answer_token(name);
        let orders = self.orders_in_answer(name, seq, token);
        ReportAnswer { token, orders }
    }

    /// The fencing token for an answer. It is raised when the worker lists ended attempts that
    /// it may forget under a higher one only.
    fn answer_token(&mut self, name: &str) -> u64 {
        let view = &self.view;
        let Some(machine) = self.machines.get_mut(name) else {
            return 0;
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::EarlyForget) {
            return machine.order_token;
        }
        if machine.retained_attempts() > 0 {
            machine.raise_order_token(view.lease_tokens(machine.block, machine.term));
        }
        machine.order_token
    }

    fn orders_in_answer(&mut self, name: &str, seq: u64, token: u64) -> Vec<Order> {
        let mut orders = self.stop_orders(name, true);
        orders.extend(self.forget_orders(name, token));
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

    /// Stop orders for bound attempts that must stop and for listed attempts that are not
    /// bound to the machine. With `include_sent`, stops that were sent before are repeated.
    fn stop_orders(&mut self, name: &str, include_sent: bool) -> Vec<Order> {
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
            if !include_sent && stop.sent {
                continue;
            }
            if !bound.listed {
                if !include_sent || !machine.direct_starts.may_take_effect(task, attempt) {
                    continue;
                }
                // A start that may still arrive can't be withdrawn. Sent along with the
                // stop, it makes the attempt known to the worker, which does not start a
                // known attempt again.
                orders.push(Order::Start {
                    task: task.clone(),
                    attempt,
                });
            }
            if !stop.sent {
                log::info!(
                    "{task}: stopping attempt {attempt} on {name}, session {}, term {}",
                    machine.session,
                    machine.term,
                );
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
                log::info!(
                    "{}: stopping attempt {} on {name}, which is not the current one, session {}, term {}",
                    entry.task,
                    entry.attempt,
                    machine.session,
                    machine.term,
                );
                orders.push(Order::Stop {
                    task: entry.task.clone(),
                    attempt: entry.attempt,
                    grace_s: 0.0,
                });
            }
        }
        orders
    }

    /// Forget orders for ended attempts whose outcome is recorded or not needed and of
    /// which no start can take effect once the worker has seen `token`.
    fn forget_orders(&self, name: &str, token: u64) -> Vec<Order> {
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
            let decision = attempt.may_forget(entry, token);
            #[cfg(feature = "sabotage")]
            let decision = match decision {
                Err(crate::attempt::ForgetRefusal::MayStartLate)
                    if self.sabotage == Some(crate::Sabotage::EarlyForget) =>
                {
                    Ok(())
                }
                decision => decision,
            };
            decision.is_ok()
        };
        let forgotten: Vec<_> = machine.tasks.iter().filter(may_forget).collect();
        if !forgotten.is_empty() {
            let attempts = forgotten
                .iter()
                .map(|t| format!("{}@{}", t.task, t.attempt));
            log::info!(
                "{name}: is to forget {}, session {}, token {token}",
                attempts.collect::<Vec<_>>().join(" "),
                machine.session,
            );
        }
        let orders = forgotten.into_iter().map(|entry| Order::Forget {
            task: entry.task.clone(),
            attempt: entry.attempt,
        });
        orders.collect()
    }

    /// The start order for a task that was placed on a machine, if it may start now.
    /// `carried_by` is the number of the report whose answer carries the order, or 0 for
    /// direct orders.
    fn start_order(&mut self, name: &str, task: &TaskId, carried_by: u64) -> Option<Order> {
        let tenure = self.may_act().then(|| self.store.tenure());
        let machine = self.machines.get(name)?;
        let assigned = self.assigned_tasks.get(task)?;
        let bound = assigned.bound()?;
        let attempt = bound.attempt;
        let candidate = Attempt {
            machine,
            name,
            assigned: Some(assigned),
        };
        let decision = candidate.may_start(bound, tenure);
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
            log::debug!("{task}: attempt {attempt} not started on {name}: {why:?}");
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
        log::info!(
            "{task}: starting attempt {attempt} on {name} by {}, session {}, term {}, contact {:.1?} ago, proof of absence: {}",
            Carrier(carried_by),
            bound.session,
            machine.term,
            self.contact_age().unwrap_or_default(),
            bound
                .evidence
                .map_or("none, found on the machine".to_owned(), |e| e.to_string()),
        );
        self.assigned_tasks
            .get_mut(task)?
            .bound_mut()?
            .start_sent_with = Some(carried_by);
        let task = task.clone();
        Some(Order::Start { task, attempt })
    }

    /// Sends direct orders: starts and stops that are not sent yet, and empty orders to
    /// machines that are not cleared.
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
                // The reply to the orders in flight queues the machine again.
                continue;
            }
            if now < machine.next_orders_at {
                self.order_queue.insert_at(machine.next_orders_at, name);
                continue;
            }
            let unresponsive = machine.unanswered_orders > 0;
            if !self.sockets.may_send_order(unresponsive) {
                self.order_queue.insert_at(now + SOCKET_RETRY_DELAY, name);
                continue;
            }
            let probe = !machine.is_cleared();
            let (term, token, session) = (machine.term, machine.order_token, machine.session);
            let allows_starts = machine.allows_direct_starts();
            let addr = machine.record.addr.clone();
            let mut orders = self.stop_orders(&name, false);
            let mut starts = Vec::new();
            let bound = self.machines.get(&name).filter(|_| allows_starts);
            let bound = bound.map(|m| m.bound_tasks.clone());
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
                for (task, attempt) in &starts {
                    machine.direct_starts.sent(task.clone(), *attempt, token);
                }
                if probe {
                    machine.next_orders_at = now + ORDERS_BACKOFF;
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
                term,
                unresponsive,
            };
            self.call(
                Target::Worker(addr),
                Method::Post,
                "/do".into(),
                body,
                ORDERS_TIMEOUT,
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
        self.order_queue.insert(name.to_owned());
        let is_answered = matches!(reply, Reply::Answer { .. });
        if !is_answered {
            machine.unanswered_orders = machine.unanswered_orders.saturating_add(1);
        }
        let doublings = machine
            .unanswered_orders
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let backed_off_until = self.now + ORDERS_BACKOFF * 2u32.pow(doublings);
        match reply {
            Reply::Answer { status, body } if matches!(status, 200 | 409) => {
                let is_executed = *status == 200;
                let Ok(report) = decode::<Report>(body) else {
                    return;
                };
                if report.machine != name {
                    // The address now belongs to another machine.
                    self.mark_unsent(name, starts);
                    return;
                }
                let tokens = self.view.lease_tokens(machine.block, term);
                if tokens.is_exceeded_by(report.token) {
                    return;
                }
                let previous_session = machine.session;
                self.apply_report(report, Origin::Orders);
                if !is_executed {
                    self.mark_unsent(name, starts);
                    let is_same = |m: &Machine| m.session == previous_session;
                    if self.machines.get(name).is_some_and(is_same)
                        && let Some(machine) = self.machines.get_mut(name)
                    {
                        machine.next_orders_at = backed_off_until;
                    } else if let Some(machine) = self.machines.get_mut(name) {
                        machine.next_orders_at = Duration::ZERO;
                    }
                }
            }
            Reply::Answer { status: 400, .. } | Reply::NotSent => {
                machine.next_orders_at = backed_off_until;
                self.mark_unsent(name, starts);
            }
            Reply::Answer { .. } | Reply::Lost => {
                machine.next_orders_at = backed_off_until;
                #[cfg(feature = "sabotage")]
                if self.sabotage == Some(crate::Sabotage::NoLateStarts) {
                    self.mark_unsent(name, starts);
                }
            }
        }
    }

    /// Marks starts as not sent that were certainly not executed, so that they are sent
    /// again. Tasks that must stop are released instead.
    fn mark_unsent(&mut self, name: &str, starts: &[(TaskId, u64)]) {
        for (task, attempt) in starts {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.direct_starts.not_executed(task, *attempt);
            }
            let Some(assigned) = self.assigned_tasks.get_mut(task) else {
                continue;
            };
            let Some(bound) = assigned.bound_mut() else {
                continue;
            };
            let is_same = bound.machine == name && bound.attempt == *attempt;
            if !is_same || bound.listed || bound.start_sent_with != Some(0) {
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
