//! Sums the buckets of histories over the windows of a report.

use knapweed_observe::history::{Bucket, History, ServiceHistory};
use knapweed_world::{Name, UnixMillis};
use serde::Serialize;

const MS_PER_S: u64 = 1_000;
/// Longest window, in seconds, that is summed from the buckets of one second;
/// longer ones are summed from the buckets of one minute.
const MAX_FINE_WINDOW_S: u64 = 600;

/// A time window that ends with the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Window {
    /// Name in the report.
    pub name: &'static str,
    /// Length in seconds.
    pub seconds: u64,
}

/// Windows of a report, shortest first.
pub const WINDOWS: [Window; 5] = [
    Window {
        name: "5 min",
        seconds: 300,
    },
    Window {
        name: "30 min",
        seconds: 1_800,
    },
    Window {
        name: "1 h",
        seconds: 3_600,
    },
    Window {
        name: "6 h",
        seconds: 21_600,
    },
    Window {
        name: "24 h",
        seconds: 86_400,
    },
];

/// Requests of a service, classified for both indicators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests that got a response without a server error.
    pub good: u64,
    /// Requests that got a server error, did not run or ended with an unknown outcome.
    pub bad: u64,
    /// Requests that got a response, server errors included.
    pub answered: u64,
    /// Answered requests above the latency bound; 0 without an objective.
    pub slow: u64,
}

/// Totals and ratios of the counted requests.
impl RequestCounts {
    /// Number of all requests.
    pub fn requests(&self) -> u64 {
        self.good + self.bad
    }

    /// Ratio of bad requests; `None` without requests.
    pub fn bad_share(&self) -> Option<f64> {
        share(self.bad, self.requests())
    }

    /// Ratio of slow requests to answered ones; `None` without answered requests.
    pub fn slow_share(&self) -> Option<f64> {
        share(self.slow, self.answered)
    }
}

/// Adding of other counts and of buckets.
impl RequestCounts {
    /// Adds the requests of `other`.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.answered += other.answered;
        self.slow += other.slow;
    }

    /// Adds a bucket. Requests count as slow above `bound_us`; without it none do.
    /// `bounds_us` are the upper bounds of the latency counts in the bucket.
    pub fn add_bucket(&mut self, bucket: &Bucket, bounds_us: &[u32], bound_us: Option<u32>) {
        let failed = [bucket.server_errors, bucket.not_run, bucket.unknown];
        self.good += u64::from(bucket.answered.saturating_sub(bucket.server_errors));
        self.bad += failed.map(u64::from).iter().sum::<u64>();
        self.answered += u64::from(bucket.answered);
        let Some(bound_us) = bound_us else {
            return;
        };
        let fast = bounds_us.iter().filter(|b| **b <= bound_us).count();
        let slow = bucket.latency.iter().skip(fast);
        self.slow += slow.map(|n| u64::from(*n)).sum::<u64>();
    }
}

fn share(part: u64, all: u64) -> Option<f64> {
    (all > 0).then(|| part as f64 / all as f64)
}

/// Counts the requests of `service` on one node in the window that ends at `until`.
pub fn count_requests(
    history: &History,
    service: &Name,
    window: Window,
    until: UnixMillis,
    bound_us: Option<u32>,
) -> RequestCounts {
    let mut counts = RequestCounts::default();
    let Some(service) = find_service(history, service) else {
        return counts;
    };
    let from_s = (until.0 / MS_PER_S).saturating_sub(window.seconds);
    let buckets = match window.seconds <= MAX_FINE_WINDOW_S {
        true => &service.seconds,
        false => &service.minutes,
    };
    for bucket in buckets.iter().filter(|b| u64::from(b.start_s) >= from_s) {
        counts.add_bucket(bucket, &history.latency_bounds_us, bound_us);
    }
    counts
}

/// History of a service on one node; `None` when the node recorded no requests of it.
pub fn find_service<'a>(history: &'a History, service: &Name) -> Option<&'a ServiceHistory> {
    history.services.iter().find(|s| s.service == *service)
}
