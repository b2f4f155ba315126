//! Users' requests that a controller can't serve, as it does not reach the
//! state service, carried on to one that does.
//!
//! A controller that is cut from the state service alone, or turned away by it,
//! sent users away until the load balancer had taken it out, and they came again
//! after a second or more. What can be told needs proof from the state service,
//! which a peer has: it serves the request as if it had come in there, so its
//! answer is worth as much. The job's id makes it safe that both may have begun
//! with it. Nothing is carried twice, and no answer of a peer that does not know
//! the path is taken for the user's.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_wire::peer::{CarriedAnswer, CarriedRequest};

use crate::call::{Answer, ConnId, Method, Reply};

/// How many requests are kept until they are answered, and how many are with
/// peers at a time: users come elsewhere within seconds.
const MOST_KEPT: usize = 512;
const MOST_OUT: usize = 16;
/// A user waits so long for how a job is, and for anything else; some of it is
/// left for the way back.
const POLL_WAITS: Duration = Duration::from_millis(1800);
const USER_WAITS: Duration = Duration::from_millis(4500);
/// A peer that has not answered after this will not.
const MOST: Duration = Duration::from_millis(1500);
/// Less than this is not worth a try.
const LEAST: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Kept {
    at: Duration,
    request: CarriedRequest,
}

/// The one owner of what is carried, both ways.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// Requests of users that have no answer yet.
    kept: BTreeMap<ConnId, Kept>,
    /// Those that are with a peer.
    out: BTreeSet<ConnId>,
    /// Requests that peers have carried to us.
    carried: BTreeSet<ConnId>,
}

impl Relay {
    /// A user's request has come in.
    pub fn store_request(
        &mut self,
        now: Duration,
        conn: ConnId,
        method: Method,
        path: &str,
        body: &[u8],
    ) {
        let asks = match method {
            Method::Get => true,
            Method::Post => false,
            _ => return,
        };
        if self.kept.len() >= MOST_KEPT {
            self.kept.pop_first();
        }
        let request = CarriedRequest {
            asks,
            path: path.to_owned(),
            body: body.to_vec(),
        };
        self.kept.insert(conn, Kept { at: now, request });
    }

    /// A request that can't be served here: what to send to a peer, and how long
    /// to wait. None if it was not a user's, or if there is no time or no room.
    pub fn take_request(
        &mut self,
        now: Duration,
        conn: ConnId,
    ) -> Option<(CarriedRequest, Duration)> {
        let kept = self.kept.remove(&conn)?;
        let waits = match kept.request.asks {
            true => POLL_WAITS,
            false => USER_WAITS,
        };
        let left = waits.saturating_sub(now.saturating_sub(kept.at)).min(MOST);
        if left < LEAST || self.out.len() >= MOST_OUT {
            return None;
        }
        self.out.insert(conn);
        Some((kept.request, left))
    }

    /// What a peer made of it; none if that is no answer for a user.
    pub fn unwrap_answer(&mut self, conn: ConnId, reply: &Reply) -> Option<Answer> {
        self.out.remove(&conn);
        let Reply::Answer { status: 200, body } = reply else {
            return None;
        };
        let answer = borsh::from_slice::<CarriedAnswer>(body).ok()?;
        Some(Answer {
            conn,
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after_ms.map(Duration::from_millis),
        })
    }

    /// A peer has carried a request to us.
    pub fn request_received(&mut self, conn: ConnId) {
        self.carried.insert(conn);
    }

    /// An answer leaves; one to what a peer has carried here goes in an envelope,
    /// so that it can't be mistaken for one to the peer itself.
    pub fn wrap_answer(&mut self, answer: &mut Answer) {
        self.kept.remove(&answer.conn);
        if !self.carried.remove(&answer.conn) {
            return;
        }
        let inner = CarriedAnswer {
            status: answer.status,
            body: std::mem::take(&mut answer.body),
            retry_after_ms: answer.retry_after.take().map(|d| d.as_millis() as u64),
        };
        answer.status = 200;
        // Writing into memory can't fail.
        answer.body = borsh::to_vec(&inner).unwrap_or_default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn at(relay: &mut Relay, conn: ConnId, method: Method) {
        relay.store_request(ms(1000), conn, method, "work/j-000001", b"");
    }

    #[test]
    fn a_request_is_carried_once_and_in_time() {
        let mut relay = Relay::default();
        at(&mut relay, 1, Method::Get);
        let (request, left) = relay.take_request(ms(2500), 1).expect("time is left");
        assert_eq!((request.asks, left), (true, ms(300)));
        assert_eq!(relay.take_request(ms(2500), 1), None, "twice");
        at(&mut relay, 2, Method::Get);
        assert_eq!(relay.take_request(ms(2700), 2), None, "too late");
        at(&mut relay, 3, Method::Post);
        assert_eq!(relay.take_request(ms(2700), 3).map(|c| c.1), Some(MOST));
        assert_eq!(relay.take_request(ms(2700), 4), None, "not a user's");
        for conn in 10..40 {
            at(&mut relay, conn, Method::Get);
        }
        let out = (10..40).filter(|c| relay.take_request(ms(1100), *c).is_some());
        assert_eq!(out.count(), MOST_OUT - 2);
    }

    /// An older program says 404 to a path that it does not know: users would
    /// have heard that an accepted job does not exist.
    #[test]
    fn only_what_is_in_an_envelope_is_a_users_answer() {
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
        // Its own are left as they are.
        answer.status = 201;
        there.wrap_answer(&mut answer);
        assert_eq!(answer.status, 201);
    }
}
