//! Configuration deltas: the head object and the parts that the receiver lacks.
//!
//! Parts are content-addressed: the receiver verifies each one by its digest, so a
//! delta carries no part names. A part of which the receiver has an earlier content is a
//! [`Patch`] of that one.

use crate::Patch;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::io::{Read, Write};

/// Largest delta after decompression, and largest sum of the parts that it makes, in bytes.
pub const MAX_DELTA_LEN: usize = 16 * 1024 * 1024;
/// zstd level: parts are about 1 KB, for which higher levels save less than 2%.
const COMPRESSION_LEVEL: i32 = 3;

/// Why a delta could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes do not decompress or decode to a delta; holds the cause.
    #[error("the bytes are not a compressed delta: {0}")]
    Malformed(String),
    /// The uncompressed delta, or the sum of its parts, is longer than [`MAX_DELTA_LEN`].
    #[error("the delta is over the limit of {MAX_DELTA_LEN} bytes")]
    TooLong,
    /// The receiver does not have the base of a patch.
    #[error("the base {0:?} of a patch is unknown")]
    UnknownBase(PartTag),
}

/// Truncated BLAKE3 digest of the content of a part.
///
/// A collision costs at most one more fetch, because the receiver verifies each
/// part by its full digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartTag(pub u32);

impl PartTag {
    /// Computes the tag of a part from its content.
    pub fn of(content: &[u8]) -> Self {
        Self::of_digest(blake3::hash(content).as_bytes())
    }

    /// Truncates the BLAKE3 digest of a part.
    pub fn of_digest(digest: &[u8; 32]) -> Self {
        let [a, b, c, d, ..] = *digest;
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// The content of a part with its tag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Tag of the content.
    pub tag: PartTag,
    /// The content.
    pub content: Bytes,
}

impl From<Bytes> for Part {
    fn from(content: Bytes) -> Self {
        let tag = PartTag::of(&content);
        Self { tag, content }
    }
}

/// A part of the configuration of a sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// The part.
    pub part: Part,
    /// An earlier content that the receiver has, if one is known.
    pub base: Option<Part>,
}

/// A configuration head with the parts that the receiver lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The head object, as stored on the platform.
    pub head: Bytes,
    /// Contents of the missing parts that are sent whole.
    pub parts: Vec<Bytes>,
    /// The other missing parts.
    pub patches: Vec<Patch>,
}

impl Delta {
    /// Builds the delta of `head` for a receiver that already has the parts tagged in `have`.
    pub fn between(
        head: Bytes,
        parts: impl IntoIterator<Item = Outgoing>,
        have: &HashSet<PartTag>,
    ) -> Self {
        let mut delta = Self {
            head,
            parts: Vec::new(),
            patches: Vec::new(),
        };
        let missing = parts.into_iter().filter(|p| !have.contains(&p.part.tag));
        for Outgoing { part, base } in missing {
            let patch = base.and_then(|b| Patch::between(b.tag, &b.content, &part.content));
            match patch {
                Some(patch) => delta.patches.push(patch),
                None => delta.parts.push(part.content),
            }
        }
        delta
    }

    /// Returns the contents of all parts of the delta. `base_of` looks up the parts that the
    /// receiver has.
    ///
    /// # Errors
    ///
    /// A base is unknown, a patch does not fit it, or the contents have more than
    /// [`MAX_DELTA_LEN`] bytes.
    pub fn into_contents(
        self,
        base_of: &dyn Fn(PartTag) -> Option<Bytes>,
    ) -> Result<Vec<Bytes>, Error> {
        let mut contents = self.parts;
        let whole_len: usize = contents.iter().map(Bytes::len).sum();
        let mut left = MAX_DELTA_LEN.checked_sub(whole_len).ok_or(Error::TooLong)?;
        for patch in self.patches {
            let base = base_of(patch.base).ok_or(Error::UnknownBase(patch.base))?;
            let content = patch.apply(&base, left)?;
            left -= content.len();
            contents.push(content);
        }
        Ok(contents)
    }

    /// Encodes and compresses the delta.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] when the encoded delta exceeds [`MAX_DELTA_LEN`], and
    /// [`Error::Malformed`] when encoding or compression fails.
    pub fn compress(&self) -> Result<Bytes, Error> {
        let encoded = postcard::to_stdvec(self).map_err(malformed)?;
        if encoded.len() > MAX_DELTA_LEN {
            return Err(Error::TooLong);
        }
        let compressed = compress(&encoded).map_err(malformed)?;
        Ok(Bytes::from(compressed))
    }

    /// Decompresses and decodes a delta, and stops at [`MAX_DELTA_LEN`] bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when the bytes are not a compressed delta, and
    /// [`Error::TooLong`] when it decompresses to more than [`MAX_DELTA_LEN`] bytes.
    pub fn decompress(compressed: &[u8]) -> Result<Self, Error> {
        let decoder = zstd::Decoder::new(compressed).map_err(malformed)?;
        let mut encoded = Vec::new();
        let limit = MAX_DELTA_LEN as u64 + 1;
        decoder
            .take(limit)
            .read_to_end(&mut encoded)
            .map_err(malformed)?;
        if encoded.len() > MAX_DELTA_LEN {
            return Err(Error::TooLong);
        }
        postcard::from_bytes(&encoded).map_err(malformed)
    }
}

/// Compresses with a checksum: no digest covers the head.
fn compress(encoded: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::Encoder::new(Vec::new(), COMPRESSION_LEVEL)?;
    encoder.include_checksum(true)?;
    encoder.write_all(encoded)?;
    encoder.finish()
}

pub(crate) fn malformed(err: impl std::fmt::Display) -> Error {
    Error::Malformed(err.to_string())
}
