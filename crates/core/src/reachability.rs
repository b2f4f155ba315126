//! What is known about the links between controllers and workers, and which
//! blocks would be better off with somebody else.
//!
//! A controller can be cut from its workers while it goes on reaching the state
//! service: it keeps its lease, its workers go to the others, are sent back, and
//! lose their leases with all that is on them. Nobody sees the whole of it: the
//! holder hears nothing, which a dead zone looks like as well, and the others
//! see workers that are not theirs. Both together are proof enough to lease the
//! block away; so are workers alone that come again after they were sent back.
//!
//! Evidence, and what it is worth:
//!
//! - *Unheard:* the holder of a block has heard none of its workers for longer than
//!   chance explains. Nothing new goes there. Without strays nothing moves: the
//!   workers may have gone with their zone.
//! - *Stray:* a worker came to somebody else although its holder is up and holds
//!   it for long enough to have been found. One means little: its connection may
//!   have been reset.
//! - A worker that strays *again* was sent back and got no answer, whatever its
//!   holder says to have heard.
//!
//! Whoever has lost blocks in a zone because it heard nobody there asks machines of
//! that zone by itself, and gets blocks there again once some have answered.
//! Whoever has lost blocks for strays alone gets none there for a backoff that
//! doubles each time, and there is a bound on moves in a minute, so that a link
//! that comes and goes moves nothing back and forth.

mod block_liveness;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use oliveshift_wire::{
    peer::{ReachWord, StrayWord},
    worker::Report,
};

use crate::{
    call::ConnId,
    records::{BlockId, Term},
};
use block_liveness::{BlockLiveness, explained};

/// How often blocks are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Whoever did not look for so long has not listened.
const STALL_LIMIT: Duration = Duration::from_millis(1000);
/// For how long a stray counts.
const STRAY_LIFETIME: Duration = Duration::from_secs(16);
/// Strays of a block at first sight count together within this time.
const STRAY_WINDOW: Duration = Duration::from_secs(7);
/// A worker that comes within this time has not been sent back in between.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// How many strays of a block are told and needed at most.
const MOST_STRAYS_NEEDED: usize = 3;
const MOST_STRAYS_TOLD: usize = 8;
/// A report of a stray waits so long for its block to be leased.
const LEASE_PATIENCE: Duration = Duration::from_millis(1800);
/// It waits so long where its holder would not answer at all: a second less than its
/// worker waits for an answer.
const RECORDS_PATIENCE: Duration = Duration::from_millis(3000);
/// For how long a word of a peer counts.
const WORD_LIFETIME: Duration = Duration::from_secs(3);
/// How often a peer is told that there is trouble, and the leader of news.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is told that all is well again, as a word may be lost.
const ALL_CLEAR_REPEATS: u8 = 5;
/// For how long it counts that a peer did not reach a zone when it spoke last.
const UNREACHED_LIFETIME: Duration = Duration::from_secs(60);
/// For how long a controller gets no blocks of a zone for strays alone; doubled
/// each time.
const BACKOFF: Duration = Duration::from_secs(20);
const MOST_DOUBLINGS: u32 = 4;
/// The lead is left to others once in this time at most.
const RESIGN_INTERVAL: Duration = Duration::from_secs(30);
/// How often machines are asked whether they can be reached again, how many at
/// a time, how many have to answer and for how long an answer counts.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
const PROBES: usize = 4;
const ANSWERS_NEEDED: usize = 2;
const ANSWER_LIFETIME: Duration = Duration::from_secs(6);

/// A worker that came to us although somebody else holds it.
#[derive(Clone, Debug, PartialEq)]
struct Stray {
    block: BlockId,
    term: Term,
    /// Its holder had time to be found.
    settled: bool,
    times: u32,
    /// It was not sent back: its holder has answered its last report by way of us.
    served: bool,
    at: Duration,
}

/// A zone whose workers we don't hear.
#[derive(Debug, Default)]
struct UnreachedZone {
    /// How many machines it has, whoever holds them.
    machines: usize,
    asked_at: Duration,
    /// Machines that have answered, and when.
    answers: BTreeMap<String, Duration>,
}

