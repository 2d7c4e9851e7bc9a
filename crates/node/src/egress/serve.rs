//! Requests and inquiries that other nodes send to the egress.

use super::exchanges::{Copy, Record};
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
/// When the connection is lost, the request goes on and its response is kept
/// for an inquiry; when the other node gives it up, it is cancelled.
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
    let deadline = egress.timer.now().after(time_left(&head));
    let exchange = async {
        let response = egress.run(head, body).await;
        let mut delivery = Delivery::new(&mut sender);
        let left = || deadline.since(egress.timer.now());
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

/// Answers a send that was declared as never run.
async fn refuse(mut sender: Sender) {
    let response = Response::without_answer(Outcome::NotRun(NotRun::NeverRan));
    if let Ok(head) = encode(&response.head)
        && sender.head(&head).await.is_ok()
    {
        sender.finish();
    }
}

/// Answers an inquiry about a send made at most `age` ago.
pub async fn inquiry(egress: &Egress, send: SendId, age: Duration, incoming: IncomingStream) {
    let IncomingStream {
        from, mut sender, ..
    } = incoming;
    let finding = egress.exchanges.inquire(send, age);
    let result = async {
        sender.body(encode(&finding)?).await?;
        sender.finish();
        anyhow::Ok(())
    };
    if let Err(err) = result.await {
        log::debug!(target: part::EGRESS, "answer to an inquiry of {from} was cut short: {err}");
    }
}

/// A response on its way to another node.
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
        record: Record,
        left: impl Fn() -> Duration,
    ) -> anyhow::Result<()> {
        let head = encode(&response.head)?;
        let mut copy = Copy::new(response.head);
        let mut body = response.body;
        let sent = self.sender.head(&head).await;
        self.sent(sent)?;
        if self.lost.is_none()
            && let Err(err) = self.pass(&mut body, &mut copy).await
        {
            record.finish(SendResult::Unknown(Unknown::Truncated));
            return Err(err);
        }
        if let Some(cause) = self.lost.take() {
            // Nobody reads any longer, so only the deadline ends this.
            let rest = tokio::time::timeout(left(), keep(&mut body, &mut copy)).await;
            record.finish(match rest {
                Ok(Ok(())) => copy.end(),
                Ok(Err(_)) => SendResult::Unknown(Unknown::Truncated),
                Err(_) => SendResult::Unknown(Unknown::DeadlinePassed),
            });
            anyhow::bail!(cause);
        }
        // Recorded before the last byte, so that no inquiry finds it running.
        record.finish(copy.end());
        self.sender.finish();
        Ok(())
    }

    async fn pass(&mut self, body: &mut Body, copy: &mut Copy) -> anyhow::Result<()> {
        while let Some(frame) = body.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                copy.add(&chunk);
                let sent = self.sender.body(chunk).await;
                self.sent(sent)?;
            }
            if self.lost.is_some() {
                break;
            }
        }
        Ok(())
    }

    /// Notes a lost connection; any other error ends the delivery.
    fn sent(&mut self, result: Result<(), Error>) -> Result<(), Error> {
        match result {
            Err(Error::Lost(cause)) => {
                self.lost = Some(cause);
                Ok(())
            }
            other => other,
        }
    }
}

/// Reads the rest of a body that nobody receives.
async fn keep(body: &mut Body, copy: &mut Copy) -> std::io::Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            copy.add(&chunk);
        }
    }
    Ok(())
}
