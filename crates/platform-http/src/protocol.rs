//! Paths, headers and documents of the object API.
//!
//! | call | answer |
//! |---|---|
//! | `GET /objects/<key>` | 200 with the value and its `etag`, or 404 |
//! | `GET /objects/<key>?after=<revision>&wait_ms=<n>` | 200 once the revision is higher, 304 when the time passed |
//! | `PUT /objects/<key>` with `if-match` or `if-none-match: *` | 200 with the new `etag`, 412 with the current one, 413 |
//! | `DELETE /objects/<key>` with `if-match` | 200, or 412 with the current `etag` |
//! | `GET /list?prefix=<prefix>` | 200 with [`Listing`] |
//!
//! Any call may be answered with 429 over the rate limit, 503 during an outage
//! (neither has an effect) and 500 when the answer was lost after the effect.

use knapweed_platform::{ObjectKey, Revision};
use serde::{Deserialize, Serialize};

/// Path of objects; the key follows.
pub const OBJECTS: &str = "/objects/";
/// Path of lists.
pub const LIST: &str = "/list";
/// Value of `if-none-match` that stands for any revision.
pub const ANY: &str = "*";

/// Answer to a list call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Objects in the order of their keys.
    pub objects: Vec<Listed>,
}

/// One object of a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listed {
    /// Its key.
    pub key: ObjectKey,
    /// Its revision.
    pub revision: Revision,
}

/// A revision as an entity tag, such as `"17"` with its quotes.
pub fn etag(revision: Revision) -> String {
    format!("\"{}\"", revision.0)
}

/// The revision in an entity tag.
pub fn parse_etag(tag: &str) -> Option<Revision> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Revision)
}

/// Whether a key or prefix can stand in a URI as it is.
pub fn is_uri_safe(text: &str) -> bool {
    let safe = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~' | b'/');
    text.bytes().all(safe)
}
