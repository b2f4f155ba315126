//! Messages between controllers and the outside: delays, cuts, losses, repeats and
//! late deliveries.

use std::time::Duration;

use oliveshift_core::{
    Call, CallId, Input, Listener, Method, Reply, Request, SocketId, Target,
    records::{FormatLevel, Key},
    sockets::OutboundKind,
};
use oliveshift_wire::{decode, encode, state::Txn, worker::DirectOrders};

use super::{Asker, Event, MS, S, World, ZONES};
use crate::{
    evidence::{LateOrder, LateWrite},
    faults::{Direction, Fault, MAX_ORDER_DELAY, MAX_WRITE_DELAY},
    state::StateResponse,
};

/// What a controller hears that another one calls.
pub(super) fn from_peer(call: Call, conn: u64, socket: SocketId) -> Request {
    Request {
        conn,
        socket,
        listener: Listener::Internal,
        method: call.method,
        path: call.path,
        body: call.body,
    }
}

/// The number in a controller's name.
pub(super) fn number_of(node: &str) -> usize {
    let number = node.trim_start_matches("n-").parse();
    number.expect("a node's name")
}

impl World {
    /// A connection comes in. False if it is refused or closed at once.
    pub(super) fn opens(&mut self, node: usize, id: SocketId, listener: Listener) -> bool {
        let frozen = self.frozen(node);
        let sockets = &mut self.nodes[node].sockets;
        if sockets.open_count() >= self.max_sockets {
            // One that stands still can't help it.
            self.sockets.refused += usize::from(!frozen);
            return false;
        }
        sockets.connection_opened(id);
        self.sockets.peak = self.sockets.peak.max(sockets.open_count());
        self.input(node, Input::Opened(id, listener));
        self.nodes[node].sockets.is_open(id)
    }

    /// The other side of a connection closes it.
    pub(super) fn ends(&mut self, node: usize, life: u64, id: SocketId) {
        if self.nodes[node].life == life && self.nodes[node].sockets.connection_closed(id) {
            self.input(node, Input::Closed(id));
        }
    }

    /// A user or a probe asks something over a connection of its own.
    pub(super) fn asks(
        &mut self,
        node: usize,
        conn: u64,
        asker: Asker,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) {
        self.sockets.asked += 1;
        let (life, id) = (self.nodes[node].life, SocketId(conn));
        if !self.opens(node, id, Listener::Public) {
            return self.is_cut(asker, node);
        }
        self.askers.insert((node, life, conn), (asker, id));
        let request = Request {
            conn,
            socket: id,
            listener: Listener::Public,
            method,
            path,
            body,
        };
        self.request(node, true, request);
    }

    /// A controller closes a connection.
    pub(super) fn closed(&mut self, node: usize, life: u64, id: SocketId) {
        self.nodes[node].sockets.connection_closed(id);
        self.nodes[node].lobby.remove(&id);
        let asked = self.askers.iter();
        let asked = asked.filter(|(key, (_, on))| (key.0, key.1, *on) == (node, life, id));
        let asked: Vec<_> = asked.map(|(key, _)| *key).collect();
        for key in asked {
            if let Some((asker, _)) = self.askers.remove(&key) {
                self.is_cut(asker, node);
            }
        }
    }

    /// Somebody's connection was closed before the answer. A controller that
    /// stands still can't help that.
    pub(super) fn is_cut(&mut self, asker: Asker, node: usize) {
        let helped = usize::from(!self.frozen(node));
        match asker {
            Asker::Probe { asked } => {
                if self.now < asked + S {
                    self.sockets.probes_cut += helped;
                }
            }
            Asker::User { job, .. } => {
                let now = self.now;
                let user = self.users.iter_mut().find(|u| u.spec.id == job);
                if let Some(user) = user
                    && user.waiting.take().is_some_and(|until| now < until)
                {
                    self.sockets.users_cut += helped;
                }
            }
            Asker::Guest { token, .. } => self.guest_answered(token, None),
            Asker::Look { .. } | Asker::Odd { .. } => {}
            Asker::Worker { name, report } => {
                let cut = self.worker_cut(node, &name, Direction::ToMachine);
                let at = cut.unwrap_or(self.now + MS);
                self.at(at, Event::ReportAnswer(report, name, 0, Vec::new()));
            }
            Asker::Peer { node, life, id } => {
                self.at(self.now, Event::Reply(node, life, id, Reply::Lost));
            }
        }
    }

