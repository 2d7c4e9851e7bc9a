//! The ingress: receives the requests of callers and sends each to a backend server.

mod attempt;
pub mod handler;
pub mod metrics;
pub mod quota;
pub mod quota_metrics;
pub mod service_metrics;

use crate::body::{self, Body, LimitedRead, MAX_BUFFERED_LEN, RequestBody};
use crate::carrier::{Carrier, Response};
use crate::currency::RouteCurrency;
use crate::egress::CrashRecorder;
use crate::headers;
use crate::protocol::{CallerFields, CallerProtocol};
use crate::request_log::IngressLog;
use attempt::Attempts;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use knapweed_host::access;
use knapweed_host::crash::{CrashSubjects, Subject};
use knapweed_host::request::{Error, IncomingRequest, Request};
use knapweed_host::retry::return_wait;
use knapweed_host::{
    ByteBudget, CallerBounds, Drain, NotRun, Outcome, RetryPolicy, ServerChoice, WaitEstimator,
};
use knapweed_link::LinkBudget;
use knapweed_timer::TimerService;
use knapweed_world::route::DRAWS;
use knapweed_world::{Name, OrganisationKey, Snapshot, SnapshotCell, Time};
use metrics::IngressMetrics;
use quota::{Permit, QuotaGate};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request of a caller, as the gotham handler receives it.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Request target; routes match its path.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body, which may still be arriving.
    pub body: Body,
}

/// What the ingress needs from the rest of the node.
pub struct Dependencies {
    /// Holds the current snapshot of the configuration and the mesh.
    pub snapshots: Arc<SnapshotCell>,
    /// Header format of the callers.
    pub protocol: Box<dyn CallerProtocol>,
    /// Service whose backend servers run on this host; `None` when it has none or
    /// several.
    pub origin: Option<Name>,
    /// Chooses a backend server for each attempt.
    pub choice: Box<dyn ServerChoice>,
    /// Decides whether a request is inside the quota of its organisation.
    pub quotas: Box<dyn QuotaGate>,
    /// Knows which requests crash backend servers.
    pub crashes: Arc<dyn CrashRecorder>,
    /// Sends requests to the backend servers of this host.
    pub local: Box<dyn Carrier>,
    /// Sends requests to other hosts.
    pub link: Box<dyn Carrier>,
    /// Budget of request bytes that this node may send to other regions.
    pub region_budget: LinkBudget,
    /// Lifecycle of the node: which requests it still accepts while it stops.
    pub drain: Arc<Drain>,
    /// Whether the version floor is known and the configuration has reached it;
    /// until then every request is refused.
    pub ready: Arc<AtomicBool>,
    /// Whether the routes in force are known to be the newest ones.
    pub currency: Arc<RouteCurrency>,
    /// Clock for deadlines and latencies.
    pub timer: TimerService,
    /// Decides whether a failed attempt is retried.
    pub retries: Arc<RetryPolicy>,
    /// Estimates how long a caller has waited already when its request arrives.
    pub wait_estimator: WaitEstimator,
    /// Counters of this node's ingress.
    pub metrics: IngressMetrics,
}

/// The ingress of a node, shared by all its threads.
pub struct Ingress {
    dependencies: Dependencies,
    /// Limits the request bodies that are kept for retries or pass through.
    buffered: Arc<ByteBudget>,
}

