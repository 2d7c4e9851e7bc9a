//! Configuration deltas: the head and the parts that the receiver lacks.
//!
//! Parts are addressed by their content, so the receiver checks each one by its
//! digest and needs no names for them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::io::Read;

/// Largest delta after decompression, in bytes.
pub const MAX_DELTA_LEN: usize = 16 * 1024 * 1024;
/// Compression level: parts are about 1 KB, where higher levels gain less than 2%.
const LEVEL: i32 = 3;

/// The reason why a delta was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are not a compressed delta.
    #[error("the bytes are not a compressed delta: {0}")]
    Malformed(String),
    /// The delta is longer than [`MAX_DELTA_LEN`].
    #[error("the delta is over the limit of {MAX_DELTA_LEN} bytes")]
    TooLong,
}

/// Short name of a part: the first bytes of the digest of its content.
///
/// Two parts with the same tag only cost a second fetch, since every part is
/// checked by its whole digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartTag(pub u32);

impl PartTag {
    /// The tag of a part with this content.
    pub fn of(content: &[u8]) -> Self {
        let digest = blake3::hash(content);
        let [a, b, c, d, ..] = *digest.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// A head and the parts that a receiver lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The head object, as stored on the platform.
    pub head: Bytes,
    /// Contents of parts.
    pub parts: Vec<Bytes>,
}

impl Delta {
    /// The delta of `head` with `parts` for a receiver that has the parts of `have`.
    pub fn between(
        head: Bytes,
        parts: impl IntoIterator<Item = Bytes>,
        have: impl IntoIterator<Item = PartTag>,
    ) -> Self {
        let have: HashSet<_> = have.into_iter().collect();
        let lacking = parts
            .into_iter()
            .filter(|p| !have.contains(&PartTag::of(p)));
        Self {
            head,
            parts: lacking.collect(),
        }
    }

    /// The delta, compressed.
    ///
    /// # Errors
    ///
    /// The delta is too long.
    pub fn compress(&self) -> Result<Bytes, Error> {
        let plain = postcard::to_stdvec(self).map_err(malformed)?;
        if plain.len() > MAX_DELTA_LEN {
            return Err(Error::TooLong);
        }
        let packed = zstd::encode_all(&plain[..], LEVEL).map_err(malformed)?;
        Ok(Bytes::from(packed))
    }

    /// Reads a compressed delta.
    ///
    /// # Errors
    ///
    /// The bytes are not a delta, or it is too long.
    pub fn decompress(packed: &[u8]) -> Result<Self, Error> {
        let decoder = zstd::Decoder::new(packed).map_err(malformed)?;
        let mut plain = Vec::new();
        let limit = MAX_DELTA_LEN as u64 + 1;
        decoder
            .take(limit)
            .read_to_end(&mut plain)
            .map_err(malformed)?;
        if plain.len() > MAX_DELTA_LEN {
            return Err(Error::TooLong);
        }
        postcard::from_bytes(&plain).map_err(malformed)
    }
}

fn malformed(err: impl std::fmt::Display) -> Error {
    Error::Malformed(err.to_string())
}
