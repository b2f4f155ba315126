use std::time::Duration;

use oliveshift_wire::{
    encode,
    settings::Settings,
    state::{Event, Events, Item, Page},
};

use crate::{CompleteBody, Controller, Input, Now, Output, Reply};

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

/// The id of the call whose path starts with `path` and that is a watch or not.
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

/// A controller that resumed after a pause within the contact limit answered its
/// workers, although its blocks may have been leased to another controller and it may
/// have missed a cancellation.
#[test]
fn a_controller_acts_after_a_pause_only_with_new_contact() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.last_contact = Some(now(1000).monotonic);
    for ms in [1000, 2000, 3000] {
        controller.handle(now(ms), Input::Tick);
        assert!(controller.may_act(), "{ms}");
    }
    let outputs = controller.handle(now(9000), Input::Tick);
    assert!(controller.settings.contact_limit() > Duration::from_secs(8));
    assert!(!controller.may_act() && !controller.in_contact());
    // It reads at once instead of waiting for a change.
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

/// A controller with the view of revision 4 that has just learned that the changes
/// since then are no longer kept, and its request for the first page.
fn with_changes_too_old(breaks: fn(&mut Controller)) -> (Controller, u64) {
    let mut controller = controller();
    breaks(&mut controller);
    controller.store.ready = true;
    controller.store.last_contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    let outputs = controller.handle(now(1010), Input::Tick);
    let watch = call(&outputs, "/changes", true);
    let outputs = controller.handle(now(1100), Input::Reply(watch, answer(410, Vec::new())));
    let first = call(&outputs, "/kv", false);
    (controller, first)
}

/// The same after the first page, and its requests for a user and for the second page.
fn reading_the_second_page(breaks: fn(&mut Controller)) -> (Controller, [u64; 2]) {
    let (mut controller, first) = with_changes_too_old(breaks);
    controller.poll(7, "j-1", &CompleteBody::default());
    let outputs = controller.handle(now(1110), Input::Tick);
    let read = call(&outputs, "/changes", false);
    let outputs = controller.handle(now(1120), Input::Reply(first, page(true, 10)));
    let second = call(&outputs, "/kv", false);
    (controller, [read, second])
}

/// During a new read of all records, a read for a user brought the old view up to date.
/// The pages were of different revisions and could lack a cancellation that the old view
/// had, but replaced it, and the old view's contact counted for them.
#[test]
fn records_are_used_only_once_they_are_consistent() {
    let replaced = |breaks| {
        let (mut controller, [read, second]) = reading_the_second_page(breaks);
        controller.handle(now(1130), Input::Reply(read, events(12)));
        assert!(controller.in_contact(), "the old view is up to date");
        let outputs = controller.handle(now(1140), Input::Reply(second, page(false, 13)));
        (controller, outputs)
    };
    let (mut controller, outputs) = replaced(|_| {});
    assert_eq!(controller.view.revision, 12, "the old view is in use");
    let changes = call(&outputs, "/changes", false);
    // This answer is of a revision before that of the last page.
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
    assert_eq!(controller.store.last_contact, Some(now(1150).monotonic));
    #[cfg(feature = "sabotage")]
    {
        let (controller, _) = replaced(|c| c.sabotage = Some(crate::Sabotage::PartialView));
        assert_eq!(
            controller.view.revision, 10,
            "the injected fault is noticed"
        );
    }
}

/// While the second page was in flight, another request learned that its changes were no
/// longer kept. That restarted the read, and the page was taken for the first one.
#[test]
fn a_second_answer_that_changes_are_too_old_changes_nothing() {
    let asked_next = |breaks| {
        let (mut controller, [read, second]) = reading_the_second_page(breaks);
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
        assert_eq!(mixed.0, 13, "the injected fault is noticed");
    }
}

/// An answer overtaken by later ones holds changes that are known already. Applying them
/// brought back records that had been deleted since.
#[test]
fn an_overtaken_answer_restores_no_deleted_records() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.last_contact = Some(now(1000).monotonic);
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

/// A decreasing revision means that the state service has lost data. Its answer must
/// not count as contact, as records that the controller relies on may be gone.
#[test]
fn a_decreasing_revision_is_a_violation_and_no_contact() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.last_contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    let outputs = controller.handle(now(1010), Input::Tick);
    let watch = call(&outputs, "/changes", true);
    controller.handle(now(1020), Input::Reply(watch, events(3)));
    assert_eq!(controller.violations(), 1);
    assert_eq!(controller.store.last_contact, Some(now(1000).monotonic));
}

/// A controller that lost the state service and all peers at once, but not its users,
/// learned of no peer's contact, took this for a general outage and called itself
/// healthy.
#[test]
fn an_isolated_controller_is_not_healthy() {
    let peer = r#"{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}"#;
    // `reply` answers each watch; `hears_peer` is whether messages arrive from the peer, which
    // has no contact either.
    let healthy_after = |ms: u64, reply: Option<Reply>, hears_peer: bool| {
        let mut controller = with_peers(peer);
        controller.store.ready = true;
        controller.store.last_contact = Some(now(1000).monotonic);
        controller.store.last_answer_at = now(1000).monotonic;
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
            if hears_peer {
                let message = oliveshift_wire::peer::PeerMessage {
                    from: "n-1".into(),
                    incarnation: 7,
                    contact_age_ms: None,
                    base_version: 0,
                    new_version: 0,
                    machines: Vec::new(),
                    unrecorded: Vec::new(),
                    drain: Vec::new(),
                    preempt: Vec::new(),
                };
                controller.receive_peer_message(9, message);
            }
        }
        controller.healthy()
    };
    let refused = || Some(answer(503, Vec::new()));
    assert!(
        healthy_after(3000, None, false),
        "not silent for long enough"
    );
    assert!(!healthy_after(6000, None, false), "isolated");
    assert!(healthy_after(6000, refused(), false), "an outage");
    assert!(
        healthy_after(6000, None, true),
        "peers have no contact either"
    );
}

#[test]
fn a_job_whose_record_cannot_be_read_is_not_called_unknown() {
    let mut controller = controller();
    controller.store.ready = true;
    controller.store.last_contact = Some(now(1000).monotonic);
    controller.view.revision = 4;
    controller.poll(7, "j-1", &CompleteBody::default());
    let outputs = controller.handle(now(1010), Input::Tick);
    let read = call(&outputs, "/changes", false);
    let record = Event::Put {
        key: "oliveshift/job/j-1".into(),
        value: rmpv::Value::from("a form of later programs"),
        version: 5,
    };
    let changes = Events {
        revision: 5,
        events: vec![record],
    };
    let outputs = controller.handle(now(1020), Input::Reply(read, answer(200, encode(&changes))));
    let status = outputs.iter().find_map(|output| match output {
        Output::Answer(answer) => Some(answer.status),
        _ => None,
    });
    assert_eq!(status, Some(503));
}
