//! Streams and bodies of a connection that record what its caller sends and reads.

use super::open::{OpenConnection, Phase};
use crate::body::Body;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use knapweed_host::ByteBudget;
use knapweed_host::byte_budget::Reservation;
use knapweed_timer::TimerService;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// Most bytes that are read at once. hyper doubles the read buffer of a connection, up to the
/// limit of a head, when a read fills its 8 KB.
const READ_LEN: u64 = 8 * 1024 - 1;
/// Length of a head, in bytes, that is counted with its connection.
const CONNECTION_HEAD_LEN: usize = 8 * 1024;

/// The stream of a connection.
pub(super) struct MeteredStream {
    inner: Take<TcpStream>,
    connection: Arc<OpenConnection>,
    timer: TimerService,
    budget: Arc<ByteBudget>,
    /// Bytes of the head that is being read.
    head_len: usize,
    head: Reservation,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<OpenConnection>,
        timer: TimerService,
        budget: Arc<ByteBudget>,
    ) -> Self {
        Self {
            inner: stream.take(READ_LEN),
            connection,
            timer,
            head: budget.reservation(),
            budget,
            head_len: 0,
        }
    }

    /// Reserves `len` bytes of a head, or gives them back after it.
    fn count_head(&mut self, len: usize) -> io::Result<()> {
        let is_head = self.connection.is_in(Phase::Head);
        // After a request without a body, the next read is that of the next head.
        if self.head_len > 0 && (!is_head || self.connection.is_between_requests()) {
            self.head_len = 0;
            self.head.clear();
            self.connection.set_head_len(0);
        }
        if !is_head {
            return Ok(());
        }
        self.head_len += len;
        self.connection.add_request_len(len);
        if self.head_len > CONNECTION_HEAD_LEN {
            // A growing buffer has room for as much again.
            self.reserve_head(2 * len)?;
        }
        Ok(())
    }

    fn reserve_head(&mut self, len: usize) -> io::Result<()> {
        if self.head.grow(len).is_err() {
            self.budget.reclaim(len);
            self.head.grow(len).map_err(io::Error::other)?;
        }
        self.connection.set_head_len(2 * self.head_len);
        Ok(())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        self.inner.set_limit(READ_LEN);
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let len = buf.filled().len() - before;
        self.connection.moved(self.timer.now());
        Poll::Ready(self.count_head(len))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.inner.get_mut()).poll_write(cx, buf);
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.inner.get_mut()).poll_write_vectored(cx, bufs);
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_shutdown(cx)
    }
}

impl MeteredStream {
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.connection.set_unread(written.is_pending());
        if written.is_ready() {
            self.connection.moved(self.timer.now());
        }
        written
    }
}

/// A request body.
pub(super) struct UploadBody<B> {
    inner: B,
    connection: Arc<OpenConnection>,
    /// Longest body that the configuration allows, in bytes.
    limit: Option<u64>,
    len: u64,
}

impl<B: http_body::Body> UploadBody<B> {
    pub(super) fn new(inner: B, connection: Arc<OpenConnection>, limit: Option<u64>) -> Self {
        Self {
            inner,
            connection,
            limit,
            len: 0,
        }
    }
}

impl<B> http_body::Body for UploadBody<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let phase = match polled {
            Poll::Pending => Phase::Body,
            Poll::Ready(_) => Phase::Answer,
        };
        if !self.connection.set_phase(phase) {
            // The connection is being closed, and its request ends with it.
            return Poll::Pending;
        }
        let frame = ready!(polled);
        let data = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref());
        let len = data.map_or(0, Bytes::len);
        self.len += len as u64;
        self.connection.add_request_len(len);
        if self.limit.is_some_and(|limit| self.len > limit) {
            // A part of the body may have been passed on, so the request ends with its
            // connection, without a statement on whether it ran.
            self.connection.close();
            return Poll::Pending;
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

/// A response body, after whose end or loss the connection waits for the next request.
pub(super) struct DownloadBody {
    inner: Body,
    connection: Arc<OpenConnection>,
}

impl DownloadBody {
    pub(super) fn new(inner: Body, connection: Arc<OpenConnection>) -> Self {
        Self { inner, connection }
    }
}

impl Drop for DownloadBody {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}

impl http_body::Body for DownloadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
