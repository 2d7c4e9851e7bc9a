//! Availability zones of the mesh.

use crate::{HostKey, Name, RegionKey};

/// An availability zone and its hosts.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Name of the availability zone.
    pub name: Name,
    /// Region of the availability zone.
    pub region: RegionKey,
    /// Hosts in the availability zone.
    pub hosts: Vec<HostKey>,
}
