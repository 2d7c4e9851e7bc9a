//! Transport of requests from the ingress to the egress of the chosen host.

mod inquiry;
mod link_monitor;

use crate::body::{self, Arrived, Body, MAX_ARRIVED_LEN, RequestBody};
use crate::egress::Egress;
use crate::streamed::{Deadline, StreamedBody};
use futures_util::future::BoxFuture;
use knapweed_host::{ByteBudget, CallerBounds, NotRun, Outcome, Unknown};
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_transport::stream::Error;
use knapweed_transport::{Peers, Receiver, Sender};
use knapweed_wire::{RequestHead, ResponseHead, StreamHead, decode, encode};
use knapweed_world::Time;
use link_monitor::{LinkMonitor, PendingRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A response as the ingress receives it: from the local egress or another node.
#[derive(Debug)]
pub struct Response {
    /// Outcome, status, headers and load report.
    pub head: ResponseHead,
    /// The body; it may still be arriving.
    pub body: Body,
}

impl Response {
    /// Creates a response for a request that has no response from a backend server.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self {
            head: ResponseHead::without_answer(outcome),
            body: body::empty(),
        }
    }

    /// Creates a response for a request that crashed its backend server.
    pub fn crashed() -> Self {
        let mut response = Self::without_answer(Outcome::Unknown(Unknown::ServerCrashed));
        response.head.crashed = true;
        response
    }
}

/// Sends requests to the egress of a host.
pub trait Carrier: Send + Sync {
    /// Sends a request to the node at `node` and waits for the head of its response.
    fn carry<'a>(
        &'a self,
        node: SocketAddr,
        head: RequestHead,
        body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response>;
}

/// Passes requests to the egress of the local host, without a network.
pub struct LocalCarrier {
    egress: Arc<Egress>,
}

impl LocalCarrier {
    /// Creates a carrier for the local `egress`.
    pub fn new(egress: Arc<Egress>) -> Self {
        Self { egress }
    }
}

impl Carrier for LocalCarrier {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        head: RequestHead,
        body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        Box::pin(self.egress.run(head, body.take()))
    }
}

/// Sends requests to other nodes over QUIC, one stream per request.
///
/// When the connection of an exchange is lost or stops receiving, an inquiry to
/// the same node finds out the outcome.
pub struct LinkCarrier {
    peers: Arc<Peers>,
    monitor: LinkMonitor,
    /// Limits the responses that are kept until their callers have read them.
    buffered: Arc<ByteBudget>,
    timer: TimerService,
}

impl LinkCarrier {
    /// Creates a carrier over the connections of `peers`.
    pub fn new(peers: Arc<Peers>, timer: TimerService) -> Self {
        Self {
            monitor: LinkMonitor::start(Arc::clone(&peers), timer.clone()),
            peers,
            buffered: Arc::new(ByteBudget::new(CallerBounds::default().memory)),
            timer,
        }
    }

    /// Reserves the responses that it keeps from `budget`.
    pub fn with_budget(mut self, budget: Arc<ByteBudget>) -> Self {
        self.buffered = budget;
        self
    }

    /// Sends a request and waits for the head of its response. Sets `sent` when any of it may
    /// have been sent.
    async fn exchange(
        &self,
        node: SocketAddr,
        head: RequestHead,
        body: &mut RequestBody,
        sent: &mut bool,
    ) -> Result<Response, Outcome> {
        let buf = encode(&StreamHead::Request(Box::new(head)))
            .map_err(|_| Outcome::NotRun(NotRun::TooLongToForward))?;
        let (link, mut tx, rx) = self
            .peers
            .open_with_link(node)
            .await
            .map_err(|_| Outcome::NotRun(NotRun::ConnectFailed))?;
        let pending = self.monitor.sent(link);
        // The egress acts on complete heads only, so a partial head never runs. Once
        // the write has begun, it is unknown whether the complete head arrived.
        *sent = true;
        tx.head(&buf).await.map_err(|err| match err {
            Error::HeadTooLong(_) => Outcome::NotRun(NotRun::TooLongToForward),
            Error::Cancelled | Error::Lost(_) => Outcome::Unknown(Unknown::ConnectionLost),
        })?;
        let upload = Upload::start(body, tx, pending);
        receive(rx, upload).await
    }

