//! Backoff of handshakes with a peer that cannot be reached.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Upper limit of the wait after the first failed handshake; it doubles with each further one,
/// up to [`MAX_DIAL_DELAY`].
pub const DIAL_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of the wait after any failed handshake. A peer that is back is reached after
/// this time at the latest.
pub const MAX_DIAL_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`DIAL_DELAY`], which keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;

/// Failed handshakes with one peer since the last connection was opened.
///
/// Queries take one atomic load. Only the holder of the peer's dial lock records failures.
#[derive(Debug)]
pub struct DialBackoff {
    epoch: Instant,
    failures: AtomicU32,
    /// Time since `epoch`, in microseconds, until which no handshake is started.
    held_until_us: AtomicU64,
}

impl DialBackoff {
    /// Creates a backoff without failures at the time `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            failures: AtomicU32::new(0),
            held_until_us: AtomicU64::new(0),
        }
    }

    /// Number of handshakes that have failed since the last connection was opened.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Acquire)
    }

    /// Whether no handshake is started at the time `now`.
    pub fn is_held_back(&self, now: Instant) -> bool {
        self.us(now) < self.held_until_us.load(Ordering::Acquire)
    }

    /// Records a handshake that failed at the time `now`. `random` is a number from 0 to 1,
    /// the share of the longest wait that is waited (full jitter).
    pub fn failed(&self, now: Instant, random: f64) {
        let doublings = self.failures().min(MAX_DOUBLINGS);
        let longest = (DIAL_DELAY * (1 << doublings)).min(MAX_DIAL_DELAY);
        let held_until = self.us(now + longest.mul_f64(random));
        self.held_until_us.store(held_until, Ordering::Release);
        self.failures.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a connection with the peer was opened, by either end.
    pub fn opened(&self) {
        self.failures.store(0, Ordering::Release);
        self.held_until_us.store(0, Ordering::Release);
    }

    fn us(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.epoch).as_micros() as u64
    }
}
