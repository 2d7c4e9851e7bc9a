//! Times at which requests are sent.

use std::time::Duration;

/// Requests at equal distances, bounded in time and number.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    rate: u64,
    count: u64,
}

impl Schedule {
    /// `rate` requests per second for `duration`, at most `max_requests`.
    pub fn new(rate: u64, duration: Duration, max_requests: u64) -> Self {
        let in_time = u128::from(rate) * duration.as_micros() / 1_000_000;
        let in_time = u64::try_from(in_time).unwrap_or(u64::MAX);
        Self {
            rate,
            count: in_time.clamp(1, max_requests),
        }
    }

    /// The number of requests.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Time of request `index` after the start.
    pub fn due(&self, index: u64) -> Duration {
        let micros = u128::from(index) * 1_000_000 / u128::from(self.rate);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
