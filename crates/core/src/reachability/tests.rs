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

/// The leader, `n-0`, with block 1 held by `n-1` under term 7 for long.
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

fn word(unheard: Vec<BlockId>) -> ReachWord {
    ReachWord {
        from: "n-1".into(),
        incarnation: 1,
        unheard,
        zones: vec!["a".into()],
        strays: Vec::new(),
    }
}

#[test]
fn strays_of_a_unheard_holder_move_its_block() {
    let (mut reach, now) = (leader(), ms(60_000));
    let first = reach.record_stray(now, &report(1, 7), (1, 7), "n-1");
    assert_eq!(first, StrayAction::Redirect);
    let second = reach.record_stray(now + ms(50), &report(2, 7), (1, 7), "n-1");
    assert_eq!(second, StrayAction::AwaitLease, "others have come");
    reach.record_stray(now + ms(90), &report(3, 7), (1, 7), "n-1");
    let now = now + ms(100);
    assert_eq!(reach.moves(now, "n-0", &block(26)), [], "it may hear them");
    reach.hear(now, word(vec![1]));
    let moves = reach.moves(now, "n-0", &block(26));
    assert_eq!(
        (moves.len(), moves[0].block, moves[0].unheard),
        (1, 1, true)
    );
    assert!(!reach.can_serve_zone(now, "n-0", "n-1", "a"));
    assert!(reach.can_serve_zone(now, "n-0", "n-1", "b"));
    // Once the holder says that it hears somebody, nothing moves any more.
    reach.hear(now, word(Vec::new()));
    assert_eq!(reach.moves(now, "n-0", &block(26)), []);
}

#[test]
fn strays_at_first_sight_prove_nothing() {
    let (mut reach, now) = (leader(), ms(60_000));
    // New machines are sent to their holder by whoever registers them.
    for machine in 0..9 {
        let advice = reach.record_stray(now, &report(machine, 0), (1, 7), "n-1");
        assert_eq!(advice, StrayAction::Redirect);
    }
    // Not to one that hears nobody: they wait, and still prove nothing.
    reach.hear(now, word(vec![1]));
    for machine in 10..19 {
        let advice = reach.record_stray(now, &report(machine, 0), (1, 7), "n-1");
        assert_eq!(advice, StrayAction::AwaitRecords);
    }
    assert_eq!(reach.moves(now, "n-0", &block(26)), []);
    // A block has just been leased: its workers look for their holder.
    reach.record_lease(now, 1, 8);
    for machine in 0..9 {
        let advice = reach.record_stray(now, &report(machine, 8), (1, 8), "n-2");
        assert_eq!(advice, StrayAction::Redirect);
    }
    let young = [BlockStatus {
        term: 8,
        ..block(26)[0].clone()
    }];
    assert_eq!(reach.moves(now, "n-0", &young), []);
}

/// Reports arrive and answers don't: the holder hears all of them.
#[test]
fn workers_that_come_again_need_no_word_of_their_holder() {
    let (mut reach, mut now) = (leader(), ms(60_000));
    for round in 0..2 {
        for machine in 0..5 {
            reach.record_stray(now, &report(machine, 7), (1, 7), "n-1");
        }
        let moves = reach.moves(now, "n-0", &block(20));
        assert_eq!(moves.len(), round, "{moves:?}");
        now += ms(5500);
    }
    // Shunned for longer each time.
    reach.moved(now, "n-1", "a", false);
    assert!(!reach.can_serve_zone(now + ms(19_000), "n-0", "n-1", "a"));
    assert!(reach.can_serve_zone(now + ms(21_000), "n-0", "n-1", "a"));
    now += ms(30_000);
    reach.moved(now, "n-1", "a", false);
    assert!(!reach.can_serve_zone(now + ms(39_000), "n-0", "n-1", "a"));
}

