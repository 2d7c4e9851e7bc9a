//! The QUIC endpoint of a node.

use crate::arrivals::{Inbound, InboundQueues};
use crate::paced::PacedSocket;
use crate::peers::Peers;
use crate::tls::{self, Identity};
use knapweed_link::{LinkRate, Pacer};
use knapweed_timer::TimerService;
use quinn::{IdleTimeout, Runtime as _, TokioRuntime, TransportConfig, VarInt};
use quinn_proto::HashedConnectionIdGenerator;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a connection without any packet is closed.
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// Maximum number of concurrent streams that one peer may open. The library
/// allocates two table entries for each, used or not: a limit of 4,096 took 0.4 MB
/// per connection.
///
/// It must exceed the number of requests that a backend server runs and queues. A
/// request without a free stream waits at the ingress, where the egress does not see it.
const MAX_STREAMS: u32 = 64;
/// Maximum wait for peers to acknowledge the close of the endpoint: a few round
/// trips to the other region.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Flow control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 256 * 1024;
/// Flow control window of one connection, and limit of its unacknowledged data, in
/// bytes.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;
/// Longest time for which the data of one peer may occupy the link of a host. A longer
/// queue looks like a silent connection to all other peers.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(150);
/// Round-trip time assumed before the first measurement. With the library's default
/// of 333 ms, the first retransmission of a handshake comes too late for the request
/// that opens the connection.
const INITIAL_RTT: Duration = Duration::from_millis(70);

/// Error of opening or reconfiguring the endpoint.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket cannot be bound to the address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Local address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The TLS configuration of the identity is invalid.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// The QUIC endpoint of a node: one UDP socket for incoming and outgoing connections.
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
    /// The address cannot be bound, or the identity is invalid.
    pub fn open(address: SocketAddr, identity: &Identity) -> Result<(Self, Inbound), Error> {
        Self::open_on(address, identity, None)
    }

    /// Opens the endpoint like [`Endpoint::open`], on a host whose link has the rate
    /// `rate`. Everything that the endpoint sends is paced to it, and what each peer may
    /// send unacknowledged is limited.
    ///
    /// # Errors
    ///
    /// As [`Endpoint::open`].
    pub fn open_paced(
        address: SocketAddr,
        identity: &Identity,
        rate: LinkRate,
        timer: TimerService,
    ) -> Result<(Self, Inbound), Error> {
        Self::open_on(address, identity, Some((rate, timer)))
    }

    fn open_on(
        address: SocketAddr,
        identity: &Identity,
        link: Option<(LinkRate, TimerService)>,
    ) -> Result<(Self, Inbound), Error> {
        let rate = link.as_ref().map(|(rate, _)| *rate);
        let transport = Arc::new(new_transport_config(rate));
        let mut server = identity.server()?;
        server.transport_config(Arc::clone(&transport));
        let mut client = identity.client()?;
        client.transport_config(Arc::clone(&transport));
        let mut inner = bind(address, identity, server, link)
            .map_err(|source| Error::Listen { address, source })?;
        inner.set_default_client_config(client);
        let (queues, arrivals) = InboundQueues::new();
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

    /// Local address of the UDP socket.
    ///
    /// # Errors
    ///
    /// The socket is closed.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Replaces the identity for new connections, for example after the renewal of a
    /// certificate. Open connections are not affected.
    ///
    /// # Errors
    ///
    /// The identity is invalid; the old one stays in use.
    pub fn set_identity(&mut self, identity: &Identity) -> Result<(), Error> {
        let mut server = identity.server()?;
        server.transport_config(Arc::clone(&self.transport));
        let mut client = identity.client()?;
        client.transport_config(Arc::clone(&self.transport));
        self.inner.set_server_config(Some(server));
        self.inner.set_default_client_config(client);
        Ok(())
    }

    /// Closes all connections and waits until the peers have acknowledged it, for at
    /// most [`CLOSE_TIMEOUT`].
    pub async fn close(&self) {
        self.inner.close(0u32.into(), b"stopping");
        // For a peer that does not respond the library waits for three probe timeouts,
        // which grow exponentially while packets are lost.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.inner.wait_idle()).await;
    }
}

fn bind(
    address: SocketAddr,
    identity: &Identity,
    server: quinn::ServerConfig,
    link: Option<(LinkRate, TimerService)>,
) -> io::Result<quinn::Endpoint> {
    let runtime = Arc::new(TokioRuntime);
    let mut socket = runtime.wrap_udp_socket(UdpSocket::bind(address)?)?;
    if let Some((rate, timer)) = link {
        socket = PacedSocket::new(socket, Pacer::new(rate), timer);
    }
    let cfg = endpoint_config(identity);
    quinn::Endpoint::new_with_abstract_socket(cfg, Some(server), socket, runtime)
}

/// Endpoint configuration with the keys of connection ids and stateless resets (RFC
/// 9000, section 10.3).
///
/// The keys are derived from the identity, so that a restarted node resets the
/// connections of its previous process. With random keys its peers would keep
/// using those connections until the idle timeout.
fn endpoint_config(identity: &Identity) -> quinn::EndpointConfig {
    let key = identity.derive_key("knapweedreach 2026 stateless reset");
    let (id_key, _) = key.split_first_chunk().expect("a key has 32 bytes");
    let id_key = u64::from_le_bytes(*id_key);
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &key);
    let mut cfg = quinn::EndpointConfig::new(Arc::new(reset_key));
    cfg.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    cfg
}

/// Flow control window of a connection to a host whose link has the rate `rate`, in
/// bytes: what one peer may have in the queue of that link.
fn connection_window(rate: Option<LinkRate>) -> u32 {
    let Some(rate) = rate else {
        return CONNECTION_WINDOW;
    };
    let window = u128::from(rate.bytes_per_s()) * MAX_QUEUE_TIME.as_millis() / 1_000;
    let window = u32::try_from(window).unwrap_or(CONNECTION_WINDOW);
    window.clamp(STREAM_WINDOW / 2, CONNECTION_WINDOW)
}

fn new_transport_config(rate: Option<LinkRate>) -> TransportConfig {
    let window = connection_window(rate);
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW.min(window)))
        .receive_window(VarInt::from_u32(window))
        .send_window(u64::from(CONNECTION_WINDOW))
        // Segmentation offload needs a send buffer of 64 KiB or more per connection.
        .enable_segmentation_offload(false)
        .initial_rtt(INITIAL_RTT);
    cfg
}

async fn accept(endpoint: quinn::Endpoint, peers: Arc<Peers>, queues: InboundQueues) {
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
