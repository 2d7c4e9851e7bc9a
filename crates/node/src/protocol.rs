//! Header formats of callers and backend servers.
//!
//! The traits translate between HTTP headers and typed values, so that the code
//! that makes decisions does not depend on a header format. [`native`] implements
//! Knapweed's native headers.

pub mod native;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::response;
use knapweed_host::request::Error;
use knapweed_host::{NotRun, Outcome, Unknown};
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use std::time::Duration;

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
}

/// Header format of callers.
pub trait CallerProtocol: Send + Sync {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// A required header is absent, or a value is invalid.
    fn read(&self, headers: &HeaderMap) -> Result<CallerFields, Error>;

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
    /// The backend server did not run the request.
    Refused(NotRun),
    /// The response belongs to another request, or comes from another process than
    /// the expected backend server.
    Mismatched(Unknown),
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

    /// Interprets the response of a backend server to a request.
    fn interpret(&self, head: &RequestHead, response: &response::Parts) -> ServerAnswer;
}
