//! Objects of the platform, their keys and revisions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// Key of an object: path segments separated by `/`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectKey(Arc<str>);

impl ObjectKey {
    /// A key with the given path.
    pub fn new(path: impl AsRef<str>) -> Self {
        Self(Arc::from(path.as_ref()))
    }

    /// The path.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Revision of an object: grows with every write to the platform.
///
/// The revision of a lease object is its fencing token.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Its revision.
    pub revision: Revision,
    /// Its value.
    pub value: Bytes,
}

/// Condition of a write or deletion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}
