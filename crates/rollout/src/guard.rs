//! The guard at an egress: refuses a new version's share on its own host when
//! the version clearly fails there, without any control traffic.

use crate::judge::{Fault, FaultKind, Tally};
use crate::likelihood::{Pair, rate_ratio};
use crate::{Epoch, Phase, RolloutState};
use knapweed_world::{Name, TicketNumber, Time};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lowest failure rate that counts as usual.
const USUAL_FAILURES: f64 = 0.01;
/// Factor on the baseline's failure rate that is no fault.
const MARGIN: f64 = 2.0;
/// Usual failure rate above which no version is told from another.
const MAX_USUAL_FAILURES: f64 = 0.3;
/// Factors on the usual failure rate that the guard looks for.
const FACTORS: [f64; 2] = [4.0, 25.0];
/// Highest failure rate that the guard looks for.
const MAX_FAULT: f64 = 0.9;
/// Fewest failures on a route to trip. A few more than the likelihood needs for
/// a total failure, so that the judge gets enough of them to decide, too.
const MIN_FAILURES: u64 = 12;
/// Times that the guard lets the new version be tried again for a recheck. With
/// the first time this stays within 60 failed requests.
const MAX_REARMS: u32 = 2;
/// Requests of the old version that the local baseline remembers.
const BASELINE_REQUESTS: f64 = 200.0;
/// Requests after which the prior weight of a late fault shrinks further.
const PRIOR_BLOCK: f64 = 50.0;
/// A published baseline counts for this long after it was received.
const BASELINE_LIFE: Duration = Duration::from_secs(5);

new_key_type! {
    /// Key of a route in the guard that made it.
    pub struct GuardRouteKey;
}

/// Settings of [`Guard`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Bound on the probability of a false alarm per rollout and egress.
    pub alpha: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { alpha: 0.0001 }
    }
}

/// Outcomes of one service at one egress during the rollout of one ticket.
///
/// Once it has tripped it stays so until rollout control asks for a recheck, the
/// guard of another ticket replaces it, or the rollout is complete and the guard
/// is dropped. Trips are reported with the counters.
#[derive(Clone, Debug)]
pub struct Guard {
    ticket: TicketNumber,
    options: Options,
    routes: SlotMap<GuardRouteKey, RouteGuard>,
    names: BTreeMap<Name, GuardRouteKey>,
    fault: Option<Fault>,
    epoch: Epoch,
    rearms: u32,
}

impl Guard {
    /// A guard for the rollout by `ticket`.
    pub fn new(ticket: TicketNumber, options: Options) -> Self {
        Self {
            ticket,
            options,
            routes: SlotMap::with_key(),
            names: BTreeMap::new(),
            fault: None,
            epoch: Epoch::default(),
            rearms: 0,
        }
    }

    /// Takes the state that the node applies. When rollout control holds after
    /// the guard tripped, it wants the versions compared side by side: the guard
    /// then admits the new version again, at most [`MAX_REARMS`] times.
    pub fn apply(&mut self, state: &RolloutState) {
        if state.ticket != self.ticket || state.epoch <= self.epoch {
            return;
        }
        self.epoch = state.epoch;
        let is_recheck = matches!(state.phase, Phase::Holding(_));
        if is_recheck && self.fault.is_some() && self.rearms < MAX_REARMS {
            self.rearms += 1;
            self.fault = None;
            self.routes.values_mut().for_each(RouteGuard::restart);
        }
    }

    /// The ticket whose new version it guards against.
    pub fn ticket(&self) -> TicketNumber {
        self.ticket
    }

