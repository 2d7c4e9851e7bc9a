//! Queues of streams and datagrams received from peers.

use crate::stream::{Receiver, Sender};
use bytes::Bytes;
use quinn::Connection;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Capacity of each queue, in streams or datagrams.
const QUEUE_LEN: usize = 1_024;

/// A bidirectional stream that a peer opened.
#[derive(Debug)]
pub struct IncomingStream {
    /// Address of the peer's node.
    pub from: SocketAddr,
    /// Sends the reply.
    pub sender: Sender,
    /// Receives the peer's message.
    pub receiver: Receiver,
}

/// Receiving ends of the queues: streams carry requests, datagrams carry gossip.
#[derive(Debug)]
pub struct Inbound {
    /// Streams, in the order in which they were accepted.
    pub streams: mpsc::Receiver<IncomingStream>,
    /// Datagrams, each with the address of the sender's node.
    pub datagrams: mpsc::Receiver<(SocketAddr, Bytes)>,
}

/// Sending ends of the queues, shared by all connections.
#[derive(Clone, Debug)]
pub(crate) struct InboundQueues {
    streams: mpsc::Sender<IncomingStream>,
    datagrams: mpsc::Sender<(SocketAddr, Bytes)>,
}

impl InboundQueues {
    pub(crate) fn new() -> (Self, Inbound) {
        let (streams, stream_rx) = mpsc::channel(QUEUE_LEN);
        let (datagrams, datagram_rx) = mpsc::channel(QUEUE_LEN);
        let arrivals = Inbound {
            streams: stream_rx,
            datagrams: datagram_rx,
        };
        (Self { streams, datagrams }, arrivals)
    }

    /// Queues streams and datagrams of a connection until it is closed.
    pub(crate) async fn serve(self, connection: Connection) {
        tokio::join!(
            receive_streams(&connection, self.streams),
            receive_datagrams(&connection, self.datagrams),
        );
    }
}

async fn receive_streams(connection: &Connection, queue: mpsc::Sender<IncomingStream>) {
    let from = connection.remote_address();
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let incoming = IncomingStream {
            from,
            sender: Sender::new(tx),
            receiver: Receiver::new(rx),
        };
        if queue.send(incoming).await.is_err() {
            return;
        }
    }
}

async fn receive_datagrams(connection: &Connection, queue: mpsc::Sender<(SocketAddr, Bytes)>) {
    let from = connection.remote_address();
    while let Ok(datagram) = connection.read_datagram().await {
        // An empty datagram is a probe; its QUIC acknowledgement is the reply.
        if datagram.is_empty() {
            continue;
        }
        // When the queue is full, the datagram is dropped: gossip is sent repeatedly.
        if queue.try_send((from, datagram)).is_err() && queue.is_closed() {
            return;
        }
    }
}
