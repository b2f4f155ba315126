//! Simulated state service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oliveshift_core::{Call, Method};
use oliveshift_wire::{
    decode, encode,
    job::Refusal,
    state::{
        Change, Event, Events, Item, LeaseGrant, LeaseRequest, MAX_TXN_BYTES, Page, Txn, TxnAnswer,
        json_len,
    },
};
use rmpv::Value;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct LeaseEntry {
    ttl: Duration,
    expires_at: Duration,
}

/// Keys and values, the log of changes, and leases.
#[derive(Default)]
pub struct StateService {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    log: Vec<(u64, Event)>,
    /// Number of newest changes that are retained; `None` for all.
    max_log_events: Option<usize>,
    leases: BTreeMap<u64, LeaseEntry>,
    next_lease_id: u64,
    limits: Limits,
    /// Changes permitted now, as tokens of a bucket filled at `write_rps`.
    tokens: f64,
    tokens_updated_at: Duration,
    /// Number of transactions rejected for their size, and for exceeding the rate.
    pub refused: (usize, usize),
    /// Number of requests for changes that were no longer retained.
    pub too_old: usize,
}

/// Limits on transactions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Maximum size of a value, in bytes of its JSON form.
    pub value_bytes: usize,
    /// Maximum rate of changes per second, with a burst of up to one second's worth.
    pub write_rps: f64,
}

/// Result of a request.
pub enum StateResponse {
    /// An answer with status and body.
    Answer(u16, Vec<u8>),
    /// A watch that waits for changes.
    Wait {
        /// The watch waits for changes after this revision.
        after: u64,
        /// Maximum time to wait.
        block: Duration,
    },
}

