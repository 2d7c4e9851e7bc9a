//! Reads a request at the ingress: route, identity, deadline, objective and depth.

use crate::{NotRun, WaitEstimator};
use bytes::Bytes;
use knapweed_world::{OrganisationKey, Rank, RouteKey, ServiceKey, Snapshot, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header with the caller's idempotency key of the request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the caller's deadline, in milliseconds from now.
pub const DEADLINE_MS: &str = "knapweed-deadline-ms";
/// Header with the depth of the call, set by nodes and passed on by backend servers.
pub const DEPTH: &str = "knapweed-depth";
/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "knapweed-outcome";
/// Header with the reason of the outcome, as a sentence.
pub const REASON: &str = "knapweed-reason";
/// Header by which a backend server states that it refused a request before running it.
pub const SHED: &str = "knapweed-shed";

/// Maximum length of an idempotency key, in bytes.
pub const MAX_ID_LEN: usize = 128;
/// Maximum length of the identifier that a caller gives its request, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdLimit(pub usize);

impl IdLimit {
    /// Only the limit of the header fields applies.
    pub const NONE: Self = Self(usize::MAX);
}

impl Default for IdLimit {
    /// The limit of an idempotency key, [`MAX_ID_LEN`].
    fn default() -> Self {
        Self(MAX_ID_LEN)
    }
}

/// Maximum depth of a call; deeper ones are refused with [`NotRun::TooDeep`].
pub const MAX_DEPTH: u8 = 8;

/// The reason why a request is malformed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The idempotency key is empty.
    #[error("the idempotency key must not be empty")]
    EmptyId,
    /// The idempotency key is longer than [`MAX_ID_LEN`]; holds its length.
    #[error("the idempotency key has at most {MAX_ID_LEN} bytes, this one has {0}")]
    IdTooLong(usize),
    /// A required header is absent; holds its name.
    #[error("{0} is absent")]
    Missing(&'static str),
    /// A numeric header holds something else; holds its name.
    #[error("{0} must be a whole number")]
    NotANumber(&'static str),
    /// A header with a time holds something else; holds its name.
    #[error("{0} must be a number of milliseconds")]
    NotATime(&'static str),
    /// The header fields are longer than the configuration allows.
    #[error("the header fields have {len} bytes, {limit} are allowed")]
    HeadersTooLong {
        /// Length of the names and values, in bytes.
        len: usize,
        /// The limit of the configuration, in bytes.
        limit: u32,
    },
    /// The body, by its announced length, is longer than the configuration allows.
    #[error("the body has {len} bytes, {limit} are allowed")]
    BodyTooLong {
        /// Length of the body, in bytes.
        len: u64,
        /// The limit of the configuration, in bytes.
        limit: u64,
    },
    /// The call is deeper than [`MAX_DEPTH`]; holds its depth.
    #[error("calls are at most {MAX_DEPTH} deep, this one has depth {0}")]
    TooDeep(u8),
    /// No route matches the path.
    #[error("no route matches the path")]
    NoRoute,
    /// The route has no service that handles its requests.
    #[error("the route has no service")]
    NoService,
}

impl Error {
    /// The header that is absent or cannot be read; `None` when the error is another one.
    pub fn header(&self) -> Option<&'static str> {
        match self {
            Self::Missing(name) | Self::NotANumber(name) | Self::NotATime(name) => Some(name),
            _ => None,
        }
    }

    /// The outcome that is reported to the caller.
    pub fn reason(&self) -> NotRun {
        match self {
            Self::HeadersTooLong { .. } => NotRun::HeadersTooLong,
            Self::BodyTooLong { .. } => NotRun::BodyTooLong,
            Self::TooDeep(_) => NotRun::TooDeep,
            Self::NoRoute => NotRun::NoRoute,
            Self::NoService => NotRun::NoServer,
            _ => NotRun::InvalidHeader,
        }
    }
}

/// Identity of a request: a digest of its idempotency key, or random bytes without one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub [u8; 16]);

/// Identity of one send of a request to one egress.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SendId {
    /// Identity of the request, the same for all of its sends.
    pub request: RequestId,
    /// Random number that the ingress draws for each send.
    pub attempt: u64,
}

/// The first 16 bytes of a digest.
pub(crate) fn short_digest(digest: blake3::Hash) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&digest.as_bytes()[..16]);
    short
}

