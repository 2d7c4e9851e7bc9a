//! How callers and backend servers say what a request needs and what became of it.
//!
//! Decisions see typed values only; implementations of these traits know the
//! headers. [`own`] speaks the headers of the product's own interface.

pub mod own;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::response;
use knapweed_host::request::Error;
use knapweed_host::{NotRun, Outcome, Unknown};
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use std::time::Duration;

/// What a caller says about its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerFields {
    /// Its name of the request.
    pub id: Option<Bytes>,
    /// How long it waits.
    pub time_left: Option<Duration>,
    /// Depth of the request that caused it, 0 for one of a caller outside the mesh.
    pub depth: u8,
    /// Whether a backend server makes it to answer another request.
    pub is_nested: bool,
}

/// The headers of callers.
pub trait CallerProtocol: Send + Sync {
    /// Reads what the caller says.
    ///
    /// # Errors
    ///
    /// A header is absent or has no value that can be used.
    fn read(&self, headers: &HeaderMap) -> Result<CallerFields, Error>;

    /// Whether a header of the caller goes on to the backend server.
    fn passes(&self, name: &HeaderName) -> bool;

    /// Adds the outcome to a response. `retry_after` is the time after which a
    /// request that did not run may be sent again.
    fn describe(&self, outcome: Outcome, retry_after: Option<Duration>, headers: &mut HeaderMap);
}

/// What a backend server says about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerAnswer {
    /// The response is that of the request.
    Answered,
    /// It did not run the request.
    Refused(NotRun),
    /// The response is not that of the request, or not one of this backend server.
    Spoiled(Unknown),
}

/// The headers of backend servers.
pub trait ServerProtocol: Send + Sync {
    /// Adds what the backend server needs to know of a request, of which
    /// `time_left` is left.
    fn prepare(
        &self,
        head: &RequestHead,
        server: &Announcement,
        time_left: Duration,
        headers: &mut HeaderMap,
    );

    /// Whether `server` is leaving, by its answer at the health path of its
    /// service; `None` when the answer does not say so.
    fn is_leaving(&self, server: &Announcement, response: &response::Parts) -> Option<bool>;

    /// Reads what became of a request.
    fn interpret(&self, head: &RequestHead, response: &response::Parts) -> ServerAnswer;
}
