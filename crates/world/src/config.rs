//! The accepted configuration.

use crate::{Name, Share, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Version of the configuration: a counter without gaps, 0 before the first ticket.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version that follows.
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
    /// The version.
    pub version: Name,
    /// Its share.
    pub share: Share,
}

/// What a rollout trades: early pull-back against arrival in time.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Caution {
    /// Pulls back early (the default of Power Authority).
    #[default]
    Careful,
    /// Arrives in time (the default of Poyraz).
    Swift,
}

/// What a ticket promises about a move of traffic to new versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutTerms {
    /// When the move starts: the time of acceptance.
    pub start: UnixMillis,
    /// When the move must be complete.
    pub deadline: UnixMillis,
    /// Least capacity of the old versions to keep until completion, in percent.
    pub min_old_capacity: u8,
    /// Weight of caution against speed.
    pub caution: Caution,
    /// Versions and shares before the move.
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
    /// Path at which its backend servers tell how they do, when they do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// Which requests of a route may run more than once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotence {
    /// All of them.
    Always,
    /// None of them.
    Never,
    /// Those of these methods.
    Methods(Vec<String>),
}

/// A service that gets a part of the requests of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Destination {
    /// The service.
    pub service: Name,
    /// Its part, in proportion to the sum of all weights of the route.
    pub weight: u32,
}

/// A route in the accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteConfig {
    /// Value of the `host` header that it applies to; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The path prefix.
    pub path_prefix: String,
    /// The services that answer.
    pub destinations: Vec<Destination>,
    /// Longest time for a request, in milliseconds.
    pub timeout_ms: u32,
    /// Which requests may run more than once.
    pub idempotence: Idempotence,
    /// Time within which an answer is of full use, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u32>,
    /// Most backend servers that one request is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u8>,
    /// Rank among routes when not all requests can run; 0 is the highest.
    #[serde(default, skip_serializing_if = "is_highest")]
    pub priority: u8,
    /// Whether requests carry large bodies.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_bulk: bool,
    /// The ticket that last changed the route.
    pub ticket: TicketNumber,
    /// The configuration version that ticket made.
    pub changed_at: ConfigVersion,
}

fn is_highest(priority: &u8) -> bool {
    *priority == 0
}

/// What a node accepts from callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_header_bytes: Option<u32>,
    /// Longest body of a request, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body_bytes: Option<u64>,
    /// Longest time to send the head of a request, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub header_timeout_ms: Option<u32>,
    /// Longest time that a connection may stay idle, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_timeout_ms: Option<u32>,
}

impl CallerLimits {
    /// Whether nothing is limited.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// The whole accepted configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Its version.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceConfig>,
    /// Routes by name.
    pub routes: BTreeMap<Name, RouteConfig>,
    /// What nodes accept from callers.
    #[serde(default, skip_serializing_if = "CallerLimits::is_default")]
    pub limits: CallerLimits,
}
