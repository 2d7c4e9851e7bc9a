//! Construction, signal handling and graceful stop of a node.

use crate::announcer::Announcer;
use crate::callers::{self, CallerMemory, ConfiguredLimits, ConnectionMetrics};
use crate::carrier::{LinkCarrier, LocalCarrier};
use crate::control::event::{ControlHandle, Event};
use crate::control::{Controller, View};
use crate::currency::RouteCurrency;
use crate::egress::{Egress, serve};
use crate::evacuations::EvacuationSource;
use crate::history::{self, HistoryKeeper};
use crate::ingress::handler::CallerHandler;
use crate::ingress::metrics::IngressMetrics;
use crate::ingress::quota::TokenGate;
use crate::ingress::quota_metrics::QuotaMetrics;
use crate::ingress::service_metrics::ServiceMetrics;
use crate::ingress::{self, Ingress};
use crate::operators::node_metrics::NodeMetrics;
use crate::orders::RolloutOrders;
use crate::protocol::{CallerProtocol, ServerProtocol};
use crate::registrar::Registrar;
use crate::signals::Signals;
use crate::source::ConfigSource;
use crate::trial::Trials;
use anyhow::Context;
use arc_swap::ArcSwap;
use knapweed_host::admission::ColdAllowance;
use knapweed_host::caller_bounds::MIN_MEMORY;
use knapweed_host::choice::ExpectedTime;
use knapweed_host::drain::{self, Drain, Next, StopAction};
use knapweed_host::quota::Tolerance;
use knapweed_host::retry::{self, RetryPolicy};
use knapweed_host::{ByteBudget, CallerBounds, HostResources, WaitEstimator};
use knapweed_link::{LinkBudget, LinkRate};
use knapweed_observe::{Metrics, part};
use knapweed_store::ObjectStore;
use knapweed_timer::TimerService;
use knapweed_transport::tls::Identity;
use knapweed_transport::{Endpoint, Inbound};
use knapweed_wire::{StreamHead, decode};
use knapweed_world::snapshot::{Builder as SnapshotBuilder, HostEntry};
use knapweed_world::{Config, Name, SnapshotCell};
use knapweed_zone::freshness::CONFIRMED_FOR;
use knapweed_zone::{Incarnation, MemberRecord, Membership};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};

/// Exit code when a second signal terminates the process before requests have ended.
const EXIT_TERMINATED: u8 = 1;
/// Time for the last gossip messages, which are sent in the background, to leave
/// before the endpoint closes.
const LAST_MESSAGES_WAIT: Duration = Duration::from_millis(200);
/// Interval at which a stopping node checks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Name, location and addresses of a node.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the host.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the availability zone.
    pub region: Name,
    /// The service of the host's backend servers; `None` unless it is exactly one.
    pub service: Option<Name>,
    /// Address that accepts requests of callers.
    pub callers: SocketAddr,
    /// Address that accepts connections of other nodes.
    pub nodes: SocketAddr,
    /// Addresses of nodes that are contacted first to join the gossip.
    pub seeds: Vec<SocketAddr>,
}

/// Adapters to the systems outside a node, and its identity.
pub struct Adapters {
    /// Object store for the tickets, the registry of hosts and the rollout states.
    pub store: Arc<dyn ObjectStore>,
    /// Source of configurations.
    pub configs: Arc<dyn ConfigSource>,
    /// Source of rollout orders; `None` when the configuration contains the rollouts.
    pub orders: Option<Arc<dyn RolloutOrders>>,
    /// Source of evacuations; `None` in a deployment without them.
    pub evacuations: Option<Arc<dyn EvacuationSource>>,
    /// Reads and writes the headers of requests and responses of callers.
    pub callers: Box<dyn CallerProtocol>,
    /// Reads and writes the headers of requests to backend servers and their responses.
    pub servers: Arc<dyn ServerProtocol>,
    /// TLS identity towards other nodes.
    pub identity: Identity,
}

/// Builder of a [`Node`], with its settings.
#[derive(Debug)]
pub struct Builder {
    node_identity: NodeIdentity,
    region_bytes_per_s: u64,
    link_rate: Option<LinkRate>,
    drain: drain::Options,
    retries: retry::Options,
    in_force_within: Duration,
    cold_allowance: ColdAllowance,
    resources: HostResources,
    quota_tolerance: Tolerance,
}

