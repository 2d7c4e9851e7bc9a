//! Objects of the store, their keys and write conditions.

use bytes::Bytes;
use knapweed_world::Revision;
use std::fmt;
use std::sync::Arc;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// Key of an object: its kind, and its name, which is unique within the kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectKey {
    kind: Arc<str>,
    name: Arc<str>,
}

impl ObjectKey {
    /// Creates the key of the object `name` of `kind`.
    pub fn new(kind: impl AsRef<str>, name: impl AsRef<str>) -> Self {
        Self {
            kind: Arc::from(kind.as_ref()),
            name: Arc::from(name.as_ref()),
        }
    }

    /// Kind of the object.
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Name of the object within its kind.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A stored object at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Revision of the last change of the object.
    pub revision: Revision,
    /// Value, a JSON document.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this revision.
    Revision(Revision),
}
