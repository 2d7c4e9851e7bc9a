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
}

/// A route in the accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteConfig {
    /// The path prefix.
    pub path_prefix: String,
    /// The service that answers.
    pub service: Name,
    /// Longest time for a request, in milliseconds.
    pub timeout_ms: u32,
    /// Methods that may run more than once.
    pub idempotent_methods: Vec<String>,
    /// The ticket that last changed the route.
    pub ticket: TicketNumber,
    /// The configuration version that ticket made.
    pub changed_at: ConfigVersion,
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
}
