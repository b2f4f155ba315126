//! Allocates this process's sockets: how many each group may use, and which connection is closed
//! when all are in use.
//!
//! Four groups share the sockets. Each has a guaranteed share, and may borrow what the others
//! leave unused. If no socket is free, a group below its share gets one from a group that has
//! borrowed, and a group beyond its share from its own connections. Connections that are most
//! likely dead or cheap to replace are closed first:
//!
//! 1. idle outbound connections to workers, as a new one costs only a round trip;
//! 2. connections of workers that timed out or died; the older connection of a worker that
//!    reports on a newer one is closed at once;
//! 3. the connections that have been inactive for longest.
//!
//! With one limit for users, probes and workers together, connections beyond it were accepted and
//! dropped at once. A few hundred workers whose network delayed their packets, each of which
//! abandoned a connection every 5 s, made the load balancer find no healthy controller.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_wire::settings::Settings;

use crate::{
    call::{ConnId, Listener, Target},
    client_timeouts::{MAX_CLIENT_TIMEOUT, REPORT_TIMEOUT},
};

/// Identifies an inbound connection; a later connection has a larger id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// The purpose of an outbound connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutboundKind {
    /// State service and cloud.
    Outside,
    /// Other controllers.
    Peers,
    /// Direct orders to workers, and probes of them.
    Orders,
}

impl OutboundKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Outside, Self::Peers, Self::Orders];

    /// The kind of connection that a call needs.
    pub fn of(target: &Target) -> Self {
        match target {
            Target::State | Target::Cloud => Self::Outside,
            Target::Peer(_) => Self::Peers,
            Target::Worker(_) => Self::Orders,
        }
    }

    fn group(self) -> Group {
        match self {
            Self::Outside => Group::Outside,
            Self::Peers => Group::Peers,
            Self::Orders => Group::Workers,
        }
    }
}

/// A group of connections with a share of the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Group {
    /// Users, health probes, and public connections that are not identified yet.
    Users,
    /// Reports of workers, and orders to them.
    Workers,
    /// Other controllers and operators, in both directions.
    Peers,
    /// State service and cloud.
    Outside,
}

const GROUPS: [Group; 4] = [Group::Users, Group::Workers, Group::Peers, Group::Outside];

/// A connection to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// An inbound connection.
    Inbound(SocketId),
    /// This number of idle outbound connections of a kind, those that are idle for longest.
    Idle(OutboundKind, usize),
}

/// File descriptors that are no connections: standard streams, listeners, and those of the reactor.
const RESERVED_DESCRIPTORS: usize = 12;
/// How long an inbound connection may be inactive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Sockets for the state service and the cloud, in seconds of requests at their rate limits.
const OUTSIDE_SECONDS: f64 = 2.0;
/// Sockets for each other controller, in both directions.
const SOCKETS_PER_PEER: usize = 12;
/// Users and health probes get the total divided by this.
const USERS_DIVISOR: usize = 4;
/// Direct orders may use the total divided by the first number at a time; orders to workers that
/// have not answered recently may use that limit divided by the second.
const ORDERS_DIVISOR: usize = 4;
const UNRESPONSIVE_DIVISOR: usize = 4;
/// Minimum time between two log messages about a shortage of sockets.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How many sockets each group is guaranteed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// All connections together.
    pub total: usize,
    /// Users and health probes.
    pub users: usize,
    /// Reports of workers and orders to them.
    pub workers: usize,
    /// Other controllers and operators.
    pub peers: usize,
    /// State service and cloud.
    pub outside: usize,
    /// Upper bound for concurrent direct orders, which use sockets of the workers' share.
    pub orders: usize,
}

impl Shares {
    /// Computes the shares from a deployment's settings.
    pub fn new(settings: &Settings) -> Self {
        let limits = &settings.deployment;
        let total = limits
            .limits
            .max_sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(16);
        let rate = limits.state.rps + limits.cloud.rps;
        let outside = ((rate * OUTSIDE_SECONDS) as usize).clamp(2, total / 8);
        let peers = (settings.peers.len() * SOCKETS_PER_PEER).clamp(2, total / 8);
        let users = total / USERS_DIVISOR;
        Self {
            total,
            users,
            workers: total - users - peers - outside,
            peers,
            outside,
            orders: total / ORDERS_DIVISOR,
        }
    }

