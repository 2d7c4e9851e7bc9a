//! The encoding: one version byte, then a postcard value.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages that this build speaks.
pub const VERSION: u8 = 1;

/// The reason why bytes are not a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// There are no bytes.
    #[error("the message is empty")]
    Empty,
    /// The sender speaks another version.
    #[error("message version {0} is unknown, this node speaks version {VERSION}")]
    UnknownVersion(u8),
    /// The bytes after the version are not a message.
    #[error("the message cannot be decoded: {0}")]
    Malformed(postcard::Error),
    /// The message cannot be encoded.
    #[error("the message cannot be encoded: {0}")]
    Unencodable(postcard::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// A value has a length that postcard cannot represent.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, Error> {
    let buf = postcard::to_extend(message, vec![VERSION]).map_err(Error::Unencodable)?;
    Ok(Bytes::from(buf))
}

/// Decodes a message.
///
/// # Errors
///
/// The bytes are empty, of another version, or not a message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(Error::Malformed),
        Some((version, _)) => Err(Error::UnknownVersion(*version)),
    }
}
