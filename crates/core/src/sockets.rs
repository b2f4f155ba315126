//! The one owner of this process's sockets: who may have how many, and which
//! connection goes when all are taken.
//!
//! Four groups share them. Each has a share that it can always have; what the
//! others leave unused it may borrow. Whoever needs a socket when none is left
//! takes it from a group that has borrowed, and from that the connection that
//! most likely nobody is at the other end of any more:
//!
//! 1. our own kept connections to workers, as a new one costs a round trip;
//! 2. connections of workers that gave up, or that came again over a newer one;
//! 3. those that have been silent for longest.
//!
//! Users, probes and workers once shared one allowance. What was beyond it was
//! accepted and dropped at once, so that a few hundred workers whose network
//! held their packets, each of which left a connection behind every five
//! seconds, had the load balancer find no healthy controller.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_wire::settings::Settings;

use crate::{
    call::{ConnId, Listener, Target},
    request_queue::REPORT_TIMEOUT,
};

/// Names a connection that came in; one that came later has a larger name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// What we make connections of our own for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutboundKind {
    /// State service and cloud.
    Outside,
    /// The other controllers.
    Peers,
    /// Direct orders to workers.
    Orders,
}

impl OutboundKind {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Outside, Self::Peers, Self::Orders];

    /// What a call is made for.
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

/// Who shares the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Group {
    /// Users, probes, and whoever has not said yet who it is.
    Users,
    /// Workers' reports, and our orders to them.
    Workers,
    /// Controllers and operators, both ways.
    Peers,
    /// State service and cloud.
    Outside,
}

const GROUPS: [Group; 4] = [Group::Users, Group::Workers, Group::Peers, Group::Outside];

/// A connection to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// One that came in.
    Inbound(SocketId),
    /// The longest unused ones that we have kept.
    Idle(OutboundKind, usize),
}

/// What the process has open that is no connection: streams, listeners, what
/// the reactor needs.
const OWN: usize = 12;
/// For how long a connection may say nothing.
const PATIENCE: Duration = Duration::from_secs(25);
/// The longest that somebody waits for an answer; after that nobody reads it.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// For how many seconds' worth of requests to state service and cloud there
/// are sockets.
const OUTSIDE_S: f64 = 2.0;
/// Sockets for each other controller, both ways.
const EACH_PEER: usize = 12;
/// The part of all sockets that is for users and probes.
const USERS_PART: usize = 4;
/// The part of all sockets that direct orders may take at a time, and the part
/// of these for workers that have not answered lately.
const ORDERS_PART: usize = 4;
const DOUBTFUL_PART: usize = 4;
/// Pressure is told of once in this time.
const TELL: Duration = Duration::from_secs(10);

/// How many sockets each group can always have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// All connections together.
    pub total: usize,
    /// Users and probes.
    pub users: usize,
    /// Workers' reports and our orders to them.
    pub workers: usize,
    /// The other controllers and operators.
    pub peers: usize,
    /// State service and cloud.
    pub outside: usize,
    /// Of those of the workers, direct orders at a time.
    pub orders: usize,
}

