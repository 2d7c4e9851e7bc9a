//! Planned stops of backend servers and nodes under load.

use anyhow::ensure;
use http::Method;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, PLACES, limited};
use knapweed_demo::load::{Ended, Load, Outcome, count};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Hosts with a backend server.
const BACKENDS: [&str; 4] = ["a1", "b1", "c1", "d1"];
/// The host whose backend server or node is stopped.
const STOPPED: &str = "b1";
/// A host of its zone without a backend server, so that calls through it go there.
const NEIGHBOUR: &str = "b2";
/// Time that a request runs which keeps the leaving server past the bound B2.
const SLOW_WORK_MS: &str = "5000";
/// Bound B2 on the time until a leaving backend server gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);
/// Longest time until a stopped program has ended.
const ENDED: Duration = Duration::from_secs(12);
/// Time that a long request runs.
const LONG_WORK: Duration = Duration::from_millis(1_200);
/// Length of a large response or upload, in bytes.
const LARGE: usize = 5_000_000;
const LARGE_PATH: &str = "/bytes/5000000";
/// Deadline of the requests of the load.
const DEADLINE: Duration = Duration::from_millis(1_900);

/// H8, H9, B2: guards against requests that are cut or lost when a backend
/// server leaves, and against work that is still sent to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_backend_server_finishes_and_gets_no_new_work() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&PLACES, &BACKENDS).await?;
        let load = start_load(&mesh, &mesh.hosts().collect::<Vec<_>>());
        let long = start_long(&mesh, NEIGHBOUR);
        let slow = start_slow(&mesh);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let name = format!("{STOPPED}-calendar-v1");
        mesh.process(&name).signal("TERM")?;
        let left = Instant::now();
        let entries = last_ledger(&mesh, &name).await;
        println!("requests run up to the bound: {}", entries.early);
        ensure!(
            left.elapsed() > NO_NEW_WORK,
            "the server ended too early to tell"
        );
        slow.await??;
        mesh.process(&name).wait(ENDED)?;
        println!("it ended {:?} after SIGTERM", left.elapsed());
        ensure!(
            entries.late.is_empty(),
            "new work after {NO_NEW_WORK:?}: {:?}",
            entries.late
        );
        check_long(long).await?;
        check(&load.await??)
    })
    .await
}

/// H9: guards against requests that are cut when a node stops, with callers
/// connected to it, and calls to its backend server from other nodes under way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stopping_node_interrupts_no_request() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&PLACES, &BACKENDS).await?;
        let others: Vec<_> = mesh.hosts().filter(|h| *h != STOPPED).collect();
        let load = start_load(&mesh, &others);
        let long = start_long(&mesh, STOPPED);
        let own = start_own_callers(&mesh);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let node = mesh.process(STOPPED);
        node.signal("TERM")?;
        let left = Instant::now();
        check_long(long).await?;
        let served = own.await?;
        let status = tokio::task::block_in_place(|| node.wait(ENDED))?;
        println!("it ended with {status} {:?} after SIGTERM", left.elapsed());
        ensure!(status.success(), "the node ended with {status}");
        served?;
        check(&load.await??)
    })
    .await
}

/// H9: guards against a node that a hangup signal ends, as its default action
/// would, and against requests that are interrupted by a reload.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_reload_interrupts_no_request() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&PLACES, &BACKENDS).await?;
        let load = start_load(&mesh, &[STOPPED]);
        let long = start_long(&mesh, STOPPED);
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            mesh.process(STOPPED).signal("HUP")?;
        }
        check_long(long).await?;
        check(&load.await??)?;
        let reply = mesh
            .client
            .get(mesh.node(STOPPED).callers, "/today")
            .await?;
        ensure!(reply.status == 200, "{:?}", reply.headers);
        Ok(())
    })
    .await
}

fn start_load(mesh: &Mesh, hosts: &[&str]) -> JoinHandle<anyhow::Result<Vec<Ended>>> {
    let load = Load {
        addresses: hosts.iter().map(|h| mesh.node(h).callers).collect(),
        first: 0,
        requests: 1_500,
        callers: 8,
        body_len: 50_000,
        deadline: DEADLINE,
        pause: Duration::from_millis(25),
    };
    let client = mesh.client.clone();
    tokio::spawn(async move { load.run(&client).await })
}

