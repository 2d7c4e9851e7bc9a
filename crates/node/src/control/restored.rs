//! What this node does when the object store has come back from an older copy.
//!
//! The store may lose what it has acknowledged, which begins a new era. What this node
//! knows stays in force. It forgets that the store has confirmed it, so that the holders of
//! the duties write again what is older there or absent.

use super::Controller;
use knapweed_observe::part;
use knapweed_store::StoreEra;
use knapweed_world::Time;

/// The latest era of the object store that this node knows.
#[derive(Debug, Default)]
pub(super) struct Restores {
    era: StoreEra,
}

impl Restores {
    /// The latest known era.
    pub(super) fn era(&self) -> StoreEra {
        self.era
    }
}

impl Controller {
    /// Handles an era that a response of the store has reported to this process.
    pub(super) fn restore_tick(&mut self, now: Time) {
        self.store_restored(now, self.dependencies.store.era());
    }

    /// Handles an era of the store, of which this process may have learned from another
    /// node. Does nothing unless it is later than the latest known one.
    pub(super) fn store_restored(&mut self, now: Time, era: StoreEra) {
        if era <= self.restores.era {
            return;
        }
        log::warn!(
            target: part::PLATFORM,
            "the store came back from an older copy: era {era} after {}", self.restores.era
        );
        self.restores.era = era;
        self.rollouts_restored(now);
    }
}
