//! Executes the plan of a seed against a mesh under load.

use crate::invariants::Observations;
use crate::plan::{FAULT_TIME, Kind, Outage, Plan, Step};
use crate::probes::Prober;
use crate::proxy::{Fault, Proxy};
use crate::tickets::Tickets;
use anyhow::Context;
use http::Method;
use knapweed_demo::fleet::{self, NODES, calendar_on, route_ticket};
use knapweed_demo::load::{Load, Outcome};
use knapweed_demo::stand_in::{identities, outage};
use knapweed_demo::versions::VersionWatch;
use knapweed_demo::{Mesh, NodeSpec, Reply};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
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
/// Time between two checks whether such a node has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time until a started backend server responds.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Time until the operator files a ticket again that was not accepted.
const REFILE_INTERVAL: Duration = Duration::from_millis(200);
/// Headers with which a ticket is filed.
const TICKET_HEADERS: [(&str, &str); 1] = [("content-type", "application/json")];
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
    /// Number of losses of the store.
    pub losses: usize,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Violated invariants, one line each; empty if the run passed.
    pub broken: Vec<String>,
}

/// Executes the plan of a kind and a seed on a new mesh.
///
/// # Errors
///
/// The mesh could not be set up, or did not recover after the last fault.
pub async fn run(kind: Kind, seed: u64) -> anyhow::Result<Report> {
    let plan = Plan::new(kind, seed, HOSTS.len(), SERVER_COUNT);
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
        tickets: soak.tickets.newest(),
        losses: soak.tickets.losses(),
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
    /// The store comes back from its copy, and the operator files again after the duration.
    RestoreStore(Duration),
    /// The operator files a ticket again that was not accepted or that the store has lost.
    Refile,
}

struct Soak {
    mesh: Mesh,
    store: Proxy,
    callers: Vec<Proxy>,
    undo: Vec<(Instant, Undo)>,
    runs: BTreeMap<String, usize>,
    tickets: Tickets,
    prober: Prober,
    /// Starts of nodes after the start of the run.
    starts: Vec<(&'static str, std::time::Instant)>,
    /// Host through which the operator last filed a ticket again.
    filer: usize,
    /// The ticket that is being filed.
    filing: Option<Filing>,
}

/// A ticket that is being filed, with the time at which the response arrived. `None` if the node did
/// not respond, since the plan may have stopped or paused it.
struct Filing {
    task: JoinHandle<Option<(Reply, Instant)>>,
    ticket: u64,
    /// Number of losses of the store at the start.
    losses: usize,
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
        let nodes = HOSTS.map(|spec| (spec.host, mesh.node(spec.host).callers));
        let prober = Prober::start(&mesh.client, nodes);
        let mut tickets = Tickets::default();
        // The launch has filed ticket 1.
        tickets.accept_next(Instant::now().into_std());
        Ok(Self {
            mesh,
            store,
            callers,
            undo: Vec::new(),
            runs: BTreeMap::new(),
            tickets,
            prober,
            starts: Vec::new(),
            filer: 0,
            filing: None,
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
            denied: self.prober.denied(),
            tickets: self.tickets.clone(),
            starts: self.starts.clone(),
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
            self.record_filing().await?;
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
        self.record_filing().await
    }

    async fn end_all_faults(&mut self) -> anyhow::Result<()> {
        for (_, undo) in std::mem::take(&mut self.undo) {
            if let Undo::StartNode(host) = undo {
                self.node(host).wait(STOP_TIMEOUT)?;
            }
            self.end_fault(undo).await?;
        }
        Ok(())
    }

    fn schedule(&mut self, time: Duration, undo: Undo) {
        self.undo.push((Instant::now() + time, undo));
    }

    /// Whether the node of a host is stopped or paused, so that no further fault is injected into it.
    fn is_down(&self, host: usize) -> bool {
        self.is_scheduled(
            |undo| matches!(undo, Undo::StartNode(h) | Undo::ResumeNode(h) if h == host),
        )
    }

    fn is_scheduled(&self, filter: impl Fn(Undo) -> bool) -> bool {
        self.undo.iter().any(|(_, undo)| filter(*undo))
    }
}

/// Injection and end of faults.
impl Soak {
    async fn inject(&mut self, step: Step) -> anyhow::Result<()> {
        match step {
            Step::KillNode(host, _)
            | Step::PauseNode(host, _)
            | Step::StopNode(host)
            | Step::ReloadNode(host)
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
            Step::File(host) => {
                self.tickets.want_next();
                self.file(host)?;
                if !self.is_scheduled(|undo| matches!(undo, Undo::Refile)) {
                    self.schedule(REFILE_INTERVAL, Undo::Refile);
                }
            }
            Step::ReloadNode(host) => {
                // The default action of the signal ends a process that has not run any code yet.
                let operators = self.mesh.node(HOSTS[host].host).operators;
                if TcpStream::connect(operators).await.is_ok() {
                    self.node(host).signal("HUP")?;
                }
            }
            Step::BackUpStore => {
                self.tickets.back_up();
                self.mesh.back_up_platform().await?;
            }
            Step::RestoreStore(away, refile_delay) => {
                self.mesh.set_platform_faults(outage()).await?;
                self.schedule(away, Undo::RestoreStore(refile_delay));
            }
        }
        Ok(())
    }

