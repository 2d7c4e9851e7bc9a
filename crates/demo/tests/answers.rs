//! Each answer belongs to its request, and what is not run has not run.

use anyhow::ensure;
use knapweed_demo::Mesh;
use knapweed_demo::fleet::{self, PLACES, calendar_on, limited};
use knapweed_demo::load::{Ended, Load, Outcome, count};
use knapweed_demo::stand_in::identities;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Hosts with a backend server.
const BACKENDS: [&str; 4] = ["a1", "b1", "c1", "d1"];
/// The backend server that fails a part of its requests.
const FAILING: &str = "a1-calendar-v1";
/// The backend servers whose open connections stop answering.
const SILENT: [&str; 2] = ["c1-calendar-v1", "a1-calendar-v1"];
/// The backend server that is killed and started again.
const KILLED: &str = "b1";
/// Time between two failures.
const STEP: Duration = Duration::from_millis(500);
/// Rounds of failures before the last one, in which all servers are killed.
const ROUNDS: usize = 2;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time that an answer may take on its way and on this machine beyond its deadline.
const ON_THE_WAY: Duration = Duration::from_millis(250);

/// H5, H6, H7: guards against answers that reach another request or are
/// incomplete, requests reported as not run that ran, requests that run twice,
/// and callers that wait beyond their deadline, while backend servers fail, are
/// killed and restarted, and stop answering on open connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_belong_to_their_requests_while_backend_servers_fail() -> anyhow::Result<()> {
    limited(async {
        let mut mesh = fleet::start(&PLACES, &BACKENDS).await?;
        let load = load(&mesh);
        let client = mesh.client.clone();
        let running = tokio::spawn(async move { load.run(&client).await });
        let mut ledgers = Ledgers::default();
        for _ in 0..ROUNDS {
            fail(&mut mesh, &mut ledgers, &[KILLED]).await?;
        }
        // Without any server, requests are refused as not run.
        fail(&mut mesh, &mut ledgers, &BACKENDS).await?;
        let ended = running.await??;
        for host in BACKENDS {
            ledgers.add(&mesh, &name(host)).await?;
        }
        print_shares(&ended);
        check(&ended, &ledgers)
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

fn name(host: &str) -> String {
    format!("{host}-calendar-v1")
}

/// Runs by identity, over all backend servers and their earlier processes.
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

/// One round of all failures; the servers on the hosts `killed` are restarted.
async fn fail(
    mesh: &mut Mesh,
    ledgers: &mut Ledgers,
    killed: &[&'static str],
) -> anyhow::Result<()> {
    let faults = json!({ "fail_percent": 20 });
    mesh.set_backend_faults(FAILING, faults).await?;
    tokio::time::sleep(STEP).await;
    for name in SILENT {
        mesh.set_backend_faults(name, silence()).await?;
    }
    tokio::time::sleep(STEP).await;
    // What a server runs between this read and its end is missing from the
    // ledgers, so the end follows at once.
    for host in killed {
        let name = name(host);
        ledgers.add(mesh, &name).await?;
        mesh.process(&name).signal("KILL")?;
    }
    tokio::time::sleep(STEP).await;
    for host in killed {
        mesh.start_backend(&calendar_on(host))?;
    }
    tokio::time::sleep(STEP).await;
    Ok(())
}

fn silence() -> Value {
    json!({ "silence_connections": true })
}

fn print_shares(ended: &[Ended]) {
    use Outcome::{Answered, Cut, Failed, NotRun, Unknown, WrongBody};
    for outcome in [Answered, Failed, NotRun, Unknown, Cut, WrongBody] {
        let requests = count(ended, outcome);
        let percent = 100.0 * requests as f64 / ended.len() as f64;
        println!("{outcome:?}: {requests} of {} ({percent:.2}%)", ended.len());
    }
    let longest = ended.iter().map(|e| e.took).max().unwrap_or_default();
    println!("longest time of a request {longest:?}");
    let odd = ended.iter().filter(|e| e.detail.is_some());
    odd.take(10).for_each(|e| println!("{e:?}"));
}

fn check(ended: &[Ended], ledgers: &Ledgers) -> anyhow::Result<()> {
    let wrong: Vec<_> = with(ended, &[Outcome::WrongBody, Outcome::Cut]).collect();
    ensure!(wrong.is_empty(), "wrong or cut answers: {wrong:?}");
    ensure!(count(ended, Outcome::NotRun) > 0, "no request was refused");
    let ran: Vec<_> = with(ended, &[Outcome::NotRun])
        .filter(|e| ledgers.runs.contains_key(&e.identity))
        .collect();
    ensure!(ran.is_empty(), "reported as not run, but ran: {ran:?}");
    let twice: Vec<_> = ledgers.runs.iter().filter(|(_, n)| **n > 1).collect();
    ensure!(twice.is_empty(), "ran more than once: {twice:?}");
    let late: Vec<_> = ended
        .iter()
        .filter(|e| e.took > DEADLINE + ON_THE_WAY)
        .collect();
    ensure!(late.is_empty(), "later than the deadline: {late:?}");
    let answered = count(ended, Outcome::Answered);
    ensure!(answered * 2 > ended.len(), "only {answered} were answered");
    Ok(())
}

fn with<'a>(ended: &'a [Ended], outcomes: &'a [Outcome]) -> impl Iterator<Item = &'a Ended> {
    ended.iter().filter(|e| outcomes.contains(&e.outcome))
}
