//! Counts of a window, stratified by availability zone, route and load level, so
//! that the versions are compared under equal conditions.

use crate::capacity::slots;
use crate::counters::{LoadLevel, Series, Warmth};
use crate::histogram::Histogram;
use crate::judge::{ComparedVersions, Window};
use crate::likelihood::Counts;
use knapweed_world::Name;
use std::collections::BTreeMap;

/// Fraction of the requests in a window that counts as slow.
const SLOW_TAIL: f64 = 0.1;

/// New servers are overloaded when their requests per slot exceed this percentage
/// of those of the old servers.
const OVERLOAD_PERCENT: u64 = 125;

/// Old and new counts of one availability zone, route and load level.
#[derive(Clone, Debug)]
pub(super) struct Stratum {
    pub(super) zone: Name,
    pub(super) load: LoadLevel,
    pub(super) old: Series,
    pub(super) new: Series,
    /// Counts of new servers in their cold start.
    pub(super) cold: Series,
    /// Whether `new` holds counts of overloaded servers at a higher load level than
    /// those in `old`.
    pub(super) has_uneven_load: bool,
}

/// The strata of each route that has requests in the window, by route.
pub(super) fn by_route(
    window: &Window<'_>,
    compared: &ComparedVersions,
) -> BTreeMap<Name, Vec<Stratum>> {
    let mut routes: BTreeMap<Name, BTreeMap<Name, Vec<Stratum>>> = BTreeMap::new();
    let mut totals: BTreeMap<Name, Requests> = BTreeMap::new();
    for (id, series) in window.counters.iter() {
        let is_new = compared.new.contains(&id.version);
        if !is_new && !compared.old.contains(&id.version) {
            continue;
        }
        let total = totals.entry(id.zone.clone()).or_default();
        total.add(is_new, series.requests);
        let zones = routes.entry(id.route.clone()).or_default();
        let levels = zones.entry(id.zone.clone()).or_default();
        let stratum = stratum_at(levels, &id.zone, id.load);
        match id.warmth {
            Warmth::Cold if is_new => stratum.cold.merge(series),
            Warmth::Cold => {}
            Warmth::Warm => stratum.series_mut(is_new).merge(series),
        }
    }
    let is_overloaded = |zone: &Name| {
        totals
            .get(zone)
            .is_none_or(|t| t.is_overloaded(zone, window, compared))
    };
    let matched = |zones: BTreeMap<Name, Vec<Stratum>>| -> Vec<Stratum> {
        let zones = zones.into_iter();
        zones
            .flat_map(|(zone, levels)| match_load_levels(levels, is_overloaded(&zone)))
            .collect()
    };
    let routes = routes.into_iter();
    routes.map(|(name, zones)| (name, matched(zones))).collect()
}

/// Number of requests to old and new versions in one availability zone.
#[derive(Clone, Copy, Debug, Default)]
struct Requests {
    old: u64,
    new: u64,
}

impl Requests {
    fn add(&mut self, is_new: bool, requests: u64) {
        if is_new {
            self.new += requests;
        } else {
            self.old += requests;
        }
    }

    /// Whether a slot of the new version got more requests than one of the old
    /// version. If not, a higher load is caused by the new version itself.
    fn is_overloaded(&self, zone: &Name, window: &Window<'_>, compared: &ComparedVersions) -> bool {
        let old_slots = slots(window.capacity, &compared.old, Some(zone));
        let new_slots = slots(window.capacity, &compared.new, Some(zone));
        self.new * old_slots * 100 > self.old * new_slots * OVERLOAD_PERCENT
    }
}

fn stratum_at<'a>(levels: &'a mut Vec<Stratum>, zone: &Name, load: LoadLevel) -> &'a mut Stratum {
    let found = levels.binary_search_by_key(&load, |s| s.load);
    let index = found.unwrap_or_else(|index| {
        levels.insert(index, Stratum::empty(zone.clone(), load));
        index
    });
    &mut levels[index]
}

/// Moves new counts at a load level without old counts to the nearest higher level
/// that has some, or else to the nearest lower one. In the latter case the test
/// applies a wide margin if the new servers are overloaded.
fn match_load_levels(mut strata: Vec<Stratum>, is_overloaded: bool) -> Vec<Stratum> {
    for i in 0..strata.len() {
        let new_requests = strata[i].new.requests + strata[i].cold.requests;
        if new_requests == 0 || strata[i].old.requests > 0 {
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
        let moved = std::mem::take(&mut strata[i].cold);
        strata[to].cold.merge(&moved);
        strata[to].has_uneven_load |= is_overloaded && to < i;
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
            cold: Series::default(),
            has_uneven_load: false,
        }
    }

    fn series_mut(&mut self, is_new: bool) -> &mut Series {
        if is_new { &mut self.new } else { &mut self.old }
    }

    /// Failed requests of the old and the new version.
    pub(super) fn failures(&self) -> Comparison {
        let counts = |s: &Series| Counts::new(s.requests, s.failures);
        Comparison {
            old: counts(&self.old),
            new: counts(&self.new),
        }
    }

    /// Failed requests of the old version and of the new one in its cold start.
    pub(super) fn cold_failures(&self) -> Comparison {
        let counts = |s: &Series| Counts::new(s.requests, s.failures);
        Comparison {
            old: counts(&self.old),
            new: counts(&self.cold),
        }
    }

    /// Slow requests of the old and the new version: those in the tail of the merged
    /// latencies, so that the limit favours neither version.
    pub(super) fn slow(&self) -> Comparison {
        let mut both: Histogram = self.old.latency.clone();
        both.merge(&self.new.latency);
        let first = both.tail_bucket(SLOW_TAIL);
        let counts = |s: &Series| Counts::new(s.latency.count(), s.latency.count_from(first));
        Comparison {
            old: counts(&self.old),
            new: counts(&self.new),
        }
    }
}

/// Counts of the old and the new version to compare.
#[derive(Clone, Copy, Debug)]
pub(super) struct Comparison {
    pub(super) old: Counts,
    pub(super) new: Counts,
}

impl Comparison {
    /// Whether there are counts of both versions.
    pub(super) fn has_both_versions(&self) -> bool {
        self.old.requests > 0.0 && self.new.requests > 0.0
    }
}
