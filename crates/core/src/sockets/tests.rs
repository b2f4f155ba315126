use super::*;

const S: Duration = Duration::from_secs(1);

fn settings(max_sockets: usize) -> Settings {
    let text = format!(
        r#"{{"member":"n-0","site":"a","bind":"10.0.0.1:80","internal_addr":"10.0.0.1:81",
            "members":[{{"member":"n-1","site":"a","endpoint":"10.0.0.2:81"}}],
            "outside":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
            "deployment":{{"zones":["a"],"teams":[],
            "workers":{{"report_s":6.0,"lease_s":28.0,"cancel_s":48.0}},
            "state":{{"rps":10,"write_rps":5,"value_kb":16,"txn_ops":20}},
            "cloud":{{"rps":2,"list_lag_s":3}},"limits":{{"max_sockets":{max_sockets}}}}}}}"#
    );
    Settings::parse(&text).expect("good settings")
}

/// Opens a connection on which a worker reports and gets its answer.
fn worker(sockets: &mut Sockets, now: Duration, id: u64, name: &str) -> Vec<Close> {
    let mut close = sockets.connection_opened(now, SocketId(id), Listener::Public);
    sockets.request_received(now, SocketId(id), id);
    close.extend(sockets.identify_worker(now, id, name));
    sockets.request_answered(now, id);
    close
}

#[test]
fn shares_add_up_to_the_total() {
    for most in [32, 100, 1000, 2514, 100_000] {
        let shares = Shares::new(&settings(most));
        assert_eq!(
            shares.users + shares.workers + shares.peers + shares.outside,
            shares.total
        );
        assert!(shares.total < most && shares.users >= 4 && shares.outside >= 2);
        assert!(shares.orders <= shares.workers, "{shares:?}");
    }
}

#[test]
fn a_new_connection_of_a_worker_closes_its_older_one() {
    let mut sockets = Sockets::new(&settings(100));
    assert_eq!(worker(&mut sockets, S, 1, "vm-1"), []);
    let older = Close::Inbound(SocketId(1));
    assert_eq!(worker(&mut sockets, 2 * S, 2, "vm-1"), [older]);
    // A delayed report on an older connection does not close the newer one.
    sockets.connection_opened(3 * S, SocketId(4), Listener::Public);
    assert_eq!(worker(&mut sockets, 4 * S, 5, "vm-2"), []);
    sockets.request_received(5 * S, SocketId(4), 4);
    let late = Close::Inbound(SocketId(4));
    assert_eq!(sockets.identify_worker(5 * S, 4, "vm-2"), [late]);
    assert!(sockets.sockets.contains_key(&SocketId(5)));
}

/// Hundreds of workers abandoned a connection every few seconds, and users and health probes
/// were rejected until these connections were closed.
#[test]
fn users_are_accepted_while_workers_open_many_connections() {
    let mut sockets = Sockets::new(&settings(200));
    let (mut id, mut evicted) = (0, 0);
    for tick in 0..400u32 {
        let now = S * tick / 10;
        for _ in 0..20 {
            id += 1;
            let close = worker(&mut sockets, now, id, &format!("vm-{id}"));
            evicted += close.len();
        }
        id += 1;
        let probe = SocketId(id);
        let close = sockets.connection_opened(now, probe, Listener::Public);
        assert!(!close.contains(&Close::Inbound(probe)), "at {now:?}");
        sockets.request_received(now, probe, id);
        sockets.request_answered(now, id);
        sockets.connection_closed(probe);
        assert!(sockets.open_count() <= sockets.shares.total);
    }
    assert!(evicted > 5000, "{evicted}");
}

#[test]
fn orders_to_workers_are_bounded() {
    let mut sockets = Sockets::new(&settings(200));
    let most = sockets.shares.orders;
    let mut unresponsive = 0;
    while sockets.may_send_order(true) {
        sockets.call_started(S, OutboundKind::Orders, true);
        unresponsive += 1;
    }
    assert!(
        unresponsive <= most / UNRESPONSIVE_DIVISOR,
        "{unresponsive} of {most}"
    );
    let mut calls = unresponsive;
    while sockets.may_send_order(false) {
        sockets.call_started(S, OutboundKind::Orders, false);
        calls += 1;
    }
    assert_eq!(calls, most);
    sockets.call_finished(OutboundKind::Orders, true);
    assert!(sockets.may_send_order(true));
}

/// A simple reference model of the open connections.
#[derive(Default)]
struct Model {
    /// Id, group, last activity, whether a request is unanswered, worker.
    inbound: Vec<(u64, Group, Duration, bool, Option<String>)>,
    calls: [usize; 3],
    idle: usize,
}

impl Model {
    fn used(&self, group: Group) -> usize {
        let inbound = self.inbound.iter().filter(|c| c.1 == group).count();
        let kinds = OutboundKind::ALL.into_iter().filter(|l| l.group() == group);
        let calls: usize = kinds.map(|l| self.calls[l as usize]).sum();
        inbound
            + calls
            + if group == Group::Workers {
                self.idle
            } else {
                0
            }
    }

    fn open_count(&self) -> usize {
        GROUPS.iter().map(|g| self.used(*g)).sum()
    }

    fn least_recent(&self, may: impl Fn(&Self, usize) -> bool) -> Option<u64> {
        let may = (0..self.inbound.len()).filter(|i| may(self, *i));
        let first = may.min_by_key(|i| (self.inbound[*i].2, self.inbound[*i].0));
        first.map(|i| self.inbound[i].0)
    }

