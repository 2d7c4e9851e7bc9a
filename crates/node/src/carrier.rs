//! How a request gets from the ingress to the egress of the chosen host.

use crate::body::{self, Body, RequestBody};
use crate::egress::Egress;
use futures_util::future::BoxFuture;
use knapweed_host::{NotRun, Outcome, Unknown};
use knapweed_transport::{Peers, Receiver, Sender};
use knapweed_wire::{RequestHead, ResponseHead, StreamHead, decode, encode};
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
pub struct LinkCarrier {
    peers: Arc<Peers>,
}

impl LinkCarrier {
    /// A carrier over the connections of `peers`.
    pub fn new(peers: Arc<Peers>) -> Self {
        Self { peers }
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        head: RequestHead,
        body: &mut RequestBody,
    ) -> Result<Response, Outcome> {
        let time_left = Duration::from_micros(head.time_left_us);
        let exchange = async {
            let buf = encode(&StreamHead::Request(Box::new(head)))
                .map_err(|_| Outcome::NotRun(NotRun::InvalidHeader))?;
            let (mut tx, rx) = self
                .peers
                .open(node)
                .await
                .map_err(|_| Outcome::NotRun(NotRun::ConnectFailed))?;
            // A part of the head never runs: the egress acts on whole heads only.
            // Whether all of it arrived is unknown once the write has begun.
            tx.head(&buf)
                .await
                .map_err(|_| Outcome::Unknown(Unknown::ConnectionLost))?;
            let upload = Upload::start(body, tx);
            receive(rx, upload).await
        };
        match tokio::time::timeout(time_left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Outcome::Unknown(Unknown::DeadlinePassed)),
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
        Box::pin(async move {
            self.exchange(node, head, body)
                .await
                .unwrap_or_else(Response::without_answer)
        })
    }
}

async fn receive(mut rx: Receiver, upload: Upload) -> Result<Response, Outcome> {
    let lost = |_| Outcome::Unknown(Unknown::ConnectionLost);
    let buf = rx.head().await.map_err(lost)?;
    let head: ResponseHead = decode(&buf).map_err(|_| Outcome::Unknown(Unknown::ConnectionLost))?;
    let body = upload.attach(body::from_receiver(rx));
    Ok(Response { head, body })
}

/// A request body being sent beside the response; dropping it resets the stream.
struct Upload {
    task: Option<JoinHandle<()>>,
}

impl Upload {
    fn start(body: &mut RequestBody, mut tx: Sender) -> Self {
        if body.is_empty() {
            tx.finish();
            return Self { task: None };
        }
        let body = body.take();
        let task = tokio::spawn(async move {
            // The other end sees the reset of the stream; the response tells the rest.
            let _ = body::send(body, &mut tx).await;
        });
        Self { task: Some(task) }
    }

    /// Keeps the upload going for as long as the response is being read.
    fn attach(self, response: Body) -> Body {
        if self.task.is_none() {
            return response;
        }
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