    /// Ends the body of a response at the deadline of its request, unless it has arrived.
    fn limit_body(&self, response: Response, node: SocketAddr, deadline: Time) -> Response {
        let Response { head, body } = response;
        let body = match body::take_arrived(body, MAX_ARRIVED_LEN, &self.buffered) {
            Arrived::Whole(bytes) => body::full(bytes),
            Arrived::Partial(body) => {
                let deadline = Deadline {
                    timer: self.timer.clone(),
                    left: deadline.since(self.timer.now()),
                    part: part::LINK,
                    from: node,
                };
                StreamedBody::new(body, (), deadline).boxed()
            }
        };
        Response { head, body }
    }

    async fn resolve(
        &self,
        node: SocketAddr,
        head: RequestHead,
        body: &mut RequestBody,
    ) -> Response {
        let sent_at = self.timer.now();
        let left = Duration::from_micros(head.time_left_us);
        let lost = inquiry::LostSend {
            node,
            send: head.id,
            sent_at,
            deadline: sent_at.after(left),
        };
        let mut sent = false;
        let exchange = self.exchange(node, head, body, &mut sent);
        let result = tokio::time::timeout(left, exchange).await;
        match result {
            Ok(Ok(response)) => self.limit_body(response, node, lost.deadline),
            Ok(Err(Outcome::Unknown(Unknown::ConnectionLost))) => {
                inquiry::resolve(&self.peers, &self.timer, &lost).await
            }
            Ok(Err(outcome)) => Response::without_answer(outcome),
            Err(_) if sent => Response::without_answer(Outcome::Unknown(Unknown::DeadlinePassed)),
            Err(_) => Response::without_answer(Outcome::NotRun(NotRun::DeadlinePassed)),
        }
    }
}

impl Carrier for LinkCarrier {
    fn carry<'a>(
        &'a self,
        node: SocketAddr,
        head: RequestHead,
        body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        Box::pin(self.resolve(node, head, body))
    }
}

async fn receive(mut rx: Receiver, upload: Upload) -> Result<Response, Outcome> {
    let lost = |_| Outcome::Unknown(Unknown::ConnectionLost);
    let buf = rx.head().await.map_err(lost)?;
    let head: ResponseHead = decode(&buf).map_err(|_| Outcome::Unknown(Unknown::ConnectionLost))?;
    let body = upload.attach(body::from_receiver(rx));
    Ok(Response { head, body })
}

/// The upload of a request body, which runs concurrently until the response is
/// complete. Dropping it resets the stream if the body was not sent completely.
struct Upload {
    task: Option<JoinHandle<()>>,
    _pending: PendingRequest,
}

impl Upload {
    fn start(body: &mut RequestBody, mut tx: Sender, pending: PendingRequest) -> Self {
        if body.is_empty() {
            tx.finish();
            return Self {
                task: None,
                _pending: pending,
            };
        }
        let body = body.take();
        let task = tokio::spawn(async move {
            // On an error the stream is reset for the egress; the response has the outcome.
            let _ = body::send(body, &mut tx).await;
        });
        Self {
            task: Some(task),
            _pending: pending,
        }
    }

    /// Keeps the upload and the monitoring of the connection alive while the
    /// response is read.
    fn attach(self, response: Body) -> Body {
        crate::guarded::GuardedBody::new(response, self).boxed()
    }
}

impl crate::guarded::CompletionGuard for Upload {
    fn complete(&mut self) {
        // The response is complete, so the backend server needs no more of the
        // request body; the drop aborts the upload.
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
