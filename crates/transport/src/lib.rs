//! QUIC links between nodes: endpoint, mutual TLS, streams and datagrams.
//!
//! This crate transfers bytes; `knapweed-wire` defines the messages that they encode.

pub mod arrivals;
pub mod certificates;
pub mod dial;
pub mod endpoint;
pub mod link;
mod paced;
pub mod peers;
pub mod stream;
pub mod tls;

pub use arrivals::{Inbound, IncomingStream};
pub use endpoint::Endpoint;
pub use link::{Link, LinkId};
pub use peers::{Peers, Traffic};
pub use stream::{Receiver, Sender};
