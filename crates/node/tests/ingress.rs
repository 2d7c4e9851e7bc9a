//! Tests of the ingress: counters by service, and the byte budget of calls to other
//! regions.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::HeaderName;
use http::{HeaderMap, Method};
use knapweed_host::choice::ExpectedTime;
use knapweed_host::drain;
use knapweed_host::outcome::Answer;
use knapweed_host::request::{Error, IdLimit};
use knapweed_host::{Drain, NotRun, Outcome, RetryPolicy, Unknown, WaitEstimator, retry};
use knapweed_link::LinkBudget;
use knapweed_node::body::{self, RequestBody};
use knapweed_node::carrier::{Carrier, Response};
use knapweed_node::egress::CrashTracker;
use knapweed_node::ingress::metrics::IngressMetrics;
use knapweed_node::ingress::quota::TokenGate;
use knapweed_node::ingress::{CallerRequest, Dependencies, Ingress};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_node::protocol::{CallerFields, CallerProtocol};
use knapweed_observe::Metrics;
use knapweed_timer::{Suspensions, TimerService};
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::organisation::CredentialPolicy;
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{
    ConfigVersion, CredentialDigest, Name, OrganisationConfig, ServerState, Share, Snapshot,
    SnapshotCell, TicketNumber,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Carrier whose outcome depends on the path of the request.
struct ScriptedCarrier;

impl Carrier for ScriptedCarrier {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        head: RequestHead,
        _body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        let (outcome, status) = match &head.path[..] {
            b"/calendar/ok" => (Outcome::Answered(Answer::Complete), 200),
            b"/calendar/missing" => (Outcome::Answered(Answer::Complete), 404),
            b"/calendar/broken" => (Outcome::Answered(Answer::Complete), 502),
            b"/calendar/shed" => (Outcome::NotRun(NotRun::Overloaded), 0),
            b"/calendar/replaced" => (Outcome::NotRun(NotRun::ReplacedServer), 0),
            _ => (Outcome::Unknown(Unknown::ServerCrashed), 0),
        };
        let mut response = Response::without_answer(outcome);
        response.head.status = status;
        Box::pin(async move { response })
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn config() -> Config {
    let mut config = Config::default();
    let service = ServiceConfig {
        versions: vec![VersionShare {
            version: name("v1"),
            share: Share::ALL,
        }],
        rollout: None,
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    };
    let route = RouteConfig {
        path_prefix: "/calendar".into(),
        destinations: vec![Destination {
            service: name("calendar"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        idempotence: Idempotence::Methods(Vec::new()),
        host: None,
        objective_ms: None,
        max_attempts: None,
        priority: 0,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
    };
    config.services.insert(name("calendar"), service);
    config.routes.insert(name("calendar"), route);
    config
}

/// Builds a snapshot from the view of the host `local`, with one backend server in
/// the region labasa.
fn snapshots(local: HostEntry) -> Arc<SnapshotCell> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let host = HostEntry {
        name: name("a1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        address,
        announcements: vec![Announcement {
            service: name("calendar"),
            version: name("v1"),
            address,
            slots: 12,
            max_connections: 110,
            state: ServerState::Ready,
            instance: None,
            is_cold: false,
        }],
    };
    let config = config();
    let builder = Builder::new(local.name.clone(), &config);
    let builder = match local.name == host.name {
        true => builder.hosts([host]),
        false => builder.hosts([host, local]),
    };
    let snapshot = builder.build();
    Arc::new(SnapshotCell::new(snapshot.expect("a whole mesh")))
}

fn local(host: &str, zone: &str, region: &str) -> HostEntry {
    HostEntry {
        name: name(host),
        zone: name(zone),
        region: name(region),
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        announcements: Vec::new(),
    }
}

fn ingress(snapshots: Arc<SnapshotCell>, metrics: &Metrics) -> Ingress {
    ingress_with(snapshots, metrics, Drain::default())
}

fn ingress_with(snapshots: Arc<SnapshotCell>, metrics: &Metrics, drain: Drain) -> Ingress {
    Ingress::new(dependencies(snapshots, metrics, drain))
}

fn dependencies(snapshots: Arc<SnapshotCell>, metrics: &Metrics, drain: Drain) -> Dependencies {
    Dependencies {
        quotas: Box::new(TokenGate),
        snapshots,
        protocol: Box::new(NativeHeaders),
        origin: None,
        choice: Box::new(ExpectedTime::default()),
        crashes: Arc::new(CrashTracker::new(TimerService::start())),
        local: Box::new(ScriptedCarrier),
        link: Box::new(ScriptedCarrier),
        region_budget: LinkBudget::new(1_000),
        drain: Arc::new(drain),
        ready: Arc::new(AtomicBool::new(true)),
        currency: Arc::default(),
        timer: TimerService::start(),
        retries: Arc::default(),
        wait_estimator: WaitEstimator::default(),
        metrics: IngressMetrics::register(metrics),
    }
}

/// Guards against calls that use up the link between regions, which is narrow,
/// billed by volume, and needed for control messages.
#[tokio::test]
async fn calls_to_another_region_stay_in_their_budget() {
    let metrics = Metrics::new();
    let remote = snapshots(local("s1", "savusavu-a", "savusavu"));
    let local_region = snapshots(local("a1", "labasa-a", "labasa"));
    // The budget of 1,000 bytes/s accumulates 200 bytes at most; each path has 12.
    let mut answered = [0, 0];
    for (snapshots, answered) in [remote, local_region].into_iter().zip(&mut answered) {
        let ingress = ingress(snapshots, &metrics);
        tokio::time::sleep(Duration::from_millis(250)).await;
        for _ in 0..100 {
            let outcome = run(&ingress, "/calendar/ok", &[]).await;
            *answered += u32::from(matches!(outcome, Outcome::Answered(_)));
        }
    }
    assert!((15..=25).contains(&answered[0]), "{answered:?}");
    assert_eq!(answered[1], 100);
}

/// Guards against a request that is passed on although the process may be killed before its
/// answer: it ends without one, and its caller must not repeat it.
#[tokio::test]
async fn a_leaving_node_passes_on_no_request_that_outlasts_it() {
    let drain = Drain::new(drain::Options {
        grace: Some(Duration::from_millis(900)),
        ..drain::Options::default()
    });
    let snapshots = snapshots(local("a1", "labasa-a", "labasa"));
    let ingress = ingress_with(snapshots, &Metrics::new(), drain);
    let answered = Outcome::Answered(Answer::Complete);
    assert_eq!(run(&ingress, "/calendar/ok", &[]).await, answered);
    ingress.drain().leave(knapweed_world::Time(1));
    let refused = Outcome::NotRun(NotRun::NotServing);
    assert_eq!(run(&ingress, "/calendar/ok", &[]).await, refused);
    let short = [("knapweed-deadline-ms", "200")];
    assert_eq!(run(&ingress, "/calendar/ok", &short).await, answered);
}

/// Guards against a 404 for a route that exists in a configuration which the node has not
/// received yet (`DENIED`, issue 35).
#[tokio::test]
async fn an_unknown_path_is_unavailable_while_newer_routes_may_exist() {
    let snapshots = snapshots(local("a1", "labasa-a", "labasa"));
    let dependencies = dependencies(snapshots, &Metrics::new(), Drain::default());
    let (currency, timer) = (
        Arc::clone(&dependencies.currency),
        dependencies.timer.clone(),
    );
    let ingress = Ingress::new(dependencies);
    let outdated = Outcome::NotRun(NotRun::OutdatedConfig);
    assert_eq!(run(&ingress, "/nowhere", &[]).await, outdated);
    currency.set_until(timer.now().after(Duration::from_secs(60)));
    let no_route = Outcome::NotRun(NotRun::NoRoute);
    assert_eq!(run(&ingress, "/nowhere", &[]).await, no_route);
    currency.set_until(timer.now());
    assert_eq!(run(&ingress, "/nowhere", &[]).await, outdated);
    let answered = Outcome::Answered(Answer::Complete);
    assert_eq!(run(&ingress, "/calendar/ok", &[]).await, answered);
}

/// Suspensions of the host so far, in seconds.
#[derive(Clone, Debug, Default)]
struct Suspended(Arc<AtomicU64>);

impl Suspensions for Suspended {
    fn total(&self) -> Duration {
        Duration::from_secs(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against a 404 for a route that was added while the host was suspended: the steady clock
/// stood still, and the table still counted as the newest one (`DENIED`, issue 35).
#[tokio::test]
async fn an_unknown_path_is_unavailable_after_a_suspension() {
    let snapshots = snapshots(local("a1", "labasa-a", "labasa"));
    let suspended = Suspended::default();
    let timer = TimerService::start_with(Box::new(suspended.clone()));
    let dependencies = Dependencies {
        timer: timer.clone(),
        ..dependencies(snapshots, &Metrics::new(), Drain::default())
    };
    let currency = Arc::clone(&dependencies.currency);
    let ingress = Ingress::new(dependencies);
    currency.set_until(timer.now().after(Duration::from_secs(60)));
    let no_route = Outcome::NotRun(NotRun::NoRoute);
    assert_eq!(run(&ingress, "/nowhere", &[]).await, no_route);
    suspended.0.store(60, Ordering::Relaxed);
    let outdated = Outcome::NotRun(NotRun::OutdatedConfig);
    assert_eq!(run(&ingress, "/nowhere", &[]).await, outdated);
}

/// Header format that runs an action when the ingress reads the identifier of a request, which
/// it does while it already uses a snapshot.
struct Interrupted<F>(F);

impl<F: Fn() + Send + Sync> CallerProtocol for Interrupted<F> {
    fn read(&self, headers: &HeaderMap) -> Result<CallerFields, Error> {
        NativeHeaders.read(headers)
    }

    fn id(&self, headers: &HeaderMap) -> Option<Bytes> {
        (self.0)();
        NativeHeaders.id(headers)
    }

    fn id_limit(&self) -> IdLimit {
        NativeHeaders.id_limit()
    }

    fn is_forwarded(&self, name: &HeaderName) -> bool {
        NativeHeaders.is_forwarded(name)
    }

    fn describe(&self, outcome: Outcome, wait: Option<Duration>, headers: &mut HeaderMap) {
        NativeHeaders.describe(outcome, wait, headers);
    }
}

/// Guards against a 404 by an outdated table, while the configuration that has the route comes
/// into force and is confirmed (`DENIED`, issue 35).
#[tokio::test]
async fn a_confirmation_of_newer_routes_does_not_count_for_older_ones() {
    let host = local("a1", "labasa-a", "labasa");
    let empty = Config::default();
    let before = Builder::new(host.name.clone(), &empty).hosts([host.clone()]);
    let snapshots = Arc::new(SnapshotCell::new(before.build().expect("a valid mesh")));
    let mut dependencies = dependencies(Arc::clone(&snapshots), &Metrics::new(), Drain::default());
    let (currency, timer) = (
        Arc::clone(&dependencies.currency),
        dependencies.timer.clone(),
    );
    let mut newer = config();
    newer.version = ConfigVersion(2);
    dependencies.protocol = Box::new(Interrupted(move || {
        let after = Builder::new(host.name.clone(), &newer).hosts([host.clone()]);
        let after = after.build().expect("a valid mesh");
        snapshots.replace(after).expect("a newer version");
        currency.set_until(timer.now().after(Duration::from_secs(60)));
    }));
    let ingress = Ingress::new(dependencies);
    let outdated = Outcome::NotRun(NotRun::OutdatedConfig);
    assert_eq!(run(&ingress, "/calendar/ok", &[]).await, outdated);
}

/// Guards against a final 431 for a head that a configuration allows which the node has not
/// received yet.
#[tokio::test]
async fn a_limit_of_an_outdated_configuration_is_not_final() {
    let mut config = config();
    config.limits.max_header_bytes = Some(1);
    let host = local("a1", "labasa-a", "labasa");
    let snapshot = Builder::new(host.name.clone(), &config).hosts([host]);
    let snapshots = SnapshotCell::new(snapshot.build().expect("a valid mesh"));
    let dependencies = dependencies(Arc::new(snapshots), &Metrics::new(), Drain::default());
    let (currency, timer) = (
        Arc::clone(&dependencies.currency),
        dependencies.timer.clone(),
    );
    let ingress = Ingress::new(dependencies);
    let long = [("x-long", "ab")];
    let outdated = Outcome::NotRun(NotRun::OutdatedConfig);
    assert_eq!(run(&ingress, "/calendar/ok", &long).await, outdated);
    currency.set_until(timer.now().after(Duration::from_secs(60)));
    let too_long = Outcome::NotRun(NotRun::HeadersTooLong);
    assert_eq!(run(&ingress, "/calendar/ok", &long).await, too_long);
}

/// Carrier that keeps the heads of the requests it is given, and answers them.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<RequestHead>>>);

impl Carrier for Recorder {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        head: RequestHead,
        _body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        self.0.lock().expect("no panic").push(head);
        let mut response = Response::without_answer(Outcome::Answered(Answer::Complete));
        response.head.status = 200;
        Box::pin(async move { response })
    }
}

/// Builds a snapshot with one organisation that holds these credentials.
fn snapshot_for(version: u64, credentials: &[&str]) -> Snapshot {
    let mut config = config();
    config.version = ConfigVersion(version);
    config.credentials = CredentialPolicy::Required;
    let digests = credentials
        .iter()
        .map(|c| CredentialDigest::of(c.as_bytes()));
    let growers = OrganisationConfig {
        credentials: digests.collect(),
        ..OrganisationConfig::default()
    };
    config.organisations.insert(name("tea-growers"), growers);
    let mut host = local("a1", "labasa-a", "labasa");
    host.announcements = vec![Announcement {
        service: name("calendar"),
        version: name("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 12,
        max_connections: 110,
        state: ServerState::Ready,
        instance: None,
        is_cold: false,
    }];
    let builder = Builder::new(host.name.clone(), &config).hosts([host]);
    builder.build().expect("a valid mesh")
}

/// Guards against a withdrawn credential that is still accepted, a credential that is passed
/// on, and a final refusal of one that a newer configuration may hold.
#[tokio::test]
async fn a_credential_admits_until_it_is_withdrawn_and_is_not_passed_on() {
    let snapshots = Arc::new(SnapshotCell::new(snapshot_for(1, &["old-key", "new-key"])));
    let mut dependencies = dependencies(Arc::clone(&snapshots), &Metrics::new(), Drain::default());
    let (currency, timer) = (
        Arc::clone(&dependencies.currency),
        dependencies.timer.clone(),
    );
    let recorder = Recorder::default();
    dependencies.local = Box::new(recorder.clone());
    let ingress = Ingress::new(dependencies);
    let run = |credential: &'static str| {
        let claimed = ("knapweed-organisation", "others");
        let fields = [("knapweed-credential", credential), claimed];
        let ingress = &ingress;
        async move { run(ingress, "/calendar/ok", &fields).await }
    };
    let answered = Outcome::Answered(Answer::Complete);
    let unverified = Outcome::NotRun(NotRun::UnverifiedCredential);
    let unknown = Outcome::NotRun(NotRun::UnknownCredential);
    assert_eq!(run("old-key").await, answered);
    assert_eq!(run("no-key").await, unverified);
    currency.set_until(timer.now().after(Duration::from_secs(60)));
    assert_eq!(run("no-key").await, unknown);
    let newer = snapshot_for(2, &["new-key"]);
    snapshots.replace(newer).expect("a newer version");
    assert_eq!(run("old-key").await, unknown);
    assert_eq!(run("new-key").await, answered);
    currency.set_until(timer.now());
    assert_eq!(run("old-key").await, unverified);
    let heads = recorder.0.lock().expect("no panic");
    let organisations: Vec<_> = heads.iter().map(|h| h.organisation.clone()).collect();
    assert_eq!(organisations, vec![Some(name("tea-growers")); 2]);
    assert!(heads.iter().all(|h| h.headers.is_empty()), "{heads:?}");
}

/// Carrier whose first send is lost after it may have run, and whose others are refused.
#[derive(Default)]
struct LostThenRefused {
    has_sent: AtomicBool,
}

impl Carrier for LostThenRefused {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        _head: RequestHead,
        _body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        let outcome = match self.has_sent.swap(true, Ordering::SeqCst) {
            false => Outcome::Unknown(Unknown::ConnectionLost),
            true => Outcome::NotRun(NotRun::NoServer),
        };
        Box::pin(async move { Response::without_answer(outcome) })
    }
}

/// Guards against a request that may have run and is reported as not run, because its repeat was
/// refused.
#[tokio::test]
async fn a_refused_repeat_does_not_mean_that_the_request_has_not_run() {
    let mut config = config();
    let route = config.routes.get_mut(&name("calendar")).expect("the route");
    route.idempotence = Idempotence::Always;
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let server = |port| Announcement {
        service: name("calendar"),
        version: name("v1"),
        address: address(port),
        slots: 12,
        max_connections: 110,
        state: ServerState::Ready,
        instance: None,
        is_cold: false,
    };
    let mut host = local("a1", "labasa-a", "labasa");
    host.announcements = vec![server(3), server(4)];
    let snapshot = Builder::new(host.name.clone(), &config).hosts([host]);
    let snapshots = SnapshotCell::new(snapshot.build().expect("a valid mesh"));
    let mut dependencies = dependencies(Arc::new(snapshots), &Metrics::new(), Drain::default());
    dependencies.local = Box::new(LostThenRefused::default());
    dependencies.retries = Arc::new(RetryPolicy::new(retry::Options::default().percent(100)));
    let ingress = Ingress::new(dependencies);
    let lost = Outcome::Unknown(Unknown::ConnectionLost);
    assert_eq!(run(&ingress, "/calendar/1", &[]).await, lost);
}

/// Guards against server errors, refusals and requests without a route being
/// counted for the wrong service or not at all.
#[tokio::test]
async fn requests_are_counted_by_service_and_outcome() {
    let metrics = Metrics::new();
    let snapshots = snapshots(local("a1", "labasa-a", "labasa"));
    let ingress = ingress(Arc::clone(&snapshots), &metrics);
    for path in ["ok", "ok", "broken", "shed", "reused", "crash"] {
        run(&ingress, &format!("/calendar/{path}"), &[]).await;
    }
    run(&ingress, "/nowhere", &[]).await;
    run(&ingress, "/calendar/ok", &[("knapweed-depth", "8")]).await;
    let snapshot = snapshots.load_full();
    let (_, service) = snapshot.services().next().expect("a service");
    let mut counts = service.counters.counts();
    assert_eq!(counts.latency.iter().sum::<u64>(), counts.answered);
    // Latencies differ from run to run.
    counts.latency = Default::default();
    counts.latency_sum_us = 0;
    let text = metrics.to_text();
    let node: Vec<_> = text.lines().filter(|l| l.contains("_total")).collect();
    insta::assert_snapshot!(format!("{}\n{counts:#?}", node.join("\n")));
}

/// Guards against refusals whose reason is in no metric: who was on call had to find it in the
/// log, whose lines are limited.
#[tokio::test]
async fn refusals_are_counted_by_reason() {
    let metrics = Metrics::new();
    let snapshots = snapshots(local("a1", "labasa-a", "labasa"));
    let dependencies = dependencies(snapshots, &metrics, Drain::default());
    let (currency, timer) = (
        Arc::clone(&dependencies.currency),
        dependencies.timer.clone(),
    );
    let ready = Arc::clone(&dependencies.ready);
    let ingress = Ingress::new(dependencies);
    run(&ingress, "/nowhere", &[]).await;
    currency.set_until(timer.now().after(Duration::from_secs(60)));
    run(&ingress, "/nowhere", &[]).await;
    for path in ["ok", "broken", "missing", "shed", "crash"] {
        run(&ingress, &format!("/calendar/{path}"), &[]).await;
    }
    for (header, value) in [
        ("knapweed-depth", "8"),
        ("knapweed-depth", "x"),
        ("knapweed-deadline-ms", "0"),
    ] {
        run(&ingress, "/calendar/ok", &[(header, value)]).await;
    }
    ready.store(false, Ordering::Relaxed);
    run(&ingress, "/calendar/ok", &[]).await;
    let text = metrics.to_text();
    let samples = text.lines().filter(|l| l.contains("_total"));
    let samples: Vec<_> = samples.filter(|l| !l.ends_with(" 0")).collect();
    insta::assert_snapshot!(samples.join("\n"));
}

async fn run(ingress: &Ingress, path: &str, headers: &[(&'static str, &str)]) -> Outcome {
    let mut fields = HeaderMap::new();
    for (name, value) in headers {
        fields.insert(*name, value.parse().expect("a header value"));
    }
    let request = CallerRequest {
        method: Method::GET,
        uri: path.parse().expect("a path"),
        headers: fields,
        body: body::empty(),
    };
    ingress.run(request).await.head.outcome
}
