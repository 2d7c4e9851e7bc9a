//! Tells the request path whether the routes in force are known to be the newest ones.

use knapweed_world::Time;
use std::sync::atomic::{AtomicU64, Ordering};

/// The time until which the configuration in force counts as the newest.
///
/// The control thread sets it after it has replaced the snapshot. The ingress reads it before
/// it loads the snapshot, for requests without a route.
#[derive(Debug, Default)]
pub struct RouteCurrency {
    /// In the unit of [`Time`].
    until: AtomicU64,
}

impl RouteCurrency {
    /// Sets the time until which the configuration in force counts as the newest. The snapshot
    /// of that configuration is in force already.
    pub fn set_until(&self, until: Time) {
        self.until.store(until.0, Ordering::Release);
    }

    /// Whether a path without a route has none in the newest configuration either.
    pub fn is_current(&self, now: Time) -> bool {
        now < Time(self.until.load(Ordering::Acquire))
    }
}