#[test]
fn a_zone_that_is_dead_moves_nothing() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    let mut now = ms(0);
    let mut unheard_at = None;
    while now < ms(120_000) {
        reach.record_lease(now, 1, 7);
        if now < ms(30_000) {
            reach.record_report(now, 1, "vm-1");
        }
        reach.look(now, &[], held(26), |_| 26);
        if reach.is_unheard(1) {
            unheard_at = unheard_at.or(Some(now));
        }
        let ours = [BlockStatus {
            holder: "n-0",
            ..block(26)[0].clone()
        }];
        assert_eq!(reach.moves(now, "n-0", &ours), []);
        assert!(!reach.is_isolated());
        now += ms(250);
    }
    let unheard_at = unheard_at.expect("it is noticed");
    assert!(
        (ms(35_000)..ms(36_000)).contains(&unheard_at),
        "{unheard_at:?}"
    );
    // They are back.
    reach.record_report(now, 1, "vm-1");
    reach.look(now + ms(250), &[], held(26), |_| 26);
    assert!(!reach.is_unheard(1) && reach.can_serve_zone(now, "n-0", "n-0", "a"));
}

/// Who stood still has heard nobody meanwhile, and that means nothing.
#[test]
fn whoever_stood_still_is_not_unheard() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    for step in 0..40 {
        reach.look(ms(250 * step), &[], held, |_| 26);
        reach.record_report(ms(250 * step), 1, "vm-1");
    }
    reach.look(ms(60_000), &[], held, |_| 26);
    assert!(!reach.is_unheard(1));
}

#[test]
fn whoever_lost_its_blocks_asks_until_somebody_answers() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.look(now, &[], held, |_| 26);
        now += ms(250);
    }
    assert!(reach.is_unheard(1) && !reach.is_isolated());
    assert_eq!(reach.questions(now, |_| names.into_iter(), |_| 0).len(), 0);
    // Its block goes to somebody else.
    reach.look(now, &[], BTreeMap::new, |_| 26);
    assert!(reach.is_isolated() && !reach.can_serve_zone(now, "n-0", "n-0", "a"));
    // It leaves the lead to others, but not again and again, and to nobody.
    assert!(!reach.should_resign(now, false) && reach.should_resign(now, true));
    reach.resigned(now);
    assert!(!reach.should_resign(now + ms(29_000), true));
    assert!(reach.should_resign(now + ms(31_000), true));
    let asked = reach.questions(now, |_| names.into_iter(), |_| 0);
    assert_eq!(asked.len(), PROBES);
    assert_eq!(reach.questions(now, |_| names.into_iter(), |_| 0).len(), 0);
    reach.answered(now, "a", "vm-1");
    now += ms(250);
    reach.look(now, &[], BTreeMap::new, |_| 26);
    assert!(reach.is_isolated(), "one is not enough");
    reach.answered(now, "a", "vm-2");
    now += ms(250);
    reach.look(now, &[], BTreeMap::new, |_| 26);
    assert!(!reach.is_isolated() && reach.can_serve_zone(now, "n-0", "n-0", "a"));
}

/// A controller that was cut from its workers got the blocks of one that died,
/// in zones where it had held nothing.
#[test]
fn whoever_hears_nobody_serves_no_zone_before_somebody_there_answers() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let everywhere = ["a".to_owned(), "b".to_owned()];
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.look(now, &everywhere, held, |_| 26);
        now += ms(250);
    }
    assert!(!reach.can_serve_zone(now, "n-0", "n-0", "b"));
    let names = ["vm-1", "vm-2", "vm-3"];
    assert_eq!(
        reach.questions(now, |_| names.into_iter(), |_| 0).len(),
        3,
        "of the zone in which it holds nothing"
    );
    reach.answered(now, "b", "vm-1");
    reach.answered(now, "b", "vm-2");
    reach.record_report(now, 1, "vm-1");
    reach.look(now + ms(250), &everywhere, held, |_| 26);
    assert!(reach.can_serve_zone(now, "n-0", "n-0", "b"));
}

