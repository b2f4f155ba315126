//! The state service: keys, transactions, leases and watches, by the protocol page.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Req, Resp},
    mp::{V, map},
};

#[derive(Default)]
struct Inner {
    rev: u64,
    keys: BTreeMap<String, (V, u64, Option<u64>)>,
    log: VecDeque<(u64, String, V)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    value_bytes: usize,
    txn_ops: usize,
}

impl State {
    pub fn new(value_kb: f64, txn_ops: usize) -> Arc<State> {
        let state = Arc::new(State {
            inner: Mutex::default(),
            changed: Condvar::new(),
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        });
        let ticking = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.expire();
            }
        });
        state
    }

    /// Serves a free port.
    pub fn address(self: &Arc<State>) -> SocketAddr {
        let state = self.clone();
        http::serve(Arc::new(move |req| state.handle(&req)))
    }

    pub fn get(&self, key: &str) -> Option<V> {
        self.inner
            .lock()
            .unwrap()
            .keys
            .get(key)
            .map(|k| k.0.clone())
    }

    /// The revision of a key's last change; 0 if it does not exist.
    pub fn stamp(&self, key: &str) -> u64 {
        self.inner.lock().unwrap().keys.get(key).map_or(0, |k| k.1)
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, l)| now > l.1)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            inner.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, req: &Req) -> Resp {
        let parts: Vec<&str> = req.path.trim_start_matches('/').splitn(2, '/').collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => self.list(req),
            ("GET", ["kv", key]) => {
                let inner = self.inner.lock().unwrap();
                match inner.keys.get(*key) {
                    Some((v, stamp, lease)) => answer(
                        200,
                        map(vec![
                            ("path", (*key).into()),
                            ("v", v.clone()),
                            ("stamp", (*stamp).into()),
                            ("grant", lease.map_or(V::Nil, V::U)),
                        ]),
                    ),
                    None => answer(404, map(vec![("generation", inner.rev.into())])),
                }
            }
            ("POST", ["multi"]) => self.multi(req),
            ("POST", ["holds"]) => {
                let life = V::decode(&req.body).unwrap_or(V::Nil).get("life_ms").u();
                if !(100..=600_000).contains(&life) {
                    return answer(400, map(vec![("error", "life_ms".into())]));
                }
                let mut inner = self.inner.lock().unwrap();
                inner.next_lease += 1;
                let id = inner.next_lease;
                let life = Duration::from_millis(life);
                inner.leases.insert(id, (life, Instant::now() + life));
                answer(200, map(vec![("grant", id.into())]))
            }
            ("POST", ["holds", rest]) => {
                let id = rest.split('/').next().and_then(|s| s.parse::<u64>().ok());
                let mut inner = self.inner.lock().unwrap();
                match id.and_then(|id| inner.leases.get_mut(&id)) {
                    Some((life, end)) => {
                        *end = Instant::now() + *life;
                        answer(200, map(vec![]))
                    }
                    None => answer(404, map(vec![])),
                }
            }
            ("DELETE", ["holds", id]) => {
                let id = id.parse().unwrap_or(0);
                self.inner.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                answer(200, map(vec![]))
            }
            ("GET", ["changes"]) => self.changes(req),
            _ => answer(400, map(vec![("error", "no such call".into())])),
        }
    }

    fn list(&self, req: &Req) -> Resp {
        let inner = self.inner.lock().unwrap();
        let (prefix, after) = (req.q("starts"), req.q("after"));
        let most: usize = req.q("most").parse().unwrap_or(1000).min(1000);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (v, stamp, _)) in inner.keys.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            let item = map(vec![
                ("path", key.clone().into()),
                ("v", v.clone()),
                ("stamp", (*stamp).into()),
            ]);
            bytes += item.json().len();
            if items.len() >= most || bytes > 512 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        answer(
            200,
            map(vec![
                ("items", items.into()),
                ("truncated", more.into()),
                ("generation", inner.rev.into()),
            ]),
        )
    }

    fn multi(&self, req: &Req) -> Resp {
        let bad = |why: &str| answer(400, map(vec![("error", why.into())]));
        let Some(txn) = V::decode(&req.body) else {
            return bad("malformed");
        };
        let changes = txn.get("then").list().to_vec();
        let conds = txn.get("if").list().to_vec();
        if changes.len() > self.txn_ops || conds.len() > 4 * self.txn_ops {
            return bad("too many operations");
        }
        if txn.json().len() > 64 * 1024 {
            return bad("transaction too large");
        }
        if changes
            .iter()
            .any(|c| !c.get("v").is_nil() && c.get("v").json().len() > self.value_bytes)
        {
            return bad("value too large");
        }
        let mut inner = self.inner.lock().unwrap();
        for c in &changes {
            let lease = c.get("grant");
            if !lease.is_nil() && !inner.leases.contains_key(&lease.u()) {
                return bad("no such lease");
            }
        }
        let holds = |c: &&V| {
            let stamp = inner.keys.get(c.get("path").str()).map_or(0, |k| k.1);
            stamp == c.get("stamp").u()
        };
        let failed: Vec<V> = conds
            .iter()
            .filter(|c| !holds(c))
            .map(|c| c.get("path").clone())
            .collect();
        if !failed.is_empty() {
            return answer(
                409,
                map(vec![
                    ("failed", failed.into()),
                    ("generation", inner.rev.into()),
                ]),
            );
        }
        if !changes.is_empty() {
            inner.rev += 1;
            for c in changes {
                match c.get("write") {
                    V::S(key) => {
                        let lease = c.get("grant");
                        let lease = (!lease.is_nil()).then(|| lease.u());
                        inner.put(key, c.get("v").clone(), lease);
                    }
                    _ => {
                        let key = c.get("drop").str().to_owned();
                        inner.remove(&key);
                    }
                }
            }
        }
        let rev = inner.rev;
        drop(inner);
        self.changed.notify_all();
        answer(200, map(vec![("generation", rev.into())]))
    }

    fn changes(&self, req: &Req) -> Resp {
        let after: u64 = req.q("after").parse().unwrap_or(0);
        let block = Duration::from_millis(req.q("block_ms").parse().unwrap_or(0).min(60_000));
        let prefix = req.q("starts").to_owned();
        let ends = Instant::now() + block;
        let mut inner = self.inner.lock().unwrap();
        loop {
            if inner.log.front().is_some_and(|(rev, ..)| *rev > after + 1)
                && inner.log.len() >= 10_000
            {
                return answer(410, map(vec![]));
            }
            let new = inner.log.iter().rev().take_while(|(rev, ..)| *rev > after);
            let mut new: Vec<V> = new
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(.., v)| v.clone())
                .collect();
            new.reverse();
            let now = Instant::now();
            if !new.is_empty() || now >= ends {
                return answer(
                    200,
                    map(vec![("generation", inner.rev.into()), ("log", new.into())]),
                );
            }
            let wait = ends
                .saturating_duration_since(now)
                .clamp(Duration::from_millis(5), Duration::from_millis(200));
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }
}

impl Inner {
    fn put(&mut self, key: &str, v: V, lease: Option<u64>) {
        let rev = self.rev;
        self.keys.insert(key.to_owned(), (v.clone(), rev, lease));
        let event = map(vec![("write", key.into()), ("v", v), ("stamp", rev.into())]);
        self.note(key, event);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = map(vec![("drop", key.into()), ("stamp", self.rev.into())]);
            self.note(key, event);
        }
    }

    fn note(&mut self, key: &str, event: V) {
        self.log.push_back((self.rev, key.to_owned(), event));
        while self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.keys.iter().filter(|(_, k)| k.2 == Some(id));
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

pub fn answer(status: u16, body: V) -> Resp {
    Resp::Answer(status, body.encode())
}
