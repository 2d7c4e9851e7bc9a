//! One request and its outcome.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header with the outcome, as the node reports it.
const OUTCOME: &str = "knapweed-outcome";
/// Header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Outcome that the node reported.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reported {
    /// The header is absent.
    Absent,
    /// A backend server answered.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The header has another value.
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

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete response.
    Response {
        /// HTTP status.
        status: u16,
        /// Outcome that the node reported.
        reported: Reported,
    },
    /// A response whose body is not the one sent.
    WrongBody,
    /// A response whose body ended early.
    Truncated,
    /// No connection.
    NotConnected,
    /// The connection ended before the response.
    Disconnected,
    /// No complete response in time.
    TimedOut,
    /// Not sent, since too many requests were waiting.
    NotSent,
}

impl Outcome {
    /// Whether it is a complete response with a status of success.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Response { status, .. } if (200..300).contains(status))
    }
}

/// A request to send.
pub struct Call {
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// The body that a successful response must have.
    pub expected: Option<Bytes>,
    /// Longest time to wait for the response.
    pub timeout: Duration,
}

/// Adds an idempotency key to a request.
pub fn add_key(request: &mut Request<Full<Bytes>>, key: &str) {
    if let Ok(key) = HeaderValue::from_str(key) {
        request.headers_mut().insert(IDEMPOTENCY_KEY, key);
    }
}

/// The HTTP client of a run.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// A client that keeps every connection open.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and reads its whole response.
    pub async fn send(&self, call: Call) -> Outcome {
        let exchange = self.exchange(call.request, call.expected);
        let timed = tokio::time::timeout(call.timeout, exchange);
        timed.await.unwrap_or(Outcome::TimedOut)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, expected: Option<Bytes>) -> Outcome {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) => return failure(&e),
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

fn failure(e: &Error) -> Outcome {
    match e.is_connect() {
        true => Outcome::NotConnected,
        false => Outcome::Disconnected,
    }
}

/// The outcome of a complete response; only a success must repeat the body.
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
