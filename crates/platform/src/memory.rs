//! In-memory fake of the platform with fault switches and call counters.

use crate::api::{Answer, Error, Platform};
use crate::object::{Condition, MAX_VALUE_LEN, Object, ObjectKey, Revision};
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::watch;

/// Faults that the fake shows from now on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call fails before it takes effect.
    pub outage: bool,
    /// Added time of each call.
    pub delay: Duration,
    /// This many of the next writes take effect and then lose their answer.
    pub lost_answers: u32,
}

/// Calls counted since the start; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<ObjectKey, Object>,
    last: Revision,
    faults: Faults,
    calls: Calls,
}

/// An object store in the memory of this process.
pub struct MemoryPlatform {
    store: Mutex<Store>,
    changed: watch::Sender<Revision>,
}

/// Construction.
impl MemoryPlatform {
    /// An empty store without faults.
    pub fn new() -> Self {
        let (changed, _) = watch::channel(Revision(0));
        Self {
            store: Mutex::default(),
            changed,
        }
    }
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self::new()
    }
}

/// Fault switches and counters.
impl MemoryPlatform {
    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.store.lock().faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.store.lock().faults
    }

    /// Calls counted so far.
    pub fn calls(&self) -> Calls {
        self.store.lock().calls
    }
}

/// Steps of an operation.
impl MemoryPlatform {
    async fn admit(&self, write: bool) -> Result<(), Error> {
        let faults = {
            let mut store = self.store.lock();
            match write {
                true => store.calls.writes += 1,
                false => store.calls.reads += 1,
            }
            store.faults
        };
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.outage {
            return Err(Error::Unavailable("outage".into()));
        }
        Ok(())
    }

    fn get(&self, key: &ObjectKey) -> Option<Object> {
        self.store.lock().objects.get(key).cloned()
    }

    fn put(&self, key: &ObjectKey, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let mut store = self.store.lock();
        check(&store, key, condition)?;
        let revision = Revision(store.last.0 + 1);
        store.last = revision;
        store
            .objects
            .insert(key.clone(), Object { revision, value });
        self.finish(&mut store, revision)
    }

    fn remove(&self, key: &ObjectKey, condition: Condition) -> Result<Revision, Error> {
        let mut store = self.store.lock();
        check(&store, key, condition)?;
        let revision = Revision(store.last.0 + 1);
        store.last = revision;
        store.objects.remove(key);
        self.finish(&mut store, revision)
    }

    fn finish(&self, store: &mut Store, revision: Revision) -> Result<Revision, Error> {
        self.changed.send_replace(revision);
        if store.faults.lost_answers > 0 {
            store.faults.lost_answers -= 1;
            return Err(Error::AnswerLost("switched on".into()));
        }
        Ok(revision)
    }
}

fn check(store: &Store, key: &ObjectKey, condition: Condition) -> Result<(), Error> {
    let current = store.objects.get(key).map(|o| o.revision);
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

impl Platform for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            self.admit(false).await?;
            Ok(self.get(key))
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Revision,
        wait: Duration,
    ) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let mut changed = self.changed.subscribe();
            self.admit(false).await?;
            let newer = async {
                loop {
                    if let Some(object) = self.get(key).filter(|o| o.revision > after) {
                        return Some(object);
                    }
                    changed.changed().await.ok()?;
                }
            };
            Ok(tokio::time::timeout(wait, newer).await.unwrap_or(None))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> Answer<'a, Revision> {
        Box::pin(async move {
            self.admit(true).await?;
            if value.len() > MAX_VALUE_LEN {
                return Err(Error::TooLarge {
                    key: key.clone(),
                    len: value.len(),
                });
            }
            self.put(key, value, condition)
        })
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> Answer<'a, ()> {
        Box::pin(async move {
            self.admit(true).await?;
            self.remove(key, Condition::Revision(revision)).map(drop)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<(ObjectKey, Revision)>> {
        Box::pin(async move {
            self.admit(false).await?;
            let store = self.store.lock();
            let matching = store
                .objects
                .iter()
                .filter(|(k, _)| k.as_str().starts_with(prefix));
            Ok(matching.map(|(k, o)| (k.clone(), o.revision)).collect())
        })
    }
}
