//! HTTP server for callers.
//!
//! Gotham's own server gives no control over its connections, so this one runs
//! gotham handlers on connections that it tracks: idle connections are closed
//! after the configured timeout, and all connections when the node stops.

mod metered;
mod open;

pub use open::OpenConnections;

use crate::request_log;
use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use knapweed_host::{ByteBudget, CallerBounds};
use knapweed_observe::metrics::LabeledCounter;
use knapweed_observe::{Metrics, part};
use knapweed_timer::TimerService;
use knapweed_world::{SnapshotCell, Time};
use metered::{DownloadBody, MeteredStream, UploadBody};
use open::{Entry, OpenConnection, Phase};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, UnwindSafe};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept, so that the loop does not spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Length of the header fields for which the buffer of every connection has room, in bytes.
/// The buffer of an open connection cannot grow, and a later configuration may raise the limit;
/// the ingress enforces the limit of the configuration in force.
const MIN_HEADERS_LEN: usize = 64 * 1024;
/// Room for the request line in the buffer of a connection, in bytes.
const REQUEST_LINE_LEN: usize = 16 * 1024;
/// Maximum number of header lines of a request. hyper's default of 100 refused requests that
/// no limit of the configuration forbids.
const MAX_HEADER_LINES: usize = 1_024;
/// Room for the separators of the header lines in the buffer of a connection, in bytes: a
/// colon, a space and the end of the line for each.
const SEPARATORS_LEN: usize = 4 * MAX_HEADER_LINES;

/// Longest header fields, in bytes, when the configuration sets no limit.
const DEFAULT_HEADER_BYTES: usize = 64 * 1024;
/// Longest time that a connection may stay idle when the configuration sets no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits of connections, read again whenever they apply, so that a change of the
/// configuration takes effect.
pub trait ConnectionLimits: Send + Sync {
    /// Longest names and values of the header fields of a request, in bytes; read when a
    /// connection is accepted.
    fn max_header_bytes(&self) -> usize;

    /// Time after which an idle connection is closed, or one whose caller has stopped within a
    /// request body.
    fn idle_timeout(&self) -> Duration;

    /// Longest request body, in bytes; `None` without a limit.
    fn max_body_bytes(&self) -> Option<u64>;
}

/// What all connections of callers may hold, on all listeners of a host.
#[derive(Clone)]
pub struct CallerMemory {
    /// The open connections.
    pub connections: Arc<OpenConnections>,
    /// Bytes of heads, bodies and responses.
    pub budget: Arc<ByteBudget>,
}

impl CallerMemory {
    /// Memory with the limits `bounds`.
    pub fn new(bounds: CallerBounds, timer: TimerService) -> Self {
        let connections = Arc::new(OpenConnections::new(bounds.connections, timer));
        let holders = Arc::clone(&connections);
        Self {
            connections,
            budget: Arc::new(ByteBudget::reclaimed_from(bounds.memory, holders)),
        }
    }
}

/// Connection limits of the configuration in force.
#[derive(Debug)]
pub struct ConfiguredLimits(Arc<SnapshotCell>);

impl ConfiguredLimits {
    /// The limits of the current snapshot in `snapshots`.
    pub fn new(snapshots: Arc<SnapshotCell>) -> Self {
        Self(snapshots)
    }
}

impl ConnectionLimits for ConfiguredLimits {
    fn max_header_bytes(&self) -> usize {
        let limit = self.0.load().limits().max_header_bytes;
        limit.map_or(DEFAULT_HEADER_BYTES, |bytes| bytes as usize)
    }

    fn idle_timeout(&self) -> Duration {
        let limit = self.0.load().limits().idle_timeout_ms;
        let limit = limit.filter(|ms| *ms > 0);
        limit.map_or(DEFAULT_IDLE_TIMEOUT, |ms| Duration::from_millis(ms.into()))
    }

    fn max_body_bytes(&self) -> Option<u64> {
        self.0.load().limits().max_body_bytes
    }
}

/// Counters of the connections of callers; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionMetrics {
    /// Requests refused before a handler read them, by [`Unread`].
    unread: LabeledCounter,
}

