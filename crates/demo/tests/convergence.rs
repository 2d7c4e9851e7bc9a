//! Convergence of the configuration while nodes are killed and paused.

use anyhow::{Context, ensure};
use knapweed_demo::fleet::{self, NODES, limited, route_name, route_ticket};
use knapweed_demo::{Mesh, VersionWatch};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time until a ticket is in force on a node, from its acceptance or from when the node is
/// reachable again (bound B1).
const IN_FORCE_BOUND: Duration = Duration::from_secs(3);
/// Number of the last ticket; ticket 1 creates the service.
const LAST_TICKET: u64 = 31;
/// Time between two tickets.
const TICKET_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the holder of a duty is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(5);
/// Host whose node is killed and restarted.
const KILLED: &str = "d1";
/// Ticket numbers at which nodes are paused, killed and restarted.
const PAUSE_AT: u64 = 5;
const KILL_AT: u64 = 10;
const RESTART_AT: u64 = 16;

/// Period in which a node was not reachable.
#[derive(Clone, Copy, Debug)]
struct UnreachablePeriod {
    from: Instant,
    to: Instant,
}

#[derive(Debug)]
struct Accepted {
    ticket: u64,
    version: u64,
    at: Instant,
}

/// Guards against tickets that a node misses, loses or applies too late because the holder of a
/// gateway duty is paused or because the node itself was restarted (hazards H10, H1, bound B1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tickets_are_in_force_with_a_paused_gateway_and_a_killed_node() -> anyhow::Result<()> {
    limited(check_convergence("gateway/labasa")).await
}

/// As above (hazards H10, H1, bound B1), with a paused holder of the duty of a zone relay in the
/// region that has no object store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tickets_are_in_force_with_a_paused_relay_and_a_killed_node() -> anyhow::Result<()> {
    limited(check_convergence("relay/savusavu-a")).await
}

async fn check_convergence(duty: &str) -> anyhow::Result<()> {
    let mut mesh = fleet::start(&NODES, &[]).await?;
    let paused = holder(&mesh, duty).await?;
    let watch = VersionWatch::start(&mesh);
    let (accepted, unreachable) = file_tickets_under_failures(&mut mesh, paused).await?;
    let hosts: Vec<_> = mesh.hosts().collect();
    let last = accepted.iter().map(|a| a.version).max();
    let last = last.context("no ticket was accepted")?;
    mesh.until_in_force(&hosts, last, IN_FORCE_BOUND).await?;
    // The watch polls independently, so it may observe the last version later.
    tokio::time::sleep(TICKET_INTERVAL).await;
    let longest = check_bound(&watch, &hosts, &accepted, &unreachable)?;
    println!("{duty} held by {paused}: longest time until a ticket was in force {longest:?}");
    check_routes(&mesh, &hosts).await?;
    let regressions = watch.regressions();
    ensure!(
        regressions.is_empty(),
        "nodes returned to lower versions: {regressions:?}"
    );
    Ok(())
}

async fn holder(mesh: &Mesh, duty: &str) -> anyhow::Result<&'static str> {
    let (host, _) = mesh
        .until("the duty has a holder", Duration::from_secs(8), || async {
            mesh.duty_holder(duty).await.ok()?
        })
        .await?;
    ensure!(
        host != KILLED,
        "{duty} is held by {KILLED}, which the test kills"
    );
    Ok(host)
}

async fn file_tickets_under_failures(
    mesh: &mut Mesh,
    paused: &'static str,
) -> anyhow::Result<(Vec<Accepted>, BTreeMap<&'static str, UnreachablePeriod>)> {
    let filing_hosts: Vec<_> = mesh
        .hosts()
        .filter(|h| ![paused, KILLED].contains(h))
        .collect();
    let mut unreachable = BTreeMap::new();
    let mut accepted = Vec::new();
    let mut unreachable_since = BTreeMap::new();
    for (ticket, host) in (2..=LAST_TICKET).zip(filing_hosts.into_iter().cycle()) {
        if ticket == PAUSE_AT {
            mesh.process(paused).signal("STOP")?;
            unreachable_since.insert(paused, Instant::now());
        }
        if ticket == KILL_AT {
            mesh.process(KILLED).signal("KILL")?;
            unreachable_since.insert(KILLED, Instant::now());
        }
        if ticket == RESTART_AT {
            mesh.start_node(KILLED)?;
            end_unreachable(&mut unreachable_since, &mut unreachable, KILLED)?;
        }
        if unreachable_since
            .get(paused)
            .is_some_and(|from| from.elapsed() >= PAUSE_DURATION)
        {
            mesh.process(paused).signal("CONT")?;
            end_unreachable(&mut unreachable_since, &mut unreachable, paused)?;
        }
        accepted.push(file(mesh, host, ticket).await?);
        tokio::time::sleep(TICKET_INTERVAL).await;
    }
    ensure!(
        unreachable_since.is_empty(),
        "nodes are still paused or killed: {unreachable_since:?}"
    );
    Ok((accepted, unreachable))
}

fn end_unreachable(
    unreachable_since: &mut BTreeMap<&'static str, Instant>,
    unreachable: &mut BTreeMap<&'static str, UnreachablePeriod>,
    host: &'static str,
) -> anyhow::Result<()> {
    let from = unreachable_since
        .remove(host)
        .context("the node was not paused or killed before")?;
    let to = Instant::now();
    unreachable.insert(host, UnreachablePeriod { from, to });
    Ok(())
}

async fn file(mesh: &Mesh, host: &str, ticket: u64) -> anyhow::Result<Accepted> {
    let reply = mesh.file(host, &route_ticket(ticket)).await?;
    let at = Instant::now();
    ensure!(
        reply.status == 200,
        "ticket {ticket} filed on {host}: {:?}",
        reply.body
    );
    let version = reply.json()?["version"].as_u64();
    let version = version.context("the response to an accepted ticket has no version")?;
    Ok(Accepted {
        ticket,
        version,
        at,
    })
}

/// Checks the bound for each ticket on each node, and returns the longest time.
fn check_bound(
    watch: &VersionWatch,
    hosts: &[&'static str],
    accepted: &[Accepted],
    unreachable: &BTreeMap<&'static str, UnreachablePeriod>,
) -> anyhow::Result<Duration> {
    let mut longest = Duration::ZERO;
    let mut late = Vec::new();
    for host in hosts {
        for Accepted {
            ticket,
            version,
            at,
        } in accepted
        {
            let due_from = match unreachable.get(host) {
                Some(period) if *at < period.to && *at + IN_FORCE_BOUND > period.from => period.to,
                _ => *at,
            };
            let reached = watch.reached(host, *version);
            let reached =
                reached.with_context(|| format!("ticket {ticket} was never in force on {host}"))?;
            let delay = reached.saturating_duration_since(due_from);
            longest = longest.max(delay);
            if delay > IN_FORCE_BOUND {
                late.push((*ticket, *host, delay));
            }
        }
    }
    ensure!(late.is_empty(), "later than {IN_FORCE_BOUND:?}: {late:?}");
    Ok(longest)
}

async fn check_routes(mesh: &Mesh, hosts: &[&'static str]) -> anyhow::Result<()> {
    for host in hosts {
        let reply = mesh
            .client
            .get(mesh.node(host).operators, "/v1/config")
            .await?;
        let doc = reply.json()?;
        let missing = (2..=LAST_TICKET)
            .filter(|n| doc["config"]["routes"][route_name(*n)].is_null())
            .collect::<Vec<_>>();
        ensure!(
            missing.is_empty(),
            "host {host} lacks the routes of tickets {missing:?}"
        );
    }
    Ok(())
}
