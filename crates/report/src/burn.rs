//! Burn rates, and the alerts that follow from them.

use crate::tally::{Tally, Window};
use crate::{Objective, tally};
use serde::Serialize;
use std::fmt;

/// What an objective is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Share of requests that succeed.
    Availability,
    /// Share of answered requests within the latency bound.
    Latency,
}

impl fmt::Display for Indicator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Availability => "availability",
            Self::Latency => "latency",
        })
    }
}

/// Requests and burn rates of one window.
///
/// A burn rate of 1 spends exactly the budget of the period by its end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Its requests.
    pub tally: Tally,
    /// Burn rate of the availability; `None` without requests or an objective.
    pub availability: Option<f64>,
    /// Burn rate of the latency; `None` without answers or an objective.
    pub latency: Option<f64>,
}

impl WindowBurn {
    /// The burn rates of `tally`.
    pub fn new(window: Window, tally: Tally, objective: Option<&Objective>) -> Self {
        let rates = objective.map(|o| rates(&tally, o)).unwrap_or_default();
        Self {
            window,
            tally,
            availability: rates.availability,
            latency: rates.latency,
        }
    }

    /// The burn rate of an indicator.
    pub fn rate(&self, indicator: Indicator) -> Option<f64> {
        match indicator {
            Indicator::Availability => self.availability,
            Indicator::Latency => self.latency,
        }
    }
}

/// Burn rates of some requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Of the availability.
    pub availability: Option<f64>,
    /// Of the latency.
    pub latency: Option<f64>,
}

/// The burn rates of `tally` against `objective`.
pub fn rates(tally: &Tally, objective: &Objective) -> Rates {
    Rates {
        availability: tally.bad_share().map(|s| s / objective.failure_budget()),
        latency: tally.slow_share().map(|s| s / objective.latency_budget()),
    }
}

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Speed {
    /// The budget of 30 days is spent in about two days.
    Fast,
    /// The budget of 30 days is spent in about five days.
    Slow,
}

/// A rule: both windows burn at the rate or above.
///
/// The short window ends the alert soon after the fault has ended.
struct Rule {
    speed: Speed,
    rate: f64,
    long: Window,
    short: Window,
}

/// Burn rate of the fast alert.
pub const FAST_RATE: f64 = 14.4;
/// Burn rate of the slow alert.
pub const SLOW_RATE: f64 = 6.0;

const RULES: [Rule; 2] = [
    Rule {
        speed: Speed::Fast,
        rate: FAST_RATE,
        long: tally::WINDOWS[2],
        short: tally::WINDOWS[0],
    },
    Rule {
        speed: Speed::Slow,
        rate: SLOW_RATE,
        long: tally::WINDOWS[3],
        short: tally::WINDOWS[1],
    },
];

/// An alert that fires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// What burns.
    pub indicator: Indicator,
    /// How urgent it is.
    pub speed: Speed,
    /// The long window.
    pub long: Window,
    /// Burn rate over the long window.
    pub long_rate: f64,
    /// The short window.
    pub short: Window,
    /// Burn rate over the short window.
    pub short_rate: f64,
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let speed = match self.speed {
            Speed::Fast => "fast",
            Speed::Slow => "slow",
        };
        let (long, short) = (self.long.name, self.short.name);
        write!(
            f,
            "{speed} burn of {}: {:.1} over {long} and {:.1} over {short}",
            self.indicator, self.long_rate, self.short_rate
        )
    }
}

/// The alerts that fire for the burn rates of one service.
pub fn alerts(burns: &[WindowBurn]) -> Vec<Alert> {
    let indicators = [Indicator::Availability, Indicator::Latency];
    let each = indicators
        .iter()
        .flat_map(|i| RULES.iter().map(move |rule| (*i, rule)));
    each.filter_map(|(indicator, rule)| alert(burns, indicator, rule))
        .collect()
}

fn alert(burns: &[WindowBurn], indicator: Indicator, rule: &Rule) -> Option<Alert> {
    let rate = |window: Window| {
        let burn = burns.iter().find(|b| b.window == window)?;
        burn.rate(indicator).filter(|r| *r >= rule.rate)
    };
    Some(Alert {
        indicator,
        speed: rule.speed,
        long: rule.long,
        long_rate: rate(rule.long)?,
        short: rule.short,
        short_rate: rate(rule.short)?,
    })
}
