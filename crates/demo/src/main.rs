//! Runs the whole path on loopback and checks the outcome of each step.

use anyhow::ensure;
use http::Method;
use knapweed_demo::mesh::BackendPlace;
use knapweed_demo::{Mesh, NodePlace, Reply};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// The hosts of the demonstration: two availability zones with two hosts each.
const PLACES: [NodePlace; 4] = [
    NodePlace {
        host: "a1",
        zone: "labasa-a",
        region: "labasa",
    },
    NodePlace {
        host: "a2",
        zone: "labasa-a",
        region: "labasa",
    },
    NodePlace {
        host: "b1",
        zone: "labasa-b",
        region: "labasa",
    },
    NodePlace {
        host: "b2",
        zone: "labasa-b",
        region: "labasa",
    },
];

/// The bound on the time until a ticket is in force on all nodes.
const IN_FORCE: Duration = Duration::from_secs(3);
/// The bound on the time until all nodes know each other.
const JOINED: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("all steps had the stated outcome");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("FAILED: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<()> {
    let mut mesh = Mesh::new(&PLACES)?;
    let hosts: Vec<_> = mesh.hosts().collect();
    let result = steps(&mut mesh, &hosts).await;
    if result.is_err() {
        for host in hosts {
            eprintln!("--- log of {host}\n{}", mesh.process(host).log());
        }
    }
    result
}

async fn steps(mesh: &mut Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    join(mesh, hosts).await?;
    make_route(mesh, hosts).await?;
    call_other_zone(mesh).await?;
    refuse_bad_ticket(mesh, hosts).await
}

async fn join(mesh: &mut Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    mesh.start_nodes()?;
    for host in ["a1", "b1"] {
        let place = BackendPlace {
            host,
            service: "calendar",
            version: "v1",
            work_ms: 2,
        };
        mesh.start_backend(&place)?;
    }
    let took = mesh.until_joined(hosts, hosts.len(), JOINED).await?;
    println!(
        "1. {} nodes in two availability zones know each other after {took:?}",
        hosts.len()
    );
    Ok(())
}

async fn make_route(mesh: &Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    let ticket = json!({
        "ticket": 1,
        "services": [{ "name": "calendar", "versions": [{ "version": "v1", "share": 100 }] }],
        "routes": [{ "name": "calendar", "path_prefix": "/calendar", "service": "calendar",
                     "timeout_ms": 2000, "idempotent_methods": ["GET", "HEAD"] }],
    });
    let reply = mesh.file("a1", &ticket).await?;
    ensure!(
        reply.status == 200,
        "ticket 1 was not accepted: {}",
        text(&reply)
    );
    let took = mesh.until_in_force(hosts, 1, IN_FORCE).await?;
    println!("2. ticket 1 is in force on all nodes {took:?} after its acceptance");
    Ok(())
}

async fn call_other_zone(mesh: &Mesh) -> anyhow::Result<()> {
    let address = mesh.node("b2").callers;
    let (reply, took) = mesh
        .until("a call through b2 is answered", JOINED, || async {
            let reply = mesh.client.get(address, "/calendar/today").await.ok()?;
            (reply.status == 200).then_some(reply)
        })
        .await?;
    ensure!(
        reply.header("knapweed-outcome") == "answered",
        "unexpected: {}",
        text(&reply)
    );
    println!(
        "3. a call through b2 is answered after {took:?}: {}",
        text(&reply)
    );
    let body = vec![b'x'; 3_000_000];
    let post = mesh
        .client
        .send(Method::POST, address, "/calendar/echo", &[], body.clone())
        .await?;
    ensure!(
        post.status == 200,
        "the upload was not answered: {}",
        text(&post)
    );
    println!(
        "4. an upload of 3 MB through b2 is answered with {} bytes",
        post.body.len()
    );
    Ok(())
}

async fn refuse_bad_ticket(mesh: &Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    let ticket = json!({
        "ticket": 2,
        "routes": [{ "name": "surveys", "path_prefix": "/surveys", "service": "surveys",
                     "timeout_ms": 2000, "idempotent_methods": ["GET"] }],
    });
    let reply = mesh.file("b1", &ticket).await?;
    ensure!(
        reply.status == 409,
        "ticket 2 was not refused: {}",
        text(&reply)
    );
    for host in hosts {
        ensure!(
            mesh.version_of(host).await? == 1,
            "host {host} changed its version"
        );
    }
    println!("5. ticket 2 is refused whole: {}", text(&reply));
    Ok(())
}

fn text(reply: &Reply) -> String {
    let body = String::from_utf8_lossy(&reply.body);
    body.chars().take(300).collect()
}
