//! Simulated sockets of the controllers, as the operating system counts them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_core::{CallId, SocketId, sockets::OutboundKind};

/// Time after which an idle outbound connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Counts of connections, and of requests by users and probes, over all controllers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCounts {
    /// Maximum number of sockets open at the same time at one controller.
    pub peak: usize,
    /// Inbound connections refused by the operating system because of the socket limit.
    pub refused: usize,
    /// Connections of users that were closed while the user waited for an answer.
    pub user_connections_cut: usize,
    /// Connections of the load balancer's probes that were closed while the probe waited; a
    /// probe waits one second.
    pub probe_connections_cut: usize,
    /// Requests of users without an answer within their timeout of two seconds, and probes
    /// answered after their timeout of one second.
    pub late: (usize, usize),
    /// Requests of users and probes.
    pub requests: usize,
}

/// Sockets of one controller process.
#[derive(Debug, Default)]
pub struct Sockets {
    inbound: BTreeSet<SocketId>,
    calls: HashMap<CallId, (OutboundKind, String)>,
    /// Idle outbound connections: the time since when they are idle, by address.
    idle: BTreeMap<String, Duration>,
}

impl Sockets {
    /// Number of open sockets.
    pub fn open_count(&self) -> usize {
        self.inbound.len() + self.calls.len() + self.idle.len()
    }

    /// Records an inbound connection.
    pub fn connection_opened(&mut self, id: SocketId) {
        self.inbound.insert(id);
    }

    /// Whether an inbound connection is open.
    pub fn is_open(&self, id: SocketId) -> bool {
        self.inbound.contains(&id)
    }

    /// Records the end of an inbound connection; false if it is not open.
    pub fn connection_closed(&mut self, id: SocketId) -> bool {
        self.inbound.remove(&id)
    }

    /// Records an outbound call, which uses an idle connection to the address if there is one.
    pub fn call_started(&mut self, id: CallId, kind: OutboundKind, address: &str) {
        self.idle.remove(address);
        self.calls.insert(id, (kind, address.to_owned()));
    }

    /// Records the end of a call. An answered call leaves its connection idle. Idle
    /// connections are counted only for workers; those to other peers are few.
    pub fn call_finished(&mut self, now: Duration, id: CallId, answered: bool) {
        if let Some((OutboundKind::Orders, address)) = self.calls.remove(&id)
            && answered
        {
            self.idle.insert(address, now);
        }
    }

    /// Closes the `count` connections that have been idle longest.
    pub fn close_idle(&mut self, count: usize) {
        let mut oldest: Vec<_> = self.idle.iter().map(|(a, at)| (*at, a.clone())).collect();
        oldest.sort();
        for (_, address) in oldest.into_iter().take(count) {
            self.idle.remove(&address);
        }
    }

    /// Closes connections idle for longer than the timeout; returns the number of idle
    /// connections by [`OutboundKind`].
    pub fn idle_counts(&mut self, now: Duration) -> [usize; 3] {
        self.idle
            .retain(|_, at| now < *at + IDLE_CONNECTION_TIMEOUT);
        let mut idle = [0; 3];
        idle[OutboundKind::Orders as usize] = self.idle.len();
        idle
    }
}
