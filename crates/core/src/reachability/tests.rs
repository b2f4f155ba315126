use super::*;

const PERIOD: Duration = Duration::from_secs(6);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(machine: usize, token: Term) -> Report {
    let text = format!(
        r#"{{"host":"vm-{machine}","endpoint":"10.1.0.1:9","flavor":"s","site":"a",
        "reclaimable":false,"tenure":1,"tick":1,"epoch":{token},"warning_s":null,
        "shards":[]}}"#
    );
    serde_json::from_str(&text).expect("a report")
}

/// The leader, `n-0`; `n-1` has held block 1 under term 7 for a long time.
fn leader() -> Reachability {
    let mut reach = Reachability::new(PERIOD);
    reach.record_lease(ms(0), 1, 7);
    reach
}

fn block(machines: usize) -> [BlockStatus<'static>; 1] {
    [BlockStatus {
        id: 1,
        term: 7,
        holder: "n-1",
        machines,
    }]
}

fn message(unheard: Vec<BlockId>) -> ReachabilityMessage {
    ReachabilityMessage {
        from: "n-1".into(),
        incarnation: 1,
        unheard_blocks: unheard,
        unreached_zones: vec!["a".into()],
        strays: Vec::new(),
    }
}

#[test]
fn strays_move_the_block_of_a_holder_that_hears_none() {
    let (mut reach, now) = (leader(), ms(60_000));
    let first = reach.record_stray(now, &report(1, 7), 1, LeaseTokens::new(7, 7), "n-1");
    assert_eq!(first, StrayAction::Redirect);
    let second = reach.record_stray(
        now + ms(50),
        &report(2, 7),
        1,
        LeaseTokens::new(7, 7),
        "n-1",
    );
    assert_eq!(
        second,
        StrayAction::AwaitLease,
        "another worker of the block has strayed"
    );
    reach.record_stray(
        now + ms(90),
        &report(3, 7),
        1,
        LeaseTokens::new(7, 7),
        "n-1",
    );
    let now = now + ms(100);
    assert_eq!(
        reach.blocks_to_move(now, "n-0", &block(26)),
        [],
        "the holder may hear them"
    );
    reach.receive_message(now, message(vec![1]));
    let moves = reach.blocks_to_move(now, "n-0", &block(26));
    assert_eq!(
        (moves.len(), moves[0].block, moves[0].unheard),
        (1, 1, true)
    );
    assert!(!reach.can_serve_zone(now, "n-0", "n-1", "a"));
    assert!(reach.can_serve_zone(now, "n-0", "n-1", "b"));
    // Nothing is moved once the holder no longer reports the block as unheard.
    reach.receive_message(now, message(Vec::new()));
    assert_eq!(reach.blocks_to_move(now, "n-0", &block(26)), []);
}

#[test]
fn unsettled_strays_are_no_evidence() {
    let (mut reach, now) = (leader(), ms(60_000));
    // New machines are redirected to their holder by the controller that registers them.
    for machine in 0..9 {
        let action = reach.record_stray(now, &report(machine, 0), 1, LeaseTokens::new(7, 7), "n-1");
        assert_eq!(action, StrayAction::Redirect);
    }
    // They wait if the holder hears none of the block, and still are no evidence.
    reach.receive_message(now, message(vec![1]));
    for machine in 10..19 {
        let action = reach.record_stray(now, &report(machine, 0), 1, LeaseTokens::new(7, 7), "n-1");
        assert_eq!(action, StrayAction::AwaitRecords);
    }
    assert_eq!(reach.blocks_to_move(now, "n-0", &block(26)), []);
    // The block has just been leased, so its workers are still looking for the holder.
    reach.record_lease(now, 1, 8);
    for machine in 0..9 {
        let action = reach.record_stray(now, &report(machine, 8), 1, LeaseTokens::new(8, 8), "n-2");
        assert_eq!(action, StrayAction::Redirect);
    }
    let young = [BlockStatus {
        term: 8,
        ..block(26)[0].clone()
    }];
    assert_eq!(reach.blocks_to_move(now, "n-0", &young), []);
}

