//! Estimates how long the caller of a request has waited already.
//!
//! Load pattern: callers whose request was refused retry while new callers
//! arrive. A request states how much time its caller has left, not when the
//! caller sent it first. A request with much less time left than is usual for
//! its route counts as a caller's retry, so that the time to its objective is
//! not overestimated.

use knapweed_world::Flow;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Entries of the table; routes that share an entry replace each other's estimate.
const ENTRIES: usize = 64;
/// First requests have at least this percentage of the usual time left: the
/// deadlines of callers of one route differ by up to 15%.
const MIN_FIRST_PERCENT: u32 = 80;
/// A longer time than usual enters the average with a weight of 1 in this many.
const RISE_WEIGHT: u64 = 8;
/// A shorter time than usual enters the average with a weight of 1 in this many.
const FALL_WEIGHT: u64 = 256;

/// The usual time left of a new request, for each route.
///
/// Threads share it without a lock. An update lost in a race only delays the
/// average by one request.
#[derive(Debug)]
pub struct WaitEstimator {
    /// Upper 32 bits: tag of the flow; lower 32 bits: milliseconds.
    usual: [AtomicU64; ENTRIES],
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            usual: [const { AtomicU64::new(0) }; ENTRIES],
        }
    }
}

impl WaitEstimator {
    /// Records a request of `flow` whose caller has the time `left`, and returns a
    /// lower bound of the time that the caller has waited already.
    pub fn waited(&self, flow: Flow, left: Duration) -> Duration {
        let entry = &self.usual[flow.0 as usize % ENTRIES];
        let tag = flow.0 >> 32;
        let left_ms = left.as_millis().min(u128::from(u32::MAX)) as u64;
        let known = entry.load(Relaxed);
        let usual = match known >> 32 == tag && known != 0 {
            true => updated(known & u64::from(u32::MAX), left_ms),
            false => left_ms,
        };
        entry.store(tag << 32 | usual, Relaxed);
        let first = Duration::from_millis(usual) * MIN_FIRST_PERCENT / 100;
        first.saturating_sub(left)
    }
}

fn updated(usual: u64, left: u64) -> u64 {
    match left > usual {
        // The cap keeps one caller with an extreme deadline from making all
        // others look like retries.
        true => usual + (left - usual).min(usual).div_ceil(RISE_WEIGHT),
        false => usual - (usual - left) / FALL_WEIGHT,
    }
}
