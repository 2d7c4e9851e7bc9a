//! Inquires at an egress about the outcome of a send whose connection was lost.

use super::Response;
use crate::body;
use knapweed_host::inquiry::{INQUIRY_TIMEOUT, SendStatus, Step, StoredResponse};
use knapweed_host::{Answer, Inquiry, Outcome, SendId, Unknown};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_transport::peers::Error;
use knapweed_transport::{Peers, Receiver, Sender};
use knapweed_wire::{Header, ResponseHead, StreamHead, decode, encode};
use knapweed_world::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest reply to an inquiry, in bytes.
const MAX_REPLY_LEN: usize = 512 * 1024;
/// Consecutive inquiries without a reply after which the host counts as lost.
const MAX_UNANSWERED_INQUIRIES: u32 = 2;

/// Time after which a connection that could not be opened is tried again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(20);

/// A send whose connection was lost before its response was complete.
pub(super) struct LostSend {
    pub(super) node: SocketAddr,
    pub(super) send: SendId,
    pub(super) sent_at: Time,
    pub(super) deadline: Time,
}

/// Repeats the inquiry until the outcome is known, the deadline passes or the host
/// counts as lost.
pub(super) async fn resolve(peers: &Peers, timer: &TimerService, lost_send: &LostSend) -> Response {
    let (mut inquiry, mut step) =
        Inquiry::start(lost_send.sent_at, lost_send.deadline, timer.now());
    let mut unanswered = 0;
    loop {
        step = match step {
            Step::Ask { age } => match inquire(peers, timer, lost_send, age).await {
                Some(send_status) => {
                    unanswered = 0;
                    inquiry.status_received(send_status, timer.now())
                }
                None => {
                    unanswered += 1;
                    next_after_failure(&mut inquiry, unanswered, timer.now())
                }
            },
            Step::Wait(until) => {
                timer.sleep(until.since(timer.now())).await;
                inquiry.wake(timer.now())
            }
            Step::Deliver(response) => return to_response(&response),
            Step::End(outcome) => return Response::without_answer(outcome),
        };
    }
}

fn next_after_failure(inquiry: &mut Inquiry, unanswered: u32, now: Time) -> Step {
    if unanswered >= MAX_UNANSWERED_INQUIRIES {
        // Waiting until the deadline would leave no time for a retry on another host.
        return Step::End(Outcome::Unknown(Unknown::ConnectionLost));
    }
    inquiry.wake(now)
}

async fn inquire(
    peers: &Peers,
    timer: &TimerService,
    lost_send: &LostSend,
    age: Duration,
) -> Option<SendStatus> {
    let node = lost_send.node;
    let exchange = exchange(peers, timer, lost_send, age);
    match tokio::time::timeout(INQUIRY_TIMEOUT, exchange).await {
        Ok(Ok(send_status)) => Some(send_status),
        Ok(Err(err)) => {
            log::debug!(target: part::LINK, "inquiry at {node} failed: {err}");
            None
        }
        Err(_) => None,
    }
}

/// Opens a stream to a node. Unlike a request, an inquiry has no other node to go to, so it
/// waits while the transport refuses to open a connection.
async fn open(
    peers: &Peers,
    timer: &TimerService,
    node: SocketAddr,
) -> Result<(Sender, Receiver), Error> {
    loop {
        match peers.open(node).await {
            Err(Error::Dial { .. }) => timer.sleep(REOPEN_INTERVAL).await,
            opened => return opened,
        }
    }
}

async fn exchange(
    peers: &Peers,
    timer: &TimerService,
    lost_send: &LostSend,
    age: Duration,
) -> anyhow::Result<SendStatus> {
    let head = StreamHead::Inquire {
        send: lost_send.send,
        age_us: age.as_micros() as u64,
    };
    let (mut tx, mut rx) = open(peers, timer, lost_send.node).await?;
    tx.head(&encode(&head)?).await?;
    tx.finish();
    Ok(decode(&rx.rest(MAX_REPLY_LEN).await?)?)
}

fn to_response(response: &Arc<StoredResponse>) -> Response {
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
