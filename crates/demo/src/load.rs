//! Closed-loop load: a bounded number of requests with unique bodies and idempotency keys.

use crate::client::{Client, Reply};
use bytes::Bytes;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Request header with the deadline, in milliseconds.
const DEADLINE_MS: &str = "knapweed-deadline-ms";
/// Request header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header with the outcome of a request.
const OUTCOME: &str = "knapweed-outcome";

/// Maximum number of requests of a load that lasts until it may end.
pub const MAX_REQUESTS: usize = 20_000;

/// Parameters of a closed-loop load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses that requests are sent to, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Number of the first request; the idempotency keys are derived from the numbers.
    pub first: usize,
    /// Number of requests, at least.
    pub requests: usize,
    /// Number of callers, each of which has one request in flight at a time.
    pub callers: usize,
    /// Length of each request body, in bytes.
    pub body_len: usize,
    /// Deadline of each request, relative to its start.
    pub deadline: Duration,
    /// Time that a caller waits between a response and its next request.
    pub pause: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A successful response arrived that repeats the request body.
    Answered,
    /// A complete response arrived in which the backend server reports a failure.
    Failed,
    /// The node reports that no backend server ran the request.
    NotRun,
    /// The node reports that it does not know whether the request ran.
    Unknown,
    /// No complete response arrived from the node: the connection closed or the client timed out.
    Cut,
    /// A response with another body, status or outcome header arrived.
    WrongBody,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// Idempotency key, by which the request is found in the ledgers of backend servers.
    pub identity: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// When the request was sent.
    pub sent: Instant,
    /// Time from sending the request to its end.
    pub took: Duration,
    /// Status with which the node itself denied the request, see [`denial`].
    pub denial: Option<StatusCode>,
    /// Status and start of the body of an unexpected response, or the error. `None` if the request
    /// was answered.
    pub detail: Option<String>,
}

/// Progress of a load, which its callers share.
#[derive(Debug)]
struct Progress {
    /// Number of the next request, counted from 0.
    next: AtomicUsize,
    /// Whether the load ends after the requested number.
    may_end: Arc<AtomicBool>,
}

impl Progress {
    /// Whether request `number` is not sent any more.
    fn is_over(&self, number: usize, requests: usize) -> bool {
        number >= MAX_REQUESTS.max(requests)
            || (number >= requests && self.may_end.load(Ordering::Relaxed))
    }
}

impl Load {
    /// Sends all requests and returns the result of each, in no particular order.
    ///
    /// # Errors
    ///
    /// The task of a caller panicked.
    pub async fn run(self, client: &Client) -> anyhow::Result<Vec<FinishedRequest>> {
        let may_end = Arc::new(AtomicBool::new(true));
        self.run_until(client, may_end).await
    }

    /// Sends all requests, and further ones until `may_end` is true or [`MAX_REQUESTS`] have been
    /// sent. Returns the result of each, in no particular order.
    ///
    /// # Errors
    ///
    /// The task of a caller panicked.
    pub async fn run_until(
        self,
        client: &Client,
        may_end: Arc<AtomicBool>,
    ) -> anyhow::Result<Vec<FinishedRequest>> {
        let progress = Arc::new(Progress {
            next: AtomicUsize::new(0),
            may_end,
        });
        let load = Arc::new(self);
        let callers: Vec<_> = (0..load.callers)
            .map(|_| {
                let (load, progress) = (Arc::clone(&load), Arc::clone(&progress));
                tokio::spawn(call(load, client.clone(), progress))
            })
            .collect();
        let mut ended = Vec::with_capacity(load.requests);
        for caller in callers {
            ended.extend(caller.await?);
        }
        Ok(ended)
    }

    async fn request(&self, client: &Client, number: usize) -> FinishedRequest {
        let address = self.addresses[number % self.addresses.len()];
        let identity = identity(number);
        let body = unique_body(number, self.body_len);
        let deadline = self.deadline.as_millis().to_string();
        let headers = [
            (IDEMPOTENCY_KEY, identity.as_str()),
            (DEADLINE_MS, &deadline),
        ];
        let start = Instant::now();
        let reply = client
            .send(Method::POST, address, "/echo", &headers, body.clone())
            .await;
        let outcome = reply.as_ref().map_or(Outcome::Cut, |r| outcome(r, &body));
        let detail = match (&reply, outcome) {
            (_, Outcome::Answered) => None,
            (Ok(r), _) => Some(format!(
                "{} {:?}",
                r.status,
                r.body.slice(..r.body.len().min(200))
            )),
            (Err(e), _) => Some(format!("{e:#}")),
        };
        FinishedRequest {
            identity,
            outcome,
            denial: reply.as_ref().ok().and_then(denial),
            sent: start,
            took: start.elapsed(),
            detail,
        }
    }
}

async fn call(load: Arc<Load>, client: Client, progress: Arc<Progress>) -> Vec<FinishedRequest> {
    let mut ended = Vec::new();
    loop {
        let number = progress.next.fetch_add(1, Ordering::Relaxed);
        if progress.is_over(number, load.requests) {
            return ended;
        }
        ended.push(load.request(&client, load.first + number).await);
        tokio::time::sleep(load.pause).await;
    }
}

fn outcome(reply: &Reply, body: &Bytes) -> Outcome {
    match reply.header(OUTCOME) {
        "not-run" => Outcome::NotRun,
        "unknown" => Outcome::Unknown,
        "answered" if reply.status.is_server_error() => Outcome::Failed,
        "answered" if reply.status == 200 && reply.body == *body => Outcome::Answered,
        _ => Outcome::WrongBody,
    }
}

/// Status with which a node itself denies a request as wrong: one from 300 to 499, except 408, 421
/// and 429, which promise that the request has not run and may be sent again. `None` if the node does
/// not deny it, or passes on the status of a backend server.
pub fn denial(reply: &Reply) -> Option<StatusCode> {
    let is_own = reply.header(OUTCOME) != "answered";
    let is_denial = (300..500).contains(&reply.status.as_u16());
    let is_promise = matches!(reply.status.as_u16(), 408 | 421 | 429);
    (is_own && is_denial && !is_promise).then_some(reply.status)
}

/// Returns the idempotency key of request `number`.
fn identity(number: usize) -> String {
    format!("request-{number}")
}

/// Returns a body of `len` bytes that is unique to request `number`. Every group of 8 bytes depends
/// on the number and the position, so that exchanged or shifted parts are detected.
fn unique_body(number: usize, len: usize) -> Bytes {
    let words = (0..len.div_ceil(8)).map(|i| {
        let word = (number as u64) << 32 | i as u64;
        word.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes()
    });
    let mut bytes: Vec<u8> = words.flatten().collect();
    bytes.truncate(len);
    bytes.into()
}

/// Counts the requests with `outcome`.
pub fn count(ended: &[FinishedRequest], outcome: Outcome) -> usize {
    ended.iter().filter(|e| e.outcome == outcome).count()
}
