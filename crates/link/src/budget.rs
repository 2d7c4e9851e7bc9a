//! The budget of bytes that calls may send over the region link.
//!
//! Control messages do not ask this budget, so calls never starve them.

use knapweed_world::Time;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that calls may use at once after a quiet time, in milliseconds of rate.
const BURST_MS: u64 = 200;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket in one atomic: the time at which the bucket was empty.
///
/// Many threads draw from it without a lock.
#[derive(Debug)]
pub struct Budget {
    bytes_per_second: u64,
    /// Time in microseconds up to which the rate has been spent.
    spent_until: AtomicU64,
}

impl Budget {
    /// A budget of `bytes_per_second`, at least 1.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            spent_until: AtomicU64::new(0),
        }
    }

    /// Takes `bytes` at `now`; `false` when they are over the budget.
    pub fn take(&self, bytes: u64, now: Time) -> bool {
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
