use oliveshift_wire::state::Item;
use rmpv::Value;

use super::*;

fn page(revision: u64, more: bool, keys: &[(&str, u64)]) -> Page {
    let item = |(key, version): &(&str, u64)| Item {
        key: format!("{KEY_PREFIX}{key}"),
        value: Value::from(1),
        version: *version,
    };
    Page {
        items: keys.iter().map(item).collect(),
        more,
        revision,
    }
}

fn changes(revision: u64, events: Vec<Event>) -> Events {
    Events { revision, events }
}

fn any(_: &Event) -> bool {
    true
}

/// A single page shows the state at one revision.
#[test]
fn one_page_is_consistent() {
    let mut read = SnapshotRead::new(View::default());
    assert_eq!(read.next_request().0, SnapshotPart::Page);
    read.take_page(page(7, false, &[("lowered", 3)]), any);
    assert!(read.is_consistent(7));
    let view = read.into_view();
    assert_eq!((view.revision, view.lowered_limits_version), (7, 3));
}

/// Later pages show changes written after the first page. They are consistent with it only
/// once all changes since the first page are applied.
#[test]
fn several_pages_need_the_changes_since_the_first() {
    let mut read = SnapshotRead::new(View::default());
    read.take_page(page(7, true, &[("admission", 3)]), any);
    assert!(!read.has_all_pages());
    let (part, path) = read.next_request();
    assert_eq!(part, SnapshotPart::Page);
    assert!(
        path.contains(&format!("after={KEY_PREFIX}admission&")),
        "{path}"
    );
    read.take_page(page(9, false, &[("lowered", 8)]), any);
    assert!(read.has_all_pages() && !read.is_consistent(0));
    let (part, path) = read.next_request();
    assert_eq!(part, SnapshotPart::Changes);
    assert!(path.ends_with("after=7"), "{path}");
    // These changes end before the revision of the last page.
    read.take_changes(changes(8, Vec::new()), any);
    assert!(!read.is_consistent(0));
    let key = format!("{KEY_PREFIX}lowered");
    let gone = Event::Delete { key, version: 10 };
    read.take_changes(changes(10, vec![gone]), any);
    assert!(read.is_consistent(10));
    let view = read.into_view();
    assert_eq!((view.revision, view.lowered_limits_version), (10, 0));
}

/// The view in use may have advanced during the read, by reads for users.
#[test]
fn records_older_than_the_view_in_use_are_not_used() {
    let mut read = SnapshotRead::new(View::default());
    read.take_page(page(7, false, &[]), any);
    assert!(!read.is_consistent(8));
    read.take_changes(changes(8, Vec::new()), any);
    assert!(read.is_consistent(8));
}
