//! Injected faults: failures and delays of requests, and silent connections.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Body of `PUT /faults`; a fault whose field is absent is off.
///
/// `fail_percent` and `delay_ms` apply to requests that meet all conditions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Percentage of requests that fail with status 500.
    pub fail_percent: u8,
    /// Additional run time of each request, in milliseconds.
    pub delay_ms: u64,
    /// Condition: the path of the request starts with this prefix.
    pub route_prefix: String,
    /// Condition: at least this many requests ran since the faults were set.
    pub after_requests: u64,
    /// Condition: more than this many requests run, this one included.
    pub above_running: u64,
    /// Makes every connection that is open now permanently silent, except the one on which this
    /// document arrives.
    pub silence_connections: bool,
}

/// Faults that apply to one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppliedFaults {
    /// Additional run time.
    pub delay: Duration,
    /// Whether the request fails with status 500.
    pub fails: bool,
}

/// The faults that are set, with the counter and the random generator that select requests.
pub struct FaultInjector {
    faults: Faults,
    request_count: u64,
    rng: SmallRng,
}

impl FaultInjector {
    /// Creates the state without faults; `seed` determines which requests fail once some are set.
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            request_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the faults and restarts the count for `after_requests`.
    pub fn set(&mut self, faults: Faults) {
        self.faults = faults;
        self.request_count = 0;
    }

    /// Faults that are set now.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Counts a request that starts, and returns the faults that apply to it. `running` is the
    /// number of requests that run, this one included.
    pub fn faults_for(&mut self, path: &str, running: u64) -> AppliedFaults {
        let before = self.request_count;
        self.request_count += 1;
        let f = &self.faults;
        let applies = path.starts_with(&f.route_prefix)
            && before >= f.after_requests
            && running > f.above_running;
        if !applies {
            return AppliedFaults::default();
        }
        AppliedFaults {
            delay: Duration::from_millis(f.delay_ms),
            fails: self.rng.random_range(0..100) < f.fail_percent,
        }
    }
}