impl Builder {
    /// Sets the memory and the descriptors of the host, from which the bounds follow for what
    /// callers make it hold; 256 MB and 4,096 by default.
    pub fn resources(mut self, resources: HostResources) -> Self {
        self.resources = resources;
        self
    }

    /// Sets how many bytes of requests the node may send to another region per
    /// second; 50,000 by default.
    pub fn region_bytes_per_s(mut self, bytes: u64) -> Self {
        self.region_bytes_per_s = bytes;
        self
    }

    /// Sets the rate of the link of the host, to which the node paces what it sends to
    /// other nodes; not paced by default.
    pub fn link_rate(mut self, rate: Option<LinkRate>) -> Self {
        self.link_rate = rate;
        self
    }

    /// Sets the timing of the graceful stop.
    pub fn drain(mut self, options: drain::Options) -> Self {
        self.drain = options;
        self
    }

    /// Sets the retry budget that all nodes share.
    pub fn retries(mut self, options: retry::Options) -> Self {
        self.retries = options;
        self
    }

    /// Sets the time within which a new configuration must be in force, 3 s by default. For as
    /// long as that, a configuration counts as the newest after the store has confirmed it.
    pub fn in_force_within(mut self, time: Duration) -> Self {
        self.in_force_within = time;
        self
    }

    /// Sets what cold backend servers may get beyond the limits of the configuration; no more
    /// than one request at once by default.
    pub fn allow_cold(mut self, allowance: ColdAllowance) -> Self {
        self.cold_allowance = allowance;
        self
    }

    /// Sets how far the requests of an organisation may exceed its quota, counted over all
    /// hosts.
    pub fn quota_tolerance(mut self, tolerance: Tolerance) -> Self {
        self.quota_tolerance = tolerance;
        self
    }

    /// Starts the node.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, the identity is invalid, or the control thread
    /// cannot be started.
    pub async fn start(self, adapters: Adapters) -> anyhow::Result<Node> {
        Node::start(self, adapters).await
    }
}

/// A running node; [`Node::run`] serves until the process is stopped.
pub struct Node {
    node_identity: NodeIdentity,
    timer: TimerService,
    endpoint: Endpoint,
    snapshots: Arc<SnapshotCell>,
    egress: Arc<Egress>,
    control: ControlHandle,
    view: Arc<ArcSwap<View>>,
    drain: Arc<Drain>,
    ready: Arc<AtomicBool>,
    retries: Arc<RetryPolicy>,
    history: Arc<HistoryKeeper>,
    metrics: Metrics,
    connection_metrics: ConnectionMetrics,
    /// What the platform and the backend server of the host may hold.
    host_memory: CallerMemory,
    store: Arc<dyn ObjectStore>,
    stop_callers: watch::Sender<bool>,
}

/// Construction from settings and adapters.
impl Node {
    /// A builder with default settings for the node described by `node_identity`.
    pub fn builder(node_identity: NodeIdentity) -> Builder {
        Builder {
            node_identity,
            region_bytes_per_s: 50_000,
            link_rate: None,
            drain: drain::Options::default(),
            retries: retry::Options::default(),
            in_force_within: CONFIRMED_FOR,
            cold_allowance: ColdAllowance::default(),
            resources: HostResources::default(),
            quota_tolerance: Tolerance::default(),
        }
    }

