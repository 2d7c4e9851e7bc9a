//! Executes the plan of a seed against a mesh under load.

use crate::invariants::Observations;
use crate::plan::{FAULT_TIME, Outage, Plan, Step};
use crate::proxy::{Fault, Proxy};
use anyhow::Context;
use knapweed_demo::fleet::{self, NODES, calendar_on, route_ticket};
use knapweed_demo::load::{Load, Outcome};
use knapweed_demo::stand_in::{identities, outage};
use knapweed_demo::versions::VersionWatch;
use knapweed_demo::{Mesh, NodeSpec};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Number of hosts with a backend server, which are the first of [`HOSTS`].
const SERVER_COUNT: usize = 4;
/// Six hosts of four availability zones: the first one of each zone has a backend server, the
/// second ones of two zones have none.
const HOSTS: [NodeSpec; 6] = [NODES[0], NODES[2], NODES[4], NODES[6], NODES[1], NODES[5]];
/// Number of callers, each with at most one request in flight on a connection that it keeps open.
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of requests sent while faults are injected. The callers cannot send as many in that time,
/// so the load lasts until all faults have ended.
const REQUESTS: usize = 4_000;
/// Number of requests sent at a time after all faults have ended.
const LAST_REQUESTS: usize = 200;
/// Percentage of [`LAST_REQUESTS`] that must be answered for the mesh to have recovered.
const LAST_ANSWERED_PERCENT: usize = 90;
/// Longest time from the last fault until the mesh has recovered and the newest accepted ticket is
/// in force on all nodes.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after SIGTERM at which a stopped node is started again, or later if it has not exited.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// Longest time until such a node has exited. While callers keep their connections open, a node
/// waits for its setting `max_wait`, 30 s, and then for the deadline of the last requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(33);
/// Longest time until a started backend server responds.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of writes whose responses the store loses in one fault.
const LOST_ANSWERS: u64 = 5;

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of steps of the plan.
    pub steps: usize,
    /// Number of accepted tickets.
    pub tickets: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Violated invariants, one line each; empty if the run passed.
    pub broken: Vec<String>,
}

/// Executes the plan of a seed on a new mesh.
///
/// # Errors
///
/// The mesh could not be set up, or did not recover after the last fault.
pub async fn run(seed: u64) -> anyhow::Result<Report> {
    let plan = Plan::new(seed, HOSTS.len(), SERVER_COUNT);
    let mut soak = Soak::start().await?;
    let mut observations = soak.execute(&plan).await?;
    observations.runs = soak.runs.clone();
    let all = [
        Outcome::Answered,
        Outcome::Cut,
        Outcome::Failed,
        Outcome::NotRun,
        Outcome::Unknown,
        Outcome::WrongBody,
    ];
    let outcomes = all.map(|outcome| (format!("{outcome:?}"), observations.count(outcome)));
    Ok(Report {
        seed,
        steps: plan.steps.len(),
        tickets: soak.accepted,
        outcomes: outcomes.into(),
        broken: observations.violations(),
    })
}

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    StartNode(usize),
    ResumeNode(usize),
    StartServer(usize),
    Store,
    StoreOutage,
    Callers(usize),
}

struct Soak {
    mesh: Mesh,
    store: Proxy,
    callers: Vec<Proxy>,
    undo: Vec<(Instant, Undo)>,
    runs: BTreeMap<String, usize>,
    next_ticket: u64,
    accepted: u64,
}

impl Soak {
    async fn start() -> anyhow::Result<Self> {
        let mut mesh = Mesh::new(&HOSTS)?;
        let store = Proxy::start(mesh.platform()).await?;
        mesh.set_platform_address(store.address());
        let servers = HOSTS.map(|spec| spec.host);
        fleet::launch(&mut mesh, &servers[..SERVER_COUNT]).await?;
        let mut callers = Vec::new();
        for spec in HOSTS {
            callers.push(Proxy::start(mesh.node(spec.host).callers).await?);
        }
        Ok(Self {
            mesh,
            store,
            callers,
            undo: Vec::new(),
            runs: BTreeMap::new(),
            next_ticket: 2,
            accepted: 1,
        })
    }

