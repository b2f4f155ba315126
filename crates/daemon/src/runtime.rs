//! Runs the controller state machine: network I/O, timers and its turns.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use async_io::{Timer, block_on};
use futures_lite::future::yield_now;
use oliveshift_core::{
    Answer, Call, ClientKind, Close, ConnId, Controller, IncompleteRequest, Input, Listener, Now,
    Output, Reply, Request, SocketId, Target,
};
use oliveshift_wire::settings::Settings;

use crate::{
    client::Client,
    connection_task::ConnectionTask,
    executor::PriorityExecutor,
    receipt_budget::{ArrivingBody, ReceiptBudget},
    server, stream,
};

/// Interval of the ticks passed to the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of ticks between two checks for expired idle connections.
const PRUNE_INTERVAL_TICKS: u32 = 200;

/// Connects the state machine to sockets and timers.
pub struct Runtime {
    executor: PriorityExecutor,
    controller: RefCell<Controller>,
    client: Client,
    started: Instant,
    receipt_budget: ReceiptBudget,
    pending_answers: RefCell<HashMap<ConnId, Sender<Answer>>>,
    next_conn: Cell<ConnId>,
    /// The task that serves each inbound connection; dropping it closes the connection.
    connection_tasks: RefCell<HashMap<SocketId, ConnectionTask>>,
    /// Connections with data to read that the state machine has not allowed to be read yet.
    awaiting_read: RefCell<HashMap<SocketId, Sender<()>>>,
    next_socket: Cell<u64>,
    /// Wake the tasks that run turns of the state machine: urgent, and background.
    turn_wakeups: [Sender<()>; 2],
    /// The numbers of idle outbound connections last reported to the state machine.
    reported_idle_counts: Cell<[usize; 3]>,
    exit_requested: Cell<bool>,
    peers: HashMap<String, SocketAddr>,
    state: SocketAddr,
    cloud: SocketAddr,
}

/// Removes a pending answer on drop.
struct PendingAnswerGuard<'a>(&'a Runtime, ConnId);

/// Removes a connection from those that await permission to be read, on drop.
struct AwaitingReadGuard<'a>(&'a Runtime, SocketId);

impl Drop for AwaitingReadGuard<'_> {
    fn drop(&mut self) {
        self.0.awaiting_read.borrow_mut().remove(&self.1);
    }
}

impl Drop for PendingAnswerGuard<'_> {
    fn drop(&mut self) {
        self.0.pending_answers.borrow_mut().remove(&self.1);
    }
}

/// Runs a controller until the process is killed or the state machine requests the exit.
pub fn run(settings: Settings) -> ExitCode {
    let (public, internal) = (settings.listen, settings.peer_listen);
    let services = &settings.services;
    let peers = settings.peers.iter();
    let node = settings.node.clone();
    let (urgent, urgent_wakeups) = async_channel::bounded(1);
    let (background, background_wakeups) = async_channel::bounded(1);
    let runtime = Rc::new(Runtime {
        executor: PriorityExecutor::default(),
        client: Client::default(),
        started: Instant::now(),
        receipt_budget: ReceiptBudget::default(),
        pending_answers: RefCell::default(),
        next_conn: Cell::new(0),
        connection_tasks: RefCell::default(),
        awaiting_read: RefCell::default(),
        next_socket: Cell::new(1),
        turn_wakeups: [urgent, background],
        reported_idle_counts: Cell::new([0; 3]),
        exit_requested: Cell::new(false),
        peers: peers.map(|p| (p.node.clone(), p.addr.into())).collect(),
        state: services.state.into(),
        cloud: services.cloud.into(),
        controller: RefCell::new(controller(settings)),
    });
    log::info!("{node}: starting, users and workers on {public}, controllers on {internal}");
    let executor_owner = runtime.clone();
    block_on(executor_owner.executor.run(async move {
        runtime.spawn_listener(public, Listener::Public);
        runtime.spawn_listener(internal, Listener::Internal);
        let executor = &runtime.executor;
        executor
            .spawn_urgent(runtime.clone().run_turns(urgent_wakeups))
            .detach();
        executor
            .spawn_background(runtime.clone().run_turns(background_wakeups))
            .detach();
        let mut ticks = 0u32;
        loop {
            runtime.handle_input(Input::Tick);
            if runtime.exit_requested.get() {
                return ExitCode::from(3);
            }
            Timer::after(TICK_INTERVAL).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(PRUNE_INTERVAL_TICKS) {
                runtime.client.prune();
            }
        }
    }))
}

