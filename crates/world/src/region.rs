//! Regions of the mesh.

use crate::{Name, ZoneKey};

/// A region: availability zones connected by low-latency links.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name of the region.
    pub name: Name,
    /// Availability zones of the region.
    pub zones: Vec<ZoneKey>,
}
