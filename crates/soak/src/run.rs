//! One run of the soak.

use crate::plan::{FAULT_TIME, Outage, Plan, Step};
use crate::promises::Seen;
use crate::proxy::{Fault, Proxy};
use anyhow::Context;
use knapweed_demo::fleet::{self, PLACES, calendar_on, route_ticket};
use knapweed_demo::load::{Load, Outcome};
use knapweed_demo::stand_in::{identities, outage};
use knapweed_demo::versions::VersionWatch;
use knapweed_demo::{Mesh, NodePlace};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts with a backend server; they come first among the hosts.
const SERVERS: usize = 4;
/// One host of each availability zone with a backend server, and one without.
const HOSTS: [NodePlace; 6] = [
    PLACES[0], PLACES[2], PLACES[4], PLACES[6], PLACES[1], PLACES[5],
];
/// Callers, each with one request under way and a connection that it keeps.
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Requests in the time of faults: more than callers can send in it.
const REQUESTS: usize = 4_000;
/// Requests after all faults have ended.
const LAST_REQUESTS: usize = 200;
/// Part of them that must be answered, in percent.
const LAST_ANSWERED_PERCENT: usize = 90;
/// Longest time until the mesh works again after the last fault, and until the
/// newest accepted ticket is in force everywhere.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time after which a node that was told to stop is started again.
const RESTART: Duration = Duration::from_secs(3);
/// Longest time until such a node has ended. Callers that keep their connections
/// hold it for `max_wait` of the settings, 30 s, and then for their deadline.
const STOPPED: Duration = Duration::from_secs(33);
/// Longest time until a backend server that was started answers.
const STARTED: Duration = Duration::from_secs(3);
/// Writes whose answers the store loses in one fault.
const LOST_ANSWERS: u64 = 5;

/// What a run has shown.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub steps: usize,
    /// Tickets that were accepted.
    pub tickets: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// The promises that were broken, one line each.
    pub broken: Vec<String>,
}

/// Runs the plan of a seed.
///
/// # Errors
///
/// The mesh could not be set up, or did not work again after the last fault.
pub async fn run(seed: u64) -> anyhow::Result<Report> {
    let plan = Plan::new(seed, HOSTS.len(), SERVERS);
    let mut soak = Soak::start().await?;
    let mut seen = soak.play(&plan).await?;
    seen.runs = soak.runs.clone();
    let all = [
        Outcome::Answered,
        Outcome::Cut,
        Outcome::Failed,
        Outcome::NotRun,
        Outcome::Unknown,
        Outcome::WrongBody,
    ];
    let outcomes = all.map(|outcome| (format!("{outcome:?}"), seen.count(outcome)));
    Ok(Report {
        seed,
        steps: plan.steps.len(),
        tickets: soak.accepted,
        outcomes: outcomes.into(),
        broken: seen.broken(),
    })
}

