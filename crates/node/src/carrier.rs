//! How a request gets from the ingress to the egress of the chosen host.

mod inquiry;
mod silence;

use crate::body::{self, Body, RequestBody};
use crate::egress::Egress;
use futures_util::future::BoxFuture;
use knapweed_host::{NotRun, Outcome, Unknown};
use knapweed_timer::TimerService;
use knapweed_transport::stream::Error;
use knapweed_transport::{Peers, Receiver, Sender};
use knapweed_wire::{RequestHead, ResponseHead, StreamHead, decode, encode};
use silence::{Waiting, Watch};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A response on its way to the caller.
#[derive(Debug)]
pub struct Response {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Body,
}

impl Response {
    /// A response without an answer of a backend server.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self {
            head: ResponseHead::without_answer(outcome),
            body: body::empty(),
        }
    }

    /// A response to a request whose backend server died while it ran it.
    pub fn crashed() -> Self {
        let mut response = Self::without_answer(Outcome::Unknown(Unknown::ServerCrashed));
        response.head.crashed = true;
        response
    }
}

/// Carries requests to the node of another host.
pub trait Carrier: Send + Sync {
    /// Sends a request to the node at `node` and waits for the head of its response.
    fn carry<'a>(
        &'a self,
        node: SocketAddr,
        head: RequestHead,
        body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response>;
}

/// Carries requests to the own host, without a network.
pub struct LocalCarrier {
    egress: Arc<Egress>,
}

impl LocalCarrier {
    /// A carrier to `egress`.
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

/// Carries requests over QUIC, one stream for each.
///
/// An exchange whose connection is lost or goes silent is resolved by an
/// inquiry at the same node.
pub struct LinkCarrier {
    peers: Arc<Peers>,
    watch: Watch,
    timer: TimerService,
}

impl LinkCarrier {
    /// A carrier over the connections of `peers`.
    pub fn new(peers: Arc<Peers>, timer: TimerService) -> Self {
        Self {
            watch: Watch::start(Arc::clone(&peers), timer.clone()),
            peers,
            timer,
        }
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        head: RequestHead,
        body: &mut RequestBody,
    ) -> Result<Response, Outcome> {
        let buf = encode(&StreamHead::Request(Box::new(head)))
            .map_err(|_| Outcome::NotRun(NotRun::InvalidHeader))?;
        let (link, mut tx, rx) = self
            .peers
            .open_with_link(node)
            .await
            .map_err(|_| Outcome::NotRun(NotRun::ConnectFailed))?;
        let waiting = self.watch.sent(link);
        // A part of the head never runs: the egress acts on whole heads only.
        // Whether all of it arrived is unknown once the write has begun.
        tx.head(&buf).await.map_err(|err| match err {
            Error::HeadTooLong(_) => Outcome::NotRun(NotRun::InvalidHeader),
            Error::Cancelled | Error::Lost(_) => Outcome::Unknown(Unknown::ConnectionLost),
        })?;
        let upload = Upload::start(body, tx, waiting);
        receive(rx, upload).await
    }

    async fn resolve(
        &self,
        node: SocketAddr,
        head: RequestHead,
        body: &mut RequestBody,
    ) -> Response {
        let sent_at = self.timer.now();
        let left = Duration::from_micros(head.time_left_us);
        let lost = inquiry::Lost {
            node,
            send: head.id,
            sent_at,
            deadline: sent_at.after(left),
        };
        match tokio::time::timeout(left, self.exchange(node, head, body)).await {
            Ok(Ok(response)) => response,
            Ok(Err(Outcome::Unknown(Unknown::ConnectionLost))) => {
                inquiry::resolve(&self.peers, &self.timer, &lost).await
            }
            Ok(Err(outcome)) => Response::without_answer(outcome),
            Err(_) => Response::without_answer(Outcome::Unknown(Unknown::DeadlinePassed)),
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

/// A request whose response is not whole, with its body being sent beside it.
/// Dropping it resets the stream of a body that was not sent.
struct Upload {
    task: Option<JoinHandle<()>>,
    _waiting: Waiting,
}

impl Upload {
    fn start(body: &mut RequestBody, mut tx: Sender, waiting: Waiting) -> Self {
        if body.is_empty() {
            tx.finish();
            return Self {
                task: None,
                _waiting: waiting,
            };
        }
        let body = body.take();
        let task = tokio::spawn(async move {
            // The other end sees the reset of the stream; the response tells the rest.
            let _ = body::send(body, &mut tx).await;
        });
        Self {
            task: Some(task),
            _waiting: waiting,
        }
    }

    /// Keeps the request waiting and its upload going for as long as the response is being read.
    fn attach(self, response: Body) -> Body {
        crate::guarded::Guarded::new(response, self).boxed()
    }
}

impl crate::guarded::Guard for Upload {
    fn complete(&mut self) {
        // The response is whole: the backend server needs no more of the body.
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
