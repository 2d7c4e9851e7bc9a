//! Backend servers: their announced state, their identity and their entry in a snapshot.

use crate::load::ServerLoad;
use crate::{HostKey, Name, ServiceKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Lifecycle state that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Started but not yet ready for requests.
    Warming,
    /// Accepts requests.
    Ready,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
    /// Shut down; it is no longer part of the mesh.
    Gone,
}

/// One run of a backend server process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Instance {
    /// Name of the process; a later process may have the same one.
    pub name: Name,
    /// Start of the process, in Unix milliseconds of its own clock.
    pub started_ms: u64,
}

/// Announcement of a backend server to the node on its host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Service that it implements.
    pub service: Name,
    /// Version of the service.
    pub version: Name,
    /// TCP address on which it accepts requests, reachable from its own host.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub max_connections: u16,
    /// Lifecycle state as announced.
    pub state: ServerState,
    /// The run of the server process, so that a restart is noticed; `None` when the
    /// server does not send it.
    #[serde(default)]
    pub instance: Option<Instance>,
    /// Whether it still responds slowly after its start.
    #[serde(default)]
    pub is_cold: bool,
}

/// Identity of a backend server; stable across snapshots.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ServerId {
    /// Name of its host.
    pub host: Name,
    /// Service that it implements.
    pub service: Name,
    /// Version of the service.
    pub version: Name,
    /// TCP address on which it accepts requests.
    pub address: SocketAddr,
    /// The run of its process; another run starts without statistics.
    pub instance: Option<Instance>,
}

/// A backend server as an object of a snapshot.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Service that it implements.
    pub service: ServiceKey,
    /// Version of the service.
    pub version: Name,
    /// Host on which it runs.
    pub host: HostKey,
    /// TCP address on which it accepts requests, reachable from its own host.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub max_connections: u16,
    /// Lifecycle state as announced.
    pub state: ServerState,
    /// Load statistics kept by the local host, shared between snapshots.
    pub load: Arc<ServerLoad>,
}
