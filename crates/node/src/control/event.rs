//! What the control thread is told.

use super::query::Query;
use super::registry::Entry;
use crate::orders::Order;
use crate::source::{Loaded, Seen};
use bytes::Bytes;
use knapweed_link::Delta;
use knapweed_rollout::RolloutState;
use knapweed_transport::IncomingStream;
use knapweed_wire::StreamHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::{Name, TicketNumber};
use knapweed_zone::directory::SharedRecord;
use knapweed_zone::floor;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Events that may wait for the control thread.
const QUEUE_LEN: usize = 1_024;

/// What the control thread is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// A datagram of another node.
    Datagram {
        /// Address of that node.
        from: SocketAddr,
        /// The encoded message.
        bytes: Bytes,
    },
    /// A stream that another node opened, other than a request.
    Stream {
        /// Its first message.
        head: Box<StreamHead>,
        /// The stream.
        incoming: IncomingStream,
    },
    /// A backend server of this host announced itself.
    Announced(Announcement),
    /// A configuration delta arrived; `None` when the fetch failed.
    Delta {
        /// Address of the node asked.
        from: SocketAddr,
        /// The delta.
        delta: Option<Delta>,
    },
    /// Records that another node shared.
    Members(Vec<SharedRecord>),
    /// A configuration was loaded past the watch.
    Loaded(Loaded),
    /// The source of configurations has answered.
    Seen(Seen),
    /// The source of configurations cannot be reached or read.
    SourceLost,
    /// An answer of the platform about a rollout.
    Rollout {
        /// The service.
        service: Name,
        /// The answer.
        event: Box<knapweed_rollout::Event>,
    },
    /// An answer about the version floor.
    Floor(floor::Event),
    /// This host is registered; the hosts of the registry.
    Registered(Vec<(Name, Entry)>),
    /// Orders for rollouts, with the stored states of their services.
    Ordered(Vec<(Order, Option<RolloutState>)>),
    /// The end of an order is reported.
    Reported {
        /// The service.
        service: Name,
        /// The number of the order.
        ticket: TicketNumber,
    },
    /// The final result of a ticket is written.
    Concluded(TicketNumber),
    /// A question of an operator.
    Query(Query),
    /// The node will stop soon.
    Leave,
    /// The node stops now; told when the members have been told.
    Stop(oneshot::Sender<()>),
}

/// Sends events to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::Sender<Event>,
}

impl ControlHandle {
    /// A handle and the receiver for [`super::Control::run`].
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
