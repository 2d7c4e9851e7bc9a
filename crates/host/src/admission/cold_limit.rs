//! Limit on the rate of requests to a backend server that is cold.
//!
//! Load pattern: a backend server that has just started, or comes back, is slow for some
//! seconds and crashes under its usual load. All of its requests pass the egress of its host,
//! which limits them by a token bucket until the backend server has said that it is warm.

use super::LimitChange;
use knapweed_world::{RequestRate, Time};
use std::time::Duration;

/// Whether a backend server is cold, by what it last stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdStart {
    /// It counts as cold until a newer statement says otherwise.
    Unstated,
    /// It is cold until this time, counted from its last statement.
    Until(Time),
}

impl ColdStart {
    /// A backend server that is warm.
    pub const WARM: Self = Self::Until(Time(0));

    /// The state after a statement that was true at `at`, with the time that was left of the
    /// cold start.
    pub fn stated(left: Duration, at: Time) -> Self {
        match left.is_zero() {
            true => Self::WARM,
            false => Self::Until(at.after(left)),
        }
    }

    /// Whether the backend server counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        match self {
            Self::Unstated => true,
            Self::Until(end) => now < *end,
        }
    }
}

/// What a deployment allows a cold backend server to get beyond its limit, in any one second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdAllowance {
    /// Further requests in percent of the limit.
    pub percent: u16,
    /// Further requests besides.
    pub slack: u16,
}

impl ColdAllowance {
    /// Requests that may be sent at once: half of the allowance, since those on their way
    /// when the backend server became cold count too.
    pub fn burst(&self, limit: RequestRate) -> u16 {
        let part = limit.as_f64() * f64::from(self.percent) / 100.0;
        // The conversion saturates.
        let burst = (part + f64::from(self.slack)) / 2.0;
        (burst as u16).max(1)
    }
}

/// The limit in force on a backend server: the lower of the one that it names in its answers
/// and the one of its cold start.
pub fn in_force(
    named: Option<RequestRate>,
    cold: Option<RequestRate>,
    allowance: ColdAllowance,
) -> LimitChange {
    match (named, cold) {
        (None, None) => LimitChange::Unlimited,
        (Some(named), None) => LimitChange::Limited(named),
        (named, Some(cold)) => LimitChange::Bounded {
            rate: named.map_or(cold, |named| named.min(cold)),
            burst: allowance.burst(cold),
        },
    }
}
