//! Points in time, passed to decision code, which reads no clock.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point on the monotonic clock of one process, in microseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The point `ms` milliseconds after the start of the process.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// The point `wait` after this one.
    pub fn after(self, wait: Duration) -> Self {
        Self(self.0.saturating_add(wait.as_micros() as u64))
    }

    /// The point `wait` before this one; at the earliest the start of the process.
    pub fn before(self, wait: Duration) -> Self {
        Self(self.0.saturating_sub(wait.as_micros() as u64))
    }

    /// The time that has passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// A point on the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// The point `wait` after this one.
    pub fn after(self, wait: Duration) -> Self {
        Self(self.0.saturating_add(wait.as_millis() as u64))
    }

    /// The time that has passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
