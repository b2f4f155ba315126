//! The state machine as a whole: what comes in is handed to the part that it
//! concerns.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use oliveshift_wire::{
    JobId, TaskId,
    cloud::MachineType,
    job::Refusal,
    settings::{Settings, StateLimits},
    state::Txn,
};

use crate::{
    admission::{Admission, Ask},
    assigned_tasks::AssignedTask,
    blocks::HeldBlock,
    call::{Answer, Call, CallId, ConnId, Listener, Method, Output, Reply, Request, Target},
    cloud::CloudCall,
    fleet::Fleet,
    forwarding::Forwarding,
    futile::Futile,
    gate::Gate,
    invariants::Invariants,
    leader::Leader,
    machine::Machine,
    machine_status::OwnMachines,
    order_queue::OrderQueue,
    peers::{NonMemberPeers, PeerLink, PeerState},
    reachability::Reachability,
    recorder::{ChunkWrite, DirtyChunk},
    records::{BlockId, FormatLevel, Key},
    relay::Relay,
    request_queue::{RequestClass, RequestQueue},
    snapshot::SnapshotPart,
    sockets::{Close, OutboundKind, SocketId, Sockets},
    store::{Outcome, Purpose, StoreClient},
    team_use::TeamUse,
    tuning::Tuning,
    upgrade::Upgrade,
    view::View,
};

/// The time of an input.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady time since the process started.
    pub monotonic: Duration,
    /// Time of day, since 1970.
    pub wall_clock: Duration,
}

/// What a controller can be told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; expected every few dozen milliseconds.
    Tick,
    /// A connection came in at an address of ours.
    Opened(SocketId, Listener),
    /// A connection that came in has something to say, which begins like this.
    /// It is to be read when [`Output::ReadFrom`] says so.
    Readable(SocketId, Vec<u8>),
    /// A connection that came in has ended.
    Closed(SocketId),
    /// So many connections of ours are open without a use, by [`Lane`].
    IdleConnections([usize; 3]),
    /// A request came in.
    Request(Request),
    /// Something came of a request that the controller made.
    Reply(CallId, Reply),
}

/// Whoever is behind acts upon what came in once in this time.
const BACKLOG_PROCESSING_INTERVAL: Duration = Duration::from_millis(50);

/// Whoever took nothing in for so long may have lost its lease meanwhile, which
/// is renewed each second.
const STALL_LIMIT: Duration = Duration::from_millis(1900);

/// Ways to break the code on purpose, so that tests can show that they would
/// notice.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Workers are served however long ago our last contact was.
    NoContactLimit,
    /// Tasks count as nowhere before all machines have been heard.
    NoProof,
    /// Every report is proof, whichever token it shows.
    NoTermCheck,
    /// Jobs start without those that they await.
    NoDependencies,
    /// A job is not cancelled with one that it awaits.
    NoCancelCascade,
    /// The new forms are written as soon as this controller is new.
    EarlyFormatSwitch,
    /// The lower limits to come are not kept to.
    NoLoweredLimits,
    /// All that comes in shares one allowance, and what is beyond it is turned
    /// away.
    NoShares,
    /// Requests are answered as they came, whoever asks.
    NoPriorities,
    /// Late work has no floor.
    NoMinimumShares,
    /// What may have been spent of a record's shares is handed out again.
    SharesReissued,
    /// A controller that begins anew spends its shares once more.
    SameLife,
    /// Every job is let in by one flow's share.
    NoFlows,
    /// A process takes what its predecessor of the same name held for its own.
    OldLife,
    /// Users are answered from memory, whatever may have changed.
    FromMemory,
    /// Users are told that a job is cancelled before the store has confirmed it.
    UnconfirmedCancels,
    /// What a new holder hears first of a task is all that it looks at.
    FirstReportOnly,
    /// Nothing is known about links.
    NoReachability,
    /// Records are acted upon as soon as their last page has been read, of whatever
    /// moments the pages are.
    PartialView,
    /// A second answer that changes are no longer kept begins the reading of all
    /// records anew with a page of the first one still on its way.
    MixedReads,
    /// Scarce machines are kept for work that its team's limit holds back.
    ReservedForBlockedWork,
    /// Tasks of cancelled jobs are left alone.
    NoStops,
    /// Nobody is answered who asks about some of the jobs.
    UnansweredRequests,
    /// Some of the jobs are never handed out.
    SkippedJobs,
    /// Whatever is submitted is accepted, if it can be read.
    NoAdmissionChecks,
    /// Jobs that their team's limit holds back get no turn however long they wait.
    NoStarvationGuard,
    /// Of the jobs that it goes for, the oldest is the first, also right after it had a
    /// task.
    TurnsByAge,
    /// Turns of starved jobs end although their teams' limits had no room for them.
    ShortTurns,
    /// A machine that its holder does not hear is returned early, though it came to
    /// others, and no report is forwarded: its holder would hear it by way of them.
    SilentToHolder,
    /// A machine counts as idle though a task handed to its block may be on it, if the
    /// leader planned that for another machine.
    IdleAsPlanned,
    /// A machine counts as idle though it alone knows of ends besides its holder.
    IdleWithUnrecordedEnds,
    /// No report is forwarded to another controller.
    NoForwarding,
    /// A forwarded report gets the answer to an earlier one of its worker.
    StaleForwards,
    /// Direct orders without an answer count as never carried out.
    NoLateStarts,
    /// Hand-outs whose write got no answer count as not made.
    LostAnswerAsFailure,
    /// A worker's silence ends its lease, whoever may have renewed it.
    SilenceAsExpiry,
    /// The same, and what follows from it may be started.
    StaleEvidence,
}