/// Reports reach the holder but its answers are lost, so it does not report the block as unheard.
#[test]
fn repeated_strays_move_a_block_that_its_holder_hears() {
    let (mut reach, mut now) = (leader(), ms(60_000));
    for round in 0..2 {
        for machine in 0..5 {
            reach.record_stray(now, &report(machine, 7), 1, LeaseTokens::new(7, 7), "n-1");
        }
        let moves = reach.blocks_to_move(now, "n-0", &block(20));
        assert_eq!(moves.len(), round, "{moves:?}");
        now += ms(5500);
    }
    // The backoff of the holder doubles.
    reach.record_move(now, "n-1", "a", false);
    assert!(!reach.can_serve_zone(now + ms(19_000), "n-0", "n-1", "a"));
    assert!(reach.can_serve_zone(now + ms(21_000), "n-0", "n-1", "a"));
    now += ms(30_000);
    reach.record_move(now, "n-1", "a", false);
    assert!(!reach.can_serve_zone(now + ms(39_000), "n-0", "n-1", "a"));
}

#[test]
fn a_failed_zone_moves_no_block() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    let mut now = ms(0);
    let mut unheard_at = None;
    while now < ms(120_000) {
        reach.record_lease(now, 1, 7);
        if now < ms(30_000) {
            reach.record_report(now, 1, "vm-1");
        }
        reach.evaluate(now, &[], held(26), |_| 26);
        if reach.is_unheard(1) {
            unheard_at = unheard_at.or(Some(now));
        }
        let ours = [BlockStatus {
            holder: "n-0",
            ..block(26)[0].clone()
        }];
        assert_eq!(reach.blocks_to_move(now, "n-0", &ours), []);
        assert!(!reach.is_isolated());
        now += ms(250);
    }
    let unheard_at = unheard_at.expect("the block becomes unheard");
    assert!(
        (ms(35_000)..ms(36_000)).contains(&unheard_at),
        "{unheard_at:?}"
    );
    // The workers are back.
    reach.record_report(now, 1, "vm-1");
    reach.evaluate(now + ms(250), &[], held(26), |_| 26);
    assert!(!reach.is_unheard(1) && reach.can_serve_zone(now, "n-0", "n-0", "a"));
}

/// A controller receives no reports while it is stalled, which proves nothing about its workers.
#[test]
fn a_stall_does_not_make_a_block_unheard() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    for step in 0..40 {
        reach.evaluate(ms(250 * step), &[], held, |_| 26);
        reach.record_report(ms(250 * step), 1, "vm-1");
    }
    reach.evaluate(ms(60_000), &[], held, |_| 26);
    assert!(!reach.is_unheard(1));
}

#[test]
fn a_controller_that_lost_its_blocks_probes_until_machines_answer() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.evaluate(now, &[], held, |_| 26);
        now += ms(250);
    }
    assert!(reach.is_unheard(1) && !reach.is_isolated());
    assert_eq!(
        reach
            .machines_to_probe(now, |_| names.into_iter(), |_| 0)
            .len(),
        0
    );
    // Its block is leased to another controller.
    reach.evaluate(now, &[], BTreeMap::new, |_| 26);
    assert!(reach.is_isolated() && !reach.can_serve_zone(now, "n-0", "n-0", "a"));
    // It resigns from leadership only if another controller can take over, and once in 30 s.
    assert!(!reach.should_resign(now, false) && reach.should_resign(now, true));
    reach.record_resignation(now);
    assert!(!reach.should_resign(now + ms(29_000), true));
    assert!(reach.should_resign(now + ms(31_000), true));
    let probes = reach.machines_to_probe(now, |_| names.into_iter(), |_| 0);
    assert_eq!(probes.len(), MAX_PROBES);
    assert_eq!(
        reach
            .machines_to_probe(now, |_| names.into_iter(), |_| 0)
            .len(),
        0
    );
    reach.record_probe_answer(now, "a", "vm-1");
    now += ms(250);
    reach.evaluate(now, &[], BTreeMap::new, |_| 26);
    assert!(reach.is_isolated(), "one is not enough");
    reach.record_probe_answer(now, "a", "vm-2");
    now += ms(250);
    reach.evaluate(now, &[], BTreeMap::new, |_| 26);
    assert!(!reach.is_isolated() && reach.can_serve_zone(now, "n-0", "n-0", "a"));
}

