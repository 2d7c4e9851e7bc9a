//! Responses match their requests, and requests reported as not run have not run.

use anyhow::ensure;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, JOIN_TIMEOUT, NODES, calendar_on, limited};
use knapweed_demo::load::{FinishedRequest, Load, Outcome, count};
use knapweed_demo::stand_in::identities;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Hosts with a backend server.
const BACKENDS: [&str; 4] = ["a1", "b1", "c1", "d1"];
/// Backend server that fails a part of its requests.
const FAILING: &str = "a1-calendar-v1";
/// Backend servers whose open connections become silent.
const SILENT: [&str; 2] = ["c1-calendar-v1", "a1-calendar-v1"];
/// Host whose backend server is killed and started again.
const KILLED: &str = "b1";
/// Time between two injected faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two calls to a node that does not answer yet.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Rounds of faults before the last one, in which all servers are killed.
const ROUNDS: usize = 2;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Tolerance beyond the deadline for the transmission of a response and for delays on a busy
/// machine.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(250);

/// Guards against responses that reach another request or are incomplete, requests that run twice or
/// run although they are reported as not run, and callers that wait beyond their deadline (hazards
/// H5, H6, H7). Meanwhile backend servers fail requests, are killed and restarted, and become silent
/// on open connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_belong_to_their_requests_while_backend_servers_fail() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&NODES, &BACKENDS).await?;
        let load = load(&mesh);
        let client = mesh.client.clone();
        // The rounds wait for real processes, so the load lasts as long as they do.
        let may_end = Arc::new(AtomicBool::new(false));
        let running = tokio::spawn({
            let may_end = Arc::clone(&may_end);
            async move { load.run_until(&client, may_end).await }
        });
        let mut ledgers = Ledgers::default();
        for _ in 0..ROUNDS {
            inject_faults(&mut mesh, &mut ledgers, &[KILLED]).await?;
        }
        // While no server runs, requests are refused as not run.
        let all_killed = inject_faults(&mut mesh, &mut ledgers, &BACKENDS).await?;
        check_answers_again(&mesh).await?;
        may_end.store(true, Ordering::Relaxed);
        let finished = running.await??;
        for host in BACKENDS {
            ledgers.add(&mesh, &server_name(host)).await?;
        }
        print_outcomes(&finished);
        check(&finished, &ledgers)?;
        check_answered(&finished, all_killed)
    })
    .await
}

fn load(mesh: &Mesh) -> Load {
    Load {
        addresses: mesh.hosts().map(|h| mesh.node(h).callers).collect(),
        first: 0,
        requests: 2_000,
        callers: 16,
        body_len: 10_000,
        deadline: DEADLINE,
        pause: Duration::from_millis(30),
    }
}

fn server_name(host: &str) -> String {
    format!("{host}-calendar-v1")
}

/// Number of runs by idempotency key, over all backend servers and their restarts.
#[derive(Debug, Default)]
struct Ledgers {
    runs: BTreeMap<String, usize>,
}

impl Ledgers {
    async fn add(&mut self, mesh: &Mesh, name: &str) -> anyhow::Result<()> {
        for identity in identities(&mesh.ledger(name).await?) {
            *self.runs.entry(identity).or_default() += 1;
        }
        Ok(())
    }
}

