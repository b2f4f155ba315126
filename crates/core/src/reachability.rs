//! Detects cut links between controllers and workers, and finds the blocks that another
//! controller would serve better.
//!
//! A controller can lose its links to workers while it still reaches the state service. It
//! keeps its leases; its workers report to other controllers, are redirected back to it, and
//! lose their leases with all tasks on them. No single controller can detect this: the holder
//! hears nothing, which also happens when a zone fails, and the other controllers get reports
//! of workers that they do not hold. Both observations together are enough evidence to lease
//! the block to another controller; so are workers that report again after a redirect.
//!
//! Evidence, and how it is weighed:
//!
//! - *Unheard:* the holder of a block has heard none of its workers for longer than chance
//!   explains. It places no new tasks there. Without strays the block is not moved: the
//!   workers may have failed with their zone.
//! - *Stray:* a worker reported to a controller that does not hold it, although its holder is
//!   up and has held the block long enough to be found (the stray is *settled*). A single one
//!   is weak evidence: its connection may have been reset.
//! - *Repeated stray:* the worker was redirected to its holder and got no answer there,
//!   whatever the holder claims to have heard.
//!
//! A controller that lost blocks in a zone because it heard no workers there probes machines
//! of that zone, and is eligible for blocks there again once enough of them have answered. A
//! controller that lost blocks because of strays alone gets none in that zone for a backoff
//! that doubles each time. No block is moved once a number of moves was made within a
//! minute, so a flapping link does not move blocks back and forth.

mod block_liveness;
mod held_reports;
mod move_limits;
mod peer_messages;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::{
    peer::{ReachabilityMessage, StrayWorker},
    worker::Report,
};

use crate::{
    call::ConnId,
    fencing::LeaseTokens,
    records::{BlockId, Term},
};
use block_liveness::{BlockLiveness, chance_silence_limit};
use held_reports::HeldReports;
use move_limits::MoveLimits;
use peer_messages::{MESSAGE_LIFETIME, PeerMessages};

/// Minimum time between two evaluations of all held blocks.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// If two evaluations are further apart than this, the controller was stalled and has received
/// no reports in between.
const STALL_LIMIT: Duration = Duration::from_millis(1000);
/// How long a stray counts as evidence after its last report.
const STRAY_LIFETIME: Duration = Duration::from_secs(16);
/// Settled strays of a block, repeated or not, count together if they reported within this time.
const STRAY_WINDOW: Duration = Duration::from_secs(7);
/// A stray that reports again within this time has not been redirected in between.
const MIN_REDIRECT_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bounds for the strays of a block: how many are needed to move it from a holder that
/// hears none of its workers, and how many are sent to peers. The latter also bounds how many
/// repeated strays are needed to move it from another holder.
const MAX_STRAYS_NEEDED: usize = 3;
const MAX_REPORTED_STRAYS: usize = 8;
/// How long the report of a stray waits for its block to be leased to another controller.
const LEASE_WAIT_TIMEOUT: Duration = Duration::from_millis(1800);
/// How long it waits for newer records if its holder would not answer at all: a second less
/// than its worker waits for an answer.
const RECORDS_WAIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Minimum time between reachability messages to the peers: without and with changes since
/// the last one.
const MESSAGE_INTERVAL: Duration = Duration::from_secs(1);
const CHANGE_MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// How many empty messages follow the last one with content, as a message may be lost.
const EMPTY_MESSAGE_REPEATS: u8 = 5;
/// Minimum time between two resignations from leadership.
const RESIGN_INTERVAL: Duration = Duration::from_secs(30);
/// Probes of machines in an unreached zone: their interval, how many machines are probed at a
/// time, how many have to answer, and how long an answer stays valid.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_PROBES: usize = 4;
const REQUIRED_ANSWERS: usize = 2;
const ANSWER_LIFETIME: Duration = Duration::from_secs(6);

/// A worker that reported to this controller although another one holds it.
#[derive(Clone, Debug, PartialEq)]
struct Stray {
    block: BlockId,
    term: Term,
    /// Its holder has had the block long enough to be found by the worker.
    settled: bool,
    /// How often it reported here; reports without a redirect in between count once.
    times: u32,
    /// Its last report was forwarded to its holder and answered, so it was not redirected.
    served: bool,
    /// When it reported last.
    at: Duration,
}

