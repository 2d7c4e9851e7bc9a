//! Response bodies that are forwarded while they arrive.

use crate::body::Body;
use crate::guarded::CompletionGuard;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use knapweed_timer::TimerService;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::task::JoinHandle;

/// When the forwarding of a body ends, and where it comes from.
#[derive(Clone, Debug)]
pub(crate) struct Deadline {
    /// Clock and timers of the node.
    pub(crate) timer: TimerService,
    /// Time until the deadline of the request.
    pub(crate) left: Duration,
    /// Part of the node that forwards the body, for the log.
    pub(crate) part: &'static str,
    /// The backend server or node that sends the body.
    pub(crate) from: SocketAddr,
}

/// A body and the exchange that it comes from.
struct Exchange<G> {
    /// `None` after the deadline.
    body: Option<Body>,
    /// `None` after the end of the body, an error or the deadline.
    guard: Option<G>,
    waker: Option<Waker>,
}

/// A response body that ends with an error at the deadline of its request, also when its
/// receiver does not read it. A receiver that reads slowly would otherwise keep the slot and
/// the connection of the backend server, or a stream of the connection between two nodes.
pub(crate) struct StreamedBody<G> {
    exchange: Arc<Mutex<Exchange<G>>>,
    watch: JoinHandle<()>,
}

impl<G: CompletionGuard + 'static> StreamedBody<G> {
    /// Forwards `body`; `guard` is the exchange that it comes from.
    pub(crate) fn new(body: Body, guard: G, deadline: Deadline) -> Self {
        let exchange = Arc::new(Mutex::new(Exchange {
            body: Some(body),
            guard: Some(guard),
            waker: None,
        }));
        let watched = Arc::clone(&exchange);
        let watch = tokio::spawn(async move {
            deadline.timer.sleep(deadline.left).await;
            log::info!(
                target: deadline.part,
                "ended a response from {}: the deadline of its request has passed", deadline.from
            );
            let mut exchange = watched.lock();
            exchange.end();
            if let Some(waker) = exchange.waker.take() {
                waker.wake();
            }
        });
        Self { exchange, watch }
    }

    /// Erases the type of the guard.
    pub(crate) fn boxed(self) -> Body {
        self.boxed_unsync()
    }
}

impl<G> Exchange<G> {
    /// Closes the connection and frees the slot, unless the exchange is complete.
    fn end(&mut self) {
        self.body = None;
        self.guard = None;
    }
}

impl<G> Drop for StreamedBody<G> {
    fn drop(&mut self) {
        self.watch.abort();
        // The aborted task may keep its copy of the exchange for a moment.
        self.exchange.lock().end();
    }
}

impl<G: CompletionGuard + 'static> http_body::Body for StreamedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut exchange = self.exchange.lock();
        exchange.waker = Some(cx.waker().clone());
        let Some(body) = &mut exchange.body else {
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        // A reader may stop at the content length and never poll for the end.
        let is_complete = match &frame {
            None => true,
            Some(Ok(_)) => http_body::Body::is_end_stream(body),
            Some(Err(_)) => false,
        };
        if (is_complete || matches!(frame, Some(Err(_))))
            && let Some(mut guard) = exchange.guard.take()
            && is_complete
        {
            guard.complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let exchange = self.exchange.lock();
        exchange
            .body
            .as_ref()
            .is_some_and(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let exchange = self.exchange.lock();
        let body = exchange.body.as_ref();
        body.map_or_else(SizeHint::default, http_body::Body::size_hint)
    }
}