/// Injects one round of all faults; the servers on the hosts `killed` are restarted. Returns when the
/// first of them was about to be killed.
async fn inject_faults(
    mesh: &mut Mesh,
    ledgers: &mut Ledgers,
    killed: &[&'static str],
) -> anyhow::Result<Instant> {
    let faults = json!({ "fail_percent": 20 });
    mesh.set_backend_faults(FAILING, faults).await?;
    tokio::time::sleep(FAULT_INTERVAL).await;
    for name in SILENT {
        mesh.set_backend_faults(name, silence_faults()).await?;
    }
    tokio::time::sleep(FAULT_INTERVAL).await;
    let first_killed = Instant::now();
    // Requests that a server runs after this read are missing from the ledgers, so it is killed at
    // once.
    for host in killed {
        let name = server_name(host);
        ledgers.add(mesh, &name).await?;
        mesh.process(&name).signal("KILL")?;
    }
    tokio::time::sleep(FAULT_INTERVAL).await;
    for host in killed {
        mesh.start_backend(&calendar_on(host))?;
    }
    tokio::time::sleep(FAULT_INTERVAL).await;
    println!(
        "{killed:?} were killed and started in {:?}",
        first_killed.elapsed()
    );
    Ok(first_killed)
}

fn silence_faults() -> Value {
    json!({ "silence_connections": true })
}

fn print_outcomes(finished: &[FinishedRequest]) {
    use Outcome::{Answered, Cut, Failed, NotRun, Unknown, WrongBody};
    for outcome in [Answered, Failed, NotRun, Unknown, Cut, WrongBody] {
        let requests = count(finished, outcome);
        let percent = 100.0 * requests as f64 / finished.len() as f64;
        println!(
            "{outcome:?}: {requests} of {} ({percent:.2}%)",
            finished.len()
        );
    }
    let longest = finished.iter().map(|e| e.took).max().unwrap_or_default();
    println!("longest time of a request {longest:?}");
    let unexpected = finished.iter().filter(|e| e.detail.is_some());
    unexpected.take(10).for_each(|e| println!("{e:?}"));
}

fn check(finished: &[FinishedRequest], ledgers: &Ledgers) -> anyhow::Result<()> {
    let wrong: Vec<_> = with_outcome(finished, &[Outcome::WrongBody, Outcome::Cut]).collect();
    ensure!(wrong.is_empty(), "wrong or truncated responses: {wrong:?}");
    ensure!(
        count(finished, Outcome::NotRun) > 0,
        "no request was refused"
    );
    let ran: Vec<_> = with_outcome(finished, &[Outcome::NotRun])
        .filter(|e| ledgers.runs.contains_key(&e.identity))
        .collect();
    ensure!(ran.is_empty(), "reported as not run, but ran: {ran:?}");
    let twice: Vec<_> = ledgers.runs.iter().filter(|(_, n)| **n > 1).collect();
    ensure!(twice.is_empty(), "ran more than once: {twice:?}");
    let late: Vec<_> = finished
        .iter()
        .filter(|e| e.took > DEADLINE + DEADLINE_TOLERANCE)
        .collect();
    ensure!(late.is_empty(), "finished after the deadline: {late:?}");
    Ok(())
}

/// Checks that each node answers callers once all servers have been started again.
async fn check_answers_again(mesh: &Mesh) -> anyhow::Result<()> {
    let start = Instant::now();
    let hosts: Vec<_> = mesh.hosts().collect();
    mesh.until_announced(&hosts, BACKENDS.len(), JOIN_TIMEOUT)
        .await?;
    for host in hosts {
        let address = mesh.node(host).callers;
        loop {
            let reply = mesh.client.get(address, "/today").await?;
            if reply.status == 200 {
                break;
            }
            ensure!(
                start.elapsed() < JOIN_TIMEOUT,
                "{host} does not answer after all servers were started again: {reply:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    println!("all nodes answer again after {:?}", start.elapsed());
    Ok(())
}

/// Checks that two thirds of the requests were answered that were sent before all servers were killed.
/// How many are refused after it depends on how soon the machine starts the servers again.
fn check_answered(finished: &[FinishedRequest], all_killed: Instant) -> anyhow::Result<()> {
    let sent_before = finished.iter().filter(|e| e.sent < all_killed);
    let sent_before: Vec<_> = sent_before.cloned().collect();
    let (answered, sent) = (count(&sent_before, Outcome::Answered), sent_before.len());
    println!("{answered} of {sent} requests answered before all servers were killed");
    ensure!(
        answered * 3 > sent * 2,
        "only {answered} of {sent} were answered before all servers were killed"
    );
    Ok(())
}

fn with_outcome<'a>(
    finished: &'a [FinishedRequest],
    outcomes: &'a [Outcome],
) -> impl Iterator<Item = &'a FinishedRequest> {
    finished.iter().filter(|e| outcomes.contains(&e.outcome))
}
