//! Wires the parts of a node together and runs it until it is told to stop.

use crate::carrier::{LinkCarrier, LocalCarrier};
use crate::control::event::Event;
use crate::control::view::ViewTraffic;
use crate::control::{Control, ControlHandle, View};
use crate::egress::{Egress, serve};
use crate::history::{HistoryKeeper, Place};
use crate::ingress::metrics::IngressMetrics;
use crate::ingress::service_metrics::ServiceMetrics;
use crate::ingress::{self, Ingress, handler};
use crate::operators;
use crate::operators::node_metrics::NodeMetrics;
use crate::settings::Options;
use crate::trial::Trials;
use anyhow::Context;
use arc_swap::ArcSwap;
use knapweed_contract::accept::Policy;
use knapweed_contract::check::Defaults;
use knapweed_host::Drain;
use knapweed_host::choice::NearestLeastLoaded;
use knapweed_host::drain::{Next, Signal};
use knapweed_link::Budget;
use knapweed_observe::{Logs, Metrics, part};
use knapweed_platform::Platform;
use knapweed_platform_http::HttpPlatform;
use knapweed_timer::TimerService;
use knapweed_transport::tls::Identity;
use knapweed_transport::{Arrivals, Endpoint};
use knapweed_wire::{StreamHead, decode};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{Config, SnapshotCell};
use knapweed_zone::{Incarnation, MemberRecord, Membership};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

/// Exit code after a second signal.
const EXIT_TERMINATED: u8 = 1;
/// Longest wait for the last messages to members.
const FAREWELL: Duration = Duration::from_millis(200);

/// Runs a node until it has stopped gracefully or was terminated.
///
/// # Errors
///
/// An address, certificate or key cannot be used.
pub async fn run(options: Options, logs: Logs) -> anyhow::Result<ExitCode> {
    let timer = TimerService::start();
    let metrics = Metrics::with_labels([("zone", options.zone.to_string())]);
    let identity = Identity::load(&options.tls)?;
    let (endpoint, arrivals) = Endpoint::open(options.nodes, &identity)?;
    let callers = listen(options.callers).await?;
    let operators = listen(options.operators).await?;
    let platform: Arc<dyn Platform> = Arc::new(
        HttpPlatform::builder(options.platform)
            .request_timeout(options.platform_timeout)
            .build(),
    );
    let snapshots = Arc::new(SnapshotCell::new(first_snapshot(&options)?));
    let trials = Arc::new(Trials::default());
    let egress = Arc::new(Egress::new(timer.clone(), Arc::clone(&trials)));
    let drain = Arc::new(Drain::default());
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let ready = Arc::new(AtomicBool::new(false));
    let (control, events) = ControlHandle::new();

    let membership = membership(&options, &timer);
    let parts = crate::control::Parts {
        host: options.host.clone(),
        snapshots: Arc::clone(&snapshots),
        egress: Arc::clone(&egress),
        peers: endpoint.peers(),
        platform: Arc::clone(&platform),
        trials,
        ready: Arc::clone(&ready),
        timer: timer.clone(),
        view: Arc::clone(&view),
    };
    start_control(Control::new(parts, control.clone(), membership), events)?;
    tokio::spawn(receive(arrivals, control.clone(), Arc::clone(&egress)));

    metrics.register_collector(ServiceMetrics::new(Arc::clone(&snapshots)));
    metrics.register_collector(NodeMetrics {
        snapshots: Arc::clone(&snapshots),
        view: Arc::clone(&view),
        drain: Arc::clone(&drain),
        peers: endpoint.peers(),
    });
    let history = HistoryKeeper::start(
        Place {
            host: options.host.clone(),
            zone: options.zone.clone(),
        },
        Arc::clone(&snapshots),
        &timer,
    );
    let ingress = Arc::new(Ingress::new(ingress::Parts {
        snapshots,
        choice: Box::new(NearestLeastLoaded::default()),
        local: Box::new(LocalCarrier::new(egress)),
        region_budget: Budget::new(options.region_bytes_per_s),
        link: Box::new(LinkCarrier::new(endpoint.peers(), timer.clone())),
        drain: Arc::clone(&drain),
        ready: Arc::clone(&ready),
        timer: timer.clone(),
        metrics: IngressMetrics::register(&metrics),
    }));
    let serving = tokio::spawn(handler::listen(callers, ingress));
    let router = operators::router(operators::Parts {
        platform,
        policy: policy(&options, &view),
        control: control.clone(),
        view,
        drain: Arc::clone(&drain),
        ready,
        history,
        metrics,
        logs,
    });
    tokio::spawn(gotham::bind_server(operators, router, |stream| {
        std::future::ready(Ok(stream))
    }));
    log::info!(
        target: part::PROGRAM,
        "host {} serves callers on {}, operators on {}, nodes on {}",
        options.host, options.callers, options.operators, options.nodes
    );

    let code = wait_for_end(&drain, &timer, &control).await?;
    serving.abort();
    farewell(&control).await;
    endpoint.close().await;
    Ok(code)
}