    /// By how much a controller's answers to workers are late.
    pub(super) fn late_answers(&self, n: usize) -> Duration {
        self.lag(|f| match f {
            Fault::LateAnswers { node, lag, .. } if *node == n => Some(*lag),
            _ => None,
        })
    }

    pub(super) fn outage(&self) -> bool {
        self.is_on(|f| matches!(f, Fault::StateOutage { .. }))
    }

    pub(super) fn cloud_outage(&self) -> bool {
        self.is_on(|f| matches!(f, Fault::CloudOutage { .. }))
    }

    pub(super) fn refused(&self, n: usize) -> bool {
        self.is_on(|f| matches!(f, Fault::StateRefusesNode { node, .. } if *node == n))
    }

    /// Until when a controller and the state service are cut.
    pub(super) fn state_cut(&self, n: usize) -> Option<Duration> {
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

    /// Until when what a controller and a machine send each other is held up one way.
    pub(super) fn worker_cut(&self, n: usize, name: &str, by: Direction) -> Option<Duration> {
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
                rest,
                direction,
                from,
                until,
            } if *node == n
                && number % 3 == *rest
                && *direction == by
                && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            Fault::CutWorkers {
                node,
                rest,
                from,
                until,
            } if node.is_none_or(|x| x == n)
                && rest.is_none_or(|r| number % 3 == r)
                && (*from..*until).contains(&now) =>
            {
                Some(*until)
            }
            _ => None,
        })
    }

    /// Whether a controller and the others are cut from each other.
    pub(super) fn peers_cut(&self, one: usize, other: usize) -> bool {
        self.is_on(|f| match f {
            Fault::CutPeers { node, .. } => [one, other].contains(node),
            Fault::ZoneCut { zone, .. } => (one % 2 == *zone) != (other % 2 == *zone),
            _ => false,
        })
    }

    /// Whether a controller's zone is cut off from users.
    pub(super) fn zone_cut(&self, n: usize) -> bool {
        self.is_on(|f| matches!(f, Fault::ZoneCut { zone, .. } if n % 2 == *zone))
    }

    pub(super) fn latency(&mut self) -> Duration {
        if self.steady {
            return MS * 5;
        }
        MS * self.rng.u32(1..12)
    }

    pub(super) fn send(&mut self, node: usize, life: u64, call: Call) {
        let id = call.id;
        self.open_calls.insert((node, life, id));
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
                let aware = self.nodes[node].controller.as_ref();
                if aware.is_some_and(|c| c.level() < FormatLevel::PIPELINES) {
                    self.unaware.insert((node, life, id));
                }
                if let Ok(txn) = decode::<Txn>(&call.body) {
                    *self.load.writes.entry(second).or_default() += txn.changes.len();
                }
            }
            Target::Peer(_) => self.load.peer_bytes += call.body.len(),
            Target::Worker(_) => self.load.orders += 1,
            Target::Cloud => {}
        }
        let repeats = match &call.to {
            Target::State | Target::Cloud => call.method != Method::Get,
            Target::Peer(_) => true,
            // An order to a worker comes again only if it got no answer.
            Target::Worker(_) => false,
        };
        if repeats && let Some(lag) = self.copied() {
            self.at(self.now + lag, Event::Copy(call.clone()));
        }
        let timeout = self.now + call.timeout;
        let cut = match &call.to {
            Target::State => self.state_cut(node),
            Target::Worker(name) => self.worker_cut(node, name, Direction::ToMachine),
            Target::Cloud => None,
            Target::Peer(name) if self.peers_cut(node, number_of(name)) => {
                return self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
            }
            Target::Peer(_) => None,
        };
        let latency = self.latency();
        if let Target::Worker(name) = &call.to {
            if self.is_deaf(name) {
                return self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
            }
            if cut.is_none() && self.is_held() {
                let held = MS * self.rng.u32(2000..MAX_ORDER_DELAY.as_millis() as u32);
                self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
                return self.at(self.now + held, Event::Held(node, life, call));
            }
        }
        let late = call.path == "/multi" && cut.is_none() && self.is_late_write();
        if late {
            let lag = MS * self.rng.u32(2000..MAX_WRITE_DELAY.as_millis() as u32);
            let writes = self.evidence.writes.get(&node).copied().unwrap_or(0);
            self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
            return self.at(self.now + lag, Event::LateWrite(node, writes, call));
        }
        match cut {
            // A connection that was open holds the message back.
            Some(until) if self.rng.f64() < 0.6 => {
                self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
                self.at(until + latency, Event::Arrive(node, life, call));
            }
            Some(_) => self.at(timeout, Event::Reply(node, life, id, Reply::NotSent)),
            None => {
                self.at(timeout, Event::Reply(node, life, id, Reply::Lost));
                self.at(self.now + latency, Event::Arrive(node, life, call));
            }
        }
    }

    /// By how much a message comes once more, late, if it does.
    pub(super) fn copied(&mut self) -> Option<Duration> {
        let now = self.now;
        let one_in = self.faults.iter().find_map(|f| match f {
            Fault::DuplicateMessages {
                one_in,
                from,
                until,
            } if (*from..*until).contains(&now) => Some(*one_in),
            _ => None,
        })?;
        let copied = self.rng.u32(0..one_in.max(1)) == 0;
        copied.then(|| MS * self.rng.u32(30..12_000))
    }

    pub(super) fn is_held(&mut self) -> bool {
        self.is_chosen(|f| match f {
            Fault::DelayedOrders { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    pub(super) fn is_answer_lost(&mut self) -> bool {
        self.is_chosen(|f| match f {
            Fault::LostAnswers { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    /// Notes what a held order meets when it arrives.
    pub(super) fn note_late_order(&mut self, node: usize, life: u64, call: &Call) {
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
            sender_ended: self.nodes[node].life != life,
            fenced: orders.token < worker.token(),
        });
    }

    pub(super) fn is_late_write(&mut self) -> bool {
        self.is_chosen(|f| match f {
            Fault::LateWrites { one_in, .. } => Some(*one_in),
            _ => None,
        })
    }

    /// A transaction that got no answer is carried out.
    pub(super) fn late_write(&mut self, node: usize, before: usize, call: &Call) {
        if self.outage() {
            return;
        }
        let done = self.state.execute(self.now, call);
        let writes = self.evidence.writes.get(&node).copied().unwrap_or(0);
        self.evidence.late_writes.push(LateWrite {
            at: self.now,
            took_effect: matches!(done, StateResponse::Answer(200, _)),
            overtaken_by: writes - before,
        });
        self.wake_watches();
    }

    /// A message comes once more. Nobody waits for its answer.
    pub(super) fn copy(&mut self, call: Call) {
        let now = self.now;
        match &call.to {
            Target::State => {
                if !self.outage() {
                    self.state.execute(now, &call);
                    self.wake_watches();
                }
            }
            Target::Cloud => {
                if !self.cloud_outage() {
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
                let to = number_of(name);
                let conn = self.id();
                let socket = SocketId(conn);
                if self.nodes[to].controller.is_none()
                    || !self.opens(to, socket, Listener::Internal)
                {
                    return;
                }
                let life = self.nodes[to].life;
                self.at(now + S, Event::Ends(to, life, socket));
                let request = from_peer(call, conn, socket);
                self.input(to, Input::Request(request));
            }
        }
    }

    pub(super) fn answer_call(
        &mut self,
        node: usize,
        life: u64,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    ) {
        // Now and then an answer is lost though the request was executed.
        if !self.steady && self.rng.f64() < 0.004 {
            return;
        }
        let at = self.now + self.latency();
        let reply = Reply::Answer { status, body };
        self.at(at, Event::Reply(node, life, id, reply));
    }

    /// The same, of the state service, which may be slow.
    pub(super) fn answer_state(
        &mut self,
        node: usize,
        life: u64,
        id: CallId,
        status: u16,
        body: Vec<u8>,
    ) {
        let lag = self.lag(|f| match f {
            Fault::SlowState { lag, .. } => Some(*lag),
            _ => None,
        });
        if lag.is_zero() {
            return self.answer_call(node, life, id, status, body);
        }
        self.evidence.slow_answers += usize::from(lag >= S);
        let at = self.now + lag + self.latency();
        let reply = Reply::Answer { status, body };
        self.at(at, Event::Reply(node, life, id, reply));
    }

    pub(super) fn arrive(&mut self, node: usize, life: u64, call: Call) {
        let id = call.id;
        match call.to.clone() {
            Target::State => {
                if self.outage() || self.refused(node) {
                    return self.answer_state(node, life, id, 503, Vec::new());
                }
                let lost = call.path == "/multi" && self.is_answer_lost();
                let too_large = self.state.refused.0;
                let done = self.state.execute(self.now, &call);
                if call.path == "/multi" && matches!(done, StateResponse::Answer(200, _)) {
                    *self.evidence.writes.entry(node).or_default() += 1;
                }
                if self.unaware.remove(&(node, life, id)) {
                    // Where an outage holds the switch up for longer than the
                    // limits, what an old program would write is refused.
                    self.state.refused.0 = too_large;
                }
                match done {
                    StateResponse::Answer(200 | 409, _) if lost => self.evidence.lost_answers += 1,
                    StateResponse::Answer(status, body) => {
                        self.answer_state(node, life, id, status, body)
                    }
                    StateResponse::Wait { after, block } => {
                        self.watches.push((node, life, id, after));
                        self.at(self.now + block, Event::WatchEnd(node, life, id, after));
                    }
                }
                self.wake_watches();
            }
            Target::Cloud if self.cloud_outage() => {
                self.answer_call(node, life, id, 503, Vec::new());
            }
            Target::Cloud => {
                self.cloud.fast_boot = self.is_on(|f| matches!(f, Fault::FastBoots { .. }));
                let (status, body, gone) = self.cloud.execute(self.now, &call);
                for name in gone {
                    self.kill(&name);
                }
                self.answer_call(node, life, id, status, body);
            }
            Target::Worker(name) => {
                let now = self.now;
                if let Some(until) = self.hangs(&name) {
                    // What is sent to it waits until it goes on.
                    return self.at(until + MS, Event::Held(node, life, call));
                }
                let mute = self.is_mute(&name);
                let Some(worker) = self.workers.get_mut(&name) else {
                    return;
                };
                if call.path == "/inspect" {
                    let body = encode(&worker.report(now));
                    if self
                        .worker_cut(node, &name, Direction::FromMachine)
                        .is_none()
                    {
                        self.answer_call(node, life, id, 200, body);
                    }
                    return;
                }
                let Ok(orders) = decode::<DirectOrders>(&call.body) else {
                    return;
                };
                self.evidence.orders_during_report_loss += usize::from(mute);
                let status = worker.handle_direct_orders(now, orders, &mut self.rules);
                let body = encode(&worker.report(now));
                if let Some(lag) = self.copied() {
                    self.at(now + lag, Event::Copy(call));
                } else if self
                    .worker_cut(node, &name, Direction::FromMachine)
                    .is_none()
                {
                    self.answer_call(node, life, id, status, body);
                }
            }
            Target::Peer(name) => {
                let to = number_of(&name);
                if self.nodes[to].controller.is_none() {
                    let reply = Reply::NotSent;
                    return self.at(self.now, Event::Reply(node, life, id, reply));
                }
                if self.is_on(|f| matches!(f, Fault::PeersUnreachable { .. })) {
                    let reply = Reply::NotSent;
                    return self.at(self.now, Event::Reply(node, life, id, reply));
                }
                self.evidence.forwarded_reports += usize::from(call.path == "/forward");
                let conn = self.id();
                let socket = SocketId(conn);
                if !self.opens(to, socket, Listener::Internal) {
                    let reply = Reply::NotSent;
                    return self.at(self.now, Event::Reply(node, life, id, reply));
                }
                let request = from_peer(call, conn, socket);
                let asker = Asker::Peer { node, life, id };
                let to_life = self.nodes[to].life;
                self.askers.insert((to, to_life, conn), (asker, socket));
                self.input(to, Input::Request(request));
            }
        }
    }

    /// A request comes, over a connection that is `fresh` or one that has been
    /// read from before.
    pub(super) fn request(&mut self, node: usize, fresh: bool, request: Request) {
        if !fresh {
            return self.input(node, Input::Request(request));
        }
        let method = match request.method {
            Method::Get => "GET",
            _ => "POST",
        };
        let beginning = format!("{method} {}", request.path).into_bytes();
        let socket = request.socket;
        self.nodes[node].lobby.insert(socket, request);
        self.input(node, Input::Readable(socket, beginning));
    }

    pub(super) fn wake_watches(&mut self) {
        if self.outage() {
            return;
        }
        let led = self.state.entry(&Key::Leader.path());
        if let Some((version, value)) = led.filter(|(version, _)| *version != self.led) {
            let name = value.as_array().and_then(|list| list.first());
            let name = name.and_then(|name| name.as_str()).unwrap_or_default();
            let leader = number_of(name);
            self.led = version;
            self.evidence.leader_changes.push((self.now, leader));
            self.reports_come_again(leader);
        }
        let revision = self.state.revision();
        let (ready, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|w| w.3 < revision && !self.refused(w.0));
        self.watches = wait;
        for (node, life, id, after) in ready {
            let (status, body) = self.state.changes(after);
            self.answer_state(node, life, id, status, body);
        }
    }
}