/// What has to be undone after a time.
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
        mesh.reach_platform_at(store.address());
        let servers = HOSTS.map(|place| place.host);
        fleet::launch(&mut mesh, &servers[..SERVERS]).await?;
        let mut callers = Vec::new();
        for place in HOSTS {
            callers.push(Proxy::start(mesh.node(place.host).callers).await?);
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

    /// Plays the plan under load, ends all faults and lets the mesh recover.
    async fn play(&mut self, plan: &Plan) -> anyhow::Result<Seen> {
        let versions = VersionWatch::start(&self.mesh);
        let load = self.load(0, REQUESTS);
        let client = self.mesh.client.clone();
        let running = tokio::spawn(async move { load.run(&client).await });
        let start = Instant::now();
        for (at, step) in &plan.steps {
            self.undo_until(start + *at).await?;
            self.begin(*step).await?;
        }
        self.undo_until(start + FAULT_TIME).await?;
        self.end_all().await?;
        let mut requests = running.await??;
        requests.extend(self.recover().await?);
        for server in 0..SERVERS {
            self.read_ledger(server).await?;
        }
        Ok(Seen {
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
            pause: PAUSE,
        }
    }

    /// Waits until `until` and ends the faults that are over by then.
    async fn undo_until(&mut self, until: Instant) -> anyhow::Result<()> {
        loop {
            self.undo.sort_by_key(|(at, _)| *at);
            match self.undo.first().copied() {
                Some((at, undo)) if at <= until => {
                    tokio::time::sleep_until(at).await;
                    self.undo.remove(0);
                    self.end(undo).await?;
                }
                _ => break,
            }
        }
        tokio::time::sleep_until(until).await;
        Ok(())
    }

    async fn end_all(&mut self) -> anyhow::Result<()> {
        for (_, undo) in std::mem::take(&mut self.undo) {
            self.end(undo).await?;
        }
        Ok(())
    }

    fn later(&mut self, time: Duration, undo: Undo) {
        self.undo.push((Instant::now() + time, undo));
    }

    /// Whether a process is already ended or paused, and is left alone until it is back.
    fn is_down(&self, host: usize) -> bool {
        self.undo
            .iter()
            .any(|(_, undo)| matches!(undo, Undo::StartNode(h) | Undo::ResumeNode(h) if *h == host))
    }
}

/// Faults.
impl Soak {
    async fn begin(&mut self, step: Step) -> anyhow::Result<()> {
        match step {
            Step::KillNode(host, _) | Step::PauseNode(host, _) | Step::StopNode(host)
                if self.is_down(host) => {}
            Step::KillNode(host, time) => {
                self.node(host).signal("KILL")?;
                self.later(time, Undo::StartNode(host));
            }
            Step::PauseNode(host, time) => {
                self.node(host).signal("STOP")?;
                self.later(time, Undo::ResumeNode(host));
            }
            Step::StopNode(host) => {
                self.node(host).signal("TERM")?;
                self.later(RESTART, Undo::StartNode(host));
            }
            Step::KillServer(server, time) => self.kill_server(server, time).await?,
            Step::Store(fault, time) => {
                self.store.set(fault);
                self.later(time, Undo::Store);
            }
            Step::StoreOutage(kind, time) => {
                let faults = match kind {
                    Outage::Down => outage(),
                    Outage::LostAnswers => json!({ "lost_answers": LOST_ANSWERS }),
                };
                self.mesh.set_platform_faults(faults).await?;
                self.later(time, Undo::StoreOutage);
            }
            Step::Callers(host, fault, time) => {
                self.callers[host].set(fault);
                self.later(time, Undo::Callers(host));
            }
            Step::File(host) => self.file(host).await,
        }
        Ok(())
    }

    async fn end(&mut self, undo: Undo) -> anyhow::Result<()> {
        match undo {
            Undo::StartNode(host) => {
                self.node(host).wait(STOPPED)?;
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
        // What the server runs between this read and its end is missing.
        self.read_ledger(server).await?;
        self.mesh.process(&server_name(server)).signal("KILL")?;
        self.later(time, Undo::StartServer(server));
        Ok(())
    }

    async fn read_ledger(&mut self, server: usize) -> anyhow::Result<()> {
        let (mesh, name) = (&self.mesh, server_name(server));
        let ledger = mesh.until("the server answers", STARTED, || async {
            mesh.ledger(&name).await.ok()
        });
        for identity in identities(&ledger.await?.0) {
            *self.runs.entry(identity).or_default() += 1;
        }
        Ok(())
    }

    /// Files the next ticket; one that is not accepted is filed again later.
    async fn file(&mut self, host: usize) {
        let ticket = route_ticket(self.next_ticket);
        let filing = self.mesh.file(HOSTS[host].host, &ticket);
        // A node that is down or paused answers nothing, which a plan may well do.
        let Ok(Ok(reply)) = tokio::time::timeout(DEADLINE, filing).await else {
            return;
        };
        if reply.status == 200 {
            self.accepted = self.next_ticket;
            self.next_ticket += 1;
        }
    }
}

/// The end.
impl Soak {
    /// Waits until the newest accepted ticket is in force everywhere and most
    /// requests are answered.
    async fn recover(&mut self) -> anyhow::Result<Vec<knapweed_demo::load::Ended>> {
        let hosts = HOSTS.map(|place| place.host);
        self.mesh
            .until_joined(&hosts, HOSTS.len(), RECOVERY)
            .await
            .context("the nodes do not know each other again")?;
        let deadline = Instant::now() + RECOVERY;
        self.until_routed().await?;
        let mut all = Vec::new();
        loop {
            let first = REQUESTS + all.len();
            let ended = self
                .load(first, LAST_REQUESTS)
                .run(&self.mesh.client)
                .await?;
            let answered = knapweed_demo::load::count(&ended, Outcome::Answered);
            let odd = ended
                .iter()
                .find(|e| e.outcome != Outcome::Answered)
                .cloned();
            all.extend(ended);
            if answered * 100 >= LAST_REQUESTS * LAST_ANSWERED_PERCENT {
                return Ok(all);
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{answered} of {LAST_REQUESTS} answered after the faults, such as {odd:?}"
            );
        }
    }

    /// Waits until all nodes have the route of the newest accepted ticket.
    async fn until_routed(&self) -> anyhow::Result<()> {
        if self.accepted < 2 {
            return Ok(());
        }
        let path = format!("/{}", fleet::route_name(self.accepted));
        for place in HOSTS {
            let address = self.mesh.node(place.host).callers;
            let what = format!("ticket {} in force on {}", self.accepted, place.host);
            self.mesh
                .until(&what, RECOVERY, || async {
                    let reply = self.mesh.client.get(address, &path).await.ok()?;
                    let is_known = reply.header("knapweed-outcome") == "answered";
                    is_known.then_some(())
                })
                .await?;
        }
        Ok(())
    }
}

fn server_name(server: usize) -> String {
    format!("{}-calendar-v1", HOSTS[server].host)
}

/// A report as a line of JSON.
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
