//! Reports and announced capacity of one service, and the figures that planning a
//! rollout needs from them.

use crate::capacity::{self, ZoneCapacity};
use crate::counters::Counters;
use crate::report::{ReportFilter, ZoneReport};
use crate::state::RolloutState;
use knapweed_world::{Name, Share, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Routes with less than this part of the service's requests, in percent, do
/// not delay a step: however few requests they get suffice as evidence.
const MINOR_ROUTE_PERCENT: u64 = 2;
/// The rate of requests is computed after this much observation.
const RATE_OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// New servers with this part of the old capacity, in percent, can carry all of
/// the traffic, because a fleet keeps at least the remainder as headroom for the
/// loss of servers.
const FULL_CAPACITY_PERCENT: u64 = 75;

/// Largest share of the old versions during a recheck. A difference between the
/// versions shows soonest when their shares are equal.
const RECHECK_OLD_LIMIT: Share = Share(5_000);

/// Requests on one route: all since the rollout started, and those to the new
/// versions at the current share.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCount {
    total: u64,
    new_at_share: u64,
}

/// Collects the reports and the capacity of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    reports: ReportFilter,
    capacity: Vec<ZoneCapacity>,
    max_old_slots: u64,
    needed_slots: u64,
    routes: BTreeMap<Name, RouteCount>,
    first_report: Option<Time>,
}

/// Updates from reports and announced capacity.
impl Traffic {
    /// Registers a report. Returns false for a repeated or outdated one, which must
    /// not be counted.
    pub(super) fn accept(&mut self, report: &ZoneReport, now: Time) -> bool {
        self.reports.accept(report, now)
    }

    /// Counts the requests of a window per route.
    pub(super) fn count(&mut self, counters: &Counters, new: &[Name], now: Time) {
        self.first_report.get_or_insert(now);
        for (id, series) in counters.iter() {
            let count = self.routes.entry(id.route.clone()).or_default();
            count.total += series.requests;
            if new.contains(&id.version) {
                count.new_at_share += series.requests;
            }
        }
    }

    /// Replaces the list of ready servers.
    pub(super) fn set_capacity(&mut self, capacity: Vec<ZoneCapacity>) {
        self.capacity = capacity;
    }

    /// Resets the counts of the current share.
    pub(super) fn next_step(&mut self) {
        for count in self.routes.values_mut() {
            count.new_at_share = 0;
        }
    }

    /// Resets all counts for the next ticket; the reachability of zones is kept.
    pub(super) fn next_ticket(&mut self) {
        self.routes.clear();
        self.first_report = None;
        self.max_old_slots = 0;
        self.needed_slots = 0;
    }
}

/// Capacity, reachability and rates.
impl Traffic {
    /// Whether every zone with ready servers is reachable, that is, sends reports.
    pub(super) fn all_zones_reachable(&self, now: Time) -> bool {
        let mut zones = self.capacity.iter().map(|c| &c.zone);
        zones.all(|zone| self.reports.is_reachable(zone, now))
    }

    /// Ready slots per availability zone and version.
    pub(super) fn capacity(&self) -> &[ZoneCapacity] {
        &self.capacity
    }

    /// Whether any ready servers have been announced.
    pub(super) fn has_capacity(&self) -> bool {
        !self.capacity.is_empty()
    }

    /// Number of availability zones with ready servers.
    pub(super) fn zones(&self) -> u64 {
        let zones: BTreeSet<&Name> = self.capacity.iter().map(|c| &c.zone).collect();
        zones.len() as u64
    }

    /// Ready slots of `versions` in all availability zones.
    pub(super) fn slots(&self, versions: &[Name]) -> u64 {
        capacity::slots(&self.capacity, versions, None)
    }

    /// The share that the ready new servers can carry, relative to the most slots
    /// that the old ones needed in this rollout.
    pub(super) fn capacity_share(&mut self, state: &RolloutState) -> Share {
        let new = self.slots(&state.new_versions());
        let old = self.slots(&state.old_versions());
        self.max_old_slots = self.max_old_slots.max(old);
        self.needed_slots = self.needed_slots.max(self.slots_for_all_traffic(state));
        if new * 100 >= self.needed_slots * FULL_CAPACITY_PERCENT && new > 0 {
            return Share::ALL;
        }
        let share = new * u64::from(Share::ALL.0) / self.needed_slots.max(1);
        Share(share as u16)
    }

    /// Slots needed for all of the traffic, extrapolated from the old version that
    /// has the fewest slots for its share at the start. Old versions that are
    /// overprovisioned for their share do not raise the result. While an old version has no
    /// servers, the others say nothing: one with a small share may have many.
    fn slots_for_all_traffic(&self, state: &RolloutState) -> u64 {
        let old = state.old_versions();
        let from = state.terms.from.iter();
        let old = from.filter(|s| s.share > Share::NONE && old.contains(&s.version));
        let scaled = old.map(|s| {
            let slots = self.slots(std::slice::from_ref(&s.version));
            slots * u64::from(Share::ALL.0) / u64::from(s.share.0)
        });
        scaled.min().unwrap_or(0)
    }

    /// The progress at which old and new versions are compared again after the last
    /// step: half, or more if fewer servers of the old versions are left. `None` if
    /// none of them is left.
    pub(super) fn recheck_share(&self, state: &RolloutState) -> Option<Share> {
        let old = self.slots(&state.old_versions());
        let left = old * u64::from(Share::ALL.0) / self.max_old_slots.max(1);
        let old_share = left.min(u64::from(RECHECK_OLD_LIMIT.0)) as u16;
        (old_share > 0).then(|| Share(Share::ALL.0 - old_share))
    }

    /// Requests to the new versions at the current share, on the major route with
    /// the fewest.
    pub(super) fn step_requests(&self) -> u64 {
        let counts = self.major_routes().map(|c| c.new_at_share);
        counts.min().unwrap_or(0)
    }

    /// Requests per minute on the major route with the fewest; `None` before
    /// [`RATE_OBSERVATION_TIME`] has passed.
    pub(super) fn requests_per_minute(&self, now: Time) -> Option<u64> {
        let time = now.since(self.first_report?);
        if time < RATE_OBSERVATION_TIME {
            return None;
        }
        let fewest = self.major_routes().map(|c| c.total).min()?;
        Some((u128::from(fewest) * 60_000 / time.as_millis()) as u64)
    }

    fn major_routes(&self) -> impl Iterator<Item = &RouteCount> {
        let total: u64 = self.routes.values().map(|c| c.total).sum();
        let is_major = move |c: &&RouteCount| c.total * 100 >= total * MINOR_ROUTE_PERCENT;
        self.routes.values().filter(is_major)
    }
}
