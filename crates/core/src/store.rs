//! Dealings with the state service: the lease that says that we are up, the
//! first read, watches, reads and transactions.

use std::time::Duration;

use oliveshift_wire::{
    JobId, decode, encode,
    settings::Settings,
    state::{Change, Event, Events, MAX_TXN, Page, Txn, TxnAnswer, json_len},
};

use crate::{
    admission::Ask,
    budget::Budget,
    call::{Method, Reply, Target},
    controller::{Controller, Pending},
    invariants::Violation,
    leader::Duty,
    lease::Tenure,
    records::{KEY_PREFIX, Key},
    snapshot::{SnapshotPart, SnapshotRead},
    upgrade,
    user_writes::WriteId,
    view::View,
};

/// How long a watch stays open without news. Short, since one that a cut or a
/// refusal holds back just hangs, and contact counts from its sending.
const WATCH: Duration = Duration::from_millis(800);
/// When to give a request up.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// The least time between two watches, and between two reads for users.
const WATCH_GAP: Duration = Duration::from_millis(30);
const READ_GAP: Duration = Duration::from_millis(50);
/// The shares of our requests that watches and reads may take: when much
/// changes, each watch returns at once.
const WATCH_SHARE: f64 = 0.45;
const READ_SHARE: f64 = 0.25;
/// The age of contact beyond which submissions are sent back at once.
const CONTACT_LOST: Duration = Duration::from_millis(2600);
/// After so long without any answer of the state service, and without a word of a
/// peer, it is us who are cut off.
const CUT_OFF: Duration = Duration::from_millis(4000);
/// The share of the limits that we use: refusals cost more than waiting.
const SHARE: f64 = 0.92;
/// The leader's part of the writes, and how many followers' part of the
/// requests it has.
const LEADER_SHARE: f64 = 0.4;
const LEADER_REQUESTS: f64 = 2.0;

/// What a transaction is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    Member,
    Leadership,
    User(WriteId),
    Chunk(JobId, u32),
    LeaderWrite(Duty),
    Lists,
    Upgrade(upgrade::Step),
}

impl Purpose {
    fn name(&self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Leadership => "lead",
            Self::User(_) => "user",
            Self::Chunk(..) => "chunk",
            Self::LeaderWrite(Duty::Lease(_)) => "lease",
            Self::LeaderWrite(Duty::Tidy(_)) => "tidy",
            Self::LeaderWrite(Duty::Admit) => "admit",
            Self::LeaderWrite(Duty::Resign) => "resign",
            Self::Lists => "lists",
            Self::Upgrade(_) => "upgrade",
        }
    }
}

/// What came of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Done, at this revision.
    Done(u64),
    /// A condition did not hold; so it was at this revision.
    Conflict(u64),
    /// This request was surely not executed. Of an earlier one that got no
    /// answer it says nothing.
    Refused,
    /// The same, and it never will be as it is: it is malformed, or larger
    /// than the service takes now.
    Impossible,
    /// Its lease is over.
    NoLease,
    /// Executed or not, or later.
    Unknown,
}

/// What came of a request for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    /// The view has all changes that there were when it was answered.
    Changes,
    /// They are no longer kept.
    TooOld,
    /// Nothing that could be used.
    Nothing,
}

/// How much a request matters: the share of the budget left for what matters
/// more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Urgency {
    Session,
    Safety,
    User,
    Handout,
    Quota,
    Read,
    Background,
    Cleanup,
}

impl Urgency {
    fn reserve(self) -> f64 {
        match self {
            Self::Session => 0.0,
            // Users come first, on credit: they are few, and what they are
            // told to repeat costs them a second.
            Self::User => -1.0,
            // Reads for users are kept apart by themselves. With something
            // left to others, they starved for minutes, and nobody was told
            // that their work was done.
            Self::Read => -0.5,
            Self::Safety => 0.05,
            Self::Handout => 0.15,
            Self::Quota => 0.2,
            Self::Background => 0.5,
            Self::Cleanup => 0.5,
        }
    }
}

