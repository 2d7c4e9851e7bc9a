//! Hosts of the mesh.

use crate::{BackendServerKey, Name, ZoneKey};
use std::net::SocketAddr;

/// A host, which runs one node and some backend servers.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: ZoneKey,
    /// UDP address on which its node receives traffic from other nodes.
    pub address: SocketAddr,
    /// Backend servers on the host.
    pub backend_servers: Vec<BackendServerKey>,
}
