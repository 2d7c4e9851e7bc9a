//! Demonstration: starts a mesh on loopback and checks routing, tickets, rollouts and a graceful stop.

use anyhow::ensure;
use http::Method;
use knapweed_demo::mesh::BackendSpec;
use knapweed_demo::traffic::Traffic;
use knapweed_demo::{Mesh, NodeSpec, Reply};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Nodes of the demonstration: two availability zones with two hosts each.
const NODES: [NodeSpec; 4] = [
    NodeSpec {
        host: "a1",
        zone: "labasa-a",
        region: "labasa",
    },
    NodeSpec {
        host: "a2",
        zone: "labasa-a",
        region: "labasa",
    },
    NodeSpec {
        host: "b1",
        zone: "labasa-b",
        region: "labasa",
    },
    NodeSpec {
        host: "b2",
        zone: "labasa-b",
        region: "labasa",
    },
];

/// Longest time until a ticket is in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until a ticket with a rollout has its result.
const RESULT_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a node without calls has stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until all nodes know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("all steps had the expected outcome");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("FAILED: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<()> {
    let mut mesh = Mesh::new(&NODES)?;
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
    refuse_bad_ticket(mesh, hosts).await?;
    let traffic = Traffic::start(mesh, hosts);
    complete_rollout(mesh).await?;
    pull_back_bad_version(mesh).await?;
    let counts = traffic.stop().await?;
    ensure!(
        counts.unknown == 0,
        "{} calls have an unknown outcome",
        counts.unknown
    );
    println!("8. calls meanwhile: {counts:?}");
    stop_gracefully(mesh).await
}

async fn join(mesh: &mut Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    mesh.start_nodes()?;
    start_version(mesh, ["a1", "b1"], "v1")?;
    let took = mesh.until_joined(hosts, hosts.len(), JOIN_TIMEOUT).await?;
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
    file_accepted(mesh, "a1", &ticket).await?;
    let took = mesh.until_in_force(hosts, 1, IN_FORCE_TIMEOUT).await?;
    println!("2. ticket 1 is in force on all nodes {took:?} after its acceptance");
    Ok(())
}

async fn call_other_zone(mesh: &Mesh) -> anyhow::Result<()> {
    let address = mesh.node("b2").callers;
    let (reply, took) = mesh
        .until("a call through b2 is answered", JOIN_TIMEOUT, || async {
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

async fn complete_rollout(mesh: &mut Mesh) -> anyhow::Result<()> {
    start_version(mesh, ["a2", "b2"], "v2")?;
    file_accepted(mesh, "b1", &move_to(3, "v2", 20)).await?;
    let (ticket, took) = result_of(mesh, "a1", 3).await?;
    let kind = &ticket["record"]["result"]["ending"]["kind"];
    ensure!(kind == "completed", "ticket 3 ended otherwise: {ticket}");
    println!("6. after {took:?}: {}", ticket["sentence"]);
    check_served_by(mesh, "a1", "v2").await
}

async fn pull_back_bad_version(mesh: &mut Mesh) -> anyhow::Result<()> {
    for name in start_version(mesh, ["a1", "b1"], "v3")? {
        let address = mesh.backend(&name);
        mesh.until(
            "the backend server takes its fault",
            JOIN_TIMEOUT,
            || async {
                let body = json!({ "fail_percent": 50 }).to_string();
                let put = mesh
                    .client
                    .send(Method::PUT, address, "/faults", &[], body)
                    .await
                    .ok()?;
                put.status.is_success().then_some(())
            },
        )
        .await?;
    }
    file_accepted(mesh, "a2", &move_to(4, "v3", 30)).await?;
    let (ticket, took) = result_of(mesh, "b1", 4).await?;
    let kind = &ticket["record"]["result"]["ending"]["kind"];
    ensure!(kind == "pulled-back", "ticket 4 ended otherwise: {ticket}");
    println!("7. after {took:?}: {}", ticket["sentence"]);
    for _ in 0..100 {
        check_served_by(mesh, "b1", "v2").await?;
    }
    Ok(())
}

/// Starts a backend server of `version` on each host, and returns the names of the processes.
fn start_version(
    mesh: &mut Mesh,
    hosts: [&'static str; 2],
    version: &'static str,
) -> anyhow::Result<Vec<String>> {
    let specs = hosts.map(|host| BackendSpec {
        host,
        service: "calendar",
        version,
        work_ms: 2,
    });
    specs.iter().map(|spec| mesh.start_backend(spec)).collect()
}

/// Files a ticket and checks that it is accepted.
async fn file_accepted(mesh: &Mesh, host: &str, ticket: &serde_json::Value) -> anyhow::Result<()> {
    let reply = mesh.file(host, ticket).await?;
    let number = &ticket["ticket"];
    ensure!(
        reply.status == 200,
        "ticket {number} was not accepted: {}",
        text(&reply)
    );
    Ok(())
}

/// Calls through the node of `host` and checks that `version` responds.
async fn check_served_by(mesh: &Mesh, host: &str, version: &str) -> anyhow::Result<()> {
    let address = mesh.node(host).callers;
    let reply = mesh.client.get(address, "/calendar/today").await?;
    ensure!(
        reply.json()?["version"] == version,
        "a call went elsewhere: {}",
        text(&reply)
    );
    Ok(())
}

async fn stop_gracefully(mesh: &mut Mesh) -> anyhow::Result<()> {
    let node = mesh.process("b2");
    node.signal("TERM")?;
    let status = node.wait(STOP_TIMEOUT)?;
    ensure!(status.success(), "the node of b2 ended with {status}");
    println!("9. the node of b2 stopped gracefully");
    Ok(())
}

fn move_to(number: u64, version: &str, deadline_s: u64) -> serde_json::Value {
    json!({
        "ticket": number,
        "services": [{ "name": "calendar",
                       "versions": [{ "version": version, "share": 100 }],
                       "rollout": { "deadline_s": deadline_s } }],
    })
}

/// Waits until a ticket has its final result, and returns the ticket with the elapsed time.
async fn result_of(
    mesh: &Mesh,
    host: &str,
    ticket: u64,
) -> anyhow::Result<(serde_json::Value, Duration)> {
    let address = mesh.node(host).operators;
    let path = format!("/v1/tickets/{ticket}");
    mesh.until(
        &format!("ticket {ticket} has a result"),
        RESULT_TIMEOUT,
        || async {
            let ticket = mesh.client.get(address, &path).await.ok()?.json().ok()?;
            (!ticket["record"]["result"].is_null()).then_some(ticket)
        },
    )
    .await
}

fn text(reply: &Reply) -> String {
    let body = String::from_utf8_lossy(&reply.body);
    body.chars().take(300).collect()
}
