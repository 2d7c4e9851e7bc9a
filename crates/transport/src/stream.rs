//! Streams with one framed head in front of a body.

use bytes::Bytes;
use quinn::{ReadExactError, RecvStream, SendStream, VarInt};

/// Longest head of a stream, in bytes.
pub const MAX_HEAD_LEN: usize = 96 * 1024;
/// Largest piece of a body read at once, in bytes.
const MAX_CHUNK_LEN: usize = 64 * 1024;
/// Length of the frame in front of a head, in bytes.
const FRAME_LEN: usize = 4;
/// Code of a stream that its sender gave up.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// The reason why a stream ended early.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head is longer than [`MAX_HEAD_LEN`].
    #[error("a stream head of {0} bytes is over the limit of {MAX_HEAD_LEN}")]
    HeadTooLong(usize),
    /// The other end gave the stream up.
    #[error("the other end gave the stream up")]
    Cancelled,
    /// The connection ended.
    #[error("the connection ended: {0}")]
    Lost(String),
}

/// The sending half of a stream.
///
/// Dropping it before [`Sender::finish`] resets the stream, so that the
/// receiver never takes a part of a body for the whole.
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
    /// The head is too long, or the stream ended.
    pub async fn head(&mut self, head: &[u8]) -> Result<(), Error> {
        if head.len() > MAX_HEAD_LEN {
            return Err(Error::HeadTooLong(head.len()));
        }
        let mut buf = Vec::with_capacity(FRAME_LEN + head.len());
        buf.extend_from_slice(&(head.len() as u32).to_le_bytes());
        buf.extend_from_slice(head);
        self.body(Bytes::from(buf)).await
    }

    /// Sends a piece of the body, waiting for flow control.
    ///
    /// # Errors
    ///
    /// The other end gave the stream up, or the connection ended.
    pub async fn body(&mut self, chunk: Bytes) -> Result<(), Error> {
        self.inner
            .write_chunk(chunk)
            .await
            .map_err(|err| match err {
                quinn::WriteError::Stopped(_) => Error::Cancelled,
                err => Error::Lost(err.to_string()),
            })
    }

    /// Marks the body as whole.
    pub fn finish(&mut self) {
        self.finished = true;
        // An error means that the stream was reset or stopped, and there is
        // nobody left to tell.
        let _ = self.inner.finish();
    }

    /// Waits until the other end gives the stream up. Does not end when the
    /// connection is lost: the other end may still inquire about the exchange.
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

/// The receiving half of a stream. Dropping it tells the sender to stop.
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
    /// The head is too long, or the stream ended before its end.
    pub async fn head(&mut self) -> Result<Bytes, Error> {
        let mut frame = [0; FRAME_LEN];
        self.read_exact(&mut frame).await?;
        let len = u32::from_le_bytes(frame) as usize;
        if len > MAX_HEAD_LEN {
            return Err(Error::HeadTooLong(len));
        }
        let mut buf = vec![0; len];
        self.read_exact(&mut buf).await?;
        Ok(Bytes::from(buf))
    }

    /// Receives the next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The sender gave the stream up, or the connection ended.
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
    /// The body is longer than `limit`, or the stream ended early.
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