/// Two were cut from their workers, then peers refused each other: the words
/// were forgotten after three seconds, and blocks went back to those two.
#[test]
fn what_a_peer_does_not_reach_outlasts_its_word() {
    let mut reach = Reachability::new(PERIOD);
    let everywhere = ["a".to_owned(), "b".to_owned()];
    let said = |zones: &[String]| ReachWord {
        zones: zones.to_vec(),
        ..word(vec![])
    };
    let later = |reach: &mut Reachability, at| {
        reach.look(ms(at), &everywhere, BTreeMap::new, |_| 26);
        (
            reach.can_serve_zone(ms(at), "n-0", "n-1", "a"),
            reach.is_suspect("n-0", "n-1"),
        )
    };
    reach.hear(ms(1000), said(&everywhere[..1]));
    assert_eq!(later(&mut reach, 40_000), (false, true));
    // Not for ever, as the word that all is well may have been lost.
    assert_eq!(later(&mut reach, 62_000), (true, false));
    reach.hear(ms(70_000), said(&everywhere));
    reach.hear(ms(71_000), said(&[]));
    assert_eq!(later(&mut reach, 72_000), (true, false));
    reach.hear(ms(73_000), said(&everywhere));
    reach.restarted(|_| Some(1 + word(vec![]).incarnation));
    assert_eq!(later(&mut reach, 74_000), (true, false));
}

/// All machines had gone, and controllers left the lead to each other for
/// minutes, as nobody was there to answer.
#[test]
fn where_nobody_is_left_nobody_is_out_of_reach() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 2))]);
    for step in 0..80 {
        reach.look(ms(250 * step), &[], held, |_| 26);
    }
    assert!(!reach.can_serve_zone(ms(20_000), "n-0", "n-0", "a"));
    reach.look(ms(20_250), &[], BTreeMap::new, |_| 0);
    assert!(!reach.is_isolated() && reach.can_serve_zone(ms(20_250), "n-0", "n-0", "a"));
}

/// Whatever the links do, so many blocks move in a minute at most.
#[test]
fn moves_in_a_minute_are_bounded() {
    let (mut reach, mut rng) = (leader(), fastrand::Rng::with_seed(3));
    let mut moved = Vec::new();
    let mut now = ms(60_000);
    let mut term = 7;
    while now < ms(400_000) {
        if rng.bool() {
            reach.hear(now, word(vec![1]));
        }
        for _ in 0..3 {
            reach.record_stray(now, &report(rng.usize(0..9), term), (1, term), "n-1");
        }
        let looked = [BlockStatus {
            term,
            ..block(9)[0].clone()
        }];
        for found in reach.moves(now, "n-0", &looked) {
            reach.moved(now, "n-1", "a", found.unheard);
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

/// The records that we go by are late: the worker has heard of a lease that we have
/// not seen, and was sent back to the holder before.
#[test]
fn a_worker_that_knows_a_later_lease_waits_until_it_is_seen() {
    let (mut reach, now) = (leader(), ms(60_000));
    let advice = reach.record_stray(now, &report(1, 8), (1, 7), "n-1");
    assert_eq!(advice, StrayAction::AwaitRecords);
}

/// The holder lost the block and told nothing of it any more; whoever saw the new lease
/// later than that sent workers back to it.
#[test]
fn a_block_that_was_lost_while_unheard_is_told_for_a_while() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 26))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.look(now, &[], held, |_| 26);
        now += ms(250);
    }
    let told = |reach: &mut Reachability, now| reach.tell(now, "n-0", 1).map(|word| word.unheard);
    reach.look(now, &[], BTreeMap::new, |_| 26);
    assert_eq!(told(&mut reach, now), Some(vec![1]));
    now += WORD_LIFETIME;
    reach.look(now, &[], BTreeMap::new, |_| 26);
    assert_eq!(told(&mut reach, now), Some(Vec::new()));
}

/// The only worker of a new block was heard once, and nothing more for as long as others
/// might have looked for us.
#[test]
fn whoever_was_heard_is_missed_at_once() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 1))]);
    let mut unheard_at = None;
    for step in 0..80 {
        let now = ms(250 * step);
        reach.look(now, &[], held, |_| 26);
        if step == 4 {
            reach.record_report(now, 1, "vm-1");
        }
        let is_unheard = reach
            .blocks
            .values()
            .any(|block_liveness| block_liveness.unheard);
        unheard_at = unheard_at.or(is_unheard.then_some(now));
    }
    let unheard_at = unheard_at.expect("it is noticed");
    assert!(
        unheard_at <= ms(1000) + PERIOD * 7 / 5 + ms(250),
        "{unheard_at:?}"
    );
}