impl Shares {
    /// What follows from a deployment's settings.
    pub fn new(settings: &Settings) -> Self {
        let limits = &settings.params;
        let total = limits.limits.max_sockets.saturating_sub(OWN).max(16);
        let rate = limits.state.rps + limits.cloud.rps;
        let outside = ((rate * OUTSIDE_S) as usize).clamp(2, total / 8);
        let peers = (settings.peers.len() * EACH_PEER).clamp(2, total / 8);
        let users = total / USERS_PART;
        Self {
            total,
            users,
            workers: total - users - peers - outside,
            peers,
            outside,
            orders: total / ORDERS_PART,
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

/// A connection that came in.
#[derive(Debug)]
struct Socket {
    group: Group,
    /// When something happened on it last.
    since: Duration,
    /// Whether a request of it is not answered yet.
    busy: bool,
    /// Whose it is, if that is a worker.
    worker: Option<String>,
}

/// Connections that came in, of one group, the longest silent first.
type Silent = BTreeSet<(Duration, SocketId)>;

/// Our own connections for one purpose.
#[derive(Clone, Copy, Debug, Default)]
struct Outbound {
    calls: usize,
    kept: usize,
}

/// All sockets of a controller.
#[derive(Debug)]
pub struct Sockets {
    shares: Shares,
    /// A worker that lives has reported within this time.
    reports_within: Duration,
    sockets: HashMap<SocketId, Socket>,
    users: Silent,
    workers: Silent,
    peers: Silent,
    out: [Outbound; 3],
    /// Direct orders under way to workers that have not answered lately.
    doubtful: usize,
    /// The newest connection of each worker.
    newest: HashMap<String, SocketId>,
    /// Requests that are not answered yet.
    asked: HashMap<ConnId, SocketId>,
    /// Closed for want of sockets since that was told last, and turned away.
    closed: usize,
    turned_away: usize,
    told_at: Option<Duration>,
}

impl Sockets {
    /// Nothing is open yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            shares: Shares::new(settings),
            reports_within: settings.report_period().mul_f64(1.5) + REPORT_TIMEOUT,
            sockets: HashMap::new(),
            users: Silent::new(),
            workers: Silent::new(),
            peers: Silent::new(),
            out: [Outbound::default(); 3],
            doubtful: 0,
            newest: HashMap::new(),
            asked: HashMap::new(),
            closed: 0,
            turned_away: 0,
            told_at: None,
        }
    }

    /// How many connections are open, both ways.
    pub fn open_count(&self) -> usize {
        let out: usize = self.out.iter().map(|o| o.calls + o.kept).sum();
        self.sockets.len() + out
    }

    /// A connection came in. If it can't be had, it is itself among those to
    /// be closed.
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
            self.turned_away += 1;
            close.push(Close::Inbound(id));
            return close;
        }
        let socket = Socket {
            group,
            since: now,
            busy: false,
            worker: None,
        };
        self.silent_mut(group).insert((now, id));
        self.sockets.insert(id, socket);
        close
    }

    /// A request came in on a connection.
    pub fn request_received(&mut self, now: Duration, id: SocketId, conn: ConnId) {
        self.happens(now, id, true);
        if self.sockets.contains_key(&id) {
            self.asked.insert(conn, id);
        }
    }

    /// The request is a worker's report.
    pub fn identify_worker(&mut self, now: Duration, conn: ConnId, name: &str) -> Vec<Close> {
        let mut close = Vec::new();
        let Some(&id) = self.asked.get(&conn) else {
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
            self.silent_mut(from).remove(&(since, id));
            self.workers.insert((since, id));
        }
        match self.newest.get(name).copied() {
            // Held up on its way: the worker has a newer one, on which it
            // lives. This one will not be heard of again.
            Some(newer) if newer > id => close.push(Close::Inbound(id)),
            Some(older) => {
                self.newest.insert(name.to_owned(), id);
                self.remove(older);
                close.push(Close::Inbound(older));
            }
            None => {
                self.newest.insert(name.to_owned(), id);
            }
        }
        // It counted as a user's until now.
        let over = self.used(Group::Workers) > self.shares.workers;
        if over && self.open_count() >= self.shares.total {
            self.evict(now, Group::Workers, false, Some(id), &mut close);
        }
        close
    }

    /// A request has its answer.
    pub fn request_answered(&mut self, now: Duration, conn: ConnId) {
        if let Some(id) = self.asked.remove(&conn) {
            self.happens(now, id, false);
        }
    }

    /// A connection that came in has ended.
    pub fn connection_closed(&mut self, id: SocketId) {
        self.remove(id);
    }

    /// A call of our own begins; `doubtful` if it is to a worker that has not
    /// answered lately.
    pub fn call_started(
        &mut self,
        now: Duration,
        lane: OutboundKind,
        doubtful: bool,
    ) -> Vec<Close> {
        let mut close = Vec::new();
        let out = &mut self.out[lane as usize];
        if out.kept > 0 && lane != OutboundKind::Orders {
            // Most likely over one that we have kept.
            out.kept -= 1;
        } else {
            // It is made in any case: it is within its share, or bounded by
            // `may_order`.
            self.make_room(now, lane.group(), &mut close);
        }
        self.out[lane as usize].calls += 1;
        self.doubtful += usize::from(doubtful);
        close
    }

    /// A call of our own is over.
    pub fn call_finished(&mut self, lane: OutboundKind, doubtful: bool) {
        let calls = &mut self.out[lane as usize].calls;
        *calls = calls.saturating_sub(1);
        self.doubtful = self.doubtful.saturating_sub(usize::from(doubtful));
    }

    /// Whether direct orders may go out now; those that must wait are tried
    /// again when calls are over.
    pub fn may_send_order(&self, doubtful: bool) -> bool {
        let calls = self.out[OutboundKind::Orders as usize].calls;
        let most = (self.shares.orders / DOUBTFUL_PART).max(1);
        calls < self.shares.orders && (!doubtful || self.doubtful < most)
    }

    /// How many connections of ours are open without a use, for each purpose.
    pub fn set_idle(&mut self, kept: [usize; 3]) {
        for (out, kept) in self.out.iter_mut().zip(kept) {
            out.kept = kept;
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Close> {
        let mut close = Vec::new();
        for group in [Group::Users, Group::Workers, Group::Peers] {
            while let Some(&(since, id)) = self.silent(group).first()
                && now >= since + PATIENCE
            {
                self.remove(id);
                close.push(Close::Inbound(id));
            }
        }
        let pressed = self.closed + self.turned_away > 0;
        if pressed && self.told_at.is_none_or(|at| now >= at + TELL) {
            self.told_at = Some(now);
            let [users, workers, peers, outside] = GROUPS.map(|g| self.used(g));
            log::info!(
                "sockets are short: {users} users and unknown, {workers} workers, {peers} peers, \
                 {outside} outside, of {}; closed {}, turned away {}",
                self.shares.total,
                self.closed,
                self.turned_away
            );
            (self.closed, self.turned_away) = (0, 0);
        }
        close
    }

    /// Nothing comes in from outside.
    fn silent(&self, group: Group) -> &Silent {
        match group {
            Group::Users | Group::Outside => &self.users,
            Group::Workers => &self.workers,
            Group::Peers => &self.peers,
        }
    }

    fn silent_mut(&mut self, group: Group) -> &mut Silent {
        match group {
            Group::Users | Group::Outside => &mut self.users,
            Group::Workers => &mut self.workers,
            Group::Peers => &mut self.peers,
        }
    }

    fn used(&self, group: Group) -> usize {
        let out = |lane: OutboundKind| {
            let out = self.out[lane as usize];
            out.calls + out.kept
        };
        match group {
            Group::Users => self.users.len(),
            Group::Workers => self.workers.len() + out(OutboundKind::Orders),
            Group::Peers => self.peers.len() + out(OutboundKind::Peers),
            Group::Outside => out(OutboundKind::Outside),
        }
    }

    /// Sees to it that the group can have one more. False if it can't.
    fn make_room(&mut self, now: Duration, group: Group, close: &mut Vec<Close>) -> bool {
        while self.open_count() >= self.shares.total {
            let entitled = self.used(group) < self.shares.of(group);
            if !self.evict(now, group, entitled, None, close) {
                return false;
            }
        }
        true
    }

    /// Closes one connection for somebody of this group, who is `entitled` to
    /// it if the group has less than its share. False if none can go.
    fn evict(
        &mut self,
        now: Duration,
        group: Group,
        entitled: bool,
        spare: Option<SocketId>,
        close: &mut Vec<Close>,
    ) -> bool {
        let orders = &mut self.out[OutboundKind::Orders as usize].kept;
        if *orders > 0 {
            *orders -= 1;
            close.push(Close::Idle(OutboundKind::Orders, 1));
            return true;
        }
        let victim = self.gave_up(now, spare).or_else(|| {
            if !entitled {
                return self.longest_silent(now, group, spare);
            }
            let from = self.debtor()?;
            let idle = self.longest_silent(now, from, spare);
            idle.or_else(|| self.silent(from).first().map(|(_, id)| *id))
        });
        let Some(id) = victim else {
            return false;
        };
        self.closed += 1;
        self.remove(id);
        close.push(Close::Inbound(id));
        true
    }

    /// A worker that has reported elsewhere since, or lives no more.
    fn gave_up(&self, now: Duration, spare: Option<SocketId>) -> Option<SocketId> {
        let &(since, id) = self.workers.first()?;
        let busy = self.sockets.get(&id).is_some_and(|s| s.busy);
        let limit = if busy {
            REPORT_TIMEOUT
        } else {
            self.reports_within
        };
        (now >= since + limit && spare != Some(id)).then_some(id)
    }

    /// The group that has borrowed most, of those that could give back.
    fn debtor(&self) -> Option<Group> {
        let borrowed = |g: &Group| self.used(*g).saturating_sub(self.shares.of(*g));
        let could = [Group::Users, Group::Workers, Group::Peers].into_iter();
        could.max_by_key(borrowed).filter(|g| borrowed(g) > 0)
    }

    /// The longest silent of a group that nobody waits on. However short that
    /// is: a newcomer that is turned away is surely not served, while one that
    /// has had its answer, or has not asked yet, loses little.
    fn longest_silent(
        &self,
        now: Duration,
        group: Group,
        spare: Option<SocketId>,
    ) -> Option<SocketId> {
        let can_go = |&&(since, id): &&(Duration, SocketId)| {
            let busy = self.sockets.get(&id).is_some_and(|s| s.busy);
            let least = if busy { LONGEST_WAIT } else { Duration::ZERO };
            spare != Some(id) && now >= since + least
        };
        self.silent(group).iter().find(can_go).map(|(_, id)| *id)
    }

    fn happens(&mut self, now: Duration, id: SocketId, busy: bool) {
        let Some(socket) = self.sockets.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut socket.since, now);
        socket.busy = busy;
        let group = socket.group;
        let silent = self.silent_mut(group);
        silent.remove(&(before, id));
        silent.insert((now, id));
    }

    fn remove(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.remove(&id) else {
            return;
        };
        self.silent_mut(socket.group).remove(&(socket.since, id));
        if let Some(name) = socket.worker {
            self.forget_newest(&name, id);
        }
    }

    fn forget_newest(&mut self, name: &str, id: SocketId) {
        if self.newest.get(name) == Some(&id) {
            self.newest.remove(name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn settings(max_sockets: usize) -> Settings {
        let text = format!(
            r#"{{"member":"n-0","site":"a","bind":"10.0.0.1:80","internal_addr":"10.0.0.1:81",
            "members":[{{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}}],
            "outside":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
            "deployment":{{"zones":["a"],"teams":[],
            "workers":{{"report_s":6.0,"lease_s":28.0,"cancel_s":48.0}},
            "state":{{"rps":10,"write_rps":5,"value_kb":16,"txn_ops":20}},
            "cloud":{{"rps":2,"list_lag_s":3}},"limits":{{"max_sockets":{max_sockets}}}}}}}"#
        );
        Settings::parse(&text).expect("good settings")
    }

    /// A connection on which a worker reports and gets its answer.
    fn worker(sockets: &mut Sockets, now: Duration, id: u64, name: &str) -> Vec<Close> {
        let mut close = sockets.connection_opened(now, SocketId(id), Listener::Public);
        sockets.request_received(now, SocketId(id), id);
        close.extend(sockets.identify_worker(now, id, name));
        sockets.request_answered(now, id);
        close
    }

    #[test]
    fn shares_follow_from_the_settings() {
        for most in [32, 100, 1000, 2514, 100_000] {
            let shares = Shares::new(&settings(most));
            assert_eq!(
                shares.users + shares.workers + shares.peers + shares.outside,
                shares.total
            );
            assert!(shares.total < most && shares.users >= 4 && shares.outside >= 2);
            assert!(shares.orders <= shares.workers, "{shares:?}");
        }
    }

    #[test]
    fn a_worker_that_came_again_loses_its_older_connection() {
        let mut sockets = Sockets::new(&settings(100));
        assert_eq!(worker(&mut sockets, S, 1, "vm-1"), []);
        let older = Close::Inbound(SocketId(1));
        assert_eq!(worker(&mut sockets, 2 * S, 2, "vm-1"), [older]);
        // What was held up on an older connection does not end the newer one.
        sockets.connection_opened(3 * S, SocketId(4), Listener::Public);
        assert_eq!(worker(&mut sockets, 4 * S, 5, "vm-2"), []);
        sockets.request_received(5 * S, SocketId(4), 4);
        let late = Close::Inbound(SocketId(4));
        assert_eq!(sockets.identify_worker(5 * S, 4, "vm-2"), [late]);
        assert!(sockets.sockets.contains_key(&SocketId(5)));
    }

    /// Hundreds of workers left a connection behind every few seconds, and
    /// users and probes were turned away for as long as these were kept.
    #[test]
    fn users_are_taken_while_workers_crowd() {
        let mut sockets = Sockets::new(&settings(200));
        let (mut id, mut closed) = (0, 0);
        for tick in 0..400u32 {
            let now = S * tick / 10;
            for _ in 0..20 {
                id += 1;
                let close = worker(&mut sockets, now, id, &format!("vm-{id}"));
                closed += close.len();
            }
            id += 1;
            let probe = SocketId(id);
            let close = sockets.connection_opened(now, probe, Listener::Public);
            assert!(!close.contains(&Close::Inbound(probe)), "at {now:?}");
            sockets.request_received(now, probe, id);
            sockets.request_answered(now, id);
            sockets.connection_closed(probe);
            assert!(sockets.open_count() <= sockets.shares.total);
        }
        assert!(closed > 5000, "{closed}");
    }

    #[test]
    fn calls_to_workers_are_bounded() {
        let mut sockets = Sockets::new(&settings(200));
        let most = sockets.shares.orders;
        let mut doubtful = 0;
        while sockets.may_send_order(true) {
            sockets.call_started(S, OutboundKind::Orders, true);
            doubtful += 1;
        }
        assert!(doubtful <= most / DOUBTFUL_PART, "{doubtful} of {most}");
        let mut calls = doubtful;
        while sockets.may_send_order(false) {
            sockets.call_started(S, OutboundKind::Orders, false);
            calls += 1;
        }
        assert_eq!(calls, most);
        sockets.call_finished(OutboundKind::Orders, true);
        assert!(sockets.may_send_order(true));
    }

    /// What is open, as plainly as it can be said.
    #[derive(Default)]
    struct Plain {
        /// Name, group, last word, unanswered, worker.
        came: Vec<(u64, Group, Duration, bool, Option<String>)>,
        calls: [usize; 3],
        kept: usize,
    }

    impl Plain {
        fn used(&self, group: Group) -> usize {
            let came = self.came.iter().filter(|c| c.1 == group).count();
            let lanes = OutboundKind::ALL.into_iter().filter(|l| l.group() == group);
            let calls: usize = lanes.map(|l| self.calls[l as usize]).sum();
            came + calls
                + if group == Group::Workers {
                    self.kept
                } else {
                    0
                }
        }

        fn open_count(&self) -> usize {
            GROUPS.iter().map(|g| self.used(*g)).sum()
        }

        fn longest(&self, may: impl Fn(&Self, usize) -> bool) -> Option<u64> {
            let may = (0..self.came.len()).filter(|i| may(self, *i));
            let first = may.min_by_key(|i| (self.came[*i].2, self.came[*i].0));
            first.map(|i| self.came[i].0)
        }

        /// What goes for one more of this group.
        fn victim(&self, now: Duration, group: Group, sockets: &Sockets) -> Option<Close> {
            if self.kept > 0 {
                return Some(Close::Idle(OutboundKind::Orders, 1));
            }
            let first = self.longest(|p, i| p.came[i].1 == Group::Workers);
            let gave_up = first.filter(|id| {
                let came = self.came.iter().find(|c| c.0 == *id).expect("it is there");
                let busy = if came.3 { S * 4 } else { S * 13 };
                now >= came.2 + busy
            });
            let shares = &sockets.shares;
            let short = self.used(group) < shares.of(group);
            let debt = |g: Group| self.used(g).saturating_sub(shares.of(g));
            let in_debt = [Group::Users, Group::Workers, Group::Peers];
            let from = if short {
                // Of equal debts the last is taken.
                let most = in_debt.into_iter().max_by_key(|g| debt(*g));
                most.filter(|g| debt(*g) > 0)
            } else {
                Some(group)
            };
            let of_group = |p: &Self, i: usize| Some(p.came[i].1) == from;
            let can_go = |p: &Self, i: usize| {
                let least = if p.came[i].3 { S * 5 } else { Duration::ZERO };
                of_group(p, i) && now >= p.came[i].2 + least
            };
            let id = gave_up.or_else(|| self.longest(can_go));
            let id = id.or_else(|| self.longest(|p, i| short && of_group(p, i)));
            id.map(|id| Close::Inbound(SocketId(id)))
        }

        fn close(&mut self, close: Close) {
            match close {
                Close::Inbound(id) => self.came.retain(|c| c.0 != id.0),
                Close::Idle(..) => self.kept -= 1,
            }
        }
    }

    #[test]
    fn drawn_days_agree_with_the_plain_model() {
        for seed in 0..60 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut sockets = Sockets::new(&settings(rng.usize(32..90)));
            let mut plain = Plain::default();
            let mut now = S;
            let (mut evicted, mut refused) = (0, 0);
            for id in 1..1500u64 {
                now += Duration::from_millis(rng.u64(0..250));
                for close in sockets.tick(now) {
                    plain.close(close);
                }
                assert!(plain.came.iter().all(|c| now < c.2 + PATIENCE));
                if rng.u8(0..8) == 0 {
                    let lane = rng.choice(OutboundKind::ALL).expect("one");
                    let begins = rng.bool()
                        && (lane != OutboundKind::Orders || sockets.may_send_order(false));
                    if begins && sockets.used(lane.group()) < sockets.shares.of(lane.group()) {
                        while plain.open_count() >= sockets.shares.total {
                            let victim = plain.victim(now, lane.group(), &sockets);
                            plain.close(victim.expect("an entitled one has room"));
                        }
                        sockets.call_started(now, lane, false);
                        plain.calls[lane as usize] += 1;
                    } else if plain.calls[lane as usize] > 0 {
                        sockets.call_finished(lane, false);
                        plain.calls[lane as usize] -= 1;
                        if lane == OutboundKind::Orders {
                            plain.kept += 1;
                            sockets.set_idle([0, 0, plain.kept]);
                        }
                    }
                    continue;
                }
                let listener = if rng.u8(0..10) == 0 {
                    Listener::Internal
                } else {
                    Listener::Public
                };
                let group = if listener == Listener::Internal {
                    Group::Peers
                } else {
                    Group::Users
                };
                let mut expected = Vec::new();
                let entitled = plain.used(group) < sockets.shares.of(group);
                while plain.open_count() >= sockets.shares.total {
                    let Some(victim) = plain.victim(now, group, &sockets) else {
                        expected.push(Close::Inbound(SocketId(id)));
                        break;
                    };
                    expected.push(victim);
                    plain.close(victim);
                }
                assert_eq!(
                    sockets.connection_opened(now, SocketId(id), listener),
                    expected,
                    "{seed}"
                );
                evicted += expected.len();
                if expected.contains(&Close::Inbound(SocketId(id))) {
                    assert!(
                        !entitled,
                        "{seed}: {group:?} is turned away below its share"
                    );
                    refused += 1;
                    continue;
                }
                plain.came.push((id, group, now, false, None));
                // Some say something, some of these are workers, and most get
                // an answer.
                if rng.u8(0..4) > 0 {
                    let came = plain.came.len() - 1;
                    sockets.request_received(now, SocketId(id), id);
                    plain.came[came].3 = true;
                    if listener == Listener::Public && rng.bool() {
                        let name = format!("vm-{}", rng.u8(0..60));
                        let older = plain.came.iter().find(|c| c.4.as_ref() == Some(&name));
                        let older = older.map(|c| c.0);
                        plain.came[came].1 = Group::Workers;
                        plain.came[came].4 = Some(name.clone());
                        let close = sockets.identify_worker(now, id, &name);
                        assert!(older.is_none_or(|o| close.contains(&Close::Inbound(SocketId(o)))));
                        for close in close {
                            plain.close(close);
                        }
                    }
                    if rng.u8(0..6) > 0 {
                        sockets.request_answered(now, id);
                        if let Some(came) = plain.came.iter_mut().find(|c| c.0 == id) {
                            came.3 = false;
                        }
                    }
                }
                if rng.u8(0..3) == 0
                    && let Some(ends) = rng.choice(0..plain.came.len())
                {
                    let id = plain.came.remove(ends).0;
                    sockets.connection_closed(SocketId(id));
                }
                assert_eq!(sockets.open_count(), plain.open_count(), "seed {seed}");
                for group in GROUPS {
                    assert_eq!(sockets.used(group), plain.used(group), "seed {seed}");
                }
            }
            assert!(evicted > 50 && refused < 700, "{seed}: {evicted} {refused}");
        }
    }
}
