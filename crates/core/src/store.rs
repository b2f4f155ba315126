//! The client of the state service: the lease of this controller's membership, reads
//! of all records, watches, reads of changes and transactions.

use std::time::Duration;

use oliveshift_wire::{
    JobId, decode, encode,
    settings::Settings,
    state::{Change, Event, Events, MAX_TXN_BYTES, Page, Txn, TxnAnswer, json_len},
};

use crate::{
    budget::Budget,
    call::{Method, Reply, Target},
    controller::{Controller, Pending},
    invariants::Violation,
    leader::LeaderWrite,
    lease::Tenure,
    records::{KEY_PREFIX, Key},
    snapshot::{SnapshotPart, SnapshotRead},
    upgrade,
    user_api::UserRequest,
    user_writes::WriteId,
    verdict::FreshRead,
    view::View,
};

/// How long a watch waits for changes. Short, because a watch that a cut connection or
/// a refusal holds back just hangs, and contact counts from when it was sent.
const WATCH_BLOCK_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout of a request; a watch has it on top of [`WATCH_BLOCK_TIMEOUT`].
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// The minimum time between two watches, and between two reads of changes.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(30);
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// The shares of this controller's request rate that watches and reads may take.
/// Watches need a limit because each returns at once when there are many changes.
const WATCH_REQUEST_SHARE: f64 = 0.45;
const READ_REQUEST_SHARE: f64 = 0.25;
/// The age of the last contact beyond which submissions are refused at once.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long the state service must not have answered, with no message from a peer, for
/// this controller to count as isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(4000);
/// The share of the rate limits that is used: refusals cost more than waiting.
const USABLE_LIMIT_SHARE: f64 = 0.92;
/// The leader's share of all writes, and the number of followers whose share of the
/// requests it gets.
const LEADER_WRITE_SHARE: f64 = 0.4;
const LEADER_REQUEST_WEIGHT: f64 = 2.0;

/// The purpose of a transaction.
#[derive(Debug)]
pub(crate) enum Purpose {
    Member,
    Leadership,
    User(WriteId),
    Chunk(JobId, u32),
    LeaderWrite(LeaderWrite),
    MachineLists,
    Upgrade(upgrade::UpgradeWrite),
}

impl Purpose {
    fn name(&self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Leadership => "leadership",
            Self::User(_) => "user",
            Self::Chunk(..) => "chunk",
            Self::LeaderWrite(LeaderWrite::LeaseBlock(_)) => "lease",
            Self::LeaderWrite(LeaderWrite::CompactJobs(_)) => "compact",
            Self::LeaderWrite(LeaderWrite::PublishAdmission) => "admission",
            Self::LeaderWrite(LeaderWrite::Resign) => "resign",
            Self::MachineLists => "machine lists",
            Self::Upgrade(_) => "upgrade",
        }
    }
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Committed, at this revision.
    Done(u64),
    /// A condition did not hold, as of this revision.
    Conflict(u64),
    /// This request was not executed. An earlier request for the same transaction that
    /// got no answer may still have been.
    Refused,
    /// This request was not executed and would be rejected again: it is malformed, or
    /// larger than the service accepts now.
    Impossible,
    /// The lease that it refers to has expired.
    NoLease,
    /// No usable answer: it may have been executed, or may be later.
    Unknown,
}

/// The outcome of a request for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangesOutcome {
    /// The view has all changes up to the time of the answer.
    Applied,
    /// The state service no longer keeps these changes.
    TooOld,
    /// There was no usable answer.
    Unusable,
}

/// How urgent a transaction or read is. It decides which share of the budget is left
/// for more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Urgency {
    Session,
    Safety,
    User,
    Assignment,
    Quota,
    Read,
    Background,
    Cleanup,
}

impl Urgency {
    fn reserve(self) -> f64 {
        match self {
            Self::Session => 0.0,
            // Writes for users may overdraw the budget: they are few, and a user who is
            // told to retry loses a second.
            Self::User => -1.0,
            // Reads for users have a rate limit of their own. With a positive reserve
            // they starved for minutes, and users did not learn that their jobs were
            // done.
            Self::Read => -0.5,
            Self::Safety => 0.05,
            Self::Assignment => 0.15,
            Self::Quota => 0.2,
            Self::Background => 0.5,
            Self::Cleanup => 0.5,
        }
    }
}