/// It came to a peer, which told of it.
#[test]
fn a_machine_that_came_to_others_lives() {
    let (mut reach, now) = (leader(), ms(60_000));
    reach.record_stray(now, &report(1, 7), (1, 7), "n-1");
    let told = reach.tell(now, "n-0", 1).expect("there is news");
    assert!(reach.has_strayed(now, "vm-1") && !reach.has_strayed(now, "vm-2"));
    let mut other = Reachability::new(PERIOD);
    other.hear(now, told);
    assert!(other.has_strayed(now, "vm-1"));
}

/// The first machine of a block that was empty was heard before it was counted, and then
/// nothing more: it was missed 5 s later than others.
#[test]
fn the_first_machine_of_an_empty_block_is_missed_at_once() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    reach.block_acquired(ms(0), 1, "a");
    for step in 0..80 {
        reach.look(ms(250 * step), &[], held(0), |_| 0);
    }
    let heard = ms(79 * 250 + 100);
    reach.record_report(heard, 1, "vm-1");
    let mut now = heard + ms(150);
    while now <= heard + PERIOD * 7 / 5 {
        reach.look(now, &[], held(1), |_| 26);
        assert!(!reach.blocks[&1].unheard, "{now:?}");
        now += ms(250);
    }
    reach.look(now, &[], held(1), |_| 26);
    assert!(reach.blocks[&1].unheard);
}

/// New machines came into the block of a holder that heard nobody: they had never been
/// heard, proved nothing, and only raised how many strays were needed.
#[test]
fn new_machines_of_a_unheard_holder_are_not_needed_as_strays() {
    let (mut reach, now) = (leader(), ms(60_000));
    reach.hear(now, word(vec![1]));
    assert_eq!(reach.moves(now, "n-0", &block(1)), []);
    reach.record_stray(now, &report(1, 7), (1, 7), "n-1");
    let moves = reach.moves(now, "n-0", &block(5));
    assert_eq!(
        (moves.len(), moves.first().map(|m| m.unheard)),
        (1, Some(true))
    );
    // It counts from anew once it has heard somebody.
    reach.hear(now, word(Vec::new()));
    assert_eq!(reach.moves(now, "n-0", &block(5)), []);
    reach.hear(now, word(vec![1]));
    assert_eq!(reach.moves(now, "n-0", &block(5)), []);
}

/// A holder was unheard when its last machine went; it took the next one for one that it
/// had only not heard yet.
#[test]
fn an_empty_block_stays_unheard_for_a_while() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.look(now, &[], held(1), |_| 26);
        now += ms(250);
    }
    let is_unheard = |reach: &Reachability| reach.holder_hears_none("n-0", "n-0", 1);
    reach.look(now, &[], held(0), |_| 0);
    assert!(is_unheard(&reach) && reach.is_suspect("n-0", "n-0"));
    now += ms(30_000);
    reach.look(now, &[], held(1), |_| 26);
    assert!(is_unheard(&reach), "the next one is not heard either");
    reach.record_report(now, 1, "vm-2");
    reach.look(now + ms(250), &[], held(1), |_| 26);
    assert!(!is_unheard(&reach));
}

#[test]
fn an_empty_block_is_not_unheard_for_ever() {
    let mut reach = Reachability::new(PERIOD);
    let held = |machines| move || BTreeMap::from([(1, ("a".to_owned(), machines))]);
    for step in 0..400 {
        let machines = usize::from(step < 80);
        reach.look(ms(250 * step), &[], held(machines), |_| machines);
    }
    assert!(!reach.holder_hears_none("n-0", "n-0", 1));
}

/// A controller had lost its only machine, and would only take blocks again once two had
/// answered it where there was one.
#[test]
fn no_more_answers_are_needed_than_there_are_machines() {
    let mut reach = Reachability::new(PERIOD);
    let held = || BTreeMap::from([(1, ("a".to_owned(), 1))]);
    let mut now = ms(0);
    while now < ms(20_000) {
        reach.look(now, &[], held, |_| 1);
        now += ms(250);
    }
    reach.look(now, &[], BTreeMap::new, |_| 1);
    assert!(!reach.can_serve_zone(now, "n-0", "n-0", "a"));
    reach.answered(now, "a", "vm-1");
    reach.look(now + ms(250), &[], BTreeMap::new, |_| 1);
    assert!(reach.can_serve_zone(now, "n-0", "n-0", "a"));
}
