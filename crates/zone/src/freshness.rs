//! Whether the configuration on this node is known to be the newest one.
//!
//! A node that reads the store learns which version is the newest; its messages pass that on
//! with its age. A node that has not learned it for a while, or that knows of a newer version
//! than its own, cannot tell a route that does not exist from one that it
//! has not received yet.

use knapweed_world::{ConfigVersion, StoreEra, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Default of the time for which a configuration counts as the newest after the store has
/// confirmed it: that within which a new configuration must be in force (bound B1). A
/// configuration that was accepted meanwhile may still be unknown on any node.
pub const CONFIRMED_FOR: Duration = Duration::from_secs(3);

/// Time after the start of an era within which the operators write again what the store has
/// lost. The lost version may be one that no node has received.
pub const REWRITTEN_WITHIN: Duration = Duration::from_secs(10);

/// Statement that a version was the newest one in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Era of the store in which it was.
    pub era: StoreEra,
    /// Time since then, in milliseconds.
    pub age_ms: u16,
}

/// What a node knows about the newest configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Time for which a confirmation holds.
    valid_for: Duration,
    /// The latest era that this node knows of; `None` before the first.
    era: Option<StoreEra>,
    /// The newest version that this node knows of.
    newest: ConfigVersion,
    /// The version in force on this node.
    applied: ConfigVersion,
    /// Time before which answers of the store confirm nothing in this era.
    confirms_from: Time,
    /// When the confirmation of `newest` expires; `None` when there was none since the era began
    /// or since a newer version was heard of. Not the time of the confirmation, which may be
    /// before the start of this process.
    expires_at: Option<Time>,
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new(CONFIRMED_FOR)
    }
}

/// Construction.
impl Freshness {
    /// A node that knows no configuration. Confirmations hold for `valid_for`.
    pub fn new(valid_for: Duration) -> Self {
        Self {
            valid_for,
            era: None,
            newest: ConfigVersion::default(),
            applied: ConfigVersion::default(),
            confirms_from: Time::default(),
            expires_at: None,
        }
    }
}

/// Events.
impl Freshness {
    /// Handles an answer of the store that has arrived at `now`, and whose newest version was
    /// `newest` at the time `at`.
    ///
    /// A store with an older version than the mesh has lost changes, and confirms nothing. One
    /// with the same version may have lost a later one that no node has received, and the
    /// operators may write lost versions again one by one. It confirms nothing for
    /// [`REWRITTEN_WITHIN`].
    pub fn store_answered(&mut self, now: Time, at: Time, era: StoreEra, newest: ConfigVersion) {
        self.begin_era(now, era);
        if Some(era) != self.era {
            return;
        }
        if newest < self.newest {
            return;
        }
        match at >= self.confirms_from {
            true => self.confirm(newest, at.after(self.valid_for)),
            false => self.newest = newest,
        }
    }

    /// Handles the report of another node that it has applied `version`, with its
    /// confirmation if it has one. `sent_at` is the earliest time at which the report can
    /// have been sent; a confirmation of unknown age does not count.
    pub fn reported(
        &mut self,
        now: Time,
        sent_at: Option<Time>,
        version: ConfigVersion,
        confirmation: Option<Confirmation>,
    ) {
        if let Some(confirmation) = confirmation {
            self.begin_era(now, confirmation.era);
        }
        let confirmation = confirmation.filter(|c| Some(c.era) == self.era);
        match confirmation.zip(sent_at) {
            Some((confirmation, sent_at)) if version >= self.newest => {
                let age = Duration::from_millis(confirmation.age_ms.into());
                self.confirm(version, sent_at.after(self.valid_for).before(age));
            }
            _ if version > self.newest => {
                self.newest = version;
                self.expires_at = None;
            }
            _ => {}
        }
    }

    /// Handles a version that is now in force on this node.
    pub fn applied(&mut self, version: ConfigVersion) {
        self.applied = self.applied.max(version);
        if self.applied > self.newest {
            self.newest = self.applied;
            self.expires_at = None;
        }
    }

    /// Forgets the confirmation when a later era begins: the store may have lost the
    /// changes that the confirmation spoke of, and get others. A process that starts in a
    /// later era than the first does not know when it began.
    fn begin_era(&mut self, now: Time, era: StoreEra) {
        if Some(era) <= self.era {
            return;
        }
        self.era = Some(era);
        self.expires_at = None;
        if era > StoreEra::default() {
            self.confirms_from = now.after(REWRITTEN_WITHIN);
        }
    }

    fn confirm(&mut self, version: ConfigVersion, expires_at: Time) {
        let known = self.expires_at.filter(|_| version == self.newest);
        self.newest = version;
        self.expires_at = known.max(Some(expires_at));
    }
}

/// State.
impl Freshness {
    /// The latest era of the store that this node knows of; `None` before the first.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// The newest version that this node knows of.
    pub fn newest(&self) -> ConfigVersion {
        self.newest
    }

    /// The time until which the version in force on this node counts as the newest; the
    /// start of the process when it does not.
    pub fn current_until(&self) -> Time {
        let expires_at = self.expires_at.filter(|_| self.applied >= self.newest);
        expires_at.unwrap_or_default()
    }

    /// Whether the version in force counts as the newest, but only for the last fifth of the
    /// time for which a confirmation holds.
    pub fn expires_soon(&self, now: Time) -> bool {
        let left = self.current_until().since(now);
        !left.is_zero() && left <= self.valid_for / 5
    }

    /// What this node tells others about the version that it has applied.
    pub fn confirmation(&self, now: Time) -> Option<Confirmation> {
        let left = self.current_until().since(now);
        let era = self.era.filter(|_| !left.is_zero())?;
        let age = self.valid_for.saturating_sub(left);
        // Rounded up, so that passing it on never makes a confirmation younger.
        let age_ms = u16::try_from(age.as_micros().div_ceil(1_000)).ok()?;
        Some(Confirmation { era, age_ms })
    }
}
