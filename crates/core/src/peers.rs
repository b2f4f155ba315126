//! Periodic messages between controllers. They are hints only: losing one never affects
//! correctness.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borsh::{BorshDeserialize, BorshSerialize};
use oliveshift_wire::{TaskId, peer::PeerMessage};

use crate::{
    assigned_tasks::Stop,
    attempt::AbsenceProof,
    call::{CompleteBody, ConnId, Method, Reply, Target},
    controller::{Controller, Pending},
    machine_status::MachineStatus,
    verdict::{RefusalStatus, Verdict},
};

/// Interval of the messages to each peer.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum interval of messages that carry changes to the leader, or orders of the leader.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a message to a member.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age from which the last message of a peer no longer counts as recent.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(3500);

/// State received from another controller.
#[derive(Debug)]
pub(crate) struct PeerState {
    incarnation: u64,
    /// The version of its machines that was received last.
    received_version: u64,
    heard_at: Duration,
    /// When its view of the state service was last complete.
    contact_at: Option<Duration>,
    pub machines: BTreeMap<String, MachineStatus>,
    /// Tasks that no longer use resources, although the records do not say so yet.
    pub over: Vec<TaskId>,
}

impl PeerState {
    /// Whether a message from it arrived recently.
    pub fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard_at) < MAX_MESSAGE_AGE
    }
}

/// State of the messages sent to another controller.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    /// The version of this controller's machines that it has confirmed.
    acked_version: u64,
    /// When the last message was sent, and whether its answer is outstanding.
    sent_at: Duration,
    awaits_answer: bool,
    /// On the leader: preemptions not sent yet, and whether the list of machines to drain has
    /// changed since the last message.
    preempt: Vec<TaskId>,
    drain_due: bool,
}

/// Peers that are not members, and when a status message was last sent to each.
#[derive(Debug, Default)]
pub(crate) struct NonMemberPeers {
    last_sent: BTreeMap<String, Duration>,
}

impl NonMemberPeers {
    /// The peers among `absent`, those that are not members, that are due for a status message.
    /// Without these messages a controller that the state service refused for longer than its
    /// lease heard from no peer, took this for an outage that affects all, and reported itself
    /// healthy, so users continued to be sent to it.
    fn due(&mut self, now: Duration, absent: impl Iterator<Item = String>) -> Vec<String> {
        let absent: BTreeSet<_> = absent.collect();
        self.last_sent.retain(|peer, _| absent.contains(peer));
        let due = |peer: &String| {
            self.last_sent
                .get(peer)
                .is_none_or(|at| now >= *at + MESSAGE_INTERVAL)
        };
        let due: Vec<_> = absent.iter().filter(|p| due(p)).cloned().collect();
        self.last_sent
            .extend(due.iter().map(|peer| (peer.clone(), now)));
        due
    }
}

