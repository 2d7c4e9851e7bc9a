//! The document of a node's history, served at [`PATH`] and read by the burn report.

use knapweed_world::config::VersionShare;
use knapweed_world::service_counters::LATENCY_BUCKETS;
use knapweed_world::{ConfigVersion, Name, ServiceCounts, UnixMillis};
use serde::{Deserialize, Serialize};
use std::array;

/// Path of the history on the operator port.
pub const PATH: &str = "/v1/history";

/// Requests of one service that ended within one period; 64 bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bucket {
    /// Start of the period, in seconds since the Unix epoch.
    pub start_s: u32,
    /// Requests with an answer.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub answered: u32,
    /// Those of them with status 500 and above.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub server_errors: u32,
    /// Requests that did not run.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub not_run: u32,
    /// Requests with an unknown outcome.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unknown: u32,
    /// Answered requests by latency; the bounds are in [`History`].
    pub latency: [u32; LATENCY_BUCKETS],
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Bucket {
    /// The requests counted in a period that starts at `start_s`.
    pub fn new(start_s: u32, counts: &ServiceCounts) -> Self {
        Self {
            start_s,
            answered: narrow(counts.answered),
            server_errors: narrow(counts.server_errors),
            not_run: narrow(counts.not_run),
            unknown: narrow(counts.unknown),
            latency: counts.latency.map(narrow),
        }
    }

    /// Adds the requests of `other`; the start stays.
    pub fn add(&mut self, other: &Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.server_errors = self.server_errors.saturating_add(other.server_errors);
        self.not_run = self.not_run.saturating_add(other.not_run);
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.latency = array::from_fn(|i| self.latency[i].saturating_add(other.latency[i]));
    }
}

fn narrow(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// History of one service; periods without a request are left out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceHistory {
    /// The service.
    pub service: Name,
    /// Buckets of one second.
    pub seconds: Vec<Bucket>,
    /// Buckets of one minute; the last one may be incomplete.
    pub minutes: Vec<Bucket>,
}

/// What changed on a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ChangeKind {
    /// A configuration version came into force.
    Version {
        /// The version.
        version: ConfigVersion,
    },
    /// A rollout moved traffic between versions of a service.
    Shares {
        /// The service.
        service: Name,
        /// The shares from then on.
        shares: Vec<VersionShare>,
    },
}

/// A change and its time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// When the node noticed it.
    pub at: UnixMillis,
    /// What changed.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// Answer to `GET /v1/history`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Host of the node.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Start of the node; it knows nothing earlier.
    pub since: UnixMillis,
    /// Time of the last record.
    pub until: UnixMillis,
    /// Upper bounds of the latency buckets in microseconds; the last one has none.
    pub latency_bounds_us: Vec<u32>,
    /// Services by name.
    pub services: Vec<ServiceHistory>,
    /// Services with requests that the history has no room for.
    pub services_left_out: u32,
    /// Changes by time.
    pub changes: Vec<Change>,
}
