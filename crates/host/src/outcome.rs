//! Outcomes of requests and how they are reported to callers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about one send of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server answered.
    Answered(Answer),
    /// This send provably did not run.
    NotRun(NotRun),
    /// This send may have run.
    Unknown(Unknown),
}

/// Whether the response of a backend server can be delivered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The complete response is sent to the caller.
    Complete,
    /// The response was lost in transit and the egress does not store it, or no longer does.
    NotStored,
}

/// Why a send did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// No route matches the path.
    NoRoute,
    /// No route matches the path, or a limit is exceeded, but the node may not have the newest
    /// configuration.
    OutdatedConfig,
    /// A header of the request is malformed.
    InvalidHeader,
    /// The chain of calls is too deep.
    TooDeep,
    /// No backend server can take the request.
    NoServer,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The egress shed the request: the queue was full, or the wait too long.
    Overloaded,
    /// The backend server refused the request before running it.
    ShedByServer,
    /// Another process listens at the address of the backend server.
    ReplacedServer,
    /// The backend server is shutting down.
    Draining,
    /// The guard of a rollout refused the version.
    Guarded,
    /// The node accepts no requests: it is starting or stopping.
    NotServing,
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The egress confirmed to an inquiry that it never ran the request.
    NeverRan,
    /// The request crashed two backend servers.
    CrashesServers,
    /// Another request with the same crash fingerprint is being tried exclusively.
    CrashSuspect,
    /// The framing of the request body is malformed.
    InvalidBody,
    /// The connection of the caller ended before the request body was complete.
    BodyLost,
    /// The header fields of the request are longer than the configuration allows.
    HeadersTooLong,
    /// The head of the request, which the configuration allows, does not fit the connection
    /// between nodes.
    TooLongToForward,
    /// No organisation holds the credential of the request.
    UnknownCredential,
    /// The credential of the request is not found, and the node may not know all of them.
    UnverifiedCredential,
    /// The backend server is cold and has got as many requests as it takes.
    ColdServer,
    /// The availability zone of the backend server is evacuated.
    Evacuated,
    /// The request body is longer than the configuration allows.
    BodyTooLong,
    /// The host has no memory left for the request body.
    NoMemory,
    /// The organisation has used up its quota.
    QuotaExceeded,
}

/// Why it is not known whether a send ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The deadline passed while a backend server had the request.
    DeadlinePassed,
    /// The connection to the egress was lost, and an inquiry did not settle the outcome.
    ConnectionLost,
    /// The backend server closed the connection while running the request.
    ServerCrashed,
    /// The response ended early.
    Truncated,
    /// The response belongs to another request, or does not come from a backend server.
    ForeignResponse,
    /// The caller disconnected.
    CallerLeft,
}

/// The parts of the response that report an outcome to the caller.
impl Outcome {
    /// Value of the header [`OUTCOME`](crate::request::OUTCOME).
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// HTTP status of the response, or `None` when the backend server's own status applies.
    pub const fn status(self) -> Option<u16> {
        match self {
            Self::Answered(Answer::Complete) => None,
            Self::Answered(Answer::NotStored) => Some(502),
            Self::NotRun(reason) => Some(reason.status()),
            Self::Unknown(_) => Some(504),
        }
    }

    /// Value of the header [`REASON`](crate::request::REASON): one sentence without a period.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Answered(Answer::Complete) => "the backend server answered",
            Self::Answered(Answer::NotStored) => {
                "the request was answered and its response is not stored"
            }
            Self::NotRun(reason) => reason.text(),
            Self::Unknown(reason) => reason.text(),
        }
    }
}

