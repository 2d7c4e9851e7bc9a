//! The judge of rollouts that last less than a minute.
//!
//! It decides after a few tens of requests, by a cumulative sum (CUSUM) of log
//! likelihood ratios for each route and availability zone. A sum that would fall
//! below zero is reset to zero, so that a fault that begins late is found as fast as
//! one that is present from the start.

use crate::counters::{Series, SeriesId, Warmth};
use crate::histogram::Histogram;
use crate::judge::{ComparedVersions, Fault, FaultKind, Judge, Tally, Verdict, Window};
use knapweed_world::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// Smallest excess over the median latency of the old versions for which a request counts as
/// slow. Calls are up to six deep, and the nodes may add 0.56 ms to each (bound B9), more to a
/// call from another host than to one from the same host.
const MIN_SLOWDOWN: Duration = Duration::from_micros(6 * 560);

/// Settings of a [`ShortRolloutJudge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Sum of log likelihood ratios at which a version is faulty. The default
    /// corresponds to odds of 1,000 to 1.
    pub threshold: f64,
    /// Part of that sum that must come from other availability zones than the most
    /// affected one. The default corresponds to two affected requests there.
    pub confirmation: f64,
    /// Lowest fraction of affected requests that is tested for.
    pub min_fault: f64,
    /// Lowest baseline fraction of affected requests that is assumed.
    pub min_baseline: f64,
    /// Fraction of the requests of the old versions that forms the slow tail;
    /// requests in the range of that tail are slow.
    pub slow_tail: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            threshold: 6.9,
            confirmation: 3.8,
            min_fault: 0.2,
            min_baseline: 0.015,
            slow_tail: 0.04,
        }
    }
}

/// Factor on the failure rate of the old versions up to which the new version is
/// not at fault.
const FAILURE_MARGIN: f64 = 2.0;
/// Factor on the fraction of slow requests of the old versions up to which the new
/// version is not at fault. Backend servers of one version differ in speed by a
/// factor of up to three.
const SLOW_MARGIN: f64 = 3.0;
/// Baseline fraction of affected requests above which the versions cannot be
/// distinguished, so that requests are not evaluated.
const MAX_BASELINE_FRACTION: f64 = 0.4;
/// The tested fraction of affected requests is at least this factor of the baseline.
const FAULT_FACTOR: f64 = 3.0;
/// Highest fraction of affected requests that is tested for.
const MAX_FAULT_FRACTION: f64 = 0.9;
/// Fewest requests of the old versions on a route to determine its slow tail.
const MIN_BASELINE_REQUESTS: u64 = 20;
/// Limit of the total weight of the baseline, in requests of the old versions.
/// Older requests lose weight, so that a disruption of all versions soon shows in
/// the baseline.
const BASELINE_REQUESTS: f64 = 150.0;

/// Counts of requests and of affected ones, in which older requests have less weight.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    requests: f64,
    affected: f64,
}

impl DecayingCounts {
    fn add(&mut self, tally: Tally) {
        self.requests += tally.requests as f64;
        self.affected += tally.affected as f64;
        if self.requests > BASELINE_REQUESTS {
            let keep = BASELINE_REQUESTS / self.requests;
            self.requests *= keep;
            self.affected *= keep;
        }
    }

    fn share(&self) -> f64 {
        self.affected / self.requests.max(1.0)
    }
}

/// Cumulative sums of log likelihood ratios over the requests of the new versions on
/// a route, one for each availability zone.
#[derive(Clone, Debug, Default)]
struct CumulativeSums {
    zones: BTreeMap<Name, f64>,
    /// Counts of the new versions since all sums were last zero.
    tally: Tally,
    baseline: DecayingCounts,
    old: Tally,
}

impl CumulativeSums {
    fn record_old(&mut self, tally: Tally) {
        self.baseline.add(tally);
        self.old.add(tally);
    }

    fn record_new(&mut self, zone: &Name, tally: Tally, margin: f64, options: &Options) {
        let baseline_fraction = (self.baseline.share() * margin).max(options.min_baseline);
        if baseline_fraction > MAX_BASELINE_FRACTION {
            return;
        }
        let fault = (baseline_fraction * FAULT_FACTOR)
            .max(options.min_fault)
            .min(MAX_FAULT_FRACTION);
        let (affected_count, unaffected_count) = (tally.affected, tally.requests - tally.affected);
        let affected_ratio = (fault / baseline_fraction).ln();
        let unaffected_ratio = ((1.0 - fault) / (1.0 - baseline_fraction)).ln();
        let sum = self.zones.entry(zone.clone()).or_default();
        *sum = (*sum
            + affected_count as f64 * affected_ratio
            + unaffected_count as f64 * unaffected_ratio)
            .max(0.0);
        match self.zones.values().all(|sum| *sum == 0.0) {
            true => self.tally = Tally::default(),
            false => self.tally.add(tally),
        }
    }

