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