    /// Executes the plan under load, ends all faults and waits until the mesh has recovered.
    async fn execute(&mut self, plan: &Plan) -> anyhow::Result<Observations> {
        let versions = VersionWatch::start(&self.mesh);
        let load = self.load(0, REQUESTS);
        let client = self.mesh.client.clone();
        let running = tokio::spawn(async move { load.run(&client).await });
        let start = Instant::now();
        for (at, step) in &plan.steps {
            self.undo_until(start + *at).await?;
            self.inject(*step).await?;
        }
        self.undo_until(start + FAULT_TIME).await?;
        self.end_all_faults().await?;
        let mut requests = running.await??;
        requests.extend(self.recover().await?);
        for server in 0..SERVER_COUNT {
            self.read_ledger(server).await?;
        }
        Ok(Observations {
            requests,
            runs: BTreeMap::new(),
            regressions: versions.regressions(),
        })
    }

    fn load(&self, first: usize, requests: usize) -> Load {
        Load {
            addresses: self.callers.iter().map(Proxy::address).collect(),
            first,
            requests,
            callers: CALLERS,
            body_len: 2_000,
            deadline: DEADLINE,
            pause: REQUEST_PAUSE,
        }
    }

    /// Sleeps until `until`, and meanwhile ends the faults that are due by then.
    async fn undo_until(&mut self, until: Instant) -> anyhow::Result<()> {
        loop {
            self.undo.sort_by_key(|(at, _)| *at);
            match self.undo.first().copied() {
                Some((at, undo)) if at <= until => {
                    tokio::time::sleep_until(at).await;
                    self.undo.remove(0);
                    self.end_fault(undo).await?;
                }
                _ => break,
            }
        }
        tokio::time::sleep_until(until).await;
        Ok(())
    }

    async fn end_all_faults(&mut self) -> anyhow::Result<()> {
        for (_, undo) in std::mem::take(&mut self.undo) {
            self.end_fault(undo).await?;
        }
        Ok(())
    }

    fn schedule(&mut self, time: Duration, undo: Undo) {
        self.undo.push((Instant::now() + time, undo));
    }

    /// Whether the node of a host is stopped or paused, so that no further fault is injected into it.
    fn is_down(&self, host: usize) -> bool {
        self.undo
            .iter()
            .any(|(_, undo)| matches!(undo, Undo::StartNode(h) | Undo::ResumeNode(h) if *h == host))
    }
}

/// Injection and end of faults.
impl Soak {
    async fn inject(&mut self, step: Step) -> anyhow::Result<()> {
        match step {
            Step::KillNode(host, _) | Step::PauseNode(host, _) | Step::StopNode(host)
                if self.is_down(host) => {}
            Step::KillNode(host, time) => {
                self.node(host).signal("KILL")?;
                self.schedule(time, Undo::StartNode(host));
            }
            Step::PauseNode(host, time) => {
                self.node(host).signal("STOP")?;
                self.schedule(time, Undo::ResumeNode(host));
            }
            Step::StopNode(host) => {
                self.node(host).signal("TERM")?;
                self.schedule(RESTART_DELAY, Undo::StartNode(host));
            }
            Step::KillServer(server, time) => self.kill_server(server, time).await?,
            Step::Store(fault, time) => {
                self.store.set(fault);
                self.schedule(time, Undo::Store);
            }
            Step::StoreOutage(kind, time) => {
                let faults = match kind {
                    Outage::Down => outage(),
                    Outage::LostAnswers => json!({ "lost_answers": LOST_ANSWERS }),
                };
                self.mesh.set_platform_faults(faults).await?;
                self.schedule(time, Undo::StoreOutage);
            }
            Step::Callers(host, fault, time) => {
                self.callers[host].set(fault);
                self.schedule(time, Undo::Callers(host));
            }
            Step::File(host) => self.file(host).await,
        }
        Ok(())
    }

    async fn end_fault(&mut self, undo: Undo) -> anyhow::Result<()> {
        match undo {
            Undo::StartNode(host) => {
                self.node(host).wait(STOP_TIMEOUT)?;
                self.mesh.start_node(HOSTS[host].host)?;
            }
            Undo::ResumeNode(host) => self.node(host).signal("CONT")?,
            Undo::StartServer(server) => {
                self.mesh.start_backend(&calendar_on(HOSTS[server].host))?;
            }
            Undo::Store => self.store.set(Fault::None),
            Undo::StoreOutage => self.mesh.set_platform_faults(json!({})).await?,
            Undo::Callers(host) => self.callers[host].set(Fault::None),
        }
        Ok(())
    }

