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
pub struct Restores {
    /// The latest one that this node knows; `None` before the first.
    era: Option<StoreEra>,
    /// When the confirmations are forgotten once more.
    second_check: Option<Time>,
}

/// A later era that this node has learnt of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Begun {
    /// The era known before; `None` after a start.
    pub before: Option<StoreEra>,
    /// The later era.
    pub era: StoreEra,
}

impl Restores {
    /// The latest known era.
    pub fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Whether what the operator wrote since the copy may still be missing.
    pub fn is_recent(&self) -> bool {
        self.second_check.is_some()
    }

    /// Handles an era that was reported. Returns it if the store may have lost changes since
    /// the one that was known before, or before this process started.
    pub fn reported(&mut self, now: Time, era: StoreEra) -> Option<Begun> {
        if Some(era) <= self.era {
            return None;
        }
        let before = self.era.replace(era);
        if before.is_none() && era == StoreEra(0) {
            return None;
        }
        self.second_check = Some(now.after(SECOND_CHECK_DELAY));
        Some(Begun { before, era })
    }

    /// Whether the second check is due, once for each era.
    pub fn take_second_check(&mut self, now: Time) -> bool {
        self.second_check.take_if(|at| now >= *at).is_some()
    }
}

impl Controller {
    /// Handles an era that a response of the store or another node has reported.
    pub(super) fn restore_tick(&mut self, now: Time) {
        let reported = self.dependencies.store.era();
        let era = reported.max(self.membership.freshness().era());
        if let Some(begun) = era.and_then(|era| self.restores.reported(now, era)) {
            self.era_begun(now, begun);
        }
        if self.restores.take_second_check(now) {
            self.forget_confirmations();
            self.read_held_orders();
        }
    }

    fn era_begun(&mut self, now: Time, Begun { before, era }: Begun) {
        match before {
            Some(before) => log::warn!(
                target: part::PLATFORM,
                "the store came back from an older copy: era {era} after {before}"
            ),
            None => log::info!(target: part::PLATFORM, "the store is in era {era}"),
        }
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
