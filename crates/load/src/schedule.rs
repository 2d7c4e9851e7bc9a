//! Planned send times of the requests.

use std::time::Duration;

/// Requests at equal intervals, bounded in duration and number.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    rate: u64,
    count: u64,
}

impl Schedule {
    /// Plans `rate` requests per second for `duration`: at least 1 and at most `max_requests`.
    pub fn new(rate: u64, duration: Duration, max_requests: u64) -> Self {
        let in_time = u128::from(rate) * duration.as_micros() / 1_000_000;
        let in_time = u64::try_from(in_time).unwrap_or(u64::MAX);
        Self {
            rate,
            count: in_time.clamp(1, max_requests),
        }
    }

    /// Number of planned requests.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Planned send time of request `index`, relative to the start of the run.
    pub fn due(&self, index: u64) -> Duration {
        let micros = u128::from(index) * 1_000_000 / u128::from(self.rate);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