    fn node(&mut self, host: usize) -> &mut knapweed_demo::Process {
        self.mesh.process(HOSTS[host].host)
    }

    async fn kill_server(&mut self, server: usize, time: Duration) -> anyhow::Result<()> {
        let is_down =
            |(_, undo): &(Instant, Undo)| matches!(undo, Undo::StartServer(s) if *s == server);
        if self.undo.iter().any(is_down) {
            return Ok(());
        }
        // Requests that the server runs after this read and before the signal are not counted.
        self.read_ledger(server).await?;
        self.mesh.process(&server_name(server)).signal("KILL")?;
        self.schedule(time, Undo::StartServer(server));
        Ok(())
    }

    async fn read_ledger(&mut self, server: usize) -> anyhow::Result<()> {
        let (mesh, name) = (&self.mesh, server_name(server));
        let ledger = mesh.until("the server answers", START_TIMEOUT, || async {
            mesh.ledger(&name).await.ok()
        });
        for identity in identities(&ledger.await?.0) {
            *self.runs.entry(identity).or_default() += 1;
        }
        Ok(())
    }

    /// Files the next ticket. One that is not accepted is filed again by the next such step.
    async fn file(&mut self, host: usize) {
        let ticket = route_ticket(self.next_ticket);
        let filing = self.mesh.file(HOSTS[host].host, &ticket);
        // No error: the plan may have stopped or paused this node.
        let Ok(Ok(reply)) = tokio::time::timeout(DEADLINE, filing).await else {
            return;
        };
        if reply.status == 200 {
            self.accepted = self.next_ticket;
            self.next_ticket += 1;
        }
    }
}

/// Recovery after all faults.
impl Soak {
    /// Waits until the newest accepted ticket is in force on all nodes and
    /// [`LAST_ANSWERED_PERCENT`] of a series of requests are answered.
    async fn recover(&mut self) -> anyhow::Result<Vec<knapweed_demo::load::FinishedRequest>> {
        let hosts = HOSTS.map(|spec| spec.host);
        self.mesh
            .until_joined(&hosts, HOSTS.len(), RECOVERY_TIMEOUT)
            .await
            .context("the nodes did not rejoin the mesh")?;
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        self.until_routed().await?;
        let mut all = Vec::new();
        loop {
            let first = REQUESTS + all.len();
            let ended = self
                .load(first, LAST_REQUESTS)
                .run(&self.mesh.client)
                .await?;
            let answered = knapweed_demo::load::count(&ended, Outcome::Answered);
            let unanswered = ended
                .iter()
                .find(|e| e.outcome != Outcome::Answered)
                .cloned();
            all.extend(ended);
            if answered * 100 >= LAST_REQUESTS * LAST_ANSWERED_PERCENT {
                return Ok(all);
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{answered} of {LAST_REQUESTS} answered after the faults, such as {unanswered:?}"
            );
        }
    }

    /// Waits until all nodes serve the route of the newest accepted ticket.
    async fn until_routed(&self) -> anyhow::Result<()> {
        if self.accepted < 2 {
            return Ok(());
        }
        let path = format!("/{}", fleet::route_name(self.accepted));
        for spec in HOSTS {
            let address = self.mesh.node(spec.host).callers;
            let what = format!("ticket {} in force on {}", self.accepted, spec.host);
            self.mesh
                .until(&what, RECOVERY_TIMEOUT, || async {
                    let reply = self.mesh.client.get(address, &path).await.ok()?;
                    let is_routed = reply.header("knapweed-outcome") == "answered";
                    is_routed.then_some(())
                })
                .await?;
        }
        Ok(())
    }
}

fn server_name(server: usize) -> String {
    format!("{}-calendar-v1", HOSTS[server].host)
}

/// Report as a JSON object.
impl From<&Report> for Value {
    fn from(report: &Report) -> Self {
        json!({
            "seed": report.seed,
            "steps": report.steps,
            "tickets": report.tickets,
            "outcomes": report.outcomes,
            "broken": report.broken,
        })
    }
}
