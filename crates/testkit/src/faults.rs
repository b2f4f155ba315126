//! What can go wrong, scripted or drawn from a seed.

use std::{ops::Range, time::Duration};

/// One trouble.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A controller is killed; it comes back some seconds later.
    Crash {
        /// Which.
        node: usize,
        /// When.
        at: Duration,
    },
    /// A controller and the state service do not hear each other.
    CutState {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The state service refuses one controller.
    Refused {
        /// Which.
        node: usize,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The state service refuses everybody.
    Outage {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The cloud refuses everybody.
    CloudOutage {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// A controller and the machines of a zone do not hear each other; what is
    /// sent meanwhile arrives afterwards.
    CutWorkers {
        /// Which controller; none: all of them.
        node: Option<usize>,
        /// Which machines: those whose number leaves this rest by three.
        rest: Option<usize>,
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// Connections between controllers are refused.
    PeersRefuse {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The cloud takes spot machines, without notice.
    Taken {
        /// When.
        at: Duration,
    },
    /// A machine fails all its tasks.
    Sick {
        /// Its number.
        machine: usize,
        /// From when.
        at: Duration,
    },
}

impl Fault {
    /// From when until when it lasts; none if it comes and is over at once.
    pub fn span(&self) -> Option<Range<Duration>> {
        match *self {
            Self::CutState { from, until, .. }
            | Self::Refused { from, until, .. }
            | Self::Outage { from, until }
            | Self::CloudOutage { from, until }
            | Self::CutWorkers { from, until, .. }
            | Self::PeersRefuse { from, until } => Some(from..until),
            Self::Crash { .. } | Self::Taken { .. } | Self::Sick { .. } => None,
        }
    }
}

/// Draws a day's troubles, all of them over by `end`.
pub fn draw(seed: u64, nodes: usize, end: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = Duration::from_secs;
    let count = rng.usize(3..=7);
    let mut faults = Vec::new();
    for _ in 0..count {
        let from = s(rng.u64(15..end.as_secs() - 20));
        let until = (from + s(rng.u64(4..60))).min(end);
        let node = rng.usize(0..nodes);
        faults.push(match rng.u32(0..10) {
            0 | 1 => Fault::Crash { node, at: from },
            2 => Fault::CutState { node, from, until },
            3 => Fault::Refused { node, from, until },
            4 => Fault::Outage { from, until },
            5 => Fault::CutWorkers {
                node: Some(node),
                rest: None,
                from,
                until,
            },
            6 => Fault::CutWorkers {
                node: None,
                rest: Some(rng.usize(0..3)),
                from,
                until,
            },
            7 => Fault::Taken { at: from },
            8 => Fault::CloudOutage { from, until },
            _ => Fault::Sick {
                machine: rng.usize(0..6),
                at: from,
            },
        });
    }
    if rng.u32(0..4) == 0 {
        let from = s(rng.u64(15..end.as_secs() - 30));
        let until = from + s(20);
        faults.push(Fault::PeersRefuse { from, until });
    }
    if rng.bool() {
        let at = s(rng.u64(15..end.as_secs() - 20));
        faults.extend((0..nodes).map(|node| Fault::Crash { node, at }));
    }
    faults
}
