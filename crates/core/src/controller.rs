//! The controller's state machine: dispatches inputs to its components and collects
//! their outputs. It does no I/O.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::Display,
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

#[cfg(feature = "sabotage")]
use crate::sabotage::Sabotage;
use crate::{
    admission_shares::AdmissionShares,
    assigned_tasks::AssignedTask,
    blocks::HeldBlock,
    call::{
        Answer, Call, CallId, ConnId, IncompleteRequest, Listener, Method, Output, Reply, Request,
        Target,
    },
    cloud::CloudCall,
    failed_placements::FailedPlacements,
    fleet::Fleet,
    forwarding::Forwarding,
    invariants::Invariants,
    leader::Leader,
    machine::Machine,
    machine_status::OwnMachines,
    near_limit::NearLimitTeams,
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
    tuning::Tuning,
    upgrade::Upgrade,
    user_api::{UserRequest, UserRequests},
    user_request_log::{RefusedRequest, UserRequestLog},
    verdict::{RefusalStatus, Verdict},
    view::View,
};

/// Clock readings at the time of an input.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Monotonic time since the process started.
    pub monotonic: Duration,
    /// Wall-clock time since the Unix epoch (1970).
    pub wall_clock: Duration,
}

/// An event that a controller processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Timer tick, expected every few dozen milliseconds.
    Tick,
    /// An inbound connection was accepted on one of the listeners.
    Opened(SocketId, Listener),
    /// An inbound connection has data to read; carries its first bytes. The request is
    /// read only after [`Output::ReadFrom`].
    Readable(SocketId, Vec<u8>),
    /// An inbound connection was closed.
    Closed(SocketId),
    /// Number of open but unused outbound connections, by [`OutboundKind`].
    IdleConnections([usize; 3]),
    /// An inbound request was read.
    Request(Request),
    /// An inbound request was given up before it was received completely.
    IncompleteRequest(IncompleteRequest),
    /// Result of a request that the controller sent.
    Reply(CallId, Reply),
}

/// What a refusal rests on that decides nothing, for the log.
const UNDECIDED: &str = "nothing: it is not decided";

/// How often a controller with a backlog of requests processes the changes that its
/// inputs have made.
const BACKLOG_PROCESSING_INTERVAL: Duration = Duration::from_millis(50);

/// A controller that has processed no input for this long may have lost its lease,
/// which is renewed every second.
const STALL_LIMIT: Duration = Duration::from_millis(1900);