async fn listen(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}"))
}

fn entry(options: &Options) -> HostEntry {
    HostEntry {
        name: options.host.clone(),
        zone: options.zone.clone(),
        region: options.region.clone(),
        address: options.nodes,
        announcements: Vec::new(),
    }
}

fn first_snapshot(options: &Options) -> anyhow::Result<knapweed_world::Snapshot> {
    let config = Config::default();
    let builder = Builder::new(options.host.clone(), &config);
    Ok(builder.hosts([entry(options)]).build()?)
}

fn membership(options: &Options, timer: &TimerService) -> Membership {
    let incarnation = Incarnation::choose(None, timer.wall());
    let record = MemberRecord::new(entry(options), incarnation);
    let rng = SmallRng::seed_from_u64(rand::random());
    Membership::new(timer.now(), record, options.seeds.clone(), rng)
}

fn policy(options: &Options, view: &Arc<ArcSwap<View>>) -> Policy {
    let defaults = Defaults {
        deadline: options.deadline,
        caution: options.caution,
        ..Defaults::default()
    };
    Policy {
        defaults,
        traffic: Arc::new(ViewTraffic(Arc::clone(view))),
    }
}

/// Starts the control thread. Its tasks run on the threads of the runtime.
fn start_control(control: Control, events: mpsc::Receiver<Event>) -> anyhow::Result<()> {
    let runtime = Handle::current();
    let thread = std::thread::Builder::new().name("control".into());
    thread
        .spawn(move || runtime.block_on(control.run(events)))
        .context("could not start the control thread")?;
    Ok(())
}

/// Passes what other nodes send to the egress and to the control thread.
async fn receive(mut arrivals: Arrivals, control: ControlHandle, egress: Arc<Egress>) {
    loop {
        tokio::select! {
            Some(incoming) = arrivals.streams.recv() => {
                tokio::spawn(dispatch(incoming, control.clone(), Arc::clone(&egress)));
            }
            Some((from, bytes)) = arrivals.datagrams.recv() => {
                control.send(Event::Datagram { from, bytes }).await;
            }
            else => return,
        }
    }
}

async fn dispatch(
    mut incoming: knapweed_transport::Incoming,
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

/// Waits for a signal and then until all requests have ended.
async fn wait_for_end(
    drain: &Drain,
    timer: &TimerService,
    control: &ControlHandle,
) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut poll = timer.subscribe(Duration::from_millis(50));
    loop {
        let signalled = tokio::select! {
            _ = terminate.recv() => true,
            _ = interrupt.recv() => true,
            _ = poll.tick() => false,
        };
        if signalled {
            match drain.leave(timer.now()) {
                Signal::Leave => {
                    log::info!(target: part::PROGRAM, "stopping after the running requests");
                    control.send(Event::Leave).await;
                }
                Signal::Terminate => return Ok(ExitCode::from(EXIT_TERMINATED)),
            }
        }
        if drain.poll(timer.now()) == Next::Exit {
            return Ok(ExitCode::SUCCESS);
        }
    }
}

/// Tells the members that this node has left.
async fn farewell(control: &ControlHandle) {
    let (tx, rx) = oneshot::channel();
    control.send(Event::Stop(tx)).await;
    let _ = rx.await;
    tokio::time::sleep(FAREWELL).await;
}
