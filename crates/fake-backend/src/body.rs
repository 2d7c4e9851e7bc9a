//! Bodies of responses.

use crate::run::Run;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Length of a frame of [`Pattern`], in bytes.
const CHUNK_LEN: u64 = 16 * 1_024;

/// A body that holds the slot of its request until its end.
pub(crate) struct Tracked {
    body: Body,
    run: Option<Run>,
}

impl Tracked {
    /// Ends `run` with the end of `body`.
    pub(crate) fn wrap(body: Body, run: Run) -> Body {
        Body::new(Self {
            body,
            run: Some(run),
        })
    }

    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            run.finish();
        }
    }
}

impl HttpBody for Tracked {
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

impl Drop for Tracked {
    fn drop(&mut self) {
        // A server need not poll a body again that has said it is at its end.
        if self.body.is_end_stream() {
            self.finish();
        }
    }
}

/// A body of a given length that repeats the bytes 0 to 255.
pub(crate) struct Pattern {
    left: u64,
    chunk: Bytes,
}

impl Pattern {
    /// A body of `len` bytes.
    pub(crate) fn new(len: u64) -> Self {
        let chunk = (0..CHUNK_LEN).map(|i| i as u8);
        Self {
            left: len,
            chunk: chunk.collect(),
        }
    }
}

impl HttpBody for Pattern {
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
