//! Filing while the store refuses calls because of its rate limit.

mod common;

use assert_matches::assert_matches;
use bytes::Bytes;
use common::set_service;
use knapweed_contract::drive::{BackoffOptions, SystemClock};
use knapweed_contract::{Driver, Outcome, PartCache};
use knapweed_store::memory::MemoryStore;
use knapweed_store::{
    Changes, Condition, Error, Listing, Object, ObjectKey, ObjectStore, Revision, StoreFuture,
};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time until the operator has a response.
const RESPONSE_TIME: Duration = Duration::from_secs(3);

/// A store that refuses writes because of its rate limit.
struct ThrottledStore {
    inner: MemoryStore,
    /// Number of writes that it still refuses.
    refusals: AtomicU32,
}

impl ObjectStore for ThrottledStore {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        self.inner.read(key)
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        self.inner.watch(kind, after, wait)
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        let refuse = |left: u32| left.checked_sub(1);
        let refused = self
            .refusals
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, refuse);
        match refused {
            Ok(_) => Box::pin(async { Err(Error::Throttled) }),
            Err(_) => self.inner.write(key, value, condition),
        }
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        self.inner.delete(key, revision)
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        self.inner.list(kind)
    }
}

/// Files a ticket while the store refuses the first `refusals` writes; returns the outcome and
/// the time that it took.
async fn file(refusals: u32, seed: u64) -> (Outcome, Duration) {
    let store = ThrottledStore {
        inner: MemoryStore::new(),
        refusals: refusals.into(),
    };
    let backoff = BackoffOptions {
        seed: Some(seed),
        ..BackoffOptions::default()
    };
    let driver = Driver::new(&store, &SystemClock).backoff(backoff);
    let document = set_service(1, None, "calendar", "v1");
    let start = Instant::now();
    let outcome = driver.file(&document, &mut PartCache::default()).await;
    (outcome, start.elapsed())
}

/// Guards against a ticket that is given up after five throttled calls, within a second, while
/// the store serves other writers: filers that together exceed its rate were told that it is
/// unavailable.
#[tokio::test(start_paused = true)]
async fn a_ticket_is_accepted_although_the_store_throttles_its_writes() {
    for seed in 0..100 {
        let (outcome, took) = file(12, seed).await;
        assert_matches!(outcome, Outcome::Accepted { .. }, "seed {seed}");
        assert!(took < RESPONSE_TIME, "seed {seed}: {took:?}");
    }
}

/// Guards against an operator who waits without end for a store that throttles every write.
#[tokio::test(start_paused = true)]
async fn a_ticket_is_given_up_in_time_while_the_store_throttles_every_write() {
    for seed in 0..100 {
        let (outcome, took) = file(u32::MAX, seed).await;
        assert_matches!(outcome, Outcome::Unavailable { .. }, "seed {seed}");
        assert!(took < RESPONSE_TIME, "seed {seed}: {took:?}");
    }
}
