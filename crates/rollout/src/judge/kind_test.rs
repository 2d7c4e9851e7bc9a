//! Sequential test of one route for one kind of fault.

use crate::counters::LoadLevel;
use crate::judge::Tally;
use crate::judge::strata::{Comparison, Stratum};
use crate::likelihood::{Counts, Detector, log_add, split_ratio};
use knapweed_world::Name;
use std::collections::BTreeMap;

/// Factor on all odds ratios when the new servers have a higher load than the old
/// ones.
const UNEVEN_LOAD_FACTOR: f64 = 4.0;
/// Prior weight of a fault in all zones and at all load levels.
const EVERYWHERE_WEIGHT: f64 = 0.5;
/// Prior weight of a fault in one availability zone, shared by all zones.
const ZONE_WEIGHT: f64 = 0.25;
/// Prior weight of a fault at one load level, for each level.
const LOAD_WEIGHT: f64 = 0.0625;

/// Part of the requests that is tested for a fault. Unaffected requests from other
/// zones or load levels would dilute the evidence.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    Everywhere,
    Zone(Name),
    Load(LoadLevel),
}

/// Odds ratios of the test: up to `margin` a version is not at fault; `faults` are
/// the alternatives that are tested for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Odds {
    pub(super) margin: f64,
    pub(super) faults: [f64; 4],
}

/// Test of one route for one kind of fault, over all scopes.
#[derive(Debug)]
pub(super) struct KindTest {
    odds: Odds,
    windows: u64,
    scopes: BTreeMap<Scope, ScopeTest>,
    zones: u32,
    pub(super) new: Tally,
    pub(super) old: Tally,
}

#[derive(Debug)]
struct ScopeTest {
    weight: f64,
    detector: Detector<4>,
}

impl KindTest {
    pub(super) fn new(windows: u64, odds: Odds) -> Self {
        Self {
            odds,
            windows,
            scopes: BTreeMap::new(),
            zones: 0,
            new: Tally::default(),
            old: Tally::default(),
        }
    }

    /// Adds the strata of a window; `compare` selects the counts of each.
    pub(super) fn update(&mut self, strata: &[Stratum], compare: fn(&Stratum) -> Comparison) {
        let mut ratios: BTreeMap<Scope, [f64; 4]> = BTreeMap::new();
        for stratum in strata {
            let counts = compare(stratum);
            if !counts.has_both_versions() {
                continue;
            }
            self.old.add(tally(counts.old));
            self.new.add(tally(counts.new));
            let parts = self.ratios(counts, stratum.has_uneven_load);
            for scope in scopes_of(stratum) {
                let sums = ratios.entry(scope).or_default();
                sums.iter_mut()
                    .zip(parts)
                    .for_each(|(sum, part)| *sum += part);
            }
        }
        for (scope, ratios) in ratios {
            self.scope(scope).detector.update(ratios);
        }
    }

    /// Gives more prior weight to a fault that begins in the next window.
    pub(super) fn expect_fault(&mut self) {
        let scopes = self.scopes.values_mut();
        scopes.for_each(|s| s.detector.expect_fault());
    }

    /// The natural logarithm of the weighted sum of the evidence of all scopes.
    pub(super) fn log_evidence(&self) -> f64 {
        let scopes = self.scopes.values();
        let parts = scopes.map(|s| s.weight.ln() + s.detector.log_evidence());
        parts.fold(f64::NEG_INFINITY, log_add)
    }

    fn ratios(&self, counts: Comparison, has_uneven_load: bool) -> [f64; 4] {
        let factor = if has_uneven_load {
            UNEVEN_LOAD_FACTOR
        } else {
            1.0
        };
        let margin = self.odds.margin * factor;
        let faults = self.odds.faults.map(|odds| odds * factor);
        faults.map(|odds| split_ratio(counts.old, counts.new, margin, odds))
    }

    fn scope(&mut self, scope: Scope) -> &mut ScopeTest {
        let windows = self.windows;
        let zones = &mut self.zones;
        self.scopes
            .entry(scope)
            .or_insert_with_key(|scope| ScopeTest {
                weight: weight(scope, zones),
                detector: Detector::new(windows),
            })
    }
}

/// Prior weight of a scope; `zones` counts the zones so far. The weights of all
/// scopes sum to at most 1, for any number of zones.
fn weight(scope: &Scope, zones: &mut u32) -> f64 {
    match scope {
        Scope::Everywhere => EVERYWHERE_WEIGHT,
        Scope::Load(_) => LOAD_WEIGHT,
        Scope::Zone(_) => {
            *zones += 1;
            ZONE_WEIGHT / (f64::from(*zones) * f64::from(*zones + 1))
        }
    }
}

fn scopes_of(stratum: &Stratum) -> [Scope; 3] {
    [
        Scope::Everywhere,
        Scope::Zone(stratum.zone.clone()),
        Scope::Load(stratum.load),
    ]
}

fn tally(side: Counts) -> Tally {
    Tally {
        requests: side.requests as u64,
        affected: side.affected as u64,
    }
}
