//! Rate limiter for log messages.

use std::fmt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// State of a limiter that has not permitted any message yet.
const NEVER: u64 = u64::MAX;
/// Number of low bits of the state that count the messages permitted in the
/// interval; the high bits hold the start of the interval.
const COUNT_BITS: u32 = 16;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Permits a number of messages per interval and counts the suppressed ones.
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
    messages: u16,
    interval_ms: u64,
    /// Start of the interval in milliseconds and number of messages permitted in it,
    /// or [`NEVER`].
    state: AtomicU64,
    suppressed: AtomicU64,
}

/// Number of messages that were suppressed since the last permitted one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suppressed(pub u64);

impl RateLimit {
    /// Creates a limiter for one message per `interval_ms` milliseconds.
    pub const fn every_ms(interval_ms: u64) -> Self {
        Self::new(1, interval_ms)
    }

    /// Creates a limiter for `messages` messages per second.
    pub const fn per_second(messages: u16) -> Self {
        Self::new(messages, 1_000)
    }

    const fn new(messages: u16, interval_ms: u64) -> Self {
        Self {
            messages,
            interval_ms,
            state: AtomicU64::new(NEVER),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Asks to write a message now; returns `None` when it is to be suppressed.
    pub fn permit(&self) -> Option<Suppressed> {
        static START: OnceLock<Instant> = OnceLock::new();
        self.permit_at(START.get_or_init(Instant::now).elapsed())
    }

    /// Like [`RateLimit::permit`], at the time `now` of a monotonic clock.
    pub fn permit_at(&self, now: Duration) -> Option<Suppressed> {
        let now = now.as_millis() as u64;
        let relaxed = Ordering::Relaxed;
        let take = |state| self.next(state, now);
        match self.state.fetch_update(relaxed, relaxed, take) {
            Ok(_) => Some(Suppressed(self.suppressed.swap(0, relaxed))),
            Err(_) => {
                self.suppressed.fetch_add(1, relaxed);
                None
            }
        }
    }

    /// The state after one more message; `None` when the message is to be suppressed.
    fn next(&self, state: u64, now: u64) -> Option<u64> {
        let (start, count) = (state >> COUNT_BITS, state & COUNT_MASK);
        if state == NEVER || now.saturating_sub(start) >= self.interval_ms {
            return Some(now << COUNT_BITS | 1);
        }
        (count < u64::from(self.messages)).then_some(state + 1)
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
