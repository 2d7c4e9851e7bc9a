//! Requests of the routes that tickets have added, sent to each node.

use http::{Method, StatusCode};
use knapweed_demo::client::Client;
use knapweed_demo::fleet::route_name;
use knapweed_demo::load::denial;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Pause between two requests to a node.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause after a response with which a node closes its connection. A stopping node waits until no
/// request has arrived for a second.
const LEAVING_PAUSE: Duration = Duration::from_millis(1_500);
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of requests to a node.
const MAX_REQUESTS: u64 = 4_000;

/// A request that a node denied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeniedProbe {
    /// Host of the node.
    pub host: &'static str,
    /// Ticket that added the route.
    pub ticket: u64,
    /// Status of the response.
    pub status: StatusCode,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response arrived.
    pub ended: Instant,
}

/// Sends requests of the routes of all accepted tickets to all nodes until it is dropped.
#[derive(Debug)]
pub struct Prober {
    newest: Arc<AtomicU64>,
    denied: Arc<Mutex<Vec<DeniedProbe>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Prober {
    /// Starts a task for each node, given its host and its address for callers.
    pub fn start(
        client: &Client,
        nodes: impl IntoIterator<Item = (&'static str, SocketAddr)>,
    ) -> Self {
        let mut prober = Self {
            newest: Arc::default(),
            denied: Arc::default(),
            tasks: Vec::new(),
        };
        for (host, address) in nodes {
            let newest = Arc::clone(&prober.newest);
            let denied = Arc::clone(&prober.denied);
            let task = probe(client.clone(), host, address, newest, denied);
            prober.tasks.push(tokio::spawn(task));
        }
        prober
    }

    /// Sets the newest accepted ticket.
    pub fn set_newest(&self, ticket: u64) {
        self.newest.store(ticket, Ordering::Relaxed);
    }

    /// All requests that were denied so far.
    pub fn denied(&self) -> Vec<DeniedProbe> {
        self.denied.lock().expect("no holder panics").clone()
    }
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn probe(
    client: Client,
    host: &'static str,
    address: SocketAddr,
    newest: Arc<AtomicU64>,
    denied: Arc<Mutex<Vec<DeniedProbe>>>,
) {
    for number in 0..MAX_REQUESTS {
        // Ticket 1 adds other routes, which the load uses.
        let tickets = newest.load(Ordering::Relaxed).saturating_sub(1);
        let mut pause = PAUSE;
        if let Some(index) = number.checked_rem(tickets) {
            let ticket = index + 2;
            // Unique, since requests of one content that were running when their server was killed
            // twice are refused as those that crash servers.
            let path = format!("/{}?probe={host}-{number}", route_name(ticket));
            let sent = Instant::now();
            let reply = client.send(Method::GET, address, &path, &[], "");
            // A request without a response is no denial.
            if let Ok(Ok(reply)) = tokio::time::timeout(TIMEOUT, reply).await {
                let probe = denial(&reply).map(|status| DeniedProbe {
                    host,
                    ticket,
                    status,
                    sent,
                    ended: Instant::now(),
                });
                denied.lock().expect("no holder panics").extend(probe);
                if reply.header("connection") == "close" {
                    pause = LEAVING_PAUSE;
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}
