//! Retries of the ingress after a backend server crashed.

use crate::common::name;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use knapweed_host::choice::ExpectedTime;
use knapweed_host::crash::Subject;
use knapweed_host::{Answer, Drain, NotRun, Outcome, WaitEstimator};
use knapweed_link::LinkBudget;
use knapweed_node::body::{self, RequestBody};
use knapweed_node::carrier::{Carrier, Response};
use knapweed_node::egress::CrashTracker;
use knapweed_node::ingress::metrics::IngressMetrics;
use knapweed_node::ingress::quota::TokenGate;
use knapweed_node::ingress::{CallerRequest, Dependencies, Ingress};
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_observe::Metrics;
use knapweed_timer::TimerService;
use knapweed_wire::RequestHead;
use knapweed_world::backend_server::Announcement;
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{ConfigVersion, ServerState, Share, SnapshotCell, TicketNumber};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// For each send of the crashing request, whether it was marked as a suspect.
type SuspectFlags = Arc<Mutex<Vec<bool>>>;
/// Content digest of each request.
type Contents = Arc<Mutex<Vec<Subject>>>;

struct CrashingCarrier(SuspectFlags);

impl Carrier for CrashingCarrier {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        head: RequestHead,
        _body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        let response = if head.path == "/calendar/crash" {
            self.0.lock().push(head.is_suspect);
            Response::crashed()
        } else {
            Response::without_answer(Outcome::Answered(Answer::Complete))
        };
        Box::pin(async move { response })
    }
}

struct ContentCarrier(Contents);

impl Carrier for ContentCarrier {
    fn carry<'a>(
        &'a self,
        _node: SocketAddr,
        head: RequestHead,
        _body: &'a mut RequestBody,
    ) -> BoxFuture<'a, Response> {
        self.0.lock().push(head.content);
        let response = Response::without_answer(Outcome::Answered(Answer::Complete));
        Box::pin(async move { response })
    }
}

fn config() -> Config {
    let (ticket, changed_at) = (TicketNumber(1), ConfigVersion(1));
    let mut config = Config::default();
    let service = ServiceConfig {
        versions: vec![VersionShare {
            version: name("v1"),
            share: Share::ALL,
        }],
        rollout: None,
        ticket,
        changed_at,
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
        idempotence: Idempotence::Methods(vec!["GET".into()]),
        host: None,
        objective_ms: None,
        max_attempts: None,
        priority: 0,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket,
        changed_at,
    };
    config.services.insert(name("calendar"), service);
    config.routes.insert(name("calendar"), route);
    config
}

fn host(n: u16) -> HostEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], n));
    HostEntry {
        name: name(&format!("a{n}")),
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
    }
}

fn ingress(suspect_flags: &SuspectFlags) -> Ingress {
    let carrier = || Box::new(CrashingCarrier(Arc::clone(suspect_flags)));
    ingress_with(&config(), carrier(), carrier())
}

fn ingress_with(config: &Config, local: Box<dyn Carrier>, link: Box<dyn Carrier>) -> Ingress {
    let snapshot = Builder::new(name("a1"), config).hosts((1..=4).map(host));
    let snapshot = snapshot.build().expect("a valid mesh");
    Ingress::new(Dependencies {
        quotas: Box::new(TokenGate),
        snapshots: Arc::new(SnapshotCell::new(snapshot)),
        protocol: Box::new(NativeHeaders),
        origin: None,
        choice: Box::new(ExpectedTime::default()),
        crashes: Arc::new(CrashTracker::new(TimerService::start())),
        local,
        link,
        region_budget: LinkBudget::new(1_000),
        drain: Arc::new(Drain::default()),
        ready: Arc::new(AtomicBool::new(true)),
        currency: Arc::default(),
        timer: TimerService::start(),
        retries: Arc::default(),
        wait_estimator: WaitEstimator::default(),
        metrics: IngressMetrics::register(&Metrics::new()),
    })
}

