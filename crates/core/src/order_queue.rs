//! Machines for which orders are ready, and when they may go out.
//!
//! Those that have to wait were looked at again at each input: with hundreds of
//! machines that don't answer that took a quarter of the processor time of a
//! controller that was behind already.

use std::{collections::BTreeSet, time::Duration};

/// Machines to be ordered something.
#[derive(Debug, Default)]
pub(crate) struct OrderQueue {
    ready: BTreeSet<String>,
    later: BTreeSet<(Duration, String)>,
}

impl OrderQueue {
    /// There is something for this machine.
    pub fn insert(&mut self, name: String) {
        self.ready.insert(name);
    }

    /// There is, but not before this moment.
    pub fn insert_at(&mut self, at: Duration, name: String) {
        self.later.insert((at, name));
    }

    /// Takes the machines whose moment has come.
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
    fn each_machine_comes_at_its_moment() {
        let ms = Duration::from_millis;
        let mut due = OrderQueue::default();
        due.insert("a".into());
        due.insert_at(ms(20), "b".into());
        due.insert_at(ms(10), "c".into());
        due.insert_at(ms(10), "a".into());
        assert_eq!(due.take_due(ms(5)), BTreeSet::from(["a".to_owned()]));
        assert!(due.take_due(ms(9)).is_empty());
        let two = BTreeSet::from(["a".to_owned(), "c".to_owned()]);
        assert_eq!(due.take_due(ms(10)), two);
        assert_eq!(due.take_due(ms(30)), BTreeSet::from(["b".to_owned()]));
        assert!(due.take_due(ms(90)).is_empty());
    }
}
