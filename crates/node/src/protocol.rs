//! Header formats of callers and backend servers.
//!
//! The traits translate between HTTP headers and typed values, so that the code
//! that makes decisions does not depend on a header format. [`native`] implements
//! Knapweed's native headers.

pub mod native;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::response;
use knapweed_host::request::{Error, IdLimit};
use knapweed_host::{NotRun, Outcome};
use knapweed_wire::RequestHead;
use knapweed_world::CredentialDigest;
use knapweed_world::backend_server::Announcement;
use knapweed_world::load::RequestRate;
use std::time::Duration;

/// Lowest HTTP status that counts as a failure of the backend server.
pub(crate) const SERVER_ERROR: u16 = 500;

/// What a caller states about its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerFields {
    /// The caller's identifier of the request; `None` when it sent none.
    pub id: Option<Bytes>,
    /// How long the caller waits for a response; `None` when it sent no deadline.
    pub time_left: Option<Duration>,
    /// Depth of nested calls: 0 for a caller outside the mesh.
    pub depth: u8,
    /// Whether a backend server sends the request in order to answer another one.
    pub is_nested: bool,
    /// Digest of the caller's credential; `None` when it sent none.
    pub credential: Option<CredentialDigest>,
}

/// Header format of callers.
pub trait CallerProtocol: Send + Sync {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// A required header is absent, or a value is invalid.
    fn read(&self, headers: &HeaderMap) -> Result<CallerFields, Error>;

    /// The caller's identifier of the request, also when [`CallerProtocol::read`] fails.
    fn id(&self, headers: &HeaderMap) -> Option<Bytes>;

    /// Limit of the length of the caller's identifier.
    fn id_limit(&self) -> IdLimit;

    /// Whether a header of the caller is forwarded to the backend server.
    fn is_forwarded(&self, name: &HeaderName) -> bool;

    /// Adds headers for the outcome to a response. `retry_after` is the time after
    /// which a request that did not run may be sent again.
    fn describe(&self, outcome: Outcome, retry_after: Option<Duration>, headers: &mut HeaderMap);
}

/// What the response of a backend server means for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerAnswer {
    /// The response answers the request.
    Answered,
    /// The backend server did not run the request, which the response names.
    Refused(NotRun),
    /// The backend server did not run a request, and the response does not say which one.
    ///
    /// It may repeat an earlier refusal on the connection. It counts only as the first
    /// response on a connection, which is then not used again.
    RefusedUnnamed(NotRun),
    /// The response is not passed on, since it does not answer the request.
    Mismatched(Mismatch),
}

/// Why the response of a backend server does not answer the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mismatch {
    /// It names another request, or none.
    OtherRequest,
    /// It lacks the signature of the backend server.
    Unsigned,
    /// Its status means to callers that the request has not run, which it does not say.
    ReservedStatus,
    /// It is a refusal that names no request, and not the first response on its connection.
    UnnamedRefusal,
    /// Its status is not one of a final response.
    InvalidStatus,
}

impl Mismatch {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 5] = [
        Self::OtherRequest,
        Self::Unsigned,
        Self::ReservedStatus,
        Self::UnnamedRefusal,
        Self::InvalidStatus,
    ];

    /// The reason as a value of a metric's label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::OtherRequest => "other-request",
            Self::Unsigned => "unsigned",
            Self::ReservedStatus => "reserved-status",
            Self::UnnamedRefusal => "unnamed-refusal",
            Self::InvalidStatus => "invalid-status",
        }
    }

    /// The reason as a sentence without a period.
    pub const fn text(self) -> &'static str {
        match self {
            Self::OtherRequest => "it does not name the request",
            Self::Unsigned => "it has no signature",
            Self::ReservedStatus => "its status is that of a refusal, which it does not name",
            Self::UnnamedRefusal => "it may repeat an earlier refusal on the connection",
            Self::InvalidStatus => "its status is not one of a final response",
        }
    }
}

/// What a backend server states about itself in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Requests per second that it takes from all hosts together; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Header format of backend servers.
pub trait ServerProtocol: Send + Sync {
    /// Adds the headers that a backend server needs, among them the remaining
    /// time `time_left`.
    fn prepare(
        &self,
        head: &RequestHead,
        server: &Announcement,
        time_left: Duration,
        headers: &mut HeaderMap,
    );

    /// Whether `server` is shutting down, according to its response at the health
    /// path of its service; `None` when the response does not state it.
    fn is_leaving(&self, server: &Announcement, response: &response::Parts) -> Option<bool>;

    /// Time that is left of the cold start of `server`, according to its response at the
    /// health path; `None` when the response does not state it.
    fn cold_left(&self, _server: &Announcement, _response: &response::Parts) -> Option<Duration> {
        None
    }

    /// What the backend server states about itself in a response to a request. A value
    /// that cannot be read states nothing.
    fn notice(&self, response: &response::Parts) -> ServerNotice;

    /// Interprets the response of a backend server to a request.
    fn interpret(&self, head: &RequestHead, response: &response::Parts) -> ServerAnswer;
}

/// The digest of the credential in the header `name`; `None` without the header.
///
/// Several values count as one list, as in RFC 9110, section 5.3, which is nobody's credential.
pub fn credential_digest(headers: &HeaderMap, name: &str) -> Option<CredentialDigest> {
    let values: Vec<_> = headers
        .get_all(name)
        .iter()
        .map(HeaderValue::as_bytes)
        .collect();
    (!values.is_empty()).then(|| CredentialDigest::of(&values.join(&b", "[..])))
}

/// Parses a rate limit in requests per second, as a decimal number; `None` unless it is a
/// number of at least 0. Of several values, the lowest counts.
pub fn parse_rate_limit<'a>(
    values: impl IntoIterator<Item = &'a HeaderValue>,
) -> Option<RequestRate> {
    let parse = |value: &HeaderValue| {
        let per_second: f64 = value.to_str().ok()?.trim().parse().ok()?;
        let rate = RequestRate::per_second(per_second);
        rate.filter(|_| per_second.is_finite())
    };
    values.into_iter().filter_map(parse).min()
}
