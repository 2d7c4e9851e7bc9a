//! Nodes that start while the store has an older configuration than the mesh.

use crate::common::mesh::{FixedConfig, TestStore, free_address, until};
use crate::common::{identity, name};
use futures_util::future::BoxFuture;
use knapweed_contract::PartCache;
use knapweed_node::node::{Adapters, Node, NodeIdentity};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::source::{ConfigSource, Error, SourceUpdate};
use knapweed_store::{Revision, StoreEra};
use knapweed_transport::certificates::Authority;
use knapweed_world::ConfigVersion;
use knapweed_zone::floor::{MAX_MEMBER_WAIT, ROUND_TIMEOUT};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that a node on a busy host needs to read the registry.
const LOOKUP_TIME: Duration = Duration::from_millis(200);
/// Additional time that the start of a node may take in a test.
const START_SLACK: Duration = Duration::from_secs(1);

/// A source that came back from an older copy.
struct OlderCopy(FixedConfig);

impl OlderCopy {
    fn with_version(version: u64) -> Arc<Self> {
        let mut config = FixedConfig::new(&["calendar"], None);
        config.0.head.version = ConfigVersion(version);
        Arc::new(Self(config))
    }
}

impl ConfigSource for OlderCopy {
    fn load(&self, known: PartCache) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        Box::pin(async move {
            let mut update = self.0.load(known).await?;
            update.revision = Revision::new(1).in_era(StoreEra(1));
            Ok(update)
        })
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
        _known: PartCache,
    ) -> BoxFuture<'_, Result<SourceUpdate, Error>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            let revision = after;
            Ok(SourceUpdate {
                revision,
                ..SourceUpdate::default()
            })
        })
    }
}

async fn start(
    host: &str,
    authority: &Authority,
    store: &Arc<TestStore>,
    configs: Arc<OlderCopy>,
) -> Node {
    let node_identity = NodeIdentity {
        host: name(host),
        zone: name("labasa-a"),
        region: name("labasa"),
        service: None,
        callers: (Ipv4Addr::LOCALHOST, 0).into(),
        nodes: free_address(),
        seeds: Vec::new(),
    };
    let adapters = Adapters {
        store: Arc::clone(store) as _,
        configs,
        orders: None,
        evacuations: None,
        callers: Box::new(NativeHeaders),
        servers: Arc::new(NativeHeaders),
        identity: identity(authority),
    };
    let node = Node::builder(node_identity).start(adapters).await;
    node.expect("a node")
}

/// Guards against a node that starts after a loss of the store, knows no other node yet, and
/// serves the older configuration there (issue 35).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_node_serves_what_the_mesh_has() {
    let (authority, store) = (Authority::new().expect("an authority"), TestStore::new());
    let first = start("host-1", &authority, &store, OlderCopy::with_version(5)).await;
    until("the first node serves", || first.readiness().is_ready()).await;
    *store.list_delay.lock() = LOOKUP_TIME;
    let second = start("host-2", &authority, &store, OlderCopy::with_version(4)).await;
    until("the second node serves", || second.readiness().is_ready()).await;
    let served = second.snapshots().load().version();
    assert_eq!(served, ConfigVersion(5));
}

/// Guards against the only node of a mesh, which waits for others after a loss of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_without_others_serves_after_a_loss() {
    let (authority, store) = (Authority::new().expect("an authority"), TestStore::new());
    let begin = Instant::now();
    let node = start("host-1", &authority, &store, OlderCopy::with_version(4)).await;
    until("the node serves", || node.readiness().is_ready()).await;
    let took = begin.elapsed();
    let bound = MAX_MEMBER_WAIT + ROUND_TIMEOUT + START_SLACK;
    assert!(took < bound, "serves after {took:?}");
}
