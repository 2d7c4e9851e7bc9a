//! Restarts of nodes: the time until they serve again, and the version that they serve.

use anyhow::ensure;
use http::Method;
use knapweed_demo::fleet::{self, NODES, limited, route_name, route_ticket};
use knapweed_demo::stand_in::outage;
use knapweed_demo::{Mesh, VersionWatch};
use serde_json::json;
use std::time::{Duration, Instant};

/// Longest time until a node serves, once it can reach the platform or a peer.
const SERVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until a node without calls exits on SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a node that must not serve is observed.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(3);
/// Time between two checks of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of the last ticket before the restarts. Only the newest version has its route.
const NEWEST: u64 = 4;
/// Hosts of one availability zone.
const ZONE: [&str; 2] = ["b1", "b2"];

/// Guards against a killed node that does not serve again, or serves an old version (hazard H1,
/// requirement F1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_node_serves_the_newest_version() -> anyhow::Result<()> {
    limited(restart_one("KILL", false)).await
}

/// As above while the platform is down: the node must start from its peers alone (hazard H1,
/// requirement F2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_node_serves_the_newest_version_in_an_outage() -> anyhow::Result<()> {
    limited(restart_one("KILL", true)).await
}

/// Guards against a node that its peers still consider gone after it was stopped gracefully and
/// started again (hazard H1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_serves_the_newest_version() -> anyhow::Result<()> {
    limited(restart_one("TERM", false)).await
}

/// As above while the platform is down (hazard H1, requirement F2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_serves_the_newest_version_in_an_outage() -> anyhow::Result<()> {
    limited(restart_one("TERM", true)).await
}

/// Guards against a zone that loses its configuration when all of its nodes restart at once (hazard
/// H1, requirement F1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_serves_the_newest_version() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = start().await?;
        let watch = VersionWatch::start(&mesh);
        restart(&mut mesh, &ZONE, "KILL")?;
        check_serves(&mesh, &ZONE).await?;
        check_regressions(&watch)
    })
    .await
}

/// Guards against a zone that serves without knowing its version floor: all of its nodes restart while
/// the platform is down, so no peer of the zone serves. It must serve again once the platform is back
/// (hazard H1, requirements F1, F2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_restarted_in_an_outage_serves_after_it() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = start().await?;
        let watch = VersionWatch::start(&mesh);
        mesh.set_platform_faults(outage()).await?;
        restart(&mut mesh, &ZONE, "KILL")?;
        check_refuses(&mesh, &ZONE).await?;
        mesh.set_platform_faults(json!({})).await?;
        check_serves(&mesh, &ZONE).await?;
        check_regressions(&watch)
    })
    .await
}

async fn start() -> anyhow::Result<Mesh> {
    let mesh = fleet::start(&NODES, &["a1", "c1"]).await?;
    for (ticket, host) in (2..=NEWEST).zip(mesh.hosts()) {
        let reply = mesh.file(host, &route_ticket(ticket)).await?;
        ensure!(reply.status == 200, "ticket {ticket}: {:?}", reply.body);
    }
    let hosts: Vec<_> = mesh.hosts().collect();
    mesh.until_in_force(&hosts, NEWEST, SERVING_TIMEOUT).await?;
    check_serves(&mesh, &hosts).await?;
    Ok(mesh)
}

async fn restart_one(signal: &str, is_outage: bool) -> anyhow::Result<()> {
    let mut mesh = start().await?;
    let watch = VersionWatch::start(&mesh);
    if is_outage {
        mesh.set_platform_faults(outage()).await?;
    }
    restart(&mut mesh, &["b1"], signal)?;
    check_serves(&mesh, &["b1"]).await?;
    check_regressions(&watch)
}

fn restart(mesh: &mut Mesh, hosts: &[&str], signal: &str) -> anyhow::Result<()> {
    for host in hosts {
        mesh.process(host).signal(signal)?;
    }
    for host in hosts {
        let status = mesh.process(host).wait(EXIT_TIMEOUT)?;
        let expected = status.success() || signal == "KILL";
        ensure!(expected, "{host} exited with {status}");
    }
    hosts.iter().try_for_each(|host| mesh.start_node(host))
}

/// Checks that each node serves the newest version within [`SERVING_TIMEOUT`], and refuses all
/// calls until then.
async fn check_serves(mesh: &Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    let start = Instant::now();
    for host in hosts {
        while answer(mesh, host).await? != Answer::Served {
            ensure!(start.elapsed() < SERVING_TIMEOUT, "{host} does not serve");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let version = mesh.version_of(host).await?;
        ensure!(version == NEWEST, "{host} serves version {version}");
    }
    println!("{hosts:?} serve after {:?}", start.elapsed());
    Ok(())
}

/// Checks that no node of `hosts` serves callers, and that each refuses them. A node that has not opened
/// its address yet shows nothing.
async fn check_refuses(mesh: &Mesh, hosts: &[&str]) -> anyhow::Result<()> {
    let start = Instant::now();
    let mut refusals = vec![0; hosts.len()];
    while start.elapsed() < OBSERVATION_PERIOD {
        for (host, refusals) in hosts.iter().zip(&mut refusals) {
            match answer(mesh, host).await? {
                Answer::Served => anyhow::bail!("{host} serves"),
                Answer::Refused => *refusals += 1,
                Answer::Unreachable => {}
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("{hosts:?} refused {refusals:?} calls");
    ensure!(
        refusals.iter().all(|refusals| *refusals > 0),
        "a node was not reachable, so the test is inconclusive: {hosts:?} refused {refusals:?} calls"
    );
    Ok(())
}

/// How a node answers a call of the route of the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// A backend server answered.
    Served,
    /// The node refused the call with the outcome `not-run`.
    Refused,
    /// The node refuses connections, since it is still starting.
    Unreachable,
}

/// Calls the route of the newest version, and checks that any response but that of a backend server is
/// a refusal with the outcome `not-run`. An older version would respond with 404.
async fn answer(mesh: &Mesh, host: &str) -> anyhow::Result<Answer> {
    let path = format!("/{}", route_name(NEWEST));
    let address = mesh.node(host).callers;
    let sent = mesh.client.send(Method::GET, address, &path, &[], "");
    let Ok(reply) = sent.await else {
        return Ok(Answer::Unreachable);
    };
    let outcome = reply.header("knapweed-outcome");
    let refused = reply.status == 503 && outcome == "not-run";
    ensure!(reply.status == 200 || refused, "{host}: {reply:?}");
    Ok(match reply.status == 200 {
        true => Answer::Served,
        false => Answer::Refused,
    })
}

fn check_regressions(watch: &VersionWatch) -> anyhow::Result<()> {
    let regressions = watch.regressions();
    ensure!(
        regressions.is_empty(),
        "nodes returned to lower versions: {regressions:?}"
    );
    Ok(())
}
