//! Configuration deltas: the head object and the parts that the receiver lacks.
//!
//! Parts are content-addressed: the receiver verifies each one by its digest, so a
//! delta carries no part names.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::io::Read;

/// Largest delta after decompression, in bytes.
pub const MAX_DELTA_LEN: usize = 16 * 1024 * 1024;
/// zstd level: parts are about 1 KB, for which higher levels save less than 2%.
const COMPRESSION_LEVEL: i32 = 3;

/// Why a delta could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes do not decompress or decode to a delta; holds the cause.
    #[error("the bytes are not a compressed delta: {0}")]
    Malformed(String),
    /// The uncompressed delta is longer than [`MAX_DELTA_LEN`].
    #[error("the delta is over the limit of {MAX_DELTA_LEN} bytes")]
    TooLong,
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
        let digest = blake3::hash(content);
        let [a, b, c, d, ..] = *digest.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// A configuration head with the parts that the receiver lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The head object, as stored on the platform.
    pub head: Bytes,
    /// Contents of the missing parts.
    pub parts: Vec<Bytes>,
}

impl Delta {
    /// Builds the delta of `head` for a receiver that already has the parts tagged in `have`.
    pub fn between(
        head: Bytes,
        parts: impl IntoIterator<Item = Bytes>,
        have: impl IntoIterator<Item = PartTag>,
    ) -> Self {
        let have: HashSet<_> = have.into_iter().collect();
        let missing = parts
            .into_iter()
            .filter(|p| !have.contains(&PartTag::of(p)));
        Self {
            head,
            parts: missing.collect(),
        }
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
        let compressed = zstd::encode_all(&encoded[..], COMPRESSION_LEVEL).map_err(malformed)?;
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

fn malformed(err: impl std::fmt::Display) -> Error {
    Error::Malformed(err.to_string())
}