async fn get(ingress: &Ingress, path: &str) -> Outcome {
    let request = CallerRequest {
        method: Method::GET,
        uri: path.parse().expect("a path"),
        headers: HeaderMap::new(),
        body: body::empty(),
    };
    ingress.run(request).await.head.outcome
}

/// Guards against retries that crash a third backend server (requirement B7).
#[tokio::test]
async fn a_request_that_crashes_is_sent_twice_and_the_second_time_as_a_suspect() {
    let suspect_flags = SuspectFlags::default();
    let ingress = ingress(&suspect_flags);
    // Enough successes to earn more retry tokens than one request may use.
    for _ in 0..50 {
        get(&ingress, "/calendar").await;
    }
    let outcome = get(&ingress, "/calendar/crash").await;
    assert_eq!(outcome, Response::crashed().head.outcome);
    assert_eq!(*suspect_flags.lock(), [false, true]);
}

/// A request whose body arrives in the given chunks.
fn post(host: &'static str, path: &str, chunks: &[&'static str]) -> CallerRequest {
    let frames = chunks.iter().map(|c| Ok(Frame::data(Bytes::from(*c))));
    let frames: Vec<_> = frames.collect();
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static(host));
    CallerRequest {
        method: Method::POST,
        uri: path.parse().expect("a path"),
        headers,
        body: StreamBody::new(stream::iter(frames)).boxed_unsync(),
    }
}

/// Two hosts with the same path.
fn two_hosts() -> Config {
    let mut config = config();
    let route = config.routes.remove(&name("calendar")).expect("a route");
    for host in ["h.example", "i.example"] {
        let route = RouteConfig {
            host: Some(host.to_owned()),
            ..route.clone()
        };
        config.routes.insert(name(&host.replace('.', "-")), route);
    }
    config
}

/// Guards against a request that is not recognised when it comes again: in other chunks, with a
/// changed case of the host, or under a configuration that renamed its route; and against different
/// requests that are taken for the same.
#[tokio::test]
async fn the_content_is_what_the_caller_sent() {
    let contents = Contents::default();
    let mut renamed = two_hosts();
    let route = renamed.routes.remove(&name("h-example")).expect("a route");
    renamed.routes.insert(name("h-example-2"), route);
    for config in [two_hosts(), renamed] {
        let carrier = || Box::new(ContentCarrier(Arc::clone(&contents)));
        let ingress = ingress_with(&config, carrier(), carrier());
        ingress
            .run(post("h.example", "/calendar?a=1", &["one body"]))
            .await;
        ingress
            .run(post("H.EXAMPLE", "/calendar?a=1", &["one", " ", "body"]))
            .await;
    }
    let same = std::mem::take(&mut *contents.lock());
    assert_eq!(same.len(), 4);
    assert!(same.iter().all(|c| *c == same[0]), "{same:?}");

    let carrier = || Box::new(ContentCarrier(Arc::clone(&contents)));
    let ingress = ingress_with(&config(), carrier(), carrier());
    ingress
        .run(post("h.example", "/calendar?a=1", &["another body"]))
        .await;
    ingress
        .run(post("h.example", "/calendar?a=2", &["one body"]))
        .await;
    ingress
        .run(post("i.example", "/calendar?a=1", &["one body"]))
        .await;
    let mut different: Vec<_> = contents.lock().clone();
    different.extend(same.first());
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), 4);
}

/// Guards against a request that is sent on by a node that knows its crashes, to an egress that may
/// not know them.
#[tokio::test]
async fn an_ingress_refuses_a_request_that_crashed_two_servers() {
    let suspect_flags = SuspectFlags::default();
    let ingress = ingress(&suspect_flags);
    for _ in 0..50 {
        get(&ingress, "/calendar").await;
    }
    get(&ingress, "/calendar/crash").await;
    let refused = Outcome::NotRun(NotRun::CrashesServers);
    assert_eq!(get(&ingress, "/calendar/crash").await, refused);
    assert_eq!(suspect_flags.lock().len(), 2);
}