/// The state of the connection to the state service.
#[derive(Debug)]
pub(crate) struct StoreClient {
    /// How many requests a second this controller may make.
    rps: f64,
    requests: Budget,
    writes: Budget,
    member_lease: Option<u64>,
    member_lease_pending: bool,
    renew_lease_at: Duration,
    member_write_pending: bool,
    leader_write_pending: bool,
    /// The revision at which the view shows the outcome of the last member or leader
    /// write.
    session_visible_at: u64,
    /// The read of all records in progress, apart from the view in use.
    snapshot: Option<SnapshotRead>,
    /// Whether a request of that read is in flight.
    snapshot_pending: bool,
    /// Whether all records have been read at least once.
    pub ready: bool,
    /// The last contact: when the request was sent whose answer last brought the view up
    /// to date.
    pub last_contact: Option<Duration>,
    /// When the state service last answered, also if only to refuse a request.
    pub last_answer_at: Duration,
    watch_pending: bool,
    next_watch_at: Duration,
    read_pending: bool,
    next_read_at: Duration,
    failures: u32,
    /// When this controller last resumed after a pause.
    resumed_at: Duration,
    /// Whether a worker lease can only expire once a fresh read has proven that its block
    /// is still held here.
    pub needs_fresh_read: bool,
    /// Whether the lowered limits of the state service apply.
    pub lowered_limits_active: bool,
}

impl StoreClient {
    pub fn new(settings: &Settings) -> Self {
        let nodes = settings.controller_count() as f64;
        Self {
            rps: settings.deployment.state.rps * USABLE_LIMIT_SHARE / nodes,
            requests: Budget::new(
                settings.deployment.state.rps * USABLE_LIMIT_SHARE / nodes,
                1.0,
            ),
            writes: Budget::new(
                settings.deployment.state.write_rps * USABLE_LIMIT_SHARE / nodes,
                1.0,
            ),
            member_lease: None,
            member_lease_pending: false,
            renew_lease_at: Duration::ZERO,
            member_write_pending: false,
            leader_write_pending: false,
            session_visible_at: 0,
            snapshot: None,
            snapshot_pending: false,
            ready: false,
            last_contact: None,
            last_answer_at: Duration::ZERO,
            watch_pending: false,
            next_watch_at: Duration::ZERO,
            read_pending: false,
            next_read_at: Duration::ZERO,
            failures: 0,
            resumed_at: Duration::ZERO,
            needs_fresh_read: false,
            lowered_limits_active: false,
        }
    }
}

impl StoreClient {
    /// Until when the blocks held here are proven to be held.
    pub fn tenure(&self) -> Tenure {
        Tenure::proven_until(self.last_contact)
    }
}

impl Controller {
    /// The age of the last contact; `None` if there was none, or none since the last pause.
    pub(crate) fn contact_age(&self) -> Option<Duration> {
        let last_contact = self
            .store
            .last_contact
            .filter(|at| *at >= self.store.resumed_at)?;
        Some(self.now.saturating_sub(last_contact))
    }

    /// Records a pause: no input was processed for so long that this controller's leases
    /// may have expired. The view has to be confirmed before it answers or sends orders;
    /// without this a controller that resumed within the contact limit acted under terms
    /// that had passed to other controllers.
    pub(crate) fn record_pause(&mut self, now: Duration) {
        if self.store.ready {
            log::info!(
                "no input was processed for {:.1?}; waiting for new contact with the state service",
                now.saturating_sub(self.now)
            );
        }
        self.store.resumed_at = now;
    }

    /// Whether the view is recent enough to give orders to workers. With an older view a
    /// cancellation or a new lease of a block could be missed for longer than `cancel_s`
    /// allows.
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

    /// Whether the state service can be expected to answer.
    pub(crate) fn in_contact(&self) -> bool {
        self.store.ready && self.contact_age().is_some_and(|age| age < CONTACT_TIMEOUT)
    }

