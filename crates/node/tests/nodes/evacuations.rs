//! Evacuations reach every node, also one that was cut off, and end with their entry.

use crate::common::backend::Backend;
use crate::common::mesh::{Mesh, until};
use crate::common::{NodeEndpoint, egress, head, name};
use futures_util::future::{BoxFuture, join_all};
use knapweed_host::admission::ColdStart;
use knapweed_host::{Answer, NotRun, Outcome};
use knapweed_node::body;
use knapweed_node::evacuations::{EvacuatedZones, EvacuationChanges, EvacuationSource};
use knapweed_node::node::Node;
use knapweed_store::{Condition, Error, ObjectKey, ObjectStore, Revision};
use knapweed_timer::TimerService;
use knapweed_wire::{StreamHead, encode};
use knapweed_world::Name;
use knapweed_world::backend_server::{Announcement, Instance};
use knapweed_world::load::RequestRate;
use knapweed_zone::evacuation::EvacuationList;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const KIND: &str = "evacuations";
/// The zone of all hosts of a [`Mesh`].
const ZONE: &str = "labasa-a";
const ANSWERED: Outcome = Outcome::Answered(Answer::Complete);

/// Evacuations in the store of a mesh.
pub(crate) struct TestEvacuations(pub(crate) Arc<crate::common::mesh::TestStore>);

impl EvacuationSource for TestEvacuations {
    fn load(&self) -> BoxFuture<'_, Result<EvacuatedZones, Error>> {
        Box::pin(async move {
            let listing = self.0.memory.list(KIND).await?;
            let zones = listing.objects.into_iter().map(|(key, _)| name(key.name()));
            Ok(EvacuatedZones {
                zones: zones.collect(),
                revision: listing.revision,
            })
        })
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<EvacuationChanges, Error>> {
        Box::pin(async move {
            let found = self.0.memory.watch(KIND, after, wait).await?;
            let changes = found.changes.into_iter();
            let changes = changes.map(|c| (name(c.key.name()), c.object.is_some()));
            Ok(EvacuationChanges {
                changes: changes.collect(),
                is_partial: false,
                revision: found.revision,
            })
        })
    }
}

fn key() -> ObjectKey {
    ObjectKey::new(KIND, ZONE)
}

/// Whether the choices of a node may name a backend server.
fn uses_servers(node: &Node) -> bool {
    let snapshot = node.snapshots().load();
    let versions = snapshot
        .services()
        .flat_map(|(_, service)| &service.versions);
    versions.into_iter().any(|version| version.has_servers())
}

/// Sends a list of evacuated zones, as another node does.
async fn send_list(from: &NodeEndpoint, node: &Node, list: EvacuationList) {
    let peers = from.endpoint.peers();
    let to = node.node_identity().nodes;
    let (mut tx, _rx) = peers.open(to).await.expect("a stream");
    let message = encode(&StreamHead::Evacuations(list)).expect("a message");
    tx.head(&message).await.expect("a message is sent");
    tx.finish();
}

/// Guards against an evacuation that does not reach the nodes that do not watch the store, one
/// that stays after its entry, and one that comes back by the late message of a node that was
/// cut off when it was withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuation_holds_on_all_nodes_until_it_is_withdrawn() {
    let mut mesh = Mesh::new(&["calendar"]);
    for _ in 0..3 {
        mesh.start().await;
    }
    let server = egress::announcement(([127, 0, 0, 1], 9).into());
    mesh.nodes[0].announcer().announce(server).await;
    until("all nodes use the server", || {
        mesh.nodes.iter().all(uses_servers)
    })
    .await;

    let entry = key();
    let written = mesh
        .store
        .memory
        .write(&entry, "{}".into(), Condition::Absent);
    let revision = written.await.expect("a write");
    until("no node uses the server", || {
        !mesh.nodes.iter().any(uses_servers)
    })
    .await;
    mesh.start().await;
    until("a new node learns of it", || !uses_servers(&mesh.nodes[3])).await;

    mesh.store
        .memory
        .delete(&entry, revision)
        .await
        .expect("a deletion");
    until("all nodes use the server", || {
        mesh.nodes.iter().all(uses_servers)
    })
    .await;
    let late: BTreeSet<Name> = [name(ZONE)].into();
    let returned = NodeEndpoint::open(&mesh.authority);
    for node in &mesh.nodes {
        send_list(&returned, node, EvacuationList::new(revision, late.clone())).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(mesh.nodes.iter().all(uses_servers));
}

/// Guards against a request that reaches a backend server of an evacuated zone from an ingress
/// that does not know of it or from the queue, and against full load on a backend server that
/// has become cold meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_of_an_evacuated_zone_get_no_requests() {
    let timer = TimerService::start();
    let backend = Backend::start(Duration::from_millis(50)).await;
    let egress = egress::with_backend(&timer, Arc::default(), backend.address());
    let server = Announcement {
        instance: Some(Instance {
            name: name("calendar-1"),
            started_ms: 1,
        }),
        ..egress::announcement(backend.address())
    };
    egress.announce(&server);
    egress.set_cold_limits([(name("calendar"), RequestRate(5_000))].into());
    let send = || async {
        let mut head = head(backend.address(), "/calendar");
        head.objective_left_us = Some(1_000_000);
        egress.run(head, body::empty()).await.head.outcome
    };
    // Of 30 requests, 12 run at the same time and the others wait.
    let many = join_all((0..30).map(|_| send()));
    let evacuate = async {
        tokio::time::sleep(Duration::from_millis(25)).await;
        egress.set_evacuated(true);
    };
    let (outcomes, ()) = tokio::join!(many, evacuate);
    let refused = Outcome::NotRun(NotRun::Evacuated);
    assert_eq!(outcomes.iter().filter(|o| **o == ANSWERED).count(), 12);
    assert_eq!(outcomes.iter().filter(|o| **o == refused).count(), 18);
    assert_eq!(send().await, refused);
    assert_eq!(backend.runs(), 12);

    egress.set_evacuated(false);
    assert_eq!(send().await, Outcome::NotRun(NotRun::ColdServer));
    egress.state_cold_start(&server, ColdStart::WARM);
    assert_eq!(send().await, ANSWERED);
}
