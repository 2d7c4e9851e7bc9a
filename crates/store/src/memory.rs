//! In-memory store with fault injection and call counters.

use crate::api::{Change, Changes, Error, Listing, ObjectStore, StoreFuture};
use crate::object::{Condition, Object, ObjectKey};
use crate::{Revision, StoreEra};
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum length of a value in bytes, as on the platform. It exceeds
/// `MAX_VALUE_LEN` to leave space for metadata that a stand-in stores with a value.
const MAX_STORED_LEN: usize = 1_048_576;

/// Faults that the store injects into calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Whether every call fails before it takes effect.
    pub outage: bool,
    /// Whether reads, lists and watches fail, while writes are served.
    pub read_outage: bool,
    /// Additional latency of each call.
    pub delay: Duration,
    /// Number of writes from now on that take effect but whose response is lost.
    pub lost_responses: u32,
}

/// Rate limits; each kind of call allows a burst of one second's worth of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Reads, lists and watches per second.
    pub reads_per_s: u32,
    /// Writes and deletions per second.
    pub writes_per_s: u32,
}

impl Limits {
    /// Limits that no realistic load reaches.
    pub const NONE: Self = Self {
        reads_per_s: u32::MAX,
        writes_per_s: u32::MAX,
    };
}

impl Default for Limits {
    /// The rate limits of the platform that the current deployments use.
    fn default() -> Self {
        Self {
            reads_per_s: 2_000,
            writes_per_s: 400,
        }
    }
}

/// A token bucket whose capacity is one second's worth of tokens.
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: u32) -> Self {
        Self {
            per_s: per_s.into(),
            tokens: per_s.into(),
            filled_at: Instant::now(),
        }
    }

    /// Consumes a token; `false` when none is available.
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// Number of calls since the store was created; a watch counts as one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
}

/// Objects and change history of the store.
#[derive(Clone, Default)]
struct Contents {
    objects: BTreeMap<ObjectKey, Object>,
    /// Revision at which each deleted object was deleted.
    deleted: BTreeMap<ObjectKey, Revision>,
    last: Revision,
    /// Changes up to this revision are no longer reported.
    compacted: Revision,
}

impl Contents {
    /// Moves all revisions to `era`.
    fn begin_era(&mut self, era: StoreEra) {
        for object in self.objects.values_mut() {
            object.revision = object.revision.in_era(era);
        }
        for revision in self.deleted.values_mut() {
            *revision = revision.in_era(era);
        }
        self.last = self.last.in_era(era);
        self.compacted = self.compacted.in_era(era);
    }

    /// The revision of the next change.
    fn next_revision(&mut self) -> Revision {
        self.last.number += 1;
        self.last
    }
}

/// Copy of the contents of a [`MemoryStore`], from which it can come back.
#[derive(Clone)]
pub struct Backup(Contents);

/// Contents of the store and its fault and limit state.
struct Store {
    contents: Contents,
    faults: Faults,
    calls: Calls,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl Store {
    fn new(limits: Limits) -> Self {
        Self {
            contents: Contents::default(),
            faults: Faults::default(),
            calls: Calls::default(),
            reads: TokenBucket::new(limits.reads_per_s),
            writes: TokenBucket::new(limits.writes_per_s),
        }
    }

    /// The last change of each object of a kind after a revision, in the order of
    /// their revisions.
    fn changes(&self, kind: &str, after: Revision) -> Result<Changes, Error> {
        let contents = &self.contents;
        if after < contents.compacted || after > contents.last {
            return Err(Error::HistoryCompacted(after));
        }
        let present = contents.objects.iter().map(|(key, object)| {
            let change = Change {
                key: key.clone(),
                object: Some(object.clone()),
            };
            (object.revision, change)
        });
        let deleted = contents.deleted.iter().map(|(key, revision)| {
            let change = Change {
                key: key.clone(),
                object: None,
            };
            (*revision, change)
        });
        let newer = present.chain(deleted);
        let newer = newer.filter(|(revision, c)| *revision > after && c.key.kind() == kind);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(revision, _)| *revision);
        Ok(Changes {
            changes: newer.into_iter().map(|(_, change)| change).collect(),
            is_partial: false,
            revision: contents.last,
        })
    }

    /// Counts a call and applies the rate limit.
    fn count(&mut self, write: bool) -> Result<(), Error> {
        let (calls, bucket) = match write {
            true => (&mut self.calls.writes, &mut self.writes),
            false => (&mut self.calls.reads, &mut self.reads),
        };
        *calls += 1;
        match bucket.take() {
            true => Ok(()),
            false => Err(Error::Throttled),
        }
    }
}

/// An object store in the memory of this process, for tests.
pub struct MemoryStore {
    store: Mutex<Store>,
    changed: watch::Sender<Revision>,
}

/// Creation of a store.
impl MemoryStore {
    /// Creates an empty store without faults and with the default rate limits.
    pub fn new() -> Self {
        Self::with_limits(Limits::default())
    }

