//! Decides which ranges of runs this instance holds.
//!
//! A lease in the state service marks an instance as live. The first live instance that writes a
//! claim takes over a range whose holder is not live; the write is conditional on the version
//! that was read. All later writes for the range's runs carry the claim's version as a condition.
//! The version acts as a fencing token: the previous holder can no longer write, even if it is
//! still running. The lease only avoids duplicate work; safety depends on the conditions alone.

use std::{collections::BTreeMap, time::Duration};

use oliveshift_wire::state::{Change, Cond, Item, Txn};
use rmpv::Value;

use crate::records::{RangeRecord, member_key, parse_record, put_record, range_key};

/// How often the records of instances and ranges are read.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Next request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Request a lease.
    GrantLease,
    /// Renew the lease.
    RenewLease(u64),
    /// Write this instance's membership record.
    RegisterMember(Txn),
    /// Read a page of the keys below a prefix, after a key.
    ReadPage(&'static str, Option<String>),
    /// Write the claim of a range: acquire it if the flag is set, otherwise release it.
    WriteClaim(u32, Txn, bool),
}

/// All ranges, and the ones that this instance holds.
#[derive(Debug)]
pub struct Ranges {
    name: String,
    start: u64,
    range_count: u32,
    lease_duration: Duration,
    lease: Option<u64>,
    registered: bool,
    renewed_at: Duration,
    scanned_at: Option<Duration>,
    /// Live instances with their start numbers.
    members: BTreeMap<String, u64>,
    seen_ranges: BTreeMap<u32, (RangeRecord, u64)>,
    /// Ranges held by this instance, with the versions of its claims.
    held: BTreeMap<u32, u64>,
    in_flight: bool,
    /// Prefixes still to be read in this scan; the last one is read first.
    prefixes_to_read: Vec<&'static str>,
    /// Items read so far below the current prefix.
    items_read: Vec<Item>,
    claims_to_write: Vec<(u32, u64, bool)>,
}

impl Ranges {
    /// An instance that holds no ranges yet. `start` differs between starts of the instance.
    pub fn new(name: &str, start: u64, range_count: u32, lease_duration: Duration) -> Self {
        Self {
            name: name.to_owned(),
            start,
            range_count,
            lease_duration,
            lease: None,
            registered: false,
            renewed_at: Duration::ZERO,
            scanned_at: None,
            members: BTreeMap::new(),
            seen_ranges: BTreeMap::new(),
            held: BTreeMap::new(),
            in_flight: false,
            prefixes_to_read: Vec::new(),
            items_read: Vec::new(),
            claims_to_write: Vec::new(),
        }
    }

    /// Version of this instance's claim to a range, if it holds the range.
    pub fn version(&self, range: u32) -> Option<u64> {
        self.held.get(&range).copied()
    }

    /// Ranges that this instance holds.
    pub fn held(&self) -> impl Iterator<Item = u32> {
        self.held.keys().copied()
    }

