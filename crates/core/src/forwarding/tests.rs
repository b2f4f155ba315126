use oliveshift_wire::{
    peer::{ForwardedAnswer, ReportId},
    worker::ReportAnswer,
};

use super::{holder::Inbox, origin::*, *};
use crate::{call::Output, fixtures, records::Key};

/// The version of the record of the one block, which is its term.
const TERM: Term = 9;
/// Ids of connections: from the worker and from the peer.
const WORKER: ConnId = 1;
const PEER: ConnId = 2;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn report(seq: u64, token: Term) -> Report {
    Report {
        machine: "vm-1".into(),
        addr: "10.1.0.1:9000".into(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq,
        token,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn outstanding(seq: u64) -> Outstanding {
    Outstanding {
        report: report(seq, TERM),
        to: "n-1".into(),
        addressee: ReportAddressee::Holder {
            block: 0,
            term: TERM,
        },
        fallback: Fallback::Stray(StrayAction::Redirect),
        received_at: ms(0),
        is_retry: false,
    }
}

/// The reply of a peer that answers a report.
fn reply(report: ReportId, status: u16) -> Reply {
    let answer = ForwardedAnswer {
        report,
        status,
        body: vec![7],
    };
    let body = borsh::to_vec(&answer).expect("into memory");
    Reply::Answer { status: 200, body }
}

#[test]
fn an_answer_counts_only_for_the_report_that_it_names() {
    let mut outbox = Outbox::default();
    outbox.sent(WORKER, outstanding(5));
    let right = reply(report_id(&report(5, TERM)), 200);
    let served = WorkerAnswer {
        status: 200,
        body: vec![7],
    };
    let answered = Forwarded::Answered(outstanding(5), served);
    assert_eq!(outbox.replied(WORKER, &right), Some(answered));
    assert_eq!(outbox.replied(WORKER, &right), None, "a repeated answer");
    let others = [
        reply(report_id(&report(4, TERM)), 200),
        reply(report_id(&report(5, TERM)), 503),
        // A peer of an older version does not know the path.
        Reply::Answer {
            status: 404,
            body: Vec::new(),
        },
        Reply::Answer {
            status: 200,
            body: vec![1, 2, 3],
        },
        Reply::NotSent,
    ];
    for other in others {
        outbox.sent(WORKER, outstanding(5));
        let refused = Forwarded::Refused(outstanding(5));
        assert_eq!(outbox.replied(WORKER, &other), Some(refused), "{other:?}");
    }
}

#[test]
fn a_report_without_an_answer_is_forwarded_once_more() {
    let mut outbox = Outbox::default();
    outbox.sent(WORKER, outstanding(5));
    let lost = outbox.replied(WORKER, &Reply::Lost);
    assert_eq!(lost, Some(Forwarded::Lost(outstanding(5))));
    let repeat = || Outstanding {
        is_retry: true,
        ..outstanding(5)
    };
    outbox.sent(WORKER, repeat());
    let lost = outbox.replied(WORKER, &Reply::Lost);
    assert_eq!(lost, Some(Forwarded::Refused(repeat())));
}

/// A worker times out after 4 s: both tries and the answer to the worker have to fit.
#[test]
fn both_tries_fit_into_the_report_timeout() {
    let timeout = crate::client_timeouts::REPORT_TIMEOUT;
    assert!((HOLDER_TIMEOUT * 2).max(LEADER_TIMEOUT * 2) + ms(1000) < timeout);
}

#[test]
fn outstanding_reports_are_bounded() {
    let mut outbox = Outbox::default();
    let mut sent = 0;
    while outbox.has_capacity() {
        outbox.sent(sent, outstanding(sent));
        sent += 1;
        assert!(sent < 1000, "no bound");
    }
    outbox.replied(0, &Reply::NotSent);
    assert!(outbox.has_capacity());
}

#[test]
fn only_a_repeated_report_of_an_unregistered_machine_is_forwarded() {
    let mut outbox = Outbox::default();
    assert!(!outbox.record_unregistered(ms(1000), "vm-1"));
    assert!(
        !outbox.record_unregistered(ms(1500), "vm-1"),
        "it has not timed out at the leader yet"
    );
    assert!(outbox.record_unregistered(ms(6100), "vm-1"));
    assert!(!outbox.record_unregistered(ms(6100), "vm-2"));
    assert!(!outbox.record_unregistered(ms(20_000), "vm-1"), "forgotten");
}

#[test]
fn an_answer_to_a_forwarded_report_is_wrapped_once() {
    let mut inbox = Inbox::default();
    inbox.report_received(ms(0), PEER, report_id(&report(5, TERM)));
    let answer = |conn| Answer {
        conn,
        status: 421,
        body: vec![7],
        retry_after: None,
    };
    let mut wrapped = answer(PEER);
    inbox.wrap_answer(&mut wrapped);
    let inner: ForwardedAnswer = borsh::from_slice(&wrapped.body).expect("a wrapped answer");
    assert_eq!((wrapped.status, inner.status), (200, 421));
    assert_eq!((inner.report.seq, inner.body), (5, vec![7]));
    for conn in [PEER, WORKER] {
        let mut other = answer(conn);
        inbox.wrap_answer(&mut other);
        assert_eq!((other.status, other.body), (421, vec![7]));
    }
}

/// A worker is redirected to its holder once it has answered the holder's probe; the redirects
/// become rarer if it reports through a peer again.
#[test]
fn workers_are_redirected_to_their_holder_once_they_answer() {
    let mut inbox = Inbox::default();
    let mut now = ms(1000);
    assert!(!inbox.record_forwarded_report(now, "vm-1"));
    assert_eq!(inbox.due_for_probe(now), ["vm-1"]);
    assert!(
        inbox.due_for_probe(now + ms(300)).is_empty(),
        "probed already"
    );
    assert!(
        !inbox.record_forwarded_report(now + ms(2000), "vm-1"),
        "no answer to a probe yet"
    );
    inbox.record_reached(now + ms(2500), "vm-1");
    assert!(inbox.record_forwarded_report(now + ms(4000), "vm-1"));
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        let redirected_at = now;
        loop {
            now += ms(1000);
            inbox.record_reached(now, "vm-1");
            if inbox.record_forwarded_report(now, "vm-1") {
                break;
            }
        }
        backoffs.push((now - redirected_at).as_secs());
    }
    assert!(backoffs.is_sorted(), "{backoffs:?}");
    assert_eq!(backoffs.last(), Some(&160));
    // A worker that reports directly is not probed.
    inbox.record_direct_report("vm-1");
    assert!(inbox.due_for_probe(now + ms(200_000)).is_empty());
}

/// Controller n-0 with a peer n-1; it holds block 0 with vm-1 and has contact.
fn holder() -> Controller {
    let members = r#"[{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}]"#;
    let mut controller = fixtures::controller(members);
    let block = fixtures::block_record(&controller);
    let list = fixtures::machine_list();
    let records = [
        (Key::Machines(0, 0), list.to_value(), 5),
        (Key::Block(0), crate::records::to_list(&block), TERM),
    ];
    fixtures::apply_records(&mut controller, records);
    controller.now = ms(1000);
    controller.store.ready = true;
    controller.store.last_contact = Some(ms(1000));
    controller
}

fn message(from: &str, term: Term, body: Vec<u8>) -> Vec<u8> {
    let message = ForwardedReport {
        from: from.into(),
        addressee: ReportAddressee::Holder { block: 0, term },
        body,
    };
    borsh::to_vec(&message).expect("into memory")
}

/// The answer to a forwarded report: the status of the peer's request, and the wrapped answer.
fn answered(controller: &mut Controller, body: &[u8]) -> (u16, Option<ForwardedAnswer>) {
    controller.outputs.clear();
    let body = CompleteBody::new(body.to_vec(), None).expect("a complete body");
    controller.receive_forwarded_report(PEER, &body);
    let mut answers = controller
        .outputs
        .drain(..)
        .filter_map(|output| match output {
            Output::Answer(answer) => Some(answer),
            _ => None,
        });
    let mut answer = answers.next().expect("an answer");
    assert!(answers.next().is_none(), "one answer");
    drop(answers);
    controller.forwarding.wrap_answer(&mut answer);
    let inner = borsh::from_slice(&answer.body).ok();
    (answer.status, inner.filter(|_| answer.status == 200))
}

#[test]
fn a_holder_answers_a_forwarded_report_like_a_direct_one() {
    let mut controller = holder();
    let body = message("n-1", TERM, encode(&report(3, TERM)));
    let (_, answer) = answered(&mut controller, &body);
    let answer = answer.expect("a wrapped answer");
    assert_eq!((answer.report.seq, answer.status), (3, 200));
    let orders: ReportAnswer = decode(&answer.body).expect("an answer to a worker");
    assert_eq!(orders.token, TERM);
    let machine = &controller.machines["vm-1"];
    assert_eq!((machine.seq, machine.term_acknowledged), (3, true));
    assert_eq!(machine.last_answer_at, Some(ms(1000)));
    // An older report that arrives late changes nothing.
    let late = message("n-1", TERM, encode(&report(2, TERM)));
    answered(&mut controller, &late);
    assert_eq!(controller.machines["vm-1"].seq, 3);
}

/// A holder without contact to the state service may have missed a cancellation or a new lease
/// of its block: it answers neither direct nor forwarded reports.
#[test]
fn a_holder_without_contact_answers_no_forwarded_report() {
    let mut controller = holder();
    controller.now = ms(1000) + controller.settings.contact_limit();
    let body = message("n-1", TERM, encode(&report(3, TERM)));
    let (_, answer) = answered(&mut controller, &body);
    assert_eq!(answer.map(|a| a.status), Some(503));
    assert_eq!(controller.machines["vm-1"].last_answer_at, None);
}

#[test]
fn reports_not_held_here_and_malformed_ones_are_refused_without_effect() {
    let mut controller = holder();
    let good = encode(&report(3, TERM));
    let other = encode(&Report {
        machine: "vm-2".into(),
        ..report(3, TERM)
    });
    let refused = [
        (message("n-1", TERM + 1, good.clone()), 409),
        (message("n-1", TERM, other), 409),
        (message("n-7", TERM, good.clone()), 403),
        (message("n-1", TERM, vec![1, 2, 3]), 400),
        (vec![0xff; 9], 400),
    ];
    for (body, status) in refused {
        let answer = answered(&mut controller, &body);
        assert_eq!((answer.0, answer.1.is_none()), (status, true));
    }
    let body = message("n-1", TERM, good);
    let mut to_leader: ForwardedReport = borsh::from_slice(&body).expect("a message");
    to_leader.addressee = ReportAddressee::Leader;
    let body = borsh::to_vec(&to_leader).expect("into memory");
    assert_eq!(
        answered(&mut controller, &body).0,
        409,
        "this controller is not the leader"
    );
    assert_eq!(controller.machines["vm-1"].seq, 0);
    assert!(!controller.forwarding.is_forwarded(PEER));
}
