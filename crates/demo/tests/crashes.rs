//! Requests that crash every backend server that runs them, across availability zones.

use anyhow::ensure;
use http::Method;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, NODES, limited};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time until all nodes know a request that has crashed its backend servers.
const DISSEMINATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time until a restarted node serves.
const SERVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Path of a request that crashes the backend server; the route is `/today`.
const CRASH_PATH: &str = "/today/crash";
/// Reason of a refusal because of earlier crashes.
const REASON: &str = "the request crashed two backend servers";

/// Sends the crashing request through `host`; returns the reason of its outcome.
async fn send_crash(mesh: &Mesh, host: &str) -> anyhow::Result<String> {
    let address = mesh.node(host).callers;
    let sent = mesh
        .client
        .send(Method::POST, address, CRASH_PATH, &[], "x");
    Ok(sent.await?.header("knapweed-reason").to_owned())
}

/// Crashes the two backend servers of the zone labasa-a.
async fn crash_first_zone(mesh: &Mesh) -> anyhow::Result<()> {
    for _ in 0..2 {
        let reason = send_crash(mesh, "a1").await?;
        ensure!(
            reason == "the backend server closed the connection",
            "{reason}"
        );
    }
    tokio::time::sleep(DISSEMINATION_TIMEOUT).await;
    Ok(())
}

/// Sends the crashing request with a body in chunks, without an announced length; returns the
/// first line of the response.
async fn send_crash_in_chunks(mesh: &Mesh, host: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(mesh.node(host).callers).await?;
    let request = format!(
        "POST {CRASH_PATH} HTTP/1.1\r\nhost: calendar\r\ntransfer-encoding: chunked\r\n\
         connection: close\r\n\r\n1\r\nx\r\n0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

/// Kills the nodes of `hosts` at once, starts them again, and waits until the first one serves.
async fn restart(mesh: &mut Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    for host in hosts {
        mesh.process(host).signal("KILL")?;
    }
    for host in hosts {
        mesh.process(host).wait(SERVING_TIMEOUT)?;
        mesh.start_node(host)?;
    }
    let start = Instant::now();
    let address = mesh.node(hosts[0]).callers;
    let serves = async || mesh.client.get(address, "/today").await;
    while !serves().await.is_ok_and(|reply| reply.status == 200) {
        ensure!(
            start.elapsed() < SERVING_TIMEOUT,
            "{} does not serve",
            hosts[0]
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn ensure_runs(mesh: &mut Mesh, process: &str) -> anyhow::Result<()> {
    let has_exited = mesh.process(process).wait(Duration::ZERO).is_ok();
    ensure!(!has_exited, "{process} has exited");
    Ok(())
}

/// Guards against a request that crashes the backend servers of one availability zone after
/// the other, because each zone learns of it only from its own crashes (requirement B7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashed_two_servers_is_refused_in_every_zone() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &["a1", "a2", "c1"]).await?;
        crash_first_zone(&mesh).await?;
        for host in ["b1", "c1", "c2", "d2"] {
            let reason = send_crash(&mesh, host).await?;
            ensure!(reason == REASON, "{host}: {reason}");
        }
        ensure_runs(&mut mesh, "c1-calendar-v1")
    })
    .await
}

/// Guards against a request that is not recognised when it comes again, because its body has no
/// announced length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_with_a_body_in_chunks_is_refused_after_two_crashes() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &["a1", "a2", "c1"]).await?;
        for _ in 0..2 {
            let status = send_crash_in_chunks(&mesh, "a1").await?;
            ensure!(status.contains("504"), "{status}");
        }
        tokio::time::sleep(DISSEMINATION_TIMEOUT).await;
        for host in ["c1", "c2"] {
            let status = send_crash_in_chunks(&mesh, host).await?;
            ensure!(status.contains("503"), "{host}: {status}");
        }
        ensure_runs(&mut mesh, "c1-calendar-v1")
    })
    .await
}

/// Guards against a node that forgets with its process which requests crash backend servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_node_learns_which_requests_crash_servers() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &["a1", "a2", "c1"]).await?;
        crash_first_zone(&mesh).await?;
        restart(&mut mesh, &["c1"]).await?;
        tokio::time::sleep(DISSEMINATION_TIMEOUT).await;
        let reason = send_crash(&mesh, "c1").await?;
        ensure!(reason == REASON, "{reason}");
        ensure_runs(&mut mesh, "c1-calendar-v1")
    })
    .await
}