/// The state of our dealings.
#[derive(Debug)]
pub(crate) struct StoreClient {
    /// Requests a second that we may make.
    rps: f64,
    requests: Budget,
    writes: Budget,
    hold: Option<u64>,
    hold_pending: bool,
    touch_at: Duration,
    member_pending: bool,
    lead_pending: bool,
    /// What came of the last of these two writes shows at this revision.
    session_at: u64,
    /// All records are being read, beside the view in use.
    snapshot: Option<SnapshotRead>,
    /// A request of that reading is under way.
    snapshot_pending: bool,
    /// The whole view has been read once.
    pub ready: bool,
    /// When the request was sent whose answer last made the view whole.
    pub contact: Option<Duration>,
    /// When the state service answered last, be it that it can't serve us.
    pub answered: Duration,
    watch_pending: bool,
    watch_at: Duration,
    read_pending: bool,
    read_at: Duration,
    failures: u32,
    /// When we last went on after standing still.
    resumed_at: Duration,
    /// The end of a lease waits for proof that its block is still ours.
    pub needs_fresh_read: bool,
    /// The lower limits hold.
    pub lowered_limits_active: bool,
}

impl StoreClient {
    pub fn new(settings: &Settings) -> Self {
        let nodes = settings.peers_and_me() as f64;
        Self {
            rps: settings.params.state.rps * SHARE / nodes,
            requests: Budget::new(settings.params.state.rps * SHARE / nodes, 1.0),
            writes: Budget::new(settings.params.state.write_rps * SHARE / nodes, 1.0),
            hold: None,
            hold_pending: false,
            touch_at: Duration::ZERO,
            member_pending: false,
            lead_pending: false,
            session_at: 0,
            snapshot: None,
            snapshot_pending: false,
            ready: false,
            contact: None,
            answered: Duration::ZERO,
            watch_pending: false,
            watch_at: Duration::ZERO,
            read_pending: false,
            read_at: Duration::ZERO,
            failures: 0,
            resumed_at: Duration::ZERO,
            needs_fresh_read: false,
            lowered_limits_active: false,
        }
    }
}

impl StoreClient {
    /// Until when our blocks were surely ours.
    pub fn tenure(&self) -> Tenure {
        Tenure::proven_until(self.contact)
    }
}

impl Controller {
    /// How old our contact is; none: never had, or not since we stood still.
    pub(crate) fn contact_age(&self) -> Option<Duration> {
        let contact = self
            .store
            .contact
            .filter(|at| *at >= self.store.resumed_at)?;
        Some(self.now.saturating_sub(contact))
    }

    /// We took nothing in for so long that our leases may be over, while our
    /// clock ran on: what was true then has to be proven anew before we answer
    /// or order anything. Without it a controller that woke up within the contact
    /// limit went on under terms that were others' by then.
    pub(crate) fn record_pause(&mut self, now: Duration) {
        if self.store.ready {
            log::info!("stood still for {:.1?}", now.saturating_sub(self.now));
        }
        self.store.resumed_at = now;
    }

    /// Whether our view is recent enough to act for the controllers towards
    /// workers. Beyond that we might have missed a cancellation, or that a
    /// block was leased anew, for longer than `cancel_s` allows.
    pub(crate) fn may_act(&self) -> bool {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(crate::Sabotage::NoContactLimit) {
            return self.store.ready;
        }
        self.store.ready
            && self
                .contact_age()
                .is_some_and(|age| age < self.settings.contact_limit())
    }

    /// Whether the state service can be expected to answer now.
    pub(crate) fn in_contact(&self) -> bool {
        self.store.ready && self.contact_age().is_some_and(|age| age < CONTACT_LOST)
    }

