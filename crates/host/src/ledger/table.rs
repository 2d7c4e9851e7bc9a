//! The table that says which hosts decide on a key.

use crate::RequestId;
use knapweed_world::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of slots, which is the same in each region.
pub const SLOTS: usize = 256;

/// A slot: the keys that one owner and one deputy decide on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot(pub u8);

impl Slot {
    /// The slot of a key.
    pub fn of(key: RequestId) -> Self {
        Self(key.0[0])
    }
}

/// Version of a row of the table; each change of owner or deputy adds 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Epoch of the first assignment, before which no key was granted.
    pub const FIRST: Self = Self(1);

    /// The epoch that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A node during one incarnation: after a restart it has lost all keys.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the host.
    pub host: Name,
    /// Incarnation of its node.
    pub incarnation: u64,
}

/// Who decides on the keys of a slot.
///
/// Owner and deputy stand in two availability zones of the region `home`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Version of the row.
    pub epoch: Epoch,
    /// The epoch that made `owner` the owner.
    pub owner_since: Epoch,
    /// The region that decides.
    pub home: Name,
    /// Grants permits.
    pub owner: Member,
    /// Holds a copy of each grant.
    pub deputy: Member,
}

/// Changes, each to be stored by a conditional update.
impl Row {
    /// The first assignment of a slot.
    pub fn first(home: Name, owner: Member, deputy: Member) -> Self {
        Self {
            epoch: Epoch::FIRST,
            owner_since: Epoch::FIRST,
            home,
            owner,
            deputy,
        }
    }

    /// Replaces a lost deputy.
    pub fn with_deputy(&self, deputy: Member) -> Self {
        Self {
            epoch: self.epoch.next(),
            deputy,
            ..self.clone()
        }
    }

    /// Makes the deputy the owner after the owner was lost.
    pub fn promote(&self, deputy: Member) -> Self {
        Self {
            epoch: self.epoch.next(),
            owner_since: self.epoch.next(),
            home: self.home.clone(),
            owner: self.deputy.clone(),
            deputy,
        }
    }

    /// Starts without history after both were lost.
    ///
    /// Both must be known to have stopped: two nodes that are only cut off from
    /// the platform could go on to grant permits to hosts that still reach them.
    pub fn restart(&self, home: Name, owner: Member, deputy: Member) -> Self {
        Self {
            epoch: self.epoch.next(),
            owner_since: self.epoch.next(),
            home,
            owner,
            deputy,
        }
    }
}

/// The whole table, one object on the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotTable {
    /// The rows by slot: [`SLOTS`] of them, or none before the first assignment.
    pub rows: Vec<Row>,
}

impl SlotTable {
    /// The row of `slot`, if it was assigned.
    pub fn row(&self, slot: Slot) -> Option<&Row> {
        self.rows.get(usize::from(slot.0))
    }

    /// All rows with their slots.
    pub fn slots(&self) -> impl Iterator<Item = (Slot, &Row)> {
        (0..=u8::MAX).map(Slot).zip(&self.rows)
    }
}
