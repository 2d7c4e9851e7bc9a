//! Serves the requests and inquiries that other nodes send to the egress.

use super::exchanges::{ResponseCopy, SendRecord};
use super::{Egress, time_left};
use crate::body::{self, Body};
use crate::carrier::Response;
use crate::request_log::{self, RequestId};
use http_body_util::BodyExt;
use knapweed_host::inquiry::{Begin, SendResult};
use knapweed_host::{NotRun, Outcome, SendId, Unknown};
use knapweed_observe::part;
use knapweed_transport::stream::Error;
use knapweed_transport::{IncomingStream, Sender};
use knapweed_wire::{RequestHead, encode};
use std::sync::Arc;
use std::time::Duration;

/// Runs one request from another node and sends its response.
///
/// When the connection is lost, the request continues and its response is stored
/// for an inquiry. When the other node resets the stream, the request is cancelled.
pub async fn request(egress: Arc<Egress>, head: RequestHead, incoming: IncomingStream) {
    let IncomingStream {
        from,
        mut sender,
        receiver,
    } = incoming;
    let record = match egress.exchanges.begin(head.id) {
        Ok(record) => record,
        Err(Begin::Refuse) => return refuse(sender).await,
        // Dropping the sender resets the stream.
        Err(Begin::Repeated | Begin::Run) => return,
    };
    let body = if head.has_body {
        body::from_receiver(receiver)
    } else {
        body::empty()
    };
    let cancelled = sender.cancelled();
    let id = head.caller_id.clone();
    let deadline = egress.shared.timer.now().after(time_left(&head));
    let exchange = async {
        let mut response = egress.run(head, body).await;
        response.body = egress.shared.count_uplink(response.body);
        let mut delivery = Delivery::new(&mut sender);
        let left = || deadline.since(egress.shared.timer.now());
        delivery.run(response, record, left).await
    };
    tokio::select! {
        result = exchange => {
            if let Err(err) = result {
                log::info!(
                    target: part::EGRESS,
                    request:% = RequestId(id.as_ref());
                    "response to {from} was cut short: {err}"
                );
            }
        }
        // Dropping the exchange cancels the request at the backend server.
        () = cancelled => request_log::cancelled(id.as_ref(), &from),
    }
}

/// Replies to a send that an earlier inquiry has declared as never run.
async fn refuse(mut sender: Sender) {
    let response = Response::without_answer(Outcome::NotRun(NotRun::NeverRan));
    if let Ok(head) = encode(&response.head)
        && sender.head(&head).await.is_ok()
    {
        sender.finish();
    }
}

/// Replies to an inquiry about a send that was made at most `age` ago.
pub async fn inquiry(egress: &Egress, send: SendId, age: Duration, incoming: IncomingStream) {
    let IncomingStream {
        from, mut sender, ..
    } = incoming;
    let status = egress.exchanges.inquire(send, age);
    let result = async {
        sender.body(encode(&status)?).await?;
        sender.finish();
        anyhow::Ok(())
    };
    if let Err(err) = result.await {
        log::debug!(target: part::EGRESS, "answer to an inquiry of {from} was cut short: {err}");
    }
}

/// Delivery of a response to another node.
struct Delivery<'a> {
    sender: &'a mut Sender,
    lost: Option<String>,
}

impl<'a> Delivery<'a> {
    fn new(sender: &'a mut Sender) -> Self {
        Self { sender, lost: None }
    }

    /// Sends the response and records how the send ended.
    async fn run(
        &mut self,
        response: Response,
        record: SendRecord,
        left: impl Fn() -> Duration,
    ) -> anyhow::Result<()> {
        let head = encode(&response.head)?;
        let mut copy = ResponseCopy::new(response.head);
        let mut body = response.body;
        let sent = self.sender.head(&head).await;
        self.check_sent(sent)?;
        if self.lost.is_none()
            && let Err(err) = self.forward(&mut body, &mut copy).await
        {
            record.finish(SendResult::Unknown(Unknown::Truncated));
            return Err(err);
        }
        if let Some(cause) = self.lost.take() {
            // Without a receiver there is no cancellation: only the deadline limits this.
            let rest = tokio::time::timeout(left(), read_rest(&mut body, &mut copy)).await;
            record.finish(match rest {
                Ok(Ok(())) => copy.send_result(),
                Ok(Err(_)) => SendResult::Unknown(Unknown::Truncated),
                Err(_) => SendResult::Unknown(Unknown::DeadlinePassed),
            });
            anyhow::bail!(cause);
        }
        // Recorded before the stream is finished, so that an inquiry that follows
        // does not find the send still running.
        record.finish(copy.send_result());
        self.sender.finish();
        Ok(())
    }

    async fn forward(&mut self, body: &mut Body, copy: &mut ResponseCopy) -> anyhow::Result<()> {
        while let Some(frame) = body.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                copy.add(&chunk);
                let sent = self.sender.body(chunk).await;
                self.check_sent(sent)?;
            }
            if self.lost.is_some() {
                break;
            }
        }
        Ok(())
    }

    /// Records a lost connection in `lost`; any other error ends the delivery.
    fn check_sent(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        match result {
            Err(Error::Lost(cause)) => {
                self.lost = Some(cause);
                Ok(())
            }
            other => other,
        }
    }
}

/// Reads the rest of a body into `copy` after the connection was lost.
async fn read_rest(body: &mut Body, copy: &mut ResponseCopy) -> std::io::Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            copy.add(&chunk);
        }
    }
    Ok(())
}
