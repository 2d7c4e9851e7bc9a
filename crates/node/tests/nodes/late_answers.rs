//! Answers of the store that the control thread handles late.

use crate::common::mesh::{FixedConfig, TestStore, free_address, until};
use crate::common::{identity, name};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use knapweed_contract::PartCache;
use knapweed_node::node::{Adapters, Node, NodeIdentity};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::source::{ConfigSource, Error, SourceUpdate};
use knapweed_store::api::{Changes, Listing, StoreFuture};
use knapweed_store::{Condition, Object, ObjectKey, ObjectStore, Revision, StoreEra};
use knapweed_transport::certificates::Authority;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which a confirmation holds.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(1);
/// Time for which the control thread is busy.
const BUSY_TIME: Duration = Duration::from_secs(2);
/// Time after that within which no further answer of the store arrives.
const QUIET_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The control thread is not to be kept busy.
const IDLE: u8 = 0;
/// It is kept busy from its next call on.
const REQUESTED: u8 = 1;
/// It is busy.
const BUSY: u8 = 2;
/// It was busy and is no longer.
const DONE: u8 = 3;

/// A store whose era takes a while to read, which stands for any long work of the control thread.
struct BusyStore {
    store: Arc<TestStore>,
    state: Arc<AtomicU8>,
}

impl ObjectStore for BusyStore {
    fn era(&self) -> Option<StoreEra> {
        let state = &self.state;
        let exchanged = state.compare_exchange(REQUESTED, BUSY, Ordering::SeqCst, Ordering::SeqCst);
        if exchanged.is_ok() {
            std::thread::sleep(BUSY_TIME);
            state.store(DONE, Ordering::SeqCst);
        }
        self.store.era()
    }

    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        self.store.read(key)
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        self.store.list(kind)
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        self.store.watch(kind, after, wait)
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        self.store.write(key, value, condition)
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        self.store.delete(key, revision)
    }
}

/// A source whose first watch ends when the control thread has become busy.
struct BusySource {
    config: FixedConfig,
    state: Arc<AtomicU8>,
}

impl ConfigSource for BusySource {
    fn load(&self, known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        self.config.load(known)
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
        known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        Box::pin(async move {
            let update = self.config.watch(after, wait, known).await?;
            if self.state.load(Ordering::SeqCst) == IDLE {
                self.state.store(REQUESTED, Ordering::SeqCst);
                while self.state.load(Ordering::SeqCst) == REQUESTED {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            Ok(update)
        })
    }
}

async fn start(callers: SocketAddr, state: &Arc<AtomicU8>) -> Node {
    let node_identity = NodeIdentity {
        host: name("host-1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        service: None,
        callers,
        nodes: free_address(),
        seeds: Vec::new(),
    };
    let adapters = Adapters {
        store: Arc::new(BusyStore {
            store: TestStore::new(),
            state: Arc::clone(state),
        }),
        configs: Arc::new(BusySource {
            config: FixedConfig::new(&["calendar"], None),
            state: Arc::clone(state),
        }),
        orders: None,
        evacuations: None,
        callers: Box::new(NativeHeaders),
        servers: Arc::new(NativeHeaders),
        identity: identity(&Authority::new().expect("an authority")),
    };
    let node = Node::builder(node_identity).in_force_within(IN_FORCE_WITHIN);
    node.start(adapters).await.expect("a node")
}

/// A free address for callers. It has a loopback IP of this process, so that no other process
/// takes the port meanwhile.
fn free_tcp_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 128, middle, low);
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Status of a request for a path without a route.
async fn status(callers: SocketAddr) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let request = b"GET /nowhere HTTP/1.1\r\nhost: calendar.example\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("a response");
    let text = String::from_utf8_lossy(&response);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Guards against an answer of the store that has waited for the control thread and counts as
/// new: the node answers 404 although it has not heard of the store for longer than allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_waited_for_the_control_thread_is_old() {
    let state = Arc::new(AtomicU8::new(IDLE));
    let callers = free_tcp_address();
    let node = start(callers, &state).await;
    until("the node serves", || node.readiness().is_ready()).await;
    assert_eq!(status(callers).await, "404");
    until("the control thread was busy", || {
        state.load(Ordering::SeqCst) == DONE
    })
    .await;
    let begin = Instant::now();
    let mut statuses = Vec::new();
    while begin.elapsed() < QUIET_TIME {
        statuses.push(status(callers).await);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    statuses.dedup();
    assert_eq!(statuses, ["503"]);
}
