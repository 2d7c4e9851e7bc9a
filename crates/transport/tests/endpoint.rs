//! Links between nodes: streams, datagrams, refused peers, truncated streams, restarts
//! and shutdown.

use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_transport::certificates::Authority;
use knapweed_transport::stream::Error;
use knapweed_transport::tls::{Files, Identity};
use knapweed_transport::{Endpoint, Inbound, IncomingStream};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

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

fn open(authority: &Authority) -> (Endpoint, Inbound) {
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();
    Endpoint::open(any_port, &identity(authority)).expect("an endpoint")
}

async fn next(arrivals: &mut Inbound) -> IncomingStream {
    arrivals.streams.recv().await.expect("a stream")
}

#[tokio::test]
async fn a_stream_carries_head_and_body_both_ways() {
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let (b, mut arrivals) = open(&authority);
    let address = b.local_address().expect("an address");
    let (mut tx, mut rx) = a.peers().open(address).await.expect("a stream");
    tx.head(b"question").await.expect("sent");
    tx.body(Bytes::from("body")).await.expect("sent");
    tx.finish();
    let mut incoming = next(&mut arrivals).await;
    assert_eq!(incoming.receiver.head().await, Ok(Bytes::from("question")));
    assert_eq!(incoming.receiver.rest(100).await, Ok(Bytes::from("body")));
    incoming.sender.head(b"answer").await.expect("sent");
    incoming.sender.finish();
    assert_eq!(rx.head().await, Ok(Bytes::from("answer")));
    assert_eq!(rx.body().await, Ok(None));
}

/// Guards against a second connection for the opposite direction: with 1,400 nodes,
/// connections take the largest part of a node's memory.
#[tokio::test]
async fn both_ends_use_one_connection() {
    let authority = Authority::new().expect("an authority");
    let (a, mut a_arrivals) = open(&authority);
    let (b, mut b_arrivals) = open(&authority);
    let (a_address, b_address) = (a.local_address().expect("a"), b.local_address().expect("b"));
    a.peers()
        .send(b_address, Bytes::from("ping"))
        .await
        .expect("sent");
    assert_eq!(
        b_arrivals.datagrams.recv().await,
        Some((a_address, Bytes::from("ping")))
    );
    b.peers()
        .send(a_address, Bytes::from("pong"))
        .await
        .expect("sent");
    assert_eq!(
        a_arrivals.datagrams.recv().await,
        Some((b_address, Bytes::from("pong")))
    );
    assert_eq!(a.peers().traffic().connections, 1);
    assert_eq!(b.peers().traffic().connections, 1);
}

/// Guards against a truncated body that the receiver takes for a complete one (hazard
/// H5).
#[tokio::test]
async fn a_sender_dropped_before_its_end_resets_the_stream() {
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let (b, mut arrivals) = open(&authority);
    let address = b.local_address().expect("an address");
    let (mut tx, _rx) = a.peers().open(address).await.expect("a stream");
    tx.head(b"head").await.expect("sent");
    tx.body(Bytes::from("half")).await.expect("sent");
    let mut incoming = next(&mut arrivals).await;
    assert_eq!(incoming.receiver.head().await, Ok(Bytes::from("head")));
    drop(tx);
    assert_matches!(incoming.receiver.rest(100).await, Err(Error::Cancelled));
}

/// Guards against accepting a node whose certificate another authority has signed.
#[tokio::test]
async fn a_peer_of_another_authority_is_refused() {
    let (a, _a) = open(&Authority::new().expect("an authority"));
    let (b, mut arrivals) = open(&Authority::new().expect("an authority"));
    let address = b.local_address().expect("an address");
    let result = a.peers().send(address, Bytes::from("ping")).await;
    assert_matches!(result, Err(knapweed_transport::peers::Error::Dial { .. }));
    assert!(arrivals.datagrams.try_recv().is_err());
}

