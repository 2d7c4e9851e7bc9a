//! Queries and one-way messages to other nodes, and replies to their queries. Each
//! uses a stream of its own.

use bytes::Bytes;
use knapweed_observe::part;
use knapweed_transport::{IncomingStream, Peers};
use knapweed_wire::{StreamHead, encode};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sends a query to a node and returns its whole reply of at most `max_len` bytes.
pub(super) async fn query_node(
    peers: &Peers,
    to: SocketAddr,
    query: &StreamHead,
    max_len: usize,
) -> anyhow::Result<Bytes> {
    let (mut tx, mut rx) = peers.open(to).await?;
    tx.head(&encode(query)?).await?;
    tx.finish();
    Ok(rx.rest(max_len).await?)
}

/// Sends a message without waiting for a reply.
pub(super) fn send_one_way(peers: &Arc<Peers>, to: SocketAddr, message: &StreamHead) {
    let bytes = match encode(message) {
        Ok(bytes) => bytes,
        Err(err) => return log::error!(target: part::LINK, "could not send to {to}: {err}"),
    };
    let peers = Arc::clone(peers);
    tokio::spawn(async move {
        let sent = async {
            let (mut tx, _rx) = peers.open(to).await?;
            tx.head(&bytes).await?;
            tx.finish();
            anyhow::Ok(())
        };
        if let Err(err) = sent.await {
            log::debug!(target: part::LINK, "message to {to} was not sent: {err}");
        }
    });
}

/// Replies to a query with an encoded message.
pub(super) fn reply<M: Serialize>(incoming: IncomingStream, message: &M) {
    match encode(message) {
        Ok(bytes) => reply_with_bytes(incoming, bytes),
        Err(err) => log::error!(target: part::LINK, "could not encode a reply: {err}"),
    }
}

/// Replies to a query with raw bytes.
pub(super) fn reply_with_bytes(incoming: IncomingStream, bytes: Bytes) {
    let IncomingStream {
        from, mut sender, ..
    } = incoming;
    tokio::spawn(async move {
        if let Err(err) = sender.body(bytes).await {
            log::debug!(target: part::LINK, "answer to {from} was cut short: {err}");
            return;
        }
        sender.finish();
    });
}