    async fn end_fault(&mut self, undo: Undo) -> anyhow::Result<()> {
        match undo {
            Undo::StartNode(host) if self.node(host).wait(Duration::ZERO).is_err() => {
                self.schedule(EXIT_POLL_INTERVAL, undo);
            }
            Undo::StartNode(host) => {
                let host = HOSTS[host].host;
                self.starts.push((host, Instant::now().into_std()));
                self.mesh.start_node(host)?;
            }
            Undo::ResumeNode(host) => self.node(host).signal("CONT")?,
            Undo::StartServer(server) => {
                self.mesh.start_backend(&calendar_on(HOSTS[server].host))?;
            }
            Undo::Store => self.store.set(Fault::None),
            Undo::StoreOutage => self.mesh.set_platform_faults(json!({})).await?,
            Undo::Callers(host) => self.callers[host].set(Fault::None),
            Undo::RestoreStore(refile_delay) => {
                self.tickets.restore(Instant::now().into_std());
                self.mesh.restore_platform().await?;
                self.mesh.set_platform_faults(json!({})).await?;
                self.undo.retain(|(_, undo)| !matches!(undo, Undo::Refile));
                self.schedule(refile_delay, Undo::Refile);
            }
            Undo::Refile if self.tickets.is_wanted() => {
                let host = self.next_filer();
                self.file(host)?;
                self.schedule(REFILE_INTERVAL, Undo::Refile);
            }
            Undo::Refile => {}
        }
        Ok(())
    }

    fn node(&mut self, host: usize) -> &mut knapweed_demo::Process {
        self.mesh.process(HOSTS[host].host)
    }

