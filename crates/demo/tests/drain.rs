//! Graceful shutdown of backend servers and nodes, and reload of a node, under load.

use anyhow::{Context, ensure};
use http::Method;
use knapweed_demo::fleet::{self, NODES, limited};
use knapweed_demo::load::{FinishedRequest, Load, Outcome, count};
use knapweed_demo::{Client, Mesh};
use serde_json::Value;
use std::fmt;
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
const SLOW_PATH: &str = "/slow";
/// Run time of a request that keeps the draining server alive beyond [`NO_NEW_REQUESTS`]. It starts
/// before everything else, so it is longer by the time until SIGTERM, which takes seconds on a busy
/// machine.
const SLOW_WORK_MS: &str = "7000";
/// Longest time after SIGTERM until a backend server gets no new requests (bound B2).
const NO_NEW_REQUESTS: Duration = Duration::from_secs(3);
/// Longest time until a stopped program has exited.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Run time of a long request.
const LONG_WORK_TIME: Duration = Duration::from_millis(1_200);
/// Number of long requests.
const LONG_REQUESTS: usize = 9;
/// Paths of the long requests. No other request without an idempotency key has one of them.
const LONG_PATHS: [&str; 3] = ["/today/long", ECHO_PATH, LARGE_PATH];
const ECHO_PATH: &str = "/echo";
/// Longest time until requests that were sent run on a backend server.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the load runs before anything is stopped.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// Number of starts of a node that are observed.
const STARTS: usize = 5;
/// Bit of SIGHUP in the masks of signals of a process.
const SIGHUP_BIT: u64 = 1;
/// Length of a large response or upload, in bytes.
const LARGE_LEN: usize = 5_000_000;
const LARGE_PATH: &str = "/bytes/5000000";
/// Deadline of the requests of the load.
const DEADLINE: Duration = Duration::from_millis(1_900);

/// A request that was sent, with the checks of its response.
type RequestTask = JoinHandle<anyhow::Result<()>>;

/// Guards against requests that are interrupted or lost when a backend server shuts down, and against
/// requests that are still sent to it afterwards (hazards H8, H9, bound B2).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_backend_server_finishes_and_gets_no_new_work() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        let slow_request = start_slow_request(&mesh).await?;
        let load = start_load(&mesh, &mesh.hosts().collect::<Vec<_>>());
        tokio::time::sleep(LOAD_TIME).await;
        let (long_requests, placements) = start_long_requests(&mesh, NEIGHBOUR).await?;
        ensure!(
            placements.running_on(STOPPED) > 0,
            "no long request runs on {STOPPED}, so the test is inconclusive: {placements}"
        );
        let name = server_name(STOPPED);
        mesh.process(&name).signal("TERM")?;
        let stopped_at = Instant::now();
        let ledger_counts = watch_ledger(&mut mesh, &name).await;
        println!(
            "requests that started before the bound: {}, reads after it: {}",
            ledger_counts.before_bound, ledger_counts.reads_after_bound
        );
        ensure!(
            stopped_at.elapsed() > NO_NEW_REQUESTS,
            "the server exited before the bound, so the test is inconclusive"
        );
        ensure!(
            ledger_counts.reads_after_bound > 0,
            "the ledger was not read after the bound, so the test is inconclusive"
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
        let own_calls = start_own_callers(&mesh);
        tokio::time::sleep(LOAD_TIME).await;
        let (long_requests, placements) = start_long_requests(&mesh, STOPPED).await?;
        check_any_runs(&placements)?;
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
        let (long_requests, placements) = start_long_requests(&mesh, STOPPED).await?;
        check_any_runs(&placements)?;
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

/// Starts long requests, uploads and large responses through the node of `host`, and waits until all
/// have started on backend servers.
async fn start_long_requests(
    mesh: &Mesh,
    host: &str,
) -> anyhow::Result<(Vec<RequestTask>, Placements)> {
    let address = mesh.node(host).callers;
    let paths = LONG_PATHS.into_iter().cycle().take(LONG_REQUESTS);
    let tasks = paths
        .map(|path| tokio::spawn(send_long_request(mesh.client.clone(), address, path)))
        .collect();
    let placements = until_started(mesh, &LONG_PATHS, LONG_REQUESTS).await?;
    Ok((tasks, placements))
}

async fn send_long_request(
    client: Client,
    address: SocketAddr,
    path: &'static str,
) -> anyhow::Result<()> {
    let work = LONG_WORK_TIME.as_millis().to_string();
    let headers = [("x-work-ms", work.as_str())];
    let (method, body, expected) = match path {
        ECHO_PATH => (Method::POST, vec![7; LARGE_LEN], Some(LARGE_LEN)),
        LARGE_PATH => (Method::GET, Vec::new(), Some(LARGE_LEN)),
        _ => (Method::GET, Vec::new(), None),
    };
    let reply = client.send(method, address, path, &headers, body);
    let reply = reply.await?;
    ensure!(reply.status == 200, "{path}: {:?}", reply.headers);
    let is_complete = expected.is_none_or(|len| reply.body.len() == len);
    ensure!(is_complete, "{path}: {} bytes", reply.body.len());
    Ok(())
}

/// Starts a slow request to the server that shuts down, and waits until it runs there.
///
/// No other request may run yet: the more slots of a server are in use, the more likely is the choice
/// of a server in another availability zone.
async fn start_slow_request(mesh: &Mesh) -> anyhow::Result<RequestTask> {
    let task = tokio::spawn(send_slow_request(
        mesh.client.clone(),
        mesh.node(NEIGHBOUR).callers,
    ));
    let placements = until_started(mesh, &[SLOW_PATH], 1).await?;
    ensure!(
        placements.running_on(STOPPED) > 0,
        "the slow request does not run on {STOPPED}: {placements}"
    );
    Ok(task)
}

async fn send_slow_request(client: Client, address: SocketAddr) -> anyhow::Result<()> {
    let headers = [("x-work-ms", SLOW_WORK_MS)];
    let reply = client.send(Method::GET, address, SLOW_PATH, &headers, "");
    let reply = reply.await?;
    ensure!(reply.status == 200, "the slow request: {:?}", reply.headers);
    ensure!(
        reply.header("knapweed-host") == STOPPED,
        "the slow request ran on host {:?}",
        reply.header("knapweed-host")
    );
    Ok(())
}

/// A long or slow request in the ledger of a backend server.
struct Placement {
    /// Host of the backend server.
    host: &'static str,
    /// Path of the request.
    path: String,
    /// Whether the request runs, and has not ended.
    is_running: bool,
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_running { "runs" } else { "ended" };
        write!(f, "{} {state} on {}", self.path, self.host)
    }
}

