//! Hosts.

use crate::{BackendServerKey, Name, ZoneKey};
use std::net::SocketAddr;

/// A host, with one node and its backend servers.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: ZoneKey,
    /// Address of its node for other nodes (UDP).
    pub address: SocketAddr,
    /// Backend servers on the host.
    pub backend_servers: Vec<BackendServerKey>,
}
