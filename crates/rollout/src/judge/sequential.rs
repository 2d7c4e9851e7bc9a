//! The sequential test of a new version against the old one in the same
//! availability zone and window.

use crate::judge::history::{History, Recheck};
use crate::judge::kind_test::{KindTest, Odds};
use crate::judge::strata::{Stratum, by_route};
use crate::judge::{Fault, FaultKind, Judge, Trial, Verdict, Window};
use knapweed_world::Name;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;

/// Odds ratios of failures.
const FAILURE_ODDS: Odds = Odds {
    margin: 1.3,
    faults: [3.0, 8.0, 30.0, 200.0],
};
/// Odds ratios of slow requests. The margin stands for about a tenth more latency.
const SLOW_ODDS: Odds = Odds {
    margin: 1.5,
    faults: [2.5, 5.0, 12.0, 50.0],
};
/// Odds ratios of failures in the cold start, in which a good version fails more.
const COLD_ODDS: Odds = Odds {
    margin: 6.0,
    faults: [20.0, 50.0, 200.0, 1_000.0],
};
/// Part of a route's error bound for failures, and as much for slow requests.
const MAIN_PART: f64 = 0.45;
/// Part of a route's error bound for failures in the cold start. It is small,
/// because only a fault as clear as the margin asks for is looked for there.
const COLD_PART: f64 = 0.1;

/// A suspicion that came back after this many rechecks, in each of which the old
/// version was as usual, is a fault: it shows only when the new version carries
/// all of the traffic.
const MAX_SOUND_RECHECKS: u32 = 2;

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
    sound_rechecks: u32,
    /// Whether the old version was not as usual in a recheck: then everything
    /// changed, and full traffic may make it worse without a fault.
    is_unusual: bool,
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

    /// Whether the fault shows only when the new version carries all traffic.
    fn shows_alone(&self) -> bool {
        !self.is_unusual && self.sound_rechecks >= MAX_SOUND_RECHECKS
    }

    /// The routes share the bound in the order of their first requests: 1/2,
    /// 1/6, 1/12 and so on, which sums to 1 for any number of routes.
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
    fn begin(&mut self, trial: &Trial) {
        *self = Self::new(self.options);
        self.trial = Some(trial.clone());
    }

    fn observe(&mut self, window: &Window<'_>) {
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
        match self.suspicion() {
            Some(fault) if self.shows_alone() => Verdict::Bad(fault),
            Some(fault) => Verdict::Suspect(fault),
            None => Verdict::NoFault,
        }
    }

    fn recheck(&mut self) {
        for test in self.routes.values_mut() {
            test.failures.expect();
            test.slow.expect();
        }
    }

    fn acquit(&mut self) {
        let histories = self.routes.values_mut().map(|t| &mut t.history);
        let rechecks: Vec<Recheck> = histories.map(|h| h.acquit()).collect();
        if rechecks.contains(&Recheck::Unusual) {
            self.is_unusual = true;
        } else if rechecks.contains(&Recheck::Usual) {
            self.sound_rechecks += 1;
        }
    }
}

/// The tests of one route.
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
            threshold: -(alpha * MAIN_PART).ln(),
            cold_threshold: -(alpha * COLD_PART).ln(),
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
        let is_over = |t: &(FaultKind, &KindTest, f64)| t.1.log_evidence() >= t.2;
        let (kind, test, _) = tests.into_iter().find(is_over)?;
        Some(Fault {
            kind,
            route: route.clone(),
            new: test.new,
            old: test.old,
        })
    }
}
