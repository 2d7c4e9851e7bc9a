//! The accepted configuration: services, routes and limits for callers.

use crate::organisation::{CredentialPolicy, OrganisationConfig};
use crate::{Name, RequestRate, Share, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Version of the configuration: consecutive numbers, 0 before the first ticket.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The next version.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a change ticket, chosen by operators.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TicketNumber(pub u64);

impl fmt::Display for TicketNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A backend server version and its share of a service's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionShare {
    /// Version of the backend servers.
    pub version: Name,
    /// Share of the service's traffic that it receives.
    pub share: Share,
}

/// Whether a rollout prefers to pull back early or to finish before its deadline.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Caution {
    /// Pulls back early (the default of Power Authority).
    #[default]
    Careful,
    /// Finishes before the deadline (the default of Poyraz).
    Swift,
}

/// Terms of a ticket for shifting traffic to new versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutTerms {
    /// Start of the traffic shift: the time at which the ticket was accepted.
    pub start: UnixMillis,
    /// Time by which the traffic shift must be complete.
    pub deadline: UnixMillis,
    /// Minimum capacity of the old versions to keep until completion, in percent.
    pub min_old_capacity: u8,
    /// Preference between pulling back early and finishing on time.
    pub caution: Caution,
    /// Versions and shares before the traffic shift.
    pub from: Vec<VersionShare>,
}

/// A service in the accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Target versions and shares; the shares sum to [`Share::ALL`].
    pub versions: Vec<VersionShare>,
    /// The move to `versions`, when the last ticket started one.
    pub rollout: Option<RolloutTerms>,
    /// The ticket that last changed the service.
    pub ticket: TicketNumber,
    /// The configuration version that ticket made.
    pub changed_at: ConfigVersion,
    /// Connections that each of its backend servers accepts; `None` when they
    /// announce it themselves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u16>,
    /// Health check path of its backend servers; `None` when they have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Requests per second that each of its backend servers takes while it is cold; `None`
    /// without a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_limit: Option<RequestRate>,
}

/// Which requests of a route are idempotent, so that they may run more than once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotence {
    /// Every request may run more than once.
    Always,
    /// No request may run more than once.
    Never,
    /// Only requests with one of these HTTP methods may run more than once.
    Methods(Vec<String>),
}

/// A service that receives a weighted part of the requests of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Name,
    /// Weight of the service, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A route in the accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteConfig {
    /// Value of the `host` header that the route matches; `None` matches any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix that the route matches, on segment boundaries.
    pub path_prefix: String,
    /// Services that handle the requests; requests of a route without any are refused.
    pub destinations: Vec<Destination>,
    /// Deadline of a request after its arrival, in milliseconds.
    pub timeout_ms: u32,
    /// Which requests are idempotent.
    pub idempotence: Idempotence,
    /// Latency objective of a response, in milliseconds; `None` when the route has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u32>,
    /// Maximum number of backend servers that one request is sent to; `None` for
    /// the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u8>,
    /// Admission priority under overload; 0 is the highest.
    #[serde(default, skip_serializing_if = "is_highest")]
    pub priority: u8,
    /// Whether requests carry large bodies.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_bulk: bool,
    /// Whether its requests need no credential.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_open: bool,
    /// Regions in which its requests may run and their bodies may be held; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<Name>,
    /// The ticket that last changed the route.
    pub ticket: TicketNumber,
    /// The configuration version that ticket made.
    pub changed_at: ConfigVersion,
}

fn is_highest(priority: &u8) -> bool {
    *priority == 0
}

/// Limits that a node enforces on callers; `None` applies the node's own default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum length of the names and values of the header fields of a request, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_header_bytes: Option<u32>,
    /// Maximum length of a request body, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body_bytes: Option<u64>,
    /// Maximum time for a caller to send a request head, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub header_timeout_ms: Option<u32>,
    /// Maximum idle time of a connection, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_timeout_ms: Option<u32>,
}

impl CallerLimits {
    /// Whether no limit is set.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// The whole accepted configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceConfig>,
    /// Routes by name.
    pub routes: BTreeMap<Name, RouteConfig>,
    /// Limits that nodes enforce on callers.
    #[serde(default, skip_serializing_if = "CallerLimits::is_default")]
    pub limits: CallerLimits,
    /// Organisations by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub organisations: BTreeMap<Name, OrganisationConfig>,
    /// Whether callers must present a credential of an organisation.
    #[serde(default, skip_serializing_if = "CredentialPolicy::is_not_required")]
    pub credentials: CredentialPolicy,
}
