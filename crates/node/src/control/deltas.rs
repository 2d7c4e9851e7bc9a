//! Transfers of configuration deltas between nodes.

use bytes::Bytes;
use knapweed_link::{Delta, delta};
use knapweed_observe::part;
use knapweed_transport::{IncomingStream, Peers};
use knapweed_wire::{FetchReply, StreamHead, decode, encode};
use knapweed_zone::dissemination::fetch::FETCH_TIMEOUT;
use knapweed_zone::dissemination::transfers::{Transfer, Transfers};
use knapweed_zone::membership::TICK_INTERVAL;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest compressed delta, in bytes.
pub const MAX_DELTA_LEN: usize = 8 * 1024 * 1024;
/// Rate in bytes per second that deltas get on the slowest link, of 10 Mbit/s.
const SLOWEST_RATE: usize = 1_000_000;
/// Number of transfers that a slow link may carry at a time; more than [`MAX_TRANSFERS`],
/// because a slow transfer gives its place to another one.
///
/// [`MAX_TRANSFERS`]: knapweed_zone::dissemination::transfers::MAX_TRANSFERS
const SHARING: usize = 2;
/// Time limit for the transfer of a delta.
pub const MAX_TRANSFER_TIME: Duration = longest_time(MAX_DELTA_LEN);

/// Time that a delta of `len` bytes takes on a slow link that carries [`SHARING`] of them.
const fn longest_time(len: usize) -> Duration {
    Duration::from_millis((len * SHARING * 1_000 / SLOWEST_RATE) as u64)
}

/// The answer of a node to a fetch.
#[derive(Debug)]
pub enum Fetched {
    /// The delta, decompressed.
    Delta(Delta),
    /// The answer is not a compressed delta.
    Unreadable(delta::Error),
    /// The node sends enough deltas to others.
    Busy,
}

/// Fetches a delta from the node at `from`. Calls `progressed` at most every
/// [`TICK_INTERVAL`] while parts of it arrive.
///
/// # Errors
///
/// Nothing arrived for [`FETCH_TIMEOUT`], the transfer took over [`MAX_TRANSFER_TIME`], the
/// stream ended early, or the head of the reply cannot be decoded, or the delta is over [`MAX_DELTA_LEN`].
pub async fn fetch<F: Future<Output = ()>>(
    peers: &Peers,
    from: SocketAddr,
    query: &StreamHead,
    progressed: impl Fn() -> F,
) -> anyhow::Result<Fetched> {
    let started = Instant::now();
    let open = async {
        let (mut tx, mut rx) = peers.open(from).await?;
        tx.head(&encode(query)?).await?;
        tx.finish();
        let reply: FetchReply = decode(&rx.head().await?)?;
        anyhow::Ok((reply, rx))
    };
    let (reply, mut rx) = timeout(FETCH_TIMEOUT, open).await??;
    if reply == FetchReply::Busy {
        return Ok(Fetched::Busy);
    }
    let mut packed = Vec::new();
    let mut reported_at = started;
    while let Some(chunk) = timeout(FETCH_TIMEOUT, rx.body()).await?? {
        packed.extend_from_slice(&chunk);
        anyhow::ensure!(packed.len() <= MAX_DELTA_LEN, "the delta is too long");
        anyhow::ensure!(
            started.elapsed() <= MAX_TRANSFER_TIME,
            "the transfer takes too long"
        );
        if reported_at.elapsed() >= TICK_INTERVAL {
            reported_at = Instant::now();
            progressed().await;
        }
    }
    let unpacked = Delta::decompress(&packed);
    Ok(unpacked.map_or_else(Fetched::Unreadable, Fetched::Delta))
}

/// Sends a delta, or the answer that too many are being sent.
pub fn reply_with_delta(transfers: &Transfers, incoming: IncomingStream, delta: Bytes) {
    let transfer = transfers.start(delta.len());
    let from = incoming.from;
    tokio::spawn(async move {
        if let Err(err) = send(incoming, transfer, delta).await {
            log::debug!(target: part::CONFIG, "delta to {from} was cut short: {err}");
        }
    });
}

/// Sends the answer that too many deltas are being sent.
pub fn reply_busy(incoming: IncomingStream) {
    let from = incoming.from;
    tokio::spawn(async move {
        if let Err(err) = send_busy(incoming).await {
            log::debug!(target: part::CONFIG, "answer to {from} was cut short: {err}");
        }
    });
}

async fn send_busy(incoming: IncomingStream) -> anyhow::Result<()> {
    let mut sender = incoming.sender;
    sender.head(&encode(&FetchReply::Busy)?).await?;
    sender.finish();
    Ok(())
}

async fn send(
    incoming: IncomingStream,
    transfer: Option<Transfer>,
    delta: Bytes,
) -> anyhow::Result<()> {
    let Some(transfer) = transfer else {
        return send_busy(incoming).await;
    };
    let mut sender = incoming.sender;
    let turn = FETCH_TIMEOUT + longest_time(delta.len());
    let whole = async {
        sender.head(&encode(&FetchReply::Delta)?).await?;
        sender.body(delta).await?;
        sender.finish();
        // The link is in use until the delta has arrived, not only until it is buffered.
        sender.delivered().await;
        anyhow::Ok(())
    };
    let mut whole = std::pin::pin!(whole);
    if let Ok(sent) = timeout(turn, &mut whole).await {
        return sent;
    }
    // The receiver has stalled or is slow: others are served meanwhile.
    drop(transfer);
    timeout(MAX_TRANSFER_TIME, whole).await?
}
