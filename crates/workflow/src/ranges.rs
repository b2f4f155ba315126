//! Which ranges of runs are ours.
//!
//! A lease of the state service tells that an instance is up. Ranges of one that
//! is not are taken by whoever comes first: the claim is a write under the
//! condition that nobody else has written since. From then on all writes for
//! the range's runs carry the claim's version as a condition, so that the
//! instance before, should it still be at work, can write nothing any more. The
//! lease only keeps two from working on the same; that no harm is done if they do
//! is due to the conditions.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::state::{Change, Cond, Item, Txn};
use rmpv::Value;

use crate::records::{RangeRecord, get, member_key, put, range_key};

/// How often instances and ranges are looked through.
const SCAN_EVERY: Duration = Duration::from_secs(2);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Get a lease.
    NewLease,
    /// Renew it.
    Touch(u64),
    /// Write that we are up.
    Join(Txn),
    /// Read what is below this prefix, after a key.
    Look(&'static str, Option<String>),
    /// Claim a range, or give it back.
    Claim(u32, Txn, bool),
}

/// All ranges, and those that are ours.
#[derive(Debug)]
pub struct Ranges {
    name: String,
    start: u64,
    count: u32,
    life: Duration,
    lease: Option<u64>,
    joined: bool,
    touched: Duration,
    looked: Option<Duration>,
    /// Instances that are up, with their starts.
    members: BTreeMap<String, u64>,
    seen: BTreeMap<u32, (RangeRecord, u64)>,
    /// Ours, with the versions of our claims.
    held: BTreeMap<u32, u64>,
    busy: bool,
    /// What is still to be looked at in this scan.
    to_look: Vec<&'static str>,
    /// What was found so far.
    found: Vec<Item>,
    to_claim: Vec<(u32, u64, bool)>,
}

impl Ranges {
    /// Nothing is ours yet. `start` differs between starts.
    pub fn new(name: &str, start: u64, count: u32, life: Duration) -> Self {
        Self {
            name: name.to_owned(),
            start,
            count,
            life,
            lease: None,
            joined: false,
            touched: Duration::ZERO,
            looked: None,
            members: BTreeMap::new(),
            seen: BTreeMap::new(),
            held: BTreeMap::new(),
            busy: false,
            to_look: Vec::new(),
            found: Vec::new(),
            to_claim: Vec::new(),
        }
    }

    /// The version of our claim to a range, if it is ours.
    pub fn version(&self, range: u32) -> Option<u64> {
        self.held.get(&range).copied()
    }

    /// Our ranges.
    pub fn held(&self) -> impl Iterator<Item = u32> {
        self.held.keys().copied()
    }

    /// What is to be done next; one thing at a time.
    pub fn next(&mut self, now: Duration) -> Option<Act> {
        if self.busy {
            return None;
        }
        let act = self.choose(now);
        self.busy = act.is_some();
        act
    }

    fn choose(&mut self, now: Duration) -> Option<Act> {
        let Some(lease) = self.lease else {
            return Some(Act::NewLease);
        };
        if now >= self.touched + self.life / 3 {
            self.touched = now;
            return Some(Act::Touch(lease));
        }
        if !self.joined {
            return Some(Act::Join(Txn {
                conds: Vec::new(),
                changes: vec![Change::Put {
                    key: member_key(&self.name),
                    value: Value::from(self.start),
                    lease: Some(lease),
                }],
            }));
        }
        if let Some((range, version, take)) = self.to_claim.pop() {
            let record = RangeRecord {
                holder: if take {
                    self.name.clone()
                } else {
                    String::new()
                },
                start: self.start,
            };
            let key = range_key(range);
            let txn = Txn {
                conds: vec![Cond {
                    key: key.clone(),
                    version,
                }],
                changes: vec![put(key, &record)],
            };
            return Some(Act::Claim(range, txn, take));
        }
        if let Some(prefix) = self.to_look.last() {
            let after = self.found.last().map(|i| i.key.clone());
            return Some(Act::Look(prefix, after));
        }
        if self.looked.is_none_or(|at| now >= at + SCAN_EVERY) {
            self.looked = Some(now);
            // Members last: whoever claims has been seen to be up.
            self.to_look = vec!["wf/m/", "wf/g/"];
            self.found.clear();
            return self.to_look.last().map(|prefix| Act::Look(prefix, None));
        }
        None
    }

    /// A lease, or none.
    pub fn leased(&mut self, now: Duration, lease: Option<u64>) {
        self.busy = false;
        self.lease = lease;
        self.joined = false;
        self.touched = now;
    }

    /// Whether the lease was renewed; if not, others may have our ranges.
    pub fn touched(&mut self, good: bool) {
        self.busy = false;
        if !good {
            self.lease = None;
            self.joined = false;
            self.held.clear();
        }
    }

    /// Whether it is written that we are up.
    pub fn joined(&mut self, good: bool) {
        self.busy = false;
        self.joined = good;
        if !good {
            self.lease = None;
        }
    }

    /// Something did not work; it is tried again.
    pub fn failed(&mut self) {
        self.busy = false;
        // Half a look is worse than none.
        self.to_look.clear();
    }

    /// A page of what is below a prefix.
    pub fn looked(&mut self, prefix: &str, items: Vec<Item>, more: bool) {
        self.busy = false;
        self.found.extend(items);
        if more {
            return;
        }
        self.to_look.pop();
        let items = std::mem::take(&mut self.found);
        let last = |key: &str| key.rsplit('/').next().unwrap_or_default().to_owned();
        if prefix == "wf/m/" {
            let members = items.iter();
            let members = members.filter_map(|i| Some((last(&i.key), i.value.as_u64()?)));
            self.members = members.collect();
            self.decide();
        } else {
            let ranges = items.iter().filter_map(|item| {
                let range = last(&item.key).parse().ok()?;
                Some((range, (get(item)?, item.version)))
            });
            self.seen = ranges.collect();
        }
    }

    fn is_ours(&self, record: &RangeRecord) -> bool {
        record.holder == self.name && record.start == self.start
    }

    fn decide(&mut self) {
        let seen = std::mem::take(&mut self.seen);
        self.held = seen
            .iter()
            .filter(|(_, (record, _))| self.is_ours(record))
            .map(|(range, (_, version))| (*range, *version))
            .collect();
        let up = self.members.len().max(1) as u32;
        let fair = self.count.div_ceil(up) as usize;
        self.to_claim.clear();
        for range in 0..self.count {
            let (free, version) = match seen.get(&range) {
                None => (true, 0),
                Some((record, version)) => {
                    // Whoever came back under the same name is another one.
                    let up = self.members.get(&record.holder) == Some(&record.start);
                    (!up && !self.is_ours(record), *version)
                }
            };
            if free && self.held.len() + self.to_claim.len() < fair {
                self.to_claim.push((range, version, true));
            }
        }
        // Somebody who came later gets a fair part, one after the other.
        if self.to_claim.is_empty()
            && self.held.len() > fair
            && let Some((range, version)) = self.held.pop_last()
        {
            self.to_claim.push((range, version, false));
        }
    }

    /// Whether a claim was written, and in which revision.
    pub fn claimed(&mut self, range: u32, take: bool, revision: Option<u64>) {
        self.busy = false;
        if let (true, Some(version)) = (take, revision) {
            self.held.insert(range, version);
        }
    }

    /// Somebody else has written to this range.
    pub fn lost(&mut self, range: u32) {
        self.held.remove(&range);
        self.looked = None;
    }
}
