//! What controllers tell each other: advice only.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borsh::{BorshDeserialize, BorshSerialize};
use oliveshift_wire::{TaskId, peer::PeerMessage};

use crate::{
    assigned_tasks::Stop,
    attempt::AbsenceProof,
    call::{ConnId, Method, Reply, Target},
    controller::{Controller, Pending},
    machine_status::MachineStatus,
};

/// How often everybody hears from us.
const PERIOD: Duration = Duration::from_millis(1000);
/// How soon the leader hears news.
const NEWS: Duration = Duration::from_millis(100);
/// When to give a message up.
const TIMEOUT: Duration = Duration::from_millis(800);
/// After this, what a peer said no longer counts as recent.
const STALE: Duration = Duration::from_millis(3500);

/// What another controller has told us.
#[derive(Debug)]
pub(crate) struct PeerState {
    incarnation: u64,
    /// The version of its machines that we have.
    upto: u64,
    heard: Duration,
    /// When its contact with the state service was whole.
    contact: Option<Duration>,
    pub machines: BTreeMap<String, MachineStatus>,
    /// Tasks that take no room any more, whatever the records say.
    pub over: Vec<TaskId>,
}

impl PeerState {
    /// Whether we heard from it lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) < STALE
    }
}

/// What we have told another controller.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    /// The version of our machines that it has.
    acked: u64,
    /// When we wrote last, and whether the answer is awaited.
    at: Duration,
    waiting: bool,
    /// From the leader: what it has yet to be told at once.
    preempt: Vec<TaskId>,
    drain_due: bool,
}

/// When peers that are no members were last told how we stand.
#[derive(Debug, Default)]
pub(crate) struct NonMemberPeers {
    told: BTreeMap<String, Duration>,
}

impl NonMemberPeers {
    /// Which peers that are no members are to be told now how we stand with the
    /// state service. One that is turned away by it for longer than its lease heard
    /// from nobody any more, took that for an outage of all, and called itself
    /// healthy: users went on coming to it.
    fn due(&mut self, now: Duration, absent: impl Iterator<Item = String>) -> Vec<String> {
        let absent: BTreeSet<_> = absent.collect();
        self.told.retain(|peer, _| absent.contains(peer));
        let due = |peer: &String| self.told.get(peer).is_none_or(|at| now >= *at + PERIOD);
        let due: Vec<_> = absent.iter().filter(|p| due(p)).cloned().collect();
        self.told.extend(due.iter().map(|peer| (peer.clone(), now)));
        due
    }
}

impl Controller {
    /// A message of a controller; none if it is refused.
    pub(crate) fn decode_peer_message<T: BorshDeserialize>(
        &mut self,
        conn: ConnId,
        body: &[u8],
    ) -> Option<T> {
        let message = borsh::from_slice(body).ok();
        if message.is_none() {
            self.refuse(conn, 400, "not a message of this version");
        }
        message
    }

    /// Sends a message to another controller.
    pub(crate) fn call_peer(
        &mut self,
        peer: String,
        path: &str,
        message: &impl BorshSerialize,
        timeout: Duration,
        pending: Pending,
    ) {
        // Writing into memory can't fail.
        let body = borsh::to_vec(message).unwrap_or_default();
        let (to, path) = (Target::Peer(peer), path.to_owned());
        self.call(to, Method::Post, path, body, timeout, pending);
    }

    /// Takes in what another controller says.
    pub(crate) fn receive_peer_message(&mut self, conn: ConnId, message: PeerMessage) {
        let now = self.now;
        let known = self.settings.peers.iter().any(|p| p.node == message.from);
        if !known {
            return self.refuse(conn, 403, "not a controller of this deployment");
        }
        let leads = self.view.leader.as_ref().is_some_and(|l| {
            l.record.node == message.from && l.record.incarnation == message.incarnation
        });
        if leads {
            let drain = message.drain.into_iter().collect();
            if self.draining != drain {
                let before = std::mem::replace(&mut self.draining, drain);
                for name in before.iter().chain(&self.draining.clone()) {
                    self.mark_changed(name);
                }
            }
            for task in &message.preempt {
                self.preempt(task);
            }
        }
        let contact = message
            .contact_ms
            .and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let fresh = PeerState {
            incarnation: message.incarnation,
            upto: 0,
            heard: now,
            contact: None,
            machines: BTreeMap::new(),
            over: Vec::new(),
        };
        let peer = self.peers.entry(message.from).or_insert(fresh);
        if peer.incarnation != message.incarnation {
            peer.incarnation = message.incarnation;
            peer.upto = 0;
            // What its former life said of its machines stays until it is
            // told anew: the next holder asks for the images.
        }
        peer.heard = now;
        peer.contact = contact;
        if message.base > peer.upto {
            return self.refuse(conn, 409, "what came before is not known here");
        }
        if message.upto < peer.upto {
            // Held up on its way: we know more by now.
            return self.answer(conn, 200, Vec::new());
        }
        if message.base == 0 {
            peer.machines.clear();
        }
        peer.upto = message.upto;
        peer.over = message.over;
        let mut changed = Vec::new();
        for view in message.machines {
            let (name, seen) = MachineStatus::hear(now, view);
            changed.push(name.clone());
            peer.machines.insert(name, seen);
        }
        self.answer(conn, 200, Vec::new());
        for name in &changed {
            self.room_changed(name);
        }
    }

    /// Whether we heard from some peer lately.
    pub(crate) fn has_fresh_peer(&self) -> bool {
        self.peers.values().any(|p| p.is_fresh(self.now))
    }

    /// Whether we heard from a peer lately.
    pub(crate) fn is_peer_fresh(&self, node: &str) -> bool {
        let peer = self.peers.get(node);
        peer.is_some_and(|p| p.is_fresh(self.now))
    }

