//! Exponential backoff with full jitter and a limited number of retries.

use crate::accept::RetryCause;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

/// Maximum exponent of the backoff, which keeps the shift from overflowing; any
/// sensible options reach [`BackoffOptions::longest`] with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Limits of retries and waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackoffOptions {
    /// Maximum number of retries after faults of the object store.
    pub max_faults: u32,
    /// Maximum number of retries after calls that the object store throttled.
    pub max_throttled: u32,
    /// Maximum number of retries after conflicts with other writers.
    pub max_conflicts: u32,
    /// Upper bound of the wait after the first fault; doubles with each further one.
    pub first: Duration,
    /// Upper bound of the wait after any fault.
    pub longest: Duration,
    /// Upper bound of the wait after a throttled call.
    pub throttled: Duration,
    /// Upper bound of the sum of the waits after faults and throttled calls.
    pub total: Duration,
    /// Upper bound of the wait after a conflict.
    pub conflict: Duration,
    /// Seed of the jitter; `None` for a random seed.
    pub seed: Option<u64>,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            max_faults: 5,
            max_throttled: 100,
            max_conflicts: 100,
            first: Duration::from_millis(100),
            longest: Duration::from_secs(1),
            throttled: Duration::from_millis(100),
            // Operators get a response within 3 s during an outage.
            total: Duration::from_millis(2_500),
            conflict: Duration::from_millis(20),
            seed: None,
        }
    }
}

/// Retry state of one operation.
pub(super) struct Backoff<'a> {
    options: &'a BackoffOptions,
    rng: SmallRng,
    faults: u32,
    throttled: u32,
    conflicts: u32,
    /// Sum of the waits after faults and throttled calls.
    waited: Duration,
}

impl<'a> Backoff<'a> {
    pub(super) fn new(options: &'a BackoffOptions) -> Self {
        let random = || RandomState::new().build_hasher().finish();
        let seed = options.seed.unwrap_or_else(random);
        Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            faults: 0,
            throttled: 0,
            conflicts: 0,
            waited: Duration::ZERO,
        }
    }

    /// Waits before the next retry; returns false at once if no retry is left.
    pub(super) async fn wait(&mut self, cause: &RetryCause) -> bool {
        let Some(longest) = self.next(cause) else {
            return false;
        };
        let share: f64 = self.rng.random();
        let wait = longest.mul_f64(share);
        if *cause != RetryCause::Contention {
            self.waited += wait;
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    fn next(&mut self, cause: &RetryCause) -> Option<Duration> {
        let options = self.options;
        match cause {
            RetryCause::Contention => {
                self.conflicts += 1;
                (self.conflicts <= options.max_conflicts).then_some(options.conflict)
            }
            // A throttled call shows that the store is up and admits calls again soon, so the
            // waits do not grow.
            RetryCause::Throttled => {
                self.throttled += 1;
                let is_left = self.throttled <= options.max_throttled;
                self.wait_left()
                    .filter(|_| is_left)
                    .map(|left| options.throttled.min(left))
            }
            RetryCause::Fault(_) => {
                let doublings = self.faults.min(MAX_DOUBLINGS);
                self.faults += 1;
                let longest = options.first.saturating_mul(1 << doublings);
                let longest = longest.min(options.longest);
                let is_left = self.faults <= options.max_faults;
                self.wait_left()
                    .filter(|_| is_left)
                    .map(|left| longest.min(left))
            }
        }
    }

    /// What is left of the sum of the waits; `None` when nothing is.
    fn wait_left(&self) -> Option<Duration> {
        let left = self.options.total.checked_sub(self.waited)?;
        (!left.is_zero()).then_some(left)
    }
}
