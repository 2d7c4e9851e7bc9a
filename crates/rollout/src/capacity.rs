//! Capacity of the backend servers that are ready, in slots (concurrent requests).

use knapweed_world::Name;
use serde::{Deserialize, Serialize};

/// Ready slots of one version in one availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneCapacity {
    /// Availability zone of the servers.
    pub zone: Name,
    /// Version that the servers run.
    pub version: Name,
    /// Sum of the slots of the ready backend servers.
    pub slots: u32,
}

/// Ready slots of `versions` in all availability zones, or only in `zone`.
pub fn slots(capacity: &[ZoneCapacity], versions: &[Name], zone: Option<&Name>) -> u64 {
    let ready = capacity.iter().filter(|c| versions.contains(&c.version));
    let ready = ready.filter(|c| zone.is_none_or(|z| c.zone == *z));
    ready.map(|c| u64::from(c.slots)).sum()
}