    async fn kill_server(&mut self, server: usize, time: Duration) -> anyhow::Result<()> {
        if self.is_scheduled(|undo| matches!(undo, Undo::StartServer(s) if s == server)) {
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

    /// Begins to file the next ticket, unless one is being filed.
    fn file(&mut self, host: usize) -> anyhow::Result<()> {
        if self.filing.is_some() {
            return Ok(());
        }
        let ticket = self.tickets.next();
        let document = serde_json::to_vec(&route_ticket(ticket))?;
        let address = self.mesh.node(HOSTS[host].host).operators;
        let client = self.mesh.client.clone();
        let task = tokio::spawn(async move {
            let sent = client.send(
                Method::POST,
                address,
                "/v1/tickets",
                &TICKET_HEADERS,
                document,
            );
            let reply = tokio::time::timeout(DEADLINE, sent).await.ok()?;
            Some((reply.ok()?, Instant::now()))
        });
        let losses = self.tickets.losses();
        self.filing = Some(Filing {
            task,
            ticket,
            losses,
        });
        Ok(())
    }

    /// Records the response to the ticket that is being filed, if it has arrived.
    async fn record_filing(&mut self) -> anyhow::Result<()> {
        match self.filing.take_if(|filing| filing.task.is_finished()) {
            Some(filing) => self.end_filing(filing).await,
            None => Ok(()),
        }
    }

    async fn end_filing(&mut self, filing: Filing) -> anyhow::Result<()> {
        let Some((reply, at)) = filing.task.await? else {
            return Ok(());
        };
        if reply.status.is_client_error() {
            let reason = String::from_utf8_lossy(&reply.body);
            self.tickets.refuse(filing.ticket, &reason);
        }
        // An acceptance before a loss may be lost. The ticket is filed again.
        if reply.status == 200 && filing.losses == self.tickets.losses() {
            self.tickets.accept_next(at.into_std());
            self.prober.set_newest(self.tickets.newest());
        }
        Ok(())
    }

    /// The next host in turn whose node is neither stopped nor paused; any one if all are.
    fn next_filer(&mut self) -> usize {
        let hosts = (1..=HOSTS.len()).map(|i| (self.filer + i) % HOSTS.len());
        let mut running = hosts.filter(|host| !self.is_down(*host));
        let host = running.next().unwrap_or(self.filer);
        self.filer = host;
        host
    }
}

/// Recovery after all faults.
impl Soak {
    /// Waits until all accepted tickets and a further one are in force on all nodes and
    /// [`LAST_ANSWERED_PERCENT`] of a series of requests are answered.
    async fn recover(&mut self) -> anyhow::Result<Vec<knapweed_demo::load::FinishedRequest>> {
        let hosts = HOSTS.map(|spec| spec.host);
        self.mesh
            .until_joined(&hosts, HOSTS.len(), RECOVERY_TIMEOUT)
            .await
            .context("the nodes did not rejoin the mesh")?;
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        self.file_last(deadline).await?;
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

    /// Files all lost tickets again and then a further one, which shows whether the nodes still
    /// follow the store.
    async fn file_last(&mut self, deadline: Instant) -> anyhow::Result<()> {
        let last = self.tickets.newest() + 1;
        while self.tickets.newest() < last {
            let host = self.next_filer();
            self.file(host)?;
            if let Some(filing) = self.filing.take() {
                self.end_filing(filing).await?;
            }
            let (next, newest) = (self.tickets.next(), self.tickets.newest());
            anyhow::ensure!(
                newest == last || Instant::now() < deadline,
                "ticket {next} of {newest} was not accepted after the faults"
            );
            tokio::time::sleep(REFILE_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until all nodes serve the routes of all accepted tickets.
    async fn until_routed(&self) -> anyhow::Result<()> {
        for spec in HOSTS {
            let address = self.mesh.node(spec.host).callers;
            let requests = AtomicUsize::new(0);
            for ticket in (2..=self.tickets.newest()).rev() {
                let route = fleet::route_name(ticket);
                let what = format!("ticket {ticket} in force on {}", spec.host);
                self.mesh
                    .until(&what, RECOVERY_TIMEOUT, || async {
                        // Unique, for the same reason as the path of a probe.
                        let request = requests.fetch_add(1, Ordering::Relaxed);
                        let path = format!("/{route}?last={}-{request}", spec.host);
                        let reply = self.mesh.client.get(address, &path).await.ok()?;
                        let is_routed = reply.header("knapweed-outcome") == "answered";
                        is_routed.then_some(())
                    })
                    .await?;
            }
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
            "losses": report.losses,
            "outcomes": report.outcomes,
            "broken": report.broken,
        })
    }
}
