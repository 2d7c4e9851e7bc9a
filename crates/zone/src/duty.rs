//! Duties: roles of nodes that a lease on the platform guards.

pub mod candidates;
pub mod lease;

pub use candidates::candidates;
pub use lease::Lease;

use crate::record::MemberRecord;
use knapweed_world::Name;
use std::fmt;

/// Number of leases for relays of an availability zone and gateways of a region.
pub const SLOTS: u8 = 2;

/// A role that one node holds at a time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Duty {
    /// Connects an availability zone with the others of its region.
    Relay {
        /// The availability zone.
        zone: Name,
        /// One of [`SLOTS`] leases.
        slot: u8,
    },
    /// Watches the platform's head, and connects a region with the others.
    Gateway {
        /// The region.
        region: Name,
        /// One of [`SLOTS`] leases.
        slot: u8,
    },
    /// Controls rollouts.
    Rollout,
    /// Maintains the objects of tickets.
    Tickets,
}

impl Duty {
    /// The relay duties of an availability zone.
    pub fn relays(zone: &Name) -> impl Iterator<Item = Self> {
        (0..SLOTS).map(|slot| Self::Relay {
            zone: zone.clone(),
            slot,
        })
    }

    /// The gateway duties of a region.
    pub fn gateways(region: &Name) -> impl Iterator<Item = Self> {
        (0..SLOTS).map(|slot| Self::Gateway {
            region: region.clone(),
            slot,
        })
    }

    /// Whether the member may hold the duty at all.
    pub fn admits(&self, record: &MemberRecord) -> bool {
        match self {
            Self::Relay { zone, .. } => record.zone == *zone,
            Self::Gateway { region, .. } => record.region == *region,
            Self::Rollout | Self::Tickets => true,
        }
    }
}

/// The name of the duty, which is the path of its lease object below `lease/`.
impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Relay { zone, slot } => write!(f, "relay/{zone}/{slot}"),
            Self::Gateway { region, slot } => write!(f, "gateway/{region}/{slot}"),
            Self::Rollout => f.write_str("rollout"),
            Self::Tickets => f.write_str("tickets"),
        }
    }
}