    /// Creates an empty store without faults and with the given rate limits.
    pub fn with_limits(limits: Limits) -> Self {
        let (changed, _) = watch::channel(Revision::default());
        Self {
            store: Mutex::new(Store::new(limits)),
            changed,
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

/// Fault injection and inspection.
impl MemoryStore {
    /// Replaces the injected faults; an outage also ends pending watches.
    pub fn set_faults(&self, faults: Faults) {
        self.store.lock().faults = faults;
        self.changed.send_modify(|_| ());
    }

    /// Discards the change history: watches from earlier revisions fail.
    pub fn compact_history(&self) {
        let mut store = self.store.lock();
        store.contents.compacted = store.contents.last;
        drop(store);
        self.changed.send_modify(|_| ());
    }

    /// Copies the contents.
    pub fn backup(&self) -> Backup {
        Backup(self.store.lock().contents.clone())
    }

    /// Comes back from an older copy, which begins a new era. Pending watches end.
    pub fn restore(&self, backup: &Backup) {
        let mut store = self.store.lock();
        let era = StoreEra(store.contents.last.era.0 + 1);
        store.contents = backup.0.clone();
        store.contents.begin_era(era);
        self.changed.send_replace(store.contents.last);
    }

    /// Reads an object without counting a call and without injected faults.
    pub fn peek(&self, key: &ObjectKey) -> Option<Object> {
        self.get(key)
    }

    /// Revision of the last change.
    pub fn latest_revision(&self) -> Revision {
        self.store.lock().contents.last
    }

    /// The faults that are currently injected.
    pub fn faults(&self) -> Faults {
        self.store.lock().faults
    }

    /// Number of calls so far.
    pub fn calls(&self) -> Calls {
        self.store.lock().calls
    }
}

/// Steps of the store operations.
impl MemoryStore {
    /// Applies rate limit, added latency and outage to a call.
    async fn admit(&self, write: bool) -> Result<(), Error> {
        let faults = {
            let mut store = self.store.lock();
            store.count(write)?;
            store.faults
        };
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        self.check_outage(write)
    }

    fn check_outage(&self, write: bool) -> Result<(), Error> {
        let faults = self.faults();
        match faults.outage || (faults.read_outage && !write) {
            true => Err(Error::Unavailable("injected outage".into())),
            false => Ok(()),
        }
    }

    fn get(&self, key: &ObjectKey) -> Option<Object> {
        self.store.lock().contents.objects.get(key).cloned()
    }

    fn put(&self, key: &ObjectKey, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let mut store = self.store.lock();
        check_condition(&store, key, condition)?;
        if let Some(same) = store.contents.objects.get(key).filter(|o| o.value == value) {
            let revision = same.revision;
            return self.finish(&mut store, revision);
        }
        let revision = store.contents.next_revision();
        store.contents.deleted.remove(key);
        store
            .contents
            .objects
            .insert(key.clone(), Object { revision, value });
        self.finish(&mut store, revision)
    }

    fn remove(&self, key: &ObjectKey, condition: Condition) -> Result<Revision, Error> {
        let mut store = self.store.lock();
        check_condition(&store, key, condition)?;
        let revision = store.contents.next_revision();
        store.contents.objects.remove(key);
        store.contents.deleted.insert(key.clone(), revision);
        self.finish(&mut store, revision)
    }

    /// Notifies watches of the change, and injects a lost response.
    fn finish(&self, store: &mut Store, revision: Revision) -> Result<Revision, Error> {
        self.changed.send_replace(store.contents.last);
        if store.faults.lost_responses > 0 {
            store.faults.lost_responses -= 1;
            return Err(Error::ResponseLost("injected fault".into()));
        }
        Ok(revision)
    }
}

fn check_condition(store: &Store, key: &ObjectKey, condition: Condition) -> Result<(), Error> {
    let current = store.contents.objects.get(key).map(|o| o.revision);
    let holds = match condition {
        Condition::Absent => current.is_none(),
        Condition::Revision(revision) => current == Some(revision),
    };
    match holds {
        true => Ok(()),
        false => Err(Error::Conflict {
            key: key.clone(),
            current,
        }),
    }
}

impl ObjectStore for MemoryStore {
    fn era(&self) -> Option<StoreEra> {
        Some(self.latest_revision().era)
    }

    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        Box::pin(async move {
            self.admit(false).await?;
            Ok(self.get(key))
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(async move {
            self.admit(false).await?;
            let store = self.store.lock();
            let objects = store.contents.objects.iter();
            let objects = objects.filter(|(key, _)| key.kind() == kind);
            Ok(Listing {
                objects: objects.map(|(k, o)| (k.clone(), o.clone())).collect(),
                is_partial: false,
                revision: store.contents.last,
            })
        })
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        Box::pin(async move {
            let mut changed = self.changed.subscribe();
            self.admit(false).await?;
            let newer = async {
                loop {
                    self.check_outage(false)?;
                    let found = self.store.lock().changes(kind, after)?;
                    if !found.changes.is_empty() {
                        return Ok(found);
                    }
                    if changed.changed().await.is_err() {
                        return Ok(found);
                    }
                }
            };
            match tokio::time::timeout(wait, newer).await {
                Ok(result) => result,
                Err(_) => self.store.lock().changes(kind, after),
            }
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        Box::pin(async move {
            self.admit(true).await?;
            if value.len() > MAX_STORED_LEN {
                return Err(Error::TooLarge {
                    key: key.clone(),
                    len: value.len(),
                });
            }
            self.put(key, value, condition)
        })
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            self.admit(true).await?;
            self.remove(key, Condition::Revision(revision)).map(drop)
        })
    }
}
