use super::*;
use crate::{
    call::{CompleteBody, Method},
    sockets::SocketId,
};

fn poll(conn: ConnId, receipt_time: Duration) -> Request {
    Request {
        conn,
        socket: SocketId(conn),
        listener: Listener::Public,
        method: Method::Get,
        path: "/work/j-000001".into(),
        body: CompleteBody::default(),
        receipt_time,
    }
}

#[test]
fn only_some_refusals_a_second_are_logged_one_by_one() {
    let mut log = UserRequestLog::default();
    let now = Duration::from_secs(5);
    for _ in 0..MAX_LINES {
        assert!(log.limit.may_log(now, 503));
    }
    assert!(!log.limit.may_log(now, 503));
    assert!(!log.limit.may_log(now, 400));
    assert_eq!(log.limit.unlisted, BTreeMap::from([(400, 1), (503, 1)]));
    log.tick(now + INTERVAL);
    assert!(log.limit.unlisted.is_empty());
    assert!(log.limit.may_log(now + INTERVAL, 503));
}

#[test]
fn what_a_request_took_to_arrive_is_not_left_for_its_answer() {
    let mut log = UserRequestLog::default();
    let now = Duration::from_secs(5);
    let receipt_time = Duration::from_millis(1500);
    log.request_received(now, &poll(1, receipt_time));
    let answer_time = ClientKind::Poll.answer_timeout() - receipt_time;
    assert_eq!(log.answer_due(1), Some(now + answer_time));
    log.request_answered(1);
    assert_eq!(log.answer_due(1), None);
}
