//! Announces the server to the node on its host, which then sends requests to it.

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

/// Time between two announcements of an unchanged state.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time to wait for the response to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two log lines about failed announcements, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the service that the server provides.
    pub service: String,
    /// Version of the service that the server runs.
    pub version: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the server runs concurrently.
    pub slots: usize,
    /// Number of connections that the server keeps open; further ones are closed at once.
    pub max_connections: usize,
    /// Lifecycle state at the time of the announcement.
    pub state: Lifecycle,
}

/// Sends announcements to the operator port of the node.
pub struct Announcer {
    client: Client<HttpConnector, Full<Bytes>>,
    node: SocketAddr,
    address: SocketAddr,
    backend: Arc<Backend>,
    failures: RateLimit,
}

impl Announcer {
    /// Creates an announcer of `backend`, which listens on `address`, to the operator port `node`.
    pub fn new(node: SocketAddr, address: SocketAddr, backend: Arc<Backend>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            node,
            address,
            backend,
            failures: RateLimit::every_ms(LOG_INTERVAL_MS),
        }
    }

    /// Announces the state every second and whenever it changes, and returns after announcing
    /// [`Lifecycle::Gone`].
    pub async fn run(self) {
        let mut state = self.backend.state();
        loop {
            let now = *state.borrow_and_update();
            self.announce(now).await;
            if now == Lifecycle::Gone {
                return;
            }
            // The next announcement is due at a change of state or at the end of the interval.
            let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, state.changed()).await;
        }
    }

    async fn announce(&self, state: Lifecycle) {
        let sent =
            tokio::time::timeout(ANNOUNCE_TIMEOUT, self.client.request(self.request(state))).await;
        let problem = match sent {
            Ok(Ok(response)) if response.status().is_success() => return,
            Ok(Ok(response)) => response.status().to_string(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no response in time".to_owned(),
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
        let body =
            serde_json::to_vec(&announcement).expect("strings and numbers can be written as JSON");
        Request::post(format!("http://{}/v1/announce", self.node))
            .header(header::CONTENT_TYPE, mime::APPLICATION_JSON.as_ref())
            .body(Full::from(body))
            .expect("a socket address is a valid URI authority")
    }
}