    /// Whether the load balancer should send us users. While nobody has
    /// contact, staying up saves users the time that it takes the load
    /// balancer to trust us again.
    pub(crate) fn healthy(&self) -> bool {
        let others = self.peers_have_contact() || self.is_cut_off();
        self.store.ready && (self.in_contact() || !others)
    }

    /// Whether it looks as if we were cut off from all the others: the state service
    /// does not answer at all, while in an outage it says so, and no peer is heard.
    /// Who is cut off so hears of nobody's contact, took it for an outage, and users
    /// went on coming to it for as long as the cut lasted.
    fn is_cut_off(&self) -> bool {
        let silent = self.now > self.store.answered + CUT_OFF;
        silent && !self.settings.peers.is_empty() && !self.has_fresh_peer()
    }

    /// Shares the limits among the controllers that are up: one that is not
    /// writes nothing. The leader writes more than the others, so its share is
    /// larger.
    pub(crate) fn update_request_budgets(&mut self) {
        let most = self.settings.peers_and_me();
        let nodes = self.view.members.len().clamp(most.min(2), most) as f64;
        let part = LEADER_REQUESTS / (nodes - 1.0 + LEADER_REQUESTS);
        let (requests, writes) = if nodes < 2.0 {
            (SHARE, SHARE)
        } else if self.leader.is_some() {
            (SHARE * part, SHARE * LEADER_SHARE)
        } else {
            let each = SHARE / (nodes - 1.0);
            (each * (1.0 - part), each * (1.0 - LEADER_SHARE))
        };
        let limits = if self.store.lowered_limits_active {
            &self.lowered_limits
        } else {
            &self.settings.params.state
        };
        let (rps, writes) = (limits.rps * requests, limits.write_rps * writes);
        self.store.rps = rps;
        self.store.requests.set_rate(self.now, rps, 1.0);
        self.store.writes.set_rate(self.now, writes, 1.0);
    }

    pub(crate) fn store_tick(&mut self) {
        self.keep_hold();
        self.keep_view();
        self.upgrade_tick();
        self.keep_member();
        self.seek_leadership();
    }

    fn state_call(&mut self, method: Method, path: String, body: Vec<u8>, pending: Pending) {
        let timeout = match pending {
            Pending::Watch { .. } => WATCH + TIMEOUT,
            _ => TIMEOUT,
        };
        self.call(Target::State, method, path, body, timeout, pending);
    }

    fn keep_view(&mut self) {
        if !self.store.ready || self.store.snapshot.is_some() {
            self.read_snapshot();
        } else if !self.store.watch_pending && self.now >= self.store.watch_at {
            self.store.requests.force(self.now, 1.0);
            self.store.watch_pending = true;
            let after = self.view.revision;
            let ms = WATCH.as_millis();
            let path = format!("/changes?starts={KEY_PREFIX}&after={after}&block_ms={ms}");
            self.state_call(Method::Get, path, Vec::new(), Pending::Watch { after });
        }
    }

    fn empty_view(&self) -> View {
        #[allow(unused_mut)]
        let mut view = View::default();
        #[cfg(feature = "sabotage")]
        {
            view.sabotage = self.sabotage;
        }
        view
    }

    /// Reads all records: the next page, or the changes since the first one.
    fn read_snapshot(&mut self) {
        if self.store.snapshot_pending || self.now < self.store.watch_at {
            return;
        }
        let empty = self.empty_view();
        let snapshot = self.store.snapshot.get_or_insert_with(|| {
            log::info!("reading all records");
            SnapshotRead::new(empty)
        });
        let (part, path) = snapshot.next_request();
        self.store.requests.force(self.now, 1.0);
        self.store.snapshot_pending = true;
        self.state_call(Method::Get, path, Vec::new(), Pending::Snapshot(part));
    }