/// Long requests, uploads and large responses through the node of `host`.
fn start_long(mesh: &Mesh, host: &str) -> Vec<JoinHandle<anyhow::Result<()>>> {
    let address = mesh.node(host).callers;
    let mut tasks = Vec::new();
    for path in ["/today", "/echo", LARGE_PATH].into_iter().cycle().take(9) {
        let client = mesh.client.clone();
        tasks.push(tokio::spawn(async move {
            let work = LONG_WORK.as_millis().to_string();
            let headers = [("x-work-ms", work.as_str())];
            let (method, body, expected) = match path {
                "/today" => (Method::GET, Vec::new(), None),
                "/echo" => (Method::POST, vec![7; LARGE], Some(LARGE)),
                _ => (Method::GET, Vec::new(), Some(LARGE)),
            };
            let reply = client.send(method, address, path, &headers, body);
            let reply = reply.await?;
            ensure!(reply.status == 200, "{path}: {:?}", reply.headers);
            let whole = expected.is_none_or(|len| reply.body.len() == len);
            ensure!(whole, "{path}: {} bytes", reply.body.len());
            Ok(())
        }));
    }
    tasks
}

/// A slow request to the server that leaves.
fn start_slow(mesh: &Mesh) -> JoinHandle<anyhow::Result<()>> {
    let address = mesh.node(NEIGHBOUR).callers;
    let client = mesh.client.clone();
    tokio::spawn(async move {
        let headers = [("x-work-ms", SLOW_WORK_MS)];
        let reply = client.send(Method::GET, address, "/slow", &headers, "");
        let reply = reply.await?;
        ensure!(reply.status == 200, "the slow request: {:?}", reply.headers);
        ensure!(reply.header("knapweed-host") == STOPPED, "it ran elsewhere");
        Ok(())
    })
}

/// Calls through the node that stops, until it refuses connections; every call
/// that it takes must be answered.
fn start_own_callers(mesh: &Mesh) -> JoinHandle<anyhow::Result<()>> {
    let address = mesh.node(STOPPED).callers;
    let client = mesh.client.clone();
    tokio::spawn(async move {
        for number in 0..200 {
            let sent = client.get(address, "/today").await;
            let Ok(reply) = sent else {
                return check_gone(address, number).await;
            };
            ensure!(reply.status == 200, "call {number}: {reply:?}");
            // Callers leave within the wait of the node for new requests.
            if reply.header("connection") == "close" {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        anyhow::bail!("no call saw that the node is leaving")
    })
}

async fn check_gone(address: SocketAddr, number: usize) -> anyhow::Result<()> {
    let connected = tokio::net::TcpStream::connect(address).await;
    ensure!(connected.is_err(), "call {number} was cut");
    Ok(())
}

/// What the ledger of a leaving server held when it was last read.
#[derive(Debug, Default)]
struct LastLedger {
    /// Requests that started up to the bound.
    early: usize,
    /// Requests that started later.
    late: Vec<Value>,
}

/// Reads the ledger until the server ends.
async fn last_ledger(mesh: &Mesh, name: &str) -> LastLedger {
    let start = Instant::now();
    let mut last = LastLedger::default();
    while start.elapsed() < ENDED {
        let Ok(entries) = mesh.ledger(name).await else {
            break;
        };
        if start.elapsed() <= NO_NEW_WORK {
            last.early = entries.len();
        } else {
            last.late = entries[last.early..].to_vec();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    last
}

async fn check_long(tasks: Vec<JoinHandle<anyhow::Result<()>>>) -> anyhow::Result<()> {
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// No request is cut or unknown; a refusal is not expected either, since other
/// servers have room for all.
fn check(ended: &[Ended]) -> anyhow::Result<()> {
    let answered = count(ended, Outcome::Answered);
    let others: Vec<_> = ended
        .iter()
        .filter(|e| e.outcome != Outcome::Answered)
        .collect();
    println!("{answered} of {} requests answered", ended.len());
    ensure!(others.is_empty(), "not answered: {others:?}");
    Ok(())
}
