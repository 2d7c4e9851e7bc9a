//! Request counters of one service, updated by many threads without a lock.

use std::array;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the latency buckets in microseconds; one more bucket is unbounded.
pub const LATENCY_BOUNDS_US: [u32; 10] = [
    1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000,
];
/// Number of latency buckets, including the unbounded one.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS_US.len() + 1;

/// Lowest HTTP status that counts as a server error.
const FIRST_SERVER_ERROR: u16 = 500;

/// Counters of requests to one service that ended at the local ingress.
///
/// Shared between snapshots, so that the counts survive a configuration change.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    server_errors: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    latency_sum_us: AtomicU64,
    latency: [AtomicU64; LATENCY_BUCKETS],
}

/// Values of [`ServiceCounters`] at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounts {
    /// Requests that got a response of a backend server.
    pub answered: u64,
    /// Answered requests with status 500 and above.
    pub server_errors: u64,
    /// Requests that were not run on any backend server.
    pub not_run: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Sum of the latencies of answered requests, in microseconds.
    pub latency_sum_us: u64,
    /// Answered requests by latency; the bounds are [`LATENCY_BOUNDS_US`].
    pub latency: [u64; LATENCY_BUCKETS],
}

/// Updates by the request path.
impl ServiceCounters {
    /// Counts a request that was answered with HTTP status `status` after
    /// `response_time`.
    pub fn answered(&self, status: u16, response_time: Duration) {
        if status >= FIRST_SERVER_ERROR {
            self.server_errors.fetch_add(1, Ordering::Relaxed);
        }
        let latency_us = response_time.as_micros() as u64;
        self.latency_sum_us.fetch_add(latency_us, Ordering::Relaxed);
        self.latency[bucket_index(latency_us)].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was not run on any backend server.
    pub fn not_run(&self) {
        self.not_run.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that may or may not have run.
    pub fn unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reading the counters.
impl ServiceCounters {
    /// The current values. A request that ends during the call may be counted in
    /// some fields only.
    pub fn counts(&self) -> ServiceCounts {
        let latency = array::from_fn(|i| self.latency[i].load(Ordering::Relaxed));
        ServiceCounts {
            // Derived from the buckets, which saves the request path one atomic operation.
            answered: latency.iter().sum(),
            server_errors: self.server_errors.load(Ordering::Relaxed),
            not_run: self.not_run.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
            latency_sum_us: self.latency_sum_us.load(Ordering::Relaxed),
            latency,
        }
    }
}

/// Arithmetic on counts.
impl ServiceCounts {
    /// Number of requests with any outcome.
    pub fn requests(&self) -> u64 {
        self.answered + self.not_run + self.unknown
    }

    /// The sum of two services' counts.
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// The increase since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        self.zip(earlier, u64::saturating_sub)
    }

    /// Combines the fields of both with `op`.
    fn zip(&self, other: &Self, op: fn(u64, u64) -> u64) -> Self {
        Self {
            answered: op(self.answered, other.answered),
            server_errors: op(self.server_errors, other.server_errors),
            not_run: op(self.not_run, other.not_run),
            unknown: op(self.unknown, other.unknown),
            latency_sum_us: op(self.latency_sum_us, other.latency_sum_us),
            latency: array::from_fn(|i| op(self.latency[i], other.latency[i])),
        }
    }
}

fn bucket_index(latency_us: u64) -> usize {
    LATENCY_BOUNDS_US.partition_point(|bound| latency_us > u64::from(*bound))
}
