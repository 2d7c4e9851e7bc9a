//! Streams that carry a length-prefixed head, followed by a body.

use bytes::Bytes;
use quinn::{ReadExactError, RecvStream, SendStream, VarInt};

/// Maximum length of a head, in bytes.
pub const MAX_HEAD_LEN: usize = 96 * 1024;
/// Maximum length of a body chunk that is read at once, in bytes.
const MAX_CHUNK_LEN: usize = 64 * 1024;
/// Size of the length prefix of a head, in bytes: a little-endian `u32`.
const LEN_PREFIX_SIZE: usize = 4;
/// Error code of a stream that its sender has reset before the end.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Error of sending or receiving on a stream.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head is longer than [`MAX_HEAD_LEN`], or a body exceeds the limit of
    /// [`Receiver::rest`].
    #[error("a stream head of {0} bytes exceeds the limit of {MAX_HEAD_LEN}")]
    HeadTooLong(usize),
    /// The peer cancelled the stream.
    #[error("the peer cancelled the stream")]
    Cancelled,
    /// The connection was lost.
    #[error("the connection was lost: {0}")]
    Lost(String),
}

/// The sending half of a stream.
///
/// Dropping it before [`Sender::finish`] resets the stream, so that the receiver
/// never takes a truncated body for a complete one.
#[derive(Debug)]
pub struct Sender {
    inner: SendStream,
    finished: bool,
}

impl Sender {
    pub(crate) fn new(inner: SendStream) -> Self {
        Self {
            inner,
            finished: false,
        }
    }

    /// Sends the head.
    ///
    /// # Errors
    ///
    /// The head is too long, the peer cancelled the stream, or the connection was lost.
    pub async fn head(&mut self, head: &[u8]) -> Result<(), Error> {
        if head.len() > MAX_HEAD_LEN {
            return Err(Error::HeadTooLong(head.len()));
        }
        let mut buf = Vec::with_capacity(LEN_PREFIX_SIZE + head.len());
        buf.extend_from_slice(&(head.len() as u32).to_le_bytes());
        buf.extend_from_slice(head);
        self.body(Bytes::from(buf)).await
    }

    /// Sends a chunk of the body, waiting for flow control.
    ///
    /// # Errors
    ///
    /// The peer cancelled the stream, or the connection was lost.
    pub async fn body(&mut self, chunk: Bytes) -> Result<(), Error> {
        self.inner
            .write_chunk(chunk)
            .await
            .map_err(|err| match err {
                quinn::WriteError::Stopped(_) => Error::Cancelled,
                err => Error::Lost(err.to_string()),
            })
    }

    /// Marks the end of the body.
    pub fn finish(&mut self) {
        self.finished = true;
        // An error means that the stream was reset or stopped already, so there is
        // nothing to report to the peer.
        let _ = self.inner.finish();
    }

    /// Waits until the peer has received everything up to [`Sender::finish`], has cancelled
    /// the stream, or the connection is lost.
    pub async fn delivered(&self) {
        let _ = self.inner.stopped().await;
    }

    /// Waits until the peer cancels the stream. Does not complete when the connection
    /// is lost, because the peer may still inquire about the outcome of the exchange.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + use<> {
        let stopped = self.inner.stopped();
        async move {
            if !matches!(stopped.await, Ok(Some(_))) {
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.inner.reset(CANCELLED);
        }
    }
}

/// The receiving half of a stream. Dropping it asks the sender to stop.
#[derive(Debug)]
pub struct Receiver {
    inner: RecvStream,
}

impl Receiver {
    pub(crate) fn new(inner: RecvStream) -> Self {
        Self { inner }
    }

    /// Receives the head.
    ///
    /// # Errors
    ///
    /// The head is too long, or the stream ended before the end of the head.
    pub async fn head(&mut self) -> Result<Bytes, Error> {
        let mut len_prefix = [0; LEN_PREFIX_SIZE];
        self.read_exact(&mut len_prefix).await?;
        let len = u32::from_le_bytes(len_prefix) as usize;
        if len > MAX_HEAD_LEN {
            return Err(Error::HeadTooLong(len));
        }
        let mut buf = vec![0; len];
        self.read_exact(&mut buf).await?;
        Ok(Bytes::from(buf))
    }

    /// Receives the next chunk of the body; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The sender cancelled the stream, or the connection was lost.
    pub async fn body(&mut self) -> Result<Option<Bytes>, Error> {
        match self.inner.read_chunk(MAX_CHUNK_LEN, true).await {
            Ok(chunk) => Ok(chunk.map(|c| c.bytes)),
            Err(quinn::ReadError::Reset(_)) => Err(Error::Cancelled),
            Err(err) => Err(Error::Lost(err.to_string())),
        }
    }

    /// Receives the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::HeadTooLong`] when the body is longer than `limit`; other errors when the
    /// stream ended before the end of the body.
    pub async fn rest(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut buf = Vec::new();
        while let Some(chunk) = self.body().await? {
            if buf.len() + chunk.len() > limit {
                return Err(Error::HeadTooLong(buf.len() + chunk.len()));
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(Bytes::from(buf))
    }

    async fn read_exact(&mut self, buf: &mut [u8]) -> Result<(), Error> {
        self.inner.read_exact(buf).await.map_err(|err| match err {
            ReadExactError::FinishedEarly(_) => Error::Cancelled,
            ReadExactError::ReadError(quinn::ReadError::Reset(_)) => Error::Cancelled,
            ReadExactError::ReadError(err) => Error::Lost(err.to_string()),
        })
    }
}
