//! Knapweed's native headers: those in `knapweed_host::request` and the request ID.

use super::{
    CallerFields, CallerProtocol, ServerAnswer, ServerNotice, ServerProtocol, credential_digest,
    parse_rate_limit,
};
use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{StatusCode, response};
use knapweed_host::request::{
    DEADLINE_MS, DEPTH, Error, IDEMPOTENCY_KEY, IdLimit, OUTCOME, REASON, SHED, parse_number,
};
use knapweed_host::{NotRun, Outcome};
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use std::time::Duration;

/// Header with the identity of the request in hexadecimal digits; backend servers
/// can write it to their logs.
const REQUEST_ID: &str = "knapweed-request-id";

/// Header with the credential of the caller.
const CREDENTIAL: &str = "knapweed-credential";

/// Header that names the organisation of the caller to a backend server.
const ORGANISATION: &str = "knapweed-organisation";

/// Header with the requests per second that a backend server takes from all hosts together.
const RATE_LIMIT: &str = "knapweed-rate-limit";

/// Header of the answers of a backend server that is shutting down.
const LEAVING: &str = "knapweed-leaving";

/// Knapweed's native headers, for callers and for backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeHeaders;

impl CallerProtocol for NativeHeaders {
    fn read(&self, headers: &HeaderMap) -> Result<CallerFields, Error> {
        let field = |name: &str| headers.get(name).map(HeaderValue::as_bytes);
        let count = |name| field(name).map(|text| parse_number(name, text)).transpose();
        let depth = u8::try_from(count(DEPTH)?.unwrap_or(0)).unwrap_or(u8::MAX);
        Ok(CallerFields {
            id: self.id(headers),
            time_left: count(DEADLINE_MS)?.map(Duration::from_millis),
            depth,
            is_nested: depth > 0,
            credential: credential_digest(headers, CREDENTIAL),
        })
    }

    fn id(&self, headers: &HeaderMap) -> Option<Bytes> {
        let id = headers.get(IDEMPOTENCY_KEY);
        id.map(|id| Bytes::copy_from_slice(id.as_bytes()))
    }

    fn id_limit(&self) -> IdLimit {
        IdLimit::default()
    }

    fn is_forwarded(&self, name: &HeaderName) -> bool {
        ![OUTCOME, REASON, CREDENTIAL, ORGANISATION].contains(&name.as_str())
    }

    fn describe(&self, outcome: Outcome, retry_after: Option<Duration>, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(outcome.label()));
        headers.insert(REASON, HeaderValue::from_static(outcome.reason()));
        if let Some(wait) = retry_after {
            // `Retry-After` is in whole seconds (RFC 9110). Rounding up keeps callers
            // from returning too early.
            let seconds = wait.as_millis().div_ceil(1_000) as u64;
            headers.insert(RETRY_AFTER, seconds.into());
        }
    }
}

impl ServerProtocol for NativeHeaders {
    fn prepare(
        &self,
        head: &RequestHead,
        _server: &Announcement,
        time_left: Duration,
        headers: &mut HeaderMap,
    ) {
        headers.insert(DEPTH, u16::from(head.depth).into());
        headers.insert(DEADLINE_MS, (time_left.as_millis() as u64).into());
        let id = u128::from_be_bytes(head.id.request.0);
        let id = HeaderValue::try_from(format!("{id:032x}"));
        headers.insert(REQUEST_ID, id.expect("digits are a header value"));
        if let Some(organisation) = &head.organisation {
            let organisation = HeaderValue::from_str(organisation.as_str());
            headers.insert(
                ORGANISATION,
                organisation.expect("a name is a header value"),
            );
        }
    }

    fn is_leaving(&self, _server: &Announcement, _response: &response::Parts) -> Option<bool> {
        None
    }

    fn notice(&self, response: &response::Parts) -> ServerNotice {
        ServerNotice {
            rate_limit: parse_rate_limit(response.headers.get_all(RATE_LIMIT)),
            is_leaving: response.headers.contains_key(LEAVING),
        }
    }

    fn interpret(&self, _head: &RequestHead, response: &response::Parts) -> ServerAnswer {
        let is_refusal = response.status == StatusCode::SERVICE_UNAVAILABLE;
        match is_refusal && response.headers.contains_key(SHED) {
            true => ServerAnswer::RefusedUnnamed(NotRun::ShedByServer),
            false => ServerAnswer::Answered,
        }
    }
}
