//! Fair shares of the slots of one backend server.
//!
//! Load pattern: one organisation sends many times its usual number of requests. The
//! unit of fairness is one route of one organisation. Each has a virtual time, which
//! advances by the expected work of its queued requests, divided by its weight; the
//! request with the lowest start time runs first. A unit that demands less than its share gets
//! all it demands, and what it leaves is lent to the others.
//!
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing: A Scheduling Algorithm for
//! Integrated Services Packet Switching Networks", SIGCOMM 1996.

use knapweed_world::load::RANKS;
use knapweed_world::{Flow, Name, Rank, RequestRate};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of units above which those without a queued request are dropped.
const MAX_UNITS: usize = 1024;
/// Virtual time of a request with average work and weight, and of each request that belongs to
/// no organisation.
const ROUND: u64 = 1024;
/// Limits the effect of a service time or a weight far from the average: a request costs
/// between 1/16 of a round and 16 rounds.
const MAX_COST_RATIO: u64 = 16;

/// Organisation that a request belongs to, as the admission sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrganisationShare {
    id: u64,
    quota_rate: Option<RequestRate>,
}

impl OrganisationShare {
    /// The share of the organisation `name`. Its weight is the rate of its quota; without
    /// one it is the average of the others.
    pub fn new(name: &Name, quota_rate: Option<RequestRate>) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self {
            id: hasher.finish(),
            quota_rate: quota_rate.filter(|rate| rate.0 > 0),
        }
    }

    /// Rate of its quota; `None` without one.
    pub fn quota_rate(&self) -> Option<RequestRate> {
        self.quota_rate
    }
}

/// Unit of fair queueing: one route of one organisation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct UnitKey {
    organisation: Option<u64>,
    flow: Flow,
}

impl UnitKey {
    pub(super) fn new(organisation: Option<OrganisationShare>, flow: Flow) -> Self {
        Self {
            organisation: organisation.map(|share| share.id),
            flow,
        }
    }
}

/// Virtual times at which a queued request starts and its unit may start the next one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Turn {
    pub(super) start: u64,
    pub(super) end: u64,
}

#[derive(Clone, Copy, Debug)]
struct Unit {
    queued: u32,
    /// Virtual time at which its last queued request ends.
    end: u64,
    quota_rate: Option<RequestRate>,
}

impl Default for Unit {
    fn default() -> Self {
        Self {
            queued: 0,
            end: ROUND,
            quota_rate: None,
        }
    }
}

/// Virtual times of all units.
#[derive(Debug, Default)]
pub(super) struct Shares {
    units: BTreeMap<UnitKey, Unit>,
    /// By rank, the highest virtual start time of a queued request that has got a slot.
    now: [u64; RANKS],
    /// Sum of the quota rates of the units that have one, and the number of those units.
    rate_sum: u64,
    rated: u64,
}

impl Shares {
    /// The turn of another request of the unit, which takes `work_us` where the average
    /// request takes `mean_us`.
    pub(super) fn next_turn(
        &mut self,
        key: UnitKey,
        quota_rate: Option<RequestRate>,
        rank: Rank,
        (work_us, mean_us): (u64, u64),
    ) -> Turn {
        self.set_rate(key, quota_rate);
        let start = self.now[rank.index()].max(self.unit(key).end);
        let cost = match key.organisation {
            None => ROUND,
            Some(_) => self.cost(quota_rate, work_us, mean_us),
        };
        Turn {
            start,
            end: start + cost,
        }
    }

    pub(super) fn enqueue(&mut self, key: UnitKey, turn: Turn) {
        let unit = self.unit(key);
        unit.queued += 1;
        unit.end = unit.end.max(turn.end);
    }

    pub(super) fn dequeue(&mut self, key: UnitKey) {
        self.unit(key).queued -= 1;
    }

    /// Takes back the work of a queued request that did not run. A unit whose requests are
    /// often refused or cancelled would otherwise pay for slots that it did not get.
    ///
    /// Requests of no organisation cost a round each, whether they run or not.
    pub(super) fn refund(&mut self, key: UnitKey, turn: Turn) {
        if key.organisation.is_some() {
            self.unit(key).end -= turn.end - turn.start;
        }
    }

    /// A queued request got a slot.
    pub(super) fn start(&mut self, rank: Rank, turn: Turn) {
        let now = &mut self.now[rank.index()];
        *now = turn.start.max(*now);
    }

    fn cost(&self, quota_rate: Option<RequestRate>, work_us: u64, mean_us: u64) -> u64 {
        let work = ratio(work_us, mean_us);
        let weight = match quota_rate {
            Some(rate) if self.rated > 0 => ratio(self.rate_sum / self.rated, u64::from(rate.0)),
            _ => ROUND,
        };
        let cost = work.saturating_mul(weight) / ROUND;
        cost.clamp(ROUND / MAX_COST_RATIO, ROUND * MAX_COST_RATIO)
    }

    fn set_rate(&mut self, key: UnitKey, quota_rate: Option<RequestRate>) {
        let old = std::mem::replace(&mut self.unit(key).quota_rate, quota_rate);
        if let Some(old) = old {
            self.rate_sum -= u64::from(old.0);
            self.rated -= 1;
        }
        if let Some(new) = quota_rate {
            self.rate_sum += u64::from(new.0);
            self.rated += 1;
        }
    }

    fn unit(&mut self, key: UnitKey) -> &mut Unit {
        if self.units.len() >= MAX_UNITS && !self.units.contains_key(&key) {
            self.drop_idle();
        }
        self.units.entry(key).or_default()
    }

    fn drop_idle(&mut self) {
        self.units.retain(|_, unit| unit.queued > 0);
        let rates = self.units.values().filter_map(|unit| unit.quota_rate);
        (self.rate_sum, self.rated) =
            rates.fold((0, 0), |(sum, n), rate| (sum + u64::from(rate.0), n + 1));
    }
}

/// `a / b` in units of 1/[`ROUND`]; one where either is unknown.
fn ratio(a: u64, b: u64) -> u64 {
    match a.saturating_mul(ROUND).checked_div(b) {
        Some(ratio) if a > 0 => ratio,
        _ => ROUND,
    }
}
