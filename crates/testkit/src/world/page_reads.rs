//! Reads of all records that are held back, so that writes of others fall between their pages.

use std::time::Duration;

use oliveshift_core::{
    Call, Method,
    records::{KEY_PREFIX, Key},
};

use super::{MS, World};
use crate::faults::{Fault, MAX_PAGE_DELAY};

/// Interval at which it is checked whether a read is still held back.
const CHECK_INTERVAL: Duration = MS.saturating_mul(10);
/// How long before its membership lease expires a controller can read again.
const LEAD: Duration = MS.saturating_mul(300);

/// A read that is held back.
pub(super) struct DelayedRead {
    /// The last revision when the read was requested.
    requested_at: u64,
    /// When it is executed at the latest.
    until: Duration,
}

impl World {
    fn reads_across_moves(&self, n: usize) -> bool {
        self.is_fault_active(|f| matches!(f, Fault::ReadAcrossMoves { node, .. } if *node == n))
    }

    /// Whether a call asks for a membership lease or its renewal, which is refused.
    pub(super) fn is_renewal_refused(&self, node: usize, call: &Call) -> bool {
        call.path.starts_with("/holds") && self.reads_across_moves(node)
    }

    /// When to check again whether a read of records is to be executed; `None` for another call
    /// and for a read that is not held back any longer.
    pub(super) fn read_delayed_until(
        &mut self,
        node: usize,
        incarnation: u64,
        call: &Call,
    ) -> Option<Duration> {
        if call.method != Method::Get || !self.reads_across_moves(node) {
            return None;
        }
        let key = (node, incarnation, call.id);
        let requested_at = self.state.revision();
        let until = self.now + MAX_PAGE_DELAY;
        let read = self.delayed_reads.entry(key).or_insert(DelayedRead {
            requested_at,
            until,
        });
        let (requested_at, until) = (read.requested_at, read.until);
        let is_further_page = call.path.starts_with("/kv?") && call.path.contains("&after=");
        let is_due = if is_further_page {
            self.has_block_moved_since(requested_at)
        } else {
            self.expires_within(node, LEAD)
        };
        if !is_due && self.now < until {
            return Some((self.now + CHECK_INTERVAL).min(until));
        }
        self.evidence.pages_across_moves += usize::from(is_due && is_further_page);
        self.delayed_reads.remove(&key);
        None
    }

    /// Whether a block was leased and then a task record written since a revision.
    fn has_block_moved_since(&self, revision: u64) -> bool {
        let block = format!("{KEY_PREFIX}block/");
        let part = format!("{KEY_PREFIX}part/");
        self.state.has_written_in_order(revision, &block, &part)
    }

    /// Whether the membership lease of a controller has expired, or will within `lead`.
    fn expires_within(&self, node: usize, lead: Duration) -> bool {
        let member = Key::Member(format!("n-{node}")).path();
        let expires_at = self.state.expires_at(&member);
        expires_at.is_none_or(|at| at <= self.now + lead)
    }
}
