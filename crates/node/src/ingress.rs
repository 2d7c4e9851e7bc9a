//! The ingress: takes requests of callers and sends each to a backend server.

mod attempt;
pub mod handler;
pub mod metrics;
pub mod service_metrics;

use crate::body::{self, Body, Gathered, MAX_KEPT_LEN, RequestBody};
use crate::carrier::{Carrier, Response};
use crate::headers;
use crate::protocol::{CallerFields, CallerProtocol};
use crate::request_log::IngressLog;
use attempt::Attempts;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use knapweed_host::request::{IncomingRequest, Request};
use knapweed_host::{Drain, NotRun, Outcome, RetryPolicy, ServerChoice, WaitEstimator};
use knapweed_link::LinkBudget;
use knapweed_timer::TimerService;
use knapweed_world::route::DRAWS;
use knapweed_world::{Name, Snapshot, SnapshotCell, Time};
use metrics::IngressMetrics;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

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
    /// The headers of callers.
    pub protocol: Box<dyn CallerProtocol>,
    /// The service of this host, where it has one.
    pub origin: Option<Name>,
    /// Chooses backend servers.
    pub choice: Box<dyn ServerChoice>,
    /// To the backend servers of this host.
    pub local: Box<dyn Carrier>,
    /// To other hosts.
    pub link: Box<dyn Carrier>,
    /// Bytes of calls that this node may send to another region.
    pub region_budget: LinkBudget,
    /// The life cycle of the node.
    pub drain: Arc<Drain>,
    /// Whether the version floor is known and kept.
    pub ready: Arc<AtomicBool>,
    /// The time.
    pub timer: TimerService,
    /// Decides on retries.
    pub retries: Arc<RetryPolicy>,
    /// How long callers wait.
    pub patience: WaitEstimator,
    /// Counters.
    pub metrics: IngressMetrics,
}

/// The ingress of a node, shared by all its threads.
pub struct Ingress {
    parts: Parts,
}

impl Ingress {
    /// An ingress of `parts`.
    pub fn new(parts: Parts) -> Self {
        Self { parts }
    }

    /// The life cycle of the node.
    pub fn drain(&self) -> &Arc<Drain> {
        &self.parts.drain
    }

    /// The headers of callers.
    pub fn protocol(&self) -> &dyn CallerProtocol {
        &*self.parts.protocol
    }

    /// Runs a request of a caller.
    pub async fn run(&self, request: CallerRequest) -> Response {
        let start = self.parts.timer.now();
        if !self.parts.ready.load(Ordering::Relaxed) {
            return self.refuse(&request, NotRun::NotServing);
        }
        // The snapshot is kept for the whole request, so that it sees one version.
        let snapshot = self.parts.snapshots.load_full();
        let mut log = IngressLog::new(&snapshot, &self.parts.timer);
        let taken = self.take(&snapshot, &request, start);
        let service = taken.as_ref().ok().map(|(taken, _)| taken.service);
        let result = match taken {
            Ok((taken, fields)) => {
                log.named(fields.id.clone());
                log.taken(&taken);
                self.try_run(&snapshot, taken, fields, request, &mut log)
                    .await
            }
            Err(outcome) => Err(outcome),
        };
        let mut response = result.unwrap_or_else(Response::without_answer);
        suggest_retry(&mut response);
        log.ended(&response.head);
        let took = self.parts.timer.now().since(start);
        self.parts.metrics.count(response.head.outcome, took);
        if let Some(service) = service {
            let service = snapshot.service(service);
            metrics::count_service(&service.counters, &response.head, took);
        }
        response
    }

    /// Refuses a request that is not looked at any further.
    pub(crate) fn refuse(&self, request: &CallerRequest, reason: NotRun) -> Response {
        let mut response = Response::without_answer(Outcome::NotRun(reason));
        suggest_retry(&mut response);
        let snapshot = self.parts.snapshots.load();
        let fields = self.parts.protocol.read(&request.headers);
        let mut log = IngressLog::new(&snapshot, &self.parts.timer);
        log.named(fields.ok().and_then(|fields| fields.id));
        log.ended(&response.head);
        response
    }

    async fn try_run(
        &self,
        snapshot: &Snapshot,
        taken: Request,
        fields: CallerFields,
        request: CallerRequest,
        log: &mut IngressLog<'_>,
    ) -> Result<Response, Outcome> {
        let cut_short = |_| Outcome::NotRun(NotRun::InvalidHeader);
        let body = body::gather(request.body, MAX_KEPT_LEN).await;
        let body = match body.map_err(cut_short)? {
            Gathered::Whole(bytes) => RequestBody::Kept(bytes),
            Gathered::Longer(body) => RequestBody::Passing(body),
        };
        let passes = |name: &_| self.parts.protocol.passes(name);
        let attempts = Attempts {
            ingress: self,
            snapshot,
            request: taken,
            caller_id: fields.id,
            method: Bytes::copy_from_slice(request.method.as_str().as_bytes()),
            path: path_and_query(&request.uri),
            headers: headers::to_wire(&request.headers, passes),
        };
        attempts.run(body, log).await
    }

    /// Takes a request: what its headers say, its route and its deadline.
    fn take(
        &self,
        snapshot: &Snapshot,
        request: &CallerRequest,
        now: Time,
    ) -> Result<(Request, CallerFields), Outcome> {
        let invalid = |err: knapweed_host::request::Error| Outcome::NotRun(err.reason());
        let fields = self
            .parts
            .protocol
            .read(&request.headers)
            .map_err(invalid)?;
        let host = request.headers.get(http::header::HOST);
        let arrival = IncomingRequest {
            host: host.map_or(&[], |host| host.as_bytes()),
            method: request.method.as_str().as_bytes(),
            path: request.uri.path().as_bytes(),
            id: fields.id.clone(),
            time_left: fields.time_left,
            depth: fields.depth,
            is_nested: fields.is_nested,
            random: rand::random(),
            draw: rand::random_range(0..DRAWS),
        };
        let taken = Request::from_incoming(snapshot, &arrival, &self.parts.patience, now)
            .map_err(invalid)?;
        Ok((taken, fields))
    }
}

/// Time after which a refused request may come back when nobody knows better:
/// the others have taken over from a host or a backend server that left.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Status of a refusal that the caller may repeat unchanged.
const UNAVAILABLE: u16 = 503;

/// Tells the caller of a request that may succeed later when to come back. The
/// time varies by half, so that callers who were refused together do not return so.
fn suggest_retry(response: &mut Response) {
    let head = &mut response.head;
    if matches!(head.outcome, Outcome::NotRun(reason) if reason.status() == UNAVAILABLE) {
        let wait = RETRY_AFTER.mul_f64(rand::random_range(0.5..1.5));
        head.retry_after_us.get_or_insert(wait.as_micros() as u64);
    }
}

fn path_and_query(uri: &Uri) -> Bytes {
    let text = uri.path_and_query().map_or("/", |p| p.as_str());
    Bytes::copy_from_slice(text.as_bytes())
}
