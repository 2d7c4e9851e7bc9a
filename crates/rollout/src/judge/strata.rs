//! Counts of a window, paired so that like is compared with like.

use crate::Counters;
use crate::counters::{LoadLevel, Series, Warmth};
use crate::histogram::Histogram;
use crate::judge::Trial;
use crate::likelihood::Pair;
use knapweed_world::Name;
use std::collections::BTreeMap;

/// The part of the requests of a window that counts as slow.
const SLOW_TAIL: f64 = 0.1;

/// Old and new counts of one availability zone, route and load level.
#[derive(Clone, Debug)]
pub(super) struct Stratum {
    pub(super) zone: Name,
    pub(super) load: LoadLevel,
    pub(super) old: Series,
    pub(super) new: Series,
    /// Whether some of the new counts are of a higher load than the old ones.
    pub(super) is_uneven: bool,
}

/// The strata of each route that has requests in the window.
pub(super) fn by_route(window: &Counters, trial: &Trial) -> BTreeMap<Name, Vec<Stratum>> {
    let mut routes: BTreeMap<Name, BTreeMap<Name, Vec<Stratum>>> = BTreeMap::new();
    for (id, series) in window.iter().filter(|(id, _)| id.warmth == Warmth::Warm) {
        let zones = routes.entry(id.route.clone()).or_default();
        let levels = zones.entry(id.zone.clone()).or_default();
        let stratum = of_level(levels, &id.zone, id.load);
        if trial.new.contains(&id.version) {
            stratum.new.merge(series);
        } else if trial.old.contains(&id.version) {
            stratum.old.merge(series);
        }
    }
    let routes = routes.into_iter();
    routes
        .map(|(name, zones)| (name, all_matched(zones)))
        .collect()
}

fn of_level<'a>(levels: &'a mut Vec<Stratum>, zone: &Name, load: LoadLevel) -> &'a mut Stratum {
    let found = levels.binary_search_by_key(&load, |s| s.load);
    let index = found.unwrap_or_else(|index| {
        levels.insert(index, Stratum::empty(zone.clone(), load));
        index
    });
    &mut levels[index]
}

fn all_matched(zones: BTreeMap<Name, Vec<Stratum>>) -> Vec<Stratum> {
    zones.into_values().flat_map(matched).collect()
}

/// Pairs new counts with old counts of the same load level; new counts without
/// such a pair go to the nearest higher level with old counts, otherwise to the
/// nearest lower one, which the test then treats with a wide margin.
fn matched(mut strata: Vec<Stratum>) -> Vec<Stratum> {
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
    fn empty(zone: Name, load: LoadLevel) -> Self {
        Self {
            zone,
            load,
            old: Series::default(),
            new: Series::default(),
            is_uneven: false,
        }
    }

    /// Whether there are counts of both versions.
    pub(super) fn is_paired(&self) -> bool {
        self.old.requests > 0 && self.new.requests > 0
    }

    /// Failed requests of the old and the new version.
    pub(super) fn failures(&self) -> Comparison {
        let pair = |s: &Series| Pair::new(s.requests, s.failures);
        Comparison {
            old: pair(&self.old),
            new: pair(&self.new),
        }
    }

    /// Slow requests of the old and the new version. Slow is what lies in the
    /// tail of both together, so that the limit favours neither of them.
    pub(super) fn slow(&self) -> Comparison {
        let mut both: Histogram = self.old.latency.clone();
        both.merge(&self.new.latency);
        let first = both.tail_bucket(SLOW_TAIL);
        let pair = |s: &Series| Pair::new(s.latency.count(), s.latency.count_from(first));
        Comparison {
            old: pair(&self.old),
            new: pair(&self.new),
        }
    }
}

/// Counts of the old and the new version that are compared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Comparison {
    pub(super) old: Pair,
    pub(super) new: Pair,
}
