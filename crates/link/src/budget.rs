//! Rate limit of the bytes that calls send over the link between regions.
//!
//! Control messages are exempt, so call traffic cannot starve them.

use knapweed_world::Time;
use std::sync::atomic::{AtomicU64, Ordering};

/// Largest burst after an idle period, as milliseconds of the configured rate.
const BURST_MS: u64 = 200;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket whose whole state is one atomic timestamp, so that many threads
/// take from it without a lock.
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_second: u64,
    /// Time in microseconds up to which the bytes granted so far use up the rate.
    spent_until: AtomicU64,
}

impl LinkBudget {
    /// A full bucket that refills at `bytes_per_second`; 0 counts as 1.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            spent_until: AtomicU64::new(0),
        }
    }

    /// Takes `bytes` at `now`; `false`, with nothing taken, when they exceed what is left.
    pub fn try_take(&self, bytes: u64, now: Time) -> bool {
        let cost = bytes.saturating_mul(MICROS_PER_SECOND) / self.bytes_per_second;
        let earliest = now.0.saturating_sub(BURST_MS * 1_000);
        let spend = |spent: u64| {
            let next = spent.max(earliest).saturating_add(cost);
            (next <= now.0).then_some(next)
        };
        self.spent_until
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
