//! A fleet in all availability zones of the deployment Power Authority.

use crate::mesh::{BackendPlace, Mesh, NodePlace};
use anyhow::Context;
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait until all nodes of a fleet know each other.
const JOINED: Duration = Duration::from_secs(12);
/// Bound on the time of one test.
pub const TEST_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait until the first ticket is in force on all nodes.
const FIRST_TICKET: Duration = Duration::from_secs(5);

/// Longest time of a request on most routes.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time of a request on the route `slow`.
const SLOW_TIMEOUT: Duration = Duration::from_secs(10);

const fn place(host: &'static str, zone: &'static str, region: &'static str) -> NodePlace {
    NodePlace { host, zone, region }
}

/// Two hosts in each of the four availability zones of the two regions.
pub const PLACES: [NodePlace; 8] = [
    place("a1", "labasa-a", "labasa"),
    place("a2", "labasa-a", "labasa"),
    place("b1", "labasa-b", "labasa"),
    place("b2", "labasa-b", "labasa"),
    place("c1", "savusavu-a", "savusavu"),
    place("c2", "savusavu-a", "savusavu"),
    place("d1", "savusavu-b", "savusavu"),
    place("d2", "savusavu-b", "savusavu"),
];

/// Starts the nodes of `places`, one backend server on each host of `backends`,
/// and puts ticket 1 in force, which sends `/today`, `/echo`, `/bytes` and `/slow` to them.
///
/// # Errors
///
/// A program cannot be started, or a step takes too long.
pub async fn start(places: &[NodePlace], backends: &[&'static str]) -> anyhow::Result<Mesh> {
    let mut mesh = Mesh::new(places)?;
    launch(&mut mesh, backends).await?;
    Ok(mesh)
}

/// Starts the nodes of a mesh like [`start`].
///
/// # Errors
///
/// A program cannot be started, or a step takes too long.
pub async fn launch(mesh: &mut Mesh, backends: &[&'static str]) -> anyhow::Result<()> {
    mesh.start_nodes()?;
    let hosts: Vec<_> = mesh.hosts().collect();
    mesh.until_joined(&hosts, hosts.len(), JOINED).await?;
    for host in backends {
        mesh.start_backend(&calendar_on(host))?;
    }
    let reply = mesh.file(hosts[0], &first_ticket()).await?;
    anyhow::ensure!(reply.status == 200, "ticket 1: {:?}", reply.body);
    mesh.until_in_force(&hosts, 1, FIRST_TICKET).await?;
    Ok(())
}

/// Runs the body of a test, which fails when it takes longer than [`TEST_LIMIT`].
///
/// # Errors
///
/// The body fails or takes too long.
pub async fn limited(test: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::time::timeout(TEST_LIMIT, test)
        .await
        .context("the test takes too long")?
}

/// The backend server of the service `calendar` on a host.
pub fn calendar_on(host: &'static str) -> BackendPlace {
    BackendPlace {
        host,
        service: "calendar",
        version: "v1",
        work_ms: 2,
    }
}

/// Ticket 1: the service `calendar` and routes of the paths that its servers know.
pub fn first_ticket() -> Value {
    json!({
        "ticket": 1,
        "services": [{ "name": "calendar", "versions": [{ "version": "v1", "share": 100 }] }],
        "routes": [
            route("today", "/today", TIMEOUT),
            route("echo", "/echo", TIMEOUT),
            route("bytes", "/bytes", TIMEOUT),
            route("slow", "/slow", SLOW_TIMEOUT),
        ],
    })
}

/// A ticket that adds a route of its own.
pub fn route_ticket(number: u64) -> Value {
    let name = route_name(number);
    json!({ "ticket": number, "routes": [route(&name, &format!("/{name}"), TIMEOUT)] })
}

/// Name of the route that [`route_ticket`] adds.
pub fn route_name(number: u64) -> String {
    format!("route-{number}")
}

fn route(name: &str, prefix: &str, timeout: Duration) -> Value {
    json!({ "name": name, "path_prefix": prefix, "service": "calendar",
            "timeout_ms": timeout.as_millis() as u64, "idempotent_methods": ["GET", "HEAD"] })
}
