//! Retries of the ingress after a backend server crashed.

use crate::common::name;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method};
use knapweed_host::choice::ExpectedTime;
use knapweed_host::{Answer, Drain, Outcome, WaitEstimator};
use knapweed_link::LinkBudget;
use knapweed_node::body::{self, RequestBody};
use knapweed_node::carrier::{Carrier, Response};
use knapweed_node::ingress::metrics::IngressMetrics;
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
    let config = config();
    let snapshot = Builder::new(name("a1"), &config).hosts((1..=4).map(host));
    let snapshot = snapshot.build().expect("a valid mesh");
    Ingress::new(Dependencies {
        snapshots: Arc::new(SnapshotCell::new(snapshot)),
        protocol: Box::new(NativeHeaders),
        origin: None,
        choice: Box::new(ExpectedTime::default()),
        local: Box::new(CrashingCarrier(Arc::clone(suspect_flags))),
        link: Box::new(CrashingCarrier(Arc::clone(suspect_flags))),
        region_budget: LinkBudget::new(1_000),
        drain: Arc::new(Drain::default()),
        ready: Arc::new(AtomicBool::new(true)),
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
