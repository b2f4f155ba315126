//! Messages to and from controllers: latency, partitions, losses, duplicates and late
//! deliveries.

use std::time::Duration;

use oliveshift_core::{
    Call, CallId, CompleteBody, Input, Listener, Method, Reply, Request, SocketId, Target,
    records::{FormatLevel, Key},
    sockets::OutboundKind,
};
use oliveshift_wire::{
    decode, encode,
    state::Txn,
    worker::{DirectOrders, Order},
};

use super::{Event, MS, Requester, S, World, ZONES};
use crate::{
    evidence::{LateOrder, LateWrite},
    faults::{Direction, Fault, MAX_CLOUD_DELAY, MAX_WRITE_DELAY},
    state::StateResponse,
};

/// The body of a request that arrives whole.
pub(super) fn complete(bytes: Vec<u8>) -> CompleteBody {
    let announced = bytes.len();
    CompleteBody::new(bytes, Some(announced)).expect("a body as long as announced")
}

/// Converts a call to a peer into the request that the peer receives.
pub(super) fn peer_request(call: Call, conn: u64, socket: SocketId) -> Request {
    Request {
        conn,
        socket,
        listener: Listener::Internal,
        method: call.method,
        path: call.path,
        body: complete(call.body),
        receipt_time: Duration::ZERO,
    }
}

/// Index of a controller, from its name (`n-` and the index).
pub(super) fn controller_index(node: &str) -> usize {
    let number = node.trim_start_matches("n-").parse();
    number.expect("a controller name of the form n-INDEX")
}

impl World {
    /// Opens an inbound connection. Returns false if the connection limit is reached or
    /// the controller closes it at once.
    pub(super) fn open_connection(
        &mut self,
        node: usize,
        id: SocketId,
        listener: Listener,
    ) -> bool {
        let paused = self.is_paused(node);
        let sockets = &mut self.nodes[node].sockets;
        if sockets.open_count() >= self.max_sockets {
            // A paused process can't free sockets, so its refusals are not counted.
            self.sockets.refused += usize::from(!paused);
            return false;
        }
        sockets.connection_opened(id);
        self.sockets.peak = self.sockets.peak.max(sockets.open_count());
        self.deliver_input(node, Input::Opened(id, listener));
        self.nodes[node].sockets.is_open(id)
    }

    /// Closes an inbound connection from the client's side.
    pub(super) fn close_by_client(&mut self, node: usize, incarnation: u64, id: SocketId) {
        if self.nodes[node].incarnation == incarnation
            && self.nodes[node].sockets.connection_closed(id)
        {
            self.deliver_input(node, Input::Closed(id));
        }
    }

    /// Sends a request of a user, an API client or a probe over a new connection.
    pub(super) fn send_request(
        &mut self,
        node: usize,
        conn: u64,
        requester: Requester,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) {
        self.sockets.requests += 1;
        let receipt_time = match requester {
            Requester::User { .. } => self.draw_receipt_time(),
            _ => None,
        };
        let (incarnation, id) = (self.nodes[node].incarnation, SocketId(conn));
        if !self.open_connection(node, id, Listener::Public) {
            return self.abort_request(requester, node);
        }
        self.pending_requests
            .insert((node, incarnation, conn), (requester, id));
        let request = Request {
            conn,
            socket: id,
            listener: Listener::Public,
            method,
            path,
            body: complete(body),
            receipt_time: Duration::ZERO,
        };
        match receipt_time {
            Some(receipt_time) => self.schedule_slow_request(node, request, receipt_time),
            None => self.deliver_request(node, true, request),
        }
    }

    /// Closes an inbound connection from the controller's side, which aborts the
    /// requests on it.
    pub(super) fn close_by_controller(&mut self, node: usize, incarnation: u64, id: SocketId) {
        self.nodes[node].sockets.connection_closed(id);
        self.nodes[node].unread_requests.remove(&id);
        let asked = self.pending_requests.iter();
        let asked = asked.filter(|(key, (_, on))| (key.0, key.1, *on) == (node, incarnation, id));
        let asked: Vec<_> = asked.map(|(key, _)| *key).collect();
        for key in asked {
            if let Some((requester, _)) = self.pending_requests.remove(&key) {
                self.abort_request(requester, node);
            }
        }
    }

