//! The QUIC endpoint of a node.

use crate::arrivals::{Arrivals, Queues};
use crate::peers::Peers;
use crate::tls::{self, Identity};
use quinn::{IdleTimeout, TokioRuntime, TransportConfig, VarInt};
use quinn_proto::HashedConnectionIdGenerator;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// A connection without any packet for this long is closed.
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// Streams that one peer may have open at a time. The library keeps two table
/// entries for each, used or not: 4,096 took 0.4 MB for each connection.
///
/// Must exceed the requests that a backend server works on and keeps waiting, since
/// a request that finds no free stream waits at the ingress unseen.
const MAX_STREAMS: u32 = 64;
/// Longest wait for peers when the endpoint closes: a few round trips to the
/// other region.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of one stream that may wait to be read.
const STREAM_WINDOW: u32 = 256 * 1024;
/// Bytes of one connection that may wait to be read or to be acknowledged.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;
/// Round-trip time assumed before the first measurement. The library's default
/// of 333 ms makes the first retransmission of a handshake too late for a call.
const INITIAL_RTT: Duration = Duration::from_millis(70);

/// The reason why the endpoint could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be used.
    #[error("could not listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The identity cannot be used.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// The QUIC endpoint of a node: one UDP socket for both directions.
#[derive(Debug)]
pub struct Endpoint {
    inner: quinn::Endpoint,
    peers: Arc<Peers>,
    transport: Arc<TransportConfig>,
}

impl Endpoint {
    /// Opens the endpoint and starts to accept connections.
    ///
    /// # Errors
    ///
    /// The address or the identity cannot be used.
    pub fn open(address: SocketAddr, identity: &Identity) -> Result<(Self, Arrivals), Error> {
        let transport = Arc::new(transport());
        let mut server = identity.server()?;
        server.transport_config(Arc::clone(&transport));
        let mut client = identity.client()?;
        client.transport_config(Arc::clone(&transport));
        let mut inner =
            bind(address, identity, server).map_err(|source| Error::Listen { address, source })?;
        inner.set_default_client_config(client);
        let (queues, arrivals) = Queues::new();
        let peers = Arc::new(Peers::new(inner.clone(), queues.clone()));
        tokio::spawn(accept(inner.clone(), Arc::clone(&peers), queues));
        Ok((
            Self {
                inner,
                peers,
                transport,
            },
            arrivals,
        ))
    }

    /// The connections to other nodes.
    pub fn peers(&self) -> Arc<Peers> {
        Arc::clone(&self.peers)
    }

    /// The address in use.
    ///
    /// # Errors
    ///
    /// The socket is closed.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Uses another identity for connections opened from now on.
    ///
    /// # Errors
    ///
    /// The identity cannot be used; the old one stays in use.
    pub fn renew(&mut self, identity: &Identity) -> Result<(), Error> {
        let mut server = identity.server()?;
        server.transport_config(Arc::clone(&self.transport));
        let mut client = identity.client()?;
        client.transport_config(Arc::clone(&self.transport));
        self.inner.set_server_config(Some(server));
        self.inner.set_default_client_config(client);
        Ok(())
    }

    /// Closes all connections and waits until peers have been told, or do not
    /// answer for [`CLOSE_TIMEOUT`].
    pub async fn close(&self) {
        self.inner.close(0u32.into(), b"stopping");
        // A peer that answers within it has been told by then; the library would
        // wait for the others for three of their doubled timeouts.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.inner.wait_idle()).await;
    }
}

fn bind(
    address: SocketAddr,
    identity: &Identity,
    server: quinn::ServerConfig,
) -> io::Result<quinn::Endpoint> {
    let socket = UdpSocket::bind(address)?;
    let runtime = Arc::new(TokioRuntime);
    quinn::Endpoint::new(reset_config(identity), Some(server), socket, runtime)
}

/// Keys of connection ids and stateless resets (RFC 9000, section 10.3).
///
/// They follow from the private key, so that a restarted node resets the
/// connections of its earlier process. With random keys its peers would send
/// into those until the idle timeout.
fn reset_config(identity: &Identity) -> quinn::EndpointConfig {
    let key = identity.derive_key("knapweedreach 2026 stateless reset");
    let (id_key, _) = key.split_first_chunk().expect("a key has 32 bytes");
    let id_key = u64::from_le_bytes(*id_key);
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &key);
    let mut cfg = quinn::EndpointConfig::new(Arc::new(reset_key));
    cfg.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    cfg
}

fn transport() -> TransportConfig {
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(u64::from(CONNECTION_WINDOW))
        // Offload keeps a send buffer of 64 KiB or more per connection.
        .enable_segmentation_offload(false)
        .initial_rtt(INITIAL_RTT);
    cfg
}

async fn accept(endpoint: quinn::Endpoint, peers: Arc<Peers>, queues: Queues) {
    while let Some(incoming) = endpoint.accept().await {
        let (peers, queues) = (Arc::clone(&peers), queues.clone());
        tokio::spawn(async move {
            let from = incoming.remote_address();
            match incoming.await {
                Ok(connection) => {
                    peers.adopt(&connection);
                    queues.serve(connection).await;
                }
                Err(err) => log::warn!("link: refused connection from {from}: {err}"),
            }
        });
    }
}
