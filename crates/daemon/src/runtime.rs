//! Runs the state machine: carries what goes in and out, and keeps time.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Timer, block_on};
use futures_lite::future::yield_now;
use oliveshift_core::{
    Answer, Call, Close, ConnId, Controller, Input, Listener, Method, Now, Output, Reply, Request,
    SocketId, Target,
};
use oliveshift_wire::settings::Settings;

use crate::{client::Client, executor::PriorityExecutor, server, stream};

/// How often the state machine hears that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How often idle connections are looked through.
const PRUNE_EVERY: u32 = 200;

/// The process around the state machine.
pub struct Runtime {
    executor: PriorityExecutor,
    controller: RefCell<Controller>,
    client: Client,
    started: Instant,
    waiting: RefCell<HashMap<ConnId, Sender<Answer>>>,
    next_conn: Cell<ConnId>,
    /// What serves each connection that came in; dropped, it closes.
    serving: RefCell<HashMap<SocketId, Task<()>>>,
    /// Connections that have something to say and are not read yet.
    lobby: RefCell<HashMap<SocketId, Sender<()>>>,
    next_socket: Cell<u64>,
    /// Wakes what gives the state machine its turns, urgent ones and others.
    due: [Sender<()>; 2],
    /// What the state machine knows of the connections that we keep.
    kept: Cell<[usize; 3]>,
    ended: Cell<bool>,
    peers: HashMap<String, SocketAddr>,
    state: SocketAddr,
    cloud: SocketAddr,
}

/// Forgets that somebody waits for an answer.
struct Forget<'a>(&'a Runtime, ConnId);

/// Forgets that a connection waits to be read.
struct Leave<'a>(&'a Runtime, SocketId);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.lobby.borrow_mut().remove(&self.1);
    }
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.0.waiting.borrow_mut().remove(&self.1);
    }
}

/// Runs a controller until the process is killed, or until it finds that it
/// must not run.
pub fn run(settings: Settings) -> ExitCode {
    let (public, internal) = (settings.listen, settings.peer_listen);
    let services = &settings.services;
    let peers = settings.peers.iter();
    let node = settings.node.clone();
    let (urgent, is_urgent) = async_channel::bounded(1);
    let (due, is_due) = async_channel::bounded(1);
    let runtime = Rc::new(Runtime {
        executor: PriorityExecutor::default(),
        client: Client::default(),
        started: Instant::now(),
        waiting: RefCell::default(),
        next_conn: Cell::new(0),
        serving: RefCell::default(),
        lobby: RefCell::default(),
        next_socket: Cell::new(1),
        due: [urgent, due],
        kept: Cell::new([0; 3]),
        ended: Cell::new(false),
        peers: peers.map(|p| (p.node.clone(), p.addr.into())).collect(),
        state: services.state.into(),
        cloud: services.cloud.into(),
        controller: RefCell::new(controller(settings)),
    });
    log::info!("{node}: starting, users and workers on {public}, controllers on {internal}");
    let tasks = runtime.clone();
    block_on(tasks.executor.run(async move {
        runtime.spawn_listener(public, Listener::Public);
        runtime.spawn_listener(internal, Listener::Internal);
        let executor = &runtime.executor;
        executor
            .spawn_urgent(runtime.clone().turns(is_urgent))
            .detach();
        executor
            .spawn_background(runtime.clone().turns(is_due))
            .detach();
        let mut ticks = 0u32;
        loop {
            runtime.input(Input::Tick);
            if runtime.ended.get() {
                return ExitCode::from(3);
            }
            Timer::after(TICK).await;
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(PRUNE_EVERY) {
                runtime.client.prune();
            }
        }
    }))
}

/// The state machine, whole.
#[cfg(not(feature = "sabotage"))]
fn controller(settings: Settings) -> Controller {
    Controller::new(settings, seed())
}

/// The state machine, with the guard switched off that `OLIVESHIFT_SABOTAGE` names.
#[cfg(feature = "sabotage")]
fn controller(settings: Settings) -> Controller {
    let mut controller = Controller::new(settings, seed());
    if let Ok(name) = std::env::var("OLIVESHIFT_SABOTAGE") {
        controller.sabotage = oliveshift_core::Sabotage::from_name(&name);
        log::error!("broken on purpose: {:?}", controller.sabotage);
    }
    controller
}