/// An outbound request without a reply so far.
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
        user_requests: Vec<UserRequest>,
    },
    Txn(Purpose, Txn),
    Cloud(CloudCall),
    Orders {
        machine: String,
        starts: Vec<(TaskId, u64)>,
        term: u64,
        /// The worker did not answer the previous direct orders.
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

/// The first four segments of a path.
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

    /// Whether the request goes to the state service.
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

/// The state of one controller.
#[derive(Debug)]
pub struct Controller {
    pub(crate) settings: Rc<Settings>,
    /// The state service's limits once the announced lower ones apply.
    pub(crate) lowered_limits: StateLimits,
    /// The newest record format that this program supports.
    pub(crate) supported_level: FormatLevel,
    pub(crate) upgrade: Upgrade,
    pub(crate) sockets: Sockets,
    pub(crate) request_queue: RequestQueue,
    /// Inputs were received since changes were last processed.
    input_pending: bool,
    last_processed_at: Duration,
    /// Parameters that can be changed at run time.
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
    pub(crate) user_requests: UserRequests,
    /// Admission shares of this controller.
    pub(crate) admission_shares: AdmissionShares,
    /// Machine types by name; empty until they have been read from the cloud.
    pub(crate) machine_types: BTreeMap<String, MachineType>,
    pub(crate) held_blocks: BTreeMap<BlockId, HeldBlock>,
    pub(crate) machines: BTreeMap<String, Machine>,
    pub(crate) assigned_tasks: BTreeMap<TaskId, AssignedTask>,
    /// Tasks in state `Free`: they wait for a machine of their block.
    pub(crate) unplaced: BTreeSet<TaskId>,
    /// Recent placement attempts that found no machine.
    pub(crate) failed_placements: FailedPlacements,
    /// Teams that are near their limit.
    pub(crate) near_limit_teams: NearLimitTeams,
    /// Chunks with task results to record.
    pub(crate) dirty_chunks: BTreeMap<(JobId, u32), DirtyChunk>,
    /// Writes of chunks that are not yet settled.
    pub(crate) chunk_writes: BTreeMap<(JobId, u32), ChunkWrite>,
    /// Machines that direct orders may have to be sent to.
    pub(crate) order_queue: OrderQueue,
    pub(crate) attempts: u64,
    pub(crate) peers: BTreeMap<String, PeerState>,
    /// State of the messages to each peer.
    pub(crate) peer_links: BTreeMap<String, PeerLink>,
    /// Machines of the held blocks as reported to peers.
    pub(crate) own_machines: OwnMachines,
    /// Tasks of held blocks that are done or returned to the leader, and not recorded
    /// yet.
    pub(crate) unrecorded: BTreeSet<TaskId>,
    pub(crate) leader: Option<Leader>,
    /// User requests that are not answered yet.
    pub(crate) user_request_log: UserRequestLog,
    /// User requests relayed to and from peers.
    pub(crate) relay: Relay,
    /// Worker reports forwarded to and from peers.
    pub(crate) forwarding: Forwarding,
    /// Messages to peers that are not members.
    pub(crate) non_member_peers: NonMemberPeers,
    /// Which workers can reach which controllers.
    pub(crate) reachability: Reachability,
    /// Since when there has been no leader.
    pub(crate) leaderless_since: Option<Duration>,
    pub(crate) fleet: Fleet,
    /// Machines that the leader is draining.
    pub(crate) draining: BTreeSet<String>,
    /// The injected fault, if any.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
}

impl Controller {
    /// Creates a controller with an empty view. `seed` must differ between starts: the
    /// incarnation is derived from it.
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
            lowered_limits: settings.deployment.state.lowered(),
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
            user_requests: UserRequests::default(),
            admission_shares: AdmissionShares::default(),
            machine_types: BTreeMap::new(),
            held_blocks: BTreeMap::new(),
            machines: BTreeMap::new(),
            assigned_tasks: BTreeMap::new(),
            unplaced: BTreeSet::new(),
            failed_placements: FailedPlacements::default(),
            near_limit_teams: NearLimitTeams::default(),
            dirty_chunks: BTreeMap::new(),
            chunk_writes: BTreeMap::new(),
            order_queue: OrderQueue::default(),
            attempts: 0,
            peers: BTreeMap::new(),
            peer_links,
            own_machines: OwnMachines::default(),
            unrecorded: BTreeSet::new(),
            leader: None,
            user_request_log: UserRequestLog::default(),
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

    /// Emulates a program that supports no newer record format than `level`. It ignores
    /// records that it can't read, as the program in production does.
    #[cfg(feature = "sabotage")]
    pub fn with_supported_level(settings: Settings, seed: u64, level: FormatLevel) -> Self {
        Self {
            supported_level: level,
            ..Self::new(settings, seed)
        }
    }

    /// Processes one input and runs all turns that it needs, as a controller without
    /// backlog does.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut outputs = self.receive(now, input);
        while self.has_pending_work() {
            outputs.extend(self.run_turn(now));
        }
        outputs
    }

    /// Applies one input. Its consequences are processed at the next turn, which may
    /// follow several inputs: that saves time when the controller is behind.
    pub fn receive(&mut self, now: Now, input: Input) -> Vec<Output> {
        self.advance_clock(now);
        match input {
            // Connection events need no turn: they change no scheduling decision.
            #[cfg(feature = "sabotage")]
            Input::Opened(id, _)
                if self.sabotage == Some(Sabotage::NoShares)
                    && self.sockets.open_count()
                        >= self.settings.deployment.limits.max_sockets * 3 / 4 =>
            {
                return vec![Output::Close(Close::Inbound(id))];
            }
            Input::Opened(id, listener) => {
                let close = self.sockets.connection_opened(self.now, id, listener);
                return close.into_iter().map(Output::Close).collect();
            }
            Input::Readable(id, prefix) => {
                if self.effective_class(RequestClass::of_prefix(&prefix)) != RequestClass::Report {
                    return vec![Output::ReadFrom(id)];
                }
                self.request_queue.push_connection(self.now, id);
                return Vec::new();
            }
            Input::Closed(id) => {
                self.sockets.connection_closed(id);
                return Vec::new();
            }
            Input::IdleConnections(idle) => {
                self.sockets.set_idle(idle);
                return Vec::new();
            }
            Input::Request(request) => {
                self.sockets
                    .request_received(self.now, request.socket, request.conn);
                self.user_request_log.request_received(self.now, &request);
                let class = self.effective_class(RequestClass::of(&request));
                self.request_queue.push(self.now, class, request);
                return Vec::new();
            }
            Input::IncompleteRequest(request) => {
                self.user_request_log.request_incomplete(self.now, &request);
                return Vec::new();
            }
            Input::Tick => self.tick(),
            Input::Reply(call, reply) => self.handle_reply(call, reply),
        }
        self.input_pending = true;
        self.take_outputs()
    }

    /// Whether inputs wait for a turn.
    pub fn has_pending_work(&self) -> bool {
        self.input_pending || !self.request_queue.is_empty()
    }

    /// Whether requests wait that have priority over worker reports.
    pub fn has_urgent_work(&self) -> bool {
        self.request_queue.is_urgent()
    }

    /// Answers a batch of queued requests, the most urgent ones first, and processes
    /// the changes that all inputs so far have made.
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
            self.refuse_with_retry(request.conn, "controller overloaded");
        }
        for request in batch.requests {
            self.handle_request(request);
            self.input_pending = true;
        }
        // Processing changes costs the same for one input as for many.
        let waits = !self.request_queue.is_empty()
            && self.now < self.last_processed_at + BACKLOG_PROCESSING_INTERVAL;
        if self.input_pending && !waits {
            self.input_pending = false;
            self.last_processed_at = self.now;
            self.process_changes();
        }
        self.take_outputs()
    }

    /// The effective class of a request; differs from its own only under fault
    /// injection.
    fn effective_class(&self, class: RequestClass) -> RequestClass {
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

    /// Takes the collected outputs. Answers to relayed requests and forwarded reports
    /// are wrapped first.
    fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in &mut outputs {
            if let Output::Answer(answer) = output {
                self.relay.wrap_answer(answer);
                self.forwarding.wrap_answer(answer);
                self.sockets.request_answered(self.now, answer.conn);
                self.user_request_log.request_answered(answer.conn);
            }
        }
        outputs
    }

    /// Number of invariant violations since the process started: 0 unless this program
    /// has a defect or the state service has lost data.
    pub fn violations(&self) -> u64 {
        self.invariants.violations()
    }

    /// The controller's node name.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    fn tick(&mut self) {
        self.user_request_log.tick(self.now);
        let close = self.sockets.tick(self.now);
        self.close(close);
        self.store_tick();
        self.user_requests_tick();
        self.blocks_tick();
        self.links_tick();
        self.cloud_tick();
        self.leader_tick();
    }

    /// Runs the steps that any input may have made necessary: placement, recording,
    /// assignment, orders and peer messages.
    fn process_changes(&mut self) {
        self.place();
        self.record_dirty_chunks();
        self.refresh_own_machines();
        if self.failed_placements.take_changed() {
            self.place();
            self.refresh_own_machines();
        }
        self.assign_tasks();
        self.send_orders();
        self.send_due_peer_messages();
    }

    fn handle_request(&mut self, request: Request) {
        let Request {
            conn,
            listener,
            method,
            path,
            body,
            receipt_time,
            ..
        } = request;
        match (listener, route(&path), method) {
            (_, (Some("healthz"), None, ..), Method::Get) => {
                let status = if self.healthy() { 200 } else { 503 };
                self.answer(conn, status, Vec::new());
            }
            (Listener::Public, (Some("work"), id, what, more), _) => {
                let first_byte_at = self.now.saturating_sub(receipt_time);
                self.relay
                    .store_request(first_byte_at, conn, method, &path, &body);
                self.handle_user_request(conn, method, (id, what, more), &body);
            }
            (Listener::Public, (Some("checkin"), None, ..), Method::Post) => {
                self.handle_report(conn, &body)
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
                self.send_level(conn);
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
                self.refuse(conn, RefusalStatus::MethodNotAllowed, "method not allowed");
            }
            _ => self.deny(conn, &Verdict::no_such_path(&body, "no such path")),
        }
    }

    fn handle_reply(&mut self, call: CallId, reply: Reply) {
        let Some((pending, sent)) = self.calls.remove(&call) else {
            return;
        };
        self.sockets.call_finished(
            pending.connection_kind(),
            pending.targets_unresponsive_worker(),
        );
        if pending.is_state() && matches!(reply, Reply::Answer { .. }) {
            self.store.last_answer_at = self.now;
        }
        match pending {
            Pending::LeaseGrant => self.lease_grant_answered(&reply, sent),
            Pending::LeaseRenewal => self.lease_renewal_answered(&reply, sent),
            Pending::Snapshot(part) => self.snapshot_answered(part, sent, &reply),
            Pending::Watch { after } => self.watch_answered(after, sent, &reply),
            Pending::Read {
                after,
                user_requests,
            } => self.read_answered(after, sent, user_requests, &reply),
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
            Pending::FormatLevel(node) => self.level_answered(&node, &reply),
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
            Purpose::User(id) => self.user_write_answered(&id, outcome),
            Purpose::Chunk(id, part) => self.chunk_written(id, part, txn, outcome),
            Purpose::LeaderWrite(what) => self.leader_write_done(what, outcome),
            Purpose::MachineLists => self.machine_lists_written(&txn, outcome),
            Purpose::Upgrade(step) => self.upgrade_write_answered(step, outcome),
        }
    }

    /// Updates the components after a change of a record. Called after each single
    /// change, so that no component misses an intermediate state.
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
                self.confirm_writes_by_record(id);
            }
            Key::Chunk(id, part) => self.chunk_changed(id, *part),
            Key::Format => {
                let level = self.view.level();
                log::info!("record format switched to level {}", level.0);
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

    /// Gives a final answer, after which the client does not repeat its request.
    pub(crate) fn deny(&mut self, conn: ConnId, verdict: &Verdict) {
        self.log_refusal(conn, verdict.status(), verdict.reason(), verdict.basis());
        self.answer_error(conn, verdict.status(), verdict.reason());
    }

    /// Refuses a request about which nothing is decided.
    pub(crate) fn refuse(&mut self, conn: ConnId, status: RefusalStatus, error: &str) {
        self.log_refusal(conn, status.code(), error, &UNDECIDED);
        self.answer_error(conn, status.code(), error);
    }

    fn answer_error(&mut self, conn: ConnId, status: u16, error: &str) {
        let body = oliveshift_wire::encode(&Refusal {
            error: error.to_owned(),
        });
        self.answer(conn, status, body);
    }

    fn log_refusal(&mut self, conn: ConnId, status: u16, reason: &str, basis: &dyn Display) {
        let refused = RefusedRequest {
            status,
            reason,
            basis,
        };
        self.user_request_log
            .request_refused(self.now, conn, &refused);
    }

    /// Answers 503 with `Retry-After` of one second.
    pub(crate) fn refuse_with_retry(&mut self, conn: ConnId, error: &str) {
        self.refuse_with_retry_after(conn, error, Duration::from_secs(1));
    }

    /// Answers 503 with `Retry-After` of `after`.
    pub(crate) fn refuse_with_retry_after(&mut self, conn: ConnId, error: &str, after: Duration) {
        let status = RefusalStatus::Unavailable.code();
        self.log_refusal(conn, status, error, &UNDECIDED);
        let body = oliveshift_wire::encode(&Refusal {
            error: error.to_owned(),
        });
        self.outputs.push(Output::Answer(Answer {
            conn,
            status,
            body,
            retry_after: Some(after),
        }));
    }
}
