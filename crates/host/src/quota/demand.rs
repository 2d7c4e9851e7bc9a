//! Rate of the requests of an organisation on one host.

use knapweed_world::Time;
use std::time::Duration;

/// Time constant of the estimate that follows a rise. With a longer one a host would ask for
/// tokens too late when callers move to it within a second.
const RISE: Duration = Duration::from_millis(700);
/// Time constant of the estimate that bridges gaps: a few requests per second come unevenly.
const FALL: Duration = Duration::from_secs(4);
/// Rates below this count as none, in requests per second.
const MIN_RATE: f64 = 0.01;

/// The larger of two exponentially decaying estimates of a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    fast: f64,
    slow: f64,
    at: Time,
}

impl Demand {
    /// Adds the requests since the last call.
    pub(super) fn record(&mut self, requests: u64, now: Time) {
        let elapsed = now.since(self.at);
        self.fast = decayed(self.fast, elapsed, RISE, requests);
        self.slow = decayed(self.slow, elapsed, FALL, requests);
        self.at = now;
    }

    /// Requests per second.
    pub(super) fn per_s(&self) -> f64 {
        let per_s = self.fast.max(self.slow);
        if per_s < MIN_RATE { 0.0 } else { per_s }
    }

    /// Requests per second, in thousandths, without the haste of [`Demand::per_s`]: sums over
    /// many hosts would otherwise be too large.
    pub(super) fn milli(&self) -> u32 {
        let per_s = if self.fast < MIN_RATE { 0.0 } else { self.fast };
        (per_s * 1_000.0) as u32
    }
}

fn decayed(per_s: f64, elapsed: Duration, memory: Duration, requests: u64) -> f64 {
    let memory = memory.as_secs_f64();
    per_s * (-elapsed.as_secs_f64() / memory).exp() + requests as f64 / memory
}
