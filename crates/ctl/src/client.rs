//! HTTP requests to nodes, tried in order.

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

/// Longest time for one request; filing retries for some seconds inside the node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest body of an answer, in bytes.
const MAX_BODY_LEN: usize = 64 << 20;

type HttpClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Sends requests to nodes.
pub(crate) struct Client {
    nodes: Vec<SocketAddr>,
    http: HttpClient,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client of these nodes.
    pub(crate) fn new(nodes: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self {
            nodes,
            http: builder.build(connector),
        }
    }

    /// Reads a document; `None` when the node says that it does not exist.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, Error> {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self.get_from(*node, path).await {
                Ok(document) => return Ok(document),
                Err(reason) => failures.push(Failure {
                    node: *node,
                    reason,
                }),
            }
        }
        Err(Error::Unreachable(failures))
    }

    /// Files a document; a node that cannot reach the platform is passed over.
    ///
    /// Filing is idempotent, so a request whose answer was lost is sent again.
    pub(crate) async fn file(&self, document: Bytes) -> Result<FileResponse, Error> {
        let mut failures = Vec::new();
        let mut undecided: Option<FileResponse> = None;
        for node in &self.nodes {
            let response = match self.file_at(*node, document.clone()).await {
                Ok(response) => response,
                Err(reason) => {
                    let node = *node;
                    failures.push(Failure { node, reason });
                    continue;
                }
            };
            match response.outcome {
                Outcome::Unavailable { .. } => undecided = undecided.or(Some(response)),
                Outcome::Unknown { .. } => undecided = Some(response),
                _ => return Ok(response),
            }
        }
        undecided.ok_or(Error::Unreachable(failures))
    }

    async fn get_from<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, String> {
        let answer = self.send(node, Method::GET, path, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(describe(status, &answer.body)),
        }
    }

    async fn file_at(&self, node: SocketAddr, document: Bytes) -> Result<FileResponse, String> {
        let answer = self
            .send(node, Method::POST, api::TICKETS, document)
            .await?;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => {
                decode(&answer.body).map_err(|_| describe(answer.status, &answer.body))
            }
            status => Err(describe(status, &answer.body)),
        }
    }

    async fn send(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        match tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(format!("no answer in {} s", REQUEST_TIMEOUT.as_secs())),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Answer, String> {
        let response = self.http.request(req).await.map_err(|e| match e.source() {
            Some(source) => format!("{e}: {source}"),
            None => e.to_string(),
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_LEN);
        let body = body.collect().await.map_err(|e| e.to_string())?;
        let body = body.to_bytes();
        Ok(Answer { status, body })
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("the answer cannot be read: {e}"))
}

fn describe(status: StatusCode, body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(response) => format!("status {}: {}", status.as_u16(), response.error),
        Err(_) => format!("status {}", status.as_u16()),
    }
}
