//! Bodies that pass through the node without being gathered.

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use knapweed_transport::{Receiver, Sender};
use std::io;

/// A body as gotham and hyper take it.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Longest request body that is kept until its outcome is known, in bytes, so
/// that it can be sent again.
pub const MAX_KEPT_LEN: u64 = 64 * 1024;

/// A body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body of known bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The rest of a stream between nodes, as a body.
///
/// A stream that ends early gives an error, never an early end.
pub fn from_receiver(receiver: Receiver) -> Body {
    let frames = stream::unfold(Some(receiver), |state| async {
        let mut receiver = state?;
        match receiver.body().await {
            Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(receiver))),
            Ok(None) => None,
            Err(err) => Some((Err(io::Error::other(err)), None)),
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Sends a body over a stream between nodes.
///
/// The stream is reset when the body ends early.
///
/// # Errors
///
/// The body ended early, or the other node no longer wants it.
pub async fn send(mut body: Body, sender: &mut Sender) -> io::Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            sender.body(chunk).await.map_err(io::Error::other)?;
        }
    }
    sender.finish();
    Ok(())
}

/// The body of a request on its way to a backend server.
#[derive(Debug)]
pub enum RequestBody {
    /// A body that is short enough to be kept; it can be sent again.
    Kept(Bytes),
    /// A body that is sent once while it arrives.
    Passing(Body),
    /// A body that was passed on and is gone.
    Gone,
}

impl RequestBody {
    /// Takes the body for one send; a kept one stays for another.
    pub fn take(&mut self) -> Body {
        match std::mem::replace(self, Self::Gone) {
            Self::Kept(bytes) => {
                *self = Self::Kept(bytes.clone());
                full(bytes)
            }
            Self::Passing(body) => body,
            Self::Gone => empty(),
        }
    }

    /// The length, or [`MAX_KEPT_LEN`] for a body whose length is not known yet.
    pub fn len_or_longest_kept(&self) -> usize {
        match self {
            Self::Kept(bytes) => bytes.len(),
            Self::Passing(_) => MAX_KEPT_LEN as usize,
            Self::Gone => 0,
        }
    }

    /// Whether there are no bytes to send.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Kept(bytes) if bytes.is_empty())
    }
}