    /// Handles a request whose connection was closed before the answer. Connections cut
    /// while the controller process is paused are not counted, because a paused process
    /// can't answer.
    pub(super) fn abort_request(&mut self, requester: Requester, node: usize) {
        let counted = usize::from(!self.is_paused(node));
        match requester {
            Requester::Probe { asked } => {
                if self.now < asked + S {
                    self.sockets.probe_connections_cut += counted;
                }
            }
            Requester::User { job, .. } => {
                let now = self.now;
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user
                    && user.answer_due.take().is_some_and(|until| now < until)
                {
                    self.sockets.user_connections_cut += counted;
                }
            }
            Requester::ApiClient { token, .. } => self.answer_api_client(token, None),
            Requester::FollowUp { .. } | Requester::InvalidSubmission { .. } => {}
            Requester::Worker { name, report } => {
                let cut = self.worker_cut_until(node, &name, Direction::ToMachine);
                let at = cut.unwrap_or(self.now + MS);
                self.schedule(at, Event::ReportAnswer(report, name, 0, Vec::new()));
            }
            Requester::Peer {
                node,
                incarnation,
                id,
            } => {
                self.schedule(self.now, Event::Reply(node, incarnation, id, Reply::Lost));
            }
        }
    }

    /// Delay that a fault adds to a controller's answers to reports.
    pub(super) fn report_answer_lag(&self, n: usize) -> Duration {
        self.active_lag(|f| match f {
            Fault::LateAnswers { node, lag, .. } if *node == n => Some(*lag),
            _ => None,
        })
    }