impl Placement {
    /// Reads an entry of the ledger of a server. `None` if it has another path, or an idempotency key
    /// as the requests of the load have.
    fn from_entry(host: &'static str, entry: &Value, paths: &[&str]) -> Option<Self> {
        let path = entry["path"].as_str().filter(|path| paths.contains(path))?;
        entry["idempotency_key"].is_null().then(|| Self {
            host,
            path: path.to_owned(),
            is_running: entry["progress"] == "running",
        })
    }
}

/// Where long or slow requests run, by the ledgers of all backend servers.
struct Placements(Vec<Placement>);

impl fmt::Display for Placements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let placements: Vec<_> = self.0.iter().map(Placement::to_string).collect();
        write!(f, "[{}]", placements.join(", "))
    }
}

impl Placements {
    /// Reads the requests with these paths from the ledgers.
    async fn read(mesh: &Mesh, paths: &[&str]) -> anyhow::Result<Self> {
        let mut placements = Vec::new();
        for host in BACKENDS {
            let entries = mesh.ledger(&server_name(host)).await?;
            let matching = entries
                .iter()
                .filter_map(|entry| Placement::from_entry(host, entry, paths));
            placements.extend(matching);
        }
        Ok(Self(placements))
    }

    /// Number of requests that run.
    fn running(&self) -> usize {
        self.0.iter().filter(|p| p.is_running).count()
    }

    /// Number of requests that run on the backend server of `host`.
    fn running_on(&self, host: &str) -> usize {
        let running = self.0.iter().filter(|p| p.is_running);
        running.filter(|p| p.host == host).count()
    }
}

/// Waits until `requests` of the long or slow requests with these paths have started.
async fn until_started(mesh: &Mesh, paths: &[&str], requests: usize) -> anyhow::Result<Placements> {
    let what = format!("{requests} requests to {paths:?} have started");
    let started = mesh.until(&what, START_TIMEOUT, || async {
        let placements = Placements::read(mesh, paths).await.ok()?;
        (placements.0.len() >= requests).then_some(placements)
    });
    match started.await {
        Ok((placements, took)) => {
            println!("{what} after {took:?}: {placements}");
            Ok(placements)
        }
        Err(err) => {
            let started = Placements::read(mesh, paths).await?;
            Err(err.context(format!("started: {started}")))
        }
    }
}

/// Checks that the test has requests that could be interrupted.
fn check_any_runs(placements: &Placements) -> anyhow::Result<()> {
    ensure!(
        placements.running() > 0,
        "no long request runs, so the test is inconclusive: {placements}"
    );
    Ok(())
}

fn server_name(host: &str) -> String {
    format!("{host}-calendar-v1")
}

/// Calls through the node that shuts down, until it refuses connections. Every call that it accepts
/// must be answered.
fn start_own_callers(mesh: &Mesh) -> RequestTask {
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

/// Counts from the reads of the ledger of a draining server.
#[derive(Debug, Default)]
struct LedgerCounts {
    /// Requests that started before the bound.
    before_bound: usize,
    /// Reads of the ledger after the bound.
    reads_after_bound: usize,
    /// Requests that started after the bound.
    after_bound: Vec<Value>,
}

/// Reads the ledger repeatedly until the server exits.
async fn watch_ledger(mesh: &mut Mesh, name: &str) -> LedgerCounts {
    let start = Instant::now();
    let mut counts = LedgerCounts::default();
    while start.elapsed() < EXIT_TIMEOUT && mesh.process(name).wait(Duration::ZERO).is_err() {
        match mesh.ledger(name).await {
            Ok(entries) if start.elapsed() <= NO_NEW_REQUESTS => {
                counts.before_bound = entries.len();
            }
            Ok(entries) => {
                counts.reads_after_bound += 1;
                counts.after_bound = entries[counts.before_bound..].to_vec();
            }
            Err(err) => println!("read {:?} after SIGTERM: {err}", start.elapsed()),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    counts
}

async fn check_long_requests(tasks: Vec<RequestTask>) -> anyhow::Result<()> {
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
