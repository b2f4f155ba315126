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
mod tests {
    use super::*;

    #[test]
    fn each_machine_is_due_at_its_time() {
        let ms = Duration::from_millis;
        let mut due = OrderQueue::default();
        due.insert("a".into());
        due.insert_at(ms(20), "b".into());
        due.insert_at(ms(10), "c".into());
        due.insert_at(ms(10), "a".into());
        assert_eq!(due.take_due(ms(5)), BTreeSet::from(["a".to_owned()]));
        assert!(due.take_due(ms(9)).is_empty());
        let expected = BTreeSet::from(["a".to_owned(), "c".to_owned()]);
        assert_eq!(due.take_due(ms(10)), expected);
        assert_eq!(due.take_due(ms(30)), BTreeSet::from(["b".to_owned()]));
        assert!(due.take_due(ms(90)).is_empty());
    }
}
