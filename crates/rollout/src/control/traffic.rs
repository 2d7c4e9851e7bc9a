//! What the reports and the announced capacity say about a move.

use crate::capacity::{self, ZoneCapacity};
use crate::counters::Counters;
use crate::report::{Inbox, ZoneReport};
use crate::state::RolloutState;
use knapweed_world::{Name, Share, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Routes with less than this part of the service's requests, in percent, do
/// not hold up the evidence: all there are is enough.
const MINOR_ROUTE_PERCENT: u64 = 2;
/// The rate of requests is known after this much observation.
const RATE_TIME: Duration = Duration::from_secs(3);
/// New servers with this part of the old capacity, in percent, carry all of the
/// traffic: a fleet keeps at least this headroom for the loss of servers.
const ENOUGH_CAPACITY_PERCENT: u64 = 75;

/// Largest share of the old versions while a suspicion is checked. At even
/// shares a difference shows soonest.
const RECHECK_OLD_LIMIT: Share = Share(5_000);

/// Requests on one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCount {
    all: u64,
    new_in_step: u64,
}

/// Reports and capacity of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    inbox: Inbox,
    capacity: Vec<ZoneCapacity>,
    most_old_slots: u64,
    needed_slots: u64,
    routes: BTreeMap<Name, RouteCount>,
    first_report: Option<Time>,
}

/// Input.
impl Traffic {
    /// Whether the report is new.
    pub(super) fn accept(&mut self, report: &ZoneReport, now: Time) -> bool {
        self.inbox.accept(report, now)
    }

    /// Counts the requests of a window.
    pub(super) fn count(&mut self, counters: &Counters, new: &[Name], now: Time) {
        self.first_report.get_or_insert(now);
        for (id, series) in counters.iter() {
            let count = self.routes.entry(id.route.clone()).or_default();
            count.all += series.requests;
            if new.contains(&id.version) {
                count.new_in_step += series.requests;
            }
        }
    }

    /// Takes the ready servers.
    pub(super) fn set_capacity(&mut self, capacity: Vec<ZoneCapacity>) {
        self.capacity = capacity;
    }

    /// Starts to count for the next share.
    pub(super) fn next_step(&mut self) {
        for count in self.routes.values_mut() {
            count.new_in_step = 0;
        }
    }

    /// Starts to count for the next ticket; reachability stays known.
    pub(super) fn next_ticket(&mut self) {
        self.routes.clear();
        self.first_report = None;
        self.most_old_slots = 0;
        self.needed_slots = 0;
    }
}

/// Access.
impl Traffic {
    /// Whether each zone with ready servers sends reports.
    pub(super) fn hears_all_zones(&self, now: Time) -> bool {
        let mut zones = self.capacity.iter().map(|c| &c.zone);
        zones.all(|zone| self.inbox.is_reachable(zone, now))
    }

    /// The ready servers.
    pub(super) fn capacity(&self) -> &[ZoneCapacity] {
        &self.capacity
    }

    /// Whether the ready servers were announced.
    pub(super) fn knows_capacity(&self) -> bool {
        !self.capacity.is_empty()
    }

    /// Number of availability zones with ready servers.
    pub(super) fn zones(&self) -> u64 {
        let zones: BTreeSet<&Name> = self.capacity.iter().map(|c| &c.zone).collect();
        zones.len() as u64
    }

    /// Ready slots of `versions`.
    pub(super) fn slots(&self, versions: &[Name]) -> u64 {
        capacity::slots(&self.capacity, versions, None)
    }

    /// The share that the ready new servers can carry, measured by the slots
    /// that the old ones used in this move.
    pub(super) fn capacity_share(&mut self, state: &RolloutState) -> Share {
        let new = self.slots(&state.new_versions());
        let old = self.slots(&state.old_versions());
        self.most_old_slots = self.most_old_slots.max(old);
        self.needed_slots = self.needed_slots.max(self.slots_in_use(state));
        if new * 100 >= self.needed_slots * ENOUGH_CAPACITY_PERCENT && new > 0 {
            return Share::ALL;
        }
        let share = new * u64::from(Share::ALL.0) / self.needed_slots.max(1);
        Share(share as u16)
    }

    /// Slots for all of the traffic, judged by the old version that carried its
    /// share at the start with the fewest slots. Old versions that are ready for
    /// more than their share do not raise the need.
    fn slots_in_use(&self, state: &RolloutState) -> u64 {
        let old = state.old_versions();
        let from = state.terms.from.iter();
        let old = from.filter(|s| s.share > Share::NONE && old.contains(&s.version));
        let scaled = old.map(|s| {
            let slots = self.slots(std::slice::from_ref(&s.version));
            slots * u64::from(Share::ALL.0) / u64::from(s.share.0)
        });
        scaled.filter(|slots| *slots > 0).min().unwrap_or(0)
    }

    /// The share at which old and new versions are compared again after the last
    /// step: half, or less for the old versions when fewer of their servers are
    /// left. `None` when none is left.
    pub(super) fn recheck_share(&self, state: &RolloutState) -> Option<Share> {
        let old = self.slots(&state.old_versions());
        let left = old * u64::from(Share::ALL.0) / self.most_old_slots.max(1);
        let old_share = left.min(u64::from(RECHECK_OLD_LIMIT.0)) as u16;
        (old_share > 0).then(|| Share(Share::ALL.0 - old_share))
    }

    /// Requests of the new versions at this share, on the route with fewest.
    pub(super) fn step_requests(&self) -> u64 {
        let counts = self.major_routes().map(|c| c.new_in_step);
        counts.min().unwrap_or(0)
    }

    /// Requests a minute on the route with fewest, once it is known.
    pub(super) fn requests_per_minute(&self, now: Time) -> Option<u64> {
        let time = now.since(self.first_report?);
        if time < RATE_TIME {
            return None;
        }
        let fewest = self.major_routes().map(|c| c.all).min()?;
        Some((u128::from(fewest) * 60_000 / time.as_millis()) as u64)
    }

    fn major_routes(&self) -> impl Iterator<Item = &RouteCount> {
        let all: u64 = self.routes.values().map(|c| c.all).sum();
        let is_major = move |c: &&RouteCount| c.all * 100 >= all * MINOR_ROUTE_PERCENT;
        self.routes.values().filter(is_major)
    }
}