impl Controller {
    /// Decodes a message of another controller, or refuses the request and returns `None`.
    pub(crate) fn decode_peer_message<T: BorshDeserialize>(
        &mut self,
        conn: ConnId,
        body: &CompleteBody,
    ) -> Option<T> {
        let message = borsh::from_slice(body).ok();
        if message.is_none() {
            let reason = "malformed message, or one of another program version";
            self.deny(conn, &Verdict::malformed(body, reason));
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
        // Serializing into memory can't fail.
        let body = borsh::to_vec(message).unwrap_or_default();
        let (to, path) = (Target::Peer(peer), path.to_owned());
        self.call(to, Method::Post, path, body, timeout, pending);
    }

    /// Handles the periodic message of another controller.
    pub(crate) fn receive_peer_message(&mut self, conn: ConnId, message: PeerMessage) {
        let now = self.now;
        let known = self.settings.peers.iter().any(|p| p.node == message.from);
        if !known {
            return self.refuse(
                conn,
                RefusalStatus::Forbidden,
                "not a controller of this deployment",
            );
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
            .contact_age_ms
            .and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let fresh = PeerState {
            incarnation: message.incarnation,
            received_version: 0,
            heard_at: now,
            contact_at: None,
            machines: BTreeMap::new(),
            over: Vec::new(),
        };
        let peer = self.peers.entry(message.from).or_insert(fresh);
        if peer.incarnation != message.incarnation {
            peer.incarnation = message.incarnation;
            peer.received_version = 0;
            // The machine statuses from its previous incarnation stay until it sends new ones:
            // the next holder of these machines looks up their images there.
        }
        peer.heard_at = now;
        peer.contact_at = contact;
        if message.base_version > peer.received_version {
            return self.refuse(
                conn,
                RefusalStatus::Conflict,
                "base version is not known here, send all machines",
            );
        }
        if message.new_version < peer.received_version {
            // Delayed message: a newer version has been received already.
            return self.answer(conn, 200, Vec::new());
        }
        if message.base_version == 0 {
            peer.machines.clear();
        }
        peer.received_version = message.new_version;
        peer.over = message.unrecorded;
        let mut changed = Vec::new();
        for view in message.machines {
            let (name, status) = MachineStatus::from_peer(now, view);
            changed.push(name.clone());
            peer.machines.insert(name, status);
        }
        self.answer(conn, 200, Vec::new());
        for name in &changed {
            self.mark_machine_stale(name);
        }
    }

    /// Whether a message from any peer arrived recently.
    pub(crate) fn has_fresh_peer(&self) -> bool {
        self.peers.values().any(|p| p.is_fresh(self.now))
    }

    /// Whether a message from this peer arrived recently.
    pub(crate) fn is_peer_fresh(&self, node: &str) -> bool {
        let peer = self.peers.get(node);
        peer.is_some_and(|p| p.is_fresh(self.now))
    }

    /// Whether any peer has contact with the state service, by its recent messages.
    pub(crate) fn peers_have_contact(&self) -> bool {
        self.peers_in_contact().next().is_some()
    }

    /// The peers that have contact with the state service, by their recent messages.
    pub(crate) fn peers_in_contact(&self) -> impl Iterator<Item = &String> {
        let is_recent = |at: Duration| self.now.saturating_sub(at) < MAX_MESSAGE_AGE;
        let peers = self.peers.iter();
        let peers =
            peers.filter(move |(_, p)| p.is_fresh(self.now) && p.contact_at.is_some_and(is_recent));
        peers.map(|(name, _)| name)
    }

    /// The images that a machine had by the last status of it that a peer sent.
    pub(crate) fn last_known_images(&self, name: &str) -> Vec<String> {
        let status = self.peers.values().find_map(|p| p.machines.get(name));
        status.map(|m| m.images.clone()).unwrap_or_default()
    }

    /// Stops a task to make room. A task that saves its state gets its save time plus 0.5 s.
    pub(crate) fn preempt(&mut self, task: &TaskId) {
        let Some(assigned) = self.assigned_tasks.get_mut(task) else {
            return;
        };
        let grace = if assigned.spec.can_save() {
            assigned.spec.save_time() + Duration::from_millis(500)
        } else {
            Duration::ZERO
        };
        let Some(bound) = assigned.bound_mut() else {
            return;
        };
        if bound.start_sent_with.is_none() {
            // The start was not sent, so there is nothing to stop: a stop would wait forever for
            // the task to appear.
            return self.return_to_leader(task, AbsenceProof::NotStarted);
        }
        if bound.stop.is_none() {
            log::info!("{task}: preempted to make room on {}", bound.machine);
            bound.stop = Some(Stop { grace, sent: false });
            let machine = bound.machine.clone();
            self.order_queue.insert(machine);
        }
    }

    /// For the leader: requests that a task is stopped by the controller that holds it.
    pub(crate) fn request_preemption(&mut self, task: &TaskId) {
        for link in self.peer_links.values_mut() {
            link.preempt.push(task.clone());
        }
        self.preempt(task);
    }

    /// Records that the leader's list of machines to drain has changed.
    pub(crate) fn drain_changed(&mut self, name: &str) {
        for link in self.peer_links.values_mut() {
            link.drain_due = true;
        }
        self.mark_changed(name);
        self.mark_machine_stale(name);
    }

    /// Sends the messages that are due, periodically or because of changes that the leader has to
    /// get or has made.
    pub(crate) fn send_due_peer_messages(&mut self) {
        let now = self.now;
        if !self.store.ready {
            return;
        }
        let leader = self.view.leader.as_ref().map(|l| &l.record.node);
        let leads = self.leader.is_some();
        let version = self.own_machines.version;
        let due = |peer: &String, link: &PeerLink| {
            let has_changes = if leads {
                !link.preempt.is_empty() || link.drain_due
            } else {
                leader == Some(peer) && link.acked_version < version
            };
            !link.awaits_answer
                && now
                    >= link.sent_at
                        + if has_changes {
                            CHANGE_INTERVAL
                        } else {
                            MESSAGE_INTERVAL
                        }
        };
        let due: Vec<_> = self
            .peer_links
            .iter()
            .filter(|(peer, link)| due(peer, link))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in due {
            self.message_peer(peer, version);
        }
        self.message_non_members(version);
    }

    /// Sends this controller's contact with the state service, without machines, to peers that
    /// are not members: they may be up, but refused by the state service.
    fn message_non_members(&mut self, version: u64) {
        let (now, links) = (self.now, &self.peer_links);
        let peers = self.settings.peers.iter().map(|p| &p.node);
        let absent = peers.filter(|peer| !links.contains_key(*peer)).cloned();
        let due = self.non_member_peers.due(now, absent);
        if due.is_empty() {
            return;
        }
        let message = self.status_message(version);
        for peer in due {
            self.call_peer(peer, "/peer", &message, MESSAGE_INTERVAL, Pending::Reach);
        }
    }

    /// A message with this controller's contact and, from the leader, the machines to drain, but
    /// without statuses of machines.
    fn status_message(&self, version: u64) -> PeerMessage {
        let leads = self.leader.is_some();
        PeerMessage {
            from: self.settings.node.clone(),
            incarnation: self.incarnation,
            contact_age_ms: self.contact_age().map(|a| a.as_millis() as u64),
            base_version: version,
            new_version: version,
            machines: Vec::new(),
            unrecorded: Vec::new(),
            drain: self.draining.iter().filter(|_| leads).cloned().collect(),
            preempt: Vec::new(),
        }
    }

    /// Sends a peer all changes since the version that it has confirmed.
    fn message_peer(&mut self, peer: String, version: u64) {
        let now = self.now;
        let Some(link) = self.peer_links.get_mut(&peer) else {
            return;
        };
        link.sent_at = now;
        link.awaits_answer = true;
        link.drain_due = false;
        let base = link.acked_version;
        let preempt = std::mem::take(&mut link.preempt);
        let machines = self.own_machines.machines.iter();
        let changed = machines.filter(|(_, (at, _))| *at > base);
        let message = PeerMessage {
            base_version: base,
            machines: changed
                .map(|(n, (_, status))| status.to_peer(now, n))
                .collect(),
            unrecorded: self.unrecorded.iter().cloned().collect(),
            preempt,
            ..self.status_message(version)
        };
        let pending = Pending::PeerMessage(peer.clone(), version);
        self.call_peer(peer, "/peer", &message, MESSAGE_TIMEOUT, pending);
    }

    /// Handles the reply to a message to a peer.
    pub(crate) fn peer_message_answered(&mut self, peer: &str, version: u64, reply: &Reply) {
        let Some(link) = self.peer_links.get_mut(peer) else {
            return;
        };
        link.awaits_answer = false;
        match reply {
            Reply::Answer { status: 200, .. } => {
                link.acked_version = link.acked_version.max(version)
            }
            // The peer does not have the base version: it gets all machines next.
            Reply::Answer { status: 409, .. } => {
                link.acked_version = 0;
                link.sent_at = self.now.saturating_sub(MESSAGE_INTERVAL);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
