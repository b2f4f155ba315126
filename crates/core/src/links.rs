//! Collects the evidence about links to workers and acts on it: strays, probes, messages
//! between controllers, moves of blocks, and resignation. [`crate::reachability`] decides.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::{
    peer::{ReachabilityMessage, RelayedRequest},
    state::{Change, Txn},
    worker::Report,
};

use crate::{
    call::{CompleteBody, ConnId, Method, Output, Reply, Target},
    controller::{Controller, Pending, route},
    leader::{LeaderWrite, LeaseReason},
    reachability::{BlockStatus, StrayAction},
    records::{BlockId, FormatLevel},
    store::Urgency,
    verdict::{RefusalStatus, Verdict},
};

/// Timeouts of a reachability message to a peer and of a probe of a machine.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
const INSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a controller that reaches no workers leaves a vacant leadership to other candidates.
const CANDIDACY_DELAY: Duration = Duration::from_secs(2);

impl Controller {
    /// Handles the report of a worker whose block this controller does not hold.
    pub(crate) fn handle_stray_report(&mut self, conn: ConnId, report: Report, block: BlockId) {
        let held = self.view.blocks.get(&block);
        let up = held
            .filter(|b| self.view.holder_is_up(&b.record) && b.record.holder != self.settings.node);
        let Some(held) = up else {
            return self.redirect(conn, None);
        };
        let (term, holder) = (held.version, held.record.holder.clone());
        if self.forwarding.is_forwarded(conn) {
            return self.redirect(conn, Some(holder));
        }
        let lease = (block, term);
        let tokens = self.view.lease_tokens(block, term);
        let action = self
            .reachability
            .record_stray(self.now, &report, block, tokens, &holder);
        log::debug!(
            "{}: stray: reported here although {holder} holds it",
            report.machine
        );
        let forwards = !tokens.is_exceeded_by(report.token)
            && self.reachability.cannot_reach_holder(&report.machine);
        if forwards && self.forward_to_holder(conn, &report, lease, &holder, action) {
            return;
        }
        self.hold_or_redirect(conn, report, self.now, action);
    }

    /// Holds a stray's report until its block is leased anew, or redirects the worker to its
    /// holder. `received_at` is when the report arrived, which may be some time ago.
    pub(crate) fn hold_or_redirect(
        &mut self,
        conn: ConnId,
        report: Report,
        received_at: Duration,
        action: StrayAction,
    ) {
        let waits = match action {
            StrayAction::Redirect => false,
            StrayAction::AwaitLease => self.in_contact(),
            StrayAction::AwaitRecords => true,
        };
        #[cfg(feature = "sabotage")]
        let waits = waits && self.sabotage != Some(crate::Sabotage::NoReachability);
        match waits {
            true => self
                .reachability
                .hold_report(received_at, conn, report, action),
            false => self.serve_or_redirect(conn, report),
        }
    }

    /// Answers a report that is not held, by the current records.
    fn serve_or_redirect(&mut self, conn: ConnId, report: Report) {
        let record = self.view.machines.get(&report.machine);
        let block = record.and_then(|m| self.view.blocks.get(&m.block));
        let holder = block.filter(|b| self.view.holder_is_up(&b.record));
        match holder.map(|b| b.record.holder.clone()) {
            Some(holder) if holder != self.settings.node => {
                self.redirect(conn, Some(holder));
            }
            _ => self.process_report(conn, report),
        }
    }

    /// Answers the held reports whose block has been leased anew or whose deadline has passed.
    pub(crate) fn answer_waiting_strays(&mut self) {
        let view = &self.view;
        let over = self
            .reachability
            .take_due_reports(self.now, |machine, term| {
                let record = view.machines.get(machine);
                let block = record.and_then(|m| view.blocks.get(&m.block));
                block.is_none_or(|b| b.version != term)
            });
        for (conn, report) in over {
            self.serve_or_redirect(conn, report);
        }
    }