/// Guards against a peer that stays unreachable after its connection was closed,
/// because no new one is opened.
#[tokio::test]
async fn a_retired_connection_is_replaced() {
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let (b, mut arrivals) = open(&authority);
    let address = b.local_address().expect("an address");
    for text in ["one", "two"] {
        a.peers()
            .send(address, Bytes::from(text))
            .await
            .expect("sent");
        let (_, datagram) = arrivals.datagrams.recv().await.expect("a datagram");
        assert_eq!(datagram, Bytes::from(text));
        a.peers().close_connection(address);
    }
}

/// Guards against a node that is unreachable for the idle timeout of 30 s after a
/// SIGKILL and a restart, because its peers keep using the connection of its
/// previous process.
#[tokio::test]
async fn a_peer_notices_a_restart_at_once() {
    let authority = Authority::new().expect("an authority");
    let restarting = identity(&authority);
    let (a, mut arrivals) = open(&authority);
    let a_address = a.local_address().expect("an address");
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();

    // A separate runtime, so that the first endpoint ends without closing its connections.
    let first = tokio::runtime::Runtime::new().expect("a runtime");
    let guard = first.enter();
    let (b, _b_arrivals) = Endpoint::open(any_port, &restarting).expect("an endpoint");
    drop(guard);
    let address = b.local_address().expect("an address");
    let peers = b.peers();
    let send = async move { peers.send(a_address, Bytes::from("before")).await };
    first.spawn(send).await.expect("a task").expect("sent");
    assert_eq!(
        arrivals.datagrams.recv().await,
        Some((address, Bytes::from("before")))
    );
    first.shutdown_background();
    drop(b);

    let (_b, mut b_arrivals) = reopen(address, &restarting).await;
    let peers = a.peers();
    let arrived = async {
        loop {
            let _ = peers.send(address, Bytes::from("after")).await;
            let wait = std::time::Duration::from_millis(50);
            if let Ok(Some(datagram)) =
                tokio::time::timeout(wait, b_arrivals.datagrams.recv()).await
            {
                return datagram;
            }
        }
    };
    let bound = std::time::Duration::from_secs(1);
    let datagram = tokio::time::timeout(bound, arrived).await.expect("in time");
    assert_eq!(datagram, (a_address, Bytes::from("after")));
}

