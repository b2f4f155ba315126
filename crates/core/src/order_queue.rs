//! Queue of machines that direct orders may have to be sent to, with delays.
//!
//! Machines that must wait are kept in order of time. Checking all of them at each input
//! took a quarter of the processor time of a controller with a backlog when hundreds of
//! machines did not answer.

use std::{collections::BTreeSet, time::Duration};

/// Machines to send direct orders to.
#[derive(Debug, Default)]
pub(crate) struct OrderQueue {
    ready: BTreeSet<String>,
    later: BTreeSet<(Duration, String)>,
}

impl OrderQueue {
    /// Queues a machine for the next send.
    pub fn insert(&mut self, name: String) {
        self.ready.insert(name);
    }

    /// Queues a machine for a send at `at` or later.
    pub fn insert_at(&mut self, at: Duration, name: String) {
        self.later.insert((at, name));
    }

    /// Takes the machines that are due at `now`.
    pub fn take_due(&mut self, now: Duration) -> BTreeSet<String> {
        while let Some((at, _)) = self.later.first()
            && *at <= now
            && let Some((_, name)) = self.later.pop_first()
        {
            self.ready.insert(name);
        }
        std::mem::take(&mut self.ready)
    }
}

#[cfg(test)]
mod tests;