/// A controller without links to its workers got the blocks of a controller that died, in
/// zones where it had held none.
#[test]
fn a_controller_that_hears_no_worker_serves_no_zone_until_machines_there_answer() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let all_zones = ["a".to_owned(), "b".to_owned()];
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.evaluate(now, &all_zones, held, |_| 26);
        now += ms(250);
    }
    assert!(!reach.can_serve_zone(now, "n-0", "n-0", "b"));
    let names = ["vm-1", "vm-2", "vm-3"];
    assert_eq!(
        reach
            .machines_to_probe(now, |_| names.into_iter(), |_| 0)
            .len(),
        3,
        "machines of the zone in which it holds none"
    );
    reach.record_probe_answer(now, "b", "vm-1");
    reach.record_probe_answer(now, "b", "vm-2");
    reach.record_report(now, 1, "vm-1");
    reach.evaluate(now + ms(250), &all_zones, held, |_| 26);
    assert!(reach.can_serve_zone(now, "n-0", "n-0", "b"));
}

/// Two controllers lost the links to their workers, then the links to their peers. Their
/// messages expired after 3 s, and blocks were leased to the two again.
#[test]
fn unreached_zones_outlive_the_message_of_a_peer() {
    let mut reach = Reachability::new(PERIOD);
    let all_zones = ["a".to_owned(), "b".to_owned()];
    let message_of = |zones: &[String]| ReachabilityMessage {
        unreached_zones: zones.to_vec(),
        ..message(vec![])
    };
    let status_at = |reach: &mut Reachability, at| {
        reach.evaluate(ms(at), &all_zones, BTreeMap::new, |_| 26);
        (
            reach.can_serve_zone(ms(at), "n-0", "n-1", "a"),
            reach.is_suspect("n-0", "n-1"),
        )
    };
    reach.receive_message(ms(1000), message_of(&all_zones[..1]));
    assert_eq!(status_at(&mut reach, 40_000), (false, true));
    // They expire too, as the empty message that revokes them may have been lost.
    assert_eq!(status_at(&mut reach, 62_000), (true, false));
    reach.receive_message(ms(70_000), message_of(&all_zones));
    reach.receive_message(ms(71_000), message_of(&[]));
    assert_eq!(status_at(&mut reach, 72_000), (true, false));
    reach.receive_message(ms(73_000), message_of(&all_zones));
    reach.forget_previous_incarnations(|_| Some(1 + message(vec![]).incarnation));
    assert_eq!(status_at(&mut reach, 74_000), (true, false));
}

/// With all machines gone no probe could be answered, and controllers resigned from leadership
/// in turn for minutes.
#[test]
fn a_zone_without_machines_is_not_unreached() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 2))]);
    for step in 0..80 {
        reach.evaluate(ms(250 * step), &[], held, |_| 26);
    }
    assert!(!reach.can_serve_zone(ms(20_000), "n-0", "n-0", "a"));
    reach.evaluate(ms(20_250), &[], BTreeMap::new, |_| 0);
    assert!(!reach.is_isolated() && reach.can_serve_zone(ms(20_250), "n-0", "n-0", "a"));
}

/// A flapping link moves a bounded number of blocks per minute.
#[test]
fn moves_in_a_minute_are_bounded() {
    let (mut reach, mut rng) = (leader(), fastrand::Rng::with_seed(3));
    let mut moved = Vec::new();
    let mut now = ms(60_000);
    let mut term = 7;
    while now < ms(400_000) {
        if rng.bool() {
            reach.receive_message(now, message(vec![1]));
        }
        for _ in 0..3 {
            reach.record_stray(
                now,
                &report(rng.usize(0..9), term),
                1,
                LeaseTokens::new(term, term),
                "n-1",
            );
        }
        let statuses = [BlockStatus {
            term,
            ..block(9)[0].clone()
        }];
        for found in reach.blocks_to_move(now, "n-0", &statuses) {
            reach.record_move(now, "n-1", "a", found.unheard);
            moved.push(now);
            term += 1;
        }
        now += ms(700);
    }
    let most = moved.iter().map(|at| {
        let minute = *at..*at + ms(60_000);
        moved.iter().filter(|m| minute.contains(m)).count()
    });
    assert!(moved.len() > 8 && most.max() <= Some(2), "{moved:?}");
}

