//! Asks an egress what became of a send whose connection was lost.

use super::Response;
use crate::body;
use knapweed_host::inquiry::{INQUIRY_TIMEOUT, SendStatus, Step, StoredResponse};
use knapweed_host::{Answer, Inquiry, Outcome, SendId, Unknown};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_transport::Peers;
use knapweed_wire::{Header, ResponseHead, StreamHead, decode, encode};
use knapweed_world::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest answer to an inquiry, in bytes.
const MAX_FINDING_LEN: usize = 512 * 1024;
/// Inquiries in a row without an answer after which the host counts as lost.
const MAX_UNANSWERED: u32 = 2;

/// A send whose exchange was lost.
pub(super) struct Lost {
    pub(super) node: SocketAddr,
    pub(super) send: SendId,
    pub(super) sent_at: Time,
    pub(super) deadline: Time,
}

/// Asks until the outcome is known, the deadline passes or the host is lost.
pub(super) async fn resolve(peers: &Peers, timer: &TimerService, lost: &Lost) -> Response {
    let (mut inquiry, mut step) = Inquiry::start(lost.sent_at, lost.deadline, timer.now());
    let mut unanswered = 0;
    loop {
        step = match step {
            Step::Ask { age } => match ask(peers, lost, age).await {
                Some(finding) => {
                    unanswered = 0;
                    inquiry.status_received(finding, timer.now())
                }
                None => {
                    unanswered += 1;
                    next_after_silence(&mut inquiry, unanswered, timer.now())
                }
            },
            Step::Wait(until) => {
                timer.sleep(until.since(timer.now())).await;
                inquiry.wake(timer.now())
            }
            Step::Deliver(response) => return deliver(&response),
            Step::End(outcome) => return Response::without_answer(outcome),
        };
    }
}

fn next_after_silence(inquiry: &mut Inquiry, unanswered: u32, now: Time) -> Step {
    if unanswered >= MAX_UNANSWERED {
        // Waiting for the deadline would leave no time for a retry elsewhere.
        return Step::End(Outcome::Unknown(Unknown::ConnectionLost));
    }
    inquiry.wake(now)
}

async fn ask(peers: &Peers, lost: &Lost, age: Duration) -> Option<SendStatus> {
    let node = lost.node;
    match tokio::time::timeout(INQUIRY_TIMEOUT, exchange(peers, lost, age)).await {
        Ok(Ok(finding)) => Some(finding),
        Ok(Err(err)) => {
            log::debug!(target: part::LINK, "no answer to an inquiry at {node}: {err}");
            None
        }
        Err(_) => None,
    }
}

async fn exchange(peers: &Peers, lost: &Lost, age: Duration) -> anyhow::Result<SendStatus> {
    let head = StreamHead::Inquire {
        send: lost.send,
        age_us: age.as_micros() as u64,
    };
    let (mut tx, mut rx) = peers.open(lost.node).await?;
    tx.head(&encode(&head)?).await?;
    tx.finish();
    Ok(decode(&rx.rest(MAX_FINDING_LEN).await?)?)
}

fn deliver(response: &Arc<StoredResponse>) -> Response {
    let headers = response.headers.iter().cloned();
    let headers = headers.map(|(name, value)| Header { name, value });
    Response {
        head: ResponseHead {
            outcome: Outcome::Answered(Answer::Complete),
            crashed: false,
            status: response.status,
            headers: headers.collect(),
            retry_after_us: None,
            load: None,
        },
        body: body::full(response.body.clone()),
    }
}