/// Opens an endpoint on an address, retrying until the previous endpoint has released it.
async fn reopen(address: std::net::SocketAddr, identity: &Identity) -> (Endpoint, Inbound) {
    for _ in 0..100 {
        if let Ok(opened) = Endpoint::open(address, identity) {
            return opened;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("the address {address} is still in use");
}

/// Guards against totals that decrease when a peer closes a connection, which led to
/// negative rates in the metrics.
#[tokio::test]
async fn traffic_of_closed_connections_still_counts() {
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let (b, mut arrivals) = open(&authority);
    let address = b.local_address().expect("an address");
    let peers = a.peers();
    peers
        .send(address, Bytes::from("ping"))
        .await
        .expect("sent");
    arrivals.datagrams.recv().await.expect("a datagram");
    let before = peers.traffic();
    b.close().await;
    for _ in 0..100 {
        if peers.traffic().connections == 0 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let after = peers.traffic();
    assert_eq!(after.connections, 0);
    assert!(after.sent >= before.sent, "{before:?} {after:?}");
    assert!(after.received >= before.received, "{before:?} {after:?}");
}

/// Relays packets between one client and `target`; returns the addresses that the client and
/// the target know. While `handshake_only` is set, the client's packets get through only as far
/// as they belong to the handshake.
async fn filter(target: SocketAddr, handshake_only: Arc<AtomicBool>) -> (SocketAddr, SocketAddr) {
    /// Bit of the first byte that is set in packets of the handshake only.
    const LONG_HEADER: u8 = 0x80;
    let any_port = (Ipv4Addr::LOCALHOST, 0);
    let client_side = UdpSocket::bind(any_port).await.expect("a socket");
    let target_side = UdpSocket::bind(any_port).await.expect("a socket");
    let addresses = (
        client_side.local_addr().expect("an address"),
        target_side.local_addr().expect("an address"),
    );
    tokio::spawn(async move {
        let (mut to_target, mut to_client) = ([0; 2_048], [0; 2_048]);
        let mut client = None;
        loop {
            tokio::select! {
                Ok((len, from)) = client_side.recv_from(&mut to_target) => {
                    client = Some(from);
                    let is_handshake = to_target[0] & LONG_HEADER != 0;
                    if is_handshake || !handshake_only.load(Ordering::Relaxed) {
                        let _ = target_side.send_to(&to_target[..len], target).await;
                    }
                }
                Ok((len, _)) = target_side.recv_from(&mut to_client) => {
                    if let Some(client) = client {
                        let _ = client_side.send_to(&to_client[..len], client).await;
                    }
                }
            }
        }
    });
    addresses
}

/// A peer whose process ended after the handshake, before its stateless reset token arrived.
struct EndedPeer {
    address: SocketAddr,
    /// Address by which the other end knows it.
    known_as: SocketAddr,
}

impl EndedPeer {
    /// Starts a peer that opens a connection to `a`, and ends it.
    async fn start(a: &Endpoint, identity: &Identity, handshake_only: &Arc<AtomicBool>) -> Self {
        let a_address = a.local_address().expect("an address");
        let (to_a, to_b) = filter(a_address, Arc::clone(handshake_only)).await;

        // A separate runtime, so that the first endpoint ends without closing its connections.
        let first = tokio::runtime::Runtime::new().expect("a runtime");
        let guard = first.enter();
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let (b, _b_arrivals) = Endpoint::open(any_port, identity).expect("an endpoint");
        drop(guard);
        let address = b.local_address().expect("an address");
        let peers = b.peers();
        let send = async move { peers.send(to_a, Bytes::from("before")).await };
        first.spawn(send).await.expect("a task").expect("sent");
        for _ in 0..100 {
            if a.peers().traffic().connections == 1 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(a.peers().traffic().connections, 1);
        first.shutdown_background();
        drop(b);
        Self {
            address,
            known_as: to_b,
        }
    }
}

/// Guards against a node that is unreachable for the idle timeout of 30 s, because its previous
/// process ended before its peer got a stateless reset token of the connection.
#[tokio::test]
async fn a_peer_notices_the_restart_of_a_process_that_ended_after_the_handshake() {
    let authority = Authority::new().expect("an authority");
    let restarting = identity(&authority);
    let (a, _arrivals) = open(&authority);
    let handshake_only = Arc::new(AtomicBool::new(true));
    let ended = EndedPeer::start(&a, &restarting, &handshake_only).await;
    let (address, to_b) = (ended.address, ended.known_as);

    let (_b, mut b_arrivals) = reopen(address, &restarting).await;
    handshake_only.store(false, Ordering::Relaxed);
    let peers = a.peers();
    let arrived = async {
        loop {
            let _ = peers.send(to_b, Bytes::from("after")).await;
            let wait = Duration::from_millis(50);
            if let Ok(Some((_, datagram))) =
                tokio::time::timeout(wait, b_arrivals.datagrams.recv()).await
            {
                return datagram;
            }
        }
    };
    let datagram = tokio::time::timeout(Duration::from_secs(1), arrived).await;
    assert_eq!(datagram.expect("in time"), Bytes::from("after"));
}

/// Number of requests in [`requests_do_not_queue_for_handshakes_that_fail`].
const REQUESTS: u32 = 8;
/// Time that each of these requests has until its deadline.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// Guards against requests to a host that cannot be reached, each of which waits until its
/// deadline because the handshakes follow one another: the connection to the host has no
/// stateless reset token, and its replacement cannot be opened.
#[tokio::test]
async fn requests_do_not_queue_for_handshakes_that_fail() {
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let handshake_only = Arc::new(AtomicBool::new(true));
    let ended = EndedPeer::start(&a, &identity(&authority), &handshake_only).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut requests = tokio::task::JoinSet::new();
    let start = Instant::now();
    for _ in 0..REQUESTS {
        let peers = a.peers();
        requests.spawn(async move {
            let opened = tokio::time::timeout(TIME_LEFT, peers.open(ended.known_as)).await;
            (start.elapsed(), opened.map(|result| result.is_err()))
        });
    }
    let results = requests.join_all().await;
    let refused = results.iter().filter(|(_, refused)| *refused == Ok(true));
    assert_eq!(refused.count(), REQUESTS as usize, "{results:?}");

    // While the host stays unreachable, only the request that tries it again waits.
    let start = Instant::now();
    let mut waited = 0;
    while start.elapsed() < TIME_LEFT {
        let sent = Instant::now();
        let opened = a.peers().open(ended.known_as).await;
        assert!(opened.is_err());
        waited += u32::from(sent.elapsed() > Duration::from_millis(100));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(waited <= 2, "{waited} requests waited");
}

/// Relays datagrams between one client and `target`, and delays them while `paused` is
/// set.
async fn relay(target: SocketAddr, paused: Arc<AtomicBool>) -> SocketAddr {
    let any_port = (Ipv4Addr::LOCALHOST, 0);
    let client_side = UdpSocket::bind(any_port).await.expect("a socket");
    let target_side = UdpSocket::bind(any_port).await.expect("a socket");
    let address = client_side.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut to_target, mut to_client) = ([0; 2_048], [0; 2_048]);
        let mut client = None;
        loop {
            let (socket, to, packet) = tokio::select! {
                Ok((len, from)) = client_side.recv_from(&mut to_target) => {
                    client = Some(from);
                    (&target_side, Some(target), &to_target[..len])
                }
                Ok((len, _)) = target_side.recv_from(&mut to_client) => (&client_side, client, &to_client[..len]),
            };
            while paused.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if let Some(to) = to {
                let _ = socket.send_to(packet, to).await;
            }
        }
    });
    address
}

/// Guards against a shutdown that exceeds its grace period, so that the node is killed:
/// after a peer was unresponsive, the library estimates round-trip times of seconds,
/// and closing the endpoint waited for several of them.
#[tokio::test]
async fn closing_does_not_wait_for_a_peer_that_was_slow() {
    let authority = Authority::new().expect("an authority");
    let (a, _a_arrivals) = open(&authority);
    let (b, mut b_arrivals) = open(&authority);
    let paused = Arc::new(AtomicBool::new(false));
    let address = relay(b.local_address().expect("b"), Arc::clone(&paused)).await;
    let (mut tx, _rx) = a.peers().open(address).await.expect("a stream");
    tx.head(b"question").await.expect("sent");
    let mut incoming = next(&mut b_arrivals).await;
    for _ in 0..2 {
        paused.store(true, Ordering::Relaxed);
        tx.body(Bytes::from("late")).await.expect("taken");
        tokio::time::sleep(Duration::from_secs(1)).await;
        paused.store(false, Ordering::Relaxed);
        incoming.receiver.body().await.expect("received");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let start = Instant::now();
    a.close().await;
    let took = start.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// Guards against datagrams that wait behind the handshakes of earlier ones while their receiver
/// is cut off, and then arrive as if they had just been sent: gossip in them is seconds old.
#[tokio::test]
async fn a_datagram_does_not_wait_for_the_handshakes_of_others() {
    const CUT: Duration = Duration::from_millis(3_300);
    const LONGEST_HANDSHAKE: Duration = Duration::from_secs(1);
    let authority = Authority::new().expect("an authority");
    let (a, _arrivals) = open(&authority);
    let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let silent = silent.expect("a port");
    let address = silent.local_addr().expect("an address");
    let begin = Instant::now();
    for number in 0..12u8 {
        let peers = a.peers();
        tokio::spawn(async move { peers.send(address, Bytes::from(vec![number])).await });
    }
    tokio::time::sleep(CUT).await;
    drop(silent);
    let (_b, mut arrivals) = Endpoint::open(address, &identity(&authority)).expect("an endpoint");
    let mut late = Vec::new();
    while let Ok(Some((_, datagram))) =
        tokio::time::timeout(Duration::from_secs(3), arrivals.datagrams.recv()).await
    {
        late.push((datagram[0], begin.elapsed()));
    }
    late.retain(|(_, age)| *age > LONGEST_HANDSHAKE);
    assert_eq!(late, [], "datagrams and their ages on arrival");
}
