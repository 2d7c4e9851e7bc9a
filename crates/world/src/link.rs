//! Links between availability zones.

use crate::ZoneKey;
use serde::{Deserialize, Serialize};

/// How far away something is, in the order of preference for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Distance {
    /// On the same host.
    Host,
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region, over a link that is billed by volume.
    Remote,
}

/// The link from the local availability zone to another one.
#[derive(Clone, Debug)]
pub struct Link {
    /// The availability zone at the far end.
    pub to: ZoneKey,
    /// How far it is.
    pub distance: Distance,
}
