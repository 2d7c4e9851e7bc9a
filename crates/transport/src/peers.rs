//! Connections to other nodes, one per address, opened on demand.

use crate::arrivals::InboundQueues;
use crate::dial::DialBackoff;
use crate::link::Link;
use crate::stream::{Receiver, Sender};
use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use quinn::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, OwnedMutexGuard};

/// Maximum time for a handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which two connections to the same peer count as opened by both ends at
/// once, and both stay in use.
const SIMULTANEOUS_OPEN: Duration = Duration::from_secs(1);

/// Time after the opening of a connection within which the peer's first stateless reset token
/// arrives: several round trips to the other region.
const RESET_TOKEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Error of reaching a peer. Nothing was sent to it.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect to node {address}: {cause}")]
    Dial {
        /// Address of the node.
        address: SocketAddr,
        /// Cause as reported by the QUIC library.
        cause: String,
    },
    /// The connection was closed before the stream was open.
    #[error("the connection to node {address} was closed: {cause}")]
    Closed {
        /// Address of the node.
        address: SocketAddr,
        /// Cause as reported by the QUIC library.
        cause: String,
    },
}

/// Bytes sent and received by one node over all its connections, and their number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of UDP payload sent.
    pub sent: u64,
    /// Bytes of UDP payload received.
    pub received: u64,
    /// Number of open connections.
    pub connections: u64,
}

/// State of the connection to one peer.
#[derive(Debug)]
struct PeerSlot {
    /// The connection in use; `None` before the first and after it was closed here.
    current: ArcSwapOption<Connection>,
    /// Time at which the connection was opened.
    opened: ArcSwap<Instant>,
    /// Whether a stateless reset token of the peer has arrived on the connection in use.
    has_reset_token: AtomicBool,
    /// Held during a handshake, so that concurrent requests open only one connection.
    dialing: Arc<Mutex<()>>,
    /// Decides when a handshake follows one that has failed.
    backoff: DialBackoff,
}

impl Default for PeerSlot {
    fn default() -> Self {
        Self {
            current: ArcSwapOption::default(),
            opened: ArcSwap::from_pointee(Instant::now()),
            has_reset_token: AtomicBool::new(false),
            dialing: Arc::default(),
            backoff: DialBackoff::new(Instant::now()),
        }
    }
}

impl PeerSlot {
    /// The connection in use, unless it is closed or a restart of the peer would go unnoticed.
    fn open_connection(&self) -> Option<Arc<Connection>> {
        self.current
            .load_full()
            .filter(|c| c.close_reason().is_none() && self.notices_restart(c))
    }

    /// Waits for the turn to open a connection.
    ///
    /// Nobody waits while the peer cannot be reached: not before the next handshake is due,
    /// not for one that follows a failed one, and not again after the one waited for failed.
    async fn turn_to_dial(&self) -> Result<OwnedMutexGuard<()>, &'static str> {
        let failures = self.backoff.failures();
        if self.backoff.is_held_back(Instant::now()) {
            return Err("the last handshake failed, and the next one is not due");
        }
        let dialing = Arc::clone(&self.dialing);
        let turn = match failures {
            0 => dialing.lock_owned().await,
            _ => dialing
                .try_lock_owned()
                .map_err(|_| "a handshake after a failed one is under way")?,
        };
        match self.backoff.failures() > failures {
            true => Err("the handshake that was under way failed"),
            false => Ok(turn),
        }
    }

    /// Whether a restart of the peer is noticed on the connection in use.
    ///
    /// That takes a stateless reset token of the peer, which a process that ends at once after
    /// it has opened the connection may not have sent. Such a connection stays open for the
    /// streams that it has, but is not used for new ones.
    fn notices_restart(&self, connection: &Connection) -> bool {
        if self.has_reset_token.load(Ordering::Relaxed) {
            return true;
        }
        let has_token = connection.stats().frame_rx.new_connection_id > 0;
        if has_token {
            self.has_reset_token.store(true, Ordering::Relaxed);
        }
        has_token || self.opened.load().elapsed() < RESET_TOKEN_TIMEOUT
    }
}

/// The connections of one node to its peers.
///
/// Looking up an open connection takes three atomic loads. Locks are taken only to open a
/// connection, and until the first stateless reset token of the peer has arrived on it.
#[derive(Debug)]
pub struct Peers {
    endpoint: quinn::Endpoint,
    queues: InboundQueues,
    slots: ArcSwap<HashMap<SocketAddr, Arc<PeerSlot>>>,
    closed_sent: AtomicU64,
    closed_received: AtomicU64,
}

/// Creation by the endpoint.
impl Peers {
    pub(crate) fn new(endpoint: quinn::Endpoint, queues: InboundQueues) -> Self {
        Self {
            endpoint,
            queues,
            slots: ArcSwap::default(),
            closed_sent: AtomicU64::new(0),
            closed_received: AtomicU64::new(0),
        }
    }
}

