//! Events of the control thread, and the handle that sends them.

use super::query::Query;
use super::registry::Entry;
use crate::orders::Order;
use crate::source::{Error, LoadedConfig, SourceUpdate};
use bytes::Bytes;
use knapweed_host::quota::ExchangeReply;
use knapweed_link::Delta;
use knapweed_rollout::RolloutState;
use knapweed_transport::IncomingStream;
use knapweed_wire::StreamHead;
use knapweed_wire::stream::EstablishedReply;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Name, TicketNumber, Time};
use knapweed_zone::directory::SharedRecord;
use knapweed_zone::evacuation::EvacuationList;
use knapweed_zone::floor;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the event queue of the control thread.
const QUEUE_LEN: usize = 1_024;

/// An event that the control thread handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// A datagram arrived from another node.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// The encoded gossip message.
        bytes: Bytes,
    },
    /// Another node opened a stream, other than for a request or an inquiry.
    Stream {
        /// First message on the stream.
        head: Box<StreamHead>,
        /// The stream, on which a reply is sent.
        incoming: IncomingStream,
    },
    /// A backend server of this host announced itself.
    Announced(Announcement),
    /// A configuration delta arrived; `None` when the fetch failed.
    Delta {
        /// Address of the node that was queried.
        from: SocketAddr,
        /// The decompressed delta.
        delta: Option<Delta>,
    },
    /// A configuration delta arrived that cannot be decompressed.
    UnreadableDelta {
        /// Address of the node that was queried.
        from: SocketAddr,
    },
    /// A part of a configuration delta arrived.
    FetchProgressed {
        /// Address of the node that was queried.
        from: SocketAddr,
    },
    /// A node sends enough deltas to others.
    FetchBusy {
        /// Address of the node that was queried.
        from: SocketAddr,
    },
    /// Membership records arrived from another node.
    Members(Vec<SharedRecord>),
    /// A configuration was loaded outside the watch, after a ticket was accepted.
    LoadedConfig(LoadedConfig),
    /// A watch of the configuration source succeeded.
    SourceUpdate {
        update: SourceUpdate,
        /// Earliest time of the state that it describes.
        at: Time,
    },
    /// The load of the configuration that was under way has ended.
    LoadEnded {
        result: Result<SourceUpdate, Error>,
        /// Earliest time of the state that it describes.
        at: Time,
    },
    /// A watch of configurations or orders failed.
    SourceUnavailable,
    /// The store answered, but what it holds cannot be used.
    SourceUnusable,
    /// A read or write of a stored rollout state has ended.
    Rollout {
        /// Name of the service.
        service: Name,
        /// The outcome, for the rollout control of the service.
        event: Box<knapweed_rollout::Event>,
    },
    /// A query for the version floor was answered or failed.
    Floor(floor::Event),
    /// Another node replied which versions have the traffic.
    Established(EstablishedReply),
    /// This host was registered; contains all entries of the registry.
    Registered(Vec<(Name, Entry)>),
    /// New or changed rollout orders, with the stored rollout states of their services.
    Ordered(Vec<(Order, Option<RolloutState>)>),
    /// The evacuations were read from their source.
    EvacuationsRead(EvacuationList),
    /// The end of an order was reported to its source.
    Reported {
        /// Name of the service.
        service: Name,
        /// Number of the order within its service.
        ticket: TicketNumber,
    },
    /// The final result of a ticket has been written.
    FinalResultWritten(TicketNumber),
    /// The holder of the token pool has replied.
    QuotaReply(Box<ExchangeReply>),
    /// A query from another thread.
    Query(Query),
    /// The node starts its graceful stop.
    Leave,
    /// The node leaves the gossip; the sender fires once the last messages to the
    /// members are on their way.
    Stop(oneshot::Sender<()>),
}

/// Sends events to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::Sender<Event>,
}

impl ControlHandle {
    /// A handle, and the receiver to pass to [`super::Controller::run`].
    pub(crate) fn new() -> (Self, mpsc::Receiver<Event>) {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        (Self { tx }, rx)
    }

    /// Sends an event, waiting while the queue is full.
    pub(crate) async fn send(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.tx.send(event).await;
    }
}