impl UnreachedZone {
    /// Whether too few machines there have answered us.
    fn is_out(&self) -> bool {
        self.answers.len() < ANSWERS_NEEDED.min(self.machines.max(1))
    }
}

/// A block as the leader looks at it.
#[derive(Clone, Debug)]
pub(crate) struct BlockStatus<'a> {
    pub id: BlockId,
    pub term: Term,
    pub holder: &'a str,
    pub machines: usize,
}

/// A block that is to be leased to somebody else, and why.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Move {
    pub block: BlockId,
    /// Its holder says itself that it hears none of them.
    pub unheard: bool,
    /// What is known, for the log.
    pub why: String,
}

/// What to do with the report of a worker that another controller holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StrayAction {
    /// The worker is sent to its holder.
    Redirect,
    /// It waits for its block to be leased anew: others of the block have come as well,
    /// or it has come again. Who has no contact would not see that.
    AwaitLease,
    /// It waits for the records, contact or not: it knows a later lease than we do, or
    /// its holder says that it hears none of them. It would lose 5 s there.
    AwaitRecords,
}

impl StrayAction {
    /// For how long the report waits; none: it is answered at once.
    fn patience(self) -> Option<Duration> {
        match self {
            Self::Redirect => None,
            Self::AwaitLease => Some(LEASE_PATIENCE),
            Self::AwaitRecords => Some(RECORDS_PATIENCE),
        }
    }
}

/// The one owner of what is known about links.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// The time between two reports.
    period: Duration,
    strays: BTreeMap<String, Stray>,
    blocks: BTreeMap<BlockId, BlockLiveness>,
    /// Blocks that we lost while we heard none of their workers, and when. It is told for a while: a peer that
    /// sees the lease later than this word sent their workers back to us.
    lost_unheard: BTreeMap<BlockId, Duration>,
    zones: BTreeMap<String, UnreachedZone>,
    words: BTreeMap<String, (Duration, ReachWord)>,
    /// When the strays that they tell of came last, by machine.
    came_to_peers: BTreeMap<String, Duration>,
    /// Zones that a peer said last it does not reach, with its incarnation. This
    /// outlasts the word, as a peer that is cut off further can't say it again.
    unreached: BTreeMap<String, (Duration, u64, Vec<String>)>,
    waiting: Vec<(ConnId, Report, Duration)>,
    looked_at: Duration,
    told_at: Duration,
    /// Something is new since then.
    news: bool,
    /// How often it remains to be told that all is well.
    all_clears_left: u8,
    /// How many workers the holder of a block has missed since it hears none of them,
    /// by the block's term.
    missed: BTreeMap<BlockId, (Term, usize)>,
    /// Since when each block is leased as it is, by its term.
    leased: BTreeMap<BlockId, (Term, Duration)>,
    /// Until when a controller gets no blocks of a zone, and how often that
    /// was.
    backoff: BTreeMap<(String, String), (Duration, u32)>,
    moved: VecDeque<Duration>,
    resigned_at: Option<Duration>,
}

