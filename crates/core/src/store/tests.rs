use std::time::Duration;

use oliveshift_wire::{
    encode,
    settings::Settings,
    state::{Events, Item, Page},
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
        steady: Duration::from_millis(ms),
        day: Duration::from_millis(1_800_000_000_000 + ms),
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
    controller.store.contact = Some(now(1000).steady);
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

/// While all was read anew, a read for a user brought the view before up to date. The
/// new view is of when its first page was read, and may lack a cancellation that
/// the one before had: the contact of that one counted for it all the same.
#[test]
fn a_view_read_anew_does_not_inherit_contact() {
    let replaced = |breaks: fn(&mut Controller)| {
        let mut controller = controller();
        breaks(&mut controller);
        controller.store.ready = true;
        controller.store.contact = Some(now(1000).steady);
        controller.view.revision = 4;
        let outputs = controller.handle(now(1010), Input::Tick);
        let watch = call(&outputs, "/changes", true);
        let outputs = controller.handle(now(1100), Input::Reply(watch, answer(410, Vec::new())));
        let page = |more, revision| {
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
        };
        let first = call(&outputs, "/kv", false);
        controller.poll(7, "j-1");
        let outputs = controller.handle(now(1110), Input::Tick);
        let read = call(&outputs, "/changes", false);
        let outputs = controller.handle(now(1120), Input::Reply(first, page(true, 10)));
        let second = call(&outputs, "/kv", false);
        controller.handle(now(1130), Input::Reply(read, events(12)));
        assert!(controller.in_contact(), "the view before is whole");
        let outputs = controller.handle(now(1140), Input::Reply(second, page(false, 13)));
        assert_eq!(controller.view.revision, 10);
        let watch = call(&outputs, "/changes", true);
        (controller, watch)
    };
    let (mut controller, watch) = replaced(|_| {});
    assert!(!controller.may_act() && !controller.in_contact());
    controller.handle(now(1150), Input::Reply(watch, events(13)));
    assert!(controller.may_act() && controller.in_contact());
    #[cfg(feature = "sabotage")]
    {
        let (controller, _) = replaced(|c| c.sabotage = Some(crate::Sabotage::ContactOfOldView));
        assert!(controller.may_act(), "which the test has to notice");
    }
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
        controller.store.contact = Some(now(1000).steady);
        controller.store.answered = now(1000).steady;
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
                controller.hear(9, message);
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
