//! Graceful shutdown of backend servers and nodes, and reload of a node, under load.

use anyhow::{Context, ensure};
use http::Method;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, NODES, limited};
use knapweed_demo::load::{FinishedRequest, Load, Outcome, count};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Hosts with a backend server.
const BACKENDS: [&str; 4] = ["a1", "b1", "c1", "d1"];
/// Host whose backend server or node is stopped.
const STOPPED: &str = "b1";
/// Host in the zone of [`STOPPED`] without a backend server, so that calls through it go to
/// [`STOPPED`].
const NEIGHBOUR: &str = "b2";
/// Run time of a request that keeps the draining server alive beyond [`NO_NEW_REQUESTS`].
const SLOW_WORK_MS: &str = "5000";
/// Longest time after SIGTERM until a backend server gets no new requests (bound B2).
const NO_NEW_REQUESTS: Duration = Duration::from_secs(3);
/// Longest time until a stopped program has exited.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Run time of a long request.
const LONG_WORK_TIME: Duration = Duration::from_millis(1_200);
/// Number of starts of a node that are observed.
const STARTS: usize = 5;
/// Bit of SIGHUP in the masks of signals of a process.
const SIGHUP_BIT: u64 = 1;
/// Length of a large response or upload, in bytes.
const LARGE_LEN: usize = 5_000_000;
const LARGE_PATH: &str = "/bytes/5000000";
/// Deadline of the requests of the load.
const DEADLINE: Duration = Duration::from_millis(1_900);

/// Guards against requests that are interrupted or lost when a backend server shuts down, and against
/// requests that are still sent to it afterwards (hazards H8, H9, bound B2).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_backend_server_finishes_and_gets_no_new_work() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        let load = start_load(&mesh, &mesh.hosts().collect::<Vec<_>>());
        let long_requests = start_long_requests(&mesh, NEIGHBOUR);
        let slow_request = start_slow_request(&mesh);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let name = format!("{STOPPED}-calendar-v1");
        mesh.process(&name).signal("TERM")?;
        let stopped_at = Instant::now();
        let ledger_counts = watch_ledger(&mesh, &name).await;
        println!(
            "requests that started before the bound: {}",
            ledger_counts.before_bound
        );
        ensure!(
            stopped_at.elapsed() > NO_NEW_REQUESTS,
            "the server exited before the bound, so the test is inconclusive"
        );
        slow_request.await??;
        mesh.process(&name).wait(EXIT_TIMEOUT)?;
        println!("the server exited {:?} after SIGTERM", stopped_at.elapsed());
        ensure!(
            ledger_counts.after_bound.is_empty(),
            "new requests after {NO_NEW_REQUESTS:?}: {:?}",
            ledger_counts.after_bound
        );
        check_long_requests(long_requests).await?;
        check_all_answered(&load.await??)
    })
    .await
}

/// Guards against requests that are interrupted when a node shuts down while callers are connected
/// to it and other nodes send calls to its backend server (hazard H9).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stopping_node_interrupts_no_request() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        let others: Vec<_> = mesh.hosts().filter(|h| *h != STOPPED).collect();
        let load = start_load(&mesh, &others);
        let long_requests = start_long_requests(&mesh, STOPPED);
        let own_calls = start_own_callers(&mesh);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let node = mesh.process(STOPPED);
        node.signal("TERM")?;
        let stopped_at = Instant::now();
        check_long_requests(long_requests).await?;
        let served = own_calls.await?;
        let status = tokio::task::block_in_place(|| node.wait(EXIT_TIMEOUT))?;
        println!(
            "the node exited with {status} {:?} after SIGTERM",
            stopped_at.elapsed()
        );
        ensure!(status.success(), "the node exited with {status}");
        served?;
        check_all_answered(&load.await??)
    })
    .await
}

/// Guards against a node that exits on SIGHUP, which is the default action of the signal, and
/// against requests that are interrupted by a reload (hazard H9).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_reload_interrupts_no_request() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        let load = start_load(&mesh, &[STOPPED]);
        let long_requests = start_long_requests(&mesh, STOPPED);
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            mesh.process(STOPPED).signal("HUP")?;
        }
        check_long_requests(long_requests).await?;
        check_all_answered(&load.await??)?;
        let reply = mesh
            .client
            .get(mesh.node(STOPPED).callers, "/today")
            .await?;
        ensure!(reply.status == 200, "{:?}", reply.headers);
        Ok(())
    })
    .await
}

/// Guards against a node that SIGHUP ends while it starts: it must have a handler of the signal
/// before it accepts its first connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_handles_a_reload() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = Mesh::new(&NODES[..1])?;
        let host = NODES[0].host;
        for round in 0..STARTS {
            mesh.start_node(host)?;
            let operators = mesh.node(host).operators;
            while tokio::net::TcpStream::connect(operators).await.is_err() {
                tokio::task::yield_now().await;
            }
            let status = format!("/proc/{}/status", mesh.process(host).id());
            let handled = handled_signals(&std::fs::read_to_string(status)?)?;
            ensure!(handled & SIGHUP_BIT != 0, "start {round}: {handled:#x}");
        }
        Ok(())
    })
    .await
}

