//! Relays users' requests that a controller can't serve, because it does not reach the state
//! service, to a peer that does.
//!
//! Without the relay, a controller that had lost only the state service, or was refused by it,
//! turned users away until the load balancer removed it, and they retried after a second or
//! more. An answer needs proof from the state service, which the peer has: it serves the request
//! like one of its own, so its answer is equally valid. The job's id makes it safe if both
//! controllers have started to process the request. No request is relayed twice, and the reply
//! of a peer that does not know the path is never taken for the user's answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::peer::{RelayedAnswer, RelayedRequest};

use crate::{
    call::{Answer, ConnId, Method, Reply},
    client_timeouts::ClientKind,
};

/// Upper bounds for the requests that are stored until they are answered, and for those that are
/// at peers at a time. Users whose request is not relayed reach another controller within
/// seconds.
const MAX_STORED: usize = 512;
const MAX_AT_PEERS: usize = 16;
/// Longest wait for a peer's answer; a peer that takes longer will presumably not answer at all.
const MAX_PEER_TIMEOUT: Duration = ClientKind::Controller.timeout();
/// With less time than this remaining a request is not relayed.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// A user's request, and when it arrived.
#[derive(Debug)]
struct StoredRequest {
    at: Duration,
    request: RelayedRequest,
}

/// The relayed requests of a controller, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// Users' requests that are neither answered nor relayed yet.
    stored: BTreeMap<ConnId, StoredRequest>,
    /// Requests that a peer is processing.
    at_peers: BTreeSet<ConnId>,
    /// Requests that peers have relayed to this controller.
    from_peers: BTreeSet<ConnId>,
}

impl Relay {
    /// Stores a user's request whose first byte came in at `at`, in case it has to be relayed.
    pub fn store_request(
        &mut self,
        at: Duration,
        conn: ConnId,
        method: Method,
        path: &str,
        body: &[u8],
    ) {
        let is_query = match method {
            Method::Get => true,
            Method::Post => false,
            _ => return,
        };
        if self.stored.len() >= MAX_STORED {
            self.stored.pop_first();
        }
        let request = RelayedRequest {
            is_query,
            path: path.to_owned(),
            body: body.to_vec(),
        };
        self.stored.insert(conn, StoredRequest { at, request });
    }

    /// Takes a stored request to send it to a peer, with the time to wait for the answer. `None`
    /// if it is not a user's request, or if too little time remains or too many are at peers.
    pub fn take_request(
        &mut self,
        now: Duration,
        conn: ConnId,
    ) -> Option<(RelayedRequest, Duration)> {
        let stored = self.stored.remove(&conn)?;
        let client = match stored.request.is_query {
            true => ClientKind::Poll,
            false => ClientKind::UserWrite,
        };
        let remaining = client
            .answer_timeout()
            .saturating_sub(now.saturating_sub(stored.at))
            .min(MAX_PEER_TIMEOUT);
        if remaining < MIN_PEER_TIMEOUT || self.at_peers.len() >= MAX_AT_PEERS {
            return None;
        }
        self.at_peers.insert(conn);
        Some((stored.request, remaining))
    }

    /// Extracts the user's answer from a peer's reply; `None` if the reply holds none.
    pub fn unwrap_answer(&mut self, conn: ConnId, reply: &Reply) -> Option<Answer> {
        self.at_peers.remove(&conn);
        let Reply::Answer { status: 200, body } = reply else {
            return None;
        };
        let answer = borsh::from_slice::<RelayedAnswer>(body).ok()?;
        Some(Answer {
            conn,
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after_ms.map(Duration::from_millis),
        })
    }

    /// Records that a request was relayed by a peer.
    pub fn request_received(&mut self, conn: ConnId) {
        self.from_peers.insert(conn);
    }

    /// Prepares an outgoing answer. The answer to a relayed request is wrapped in a message, so
    /// that it can't be mistaken for an answer to the peer itself.
    pub fn wrap_answer(&mut self, answer: &mut Answer) {
        self.stored.remove(&answer.conn);
        if !self.from_peers.remove(&answer.conn) {
            return;
        }
        let inner = RelayedAnswer {
            status: answer.status,
            body: std::mem::take(&mut answer.body),
            retry_after_ms: answer.retry_after.take().map(|d| d.as_millis() as u64),
        };
        answer.status = 200;
        // Serializing into memory can't fail.
        answer.body = borsh::to_vec(&inner).unwrap_or_default();
    }
}

#[cfg(test)]
mod tests;
