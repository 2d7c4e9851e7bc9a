//! Connections to other nodes, one for each address, opened on demand.

use crate::arrivals::Queues;
use crate::link::Link;
use crate::stream::{Receiver, Sender};
use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use quinn::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Longest time to open a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Connections that both ends open within this time are both in use.
const SIMULTANEOUS: Duration = Duration::from_secs(1);

/// The reason why a peer could not be reached. Nothing was sent to it.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened.
    #[error("could not connect to node {address}: {cause}")]
    Dial {
        /// Address of the node.
        address: SocketAddr,
        /// Cause as told by the QUIC library.
        cause: String,
    },
    /// The connection ended before a stream was open.
    #[error("the connection to node {address} ended: {cause}")]
    Closed {
        /// Address of the node.
        address: SocketAddr,
        /// Cause as told by the QUIC library.
        cause: String,
    },
}

/// Bytes sent and received by one node over all its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of UDP payload sent.
    pub sent: u64,
    /// Bytes of UDP payload received.
    pub received: u64,
    /// Open connections.
    pub connections: u64,
}

/// The place of one peer's connection.
#[derive(Debug)]
struct Slot {
    /// The connection in use, replaced as a whole.
    current: ArcSwapOption<Connection>,
    /// When the connection was opened.
    opened: ArcSwap<Instant>,
    /// Held while a connection is being opened, so that one is opened at a time.
    dialing: Mutex<()>,
}

impl Default for Slot {
    fn default() -> Self {
        Self {
            current: ArcSwapOption::default(),
            opened: ArcSwap::from_pointee(Instant::now()),
            dialing: Mutex::default(),
        }
    }
}

impl Slot {
    fn open(&self) -> Option<Arc<Connection>> {
        self.current
            .load_full()
            .filter(|c| c.close_reason().is_none())
    }
}

/// The connections of one node.
///
/// A request finds its connection by two atomic loads; locks are taken only to
/// open a connection.
#[derive(Debug)]
pub struct Peers {
    endpoint: quinn::Endpoint,
    queues: Queues,
    slots: ArcSwap<HashMap<SocketAddr, Arc<Slot>>>,
    closed_sent: AtomicU64,
    closed_received: AtomicU64,
}

/// Construction.
impl Peers {
    pub(crate) fn new(endpoint: quinn::Endpoint, queues: Queues) -> Self {
        Self {
            endpoint,
            queues,
            slots: ArcSwap::default(),
            closed_sent: AtomicU64::new(0),
            closed_received: AtomicU64::new(0),
        }
    }
}

/// Sending.
impl Peers {
    /// Opens a stream to the node at `address`, and a connection first where there is none.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn open(&self, address: SocketAddr) -> Result<(Sender, Receiver), Error> {
        let (_, tx, rx) = self.open_watched(address).await?;
        Ok((tx, rx))
    }

    /// Opens a stream like [`Peers::open`] and tells the connection that carries it.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn open_watched(
        &self,
        address: SocketAddr,
    ) -> Result<(Link, Sender, Receiver), Error> {
        let connection = self.connect(address).await?;
        let streams = connection.open_bi().await;
        let (tx, rx) = streams.map_err(|err| Error::Closed {
            address,
            cause: err.to_string(),
        })?;
        let link = Link::new(address, connection);
        Ok((link, Sender::new(tx), Receiver::new(rx)))
    }

    /// Sends a datagram to the node at `address`. It may be lost.
    ///
    /// # Errors
    ///
    /// The node cannot be reached.
    pub async fn send(&self, address: SocketAddr, datagram: Bytes) -> Result<(), Error> {
        let connection = self.connect(address).await?;
        let sent = connection.send_datagram(datagram);
        sent.map_err(|err| Error::Closed {
            address,
            cause: err.to_string(),
        })
    }

    /// Retires the connection to `address`; the next use opens a fresh one.
    ///
    /// Streams that are under way on it end with an error.
    pub fn retire(&self, address: SocketAddr) {
        if let Some(slot) = self.slots.load().get(&address)
            && let Some(connection) = slot.current.swap(None)
        {
            self.count_closed(&connection);
            connection.close(0u32.into(), b"retired");
        }
    }
}

