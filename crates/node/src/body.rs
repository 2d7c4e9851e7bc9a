//! Request and response bodies: the common body type, limited buffering, and
//! streaming between nodes.

use crate::guarded::{CompletionGuard, GuardedBody};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, stream};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Full, StreamBody};
use knapweed_host::ByteBudget;
use knapweed_host::byte_budget::Reservation;
use knapweed_observe::part;
use knapweed_transport::{Receiver, Sender};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// The body type that the gotham handlers and the hyper clients of the node share.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

/// Longest request body, in bytes, that is buffered until the outcome of the
/// request is known, so that a retry can send it again. Uploads of a few hundred
/// KB fit.
pub const MAX_BUFFERED_LEN: usize = 512 * 1024;

/// Longest response of another node, in bytes, that is buffered when it has arrived.
pub const MAX_ARRIVED_LEN: usize = 64 * 1024;

/// Longest request body, in bytes, that is counted with its connection.
pub const CONNECTION_BODY_LEN: usize = 4 * 1024;
/// Bytes of a streamed request body that are on their way through this host: in the buffers of
/// the connection to the backend server, or in the window of a stream to another node.
const STREAM_LEN: usize = 256 * 1024;
/// Interval at which a request that waits for reclaimed memory looks for it.
const RECLAIM_CHECK: Duration = Duration::from_millis(10);
/// How often it does so: holders that can be closed are gone within a few milliseconds.
const RECLAIM_CHECKS: usize = 20;

impl CompletionGuard for Reservation {
    fn complete(&mut self) {}
}

/// Creates a body without content.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body from a buffer.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body that yields `first` and then the frames of `rest`.
fn prepend(first: Bytes, rest: Body) -> Body {
    if first.is_empty() {
        return rest;
    }
    let first = stream::once(std::future::ready(Ok(Frame::data(first))));
    let rest = stream::unfold(rest, |mut rest| async {
        let frame = rest.frame().await?;
        Some((frame, rest))
    });
    let frames = stream::StreamExt::chain(first, rest);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Converts the rest of a stream between nodes into a body.
///
/// A stream that is reset or lost yields an error, so that a truncated body is
/// never mistaken for a complete one.
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
/// On an error the stream is left unfinished; dropping the sender resets it.
///
/// # Errors
///
/// Reading the body failed, or the other node stopped receiving.
pub async fn send(mut body: Body, sender: &mut Sender) -> io::Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            sender.body(chunk).await.map_err(io::Error::other)?;
        }
    }
    sender.finish();
    Ok(())
}

/// Result of [`read_up_to`].
#[derive(Debug)]
pub enum LimitedRead {
    /// The complete body.
    Whole(Bytes),
    /// A body that is longer than the limit, or than what is left of the budget.
    Longer {
        /// What was read already.
        prefix: Bytes,
        /// The whole body: the prefix, then the rest.
        body: Body,
    },
}

/// Buffers a body of at most `limit` bytes; a longer one, or one for which `budget` has no
/// bytes left, stays a stream.
///
/// # Errors
///
/// Reading the body failed before its end.
pub async fn read_up_to(
    body: Body,
    limit: usize,
    budget: &Arc<ByteBudget>,
) -> io::Result<LimitedRead> {
    read(body, limit, budget, Purpose::Response).await
}

/// Buffers a request body like [`read_up_to`], after a wait for bytes of `budget` that are
/// being reclaimed. A body of at most [`CONNECTION_BODY_LEN`] bytes needs none of them.
///
/// # Errors
///
/// As [`read_up_to`].
pub async fn read_request(
    body: Body,
    limit: usize,
    budget: &Arc<ByteBudget>,
) -> io::Result<LimitedRead> {
    read(body, limit, budget, Purpose::Request).await
}

/// Reserves the bytes of a request body that are on their way while it passes through; `None`
/// when `budget` has none left.
pub async fn reserve_stream(body: Body, budget: &Arc<ByteBudget>) -> Option<Body> {
    let mut reservation = budget.reservation();
    match reserve_reclaimed(&mut reservation, budget, STREAM_LEN).await {
        true => Some(GuardedBody::new(body, reservation).boxed()),
        false => None,
    }
}

/// What a body is read for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    Request,
    Response,
}

async fn read(
    mut body: Body,
    limit: usize,
    budget: &Arc<ByteBudget>,
    purpose: Purpose,
) -> io::Result<LimitedRead> {
    let mut reservation = budget.reservation();
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        let len = chunk.len();
        let is_reserved = match purpose {
            Purpose::Request if read.len() + len <= CONNECTION_BODY_LEN => true,
            // A growing buffer has room for as much again.
            Purpose::Request => reserve_reclaimed(&mut reservation, budget, 2 * len).await,
            Purpose::Response => reserve(&mut reservation, len),
        };
        // A body of a single chunk is returned without a copy.
        if read.is_empty() && body.is_end_stream() && chunk.len() <= limit && is_reserved {
            return Ok(LimitedRead::Whole(Reserved::bytes(chunk, reservation)));
        }
        read.extend_from_slice(&chunk);
        if read.len() > limit || !is_reserved {
            let prefix = Reserved::bytes(read.freeze(), reservation);
            let body = prepend(prefix.clone(), body);
            return Ok(LimitedRead::Longer { prefix, body });
        }
    }
    Ok(LimitedRead::Whole(Reserved::bytes(
        read.freeze(),
        reservation,
    )))
}

