//! The object store interface: operations, results and errors.

use crate::{Condition, Object, ObjectKey, Revision, StoreEra};
use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// Error of an operation of the store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The condition of the write does not hold; nothing was written.
    #[error("the object {key} has changed (revision now: {current:?})")]
    Conflict {
        /// Key of the object.
        key: ObjectKey,
        /// Current revision; `None` when the object does not exist or the revision
        /// is not known.
        current: Option<Revision>,
    },
    /// The store no longer retains the changes since the revision; the caller must
    /// list the objects again.
    #[error("the history since revision {0} is no longer available")]
    HistoryCompacted(Revision),
    /// The store refused the call because of its rate limit; nothing was written.
    #[error("the store refused the call: rate limit exceeded")]
    Throttled,
    /// The store could not be reached; nothing was written.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The response was lost; a write may have taken effect, or may still do so.
    #[error("the response of the store was lost: {0}")]
    ResponseLost(String),
    /// The value is larger than [`crate::object::MAX_VALUE_LEN`]; nothing was written.
    #[error("the value of {key} exceeds the size limit: {len} bytes")]
    TooLarge {
        /// Key of the object.
        key: ObjectKey,
        /// Length of the value in bytes.
        len: usize,
    },
    /// The response of the store cannot be parsed; a write may have taken effect.
    #[error("the response of the store cannot be parsed: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that failed with this error may have taken effect nevertheless.
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::ResponseLost(_) | Self::Malformed(_))
    }
}

/// All objects of a kind at one revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Objects sorted by name.
    pub objects: Vec<(ObjectKey, Object)>,
    /// Whether entries that cannot be read were left out, so that an object which is not in
    /// the listing may exist.
    pub is_partial: bool,
    /// Revision of the store at the time of the listing, from which to start a watch.
    pub revision: Revision,
}

/// A change of one object, as reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the changed object.
    pub key: ObjectKey,
    /// New state of the object; `None` when it was deleted.
    pub object: Option<Object>,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Changes in the order of their revisions; empty when the watch timed out.
    pub changes: Vec<Change>,
    /// Whether changes that cannot be read were left out; a listing may have them.
    pub is_partial: bool,
    /// Revision up to which changes are reported, from which to continue the watch.
    pub revision: Revision,
}

/// Future of the result of a store operation.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// A store of versioned objects with conditional writes and watches.
///
/// A store may come back from an older copy of its data, which begins a new [`StoreEra`].
/// Revisions of an earlier era are refused: a watch from one fails with
/// [`Error::HistoryCompacted`], and a write on condition of one with [`Error::Conflict`],
/// or with [`Error::ResponseLost`] when the store reported the new era only in its response.
pub trait ObjectStore: Send + Sync {
    /// The latest era that a response of the store has reported; `None` before the first one.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Reads an object; returns `None` when it does not exist.
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>>;

    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing>;

    /// Lists all objects of a kind as they were some seconds ago at the earliest, which may
    /// cost the store less than [`ObjectStore::list`].
    fn list_outdated<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        self.list(kind)
    }

    /// Waits up to `wait` for changes of objects of the kind after a revision.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes>;

    /// Writes an object if the condition holds, and returns its revision. Writing
    /// an identical value keeps the revision.
    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision>;

    /// Deletes an object if it has the given revision.
    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()>;
}
