//! Evacuations of availability zones that an operator orders, from a source outside the mesh.

use futures_util::future::BoxFuture;
use knapweed_store::{Error, Revision};
use knapweed_world::Name;
use std::collections::BTreeSet;
use std::time::Duration;

/// All evacuations at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuatedZones {
    /// The evacuated zones.
    pub zones: BTreeSet<Name>,
    /// Revision from which a watch continues.
    pub revision: Revision,
}

/// Evacuations that were ordered or withdrawn after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChanges {
    /// Each changed zone in the order of the changes, with whether it is evacuated now.
    pub changes: Vec<(Name, bool)>,
    /// Whether changes that cannot be read were left out; a load may have them.
    pub is_partial: bool,
    /// Revision from which a watch continues.
    pub revision: Revision,
}

impl EvacuatedZones {
    /// Applies the changes of a watch.
    pub fn apply(&mut self, changes: &EvacuationChanges) {
        for (zone, is_evacuated) in &changes.changes {
            match is_evacuated {
                true => self.zones.insert(zone.clone()),
                false => self.zones.remove(zone),
            };
        }
        self.revision = changes.revision;
    }
}

/// A source of evacuations.
pub trait EvacuationSource: Send + Sync {
    /// Loads all evacuations.
    fn load(&self) -> BoxFuture<'_, Result<EvacuatedZones, Error>>;

    /// Waits at most `wait` for evacuations that were ordered or withdrawn after a revision.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<EvacuationChanges, Error>>;
}
