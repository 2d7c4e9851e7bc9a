//! Loads of the configuration by a node whose source answers slowly.

use crate::common::mesh::{FixedConfig, TestStore, free_address, until};
use crate::common::{identity, name};
use futures_util::future::BoxFuture;
use knapweed_contract::PartCache;
use knapweed_node::node::{Adapters, Node, NodeIdentity};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::source::{ConfigSource, Error, SourceUpdate};
use knapweed_store::Revision;
use knapweed_transport::certificates::Authority;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Longer than several rounds of queries for the version floor.
const LOAD_TIME: Duration = Duration::from_secs(5);

struct TestSource {
    config: FixedConfig,
    load_time: Duration,
    /// Whether the next load panics.
    panics: AtomicBool,
    running: AtomicUsize,
    /// Largest number of loads at a time.
    most_running: AtomicUsize,
}

impl ConfigSource for TestSource {
    fn load(&self, known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_running.fetch_max(running, Ordering::SeqCst);
        Box::pin(async move {
            tokio::time::sleep(self.load_time).await;
            self.running.fetch_sub(1, Ordering::SeqCst);
            assert!(!self.panics.swap(false, Ordering::SeqCst), "a fault");
            self.config.load(known).await
        })
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
        known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        self.config.watch(after, wait, known)
    }
}

impl TestSource {
    fn new(load_time: Duration, panics: bool) -> Arc<Self> {
        Arc::new(Self {
            config: FixedConfig::new(&["calendar"], None),
            load_time,
            panics: AtomicBool::new(panics),
            running: AtomicUsize::new(0),
            most_running: AtomicUsize::new(0),
        })
    }
}

/// Starts a node that knows no other one.
async fn start(source: &Arc<TestSource>) -> Node {
    let authority = Authority::new().expect("an authority");
    let node_identity = NodeIdentity {
        host: name("host-1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        service: None,
        callers: (Ipv4Addr::LOCALHOST, 0).into(),
        nodes: free_address(),
        seeds: Vec::new(),
    };
    let adapters = Adapters {
        store: TestStore::new(),
        configs: Arc::clone(source) as _,
        orders: None,
        evacuations: None,
        callers: Box::new(NativeHeaders),
        servers: Arc::new(NativeHeaders),
        identity: identity(&authority),
    };
    let node = Node::builder(node_identity).start(adapters).await;
    node.expect("a node")
}

/// Guards against loads that pile up on a slow link, where each slows the others: those of
/// the rounds of queries for the version floor, and that of the watch (issue 35).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_node_has_one_load_under_way() {
    let source = TestSource::new(LOAD_TIME, false);
    let node = start(&source).await;
    until("the node serves", || node.readiness().is_ready()).await;
    assert_eq!(source.most_running.load(Ordering::SeqCst), 1);
}

/// Guards against a load that never counts as ended, so that no other one starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_load_that_panics_is_made_again() {
    let source = TestSource::new(Duration::ZERO, true);
    let node = start(&source).await;
    until("the node serves", || node.readiness().is_ready()).await;
    assert!(!source.panics.load(Ordering::SeqCst));
}
