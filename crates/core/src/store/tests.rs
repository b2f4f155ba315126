use std::time::Duration;

use oliveshift_wire::{
    encode,
    settings::Settings,
    state::{Event, Events, Item, Page},
};

use crate::{Controller, Input, Now, Output, Reply};

fn controller() -> Controller {
    with_peers("")
}

fn with_peers(peers: &str) -> Controller {
    let settings = r#"{"member":"n-0","site":"a","bind":"10.0.0.1:80",
        "internal_addr":"10.0.0.1:81","members":[PEERS],
        "outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},
        "deployment":{"zones":["a"],"teams":[],
        "workers":{"report_s":2,"lease_s":12,"cancel_s":30},
        "state":{"rps":100,"write_rps":50,"value_kb":16,"txn_ops":20},
        "cloud":{"rps":6,"list_lag_s":3},"limits":{"max_sockets":100}}}"#;
    let settings = settings.replace("PEERS", peers);
    Controller::new(Settings::parse(&settings).expect("settings"), 1)
}

fn now(ms: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(ms),
        wall_clock: Duration::from_millis(1_800_000_000_000 + ms),
    }
}

/// The call whose path begins so, and is or is no watch.
fn call(outputs: &[Output], path: &str, watch: bool) -> u64 {
    let found = outputs.iter().find_map(|output| match output {
        Output::Call(call) => (call.path.starts_with(path)
            && call.path.contains("block_ms") == watch)
            .then_some(call.id),
        _ => None,
    });
    found.expect(path)
}

fn answer(status: u16, body: Vec<u8>) -> Reply {
    Reply::Answer { status, body }
}

fn events(revision: u64) -> Reply {
    let events = Vec::new();
    answer(200, encode(&Events { revision, events }))
}

/// Its block may be another's by then, and a cancellation may have been
/// missed: within the contact limit a controller that woke up answered its
/// workers all the same.
#[test]
fn whoever_stood_still_acts_only_after_new_contact() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.contact = Some(now(1000).monotonic);
    for ms in [1000, 2000, 3000] {
        controller.handle(now(ms), Input::Tick);
        assert!(controller.may_act(), "{ms}");
    }
    let outputs = controller.handle(now(9000), Input::Tick);
    assert!(controller.settings.contact_limit() > Duration::from_secs(8));
    assert!(!controller.may_act() && !controller.in_contact());
    // It asks at once, and does not wait for something to change.
    let read = call(&outputs, "/changes", false);
    controller.handle(now(9010), Input::Reply(read, events(5)));
    assert!(controller.may_act() && controller.in_contact());
}

fn page(more: bool, revision: u64) -> Reply {
    let item = Item {
        key: "oliveshift/lowered".into(),
        value: rmpv::Value::from(1),
        version: 9,
    };
    let page = Page {
        items: vec![item],
        more,
        revision,
    };
    answer(200, encode(&page))
}

/// A controller that uses records of revision 4 and has just been told that the
/// changes since are no longer kept; with its request for the first page.
fn told_too_old(breaks: fn(&mut Controller)) -> (Controller, u64) {
    let mut controller = controller();
    breaks(&mut controller);
    controller.store.ready = true;
    controller.store.contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    let outputs = controller.handle(now(1010), Input::Tick);
    let watch = call(&outputs, "/changes", true);
    let outputs = controller.handle(now(1100), Input::Reply(watch, answer(410, Vec::new())));
    let first = call(&outputs, "/kv", false);
    (controller, first)
}

/// The same after the first page, with its requests for a user and for the second page.
fn reads_the_second_page(breaks: fn(&mut Controller)) -> (Controller, [u64; 2]) {
    let (mut controller, first) = told_too_old(breaks);
    controller.poll(7, "j-1");
    let outputs = controller.handle(now(1110), Input::Tick);
    let read = call(&outputs, "/changes", false);
    let outputs = controller.handle(now(1120), Input::Reply(first, page(true, 10)));
    let second = call(&outputs, "/kv", false);
    (controller, [read, second])
}

/// While all was read anew, a read for a user brought the view before up to date. The
/// pages are of different moments and may lack a cancellation that the view before
/// had; that view's contact counted for them all the same.
#[test]
fn records_are_used_only_once_they_are_consistent() {
    let replaced = |breaks| {
        let (mut controller, [read, second]) = reads_the_second_page(breaks);
        controller.handle(now(1130), Input::Reply(read, events(12)));
        assert!(controller.in_contact(), "the view before is whole");
        let outputs = controller.handle(now(1140), Input::Reply(second, page(false, 13)));
        (controller, outputs)
    };
    let (mut controller, outputs) = replaced(|_| {});
    assert_eq!(controller.view.revision, 12, "the view before is in use");
    let changes = call(&outputs, "/changes", false);
    // It was answered before the last page was.
    let outputs = controller.handle(now(1150), Input::Reply(changes, events(12)));
    assert_eq!(
        (
            controller.view.revision,
            controller.view.lowered_limits_version
        ),
        (12, 0)
    );
    let changes = call(&outputs, "/changes", false);
    controller.handle(now(1160), Input::Reply(changes, events(13)));
    assert_eq!(
        (
            controller.view.revision,
            controller.view.lowered_limits_version
        ),
        (13, 9)
    );
    assert_eq!(controller.store.contact, Some(now(1150).monotonic));
    #[cfg(feature = "sabotage")]
    {
        let (controller, _) = replaced(|c| c.sabotage = Some(crate::Sabotage::PartialView));
        assert_eq!(controller.view.revision, 10, "which the test has to notice");
    }
}