    /// Whether the sums show a fault of the version. If there are several zones, more
    /// than one must show it, because a fault of a single backend server is not a
    /// fault of the version.
    fn is_fault(&self, options: &Options) -> bool {
        let all: f64 = self.zones.values().sum();
        let largest = self.zones.values().copied().fold(0.0, f64::max);
        let is_confirmed = self.zones.len() < 2 || all - largest >= options.confirmation;
        all >= options.threshold && is_confirmed
    }
}

#[derive(Clone, Debug, Default)]
struct Route {
    failures: CumulativeSums,
    slow: CumulativeSums,
    latency: Histogram,
}

/// Compares failed and slow requests per route by cumulative sums, which decide
/// after a few tens of requests.
#[derive(Clone, Debug)]
pub struct ShortRolloutJudge {
    options: Options,
    compared: ComparedVersions,
    routes: BTreeMap<Name, Route>,
    fault: Option<Fault>,
}

impl ShortRolloutJudge {
    /// A judge with `options`.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            compared: ComparedVersions {
                old: Vec::new(),
                new: Vec::new(),
                windows: 1,
            },
            routes: BTreeMap::new(),
            fault: None,
        }
    }

    fn observe_old(&mut self, id: &SeriesId, series: &Series) {
        let route = self.routes.entry(id.route.clone()).or_default();
        route.failures.record_old(Tally {
            requests: series.requests,
            affected: series.failures,
        });
        if id.warmth == Warmth::Warm {
            route.latency.merge(&series.latency);
            if let Some(slow) = slow(&route.latency, series, &self.options) {
                route.slow.record_old(slow);
            }
        }
    }

    fn observe_new(&mut self, id: &SeriesId, series: &Series) {
        if series.requests == 0 {
            return;
        }
        let options = self.options;
        let route = self.routes.entry(id.route.clone()).or_default();
        let failures = Tally {
            requests: series.requests,
            affected: series.failures,
        };
        let sums = &mut route.failures;
        sums.record_new(&id.zone, failures, FAILURE_MARGIN, &options);
        if id.warmth == Warmth::Warm
            && let Some(tally) = slow(&route.latency, series, &options)
        {
            let sums = &mut route.slow;
            sums.record_new(&id.zone, tally, SLOW_MARGIN, &options);
        }
    }

    fn find_fault(&self) -> Option<Fault> {
        let is_fault = |sums: &CumulativeSums| sums.is_fault(&self.options);
        self.routes.iter().find_map(|(name, route)| {
            let kinds = [
                (FaultKind::Failures, &route.failures),
                (FaultKind::Slow, &route.slow),
            ];
            let (kind, sums) = kinds.into_iter().find(|(_, sums)| is_fault(sums))?;
            Some(Fault {
                kind,
                route: name.clone(),
                new: sums.tally,
                old: sums.old,
            })
        })
    }
}

/// The successful requests of a series, and those of them in the slow tail of the
/// baseline that exceed its median by [`MIN_SLOWDOWN`]. `None` while the baseline has too few
/// requests.
fn slow(baseline: &Histogram, series: &Series, options: &Options) -> Option<Tally> {
    if baseline.count() < MIN_BASELINE_REQUESTS {
        return None;
    }
    let tail = baseline.tail_bucket(options.slow_tail);
    let first = tail.max(baseline.bucket_above_median(MIN_SLOWDOWN));
    Some(Tally {
        requests: series.latency.count(),
        affected: series.latency.count_from(first),
    })
}

impl Judge for ShortRolloutJudge {
    fn begin(&mut self, compared: &ComparedVersions) {
        *self = Self {
            compared: compared.clone(),
            ..Self::new(self.options)
        };
    }

    fn observe(&mut self, window: &Window<'_>) {
        let (old, new) = (self.compared.old.clone(), self.compared.new.clone());
        for (id, series) in window.counters.iter() {
            if old.contains(&id.version) {
                self.observe_old(id, series);
            }
        }
        for (id, series) in window.counters.iter() {
            if new.contains(&id.version) {
                self.observe_new(id, series);
            }
        }
        if self.fault.is_none() {
            self.fault = self.find_fault();
        }
    }

    fn verdict(&self) -> Verdict {
        match &self.fault {
            Some(fault) => Verdict::Bad(fault.clone()),
            None => Verdict::NoFault,
        }
    }

    fn recheck(&mut self) {}

    fn clear_suspicion(&mut self) {}
}
