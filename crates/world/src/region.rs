//! Regions.

use crate::{Name, ZoneKey};

/// A region: availability zones with short links between them.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name of the region.
    pub name: Name,
    /// Its availability zones.
    pub zones: Vec<ZoneKey>,
}