impl Ingress {
    /// Creates an ingress from its dependencies.
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies,
            buffered: Arc::new(ByteBudget::new(CallerBounds::default().memory)),
        }
    }

    /// Reserves what it holds for callers from `budget`.
    pub fn with_budget(mut self, budget: Arc<ByteBudget>) -> Self {
        self.buffered = budget;
        self
    }

    /// The lifecycle of the node.
    pub fn drain(&self) -> &Arc<Drain> {
        &self.dependencies.drain
    }

    /// The header format of the callers.
    pub fn protocol(&self) -> &dyn CallerProtocol {
        &*self.dependencies.protocol
    }

    /// Runs a request of a caller and counts and logs its outcome.
    pub async fn run(&self, request: CallerRequest) -> Response {
        let start = self.dependencies.timer.now();
        if !self.dependencies.ready.load(Ordering::Relaxed) {
            return self.refuse(&request, NotRun::NotServing);
        }
        // Read before the snapshot, which is replaced before the currency is set: the routes
        // that are looked up are never older than those that the currency speaks of.
        let is_current = self.dependencies.currency.is_current(start);
        // All attempts use one snapshot, so that the request sees a single version
        // of the configuration.
        let snapshot = self.dependencies.snapshots.load_full();
        let mut log = IngressLog::new(&snapshot, &self.dependencies.timer);
        log.set_caller_id(self.dependencies.protocol.id(&request.headers));
        let parsed = self.parse(&snapshot, &request, start);
        let accepted = parsed.as_ref().ok().map(|(parsed, _)| parsed.clone());
        let result = match parsed {
            Ok((mut parsed, fields)) => {
                let organisation = authorize(&snapshot, &parsed, &fields, is_current);
                parsed.set_organisation(&snapshot, organisation.unwrap_or_default());
                log.set_request(&parsed);
                let checked = organisation.and_then(|_| self.check_deadline(start, &parsed));
                match checked {
                    Ok(()) => {
                        self.run_in_quota(&snapshot, parsed, fields, request, &mut log)
                            .await
                    }
                    Err(reason) => Err(Outcome::NotRun(reason)),
                }
            }
            Err(err) => {
                let address = (&request.uri, &request.headers);
                log.set_refused(address, &err, err.header());
                Err(Outcome::NotRun(refusal(&err, is_current)))
            }
        };
        let mut response = result.unwrap_or_else(Response::without_answer);
        let left = accepted
            .as_ref()
            .map(|request| request.time_left(self.dependencies.timer.now()));
        set_default_retry_after(&mut response, left);
        log.record_outcome(&response.head);
        let latency = self.dependencies.timer.now().since(start);
        self.dependencies.metrics.count(&response.head, latency);
        if let Some(accepted) = accepted {
            let service = snapshot.service(accepted.service);
            metrics::count_service(&service.counters, &response.head, latency);
        }
        response
    }

    /// Refuses a request whose deadline has passed, or is later than the end of this node.
    fn check_deadline(&self, now: Time, request: &Request) -> Result<(), NotRun> {
        if request.deadline <= now {
            return Err(NotRun::DeadlinePassed);
        }
        let drain = &self.dependencies.drain;
        drain.check_deadline(now, request.deadline, request.idempotent)
    }

    /// Refuses a request before it is matched to a route.
    pub(crate) fn refuse(&self, request: &CallerRequest, reason: NotRun) -> Response {
        let mut response = Response::without_answer(Outcome::NotRun(reason));
        set_default_retry_after(&mut response, None);
        let snapshot = self.dependencies.snapshots.load();
        let mut log = IngressLog::new(&snapshot, &self.dependencies.timer);
        log.set_caller_id(self.dependencies.protocol.id(&request.headers));
        log.record_outcome(&response.head);
        self.dependencies.metrics.count_refusal(reason);
        response
    }

    /// Runs a request if it is inside the quota of its organisation. One that has not run
    /// does not count.
    async fn run_in_quota(
        &self,
        snapshot: &Snapshot,
        parsed: Request,
        fields: CallerFields,
        request: CallerRequest,
        log: &mut IngressLog<'_>,
    ) -> Result<Response, Outcome> {
        let permit = match self.admit(snapshot, &parsed) {
            Ok(permit) => permit,
            Err(wait) => return Ok(beyond_quota(wait)),
        };
        let result = self.try_run(snapshot, parsed, fields, request, log).await;
        let outcome = match &result {
            Ok(response) => response.head.outcome,
            Err(outcome) => *outcome,
        };
        if matches!(outcome, Outcome::NotRun(_)) {
            permit.give_back();
        }
        result
    }

    /// Takes a token for a request of a caller. Nested requests belong to one that has taken
    /// a token.
    fn admit(&self, snapshot: &Snapshot, request: &Request) -> Result<Permit, Duration> {
        match request.organisation {
            Some(organisation) if !request.is_nested => {
                let now = self.dependencies.timer.now();
                self.dependencies.quotas.admit(snapshot, organisation, now)
            }
            _ => Ok(Permit::default()),
        }
    }

    async fn try_run(
        &self,
        snapshot: &Snapshot,
        parsed: Request,
        fields: CallerFields,
        request: CallerRequest,
        log: &mut IngressLog<'_>,
    ) -> Result<Response, Outcome> {
        let body = body::read_request(request.body, MAX_BUFFERED_LEN, &self.buffered);
        let left = parsed.deadline.since(self.dependencies.timer.now());
        let body = tokio::time::timeout(left, body)
            .await
            .map_err(|_| Outcome::NotRun(NotRun::DeadlinePassed))?;
        let body = body.map_err(|err| {
            let cause = body::root_cause(&err);
            log.set_refused((&request.uri, &request.headers), &cause, None);
            Outcome::NotRun(unreadable_body(&err))
        })?;
        let (prefix, body) = match body {
            LimitedRead::Whole(bytes) => (bytes.clone(), RequestBody::Buffered(bytes)),
            LimitedRead::Longer { prefix, body } => {
                let body = body::reserve_stream(body, &self.buffered).await;
                let body = body.ok_or(Outcome::NotRun(NotRun::NoMemory))?;
                (prefix, RequestBody::Streaming(body))
            }
        };
        let method = Bytes::copy_from_slice(request.method.as_str().as_bytes());
        let path = path_and_query(&request.uri);
        // Callers address a route without a host under the name of any node.
        let host = snapshot.route(parsed.route).host.as_deref();
        let subjects = CrashSubjects {
            identity: Subject::identity(parsed.identity),
            content: Subject::content(host.unwrap_or_default(), &method, &path, &prefix),
        };
        drop(prefix);
        let is_forwarded = |name: &_| self.dependencies.protocol.is_forwarded(name);
        let attempts = Attempts {
            ingress: self,
            snapshot,
            request: parsed,
            caller_id: fields.id,
            subjects,
            method,
            path,
            headers: headers::to_wire(&request.headers, is_forwarded),
        };
        attempts.run(body, log).await
    }

    /// Parses the headers of a request and determines its route and deadline.
    fn parse(
        &self,
        snapshot: &Snapshot,
        request: &CallerRequest,
        now: Time,
    ) -> Result<(Request, CallerFields), Error> {
        check_len(&request.headers, snapshot.limits().max_header_bytes)?;
        check_body_len(&request.body, snapshot.limits().max_body_bytes)?;
        let fields = self.dependencies.protocol.read(&request.headers)?;
        let host = request.headers.get(http::header::HOST);
        let incoming = IncomingRequest {
            host: host.map_or(&[], |host| host.as_bytes()),
            method: request.method.as_str().as_bytes(),
            path: request.uri.path().as_bytes(),
            id: fields.id.clone(),
            id_limit: self.dependencies.protocol.id_limit(),
            time_left: fields.time_left,
            depth: fields.depth,
            is_nested: fields.is_nested,
            random: rand::random(),
            draw: rand::random_range(0..DRAWS),
        };
        let parsed =
            Request::from_incoming(snapshot, &incoming, &self.dependencies.wait_estimator, now)?;
        Ok((parsed, fields))
    }
}