    async fn start(settings: Builder, adapters: Adapters) -> anyhow::Result<Self> {
        let node_identity = settings.node_identity;
        let timer = TimerService::start();
        let metrics = Metrics::with_labels([("zone", node_identity.zone.to_string())]);
        let (nodes, identity) = (node_identity.nodes, &adapters.identity);
        let (endpoint, inbound) = match settings.link_rate {
            Some(rate) => Endpoint::open_paced(nodes, identity, rate, timer.clone())?,
            None => Endpoint::open(nodes, identity)?,
        };
        let listener = listen(node_identity.callers).await?;
        let snapshots = Arc::new(SnapshotCell::new(initial_snapshot(&node_identity)?));
        let trials = Arc::new(Trials::default());
        let (memory, host_memory) = caller_memory(settings.resources, &timer);
        let egress = Egress::new(timer.clone(), Arc::clone(&trials), adapters.servers);
        let mut egress = egress.with_budget(Arc::clone(&memory.budget));
        if let Some(rate) = settings.link_rate {
            egress = egress.with_uplink(rate);
        }
        egress.allow_cold(settings.cold_allowance);
        let egress = Arc::new(egress);
        let drain = Arc::new(Drain::new(settings.drain));
        let retries = Arc::new(RetryPolicy::new(settings.retries));
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let ready = Arc::new(AtomicBool::new(false));
        let currency = Arc::new(RouteCurrency::default());
        let (control, events) = ControlHandle::new();

        let dependencies = crate::control::Dependencies {
            host: node_identity.host.clone(),
            snapshots: Arc::clone(&snapshots),
            egress: Arc::clone(&egress),
            peers: endpoint.peers(),
            store: Arc::clone(&adapters.store),
            configs: adapters.configs,
            orders: adapters.orders,
            evacuations: adapters.evacuations,
            trials,
            retries: Arc::clone(&retries),
            quota_tolerance: settings.quota_tolerance,
            ready: Arc::clone(&ready),
            currency: Arc::clone(&currency),
            timer: timer.clone(),
            view: Arc::clone(&view),
        };
        let membership = membership(&node_identity, &timer).confirmed_for(settings.in_force_within);
        start_control(
            Controller::new(dependencies, control.clone(), membership),
            events,
        )?;
        tokio::spawn(receive(inbound, control.clone(), Arc::clone(&egress)));

        metrics.register_collector(ServiceMetrics::new(Arc::clone(&snapshots)));
        metrics.register_collector(QuotaMetrics::new(Arc::clone(&snapshots)));
        metrics.register_collector(NodeMetrics {
            snapshots: Arc::clone(&snapshots),
            view: Arc::clone(&view),
            currency: Arc::clone(&currency),
            timer: timer.clone(),
            drain: Arc::clone(&drain),
            egress: Arc::clone(&egress),
            peers: endpoint.peers(),
        });
        let history_owner = history::HistoryOwner {
            host: node_identity.host.clone(),
            zone: node_identity.zone.clone(),
        };
        let history = HistoryKeeper::start(history_owner, Arc::clone(&snapshots), &timer);
        let link = LinkCarrier::new(endpoint.peers(), timer.clone());
        let link = link.with_budget(Arc::clone(&memory.budget));
        let ingress = Ingress::new(ingress::Dependencies {
            snapshots: Arc::clone(&snapshots),
            protocol: adapters.callers,
            origin: node_identity.service.clone(),
            choice: Box::new(ExpectedTime::default()),
            quotas: Box::new(TokenGate),
            crashes: Arc::clone(egress.crashes()) as _,
            local: Box::new(LocalCarrier::new(Arc::clone(&egress))),
            region_budget: LinkBudget::new(settings.region_bytes_per_s),
            link: Box::new(link),
            drain: Arc::clone(&drain),
            ready: Arc::clone(&ready),
            currency,
            timer: timer.clone(),
            retries: Arc::clone(&retries),
            wait_estimator: WaitEstimator::default(),
            metrics: IngressMetrics::register(&metrics),
        });
        let ingress = Arc::new(ingress.with_budget(Arc::clone(&memory.budget)));
        let connection_metrics = ConnectionMetrics::register(&metrics);
        let (stop_callers, stopping) = watch::channel(false);
        tokio::spawn(callers::serve(
            listener,
            CallerHandler::new(ingress),
            callers::Dependencies {
                limits: Arc::new(ConfiguredLimits::new(Arc::clone(&snapshots))),
                metrics: connection_metrics.clone(),
                memory,
                timer: timer.clone(),
            },
            stopping,
        ));
        log::info!(
            target: part::PROGRAM,
            "host {} serves callers on {}, nodes on {}", node_identity.host, node_identity.callers, node_identity.nodes
        );
        Ok(Self {
            node_identity,
            timer,
            endpoint,
            snapshots,
            egress,
            control,
            view,
            drain,
            ready,
            retries,
            history,
            metrics,
            connection_metrics,
            host_memory,
            store: adapters.store,
            stop_callers,
        })
    }
}

/// Accessors and handles for other components.
impl Node {
    /// Name, location and addresses of the node.
    pub fn node_identity(&self) -> &NodeIdentity {
        &self.node_identity
    }