impl NotRun {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 27] = [
        Self::NoRoute,
        Self::OutdatedConfig,
        Self::InvalidHeader,
        Self::TooDeep,
        Self::NoServer,
        Self::DeadlinePassed,
        Self::Overloaded,
        Self::ShedByServer,
        Self::ReplacedServer,
        Self::Draining,
        Self::Guarded,
        Self::NotServing,
        Self::ConnectFailed,
        Self::NeverRan,
        Self::CrashesServers,
        Self::CrashSuspect,
        Self::InvalidBody,
        Self::BodyLost,
        Self::HeadersTooLong,
        Self::TooLongToForward,
        Self::UnknownCredential,
        Self::UnverifiedCredential,
        Self::ColdServer,
        Self::Evacuated,
        Self::BodyTooLong,
        Self::NoMemory,
        Self::QuotaExceeded,
    ];

    /// HTTP status of the response.
    ///
    /// Errors in the request itself get a 4xx status, so that callers do not
    /// send it again unchanged.
    pub const fn status(self) -> u16 {
        match self {
            Self::InvalidHeader | Self::InvalidBody => 400,
            Self::UnknownCredential => 401,
            Self::NoRoute => 404,
            Self::QuotaExceeded => 429,
            Self::HeadersTooLong => 431,
            Self::BodyTooLong => 413,
            _ => 503,
        }
    }

    /// Whether a retry with another backend server may succeed.
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::ShedByServer
                | Self::ReplacedServer
                | Self::Draining
                | Self::Guarded
                | Self::NotServing
                | Self::ConnectFailed
                | Self::NeverRan
                | Self::ColdServer
                | Self::Evacuated
        )
    }

    /// Whether the reason is a lack of capacity, which retries would make worse.
    pub const fn is_overload(self) -> bool {
        matches!(
            self,
            Self::Overloaded | Self::ShedByServer | Self::ColdServer
        )
    }

    /// The reason as a value of a metric's label: the name of the variant in kebab case.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::OutdatedConfig => "outdated-config",
            Self::InvalidHeader => "invalid-header",
            Self::TooDeep => "too-deep",
            Self::NoServer => "no-server",
            Self::DeadlinePassed => "deadline-passed",
            Self::Overloaded => "overloaded",
            Self::ShedByServer => "shed-by-server",
            Self::ReplacedServer => "replaced-server",
            Self::Draining => "draining",
            Self::Guarded => "guarded",
            Self::NotServing => "not-serving",
            Self::ConnectFailed => "connect-failed",
            Self::NeverRan => "never-ran",
            Self::CrashesServers => "crashes-servers",
            Self::CrashSuspect => "crash-suspect",
            Self::InvalidBody => "invalid-body",
            Self::BodyLost => "body-lost",
            Self::HeadersTooLong => "headers-too-long",
            Self::TooLongToForward => "too-long-to-forward",
            Self::UnknownCredential => "unknown-credential",
            Self::UnverifiedCredential => "unverified-credential",
            Self::ColdServer => "cold-server",
            Self::Evacuated => "evacuated",
            Self::BodyTooLong => "body-too-long",
            Self::NoMemory => "no-memory",
            Self::QuotaExceeded => "quota-exceeded",
        }
    }

    /// The reason as a sentence without a period.
    pub const fn text(self) -> &'static str {
        match self {
            Self::NoRoute => "no route matches the path",
            Self::OutdatedConfig => {
                "the configuration does not allow the request, and a newer one may exist"
            }
            Self::InvalidHeader => "a request header is malformed",
            Self::TooDeep => "the chain of calls is too deep",
            Self::NoServer => "no backend server can take the request",
            Self::DeadlinePassed => "the deadline passed before the request was sent",
            Self::Overloaded => "the backend server is overloaded",
            Self::ShedByServer => "the backend server refused before running",
            Self::ReplacedServer => "another process stands at the address of the backend server",
            Self::Draining => "the backend server is leaving",
            Self::Guarded => "the new version is refused by the guard of its rollout",
            Self::NotServing => "the node is not serving",
            Self::ConnectFailed => "no connection to the backend server",
            Self::NeverRan => "the connection was lost before the request arrived",
            Self::CrashesServers => "the request crashed two backend servers",
            Self::CrashSuspect => "a request that crashed a backend server is being tried alone",
            Self::InvalidBody => "the framing of the request body is malformed",
            Self::HeadersTooLong => "the header fields are longer than the configuration allows",
            Self::TooLongToForward => "the head is too long for the connection between nodes",
            Self::UnknownCredential => "no organisation holds the credential of the request",
            Self::UnverifiedCredential => {
                "the credential is not found, but the node may not know all of them"
            }
            Self::ColdServer => "the backend server is cold and takes no further request now",
            Self::Evacuated => "the availability zone of the backend server is evacuated",
            Self::BodyTooLong => "the body is longer than the configuration allows",
            Self::NoMemory => "the host has no memory left for the body",
            Self::QuotaExceeded => "the organisation has used up its quota",
            Self::BodyLost => "the connection of the caller ended before the request body",
        }
    }
}

impl Unknown {
    /// The reason as a sentence without a period.
    pub const fn text(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "the deadline passed while the request was running",
            Self::ConnectionLost => "the connection was lost while the request was running",
            Self::ServerCrashed => "the backend server closed the connection",
            Self::Truncated => "the response ended early",
            Self::ForeignResponse => "the response was not that of the request",
            Self::CallerLeft => "the caller disconnected",
        }
    }
}

/// Outcomes of the sends of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendOutcomes {
    /// That of the first send that may have run.
    may_have_run: Option<Outcome>,
    /// That of the last send.
    last: Option<Outcome>,
}

impl SendOutcomes {
    /// Adds the outcome of a further send.
    pub fn add(&mut self, outcome: Outcome) {
        let is_refusal = matches!(outcome, Outcome::NotRun(_));
        self.last = Some(outcome);
        self.may_have_run = self.may_have_run.or((!is_refusal).then_some(outcome));
    }

    /// What is reported if there is no further send; `None` before the first one.
    ///
    /// A refusal of the last send says nothing about an earlier one that may have run.
    pub fn reported(&self) -> Option<Outcome> {
        match (self.last, self.may_have_run) {
            (Some(Outcome::NotRun(_)), Some(earlier)) => Some(earlier),
            (last, _) => last,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.label(), self.reason())
    }
}
