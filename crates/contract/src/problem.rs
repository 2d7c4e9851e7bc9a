//! Problems for which a ticket is refused.

use knapweed_world::{ConfigVersion, Name, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The part of a ticket that a problem concerns.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// The ticket as a whole.
    Ticket,
    /// A service that the ticket changes or removes.
    Service(Name),
    /// A route that the ticket changes or removes.
    Route(Name),
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket => f.write_str("ticket"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Route(name) => write!(f, "route {name}"),
        }
    }
}

/// An item of a ticket and the reason for which it is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The item that the problem concerns.
    pub item: Item,
    /// Why the item is refused.
    pub reason: Reason,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.item, self.reason)
    }
}

/// Why an item is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Reason {
    /// The route refers to a service that would not exist.
    #[error("the service {service} does not exist")]
    MissingService {
        /// Name of the service.
        service: Name,
    },
    /// The service to remove is used by a route that would remain.
    #[error("the route {route} still needs it")]
    StillNeeded {
        /// The first such route in order of names.
        route: Name,
    },
    /// The shares do not sum to 100.
    #[error("the shares sum to {sum} instead of 100")]
    ShareSum {
        /// Sum of the shares, in percent.
        sum: u32,
    },
    /// A version is listed more than once.
    #[error("the version {version} is listed more than once")]
    DuplicateVersion {
        /// Name of the version.
        version: Name,
    },
    /// The service has too many versions.
    #[error("{count} versions are more than {max}")]
    TooManyVersions {
        /// Number of versions listed.
        count: usize,
        /// Maximum number of versions of a service.
        max: usize,
    },
    /// The ticket sets both a relative and an absolute deadline.
    #[error("deadline and deadline_s exclude each other")]
    TwoDeadlines,
    /// The deadline has passed.
    #[error("the deadline {} has passed", crate::timestamp::format(*deadline))]
    DeadlinePassed {
        /// The deadline given.
        deadline: UnixMillis,
    },
    /// The time until the deadline is too short.
    #[error("the deadline is {left_ms} ms away, less than {least_s} s")]
    DeadlineTooShort {
        /// Time from acceptance to the deadline, in milliseconds.
        left_ms: u64,
        /// Minimum time, in seconds.
        least_s: u64,
    },
    /// The time until the deadline is too long.
    #[error("the deadline is {left_s} s away, more than {most_s} s")]
    DeadlineTooFar {
        /// Time from acceptance to the deadline, in seconds.
        left_s: u64,
        /// Maximum time, in seconds.
        most_s: u64,
    },
    /// The minimum capacity of the old versions exceeds 100 percent.
    #[error("min_old_capacity is {percent}, more than 100")]
    CapacityOutOfRange {
        /// The value given, in percent.
        percent: u8,
    },
    /// The object to remove does not exist.
    #[error("it does not exist and cannot be removed")]
    Unknown,
    /// The ticket names the object more than once.
    #[error("the ticket names it more than once")]
    Duplicate,
    /// The path prefix does not start with `/`.
    #[error("the path prefix does not start with '/'")]
    PrefixWithoutSlash,
    /// The path prefix contains a byte that is not allowed in a path.
    #[error("the path prefix has a byte at {index} that is not allowed in a path")]
    BadPrefix {
        /// Position of the first such byte, from 0.
        index: usize,
    },
    /// The path prefix is too long.
    #[error("the path prefix has {len} bytes, more than {max}")]
    PrefixTooLong {
        /// Length of the prefix, in bytes.
        len: usize,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// Another route has the same host and path prefix.
    #[error("the route {route} has the same path prefix")]
    PrefixTaken {
        /// The other route.
        route: Name,
    },
    /// The timeout is out of range.
    #[error("the timeout is {timeout_ms} ms, not in 1..={max_ms}")]
    TimeoutOutOfRange {
        /// The timeout given, in milliseconds.
        timeout_ms: u32,
        /// Maximum timeout, in milliseconds.
        max_ms: u32,
    },
    /// The sum of the destination weights of the route is out of range.
    #[error("the weights sum up to {sum}, not to 1..={max}")]
    WeightsOutOfRange {
        /// Sum of the weights.
        sum: u64,
        /// Largest permitted sum.
        max: u64,
    },
    /// The route names a service more than once.
    #[error("it names the service {service} more than once")]
    DuplicateDestination {
        /// Name of the service.
        service: Name,
    },
    /// The latency objective is zero.
    #[error("objective_ms is 0")]
    ZeroObjective,
    /// The maximum number of attempts is zero.
    #[error("max_attempts is 0")]
    ZeroAttempts,
    /// An idempotent method is not a valid HTTP method, or there are too many.
    #[error("idempotent_methods are not at most {max} HTTP methods in capital letters")]
    BadMethods {
        /// Maximum number of methods of a route.
        max: usize,
    },
    /// The base version is higher than the version of the accepted configuration.
    #[error("the base version {base} is newer than the configuration, {version}")]
    BaseTooNew {
        /// Base version of the ticket.
        base: ConfigVersion,
        /// The accepted version.
        version: ConfigVersion,
    },
    /// The base version is so old that a removal of the object after it may have been
    /// forgotten.
    #[error("the base version {base} is too old to tell whether it was removed since")]
    BaseTooOld {
        /// Base version of the ticket.
        base: ConfigVersion,
    },
    /// A ticket with a lower number changed the object after the base version.
    #[error(
        "ticket {ticket} is based on version {base}, but ticket {by} changed it in version {version}"
    )]
    Conflict {
        /// The refused ticket.
        ticket: TicketNumber,
        /// Base version of the refused ticket.
        base: ConfigVersion,
        /// The ticket that changed the object.
        by: TicketNumber,
        /// The configuration version that contains the change.
        version: ConfigVersion,
    },
    /// The configuration would exceed a size limit of the object store.
    #[error("the configuration would have {len} {unit}, more than {max}")]
    TooLarge {
        /// The size that would be reached, in `unit`.
        len: usize,
        /// Unit of the sizes, in plural.
        unit: String,
        /// Maximum size, in `unit`.
        max: usize,
    },
    /// Further problems were found but are not listed.
    #[error("{count} further problems are not listed")]
    More {
        /// Number of unlisted problems.
        count: usize,
    },
}