    /// Whether the load balancer should send users here. While no controller has contact
    /// all stay healthy, as it takes the load balancer time to use a controller again.
    pub(crate) fn healthy(&self) -> bool {
        let others = self.peers_have_contact() || self.is_isolated();
        self.store.ready && (self.in_contact() || !others)
    }

    /// Whether this controller seems to be isolated: no peer is heard, and the state
    /// service does not answer at all, whereas in an outage it answers with an error.
    /// An isolated controller learns of no peer's contact; it took this for an outage,
    /// called itself healthy and got users for as long as it was isolated.
    fn is_isolated(&self) -> bool {
        let silent = self.now > self.store.last_answer_at + ISOLATION_TIMEOUT;
        silent && !self.settings.peers.is_empty() && !self.has_fresh_peer()
    }

    /// Divides the rate limits among the members; a controller that is not a member
    /// writes nothing. The leader writes more than the others, so its share is larger.
    pub(crate) fn update_request_budgets(&mut self) {
        let max_nodes = self.settings.controller_count();
        let nodes = self.view.members.len().clamp(max_nodes.min(2), max_nodes) as f64;
        let part = LEADER_REQUEST_WEIGHT / (nodes - 1.0 + LEADER_REQUEST_WEIGHT);
        let (requests, writes) = if nodes < 2.0 {
            (USABLE_LIMIT_SHARE, USABLE_LIMIT_SHARE)
        } else if self.leader.is_some() {
            (
                USABLE_LIMIT_SHARE * part,
                USABLE_LIMIT_SHARE * LEADER_WRITE_SHARE,
            )
        } else {
            let each = USABLE_LIMIT_SHARE / (nodes - 1.0);
            (each * (1.0 - part), each * (1.0 - LEADER_WRITE_SHARE))
        };
        let limits = if self.store.lowered_limits_active {
            &self.lowered_limits
        } else {
            &self.settings.deployment.state
        };
        let (rps, writes) = (limits.rps * requests, limits.write_rps * writes);
        self.store.rps = rps;
        self.store.requests.set_rate(self.now, rps, 1.0);
        self.store.writes.set_rate(self.now, writes, 1.0);
    }

    pub(crate) fn store_tick(&mut self) {
        self.keep_member_lease();
        self.sync_view();
        self.upgrade_tick();
        self.keep_member_record();
        self.seek_leadership();
    }

    fn state_call(&mut self, method: Method, path: String, body: Vec<u8>, pending: Pending) {
        let timeout = match pending {
            Pending::Watch { .. } => WATCH_BLOCK_TIMEOUT + REQUEST_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        self.call(Target::State, method, path, body, timeout, pending);
    }

    fn sync_view(&mut self) {
        if !self.store.ready || self.store.snapshot.is_some() {
            self.read_snapshot();
        } else if !self.store.watch_pending && self.now >= self.store.next_watch_at {
            self.store.requests.charge(self.now, 1.0);
            self.store.watch_pending = true;
            let after = self.view.revision;
            let ms = WATCH_BLOCK_TIMEOUT.as_millis();
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

    /// Continues the read of all records with the next page, or with the changes since
    /// the first page.
    fn read_snapshot(&mut self) {
        if self.store.snapshot_pending || self.now < self.store.next_watch_at {
            return;
        }
        let empty = self.empty_view();
        let snapshot = self.store.snapshot.get_or_insert_with(|| {
            log::info!("starting to read all records");
            SnapshotRead::new(empty)
        });
        let (part, path) = snapshot.next_request();
        self.store.requests.charge(self.now, 1.0);
        self.store.snapshot_pending = true;
        self.state_call(Method::Get, path, Vec::new(), Pending::Snapshot(part));
    }

    /// Handles the answer to a part of a read of all records; `sent` is when it was
    /// requested.
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
                // Pages alone do not count as contact; the watch that follows at once does.
                let is_contact = part == SnapshotPart::Changes;
                #[cfg(feature = "sabotage")]
                let is_contact = is_contact || partial;
                let last_contact = is_contact.then_some(sent);
                self.replace_view(snapshot.into_view(), last_contact);
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
                log::info!(
                    "reading all records took too long, the changes since the first page are gone: \
                     starting over"
                );
                self.store.snapshot = Some(SnapshotRead::new(self.empty_view()));
                false
            }
            _ => false,
        }
    }

