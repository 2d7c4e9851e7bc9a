//! The sequential test of a new version against the old one in the same
//! availability zone and window.

use crate::Counters;
use crate::counters::{LoadLevel, Series, Warmth};
use crate::histogram::Histogram;
use crate::judge::history::History;
use crate::judge::{Fault, FaultKind, Judge, Tally, Trial, Verdict};
use crate::likelihood::{Detector, Pair, split_ratio};
use knapweed_world::Name;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

/// Odds ratios of failures that the test looks for.
const FAILURE_ODDS: [f64; 4] = [3.0, 8.0, 30.0, 200.0];
/// Odds ratios of slow requests that the test looks for.
const SLOW_ODDS: [f64; 4] = [2.5, 5.0, 12.0, 50.0];
/// Odds ratio of failures that is no fault.
const FAILURE_MARGIN: f64 = 1.3;
/// Odds ratio of slow requests that is no fault; about a tenth more latency.
const SLOW_MARGIN: f64 = 1.5;
/// Odds ratio that is no fault when the new servers carry more load than the old.
const UNEVEN_MARGIN: f64 = 4.0;
/// The part of the requests of a window that counts as slow.
const SLOW_TAIL: f64 = 0.1;
/// Tests per route: failures and slow requests.
const TESTS_PER_ROUTE: f64 = 2.0;

new_key_type! {
    /// Key of a route in the judge that made it.
    struct RouteKey;
}

/// Settings of [`SequentialJudge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SequentialOptions {
    /// Bound on the probability of a false alarm per trial.
    pub alpha: f64,
}

impl Default for SequentialOptions {
    fn default() -> Self {
        Self { alpha: 0.001 }
    }
}

/// Compares failures and slow requests per route by sequential likelihood
/// ratios. A slowdown or an outage of both versions moves no ratio.
#[derive(Debug, Default)]
pub struct SequentialJudge {
    options: SequentialOptions,
    trial: Option<Trial>,
    routes: SlotMap<RouteKey, RouteTest>,
    names: BTreeMap<Name, RouteKey>,
    fault: Option<Fault>,
}

impl SequentialJudge {
    /// A judge with the given settings.
    pub fn new(options: SequentialOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// The routes share the bound in the order of their first requests: 1/2,
    /// 1/6, 1/12 and so on, which sums to 1 for any number of routes.
    fn route(&mut self, name: &Name, windows: u64) -> RouteKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let nth = self.names.len() as f64;
        let part = 1.0 / ((nth + 1.0) * (nth + 2.0));
        let threshold = -(self.options.alpha * part / TESTS_PER_ROUTE).ln();
        let key = self.routes.insert(RouteTest::new(windows, threshold));
        self.names.insert(name.clone(), key);
        key
    }
}

impl Judge for SequentialJudge {
    fn begin(&mut self, trial: &Trial) {
        *self = Self::new(self.options);
        self.trial = Some(trial.clone());
    }

    fn observe(&mut self, window: &Counters) {
        let Some(trial) = self.trial.clone() else {
            return;
        };
        for (name, strata) in by_route(window, &trial) {
            let key = self.route(&name, trial.windows);
            let test = &mut self.routes[key];
            test.observe(&strata);
            if self.fault.is_none() {
                self.fault = test.fault(&name);
            }
        }
    }

    fn verdict(&self) -> Verdict {
        if let Some(fault) = &self.fault {
            return Verdict::Bad(fault.clone());
        }
        let mut tests = self.names.iter().map(|(n, key)| (n, &self.routes[*key]));
        let suspicion = tests.find_map(|(name, test)| test.history.suspicion(name, test.threshold));
        suspicion.map_or(Verdict::NoFault, Verdict::Suspect)
    }

    fn acquit(&mut self) {
        for test in self.routes.values_mut() {
            test.history.acquit();
        }
    }
}

/// Old and new counts that are compared with each other.
#[derive(Clone, Debug)]
pub(super) struct Stratum {
    pub(super) old: Series,
    pub(super) new: Series,
    pub(super) is_uneven: bool,
}

/// The strata of each route that has requests in the window.
fn by_route(window: &Counters, trial: &Trial) -> BTreeMap<Name, Vec<Stratum>> {
    let mut cells: BTreeMap<Name, BTreeMap<LoadLevel, Stratum>> = BTreeMap::new();
    for (id, series) in window.iter().filter(|(id, _)| id.warmth == Warmth::Warm) {
        let levels = cells.entry(id.route.clone()).or_default();
        let cell = levels.entry(id.load).or_insert_with(Stratum::empty);
        if trial.new.contains(&id.version) {
            cell.new.merge(series);
        } else if trial.old.contains(&id.version) {
            cell.old.merge(series);
        }
    }
    let strata = cells.into_iter();
    strata
        .map(|(name, levels)| (name, matched(levels)))
        .collect()
}