    fn of(&self, group: Group) -> usize {
        match group {
            Group::Users => self.users,
            Group::Workers => self.workers,
            Group::Peers => self.peers,
            Group::Outside => self.outside,
        }
    }
}

/// An inbound connection.
#[derive(Debug)]
struct Socket {
    group: Group,
    /// When a request or an answer was last seen on it, or it was opened.
    since: Duration,
    /// Whether it has a request without an answer.
    busy: bool,
    /// The machine whose worker has reported on it.
    worker: Option<String>,
}

/// Inbound connections of one group, those that are inactive for longest first.
type ActivityQueue = BTreeSet<(Duration, SocketId)>;

/// The outbound connections of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outbound {
    calls: usize,
    idle: usize,
}

/// All sockets of a controller.
#[derive(Debug)]
pub struct Sockets {
    shares: Shares,
    /// A worker that is alive reports again within this time.
    max_report_gap: Duration,
    sockets: HashMap<SocketId, Socket>,
    users: ActivityQueue,
    workers: ActivityQueue,
    peers: ActivityQueue,
    outbound: [Outbound; 3],
    /// Direct orders in flight to workers that have not answered recently.
    unresponsive: usize,
    /// The newest connection of each worker.
    newest_by_worker: HashMap<String, SocketId>,
    /// Requests without an answer, and the connections that they arrived on.
    open_requests: HashMap<ConnId, SocketId>,
    /// Connections closed and rejected for lack of sockets since the last log message.
    evicted: usize,
    rejected: usize,
    logged_at: Option<Duration>,
}

impl Sockets {
    /// Creates the state of a process without open connections.
    pub fn new(settings: &Settings) -> Self {
        Self {
            shares: Shares::new(settings),
            max_report_gap: settings.report_period().mul_f64(1.5) + REPORT_TIMEOUT,
            sockets: HashMap::new(),
            users: ActivityQueue::new(),
            workers: ActivityQueue::new(),
            peers: ActivityQueue::new(),
            outbound: [Outbound::default(); 3],
            unresponsive: 0,
            newest_by_worker: HashMap::new(),
            open_requests: HashMap::new(),
            evicted: 0,
            rejected: 0,
            logged_at: None,
        }
    }

    /// How many connections are open, in both directions.
    pub fn open_count(&self) -> usize {
        let out: usize = self.outbound.iter().map(|o| o.calls + o.idle).sum();
        self.sockets.len() + out
    }

    /// Records a new inbound connection and returns the connections to close. If no socket can be
    /// freed for it, the new connection itself is among them.
    pub fn connection_opened(
        &mut self,
        now: Duration,
        id: SocketId,
        listener: Listener,
    ) -> Vec<Close> {
        let group = match listener {
            Listener::Public => Group::Users,
            Listener::Internal => Group::Peers,
        };
        let mut close = Vec::new();
        if !self.make_room(now, group, &mut close) {
            self.rejected += 1;
            close.push(Close::Inbound(id));
            return close;
        }
        let socket = Socket {
            group,
            since: now,
            busy: false,
            worker: None,
        };
        self.activity_queue_mut(group).insert((now, id));
        self.sockets.insert(id, socket);
        close
    }

    /// Records a request on an inbound connection.
    pub fn request_received(&mut self, now: Duration, id: SocketId, conn: ConnId) {
        self.record_activity(now, id, true);
        if self.sockets.contains_key(&id) {
            self.open_requests.insert(conn, id);
        }
    }

    /// Records that a request is a worker's report, which moves its connection to the workers'
    /// share, and returns the connections to close.
    pub fn identify_worker(&mut self, now: Duration, conn: ConnId, name: &str) -> Vec<Close> {
        let mut close = Vec::new();
        let Some(&id) = self.open_requests.get(&conn) else {
            return close;
        };
        let Some(socket) = self.sockets.get_mut(&id) else {
            return close;
        };
        if socket.worker.as_deref() == Some(name) {
            return close;
        }
        let (from, since) = (socket.group, socket.since);
        if let Some(before) = socket.worker.replace(name.to_owned()) {
            self.forget_newest(&before, id);
        } else {
            socket.group = Group::Workers;
            self.activity_queue_mut(from).remove(&(since, id));
            self.workers.insert((since, id));
        }
        match self.newest_by_worker.get(name).copied() {
            // The request was delayed: the worker uses a newer connection, and will send nothing
            // more on this one.
            Some(newer) if newer > id => close.push(Close::Inbound(id)),
            Some(older) => {
                self.newest_by_worker.insert(name.to_owned(), id);
                self.remove(older);
                close.push(Close::Inbound(older));
            }
            None => {
                self.newest_by_worker.insert(name.to_owned(), id);
            }
        }
        // Until now the connection counted towards the users' share.
        let over = self.used(Group::Workers) > self.shares.workers;
        if over && self.open_count() >= self.shares.total {
            self.evict(now, Group::Workers, false, Some(id), &mut close);
        }
        close
    }

