//! The sockets of the controllers, as their system counts them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_core::{CallId, SocketId, sockets::OutboundKind};

/// For how long a connection that a call was made over is idle.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// What inbound of connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCounts {
    /// Most open at a time at one controller.
    pub peak: usize,
    /// Came in beyond the limit, so that the system refused them.
    pub refused: usize,
    /// Users whose connection was closed while they waited for their answer.
    pub users_cut: usize,
    /// The same for the load balancer's probes, which wait a second.
    pub probes_cut: usize,
    /// Users who had no answer within the two seconds that they wait, and
    /// probes answered after their second.
    pub late: (usize, usize),
    /// Requests of users and probes.
    pub asked: usize,
}

/// The sockets of one life of a controller.
#[derive(Debug, Default)]
pub struct Sockets {
    inbound: BTreeSet<SocketId>,
    calls: HashMap<CallId, (OutboundKind, String)>,
    /// Connections without a use: since when, by address.
    idle: BTreeMap<String, Duration>,
}

impl Sockets {
    /// How many are open.
    pub fn open_count(&self) -> usize {
        self.inbound.len() + self.calls.len() + self.idle.len()
    }

    /// One inbound in.
    pub fn connection_opened(&mut self, id: SocketId) {
        self.inbound.insert(id);
    }

    /// Whether it is open.
    pub fn is_open(&self, id: SocketId) -> bool {
        self.inbound.contains(&id)
    }

    /// One that inbound in has ended; false if it had already.
    pub fn connection_closed(&mut self, id: SocketId) -> bool {
        self.inbound.remove(&id)
    }

    /// The controller makes a call.
    pub fn call_started(&mut self, id: CallId, kind: OutboundKind, address: &str) {
        self.idle.remove(address);
        self.calls.insert(id, (kind, address.to_owned()));
    }

    /// A call is over; its connection is idle if it got an answer. Only those
    /// to workers are many enough to be counted.
    pub fn call_finished(&mut self, now: Duration, id: CallId, answered: bool) {
        if let Some((OutboundKind::Orders, address)) = self.calls.remove(&id)
            && answered
        {
            self.idle.insert(address, now);
        }
    }

    /// Closes the longest unused.
    pub fn close_idle(&mut self, count: usize) {
        let mut oldest: Vec<_> = self.idle.iter().map(|(a, at)| (*at, a.clone())).collect();
        oldest.sort();
        for (_, address) in oldest.into_iter().take(count) {
            self.idle.remove(&address);
        }
    }

    /// Closes what has had no use for long; how many are idle, by kind.
    pub fn idle_counts(&mut self, now: Duration) -> [usize; 3] {
        self.idle
            .retain(|_, at| now < *at + IDLE_CONNECTION_TIMEOUT);
        let mut idle = [0; 3];
        idle[OutboundKind::Orders as usize] = self.idle.len();
        idle
    }
}
