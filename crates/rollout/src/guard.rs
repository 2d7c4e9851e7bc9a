//! The guard at an egress: a circuit breaker for the new version. When the new
//! version clearly fails on this host, the guard stops sending requests to its
//! server here, without any communication with rollout control.

use crate::judge::{Fault, FaultKind, Tally};
use crate::likelihood::{Counts, rate_ratio};
use crate::{Epoch, Phase, RolloutState};
use knapweed_world::{Name, TicketNumber, Time};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lowest baseline failure rate that is assumed.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.01;
/// Factor on the failure rate of the old version up to which the new version is
/// not at fault.
const BASELINE_MARGIN: f64 = 2.0;
/// Baseline failure rate above which the versions cannot be distinguished, so that
/// requests are not evaluated.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.3;
/// Failure rates that the guard tests for, as factors on the baseline failure rate.
const FAULT_FACTORS: [f64; 2] = [4.0, 25.0];
/// Highest failure rate that the guard tests for.
const MAX_FAULT_RATE: f64 = 0.9;
/// Fewest failures on a route to trip. The likelihood ratio needs a few less for a
/// total failure; the extra ones give the judge enough evidence to decide, too.
const MIN_FAILURES: u64 = 12;
/// How often a tripped guard admits the new version again for a recheck. Together
/// with the first trip this stays within 60 failed requests.
const MAX_REARMS: u32 = 2;
/// Number of requests over which the local failure rate of the old version is
/// averaged (exponential moving average).
const BASELINE_REQUESTS: f64 = 200.0;
/// Block size, in requests, of the prior weight of late faults: the weight falls
/// from block to block.
const PRIOR_BLOCK: f64 = 50.0;
/// A published baseline is valid for this long after it was received.
const BASELINE_TTL: Duration = Duration::from_secs(5);

new_key_type! {
    /// Key of a route, valid only in the guard that created it.
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

/// Circuit breaker for the new version of one service at one egress, during the
/// rollout of one ticket.
///
/// Once tripped, it stays open until rollout control requests a recheck, the guard
/// of another ticket replaces it, or the rollout completes and the guard is
/// dropped. Trips are reported with the counters.
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
    /// A guard for the rollout that `ticket` requested.
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

    /// Handles a new state of the rollout. If rollout control holds the rollout
    /// after the guard tripped, it compares the versions side by side: the guard
    /// then admits the new version again, at most `MAX_REARMS` times.
    pub fn apply_state(&mut self, state: &RolloutState) {
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

    /// The ticket of the guarded rollout.
    pub fn ticket(&self) -> TicketNumber {
        self.ticket
    }

    /// The key of a route. The routes share the bound on false alarms in the order
    /// of their first requests: 1/2, 1/6, 1/12 and so on, as in the judge.
    pub fn route(&mut self, name: &Name) -> GuardRouteKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let nth = self.names.len() as f64;
        let alpha_part = 1.0 / ((nth + 1.0) * (nth + 2.0));
        let threshold = -(self.options.alpha * alpha_part).ln();
        let key = self.routes.insert(RouteGuard::new(threshold));
        self.names.insert(name.clone(), key);
        key
    }

    /// Sets the counts of the old version on other hosts, as published by rollout
    /// control; `now` is when they were received.
    pub fn set_baseline(&mut self, route: GuardRouteKey, old: Tally, now: Time) {
        if let Some(route) = self.routes.get_mut(route) {
            route.published = Some(Published { old, at: now });
        }
    }

    /// Counts a request that the old version served on this host.
    pub fn record_old(&mut self, route: GuardRouteKey, failed: bool) {
        if let Some(route) = self.routes.get_mut(route) {
            route.count_old(failed);
        }
    }

    /// Counts a request that the new version served on this host, and trips the
    /// guard if the evidence of a fault suffices.
    pub fn record_new(&mut self, route: GuardRouteKey, failed: bool, now: Time) {
        let Some(test) = self.routes.get_mut(route) else {
            return;
        };
        test.count_new(failed, now);
        if self.fault.is_none() && test.exceeds_threshold() {
            let name = self.names.iter().find(|(_, key)| **key == route);
            self.fault = name.map(|(name, _)| test.fault(name));
        }
    }

    /// Whether the new version's server on this host may get requests: true until
    /// the guard trips.
    pub fn admits(&self) -> bool {
        self.fault.is_none()
    }

    /// The fault that tripped the guard; `None` while it admits requests.
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }
}

/// Counts of the old version that rollout control published, and when they arrived.
#[derive(Clone, Copy, Debug)]
struct Published {
    old: Tally,
    at: Time,
}

/// Sequential test of the failure rate on one route.
#[derive(Clone, Debug)]
struct RouteGuard {
    threshold: f64,
    likelihood_sums: [f64; 2],
    new: Tally,
    old: Tally,
    local_failure_rate: f64,
    published: Option<Published>,
}

impl RouteGuard {
    fn new(threshold: f64) -> Self {
        Self {
            threshold,
            likelihood_sums: [0.0; 2],
            new: Tally::default(),
            old: Tally::default(),
            local_failure_rate: 0.0,
            published: None,
        }
    }

    fn restart(&mut self) {
        self.likelihood_sums = [0.0; 2];
        self.new = Tally::default();
    }

    fn count_old(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.local_failure_rate += (sample - self.local_failure_rate) / BASELINE_REQUESTS;
        self.old.add(single_request(failed));
    }

    fn count_new(&mut self, failed: bool, now: Time) {
        let null = self.baseline_rate(now);
        let weight = prior_weight(self.new.requests) / FAULT_FACTORS.len() as f64;
        self.new.add(single_request(failed));
        if null > MAX_BASELINE_FAILURE_RATE {
            return;
        }
        let counts = Counts::new(1, u64::from(failed));
        for (sum, factor) in self.likelihood_sums.iter_mut().zip(FAULT_FACTORS) {
            let fault = (null * factor).min(MAX_FAULT_RATE);
            *sum = (*sum + weight) * rate_ratio(counts, null, fault).exp();
        }
    }

    fn baseline_rate(&self, now: Time) -> f64 {
        let is_valid = |p: &Published| now.since(p.at) <= BASELINE_TTL && p.old.requests > 0;
        let published = self.published.filter(is_valid);
        let published_rate =
            published.map_or(0.0, |p| p.old.affected as f64 / p.old.requests as f64);
        (published_rate.max(self.local_failure_rate) * BASELINE_MARGIN)
            .max(MIN_BASELINE_FAILURE_RATE)
    }

    fn exceeds_threshold(&self) -> bool {
        let evidence = self.likelihood_sums.iter().sum::<f64>().ln();
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

/// Prior weight of a fault that begins with request `nth`: a half for the first
/// request; the remaining weights fall with the square of the block number. The sum
/// is at most 1.
fn prior_weight(nth: u64) -> f64 {
    if nth == 0 {
        return 0.5;
    }
    let block = (nth as f64 / PRIOR_BLOCK).floor();
    0.5 / ((block + 1.0) * (block + 2.0) * PRIOR_BLOCK)
}

fn single_request(failed: bool) -> Tally {
    Tally {
        requests: 1,
        affected: u64::from(failed),
    }
}
