//! A UDP proxy in front of a node that can drop the packets of one direction for a time.

use parking_lot::Mutex;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// First two bits of a long-header packet, and its type field (RFC 9000, 17.2).
const LONG_HEADER_TYPE: u8 = 0b1111_0000;
/// A long-header packet of the type Initial.
const INITIAL: u8 = 0b1100_0000;

pub(crate) struct LossyProxy {
    address: SocketAddr,
    drop_requests_until: Mutex<Option<Instant>>,
    drop_responses_until: Mutex<Option<Instant>>,
    initial_packets: AtomicU32,
}

impl LossyProxy {
    /// Starts a proxy to the node at `node`, for one client node.
    pub(crate) async fn start(node: SocketAddr) -> Arc<Self> {
        let client_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let client_socket = client_socket.expect("a port");
        let node_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let node_socket = node_socket.expect("a port");
        node_socket.connect(node).await.expect("a connected socket");
        let proxy = Arc::new(Self {
            address: client_socket.local_addr().expect("an address"),
            drop_requests_until: Mutex::default(),
            drop_responses_until: Mutex::default(),
            initial_packets: AtomicU32::new(0),
        });
        tokio::spawn(Arc::clone(&proxy).run(client_socket, node_socket));
        proxy
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops packets to the node for `time`.
    pub(crate) fn drop_requests(&self, time: Duration) {
        *self.drop_requests_until.lock() = Some(Instant::now() + time);
    }

    /// Drops packets from the node for `time`.
    pub(crate) fn drop_responses(&self, time: Duration) {
        *self.drop_responses_until.lock() = Some(Instant::now() + time);
    }

    /// Number of QUIC Initial packets sent to the node, which open a connection.
    pub(crate) fn handshakes(&self) -> u32 {
        self.initial_packets.load(Ordering::SeqCst)
    }

    async fn run(self: Arc<Self>, client_socket: UdpSocket, node_socket: UdpSocket) {
        let (mut out, mut back) = ([0; 2_048], [0; 2_048]);
        let mut caller = None;
        loop {
            tokio::select! {
                Ok((n, from)) = client_socket.recv_from(&mut out) => {
                    caller = Some(from);
                    if out[0] & LONG_HEADER_TYPE == INITIAL {
                        self.initial_packets.fetch_add(1, Ordering::SeqCst);
                    }
                    if is_forwarding(&self.drop_requests_until) {
                        let _ = node_socket.send(&out[..n]).await;
                    }
                }
                Ok(n) = node_socket.recv(&mut back) => {
                    if let Some(to) = caller.filter(|_| is_forwarding(&self.drop_responses_until)) {
                        let _ = client_socket.send_to(&back[..n], to).await;
                    }
                }
            }
        }
    }
}

fn is_forwarding(until: &Mutex<Option<Instant>>) -> bool {
    until.lock().is_none_or(|t| Instant::now() >= t)
}