    pub(super) fn is_state_out(&self) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::StateOutage { .. }))
    }

    pub(super) fn is_cloud_out(&self) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::CloudOutage { .. }))
    }

    pub(super) fn is_refused_by_state(&self, n: usize) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::StateRefusesNode { node, .. } if *node == n))
    }

    /// Returns the end of the partition between a controller and the state service, if
    /// one is active.
    pub(super) fn state_cut_until(&self, n: usize) -> Option<Duration> {
        let now = self.now;
        self.faults.iter().find_map(|f| match f {
            Fault::ZoneCut { zone, from, until }
                if n % 2 == *zone && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            Fault::CutState { node, from, until }
                if *node == n && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            _ => None,
        })
    }

    /// Returns the end of the partition that holds up messages between a controller and
    /// a machine in one direction, if one is active.
    pub(super) fn worker_cut_until(&self, n: usize, name: &str, by: Direction) -> Option<Duration> {
        let now = self.now;
        let number: usize = name.trim_start_matches("vm-").parse().unwrap_or(0);
        let zone_of = |name| self.workers.get(name).map(|w| w.site.zone.as_str());
        self.faults.iter().find_map(|f| match f {
            Fault::ZoneCut { zone, from, until }
                if (*from..*until).contains(&now)
                    && (n % 2 == *zone) != (zone_of(name) == Some(ZONES[*zone])) =>
            {
                Some(*until)
            }
            Fault::OneWay {
                node,
                machine_group,
                direction,
                from,
                until,
            } if *node == n
                && number % 3 == *machine_group
                && *direction == by
                && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            Fault::CutWorkers {
                node,
                machine_group,
                from,
                until,
            } if node.is_none_or(|x| x == n)
                && machine_group.is_none_or(|r| number % 3 == r)
                && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            _ => None,
        })
    }

    /// Whether two controllers are partitioned from each other.
    pub(super) fn are_peers_cut(&self, one: usize, other: usize) -> bool {
        self.is_fault_active(|f| match f {
            Fault::CutPeers { node, .. } => [one, other].contains(node),
            Fault::ZoneCut { zone, .. } => (one % 2 == *zone) != (other % 2 == *zone),
            _ => false,
        })
    }

    /// Whether the zone of a controller is partitioned from users.
    pub(super) fn is_zone_cut(&self, n: usize) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::ZoneCut { zone, .. } if n % 2 == *zone))
    }

    pub(super) fn draw_latency(&mut self) -> Duration {
        if self.fixed_delays {
            return MS * 5;
        }
        MS * self.rng.u32(1..12)
    }

    pub(super) fn send_call(&mut self, node: usize, incarnation: u64, call: Call) {
        let id = call.id;
        self.open_calls.insert((node, incarnation, id));
        let address = match &call.to {
            Target::Worker(address) => address.as_str(),
            Target::State | Target::Cloud | Target::Peer(_) => "",
        };
        let sockets = &mut self.nodes[node].sockets;
        sockets.call_started(id, OutboundKind::of(&call.to), address);
        self.sockets.peak = self.sockets.peak.max(sockets.open_count());
        let second = self.now.as_secs();
        match &call.to {
            Target::State => {
                *self.load.requests.entry(second).or_default() += 1;
                let controller = self.nodes[node].controller.as_ref();
                if controller.is_some_and(|c| c.level() < FormatLevel::PIPELINES) {
                    self.old_format_calls.insert((node, incarnation, id));
                }
                if let Ok(txn) = decode::<Txn>(&call.body) {
                    *self.load.writes.entry(second).or_default() += txn.changes.len();
                }
            }
            Target::Peer(_) => self.load.peer_bytes += call.body.len(),
            Target::Worker(_) => self.load.orders += 1,
            Target::Cloud => {}
        }
        let may_repeat = match &call.to {
            Target::State | Target::Cloud => call.method != Method::Get,
            Target::Peer(_) => true,
            // An order is executed twice only in place of its answer, see
            // `deliver_call`.
            Target::Worker(_) => false,
        };
        if may_repeat && let Some(lag) = self.draw_duplicate_lag() {
            self.schedule(self.now + lag, Event::DuplicateCall(call.clone()));
        }
        let timeout = self.now + call.timeout;
        let cut = match &call.to {
            Target::State => self.state_cut_until(node),
            Target::Worker(name) => self.worker_cut_until(node, name, Direction::ToMachine),
            Target::Cloud => None,
            Target::Peer(name) if self.are_peers_cut(node, controller_index(name)) => {
                return self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
            }
            Target::Peer(_) => None,
        };
        let latency = self.draw_latency();
        if let Target::Worker(name) = &call.to {
            if self.are_answers_lost(name) {
                return self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
            }
            if cut.is_none() && self.draw_delayed_order() {
                let held = MS * self.rng.u32(2000..self.max_order_delay.as_millis() as u32);
                self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
                return self.schedule(
                    self.now + held,
                    Event::DelayedOrder(node, incarnation, call),
                );
            }
        }
        if call.to == Target::Cloud && call.method == Method::Post && self.draw_late_cloud_call() {
            let lag = MS * self.rng.u32(1000..MAX_CLOUD_DELAY.as_millis() as u32);
            self.evidence.late_cloud_calls += 1;
            self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
            return self.schedule(self.now + lag, Event::DuplicateCall(call));
        }
        let late = call.path == "/multi" && cut.is_none() && self.draw_late_write();
        if late {
            let lag = MS * self.rng.u32(2000..MAX_WRITE_DELAY.as_millis() as u32);
            let writes = self.evidence.writes.get(&node).copied().unwrap_or(0);
            self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
            return self.schedule(self.now + lag, Event::DelayedWrite(node, writes, call));
        }
        match cut {
            // An established connection delivers the message after the partition.
            Some(until) if self.rng.f64() < 0.6 => {
                self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
                self.schedule(until + latency, Event::CallArrives(node, incarnation, call));
            }
            Some(_) => self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::NotSent)),
            None => {
                self.schedule(timeout, Event::Reply(node, incarnation, id, Reply::Lost));
                self.schedule(
                    self.now + latency,
                    Event::CallArrives(node, incarnation, call),
                );
            }
        }
    }

    /// Draws whether a message is delivered a second time, and returns the delay of the
    /// copy.
    pub(super) fn draw_duplicate_lag(&mut self) -> Option<Duration> {
        let one_in = self.active_rate(|f| match f {
            Fault::DuplicateMessages { one_in, .. } => Some(*one_in),
            _ => None,
        })?;
        let copied = self.rng.u32(0..one_in) == 0;
        copied.then(|| MS * self.rng.u32(30..12_000))
    }

    pub(super) fn draw_delayed_order(&mut self) -> bool {
        self.draw_one_in(|f| match f {
            Fault::DelayedOrders { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    pub(super) fn draw_lost_answer(&mut self) -> bool {
        self.draw_one_in(|f| match f {
            Fault::LostAnswers { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    fn draw_late_cloud_call(&mut self) -> bool {
        self.draw_one_in(|f| match f {
            Fault::LateCloudCalls { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    /// Records whether the sender of a delayed order had ended, and whether the worker
    /// rejects the order by its fencing token.
    pub(super) fn record_late_order(&mut self, node: usize, incarnation: u64, call: &Call) {
        let Target::Worker(name) = &call.to else {
            return;
        };
        let (Some(worker), Ok(orders)) =
            (self.workers.get(name), decode::<DirectOrders>(&call.body))
        else {
            return;
        };
        self.evidence.late_orders.push(LateOrder {
            at: self.now,
            sender_ended: self.nodes[node].incarnation != incarnation,
            fenced: orders.token < worker.token(),
        });
        let cancelled = orders.orders.iter().filter(|order| match order {
            Order::Start { task, .. } => self.rules.is_reported_cancelled(&task.job),
            _ => false,
        });
        self.evidence.late_starts_of_cancelled_jobs += cancelled.count();
    }

    pub(super) fn draw_late_write(&mut self) -> bool {
        self.draw_one_in(|f| match f {
            Fault::LateWrites { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    /// Executes a transaction whose sender has received no answer.
    pub(super) fn execute_delayed_write(&mut self, node: usize, before: usize, call: &Call) {
        if self.is_state_out() {
            return;
        }
        let done = self.state.execute(self.now, call);
        let writes = self.evidence.writes.get(&node).copied().unwrap_or(0);
        self.evidence.late_writes.push(LateWrite {
            at: self.now,
            took_effect: matches!(done, StateResponse::Answer(200, _)),
            overtaken_by: writes - before,
        });
        self.answer_watches();
    }

    /// Executes a second copy of a message. Its answer is discarded.
    pub(super) fn execute_duplicate(&mut self, call: Call) {
        let now = self.now;
        match &call.to {
            Target::State => {
                if !self.is_state_out() {
                    self.state.execute(now, &call);
                    self.answer_watches();
                }
            }
            Target::Cloud => {
                if !self.is_cloud_out() {
                    let (.., gone) = self.cloud.execute(now, &call);
                    for name in gone {
                        self.kill(&name);
                    }
                }
            }
            Target::Worker(name) => {
                if let Some(worker) = self.workers.get_mut(name)
                    && let Ok(orders) = decode::<DirectOrders>(&call.body)
                {
                    worker.handle_direct_orders(now, orders, &mut self.rules);
                }
            }
            Target::Peer(name) => {
                let to = controller_index(name);
                let conn = self.new_id();
                let socket = SocketId(conn);
                if self.nodes[to].controller.is_none()
                    || !self.open_connection(to, socket, Listener::Internal)
                {
                    return;
                }
                let incarnation = self.nodes[to].incarnation;
                self.schedule(now + S, Event::ConnectionCloses(to, incarnation, socket));
                let request = peer_request(call, conn, socket);
                self.deliver_input(to, Input::Request(request));
            }
        }
    }

    pub(super) fn answer_call(
        &mut self,
        node: usize,
        incarnation: u64,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    ) {
        // Some answers are lost although the request was executed.
        if !self.fixed_delays && self.rng.f64() < 0.004 {
            return;
        }
        let at = self.now + self.draw_latency();
        let reply = Reply::Answer { status, body };
        self.schedule(at, Event::Reply(node, incarnation, id, reply));
    }

    /// Answers a call to the state service, with the delay of an active fault.
    pub(super) fn answer_state_call(
        &mut self,
        node: usize,
        incarnation: u64,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    ) {
        let lag = self.active_lag(|f| match f {
            Fault::SlowState { lag, .. } => Some(*lag),
            _ => None,
        });
        if lag.is_zero() {
            return self.answer_call(node, incarnation, id, status, body);
        }
        self.evidence.slow_answers += usize::from(lag >= S);
        let at = self.now + lag + self.draw_latency();
        let reply = Reply::Answer { status, body };
        self.schedule(at, Event::Reply(node, incarnation, id, reply));
    }

    pub(super) fn deliver_call(&mut self, node: usize, incarnation: u64, call: Call) {
        let id = call.id;
        match call.to.clone() {
            Target::State => {
                if let Some(at) = self.next_read_check(node, incarnation, &call) {
                    return self.schedule(at, Event::CallArrives(node, incarnation, call));
                }
                let refused = self.is_refused_by_state(node) || self.is_lease_refused(node, &call);
                if self.is_state_out() || refused {
                    return self.answer_state_call(node, incarnation, id, 503, Vec::new());
                }
                let lost = call.path == "/multi" && self.draw_lost_answer();
                let too_large = self.state.refused.0;
                let done = self.state.execute(self.now, &call);
                if call.path == "/multi" && matches!(done, StateResponse::Answer(200, _)) {
                    *self.evidence.writes.entry(node).or_default() += 1;
                }
                if self.old_format_calls.remove(&(node, incarnation, id)) {
                    // If an outage delays the format switch until after the limits are
                    // lowered, writes in the old format are refused as too large. These
                    // refusals are expected and not counted.
                    self.state.refused.0 = too_large;
                }
                match done {
                    StateResponse::Answer(200 | 409, _) if lost => self.evidence.lost_answers += 1,
                    StateResponse::Answer(status, body) => {
                        self.answer_state_call(node, incarnation, id, status, body)
                    }
                    StateResponse::Wait { after, block } => {
                        self.watches.push((node, incarnation, id, after));
                        self.schedule(
                            self.now + block,
                            Event::WatchTimeout(node, incarnation, id, after),
                        );
                    }
                }
                self.answer_watches();
            }
            Target::Cloud if self.is_cloud_out() => {
                self.answer_call(node, incarnation, id, 503, Vec::new());
            }
            Target::Cloud => {
                self.cloud.fast_boot =
                    self.is_fault_active(|f| matches!(f, Fault::FastBoots { .. }));
                let (status, body, gone) = self.cloud.execute(self.now, &call);
                for name in gone {
                    self.kill(&name);
                }
                self.answer_call(node, incarnation, id, status, body);
            }
            Target::Worker(name) => {
                let now = self.now;
                if let Some(until) = self.hangs_until(&name) {
                    // Orders and inspections to a hung machine wait until it resumes.
                    return self.schedule(until + MS, Event::DelayedOrder(node, incarnation, call));
                }
                let reports_lost = self.are_reports_lost(&name);
                let Some(worker) = self.workers.get_mut(&name) else {
                    return;
                };
                if call.path == "/inspect" {
                    let body = encode(&worker.report(now));
                    if self
                        .worker_cut_until(node, &name, Direction::FromMachine)
                        .is_none()
                    {
                        self.answer_call(node, incarnation, id, 200, body);
                    }
                    return;
                }
                let Ok(orders) = decode::<DirectOrders>(&call.body) else {
                    return;
                };
                self.evidence.orders_during_report_loss += usize::from(reports_lost);
                let status = worker.handle_direct_orders(now, orders, &mut self.rules);
                let body = encode(&worker.report(now));
                if status == 200 {
                    self.draw_copied_order(node, incarnation, &call);
                }
                if let Some(lag) = self.draw_duplicate_lag() {
                    self.schedule(now + lag, Event::DuplicateCall(call));
                } else if self
                    .worker_cut_until(node, &name, Direction::FromMachine)
                    .is_none()
                {
                    self.answer_call(node, incarnation, id, status, body);
                }
            }
            Target::Peer(name) => {
                let to = controller_index(&name);
                if self.nodes[to].controller.is_none() {
                    let reply = Reply::NotSent;
                    return self.schedule(self.now, Event::Reply(node, incarnation, id, reply));
                }
                if self.is_fault_active(|f| matches!(f, Fault::PeersUnreachable { .. })) {
                    let reply = Reply::NotSent;
                    return self.schedule(self.now, Event::Reply(node, incarnation, id, reply));
                }
                self.evidence.forwarded_reports += usize::from(call.path == "/forward");
                let conn = self.new_id();
                let socket = SocketId(conn);
                if !self.open_connection(to, socket, Listener::Internal) {
                    let reply = Reply::NotSent;
                    return self.schedule(self.now, Event::Reply(node, incarnation, id, reply));
                }
                let request = peer_request(call, conn, socket);
                let requester = Requester::Peer {
                    node,
                    incarnation,
                    id,
                };
                let to_incarnation = self.nodes[to].incarnation;
                self.pending_requests
                    .insert((to, to_incarnation, conn), (requester, socket));
                self.deliver_input(to, Input::Request(request));
            }
        }
    }

    /// Delivers a request. On a `fresh` connection the controller first sees the
    /// beginning of the request and decides when to read the rest.
    pub(super) fn deliver_request(&mut self, node: usize, fresh: bool, request: Request) {
        if !fresh {
            return self.deliver_input(node, Input::Request(request));
        }
        let method = match request.method {
            Method::Get => "GET",
            _ => "POST",
        };
        let beginning = format!("{method} {}", request.path).into_bytes();
        let socket = request.socket;
        self.nodes[node].unread_requests.insert(socket, request);
        self.deliver_input(node, Input::Readable(socket, beginning));
    }

    pub(super) fn answer_watches(&mut self) {
        if self.is_state_out() {
            return;
        }
        let leader_record = self.state.entry(&Key::Leader.path());
        if let Some((version, value)) =
            leader_record.filter(|(version, _)| *version != self.leader_version)
        {
            let name = value.as_array().and_then(|list| list.first());
            let name = name.and_then(|name| name.as_str()).unwrap_or_default();
            let leader = controller_index(name);
            self.leader_version = version;
            self.evidence.leader_changes.push((self.now, leader));
            self.redeliver_reports(leader);
        }
        let revision = self.state.revision();
        let (ready, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| w.3 < revision && !self.is_refused_by_state(w.0));
        self.watches = wait;
        for (node, incarnation, id, after) in ready {
            let (status, body) = self.state.changes(after);
            self.answer_state_call(node, incarnation, id, status, body);
        }
    }
}
