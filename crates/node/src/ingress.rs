//! The ingress: takes requests of callers and sends each to a backend server.

mod attempt;
pub mod handler;
pub mod metrics;
pub mod service_metrics;

use crate::body::{Body, MAX_KEPT_LEN, RequestBody};
use crate::carrier::{Carrier, Response};
use crate::headers;
use attempt::Attempts;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use http_body::Body as _;
use http_body_util::BodyExt;
use knapweed_host::request::{
    Arrival, DEADLINE_MS, DEPTH, IDEMPOTENCY_KEY, OUTCOME, REASON, Request,
};
use knapweed_host::{Drain, NotRun, Outcome, RetryPolicy, ServerChoice};
use knapweed_link::Budget;
use knapweed_timer::TimerService;
use knapweed_world::{Snapshot, SnapshotCell, Time};
use metrics::IngressMetrics;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A request as gotham gives it.
#[derive(Debug)]
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// The parts that the ingress uses.
pub struct Parts {
    /// The current snapshot.
    pub snapshots: Arc<SnapshotCell>,
    /// Chooses backend servers.
    pub choice: Box<dyn ServerChoice>,
    /// To the backend servers of this host.
    pub local: Box<dyn Carrier>,
    /// To other hosts.
    pub link: Box<dyn Carrier>,
    /// Bytes of calls that this node may send to another region.
    pub region_budget: Budget,
    /// The life cycle of the node.
    pub drain: Arc<Drain>,
    /// Whether the version floor is known and kept.
    pub ready: Arc<AtomicBool>,
    /// The time.
    pub timer: TimerService,
    /// Counters.
    pub metrics: IngressMetrics,
}

/// The ingress of a node, shared by all its threads.
pub struct Ingress {
    parts: Parts,
    retries: RetryPolicy,
}

impl Ingress {
    /// An ingress of `parts`.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            retries: RetryPolicy::default(),
        }
    }

    /// The life cycle of the node.
    pub fn drain(&self) -> &Arc<Drain> {
        &self.parts.drain
    }

    /// Runs a request of a caller.
    pub async fn run(&self, request: CallerRequest) -> Response {
        let start = self.parts.timer.now();
        if !self.parts.ready.load(Ordering::Relaxed) {
            return Response::without_answer(Outcome::NotRun(NotRun::NotServing));
        }
        // The snapshot is kept for the whole request, so that it sees one version.
        let snapshot = self.parts.snapshots.load_full();
        let taken = take(&snapshot, &request, start);
        let route = match &taken {
            Ok(taken) => Some(taken.route),
            Err(_) => snapshot.find_route(request.uri.path().as_bytes()),
        };
        let result = match taken {
            Ok(taken) => self.try_run(&snapshot, taken, request).await,
            Err(outcome) => Err(outcome),
        };
        let response = result.unwrap_or_else(Response::without_answer);
        let took = self.parts.timer.now().since(start);
        self.parts.metrics.count(response.head.outcome, took);
        if let Some(route) = route {
            let service = snapshot.service(snapshot.route(route).service);
            metrics::count_service(&service.counters, &response.head, took);
        }
        response
    }

    async fn try_run(
        &self,
        snapshot: &Snapshot,
        taken: Request,
        request: CallerRequest,
    ) -> Result<Response, Outcome> {
        let cut_short = |_| Outcome::NotRun(NotRun::InvalidHeader);
        let body = keep_short(request.body).await.map_err(cut_short)?;
        let attempts = Attempts {
            ingress: self,
            snapshot,
            request: taken,
            arrived: self.parts.timer.now(),
            method: Bytes::copy_from_slice(request.method.as_str().as_bytes()),
            path: path_and_query(&request.uri),
            headers: headers::to_wire(&request.headers),
        };
        attempts.run(body).await
    }
}

fn take(snapshot: &Snapshot, request: &CallerRequest, now: Time) -> Result<Request, Outcome> {
    let field = |name: &str| request.headers.get(name).map(|v| v.as_bytes());
    let arrival = Arrival {
        method: request.method.as_str().as_bytes(),
        path: request.uri.path().as_bytes(),
        key: field(IDEMPOTENCY_KEY).map(Bytes::copy_from_slice),
        deadline_ms: field(DEADLINE_MS),
        depth: field(DEPTH),
        random: rand::random(),
    };
    let taken = Request::take(snapshot, &arrival, now);
    taken.map_err(|err| Outcome::NotRun(err.reason()))
}

fn path_and_query(uri: &Uri) -> Bytes {
    let text = uri.path_and_query().map_or("/", |p| p.as_str());
    Bytes::copy_from_slice(text.as_bytes())
}

/// Reads a body that announces a short length, so that it can be sent again.
async fn keep_short(body: Body) -> std::io::Result<RequestBody> {
    match body.size_hint().exact() {
        Some(0) => Ok(RequestBody::Kept(Bytes::new())),
        Some(len) if len <= MAX_KEPT_LEN => {
            let bytes = body.collect().await?.to_bytes();
            Ok(RequestBody::Kept(bytes))
        }
        _ => Ok(RequestBody::Passing(body)),
    }
}

/// Headers of a response that the ingress adds.
fn outcome_headers(outcome: Outcome) -> [(&'static str, &'static str); 2] {
    [(OUTCOME, outcome.label()), (REASON, outcome.reason())]
}
