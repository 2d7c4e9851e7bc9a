//! Validated names of objects, stored as shared bytes.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Error of parsing a name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_LEN`] bytes.
    #[error("a name has at most {MAX_NAME_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character other than ASCII letters, digits, `-`, `_` and `.`.
    #[error("a name has only letters, digits, '-', '_' and '.', found byte {byte:#04x} at {index}")]
    BadByte {
        /// Position of the byte, from 0.
        index: usize,
        /// The byte found.
        byte: u8,
    },
}

/// Name of a host, availability zone, region, service, version or route.
///
/// Clones share the bytes, which are always ASCII.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(Bytes);

/// Construction from bytes.
impl Name {
    /// Validates `bytes` and uses them as a name without copying.
    ///
    /// # Errors
    ///
    /// The bytes are empty, too long, or contain a character that names must not have.
    pub fn from_bytes(bytes: Bytes) -> Result<Self, Error> {
        if bytes.is_empty() {
            return Err(Error::Empty);
        }
        if bytes.len() > MAX_NAME_LEN {
            return Err(Error::TooLong(bytes.len()));
        }
        match bytes.iter().position(|b| !is_name_byte(*b)) {
            Some(index) => Err(Error::BadByte {
                index,
                byte: bytes[index],
            }),
            None => Ok(Self(bytes)),
        }
    }
}

/// Conversion to bytes and text.
impl Name {
    /// The name as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).expect("names are ASCII")
    }
}

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.')
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        Self::from_bytes(Bytes::copy_from_slice(s.as_bytes()))
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        Self::from_bytes(Bytes::from(text)).map_err(de::Error::custom)
    }
}
