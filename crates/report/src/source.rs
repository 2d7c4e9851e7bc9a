//! Histories from nodes and files.

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

/// Nodes that are asked at a time.
const MAX_CONCURRENT: usize = 16;
/// Longest history, in bytes.
const MAX_HISTORY_LEN: usize = 64 * 1024 * 1024;

/// The reason why a source gave no history.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node did not answer in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The node cannot be reached.
    #[error("could not ask: {0}")]
    Unreachable(String),
    /// The answer is not a success.
    #[error("answered with status {0}")]
    Status(StatusCode),
    /// The answer ended early or is too long.
    #[error("the answer was not read: {0}")]
    Unread(String),
    /// The file cannot be read.
    #[error("could not read the file: {0}")]
    File(#[from] std::io::Error),
    /// The text is not a history.
    #[error("not a history: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A source without a history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The address or file.
    pub source: String,
    /// Why.
    pub reason: String,
}

/// What the sources gave.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    /// Histories, one per run of a node.
    pub histories: Vec<History>,
    /// Sources without one.
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

    /// Keeps the longest history of each run of a node, so that a request in a
    /// saved history and in the answer of its node counts once.
    pub fn without_duplicates(mut self) -> Self {
        let mut newest = BTreeMap::new();
        self.histories.sort_by_key(|h| h.until);
        for history in self.histories.drain(..) {
            newest.insert((history.host.clone(), history.since), history);
        }
        self.histories = newest.into_values().collect();
        self.failures.sort_by(|a, b| a.source.cmp(&b.source));
        self
    }
}

/// Asks all nodes and reads all files of `options`.
pub async fn collect(options: &Options) -> Collected {
    let mut collected = Collected::default();
    for file in &options.files {
        collected.add(file.display().to_string(), read(file));
    }
    let answers = stream::iter(options.nodes.iter().copied());
    let mut answers = answers
        .map(|node| async move { (node, ask(node, options.timeout).await) })
        .buffer_unordered(MAX_CONCURRENT);
    while let Some((node, result)) = answers.next().await {
        collected.add(node.to_string(), result);
    }
    collected.without_duplicates()
}

fn read(file: &Path) -> Result<History, Error> {
    let bytes = std::fs::read(file)?;
    Ok(serde_json::from_slice(&bytes)?)
}

async fn ask(node: SocketAddr, timeout: Duration) -> Result<History, Error> {
    let timed = tokio::time::timeout(timeout, fetch(node));
    timed.await.unwrap_or(Err(Error::TimedOut(timeout)))
}

async fn fetch(node: SocketAddr) -> Result<History, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::get(format!("http://{node}{PATH}"))
        .body(Full::default())
        .map_err(|err| Error::Unreachable(err.to_string()))?;
    let response = client.request(request).await;
    let response = response.map_err(|err| Error::Unreachable(with_cause(&err)))?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_HISTORY_LEN);
    let body = body.collect().await;
    let bytes = body
        .map_err(|err| Error::Unread(err.to_string()))?
        .to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

/// The innermost cause, since the outer ones only repeat that the client failed.
fn with_cause(err: &dyn std::error::Error) -> String {
    let mut innermost = err;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
