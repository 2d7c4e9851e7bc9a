//! A node that consists of its egress only, without a control thread.

use super::{NodeEndpoint, name};
use knapweed_node::egress::{Egress, serve};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::trial::Trials;
use knapweed_timer::TimerService;
use knapweed_transport::certificates::Authority;
use knapweed_transport::{Endpoint, Inbound, IncomingStream};
use knapweed_wire::{StreamHead, decode};
use knapweed_world::ServerState;
use knapweed_world::backend_server::Announcement;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(crate) struct Node {
    endpoint: Endpoint,
}

impl Node {
    /// Starts an egress in front of one backend server.
    pub(crate) fn start(authority: &Authority, timer: &TimerService, backend: SocketAddr) -> Self {
        let NodeEndpoint { endpoint, inbound } = NodeEndpoint::open(authority);
        let egress = with_backend(timer, Arc::default(), backend);
        tokio::spawn(receive(inbound, egress));
        Self { endpoint }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.endpoint.local_address().expect("an address")
    }
}

/// An egress in front of one backend server, without an endpoint.
pub(crate) fn with_backend(
    timer: &TimerService,
    trials: Arc<Trials>,
    backend: SocketAddr,
) -> Arc<Egress> {
    let egress = Egress::new(timer.clone(), trials, Arc::new(NativeHeaders));
    egress.announce(&announcement(backend));
    Arc::new(egress)
}

/// The announcement of a ready backend server.
pub(crate) fn announcement(backend: SocketAddr) -> Announcement {
    Announcement {
        service: name("calendar"),
        version: name("v1"),
        address: backend,
        slots: 12,
        max_connections: 110,
        state: ServerState::Ready,
        instance: None,
        is_cold: false,
    }
}

async fn receive(mut inbound: Inbound, egress: Arc<Egress>) {
    while let Some(incoming) = inbound.streams.recv().await {
        tokio::spawn(dispatch(incoming, Arc::clone(&egress)));
    }
}

async fn dispatch(mut incoming: IncomingStream, egress: Arc<Egress>) {
    let Ok(bytes) = incoming.receiver.head().await else {
        return;
    };
    match decode(&bytes).expect("a message") {
        StreamHead::Request(head) => serve::request(egress, *head, incoming).await,
        StreamHead::Inquire { send, age_us } => {
            let age = Duration::from_micros(age_us);
            serve::inquiry(&egress, send, age, incoming).await;
        }
        other => panic!("unexpected message {other:?}"),
    }
}
