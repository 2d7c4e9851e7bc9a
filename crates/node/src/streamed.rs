//! Response bodies that are forwarded while they arrive.

use crate::body::Body;
use crate::guarded::CompletionGuard;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use knapweed_timer::TimerService;
use knapweed_world::Time;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time after which a receiver that does not ask for the next piece of a body has stopped
/// reading. Receivers read on within milliseconds, unless their caller is slow.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(1);

/// When a body that is not read ends, and where it comes from.
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
    /// When the receiver took the last piece; `None` while it waits for the next one.
    taken_at: Option<Time>,
}

/// A response body that ends with an error when the deadline of its request has passed and
/// its receiver does not read it. Such a receiver would otherwise keep the slot and the
/// connection of the backend server, or a stream of the connection between two nodes. A
/// response that is read, or awaited, goes on after the deadline.
pub(crate) struct StreamedBody<G> {
    exchange: Arc<Mutex<Exchange<G>>>,
    timer: TimerService,
    watch: JoinHandle<()>,
}

impl<G: CompletionGuard + 'static> StreamedBody<G> {
    /// Forwards `body`; `guard` is the exchange that it comes from.
    pub(crate) fn new(body: Body, guard: G, deadline: Deadline) -> Self {
        let timer = deadline.timer.clone();
        let exchange = Arc::new(Mutex::new(Exchange {
            body: Some(body),
            guard: Some(guard),
            taken_at: Some(deadline.timer.now()),
        }));
        let watched = Arc::clone(&exchange);
        let watch = tokio::spawn(async move {
            let mut wait = deadline.left.max(MAX_UNREAD_TIME);
            while !wait.is_zero() {
                deadline.timer.sleep(wait).await;
                wait = watched.lock().time_left(deadline.timer.now());
            }
            log::info!(
                target: deadline.part,
                "ended a response from {}: it is not read, and its deadline has passed", deadline.from
            );
            watched.lock().end();
        });
        Self {
            exchange,
            timer,
            watch,
        }
    }

    /// Erases the type of the guard.
    pub(crate) fn boxed(self) -> Body {
        self.boxed_unsync()
    }
}

impl<G> Exchange<G> {
    /// Time until the receiver has stopped reading, unless it takes another piece.
    fn time_left(&self, now: Time) -> Duration {
        let Some(taken_at) = self.taken_at else {
            return MAX_UNREAD_TIME;
        };
        MAX_UNREAD_TIME.saturating_sub(now.since(taken_at))
    }

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
        exchange.taken_at = None;
        let Some(body) = &mut exchange.body else {
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        let now = self.timer.now();
        // A reader may stop at the content length and never poll for the end.
        let is_complete = match &frame {
            None => true,
            Some(Ok(_)) => http_body::Body::is_end_stream(body),
            Some(Err(_)) => false,
        };
        exchange.taken_at = Some(now);
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