/// Creates the state machine.
#[cfg(not(feature = "sabotage"))]
fn controller(settings: Settings) -> Controller {
    Controller::new(settings, seed())
}

/// Creates the state machine, with the fault injected that `OLIVESHIFT_SABOTAGE` names.
#[cfg(feature = "sabotage")]
fn controller(settings: Settings) -> Controller {
    let mut controller = Controller::new(settings, seed());
    if let Ok(name) = std::env::var("OLIVESHIFT_SABOTAGE") {
        controller.sabotage = oliveshift_core::Sabotage::from_name(&name);
        log::error!(
            "fault injected by OLIVESHIFT_SABOTAGE: {:?}",
            controller.sabotage
        );
    }
    controller
}

/// A random seed, mixed with the time of day so that it differs at each start even where the
/// system's randomness is poor.
fn seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    fastrand::u64(..) ^ since_epoch.unwrap_or_default().as_nanos() as u64
}

impl Runtime {
    fn now(&self) -> Now {
        Now {
            monotonic: self.started.elapsed(),
            wall_clock: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Passes an input to the state machine and processes its outputs.
    fn handle_input(self: &Rc<Self>, input: Input) {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let idle_counts = self.client.idle_counts();
        if self.reported_idle_counts.replace(idle_counts) != idle_counts {
            controller.receive(now, Input::IdleConnections(idle_counts));
        }
        let outputs = controller.receive(now, input);
        self.schedule_turn(&controller);
        drop(controller);
        self.process_outputs(outputs);
    }

    /// Schedules the next turn if there is work.
    fn schedule_turn(&self, controller: &Controller) {
        let [urgent, background] = &self.turn_wakeups;
        // A full channel means that the task has been woken already.
        if controller.has_urgent_work() {
            let _ = urgent.try_send(());
        } else if controller.has_pending_work() {
            let _ = background.try_send(());
        }
    }

    /// Runs a turn of the state machine at each wake-up. A turn comes after the inputs that are
    /// ready, so that the state machine can choose what to process first if it has a backlog.
    async fn run_turns(self: Rc<Self>, wakeups: Receiver<()>) {
        while wakeups.recv().await.is_ok() {
            self.run_turn();
            yield_now().await;
        }
    }

    fn run_turn(self: &Rc<Self>) {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let outputs = controller.run_turn(now);
        self.schedule_turn(&controller);
        drop(controller);
        self.process_outputs(outputs);
    }

    /// Carries out the outputs of the state machine.
    fn process_outputs(self: &Rc<Self>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Answer(answer) => {
                    let sender = self.pending_answers.borrow_mut().remove(&answer.conn);
                    if let Some(sender) = sender {
                        let _ = sender.try_send(answer);
                    }
                }
                Output::Call(call) => {
                    let is_order = matches!(call.to, Target::Worker(_));
                    let call_task = self.clone().make_call(call);
                    match is_order {
                        true => self.executor.spawn_background(call_task).detach(),
                        false => self.executor.spawn_urgent(call_task).detach(),
                    }
                }
                Output::ReadFrom(id) => {
                    if let Some(sender) = self.awaiting_read.borrow().get(&id) {
                        let _ = sender.try_send(());
                    }
                }
                Output::Close(Close::Inbound(id)) => self.close_connection(id),
                Output::Close(Close::Idle(kind, count)) => self.client.close_idle(kind, count),
                Output::Exit(reason) => {
                    log::error!("{reason}");
                    self.exit_requested.set(true);
                }
            }
        }
    }

    async fn make_call(self: Rc<Self>, call: Call) {
        let addr = match &call.to {
            Target::State => Some(self.state),
            Target::Cloud => Some(self.cloud),
            Target::Worker(addr) => addr.parse().ok(),
            Target::Peer(name) => self.peers.get(name).copied(),
        };
        let reply = match addr {
            Some(addr) => self.client.call(addr, &call).await,
            None => Reply::NotSent,
        };
        self.handle_input(Input::Reply(call.id, reply));
    }