/// Guards against a mesh that forgets which requests crash backend servers when all of its nodes
/// are killed at the same moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_verdict_outlives_all_nodes() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &["a1", "a2", "c1"]).await?;
        crash_first_zone(&mesh).await?;
        restart(&mut mesh, &["c1", "c2", "a1", "a2", "b1", "b2", "d1", "d2"]).await?;
        tokio::time::sleep(DISSEMINATION_TIMEOUT).await;
        for host in ["c1", "d1"] {
            let reason = send_crash(&mesh, host).await?;
            ensure!(reason == REASON, "{host}: {reason}");
        }
        ensure_runs(&mut mesh, "c1-calendar-v1")
    })
    .await
}

/// Time between two comings of the crashing request.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two kills of a node.
const KILL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after which a crashed backend server is back.
const BACKEND_DOWNTIME: Duration = Duration::from_secs(1);
/// Duration of a run with kills.
const RUN_TIME: Duration = Duration::from_secs(11);
/// Crashes that count against the bound: those later than this after the third one.
const BOUND_START: Duration = Duration::from_secs(4);
/// Maximum number of crashes after [`BOUND_START`].
const MAX_LATE_CRASHES: usize = 3;
/// Variable with the seed of the run with kills.
const SEED_VAR: &str = "KNAPWEED_CRASH_SEED";

/// Starts the backend servers that are due again, and returns the number of those that have
/// exited since the last call.
fn tend_backends(
    mesh: &mut Mesh,
    down: &mut Vec<(&'static str, Instant)>,
) -> anyhow::Result<usize> {
    let hosts: Vec<_> = mesh.hosts().collect();
    let mut crashed = 0;
    for host in hosts {
        if let Some(i) = down.iter().position(|(name, _)| *name == host) {
            if down[i].1.elapsed() >= BACKEND_DOWNTIME {
                down.swap_remove(i);
                mesh.start_backend(&fleet::calendar_on(host))?;
            }
            continue;
        }
        let process = mesh.process(&format!("{host}-calendar-v1"));
        if process.wait(Duration::ZERO).is_ok() {
            down.push((host, Instant::now()));
            crashed += 1;
        }
    }
    Ok(crashed)
}

/// Guards against a request that keeps crashing backend servers while nodes are killed and
/// started again: it comes to random nodes, with its length or in chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_is_stopped_while_nodes_restart() -> anyhow::Result<()> {
    let seed = std::env::var(SEED_VAR).ok().and_then(|s| s.parse().ok());
    let mut rng = SmallRng::seed_from_u64(seed.unwrap_or(1));
    limited(async {
        let hosts = NODES.map(|node| node.host);
        let mut mesh = fleet::start(&NODES, &hosts).await?;
        let start = Instant::now();
        let (mut crashes, mut down) = (Vec::new(), Vec::new());
        let mut next_kill = KILL_INTERVAL;
        while start.elapsed() < RUN_TIME {
            let host = hosts[rng.random_range(0..hosts.len())];
            // A node that is starting refuses connections.
            let _ = match rng.random() {
                true => send_crash(&mesh, host).await,
                false => send_crash_in_chunks(&mesh, host).await,
            };
            let crashed = tend_backends(&mut mesh, &mut down)?;
            crashes.extend(std::iter::repeat_n(start.elapsed(), crashed));
            if start.elapsed() >= next_kill {
                next_kill += KILL_INTERVAL;
                let host = hosts[rng.random_range(0..hosts.len())];
                mesh.process(host).signal("KILL")?;
                mesh.process(host).wait(SERVING_TIMEOUT)?;
                mesh.start_node(host)?;
            }
            tokio::time::sleep(SEND_INTERVAL).await;
        }
        println!("crashes at {crashes:?}");
        ensure!(crashes.len() >= 2, "the request did not crash servers");
        if let Some(third) = crashes.get(2) {
            let bound_start = *third + BOUND_START;
            let late = crashes.iter().filter(|at| **at > bound_start).count();
            ensure!(late <= MAX_LATE_CRASHES, "{late} late crashes: {crashes:?}");
        }
        Ok(())
    })
    .await
}
