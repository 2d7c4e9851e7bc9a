//! Comparison of a new version with the earlier behaviour of the old one, for the
//! time in which no old version runs side by side with it.

use crate::counters::Series;
use crate::histogram::BUCKETS;
use crate::judge::strata::Stratum;
use crate::judge::{Fault, FaultKind, Tally};
use crate::likelihood::{Counts, Detector, rate_ratio};
use knapweed_world::Name;

/// Fewest requests of the old version for a baseline. With fewer, the tail of the
/// latencies is mostly random.
const MIN_BASELINE_REQUESTS: u64 = 100;
/// Lowest baseline failure rate that is assumed.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.01;
/// Baseline failure rate at which changes are no longer tested for.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.3;
/// Fraction of the baseline requests that forms the slow tail.
const BASELINE_TAIL: f64 = 0.05;
/// Fraction of requests in that tail that raises no suspicion yet.
const TAIL_MARGIN: f64 = 0.12;
/// Fractions of requests in that tail that are tested for.
const TAIL_FAULTS: [f64; 2] = [0.25, 0.7];
/// Failure rates that are tested for, as factors on the baseline failure rate.
const FAILURE_FACTORS: [f64; 2] = [3.0, 20.0];
/// Highest failure rate that is tested for.
const MAX_FAULT_RATE: f64 = 0.9;

/// Fewest requests of the old version in a recheck for a comparison with the
/// baseline.
const MIN_RECHECK_REQUESTS: u64 = 40;

/// How the old version behaved on one route during a recheck.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Recheck {
    /// It matched the baseline.
    Unchanged,
    /// It was worse than the baseline.
    Worse,
    /// It had too few requests.
    Unknown,
}

/// Baseline of one route, and the tests of the new version against it.
#[derive(Debug)]
pub(super) struct History {
    windows: u64,
    baseline: Series,
    /// Counts of the old version since the last window without any.
    recent: Series,
    failures: Detector<2>,
    slow: Detector<2>,
    tested: [Tally; 2],
}

impl History {
    pub(super) fn new(windows: u64) -> Self {
        Self {
            windows,
            baseline: Series::default(),
            recent: Series::default(),
            failures: Detector::new(windows),
            slow: Detector::new(windows),
            tested: [Tally::default(); 2],
        }
    }

    /// Adds counts of the old version to the baseline. In a window without any, tests
    /// those of the new version against the baseline.
    pub(super) fn observe(&mut self, strata: &[Stratum]) {
        let has_old = strata.iter().any(|s| s.old.requests > 0);
        for stratum in strata {
            if has_old {
                self.baseline.merge(&stratum.old);
                self.recent.merge(&stratum.old);
            } else if stratum.new.requests > 0 && self.baseline.requests >= MIN_BASELINE_REQUESTS {
                self.recent = Series::default();
                self.check(&stratum.new);
            }
        }
    }

    /// The suspected fault; `None` while the log evidence is below `threshold`.
    pub(super) fn suspicion(&self, route: &Name, threshold: f64) -> Option<Fault> {
        let kinds = [FaultKind::Failures, FaultKind::Slow];
        let sums = [self.failures.log_evidence(), self.slow.log_evidence()];
        let i = sums.iter().position(|sum| *sum >= threshold)?;
        Some(Fault {
            kind: kinds[i],
            route: route.clone(),
            new: self.tested[i],
            old: Tally {
                requests: self.baseline.requests,
                affected: self.baseline.failures,
            },
        })
    }

    /// Clears the suspicion. If the old version did not match the baseline while it
    /// ran side by side, its counts from that time become the new baseline.
    pub(super) fn clear_suspicion(&mut self) -> Recheck {
        let recent = std::mem::take(&mut self.recent);
        let recheck = self.recheck(&recent);
        let baseline = match recheck {
            Recheck::Worse => recent,
            Recheck::Unchanged | Recheck::Unknown => std::mem::take(&mut self.baseline),
        };
        *self = Self {
            baseline,
            ..Self::new(self.windows)
        };
        recheck
    }

    fn recheck(&self, recent: &Series) -> Recheck {
        if recent.requests < MIN_RECHECK_REQUESTS {
            Recheck::Unknown
        } else if self.matches_baseline(recent) {
            Recheck::Unchanged
        } else {
            Recheck::Worse
        }
    }

    fn matches_baseline(&self, recent: &Series) -> bool {
        let failure_rate = rate(recent.failures, recent.requests);
        let slow = recent.latency.count_from(self.first_slow_bucket());
        failure_rate <= self.baseline_failure_rate()
            && rate(slow, recent.latency.count()) <= TAIL_MARGIN
    }

    fn baseline_failure_rate(&self) -> f64 {
        (rate(self.baseline.failures, self.baseline.requests) * 2.0).max(MIN_BASELINE_FAILURE_RATE)
    }

    fn first_slow_bucket(&self) -> usize {
        (self.baseline.latency.tail_bucket(BASELINE_TAIL) + 1).min(BUCKETS - 1)
    }

    fn check(&mut self, new: &Series) {
        let failures = Counts::new(new.requests, new.failures);
        let null = self.baseline_failure_rate();
        if null < MAX_BASELINE_FAILURE_RATE {
            let faults = FAILURE_FACTORS.map(|f| (null * f).min(MAX_FAULT_RATE));
            self.failures
                .update(faults.map(|fault| rate_ratio(failures, null, fault)));
        }
        let slow = new.latency.count_from(self.first_slow_bucket());
        let slow = Counts::new(new.latency.count(), slow);
        self.slow
            .update(TAIL_FAULTS.map(|fault| rate_ratio(slow, TAIL_MARGIN, fault)));
        for (tested, counts) in self.tested.iter_mut().zip([failures, slow]) {
            tested.add(Tally {
                requests: counts.requests as u64,
                affected: counts.affected as u64,
            });
        }
    }
}

/// The fraction of `requests` that is `affected`; zero if there are no requests.
fn rate(affected: u64, requests: u64) -> f64 {
    affected as f64 / requests.max(1) as f64
}