/// Whether a body could not be read because its framing is malformed, and not because its
/// connection ended.
pub fn is_malformed(err: &io::Error) -> bool {
    let mut kinds = causes(err).filter_map(|err| err.downcast_ref().map(io::Error::kind));
    // hyper decodes chunks with errors of these kinds.
    kinds.any(|kind| {
        matches!(
            kind,
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    })
}

/// The error that caused the others in the chain of `err`.
pub fn root_cause(err: &io::Error) -> &(dyn Error + 'static) {
    causes(err).last().unwrap_or(err)
}

fn causes<'a>(err: &'a io::Error) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    let first: &'a (dyn Error + 'static) = err;
    std::iter::successors(Some(first), |err: &&'a (dyn Error + 'static)| {
        (*err).source()
    })
}

/// What of a body has arrived.
pub enum Arrived {
    /// All of it.
    Whole(Bytes),
    /// A part; the body yields it again.
    Partial(Body),
}

/// Takes what has arrived of a body, at most `limit` bytes and a chunk, without waiting for
/// the rest.
pub fn take_arrived(mut body: Body, limit: usize, budget: &Arc<ByteBudget>) -> Arrived {
    let mut reservation = budget.reservation();
    let mut read = BytesMut::new();
    while read.len() <= limit {
        let rest = match body.frame().now_or_never() {
            Some(None) => {
                return Arrived::Whole(Reserved::bytes(read.freeze(), reservation));
            }
            Some(Some(Ok(frame))) => {
                let chunk = frame.into_data().unwrap_or_default();
                let is_reserved = reserve(&mut reservation, chunk.len());
                read.extend_from_slice(&chunk);
                if is_reserved {
                    continue;
                }
                body
            }
            Some(Some(Err(err))) => {
                let failed = stream::once(std::future::ready(Err(err)));
                BodyExt::boxed_unsync(StreamBody::new(failed))
            }
            None => body,
        };
        return Arrived::Partial(prepend(Reserved::bytes(read.freeze(), reservation), rest));
    }
    Arrived::Partial(prepend(Reserved::bytes(read.freeze(), reservation), body))
}

/// Reserves `len` bytes, after a wait while `budget` reclaims them.
async fn reserve_reclaimed(reservation: &mut Reservation, budget: &ByteBudget, len: usize) -> bool {
    for _ in 0..RECLAIM_CHECKS {
        if reservation.grow(len).is_ok() {
            return true;
        }
        budget.reclaim(len);
        tokio::time::sleep(RECLAIM_CHECK).await;
    }
    reserve(reservation, len)
}

fn reserve(reservation: &mut Reservation, len: usize) -> bool {
    let grown = reservation.grow(len);
    if let Err(err) = grown
        && err.is_first
    {
        log::warn!(target: part::PROGRAM, "a body is not buffered: {err}");
    }
    grown.is_ok()
}

/// Bytes that hold a part of a [`ByteBudget`] until their last copy is dropped, which is when
/// the caller or the other node has received them.
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl Reserved {
    fn bytes(bytes: Bytes, reservation: Reservation) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Self {
            bytes,
            _reservation: reservation,
        })
    }
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of a request, shared by all its attempts.
#[derive(Debug)]
pub enum RequestBody {
    /// A body of at most [`MAX_BUFFERED_LEN`] bytes; it can be sent again.
    Buffered(Bytes),
    /// A longer body, which is sent once while it arrives.
    Streaming(Body),
    /// A streaming body that an attempt has consumed; it cannot be sent again.
    Taken,
}

impl RequestBody {
    /// Returns the body for one attempt; a buffered body remains available.
    pub fn take(&mut self) -> Body {
        match std::mem::replace(self, Self::Taken) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                full(bytes)
            }
            Self::Streaming(body) => body,
            Self::Taken => empty(),
        }
    }

    /// The length in bytes, or [`MAX_BUFFERED_LEN`] for a streaming body, whose length
    /// is unknown.
    pub fn len_or_max_buffered(&self) -> usize {
        match self {
            Self::Buffered(bytes) => bytes.len(),
            Self::Streaming(_) => MAX_BUFFERED_LEN,
            Self::Taken => 0,
        }
    }

    /// Whether the request has a buffered body of length 0.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }
}

/// Shared flag that a [`TrackedBody`] sets when it was read to its end.
#[derive(Clone, Debug, Default)]
pub struct ReadToEnd(Arc<AtomicBool>);

impl ReadToEnd {
    /// Whether the body was read to its end.
    pub fn is_reached(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A body that sets a [`ReadToEnd`] flag when it was read to its end.
pub struct TrackedBody {
    inner: Body,
    end: ReadToEnd,
}

impl TrackedBody {
    /// Wraps `inner`, and returns it with the flag for its end.
    pub fn watch(inner: Body) -> (Body, ReadToEnd) {
        let end = ReadToEnd::default();
        if inner.is_end_stream() {
            end.0.store(true, Ordering::Release);
        }
        let tracked = Self {
            inner,
            end: end.clone(),
        };
        (tracked.boxed_unsync(), end)
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if frame.is_none() || self.inner.is_end_stream() {
            self.end.0.store(true, Ordering::Release);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
