//! One connection to another node, as its health is watched.

use bytes::Bytes;
use quinn::Connection;
use std::net::SocketAddr;
use std::sync::Arc;

/// One connection to another node.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    connection: Arc<Connection>,
}

/// Identity of a connection among those that are in memory.
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

    /// Address of the node.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its identity.
    pub fn id(&self) -> LinkId {
        LinkId(self.connection.stable_id())
    }

    /// UDP datagrams received so far.
    pub fn received(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends an empty datagram, which the other end acknowledges and drops.
    pub fn probe(&self) {
        // An error means that the connection ended, which its streams report.
        let _ = self.connection.send_datagram(Bytes::new());
    }
}
