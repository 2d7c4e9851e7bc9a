//! HTTP client that sends a request and classifies how it ended.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Response header in which the node reports the outcome of a request.
const OUTCOME: &str = "knapweed-outcome";
/// Request header that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Outcome that the node reported in the header `knapweed-outcome`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reported {
    /// The response has no such header; it may come directly from a backend server.
    Absent,
    /// `answered`: the response is that of a backend server.
    Answered,
    /// `not-run`: no backend server ran the request.
    NotRun,
    /// `unknown`: a backend server may have run the request.
    Unknown,
    /// Any other value.
    Other,
}

impl Reported {
    fn of(headers: &HeaderMap) -> Self {
        match headers.get(OUTCOME).map(HeaderValue::as_bytes) {
            None => Self::Absent,
            Some(b"answered") => Self::Answered,
            Some(b"not-run") => Self::NotRun,
            Some(b"unknown") => Self::Unknown,
            Some(_) => Self::Other,
        }
    }
}

/// How a request ended for the load generator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete response arrived.
    Response {
        /// HTTP status code.
        status: u16,
        /// Outcome that the node reported.
        reported: Reported,
    },
    /// A successful response arrived whose body differs from that of the request.
    WrongBody,
    /// The response body ended before its declared length.
    Truncated,
    /// No connection could be opened.
    NotConnected,
    /// The connection closed before the response arrived.
    Disconnected,
    /// No complete response arrived within the timeout.
    TimedOut,
    /// The request was not sent, since too many requests were in flight.
    NotSent,
}

impl Outcome {
    /// Whether a complete response with a 2xx status arrived.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Response { status, .. } if (200..300).contains(status))
    }
}

/// A request to send, with what its response must be.
pub struct Call {
    /// The HTTP request, with its body.
    pub request: Request<Full<Bytes>>,
    /// Body that a successful response must have; `None` accepts any.
    pub expected: Option<Bytes>,
    /// Longest time to wait for the complete response.
    pub timeout: Duration,
}

/// Adds the idempotency key `key` to a request. A key that is no valid header value is not added.
pub fn add_key(request: &mut Request<Full<Bytes>>, key: &str) {
    if let Ok(key) = HeaderValue::from_str(key) {
        request.headers_mut().insert(IDEMPOTENCY_KEY, key);
    }
}

/// HTTP client that all requests of a run share.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a client that pools its connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request, reads the whole response and returns the outcome.
    pub async fn send(&self, call: Call) -> Outcome {
        let exchange = self.exchange(call.request, call.expected);
        let timed = tokio::time::timeout(call.timeout, exchange);
        timed.await.unwrap_or(Outcome::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, expected: Option<Bytes>) -> Outcome {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) => return connection_error(&e),
        };
        let (head, body) = response.into_parts();
        let declared = head.headers.get(header::CONTENT_LENGTH).cloned();
        let Ok(body) = body.collect().await else {
            return Outcome::Truncated;
        };
        let body = body.to_bytes();
        let declared = declared.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        if declared.is_some_and(|len| len != body.len()) {
            return Outcome::Truncated;
        }
        classify(&Response::from_parts(head, body), expected.as_ref())
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn connection_error(e: &Error) -> Outcome {
    match e.is_connect() {
        true => Outcome::NotConnected,
        false => Outcome::Disconnected,
    }
}

/// Returns the outcome of a complete response. The body is compared only if the status is 2xx.
fn classify(response: &Response<Bytes>, expected: Option<&Bytes>) -> Outcome {
    let outcome = Outcome::Response {
        status: response.status().as_u16(),
        reported: Reported::of(response.headers()),
    };
    let wrong = expected.is_some_and(|b| b != response.body());
    match outcome.is_success() && wrong {
        true => Outcome::WrongBody,
        false => outcome,
    }
}