/// Two blocks are to be moved in one pass when the bound allows one more move.
#[test]
fn one_pass_keeps_the_bound_on_moves_in_a_minute() {
    let (mut reach, now) = (leader(), ms(60_000));
    reach.record_lease(ms(0), 2, 8);
    for (id, term) in [(1, 7), (2, 8)] {
        for machine in 0..3 {
            reach.record_stray(
                now,
                &report(10 * id as usize + machine, term),
                id,
                LeaseTokens::new(term, term),
                "n-1",
            );
        }
    }
    reach.receive_message(now, message(vec![1, 2]));
    let statuses = [(1, 7), (2, 8)].map(|(id, term)| BlockStatus {
        id,
        term,
        ..block(9)[0].clone()
    });
    assert_eq!(reach.blocks_to_move(now, "n-0", &statuses).len(), 2);
    for _ in 0..3 {
        reach.record_move(now, "n-1", "a", true);
    }
    assert_eq!(reach.blocks_to_move(now, "n-0", &statuses).len(), 1);
    reach.record_move(now, "n-1", "a", true);
    assert_eq!(reach.blocks_to_move(now, "n-0", &statuses), []);
}

/// This controller's records are behind: the worker knows a lease that is not seen here yet.
/// It was redirected to the previous holder.
#[test]
fn a_worker_that_knows_a_later_lease_waits_for_the_records() {
    let (mut reach, now) = (leader(), ms(60_000));
    let action = reach.record_stray(now, &report(1, 8), 1, LeaseTokens::new(7, 7), "n-1");
    assert_eq!(action, StrayAction::AwaitRecords);
}

/// After it lost the block the holder no longer reported it as unheard, and peers that saw the
/// new lease later than that message redirected workers back to it.
#[test]
fn a_block_lost_while_unheard_stays_in_messages_for_a_while() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.evaluate(now, &[], held, |_| 26);
        now += ms(250);
    }
    let reported = |reach: &mut Reachability, now| {
        reach
            .next_message(now, "n-0", 1)
            .map(|message| message.unheard_blocks)
    };
    reach.evaluate(now, &[], BTreeMap::new, |_| 26);
    assert_eq!(reported(&mut reach, now), Some(vec![1]));
    now += MESSAGE_LIFETIME;
    reach.evaluate(now, &[], BTreeMap::new, |_| 26);
    assert_eq!(reported(&mut reach, now), Some(Vec::new()));
}

/// The only worker of a new block is heard once: its silence counts from then, although other
/// workers might still be looking for their holder.
#[test]
fn a_worker_heard_in_the_grace_period_is_missed_without_delay() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 1))]);
    let mut unheard_at = None;
    for step in 0..80 {
        let now = ms(250 * step);
        reach.evaluate(now, &[], held, |_| 26);
        if step == 4 {
            reach.record_report(now, 1, "vm-1");
        }
        let is_unheard = reach.blocks.values().any(|liveness| liveness.unheard);
        unheard_at = unheard_at.or(is_unheard.then_some(now));
    }
    let unheard_at = unheard_at.expect("the block becomes unheard");
    assert!(
        unheard_at <= ms(1000) + PERIOD * 7 / 5 + ms(250),
        "{unheard_at:?}"
    );
}

