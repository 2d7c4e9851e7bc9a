//! The JSON document of a ticket.

use crate::{Digest, Item};
use knapweed_world::config::{Caution, Destination};
use knapweed_world::{ConfigVersion, Name, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};

/// Maximum length of a document, in bytes.
pub const MAX_DOCUMENT_LEN: usize = 200_000;
/// Maximum number of services and routes that one ticket changes or removes.
pub const MAX_OBJECTS: usize = 500;

/// Error of parsing a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Error {
    /// The document is longer than [`MAX_DOCUMENT_LEN`].
    #[error("the document has {len} bytes, more than {MAX_DOCUMENT_LEN}")]
    TooLong {
        /// Length of the document, in bytes.
        len: usize,
    },
    /// The document is not valid JSON, or its fields are not those of a ticket.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error in bytes, from 1; 0 if it is at the end of a line.
        column: usize,
        /// Message of the parser without the position.
        message: String,
    },
    /// The ticket has more than [`MAX_OBJECTS`] objects.
    #[error("the ticket has {count} objects, more than {MAX_OBJECTS}")]
    TooManyObjects {
        /// Number of services and routes that the ticket changes or removes.
        count: usize,
    },
    /// The ticket number is 0; numbers start at 1.
    #[error("the ticket number must be at least 1")]
    NumberZero,
}

/// A change ticket. It contains the complete new state of each object that it
/// changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The ticket number, which operators choose. A ticket cannot change an object
    /// that a ticket with a higher number has changed.
    pub ticket: TicketNumber,
    /// The configuration version on which the operator based the changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ConfigVersion>,
    /// Services to create or change, with their new state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceChange>,
    /// Routes to create or change, with their new state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteChange>,
    /// Services and routes to remove.
    #[serde(default, skip_serializing_if = "Removal::is_empty")]
    pub remove: Removal,
}

/// The new state of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceChange {
    /// Name of the service.
    pub name: Name,
    /// Versions and their target shares, which must sum to 100.
    pub versions: Vec<VersionTarget>,
    /// Parameters of the rollout to the target; defaults apply if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutRequest>,
}

/// A version of a service and its target share of the traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionTarget {
    /// Name of the version.
    pub version: Name,
    /// Target share, in percent.
    pub share: u8,
}

/// Rollout parameters that an operator requests; defaults replace absent ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// Time from acceptance to the deadline of the rollout, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<u64>,
    /// Deadline of the rollout as an RFC 3339 time; excludes `deadline_s`.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        with = "crate::timestamp::optional"
    )]
    pub deadline: Option<UnixMillis>,
    /// Minimum capacity of the old versions to keep until completion, in percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_old_capacity: Option<u8>,
    /// Trade-off between caution and speed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caution: Option<Caution>,
}

/// The new state of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteChange {
    /// Name of the route.
    pub name: Name,
    /// Path prefix of the requests that the route matches; starts with `/`.
    pub path_prefix: String,
    /// The first service to which requests are sent.
    pub service: Name,
    /// Weight of `service` relative to those in `also`; 100 if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Further services that receive a weighted share of the requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub also: Vec<AdditionalDestination>,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u32,
    /// HTTP methods whose requests may be executed more than once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_methods: Vec<String>,
    /// Value of the `host` header that the route matches; any value if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Latency objective: time within which a response has its full value, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u32>,
    /// Maximum number of backend servers to which one request is sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u8>,
    /// Priority under overload; 0, the highest, if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Whether requests have large bodies; false if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bulk: Option<bool>,
}

/// A further service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdditionalDestination {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Weight of the first service of a route if the ticket does not set it.
const DEFAULT_WEIGHT: u32 = 100;

impl RouteChange {
    /// Returns all services of the route with their weights.
    pub fn destinations(&self) -> Vec<Destination> {
        let first = Destination {
            service: self.service.clone(),
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
        };
        let others = self.also.iter().map(|also| Destination {
            service: also.service.clone(),
            weight: also.weight,
        });
        std::iter::once(first).chain(others).collect()
    }
}

/// Services and routes to remove.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// Names of the services to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Name>,
    /// Names of the routes to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Name>,
}

impl Removal {
    /// Returns whether there is nothing to remove.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.routes.is_empty()
    }
}

/// Parsing and hashing.
impl Ticket {
    /// Parses a document and checks its size and number.
    pub fn parse(document: &[u8]) -> Result<Self, Error> {
        let len = document.len();
        if len > MAX_DOCUMENT_LEN {
            return Err(Error::TooLong { len });
        }
        let ticket: Self = serde_json::from_slice(document).map_err(syntax_error)?;
        if ticket.ticket.0 == 0 {
            return Err(Error::NumberZero);
        }
        match ticket.object_count() {
            count if count > MAX_OBJECTS => Err(Error::TooManyObjects { count }),
            _ => Ok(ticket),
        }
    }

    /// Computes the digest of the content, independent of whitespace and the order of
    /// fields in the document.
    pub fn digest(&self) -> Digest {
        let canonical = serde_json::to_vec(self).expect("a ticket has only text keys");
        Digest::of(&canonical)
    }
}

/// Queries about the objects of a ticket.
impl Ticket {
    /// Returns the number of services and routes that the ticket changes or removes.
    pub fn object_count(&self) -> usize {
        let changed = self.services.len() + self.routes.len();
        changed + self.remove.services.len() + self.remove.routes.len()
    }

    /// Iterates over the services, then the routes, that the ticket changes or
    /// removes, including repeated ones.
    pub fn items(&self) -> impl Iterator<Item = Item> + '_ {
        let services = self.services.iter().map(|s| &s.name);
        let services = services.chain(&self.remove.services);
        let routes = self.routes.iter().map(|r| &r.name);
        let routes = routes.chain(&self.remove.routes);
        let services = services.map(|name| Item::Service(name.clone()));
        services.chain(routes.map(|name| Item::Route(name.clone())))
    }
}

fn syntax_error(e: serde_json::Error) -> Error {
    let (line, column) = (e.line(), e.column());
    let text = e.to_string();
    let position = format!(" at line {line} column {column}");
    Error::Syntax {
        line,
        column,
        message: text.strip_suffix(&position).unwrap_or(&text).to_owned(),
    }
}