    /// Records that a request has been answered.
    pub fn request_answered(&mut self, now: Duration, conn: ConnId) {
        if let Some(id) = self.open_requests.remove(&conn) {
            self.record_activity(now, id, false);
        }
    }

    /// Records that an inbound connection has ended.
    pub fn connection_closed(&mut self, id: SocketId) {
        self.remove(id);
    }

    /// Records the start of an outbound call and returns the connections to close. `unresponsive`
    /// is true if the call goes to a worker that has not answered recently.
    pub fn call_started(
        &mut self,
        now: Duration,
        kind: OutboundKind,
        unresponsive: bool,
    ) -> Vec<Close> {
        let mut close = Vec::new();
        let out = &mut self.outbound[kind as usize];
        if out.idle > 0 && kind != OutboundKind::Orders {
            // The call most likely reuses an idle connection.
            out.idle -= 1;
        } else {
            // The call is made even if no socket can be freed: it is within its share, or bounded
            // by `may_send_order`.
            self.make_room(now, kind.group(), &mut close);
        }
        self.outbound[kind as usize].calls += 1;
        self.unresponsive += usize::from(unresponsive);
        close
    }

    /// Records that an outbound call has finished.
    pub fn call_finished(&mut self, kind: OutboundKind, unresponsive: bool) {
        let calls = &mut self.outbound[kind as usize].calls;
        *calls = calls.saturating_sub(1);
        self.unresponsive = self.unresponsive.saturating_sub(usize::from(unresponsive));
    }

    /// Whether a direct order may be sent now; if not, it is tried again when calls have finished.
    pub fn may_send_order(&self, unresponsive: bool) -> bool {
        let calls = self.outbound[OutboundKind::Orders as usize].calls;
        let most = (self.shares.orders / UNRESPONSIVE_DIVISOR).max(1);
        calls < self.shares.orders && (!unresponsive || self.unresponsive < most)
    }

    /// Sets how many outbound connections of each kind are idle.
    pub fn set_idle(&mut self, idle: [usize; 3]) {
        for (out, idle) in self.outbound.iter_mut().zip(idle) {
            out.idle = idle;
        }
    }

