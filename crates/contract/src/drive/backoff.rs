//! Bounded attempts with full jitter.

use crate::accept::Delay;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

/// Doublings after which the longest wait is reached for any sensible options.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of attempts and waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackoffOptions {
    /// Most waits for faults of the platform.
    pub max_faults: u32,
    /// Most waits because another process wrote first.
    pub max_conflicts: u32,
    /// Longest wait after the first fault; it doubles with each further one.
    pub first: Duration,
    /// Longest wait after any fault.
    pub longest: Duration,
    /// Longest wait after another process wrote first.
    pub conflict: Duration,
    /// Seed of the jitter; `None` for a random one.
    pub seed: Option<u64>,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            // The waits add up to at most 2.5 s, so that an operator is answered
            // within 3 s in an outage.
            max_faults: 5,
            max_conflicts: 100,
            first: Duration::from_millis(100),
            longest: Duration::from_secs(1),
            conflict: Duration::from_millis(20),
            seed: None,
        }
    }
}

/// Waits of one operation.
pub(super) struct Backoff<'a> {
    options: &'a BackoffOptions,
    rng: SmallRng,
    faults: u32,
    conflicts: u32,
}

impl<'a> Backoff<'a> {
    pub(super) fn new(options: &'a BackoffOptions) -> Self {
        let random = || RandomState::new().build_hasher().finish();
        let seed = options.seed.unwrap_or_else(random);
        Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            faults: 0,
            conflicts: 0,
        }
    }

    /// Waits; returns false without a wait when no attempt is left.
    pub(super) async fn wait(&mut self, delay: &Delay) -> bool {
        let Some(longest) = self.next(delay) else {
            return false;
        };
        let share: f64 = self.rng.random();
        let wait = longest.mul_f64(share);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    fn next(&mut self, delay: &Delay) -> Option<Duration> {
        let options = self.options;
        match delay {
            Delay::Contention => {
                self.conflicts += 1;
                (self.conflicts <= options.max_conflicts).then_some(options.conflict)
            }
            Delay::Fault(_) => {
                let doublings = self.faults.min(MAX_DOUBLINGS);
                self.faults += 1;
                let longest = options.first.saturating_mul(1 << doublings);
                let longest = longest.min(options.longest);
                (self.faults <= options.max_faults).then_some(longest)
            }
        }
    }
}
