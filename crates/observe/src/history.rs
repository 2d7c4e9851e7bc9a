//! The request history of a node as a JSON document, served at [`PATH`] and read by
//! the error-budget report.

use knapweed_world::config::VersionShare;
use knapweed_world::service_counters::LATENCY_BUCKETS;
use knapweed_world::{ConfigVersion, Name, ServiceCounts, UnixMillis};
use serde::{Deserialize, Serialize};
use std::array;

/// HTTP path of the history on the operator port.
pub const PATH: &str = "/v1/history";

/// Requests of one service that ended within one period. It takes 64 bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bucket {
    /// Start of the period, in seconds since the Unix epoch.
    pub start_s: u32,
    /// Requests that got a response of a backend server.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub answered: u32,
    /// Answered requests with status 500 and above.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub server_errors: u32,
    /// Requests that were not run on any backend server.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub not_run: u32,
    /// Requests that may or may not have run.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unknown: u32,
    /// Answered requests by latency; the bounds are in [`History::latency_bounds_us`].
    pub latency: [u32; LATENCY_BUCKETS],
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Bucket {
    /// Creates the bucket of a period that starts at `start_s`; larger counts saturate.
    pub fn new(start_s: u32, counts: &ServiceCounts) -> Self {
        Self {
            start_s,
            answered: saturating_u32(counts.answered),
            server_errors: saturating_u32(counts.server_errors),
            not_run: saturating_u32(counts.not_run),
            unknown: saturating_u32(counts.unknown),
            latency: counts.latency.map(saturating_u32),
        }
    }

    /// Adds the counts of `other`; `start_s` does not change.
    pub fn add(&mut self, other: &Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.server_errors = self.server_errors.saturating_add(other.server_errors);
        self.not_run = self.not_run.saturating_add(other.not_run);
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.latency = array::from_fn(|i| self.latency[i].saturating_add(other.latency[i]));
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// History of one service; periods without a request are omitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceHistory {
    /// Name of the service.
    pub service: Name,
    /// Buckets of one second each.
    pub seconds: Vec<Bucket>,
    /// Buckets of one minute each; the last one may be incomplete.
    pub minutes: Vec<Bucket>,
}

/// Kind of a change that a node applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum ChangeKind {
    /// A configuration version took effect.
    Version {
        /// The configuration version that took effect.
        version: ConfigVersion,
    },
    /// A rollout changed the traffic shares of the versions of a service.
    Shares {
        /// Name of the service.
        service: Name,
        /// Traffic shares after the change.
        shares: Vec<VersionShare>,
    },
}

/// A change and the time at which the node applied it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Time at which the node noticed the change.
    pub at: UnixMillis,
    /// Kind and details of the change.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// Response to `GET /v1/history`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Name of the node's host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Start time of the node, before which the history has no data.
    pub since: UnixMillis,
    /// Time up to which requests are recorded.
    pub until: UnixMillis,
    /// Upper bounds of the latency buckets in microseconds; the last bucket is
    /// unbounded and has no entry.
    pub latency_bounds_us: Vec<u32>,
    /// Histories of the services, by name.
    pub services: Vec<ServiceHistory>,
    /// Number of services with requests that exceed the capacity of the history.
    pub services_left_out: u32,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}