    /// Continues to serve a connection as a background task.
    pub fn serve_in_background(&self, id: SocketId, serve: impl Future<Output = ()> + 'static) {
        let task = ConnectionTask::new(serve, |future| self.executor.spawn_background(future));
        // The previous task calls this and ends right after it; dropping it would cancel it.
        let previous = self.connection_tasks.borrow_mut().insert(id, task);
        if let Some(previous) = previous {
            previous.detach();
        }
    }

    /// Closes an inbound connection.
    fn close_connection(&self, id: SocketId) {
        // Dropped once nothing is borrowed, as dropping it runs what the task holds.
        let task = self.connection_tasks.borrow_mut().remove(&id);
        drop(task);
    }

    /// Reports that a connection and the task that served it have ended.
    pub fn connection_ended(self: &Rc<Self>, id: SocketId) {
        let task = self.connection_tasks.borrow_mut().remove(&id);
        if let Some(task) = task {
            task.detach();
        }
        self.handle_input(Input::Closed(id));
    }

    /// Reports the first bytes of a connection and waits until the state machine allows it to be
    /// read.
    pub async fn wait_for_read_permission(self: &Rc<Self>, id: SocketId, prefix: Vec<u8>) {
        let (send, receive) = async_channel::bounded(1);
        self.awaiting_read.borrow_mut().insert(id, send);
        let _guard = AwaitingReadGuard(self, id);
        self.handle_input(Input::Readable(id, prefix));
        let _ = receive.recv().await;
    }

    /// An identifier for the next request.
    pub fn next_request_id(&self) -> ConnId {
        let conn = self.next_conn.get();
        self.next_conn.set(conn + 1);
        conn
    }

    /// Counts a body of up to `bytes` until the result is dropped, and closes the connections
    /// whose bodies no longer fit into the budget.
    pub fn body_arriving(
        self: &Rc<Self>,
        client: ClientKind,
        id: SocketId,
        bytes: usize,
    ) -> ArrivingBody<'_> {
        let (arriving, given_up) = self.receipt_budget.begin(client, id, bytes);
        for id in given_up {
            self.close_connection(id);
            self.handle_input(Input::Closed(id));
            self.request_incomplete(IncompleteRequest {
                path: None,
                received: 0,
                announced: None,
                receipt_time: Duration::ZERO,
                status: None,
                reason: "too many bodies are arriving, and this one was the oldest",
            });
        }
        arriving
    }

    /// Reports a request that was given up before it was received completely.
    pub fn request_incomplete(self: &Rc<Self>, request: IncompleteRequest) {
        self.handle_input(Input::IncompleteRequest(request));
    }

    /// Passes a request to the state machine and waits for its answer.
    pub async fn request(self: &Rc<Self>, request: Request) -> Option<Answer> {
        let conn = request.conn;
        let (send, receive) = async_channel::bounded(1);
        self.pending_answers.borrow_mut().insert(conn, send);
        // If the connection is closed, its task is dropped while it waits below.
        let _guard = PendingAnswerGuard(self, conn);
        self.handle_input(Input::Request(request));
        receive.recv().await.ok()
    }

    fn spawn_listener(self: &Rc<Self>, addr: SocketAddrV4, listener: Listener) {
        let runtime = self.clone();
        self.executor
            .spawn_urgent(runtime.listen(addr, listener))
            .detach();
    }

    async fn listen(self: Rc<Self>, addr: SocketAddrV4, listener: Listener) {
        let tcp_listener = stream::bind(addr).await;
        loop {
            let tcp = stream::accept(&tcp_listener).await;
            let id = SocketId(self.next_socket.get());
            self.next_socket.set(id.0 + 1);
            let serve = server::handle_connection(self.clone(), id, tcp, listener);
            let task = ConnectionTask::new(serve, |future| self.executor.spawn_urgent(future));
            self.connection_tasks.borrow_mut().insert(id, task);
            self.handle_input(Input::Opened(id, listener));
        }
    }
}
