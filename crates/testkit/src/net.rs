//! The sockets of the controllers, as their system counts them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use oliveshift_core::{CallId, SocketId, sockets::OutboundKind};

/// For how long a connection that a call was made over is kept.
const KEEP: Duration = Duration::from_secs(20);

/// What came of connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
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
    came: BTreeSet<SocketId>,
    calls: HashMap<CallId, (OutboundKind, String)>,
    /// Connections without a use: since when, by address.
    kept: BTreeMap<String, Duration>,
}

impl Sockets {
    /// How many are open.
    pub fn open(&self) -> usize {
        self.came.len() + self.calls.len() + self.kept.len()
    }

    /// One came in.
    pub fn opens(&mut self, id: SocketId) {
        self.came.insert(id);
    }

    /// Whether it is open.
    pub fn is_open(&self, id: SocketId) -> bool {
        self.came.contains(&id)
    }

    /// One that came in has ended; false if it had already.
    pub fn ends(&mut self, id: SocketId) -> bool {
        self.came.remove(&id)
    }

    /// The controller makes a call.
    pub fn calls(&mut self, id: CallId, lane: OutboundKind, address: &str) {
        self.kept.remove(address);
        self.calls.insert(id, (lane, address.to_owned()));
    }

    /// A call is over; its connection is kept if it got an answer. Only those
    /// to workers are many enough to be counted.
    pub fn called(&mut self, now: Duration, id: CallId, answered: bool) {
        if let Some((OutboundKind::Orders, address)) = self.calls.remove(&id)
            && answered
        {
            self.kept.insert(address, now);
        }
    }

    /// Closes the longest unused.
    pub fn close_kept(&mut self, count: usize) {
        let mut oldest: Vec<_> = self.kept.iter().map(|(a, at)| (*at, a.clone())).collect();
        oldest.sort();
        for (_, address) in oldest.into_iter().take(count) {
            self.kept.remove(&address);
        }
    }

    /// Closes what has had no use for long; how many are kept, by lane.
    pub fn kept(&mut self, now: Duration) -> [usize; 3] {
        self.kept.retain(|_, at| now < *at + KEEP);
        let mut kept = [0; 3];
        kept[OutboundKind::Orders as usize] = self.kept.len();
        kept
    }
}
