//! Whole nodes in the test process, with an object store in memory that can lose data.

use super::{identity, name};
use crate::evacuations::TestEvacuations;
use futures_util::future::BoxFuture;
use knapweed_contract::head::Accepted;
use knapweed_contract::{Head, PartCache, parts};
use knapweed_node::node::{Adapters, Node, NodeIdentity};
use knapweed_node::orders::{Order, Orders, Progress, RolloutOrders};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::source::{ConfigSource, Error as SourceError, LoadedConfig, SourceUpdate};
use knapweed_store::api::{Changes, Listing, StoreFuture};
use knapweed_store::memory::Limits;
use knapweed_store::{
    Condition, Error, MemoryStore, Object, ObjectKey, ObjectStore, Revision, StoreEra,
};
use knapweed_transport::certificates::Authority;
use knapweed_world::config::ServiceConfig;
use knapweed_world::{Config, ConfigVersion, Name, TicketNumber, UnixMillis};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Object kind of the orders.
const ORDERS: &str = "orders";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A store in memory that records writes and can refuse those of rollout states.
pub(crate) struct TestStore {
    pub(crate) memory: MemoryStore,
    pub(crate) refuses_states: AtomicBool,
    /// Kinds of the objects that were read one by one.
    pub(crate) kinds_read: Mutex<Vec<String>>,
    /// Keys and values of all writes, also of refused ones.
    pub(crate) proposed: Mutex<Vec<(ObjectKey, bytes::Bytes)>>,
    /// Time that a listing takes.
    pub(crate) list_delay: Mutex<Duration>,
}

impl TestStore {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            memory: MemoryStore::with_limits(Limits::NONE),
            refuses_states: AtomicBool::new(false),
            kinds_read: Mutex::default(),
            proposed: Mutex::default(),
            list_delay: Mutex::default(),
        })
    }

    pub(crate) async fn put(&self, key: &ObjectKey, value: &impl Serialize) {
        let value = serde_json::to_vec(value).expect("a document");
        let current = self.memory.peek(key).map(|o| o.revision);
        let condition = current.map_or(Condition::Absent, Condition::Revision);
        let written = self.memory.write(key, value.into(), condition).await;
        written.expect("a write");
    }

    pub(crate) fn value(&self, key: &ObjectKey) -> Option<bytes::Bytes> {
        self.memory.peek(key).map(|object| object.value)
    }
}

impl ObjectStore for TestStore {
    fn era(&self) -> Option<StoreEra> {
        self.memory.era()
    }

    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Option<Object>> {
        self.kinds_read.lock().push(key.kind().to_owned());
        self.memory.read(key)
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing> {
        let delay = *self.list_delay.lock();
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            self.memory.list(kind).await
        })
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Changes> {
        self.memory.watch(kind, after, wait)
    }

    fn write<'a>(
        &'a self,
        key: &'a ObjectKey,
        value: bytes::Bytes,
        condition: Condition,
    ) -> StoreFuture<'a, Revision> {
        self.proposed.lock().push((key.clone(), value.clone()));
        if self.refuses_states.load(Ordering::SeqCst) && key.kind() == "mesh-rollouts" {
            return Box::pin(async { Err(Error::Throttled) });
        }
        self.memory.write(key, value, condition)
    }

    fn delete<'a>(&'a self, key: &'a ObjectKey, revision: Revision) -> StoreFuture<'a, ()> {
        self.memory.delete(key, revision)
    }
}

/// An order as it is stored.
#[derive(Deserialize, Serialize)]
struct OrderDoc {
    target: Name,
    time_s: u64,
    reported: Option<String>,
}

fn progress(text: &str) -> Progress {
    match text {
        "completed" => Progress::Completed,
        "pulled-back" => Progress::PulledBack,
        _ => Progress::Running,
    }
}

fn text(progress: Progress) -> &'static str {
    match progress {
        Progress::Completed => "completed",
        Progress::PulledBack => "pulled-back",
        Progress::Running => "running",
    }
}

/// Orders in the store of the mesh.
pub(crate) struct TestOrders {
    store: Arc<TestStore>,
    /// Services and progress of all reports.
    pub(crate) reports: Mutex<Vec<(Name, Progress)>>,
}

impl TestOrders {
    /// Stores an order with its reported progress.
    pub(crate) async fn put(&self, service: &str, target: &str, reported: Option<Progress>) {
        let doc = OrderDoc {
            target: name(target),
            time_s: 300,
            reported: reported.map(|p| text(p).to_owned()),
        };
        self.store.put(&ObjectKey::new(ORDERS, service), &doc).await;
    }

    fn decode(objects: impl Iterator<Item = (ObjectKey, Object)>) -> Vec<Order> {
        let decode = |(key, object): (ObjectKey, Object)| {
            let doc: OrderDoc = serde_json::from_slice(&object.value).expect("an order");
            Order {
                service: name(key.name()),
                target: doc.target,
                time: Duration::from_secs(doc.time_s),
                reported: doc.reported.as_deref().map(progress),
            }
        };
        objects.map(decode).collect()
    }
}

