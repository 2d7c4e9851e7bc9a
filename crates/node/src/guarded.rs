//! Bodies that own a guard and notify it when they were read to their end.

use crate::body::Body;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A resource that is held while a [`GuardedBody`] body is read.
pub trait CompletionGuard: Send + Unpin {
    /// Called when the body was read to its end. A guard that is dropped without
    /// this call belongs to a body that was aborted.
    fn complete(&mut self);
}

impl CompletionGuard for () {
    fn complete(&mut self) {}
}

/// A body that holds a guard until its end, an error or its drop.
pub struct GuardedBody<G> {
    inner: Body,
    guard: Option<G>,
}

impl<G: CompletionGuard + 'static> GuardedBody<G> {
    /// Attaches `guard` to `inner`.
    pub fn new(inner: Body, guard: G) -> Self {
        Self {
            inner,
            guard: Some(guard),
        }
    }

    /// Erases the type of the guard.
    pub fn boxed(self) -> Body {
        self.boxed_unsync()
    }

    fn complete(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.complete();
        }
    }
}

impl<G: CompletionGuard + 'static> http_body::Body for GuardedBody<G> {
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
            // A reader may stop at the content length and never poll for the end.
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
