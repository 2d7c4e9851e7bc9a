//! An object store that injects faults at given calls, and a manually advanced clock.

use bytes::Bytes;
use futures_util::FutureExt;
use knapweed_contract::drive::{BackoffOptions, WallClock};
use knapweed_contract::{Driver, Head, Outcome, PartCache, Record};
use knapweed_store::memory::MemoryStore;
use knapweed_store::{
    Changes, Condition, Error, Listing, Object, ObjectKey, ObjectStore, Revision, StoreFuture,
};
use knapweed_world::{Config, TicketNumber, UnixMillis};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A fault that is injected at a store call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The calling process stops before the call takes effect.
    StopBefore,
    /// The calling process stops after the call took effect and before the response.
    StopAfter,
    /// The call takes effect, but its response is lost.
    LoseResponse,
    /// The platform is unavailable from this call on, which has no effect.
    Outage,
    /// The call takes effect, and the platform is unavailable from then on.
    OutageAfter,
}

/// An object store with faults by the number of the call, starting at 0.
pub(crate) struct FaultyStore<'a> {
    pub(crate) inner: &'a MemoryStore,
    faults: BTreeMap<u64, Fault>,
    calls: AtomicU64,
    outage: AtomicU64,
}

impl<'a> FaultyStore<'a> {
    pub(crate) fn new(
        inner: &'a MemoryStore,
        faults: impl IntoIterator<Item = (u64, Fault)>,
    ) -> Self {
        Self {
            inner,
            faults: faults.into_iter().collect(),
            calls: AtomicU64::new(0),
            outage: AtomicU64::new(u64::MAX),
        }
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn call<T>(&self, effect: StoreFuture<'_, T>) -> Result<T, Error> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if call >= self.outage.load(Ordering::Relaxed) {
            return Err(Error::Unavailable("injected".into()));
        }
        match self.faults.get(&call) {
            None => effect.await,
            Some(Fault::StopBefore) => std::future::pending().await,
            Some(Fault::StopAfter) => {
                let _ = effect.await;
                std::future::pending().await
            }
            Some(Fault::LoseResponse) => {
                effect.await?;
                Err(Error::ResponseLost("injected".into()))
            }
            Some(Fault::Outage) => {
                self.outage.store(call, Ordering::Relaxed);
                Err(Error::Unavailable("injected".into()))
            }
            Some(Fault::OutageAfter) => {
                self.outage.store(call, Ordering::Relaxed);
                effect.await?;
                Err(Error::ResponseLost("injected".into()))
            }
        }
    }
}

impl ObjectStore for FaultyStore<'_> {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        Box::pin(self.call(self.inner.read(key)))
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        Box::pin(self.call(self.inner.watch(kind, after, wait)))
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        Box::pin(self.call(self.inner.write(key, value, condition)))
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        Box::pin(self.call(self.inner.delete(key, revision)))
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(self.call(self.inner.list(kind)))
    }
}

/// A clock that only advances when a test advances it.
pub(crate) struct ManualClock(AtomicU64);

impl ManualClock {
    pub(crate) fn new() -> Self {
        Self(AtomicU64::new(super::NOW.0))
    }

    pub(crate) fn advance(&self, by: Duration) {
        self.0.fetch_add(by.as_millis() as u64, Ordering::Relaxed);
    }
}

impl WallClock for ManualClock {
    fn now(&self) -> UnixMillis {
        UnixMillis(self.0.load(Ordering::Relaxed))
    }
}

/// Backoff options with the default number of retries and no waits.
pub(crate) fn no_waits() -> BackoffOptions {
    BackoffOptions {
        first: Duration::ZERO,
        throttled: Duration::ZERO,
        conflict: Duration::ZERO,
        seed: Some(1),
        ..BackoffOptions::default()
    }
}

pub(crate) fn driver<'a>(platform: &'a dyn ObjectStore, clock: &'a dyn WallClock) -> Driver<'a> {
    Driver::new(platform, clock).backoff(no_waits())
}

/// Files a document; `None` if a fault stops the process.
pub(crate) fn try_file(
    platform: &FaultyStore<'_>,
    clock: &ManualClock,
    document: &[u8],
) -> Option<Outcome> {
    let mut cache = PartCache::default();
    let driver = driver(platform, clock);
    driver.file(document, &mut cache).now_or_never()
}

/// Files a document on a platform without faults.
pub(crate) fn file(platform: &MemoryStore, clock: &ManualClock, document: &[u8]) -> Outcome {
    let faulty = FaultyStore::new(platform, []);
    try_file(&faulty, clock, document).expect("no stop is injected")
}

pub(crate) fn record(platform: &MemoryStore, number: u64) -> Option<Record> {
    let clock = ManualClock::new();
    let driver = driver(platform, &clock);
    let record = driver.record(TicketNumber(number)).now_or_never();
    record.expect("no waits").expect("a readable record")
}

pub(crate) fn head(platform: &MemoryStore) -> Head {
    let clock = ManualClock::new();
    let driver = driver(platform, &clock);
    let head = driver.head().now_or_never();
    head.expect("no waits").expect("a readable head").1
}

pub(crate) fn config(platform: &MemoryStore) -> Config {
    let clock = ManualClock::new();
    let (driver, mut cache) = (driver(platform, &clock), PartCache::default());
    let head = head(platform);
    let config = driver.load_config(&head, &mut cache).now_or_never();
    config.expect("no waits").expect("a complete configuration")
}

pub(crate) fn part_count(platform: &MemoryStore) -> usize {
    let list = platform.list(knapweed_contract::parts::KIND).now_or_never();
    list.expect("no waits").expect("no faults").objects.len()
}
