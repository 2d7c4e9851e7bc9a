//! Limit, setup cost and injected silence of connections.

use crate::backend::pause;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Counters of connections, part of `GET /stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Connections that are open now.
    pub current: usize,
    /// Highest number of connections open at the same time.
    pub peak: usize,
    /// Connections accepted so far.
    pub opened: u64,
    /// Connections closed at once because the limit was reached.
    pub refused: u64,
}

struct Peer {
    address: Option<SocketAddr>,
    silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct Table {
    peers: SlotMap<ConnectionKey, Peer>,
    counts: Counts,
}

/// Table of all open connections, with their limit and the cost of setting one up.
pub struct Connections {
    table: Mutex<Table>,
    max: usize,
    cost: Duration,
    setup: tokio::sync::Mutex<()>,
}

/// Construction, counters and injected silence.
impl Connections {
    /// Creates a table of at most `max` connections. Setting up each takes `cost`, one after the other.
    pub fn new(max: usize, cost: Duration) -> Self {
        Self {
            table: Mutex::default(),
            max,
            cost,
            setup: tokio::sync::Mutex::new(()),
        }
    }

    /// Snapshot of the counters.
    pub fn counts(&self) -> Counts {
        self.table.lock().counts
    }

    /// Makes every open connection silent, except the one whose peer address is `except`.
    pub fn silence(&self, except: Option<SocketAddr>) {
        for peer in self.table.lock().peers.values() {
            if peer.address != except {
                peer.silent.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Future of a connection that is being set up; an error closes the connection.
pub type Setup = Pin<Box<dyn Future<Output = Result<Connection, ()>> + Send>>;

/// Opening and closing of connections.
impl Connections {
    /// Sets up an accepted connection, or refuses it if the limit is reached.
    pub fn accept(self: &Arc<Self>, stream: TcpStream) -> Setup {
        // With Nagle's algorithm, small responses would wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        let opened = self.open(stream);
        let connections = Arc::clone(self);
        Box::pin(async move {
            let connection = opened.ok_or(())?;
            let _setup_guard = connections.setup.lock().await;
            pause(connections.cost).await;
            Ok(connection)
        })
    }

    fn open(self: &Arc<Self>, stream: TcpStream) -> Option<Connection> {
        let silent = Arc::new(AtomicBool::new(false));
        let peer = Peer {
            address: stream.peer_addr().ok(),
            silent: Arc::clone(&silent),
        };
        let mut table = self.table.lock();
        if table.peers.len() == self.max {
            table.counts.refused += 1;
            return None;
        }
        let key = table.peers.insert(peer);
        let current = table.peers.len();
        let counts = &mut table.counts;
        counts.current = current;
        counts.peak = counts.peak.max(current);
        counts.opened += 1;
        Some(Connection {
            stream,
            silent,
            key,
            connections: Arc::clone(self),
        })
    }

    fn close(&self, key: ConnectionKey) {
        let mut table = self.table.lock();
        table.peers.remove(key);
        table.counts.current = table.peers.len();
    }
}

/// An open connection.
///
/// A silent connection discards all data in both directions, as if the network dropped all
/// packets, and ends when the peer closes it.
pub struct Connection {
    stream: TcpStream,
    silent: Arc<AtomicBool>,
    key: ConnectionKey,
    connections: Arc<Connections>,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.close(self.key);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            let ended = buf.filled().len() == before;
            if ended || !self.is_silent() {
                return Poll::Ready(Ok(()));
            }
            buf.set_filled(before);
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.is_silent() {
            true => Poll::Ready(Ok(buf.len())),
            false => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