    /// Clock and timers that all components of the node share.
    pub fn timer(&self) -> &TimerService {
        &self.timer
    }

    /// The cell with the snapshot in force, which the control thread replaces.
    pub fn snapshots(&self) -> &Arc<SnapshotCell> {
        &self.snapshots
    }

    /// The metrics registry.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What serves the listeners for the platform and the backend server of the host, within
    /// bounds that callers cannot exhaust.
    pub fn listener_dependencies(
        &self,
        limits: Arc<dyn callers::ConnectionLimits>,
    ) -> callers::Dependencies {
        callers::Dependencies {
            limits,
            metrics: self.connection_metrics.clone(),
            memory: self.host_memory.clone(),
            timer: self.timer.clone(),
        }
    }

    /// Bytes that the platform and the backend server of the host may make it hold.
    pub fn host_budget(&self) -> Arc<ByteBudget> {
        Arc::clone(&self.host_memory.budget)
    }

    /// A handle that accepts announcements of backend servers.
    pub fn announcer(&self) -> Announcer {
        Announcer::new(
            Arc::clone(&self.egress),
            self.control.clone(),
            Arc::clone(&self.snapshots),
            self.timer.clone(),
        )
    }

    /// Registers the host's backend servers from their heartbeats.
    pub fn registrar(&self) -> Arc<Registrar> {
        Registrar::new(Arc::new(self.announcer()), self.timer.clone())
    }

    /// A handle that reports whether the node serves callers.
    pub fn readiness(&self) -> Readiness {
        Readiness {
            drain: Arc::clone(&self.drain),
            ready: Arc::clone(&self.ready),
        }
    }

    /// Dependencies of the operators' HTTP interface.
    pub fn operators(
        &self,
        policy: knapweed_contract::accept::Policy,
        logs: knapweed_observe::Logs,
    ) -> crate::operators::Dependencies {
        crate::operators::Dependencies {
            store: Arc::clone(&self.store),
            policy,
            announcer: self.announcer(),
            control: self.control.clone(),
            view: Arc::clone(&self.view),
            readiness: self.readiness(),
            history: Arc::clone(&self.history),
            metrics: self.metrics.clone(),
            logs,
        }
    }

    /// The state that the control thread publishes for operators.
    pub fn view(&self) -> &Arc<ArcSwap<View>> {
        &self.view
    }
}

/// Settings that may change while the node runs.
impl Node {
    /// Uses another identity for new connections to other nodes.
    ///
    /// # Errors
    ///
    /// The identity is invalid; the previous one stays in use.
    pub fn renew_identity(&mut self, identity: &Identity) -> anyhow::Result<()> {
        Ok(self.endpoint.set_identity(identity)?)
    }

    /// Sets the retry budget that all nodes share.
    pub fn set_retries(&self, options: retry::Options) {
        self.retries.set_options(options);
    }
}

/// Running and graceful stop.
impl Node {
    /// Runs until SIGTERM or SIGINT and then stops gracefully; a second one
    /// terminates at once. SIGHUP calls `reload`.
    pub async fn run(mut self, signals: Signals, mut reload: impl FnMut(&mut Self)) -> ExitCode {
        let Signals {
            mut terminate,
            mut interrupt,
            mut hangup,
        } = signals;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => reload(&mut self),
            }
        }
        self.drain.leave(self.timer.now());
        log::info!(target: part::PROGRAM, "stopping after the running requests");
        self.control.send(Event::Leave).await;
        let mut poll = self.timer.subscribe(STOP_POLL);
        loop {
            let now = tokio::select! {
                _ = terminate.recv() => None,
                _ = interrupt.recv() => None,
                // A stopping node ignores new settings.
                _ = hangup.recv() => continue,
                now = poll.tick() => Some(now),
            };
            let Some(now) = now else {
                if self.drain.leave(self.timer.now()) == StopAction::Terminate {
                    return ExitCode::from(EXIT_TERMINATED);
                }
                continue;
            };
            match self.drain.poll(now) {
                Next::Exit => break,
                Next::AtLastEnd => drop(self.stop_callers.send(true)),
                Next::Serve | Next::At(_) => {}
            }
        }
        self.leave_members().await;
        self.endpoint.close().await;
        log::info!(target: part::PROGRAM, "stopped");
        ExitCode::SUCCESS
    }

    /// Sends the members a last message that this node has left.
    async fn leave_members(&self) {
        let (tx, rx) = oneshot::channel();
        self.control.send(Event::Stop(tx)).await;
        // The control thread ends only with the process.
        let _ = rx.await;
        tokio::time::sleep(LAST_MESSAGES_WAIT).await;
    }
}

