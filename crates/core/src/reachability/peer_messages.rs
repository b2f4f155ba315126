//! Messages of peers about their links to workers.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::peer::{ReachabilityMessage, StrayWorker};

use crate::records::BlockId;

/// How long a reachability message of a peer stays valid.
pub(super) const MESSAGE_LIFETIME: Duration = Duration::from_secs(3);
/// How long the unreached zones from a peer's last message stay valid.
const UNREACHED_LIFETIME: Duration = Duration::from_secs(60);

/// The unreached zones from a peer's last message.
#[derive(Debug)]
struct ReportedZones {
    received_at: Duration,
    /// The peer's incarnation.
    incarnation: u64,
    zones: Vec<String>,
}

/// The reachability messages of all peers.
#[derive(Debug, Default)]
pub(super) struct PeerMessages {
    /// The last message of each peer, and when it arrived.
    messages: BTreeMap<String, (Duration, ReachabilityMessage)>,
    /// When the strays named in these messages reported last, by machine.
    strays: BTreeMap<String, Duration>,
    /// The unreached zones from each peer's last message. They outlive the message, as a peer
    /// that loses more links can't repeat it.
    unreached_zones: BTreeMap<String, ReportedZones>,
}

impl PeerMessages {
    /// Takes in a message of a peer.
    pub fn receive(&mut self, now: Duration, message: ReachabilityMessage) {
        let from = message.from.clone();
        if message.unreached_zones.is_empty() {
            self.unreached_zones.remove(&from);
        } else {
            let reported = ReportedZones {
                received_at: now,
                incarnation: message.incarnation,
                zones: message.unreached_zones.clone(),
            };
            self.unreached_zones.insert(from.clone(), reported);
        }
        self.messages.insert(from, (now, message));
        self.index_strays();
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Duration) {
        let messages = self.messages.len();
        self.messages
            .retain(|_, (at, _)| now < *at + MESSAGE_LIFETIME);
        if self.messages.len() < messages {
            self.index_strays();
        }
        self.unreached_zones
            .retain(|_, reported| now < reported.received_at + UNREACHED_LIFETIME);
    }

    /// Forgets the unreached zones that earlier incarnations of peers reported: a restarted
    /// process has other links. `alive` gives the incarnation of a peer that is up.
    pub fn forget_previous_incarnations(&mut self, alive: impl Fn(&str) -> Option<u64>) {
        self.unreached_zones
            .retain(|node, reported| alive(node).is_none_or(|now| now == reported.incarnation));
    }

    /// Whether a peer reports that it hears none of a block's workers.
    pub fn is_unheard_by(&self, node: &str, block: BlockId) -> bool {
        let message = self.messages.get(node);
        message.is_some_and(|(_, message)| message.unheard_blocks.contains(&block))
    }

    /// Whether a peer reports that it hears none of some block's workers.
    pub fn has_unheard_block(&self, node: &str) -> bool {
        let message = self.messages.get(node);
        message.is_some_and(|(_, message)| !message.unheard_blocks.is_empty())
    }

    /// Whether any peer reports that it hears none of a block's workers.
    pub fn is_unheard(&self, block: BlockId) -> bool {
        let mut messages = self.messages.values();
        messages.any(|(_, message)| message.unheard_blocks.contains(&block))
    }

    /// The zones that a peer reports it does not reach.
    pub fn zones_unreached_by(&self, node: &str) -> &[String] {
        let reported = self.unreached_zones.get(node);
        reported.map_or(&[], |reported| &reported.zones)
    }

    /// The strays that peers have seen, with their present age.
    pub fn strays(&self, now: Duration) -> impl Iterator<Item = StrayWorker> {
        self.messages.values().flat_map(move |(at, message)| {
            let since = now.saturating_sub(*at).as_millis() as u64;
            message.strays.iter().cloned().map(move |s| StrayWorker {
                ago_ms: s.ago_ms + since,
                ..s
            })
        })
    }

    /// When a machine last reported to a peer that does not hold it.
    pub fn last_stray_at(&self, machine: &str) -> Option<Duration> {
        self.strays.get(machine).copied()
    }

    /// Rebuilds the index of strays that the messages name.
    fn index_strays(&mut self) {
        self.strays.clear();
        for (at, message) in self.messages.values() {
            for stray in &message.strays {
                let reported_at = at.saturating_sub(Duration::from_millis(stray.ago_ms));
                let last = self.strays.entry(stray.machine.clone());
                let last = last.or_insert(reported_at);
                *last = reported_at.max(*last);
            }
        }
    }
}
