//! Reads of all records: page by page, and then the changes since the first page.
//!
//! The pages are answered at different revisions. Together they may show a state that
//! never existed, such as a chunk from before its tasks were assigned and a block from
//! after that. No decision may rest on such a state, so the records are collected apart
//! from the view in use and replace it only once they are consistent.

use oliveshift_wire::state::{Event, Events, Page};

use crate::{records::KEY_PREFIX, view::View};

/// The most records on one page.
const MAX_PAGE_RECORDS: usize = 1000;

/// A read of all records in progress. It has one request in flight at a time.
#[derive(Debug)]
pub(crate) struct SnapshotRead {
    view: View,
    stage: Stage,
    /// The newest revision of any page. The records are consistent once all changes up to
    /// it are applied.
    consistent_at: u64,
    pages: u32,
    first_revision: u64,
}

/// What to read next.
#[derive(Debug)]
enum Stage {
    /// The first page.
    FirstPage,
    /// The page that starts after this key.
    PageAfter(String),
    /// The changes since the first page.
    Changes,
}

/// What a request of the read asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SnapshotPart {
    /// A page of records.
    Page,
    /// The changes since the first page.
    Changes,
}

impl SnapshotRead {
    /// Starts a read into an empty view.
    pub fn new(view: View) -> Self {
        Self {
            view,
            stage: Stage::FirstPage,
            consistent_at: 0,
            pages: 0,
            first_revision: 0,
        }
    }

    /// What to request next, and the path of the request.
    pub fn next_request(&self) -> (SnapshotPart, String) {
        match &self.stage {
            Stage::FirstPage => {
                let path = format!("/kv?starts={KEY_PREFIX}&most={MAX_PAGE_RECORDS}");
                (SnapshotPart::Page, path)
            }
            Stage::PageAfter(key) => {
                let path = format!("/kv?starts={KEY_PREFIX}&after={key}&most={MAX_PAGE_RECORDS}");
                (SnapshotPart::Page, path)
            }
            Stage::Changes => {
                let after = self.view.revision;
                let path = format!("/changes?starts={KEY_PREFIX}&after={after}");
                (SnapshotPart::Changes, path)
            }
        }
    }

    /// Applies a page. `can_read` tells which records this program can read.
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

    /// Applies the changes since the first page.
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

    /// Whether the records show the state at one revision, at or after `revision`.
    pub fn is_consistent(&self, revision: u64) -> bool {
        self.has_all_pages() && self.view.revision >= self.consistent_at.max(revision)
    }

    /// The records. The caller recomputes all derived state from them, so the list of
    /// changed machines is cleared.
    pub fn into_view(mut self) -> View {
        log::info!(
            "read all records: {} pages, first page at revision {}, newest page at revision {}, \
             consistent at revision {}",
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
