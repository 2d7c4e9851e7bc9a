//! Large responses over the narrow link of one host.

use bytes::Bytes;
use knapweed_link::LinkRate;
use knapweed_timer::TimerService;
use knapweed_transport::certificates::Authority;
use knapweed_transport::tls::{Files, Identity};
use knapweed_transport::{Endpoint, Inbound};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Rate of the link.
const MBPS: f64 = 20.0;
/// Length of its queue; a packet that finds it full is lost.
const QUEUE_TIME: Duration = Duration::from_millis(40);
const CLIENTS: usize = 6;
const RESPONSE_LEN: usize = 200_000;

fn identity(authority: &Authority) -> Identity {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let pair = authority
        .issue("host", &[IpAddr::V4(Ipv4Addr::LOCALHOST)])
        .expect("a pair");
    let files = Files {
        certificate: dir.path().join("node.pem"),
        key: dir.path().join("node.key"),
        authority: dir.path().join("authority.pem"),
    };
    std::fs::write(&files.certificate, pair.certificate).expect("a file");
    std::fs::write(&files.key, pair.key).expect("a file");
    std::fs::write(&files.authority, authority.certificate()).expect("a file");
    Identity::load(&files).expect("an identity")
}

/// The link of a host with several peers. Packets from the host wait in one queue.
struct NarrowLink {
    address: SocketAddr,
    lost: Arc<AtomicU64>,
}

impl NarrowLink {
    /// Starts a link to the host at `host`; peers connect to [`NarrowLink::address`].
    async fn start(host: SocketAddr) -> Self {
        let peers = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address = peers.local_addr().expect("an address");
        let lost = Arc::new(AtomicU64::new(0));
        tokio::spawn(forward(Arc::new(peers), host, Arc::clone(&lost)));
        Self { address, lost }
    }
}

/// Forwards the packets of peers to the host at once, each peer from a socket of its own.
async fn forward(peers: Arc<UdpSocket>, host: SocketAddr, lost: Arc<AtomicU64>) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let busy_until = Arc::new(parking_lot::Mutex::new(Instant::now()));
    let mut buf = [0; 2_048];
    while let Ok((len, peer)) = peers.recv_from(&mut buf).await {
        let socket = match sockets.get(&peer) {
            Some(socket) => Arc::clone(socket),
            None => {
                let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
                socket.connect(host).await.expect("connected");
                let socket = Arc::new(socket);
                sockets.insert(peer, Arc::clone(&socket));
                let link = (Arc::clone(&peers), Arc::clone(&busy_until));
                tokio::spawn(queue(Arc::clone(&socket), peer, link, Arc::clone(&lost)));
                socket
            }
        };
        let _ = socket.send(&buf[..len]).await;
    }
}

/// Sends the packets of the host to one peer after their time in the queue that all share.
async fn queue(
    host: Arc<UdpSocket>,
    peer: SocketAddr,
    (peers, busy_until): (Arc<UdpSocket>, Arc<parking_lot::Mutex<Instant>>),
    lost: Arc<AtomicU64>,
) {
    let mut buf = [0; 2_048];
    while let Ok(len) = host.recv(&mut buf).await {
        let sent_at = {
            let mut busy_until = busy_until.lock();
            let now = Instant::now();
            let start = now.max(*busy_until);
            if start - now > QUEUE_TIME {
                lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            *busy_until = start + Duration::from_secs_f64(len as f64 * 8.0 / (MBPS * 1e6));
            *busy_until
        };
        let (peers, packet) = (Arc::clone(&peers), buf[..len].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep_until(sent_at.into()).await;
            let _ = peers.send_to(&packet, peer).await;
        });
    }
}

/// Answers each stream with a large body.
async fn answer(mut inbound: Inbound) {
    while let Some(mut incoming) = inbound.streams.recv().await {
        tokio::spawn(async move {
            let _ = incoming.receiver.rest(1_000).await;
            let _ = incoming
                .sender
                .body(Bytes::from(vec![7; RESPONSE_LEN]))
                .await;
            incoming.sender.finish();
        });
    }
}

/// Guards against connections that overflow the link of their own host: while the queue
/// was full, no packet of any connection passed for hundreds of milliseconds, and peers
/// closed the connections as silent.
#[tokio::test(flavor = "multi_thread")]
async fn large_responses_to_several_peers_lose_no_packets() {
    let authority = Authority::new().expect("an authority");
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();
    let rate = LinkRate::from_mbps(MBPS).expect("a rate");
    let host = Endpoint::open_paced(any_port, &identity(&authority), rate, TimerService::start());
    let (host, inbound) = host.expect("an endpoint");
    let link = NarrowLink::start(host.local_address().expect("an address")).await;
    tokio::spawn(answer(inbound));
    let address = link.address;
    let clients = (0..CLIENTS).map(|_| {
        let client = Endpoint::open(any_port, &identity(&authority)).expect("an endpoint");
        tokio::spawn(async move {
            for _ in 0..2 {
                let (mut tx, mut rx) = client.0.peers().open(address).await.expect("a stream");
                tx.finish();
                let body = rx.rest(RESPONSE_LEN).await.expect("a whole response");
                assert_eq!(body.len(), RESPONSE_LEN);
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.expect("a client");
    }
    assert_eq!(link.lost.load(Ordering::Relaxed), 0, "packets were lost");
}
