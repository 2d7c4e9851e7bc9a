//! The lines after the header.

use crate::Stated;
use knapweed_rollout::Event;
use knapweed_rollout::judge::Tally;
use knapweed_world::{Name, Time};
use serde::{Deserialize, Serialize};

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Microseconds since the start of the trace.
    pub at: Time,
    /// What happened.
    pub event: TraceEvent,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEvent {
    /// An event of rollout control.
    Control(Box<Event>),
    /// Another holder takes over, which knows nothing.
    NewHolder,
    /// The platform goes down (`true`) or comes back; only with the stand-in.
    PlatformDown(bool),
    /// An event of the guard.
    Guard(GuardEvent),
    /// Nothing; time passes until here.
    End,
}

/// What a guard is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GuardEvent {
    /// Requests of the old version, one after the other; `true` is a failure.
    Old(GuardRequests),
    /// Requests of the new version.
    New(GuardRequests),
    /// The published baseline of a route.
    Baseline {
        /// The route.
        route: Name,
        /// Requests and failures of the old version.
        old: Tally,
    },
}

/// Outcomes of requests on one route, in their order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GuardRequests {
    /// The route.
    pub route: Name,
    /// Whether each request failed.
    pub failed: Vec<bool>,
}

/// A line as it is written: an event with its time, or a stated outcome.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Line {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) t_us: Option<Time>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) event: Option<TraceEvent>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) outcome: Option<Stated>,
}
