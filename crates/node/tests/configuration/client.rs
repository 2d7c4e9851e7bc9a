//! Model of a node's client of the platform's store: one call over the protocol, in which
//! revisions are plain numbers, and each answer reports the era of the store.

use crate::plan::Spoiled;
use futures_util::FutureExt;
use knapweed_store::{
    Change, Changes, Condition, Error, Listing, MemoryStore, Object, ObjectKey, ObjectStore,
    Revision, StoreEra, StoreFuture,
};
use std::sync::Arc;
use std::time::Duration;

/// Longer than any run, so that the model of the mesh decides when a watch ends.
const UNTIL_CHANGED: Duration = Duration::from_secs(3_600);

/// One call to the store at a point in time.
#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) store: Arc<MemoryStore>,
    /// The latest era that an answer has reported to the node.
    pub(crate) known_era: StoreEra,
    /// Revision that the first page of a listing reported; the objects are on a later one.
    pub(crate) first_page: Option<Revision>,
    /// What cannot be read of the entries in the answer.
    pub(crate) spoiled: Option<Spoiled>,
    /// Whether a watch has waited long enough and is answered without changes.
    pub(crate) is_over: bool,
}

impl Client {
    /// A revision as the store understands it: a number in its own era.
    fn understood(&self, revision: Revision) -> Revision {
        Revision::new(revision.number).in_era(self.store.latest_revision().era)
    }

    /// Revision of a listing whose pages are all of one era.
    fn listed(&self, last_page: Revision) -> Result<Revision, Error> {
        let first_page = self.first_page.unwrap_or(last_page);
        match first_page.era == last_page.era {
            true => Ok(first_page),
            false => Err(Error::Unavailable("pages of two eras".into())),
        }
    }

    /// An object of an answer; `None` when the client leaves it out.
    fn object(&self, mut object: Object) -> Option<Object> {
        match self.spoiled {
            None => {}
            Some(Spoiled::Value) => object.value = "{".into(),
            Some(Spoiled::Entry) => return None,
        }
        Some(object)
    }
}

impl Client {
    /// A change of an answer; `None` when the client leaves it out.
    fn change(&self, mut change: Change) -> Option<Change> {
        if let Some(object) = change.object {
            change.object = Some(self.object(object)?);
        }
        Some(change)
    }
}

impl ObjectStore for Client {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        Box::pin(async move {
            let object = self.store.read(key).await?;
            Ok(object.and_then(|o| self.object(o)))
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(async move {
            let listing = self.store.list(kind).await?;
            let count = listing.objects.len();
            let objects = listing.objects.into_iter();
            let read = objects.filter_map(|(key, o)| Some((key, self.object(o)?)));
            let objects: Vec<_> = read.collect();
            Ok(Listing {
                is_partial: listing.is_partial || objects.len() < count,
                objects,
                revision: self.listed(listing.revision)?,
            })
        })
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        _wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        Box::pin(async move {
            if after.era < self.known_era {
                return Err(Error::HistoryCompacted(after));
            }
            let number = self.understood(after);
            let found = self.store.watch(kind, number, UNTIL_CHANGED).now_or_never();
            let mut changes = match found {
                Some(found) => found?,
                None if self.is_over => Changes {
                    changes: Vec::new(),
                    is_partial: false,
                    revision: self.store.latest_revision(),
                },
                None => std::future::pending().await,
            };
            if changes.revision.era != after.era {
                return Err(Error::HistoryCompacted(after));
            }
            let count = changes.changes.len();
            let read = changes.changes.into_iter();
            changes.changes = read.filter_map(|c| self.change(c)).collect();
            changes.is_partial |= changes.changes.len() < count;
            Ok(changes)
        })
    }

    fn write<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _value: bytes::Bytes,
        _condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        Box::pin(async { Err(Error::Unavailable("nodes do not write".into())) })
    }

    fn delete<'a>(&'a self, _key: &'a ObjectKey, _revision: Revision) -> StoreFuture<'a, ()> {
        Box::pin(async { Err(Error::Unavailable("nodes do not write".into())) })
    }
}