/// The mask of the signals that a process handles, from its status in `/proc`.
fn handled_signals(status: &str) -> anyhow::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = line.context("the status has no mask of handled signals")?;
    Ok(u64::from_str_radix(mask.trim(), 16)?)
}

fn start_load(mesh: &Mesh, hosts: &[&str]) -> JoinHandle<anyhow::Result<Vec<FinishedRequest>>> {
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

/// Starts long requests, uploads and large responses through the node of `host`.
fn start_long_requests(mesh: &Mesh, host: &str) -> Vec<JoinHandle<anyhow::Result<()>>> {
    let address = mesh.node(host).callers;
    let mut tasks = Vec::new();
    for path in ["/today", "/echo", LARGE_PATH].into_iter().cycle().take(9) {
        let client = mesh.client.clone();
        tasks.push(tokio::spawn(async move {
            let work = LONG_WORK_TIME.as_millis().to_string();
            let headers = [("x-work-ms", work.as_str())];
            let (method, body, expected) = match path {
                "/today" => (Method::GET, Vec::new(), None),
                "/echo" => (Method::POST, vec![7; LARGE_LEN], Some(LARGE_LEN)),
                _ => (Method::GET, Vec::new(), Some(LARGE_LEN)),
            };
            let reply = client.send(method, address, path, &headers, body);
            let reply = reply.await?;
            ensure!(reply.status == 200, "{path}: {:?}", reply.headers);
            let is_complete = expected.is_none_or(|len| reply.body.len() == len);
            ensure!(is_complete, "{path}: {} bytes", reply.body.len());
            Ok(())
        }));
    }
    tasks
}

/// Starts a slow request to the server that shuts down.
fn start_slow_request(mesh: &Mesh) -> JoinHandle<anyhow::Result<()>> {
    let address = mesh.node(NEIGHBOUR).callers;
    let client = mesh.client.clone();
    tokio::spawn(async move {
        let headers = [("x-work-ms", SLOW_WORK_MS)];
        let reply = client.send(Method::GET, address, "/slow", &headers, "");
        let reply = reply.await?;
        ensure!(reply.status == 200, "the slow request: {:?}", reply.headers);
        ensure!(
            reply.header("knapweed-host") == STOPPED,
            "the slow request ran on another host"
        );
        Ok(())
    })
}

/// Calls through the node that shuts down, until it refuses connections. Every call that it accepts
/// must be answered.
fn start_own_callers(mesh: &Mesh) -> JoinHandle<anyhow::Result<()>> {
    let address = mesh.node(STOPPED).callers;
    let client = mesh.client.clone();
    tokio::spawn(async move {
        for number in 0..200 {
            let sent = client.get(address, "/today").await;
            let Ok(reply) = sent else {
                return check_refuses_connections(address, number).await;
            };
            ensure!(reply.status == 200, "call {number}: {reply:?}");
            // The node announces its shutdown in this header while it still accepts requests.
            if reply.header("connection") == "close" {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        anyhow::bail!("no response announced the shutdown of the node")
    })
}

async fn check_refuses_connections(address: SocketAddr, number: usize) -> anyhow::Result<()> {
    let connected = tokio::net::TcpStream::connect(address).await;
    ensure!(connected.is_err(), "call {number} was interrupted");
    Ok(())
}

/// Counts from the last read of the ledger of a draining server.
#[derive(Debug, Default)]
struct LedgerCounts {
    /// Requests that started before the bound.
    before_bound: usize,
    /// Requests that started after the bound.
    after_bound: Vec<Value>,
}

/// Reads the ledger repeatedly until the server exits.
async fn watch_ledger(mesh: &Mesh, name: &str) -> LedgerCounts {
    let start = Instant::now();
    let mut last = LedgerCounts::default();
    while start.elapsed() < EXIT_TIMEOUT {
        let Ok(entries) = mesh.ledger(name).await else {
            break;
        };
        if start.elapsed() <= NO_NEW_REQUESTS {
            last.before_bound = entries.len();
        } else {
            last.after_bound = entries[last.before_bound..].to_vec();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    last
}

async fn check_long_requests(tasks: Vec<JoinHandle<anyhow::Result<()>>>) -> anyhow::Result<()> {
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// Checks that all requests were answered. None may be refused either, since the other servers have
/// enough capacity.
fn check_all_answered(finished: &[FinishedRequest]) -> anyhow::Result<()> {
    let answered = count(finished, Outcome::Answered);
    let others: Vec<_> = finished
        .iter()
        .filter(|e| e.outcome != Outcome::Answered)
        .collect();
    println!("{answered} of {} requests answered", finished.len());
    ensure!(others.is_empty(), "not answered: {others:?}");
    Ok(())
}