    /// A part of all records, asked for at some time, has been answered.
    pub(crate) fn snapshot_answered(&mut self, part: SnapshotPart, sent: Duration, reply: &Reply) {
        self.store.snapshot_pending = false;
        let taken = match part {
            SnapshotPart::Page => self.take_page(reply),
            SnapshotPart::Changes => self.take_snapshot_changes(reply),
        };
        if !taken {
            return self.back_off();
        }
        let in_use = self.view.revision;
        let consistent = |s: &mut SnapshotRead| s.is_consistent(in_use);
        #[cfg(feature = "sabotage")]
        let partial = self.sabotage == Some(crate::Sabotage::PartialView);
        #[cfg(feature = "sabotage")]
        let consistent = |s: &mut SnapshotRead| consistent(s) || (partial && s.has_all_pages());
        match self.store.snapshot.take_if(consistent) {
            Some(snapshot) => {
                // Pages alone are no contact: the watch that follows at once is.
                let is_contact = part == SnapshotPart::Changes;
                #[cfg(feature = "sabotage")]
                let is_contact = is_contact || partial;
                let contact = is_contact.then_some(sent);
                self.use_view(snapshot.into_view(), contact);
            }
            None => self.read_snapshot(),
        }
    }

    fn take_page(&mut self, reply: &Reply) -> bool {
        let page = match reply {
            Reply::Answer { status: 200, body } => decode::<Page>(body).ok(),
            _ => None,
        };
        let program = self.supported_level;
        match (page, &mut self.store.snapshot) {
            (Some(page), Some(snapshot)) => {
                snapshot.take_page(page, |event| upgrade::can_read(program, event));
                true
            }
            _ => false,
        }
    }

    fn take_snapshot_changes(&mut self, reply: &Reply) -> bool {
        let program = self.supported_level;
        match reply {
            Reply::Answer { status: 200, body } => {
                let Ok(changes) = decode::<Events>(body) else {
                    return false;
                };
                if let Some(snapshot) = &mut self.store.snapshot {
                    snapshot.take_changes(changes, |event| upgrade::can_read(program, event));
                }
                true
            }
            Reply::Answer { status: 410, .. } => {
                log::info!("reading all records took too long: once more");
                self.store.snapshot = Some(SnapshotRead::new(self.empty_view()));
                false
            }
            _ => false,
        }
    }

    /// Uses other records, which are not older than those in use and were the state
    /// service's at some moment after `contact`.
    fn use_view(&mut self, view: View, contact: Option<Duration>) {
        self.view = view;
        self.store.contact = self.store.contact.max(contact);
        self.store.failures = 0;
        self.store.ready = true;
        self.store.watch_at = self.now;
        self.resync();
        self.advance_chunk_writes();
        self.cancels_progress();
        self.store_tick();
    }

    /// Everything that follows from the records, anew.
    fn resync(&mut self) {
        self.members_changed();
        let blocks: Vec<_> = self
            .view
            .blocks
            .keys()
            .chain(self.held_blocks.keys())
            .copied()
            .collect();
        for block in blocks {
            self.block_changed(block);
        }
        let machines: Vec<_> = self
            .view
            .machines
            .keys()
            .chain(self.machines.keys())
            .cloned()
            .collect();
        for machine in machines {
            self.machine_changed(&machine);
        }
        let jobs: Vec<_> = self.view.active.iter().cloned().collect();
        for job in jobs {
            self.job_changed(&job);
        }
        self.resync_assigned_tasks();
    }

    fn back_off(&mut self) {
        self.store.failures += 1;
        let most = 150 << self.store.failures.min(3);
        let wait = Duration::from_millis(self.rng.u64(100..=most));
        self.store.watch_at = self.now + wait;
    }

    pub(crate) fn watch_answered(&mut self, after: u64, sent: Duration, reply: &Reply) {
        self.store.watch_pending = false;
        match self.take_events(after, sent, reply) {
            Taken::Changes | Taken::TooOld => {
                self.store.watch_at = self.now.max(sent + self.gap(WATCH_GAP, WATCH_SHARE));
            }
            Taken::Nothing => self.back_off(),
        }
        self.keep_view();
    }