impl RolloutOrders for TestOrders {
    fn load(&self) -> BoxFuture<'_, Result<Orders, Error>> {
        Box::pin(async move {
            let listing = self.store.memory.list(ORDERS).await?;
            Ok(Orders {
                orders: Self::decode(listing.objects.into_iter()),
                revision: listing.revision,
                is_partial: false,
            })
        })
    }

    fn watch(&self, after: Revision, wait: Duration) -> BoxFuture<'_, Result<Orders, Error>> {
        Box::pin(async move {
            let changes = self.store.memory.watch(ORDERS, after, wait).await?;
            let present = changes.changes.into_iter();
            let present = present.filter_map(|change| Some((change.key, change.object?)));
            Ok(Orders {
                orders: Self::decode(present),
                revision: changes.revision,
                is_partial: false,
            })
        })
    }

    fn report<'a>(
        &'a self,
        service: &'a Name,
        target: &'a Name,
        progress: Progress,
    ) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            self.reports.lock().push((service.clone(), progress));
            let key = ObjectKey::new(ORDERS, service.as_str());
            let Some(object) = self.store.memory.read(&key).await? else {
                return Ok(());
            };
            let mut doc: OrderDoc = serde_json::from_slice(&object.value).expect("an order");
            if doc.target == *target {
                doc.reported = Some(text(progress).to_owned());
                let value = serde_json::to_vec(&doc).expect("a document").into();
                let condition = Condition::Revision(object.revision);
                self.store.memory.write(&key, value, condition).await?;
            }
            Ok(())
        })
    }
}

/// A configuration that never changes.
pub(crate) struct FixedConfig(pub(crate) LoadedConfig);

impl FixedConfig {
    pub(crate) fn new(services: &[&str], ticket: Option<Accepted>) -> Self {
        let mut config = Config {
            version: ConfigVersion(1),
            ..Config::default()
        };
        for service in services {
            let settings = ServiceConfig {
                versions: Vec::new(),
                rollout: None,
                ticket: TicketNumber(0),
                changed_at: ConfigVersion(0),
                max_connections: None,
                health_path: None,
                cold_limit: None,
            };
            config.services.insert(name(service), settings);
        }
        let parts = parts::split(&config);
        let accepted = ticket.unwrap_or(Accepted {
            ticket: TicketNumber(0),
            version: config.version,
            at: UnixMillis(0),
        });
        let mut head = Head::default().successor(&parts, accepted);
        head.recent.retain(|_| ticket.is_some());
        let mut cache = PartCache::default();
        for content in parts.contents.into_values() {
            cache.insert(content);
        }
        Self(LoadedConfig {
            head,
            cache,
            problems: Vec::new(),
        })
    }
}

impl ConfigSource for FixedConfig {
    fn load(&self, _known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, SourceError>> {
        let loaded = Some(self.0.clone());
        Box::pin(async move {
            Ok(SourceUpdate {
                loaded,
                revision: Revision::default(),
                is_partial: false,
            })
        })
    }

    fn watch(
        &self,
        _after: Revision,
        wait: Duration,
        _known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, SourceError>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            Ok(SourceUpdate::default())
        })
    }
}

/// Nodes with one store.
pub(crate) struct Mesh {
    pub(crate) store: Arc<TestStore>,
    pub(crate) orders: Arc<TestOrders>,
    pub(crate) nodes: Vec<Node>,
    /// A ticket that created the configuration; `None` by default.
    pub(crate) ticket: Option<Accepted>,
    pub(crate) authority: Authority,
    services: Vec<&'static str>,
    addresses: Vec<SocketAddr>,
}

impl Mesh {
    /// A mesh without nodes, whose configuration has `services`.
    pub(crate) fn new(services: &[&'static str]) -> Self {
        let store = TestStore::new();
        let orders = TestOrders {
            store: Arc::clone(&store),
            reports: Mutex::default(),
        };
        Self {
            store,
            orders: Arc::new(orders),
            nodes: Vec::new(),
            ticket: None,
            authority: Authority::new().expect("an authority"),
            services: services.to_vec(),
            addresses: Vec::new(),
        }
    }

    /// Starts the next node, `host-1` and so on.
    pub(crate) async fn start(&mut self) {
        let host = format!("host-{}", self.nodes.len() + 1);
        self.start_host(&host).await;
    }

    /// Starts a node and waits until it serves callers and knows all others.
    pub(crate) async fn start_host(&mut self, host: &str) {
        let nodes = free_address();
        let node_identity = NodeIdentity {
            host: name(host),
            zone: name("labasa-a"),
            region: name("labasa"),
            service: None,
            callers: (Ipv4Addr::LOCALHOST, 0).into(),
            nodes,
            seeds: self.addresses.clone(),
        };
        let adapters = Adapters {
            store: Arc::clone(&self.store) as _,
            configs: Arc::new(FixedConfig::new(&self.services, self.ticket)),
            orders: Some(Arc::clone(&self.orders) as _),
            evacuations: Some(Arc::new(TestEvacuations(Arc::clone(&self.store)))),
            callers: Box::new(NativeHeaders),
            servers: Arc::new(NativeHeaders),
            identity: identity(&self.authority),
        };
        let node = Node::builder(node_identity).start(adapters).await;
        self.addresses.push(nodes);
        self.nodes.push(node.expect("a node"));
        until("all nodes serve and know each other", || {
            let count = self.nodes.len();
            self.nodes.iter().all(|node| {
                let is_ready = node.readiness().is_ready();
                is_ready && node.snapshots().load().hosts().count() == count
            })
        })
        .await;
    }
}

pub(crate) fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    socket.local_addr().expect("an address")
}

/// Whether a condition holds within ten seconds.
pub(crate) async fn holds_soon(condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > Duration::from_secs(10) {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

pub(crate) async fn until(label: &str, condition: impl Fn() -> bool) {
    assert!(holds_soon(condition).await, "not within 10 s: {label}");
}
