//! HTTP connections to backend servers.

use crate::body::Body;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use knapweed_observe::part;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Longest head of a response, in bytes. The head is parsed again with each read until it
/// is complete, so a long one also costs processor time.
const MAX_HEAD_LEN: usize = 32 * 1024;
/// Bytes that a backend server may send until its response has a head, and then between
/// two pieces of its body: interim responses, the framing of chunks, and what the HTTP
/// client reads ahead, which is [`MAX_HEAD_LEN`] at most.
const MAX_OVERHEAD_LEN: usize = 128 * 1024;

/// The I/O of a connection, which must be polled.
pub(crate) type Driver = Connection<TokioIo<LimitedStream>, Body>;

/// The sending half of a connection, and the limit of what is read from it.
pub(crate) struct Client {
    /// Sends requests.
    pub(crate) sender: SendRequest<Body>,
    /// Must be renewed before each request.
    pub(crate) allowance: Arc<ReadAllowance>,
}

/// Starts HTTP on a connection to a backend server.
///
/// # Errors
///
/// The connection fails.
pub(crate) async fn handshake(stream: TcpStream) -> io::Result<(Client, Driver)> {
    let allowance = Arc::new(ReadAllowance::new(stream.peer_addr()?));
    let stream = LimitedStream {
        inner: stream,
        is_writing: false,
        allowance: Arc::clone(&allowance),
    };
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_LEN);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    Ok((Client { sender, allowance }, driver))
}

/// Number of bytes that may be read from a connection until it is renewed.
#[derive(Debug)]
pub(crate) struct ReadAllowance {
    server: SocketAddr,
    left: AtomicUsize,
}

impl ReadAllowance {
    fn new(server: SocketAddr) -> Self {
        Self {
            server,
            left: AtomicUsize::new(MAX_OVERHEAD_LEN),
        }
    }

    /// Allows [`MAX_OVERHEAD_LEN`] bytes from now on: a request begins, or its response
    /// has made progress.
    pub(crate) fn renew(&self) {
        self.left.store(MAX_OVERHEAD_LEN, Ordering::Relaxed);
    }

    /// Renews the allowance with each piece of `body`.
    pub(crate) fn renew_with(self: Arc<Self>, body: Body) -> Body {
        let renewed = body.map_frame(move |frame: Frame<Bytes>| {
            if frame.data_ref().is_some_and(|data| !data.is_empty()) {
                self.renew();
            }
            frame
        });
        renewed.boxed_unsync()
    }

    /// Takes `len` bytes.
    ///
    /// # Errors
    ///
    /// More bytes were read than allowed. This is logged once.
    fn spend(&self, len: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        // Only the task that polls the connection spends; a concurrent renewal that is
        // overwritten costs one read.
        self.left.store(left.saturating_sub(len), Ordering::Relaxed);
        if len <= left {
            return Ok(());
        }
        log::warn!(
            target: part::EGRESS,
            "closed a connection to the backend server at {}: more than {MAX_OVERHEAD_LEN} bytes \
             without a response or a part of its body", self.server
        );
        Err(io::Error::other("too many bytes without a response"))
    }
}

/// A connection on which reading fails when its [`ReadAllowance`] is spent.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    inner: TcpStream,
    allowance: Arc<ReadAllowance>,
    /// Whether the last write is unfinished or has failed. The operating system reports a reset
    /// once: after a write has failed with it, reads end without an error.
    is_writing: bool,
}

impl LimitedStream {
    /// Records the result of a write of `len` bytes.
    fn wrote(&mut self, written: Poll<io::Result<usize>>, len: usize) -> Poll<io::Result<usize>> {
        self.is_writing = !matches!(written, Poll::Ready(Ok(written)) if written == len);
        written
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let len = buf.filled().len() - before;
        if len == 0 && self.is_writing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(self.allowance.spend(len))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.wrote(written, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.wrote(written, bufs.iter().map(|buf| buf.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
