//! Machines, and the reports of their workers.

use std::time::Duration;

use oliveshift_core::{Listener, Method, Request, SocketId};
use oliveshift_wire::{
    decode, encode,
    worker::{Redirect, Report, ReportAnswer},
};

use super::{CONTROLLER_COUNT, Event, MS, REPORT_TIMEOUT, Requester, World, network::complete};
use crate::{
    contacts::ReportOutcome,
    evidence::Hung,
    faults::{Direction, Fault, MAX_REPORT_DELAY},
};

/// Whether a fault that selects machines by their number modulo 3 applies to this
/// machine.
pub(super) fn is_selected(name: &str, machine_group: usize) -> bool {
    let number: usize = name.trim_start_matches("vm-").parse().unwrap_or(0);
    number % 3 == machine_group
}

/// Maximum number of copies of reports that are kept for the next leader.
const MAX_KEPT_REPORTS: usize = 60;

impl World {
    /// Stops a machine and its tasks.
    pub(super) fn kill(&mut self, name: &str) {
        if let Some(mut worker) = self.workers.remove(name) {
            worker.drop_tasks(&mut self.rules);
        }
        self.dead_machines.insert(name.to_owned());
    }

    /// Restarts machines, which lose their tasks and what their workers know.
    pub(super) fn restart_machines(&mut self, machine_group: usize, remembers_session: bool) {
        let now = self.now;
        let selected = self.workers.values_mut();
        for worker in selected.filter(|w| is_selected(&w.name, machine_group)) {
            let (machines, tasks) = self.evidence.machine_restarts;
            self.evidence.machine_restarts = (machines + 1, tasks + worker.tasks());
            worker.restart(now, remembers_session, &mut self.rules);
        }
    }

    /// Returns the end of the hang of a machine, if it hangs now.
    pub(super) fn hangs_until(&self, name: &str) -> Option<Duration> {
        self.faults.iter().find_map(|f| match f {
            Fault::WorkerHang {
                machine_group,
                from,
                until,
            } if is_selected(name, *machine_group) && (*from..*until).contains(&self.now) => {
                Some(*until)
            }
            _ => None,
        })
    }

    /// Whether answers to reports of a machine and direct orders to it are lost.
    pub(super) fn are_answers_lost(&self, name: &str) -> bool {
        self.is_fault_active(
            |f| matches!(f, Fault::AnswersLost { machine_group, .. } if is_selected(name, *machine_group)),
        )
    }

    /// Whether no report of a machine reaches a controller.
    pub(super) fn are_reports_lost(&self, name: &str) -> bool {
        self.is_fault_active(
            |f| matches!(f, Fault::ReportsLost { machine_group, .. } if is_selected(name, *machine_group)),
        )
    }

    /// Resumes the machines that a hang of length `after` had selected.
    pub(super) fn resume_machines(&mut self, machine_group: usize, after: Duration) {
        let now = self.now;
        for worker in self
            .workers
            .values_mut()
            .filter(|w| is_selected(&w.name, machine_group))
        {
            worker.resume(after);
            let tasks = worker.tasks();
            self.evidence.hung.push(Hung { at: now, tasks });
        }
    }

    /// Advances all machines to the current time.
    pub(super) fn advance_machines(&mut self) {
        let now = self.now;
        let hung_machines: Vec<_> = self
            .workers
            .keys()
            .filter(|name| self.hangs_until(name).is_some())
            .cloned()
            .collect();
        for (name, worker) in &mut self.workers {
            if hung_machines.binary_search(name).is_ok() {
                worker.check_lease_while_hung(now, &mut self.rules);
            } else {
                worker.advance(now, &mut self.rules);
            }
        }
    }

