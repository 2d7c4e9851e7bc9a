//! Measures the memory per connection by opening many between endpoints of one process.
//!
//! Both ends of each connection are in this process, so the printed figure per node is
//! half of the total.

use knapweed_transport::Endpoint;
use knapweed_transport::tls::Identity;
use std::net::SocketAddr;

const ENDPOINTS: usize = 100;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let digits = line.and_then(|l| l.split_whitespace().nth(1));
    digits.and_then(|d| d.parse().ok()).expect("a number")
}

fn open() -> (Endpoint, SocketAddr) {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let identity = Identity::ephemeral(any).expect("an identity");
    let (endpoint, mut arrivals) = Endpoint::open(any, &identity).expect("an endpoint");
    tokio::spawn(async move {
        while let Some(mut incoming) = arrivals.streams.recv().await {
            let _ = incoming.receiver.head().await;
            let _ = incoming.sender.head(b"answer").await;
            incoming.sender.finish();
        }
    });
    let address = endpoint.local_address().expect("an address");
    (endpoint, address)
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let nodes: Vec<_> = (0..ENDPOINTS).map(|_| open()).collect();
    let (first, _) = &nodes[0];
    let peers = first.peers();
    let before = resident_kb();
    for (_, address) in &nodes[1..] {
        for _ in 0..4 {
            let (mut tx, mut rx) = peers.open(*address).await.expect("a stream");
            tx.head(b"question").await.expect("sent");
            tx.finish();
            rx.head().await.expect("an answer");
        }
    }
    let after = resident_kb();
    let each = (after - before) as f64 / (ENDPOINTS - 1) as f64 / 2.0;
    println!("{each:.1} KB for one end of a connection; {after} KB in all");
}