    /// The least time between two requests of a kind that may take a share of
    /// our requests.
    fn gap(&self, least: Duration, share: f64) -> Duration {
        let rate = (self.store.rps * share).max(1.0);
        least.max(Duration::from_secs_f64(1.0 / rate))
    }

    /// Applies what a watch or read for the changes after some revision brought.
    fn take_events(&mut self, after: u64, sent: Duration, reply: &Reply) -> Taken {
        let body = match reply {
            Reply::Answer { status: 200, body } => body,
            Reply::Answer { status: 410, .. } => {
                self.changes_too_old(after);
                return Taken::TooOld;
            }
            Reply::Answer { status: 429, .. } => {
                self.store.requests.drain(self.now);
                return Taken::Nothing;
            }
            _ => return Taken::Nothing,
        };
        let Ok(events) = decode::<Events>(body) else {
            return Taken::Nothing;
        };
        if events.revision < after {
            self.invariants.report(&Violation::RevisionWentBack {
                known: after,
                seen: events.revision,
            });
            return Taken::Nothing;
        }
        self.apply(events.events);
        self.view.revision = self.view.revision.max(events.revision);
        if self.store.failures > 2 {
            log::info!("contact with the state service regained");
        }
        self.store.failures = 0;
        self.store.contact = self.store.contact.max(Some(sent));
        self.advance_chunk_writes();
        self.cancels_progress();
        Taken::Changes
    }

    /// The state service no longer has the changes after a revision.
    fn changes_too_old(&mut self, after: u64) {
        // Several requests may be told so. Beginning anew with a request of the
        // reading under way, its answer was taken for the first page, and all that
        // lies before it was missing: accepted jobs were answered with 404, and the
        // tasks of blocks that came back later were started once more.
        let is_reading = self.store.snapshot.is_some();
        #[cfg(feature = "sabotage")]
        let is_reading = is_reading && self.sabotage != Some(crate::Sabotage::MixedReads);
        // What has been read since went further than what was asked for.
        if is_reading || after < self.view.revision {
            return;
        }
        log::info!("the changes after revision {after} are no longer kept: all is read anew");
        self.store.snapshot = Some(SnapshotRead::new(self.empty_view()));
    }

    /// Applies changes, revision by revision: what a transaction has written
    /// holds as a whole. Seen one by one, a machine that moves from one list
    /// to another would be nowhere in between, and its tasks with it.
    fn apply(&mut self, mut events: Vec<Event>) {
        // The view is whole at its revision. An answer that was overtaken would bring
        // back what has been deleted since.
        let known = self.view.revision;
        let program = self.supported_level;
        events.retain(|event| event.version() > known && upgrade::can_read(program, event));
        // A job comes before what continues it, as its key does.
        events.sort_by(|a, b| (a.version(), a.key()).cmp(&(b.version(), b.key())));
        let mut events = events.into_iter().peekable();
        while let Some(event) = events.next() {
            let version = event.version();
            let mut keys: Vec<Key> = self.view.apply(event).into_iter().collect();
            while let Some(event) = events.next_if(|e| e.version() == version) {
                keys.extend(self.view.apply(event));
            }
            for key in keys {
                self.record_changed(&key);
            }
        }
    }

    /// Reads on for those who wait for an answer no older than their request.
    pub(crate) fn refresh_view(&mut self) {
        let stood_still = self
            .store
            .contact
            .is_none_or(|at| at < self.store.resumed_at);
        let doubts = stood_still || self.store.needs_fresh_read;
        if self.store.read_pending
            || (self.admission.asks.is_empty() && !doubts)
            || self.now < self.store.read_at
            || !self.store.ready
            || !self
                .store
                .requests
                .take(self.now, 1.0, Urgency::Read.reserve())
        {
            return;
        }
        self.store.read_pending = true;
        self.store.needs_fresh_read = false;
        self.store.read_at = self.now + self.gap(READ_GAP, READ_SHARE);
        let asks = std::mem::take(&mut self.admission.asks);
        let after = self.view.revision;
        let path = format!("/changes?starts={KEY_PREFIX}&after={after}");
        self.state_call(Method::Get, path, Vec::new(), Pending::Read { after, asks });
    }

