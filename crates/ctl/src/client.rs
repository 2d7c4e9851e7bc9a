//! HTTP client for the operator interface of nodes, which are tried in order.

use crate::error::{Error, Failure};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use knapweed_contract::Outcome;
use knapweed_contract::api::{self, ErrorResponse, FileResponse};
use serde::de::DeserializeOwned;
use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one request. A node retries for several seconds when a ticket is filed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a response body, in bytes.
const MAX_BODY_LEN: usize = 64 << 20;

type HttpClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Sends each request to the nodes in turn until one of them handles it.
pub(crate) struct Client {
    nodes: Vec<SocketAddr>,
    http: HttpClient,
}

/// Status and complete body of a response.
struct RawResponse {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// Creates a client that tries `nodes` in this order.
    pub(crate) fn new(nodes: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self {
            nodes,
            http: builder.build(connector),
        }
    }

    /// Reads a document from the first node that responds; `None` when it responds
    /// that the document does not exist.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, Error> {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self.get_from(*node, path).await {
                Ok(document) => return Ok(document),
                Err(failure) => failures.push(failure),
            }
        }
        Err(Error::Unreachable(failures))
    }

    /// Files a ticket; a node that cannot reach the object store is skipped.
    ///
    /// Filing is idempotent, so the document is sent to the next node when a
    /// response was lost.
    pub(crate) async fn file(&self, document: Bytes) -> Result<FileResponse, Error> {
        let mut failures = Vec::new();
        let mut inconclusive: Option<FileResponse> = None;
        for node in &self.nodes {
            let response = match self.file_at(*node, document.clone()).await {
                Ok(response) => response,
                Err(failure) => {
                    failures.push(failure);
                    continue;
                }
            };
            match response.outcome {
                Outcome::Unavailable { .. } => inconclusive = inconclusive.or(Some(response)),
                Outcome::Unknown { .. } => inconclusive = Some(response),
                _ => return Ok(response),
            }
        }
        let inconclusive = inconclusive.map(|response| match failures.iter().find(|f| f.sent) {
            Some(failure) => with_unknown_outcome(response, failure),
            None => response,
        });
        inconclusive.ok_or(Error::Unreachable(failures))
    }

    async fn get_from<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, Failure> {
        let raw = self.send(node, Method::GET, path, Bytes::new()).await?;
        let document = match raw.status {
            StatusCode::OK => decode(&raw.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(describe(status, &raw.body)),
        };
        document.map_err(|reason| Failure::after_sending(node, reason))
    }

    async fn file_at(&self, node: SocketAddr, document: Bytes) -> Result<FileResponse, Failure> {
        let raw = self
            .send(node, Method::POST, api::TICKETS, document)
            .await?;
        let response = match raw.status {
            StatusCode::OK | StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => {
                decode(&raw.body).map_err(|_| describe(raw.status, &raw.body))
            }
            status => Err(describe(status, &raw.body)),
        };
        response.map_err(|reason| Failure::after_sending(node, reason))
    }

    async fn send(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<RawResponse, Failure> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| Failure::before_sending(node, e.to_string()))?;
        match tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(node, req)).await {
            Ok(result) => result,
            Err(_) => {
                let reason = format!("no answer in {} s", REQUEST_TIMEOUT.as_secs());
                Err(Failure::after_sending(node, reason))
            }
        }
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<RawResponse, Failure> {
        let response = self.http.request(req).await.map_err(|e| {
            let reason = match e.source() {
                Some(source) => format!("{e}: {source}"),
                None => e.to_string(),
            };
            let sent = !e.is_connect();
            Failure { node, reason, sent }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_LEN);
        let body = body.collect().await;
        let body = body.map_err(|e| Failure::after_sending(node, e.to_string()))?;
        let body = body.to_bytes();
        Ok(RawResponse { status, body })
    }
}

/// Turns the outcome into [`Outcome::Unknown`]: another node may have received the
/// ticket, and its response is missing.
fn with_unknown_outcome(response: FileResponse, failure: &Failure) -> FileResponse {
    if matches!(response.outcome, Outcome::Unknown { .. }) {
        return response;
    }
    let Failure { node, reason, .. } = failure;
    let reason = format!("{node} took the ticket and gave no outcome: {reason}");
    FileResponse::new(response.ticket, Outcome::Unknown { reason })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("the answer cannot be read: {e}"))
}

/// Describes an unexpected status, with the node's own error message if it sent one.
fn describe(status: StatusCode, body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(response) => format!("status {}: {}", status.as_u16(), response.error),
        Err(_) => format!("status {}", status.as_u16()),
    }
}
