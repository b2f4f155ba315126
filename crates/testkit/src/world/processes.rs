//! Controllers as processes: their starts and ends, what they take in, what they
//! send.

use std::time::Duration;

use oliveshift_core::{Close, Controller, Input, Listener, Method, Now, Output, Request, SocketId};

use super::{Asker, Event, MS, NODES, S, World};
use crate::{faults::Fault, net::Sockets, rules::RuleViolation};

impl World {
    pub(super) fn crash(&mut self, node: usize, back: Duration) {
        self.nodes[node].controller = None;
        self.nodes[node].life += 1;
        self.nodes[node].back_at = self.now.saturating_add(back);
        self.nodes[node].sockets = Sockets::default();
        self.nodes[node].frozen.clear();
        self.nodes[node].lobby.clear();
        self.nodes[node].through = [Duration::ZERO; 2];
        self.nodes[node].turning = false;
        self.watches.retain(|w| w.0 != node);
    }

    /// An operator's request to another controller; nobody reads the answer.
    pub(super) fn write_off(&mut self, node: usize) {
        let request = Request {
            conn: self.id(),
            socket: SocketId(0),
            listener: Listener::Internal,
            method: Method::Post,
            path: "/admin/upgrade".into(),
            body: format!(r#"{{"without":"n-{node}"}}"#).into_bytes(),
        };
        self.input((node + 1) % NODES, Input::Request(request));
    }

    pub(super) fn start(&mut self, node: usize) {
        let seed = self.rng.u64(..);
        let n = &mut self.nodes[node];
        let mut controller = Controller::with_supported_level(n.settings.clone(), seed, n.level);
        controller.sabotage = self.sabotage;
        if let Some(horizon) = self.horizon {
            controller.tuning.horizon = horizon;
        }
        n.controller = Some(controller);
        n.started = self.now;
        n.life += 1;
        self.evidence.controller_starts.push((self.now, node));
    }

    pub(super) fn frozen(&self, n: usize) -> bool {
        self.is_on(|f| matches!(f, Fault::ProcessPause { node, .. } if *node == n))
    }

    /// When a controller gets to something that came in (0) or that it sends
    /// (1). What came first goes first.
    pub(super) fn gets_to(&mut self, n: usize, way: usize) -> Duration {
        let lag = self.lag(|f| match f {
            Fault::ControllerLag { node, lag, .. } if *node == n => Some(*lag),
            _ => None,
        });
        let through = &mut self.nodes[n].through[way];
        *through = (*through).max(self.now + lag);
        *through
    }

    pub(super) fn input(&mut self, node: usize, input: Input) {
        if matches!(input, Input::Tick) {
            return self.take_in(node, input);
        }
        if self.frozen(node) {
            return self.nodes[node].frozen.push(input);
        }
        let at = self.gets_to(node, 0);
        if at > self.now {
            let life = self.nodes[node].life;
            return self.at(at, Event::TakenIn(node, life, input));
        }
        self.take_in(node, input);
    }

    pub(super) fn node_now(&self, node: usize) -> Now {
        let up = self.now.saturating_sub(self.nodes[node].started);
        Now {
            monotonic: up.mul_f64(self.nodes[node].clock_rate),
            wall_clock: Duration::from_secs(1_800_000_000) + self.now,
        }
    }

    /// How long a request takes a controller.
    pub(super) fn slow(&self, n: usize) -> Duration {
        self.lag(|f| match f {
            Fault::SlowController { node, each, .. } if *node == n => Some(*each),
            _ => None,
        })
    }

    pub(super) fn take_in(&mut self, node: usize, input: Input) {
        let now = self.node_now(node);
        let slow = self.slow(node);
        let kept = self.nodes[node].sockets.idle_counts(self.now);
        let Some(controller) = &mut self.nodes[node].controller else {
            return;
        };
        controller.receive(now, Input::IdleConnections(kept));
        let outputs = if slow.is_zero() {
            controller.handle(now, input)
        } else {
            controller.receive(now, input)
        };
        let due = controller.has_pending_work();
        self.watch_invariants(node);
        self.leaves(node, outputs);
        if due {
            self.turn_after(node, slow);
        }
    }

    /// Notes that a controller has found an invariant of its own violated.
    fn watch_invariants(&mut self, node: usize) {
        let controller = self.nodes[node].controller.as_ref();
        let violations = controller.map_or(0, Controller::violations);
        let seen = std::mem::replace(&mut self.nodes[node].violations, violations);
        if violations > seen {
            let what = format!("controller {node}");
            self.rules.report(self.now, RuleViolation::Invariant, what);
        }
    }

    pub(super) fn turn_after(&mut self, node: usize, after: Duration) {
        if !std::mem::replace(&mut self.nodes[node].turning, true) {
            let life = self.nodes[node].life;
            self.at(self.now + after, Event::Turn(node, life));
        }
    }

    /// A slow controller answers some of what waits, and has no other turn
    /// before the time for that is over.
    pub(super) fn turn(&mut self, node: usize) {
        let now = self.node_now(node);
        let slow = self.slow(node);
        let Some(controller) = &mut self.nodes[node].controller else {
            return;
        };
        let outputs = controller.run_turn(now);
        let due = controller.has_pending_work();
        let answers = outputs.iter().filter(|o| matches!(o, Output::Answer(_)));
        let takes = slow * answers.count().max(1) as u32;
        self.watch_invariants(node);
        self.leaves(node, outputs);
        if due {
            self.turn_after(node, takes);
        }
    }

    pub(super) fn leaves(&mut self, node: usize, outputs: Vec<Output>) {
        let life = self.nodes[node].life;
        for output in outputs {
            let at = match &output {
                Output::Call(_) | Output::Answer(_) => self.gets_to(node, 1),
                Output::ReadFrom(_) | Output::Close(_) | Output::Exit(_) => self.now,
            };
            if at > self.now {
                self.at(at, Event::Leaves(node, life, output));
            } else {
                self.put_out(node, life, output);
            }
        }
    }

    pub(super) fn put_out(&mut self, node: usize, life: u64, output: Output) {
        match output {
            Output::Call(call) => self.send(node, life, call),
            Output::Exit(why) => panic!("a controller ends: {why}"),
            Output::ReadFrom(id) => {
                // What there was to wait for, it has waited for already.
                if let Some(request) = self.nodes[node].lobby.remove(&id) {
                    self.take_in(node, Input::Request(request));
                }
            }
            Output::Close(Close::Inbound(id)) => self.closed(node, life, id),
            Output::Close(Close::Idle(_, count)) => {
                self.nodes[node].sockets.close_idle(count);
            }
            Output::Answer(answer) => {
                let asker = self.askers.remove(&(node, life, answer.conn));
                if let Some((asker, socket)) = asker {
                    if !matches!(asker, Asker::Worker { .. }) {
                        // Others use each connection once.
                        self.at(self.now + MS, Event::Ends(node, life, socket));
                    }
                    let later = answer.retry_after.filter(|after| *after > S);
                    if let (Asker::User { job, .. }, Some(after)) = (&asker, later) {
                        self.admission_refusals += 1;
                        let user = self.users.iter_mut().find(|u| u.spec.id == *job);
                        if let Some(user) = user {
                            user.next = self.now + after;
                        }
                    }
                    self.asker_answered(node, asker, answer.status, answer.body);
                }
            }
        }
    }
}