    pub(crate) fn read_answered(
        &mut self,
        after: u64,
        sent: Duration,
        asks: Vec<Ask>,
        reply: &Reply,
    ) {
        self.store.read_pending = false;
        let fresh = self.take_events(after, sent, reply) == Taken::Changes;
        if fresh {
            // It served as a watch as well.
            let gap = self.gap(WATCH_GAP, WATCH_SHARE);
            self.store.watch_at = self.store.watch_at.max(sent + gap);
        }
        self.asks_read(asks, fresh);
        self.refresh_view();
    }

    /// Whether writes need not be spared.
    pub(crate) fn has_spare_writes(&mut self) -> bool {
        self.store.writes.is_rich(self.now)
    }

    /// Whether a transaction keeps to the sizes that the service takes, or
    /// will take.
    pub(crate) fn txn_fits(&self, txn: &Txn) -> bool {
        let limits = self.limits();
        let most = limits.value_bytes();
        let small = |change: &Change| match change {
            Change::Put { value, .. } => json_len(value) <= most,
            Change::Delete { .. } => true,
        };
        txn.changes.len() <= limits.txn_ops
            && txn.conds.len() <= limits.txn_conds()
            && txn.changes.iter().all(small)
            && json_len(txn) <= MAX_TXN
    }

    /// Sends a transaction if the budget allows; false: try again later.
    pub(crate) fn send_txn(&mut self, txn: Txn, purpose: Purpose, urgency: Urgency) -> bool {
        let puts = txn.changes.len() as f64;
        if urgency == Urgency::Session {
            self.store.requests.force(self.now, 1.0);
            self.store.writes.force(self.now, puts);
        } else {
            // Nothing is taken from one budget when the other has too little:
            // tries that fail would use it up for everybody else.
            let (now, reserve) = (self.now, urgency.reserve());
            let store = &mut self.store;
            if !store.requests.has(now, 1.0, reserve) {
                return false;
            }
            if !store.writes.take(now, puts, reserve) {
                store.writes.claim(now, puts, reserve);
                return false;
            }
            store.requests.take(now, 1.0, reserve);
        }
        log::debug!("writes {puts}: {}, {urgency:?}", purpose.name());
        let body = encode(&txn);
        let pending = Pending::Txn(purpose, txn);
        self.state_call(Method::Post, "/multi".into(), body, pending);
        true
    }

    pub(crate) fn txn_outcome(&mut self, reply: &Reply) -> Outcome {
        match reply {
            Reply::Answer { status, body } => {
                let revision = || decode::<TxnAnswer>(body).map(|a| a.revision);
                match *status {
                    200 => revision().map_or(Outcome::Unknown, Outcome::Done),
                    409 => revision().map_or(Outcome::Refused, Outcome::Conflict),
                    400 if String::from_utf8_lossy(body).contains("lease") => Outcome::NoLease,
                    429 => {
                        self.store.requests.drain(self.now);
                        self.store.writes.drain(self.now);
                        self.rate_refused();
                        Outcome::Refused
                    }
                    400 => {
                        log::error!(
                            "the state service does not take a transaction: {}",
                            String::from_utf8_lossy(body)
                        );
                        Outcome::Impossible
                    }
                    503 => Outcome::Refused,
                    _ => Outcome::Unknown,
                }
            }
            Reply::NotSent => Outcome::Refused,
            Reply::Lost => Outcome::Unknown,
        }
    }
}

mod session;
#[cfg(test)]
mod tests;
