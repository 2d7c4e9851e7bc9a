//! Outages of the platform, and lost responses of its object store.

use anyhow::{Context, ensure};
use knapweed_demo::fleet::{self, NODES, limited, route_ticket};
use knapweed_demo::stand_in::{Calls, outage};
use knapweed_demo::{Mesh, VersionWatch};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Duration of an outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(10);
/// Longest time until a node serves, once it can reach the platform or a peer.
const SERVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until the submission of a ticket gets a response while the platform is down.
const TICKET_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which calls to the platform are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(10);
/// Rate and burst of the token bucket of a node for calls to the platform (design page, section 5.5).
const NODE_RATE: f64 = 2.0;
const NODE_BURST: f64 = 10.0;
/// Longest time until a killed program has exited.
const KILL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two calls of callers.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Hosts with a backend server.
const BACKENDS: [&str; 2] = ["a1", "c1"];

/// Guards against calls that are not answered in an outage of the platform, tickets that get an
/// ambiguous response or are accepted twice, and nodes that do not serve when all of them restart
/// right after the outage (requirements F2, F4).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_answered_in_an_outage_and_nodes_restart_after_it() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        until_serving(&mesh, Duration::from_secs(5)).await?;
        let watch = VersionWatch::start(&mesh);
        mesh.set_platform_faults(outage()).await?;
        let end = Instant::now() + OUTAGE_DURATION;
        check_refusal(&mesh, "b1", 2).await?;
        let calls = call_until(&mesh, end).await?;
        println!("{calls} calls answered in the outage");

        mesh.set_platform_faults(json!({})).await?;
        restart_all(&mut mesh)?;
        let took = until_serving(&mesh, SERVING_TIMEOUT).await?;
        println!("all nodes serve {took:?} after their restart");
        accept_once(&mesh, "c2", 2).await?;
        ensure!(watch.regressions().is_empty(), "{:?}", watch.regressions());
        Ok(())
    })
    .await
}

/// Guards against nodes that serve without a configuration after a restart during an outage, or do
/// not serve after the outage (requirements F1, F2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_restarted_in_an_outage_serve_after_it() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        until_serving(&mesh, Duration::from_secs(5)).await?;
        mesh.set_platform_faults(outage()).await?;
        let end = Instant::now() + OUTAGE_DURATION;
        tokio::time::sleep(Duration::from_secs(1)).await;
        restart_all(&mut mesh)?;
        check_not_run_until(&mesh, end).await?;

        mesh.set_platform_faults(json!({})).await?;
        let took = until_serving(&mesh, SERVING_TIMEOUT).await?;
        println!("all nodes serve {took:?} after the outage");
        accept_once(&mesh, "d2", 2).await
    })
    .await
}

/// Guards against nodes that overload the platform when all of them restart right after an outage
/// (requirements P3, F1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_stay_in_the_budget_after_an_outage() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &[]).await?;
        mesh.set_platform_faults(outage()).await?;
        tokio::time::sleep(OUTAGE_DURATION).await;
        kill_all(&mut mesh)?;
        mesh.set_platform_faults(json!({})).await?;
        let outage_end = Instant::now();
        let before = mesh.platform_calls().await?;
        mesh.start_nodes()?;
        tokio::time::sleep(COUNTING_PERIOD).await;
        check_budget(&mesh, before, outage_end).await
    })
    .await
}

/// Guards against a ticket that is accepted twice, or never, because the response to a write that
/// took effect was lost (requirement F4).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_give_one_version_for_each_ticket() -> anyhow::Result<()> {
    limited(async {
        let mesh = fleet::start(&NODES, &[]).await?;
        let hosts: Vec<_> = mesh.hosts().collect();
        for (ticket, host) in (2..=7).zip(&hosts) {
            mesh.set_platform_faults(json!({ "lost_answers": 3 }))
                .await?;
            accept_once(&mesh, host, ticket).await?;
        }
        mesh.set_platform_faults(json!({})).await?;
        mesh.until_in_force(&hosts, 7, SERVING_TIMEOUT).await?;
        for host in hosts {
            ensure!(
                mesh.version_of(host).await? == 7,
                "{host} has another version"
            );
        }
        Ok(())
    })
    .await
}

fn kill_all(mesh: &mut Mesh) -> anyhow::Result<()> {
    let hosts: Vec<_> = mesh.hosts().collect();
    for host in &hosts {
        mesh.process(host).signal("KILL")?;
    }
    for host in hosts {
        mesh.process(host).wait(KILL_TIMEOUT)?;
    }
    Ok(())
}

