//! Service-level objectives and their text form in the settings.

use knapweed_world::Name;
use knapweed_world::service_counters::LATENCY_BOUNDS_US;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Microseconds in a millisecond.
const US_PER_MS: u32 = 1_000;
/// Syntax of an objective in the settings, for error messages.
const SYNTAX: &str = "AVAILABILITY LATENCY_MS SHARE, such as 99.9 50 99";

/// Reason why a text is not a valid objective.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text does not consist of three words.
    #[error("{found:?} is not an objective: expected {SYNTAX}")]
    Syntax {
        /// Text in place of the objective.
        found: String,
    },
    /// The first word is not a valid name of a service.
    #[error("{found:?} is not a service: {cause}")]
    Service {
        /// Text in place of the name.
        found: String,
        /// Reason why the name is invalid.
        cause: knapweed_world::name::Error,
    },
    /// A percentage is not a number above 0 and below 100.
    #[error("{found:?} is not a percentage above 0 and below 100")]
    Percentage {
        /// Text in place of the percentage.
        found: String,
    },
    /// The latency is not a bucket bound of the histograms that nodes record.
    #[error(
        "{found:?} is not a latency that nodes count by: expected one of {} ms",
        bounds()
    )]
    Latency {
        /// Text in place of the latency.
        found: String,
    },
}

fn bounds() -> String {
    let bounds = LATENCY_BOUNDS_US.map(|us| (us / US_PER_MS).to_string());
    bounds.join(", ")
}

/// Service-level objective of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Objective {
    /// Target ratio of requests that succeed, in percent.
    pub availability_percent: f64,
    /// Latency bound in milliseconds; always a bound of the nodes' histograms.
    pub latency_ms: u32,
    /// Target ratio of answered requests within the bound, in percent.
    pub latency_percent: f64,
}

/// Error budgets and units.
impl Objective {
    /// Ratio of requests that may fail, from 0 to 1.
    pub fn failure_budget(&self) -> f64 {
        1.0 - self.availability_percent / 100.0
    }

    /// Ratio of answered requests that may exceed the latency bound, from 0 to 1.
    pub fn latency_budget(&self) -> f64 {
        1.0 - self.latency_percent / 100.0
    }

    /// Latency bound in microseconds, the unit of the histories.
    pub fn latency_us(&self) -> u32 {
        self.latency_ms * US_PER_MS
    }
}

impl FromStr for Objective {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let words: Vec<_> = text.split_whitespace().collect();
        let [availability, latency, share] = words[..] else {
            let found = text.trim().to_owned();
            return Err(Error::Syntax { found });
        };
        Ok(Self {
            availability_percent: percentage(availability)?,
            latency_ms: latency_bound(latency)?,
            latency_percent: percentage(share)?,
        })
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}% available, {}% within {} ms",
            self.availability_percent, self.latency_percent, self.latency_ms
        )
    }
}

/// Parses the name of a service, followed by its objective.
///
/// # Errors
///
/// Fails when the text has another form or a value is out of range.
pub fn parse_service(text: &str) -> Result<(Name, Objective), Error> {
    let text = text.trim();
    let (service, objective) = text.split_once(' ').unwrap_or((text, ""));
    let name = service.parse().map_err(|cause| Error::Service {
        found: service.to_owned(),
        cause,
    })?;
    Ok((name, objective.parse()?))
}

fn percentage(text: &str) -> Result<f64, Error> {
    let parsed = text.parse::<f64>().ok();
    let valid = parsed.filter(|p| *p > 0.0 && *p < 100.0);
    valid.ok_or_else(|| Error::Percentage {
        found: text.to_owned(),
    })
}

fn latency_bound(text: &str) -> Result<u32, Error> {
    let parsed = text.parse::<u32>().ok();
    let known = |ms: &u32| LATENCY_BOUNDS_US.iter().any(|us| us / US_PER_MS == *ms);
    parsed.filter(known).ok_or_else(|| Error::Latency {
        found: text.to_owned(),
    })
}
