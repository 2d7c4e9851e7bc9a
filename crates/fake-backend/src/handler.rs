//! Handler of callers' requests.

use crate::active_request::ActiveRequest;
use crate::backend::{Backend, pause};
use crate::body::{PatternBody, TrackedBody};
use crate::ledger::{Entry, Progress};
use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::state::{FromState, State};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Exit code of the process when a request crashes it.
const EXIT_CRASH: i32 = 70;
/// Longest response body of `/bytes/<n>`, in bytes; larger values of `n` are reduced to it.
const MAX_BYTES: u64 = 256 * 1_024 * 1_024;
/// Longest time that a request without a deadline waits in the queue.
const MAX_WAIT: Duration = Duration::from_secs(60);

const REQUEST_ID: HeaderName = HeaderName::from_static("knapweed-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE_MS: HeaderName = HeaderName::from_static("knapweed-deadline-ms");
const SHED: HeaderName = HeaderName::from_static("knapweed-shed");
const SERVICE: HeaderName = HeaderName::from_static("knapweed-service");
const VERSION: HeaderName = HeaderName::from_static("knapweed-version");
const HOST: HeaderName = HeaderName::from_static("knapweed-host");
const ZONE: HeaderName = HeaderName::from_static("knapweed-zone");
const CRASH: HeaderName = HeaderName::from_static("x-crash");
const WORK_MS: HeaderName = HeaderName::from_static("x-work-ms");

/// JSON response that describes the request and the server that ran it.
#[derive(Serialize)]
struct RequestInfo<'a> {
    service: &'a str,
    version: &'a str,
    host: &'a str,
    zone: &'a str,
    method: String,
    path: String,
    request_id: Option<String>,
    idempotency_key: Option<String>,
    body_len: usize,
}

/// Runs a request in a slot, or sheds it if there is none in time.
pub(crate) async fn handle(backend: Arc<Backend>, state: &mut State) -> Response<Body> {
    let headers = HeaderMap::borrow_from(state);
    let entry = entry(state, headers);
    let wait = millis(headers, &DEADLINE_MS).unwrap_or(MAX_WAIT);
    let work = millis(headers, &WORK_MS);
    let crashes = headers.contains_key(&CRASH) || entry.path.contains("/crash");
    let started = ActiveRequest::start(Arc::clone(&backend), entry.clone(), wait).await;
    let Ok((request, faults)) = started else {
        return with_server_headers(&backend, shed(state));
    };
    if crashes {
        log::error!(target: "program", "crash on request {:?}", entry.request_id);
        std::process::exit(EXIT_CRASH);
    }
    pause(backend.work(work) + faults.delay).await;
    if faults.fails {
        request.fail();
        let response = create_empty_response(state, StatusCode::INTERNAL_SERVER_ERROR);
        return with_server_headers(&backend, response);
    }
    let response = respond(&backend, state, &entry, request).await;
    with_server_headers(&backend, response)
}

fn entry(state: &State, headers: &HeaderMap) -> Entry {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    Entry {
        request_id: text(&REQUEST_ID).map(str::to_owned),
        idempotency_key: text(&IDEMPOTENCY_KEY).map(str::to_owned),
        method: Method::borrow_from(state).to_string(),
        path: Uri::borrow_from(state).path().to_owned(),
        progress: Progress::Running,
    }
}

fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

fn shed(state: &State) -> Response<Body> {
    let mut response = create_empty_response(state, StatusCode::SERVICE_UNAVAILABLE);
    let shed = HeaderValue::from_static("true");
    response.headers_mut().insert(SHED, shed);
    response
}

async fn respond(
    backend: &Backend,
    state: &mut State,
    entry: &Entry,
    request: ActiveRequest,
) -> Response<Body> {
    let body = Body::take_from(state);
    if Method::borrow_from(state) == Method::POST && entry.path == "/echo" {
        return streamed(state, TrackedBody::wrap(body, request));
    }
    if let Some(len) = bytes_len(&entry.path) {
        let pattern = Body::new(PatternBody::new(len).map_err(|e| match e {}));
        return streamed(state, TrackedBody::wrap(pattern, request));
    }
    let Ok(body) = body.collect().await else {
        return create_empty_response(state, StatusCode::BAD_REQUEST);
    };
    let info = document(backend, entry, body.to_bytes());
    create_response(state, StatusCode::OK, mime::APPLICATION_JSON, info)
        .map(|body| TrackedBody::wrap(body, request))
}

fn streamed(state: &State, body: Body) -> Response<Body> {
    create_empty_response(state, StatusCode::OK).map(|_| body)
}

fn bytes_len(path: &str) -> Option<u64> {
    let len: u64 = path.strip_prefix("/bytes/")?.parse().ok()?;
    Some(len.min(MAX_BYTES))
}

fn document(backend: &Backend, entry: &Entry, body: Bytes) -> Vec<u8> {
    let options = &backend.options;
    let info = RequestInfo {
        service: &options.service,
        version: &options.version,
        host: &options.host,
        zone: &options.zone,
        method: entry.method.clone(),
        path: entry.path.clone(),
        request_id: entry.request_id.clone(),
        idempotency_key: entry.idempotency_key.clone(),
        body_len: body.len(),
    };
    serde_json::to_vec(&info).expect("strings and numbers can be written as JSON")
}

/// Adds the headers that identify the server.
fn with_server_headers(backend: &Backend, mut response: Response<Body>) -> Response<Body> {
    let options = &backend.options;
    let labels = [
        (SERVICE, &options.service),
        (VERSION, &options.version),
        (HOST, &options.host),
        (ZONE, &options.zone),
    ];
    for (name, text) in labels {
        let value = HeaderValue::try_from(text).expect("validated names are valid header values");
        response.headers_mut().insert(name, value);
    }
    response
}
