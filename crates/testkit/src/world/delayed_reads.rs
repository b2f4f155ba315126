//! Reads of all records that are delayed, so that writes of others fall between their pages.

use std::time::Duration;

use oliveshift_core::{
    Call, Method,
    records::{KEY_PREFIX, Key},
};

use super::{MS, World};
use crate::faults::{Fault, MAX_READ_DELAY};

/// Interval at which it is checked whether a delayed read is due.
const CHECK_INTERVAL: Duration = MS.saturating_mul(10);
/// How long before its membership lease expires a controller can read again.
const READ_BEFORE_EXPIRY: Duration = MS.saturating_mul(300);

/// A read that is delayed.
pub(super) struct DelayedRead {
    /// The last revision when the read was requested.
    revision: u64,
    /// When it is executed at the latest.
    until: Duration,
}

impl World {
    /// Whether [`Fault::ReadAcrossMoves`] is active for a controller.
    fn reads_across_moves(&self, n: usize) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::ReadAcrossMoves { node, .. } if *node == n))
    }

    /// Whether a call is refused because it asks for a membership lease or its renewal.
    pub(super) fn is_lease_refused(&self, node: usize, call: &Call) -> bool {
        call.path.starts_with("/holds") && self.reads_across_moves(node)
    }

    /// When to check again whether a read of records is due; `None` for another call and for a
    /// read that is to be executed now.
    pub(super) fn next_read_check(
        &mut self,
        node: usize,
        incarnation: u64,
        call: &Call,
    ) -> Option<Duration> {
        if call.method != Method::Get || !self.reads_across_moves(node) {
            return None;
        }
        let key = (node, incarnation, call.id);
        let revision = self.state.revision();
        let until = self.now + MAX_READ_DELAY;
        let read = self
            .delayed_reads
            .entry(key)
            .or_insert(DelayedRead { revision, until });
        let (revision, until) = (read.revision, read.until);
        let is_further_page = call.path.starts_with("/kv?") && call.path.contains("&after=");
        let is_due = if is_further_page {
            self.has_block_moved_since(revision)
        } else {
            self.lease_expires_within(node, READ_BEFORE_EXPIRY)
        };
        if !is_due && self.now < until {
            return Some((self.now + CHECK_INTERVAL).min(until));
        }
        self.evidence.pages_across_moves += usize::from(is_due && is_further_page);
        self.delayed_reads.remove(&key);
        None
    }

    /// Whether a block was leased and then a chunk written since a revision.
    fn has_block_moved_since(&self, revision: u64) -> bool {
        let block = format!("{KEY_PREFIX}block/");
        let chunk = format!("{KEY_PREFIX}part/");
        self.state.has_changed_in_order(revision, &block, &chunk)
    }

    /// Whether the membership lease of a controller has expired, or will within `lead`.
    fn lease_expires_within(&self, node: usize, lead: Duration) -> bool {
        let member = Key::Member(format!("n-{node}")).path();
        let expires_at = self.state.lease_expires_at(&member);
        expires_at.is_none_or(|at| at <= self.now + lead)
    }
}