#[cfg(feature = "sabotage")]
impl Sabotage {
    /// The way of this name, of those that a controller as a process can be given.
    pub fn from_name(name: &str) -> Option<Self> {
        let ways = [
            Self::NoStops,
            Self::NoProof,
            Self::NoContactLimit,
            Self::FromMemory,
            Self::OldLife,
            Self::NoLateStarts,
            Self::MixedReads,
            Self::PartialView,
            Self::StaleEvidence,
        ];
        ways.into_iter().find(|way| format!("{way:?}") == name)
    }

    /// Whether a worker's silence ends its lease, whoever holds its block.
    pub(crate) fn trusts_worker_silence(self) -> bool {
        matches!(self, Self::SilenceAsExpiry | Self::StaleEvidence)
    }

    /// Whether no report is forwarded.
    pub(crate) fn disables_forwarding(self) -> bool {
        matches!(
            self,
            Self::NoReachability | Self::NoForwarding | Self::SilentToHolder
        )
    }

    /// Whether a job is one of the few that some of these are about.
    pub(crate) fn affects_job(id: &oliveshift_wire::JobId) -> bool {
        id.digits().ends_with(['1', '5', '8'])
    }
}

/// A request that the controller made and has no reply to yet.
#[derive(Debug)]
pub(crate) enum Pending {
    LeaseGrant,
    LeaseRenewal,
    Snapshot(SnapshotPart),
    Watch {
        after: u64,
    },
    Read {
        after: u64,
        asks: Vec<Ask>,
    },
    Txn(Purpose, Txn),
    Cloud(CloudCall),
    Orders {
        machine: String,
        starts: Vec<(TaskId, u64)>,
        term: u64,
        /// The worker has not answered lately.
        unresponsive: bool,
    },
    PeerMessage(String, u64),
    FormatLevel(String),
    Reach,
    RelayedRequest(ConnId),
    ForwardedReport(ConnId),
    Inspect {
        zone: String,
        machine: String,
    },
}

/// The parts of a path.
pub(crate) type Route<'a> = (
    Option<&'a str>,
    Option<&'a str>,
    Option<&'a str>,
    Option<&'a str>,
);

pub(crate) fn route(path: &str) -> Route<'_> {
    let mut parts = path.trim_start_matches('/').split('/');
    (parts.next(), parts.next(), parts.next(), parts.next())
}

impl Pending {
    fn connection_kind(&self) -> OutboundKind {
        match self {
            Self::Orders { .. } | Self::Inspect { .. } => OutboundKind::Orders,
            Self::PeerMessage(..)
            | Self::FormatLevel(_)
            | Self::Reach
            | Self::RelayedRequest(_)
            | Self::ForwardedReport(_) => OutboundKind::Peers,
            _ => OutboundKind::Outside,
        }
    }

    /// Whether the state service was asked.
    fn is_state(&self) -> bool {
        !matches!(self, Self::Cloud(_)) && self.connection_kind() == OutboundKind::Outside
    }

    fn targets_unresponsive_worker(&self) -> bool {
        matches!(
            self,
            Self::Orders {
                unresponsive: true,
                ..
            } | Self::Inspect { .. }
        )
    }
}