    /// The connection to close for one more of this group.
    fn victim(&self, now: Duration, group: Group, sockets: &Sockets) -> Option<Close> {
        if self.idle > 0 {
            return Some(Close::Idle(OutboundKind::Orders, 1));
        }
        let first = self.least_recent(|p, i| p.inbound[i].1 == Group::Workers);
        let stale_worker = first.filter(|id| {
            let inbound = self
                .inbound
                .iter()
                .find(|c| c.0 == *id)
                .expect("the connection is open");
            let busy = if inbound.3 { S * 4 } else { S * 13 };
            now >= inbound.2 + busy
        });
        let shares = &sockets.shares;
        let short = self.used(group) < shares.of(group);
        let borrowed = |g: Group| self.used(g).saturating_sub(shares.of(g));
        let borrowers = [Group::Users, Group::Workers, Group::Peers];
        let from = if short {
            // Among groups that borrowed equally the last one is taken.
            let most = borrowers.into_iter().max_by_key(|g| borrowed(*g));
            most.filter(|g| borrowed(*g) > 0)
        } else {
            Some(group)
        };
        let of_group = |p: &Self, i: usize| Some(p.inbound[i].1) == from;
        let can_go = |p: &Self, i: usize| {
            let least = if p.inbound[i].3 {
                S * 5
            } else {
                Duration::ZERO
            };
            of_group(p, i) && now >= p.inbound[i].2 + least
        };
        let id = stale_worker.or_else(|| self.least_recent(can_go));
        let id = id.or_else(|| self.least_recent(|p, i| short && of_group(p, i)));
        id.map(|id| Close::Inbound(SocketId(id)))
    }

    fn close(&mut self, close: Close) {
        match close {
            Close::Inbound(id) => self.inbound.retain(|c| c.0 != id.0),
            Close::Idle(..) => self.idle -= 1,
        }
    }
}

#[test]
fn random_sequences_agree_with_the_model() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sockets = Sockets::new(&settings(rng.usize(32..90)));
        let mut model = Model::default();
        let mut now = S;
        let (mut evicted, mut refused) = (0, 0);
        for id in 1..1500u64 {
            now += Duration::from_millis(rng.u64(0..250));
            for close in sockets.tick(now) {
                model.close(close);
            }
            assert!(model.inbound.iter().all(|c| now < c.2 + IDLE_TIMEOUT));
            if rng.u8(0..8) == 0 {
                let kind = rng.choice(OutboundKind::ALL).expect("one");
                let begins =
                    rng.bool() && (kind != OutboundKind::Orders || sockets.may_send_order(false));
                if begins && sockets.used(kind.group()) < sockets.shares.of(kind.group()) {
                    while model.open_count() >= sockets.shares.total {
                        let victim = model.victim(now, kind.group(), &sockets);
                        model.close(victim.expect("a group below its share gets a socket"));
                    }
                    sockets.call_started(now, kind, false);
                    model.calls[kind as usize] += 1;
                } else if model.calls[kind as usize] > 0 {
                    sockets.call_finished(kind, false);
                    model.calls[kind as usize] -= 1;
                    if kind == OutboundKind::Orders {
                        model.idle += 1;
                        sockets.set_idle([0, 0, model.idle]);
                    }
                }
                continue;
            }
            let listener = if rng.u8(0..10) == 0 {
                Listener::Internal
            } else {
                Listener::Public
            };
            let group = if listener == Listener::Internal {
                Group::Peers
            } else {
                Group::Users
            };
            let mut expected = Vec::new();
            let within_share = model.used(group) < sockets.shares.of(group);
            while model.open_count() >= sockets.shares.total {
                let Some(victim) = model.victim(now, group, &sockets) else {
                    expected.push(Close::Inbound(SocketId(id)));
                    break;
                };
                expected.push(victim);
                model.close(victim);
            }
            assert_eq!(
                sockets.connection_opened(now, SocketId(id), listener),
                expected,
                "{seed}"
            );
            evicted += expected.len();
            if expected.contains(&Close::Inbound(SocketId(id))) {
                assert!(
                    !within_share,
                    "{seed}: {group:?} is rejected below its share"
                );
                refused += 1;
                continue;
            }
            model.inbound.push((id, group, now, false, None));
            // Some connections send a request, some of these are from workers, and most are
            // answered.
            if rng.u8(0..4) > 0 {
                let inbound = model.inbound.len() - 1;
                sockets.request_received(now, SocketId(id), id);
                model.inbound[inbound].3 = true;
                if listener == Listener::Public && rng.bool() {
                    let name = format!("vm-{}", rng.u8(0..60));
                    let older = model.inbound.iter().find(|c| c.4.as_ref() == Some(&name));
                    let older = older.map(|c| c.0);
                    model.inbound[inbound].1 = Group::Workers;
                    model.inbound[inbound].4 = Some(name.clone());
                    let close = sockets.identify_worker(now, id, &name);
                    assert!(older.is_none_or(|o| close.contains(&Close::Inbound(SocketId(o)))));
                    for close in close {
                        model.close(close);
                    }
                }
                if rng.u8(0..6) > 0 {
                    sockets.request_answered(now, id);
                    if let Some(inbound) = model.inbound.iter_mut().find(|c| c.0 == id) {
                        inbound.3 = false;
                    }
                }
            }
            if rng.u8(0..3) == 0
                && let Some(ends) = rng.choice(0..model.inbound.len())
            {
                let id = model.inbound.remove(ends).0;
                sockets.connection_closed(SocketId(id));
            }
            assert_eq!(sockets.open_count(), model.open_count(), "seed {seed}");
            for group in GROUPS {
                assert_eq!(sockets.used(group), model.used(group), "seed {seed}");
            }
        }
        assert!(evicted > 50 && refused < 700, "{seed}: {evicted} {refused}");
    }
}