/// The parts of a request that the ingress bases its decisions on.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest<'a> {
    /// Value of the `host` header, empty when it is absent.
    pub host: &'a [u8],
    /// The HTTP method.
    pub method: &'a [u8],
    /// The path, without the query.
    pub path: &'a [u8],
    /// The caller's idempotency key.
    pub id: Option<Bytes>,
    /// Limit of its length.
    pub id_limit: IdLimit,
    /// Time until the caller's deadline; `None` when it states none.
    pub time_left: Option<Duration>,
    /// Depth of the request that caused it; 0 when the caller is outside the mesh.
    pub depth: u8,
    /// Whether a backend server sends it while it answers another request.
    pub is_nested: bool,
    /// Random bytes for the identity of a request without an idempotency key.
    pub random: [u8; 16],
    /// Random number in `0..`[`knapweed_world::route::DRAWS`] that selects the service.
    pub draw: u16,
}

/// A request that the ingress accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Its route, valid in the snapshot that it was accepted with.
    pub route: RouteKey,
    /// The destination service, drawn by the weights of the route.
    pub service: ServiceKey,
    /// The organisation of its caller; `None` when it needs none and has none.
    pub organisation: Option<OrganisationKey>,
    /// Identity of the request, the same for all of its sends.
    pub identity: RequestId,
    /// When it arrived at the ingress.
    pub arrived: Time,
    /// When the caller gives up waiting for the response.
    pub deadline: Time,
    /// Until when a response has its full value; `None` when the route has no objective.
    pub objective: Option<Time>,
    /// Its precedence in queues.
    pub rank: Rank,
    /// Depth in the chain of calls: 1 at the first ingress.
    pub depth: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a backend server sent it in order to answer another request.
    pub is_nested: bool,
}

impl Request {
    /// Time until the objective, or until the deadline once the objective has passed.
    pub fn time_left(&self, now: Time) -> Duration {
        let objective = self.objective.filter(|objective| *objective > now);
        objective.unwrap_or(self.deadline).since(now)
    }

    /// Determines route, service, identity, deadline, objective and depth.
    ///
    /// # Errors
    ///
    /// No route matches, the route has no service, or the idempotency key or the depth is out of range.
    pub fn from_incoming(
        snapshot: &Snapshot,
        incoming: &IncomingRequest<'_>,
        wait_estimator: &WaitEstimator,
        now: Time,
    ) -> Result<Self, Error> {
        let found = snapshot.find_route(incoming.host, incoming.path);
        let key = found.ok_or(Error::NoRoute)?;
        let route = snapshot.route(key);
        let service = route.destination(incoming.draw).ok_or(Error::NoService)?;
        let identity = match &incoming.id {
            Some(id) => identity(id, incoming.id_limit)?,
            None => RequestId(incoming.random),
        };
        let depth = incoming.depth.saturating_add(1);
        if depth > MAX_DEPTH {
            return Err(Error::TooDeep(depth));
        }
        let left = incoming.time_left.unwrap_or(route.timeout);
        let deadline = now.after(route.timeout.min(left));
        let objective = match route.objective {
            // The objective applies to the request that a nested call is part of,
            // not to the call by itself.
            Some(_) if incoming.is_nested => Some(deadline),
            objective => objective.map(|time| {
                let left = incoming.time_left;
                let waited = left.map_or(Duration::ZERO, |left| {
                    wait_estimator.waited(route.flow, left)
                });
                now.after(time.saturating_sub(waited)).min(deadline)
            }),
        };
        Ok(Self {
            route: key,
            service,
            organisation: None,
            identity,
            arrived: now,
            deadline,
            objective,
            rank: snapshot.rank(key, None, incoming.is_nested),
            depth,
            idempotent: route.is_idempotent(incoming.method),
            is_nested: incoming.is_nested,
        })
    }

    /// Sets the organisation of the caller, and the rank that follows from it.
    pub fn set_organisation(&mut self, snapshot: &Snapshot, organisation: Option<OrganisationKey>) {
        self.organisation = organisation;
        // Nested calls have no credential. Any caller could claim to be nested, and so precede
        // the others and leave the quota of its organisation.
        self.is_nested &= organisation.is_none();
        self.rank = snapshot.rank(self.route, organisation, self.is_nested);
    }
}

fn identity(id: &Bytes, limit: IdLimit) -> Result<RequestId, Error> {
    match id.len() {
        0 => Err(Error::EmptyId),
        n if n > limit.0 => Err(Error::IdTooLong(n)),
        _ => Ok(RequestId(short_digest(blake3::hash(id)))),
    }
}

/// Parses the value of the numeric header `header`.
///
/// # Errors
///
/// The text is empty, contains other characters than digits, or exceeds a `u64`.
pub fn parse_number(header: &'static str, text: &[u8]) -> Result<u64, Error> {
    // `parse` alone would also take a leading plus sign.
    if !text.iter().all(u8::is_ascii_digit) {
        return Err(Error::NotANumber(header));
    }
    let text = std::str::from_utf8(text).map_err(|_| Error::NotANumber(header))?;
    text.parse().map_err(|_| Error::NotANumber(header))
}
