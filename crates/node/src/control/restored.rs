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

/// The era of the object store.
#[derive(Debug, Default)]
pub(super) struct Restores {
    /// The latest one that this node knows; `None` before the first.
    era: Option<StoreEra>,
    /// When the confirmations are forgotten once more.
    second_check: Option<Time>,
}

impl Restores {
    /// The latest known era.
    pub(super) fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Whether what the operator wrote since the copy may still be missing.
    pub(super) fn is_recent(&self) -> bool {
        self.second_check.is_some()
    }
}

impl Controller {
    /// Handles an era that a response of the store or another node has reported.
    pub(super) fn restore_tick(&mut self, now: Time) {
        let reported = self.dependencies.store.era();
        let era = reported.max(self.membership.freshness().era());
        if let Some(era) = era.filter(|era| Some(*era) > self.restores.era) {
            self.era_begun(now, era);
        }
        if self.restores.second_check.is_some_and(|at| now >= at) {
            self.restores.second_check = None;
            self.forget_confirmations();
            self.read_held_orders();
        }
    }

    fn era_begun(&mut self, now: Time, era: StoreEra) {
        match self.restores.era.replace(era) {
            Some(before) => log::warn!(
                target: part::PLATFORM,
                "the store came back from an older copy: era {era} after {before}"
            ),
            // The store may have lost changes before this process started.
            None if era > StoreEra(0) => {
                log::info!(target: part::PLATFORM, "the store is in era {era}");
            }
            None => return,
        }
        self.restores.second_check = Some(now.after(SECOND_CHECK_DELAY));
        self.forget_confirmations();
        self.rollouts_restored(now);
        self.publish_view();
    }

    fn forget_confirmations(&mut self) {
        self.registry.check_entries();
        self.verdicts.forget_written();
        self.finished_tickets.clear();
    }
}
