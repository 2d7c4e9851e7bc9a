//! A bounded load of requests with unique bodies.

use crate::client::{Client, Reply};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Header of the deadline of a request.
const DEADLINE_MS: &str = "knapweed-deadline-ms";
/// Header of the identity of a request.
const IDENTITY: &str = "idempotency-key";
/// Header of the outcome of a request.
const OUTCOME: &str = "knapweed-outcome";

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses to send to, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Number of the first request, which its identity has.
    pub first: usize,
    /// Requests in all.
    pub requests: usize,
    /// Callers, each of which has one request under way at a time.
    pub callers: usize,
    /// Length of a body, in bytes.
    pub body_len: usize,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Pause of a caller between two requests.
    pub pause: Duration,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its own body came back whole.
    Answered,
    /// A whole response of the backend server that reports its failure.
    Failed,
    /// The system says that it was not run.
    NotRun,
    /// The system says that it does not know.
    Unknown,
    /// The connection to the node ended first.
    Cut,
    /// A response with success and another body.
    WrongBody,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Its identity, which the ledgers hold as `idempotency_key`.
    pub identity: String,
    /// The outcome.
    pub outcome: Outcome,
    /// Time from sending to the end.
    pub took: Duration,
    /// Status and text of a response that was not the expected one.
    pub detail: Option<String>,
}

impl Load {
    /// Sends all requests and returns how each ended.
    ///
    /// # Errors
    ///
    /// A caller's task panicked.
    pub async fn run(self, client: &Client) -> anyhow::Result<Vec<Ended>> {
        let next = Arc::new(AtomicUsize::new(0));
        let load = Arc::new(self);
        let callers: Vec<_> = (0..load.callers)
            .map(|_| tokio::spawn(call(Arc::clone(&load), client.clone(), Arc::clone(&next))))
            .collect();
        let mut ended = Vec::with_capacity(load.requests);
        for caller in callers {
            ended.extend(caller.await?);
        }
        Ok(ended)
    }

    async fn request(&self, client: &Client, number: usize) -> Ended {
        let address = self.addresses[number % self.addresses.len()];
        let identity = identity(number);
        let body = unique_body(number, self.body_len);
        let deadline = self.deadline.as_millis().to_string();
        let headers = [(IDENTITY, identity.as_str()), (DEADLINE_MS, &deadline)];
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
        Ended {
            identity,
            outcome,
            took: start.elapsed(),
            detail,
        }
    }
}

async fn call(load: Arc<Load>, client: Client, next: Arc<AtomicUsize>) -> Vec<Ended> {
    let mut ended = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= load.requests {
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

/// The identity of request `number`.
fn identity(number: usize) -> String {
    format!("request-{number}")
}

/// A body of `len` bytes that no other number has; every 8 bytes depend on the
/// number and the position.
fn unique_body(number: usize, len: usize) -> Bytes {
    let words = (0..len.div_ceil(8)).map(|i| {
        let word = (number as u64) << 32 | i as u64;
        word.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes()
    });
    let mut bytes: Vec<u8> = words.flatten().collect();
    bytes.truncate(len);
    bytes.into()
}

/// Number of requests with `outcome`.
pub fn count(ended: &[Ended], outcome: Outcome) -> usize {
    ended.iter().filter(|e| e.outcome == outcome).count()
}
