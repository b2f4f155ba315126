//! Reading all records: page by page, and then what has changed since the first page.
//!
//! The pages are answered at different moments. Together they may show what was
//! never true at once: a chunk of tasks as it was before its hand-out beside a block
//! as it is now. Nothing may be decided on that, so the records are gathered beside
//! the view in use and take its place only when they are consistent.

use oliveshift_wire::state::{Event, Events, Page};

use crate::{records::KEY_PREFIX, view::View};

/// Most records on one page.
const PAGE: usize = 1000;

/// A reading of all records that is under way. It has one request out at a time.
#[derive(Debug)]
pub(crate) struct SnapshotRead {
    view: View,
    stage: Stage,
    /// The newest revision that any page has shown: the records are consistent once
    /// all changes up to there are in.
    consistent_at: u64,
    pages: u32,
    first_revision: u64,
}

/// What is read next.
#[derive(Debug)]
enum Stage {
    /// The first page.
    FirstPage,
    /// The page that begins after this key.
    PageAfter(String),
    /// The changes since the first page.
    Changes,
}

/// The next request of a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SnapshotPart {
    /// A page of records.
    Page,
    /// The changes since the first page.
    Changes,
}

impl SnapshotRead {
    /// A reading that begins, into an empty view.
    pub fn new(view: View) -> Self {
        Self {
            view,
            stage: Stage::FirstPage,
            consistent_at: 0,
            pages: 0,
            first_revision: 0,
        }
    }

    /// What is to be asked next, and the path to ask for it.
    pub fn next_request(&self) -> (SnapshotPart, String) {
        match &self.stage {
            Stage::FirstPage => {
                let path = format!("/kv?starts={KEY_PREFIX}&most={PAGE}");
                (SnapshotPart::Page, path)
            }
            Stage::PageAfter(key) => {
                let path = format!("/kv?starts={KEY_PREFIX}&after={key}&most={PAGE}");
                (SnapshotPart::Page, path)
            }
            Stage::Changes => {
                let after = self.view.revision;
                let path = format!("/changes?starts={KEY_PREFIX}&after={after}");
                (SnapshotPart::Changes, path)
            }
        }
    }

    /// Takes a page. `can_read` says which records this program understands.
    pub fn take_page(&mut self, page: Page, can_read: impl Fn(&Event) -> bool) {
        if matches!(self.stage, Stage::FirstPage) {
            self.view.revision = page.revision;
            self.first_revision = page.revision;
        }
        self.pages += 1;
        self.consistent_at = self.consistent_at.max(page.revision);
        let last = page.items.last().map(|item| item.key.clone());
        self.stage = match last {
            Some(key) if page.more => Stage::PageAfter(key),
            _ => Stage::Changes,
        };
        let events = page.items.into_iter().map(Event::from);
        for event in events.filter(can_read) {
            self.view.apply(event);
        }
    }

    /// Takes the changes since the first page.
    pub fn take_changes(&mut self, changes: Events, can_read: impl Fn(&Event) -> bool) {
        let mut events = changes.events;
        events.sort_by(|a, b| (a.version(), a.key()).cmp(&(b.version(), b.key())));
        for event in events.into_iter().filter(can_read) {
            self.view.apply(event);
        }
        self.view.revision = self.view.revision.max(changes.revision);
    }

    /// Whether all pages have been read.
    pub fn has_all_pages(&self) -> bool {
        matches!(self.stage, Stage::Changes)
    }

    /// Whether the records are those of one moment, not before `revision`.
    pub fn is_consistent(&self, revision: u64) -> bool {
        self.has_all_pages() && self.view.revision >= self.consistent_at.max(revision)
    }

    /// The records. What each of them means for the parts is worked out anew by
    /// whoever takes them, so that none counts as news.
    pub fn into_view(mut self) -> View {
        log::info!(
            "all records read: {} pages, revisions {} to {}, consistent at {}",
            self.pages,
            self.first_revision,
            self.consistent_at,
            self.view.revision
        );
        self.view.changed_machines.clear();
        self.view
    }
}

#[cfg(test)]
mod tests;