    /// Next request to send. At most one is in flight.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        if self.in_flight {
            return None;
        }
        let action = self.choose_action(now);
        self.in_flight = action.is_some();
        action
    }

    fn choose_action(&mut self, now: Duration) -> Option<Action> {
        let Some(lease) = self.lease else {
            return Some(Action::GrantLease);
        };
        if now >= self.renewed_at + self.lease_duration / 3 {
            self.renewed_at = now;
            return Some(Action::RenewLease(lease));
        }
        if !self.registered {
            return Some(Action::RegisterMember(Txn {
                conds: Vec::new(),
                changes: vec![Change::Put {
                    key: member_key(&self.name),
                    value: Value::from(self.start),
                    lease: Some(lease),
                }],
            }));
        }
        if let Some((range, version, acquire)) = self.claims_to_write.pop() {
            let record = RangeRecord {
                holder: if acquire {
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
                changes: vec![put_record(key, &record)],
            };
            return Some(Action::WriteClaim(range, txn, acquire));
        }
        if let Some(prefix) = self.prefixes_to_read.last() {
            let after = self.items_read.last().map(|i| i.key.clone());
            return Some(Action::ReadPage(prefix, after));
        }
        if self.scanned_at.is_none_or(|at| now >= at + SCAN_INTERVAL) {
            self.scanned_at = Some(now);
            // Ranges are read before members, so that the holder of every claim that was read
            // has registered by the time members are read.
            self.prefixes_to_read = vec!["wf/m/", "wf/g/"];
            self.items_read.clear();
            return self
                .prefixes_to_read
                .last()
                .map(|prefix| Action::ReadPage(prefix, None));
        }
        None
    }

    /// Records the answer to a lease request; `None` if no lease was granted.
    pub fn lease_granted(&mut self, now: Duration, lease: Option<u64>) {
        self.in_flight = false;
        self.lease = lease;
        self.registered = false;
        self.renewed_at = now;
    }

    /// Records whether the lease was renewed. If not, other instances may have taken the ranges.
    pub fn lease_renewed(&mut self, success: bool) {
        self.in_flight = false;
        if !success {
            self.lease = None;
            self.registered = false;
            self.held.clear();
        }
    }

    /// Records whether the membership record was written.
    pub fn member_registered(&mut self, success: bool) {
        self.in_flight = false;
        self.registered = success;
        if !success {
            self.lease = None;
        }
    }

    /// Records a failed request. The next scan starts from the beginning.
    pub fn request_failed(&mut self) {
        self.in_flight = false;
        // An incomplete list would make live holders or their claims look absent.
        self.prefixes_to_read.clear();
    }

    /// Adds a page of the items below a prefix.
    pub fn page_read(&mut self, prefix: &str, items: Vec<Item>, more: bool) {
        self.in_flight = false;
        self.items_read.extend(items);
        if more {
            return;
        }
        self.prefixes_to_read.pop();
        let items = std::mem::take(&mut self.items_read);
        let last_segment = |key: &str| key.rsplit('/').next().unwrap_or_default().to_owned();
        if prefix == "wf/m/" {
            let members = items.iter();
            let members = members.filter_map(|i| Some((last_segment(&i.key), i.value.as_u64()?)));
            self.members = members.collect();
            self.plan_claims();
        } else {
            let ranges = items.iter().filter_map(|item| {
                let range = last_segment(&item.key).parse().ok()?;
                Some((range, (parse_record(item)?, item.version)))
            });
            self.seen_ranges = ranges.collect();
        }
    }

    fn is_own_claim(&self, record: &RangeRecord) -> bool {
        record.holder == self.name && record.start == self.start
    }

    /// Decides from a complete scan which ranges to acquire or release.
    fn plan_claims(&mut self) {
        let seen_ranges = std::mem::take(&mut self.seen_ranges);
        self.held = seen_ranges
            .iter()
            .filter(|(_, (record, _))| self.is_own_claim(record))
            .map(|(range, (_, version))| (*range, *version))
            .collect();
        let live_instances = self.members.len().max(1) as u32;
        let fair_share = self.range_count.div_ceil(live_instances) as usize;
        self.claims_to_write.clear();
        for range in 0..self.range_count {
            let (free, version) = match seen_ranges.get(&range) {
                None => (true, 0),
                Some((record, version)) => {
                    // A restarted instance with the same name has another start number and does
                    // not hold the earlier claims.
                    let live = self.members.get(&record.holder) == Some(&record.start);
                    (!live && !self.is_own_claim(record), *version)
                }
            };
            if free && self.held.len() + self.claims_to_write.len() < fair_share {
                self.claims_to_write.push((range, version, true));
            }
        }
        // At most one range is released per scan while this instance holds more than its fair
        // share, so that instances that joined later get theirs.
        if self.claims_to_write.is_empty()
            && self.held.len() > fair_share
            && let Some((range, version)) = self.held.pop_last()
        {
            self.claims_to_write.push((range, version, false));
        }
    }

    /// Records the answer to a claim: the revision in which it was written, if it was.
    pub fn claim_answered(&mut self, range: u32, acquire: bool, revision: Option<u64>) {
        self.in_flight = false;
        if let (true, Some(version)) = (acquire, revision) {
            self.held.insert(range, version);
        }
    }

    /// Gives up a range after a conditional write failed, and scans again at once.
    pub fn range_lost(&mut self, range: u32) {
        self.held.remove(&range);
        self.scanned_at = None;
    }
}