    /// Replaces the view with records that are at least as recent and that the state
    /// service held at some time after `last_contact`.
    fn replace_view(&mut self, view: View, last_contact: Option<Duration>) {
        self.view = view;
        self.store.last_contact = self.store.last_contact.max(last_contact);
        self.store.failures = 0;
        self.store.ready = true;
        self.store.next_watch_at = self.now;
        self.resync();
        self.advance_chunk_writes();
        self.resume_cancellations();
        self.store_tick();
    }

    /// Recomputes all state that is derived from the records.
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
        let max_ms = 150 << self.store.failures.min(3);
        let wait = Duration::from_millis(self.rng.u64(100..=max_ms));
        self.store.next_watch_at = self.now + wait;
    }

    pub(crate) fn watch_answered(&mut self, after: u64, sent: Duration, reply: &Reply) {
        self.store.watch_pending = false;
        match self.apply_changes_reply(after, sent, reply) {
            ChangesOutcome::Applied | ChangesOutcome::TooOld => {
                self.store.next_watch_at = self
                    .now
                    .max(sent + self.min_interval(MIN_WATCH_INTERVAL, WATCH_REQUEST_SHARE));
            }
            ChangesOutcome::Unusable => self.back_off(),
        }
        self.sync_view();
    }

    /// The minimum time between two requests of a kind that may use the given share of
    /// this controller's request rate, and at least `least`.
    fn min_interval(&self, least: Duration, share: f64) -> Duration {
        let rate = (self.store.rps * share).max(1.0);
        least.max(Duration::from_secs_f64(1.0 / rate))
    }

    /// Applies the answer to a watch or read of the changes after a revision.
    fn apply_changes_reply(&mut self, after: u64, sent: Duration, reply: &Reply) -> ChangesOutcome {
        let body = match reply {
            Reply::Answer { status: 200, body } => body,
            Reply::Answer { status: 410, .. } => {
                self.changes_too_old(after);
                return ChangesOutcome::TooOld;
            }
            Reply::Answer { status: 429, .. } => {
                self.store.requests.empty(self.now);
                return ChangesOutcome::Unusable;
            }
            _ => return ChangesOutcome::Unusable,
        };
        let Ok(events) = decode::<Events>(body) else {
            return ChangesOutcome::Unusable;
        };
        if events.revision < after {
            self.invariants.report(&Violation::RevisionWentBack {
                known: after,
                seen: events.revision,
            });
            return ChangesOutcome::Unusable;
        }
        self.apply_events(events.events);
        self.view.revision = self.view.revision.max(events.revision);
        if self.store.failures > 2 {
            log::info!("the state service answers again");
        }
        self.store.failures = 0;
        self.store.last_contact = self.store.last_contact.max(Some(sent));
        self.advance_chunk_writes();
        self.resume_cancellations();
        ChangesOutcome::Applied
    }

    /// Starts a new read of all records, as the state service no longer keeps the changes
    /// after a revision.
    fn changes_too_old(&mut self, after: u64) {
        // Several requests may get this answer. When a second one restarted the read while
        // a page was in flight, that page was taken for the first one and all records
        // before it were missing: accepted jobs were answered with 404, and tasks of
        // blocks that came back later were started again.
        let is_reading = self.store.snapshot.is_some();
        #[cfg(feature = "sabotage")]
        let is_reading = is_reading && self.sabotage != Some(crate::Sabotage::MixedReads);
        // If the view has advanced since the request, later changes have been read.
        if is_reading || after < self.view.revision {
            return;
        }
        log::info!(
            "the state service no longer keeps the changes after revision {after}: \
             reading all records again"
        );
        self.store.snapshot = Some(SnapshotRead::new(self.empty_view()));
    }

    /// Applies changes revision by revision, so that all changes of a transaction take
    /// effect together. One by one, a machine that moves from one list to another would
    /// be in no list in between, and its tasks with it.
    fn apply_events(&mut self, mut events: Vec<Event>) {
        // The view has all changes up to its revision. An answer overtaken by a later one
        // would bring back records that have been deleted since.
        let known = self.view.revision;
        let program = self.supported_level;
        events.retain(|event| event.version() > known && upgrade::can_read(program, event));
        // A job sorts before its overflow records and chunks, as its key does.
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

    /// Reads the latest changes for user requests that need an answer no older than the
    /// request, after a pause, or to prove that blocks are still held here.
    pub(crate) fn refresh_view(&mut self) {
        let was_paused = self
            .store
            .last_contact
            .is_none_or(|at| at < self.store.resumed_at);
        let needs_confirmation = was_paused || self.store.needs_fresh_read;
        if self.store.read_pending
            || (self.user_requests.awaiting_read.is_empty() && !needs_confirmation)
            || self.now < self.store.next_read_at
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
        self.store.next_read_at =
            self.now + self.min_interval(MIN_READ_INTERVAL, READ_REQUEST_SHARE);
        let user_requests = std::mem::take(&mut self.user_requests.awaiting_read);
        let after = self.view.revision;
        let path = format!("/changes?starts={KEY_PREFIX}&after={after}");
        self.state_call(
            Method::Get,
            path,
            Vec::new(),
            Pending::Read {
                after,
                user_requests,
            },
        );
    }

    pub(crate) fn read_answered(
        &mut self,
        after: u64,
        sent: Duration,
        user_requests: Vec<UserRequest>,
        reply: &Reply,
    ) {
        self.store.read_pending = false;
        let fresh = self.apply_changes_reply(after, sent, reply) == ChangesOutcome::Applied;
        if fresh {
            // The read replaces a watch.
            let min_interval = self.min_interval(MIN_WATCH_INTERVAL, WATCH_REQUEST_SHARE);
            self.store.next_watch_at = self.store.next_watch_at.max(sent + min_interval);
        }
        self.complete_user_requests(user_requests, |request| {
            let started = fresh.then_some(sent)?;
            FreshRead::of_read(started, request.since)
        });
        self.refresh_view();
    }

    /// Whether the write budget has room to spare.
    pub(crate) fn has_spare_writes(&mut self) -> bool {
        self.store.writes.is_mostly_full(self.now)
    }

    /// Whether a transaction keeps to the size limits of the state service; from the
    /// second format level on, also to announced lower limits.
    pub(crate) fn txn_fits(&self, txn: &Txn) -> bool {
        let limits = self.limits();
        let max_bytes = limits.value_bytes();
        let small = |change: &Change| match change {
            Change::Put { value, .. } => json_len(value) <= max_bytes,
            Change::Delete { .. } => true,
        };
        txn.changes.len() <= limits.txn_ops
            && txn.conds.len() <= limits.txn_conds()
            && txn.changes.iter().all(small)
            && json_len(txn) <= MAX_TXN_BYTES
    }

    /// Sends a transaction if the budget allows. If it returns false, the caller has to
    /// try again later.
    pub(crate) fn send_txn(&mut self, txn: Txn, purpose: Purpose, urgency: Urgency) -> bool {
        let changes = txn.changes.len() as f64;
        if urgency == Urgency::Session {
            self.store.requests.charge(self.now, 1.0);
            self.store.writes.charge(self.now, changes);
        } else {
            // Nothing is taken from one budget if the other has too little: failed attempts
            // would use it up for other transactions.
            let (now, reserve) = (self.now, urgency.reserve());
            let store = &mut self.store;
            if !store.requests.can_take(now, 1.0, reserve) {
                return false;
            }
            if !store.writes.take(now, changes, reserve) {
                store.writes.record_blocked(now, changes, reserve);
                return false;
            }
            store.requests.take(now, 1.0, reserve);
        }
        log::debug!(
            "sending transaction: {}, {changes} changes, urgency {urgency:?}",
            purpose.name()
        );
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
                        self.store.requests.empty(self.now);
                        self.store.writes.empty(self.now);
                        self.write_rate_refused();
                        Outcome::Refused
                    }
                    400 => {
                        log::error!(
                            "the state service rejected a transaction as malformed or too large: {}",
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
