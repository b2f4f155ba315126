use oliveshift_wire::{
    peer::{ForwardedAnswer, ReportId},
    worker::ReportAnswer,
};

use super::{holder::Inbox, origin::*, *};
use crate::{call::Output, fixtures, records::Key};

/// The version of the record of the one block, which is its term.
const TERM: Term = 9;
/// Names of connections.
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
        came_at: ms(0),
        is_repeat: false,
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
fn an_answer_counts_for_the_report_that_it_names_alone() {
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
        // An older program does not know the path.
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
fn a_report_is_sent_once_more_if_no_answer_came() {
    let mut outbox = Outbox::default();
    outbox.sent(WORKER, outstanding(5));
    let lost = outbox.replied(WORKER, &Reply::Lost);
    assert_eq!(lost, Some(Forwarded::Lost(outstanding(5))));
    let repeat = || Outstanding {
        is_repeat: true,
        ..outstanding(5)
    };
    outbox.sent(WORKER, repeat());
    let lost = outbox.replied(WORKER, &Reply::Lost);
    assert_eq!(lost, Some(Forwarded::Refused(repeat())));
}

/// A worker gives up after 4 s: both tries and the answer have to fit.
#[test]
fn both_tries_fit_into_the_patience_of_a_worker() {
    let patience = crate::request_queue::REPORT_TIMEOUT;
    assert!((HOLDER_TIMEOUT * 2).max(LEADER_TIMEOUT * 2) + ms(1000) < patience);
}

#[test]
fn outstanding_reports_are_bounded() {
    let mut outbox = Outbox::default();
    let mut sent = 0;
    while outbox.has_room() {
        outbox.sent(sent, outstanding(sent));
        sent += 1;
        assert!(sent < 1000, "no bound");
    }
    outbox.replied(0, &Reply::NotSent);
    assert!(outbox.has_room());
}

#[test]
fn an_unregistered_machine_goes_to_the_leader_by_itself_first() {
    let mut outbox = Outbox::default();
    assert!(!outbox.unregistered_came(ms(1000), "vm-1"));
    assert!(!outbox.unregistered_came(ms(1500), "vm-1"), "not there yet");
    assert!(outbox.unregistered_came(ms(6100), "vm-1"));
    assert!(!outbox.unregistered_came(ms(6100), "vm-2"));
    assert!(!outbox.unregistered_came(ms(20_000), "vm-1"), "forgotten");
}

#[test]
fn an_answer_to_a_forwarded_report_names_it_once() {
    let mut inbox = Inbox::default();
    inbox.received(ms(0), PEER, report_id(&report(5, TERM)));
    let answer = |conn| Answer {
        conn,
        status: 421,
        body: vec![7],
        retry_after: None,
    };
    let mut wrapped = answer(PEER);
    inbox.wrap_answer(&mut wrapped);
    let inner: ForwardedAnswer = borsh::from_slice(&wrapped.body).expect("an envelope");
    assert_eq!((wrapped.status, inner.status), (200, 421));
    assert_eq!((inner.report.seq, inner.body), (5, vec![7]));
    for conn in [PEER, WORKER] {
        let mut other = answer(conn);
        inbox.wrap_answer(&mut other);
        assert_eq!((other.status, other.body), (421, vec![7]));
    }
}

/// A worker is sent home once it has answered its holder, and for less and less often if it
/// comes by way of a peer again.
#[test]
fn workers_go_home_once_they_answer() {
    let mut inbox = Inbox::default();
    let mut now = ms(1000);
    assert!(!inbox.came(now, "vm-1"));
    assert_eq!(inbox.due_for_question(now), ["vm-1"]);
    assert!(
        inbox.due_for_question(now + ms(300)).is_empty(),
        "asked already"
    );
    assert!(!inbox.came(now + ms(2000), "vm-1"), "no answer yet");
    inbox.record_reached(now + ms(2500), "vm-1");
    assert!(inbox.came(now + ms(4000), "vm-1"));
    let mut stays = Vec::new();
    for _ in 0..6 {
        let sent_home = now;
        loop {
            now += ms(1000);
            inbox.record_reached(now, "vm-1");
            if inbox.came(now, "vm-1") {
                break;
            }
        }
        stays.push((now - sent_home).as_secs());
    }
    assert!(stays.is_sorted(), "{stays:?}");
    assert_eq!(stays.last(), Some(&160));
    // Whoever reports directly is not asked.
    inbox.record_direct_report("vm-1");
    assert!(inbox.due_for_question(now + ms(200_000)).is_empty());
}

/// Controller n-0 with a peer n-1; it holds block 0 with vm-1 and has contact.
fn holder() -> Controller {
    let members = r#"[{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}]"#;
    let mut controller = fixtures::controller(members);
    let block = fixtures::block_of(&controller);
    let list = fixtures::machine_list();
    let records = [
        (Key::Machines(0, 0), list.to_value(), 5),
        (Key::Block(0), crate::records::to_list(&block), TERM),
    ];
    fixtures::show(&mut controller, records);
    controller.now = ms(1000);
    controller.store.ready = true;
    controller.store.contact = Some(ms(1000));
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

/// What a forwarded report is answered by: the status of the peer's request, and the
/// answer in the envelope.
fn answered(controller: &mut Controller, body: &[u8]) -> (u16, Option<ForwardedAnswer>) {
    controller.outputs.clear();
    controller.receive_forwarded_report(PEER, body);
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
fn a_holder_answers_a_forwarded_report_like_one_of_its_own_connections() {
    let mut controller = holder();
    let body = message("n-1", TERM, encode(&report(3, TERM)));
    let (_, answer) = answered(&mut controller, &body);
    let answer = answer.expect("an envelope");
    assert_eq!((answer.report.seq, answer.status), (3, 200));
    let orders: ReportAnswer = decode(&answer.body).expect("an answer to a worker");
    assert_eq!(orders.token, TERM);
    let machine = &controller.machines["vm-1"];
    assert_eq!((machine.seq, machine.term_acknowledged), (3, true));
    assert_eq!(machine.last_answer_at, Some(ms(1000)));
    // One that was overtaken changes nothing of what is known.
    let late = message("n-1", TERM, encode(&report(2, TERM)));
    answered(&mut controller, &late);
    assert_eq!(controller.machines["vm-1"].seq, 3);
}

/// A holder without contact might have missed a cancellation or that its block was leased
/// anew: it answers nobody, by whichever way the report came.
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
fn what_is_not_held_or_not_understood_is_refused_and_changes_nothing() {
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
    assert_eq!(answered(&mut controller, &body).0, 409, "we don't lead");
    assert_eq!(controller.machines["vm-1"].seq, 0);
    assert!(!controller.forwarding.is_forwarded(PEER));
}