/// Why a request was refused before a handler read it.
#[derive(Clone, Copy, Debug)]
enum Unread {
    /// The head is malformed: status 400.
    Malformed,
    /// The request target or the head is too long: status 414 or 431.
    TooLong,
}

impl Unread {
    /// Values of the label of the metric, in the order of the variants.
    const LABELS: [&str; 2] = ["malformed", "too-long"];

    fn of(err: &hyper::Error) -> Self {
        match err.is_parse_too_large() {
            true => Self::TooLong,
            false => Self::Malformed,
        }
    }
}

impl ConnectionMetrics {
    /// Registers the metrics in `metrics`.
    pub fn register(metrics: &Metrics) -> Self {
        Self {
            unread: metrics.register(
                "requests_refused_unread",
                "Requests refused before a handler read them, by reason",
                LabeledCounter::new("reason", Unread::LABELS),
            ),
        }
    }
}

/// What the connections of callers need from the rest of the node.
#[derive(Clone)]
pub struct Dependencies {
    /// Limits of the configuration in force.
    pub limits: Arc<dyn ConnectionLimits>,
    /// Counters of the connections.
    pub metrics: ConnectionMetrics,
    /// What the connections may hold.
    pub memory: CallerMemory,
    /// Clock for idle times.
    pub timer: TimerService,
}

/// Activity of a connection, from which its idle time follows.
#[derive(Debug)]
struct Activity {
    /// Time in the unit of [`Time`] at which the last request started or ended.
    at: AtomicU64,
    /// Number of running requests.
    running: AtomicU64,
}

/// A running request on a connection; dropping it ends its activity.
struct ActiveRequest {
    activity: Arc<Activity>,
    timer: TimerService,
}