/// The machine reported to a peer, whose message names it.
#[test]
fn a_stray_in_a_peers_message_is_known() {
    let (mut reach, now) = (leader(), ms(60_000));
    reach.record_stray(now, &report(1, 7), 1, LeaseTokens::new(7, 7), "n-1");
    let reported = reach.next_message(now, "n-0", 1).expect("a message is due");
    assert!(reach.has_strayed(now, "vm-1") && !reach.has_strayed(now, "vm-2"));
    let mut other = Reachability::new(PERIOD);
    other.receive_message(now, reported);
    assert!(other.has_strayed(now, "vm-1"));
}

/// The first machine of an empty block was heard only before it was counted; its silence was
/// noticed 5 s later than that of others.
#[test]
fn the_first_machine_of_an_empty_block_is_missed_without_delay() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    reach.block_acquired(ms(0), 1, "a");
    for step in 0..80 {
        reach.evaluate(ms(250 * step), &[], held(0), |_| 0);
    }
    let heard = ms(79 * 250 + 100);
    reach.record_report(heard, 1, "vm-1");
    let mut now = heard + ms(150);
    while now <= heard + PERIOD * 7 / 5 {
        reach.evaluate(now, &[], held(1), |_| 26);
        assert!(!reach.blocks[&1].unheard, "{now:?}");
        now += ms(250);
    }
    reach.evaluate(now, &[], held(1), |_| 26);
    assert!(reach.blocks[&1].unheard);
}

/// Machines that joined a block after it became unheard had never been heard by its holder, so
/// they were no evidence, but they raised the number of strays that were needed.
#[test]
fn machines_that_join_an_unheard_block_do_not_raise_the_needed_strays() {
    let (mut reach, now) = (leader(), ms(60_000));
    reach.receive_message(now, message(vec![1]));
    assert_eq!(reach.blocks_to_move(now, "n-0", &block(1)), []);
    reach.record_stray(now, &report(1, 7), 1, LeaseTokens::new(7, 7), "n-1");
    let moves = reach.blocks_to_move(now, "n-0", &block(5));
    assert_eq!(
        (moves.len(), moves.first().map(|m| m.unheard)),
        (1, Some(true))
    );
    // The count starts anew once the holder has heard a worker.
    reach.receive_message(now, message(Vec::new()));
    assert_eq!(reach.blocks_to_move(now, "n-0", &block(5)), []);
    reach.receive_message(now, message(vec![1]));
    assert_eq!(reach.blocks_to_move(now, "n-0", &block(5)), []);
}

/// The last machine of an unheard block went, and the holder granted the next one a new grace
/// period although it could not hear that one either.
#[test]
fn an_empty_block_stays_unheard_for_a_while() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.evaluate(now, &[], held(1), |_| 26);
        now += ms(250);
    }
    let is_unheard = |reach: &Reachability| reach.holder_hears_none("n-0", "n-0", 1);
    reach.evaluate(now, &[], held(0), |_| 0);
    assert!(is_unheard(&reach) && reach.is_suspect("n-0", "n-0"));
    now += ms(30_000);
    reach.evaluate(now, &[], held(1), |_| 26);
    assert!(is_unheard(&reach), "the next machine is not heard either");
    reach.record_report(now, 1, "vm-2");
    reach.evaluate(now + ms(250), &[], held(1), |_| 26);
    assert!(!is_unheard(&reach));
}

#[test]
fn an_empty_block_does_not_stay_unheard_forever() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    for step in 0..400 {
        let machines = usize::from(step < 80);
        reach.evaluate(ms(250 * step), &[], held(machines), |_| machines);
    }
    assert!(!reach.holder_hears_none("n-0", "n-0", 1));
}

/// A controller that had lost the only machine of a zone needed answers of two machines before
/// it was eligible for blocks there again.
#[test]
fn no_more_answers_are_needed_than_there_are_machines() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 1))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.evaluate(now, &[], held, |_| 1);
        now += ms(250);
    }
    reach.evaluate(now, &[], BTreeMap::new, |_| 1);
    assert!(!reach.can_serve_zone(now, "n-0", "n-0", "a"));
    reach.record_probe_answer(now, "a", "vm-1");
    reach.evaluate(now + ms(250), &[], BTreeMap::new, |_| 1);
    assert!(reach.can_serve_zone(now, "n-0", "n-0", "a"));
}
