//! A simulated platform on which the store calls of many processes interleave in an
//! order that a seed determines.

use super::world::ManualClock;
use bytes::Bytes;
use futures_util::FutureExt;
use knapweed_contract::{Head, head, parts, result};
use knapweed_store::memory::MemoryStore;
use knapweed_store::{
    Changes, Condition, Error, Listing, Object, ObjectKey, ObjectStore, Revision, StoreFuture,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// A write or deletion, which may take effect after its caller saw an error.
enum PendingChange {
    Write(ObjectKey, Bytes, Condition),
    Delete(ObjectKey, Revision),
}

/// A platform on which every call first yields to other processes, and then may
/// fail, lose its response, or take effect later.
pub(crate) struct SimPlatform {
    pub(crate) inner: MemoryStore,
    pub(crate) clock: ManualClock,
    rng: Mutex<SmallRng>,
    delayed: Mutex<Vec<PendingChange>>,
    /// Every head that was written, in order.
    pub(crate) heads: Mutex<Vec<Head>>,
    /// Percentage of calls that have a fault.
    fault_percent: u32,
}

enum InjectedFault {
    None,
    Unavailable,
    LoseResponse,
    Delay,
}

impl SimPlatform {
    pub(crate) fn new(seed: u64, fault_percent: u32, objects: &[(ObjectKey, Bytes)]) -> Self {
        let inner = MemoryStore::new();
        for (key, value) in objects {
            let write = inner.write(key, value.clone(), Condition::Absent);
            resolve(write).expect("no faults");
        }
        Self {
            inner,
            clock: ManualClock::new(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            delayed: Mutex::default(),
            heads: Mutex::default(),
            fault_percent,
        }
    }

    pub(crate) fn random(&self, below: u32) -> u32 {
        self.rng.lock().expect("one thread").random_range(0..below)
    }

    fn fault(&self) -> InjectedFault {
        if self.random(100) >= self.fault_percent {
            return InjectedFault::None;
        }
        match self.random(3) {
            0 => InjectedFault::Unavailable,
            1 => InjectedFault::LoseResponse,
            _ => InjectedFault::Delay,
        }
    }

    fn apply(&self, pending: PendingChange) -> Result<Revision, Error> {
        let (key, value, condition) = match pending {
            PendingChange::Write(key, value, condition) => (key, value, condition),
            PendingChange::Delete(key, revision) => {
                return resolve(self.inner.delete(&key, revision)).map(|()| Revision::ABSENT);
            }
        };
        let revision = resolve(self.inner.write(&key, value.clone(), condition))?;
        if key == knapweed_contract::head::key() {
            let head = Object { revision, value };
            let (_, head) = Head::decode(Some(&head)).expect("a readable head");
            self.heads.lock().expect("one thread").push(head);
        }
        Ok(revision)
    }

    async fn change(&self, pending: PendingChange) -> Result<Revision, Error> {
        yield_once().await;
        match self.fault() {
            InjectedFault::None => self.apply(pending),
            InjectedFault::Unavailable => Err(Error::Unavailable("simulated".into())),
            InjectedFault::LoseResponse => {
                let _ = self.apply(pending);
                Err(Error::ResponseLost("simulated".into()))
            }
            InjectedFault::Delay => {
                self.delayed.lock().expect("one thread").push(pending);
                Err(Error::ResponseLost("simulated".into()))
            }
        }
    }

    async fn query<T>(&self, read: StoreFuture<'_, T>) -> Result<T, Error> {
        yield_once().await;
        match self.fault() {
            InjectedFault::None => read.await,
            _ => Err(Error::Unavailable("simulated".into())),
        }
    }

    /// Applies one randomly chosen delayed write or deletion; returns false if there is
    /// none.
    pub(crate) fn apply_delayed(&self) -> bool {
        let mut delayed = self.delayed.lock().expect("one thread");
        if delayed.is_empty() {
            return false;
        }
        let index = self.random(delayed.len() as u32) as usize;
        let write = delayed.swap_remove(index);
        drop(delayed);
        let _ = self.apply(write);
        true
    }

    /// Asserts that the head refers only to parts that exist.
    pub(crate) fn assert_parts(&self, seed: u64) {
        let key = knapweed_contract::head::key();
        let object = resolve(self.inner.read(&key)).expect("no faults");
        let (_, head) = Head::decode(object.as_ref()).expect("a readable head");
        let listed = resolve(self.inner.list(parts::KIND)).expect("no faults");
        let present: BTreeSet<_> = listed.objects.into_iter().map(|(key, _)| key).collect();
        for digest in head.digests() {
            assert!(
                present.contains(&parts::key(digest)),
                "seed {seed}: {digest} is missing"
            );
        }
    }

    /// Returns all objects in the order of their revisions.
    pub(crate) fn objects(store: &MemoryStore) -> Vec<(ObjectKey, Bytes)> {
        let kinds = [head::KIND, parts::KIND, result::KIND];
        let listings = kinds.map(|kind| resolve(store.list(kind)).expect("no faults"));
        let mut objects: Vec<_> = listings.into_iter().flat_map(|l| l.objects).collect();
        objects.sort_by_key(|(_, object)| object.revision);
        let values = objects.into_iter().map(|(key, object)| (key, object.value));
        values.collect()
    }
}

/// Returns the result of a call to the in-memory store, which never waits.
fn resolve<T>(answer: StoreFuture<'_, T>) -> Result<T, Error> {
    answer
        .now_or_never()
        .expect("the memory store is always ready")
}

async fn yield_once() {
    let mut yielded = false;
    std::future::poll_fn(|_| match std::mem::replace(&mut yielded, true) {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await;
}

impl ObjectStore for SimPlatform {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        Box::pin(self.query(self.inner.read(key)))
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        Box::pin(self.query(self.inner.watch(kind, after, wait)))
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        Box::pin(self.change(PendingChange::Write(key.clone(), value, condition)))
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        let delete = self.change(PendingChange::Delete(key.clone(), revision));
        Box::pin(async { delete.await.map(drop) })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(self.query(self.inner.list(kind)))
    }
}

/// A process of the simulation, which [`step`] polls.
pub(crate) type Process<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Polls a process once, and returns its output if it is complete.
pub(crate) fn step<T>(process: &mut Process<'_, T>) -> Option<T> {
    let mut cx = Context::from_waker(Waker::noop());
    match process.as_mut().poll(&mut cx) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}