impl ActiveRequest {
    fn start(activity: Arc<Activity>, timer: TimerService) -> Self {
        activity.running.fetch_add(1, Ordering::AcqRel);
        activity.at.store(timer.now().0, Ordering::Release);
        Self { activity, timer }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.timer.now();
        self.activity.at.store(now.0, Ordering::Release);
        self.activity.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves callers with a gotham handler until `stop` becomes true. From then on no
/// connection is accepted, and each open one closes after its running request.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    dependencies: Dependencies,
    mut stop: watch::Receiver<bool>,
) where
    H: Clone + NewHandler + Send + Sync + UnwindSafe + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, from)) => {
                // Without an entry all other callers are being served; the connection is closed.
                let Some(entry) = dependencies.memory.connections.open() else {
                    continue;
                };
                let connection = Connection {
                    from,
                    entry,
                    dependencies: dependencies.clone(),
                    stop: stop.clone(),
                };
                tokio::spawn(connection.run(stream, handler.clone()));
            }
            Err(err) => {
                log::warn!(target: part::INGRESS, "failed to accept a connection: {err}");
                dependencies.timer.sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Length of the buffer of a connection, in bytes, when the header fields may have
/// `max_header_bytes`.
fn buffer_len(max_header_bytes: usize) -> usize {
    max_header_bytes.max(MIN_HEADERS_LEN) + REQUEST_LINE_LEN + SEPARATORS_LEN
}

/// One connection of a caller.
struct Connection {
    from: SocketAddr,
    entry: Entry,
    dependencies: Dependencies,
    stop: watch::Receiver<bool>,
}

impl Connection {
    /// Serves the connection until it ends or has to make room for others.
    async fn run<H>(mut self, stream: TcpStream, handler: H)
    where
        H: Clone + NewHandler + Send + UnwindSafe + 'static,
    {
        let open = Arc::clone(&self.entry.connection);
        let (limits, timer) = (
            Arc::clone(&self.dependencies.limits),
            self.dependencies.timer.clone(),
        );
        // In this order: no request starts on a connection that is being closed, and what has
        // arrived is read before its caller counts as still.
        tokio::select! {
            biased;
            () = open.closed() => {}
            () = self.serve(stream, handler) => {}
            () = wait_until_still(&open, &*limits, &timer) => {}
        }
    }

    async fn serve<H>(&mut self, stream: TcpStream, handler: H)
    where
        H: Clone + NewHandler + Send + UnwindSafe + 'static,
    {
        // Nagle's algorithm would delay a small response until the previous one is
        // acknowledged.
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(target: part::INGRESS, "connection of {}: {err}", self.from);
            return;
        }
        let activity = Arc::new(Activity {
            at: AtomicU64::new(self.dependencies.timer.now().0),
            running: AtomicU64::new(0),
        });
        let service = self.service(Arc::clone(&activity), handler);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .max_headers(MAX_HEADER_LINES)
            .max_buf_size(buffer_len(self.dependencies.limits.max_header_bytes()));
        let stream = MeteredStream::new(
            stream,
            Arc::clone(&self.entry.connection),
            self.dependencies.timer.clone(),
            Arc::clone(&self.dependencies.memory.budget),
        );
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            result = connection.as_mut() => Some(result),
            () = self.wait_until_closing(&activity) => None,
        };
        let result = match ended {
            Some(result) => result,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        match result {
            Err(err) if err.is_parse() => {
                let reason = Unread::of(&err);
                self.dependencies.metrics.unread.inc(reason as usize);
                request_log::refused_unread(self.from, &err);
            }
            Err(err) => {
                log::debug!(target: part::INGRESS, "connection of {} ended: {err}", self.from);
            }
            Ok(()) => {}
        }
    }

    fn service<H>(
        &self,
        activity: Arc<Activity>,
        handler: H,
    ) -> impl hyper::service::Service<
        http::Request<hyper::body::Incoming>,
        Response = http::Response<crate::body::Body>,
        Error = Infallible,
        Future: Send,
    > + use<H>
    where
        H: Clone + NewHandler + Send + UnwindSafe + 'static,
    {
        let (from, timer) = (self.from, self.dependencies.timer.clone());
        let limits = Arc::clone(&self.dependencies.limits);
        let open = Arc::clone(&self.entry.connection);
        hyper::service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let active_request = ActiveRequest::start(Arc::clone(&activity), timer.clone());
            let (open, limit) = (Arc::clone(&open), limits.max_body_bytes());
            let is_open = open.set_phase(Phase::Answer);
            let request = request.map(|body| UploadBody::new(body, Arc::clone(&open), limit));
            let state = AssertUnwindSafe(State::from_request(request, from));
            let handler = handler.clone();
            async move {
                if !is_open {
                    // The task ends; nothing of the request has run.
                    std::future::pending::<()>().await;
                }
                let response = call_handler(handler, state).await;
                let response = response.unwrap_or_else(|err| {
                    log::error!(target: part::INGRESS, "failed to create a handler: {err}");
                    let mut response = http::Response::new(crate::body::empty());
                    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                    response
                });
                drop(active_request);
                Ok(response.map(|body| DownloadBody::new(body, open).boxed_unsync()))
            }
        })
    }

    /// Waits until the connection must be closed: its idle timeout has passed, or
    /// the server stops.
    async fn wait_until_closing(&mut self, activity: &Activity) {
        loop {
            let limit = self.dependencies.limits.idle_timeout();
            let due = Time(activity.at.load(Ordering::Acquire)).after(limit);
            let wait = due.since(self.dependencies.timer.now());
            let is_idle = activity.running.load(Ordering::Acquire) == 0;
            if wait.is_zero() && is_idle {
                return;
            }
            let wait = if wait.is_zero() { limit } else { wait };
            tokio::select! {
                () = self.dependencies.timer.sleep(wait) => {}
                _ = self.stop.wait_for(|stop| *stop) => return,
            }
        }
    }
}

/// Waits until the caller has stopped within a request body for the idle timeout.
async fn wait_until_still(
    open: &OpenConnection,
    limits: &dyn ConnectionLimits,
    timer: &TimerService,
) {
    loop {
        let limit = limits.idle_timeout();
        let left = limit.saturating_sub(open.still_for(timer.now()));
        match (open.is_in(Phase::Body), left.is_zero()) {
            (true, true) => return,
            (true, false) => timer.sleep(left).await,
            (false, _) => timer.sleep(limit).await,
        }
    }
}
