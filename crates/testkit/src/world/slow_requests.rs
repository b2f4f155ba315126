//! Users' requests whose last byte arrives long after the first, or never.
//!
//! A controller's program passes on complete requests only, and answers those that do not arrive
//! in time by itself; the simulation does the same in its place. What a program makes of parts of
//! a request only tests with real processes can show.

use std::time::Duration;

use oliveshift_core::{Answer, ClientKind, IncompleteRequest, Input, Output, Request};

use super::{Event, MS, World};
use crate::faults::Fault;

/// Longest time that a request takes to arrive, in milliseconds; more than any user waits.
const MAX_RECEIPT_MS: u32 = 7000;

impl World {
    /// How long the next request of a user takes to arrive, if a fault affects it.
    pub(super) fn draw_receipt_time(&mut self) -> Option<Duration> {
        let one_in = self.active_rate(|f| match f {
            Fault::SlowRequests { one_in, .. } => Some(*one_in),
            _ => None,
        })?;
        let affected = self.deliveries_rng.u32(0..one_in) == 0;
        affected.then(|| MS * self.deliveries_rng.u32(1..MAX_RECEIPT_MS))
    }

    /// Delivers a request, or gives it up, once it has arrived or its time is over.
    pub(super) fn schedule_slow_request(
        &mut self,
        node: usize,
        request: Request,
        receipt_time: Duration,
    ) {
        let incarnation = self.nodes[node].incarnation;
        let client = ClientKind::of(request.listener, request.method, &request.path);
        if receipt_time <= client.receive_timeout() {
            self.evidence.slow_requests.0 += 1;
            let request = Request {
                receipt_time,
                ..request
            };
            let input = Event::DelayedInput(node, incarnation, Input::Request(request));
            return self.schedule(self.now + receipt_time, input);
        }
        self.evidence.slow_requests.1 += 1;
        let given_up_at = self.now + client.receive_timeout();
        let incomplete = IncompleteRequest {
            path: Some(request.path),
            received: 0,
            announced: Some(request.body.len()),
            receipt_time: client.receive_timeout(),
            status: Some(408),
            reason: "the request did not arrive in time",
        };
        let answer = Answer {
            conn: request.conn,
            status: 408,
            body: Vec::new(),
            retry_after: None,
        };
        let input = Input::IncompleteRequest(incomplete);
        self.schedule(given_up_at, Event::DelayedInput(node, incarnation, input));
        let output = Output::Answer(answer);
        self.schedule(given_up_at, Event::DelayedOutput(node, incarnation, output));
    }
}
