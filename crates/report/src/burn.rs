//! Burn rates of error budgets, and multi-window burn-rate alerts.

use crate::request_counts::{RequestCounts, Window};
use crate::{Objective, request_counts};
use serde::Serialize;
use std::fmt;

/// Service-level indicator that an objective constrains.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Ratio of requests that succeed.
    Availability,
    /// Ratio of answered requests within the latency bound.
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
/// A burn rate of 1 spends the error budget exactly by the end of its period.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Window that ends with the report.
    pub window: Window,
    /// Requests of all nodes in the window.
    pub tally: RequestCounts,
    /// Burn rate of the availability; `None` without requests or an objective.
    pub availability: Option<f64>,
    /// Burn rate of the latency; `None` without answered requests or an objective.
    pub latency: Option<f64>,
}

impl WindowBurn {
    /// Calculates the burn rates of `tally`; without an objective there are none.
    pub fn new(window: Window, tally: RequestCounts, objective: Option<&Objective>) -> Self {
        let rates = objective.map(|o| rates(&tally, o)).unwrap_or_default();
        Self {
            window,
            tally,
            availability: rates.availability,
            latency: rates.latency,
        }
    }

    /// Burn rate of `indicator`; `None` as for the fields.
    pub fn rate(&self, indicator: Indicator) -> Option<f64> {
        match indicator {
            Indicator::Availability => self.availability,
            Indicator::Latency => self.latency,
        }
    }
}

/// Burn rates of one set of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Burn rate of the availability; `None` without requests.
    pub availability: Option<f64>,
    /// Burn rate of the latency; `None` without answered requests.
    pub latency: Option<f64>,
}

/// Calculates the burn rates: the measured bad ratio over the ratio that
/// `objective` allows.
pub fn rates(counts: &RequestCounts, objective: &Objective) -> Rates {
    Rates {
        availability: counts.bad_share().map(|s| s / objective.failure_budget()),
        latency: counts.slow_share().map(|s| s / objective.latency_budget()),
    }
}

/// Urgency of an alert, by how fast the budget is spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Speed {
    /// At this rate the budget of 30 days lasts about two days.
    Fast,
    /// At this rate the budget of 30 days lasts about five days.
    Slow,
}

/// Fires when the burn rates of both windows reach the threshold.
///
/// The long window ignores short faults; the short window ends the alert soon
/// after the fault has ended.
struct AlertRule {
    speed: Speed,
    rate: f64,
    long: Window,
    short: Window,
}

/// Threshold of the fast alert, as a burn rate.
pub const FAST_RATE: f64 = 14.4;
/// Threshold of the slow alert, as a burn rate.
pub const SLOW_RATE: f64 = 6.0;

const ALERT_RULES: [AlertRule; 2] = [
    AlertRule {
        speed: Speed::Fast,
        rate: FAST_RATE,
        long: request_counts::WINDOWS[2],
        short: request_counts::WINDOWS[0],
    },
    AlertRule {
        speed: Speed::Slow,
        rate: SLOW_RATE,
        long: request_counts::WINDOWS[3],
        short: request_counts::WINDOWS[1],
    },
];

/// A firing alert, with the burn rates that reach the threshold of its rule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Alert {
    /// Indicator whose budget is being spent.
    pub indicator: Indicator,
    /// Urgency of the alert.
    pub speed: Speed,
    /// Long window of the rule.
    pub long: Window,
    /// Burn rate over the long window.
    pub long_rate: f64,
    /// Short window of the rule.
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

/// Returns the alerts that fire for the burn rates of one service.
pub fn alerts(burns: &[WindowBurn]) -> Vec<Alert> {
    let indicators = [Indicator::Availability, Indicator::Latency];
    let candidates = indicators
        .iter()
        .flat_map(|i| ALERT_RULES.iter().map(move |rule| (*i, rule)));
    candidates
        .filter_map(|(indicator, rule)| alert(burns, indicator, rule))
        .collect()
}

fn alert(burns: &[WindowBurn], indicator: Indicator, rule: &AlertRule) -> Option<Alert> {
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
