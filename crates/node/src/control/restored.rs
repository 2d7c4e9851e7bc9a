//! What this node does when the object store has come back from an older copy.
//!
//! The store may lose what it has acknowledged, which begins a new era. What this node
//! knows stays in force. It forgets that the store has confirmed it, so that the holders of
//! the duties write again what is older there or absent.

use super::Controller;
use knapweed_observe::part;
use knapweed_store::StoreEra;
use knapweed_world::Time;
use std::time::Duration;

/// Time after which the confirmations are forgotten once more: an answer of the earlier era
/// may have been under way, and outdated listings of the store are seconds old.
const SECOND_CHECK_DELAY: Duration = Duration::from_secs(10);

/// The latest era of the object store that this node knows.
#[derive(Debug, Default)]
pub(super) struct Restores {
    era: StoreEra,
    /// When the confirmations are forgotten once more.
    second_check: Option<Time>,
}

impl Restores {
    /// The latest known era.
    pub(super) fn era(&self) -> StoreEra {
        self.era
    }

    /// Whether what the operator wrote since the copy may still be missing.
    pub(super) fn is_recent(&self) -> bool {
        self.second_check.is_some()
    }
}

impl Controller {
    /// Handles an era that a response of the store has reported to this process.
    pub(super) fn restore_tick(&mut self, now: Time) {
        self.store_restored(now, self.dependencies.store.era());
        if self.restores.second_check.is_some_and(|at| now >= at) {
            self.restores.second_check = None;
            self.forget_confirmations();
            self.read_held_orders();
        }
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
        self.restores.second_check = Some(now.after(SECOND_CHECK_DELAY));
        self.forget_confirmations();
        self.rollouts_restored(now);
    }

    fn forget_confirmations(&mut self) {
        self.registry.check_entries();
        self.verdicts.forget_written();
        self.finished_tickets.clear();
    }
}
