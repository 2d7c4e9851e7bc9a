//! Standard mesh of the end-to-end tests, with two regions and four availability zones.

use crate::mesh::{BackendSpec, Mesh, NodeSpec};
use anyhow::Context;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Longest time until all nodes of a mesh know each other.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time of a test that runs under [`limited`].
pub const TEST_LIMIT: Duration = Duration::from_secs(30);
/// Longest time until the first ticket is in force on all nodes.
const FIRST_TICKET_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of all routes except `slow`.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the route `slow`.
const SLOW_ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

const fn spec(host: &'static str, zone: &'static str, region: &'static str) -> NodeSpec {
    NodeSpec { host, zone, region }
}

/// Two hosts in each of the four availability zones of the two regions.
pub const NODES: [NodeSpec; 8] = [
    spec("a1", "labasa-a", "labasa"),
    spec("a2", "labasa-a", "labasa"),
    spec("b1", "labasa-b", "labasa"),
    spec("b2", "labasa-b", "labasa"),
    spec("c1", "savusavu-a", "savusavu"),
    spec("c2", "savusavu-a", "savusavu"),
    spec("d1", "savusavu-b", "savusavu"),
    spec("d2", "savusavu-b", "savusavu"),
];

/// Starts a mesh of the given nodes with one backend server on each host of `backends`, and files
/// ticket 1, which routes `/today`, `/echo`, `/bytes` and `/slow` to these servers.
///
/// # Errors
///
/// A program cannot be started, ticket 1 is not accepted, or a step takes too long.
pub async fn start(specs: &[NodeSpec], backends: &[&'static str]) -> anyhow::Result<Mesh> {
    let begin = Instant::now();
    let mut mesh = Mesh::new(specs)?;
    launch(&mut mesh, backends).await?;
    // The time limit of a test includes the start of its mesh.
    println!("the mesh started in {:?}", begin.elapsed());
    Ok(mesh)
}

/// Starts nodes and backend servers like [`start`], on a mesh that has been created already.
///
/// # Errors
///
/// A program cannot be started, ticket 1 is not accepted, or a step takes too long.
pub async fn launch(mesh: &mut Mesh, backends: &[&'static str]) -> anyhow::Result<()> {
    mesh.start_nodes()?;
    let hosts: Vec<_> = mesh.hosts().collect();
    mesh.until_joined(&hosts, hosts.len(), JOIN_TIMEOUT).await?;
    for host in backends {
        mesh.start_backend(&calendar_on(host))?;
    }
    let reply = mesh.file(hosts[0], &first_ticket()).await?;
    anyhow::ensure!(reply.status == 200, "ticket 1: {:?}", reply.body);
    mesh.until_in_force(&hosts, 1, FIRST_TICKET_TIMEOUT).await?;
    mesh.until_announced(&hosts, backends.len(), JOIN_TIMEOUT)
        .await?;
    Ok(())
}

/// Runs the body of a test with the time limit [`TEST_LIMIT`].
///
/// # Errors
///
/// The body fails or exceeds the limit.
pub async fn limited(test: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::time::timeout(TEST_LIMIT, test)
        .await
        .context("the test exceeded its time limit")?
}

/// Returns a backend server of the service `calendar` on a host.
pub fn calendar_on(host: &'static str) -> BackendSpec {
    BackendSpec {
        host,
        service: "calendar",
        version: "v1",
        work_ms: 2,
    }
}

/// Returns ticket 1: the service `calendar`, and routes for the paths that its servers implement.
pub fn first_ticket() -> Value {
    json!({
        "ticket": 1,
        "services": [{ "name": "calendar", "versions": [{ "version": "v1", "share": 100 }] }],
        "routes": [
            route("today", "/today", ROUTE_TIMEOUT),
            route("echo", "/echo", ROUTE_TIMEOUT),
            route("bytes", "/bytes", ROUTE_TIMEOUT),
            route("slow", "/slow", SLOW_ROUTE_TIMEOUT),
        ],
    })
}

/// Returns a ticket that adds one route, named by [`route_name`].
pub fn route_ticket(number: u64) -> Value {
    let name = route_name(number);
    json!({ "ticket": number, "routes": [route(&name, &format!("/{name}"), ROUTE_TIMEOUT)] })
}

/// Name of the route that [`route_ticket`] adds.
pub fn route_name(number: u64) -> String {
    format!("route-{number}")
}

fn route(name: &str, prefix: &str, timeout: Duration) -> Value {
    json!({ "name": name, "path_prefix": prefix, "service": "calendar",
            "timeout_ms": timeout.as_millis() as u64, "idempotent_methods": ["GET", "HEAD"] })
}