/// Determines the organisation that a request is run for, or the reason for its refusal.
fn authorize(
    snapshot: &Snapshot,
    request: &Request,
    fields: &CallerFields,
    is_current: bool,
) -> Result<Option<OrganisationKey>, NotRun> {
    let route = snapshot.route(request.route);
    let organisation = access::authorize(snapshot, route, fields.credential, is_current);
    organisation.map_err(access::Error::reason)
}

/// The response to a request beyond the quota, with the time after which to come back.
fn beyond_quota(wait: Duration) -> Response {
    let mut response = Response::without_answer(Outcome::NotRun(NotRun::QuotaExceeded));
    response.head.retry_after_us = Some(wait.as_micros() as u64);
    response
}

/// The reason that is reported for a request that cannot be accepted.
///
/// A node that does not know whether its configuration is the newest does not claim that
/// there is no route, or that a limit holds.
fn refusal(err: &Error, is_current: bool) -> NotRun {
    match err.reason() {
        NotRun::NoRoute | NotRun::HeadersTooLong | NotRun::BodyTooLong if !is_current => {
            NotRun::OutdatedConfig
        }
        reason => reason,
    }
}

/// Checks the limit of header fields. It bounds the names and the values, without the
/// separators, so that a caller that counts less than all bytes of a head stays within it.
fn check_len(headers: &HeaderMap, limit: Option<u32>) -> Result<(), Error> {
    let Some(limit) = limit else {
        return Ok(());
    };
    let fields = headers.iter();
    let len = fields.map(|(name, value)| name.as_str().len() + value.len());
    let len: usize = len.sum();
    match len > limit as usize {
        true => Err(Error::HeadersTooLong { len, limit }),
        false => Ok(()),
    }
}

/// Checks the announced length of a body. One that is longer than it announces, or announces
/// none, ends with its connection.
fn check_body_len(body: &Body, limit: Option<u64>) -> Result<(), Error> {
    let len = http_body::Body::size_hint(body).lower();
    match limit {
        Some(limit) if len > limit => Err(Error::BodyTooLong { len, limit }),
        _ => Ok(()),
    }
}

/// The reason that is reported for a request whose body cannot be read to its end.
fn unreadable_body(err: &io::Error) -> NotRun {
    match body::is_malformed(err) {
        true => NotRun::InvalidBody,
        false => NotRun::BodyLost,
    }
}

/// HTTP status of a refusal after which the caller may send the same request again.
const UNAVAILABLE: u16 = 503;

/// Sets the retry time of a refused request that may succeed later, if it has none.
/// `left` is the time that its caller has left; `None` for a request that was not parsed.
fn set_default_retry_after(response: &mut Response, left: Option<Duration>) {
    let head = &mut response.head;
    if matches!(head.outcome, Outcome::NotRun(reason) if reason.status() == UNAVAILABLE) {
        let wait = return_wait(left, rand::random());
        head.retry_after_us.get_or_insert(wait.as_micros() as u64);
    }
}

fn path_and_query(uri: &Uri) -> Bytes {
    let text = uri.path_and_query().map_or("/", |p| p.as_str());
    Bytes::copy_from_slice(text.as_bytes())
}
