//! The lines after the header: events and expected outcomes.

use crate::ExpectedOutcome;
use knapweed_rollout::Event;
use knapweed_rollout::judge::Tally;
use knapweed_world::{Name, Time};
use serde::{Deserialize, Serialize};

/// An event and the time at which it is replayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Microseconds since the start of the trace.
    pub at: Time,
    /// Input of the state machine or of its simulated environment.
    pub event: TraceEvent,
}

/// Input of a state machine, or a change of its simulated environment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEvent {
    /// Input of the rollout controller.
    Control(Box<Event>),
    /// Another node takes over as holder; its controller starts without state.
    NewHolder,
    /// The platform becomes unavailable (`true`) or available again. Has an effect
    /// only on the simulated platform.
    PlatformDown(bool),
    /// Input of the guard.
    Guard(GuardEvent),
    /// No input: advances the time to the end of the trace.
    End,
}

/// Input of a guard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GuardEvent {
    /// Requests that the old version served.
    Old(GuardRequests),
    /// Requests that the new version served.
    New(GuardRequests),
    /// The published baseline of a route: counts of the old version on other hosts.
    Baseline {
        /// Route that the counts are for.
        route: Name,
        /// Requests and failures of the old version.
        old: Tally,
    },
}

/// Results of requests on one route, in order of completion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GuardRequests {
    /// Route that the requests were sent on.
    pub route: Name,
    /// One element per request; `true` is a failure.
    pub failed: Vec<bool>,
}

/// Serialized form of a line: either `t_us` and `event`, or `outcome`.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Line {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) t_us: Option<Time>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) event: Option<TraceEvent>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) outcome: Option<ExpectedOutcome>,
}
