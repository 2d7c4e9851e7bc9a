//! Validates a single service or route of a ticket.

use super::{
    Context, MAX_DEADLINE, MAX_METHOD_LEN, MAX_METHODS, MAX_PREFIX_LEN, MAX_TIMEOUT_MS,
    MAX_VERSIONS, MAX_WEIGHTS, MIN_DEADLINE,
};
use crate::ticket::{RolloutRequest, RouteChange, VersionTarget};
use crate::{Item, Problem, Reason};
use knapweed_world::UnixMillis;
use knapweed_world::config::{Caution, RolloutTerms, VersionShare};
use std::collections::BTreeSet;
use std::time::Duration;

/// Parameters of a rollout without the shares from which it starts.
pub(super) struct PartialTerms {
    start: UnixMillis,
    deadline: UnixMillis,
    min_old_capacity: u8,
    caution: Caution,
}

impl PartialTerms {
    pub(super) fn starting_from(&self, from: Vec<VersionShare>) -> RolloutTerms {
        RolloutTerms {
            start: self.start,
            deadline: self.deadline,
            min_old_capacity: self.min_old_capacity,
            caution: self.caution,
            from,
        }
    }
}

/// Validates one item and appends its problems to a list.
pub(super) struct ItemCheck<'a> {
    item: Item,
    problems: &'a mut Vec<Problem>,
}

impl<'a> ItemCheck<'a> {
    pub(super) fn new(item: Item, problems: &'a mut Vec<Problem>) -> Self {
        Self { item, problems }
    }

    fn report(&mut self, reason: Reason) {
        let item = self.item.clone();
        self.problems.push(Problem { item, reason });
    }
}

/// Validation of a service.
impl ItemCheck<'_> {
    pub(super) fn check_versions(&mut self, versions: &[VersionTarget]) {
        let sum = versions.iter().map(|v| u32::from(v.share)).sum();
        if sum != 100 {
            self.report(Reason::ShareSum { sum });
        }
        let (count, max) = (versions.len(), MAX_VERSIONS);
        if count > max {
            self.report(Reason::TooManyVersions { count, max });
        }
        let mut seen = BTreeSet::new();
        if let Some(v) = versions.iter().find(|v| !seen.insert(&v.version)) {
            let version = v.version.clone();
            self.report(Reason::DuplicateVersion { version });
        }
    }

    pub(super) fn terms(&mut self, req: Option<&RolloutRequest>, cx: &Context<'_>) -> PartialTerms {
        let defaults = cx.defaults;
        let none = RolloutRequest::default();
        let req = req.unwrap_or(&none);
        let min_old_capacity = req.min_old_capacity.unwrap_or(defaults.min_old_capacity);
        if min_old_capacity > 100 {
            let percent = min_old_capacity;
            self.report(Reason::CapacityOutOfRange { percent });
        }
        PartialTerms {
            start: cx.now,
            deadline: self.deadline(req, cx),
            min_old_capacity,
            caution: req.caution.unwrap_or(defaults.caution),
        }
    }

    fn deadline(&mut self, req: &RolloutRequest, cx: &Context<'_>) -> UnixMillis {
        let after = |s| cx.now.after(Duration::from_secs(s));
        let deadline = match (req.deadline_s, req.deadline) {
            (Some(_), Some(deadline)) => {
                self.report(Reason::TwoDeadlines);
                return deadline;
            }
            (Some(s), None) => after(s),
            (None, Some(deadline)) => deadline,
            (None, None) => cx.now.after(cx.defaults.deadline),
        };
        let left = deadline.since(cx.now);
        if deadline < cx.now {
            self.report(Reason::DeadlinePassed { deadline });
        } else if left < MIN_DEADLINE {
            let left_ms = left.as_millis() as u64;
            let least_s = MIN_DEADLINE.as_secs();
            self.report(Reason::DeadlineTooShort { left_ms, least_s });
        } else if left > MAX_DEADLINE {
            let left_s = left.as_secs();
            let most_s = MAX_DEADLINE.as_secs();
            self.report(Reason::DeadlineTooFar { left_s, most_s });
        }
        deadline
    }
}

/// Validation of a route.
impl ItemCheck<'_> {
    pub(super) fn check_route(&mut self, route: &RouteChange) {
        self.check_prefix(&route.path_prefix);
        let (timeout_ms, max_ms) = (route.timeout_ms, MAX_TIMEOUT_MS);
        if !(1..=max_ms).contains(&timeout_ms) {
            self.report(Reason::TimeoutOutOfRange { timeout_ms, max_ms });
        }
        let weights = route.destinations();
        let sum: u64 = weights.iter().map(|d| u64::from(d.weight)).sum();
        if sum == 0 || sum > MAX_WEIGHTS {
            let max = MAX_WEIGHTS;
            self.report(Reason::WeightsOutOfRange { sum, max });
        }
        let mut seen = BTreeSet::new();
        if let Some(d) = weights.iter().find(|d| !seen.insert(&d.service)) {
            let service = d.service.clone();
            self.report(Reason::DuplicateDestination { service });
        }
        if route.objective_ms == Some(0) {
            self.report(Reason::ZeroObjective);
        }
        if route.max_attempts == Some(0) {
            self.report(Reason::ZeroAttempts);
        }
        let methods = &route.idempotent_methods;
        if methods.len() > MAX_METHODS || !methods.iter().all(|m| is_method(m)) {
            self.report(Reason::BadMethods { max: MAX_METHODS });
        }
    }

    fn check_prefix(&mut self, prefix: &str) {
        if !prefix.starts_with('/') {
            self.report(Reason::PrefixWithoutSlash);
            return;
        }
        let (len, max) = (prefix.len(), MAX_PREFIX_LEN);
        if len > max {
            self.report(Reason::PrefixTooLong { len, max });
        }
        if let Some(index) = prefix.bytes().position(|b| !is_path_byte(b)) {
            self.report(Reason::BadPrefix { index });
        }
    }
}

fn is_path_byte(b: u8) -> bool {
    b.is_ascii_graphic() && !matches!(b, b'?' | b'#')
}

fn is_method(method: &str) -> bool {
    let letters = method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
    letters && (1..=MAX_METHOD_LEN).contains(&method.len())
}
