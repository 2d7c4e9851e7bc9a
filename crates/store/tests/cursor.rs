//! Decisions of a reader that follows the changes of the store.

use knapweed_store::cursor::{NextCall, Retry, WatchCursor};
use knapweed_store::{Error, Revision, StoreEra};

fn revision(number: u64) -> Revision {
    Revision::new(number)
}

fn compacted(number: u64) -> Error {
    Error::HistoryCompacted(revision(number))
}

/// A cursor that was loaded at revision 3 and watched up to 4.
fn watching() -> WatchCursor {
    let mut cursor = WatchCursor::default();
    cursor.advanced(revision(3));
    cursor.advanced(revision(4));
    cursor
}

#[test]
fn a_reader_loads_and_then_watches_from_the_last_revision() {
    let mut cursor = WatchCursor::default();
    assert_eq!(cursor.next_call(), NextCall::Load);
    cursor.advanced(revision(3));
    assert_eq!(cursor.next_call(), NextCall::Watch(revision(3)));
    cursor.advanced(revision(7));
    assert_eq!(cursor.next_call(), NextCall::Watch(revision(7)));
}

/// Guards against changes that are missed because a watch begins after them when the store
/// could not be reached.
#[test]
fn a_failed_call_is_repeated_from_the_same_revision() {
    let errors = [
        Error::Unavailable("outage".into()),
        Error::Throttled,
        Error::ResponseLost("cut".into()),
    ];
    for error in errors {
        let mut cursor = WatchCursor::default();
        assert_eq!(cursor.failed(&error), Retry::AfterBackoff);
        assert_eq!(cursor.next_call(), NextCall::Load);
        let mut cursor = watching();
        assert_eq!(cursor.failed(&error), Retry::AfterBackoff);
        assert_eq!(cursor.next_call(), NextCall::Watch(revision(4)));
    }
}

/// Guards against a watch that is never served again, because the store has no history from
/// its revision.
#[test]
fn a_watch_without_history_loads_at_once() {
    let mut cursor = watching();
    assert_eq!(cursor.failed(&compacted(4)), Retry::AtOnce);
    assert_eq!(cursor.next_call(), NextCall::Load);
    let next_era = revision(2).in_era(StoreEra(1));
    cursor.advanced(next_era);
    assert_eq!(cursor.next_call(), NextCall::Watch(next_era));
}

/// Guards against a watch that gets the same unusable response for ever.
#[test]
fn a_watch_whose_response_cannot_be_parsed_loads_after_a_wait() {
    let mut cursor = watching();
    let malformed = Error::Malformed("too long".into());
    assert_eq!(cursor.failed(&malformed), Retry::AfterBackoff);
    assert_eq!(cursor.next_call(), NextCall::Load);
}

/// Guards against loads without a pause, when the store has no history for any watch.
#[test]
fn a_watch_that_fails_right_after_a_load_waits() {
    let mut cursor = watching();
    assert_eq!(cursor.failed(&compacted(4)), Retry::AtOnce);
    for number in 5..8 {
        cursor.advanced(revision(number));
        assert_eq!(cursor.failed(&compacted(number)), Retry::AfterBackoff);
        assert_eq!(cursor.next_call(), NextCall::Load);
    }
}

/// Guards against changes that are missed because the answer of a watch had them in a form
/// that cannot be read, and against loads without end while the store has them in that form.
#[test]
fn a_watch_that_left_changes_out_is_followed_by_one_load() {
    let mut cursor = watching();
    cursor.advanced_partially(revision(5));
    assert_eq!(cursor.next_call(), NextCall::Load);
    cursor.advanced_partially(revision(5));
    assert_eq!(cursor.next_call(), NextCall::Watch(revision(5)));
}

#[test]
fn a_reader_that_starts_over_loads() {
    let mut cursor = watching();
    cursor.start_over();
    assert_eq!(cursor, WatchCursor::default());
}