/// One controller.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Rc<Settings>,
    /// The limits of the state service that are to come.
    pub(crate) lowered_limits: StateLimits,
    /// The newest form of records that this program knows.
    pub(crate) supported_level: FormatLevel,
    pub(crate) upgrade: Upgrade,
    pub(crate) sockets: Sockets,
    pub(crate) request_queue: RequestQueue,
    /// Something happened since it was last acted upon, and when that was.
    input_pending: bool,
    last_processed_at: Duration,
    /// The numbers that may be changed while it runs.
    pub tuning: Tuning,
    pub(crate) incarnation: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Duration,
    pub(crate) wall_clock: Duration,
    pub(crate) outputs: Vec<Output>,
    next_call: CallId,
    pub(crate) calls: HashMap<CallId, (Pending, Duration)>,
    pub(crate) view: View,
    pub(crate) store: StoreClient,
    pub(crate) invariants: Invariants,
    pub(crate) admission: Admission,
    /// Our shares of what may be let in.
    pub(crate) gate: Gate,
    /// Machine types by name; empty until the cloud has told them.
    pub(crate) machine_types: BTreeMap<String, MachineType>,
    pub(crate) held_blocks: BTreeMap<BlockId, HeldBlock>,
    pub(crate) machines: BTreeMap<String, Machine>,
    pub(crate) assigned_tasks: BTreeMap<TaskId, AssignedTask>,
    /// Tasks of held blocks that have no machine.
    pub(crate) unplaced: BTreeSet<TaskId>,
    /// Which of them would find no room.
    pub(crate) futile: Futile,
    /// Which teams are near their limit.
    pub(crate) team_use: TeamUse,
    /// Chunks with news to record.
    pub(crate) dirty_chunks: BTreeMap<(JobId, u32), DirtyChunk>,
    /// Chunks with a write under way.
    pub(crate) chunk_writes: BTreeMap<(JobId, u32), ChunkWrite>,
    /// Machines for which orders are ready.
    pub(crate) order_queue: OrderQueue,
    pub(crate) attempts: u64,
    pub(crate) peers: BTreeMap<String, PeerState>,
    /// What we have told the peers.
    pub(crate) peer_links: BTreeMap<String, PeerLink>,
    /// Our machines as we tell of them.
    pub(crate) own_machines: OwnMachines,
    /// Tasks of held blocks that are done or given back and not recorded yet.
    pub(crate) unrecorded: BTreeSet<TaskId>,
    pub(crate) leader: Option<Leader>,
    /// Users' requests that go to peers, and theirs that come here.
    pub(crate) relay: Relay,
    /// Reports of workers that go to peers, and theirs that come here.
    pub(crate) forwarding: Forwarding,
    /// When peers that are no members were told how we stand.
    pub(crate) non_member_peers: NonMemberPeers,
    /// What is known about the links to workers.
    pub(crate) reachability: Reachability,
    /// Since when nobody leads.
    pub(crate) leaderless_since: Option<Duration>,
    pub(crate) fleet: Fleet,
    /// Machines that the leader wants emptied.
    pub(crate) draining: BTreeSet<String>,
    /// What is broken on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
}