/// A zone whose workers this controller does not hear.
#[derive(Debug, Default)]
struct UnreachedZone {
    /// How many machines it has, regardless of their holders.
    machines: usize,
    probed_at: Duration,
    /// Machines that answered a probe, and when.
    answers: BTreeMap<String, Duration>,
}

impl UnreachedZone {
    /// Whether too few of its machines have answered probes.
    fn is_unreached(&self) -> bool {
        self.answers.len() < REQUIRED_ANSWERS.min(self.machines.max(1))
    }
}

/// A block whose holder the leader checks.
#[derive(Clone, Debug)]
pub(crate) struct BlockStatus<'a> {
    pub id: BlockId,
    pub term: Term,
    pub holder: &'a str,
    pub machines: usize,
}

/// A block to be leased to another controller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct BlockMove {
    pub block: BlockId,
    /// Its holder itself reports that it hears none of the block's workers.
    pub unheard: bool,
    /// The evidence, for the log.
    pub reason: String,
}

/// What to do with the report of a worker that another controller holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StrayAction {
    /// Redirect the worker to its holder.
    Redirect,
    /// Hold the report until the block is leased to another controller: other workers of the
    /// block have strayed as well, or this one has strayed repeatedly. A controller without
    /// contact to the state service would not see the new lease.
    AwaitLease,
    /// Hold the report until newer records arrive, also without contact to the state service:
    /// the worker knows a later lease than this controller, or its holder reports that it
    /// hears none of the block's workers. A redirect would cost the worker 5 s.
    AwaitRecords,
}

impl StrayAction {
    /// How long the report is held; `None` if it is answered at once.
    fn wait_timeout(self) -> Option<Duration> {
        match self {
            Self::Redirect => None,
            Self::AwaitLease => Some(LEASE_WAIT_TIMEOUT),
            Self::AwaitRecords => Some(RECORDS_WAIT_TIMEOUT),
        }
    }
}

/// All evidence about links between controllers and workers.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// The workers' report period.
    period: Duration,
    /// Workers that reported here although another controller holds them, by machine.
    strays: BTreeMap<String, Stray>,
    /// The blocks that this controller holds.
    blocks: BTreeMap<BlockId, BlockLiveness>,
    /// Blocks lost while unheard, and when. Messages name them for a while longer: a peer that
    /// saw the message without them before the new lease redirected their workers back here.
    lost_unheard: BTreeMap<BlockId, Duration>,
    unreached_zones: BTreeMap<String, UnreachedZone>,
    peer_messages: PeerMessages,
    held_reports: HeldReports,
    evaluated_at: Duration,
    message_sent_at: Duration,
    /// Whether something has changed since the last message.
    has_changes: bool,
    /// How many empty messages remain to be sent.
    empty_messages_left: u8,
    /// For each block that is unheard by its holder: its term, and how many workers the
    /// holder can miss.
    missed_workers: BTreeMap<BlockId, (Term, usize)>,
    /// The term of each block's current lease, and when it was first seen.
    lease_times: BTreeMap<BlockId, (Term, Duration)>,
    move_limits: MoveLimits,
    resigned_at: Option<Duration>,
}

