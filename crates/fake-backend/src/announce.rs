//! Announcements to the node on this host.

use crate::backend::{Backend, Lifecycle};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use knapweed_observe::{RateLimit, part};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two announcements.
const INTERVAL: Duration = Duration::from_secs(1);
/// Longest time of an announcement.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two messages about failed announcements, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Document of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Service that is served.
    pub service: String,
    /// Version of the server.
    pub version: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that run at a time.
    pub slots: usize,
    /// Connections at a time.
    pub max_connections: usize,
    /// State.
    pub state: Lifecycle,
}

/// Announces the server to its node.
pub struct Announcer {
    client: Client<HttpConnector, Full<Bytes>>,
    node: SocketAddr,
    address: SocketAddr,
    backend: Arc<Backend>,
    failures: RateLimit,
}

impl Announcer {
    /// Announces that `backend` listens on `address` to the operator port `node`.
    pub fn new(node: SocketAddr, address: SocketAddr, backend: Arc<Backend>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            node,
            address,
            backend,
            failures: RateLimit::every_ms(LOG_INTERVAL_MS),
        }
    }

    /// Announces each second and at each change, until the server is gone.
    pub async fn run(self) {
        let mut state = self.backend.state();
        loop {
            let now = *state.borrow_and_update();
            self.announce(now).await;
            if now == Lifecycle::Gone {
                return;
            }
            // Either a change or the end of the interval.
            let _ = tokio::time::timeout(INTERVAL, state.changed()).await;
        }
    }

    async fn announce(&self, state: Lifecycle) {
        let sent = tokio::time::timeout(TIMEOUT, self.client.request(self.request(state))).await;
        let problem = match sent {
            Ok(Ok(response)) if response.status().is_success() => return,
            Ok(Ok(response)) => response.status().to_string(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer".to_owned(),
        };
        if let Some(suppressed) = self.failures.permit() {
            let node = self.node;
            log::warn!(target: part::PROGRAM, "cannot announce to {node}: {problem}{suppressed}");
        }
    }

    fn request(&self, state: Lifecycle) -> Request<Full<Bytes>> {
        let options = self.backend.options();
        let announcement = Announcement {
            service: options.service.clone(),
            version: options.version.clone(),
            address: self.address,
            slots: options.slots,
            max_connections: options.max_connections,
            state,
        };
        let body = serde_json::to_vec(&announcement).expect("texts and numbers are JSON");
        Request::post(format!("http://{}/v1/announce", self.node))
            .header(header::CONTENT_TYPE, mime::APPLICATION_JSON.as_ref())
            .body(Full::from(body))
            .expect("an address makes a URI")
    }
}