impl Reachability {
    /// For workers that report so often.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            strays: BTreeMap::new(),
            blocks: BTreeMap::new(),
            lost_unheard: BTreeMap::new(),
            zones: BTreeMap::new(),
            words: BTreeMap::new(),
            came_to_peers: BTreeMap::new(),
            unreached: BTreeMap::new(),
            waiting: Vec::new(),
            looked_at: Duration::ZERO,
            told_at: Duration::ZERO,
            news: false,
            all_clears_left: 0,
            missed: BTreeMap::new(),
            leased: BTreeMap::new(),
            backoff: BTreeMap::new(),
            moved: VecDeque::new(),
            resigned_at: None,
        }
    }

    /// A block has been leased, to whomever.
    pub fn record_lease(&mut self, now: Duration, block: BlockId, term: Term) {
        let (known, since) = self.leased.entry(block).or_insert((term, now));
        if *known != term {
            (*known, *since) = (term, now);
        }
    }

    /// Whether the holder of a block has had it for long enough to be found by
    /// its workers.
    fn is_settled(&self, now: Duration, block: BlockId) -> bool {
        let found = self.period * 3 / 2 + Duration::from_secs(2);
        let leased = self.leased.get(&block);
        leased.is_some_and(|(_, since)| now > *since + found)
    }

    /// A worker came that another controller holds, which is up. What to do with its
    /// report.
    ///
    /// One that does not know the term yet is on its way to its holder: it has
    /// just come up, and was sent there by whoever registered it. It is no evidence,
    /// but is not sent to a holder that hears nobody either.
    pub fn record_stray(
        &mut self,
        now: Duration,
        report: &Report,
        (block, term): (BlockId, Term),
        holder: &str,
    ) -> StrayAction {
        let machine = &report.machine;
        let knows = report.token == term;
        let settled = knows && self.is_settled(now, block);
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
        let was_sent_back = now > stray.at + RETURN_INTERVAL && !stray.served;
        if stray.times == 0 || was_sent_back {
            stray.times += 1;
            self.news = true;
        }
        stray.served = false;
        stray.at = now;
        stray.settled |= settled;
        let again = knows && stray.times > 1;
        let settled = stray.settled;
        let others = self.strays.iter().filter(|(name, s)| {
            *name != machine && s.term == term && s.settled && now < s.at + STRAY_WINDOW
        });
        if report.token > term || self.says_unheard(holder, block) {
            StrayAction::AwaitRecords
        } else if again || (settled && others.count() > 0) {
            StrayAction::AwaitLease
        } else {
            StrayAction::Redirect
        }
    }

    /// Whether a worker that strayed can't make itself heard by its holder, as far as we
    /// can tell: its holder had time to be found, or it was sent there before.
    pub fn is_lost_to_holder(&self, machine: &str) -> bool {
        let stray = self.strays.get(machine);
        stray.is_some_and(|s| s.settled || s.times > 1)
    }

    /// The holder of a stray has answered its report by way of us.
    pub fn served_elsewhere(&mut self, machine: &str) {
        if let Some(stray) = self.strays.get_mut(machine) {
            stray.served = true;
        }
    }

    /// Keeps a report until its block is leased anew, for as long as the advice allows.
    pub fn wait(&mut self, now: Duration, conn: ConnId, report: Report, advice: StrayAction) {
        let patience = advice.patience().unwrap_or_default();
        self.waiting.push((conn, report, now + patience));
    }

    /// The reports whose block has been leased anew, or that have waited for
    /// long enough. `moved` tells whether a machine is held under another term
    /// than when it strayed.
    pub fn waited(
        &mut self,
        now: Duration,
        moved: impl Fn(&str, Term) -> bool,
    ) -> Vec<(ConnId, Report)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let strays = &self.strays;
        let is_over = |(_, report, until): &(ConnId, Report, Duration)| {
            let term = strays.get(&report.machine).map(|s| s.term);
            now >= *until || term.is_none_or(|term| moved(&report.machine, term))
        };
        let (over, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_over);
        self.waiting = wait;
        over.into_iter()
            .map(|(conn, report, _)| (conn, report))
            .collect()
    }

    /// A worker of a block that we hold has reported.
    pub fn record_report(&mut self, now: Duration, block: BlockId, machine: &str) {
        if let Some(block_liveness) = self.blocks.get_mut(&block) {
            block_liveness.hear(now, machine);
        }
    }

    /// We begin to hold a block.
    pub fn block_acquired(&mut self, now: Duration, block: BlockId, zone: &str) {
        self.blocks
            .insert(block, BlockLiveness::new(now, zone.to_owned()));
    }

    /// Whether we hear none of a block's workers.
    pub fn is_unheard(&self, block: BlockId) -> bool {
        let block_liveness = self.blocks.get(&block);
        block_liveness.is_some_and(|h| h.unheard && h.machines() >= MOST_STRAYS_NEEDED)
    }

    /// Looks at all blocks that we hold again: zone and number of machines that
    /// are expected to report, which may be none. `everywhere` are all zones, `machines_of`
    /// tells how many machines one has, whoever holds them.
    pub fn look(
        &mut self,
        now: Duration,
        everywhere: &[String],
        held: impl FnOnce() -> BTreeMap<BlockId, (String, usize)>,
        machines_of: impl Fn(&str) -> usize,
    ) {
        if now < self.looked_at + LOOK_INTERVAL {
            return;
        }
        let before = std::mem::replace(&mut self.looked_at, now);
        if now > before + STALL_LIMIT {
            // We stood still, and can't tell who was silent meanwhile.
            let gap = now - before;
            for block_liveness in self.blocks.values_mut() {
                block_liveness.stood_still(gap);
            }
        }
        let held = held();
        let has_machines_of = |id: &BlockId| held.get(id).is_some_and(|(_, n)| *n > 0);
        for (id, block_liveness) in &self.blocks {
            // Lost while we heard nobody: until machines there have answered.
            if !has_machines_of(id) && block_liveness.unheard {
                Self::is_cut(&mut self.zones, &block_liveness.zone);
                self.lost_unheard.insert(*id, now);
            }
        }
        self.lost_unheard
            .retain(|id, at| now < *at + WORD_LIFETIME && !has_machines_of(id));
        self.blocks.retain(|id, _| held.contains_key(id));
        for (id, (zone, machines)) in held {
            let block_liveness = self.blocks.entry(id);
            let block_liveness = block_liveness.or_insert_with(|| BlockLiveness::new(now, zone));
            block_liveness.count(now, before, machines);
            let quiet = now.saturating_sub(block_liveness.silent_since());
            let unheard = block_liveness.is_silent(now, self.period);
            if unheard != std::mem::replace(&mut block_liveness.unheard, unheard) {
                self.news = true;
                if unheard {
                    log::info!("block {id}: none of its {machines} workers heard for {quiet:.1?}");
                }
            }
        }
        let inhabited = self.blocks.values().filter(|h| h.machines() > 0);
        for block_liveness in inhabited.filter(|h| h.unheard) {
            Self::is_cut(&mut self.zones, &block_liveness.zone);
        }
        // Whoever hears nobody can't tell about zones in which it holds nothing:
        // it got those of a dead controller, which lost their leases with it.
        let machines = self.inhabited().map(|h| h.expected(now)).sum();
        let alone = match self.inhabited().map(BlockLiveness::silent_since).max() {
            Some(last) => now > last + explained(self.period, machines),
            // Whoever has lost all for it; others hold nothing yet.
            None => !self.zones.is_empty(),
        };
        if alone {
            for zone in everywhere {
                Self::is_cut(&mut self.zones, zone);
            }
        }
        for (zone, unreached) in &mut self.zones {
            unreached.machines = machines_of(zone);
        }
        for block_liveness in self.blocks.values_mut() {
            if self
                .zones
                .get(&block_liveness.zone)
                .is_some_and(|z| !z.is_out())
            {
                block_liveness.zone_answers();
            }
        }
        let blocks = &self.blocks;
        self.zones.retain(|zone, unreached| {
            unreached
                .answers
                .retain(|_, at| now < *at + ANSWER_LIFETIME);
            let inhabited = blocks.values().filter(|h| h.machines() > 0);
            let mut here = inhabited.filter(|h| h.zone == *zone).peekable();
            if here.peek().is_some() {
                return alone || here.any(|h| h.unheard);
            }
            if unreached.machines == 0 {
                // Nobody is there to be reached.
                return false;
            }
            // As long as we hear nobody elsewhere we go on asking.
            unreached.is_out() || alone
        });
        self.strays.retain(|_, s| now <= s.at + STRAY_LIFETIME);
        let words = self.words.len();
        self.words.retain(|_, (at, _)| now < *at + WORD_LIFETIME);
        if self.words.len() < words {
            self.index_peers_strays();
        }
        self.unreached
            .retain(|_, (at, ..)| now < *at + UNREACHED_LIFETIME);
        let forgotten = BACKOFF * 2u32.pow(MOST_DOUBLINGS);
        self.backoff
            .retain(|_, (until, _)| now < *until + forgotten);
    }

    /// The blocks that we hold and that have machines.
    fn inhabited(&self) -> impl Iterator<Item = &BlockLiveness> {
        self.blocks.values().filter(|h| h.machines() > 0)
    }

    fn is_cut(zones: &mut BTreeMap<String, UnreachedZone>, zone: &str) {
        if !zones.contains_key(zone) {
            zones.insert(zone.to_owned(), UnreachedZone::default());
        }
    }

    /// The machines to ask now whether they can be reached, out of those of a
    /// zone. Only zones are asked in which we hold nothing: elsewhere reports
    /// tell.
    pub fn questions<'a, I: Iterator<Item = &'a str>>(
        &mut self,
        now: Duration,
        machines: impl Fn(&str) -> I,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<&'a str> {
        let mut ask = Vec::new();
        let blocks = &self.blocks;
        for (zone, unreached) in &mut self.zones {
            let mut inhabited = blocks.values().filter(|h| h.machines() > 0);
            let held = inhabited.any(|h| h.zone == *zone);
            if held || now < unreached.asked_at + PROBE_INTERVAL {
                continue;
            }
            unreached.asked_at = now;
            let mut names: Vec<_> = machines(zone).collect();
            for _ in 0..PROBES.min(names.len()) {
                ask.push(names.swap_remove(draw(names.len())));
            }
        }
        ask
    }

    /// A machine of a zone has answered.
    pub fn answered(&mut self, now: Duration, zone: &str, machine: &str) {
        if let Some(unreached) = self.zones.get_mut(zone) {
            let was_out = unreached.is_out();
            unreached.answers.insert(machine.to_owned(), now);
            if was_out && !unreached.is_out() {
                log::info!("{zone}: its machines can be reached");
            }
        }
    }

    /// What a peer says.
    pub fn hear(&mut self, now: Duration, word: ReachWord) {
        let from = word.from.clone();
        if word.zones.is_empty() {
            self.unreached.remove(&from);
        } else {
            let zones = word.zones.clone();
            let said = (now, word.incarnation, zones);
            self.unreached.insert(from.clone(), said);
        }
        self.words.insert(from, (now, word));
        self.index_peers_strays();
    }

    /// What a process from before said is about links of before. `alive` tells
    /// the incarnation of a peer that is up.
    pub fn restarted(&mut self, alive: impl Fn(&str) -> Option<u64>) {
        self.unreached
            .retain(|node, (_, said, _)| alive(node).is_none_or(|now| now == *said));
    }

    /// Whether a controller does not reach some zone, or hears none of a block's
    /// workers, by its own word: it may be cut off further than it knows yet.
    pub fn is_suspect(&self, us: &str, node: &str) -> bool {
        let hears_nobody = match node == us {
            true => self.blocks.values().any(|h| h.unheard),
            false => {
                let word = self.words.get(node);
                word.is_some_and(|(_, word)| !word.unheard.is_empty())
            }
        };
        hears_nobody || !self.out_of(us, node).is_empty()
    }

    /// What is to be told, in the words of whoever we are; none if there is
    /// nothing, or nothing yet.
    pub fn tell(&mut self, now: Duration, from: &str, incarnation: u64) -> Option<ReachWord> {
        let wait = if self.news {
            NEWS_INTERVAL
        } else {
            TELL_INTERVAL
        };
        if now < self.told_at + wait {
            return None;
        }
        let unheard = self.blocks.iter().filter(|(_, h)| h.unheard);
        let unheard = unheard.map(|(id, _)| id).chain(self.lost_unheard.keys());
        let word = ReachWord {
            from: from.to_owned(),
            incarnation,
            unheard: unheard.copied().collect(),
            zones: self.out().cloned().collect(),
            strays: self.strays_told(now),
        };
        let some = !word.unheard.is_empty() || !word.zones.is_empty() || !word.strays.is_empty();
        // The last words are that all is well again.
        let due = some || self.all_clears_left > 0;
        self.news = false;
        self.all_clears_left = match some {
            true => ALL_CLEAR_REPEATS,
            false => self.all_clears_left.saturating_sub(1),
        };
        due.then(|| {
            self.told_at = now;
            word
        })
    }

    /// The zones whose machines we don't reach.
    fn out(&self) -> impl Iterator<Item = &String> {
        let out = self
            .zones
            .iter()
            .filter(|(_, unreached)| unreached.is_out());
        out.map(|(zone, _)| zone)
    }

    /// The zones that a controller does not reach, by its own word.
    fn out_of(&self, us: &str, node: &str) -> Vec<&String> {
        match node == us {
            true => self.out().collect(),
            false => {
                let said = self.unreached.get(node);
                said.map(|(_, _, zones)| zones.iter().collect())
                    .unwrap_or_default()
            }
        }
    }

    /// Some strays of each block, those that came again first.
    fn strays_told(&self, now: Duration) -> Vec<StrayWord> {
        let mut told: Vec<_> = self
            .strays
            .iter()
            .filter(|(_, s)| s.settled || s.times > 1)
            .map(|(machine, s)| StrayWord {
                machine: machine.clone(),
                block: s.block,
                term: s.term,
                settled: s.settled,
                times: s.times,
                ago_ms: now.saturating_sub(s.at).as_millis() as u64,
            })
            .collect();
        told.sort_by_key(|s| (s.block, std::cmp::Reverse(s.times), s.ago_ms));
        let mut count = (0, 0);
        told.retain(|s| {
            count = match count {
                (block, n) if block == s.block => (block, n + 1),
                _ => (s.block, 1),
            };
            count.1 <= MOST_STRAYS_TOLD
        });
        told
    }

    /// All strays that are known of: by us and by those who told us.
    fn all_strays(&self, now: Duration) -> Vec<StrayWord> {
        let mut all = self.strays_told(now);
        for (at, word) in self.words.values() {
            let since = now.saturating_sub(*at).as_millis() as u64;
            all.extend(word.strays.iter().cloned().map(|s| StrayWord {
                ago_ms: s.ago_ms + since,
                ..s
            }));
        }
        all
    }

    /// Whether a controller, by its own word and by what was seen of it, can
    /// serve workers of a zone. `us` is our name.
    pub fn can_serve_zone(&self, now: Duration, us: &str, node: &str, zone: &str) -> bool {
        let by_word = self.out_of(us, node).into_iter().any(|z| z == zone);
        let backoff = self.backoff.get(&(node.to_owned(), zone.to_owned()));
        !by_word && backoff.is_none_or(|(until, _)| now >= *until)
    }

    /// Whether a peer says that it hears none of a block's workers.
    fn says_unheard(&self, node: &str, block: BlockId) -> bool {
        let word = self.words.get(node);
        word.is_some_and(|(_, word)| word.unheard.contains(&block))
    }

    /// Whether the holder of a block, by its own word, hears none of its workers.
    pub fn is_reported_unheard(&self, block: BlockId) -> bool {
        let mut words = self.words.values();
        self.is_unheard(block) || words.any(|(_, w)| w.unheard.contains(&block))
    }

    /// Whether a machine came to us or to a peer lately, though another controller holds
    /// it.
    pub fn has_strayed(&self, now: Duration, machine: &str) -> bool {
        self.last_stray_at(now, machine).is_some()
    }

    /// When a machine came last, of late, to us or to a peer that does not hold it.
    pub fn last_stray_at(&self, now: Duration, machine: &str) -> Option<Duration> {
        let ours = self.strays.get(machine).map(|s| s.at);
        let ours = ours.filter(|at| now <= *at + STRAY_LIFETIME);
        ours.max(self.came_to_peers.get(machine).copied())
    }

    /// Notes which strays the words of peers tell of, and when these came last.
    fn index_peers_strays(&mut self) {
        self.came_to_peers.clear();
        for (at, word) in self.words.values() {
            for stray in &word.strays {
                let came = at.saturating_sub(Duration::from_millis(stray.ago_ms));
                let last = self.came_to_peers.entry(stray.machine.clone());
                let last = last.or_insert(came);
                *last = came.max(*last);
            }
        }
    }

    /// The leader's question: which blocks have a holder that their workers do
    /// not reach.
    pub fn moves(&mut self, now: Duration, us: &str, blocks: &[BlockStatus]) -> Vec<Move> {
        self.count_missed(us, blocks);
        let strays = self.all_strays(now);
        if strays.is_empty() {
            return Vec::new();
        }
        let minute = Duration::from_secs(60);
        while self.moved.front().is_some_and(|at| now > *at + minute) {
            self.moved.pop_front();
        }
        let mut moves = Vec::new();
        for block in blocks {
            if self.moved.len() >= 2 * blocks.len() {
                break;
            }
            let of = strays
                .iter()
                .filter(|s| (s.block, s.term) == (block.id, block.term));
            let mut times: BTreeMap<&str, u32> = BTreeMap::new();
            let mut lately = BTreeSet::new();
            for stray in of {
                *times.entry(&stray.machine).or_default() += stray.times;
                if stray.settled && stray.ago_ms < STRAY_WINDOW.as_millis() as u64 {
                    lately.insert(&stray.machine);
                }
            }
            let again = times.values().filter(|n| **n > 1).count();
            let need = |machines: usize| MOST_STRAYS_NEEDED.min(machines.div_ceil(2)).max(1);
            let missed = self.missed.get(&block.id).map(|(_, machines)| *machines);
            let unheard = missed.is_some_and(|missed| lately.len().max(again) >= need(missed));
            let all = need(block.machines).max((block.machines / 5).min(MOST_STRAYS_TOLD));
            if !unheard && again < all {
                continue;
            }
            let heard = if unheard {
                "hears none of them"
            } else {
                "may hear them"
            };
            moves.push(Move {
                block: block.id,
                unheard,
                why: format!(
                    "of {} workers {} came to others, {again} again, {} {heard}",
                    block.machines,
                    times.len(),
                    block.holder
                ),
            });
        }
        moves
    }

    /// Notes how many workers each holder that hears none of them can miss: machines
    /// that come into the block later were never heard, and prove nothing.
    fn count_missed(&mut self, us: &str, blocks: &[BlockStatus]) {
        let mut missed = BTreeMap::new();
        for block in blocks {
            if !self.holder_hears_none(us, block.holder, block.id) {
                continue;
            }
            let before = self.missed.get(&block.id);
            let before = before.filter(|(term, _)| *term == block.term);
            let most = before.map_or(block.machines, |(_, machines)| *machines);
            missed.insert(block.id, (block.term, most.min(block.machines)));
        }
        self.missed = missed;
    }

    /// Whether the holder of a block hears none of its workers, by what it says or, if
    /// it is us, by what we know.
    pub fn holder_hears_none(&self, us: &str, holder: &str, block: BlockId) -> bool {
        match holder == us {
            true => self.blocks.get(&block).is_some_and(|h| h.unheard),
            false => self.says_unheard(holder, block),
        }
    }

    /// A block is leased away from a holder for that.
    pub fn moved(&mut self, now: Duration, holder: &str, zone: &str, unheard: bool) {
        self.moved.push_back(now);
        if unheard {
            // It says itself when it can be reached again.
            return;
        }
        let key = (holder.to_owned(), zone.to_owned());
        let (until, times) = self.backoff.entry(key).or_default();
        if now >= *until {
            *until = now + BACKOFF * 2u32.pow(*times);
            *times = (*times + 1).min(MOST_DOUBLINGS);
        }
    }

    /// Whether we reach no workers anywhere any more, and all blocks that we had have
    /// gone to others.
    pub fn is_isolated(&self) -> bool {
        let all = !self.zones.is_empty() && self.zones.values().all(UnreachedZone::is_out);
        all && self.inhabited().next().is_none()
    }

    /// Whether whoever leads should leave the lead to others now. `others` tells
    /// whether somebody else holds machines, and reaches them as far as we know.
    pub fn should_resign(&self, now: Duration, others: bool) -> bool {
        let lately = self
            .resigned_at
            .is_some_and(|at| now < at + RESIGN_INTERVAL);
        self.is_isolated() && !lately && others
    }

    /// We have left the lead to others.
    pub fn resigned(&mut self, now: Duration) {
        self.resigned_at = Some(now);
    }
}

#[cfg(test)]
mod tests;
