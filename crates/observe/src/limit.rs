//! Rate limiter for repeated log messages.

use std::fmt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Marks a limiter that has passed nothing yet.
const NEVER: u64 = u64::MAX;

/// Passes one message per interval and counts the ones in between.
///
/// ```
/// use knapweed_observe::RateLimit;
/// static LIMIT: RateLimit = RateLimit::every_ms(1_000);
/// if let Some(suppressed) = LIMIT.permit() {
///     log::warn!(target: "ingress", "no backend server is ready{suppressed}");
/// }
/// ```
#[derive(Debug)]
pub struct RateLimit {
    interval_ms: u64,
    last_ms: AtomicU64,
    suppressed: AtomicU64,
}

/// How many messages were suppressed before the one that may be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suppressed(pub u64);

impl RateLimit {
    /// A limiter for one message per `interval_ms` milliseconds.
    pub const fn every_ms(interval_ms: u64) -> Self {
        Self {
            interval_ms,
            last_ms: AtomicU64::new(NEVER),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Whether a message may be written now.
    pub fn permit(&self) -> Option<Suppressed> {
        static START: OnceLock<Instant> = OnceLock::new();
        self.permit_at(START.get_or_init(Instant::now).elapsed())
    }

    /// Whether a message may be written at the time `now` of a monotonic clock.
    pub fn permit_at(&self, now: Duration) -> Option<Suppressed> {
        let now = now.as_millis() as u64;
        let last = self.last_ms.load(Ordering::Relaxed);
        let due = last == NEVER || now.saturating_sub(last) >= self.interval_ms;
        if due && self.take_turn(last, now) {
            return Some(Suppressed(self.suppressed.swap(0, Ordering::Relaxed)));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }

    /// Only one of several threads that are due at once succeeds.
    fn take_turn(&self, last: u64, now: u64) -> bool {
        let relaxed = Ordering::Relaxed;
        self.last_ms
            .compare_exchange(last, now, relaxed, relaxed)
            .is_ok()
    }
}

impl fmt::Display for Suppressed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            1 => f.write_str(" (1 similar message suppressed)"),
            n => write!(f, " ({n} similar messages suppressed)"),
        }
    }
}
