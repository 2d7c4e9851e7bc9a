//! Evacuated availability zones: a small replicated list, ordered by the revision of the store
//! at which it was read.
//!
//! A list of a later revision replaces an earlier one as a whole. After a loss of the store, a
//! zone that the older copy does not name stays evacuated for a while, until the operator has
//! had the time to write the entry again.

use knapweed_world::{Name, Revision, StoreEra, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a zone stays evacuated after a loss of the store, without an entry there.
pub const LOST_ENTRY_PERIOD: Duration = Duration::from_secs(10);

/// The zones that are evacuated at one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationList {
    /// Era of the store in which the list was read.
    pub era: StoreEra,
    /// Revision of the store at which the list was read.
    pub number: u64,
    /// The evacuated zones.
    pub zones: BTreeSet<Name>,
}

impl EvacuationList {
    /// The list that the store holds at `revision`.
    pub fn new(revision: Revision, zones: BTreeSet<Name>) -> Self {
        Self {
            era: revision.era,
            number: revision.number,
            zones,
        }
    }

    /// Revision of the store at which the list was read.
    pub fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.number,
        }
    }
}

/// What follows from a list that was read or received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learned {
    /// It names other zones than the known list, and replaces it.
    Changed,
    /// It names the zones that are known.
    Unchanged,
    /// A list of a later revision is known, with other zones.
    Outdated,
}

/// The evacuated zones that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    list: EvacuationList,
    /// Zones that a later era of the store does not name, and until when they stay evacuated.
    lost: BTreeMap<Name, Time>,
}

impl Evacuations {
    /// Learns of a list, from the store or another node.
    pub fn learn(&mut self, now: Time, list: &EvacuationList) -> Learned {
        let is_same = list.zones == self.list.zones;
        if list.revision() <= self.list.revision() {
            // Readers may have left out different entries at one revision. Neither list is
            // later, so a reply would be answered without end.
            let is_equal = list.revision() == self.list.revision();
            return match is_same || is_equal {
                true => Learned::Unchanged,
                false => Learned::Outdated,
            };
        }
        let before = std::mem::replace(&mut self.list, list.clone());
        if is_same {
            return Learned::Unchanged;
        }
        if before.era < list.era {
            let until = now.after(LOST_ENTRY_PERIOD);
            let lost = before.zones.into_iter().map(|zone| (zone, until));
            self.lost.extend(lost);
        }
        self.lost.retain(|zone, _| !self.list.zones.contains(zone));
        Learned::Changed
    }

    /// Ends the time of zones whose entries the store has lost; returns whether any ended.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.lost.len();
        self.lost.retain(|_, until| now < *until);
        self.lost.len() < before
    }

    /// The latest known list.
    pub fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// The zones that get no requests.
    pub fn in_force(&self) -> BTreeSet<Name> {
        let lost = self.lost.keys();
        self.list.zones.iter().chain(lost).cloned().collect()
    }
}
