//! Meaning of the platform's HTTP answers.

use crate::protocol::{self, Listing};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use knapweed_platform::{Error, Object, ObjectKey, Revision};

/// Longest part of an unexpected body that errors repeat, in bytes.
const MAX_REPEATED_LEN: usize = 120;

pub(crate) type Raw = Response<Bytes>;

/// The answer to a read or watch.
pub(crate) fn object(raw: Raw) -> Result<Option<Object>, Error> {
    match raw.status() {
        StatusCode::OK => {
            let revision = revision(raw.headers()).ok_or_else(|| no_etag(&raw))?;
            let value = raw.into_body();
            Ok(Some(Object { revision, value }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        _ => Err(other(&raw)),
    }
}

/// The answer to a write or deletion of `len` bytes.
pub(crate) fn written(raw: &Raw, key: &ObjectKey, len: usize) -> Result<Option<Revision>, Error> {
    let key = key.clone();
    match raw.status() {
        StatusCode::OK => Ok(revision(raw.headers())),
        StatusCode::PRECONDITION_FAILED => {
            let current = revision(raw.headers());
            Err(Error::Conflict { key, current })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge { key, len }),
        _ => Err(other(raw)),
    }
}

/// The answer to a list call.
pub(crate) fn listing(raw: &Raw) -> Result<Listing, Error> {
    match raw.status() {
        StatusCode::OK => {
            serde_json::from_slice(raw.body()).map_err(|e| Error::Malformed(e.to_string()))
        }
        _ => Err(other(raw)),
    }
}

/// The error for a success without an entity tag.
pub(crate) fn no_etag(raw: &Raw) -> Error {
    Error::Malformed(format!("no revision in the etag of {}", raw.status()))
}

/// The error for a status that has the same meaning for every call.
fn other(raw: &Raw) -> Error {
    match raw.status() {
        StatusCode::TOO_MANY_REQUESTS => Error::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable(describe(raw)),
        StatusCode::INTERNAL_SERVER_ERROR => Error::AnswerLost(describe(raw)),
        _ => Error::Malformed(describe(raw)),
    }
}

fn describe(raw: &Raw) -> String {
    let body = &raw.body()[..raw.body().len().min(MAX_REPEATED_LEN)];
    format!("{}: {}", raw.status(), String::from_utf8_lossy(body))
}

fn revision(headers: &HeaderMap) -> Option<Revision> {
    protocol::parse_etag(headers.get(header::ETAG)?.to_str().ok()?)
}
