//! Collects histories from nodes over HTTP, and from files.

use crate::Options;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use knapweed_observe::History;
use knapweed_observe::history::PATH;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Limit on concurrent requests to nodes.
const MAX_CONCURRENT: usize = 16;
/// Limit on the length of a response body, in bytes.
const MAX_HISTORY_LEN: usize = 64 * 1024 * 1024;

/// Reason why a source provided no history.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node did not send the complete response within the timeout.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The connection or the exchange of HTTP headers failed.
    #[error("could not ask: {0}")]
    Unreachable(String),
    /// The status of the response is not 200.
    #[error("answered with status {0}")]
    Status(StatusCode),
    /// The body ended early or is longer than 64 MiB.
    #[error("could not read the response body: {0}")]
    Body(String),
    /// The file cannot be read.
    #[error("could not read the file: {0}")]
    File(#[from] std::io::Error),
    /// The content is not a history in JSON.
    #[error("not a history: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A source that provided no history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Address of the node, or path of the file.
    pub source: String,
    /// Text of the [`Error`].
    pub reason: String,
}

/// Histories of all sources, and the sources that failed.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    /// Histories, one per run of a node process.
    pub histories: Vec<History>,
    /// Sources that provided no history.
    pub failures: Vec<Failure>,
}

impl Collected {
    fn add(&mut self, source: String, result: Result<History, Error>) {
        match result {
            Ok(history) => self.histories.push(history),
            Err(err) => self.failures.push(Failure {
                source,
                reason: err.to_string(),
            }),
        }
    }

    /// Keeps the latest history of each run of a node process, so that a request
    /// counts once when both a saved history and the response of the node hold it.
    pub fn without_duplicates(mut self) -> Self {
        let mut latest = BTreeMap::new();
        self.histories.sort_by_key(|h| h.until);
        for history in self.histories.drain(..) {
            latest.insert((history.host.clone(), history.since), history);
        }
        self.histories = latest.into_values().collect();
        self.failures.sort_by(|a, b| a.source.cmp(&b.source));
        self
    }
}

/// Queries all nodes and reads all files of `options`.
pub async fn collect(options: &Options) -> Collected {
    let mut collected = Collected::default();
    for file in &options.files {
        collected.add(file.display().to_string(), read_file(file));
    }
    let responses = stream::iter(options.nodes.iter().copied());
    let mut responses = responses
        .map(|node| async move { (node, query(node, options.timeout).await) })
        .buffer_unordered(MAX_CONCURRENT);
    while let Some((node, result)) = responses.next().await {
        collected.add(node.to_string(), result);
    }
    collected.without_duplicates()
}

fn read_file(file: &Path) -> Result<History, Error> {
    let bytes = std::fs::read(file)?;
    Ok(serde_json::from_slice(&bytes)?)
}

async fn query(node: SocketAddr, timeout: Duration) -> Result<History, Error> {
    let timed = tokio::time::timeout(timeout, fetch(node));
    timed.await.unwrap_or(Err(Error::TimedOut(timeout)))
}

async fn fetch(node: SocketAddr) -> Result<History, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::get(format!("http://{node}{PATH}"))
        .body(Full::default())
        .map_err(|err| Error::Unreachable(err.to_string()))?;
    let response = client.request(request).await;
    let response = response.map_err(|err| Error::Unreachable(innermost_cause(&err)))?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_HISTORY_LEN);
    let body = body.collect().await;
    let bytes = body.map_err(|err| Error::Body(err.to_string()))?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

/// Text of the innermost cause: the outer errors only repeat that the client
/// failed.
fn innermost_cause(err: &dyn std::error::Error) -> String {
    let mut innermost = err;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
