//! Sequential test of a new version against the old one in the same availability
//! zone and window.

use crate::judge::history::{History, Recheck};
use crate::judge::kind_test::{KindTest, Odds};
use crate::judge::strata::{Stratum, by_route};
use crate::judge::{ComparedVersions, Fault, FaultKind, Judge, Verdict, Window};
use knapweed_world::Name;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

/// Odds ratios of failed requests.
const FAILURE_ODDS: Odds = Odds {
    margin: 1.3,
    faults: [3.0, 8.0, 30.0, 200.0],
};
/// Odds ratios of slow requests. The margin corresponds to about 10% more latency.
const SLOW_ODDS: Odds = Odds {
    margin: 1.5,
    faults: [2.5, 5.0, 12.0, 50.0],
};
/// Odds ratios of failed requests in the cold start, in which a good version fails
/// more often, too.
const COLD_ODDS: Odds = Odds {
    margin: 6.0,
    faults: [20.0, 50.0, 200.0, 1_000.0],
};
/// Part of a route's bound on false alarms that is used for failures, and as much
/// for slow requests.
const MAIN_ALPHA_PART: f64 = 0.45;
/// Part of a route's bound on false alarms that is used for failures in the cold
/// start. A small part suffices, because with the wide margin only clear faults are
/// tested for there.
const COLD_ALPHA_PART: f64 = 0.1;

/// A suspicion that returns after this many rechecks, in each of which the old
/// version matched its baseline, is a fault that shows only when the new version
/// carries all of the traffic.
const FULL_TRAFFIC_FAULT_RECHECKS: u32 = 2;

new_key_type! {
    /// Key of a route, valid only in the judge that created it.
    struct RouteKey;
}

/// Settings of [`SequentialJudge`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SequentialOptions {
    /// Bound on the probability of a false alarm per rollout.
    pub alpha: f64,
}

impl Default for SequentialOptions {
    fn default() -> Self {
        Self { alpha: 0.001 }
    }
}

/// Compares failed and slow requests per route by sequential likelihood ratios. A
/// slowdown or an outage that affects both versions does not change the ratios.
#[derive(Debug, Default)]
pub struct SequentialJudge {
    options: SequentialOptions,
    compared: Option<ComparedVersions>,
    routes: SlotMap<RouteKey, RouteTest>,
    names: BTreeMap<Name, RouteKey>,
    fault: Option<Fault>,
    unchanged_rechecks: u32,
    /// Whether the old version was worse than its baseline in a recheck. Then the
    /// cause affects all versions, and full traffic may increase its effect without a
    /// fault of the new version.
    is_baseline_worse: bool,
}

impl SequentialJudge {
    /// A judge with the given settings.
    pub fn new(options: SequentialOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    fn suspicion(&self) -> Option<Fault> {
        let mut tests = self.names.iter().map(|(n, key)| (n, &self.routes[*key]));
        tests.find_map(|(name, test)| test.history.suspicion(name, test.threshold))
    }

    /// Whether the rechecks showed that a suspicion is a fault that appears only
    /// when the new version carries all of the traffic.
    fn is_full_traffic_fault(&self) -> bool {
        !self.is_baseline_worse && self.unchanged_rechecks >= FULL_TRAFFIC_FAULT_RECHECKS
    }

    /// The key of a route. The routes share the bound on false alarms in the order of
    /// their first requests: 1/2, 1/6, 1/12 and so on, which sums to at most 1 for
    /// any number of routes.
    fn route(&mut self, name: &Name, windows: u64) -> RouteKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let nth = self.names.len() as f64;
        let part = 1.0 / ((nth + 1.0) * (nth + 2.0));
        let alpha = self.options.alpha * part;
        let key = self.routes.insert(RouteTest::new(windows, alpha));
        self.names.insert(name.clone(), key);
        key
    }
}

impl Judge for SequentialJudge {
    fn begin(&mut self, compared: &ComparedVersions) {
        *self = Self::new(self.options);
        self.compared = Some(compared.clone());
    }

    fn observe(&mut self, window: &Window<'_>) {
        let Some(compared) = self.compared.clone() else {
            return;
        };
        for (name, strata) in by_route(window, &compared) {
            let key = self.route(&name, compared.windows);
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
        match self.suspicion() {
            Some(fault) if self.is_full_traffic_fault() => Verdict::Bad(fault),
            Some(fault) => Verdict::Suspect(fault),
            None => Verdict::NoFault,
        }
    }

    fn recheck(&mut self) {
        for test in self.routes.values_mut() {
            test.failures.expect_fault();
            test.slow.expect_fault();
        }
    }

    fn clear_suspicion(&mut self) {
        let histories = self.routes.values_mut().map(|t| &mut t.history);
        let rechecks: Vec<Recheck> = histories.map(|h| h.clear_suspicion()).collect();
        if rechecks.contains(&Recheck::Worse) {
            self.is_baseline_worse = true;
        } else if rechecks.contains(&Recheck::Unchanged) {
            self.unchanged_rechecks += 1;
        }
    }
}

/// All tests of one route, and the log evidence at which each finds a fault.
#[derive(Debug)]
struct RouteTest {
    threshold: f64,
    cold_threshold: f64,
    failures: KindTest,
    cold: KindTest,
    slow: KindTest,
    history: History,
}

impl RouteTest {
    fn new(windows: u64, alpha: f64) -> Self {
        Self {
            threshold: -(alpha * MAIN_ALPHA_PART).ln(),
            cold_threshold: -(alpha * COLD_ALPHA_PART).ln(),
            failures: KindTest::new(windows, FAILURE_ODDS),
            cold: KindTest::new(windows, COLD_ODDS),
            slow: KindTest::new(windows, SLOW_ODDS),
            history: History::new(windows),
        }
    }

    fn observe(&mut self, strata: &[Stratum]) {
        self.failures.update(strata, Stratum::failures);
        self.cold.update(strata, Stratum::cold_failures);
        self.slow.update(strata, Stratum::slow);
        self.history.observe(strata);
    }

    fn fault(&self, route: &Name) -> Option<Fault> {
        let tests = [
            (FaultKind::Failures, &self.failures, self.threshold),
            (FaultKind::Failures, &self.cold, self.cold_threshold),
            (FaultKind::Slow, &self.slow, self.threshold),
        ];
        let exceeds_threshold = |t: &(FaultKind, &KindTest, f64)| t.1.log_evidence() >= t.2;
        let (kind, test, _) = tests.into_iter().find(exceeds_threshold)?;
        Some(Fault {
            kind,
            route: route.clone(),
            new: test.new,
            old: test.old,
        })
    }
}