/// Streams, datagrams and closing of connections.
impl Peers {
    /// Opens a stream to the node at `address`, and a connection if there is none.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn open(&self, address: SocketAddr) -> Result<(Sender, Receiver), Error> {
        let (_, tx, rx) = self.open_with_link(address).await?;
        Ok((tx, rx))
    }

    /// Opens a stream like [`Peers::open`] and also returns the connection that carries it.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn open_with_link(
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

    /// Sends a datagram to the node at `address`, without guarantee of delivery.
    ///
    /// # Errors
    ///
    /// The node cannot be reached, or the datagram cannot be sent.
    pub async fn send(&self, address: SocketAddr, datagram: Bytes) -> Result<(), Error> {
        let connection = self.connect(address).await?;
        let sent = connection.send_datagram(datagram);
        sent.map_err(|err| Error::Closed {
            address,
            cause: err.to_string(),
        })
    }

    /// Closes the connection to `address`; the next use opens a new one.
    ///
    /// Open streams on it fail.
    pub fn close_connection(&self, address: SocketAddr) {
        if let Some(slot) = self.slots.load().get(&address)
            && let Some(connection) = slot.current.swap(None)
        {
            self.count_closed(&connection);
            connection.close(0u32.into(), b"retired");
        }
    }
}

/// Closing of unresponsive connections.
impl Peers {
    /// Closes the given connection, but not one that has replaced it since.
    ///
    /// Open streams on it fail.
    pub fn close_link(&self, link: &Link) {
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

/// Traffic statistics.
impl Peers {
    /// Bytes sent and received since the start of the node.
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
                // The bytes of a closed connection count here until it is replaced, so
                // that the totals never decrease.
                total.connections += u64::from(connection.close_reason().is_none());
            }
        }
        total
    }

    /// Number of UDP datagrams received from `address` on the connection in use;
    /// `None` when there is none.
    pub fn datagrams_received(&self, address: SocketAddr) -> Option<u64> {
        let slots = self.slots.load();
        let connection = slots.get(&address)?.open_connection()?;
        Some(connection.stats().udp_rx.datagrams)
    }
}

/// Management of connections.
impl Peers {
    /// Returns the open connection to `address`, or opens one.
    async fn connect(&self, address: SocketAddr) -> Result<Arc<Connection>, Error> {
        let slot = self.slot(address);
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let refused = |cause: &str| Error::Dial {
            address,
            cause: cause.to_owned(),
        };
        let turn = slot.turn_to_dial().await.map_err(refused)?;
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        // A task of its own: the handshake goes on, and its failure counts, when the request
        // that waits for it ends before.
        let dial = dial(self.endpoint.clone(), address, Arc::clone(&slot), turn);
        let dialed = tokio::spawn(dial).await;
        let dialed = dialed.map_err(|err| refused(&err.to_string()))?;
        let (connection, _turn) = dialed.map_err(|cause| refused(&cause))?;
        let connection = Arc::new(connection);
        self.replace(&slot, Arc::clone(&connection));
        // The peer may open streams on this connection as well.
        tokio::spawn(self.queues.clone().serve(Connection::clone(&connection)));
        Ok(connection)
    }

    /// Returns the slot of `address`, which is added if missing.
    fn slot(&self, address: SocketAddr) -> Arc<PeerSlot> {
        if let Some(slot) = self.slots.load().get(&address) {
            return Arc::clone(slot);
        }
        let new = Arc::new(PeerSlot::default());
        self.slots.rcu(|slots| {
            let mut slots = HashMap::clone(slots);
            slots.entry(address).or_insert_with(|| Arc::clone(&new));
            slots
        });
        Arc::clone(&self.slots.load()[&address])
    }

    /// Replaces the connection of a slot.
    fn replace(&self, slot: &PeerSlot, connection: Arc<Connection>) {
        slot.opened.store(Arc::new(Instant::now()));
        slot.has_reset_token.store(false, Ordering::Relaxed);
        slot.backoff.opened();
        if let Some(old) = slot.current.swap(Some(connection)) {
            self.count_closed(&old);
        }
    }

    /// Uses a connection that the peer opened, unless there is a recent open one.
    ///
    /// A node connects from the socket on which it listens, so the source address
    /// of a connection is the address of the peer's node.
    ///
    /// A peer opens a connection only when it has none that it may use. An existing one is
    /// therefore a remnant of the peer's previous process, unless both ends have
    /// opened one at the same time.
    pub(crate) fn adopt(&self, connection: &Connection) {
        let slot = self.slot(connection.remote_address());
        let is_stale = slot.opened.load().elapsed() > SIMULTANEOUS_OPEN;
        if slot.open_connection().is_none() || is_stale {
            self.replace(&slot, Arc::new(connection.clone()));
        }
    }

    /// Adds the bytes of a connection that is no longer in use to the totals.
    fn count_closed(&self, connection: &Connection) {
        let stats = connection.stats();
        self.closed_sent
            .fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.closed_received
            .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
    }
}

/// Opens a connection to `address`, and records a failure in the slot before it ends the turn.
async fn dial(
    endpoint: quinn::Endpoint,
    address: SocketAddr,
    slot: Arc<PeerSlot>,
    turn: OwnedMutexGuard<()>,
) -> Result<(Connection, OwnedMutexGuard<()>), String> {
    let connected = handshake(&endpoint, address).await;
    if connected.is_err() {
        slot.backoff.failed(Instant::now(), rand::random());
    }
    connected.map(|connection| (connection, turn))
}

async fn handshake(endpoint: &quinn::Endpoint, address: SocketAddr) -> Result<Connection, String> {
    let name = address.ip().to_string();
    let connecting = endpoint.connect(address, &name);
    let connecting = connecting.map_err(|err| err.to_string())?;
    match tokio::time::timeout(DIAL_TIMEOUT, connecting).await {
        Ok(connected) => connected.map_err(|err| err.to_string()),
        Err(_) => Err("handshake timed out".to_owned()),
    }
}
