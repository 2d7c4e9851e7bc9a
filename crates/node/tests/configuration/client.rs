//! Model of a node's client of the platform's store: one call over the protocol, in which
//! revisions are plain numbers.

use futures_util::FutureExt;
use knapweed_store::{
    Changes, Condition, Error, Listing, MemoryStore, Object, ObjectKey, ObjectStore, Revision,
    StoreFuture,
};
use std::sync::Arc;
use std::time::Duration;

/// Longer than any run, so that the model of the mesh decides when a watch ends.
const UNTIL_CHANGED: Duration = Duration::from_secs(3_600);

/// One call to the store at a point in time.
#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) store: Arc<MemoryStore>,
    /// Revision that the first page of a listing reported; the objects are on a later one.
    pub(crate) first_page: Option<Revision>,
    /// Whether objects in the answer cannot be read.
    pub(crate) is_spoiled: bool,
    /// Whether a watch has waited long enough and is answered without changes.
    pub(crate) is_over: bool,
}

impl Client {
    /// A revision as the client decodes it: without the era of the answer.
    fn decoded(revision: Revision) -> Revision {
        Revision::new(revision.number)
    }

    /// A revision as the store understands it: a number in its own era.
    fn understood(&self, revision: Revision) -> Revision {
        Revision::new(revision.number).in_era(self.store.era())
    }

    fn object(&self, mut object: Object) -> Object {
        if self.is_spoiled {
            object.value = "{".into();
        }
        object.revision = Self::decoded(object.revision);
        object
    }
}

impl ObjectStore for Client {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        Box::pin(async move {
            let object = self.store.read(key).await?;
            Ok(object.map(|o| self.object(o)))
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(async move {
            let listing = self.store.list(kind).await?;
            let objects = listing.objects.into_iter();
            Ok(Listing {
                objects: objects.map(|(key, o)| (key, self.object(o))).collect(),
                revision: Self::decoded(self.first_page.unwrap_or(listing.revision)),
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
            let after = self.understood(after);
            let found = self.store.watch(kind, after, UNTIL_CHANGED).now_or_never();
            let mut changes = match found {
                Some(found) => found?,
                None if self.is_over => Changes {
                    changes: Vec::new(),
                    revision: self.store.latest_revision(),
                },
                None => std::future::pending().await,
            };
            for change in &mut changes.changes {
                change.object = change.object.take().map(|o| self.object(o));
            }
            changes.revision = Self::decoded(changes.revision);
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
