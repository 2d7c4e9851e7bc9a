//! Connections: their number, their cost and their silence.

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
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// Counters of connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Open now.
    pub current: usize,
    /// Most that were open at a time.
    pub peak: usize,
    /// Opened so far.
    pub opened: u64,
    /// Closed at once for the limit.
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

/// All open connections.
pub struct Connections {
    table: Mutex<Table>,
    max: usize,
    cost: Duration,
    setup: tokio::sync::Mutex<()>,
}

/// Construction and switches.
impl Connections {
    /// At most `max` connections, each of which takes `cost` to set up.
    pub fn new(max: usize, cost: Duration) -> Self {
        Self {
            table: Mutex::default(),
            max,
            cost,
            setup: tokio::sync::Mutex::new(()),
        }
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.table.lock().counts
    }

    /// Makes every open connection silent, except the one from `except`.
    pub fn silence(&self, except: Option<SocketAddr>) {
        for peer in self.table.lock().peers.values() {
            if peer.address != except {
                peer.silent.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// A connection that is being set up; an error closes it.
pub type Setup = Pin<Box<dyn Future<Output = Result<Connection, ()>> + Send>>;

/// Life of a connection.
impl Connections {
    /// Sets up an accepted connection, or refuses it for the limit.
    pub fn accept(self: &Arc<Self>, stream: TcpStream) -> Setup {
        // Without it, small answers wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        let opened = self.open(stream);
        let connections = Arc::clone(self);
        Box::pin(async move {
            let connection = opened.ok_or(())?;
            let _turn = connections.setup.lock().await;
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

/// A connection of a caller.
///
/// A silent one discards what it receives and what it should send, like a path
/// that drops packets, and ends when the peer closes it.
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