/// Silent connections.
impl Peers {
    /// Retires one connection, and no other that has replaced it since.
    ///
    /// Streams that are under way on it end with an error.
    pub fn retire_link(&self, link: &Link) {
        let connection = link.connection();
        if let Some(slot) = self.slots.load().get(&link.address()) {
            let found = slot.current.compare_and_swap(connection, None);
            if found.as_ref().is_some_and(|c| Arc::ptr_eq(c, connection)) {
                self.count_closed(connection);
            }
        }
        connection.close(0u32.into(), b"silent");
    }
}

/// Access.
impl Peers {
    /// Bytes sent and received since the start.
    pub fn traffic(&self) -> Traffic {
        let mut total = Traffic {
            sent: self.closed_sent.load(Ordering::Relaxed),
            received: self.closed_received.load(Ordering::Relaxed),
            connections: 0,
        };
        for slot in self.slots.load().values() {
            if let Some(connection) = slot.current.load_full() {
                let stats = connection.stats();
                total.sent += stats.udp_tx.bytes;
                total.received += stats.udp_rx.bytes;
                // A connection that has closed itself counts until it is replaced,
                // so that the totals never decrease.
                total.connections += u64::from(connection.close_reason().is_none());
            }
        }
        total
    }

    /// Datagrams received from `address` on the connection in use; `None` without one.
    pub fn received(&self, address: SocketAddr) -> Option<u64> {
        let slots = self.slots.load();
        let connection = slots.get(&address)?.open()?;
        Some(connection.stats().udp_rx.datagrams)
    }
}

/// Connections.
impl Peers {
    async fn connect(&self, address: SocketAddr) -> Result<Arc<Connection>, Error> {
        let slot = self.slot(address);
        if let Some(connection) = slot.open() {
            return Ok(connection);
        }
        let _dialing = slot.dialing.lock().await;
        if let Some(connection) = slot.open() {
            return Ok(connection);
        }
        let connection = Arc::new(self.dial(address).await?);
        self.keep(&slot, Arc::clone(&connection));
        // The peer may use this connection for its own streams, so both ends serve it.
        tokio::spawn(self.queues.clone().serve(Connection::clone(&connection)));
        Ok(connection)
    }

    async fn dial(&self, address: SocketAddr) -> Result<Connection, Error> {
        let failed = |cause: String| Error::Dial { address, cause };
        let name = address.ip().to_string();
        let connecting = self
            .endpoint
            .connect(address, &name)
            .map_err(|err| failed(err.to_string()))?;
        match tokio::time::timeout(DIAL_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(err)) => Err(failed(err.to_string())),
            Err(_) => Err(failed("no answer in time".into())),
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        if let Some(slot) = self.slots.load().get(&address) {
            return Arc::clone(slot);
        }
        let new = Arc::new(Slot::default());
        self.slots.rcu(|slots| {
            let mut slots = HashMap::clone(slots);
            slots.entry(address).or_insert_with(|| Arc::clone(&new));
            slots
        });
        Arc::clone(&self.slots.load()[&address])
    }

    fn keep(&self, slot: &Slot, connection: Arc<Connection>) {
        slot.opened.store(Arc::new(Instant::now()));
        if let Some(old) = slot.current.swap(Some(connection)) {
            self.count_closed(&old);
        }
    }

    /// Uses a connection that the peer opened, when there is none yet.
    ///
    /// A node listens on the socket it connects from, so the source address of
    /// a connection is the address of the peer's node.
    ///
    /// A peer opens a connection when it has none, so an older one is left over
    /// from its earlier process. Younger ones were opened by both ends at once.
    pub(crate) fn adopt(&self, connection: &Connection) {
        let slot = self.slot(connection.remote_address());
        let is_older = slot.opened.load().elapsed() > SIMULTANEOUS;
        if slot.open().is_none() || is_older {
            self.keep(&slot, Arc::new(connection.clone()));
        }
    }

    fn count_closed(&self, connection: &Connection) {
        let stats = connection.stats();
        self.closed_sent
            .fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.closed_received
            .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
    }
}
