//! Response bodies that end with their connection.

use crate::body::{Body, ReadToEnd};
use bytes::Bytes;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Whether the end of the connection is the end of the body (RFC 9112, section 6.3): it states
/// no length and has no chunks.
pub(super) fn ends_with_connection(headers: &HeaderMap, body: &impl http_body::Body) -> bool {
    body.size_hint().exact().is_none() && !headers.contains_key(TRANSFER_ENCODING)
}

/// A body that ends with its connection. Its end is an error while the request is still being
/// sent: a backend server that gives up ends its connection in the same way.
pub(super) struct UnsizedBody {
    inner: Body,
    request_end: ReadToEnd,
}

impl UnsizedBody {
    pub(super) fn new(inner: Body, request_end: ReadToEnd) -> Self {
        Self { inner, request_end }
    }

    /// Erases the type.
    pub(super) fn boxed(self) -> Body {
        self.boxed_unsync()
    }
}

impl http_body::Body for UnsizedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if frame.is_none() && !self.request_end.is_reached() {
            return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
