//! Controller processes: start, crash, inputs and outputs.

use std::time::Duration;

use oliveshift_core::{Close, Controller, Input, Listener, Method, Now, Output, Request, SocketId};

use super::{CONTROLLER_COUNT, Event, MS, Requester, S, World, network::complete};
use crate::{faults::Fault, net::Sockets, rules::RuleViolation};

impl World {
    /// Kills a controller process, which restarts after `back`.
    pub(super) fn crash(&mut self, node: usize, restart_after: Duration) {
        let process = (node, self.nodes[node].incarnation);
        self.revisions_at_end.insert(process, self.state.revision());
        self.nodes[node].controller = None;
        self.nodes[node].incarnation += 1;
        self.nodes[node].restart_at = self.now.saturating_add(restart_after);
        self.nodes[node].sockets = Sockets::default();
        self.nodes[node].deferred_inputs.clear();
        self.nodes[node].unread_requests.clear();
        self.nodes[node].delayed_until = [Duration::ZERO; 2];
        self.nodes[node].turn_scheduled = false;
        self.watches.retain(|w| w.0 != node);
    }

    /// Sends an operator's request to the next controller: write off this one. The
    /// answer is discarded.
    pub(super) fn write_off(&mut self, node: usize) {
        let request = Request {
            conn: self.new_id(),
            socket: SocketId(0),
            listener: Listener::Internal,
            method: Method::Post,
            path: "/admin/upgrade".into(),
            body: complete(format!(r#"{{"without":"n-{node}"}}"#).into_bytes()),
            receipt_time: Duration::ZERO,
        };
        self.deliver_input((node + 1) % CONTROLLER_COUNT, Input::Request(request));
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
        n.started_at = self.now;
        n.incarnation += 1;
        self.evidence.controller_starts.push((self.now, node));
    }

    pub(super) fn is_paused(&self, n: usize) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::ProcessPause { node, .. } if *node == n))
    }

    /// Returns when a lagging controller processes an input (`way` 0) or sends an
    /// output (`way` 1). Order is preserved.
    pub(super) fn delayed_until(&mut self, n: usize, way: usize) -> Duration {
        let lag = self.active_lag(|f| match f {
            Fault::ControllerLag { node, lag, .. } if *node == n => Some(*lag),
            _ => None,
        });
        let delayed_until = &mut self.nodes[n].delayed_until[way];
        *delayed_until = (*delayed_until).max(self.now + lag);
        *delayed_until
    }

    pub(super) fn deliver_input(&mut self, node: usize, input: Input) {
        if matches!(input, Input::Tick) {
            return self.process_input(node, input);
        }
        if self.is_paused(node) {
            return self.nodes[node].deferred_inputs.push(input);
        }
        let at = self.delayed_until(node, 0);
        if at > self.now {
            let incarnation = self.nodes[node].incarnation;
            return self.schedule(at, Event::DelayedInput(node, incarnation, input));
        }
        self.process_input(node, input);
    }

    pub(super) fn controller_time(&self, node: usize) -> Now {
        let up = self.now.saturating_sub(self.nodes[node].started_at);
        Now {
            monotonic: up.mul_f64(self.nodes[node].clock_rate),
            wall_clock: Duration::from_secs(1_800_000_000) + self.now,
        }
    }

    /// Time that a slow controller takes for each request.
    pub(super) fn request_cost(&self, n: usize) -> Duration {
        self.active_lag(|f| match f {
            Fault::SlowController {
                node,
                time_per_request,
                ..
            } if *node == n => Some(*time_per_request),
            _ => None,
        })
    }

    pub(super) fn process_input(&mut self, node: usize, input: Input) {
        let now = self.controller_time(node);
        let cost = self.request_cost(node);
        let kept = self.nodes[node].sockets.idle_counts(self.now);
        let Some(controller) = &mut self.nodes[node].controller else {
            return;
        };
        controller.receive(now, Input::IdleConnections(kept));
        let outputs = if cost.is_zero() {
            controller.handle(now, input)
        } else {
            controller.receive(now, input)
        };
        let due = controller.has_pending_work();
        self.record_invariant_violations(node);
        self.send_outputs(node, outputs);
        if due {
            self.schedule_turn(node, cost);
        }
    }

    /// Records new violations that a controller has found among its own invariants.
    fn record_invariant_violations(&mut self, node: usize) {
        let controller = self.nodes[node].controller.as_ref();
        let violations = controller.map_or(0, Controller::violations);
        let seen = std::mem::replace(&mut self.nodes[node].violations, violations);
        if violations > seen {
            let what = format!("controller n-{node} found a violated invariant");
            self.rules.report(self.now, RuleViolation::Invariant, what);
        }
    }

    pub(super) fn schedule_turn(&mut self, node: usize, after: Duration) {
        if !std::mem::replace(&mut self.nodes[node].turn_scheduled, true) {
            let incarnation = self.nodes[node].incarnation;
            self.schedule(self.now + after, Event::Turn(node, incarnation));
        }
    }

    /// Runs one turn of a controller. If more work is pending, the next turn follows
    /// after the time that the answers of this one take.
    pub(super) fn run_turn(&mut self, node: usize) {
        let now = self.controller_time(node);
        let cost = self.request_cost(node);
        let Some(controller) = &mut self.nodes[node].controller else {
            return;
        };
        let outputs = controller.run_turn(now);
        let due = controller.has_pending_work();
        let answers = outputs.iter().filter(|o| matches!(o, Output::Answer(_)));
        let turn_duration = cost * answers.count().max(1) as u32;
        self.record_invariant_violations(node);
        self.send_outputs(node, outputs);
        if due {
            self.schedule_turn(node, turn_duration);
        }
    }

    pub(super) fn send_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        let incarnation = self.nodes[node].incarnation;
        for output in outputs {
            let at = match &output {
                Output::Call(_) | Output::Answer(_) => self.delayed_until(node, 1),
                Output::ReadFrom(_) | Output::Close(_) | Output::Exit(_) => self.now,
            };
            if at > self.now {
                self.schedule(at, Event::DelayedOutput(node, incarnation, output));
            } else {
                self.process_output(node, incarnation, output);
            }
        }
    }

    pub(super) fn process_output(&mut self, node: usize, incarnation: u64, output: Output) {
        match output {
            Output::Call(call) => self.send_call(node, incarnation, call),
            Output::Exit(why) => panic!("controller n-{node} exited: {why}"),
            Output::ReadFrom(id) => {
                // The lag was already applied when the connection became readable.
                if let Some(request) = self.nodes[node].unread_requests.remove(&id) {
                    self.process_input(node, Input::Request(request));
                }
            }
            Output::Close(Close::Inbound(id)) => self.close_by_controller(node, incarnation, id),
            Output::Close(Close::Idle(_, count)) => {
                self.nodes[node].sockets.close_idle(count);
            }
            Output::Answer(answer) => {
                let requester = self
                    .pending_requests
                    .remove(&(node, incarnation, answer.conn));
                if let Some((requester, socket)) = requester {
                    if !matches!(requester, Requester::Worker { .. }) {
                        // All clients but workers use a connection for one request.
                        self.schedule(
                            self.now + MS,
                            Event::ConnectionCloses(node, incarnation, socket),
                        );
                    }
                    let later = answer.retry_after.filter(|after| *after > S);
                    if let (Requester::User { job, .. }, Some(after)) = (&requester, later) {
                        self.admission_refusals += 1;
                        let user = self.users.iter_mut().find(|u| u.spec.id == *job);
                        if let Some(user) = user {
                            user.next_request_at = self.now + after;
                        }
                    }
                    self.deliver_answer(node, requester, answer.status, answer.body);
                }
            }
        }
    }
}