    /// Closes the connections that have been inactive for too long and returns them; logs a
    /// shortage of sockets.
    pub fn tick(&mut self, now: Duration) -> Vec<Close> {
        let mut close = Vec::new();
        for group in [Group::Users, Group::Workers, Group::Peers] {
            while let Some(&(since, id)) = self.activity_queue(group).first()
                && now >= since + IDLE_TIMEOUT
            {
                self.remove(id);
                close.push(Close::Inbound(id));
            }
        }
        let has_shortage = self.evicted + self.rejected > 0;
        if has_shortage && self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.logged_at = Some(now);
            let [users, workers, peers, outside] = GROUPS.map(|g| self.used(g));
            log::info!(
                "socket shortage: {users} for users and unidentified, {workers} for workers, \
                 {peers} for controllers, {outside} for state service and cloud, of {}; \
                 {} closed, {} rejected",
                self.shares.total,
                self.evicted,
                self.rejected
            );
            (self.evicted, self.rejected) = (0, 0);
        }
        close
    }

    /// The inbound connections of a group; `Outside` has none of its own and uses the users'.
    fn activity_queue(&self, group: Group) -> &ActivityQueue {
        match group {
            Group::Users | Group::Outside => &self.users,
            Group::Workers => &self.workers,
            Group::Peers => &self.peers,
        }
    }

    fn activity_queue_mut(&mut self, group: Group) -> &mut ActivityQueue {
        match group {
            Group::Users | Group::Outside => &mut self.users,
            Group::Workers => &mut self.workers,
            Group::Peers => &mut self.peers,
        }
    }

    fn used(&self, group: Group) -> usize {
        let out = |kind: OutboundKind| {
            let out = self.outbound[kind as usize];
            out.calls + out.idle
        };
        match group {
            Group::Users => self.users.len(),
            Group::Workers => self.workers.len() + out(OutboundKind::Orders),
            Group::Peers => self.peers.len() + out(OutboundKind::Peers),
            Group::Outside => out(OutboundKind::Outside),
        }
    }

    /// Closes connections until the group can open one more. Returns false if that is not possible.
    fn make_room(&mut self, now: Duration, group: Group, close: &mut Vec<Close>) -> bool {
        while self.open_count() >= self.shares.total {
            let within_share = self.used(group) < self.shares.of(group);
            if !self.evict(now, group, within_share, None, close) {
                return false;
            }
        }
        true
    }

    /// Closes one connection for this group, which is below its share if `within_share` is true.
    /// Returns false if none can be closed.
    fn evict(
        &mut self,
        now: Duration,
        group: Group,
        within_share: bool,
        except: Option<SocketId>,
        close: &mut Vec<Close>,
    ) -> bool {
        let orders = &mut self.outbound[OutboundKind::Orders as usize].idle;
        if *orders > 0 {
            *orders -= 1;
            close.push(Close::Idle(OutboundKind::Orders, 1));
            return true;
        }
        let victim = self.stale_worker(now, except).or_else(|| {
            if !within_share {
                return self.least_recently_active(now, group, except);
            }
            let from = self.largest_borrower()?;
            let idle = self.least_recently_active(now, from, except);
            idle.or_else(|| self.activity_queue(from).first().map(|(_, id)| *id))
        });
        let Some(id) = victim else {
            return false;
        };
        self.evicted += 1;
        self.remove(id);
        close.push(Close::Inbound(id));
        true
    }

    /// The longest inactive connection of a worker, if its report has timed out or its next report
    /// is overdue: the worker reports elsewhere or is dead.
    fn stale_worker(&self, now: Duration, except: Option<SocketId>) -> Option<SocketId> {
        let &(since, id) = self.workers.first()?;
        let busy = self.sockets.get(&id).is_some_and(|s| s.busy);
        let limit = if busy {
            REPORT_TIMEOUT
        } else {
            self.max_report_gap
        };
        (now >= since + limit && except != Some(id)).then_some(id)
    }

    /// The group that has borrowed most, of those that have inbound connections.
    fn largest_borrower(&self) -> Option<Group> {
        let borrowed = |g: &Group| self.used(*g).saturating_sub(self.shares.of(*g));
        let could = [Group::Users, Group::Workers, Group::Peers].into_iter();
        could.max_by_key(borrowed).filter(|g| borrowed(g) > 0)
    }

    /// The longest inactive connection of a group on which no client waits for an answer, however
    /// short its inactivity: a rejected client is certainly not served, while one that has its
    /// answer, or has not sent a request yet, loses little.
    fn least_recently_active(
        &self,
        now: Duration,
        group: Group,
        except: Option<SocketId>,
    ) -> Option<SocketId> {
        let can_go = |&&(since, id): &&(Duration, SocketId)| {
            let busy = self.sockets.get(&id).is_some_and(|s| s.busy);
            let least = if busy {
                MAX_CLIENT_TIMEOUT
            } else {
                Duration::ZERO
            };
            except != Some(id) && now >= since + least
        };
        self.activity_queue(group)
            .iter()
            .find(can_go)
            .map(|(_, id)| *id)
    }

    /// Records a request or an answer on a connection.
    fn record_activity(&mut self, now: Duration, id: SocketId, busy: bool) {
        let Some(socket) = self.sockets.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut socket.since, now);
        socket.busy = busy;
        let group = socket.group;
        let activity_queue = self.activity_queue_mut(group);
        activity_queue.remove(&(before, id));
        activity_queue.insert((now, id));
    }

    fn remove(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.remove(&id) else {
            return;
        };
        self.activity_queue_mut(socket.group)
            .remove(&(socket.since, id));
        if let Some(name) = socket.worker {
            self.forget_newest(&name, id);
        }
    }

    fn forget_newest(&mut self, name: &str, id: SocketId) {
        if self.newest_by_worker.get(name) == Some(&id) {
            self.newest_by_worker.remove(name);
        }
    }
}

#[cfg(test)]
mod tests;