fn error(status: u16, text: &str) -> StateResponse {
    let body = encode(&Refusal { error: text.into() });
    StateResponse::Answer(status, body)
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl StateService {
    /// Creates an empty state service.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            tokens: limits.write_rps,
            ..Self::default()
        }
    }

    /// Sets new limits. Stored values that exceed them stay.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Limits the log to the newest `most` changes. A client that requests older ones has to
    /// read all keys again.
    pub fn retain_changes(&mut self, most: usize) {
        self.max_log_events = Some(most);
    }

    /// Executes a request.
    pub fn execute(&mut self, now: Duration, call: &Call) -> StateResponse {
        let path = call.path.split('?').next().unwrap_or_default();
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (call.method, parts.as_slice()) {
            (Method::Post, ["multi"]) => match decode::<Txn>(&call.body) {
                Ok(txn) => self.txn(now, txn),
                Err(e) => error(400, &e.to_string()),
            },
            (Method::Post, ["holds"]) => match decode::<LeaseRequest>(&call.body) {
                Ok(new_lease) => {
                    self.next_lease_id += 1;
                    let ttl = Duration::from_millis(new_lease.ttl_ms);
                    let expires_at = now + ttl;
                    self.leases
                        .insert(self.next_lease_id, LeaseEntry { ttl, expires_at });
                    let lease = self.next_lease_id;
                    StateResponse::Answer(200, encode(&LeaseGrant { lease }))
                }
                Err(e) => error(400, &e.to_string()),
            },
            (Method::Post, ["holds", id, "touch"]) => {
                let lease = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
                match lease {
                    Some(lease) => {
                        lease.expires_at = now + lease.ttl;
                        error(200, "")
                    }
                    None => error(404, "no such lease"),
                }
            }
            (Method::Get, ["kv"]) => self.page(&call.path),
            (Method::Get, ["changes"]) => {
                let after = query(&call.path, "after").and_then(|a| a.parse().ok());
                let block = query(&call.path, "block_ms").and_then(|a| a.parse().ok());
                let after = after.unwrap_or(0);
                if block.is_none() || self.revision > after {
                    let (status, body) = self.changes(after);
                    StateResponse::Answer(status, body)
                } else {
                    let block = Duration::from_millis(block.unwrap_or(0));
                    StateResponse::Wait { after, block }
                }
            }
            _ => error(404, "no such path"),
        }
    }

    fn page(&self, path: &str) -> StateResponse {
        let starts = query(path, "starts").unwrap_or_default();
        let after = query(path, "after").unwrap_or_default();
        // Small pages, so that first reads need several.
        let most = 7;
        let fits = |k: &&String| k.starts_with(starts) && k.as_str() > after;
        let mut keys: Vec<_> = self.keys.keys().filter(fits).collect();
        let more = keys.len() > most;
        keys.truncate(most);
        let items = keys.into_iter().map(|key| Item {
            key: key.clone(),
            value: self.keys[key].value.clone(),
            version: self.keys[key].version,
        });
        let page = Page {
            items: items.collect(),
            more,
            revision: self.revision,
        };
        StateResponse::Answer(200, encode(&page))
    }

    /// Status and body of the answer with all changes after a revision; 410 if some of them
    /// are no longer retained.
    pub fn changes(&mut self, after: u64) -> (u16, Vec<u8>) {
        let most = self.max_log_events.unwrap_or(usize::MAX);
        let dropped = self.log.len().saturating_sub(most);
        if dropped > 0 && self.log[dropped - 1].0 > after {
            self.too_old += 1;
            let error = "these changes are no longer kept".to_owned();
            return (410, encode(&Refusal { error }));
        }
        let events = self.log.iter().filter(|(r, _)| *r > after);
        let events = Events {
            revision: self.revision,
            events: events.map(|(_, e)| e.clone()).collect(),
        };
        (200, encode(&events))
    }

    /// Version and value of a key.
    pub fn entry(&self, key: &str) -> Option<(u64, &Value)> {
        let entry = self.keys.get(key);
        entry.map(|e| (e.version, &e.value))
    }

    /// When the lease of a key expires unless it is renewed; `None` for a key without a lease.
    pub fn lease_expires_at(&self, key: &str) -> Option<Duration> {
        let lease = self.keys.get(key)?.lease?;
        Some(self.leases.get(&lease)?.expires_at)
    }

    /// Whether, after a revision, a key with the prefix `first` was changed and later one with the
    /// prefix `second`.
    pub fn has_changed_in_order(&self, after: u64, first: &str, second: &str) -> bool {
        let start = self.log.partition_point(|(revision, _)| *revision <= after);
        let mut keys = self.log[start..].iter().map(|(_, event)| event.key());
        keys.any(|key| key.starts_with(first)) && keys.any(|key| key.starts_with(second))
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a transaction is within the size limits.
    fn is_within_limits(&self, txn: &Txn) -> bool {
        let small = |change: &Change| match change {
            Change::Put { value, .. } => json_len(value) <= self.limits.value_bytes,
            Change::Delete { .. } => true,
        };
        txn.changes.len() <= self.limits.txn_ops
            && txn.conds.len() <= 4 * self.limits.txn_ops
            && txn.changes.iter().all(small)
            && json_len(txn) <= MAX_TXN_BYTES
    }

    /// Takes tokens for a number of changes; false if the rate limit does not permit them.
    fn take_tokens(&mut self, now: Duration, changes: f64) -> bool {
        let rate = self.limits.write_rps;
        let passed = now.saturating_sub(self.tokens_updated_at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(rate);
        self.tokens_updated_at = now;
        let enough = self.tokens >= changes;
        if enough {
            self.tokens -= changes;
        }
        enough
    }

    fn txn(&mut self, now: Duration, txn: Txn) -> StateResponse {
        if !self.is_within_limits(&txn) {
            self.refused.0 += 1;
            return error(
                400,
                "transaction too large: too many operations or a value or body beyond its limit",
            );
        }
        if !self.take_tokens(now, txn.changes.len() as f64) {
            self.refused.1 += 1;
            return error(429, "too many changes per second");
        }
        for change in &txn.changes {
            if let Change::Put { lease: Some(l), .. } = change
                && !self.leases.contains_key(l)
            {
                return error(400, "no such lease");
            }
        }
        let version = |key: &String| self.keys.get(key).map_or(0, |e| e.version);
        let failed: Vec<_> = txn
            .conds
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return StateResponse::Answer(409, encode(&TxnAnswer { revision, failed }));
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        for change in txn.changes {
            self.change(change);
        }
        let answer = TxnAnswer {
            revision: self.revision,
            failed: Vec::new(),
        };
        StateResponse::Answer(200, encode(&answer))
    }

    fn change(&mut self, change: Change) {
        let version = self.revision;
        let event = match change {
            Change::Put { key, value, lease } => {
                let entry = Entry {
                    value: value.clone(),
                    version,
                    lease,
                };
                self.keys.insert(key.clone(), entry);
                Event::Put {
                    key,
                    value,
                    version,
                }
            }
            Change::Delete { key } => {
                if self.keys.remove(&key).is_none() {
                    return;
                }
                Event::Delete { key, version }
            }
        };
        self.log.push((version, event));
    }

    /// Expires leases that were not renewed in time, and deletes the keys attached to them.
    pub fn expire_leases(&mut self, now: Duration) {
        let over: BTreeSet<_> = self
            .leases
            .iter()
            .filter(|(_, h)| h.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        if over.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !over.contains(id));
        let attached = |e: &Entry| e.lease.is_some_and(|l| over.contains(&l));
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, e)| attached(e))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.change(Change::Delete { key });
        }
    }

    /// Renews all leases for their full time; called at the end of an outage.
    pub fn refresh_leases(&mut self, now: Duration) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }
}