fn restart_all(mesh: &mut Mesh) -> anyhow::Result<()> {
    let start = Instant::now();
    kill_all(mesh)?;
    mesh.start_nodes()?;
    println!("all nodes were killed and started in {:?}", start.elapsed());
    Ok(())
}

/// Waits until every node answers a caller.
async fn until_serving(mesh: &Mesh, timeout: Duration) -> anyhow::Result<Duration> {
    let start = Instant::now();
    for host in mesh.hosts() {
        let address = mesh.node(host).callers;
        let condition = format!("{host} answers callers");
        let remaining = timeout.saturating_sub(start.elapsed());
        mesh.until(&condition, remaining, || async {
            let reply = mesh.client.get(address, "/today").await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await?;
    }
    Ok(start.elapsed())
}

/// Calls through all nodes in turn until `end`, and checks that every call is answered.
async fn call_until(mesh: &Mesh, end: Instant) -> anyhow::Result<u64> {
    let hosts: Vec<_> = mesh.hosts().collect();
    let mut calls = 0;
    for host in hosts.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let reply = mesh.client.get(mesh.node(host).callers, "/today").await?;
        ensure!(reply.status == 200, "a call through {host}: {reply:?}");
        calls += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    Ok(calls)
}

/// Calls through all nodes in turn until `end`, and checks that every response is a refusal, and that each
/// node refuses. A node that has not opened its address yet shows nothing.
async fn check_not_run_until(mesh: &Mesh, end: Instant) -> anyhow::Result<()> {
    let hosts: Vec<_> = mesh.hosts().collect();
    let mut refused_by = BTreeSet::new();
    for host in hosts.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        // A node that is still starting refuses connections, which is no response.
        if let Ok(reply) = mesh.client.get(mesh.node(host).callers, "/today").await {
            let refused = reply.status == 503 && reply.header("knapweed-outcome") == "not-run";
            ensure!(refused, "a call through {host}: {reply:?}");
            refused_by.insert(*host);
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    ensure!(
        refused_by.len() == hosts.len(),
        "only {refused_by:?} refused calls, so the test is inconclusive"
    );
    Ok(())
}

/// Files a ticket in an outage, and checks that the response arrives in time and states the outcome.
async fn check_refusal(mesh: &Mesh, host: &str, ticket: u64) -> anyhow::Result<()> {
    let filed = Instant::now();
    let reply = mesh.file(host, &route_ticket(ticket)).await?;
    let took = filed.elapsed();
    let doc = reply.json()?;
    println!("in the outage, after {took:?}: {}", doc["sentence"]);
    ensure!(reply.status == 503, "unexpected: {doc}");
    let outcome = doc["outcome"].as_str();
    ensure!(
        matches!(outcome, Some("unavailable" | "unknown")),
        "unexpected: {doc}"
    );
    ensure!(took <= TICKET_RESPONSE_TIMEOUT, "answered after {took:?}");
    Ok(())
}

/// Files a ticket until it is accepted, at most 10 times, and then once more. Checks that both
/// responses name the version equal to the number of the ticket.
async fn accept_once(mesh: &Mesh, host: &str, ticket: u64) -> anyhow::Result<()> {
    let document = route_ticket(ticket);
    let mut accepted: Option<Value> = None;
    for _ in 0..10 {
        let reply = mesh.file(host, &document).await?;
        let doc = reply.json()?;
        match reply.status.as_u16() {
            200 => accepted = Some(doc),
            503 => println!("ticket {ticket}: {}", doc["sentence"]),
            _ => anyhow::bail!("ticket {ticket}: {doc}"),
        }
        if accepted.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let first = accepted.with_context(|| format!("ticket {ticket} was never accepted"))?;
    let again = mesh.file(host, &document).await?.json()?;
    ensure!(first["version"] == ticket, "unexpected: {first}");
    ensure!(again["version"] == ticket, "filed again: {again}");
    Ok(())
}

/// Checks that the calls since `before` do not exceed the token buckets of all nodes.
async fn check_budget(mesh: &Mesh, before: Calls, since: Instant) -> anyhow::Result<()> {
    let now = mesh.platform_calls().await?;
    let calls = (now.reads - before.reads) + (now.writes - before.writes);
    let seconds = since.elapsed().as_secs_f64();
    let budget = NODES.len() as f64 * (NODE_BURST + NODE_RATE * seconds);
    println!("{calls} calls in {seconds:.1} s, budget {budget:.0}");
    ensure!(calls as f64 <= budget, "{calls} calls, budget {budget:.0}");
    Ok(())
}