    /// The key of a route. The routes share the bound in the order of their
    /// first requests, as in the judge.
    pub fn route(&mut self, name: &Name) -> GuardRouteKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let nth = self.names.len() as f64;
        let part = 1.0 / ((nth + 1.0) * (nth + 2.0));
        let threshold = -(self.options.alpha * part).ln();
        let key = self.routes.insert(RouteGuard::new(threshold));
        self.names.insert(name.clone(), key);
        key
    }

    /// Takes the rate at which the old version fails elsewhere, as rollout
    /// control publishes it.
    pub fn baseline(&mut self, route: GuardRouteKey, old: Tally, now: Time) {
        if let Some(route) = self.routes.get_mut(route) {
            route.published = Some(Published { old, at: now });
        }
    }

    /// Counts a request that the old version ran on this host.
    pub fn old(&mut self, route: GuardRouteKey, failed: bool) {
        if let Some(route) = self.routes.get_mut(route) {
            route.count_old(failed);
        }
    }

    /// Counts a request that the new version ran on this host.
    pub fn new_version(&mut self, route: GuardRouteKey, failed: bool, now: Time) {
        let Some(test) = self.routes.get_mut(route) else {
            return;
        };
        test.count_new(failed, now);
        if self.fault.is_none() && test.is_over() {
            let name = self.names.iter().find(|(_, key)| **key == route);
            self.fault = name.map(|(name, _)| test.fault(name));
        }
    }

    /// Whether the new version's server on this host may get requests.
    pub fn admits(&self) -> bool {
        self.fault.is_none()
    }

    /// The fault that tripped the guard.
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }
}

/// A baseline that rollout control published.
#[derive(Clone, Copy, Debug)]
struct Published {
    old: Tally,
    at: Time,
}

/// Outcomes on one route.
#[derive(Clone, Debug)]
struct RouteGuard {
    threshold: f64,
    sums: [f64; 2],
    new: Tally,
    old: Tally,
    local_rate: f64,
    published: Option<Published>,
}

impl RouteGuard {
    fn new(threshold: f64) -> Self {
        Self {
            threshold,
            sums: [0.0; 2],
            new: Tally::default(),
            old: Tally::default(),
            local_rate: 0.0,
            published: None,
        }
    }

    fn restart(&mut self) {
        self.sums = [0.0; 2];
        self.new = Tally::default();
    }

    fn count_old(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.local_rate += (sample - self.local_rate) / BASELINE_REQUESTS;
        self.old.add(one(failed));
    }

    fn count_new(&mut self, failed: bool, now: Time) {
        let null = self.usual_rate(now);
        let weight = prior_weight(self.new.requests) / FACTORS.len() as f64;
        self.new.add(one(failed));
        if null > MAX_USUAL_FAILURES {
            return;
        }
        let seen = Pair::new(1, u64::from(failed));
        for (sum, factor) in self.sums.iter_mut().zip(FACTORS) {
            let fault = (null * factor).min(MAX_FAULT);
            *sum = (*sum + weight) * rate_ratio(seen, null, fault).exp();
        }
    }

    fn usual_rate(&self, now: Time) -> f64 {
        let fresh = |p: &Published| now.since(p.at) <= BASELINE_LIFE && p.old.requests > 0;
        let published = self.published.filter(fresh);
        let elsewhere = published.map_or(0.0, |p| p.old.affected as f64 / p.old.requests as f64);
        (elsewhere.max(self.local_rate) * MARGIN).max(USUAL_FAILURES)
    }

    fn is_over(&self) -> bool {
        let evidence = self.sums.iter().sum::<f64>().ln();
        self.new.affected >= MIN_FAILURES && evidence >= self.threshold
    }

    fn fault(&self, route: &Name) -> Fault {
        Fault {
            kind: FaultKind::Failures,
            route: route.clone(),
            new: self.new,
            old: self.old,
        }
    }
}

/// Weight of a fault that begins with request `nth`: half for the first, the
/// rest falls with the square of the number of blocks. The sum is at most 1.
fn prior_weight(nth: u64) -> f64 {
    if nth == 0 {
        return 0.5;
    }
    let block = (nth as f64 / PRIOR_BLOCK).floor();
    0.5 / ((block + 1.0) * (block + 2.0) * PRIOR_BLOCK)
}

fn one(failed: bool) -> Tally {
    Tally {
        requests: 1,
        affected: u64::from(failed),
    }
}
