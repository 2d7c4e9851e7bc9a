//! Transfers of configuration deltas that take longer than the time limit of a silence.

use crate::common::NodeEndpoint;
use assert_matches::assert_matches;
use bytes::Bytes;
use knapweed_link::Delta;
use knapweed_node::control::deltas::{Fetched, fetch, reply_with_delta};
use knapweed_transport::IncomingStream;
use knapweed_transport::certificates::Authority;
use knapweed_wire::{FetchReply, StreamHead, encode};
use knapweed_zone::dissemination::fetch::FETCH_TIMEOUT;
use knapweed_zone::dissemination::transfers::{MAX_SHORT_LEN, MAX_TRANSFERS, Transfers};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

static QUERY: StreamHead = StreamHead::FetchConfig { have: Vec::new() };
/// Number of chunks of the delta. At [`PAUSE`] each, it takes twice as long as a silence may.
const CHUNKS: usize = 10;
const PAUSE: Duration = Duration::from_millis(100);
/// More than the flow control windows of a connection, so that its sender waits.
const LONG_LEN: usize = 4 * 1024 * 1024;

fn delta() -> Delta {
    Delta {
        head: Bytes::from("head"),
        parts: (0..CHUNKS)
            .map(|part| vec![part as u8; 100].into())
            .collect(),
        patches: Vec::new(),
    }
}

/// Sends a delta in chunks, and stays silent after the first `chunks` of them.
async fn send_slowly(mut incoming: IncomingStream, chunks: usize) {
    incoming.receiver.head().await.expect("a query");
    let mut sender = incoming.sender;
    let reply = encode(&FetchReply::Delta).expect("a reply");
    sender.head(&reply).await.expect("sent");
    let packed = delta().compress().expect("a delta");
    let chunk_len = packed.len().div_ceil(CHUNKS);
    for chunk in packed.chunks(chunk_len).take(chunks) {
        tokio::time::sleep(PAUSE).await;
        if sender.body(Bytes::copy_from_slice(chunk)).await.is_err() {
            return;
        }
    }
    if chunks < CHUNKS {
        tokio::time::sleep(4 * FETCH_TIMEOUT).await;
        return;
    }
    sender.finish();
    sender.delivered().await;
}

/// Guards against a transfer that is dropped and begins again because it takes longer than a
/// fixed time in all, and against one that waits for a silent source.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetch_ends_early_only_when_its_source_is_silent() {
    let authority = Authority::new().expect("an authority");
    let (client, mut server) = (
        NodeEndpoint::open(&authority),
        NodeEndpoint::open(&authority),
    );
    let address = server.endpoint.local_address().expect("an address");
    let peers = client.endpoint.peers();
    let reports = AtomicU32::new(0);
    let progressed = || {
        reports.fetch_add(1, Ordering::Relaxed);
        std::future::ready(())
    };
    for chunks in [CHUNKS, 2] {
        let started = Instant::now();
        let fetch = fetch(&peers, address, &QUERY, progressed);
        let serve = async {
            let incoming = server.inbound.streams.recv().await.expect("a stream");
            tokio::spawn(send_slowly(incoming, chunks));
        };
        let (fetched, ()) = tokio::join!(fetch, serve);
        if chunks == CHUNKS {
            assert_matches!(fetched, Ok(Fetched::Delta(fetched)) if fetched == delta());
            assert!(started.elapsed() > FETCH_TIMEOUT + PAUSE);
            assert!((3..=CHUNKS as u32).contains(&reports.load(Ordering::Relaxed)));
        } else {
            assert_matches!(fetched, Err(_));
            assert!(started.elapsed() < 2 * FETCH_TIMEOUT + PAUSE);
        }
    }
}

/// Guards against a node that sends a long delta to all that ask at once, so that each
/// transfer takes long, and against a place that is not free after a transfer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_sends_long_deltas_is_busy() {
    let authority = Authority::new().expect("an authority");
    let (client, mut server) = (
        NodeEndpoint::open(&authority),
        NodeEndpoint::open(&authority),
    );
    let address = server.endpoint.local_address().expect("an address");
    let transfers = Transfers::default();
    let mut answer = async |len: usize| {
        let (mut tx, rx) = client.endpoint.peers().open(address).await.expect("open");
        tx.head(&encode(&QUERY).expect("a query"))
            .await
            .expect("sent");
        tx.finish();
        let incoming = server.inbound.streams.recv().await.expect("a stream");
        reply_with_delta(&transfers, incoming, vec![1; len].into());
        rx
    };
    let expected = |reply| encode(&reply).expect("a reply");
    let mut unread = Vec::new();
    for _ in 0..MAX_TRANSFERS {
        let mut rx = answer(LONG_LEN).await;
        assert_eq!(rx.head().await, Ok(expected(FetchReply::Delta)));
        unread.push(rx);
    }
    let mut refused = answer(LONG_LEN).await;
    assert_eq!(refused.head().await, Ok(expected(FetchReply::Busy)));
    assert_eq!(refused.body().await, Ok(None));
    let mut short = answer(MAX_SHORT_LEN).await;
    assert_eq!(short.head().await, Ok(expected(FetchReply::Delta)));
    let mut read = unread.pop().expect("a transfer");
    assert_eq!(
        read.rest(LONG_LEN).await.map(|body| body.len()),
        Ok(LONG_LEN)
    );
    // The acknowledgement of the last packet is on its way.
    tokio::time::sleep(PAUSE).await;
    let mut next = answer(LONG_LEN).await;
    assert_eq!(next.head().await, Ok(expected(FetchReply::Delta)));
}

/// Guards against a damaged delta that passes for a lost one: the next fetch must ask for
/// whole parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_no_delta_is_unreadable() {
    let authority = Authority::new().expect("an authority");
    let (client, mut server) = (
        NodeEndpoint::open(&authority),
        NodeEndpoint::open(&authority),
    );
    let address = server.endpoint.local_address().expect("an address");
    let peers = client.endpoint.peers();
    let fetch = fetch(&peers, address, &QUERY, || std::future::ready(()));
    let serve = async {
        let incoming = server.inbound.streams.recv().await.expect("a stream");
        let packed = delta().compress().expect("a delta");
        reply_with_delta(&Transfers::default(), incoming, packed.slice(1..));
    };
    let (fetched, ()) = tokio::join!(fetch, serve);
    assert_matches!(fetched, Ok(Fetched::Unreadable(_)));
}