    /// Whether some peer can reach the state service while we can't.
    pub(crate) fn peers_have_contact(&self) -> bool {
        self.peers_in_contact().next().is_some()
    }

    /// The peers that reach the state service, as far as we heard.
    pub(crate) fn peers_in_contact(&self) -> impl Iterator<Item = &String> {
        let lately = |at: Duration| self.now.saturating_sub(at) < STALE;
        let peers = self.peers.iter();
        let peers =
            peers.filter(move |(_, p)| p.is_fresh(self.now) && p.contact.is_some_and(lately));
        peers.map(|(name, _)| name)
    }

    /// Images that a machine had by what we heard of it last.
    pub(crate) fn last_known_images(&self, name: &str) -> Vec<String> {
        let heard = self.peers.values().find_map(|p| p.machines.get(name));
        heard.map(|m| m.images.clone()).unwrap_or_default()
    }

    /// Stops a task to make room, with time to save.
    pub(crate) fn preempt(&mut self, task: &TaskId) {
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let grace = if assigned.spec.saves() {
            assigned.spec.save_time() + Duration::from_millis(500)
        } else {
            Duration::ZERO
        };
        let Some(bound) = assigned.bound_mut() else {
            return;
        };
        if bound.start_sent_with.is_none() {
            // Its start has not gone out, so there is nothing to stop: a stop
            // would wait for ever for the task to appear.
            return self.return_to_leader(task, AbsenceProof::NotStarted);
        }
        if bound.stop.is_none() {
            log::info!("{task}: has to make room on {}", bound.machine);
            bound.stop = Some(Stop { grace, sent: false });
            let machine = bound.machine.clone();
            self.order_queue.insert(machine);
        }
    }

    /// The leader wants a task stopped: whoever holds it hears of it.
    pub(crate) fn request_preemption(&mut self, task: &TaskId) {
        for link in self.peer_links.values_mut() {
            link.preempt.push(task.clone());
        }
        self.preempt(task);
    }

    /// The leader's list of machines to be emptied has changed.
    pub(crate) fn drain_changed(&mut self, name: &str) {
        for link in self.peer_links.values_mut() {
            link.drain_due = true;
        }
        self.mark_changed(name);
        self.room_changed(name);
    }

    /// Tells the others, when it is time or there is news for the leader.
    pub(crate) fn send_due_peer_messages(&mut self) {
        let now = self.now;
        if !self.store.ready {
            return;
        }
        let leader = self.view.leader.as_ref().map(|l| &l.record.node);
        let leads = self.leader.is_some();
        let version = self.own_machines.version;
        let due = |peer: &String, link: &PeerLink| {
            let news = if leads {
                !link.preempt.is_empty() || link.drain_due
            } else {
                leader == Some(peer) && link.acked < version
            };
            !link.waiting && now >= link.at + if news { NEWS } else { PERIOD }
        };
        let due: Vec<_> = self
            .peer_links
            .iter()
            .filter(|(peer, link)| due(peer, link))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in due {
            self.tell_peer(peer, version);
        }
        self.tell_absent(version);
    }

    /// Peers that are no members hear how we stand with the state service, and
    /// nothing else: they may be up and turned away by it.
    fn tell_absent(&mut self, version: u64) {
        let (now, links) = (self.now, &self.peer_links);
        let peers = self.settings.peers.iter().map(|p| &p.node);
        let absent = peers.filter(|peer| !links.contains_key(*peer)).cloned();
        let due = self.non_member_peers.due(now, absent);
        if due.is_empty() {
            return;
        }
        let message = self.bare_message(version);
        for peer in due {
            self.call_peer(peer, "/peer", &message, PERIOD, Pending::Reach);
        }
    }

    /// How we stand, and what the leader asks of all; nothing of machines.
    fn bare_message(&self, version: u64) -> PeerMessage {
        let leads = self.leader.is_some();
        PeerMessage {
            from: self.settings.node.clone(),
            incarnation: self.incarnation,
            contact_ms: self.contact_age().map(|a| a.as_millis() as u64),
            base: version,
            upto: version,
            machines: Vec::new(),
            over: Vec::new(),
            drain: self.draining.iter().filter(|_| leads).cloned().collect(),
            preempt: Vec::new(),
        }
    }

    fn tell_peer(&mut self, peer: String, version: u64) {
        let now = self.now;
        let Some(link) = self.peer_links.get_mut(&peer) else {
            return;
        };
        link.at = now;
        link.waiting = true;
        link.drain_due = false;
        let base = link.acked;
        let preempt = std::mem::take(&mut link.preempt);
        let machines = self.own_machines.machines.iter();
        let changed = machines.filter(|(_, (at, _))| *at > base);
        let message = PeerMessage {
            base,
            machines: changed.map(|(n, (_, seen))| seen.tell(now, n)).collect(),
            over: self.unrecorded.iter().cloned().collect(),
            preempt,
            ..self.bare_message(version)
        };
        let pending = Pending::PeerMessage(peer.clone(), version);
        self.call_peer(peer, "/peer", &message, TIMEOUT, pending);
    }

    /// What came of a message to a peer.
    pub(crate) fn peer_message_answered(&mut self, peer: &str, version: u64, reply: &Reply) {
        let Some(link) = self.peer_links.get_mut(peer) else {
            return;
        };
        link.waiting = false;
        match reply {
            Reply::Answer { status: 200, .. } => link.acked = link.acked.max(version),
            // It has begun anew, so it is told everything.
            Reply::Answer { status: 409, .. } => {
                link.acked = 0;
                link.at = self.now.saturating_sub(PERIOD);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
