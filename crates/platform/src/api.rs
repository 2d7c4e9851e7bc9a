//! The operations of the platform's object API.

use crate::{Condition, Object, ObjectKey, Revision};
use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// The reason why an operation gave no result.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold; nothing was written.
    #[error("the object {key} has changed (revision now: {current:?})")]
    Conflict {
        /// The object.
        key: ObjectKey,
        /// Its revision now; `None` when it does not exist.
        current: Option<Revision>,
    },
    /// The platform refused the call for its rate limit; nothing was written.
    #[error("the platform refused the call: over its rate limit")]
    Throttled,
    /// The platform could not be reached; nothing was written.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost; a write may have taken effect.
    #[error("the answer of the platform was lost: {0}")]
    AnswerLost(String),
    /// The value is larger than [`crate::object::MAX_VALUE_LEN`]; nothing was written.
    #[error("the value of {key} has {len} bytes, over the limit")]
    TooLarge {
        /// The object.
        key: ObjectKey,
        /// Length of the value in bytes.
        len: usize,
    },
    /// The platform's answer cannot be understood; a write may have taken effect.
    #[error("the platform's answer cannot be understood: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that ended with this error may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::AnswerLost(_) | Self::Malformed(_))
    }
}

/// The answer to an operation, still to come.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The platform's object API.
pub trait Platform: Send + Sync {
    /// Reads an object; `None` when it does not exist.
    fn read<'a>(&'a self, key: &'a ObjectKey) -> Answer<'a, Option<Object>>;

    /// Waits until the object has a revision above `after`, at most `wait`.
    ///
    /// Returns `None` when the time passed without a change.
    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Revision,
        wait: Duration,
    ) -> Answer<'a, Option<Object>>;

    /// Writes an object when the condition holds, and returns its new revision.
    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> Answer<'a, Revision>;

    /// Deletes an object when it has the given revision.
    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> Answer<'a, ()>;

    /// Lists the keys that start with `prefix`, with their revisions, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<(ObjectKey, Revision)>>;
}
