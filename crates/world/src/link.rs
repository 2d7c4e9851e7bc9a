//! Links between availability zones.

use crate::ZoneKey;
use serde::{Deserialize, Serialize};

/// Network distance from the local host, nearest first; nearer backend servers are preferred.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Distance {
    /// On the same host.
    Host,
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region, over a link that is billed by traffic volume.
    Remote,
}

/// The link from the local availability zone to another one.
#[derive(Clone, Debug)]
pub struct Link {
    /// Availability zone at the remote end.
    pub to: ZoneKey,
    /// Distance to that availability zone.
    pub distance: Distance,
}
