//! Starts a backend server in the test process, and sends requests to it.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use bytes::Bytes;
use http::request::Builder;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use knapweed_fake_backend::backend::Backend;
use knapweed_fake_backend::server;
use knapweed_fake_backend::settings::Options;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

pub(crate) struct FakeBackend {
    pub(crate) address: SocketAddr,
    pub(crate) backend: Arc<Backend>,
}

pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

pub(crate) fn options() -> Options {
    Options {
        listen: "127.0.0.1:0".parse().expect("an address"),
        host: "a-1".into(),
        zone: "labasa-a".into(),
        service: "calendar".into(),
        version: "v1".into(),
        slots: 2,
        queue: 3,
        max_connections: 20,
        connection_cost: Duration::ZERO,
        work: Duration::from_millis(1),
        cold_start: Duration::ZERO,
        probe_cost: Duration::ZERO,
        drain: Duration::from_secs(5),
        announce: None,
    }
}

pub(crate) async fn start(options: Options) -> FakeBackend {
    let listener = TcpListener::bind(options.listen).await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let backend = Backend::new(options);
    tokio::spawn(server::serve(listener, Arc::clone(&backend)));
    FakeBackend { address, backend }
}

pub(crate) fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request, which `configure` completes, over a new connection.
pub(crate) async fn send(
    address: SocketAddr,
    path: &str,
    configure: impl FnOnce(Builder) -> Builder,
    body: impl Into<Bytes>,
) -> ReceivedResponse {
    let request = configure(Request::builder().uri(format!("http://{address}{path}")));
    let request = request.body(Full::new(body.into())).expect("a request");
    let response = client().request(request).await.expect("a response");
    let (head, body) = response.into_parts();
    ReceivedResponse {
        status: head.status,
        headers: head.headers,
        body: body.collect().await.expect("a body").to_bytes(),
    }
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> ReceivedResponse {
    send(address, path, |r| r, "").await
}

pub(crate) async fn put_faults(address: SocketAddr, doc: &'static str) -> StatusCode {
    send(address, "/faults", |r| r.method("PUT"), doc)
        .await
        .status
}

/// Waits until `done` returns true, and panics after 5 s.
pub(crate) async fn until(done: impl Fn() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition was not met within 5 s");
}