/// Pairs new counts with old counts of the same load level; new counts without
/// such a pair go to the nearest higher level with old counts, otherwise to the
/// nearest lower one, which the test then treats with a wide margin.
fn matched(levels: BTreeMap<LoadLevel, Stratum>) -> Vec<Stratum> {
    let mut strata: Vec<Stratum> = levels.into_values().collect();
    for i in 0..strata.len() {
        if strata[i].new.requests == 0 || strata[i].old.requests > 0 {
            continue;
        }
        let has_old = |j: &usize| strata[*j].old.requests > 0;
        let higher = (i + 1..strata.len()).find(has_old);
        let lower = (0..i).rev().find(has_old);
        let Some(to) = higher.or(lower) else {
            continue;
        };
        let moved = std::mem::take(&mut strata[i].new);
        strata[to].new.merge(&moved);
        strata[to].is_uneven |= to < i;
    }
    strata
}

impl Stratum {
    fn empty() -> Self {
        Self {
            old: Series::default(),
            new: Series::default(),
            is_uneven: false,
        }
    }

    fn failures(&self) -> (Pair, Pair) {
        let pair = |s: &Series| Pair::new(s.requests, s.failures);
        (pair(&self.old), pair(&self.new))
    }

    /// Slow is what lies in the tail of both versions together, so that the
    /// limit favours neither of them.
    fn slow(&self) -> (Pair, Pair) {
        let mut both: Histogram = self.old.latency.clone();
        both.merge(&self.new.latency);
        let first = both.tail_bucket(SLOW_TAIL);
        let pair = |s: &Series| Pair::new(s.latency.count(), s.latency.count_from(first));
        (pair(&self.old), pair(&self.new))
    }
}

/// The tests of one route.
#[derive(Debug)]
struct RouteTest {
    threshold: f64,
    failures: KindTest,
    slow: KindTest,
    history: History,
}

impl RouteTest {
    fn new(windows: u64, threshold: f64) -> Self {
        Self {
            threshold,
            failures: KindTest::new(windows, FAILURE_MARGIN, FAILURE_ODDS),
            slow: KindTest::new(windows, SLOW_MARGIN, SLOW_ODDS),
            history: History::new(windows),
        }
    }

    fn observe(&mut self, strata: &[Stratum]) {
        let compared = |s: &&Stratum| s.old.requests > 0 && s.new.requests > 0;
        let failures = strata.iter().filter(compared);
        self.failures
            .update(failures.map(|s| (s.failures(), s.is_uneven)));
        let slow = strata.iter().filter(compared);
        self.slow.update(slow.map(|s| (s.slow(), s.is_uneven)));
        self.history.observe(strata);
    }

    fn fault(&self, route: &Name) -> Option<Fault> {
        let tests = [
            (FaultKind::Failures, &self.failures),
            (FaultKind::Slow, &self.slow),
        ];
        let (kind, test) = tests
            .into_iter()
            .find(|(_, t)| t.detector.log_evidence() >= self.threshold)?;
        Some(Fault {
            kind,
            route: route.clone(),
            new: test.new,
            old: test.old,
        })
    }
}

/// The test of one route for one kind of fault.
#[derive(Debug)]
struct KindTest {
    margin: f64,
    odds: [f64; 4],
    detector: Detector<4>,
    new: Tally,
    old: Tally,
}

impl KindTest {
    fn new(windows: u64, margin: f64, odds: [f64; 4]) -> Self {
        Self {
            margin,
            odds,
            detector: Detector::new(windows),
            new: Tally::default(),
            old: Tally::default(),
        }
    }

    fn update(&mut self, strata: impl Iterator<Item = ((Pair, Pair), bool)>) {
        let mut ratios = [0.0; 4];
        let mut compared = false;
        for ((old, new), is_uneven) in strata {
            compared = true;
            let factor = if is_uneven { UNEVEN_MARGIN } else { 1.0 };
            for (ratio, odds) in ratios.iter_mut().zip(self.odds) {
                *ratio += split_ratio(old, new, self.margin * factor, odds * factor);
            }
            self.old.add(tally(old));
            self.new.add(tally(new));
        }
        if compared {
            self.detector.update(ratios);
        }
    }
}

fn tally(pair: Pair) -> Tally {
    Tally {
        requests: pair.requests as u64,
        affected: pair.affected as u64,
    }
}