    /// Whether a machine recently reported to a controller that does not hold it. It and its tasks
    /// are alive then, even if its holder does not hear it.
    pub(crate) fn reported_to_non_holder(&self, machine: &str) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::SilentToHolder) {
            return false;
        }
        self.reachability.has_strayed(self.now, machine)
    }

    /// Re-evaluates the links, probes machines and sends the reachability message if it is due.
    pub(crate) fn links_tick(&mut self) {
        let now = self.now;
        if !self.store.ready {
            return;
        }
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoReachability) {
            return;
        }
        self.answer_waiting_strays();
        self.probe_remote_workers();
        let members = &self.view.members;
        self.reachability
            .forget_previous_incarnations(|node| members.get(node).map(|m| m.record.incarnation));
        let machines = &self.view.machines;
        let held = || {
            let zone_of = |id| self.view.blocks.get(id).map(|b| b.record.zone.clone());
            let blocks = self.held_blocks.keys();
            let blocks = blocks.filter_map(|id| Some((*id, (zone_of(id)?, 0))));
            let mut held: BTreeMap<BlockId, (String, usize)> = blocks.collect();
            for machine in self.machines.values().filter(|m| !m.lease.is_expired()) {
                if let Some((_, machines)) = held.get_mut(&machine.block) {
                    *machines += 1;
                }
            }
            held
        };
        let machines_of = |zone: &str| machines.values().filter(|m| m.zone == zone).count();
        let all_zones = &self.settings.deployment.zones;
        self.reachability
            .evaluate(now, all_zones, held, machines_of);
        let of_zone = |zone: &str| {
            let zone = zone.to_owned();
            let here = machines.iter().filter(move |(_, m)| m.zone == zone);
            here.map(|(name, _)| name.as_str())
        };
        let rng = &mut self.rng;
        let probes = self
            .reachability
            .machines_to_probe(now, of_zone, |n| rng.usize(0..n));
        let probes: Vec<_> = probes.into_iter().map(str::to_owned).collect();
        for machine in probes {
            self.inspect(machine);
        }
        if self.level() < FormatLevel::PIPELINES {
            return;
        }
        let node = &self.settings.node;
        if let Some(message) = self.reachability.next_message(now, node, self.incarnation) {
            let peers: Vec<_> = self.peer_links.keys().cloned().collect();
            for peer in peers {
                self.call_peer(peer, "/reach", &message, MESSAGE_TIMEOUT, Pending::Reach);
            }
        }
    }

    /// Relays a user's request to a peer with contact to the state service, as this controller
    /// can't reach the service or got no answer from it. If no peer can be asked, the user is told
    /// to retry.
    pub(crate) fn relay_to_peer(&mut self, conn: ConnId, reason: &str) {
        let peers: Vec<_> = self.peers_in_contact().cloned().collect();
        #[cfg(feature = "sabotage")]
        let peers = match self.sabotage {
            Some(crate::Sabotage::NoReachability) => Vec::new(),
            _ => peers,
        };
        // A controller with a backlog handles the peer's answer, or its timeout, too late: a
        // poll that was relayed with 0.3 s left was answered after its limit of 2 s.
        let has_backlog = !self.request_queue.is_empty();
        if peers.is_empty() || has_backlog || self.level() < FormatLevel::PIPELINES {
            return self.refuse_with_retry(conn, reason);
        }
        let peer = peers[self.rng.usize(0..peers.len())].clone();
        let Some((request, timeout)) = self.relay.take_request(self.now, conn) else {
            return self.refuse_with_retry(conn, reason);
        };
        log::debug!(
            "relaying a user's request for {} to {peer}: {reason}",
            request.path
        );
        self.call_peer(
            peer,
            "/carry",
            &request,
            timeout,
            Pending::RelayedRequest(conn),
        );
    }

    /// Handles a peer's reply to a relayed request.
    pub(crate) fn relay_answered(&mut self, conn: ConnId, reply: &Reply) {
        match self.relay.unwrap_answer(conn, reply) {
            Some(answer) => self.outputs.push(Output::Answer(answer)),
            None => self.refuse_with_retry(conn, "no controller could serve the request"),
        }
    }

    /// Serves a user's request that a peer relays to this controller.
    pub(crate) fn receive_relayed_request(&mut self, conn: ConnId, body: &CompleteBody) {
        let Some(RelayedRequest {
            is_query,
            path,
            body: request_body,
        }) = self.decode_peer_message(conn, body)
        else {
            return;
        };
        let request_body = body.carried(request_body);
        self.relay.request_received(conn);
        let method = if is_query { Method::Get } else { Method::Post };
        match route(&path) {
            (Some("work"), id, what, more) => {
                self.handle_user_request(conn, method, (id, what, more), &request_body);
            }
            _ => self.deny(conn, &Verdict::no_such_path(&request_body, "no such path")),
        }
    }

    /// Handles a reachability message of a peer.
    pub(crate) fn receive_reach_message(&mut self, conn: ConnId, body: &CompleteBody) {
        let Some(message) = self.decode_peer_message::<ReachabilityMessage>(conn, body) else {
            return;
        };
        if !self.peer_links.contains_key(&message.from) {
            return self.refuse(
                conn,
                RefusalStatus::Forbidden,
                "not a controller of this deployment",
            );
        }
        let member = self.view.members.get(&message.from);
        // A message from an earlier incarnation is about links that no longer exist.
        if member.is_none_or(|m| m.record.incarnation == message.incarnation) {
            self.reachability.receive_message(self.now, message);
        }
        self.answer(conn, 200, Vec::new());
    }

    /// Probes a machine: asks its worker directly for its state.
    pub(crate) fn inspect(&mut self, machine: String) {
        let Some(record) = self.view.machines.get(&machine) else {
            return;
        };
        let (to, zone) = (Target::Worker(record.addr.clone()), record.zone.clone());
        let pending = Pending::Inspect { zone, machine };
        let path = "/inspect".to_owned();
        self.call(to, Method::Get, path, Vec::new(), INSPECT_TIMEOUT, pending);
    }

    /// Handles the reply to a probe of a machine.
    pub(crate) fn inspect_answered(&mut self, zone: &str, machine: &str, reply: &Reply) {
        if matches!(reply, Reply::Answer { status: 200, .. }) {
            self.reachability
                .record_probe_answer(self.now, zone, machine);
            self.forwarding.record_reached(self.now, machine);
        }
    }

    /// For the leader: leases blocks away from holders that their workers do not reach, and
    /// resigns if it reaches no workers itself while another holder does.
    pub(crate) fn move_unreachable_blocks(&mut self) {
        let now = self.now;
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoReachability) {
            return;
        }
        let blocks = self.view.blocks.iter();
        let blocks = blocks.filter(|(_, b)| self.view.holder_is_up(&b.record));
        let statuses: Vec<_> = blocks
            .map(|(id, b)| BlockStatus {
                id: *id,
                term: b.version,
                holder: &b.record.holder,
                machines: self.view.machine_count(id),
            })
            .collect();
        let us = &self.settings.node;
        let moves = self.reachability.blocks_to_move(now, us, &statuses);
        let others = self.reachability.is_isolated()
            && statuses.iter().any(|b| {
                let zone = self.view.blocks.get(&b.id).map(|b| &b.record.zone);
                let serves =
                    |zone: &String| self.reachability.can_serve_zone(now, us, b.holder, zone);
                b.holder != us && b.machines > 0 && zone.is_some_and(serves)
            });
        let mut loads = match moves.is_empty() {
            true => BTreeMap::new(),
            false => self.loads(),
        };
        for block_move in moves {
            let Some(block) = self.view.blocks.get(&block_move.block).cloned() else {
                continue;
            };
            let (zone, from) = (block.record.zone, block.record.holder);
            let holder = self.best_holder(&zone, &loads, Some(&from));
            let Some(holder) = holder else { continue };
            let reason = LeaseReason::Unreachable(block_move.reason);
            if self.lease_block(
                block_move.block,
                block.version,
                zone.clone(),
                &holder,
                &reason,
            ) {
                let size = self.view.machine_count(&block_move.block) + 1;
                *loads.entry(holder).or_default() += size;
                self.reachability
                    .record_move(now, &from, &zone, block_move.unheard);
            }
        }
        if self.reachability.should_resign(now, others) {
            self.resign();
        }
    }

    /// Gives up the leadership by deleting the leader record.
    fn resign(&mut self) {
        let Some(lead) = self.leader_cond() else {
            return;
        };
        let key = lead.key.clone();
        let txn = Txn {
            conds: vec![lead],
            changes: vec![Change::Delete { key }],
        };
        if self.submit_leader_write(LeaderWrite::Resign, txn, Urgency::Safety) {
            self.reachability.record_resignation(self.now);
            log::info!("resigning from leadership: this controller reaches no workers");
        }
    }

    /// Whether this controller, which reaches no workers, lets other members take a vacant
    /// leadership first.
    pub(crate) fn defers_candidacy(&mut self) -> bool {
        if self.view.leader.is_some() {
            self.leaderless_since = None;
            return false;
        }
        let since = *self.leaderless_since.get_or_insert(self.now);
        self.reachability.is_isolated()
            && self.view.members.len() > 1
            && self.now < since + CANDIDACY_DELAY
    }
}
