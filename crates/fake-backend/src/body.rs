//! Response bodies that report their end or generate their content.

use crate::active_request::ActiveRequest;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Length of a frame of [`PatternBody`], in bytes; a multiple of 256, so that frames join seamlessly.
const CHUNK_LEN: u64 = 16 * 1_024;

/// A body that keeps the slot of its request until the response has been sent.
pub(crate) struct TrackedBody {
    body: Body,
    request: Option<ActiveRequest>,
}

impl TrackedBody {
    /// Wraps `body` so that `request` finishes when it ends, and is cancelled when it is dropped earlier.
    pub(crate) fn wrap(body: Body, request: ActiveRequest) -> Body {
        Body::new(Self {
            body,
            request: Some(request),
        })
    }

    fn finish(&mut self) {
        if let Some(request) = self.request.take() {
            request.finish();
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.finish();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // The server may skip the last poll of a body whose `is_end_stream` is true.
        if self.body.is_end_stream() {
            self.finish();
        }
    }
}

/// A body of a given length that repeats the bytes 0 to 255.
pub(crate) struct PatternBody {
    left: u64,
    chunk: Bytes,
}

impl PatternBody {
    /// Creates a body of `len` bytes.
    pub(crate) fn new(len: u64) -> Self {
        let chunk = (0..CHUNK_LEN).map(|i| i as u8);
        Self {
            left: len,
            chunk: chunk.collect(),
        }
    }
}

impl HttpBody for PatternBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let len = self.left.min(CHUNK_LEN);
        self.left -= len;
        let chunk = self.chunk.slice(..len as usize);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
