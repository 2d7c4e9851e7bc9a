//! Encoding of messages: one version byte, then a postcard value.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Protocol version that this build sends and accepts.
pub const VERSION: u8 = 6;

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The input has no bytes.
    #[error("the message is empty")]
    Empty,
    /// The sender uses another protocol version.
    #[error("message version {0} is unknown, this node speaks version {VERSION}")]
    UnknownVersion(u8),
    /// The bytes after the version byte are not a valid message.
    #[error("the message cannot be decoded: {0}")]
    Malformed(postcard::Error),
    /// postcard cannot represent the message.
    #[error("the message cannot be encoded: {0}")]
    Unencodable(postcard::Error),
}

/// Encodes a message, with the version byte in front.
///
/// # Errors
///
/// [`Error::Unencodable`] when a value has a length that postcard cannot represent.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, Error> {
    let buf = postcard::to_extend(message, vec![VERSION]).map_err(Error::Unencodable)?;
    Ok(Bytes::from(buf))
}

/// Checks the version byte and decodes the message.
///
/// # Errors
///
/// The bytes are empty, have another protocol version, or are not a valid message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    match bytes.split_first() {
        None => Err(Error::Empty),
        Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(Error::Malformed),
        Some((version, _)) => Err(Error::UnknownVersion(*version)),
    }
}