/// Another one at each start, even where the system's randomness is poor.
fn seed() -> u64 {
    let day = SystemTime::now().duration_since(UNIX_EPOCH);
    fastrand::u64(..) ^ day.unwrap_or_default().as_nanos() as u64
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

    /// Gives the state machine an input.
    fn input(self: &Rc<Self>, input: Input) {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let kept = self.client.kept();
        if self.kept.replace(kept) != kept {
            controller.receive(now, Input::IdleConnections(kept));
        }
        let outputs = controller.receive(now, input);
        self.wake(&controller);
        drop(controller);
        self.put_out(outputs);
    }

    /// Sees to the next turn.
    fn wake(&self, controller: &Controller) {
        let [urgent, due] = &self.due;
        // Full: it has been woken already.
        if controller.has_urgent_work() {
            let _ = urgent.try_send(());
        } else if controller.has_pending_work() {
            let _ = due.try_send(());
        }
    }

    /// Gives the state machine its turns: after all that is ready to come in,
    /// so that it has the choice what goes first when it is behind.
    async fn turns(self: Rc<Self>, is_due: Receiver<()>) {
        while is_due.recv().await.is_ok() {
            self.turn();
            yield_now().await;
        }
    }

    fn turn(self: &Rc<Self>) {
        let now = self.now();
        let mut controller = self.controller.borrow_mut();
        let outputs = controller.run_turn(now);
        self.wake(&controller);
        drop(controller);
        self.put_out(outputs);
    }

    /// Does what the state machine says.
    fn put_out(self: &Rc<Self>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Answer(answer) => {
                    let waiting = self.waiting.borrow_mut().remove(&answer.conn);
                    if let Some(waiting) = waiting {
                        let _ = waiting.try_send(answer);
                    }
                }
                Output::Call(call) => {
                    let is_order = matches!(call.to, Target::Worker(_));
                    let make = self.clone().make(call);
                    match is_order {
                        true => self.executor.spawn_background(make).detach(),
                        false => self.executor.spawn_urgent(make).detach(),
                    }
                }
                Output::ReadFrom(id) => {
                    if let Some(waiting) = self.lobby.borrow().get(&id) {
                        let _ = waiting.try_send(());
                    }
                }
                Output::Close(Close::Inbound(id)) => {
                    self.serving.borrow_mut().remove(&id);
                }
                Output::Close(Close::Idle(lane, count)) => self.client.close(lane, count),
                Output::Exit(why) => {
                    log::error!("{why}");
                    self.ended.set(true);
                }
            }
        }
    }

    async fn make(self: Rc<Self>, call: Call) {
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
        self.input(Input::Reply(call.id, reply));
    }

    /// Goes on with a connection among what can wait.
    pub fn serve_later(&self, id: SocketId, serve: impl Future<Output = ()> + 'static) {
        let serve = self.executor.spawn_background(serve);
        // The one that calls this ends with this call.
        if let Some(before) = self.serving.borrow_mut().insert(id, serve) {
            before.detach();
        }
    }

    /// A connection is at its end, and what served it, too.
    pub fn served(self: &Rc<Self>, id: SocketId) {
        if let Some(serve) = self.serving.borrow_mut().remove(&id) {
            serve.detach();
        }
        self.input(Input::Closed(id));
    }

    /// Waits until a connection is to be read, whose first bytes are these.
    pub async fn may_read(self: &Rc<Self>, id: SocketId, beginning: Vec<u8>) {
        let (send, receive) = async_channel::bounded(1);
        self.lobby.borrow_mut().insert(id, send);
        let _leave = Leave(self, id);
        self.input(Input::Readable(id, beginning));
        let _ = receive.recv().await;
    }

    /// Puts a request to the state machine and waits for its answer.
    pub async fn request(
        self: &Rc<Self>,
        socket: SocketId,
        listener: Listener,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) -> Option<Answer> {
        let conn = self.next_conn.get();
        self.next_conn.set(conn + 1);
        let (send, receive) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(conn, send);
        // Whoever serves a connection that is closed ends right here.
        let _forget = Forget(self, conn);
        self.input(Input::Request(Request {
            conn,
            socket,
            listener,
            method,
            path,
            body,
        }));
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
            let serve = server::begin(self.clone(), id, tcp, listener);
            let serve = self.executor.spawn_urgent(serve);
            self.serving.borrow_mut().insert(id, serve);
            self.input(Input::Opened(id, listener));
        }
    }
}