    pub(super) fn send_report(&mut self, name: &str) {
        let now = self.now;
        let (hangs, reports_lost) = (
            self.hangs_until(name).is_some(),
            self.are_reports_lost(name),
        );
        let jitter = match self.fixed_delays {
            true => 1.0,
            false => self.rng.f64() * 0.5 + 0.75,
        };
        let latency = self.draw_latency();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if hangs {
            return;
        }
        if let Some((_, sent)) = worker.in_flight {
            if now > sent + REPORT_TIMEOUT {
                worker.in_flight = None;
                worker.target = (worker.target + 1) % CONTROLLER_COUNT;
                worker.report_at = now + MS * 1000;
            }
            return;
        }
        if now < worker.report_at {
            return;
        }
        let message = worker.report(now);
        let body = encode(&message);
        self.load.record_report(&message, body.len());
        let session = worker.session();
        let node = worker.target;
        if let Some((old, incarnation, id)) = self.report_connections.get(name).copied()
            && old != node
        {
            // The worker has switched to another controller and closed the old
            // connection.
            self.report_connections.remove(name);
            let at = self
                .worker_cut_until(old, name, Direction::FromMachine)
                .unwrap_or(now + latency);
            self.schedule(at, Event::ConnectionCloses(old, incarnation, id));
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.report_at = now + self.timing.report.mul_f64(jitter);
        self.next_id += 1;
        let report = self.next_id;
        worker.in_flight = Some((report, now));
        worker.contacts.sent(now, node);
        self.sent_reports.insert(report, (session, now));
        let at = match self.worker_cut_until(node, name, Direction::FromMachine) {
            Some(until) => until + latency,
            None => now + latency,
        };
        if reports_lost {
            // The connection to the controller is not established.
            return;
        }
        let late = self.draw_one_in(|f| match f {
            Fault::LateReports { one_in, .. } => Some(*one_in),
            _ => None,
        });
        if late {
            let copy = self.new_id();
            let to = self.rng.usize(0..CONTROLLER_COUNT);
            let lag = MS * self.rng.u32(2000..MAX_REPORT_DELAY.as_millis() as u32);
            let again = Event::ReportArrives(to, copy, body.clone(), name.to_owned());
            self.schedule(now + lag, again);
        }
        let keeps = self.draw_one_in(|f| match f {
            Fault::ReportsForNextLeader { one_in, .. } => Some(*one_in),
            _ => None,
        });
        if keeps && self.reports_for_next_leader.len() < MAX_KEPT_REPORTS {
            self.reports_for_next_leader
                .push((body.clone(), name.to_owned()));
        }
        if let Some(lag) = self.draw_duplicate_lag() {
            let copy = self.new_id();
            let to = self.rng.usize(0..CONTROLLER_COUNT);
            let again = Event::ReportArrives(to, copy, body.clone(), name.to_owned());
            self.schedule(now + lag, again);
        }
        self.schedule(
            at,
            Event::ReportArrives(node, report, body, name.to_owned()),
        );
    }

    pub(super) fn deliver_report(&mut self, node: usize, report: u64, body: Vec<u8>, name: String) {
        self.record_report(node, report, &body);
        if self.nodes[node].controller.is_none() {
            let at = self.now + MS;
            return self.schedule(at, Event::ReportAnswer(report, name, 0, Vec::new()));
        }
        let conn = self.new_id();
        let incarnation = self.nodes[node].incarnation;
        let requester = Requester::Worker {
            name: name.clone(),
            report,
        };
        let connection = self.report_connections.get(&name).copied();
        let connection = connection.filter(|l| (l.0, l.1) == (node, incarnation));
        let connection = connection.filter(|l| self.nodes[node].sockets.is_open(l.2));
        let socket = connection.map_or(SocketId(conn), |l| l.2);
        if connection.is_none() {
            if !self.open_connection(node, socket, Listener::Public) {
                return self.abort_request(requester, node);
            }
            let waits = self.workers.get(&name).and_then(|w| w.in_flight);
            if waits.is_some_and(|(id, _)| id == report) {
                self.report_connections
                    .insert(name, (node, incarnation, socket));
            } else {
                // The worker no longer waits for this report, so its connection closes
                // shortly after.
                self.schedule(
                    self.now + MS,
                    Event::ConnectionCloses(node, incarnation, socket),
                );
            }
        }
        self.pending_requests
            .insert((node, incarnation, conn), (requester, socket));
        let request = Request {
            conn,
            socket,
            listener: Listener::Public,
            method: Method::Post,
            path: "/checkin".into(),
            body: complete(body),
            receipt_time: Duration::ZERO,
        };
        self.deliver_request(node, connection.is_none(), request);
    }

    /// Delivers the kept copies of reports to every controller within 300 ms after a
    /// leader change.
    pub(super) fn redeliver_reports(&mut self, leader: usize) {
        for (body, name) in std::mem::take(&mut self.reports_for_next_leader) {
            for node in 0..CONTROLLER_COUNT {
                let copy = self.new_id();
                let lag = MS * self.rng.u32(0..300);
                self.evidence.reports_for_leader += usize::from(node == leader);
                let again = Event::ReportArrives(node, copy, body.clone(), name.clone());
                self.schedule(self.now + lag, again);
            }
        }
    }

    /// Records whether a report arrives after a newer one of its machine, and whether
    /// it was sent before a leader change and arrives at the new leader.
    pub(super) fn record_report(&mut self, node: usize, report: u64, body: &[u8]) {
        let Ok(message) = decode::<Report>(body) else {
            return;
        };
        let this = (message.session, message.seq);
        let newest = self.newest_reports.entry(message.machine).or_default();
        if this < *newest {
            let old_session = this.0 < newest.0;
            self.evidence.old_reports.push((self.now, old_session));
        }
        *newest = this.max(*newest);
        let sent = self.sent_reports.get(&report).map(|(_, sent)| *sent);
        if let (Some(sent), Some((since, leader))) = (sent, self.evidence.leader_changes.last())
            && sent < *since
            && *leader == node
        {
            self.evidence.reports_across_leaders.push(self.now);
        }
    }

    pub(super) fn report_answered(&mut self, report: u64, name: &str, status: u16, body: &[u8]) {
        let now = self.now;
        if let Some(until) = self.hangs_until(name) {
            // The worker reads the answer when the machine resumes.
            let (name, body) = (name.to_owned(), body.to_vec());
            return self.schedule(until + MS, Event::ReportAnswer(report, name, status, body));
        }
        let Some((session, sent)) = self.sent_reports.remove(&report) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let current = worker.in_flight.is_some_and(|(id, _)| id == report);
        if !current || now > sent + REPORT_TIMEOUT {
            return;
        }
        worker.in_flight = None;
        self.slowest_report_answer = self.slowest_report_answer.max(now - sent);
        match status {
            200 if worker.session() == session => {
                if let Ok(answer) = decode::<ReportAnswer>(body) {
                    self.evidence.lease_renewals.push((now, worker.target));
                    worker.handle_report_answer(now, sent, answer, &mut self.rules);
                }
            }
            200 => {}
            421 => {
                let redirect = decode::<Redirect>(body).unwrap_or_default();
                let to = redirect.report_to.and_then(|n| {
                    let node: usize = n.trim_start_matches("n-").parse().ok()?;
                    (node != worker.target).then_some(node)
                });
                worker.contacts.answered(match to {
                    Some(to) => ReportOutcome::RedirectedTo(to),
                    None => ReportOutcome::Refused(status),
                });
                worker.target = to.unwrap_or((worker.target + 1) % CONTROLLER_COUNT);
                let wait = if to.is_some() { 100 } else { 1000 };
                worker.report_at = now + MS * wait;
            }
            _ => {
                worker.contacts.answered(ReportOutcome::Refused(status));
                worker.target = (worker.target + 1) % CONTROLLER_COUNT;
                worker.report_at = now + MS * 1000;
            }
        }
    }
}
