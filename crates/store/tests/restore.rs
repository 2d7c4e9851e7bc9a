//! Copies of the memory store, and the eras that begin when it comes back from one.

use knapweed_store::memory::MemoryStore;
use knapweed_store::{Condition, Error, ObjectKey, ObjectStore, Revision, StoreEra};
use std::time::Duration;

const KIND: &str = "mesh-parts";

fn key(name: &str) -> ObjectKey {
    ObjectKey::new(KIND, name)
}

async fn create(store: &MemoryStore, name: &str) -> Revision {
    let key = key(name);
    let written = store.write(&key, "1".into(), Condition::Absent).await;
    written.expect("a write")
}

fn revision(era: u64, number: u64) -> Revision {
    Revision::new(number).in_era(StoreEra(era))
}

/// Guards against a restored store that keeps what was written after the copy, or numbers
/// its next change after what it has lost.
#[tokio::test]
async fn a_restored_store_has_lost_what_was_written_after_the_copy() {
    let store = MemoryStore::new();
    create(&store, "kept").await;
    let backup = store.backup();
    create(&store, "lost").await;
    store
        .delete(&key("kept"), revision(0, 1))
        .await
        .expect("a deletion");
    assert_eq!(store.latest_revision(), revision(0, 3));

    store.restore(&backup);
    assert_eq!(store.era(), Some(StoreEra(1)));
    assert_eq!(store.latest_revision(), revision(1, 1));
    assert_eq!(store.peek(&key("lost")), None);
    let kept = store.peek(&key("kept")).expect("an object");
    assert_eq!(kept.revision, revision(1, 1));
    assert_eq!(create(&store, "next").await, revision(1, 2));
}

/// Guards against an era that occurs twice, when the store comes back from the same copy.
#[tokio::test]
async fn each_return_begins_a_new_era() {
    let store = MemoryStore::new();
    let backup = store.backup();
    store.restore(&backup);
    let copy_of_first = store.backup();
    store.restore(&copy_of_first);
    store.restore(&backup);
    assert_eq!(store.era(), Some(StoreEra(3)));
}

/// Guards against a watch that goes on from a revision which now means another change.
#[tokio::test]
async fn a_watch_from_an_earlier_era_fails() {
    let store = MemoryStore::new();
    create(&store, "kept").await;
    let backup = store.backup();
    let before = create(&store, "lost").await;
    let waiting = store.watch(KIND, before, Duration::from_secs(5));
    let restore = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        store.restore(&backup);
    };
    let (waiting, ()) = tokio::join!(waiting, restore);
    assert_eq!(waiting, Err(Error::HistoryCompacted(before)));

    create(&store, "other").await;
    create(&store, "another").await;
    let passed = store.watch(KIND, before, Duration::ZERO).await;
    assert_eq!(passed, Err(Error::HistoryCompacted(before)));
    let ahead = revision(1, 9);
    let ahead_of_store = store.watch(KIND, ahead, Duration::ZERO).await;
    assert_eq!(ahead_of_store, Err(Error::HistoryCompacted(ahead)));
    let names = |changes: knapweed_store::Changes| {
        let keys = changes.changes.into_iter().map(|change| change.key);
        keys.map(|key| key.name().to_owned()).collect::<Vec<_>>()
    };
    let followed = store.watch(KIND, revision(1, 1), Duration::ZERO).await;
    assert_eq!(
        followed.map(names),
        Ok(vec!["other".into(), "another".into()])
    );
}

/// Guards against a write on condition of a revision that was given out a second time.
#[tokio::test]
async fn a_write_on_condition_of_an_earlier_era_conflicts() {
    let (store, key) = (MemoryStore::new(), key("object"));
    let backup = store.backup();
    let lost = create(&store, "object").await;
    store.restore(&backup);
    let current = create(&store, "object").await;
    assert_eq!(current.number, lost.number);
    let conflict = Error::Conflict {
        key: key.clone(),
        current: Some(current),
    };
    let write = store.write(&key, "2".into(), Condition::Revision(lost));
    assert_eq!(write.await, Err(conflict.clone()));
    assert_eq!(store.delete(&key, lost).await, Err(conflict));
    let write = store.write(&key, "2".into(), Condition::Revision(current));
    assert_eq!(write.await, Ok(revision(1, 2)));
}
