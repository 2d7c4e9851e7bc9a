//! Duties: work that a few members do on behalf of all others.
//!
//! Every node computes the holders of a duty from its own directory, so assignment
//! needs no call to the store. While the directories of two nodes differ, both may
//! consider themselves holders; conditional writes make that harmless.

pub mod candidates;

pub use candidates::{candidates, holders};

use crate::record::MemberRecord;
use knapweed_world::Name;
use std::fmt;

/// Work that is assigned to a few members.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Duty {
    /// Exchanges versions and records with the other availability zones of the region.
    Relay {
        /// Availability zone that the relay belongs to.
        zone: Name,
    },
    /// Watches the configuration in the store, and exchanges versions and records
    /// with the other regions.
    Gateway {
        /// Region that the gateway belongs to.
        region: Name,
    },
    /// Advances rollouts.
    Rollout,
    /// Maintains the objects of tickets and hosts in the store.
    Tickets,
    /// Holds the pool of tokens of organisations with quotas.
    Quotas,
}

impl Duty {
    /// Whether the member is located where the duty may be held.
    pub fn is_eligible(&self, record: &MemberRecord) -> bool {
        match self {
            Self::Relay { zone } => record.zone == *zone,
            Self::Gateway { region } => record.region == *region,
            Self::Rollout | Self::Tickets | Self::Quotas => true,
        }
    }

    /// Number of members that hold the duty at the same time.
    pub fn holder_count(&self) -> usize {
        match self {
            Self::Relay { .. } | Self::Gateway { .. } => 2,
            Self::Rollout | Self::Tickets | Self::Quotas => 1,
        }
    }
}

/// The stable name of the duty, which is hashed with host names to rank its candidates.
impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Relay { zone } => write!(f, "relay/{zone}"),
            Self::Gateway { region } => write!(f, "gateway/{region}"),
            Self::Rollout => f.write_str("rollout"),
            Self::Tickets => f.write_str("tickets"),
            Self::Quotas => f.write_str("quotas"),
        }
    }
}
