//! The check of a new version against what was usual before, for the time in
//! which no old version runs next to it.

use crate::counters::Series;
use crate::histogram::BUCKETS;
use crate::judge::strata::Stratum;
use crate::judge::{Fault, FaultKind, Tally};
use crate::likelihood::{Detector, Pair, rate_ratio};
use knapweed_world::Name;

/// Fewest old requests to say what is usual. With fewer, the tail of the
/// latencies is mostly chance.
const USUAL_REQUESTS: u64 = 100;
/// Lowest failure rate that counts as usual.
const USUAL_FAILURES: f64 = 0.01;
/// Highest failure rate up to which a change is looked for.
const MAX_USUAL_FAILURES: f64 = 0.3;
/// Part of the requests that lies in the usual slow tail.
const USUAL_TAIL: f64 = 0.05;
/// Rate of requests in that tail which is no reason for suspicion.
const TAIL_MARGIN: f64 = 0.12;
/// Rates of requests in that tail that are looked for.
const TAIL_FAULTS: [f64; 2] = [0.25, 0.7];
/// Factors on the usual failure rate that are looked for.
const FAILURE_FACTORS: [f64; 2] = [3.0, 20.0];
/// Highest failure rate that is looked for.
const MAX_FAULT: f64 = 0.9;

/// Fewest old requests in a recheck to tell whether they were as usual.
const RECHECK_REQUESTS: u64 = 40;

/// What a recheck showed of the old version on one route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Recheck {
    /// It was as before.
    Usual,
    /// It was worse than before.
    Unusual,
    /// It had too few requests.
    Unknown,
}

/// What was usual on one route, and the suspicion against the new version.
#[derive(Debug)]
pub(super) struct History {
    windows: u64,
    usual: Series,
    /// Old counts since the last window without any.
    recent: Series,
    failures: Detector<2>,
    slow: Detector<2>,
    seen: [Tally; 2],
}

impl History {
    pub(super) fn new(windows: u64) -> Self {
        Self {
            windows,
            usual: Series::default(),
            recent: Series::default(),
            failures: Detector::new(windows),
            slow: Detector::new(windows),
            seen: [Tally::default(); 2],
        }
    }

    /// Learns from old counts; checks new ones in a window without old counts.
    pub(super) fn observe(&mut self, strata: &[Stratum]) {
        let has_old = strata.iter().any(|s| s.old.requests > 0);
        for stratum in strata {
            if has_old {
                self.usual.merge(&stratum.old);
                self.recent.merge(&stratum.old);
            } else if stratum.new.requests > 0 && self.usual.requests >= USUAL_REQUESTS {
                self.recent = Series::default();
                self.check(&stratum.new);
            }
        }
    }

    /// The suspicion, when it reached `threshold`.
    pub(super) fn suspicion(&self, route: &Name, threshold: f64) -> Option<Fault> {
        let kinds = [FaultKind::Failures, FaultKind::Slow];
        let sums = [self.failures.log_evidence(), self.slow.log_evidence()];
        let i = sums.iter().position(|sum| *sum >= threshold)?;
        Some(Fault {
            kind: kinds[i],
            route: route.clone(),
            new: self.seen[i],
            old: Tally {
                requests: self.usual.requests,
                affected: self.usual.failures,
            },
        })
    }

    /// Forgets the suspicion. When the old version was not as usual while it ran
    /// side by side, what it showed there is usual from now on.
    pub(super) fn acquit(&mut self) -> Recheck {
        let recent = std::mem::take(&mut self.recent);
        let recheck = self.recheck(&recent);
        let usual = match recheck {
            Recheck::Unusual => recent,
            Recheck::Usual | Recheck::Unknown => std::mem::take(&mut self.usual),
        };
        *self = Self {
            usual,
            ..Self::new(self.windows)
        };
        recheck
    }

    fn recheck(&self, recent: &Series) -> Recheck {
        if recent.requests < RECHECK_REQUESTS {
            Recheck::Unknown
        } else if self.is_usual(recent) {
            Recheck::Usual
        } else {
            Recheck::Unusual
        }
    }

    fn is_usual(&self, recent: &Series) -> bool {
        let failing = rate(recent.failures, recent.requests);
        let slow = recent.latency.count_from(self.first_slow_bucket());
        failing <= self.usual_failures() && rate(slow, recent.latency.count()) <= TAIL_MARGIN
    }

    fn usual_failures(&self) -> f64 {
        (rate(self.usual.failures, self.usual.requests) * 2.0).max(USUAL_FAILURES)
    }

    fn first_slow_bucket(&self) -> usize {
        (self.usual.latency.tail_bucket(USUAL_TAIL) + 1).min(BUCKETS - 1)
    }

    fn check(&mut self, new: &Series) {
        let failures = Pair::new(new.requests, new.failures);
        let null = self.usual_failures();
        if null < MAX_USUAL_FAILURES {
            let faults = FAILURE_FACTORS.map(|f| (null * f).min(MAX_FAULT));
            self.failures
                .update(faults.map(|fault| rate_ratio(failures, null, fault)));
        }
        let slow = new.latency.count_from(self.first_slow_bucket());
        let slow = Pair::new(new.latency.count(), slow);
        self.slow
            .update(TAIL_FAULTS.map(|fault| rate_ratio(slow, TAIL_MARGIN, fault)));
        for (seen, pair) in self.seen.iter_mut().zip([failures, slow]) {
            seen.add(Tally {
                requests: pair.requests as u64,
                affected: pair.affected as u64,
            });
        }
    }
}

/// The part of `requests` that is `affected`; zero without requests.
fn rate(affected: u64, requests: u64) -> f64 {
    affected as f64 / requests.max(1) as f64
}
