//! Limits on moves of blocks, so that flapping links do not move blocks back and forth.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Time window in which the moves of blocks are bounded.
const MOVES_WINDOW: Duration = Duration::from_secs(60);
/// Maximum number of moves in the window, for each block.
const MAX_MOVES_PER_BLOCK: usize = 2;
/// How long a controller gets no blocks of a zone after it lost one there because of strays
/// alone; doubled each time.
const INITIAL_BACKOFF: Duration = Duration::from_secs(20);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A controller's backoff in a zone.
#[derive(Debug, Default)]
struct Backoff {
    /// Until when the controller gets no blocks there.
    until: Duration,
    /// How often its next backoff is doubled.
    doublings: u32,
}

/// When blocks were moved, and the controllers that get none for now.
#[derive(Debug, Default)]
pub(super) struct MoveLimits {
    /// When blocks were moved within the window.
    recent_moves: VecDeque<Duration>,
    /// By controller and zone.
    backoff: BTreeMap<(String, String), Backoff>,
}

impl MoveLimits {
    /// How many more blocks may be moved now: [`MAX_MOVES_PER_BLOCK`] times the number of blocks,
    /// less the moves recorded within [`MOVES_WINDOW`].
    pub fn remaining_moves(&mut self, now: Duration, blocks: usize) -> usize {
        while self
            .recent_moves
            .front()
            .is_some_and(|at| now > *at + MOVES_WINDOW)
        {
            self.recent_moves.pop_front();
        }
        (MAX_MOVES_PER_BLOCK * blocks).saturating_sub(self.recent_moves.len())
    }

    /// Records that a block was leased away.
    pub fn record_move(&mut self, now: Duration) {
        self.recent_moves.push_back(now);
    }

    /// Starts or doubles the backoff of a controller in a zone, unless it is in one.
    pub fn back_off(&mut self, now: Duration, node: &str, zone: &str) {
        let key = (node.to_owned(), zone.to_owned());
        let backoff = self.backoff.entry(key).or_default();
        if now >= backoff.until {
            backoff.until = now + INITIAL_BACKOFF * 2u32.pow(backoff.doublings);
            backoff.doublings = (backoff.doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
    }

    /// Whether a controller gets no blocks of a zone now.
    pub fn is_in_backoff(&self, now: Duration, node: &str, zone: &str) -> bool {
        let backoff = self.backoff.get(&(node.to_owned(), zone.to_owned()));
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// Forgets backoffs that ended longer ago than the longest one lasts.
    pub fn expire(&mut self, now: Duration) {
        let max_backoff = INITIAL_BACKOFF * 2u32.pow(MAX_BACKOFF_DOUBLINGS);
        self.backoff
            .retain(|_, backoff| now < backoff.until + max_backoff);
    }
}
