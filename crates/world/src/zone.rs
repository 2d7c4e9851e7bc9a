//! Availability zones.

use crate::{HostKey, Name, RegionKey};

/// An availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Name of the availability zone.
    pub name: Name,
    /// The region it stands in.
    pub region: RegionKey,
    /// Its hosts.
    pub hosts: Vec<HostKey>,
}