impl Reachability {
    /// Creates an empty state for workers with this report period.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            strays: BTreeMap::new(),
            blocks: BTreeMap::new(),
            lost_unheard: BTreeMap::new(),
            unreached_zones: BTreeMap::new(),
            peer_messages: PeerMessages::default(),
            held_reports: HeldReports::default(),
            evaluated_at: Duration::ZERO,
            message_sent_at: Duration::ZERO,
            has_changes: false,
            empty_messages_left: 0,
            missed_workers: BTreeMap::new(),
            lease_times: BTreeMap::new(),
            move_limits: MoveLimits::default(),
            resigned_at: None,
        }
    }

    /// Records that a block is leased under a term, to this or another controller.
    pub fn record_lease(&mut self, now: Duration, block: BlockId, term: Term) {
        let (known, since) = self.lease_times.entry(block).or_insert((term, now));
        if *known != term {
            (*known, *since) = (term, now);
        }
    }

    /// Whether the holder of a block has held it long enough to be found by its workers.
    fn is_settled(&self, now: Duration, block: BlockId) -> bool {
        let found = self.period * 3 / 2 + Duration::from_secs(2);
        let leased = self.lease_times.get(&block);
        leased.is_some_and(|(_, since)| now > *since + found)
    }

    /// Records the report of a worker that is held by another controller, which is up, and
    /// decides what to do with the report.
    ///
    /// A worker that does not know the block's term yet has just started, and was redirected
    /// to its holder by the controller that registered it. Its first report is not evidence,
    /// but it is not redirected to a holder that hears no workers of the block either.
    pub fn record_stray(
        &mut self,
        now: Duration,
        report: &Report,
        block: BlockId,
        tokens: LeaseTokens,
        holder: &str,
    ) -> StrayAction {
        let term = tokens.term();
        let machine = &report.machine;
        let knows_term = tokens.contains(report.token);
        let settled = knows_term && self.is_settled(now, block);
        let fresh = Stray {
            block,
            term,
            settled,
            times: 0,
            served: false,
            at: now,
        };
        let stray = self.strays.entry(machine.clone()).or_insert(fresh);
        if stray.term != term || now > stray.at + STRAY_LIFETIME {
            (stray.block, stray.term) = (block, term);
            (stray.settled, stray.times) = (settled, 0);
        }
        let was_redirected = now > stray.at + MIN_REDIRECT_INTERVAL && !stray.served;
        if stray.times == 0 || was_redirected {
            stray.times += 1;
            self.has_changes = true;
        }
        stray.served = false;
        stray.at = now;
        stray.settled |= settled;
        let repeated = knows_term && stray.times > 1;
        let settled = stray.settled;
        let others = self.strays.iter().filter(|(name, s)| {
            *name != machine && s.term == term && s.settled && now < s.at + STRAY_WINDOW
        });
        if tokens.is_exceeded_by(report.token) || self.peer_messages.is_unheard_by(holder, block) {
            StrayAction::AwaitRecords
        } else if repeated || (settled && others.count() > 0) {
            StrayAction::AwaitLease
        } else {
            StrayAction::Redirect
        }
    }

    /// Whether a stray presumably cannot reach its holder: the holder has had time to be found,
    /// or the worker was redirected to it before.
    pub fn cannot_reach_holder(&self, machine: &str) -> bool {
        let stray = self.strays.get(machine);
        stray.is_some_and(|s| s.settled || s.times > 1)
    }

    /// Records that the holder of a stray has answered the report that was forwarded to it.
    pub fn record_served_by_holder(&mut self, machine: &str) {
        if let Some(stray) = self.strays.get_mut(machine) {
            stray.served = true;
        }
    }

    /// Holds a report until its block is leased anew, at most for the action's timeout.
    pub fn hold_report(
        &mut self,
        now: Duration,
        conn: ConnId,
        report: Report,
        action: StrayAction,
    ) {
        let wait_timeout = action.wait_timeout().unwrap_or_default();
        self.held_reports.hold(conn, report, now + wait_timeout);
    }

    /// Removes and returns the held reports whose block has been leased anew or whose deadline
    /// has passed. `moved` decides whether a machine is now held under another term than when
    /// it strayed.
    pub fn take_due_reports(
        &mut self,
        now: Duration,
        moved: impl Fn(&str, Term) -> bool,
    ) -> Vec<(ConnId, Report)> {
        let strays = &self.strays;
        let is_moved = |machine: &str| {
            let stray = strays.get(machine);
            stray.is_none_or(|stray| moved(machine, stray.term))
        };
        self.held_reports.take_due(now, is_moved)
    }

    /// Records a direct report of a worker; ignored unless this controller holds the block.
    pub fn record_report(&mut self, now: Duration, block: BlockId, machine: &str) {
        if let Some(liveness) = self.blocks.get_mut(&block) {
            liveness.record_report(now, machine);
        }
    }

    /// Starts to monitor a block that this controller now holds.
    pub fn block_acquired(&mut self, now: Duration, block: BlockId, zone: &str) {
        self.blocks
            .insert(block, BlockLiveness::new(now, zone.to_owned()));
    }

    /// Whether this controller holds a block and hears none of its workers; false for blocks of
    /// fewer than [`MAX_STRAYS_NEEDED`] machines.
    pub fn is_unheard(&self, block: BlockId) -> bool {
        let liveness = self.blocks.get(&block);
        liveness.is_some_and(|b| b.unheard && b.machines() >= MAX_STRAYS_NEEDED)
    }

    /// Re-evaluates all blocks that this controller holds. `held` gives the zone of each and
    /// the number of machines that are expected to report, which may be 0; `all_zones` lists
    /// all zones; `machines_of` gives the number of machines in a zone, regardless of their
    /// holders.
    pub fn evaluate(
        &mut self,
        now: Duration,
        all_zones: &[String],
        held: impl FnOnce() -> BTreeMap<BlockId, (String, usize)>,
        machines_of: impl Fn(&str) -> usize,
    ) {
        if now < self.evaluated_at + EVALUATION_INTERVAL {
            return;
        }
        let before = std::mem::replace(&mut self.evaluated_at, now);
        if now > before + STALL_LIMIT {
            // This controller was stalled, so missing reports prove nothing.
            let gap = now - before;
            for liveness in self.blocks.values_mut() {
                liveness.extend_after_stall(gap);
            }
        }
        let held = held();
        let has_machines_of = |id: &BlockId| held.get(id).is_some_and(|(_, n)| *n > 0);
        for (id, liveness) in &self.blocks {
            // Lost, or empty, while unheard: the zone is unreached until its machines answer.
            if !has_machines_of(id) && liveness.unheard {
                Self::mark_unreached(&mut self.unreached_zones, &liveness.zone);
                self.lost_unheard.insert(*id, now);
            }
        }
        self.lost_unheard
            .retain(|id, at| now < *at + MESSAGE_LIFETIME && !has_machines_of(id));
        self.blocks.retain(|id, _| held.contains_key(id));
        for (id, (zone, machines)) in held {
            let liveness = self.blocks.entry(id);
            let liveness = liveness.or_insert_with(|| BlockLiveness::new(now, zone));
            liveness.set_machine_count(now, before, machines);
            let quiet = now.saturating_sub(liveness.silent_since());
            let unheard = liveness.is_silent(now, self.period);
            if unheard != std::mem::replace(&mut liveness.unheard, unheard) {
                self.has_changes = true;
                if unheard {
                    log::info!(
                        "block {id}: no report from any of its {machines} workers for {quiet:.1?}"
                    );
                }
            }
        }
        let blocks_with_machines = self.blocks.values().filter(|b| b.machines() > 0);
        for liveness in blocks_with_machines.filter(|b| b.unheard) {
            Self::mark_unreached(&mut self.unreached_zones, &liveness.zone);
        }
        // A controller that hears no worker at all knows nothing about zones in which it holds
        // no machines. Such a controller got the blocks of a dead one there, whose workers
        // then lost their leases.
        let machines = self
            .blocks_with_machines()
            .map(|b| b.expected_workers(now))
            .sum();
        let hears_no_worker = match self
            .blocks_with_machines()
            .map(BlockLiveness::silent_since)
            .max()
        {
            Some(last) => now > last + chance_silence_limit(self.period, machines),
            // It lost all its blocks for this reason; otherwise it has held none yet.
            None => !self.unreached_zones.is_empty(),
        };
        if hears_no_worker {
            for zone in all_zones {
                Self::mark_unreached(&mut self.unreached_zones, zone);
            }
        }
        for (zone, unreached) in &mut self.unreached_zones {
            unreached.machines = machines_of(zone);
        }
        for liveness in self.blocks.values_mut() {
            if self
                .unreached_zones
                .get(&liveness.zone)
                .is_some_and(|z| !z.is_unreached())
            {
                liveness.zone_reached();
            }
        }
        let blocks = &self.blocks;
        self.unreached_zones.retain(|zone, unreached| {
            unreached
                .answers
                .retain(|_, at| now < *at + ANSWER_LIFETIME);
            let blocks_with_machines = blocks.values().filter(|b| b.machines() > 0);
            let mut here = blocks_with_machines.filter(|b| b.zone == *zone).peekable();
            if here.peek().is_some() {
                return hears_no_worker || here.any(|b| b.unheard);
            }
            if unreached.machines == 0 {
                // The zone has no machine that could answer.
                return false;
            }
            // Probing continues as long as no worker is heard in any other zone.
            unreached.is_unreached() || hears_no_worker
        });
        self.strays.retain(|_, s| now <= s.at + STRAY_LIFETIME);
        self.peer_messages.expire(now);
        self.move_limits.expire(now);
    }

    /// The blocks that this controller holds and that have machines.
    fn blocks_with_machines(&self) -> impl Iterator<Item = &BlockLiveness> {
        self.blocks.values().filter(|b| b.machines() > 0)
    }

    /// Adds a zone to the unreached ones, unless it is there already.
    fn mark_unreached(zones: &mut BTreeMap<String, UnreachedZone>, zone: &str) {
        if !zones.contains_key(zone) {
            zones.insert(zone.to_owned(), UnreachedZone::default());
        }
    }

    /// The machines to probe now. `machines` lists those of a zone, `draw` picks a random index
    /// below its argument. Only zones in which this controller holds no machines are probed:
    /// elsewhere reports show whether workers are reached.
    pub fn machines_to_probe<'a, I: Iterator<Item = &'a str>>(
        &mut self,
        now: Duration,
        machines: impl Fn(&str) -> I,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<&'a str> {
        let mut probes = Vec::new();
        let blocks = &self.blocks;
        for (zone, unreached) in &mut self.unreached_zones {
            let mut blocks_with_machines = blocks.values().filter(|b| b.machines() > 0);
            let held = blocks_with_machines.any(|b| b.zone == *zone);
            if held || now < unreached.probed_at + PROBE_INTERVAL {
                continue;
            }
            unreached.probed_at = now;
            let mut names: Vec<_> = machines(zone).collect();
            for _ in 0..MAX_PROBES.min(names.len()) {
                probes.push(names.swap_remove(draw(names.len())));
            }
        }
        probes
    }

    /// Records that a machine of a zone has answered a probe.
    pub fn record_probe_answer(&mut self, now: Duration, zone: &str, machine: &str) {
        if let Some(unreached) = self.unreached_zones.get_mut(zone) {
            let was_unreached = unreached.is_unreached();
            unreached.answers.insert(machine.to_owned(), now);
            if was_unreached && !unreached.is_unreached() {
                log::info!("zone {zone}: machines answer probes again");
            }
        }
    }

    /// Takes in a reachability message of a peer.
    pub fn receive_message(&mut self, now: Duration, message: ReachabilityMessage) {
        self.peer_messages.receive(now, message);
    }

    /// Forgets the unreached zones that earlier incarnations of peers reported: a restarted
    /// process has other links. `alive` gives the incarnation of a peer that is up.
    pub fn forget_previous_incarnations(&mut self, alive: impl Fn(&str) -> Option<u64>) {
        self.peer_messages.forget_previous_incarnations(alive);
    }

    /// Whether a controller reports that it does not reach some zone, or that it hears none of a
    /// block's workers. It may have lost more links than it has detected yet.
    pub fn is_suspect(&self, us: &str, node: &str) -> bool {
        let hears_none = match node == us {
            true => self.blocks.values().any(|b| b.unheard),
            false => self.peer_messages.has_unheard_block(node),
        };
        hears_none || !self.zones_unreached_by(us, node).is_empty()
    }

    /// The message to send to all peers now; `None` if there is nothing to report, or if the
    /// interval since the last message has not passed.
    pub fn next_message(
        &mut self,
        now: Duration,
        from: &str,
        incarnation: u64,
    ) -> Option<ReachabilityMessage> {
        let wait = if self.has_changes {
            CHANGE_MESSAGE_INTERVAL
        } else {
            MESSAGE_INTERVAL
        };
        if now < self.message_sent_at + wait {
            return None;
        }
        let unheard = self.blocks.iter().filter(|(_, b)| b.unheard);
        let unheard = unheard.map(|(id, _)| id).chain(self.lost_unheard.keys());
        let message = ReachabilityMessage {
            from: from.to_owned(),
            incarnation,
            unheard_blocks: unheard.copied().collect(),
            unreached_zones: self.unreached_zone_names().cloned().collect(),
            strays: self.strays_to_report(now),
        };
        let has_content = !message.unheard_blocks.is_empty()
            || !message.unreached_zones.is_empty()
            || !message.strays.is_empty();
        // The last messages are empty: they revoke the earlier ones.
        let due = has_content || self.empty_messages_left > 0;
        self.has_changes = false;
        self.empty_messages_left = match has_content {
            true => EMPTY_MESSAGE_REPEATS,
            false => self.empty_messages_left.saturating_sub(1),
        };
        due.then(|| {
            self.message_sent_at = now;
            message
        })
    }

    /// The zones whose machines this controller does not reach.
    fn unreached_zone_names(&self) -> impl Iterator<Item = &String> {
        let unreached_names = self
            .unreached_zones
            .iter()
            .filter(|(_, unreached)| unreached.is_unreached());
        unreached_names.map(|(zone, _)| zone)
    }

    /// The zones that a controller reports it does not reach. `us` is this controller's name.
    fn zones_unreached_by(&self, us: &str, node: &str) -> Vec<&String> {
        match node == us {
            true => self.unreached_zone_names().collect(),
            false => self.peer_messages.zones_unreached_by(node).iter().collect(),
        }
    }

    /// Strays that are evidence, at most [`MAX_REPORTED_STRAYS`] of each block: those with the
    /// most redirects first, then the most recent ones.
    fn strays_to_report(&self, now: Duration) -> Vec<StrayWorker> {
        let mut reported: Vec<_> = self
            .strays
            .iter()
            .filter(|(_, s)| s.settled || s.times > 1)
            .map(|(machine, s)| StrayWorker {
                machine: machine.clone(),
                block: s.block,
                term: s.term,
                settled: s.settled,
                times: s.times,
                ago_ms: now.saturating_sub(s.at).as_millis() as u64,
            })
            .collect();
        reported.sort_by_key(|s| (s.block, std::cmp::Reverse(s.times), s.ago_ms));
        let mut count = (0, 0);
        reported.retain(|s| {
            count = match count {
                (block, n) if block == s.block => (block, n + 1),
                _ => (s.block, 1),
            };
            count.1 <= MAX_REPORTED_STRAYS
        });
        reported
    }

    /// The strays that this controller and its peers have seen.
    fn known_strays(&self, now: Duration) -> Vec<StrayWorker> {
        let mut strays = self.strays_to_report(now);
        strays.extend(self.peer_messages.strays(now));
        strays
    }

    /// Whether a controller can serve workers of a zone: it does not report the zone as
    /// unreached, and is in no backoff there. `us` is this controller's name.
    pub fn can_serve_zone(&self, now: Duration, us: &str, node: &str, zone: &str) -> bool {
        let reports_unreached = self
            .zones_unreached_by(us, node)
            .into_iter()
            .any(|z| z == zone);
        !reports_unreached && !self.move_limits.is_in_backoff(now, node, zone)
    }

    /// Whether this controller, or any peer in its last message, hears none of a block's
    /// workers.
    pub fn is_reported_unheard(&self, block: BlockId) -> bool {
        self.is_unheard(block) || self.peer_messages.is_unheard(block)
    }

    /// Whether a machine recently reported to this controller or a peer that does not hold it.
    pub fn has_strayed(&self, now: Duration, machine: &str) -> bool {
        self.last_stray_at(now, machine).is_some()
    }

    /// When a machine last reported to this controller or a peer that does not hold it; `None`
    /// if not recently.
    pub fn last_stray_at(&self, now: Duration, machine: &str) -> Option<Duration> {
        let ours = self.strays.get(machine).map(|s| s.at);
        let ours = ours.filter(|at| now <= *at + STRAY_LIFETIME);
        ours.max(self.peer_messages.last_stray_at(machine))
    }

    /// For the leader: the blocks whose workers do not reach their holder, by the evidence of
    /// all controllers. A block is moved if its holder hears none of its workers and enough of
    /// them have strayed, or if enough have strayed repeatedly.
    pub fn blocks_to_move(
        &mut self,
        now: Duration,
        us: &str,
        blocks: &[BlockStatus],
    ) -> Vec<BlockMove> {
        self.update_missed_workers(us, blocks);
        let strays = self.known_strays(now);
        if strays.is_empty() {
            return Vec::new();
        }
        // One pass may exceed the limit, since its moves are recorded after it.
        if self.move_limits.remaining_moves(now, blocks.len()) == 0 {
            return Vec::new();
        }
        let mut moves = Vec::new();
        for block in blocks {
            let block_strays = strays
                .iter()
                .filter(|s| (s.block, s.term) == (block.id, block.term));
            let mut times: BTreeMap<&str, u32> = BTreeMap::new();
            let mut recent = BTreeSet::new();
            for stray in block_strays {
                *times.entry(&stray.machine).or_default() += stray.times;
                if stray.settled && stray.ago_ms < STRAY_WINDOW.as_millis() as u64 {
                    recent.insert(&stray.machine);
                }
            }
            let repeated = times.values().filter(|n| **n > 1).count();
            let need = |machines: usize| MAX_STRAYS_NEEDED.min(machines.div_ceil(2)).max(1);
            let missed_workers = self
                .missed_workers
                .get(&block.id)
                .map(|(_, machines)| *machines);
            let unheard = missed_workers
                .is_some_and(|missed_workers| recent.len().max(repeated) >= need(missed_workers));
            let needed_repeated =
                need(block.machines).max((block.machines / 5).min(MAX_REPORTED_STRAYS));
            if !unheard && repeated < needed_repeated {
                continue;
            }
            let heard = if unheard {
                "hears none of them"
            } else {
                "may hear them"
            };
            moves.push(BlockMove {
                block: block.id,
                unheard,
                reason: format!(
                    "of {} workers {} reported to other controllers, {repeated} repeatedly; \
                     holder {} {heard}",
                    block.machines,
                    times.len(),
                    block.holder
                ),
            });
        }
        moves
    }

    /// Updates how many workers each holder that hears none of them can miss. Machines that join
    /// the block later do not count: they were never heard, so their silence proves nothing.
    fn update_missed_workers(&mut self, us: &str, blocks: &[BlockStatus]) {
        let mut missed_workers = BTreeMap::new();
        for block in blocks {
            if !self.holder_hears_none(us, block.holder, block.id) {
                continue;
            }
            let before = self.missed_workers.get(&block.id);
            let before = before.filter(|(term, _)| *term == block.term);
            let most = before.map_or(block.machines, |(_, machines)| *machines);
            missed_workers.insert(block.id, (block.term, most.min(block.machines)));
        }
        self.missed_workers = missed_workers;
    }

    /// Whether the holder of a block hears none of its workers: by its last message, or by this
    /// controller's own state if it is the holder.
    pub fn holder_hears_none(&self, us: &str, holder: &str, block: BlockId) -> bool {
        match holder == us {
            true => self.blocks.get(&block).is_some_and(|b| b.unheard),
            false => self.peer_messages.is_unheard_by(holder, block),
        }
    }

    /// Records that a block was leased away from its holder because of cut links, and starts or
    /// doubles the holder's backoff in the zone if the evidence was strays alone.
    pub fn record_move(&mut self, now: Duration, holder: &str, zone: &str, unheard: bool) {
        self.move_limits.record_move(now);
        // A holder that hears none of them reports itself when it reaches the zone again.
        if !unheard {
            self.move_limits.back_off(now, holder, zone);
        }
    }

    /// Whether this controller holds no block with machines any more, and too few machines answer
    /// its probes in all zones that it has lost.
    pub fn is_isolated(&self) -> bool {
        let all_unreached = !self.unreached_zones.is_empty()
            && self
                .unreached_zones
                .values()
                .all(UnreachedZone::is_unreached);
        all_unreached && self.blocks_with_machines().next().is_none()
    }

    /// Whether this controller, if it is the leader, should resign now. `others` is true if
    /// another controller holds machines and reaches them as far as known.
    pub fn should_resign(&self, now: Duration, others: bool) -> bool {
        let resigned_recently = self
            .resigned_at
            .is_some_and(|at| now < at + RESIGN_INTERVAL);
        self.is_isolated() && !resigned_recently && others
    }

    /// Records that this controller has resigned from leadership.
    pub fn record_resignation(&mut self, now: Duration) {
        self.resigned_at = Some(now);
    }
}

#[cfg(test)]
mod tests;
