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

use crate::call::{Answer, ConnId, Method, Reply};

/// Upper bounds for the requests that are stored until they are answered, and for those that are
/// at peers at a time. Users whose request is not relayed reach another controller within
/// seconds.
const MAX_STORED: usize = 512;
const MAX_AT_PEERS: usize = 16;
/// How long after its arrival a relayed request may be answered: a poll of a job's state, and
/// any other request. Users wait somewhat longer, which leaves time for the way back.
const POLL_TIMEOUT: Duration = Duration::from_millis(1800);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(4500);
/// Longest wait for a peer's answer; a peer that takes longer will presumably not answer at all.
const MAX_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
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
    /// Stores a user's request when it arrives, in case it has to be relayed.
    pub fn store_request(
        &mut self,
        now: Duration,
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
        self.stored.insert(conn, StoredRequest { at: now, request });
    }

    /// Takes a stored request to send it to a peer, with the time to wait for the answer. `None`
    /// if it is not a user's request, or if too little time remains or too many are at peers.
    pub fn take_request(
        &mut self,
        now: Duration,
        conn: ConnId,
    ) -> Option<(RelayedRequest, Duration)> {
        let stored = self.stored.remove(&conn)?;
        let timeout = match stored.request.is_query {
            true => POLL_TIMEOUT,
            false => REQUEST_TIMEOUT,
        };
        let remaining = timeout
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
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn store(relay: &mut Relay, conn: ConnId, method: Method) {
        relay.store_request(ms(1000), conn, method, "work/j-000001", b"");
    }

    #[test]
    fn a_request_is_relayed_once_and_in_time() {
        let mut relay = Relay::default();
        store(&mut relay, 1, Method::Get);
        let (request, remaining) = relay.take_request(ms(2500), 1).expect("time is left");
        assert_eq!((request.is_query, remaining), (true, ms(300)));
        assert_eq!(relay.take_request(ms(2500), 1), None, "relayed before");
        store(&mut relay, 2, Method::Get);
        assert_eq!(relay.take_request(ms(2700), 2), None, "too late");
        store(&mut relay, 3, Method::Post);
        assert_eq!(
            relay.take_request(ms(2700), 3).map(|c| c.1),
            Some(MAX_PEER_TIMEOUT)
        );
        assert_eq!(relay.take_request(ms(2700), 4), None, "not a user's");
        for conn in 10..40 {
            store(&mut relay, conn, Method::Get);
        }
        let at_peers = (10..40).filter(|c| relay.take_request(ms(1100), *c).is_some());
        assert_eq!(at_peers.count(), MAX_AT_PEERS - 2);
    }

    /// A peer of an older version answers 404 to a path that it does not know; passed on, this
    /// would tell the user that an accepted job does not exist.
    #[test]
    fn only_a_wrapped_answer_is_a_users_answer() {
        let (mut here, mut there) = (Relay::default(), Relay::default());
        there.request_received(7);
        let mut answer = Answer {
            conn: 7,
            status: 404,
            body: vec![1, 2],
            retry_after: Some(ms(2000)),
        };
        there.wrap_answer(&mut answer);
        assert_eq!((answer.status, answer.retry_after), (200, None));
        let reply = |status, body: &[u8]| Reply::Answer {
            status,
            body: body.to_vec(),
        };
        let back = here
            .unwrap_answer(1, &reply(200, &answer.body))
            .expect("an answer");
        assert_eq!((back.conn, back.status, back.body), (1, 404, vec![1, 2]));
        assert_eq!(back.retry_after, Some(ms(2000)));
        for none in [reply(404, &answer.body), reply(200, b"x"), Reply::Lost] {
            assert!(here.unwrap_answer(1, &none).is_none(), "{none:?}");
        }
        // Answers to the controller's own requests are not wrapped.
        answer.status = 201;
        there.wrap_answer(&mut answer);
        assert_eq!(answer.status, 201);
    }
}
