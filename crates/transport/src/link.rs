//! A connection to another node, for health monitoring.

use bytes::Bytes;
use quinn::Connection;
use std::net::SocketAddr;
use std::sync::Arc;

/// Handle to one connection to another node.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    connection: Arc<Connection>,
}

/// Identity of a connection, unique among those that exist at the same time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LinkId(usize);

impl Link {
    pub(crate) fn new(address: SocketAddr, connection: Arc<Connection>) -> Self {
        Self {
            address,
            connection,
        }
    }

    pub(crate) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Address of the node at the remote end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Identity of the connection.
    pub fn id(&self) -> LinkId {
        LinkId(self.connection.stable_id())
    }

    /// Number of UDP datagrams received on the connection.
    pub fn datagrams_received(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends an empty datagram, which the peer acknowledges and discards.
    pub fn probe(&self) {
        // An error means that the connection is closed, which its streams report.
        let _ = self.connection.send_datagram(Bytes::new());
    }
}
