//! Fault switches.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Document of `PUT /faults`; fields that are absent switch their fault off.
///
/// `fail_percent` and `delay_ms` concern requests that meet all conditions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of requests that fail with 500, in percent.
    pub fail_percent: u8,
    /// Added time of each request, in milliseconds.
    pub delay_ms: u64,
    /// Condition: the path starts with this.
    pub route_prefix: String,
    /// Condition: this many requests ran since the switch.
    pub after_requests: u64,
    /// Condition: more than this many requests run.
    pub above_running: u64,
    /// Every connection that is open now stops answering for good, except the
    /// one that carries the switch.
    pub silence_connections: bool,
}

/// What the faults do to one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Added time.
    pub delay: Duration,
    /// Whether it fails with 500.
    pub fails: bool,
}

/// The faults in force.
pub struct Switches {
    faults: Faults,
    seen: u64,
    rng: SmallRng,
}

impl Switches {
    /// No faults; `seed` determines which requests fail later.
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            seen: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the faults.
    pub fn set(&mut self, faults: Faults) {
        self.faults = faults;
        self.seen = 0;
    }

    /// The faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Counts a request that starts to run next to `running` requests, itself
    /// included, and decides about it.
    pub fn verdict(&mut self, path: &str, running: u64) -> Verdict {
        let before = self.seen;
        self.seen += 1;
        let f = &self.faults;
        let concerned = path.starts_with(&f.route_prefix)
            && before >= f.after_requests
            && running > f.above_running;
        if !concerned {
            return Verdict::default();
        }
        Verdict {
            delay: Duration::from_millis(f.delay_ms),
            fails: self.rng.random_range(0..100) < f.fail_percent,
        }
    }
}