/// Another request was told so as well, while the second page was on its way: that
/// page was taken for the first one of a new reading.
#[test]
fn a_second_answer_that_changes_are_too_old_changes_nothing() {
    let asked_next = |breaks| {
        let (mut controller, [read, second]) = reads_the_second_page(breaks);
        controller.handle(now(1130), Input::Reply(read, answer(410, Vec::new())));
        let outputs = controller.handle(now(1140), Input::Reply(second, page(false, 13)));
        let asked = outputs.iter().find_map(|output| match output {
            Output::Call(call) if !call.path.contains("block_ms") => Some(call.path.clone()),
            _ => None,
        });
        (controller.view.revision, asked)
    };
    let since_first = "/changes?starts=oliveshift/&after=10".to_owned();
    assert_eq!(asked_next(|_| {}), (4, Some(since_first)));
    #[cfg(feature = "sabotage")]
    {
        let mixed = asked_next(|c| c.sabotage = Some(crate::Sabotage::MixedReads));
        assert_eq!(mixed.0, 13, "which the test has to notice");
    }
}

/// An answer that was overtaken by others tells of changes that are known, and
/// brought back what had been deleted since.
#[test]
fn an_overtaken_answer_brings_nothing_back() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    let outputs = controller.handle(now(1010), Input::Tick);
    let watch = call(&outputs, "/changes", true);
    controller.view.revision = 8;
    let put = Event::Put {
        key: "oliveshift/lowered".into(),
        value: rmpv::Value::from(1),
        version: 6,
    };
    let events = Events {
        revision: 7,
        events: vec![put],
    };
    let reply = answer(200, encode(&events));
    controller.handle(now(1020), Input::Reply(watch, reply));
    assert_eq!(
        (
            controller.view.revision,
            controller.view.lowered_limits_version
        ),
        (8, 0)
    );
}

/// A state service that has lost data is no contact: what we know may be undone.
#[test]
fn a_revision_that_goes_back_is_a_violation_and_no_contact() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    let outputs = controller.handle(now(1010), Input::Tick);
    let watch = call(&outputs, "/changes", true);
    controller.handle(now(1020), Input::Reply(watch, events(3)));
    assert_eq!(controller.violations(), 1);
    assert_eq!(controller.store.contact, Some(now(1000).monotonic));
}

/// A controller that lost the state service and all peers at once, and no users, heard
/// of nobody's contact, took it for an outage of all and called itself healthy.
#[test]
fn whoever_is_cut_off_alone_is_not_healthy() {
    let peer = r#"{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}"#;
    // What comes back for a watch, and whether the peer is heard, without contact.
    let healthy_after = |ms: u64, reply: Option<Reply>, hears: bool| {
        let mut controller = with_peers(peer);
        controller.store.ready = true;
        controller.store.contact = Some(now(1000).monotonic);
        controller.store.answered = now(1000).monotonic;
        let mut at = 1000;
        while at < 1000 + ms {
            at += 100;
            let outputs = controller.handle(now(at), Input::Tick);
            let calls = outputs.iter().filter_map(|output| match output {
                Output::Call(call) => Some(call),
                _ => None,
            });
            for call in calls {
                if call.path.starts_with("/changes")
                    && let Some(reply) = &reply
                {
                    controller.handle(now(at), Input::Reply(call.id, reply.clone()));
                }
            }
            if hears {
                let message = oliveshift_wire::peer::PeerMessage {
                    from: "n-1".into(),
                    incarnation: 7,
                    contact_ms: None,
                    base: 0,
                    upto: 0,
                    machines: Vec::new(),
                    over: Vec::new(),
                    drain: Vec::new(),
                    preempt: Vec::new(),
                };
                controller.receive_peer_message(9, message);
            }
        }
        controller.healthy()
    };
    let refused = || Some(answer(503, Vec::new()));
    assert!(healthy_after(3000, None, false), "it may be a moment");
    assert!(!healthy_after(6000, None, false), "cut off alone");
    assert!(healthy_after(6000, refused(), false), "an outage");
    assert!(
        healthy_after(6000, None, true),
        "peers have no contact either"
    );
}
