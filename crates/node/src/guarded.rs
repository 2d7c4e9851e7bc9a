//! Bodies that tell a guard whether they were read to their end.

use crate::body::Body;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// What a [`Guarded`] body tells.
pub trait Guard: Send + Unpin {
    /// The body was read to its end. Without this call before the drop, it was cut short.
    fn complete(&mut self);
}

/// A body with a guard that lives as long as the body is being read.
pub struct Guarded<G> {
    inner: Body,
    guard: Option<G>,
}

impl<G: Guard + 'static> Guarded<G> {
    /// Adds a guard to a body.
    pub fn new(inner: Body, guard: G) -> Self {
        Self {
            inner,
            guard: Some(guard),
        }
    }

    /// The body without its type.
    pub fn boxed(self) -> Body {
        self.boxed_unsync()
    }

    fn complete(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.complete();
        }
    }
}

impl<G: Guard + 'static> http_body::Body for Guarded<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.complete(),
            Some(Err(_)) => drop(self.guard.take()),
            // A reader may stop at the announced length without asking for the end.
            Some(Ok(_)) if self.inner.is_end_stream() => self.complete(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
