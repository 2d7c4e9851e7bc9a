//! Streams and datagrams that arrive from peers.

use crate::stream::{Receiver, Sender};
use bytes::Bytes;
use quinn::Connection;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Streams and datagrams that may wait for the node's tasks.
const QUEUE_LEN: usize = 1_024;

/// A stream that a peer opened.
#[derive(Debug)]
pub struct Incoming {
    /// Address of the peer's node.
    pub from: SocketAddr,
    /// For the answer.
    pub sender: Sender,
    /// The peer's message.
    pub receiver: Receiver,
}

/// What peers send: streams for requests and datagrams for gossip.
#[derive(Debug)]
pub struct Arrivals {
    /// Streams, in the order in which they were opened.
    pub streams: mpsc::Receiver<Incoming>,
    /// Datagrams with the sender's address.
    pub datagrams: mpsc::Receiver<(SocketAddr, Bytes)>,
}

/// The node's queues, fed by every connection.
#[derive(Clone, Debug)]
pub(crate) struct Queues {
    streams: mpsc::Sender<Incoming>,
    datagrams: mpsc::Sender<(SocketAddr, Bytes)>,
}

impl Queues {
    pub(crate) fn new() -> (Self, Arrivals) {
        let (streams, stream_rx) = mpsc::channel(QUEUE_LEN);
        let (datagrams, datagram_rx) = mpsc::channel(QUEUE_LEN);
        let arrivals = Arrivals {
            streams: stream_rx,
            datagrams: datagram_rx,
        };
        (Self { streams, datagrams }, arrivals)
    }

    /// Feeds the queues from one connection until it ends.
    pub(crate) async fn serve(self, connection: Connection) {
        tokio::join!(
            receive_streams(&connection, self.streams),
            receive_datagrams(&connection, self.datagrams),
        );
    }
}

async fn receive_streams(connection: &Connection, queue: mpsc::Sender<Incoming>) {
    let from = connection.remote_address();
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let incoming = Incoming {
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
        // An empty datagram is a probe: its acknowledgement is the answer.
        if datagram.is_empty() {
            continue;
        }
        // A full queue drops the datagram: gossip repeats itself.
        if queue.try_send((from, datagram)).is_err() && queue.is_closed() {
            return;
        }
    }
}