/// Reports whether the node serves callers.
#[derive(Clone)]
pub struct Readiness {
    drain: Arc<Drain>,
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Whether the node has reached its version floor and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.drain.is_ready() && self.ready.load(Ordering::Relaxed)
    }
}

/// Binds a TCP listener.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}"))
}

/// The memory for callers, and that for the platform and the backend server of the host.
fn caller_memory(resources: HostResources, timer: &TimerService) -> (CallerMemory, CallerMemory) {
    let mut bounds = CallerBounds::of(resources);
    if resources.is_too_small() {
        log::warn!(
            target: part::PROGRAM,
            "the host has {} MB of memory, less than the {} MB that a node is planned for",
            resources.memory >> 20, MIN_MEMORY >> 20
        );
    }
    let host_bounds = bounds.split_off_host();
    log::info!(
        target: part::PROGRAM,
        "callers may hold {} MB and {} connections", bounds.memory >> 20, bounds.connections
    );
    let memory = |bounds| CallerMemory::new(bounds, timer.clone());
    (memory(bounds), memory(host_bounds))
}

fn host_entry(node_identity: &NodeIdentity) -> HostEntry {
    HostEntry {
        name: node_identity.host.clone(),
        zone: node_identity.zone.clone(),
        region: node_identity.region.clone(),
        address: node_identity.nodes,
        announcements: Vec::new(),
    }
}

fn initial_snapshot(node_identity: &NodeIdentity) -> anyhow::Result<knapweed_world::Snapshot> {
    let config = Config::default();
    let builder = SnapshotBuilder::new(node_identity.host.clone(), &config);
    Ok(builder.hosts([host_entry(node_identity)]).build()?)
}

fn membership(node_identity: &NodeIdentity, timer: &TimerService) -> Membership {
    let incarnation = Incarnation::choose(None, timer.wall_clock());
    let record = MemberRecord::new(host_entry(node_identity), incarnation);
    let rng = SmallRng::seed_from_u64(rand::random());
    Membership::new(timer.now(), record, node_identity.seeds.clone(), rng)
}

/// Starts the control thread. The tasks that it spawns run on the threads of the runtime.
fn start_control(control: Controller, events: mpsc::Receiver<Event>) -> anyhow::Result<()> {
    let runtime = Handle::current();
    let thread = std::thread::Builder::new().name("control".into());
    thread
        .spawn(move || runtime.block_on(control.run(events)))
        .context("could not start the control thread")?;
    Ok(())
}

/// Dispatches streams and datagrams of other nodes to the egress or the control thread.
async fn receive(mut inbound: Inbound, control: ControlHandle, egress: Arc<Egress>) {
    loop {
        tokio::select! {
            Some(incoming) = inbound.streams.recv() => {
                tokio::spawn(dispatch(incoming, control.clone(), Arc::clone(&egress)));
            }
            Some((from, bytes)) = inbound.datagrams.recv() => {
                control.send(Event::Datagram { from, bytes }).await;
            }
            else => return,
        }
    }
}

async fn dispatch(
    mut incoming: knapweed_transport::IncomingStream,
    control: ControlHandle,
    egress: Arc<Egress>,
) {
    let from = incoming.from;
    let head = match incoming.receiver.head().await {
        Ok(bytes) => decode::<StreamHead>(&bytes).map_err(anyhow::Error::from),
        Err(err) => Err(err.into()),
    };
    match head {
        Ok(StreamHead::Request(head)) => serve::request(egress, *head, incoming).await,
        Ok(StreamHead::Inquire { send, age_us }) => {
            let age = Duration::from_micros(age_us);
            serve::inquiry(&egress, send, age, incoming).await;
        }
        Ok(head) => {
            control
                .send(Event::Stream {
                    head: Box::new(head),
                    incoming,
                })
                .await
        }
        Err(err) => log::warn!(target: part::LINK, "refused a stream from {from}: {err}"),
    }
}