impl Controller {
    /// A controller that knows nothing yet. `seed` has to differ between
    /// starts: the incarnation comes from it.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let tuning = Tuning::new(&settings);
        let peers = settings.peers.iter();
        let peer_links = peers
            .map(|p| (p.node.clone(), PeerLink::default()))
            .collect();
        Self {
            incarnation: rng.u64(1..1 << 53),
            store: StoreClient::new(&settings),
            fleet: Fleet::new(&settings),
            sockets: Sockets::new(&settings),
            request_queue: RequestQueue::default(),
            input_pending: false,
            last_processed_at: Duration::ZERO,
            lowered_limits: settings.params.state.lowered(),
            supported_level: FormatLevel::SUPPORTED,
            upgrade: Upgrade::default(),
            tuning,
            rng,
            now: Duration::ZERO,
            wall_clock: Duration::ZERO,
            outputs: Vec::new(),
            next_call: 0,
            calls: HashMap::new(),
            view: View::default(),
            invariants: Invariants::default(),
            admission: Admission::default(),
            gate: Gate::default(),
            machine_types: BTreeMap::new(),
            held_blocks: BTreeMap::new(),
            machines: BTreeMap::new(),
            assigned_tasks: BTreeMap::new(),
            unplaced: BTreeSet::new(),
            futile: Futile::default(),
            team_use: TeamUse::default(),
            dirty_chunks: BTreeMap::new(),
            chunk_writes: BTreeMap::new(),
            order_queue: OrderQueue::default(),
            attempts: 0,
            peers: BTreeMap::new(),
            peer_links,
            own_machines: OwnMachines::default(),
            unrecorded: BTreeSet::new(),
            leader: None,
            relay: Relay::default(),
            forwarding: Forwarding::default(),
            non_member_peers: NonMemberPeers::default(),
            reachability: Reachability::new(settings.report_period()),
            leaderless_since: None,
            settings: Rc::new(settings),
            draining: BTreeSet::new(),
            #[cfg(feature = "sabotage")]
            sabotage: None,
        }
    }

    /// A stand-in for a program that knows no newer form than `level`: what it
    /// can't read it does not see, as the program in production does not.
    #[cfg(feature = "sabotage")]
    pub fn with_supported_level(settings: Settings, seed: u64, level: FormatLevel) -> Self {
        Self {
            supported_level: level,
            ..Self::new(settings, seed)
        }
    }

    /// Takes one input and acts on it at once, as whoever is on time does.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = self.receive(now, input);
        while self.has_pending_work() {
            out.extend(self.run_turn(now));
        }
        out
    }

    /// Takes one input. What it makes possible is done at the next turn, which
    /// may come after several inputs: whoever is behind saves time that way.
    pub fn receive(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.advance_clock(now);
        match input {
            // Connections change nothing of what there is to decide.
            #[cfg(feature = "sabotage")]
            Input::Opened(id, _)
                if self.sabotage == Some(Sabotage::NoShares)
                    && self.sockets.open_count()
                        >= self.settings.params.limits.max_sockets * 3 / 4 =>
            {
                return vec![Output::Close(Close::Inbound(id))];
            }
            Input::Opened(id, listener) => {
                let close = self.sockets.connection_opened(self.now, id, listener);
                return close.into_iter().map(Output::Close).collect();
            }
            Input::Readable(id, beginning) => {
                if self.class(RequestClass::of_prefix(&beginning)) != RequestClass::Report {
                    return vec![Output::ReadFrom(id)];
                }
                self.request_queue.push_connection(self.now, id);
                return Vec::new();
            }
            Input::Closed(id) => {
                self.sockets.connection_closed(id);
                return Vec::new();
            }
            Input::IdleConnections(kept) => {
                self.sockets.set_idle(kept);
                return Vec::new();
            }
            Input::Request(request) => {
                self.sockets
                    .request_received(self.now, request.socket, request.conn);
                let class = self.class(RequestClass::of(&request));
                self.request_queue.push(self.now, class, request);
                return Vec::new();
            }
            Input::Tick => self.tick(),
            Input::Reply(call, reply) => self.reply(call, reply),
        }
        self.input_pending = true;
        self.take_outputs()
    }

    /// Whether something that came in waits for a turn.
    pub fn has_pending_work(&self) -> bool {
        self.input_pending || !self.request_queue.is_empty()
    }

    /// Whether somebody waits for that turn who goes before workers.
    pub fn has_urgent_work(&self) -> bool {
        self.request_queue.is_urgent()
    }

    /// Answers requests that wait, the most urgent ones if they are many, and
    /// does what all that came in has made possible.
    pub fn run_turn(&mut self, now: Now) -> Vec<Output> {
        self.advance_clock(now);
        let batch = self.request_queue.next_batch(self.now);
        let late = batch.expired_reports.iter().map(|r| r.socket);
        for id in late.chain(batch.expired_sockets) {
            self.sockets.connection_closed(id);
            self.close(vec![Close::Inbound(id)]);
        }
        self.outputs
            .extend(batch.read_from.into_iter().map(Output::ReadFrom));
        for request in batch.expired_users {
            self.refuse_with_retry(request.conn, "too much to do");
        }
        for request in batch.requests {
            self.request(request);
            self.input_pending = true;
        }
        // Acting costs the same for one input and for many.
        let waits = !self.request_queue.is_empty()
            && self.now < self.last_processed_at + BACKLOG_PROCESSING_INTERVAL;
        if self.input_pending && !waits {
            self.input_pending = false;
            self.last_processed_at = self.now;
            self.process_changes();
        }
        self.take_outputs()
    }

    /// The class that counts, which is not the request's own only if it is
    /// broken on purpose.
    fn class(&self, class: RequestClass) -> RequestClass {
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(Sabotage::NoPriorities) {
            return RequestClass::User;
        }
        class
    }

    fn advance_clock(&mut self, now: Now) {
        if now.monotonic > self.now + STALL_LIMIT {
            self.record_pause(now.monotonic);
        }
        self.now = self.now.max(now.monotonic);
        self.wall_clock = now.wall_clock;
    }

    /// What leaves now.
    fn take_outputs(&mut self) -> Vec<Output> {
        let mut out = std::mem::take(&mut self.outputs);
        for output in &mut out {
            if let Output::Answer(answer) = output {
                self.relay.wrap_answer(answer);
                self.forwarding.wrap_answer(answer);
                self.sockets.request_answered(self.now, answer.conn);
            }
        }
        out
    }

    /// How often an invariant did not hold since the process began: 0, unless this
    /// program is at fault or the state service has lost data.
    pub fn violations(&self) -> u64 {
        self.invariants.violations()
    }

    /// This controller's name.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    fn tick(&mut self) {
        let close = self.sockets.tick(self.now);
        self.close(close);
        self.store_tick();
        self.admission_tick();
        self.blocks_tick();
        self.links_tick();
        self.cloud_tick();
        self.leader_tick();
    }

    /// What every input may have made possible.
    fn process_changes(&mut self) {
        self.place();
        self.record_dirty_chunks();
        self.refresh_own_machines();
        if self.futile.take_changed() {
            self.place();
            self.refresh_own_machines();
        }
        self.hand_out();
        self.send_orders();
        self.send_due_peer_messages();
    }

    fn request(&mut self, request: Request) {
        let Request {
            conn,
            listener,
            method,
            path,
            body,
            ..
        } = request;
        match (listener, route(&path), method) {
            (_, (Some("healthz"), None, ..), Method::Get) => {
                let status = if self.healthy() { 200 } else { 503 };
                self.answer(conn, status, Vec::new());
            }
            (Listener::Public, (Some("work"), id, what, more), _) => {
                self.relay
                    .store_request(self.now, conn, method, &path, &body);
                self.serve_user(conn, method, (id, what, more), &body);
            }
            (Listener::Public, (Some("checkin"), None, ..), Method::Post) => {
                self.report(conn, &body)
            }
            (Listener::Internal, (Some("peer"), None, ..), Method::Post) => {
                if let Some(message) = self.decode_peer_message(conn, &body) {
                    self.receive_peer_message(conn, message);
                }
            }
            (Listener::Internal, (Some("reach"), None, ..), Method::Post)
                if self.supported_level >= FormatLevel::PIPELINES =>
            {
                self.receive_reach_message(conn, &body);
            }
            (Listener::Internal, (Some("carry"), None, ..), Method::Post)
                if self.supported_level >= FormatLevel::PIPELINES =>
            {
                self.receive_relayed_request(conn, &body);
            }
            (Listener::Internal, (Some("forward"), None, ..), Method::Post)
                if self.supported_level >= FormatLevel::PIPELINES =>
            {
                self.receive_forwarded_report(conn, &body);
            }
            (Listener::Internal, (Some("level"), None, ..), Method::Get)
                if self.supported_level >= FormatLevel::PIPELINES =>
            {
                self.tell_level(conn);
            }
            (Listener::Internal, (Some("admin"), Some("upgrade"), None, _), Method::Get) => {
                self.upgrade_status(conn);
            }
            (Listener::Internal, (Some("admin"), Some("upgrade"), None, _), Method::Post) => {
                self.write_off(conn, &body);
            }
            (_, (Some("healthz"), None, ..), _)
            | (Listener::Internal, (Some("peer"), None, ..), _)
            | (Listener::Internal, (Some("admin"), Some("upgrade"), None, _), _)
            | (Listener::Public, (Some("checkin"), None, ..), _) => {
                self.refuse(conn, 405, "method not allowed");
            }
            _ => self.refuse(conn, 404, "no such path"),
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        let Some((pending, sent)) = self.calls.remove(&call) else {
            return;
        };
        self.sockets.call_finished(
            pending.connection_kind(),
            pending.targets_unresponsive_worker(),
        );
        if pending.is_state() && matches!(reply, Reply::Answer { .. }) {
            self.store.answered = self.now;
        }
        match pending {
            Pending::LeaseGrant => self.lease_grant_answered(&reply, sent),
            Pending::LeaseRenewal => self.lease_renewal_answered(&reply, sent),
            Pending::Snapshot(part) => self.snapshot_answered(part, sent, &reply),
            Pending::Watch { after } => self.watch_answered(after, sent, &reply),
            Pending::Read { after, asks } => self.read_answered(after, sent, asks, &reply),
            Pending::Txn(purpose, txn) => {
                let outcome = self.txn_outcome(&reply);
                self.txn_done(purpose, txn, outcome);
            }
            Pending::Cloud(what) => self.cloud_reply(what, sent, &reply),
            Pending::Orders {
                machine,
                starts,
                term,
                ..
            } => self.orders_answered(&machine, &starts, term, &reply),
            Pending::PeerMessage(peer, version) => {
                self.peer_message_answered(&peer, version, &reply)
            }
            Pending::FormatLevel(node) => self.level_told(&node, &reply),
            Pending::Reach => {}
            Pending::RelayedRequest(conn) => self.relay_answered(conn, &reply),
            Pending::ForwardedReport(conn) => self.forward_answered(conn, &reply),
            Pending::Inspect { zone, machine } => self.inspect_answered(&zone, &machine, &reply),
        }
    }

    fn txn_done(&mut self, purpose: Purpose, txn: Txn, outcome: Outcome) {
        match purpose {
            Purpose::Member => self.member_written(outcome),
            Purpose::Leadership => self.lead_written(outcome),
            Purpose::User(id) => self.user_written(&id, outcome),
            Purpose::Chunk(id, part) => self.chunk_written(id, part, txn, outcome),
            Purpose::LeaderWrite(what) => self.duty_written(what, outcome),
            Purpose::Lists => self.machine_lists_written(&txn, outcome),
            Purpose::Upgrade(step) => self.upgrade_written(step, outcome),
        }
    }

    /// What a changed record means for the parts; called after each change, so
    /// that none of them misses a state in between.
    pub(crate) fn record_changed(&mut self, key: &Key) {
        match key {
            Key::Leader | Key::Member(_) => self.members_changed(),
            Key::Block(id) => {
                self.block_changed(*id);
                self.answer_waiting_strays();
            }
            Key::Machines(..) => {
                for name in std::mem::take(&mut self.view.changed_machines) {
                    self.machine_changed(&name);
                }
            }
            Key::Job(id) => {
                self.job_changed(id);
                self.confirm_by_record(id);
            }
            Key::Chunk(id, part) => self.chunk_changed(id, *part),
            Key::Format => {
                let level = self.view.level();
                log::info!("the records are of level {} from now on", level.0);
            }
            Key::Settings
            | Key::SpecOverflow(..)
            | Key::FormatLevel(_)
            | Key::LoweredLimits
            | Key::Admission => {}
        }
        if let Some(leader) = &mut self.leader {
            leader.plan_due = true;
        }
    }

    pub(crate) fn call(
        &mut self,
        to: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
        pending: Pending,
    ) -> CallId {
        self.next_call += 1;
        let id = self.next_call;
        let close = self.sockets.call_started(
            self.now,
            pending.connection_kind(),
            pending.targets_unresponsive_worker(),
        );
        self.close(close);
        self.calls.insert(id, (pending, self.now));
        self.outputs.push(Output::Call(Call {
            id,
            to,
            method,
            path,
            body,
            timeout,
        }));
        id
    }

    pub(crate) fn close(&mut self, close: Vec<Close>) {
        self.outputs.extend(close.into_iter().map(Output::Close));
    }

    pub(crate) fn answer(&mut self, conn: ConnId, status: u16, body: Vec<u8>) {
        self.outputs.push(Output::Answer(Answer {
            conn,
            status,
            body,
            retry_after: None,
        }));
    }

    pub(crate) fn refuse(&mut self, conn: ConnId, status: u16, error: &str) {
        let body = oliveshift_wire::encode(&Refusal {
            error: error.to_owned(),
        });
        self.answer(conn, status, body);
    }

    /// Says that the request can't be taken now and when to come back.
    pub(crate) fn refuse_with_retry(&mut self, conn: ConnId, error: &str) {
        self.refuse_with_retry_after(conn, error, Duration::from_secs(1));
    }

    /// The same, after some time.
    pub(crate) fn refuse_with_retry_after(&mut self, conn: ConnId, error: &str, after: Duration) {
        log::debug!("a user is told to come back: {error}");
        let body = oliveshift_wire::encode(&Refusal {
            error: error.to_owned(),
        });
        self.outputs.push(Output::Answer(Answer {
            conn,
            status: 503,
            body,
            retry_after: Some(after),
        }));
    }
}
