//! Log lines about requests: each decision, its inputs and its result.
//!
//! A request that succeeds at the first attempt gets one line, at its ingress.
//! Every other decision gets a line of its own, at the ingress or the egress that
//! made it. Each of the two kinds has its own rate limit, so that a high rate of
//! successful requests does not suppress the lines about failures.

use crate::protocol::{Mismatch, SERVER_ERROR};
use bytes::Bytes;
use http::header::{HOST, HeaderMap, HeaderValue};
use http::uri::Uri;
use knapweed_host::choice::Reason;
use knapweed_host::request::Request;
use knapweed_host::retry::Decision;
use knapweed_host::{NotRun, Outcome, Unknown};
use knapweed_observe::limit::Suppressed;
use knapweed_observe::{RateLimit, part};
use knapweed_timer::TimerService;
use knapweed_wire::{RequestHead, ResponseHead};
use knapweed_world::load::ReportedLoad;
use knapweed_world::{BackendServer, Name, Rank, Snapshot, Time};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Limit of lines per second about successful first attempts. A node of the largest
/// deployment receives 140 requests per second.
const ROUTINE_LINES_PER_S: u16 = 100;
/// Limit of lines per second about everything else. A request that is attempted
/// twice and refused takes four lines, so this covers 50 failures per second.
const OTHER_LINES_PER_S: u16 = 200;

static ROUTINE_LIMIT: RateLimit = RateLimit::per_second(ROUTINE_LINES_PER_S);
static OTHER_LIMIT: RateLimit = RateLimit::per_second(OTHER_LINES_PER_S);

/// Length, in bytes, to which the caller's identifier of a request is truncated.
const MAX_LOGGED_ID_LEN: usize = 64;
/// Length, in bytes, to which the host, the path and a header of a refused request are
/// truncated.
const MAX_LOGGED_TEXT_LEN: usize = 128;

/// Formats the caller's identifier of a request, escaped and truncated, or `-` when
/// there is none.
#[derive(Clone, Copy, Debug)]
pub struct RequestId<'a>(pub Option<&'a Bytes>);

impl fmt::Display for RequestId<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(id) = self.0 else {
            return f.write_str("-");
        };
        f.write_str(&escape(id, MAX_LOGGED_ID_LEN))
    }
}

/// Escapes text of a caller and truncates it to `limit` bytes.
fn escape(text: &[u8], limit: usize) -> String {
    let part = &text[..text.len().min(limit)];
    String::from_utf8_lossy(part).escape_debug().to_string()
}

/// What is wrong with a request, and where it was addressed to.
#[derive(Debug)]
struct Refusal {
    authority: Option<String>,
    path: String,
    header: Option<&'static str>,
    /// Value of `header`.
    value: Option<String>,
    error: String,
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Returns `None` when the rate limit suppresses a line, and otherwise the number
/// of lines suppressed before it.
fn permit(is_routine: bool) -> Option<Suppressed> {
    match is_routine {
        true => ROUTINE_LIMIT.permit(),
        false => OTHER_LIMIT.permit(),
    }
}

/// Log of a request at its ingress. Dropping it before [`IngressLog::record_outcome`] logs
/// that the caller left.
#[derive(Debug)]
pub(crate) struct IngressLog<'a> {
    snapshot: &'a Snapshot,
    timer: &'a TimerService,
    arrived: Time,
    id: Option<Bytes>,
    request: Option<Request>,
    refusal: Option<Refusal>,
    tries: u8,
    is_finished: bool,
}

impl<'a> IngressLog<'a> {
    pub(crate) fn new(snapshot: &'a Snapshot, timer: &'a TimerService) -> Self {
        Self {
            snapshot,
            timer,
            arrived: timer.now(),
            id: None,
            request: None,
            refusal: None,
            tries: 0,
            is_finished: false,
        }
    }

    /// Sets the caller's identifier of the request, if it sent one.
    pub(crate) fn set_caller_id(&mut self, id: Option<Bytes>) {
        self.id = id;
    }

    /// Sets the request after its route and deadline were determined.
    pub(crate) fn set_request(&mut self, request: &Request) {
        self.request = Some(request.clone());
    }

    /// Sets what is wrong with the request. `header` is the header that cannot be read,
    /// if it is one.
    pub(crate) fn set_refused(
        &mut self,
        (uri, headers): (&Uri, &HeaderMap),
        error: &dyn fmt::Display,
        header: Option<&'static str>,
    ) {
        let text = |value: &HeaderValue| escape(value.as_bytes(), MAX_LOGGED_TEXT_LEN);
        self.refusal = Some(Refusal {
            authority: headers.get(HOST).map(text),
            path: escape(uri.path().as_bytes(), MAX_LOGGED_TEXT_LEN),
            header,
            value: header.and_then(|name| headers.get(name)).map(text),
            error: error.to_string(),
        });
    }

    /// Logs the outcome of the request.
    pub(crate) fn record_outcome(&mut self, response: &ResponseHead) {
        self.is_finished = true;
        if let Some(refusal) = &self.refusal {
            return self.write_refusal(response.outcome, refusal);
        }
        let is_answered = matches!(response.outcome, Outcome::Answered(_));
        let is_routine = self.tries <= 1 && is_answered && response.status < SERVER_ERROR;
        self.write(response.outcome, response, is_routine);
    }

    fn write(&self, outcome: Outcome, response: &ResponseHead, is_routine: bool) {
        let Some(left_out) = permit(is_routine) else {
            return;
        };
        let now = self.timer.now();
        let request = self.request.as_ref();
        let route = request.map(|r| self.snapshot.route(r.route).name.as_str());
        let service = request.map(|r| self.snapshot.service(r.service).name.as_str());
        let deadline = request.map(|r| ms(r.deadline.since(now)));
        let objective = request.and_then(|r| r.objective);
        log::info!(
            target: part::INGRESS,
            request:% = RequestId(self.id.as_ref()),
            config = self.snapshot.version().0,
            route = route,
            service = service,
            depth = request.map_or(0, |r| r.depth),
            tries = self.tries,
            status = outcome.status().unwrap_or(response.status),
            took_ms = ms(now.since(self.arrived)),
            objective_left_ms = objective.map(|time| ms(time.since(now))),
            deadline_left_ms = deadline,
            retry_after_ms = response.retry_after_us.map(|us| us / 1_000),
            left_out = left_out.0;
            "{outcome}"
        );
    }

    /// Logs a request that was refused for what it holds, with what is wrong.
    fn write_refusal(&self, outcome: Outcome, refusal: &Refusal) {
        let Some(left_out) = permit(false) else {
            return;
        };
        let request = self.request.as_ref();
        let route = request.map(|r| self.snapshot.route(r.route).name.as_str());
        log::info!(
            target: part::INGRESS,
            request:% = RequestId(self.id.as_ref()),
            config = self.snapshot.version().0,
            routes = self.snapshot.route_count(),
            route = route,
            status = outcome.status(),
            took_ms = ms(self.timer.now().since(self.arrived)),
            authority = refusal.authority.as_deref(),
            path = refusal.path.as_str(),
            header = refusal.header,
            value = refusal.value.as_deref(),
            error = refusal.error.as_str(),
            left_out = left_out.0;
            "{outcome}"
        );
    }
}

impl Drop for IngressLog<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let outcome = Outcome::Unknown(Unknown::CallerLeft);
            self.write(outcome, &ResponseHead::without_answer(outcome), false);
        }
    }
}

/// Logs a request that was refused before a handler read it: its head is malformed or
/// too long.
pub(crate) fn refused_unread(peer: SocketAddr, error: &dyn fmt::Display) {
    if let Some(left_out) = permit(false) {
        log::info!(
            target: part::INGRESS,
            peer:% = peer,
            error:% = error,
            left_out = left_out.0;
            "not-run: the request head cannot be read"
        );
    }
}

/// Load of a backend server as the ingress saw it when it sent a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadAtSend {
    reported: Option<(ReportedLoad, Time)>,
    in_flight: u32,
    failed_percent: u32,
    sent_at: Time,
}

impl LoadAtSend {
    pub(crate) fn of(server: &BackendServer, rank: Rank, now: Time) -> Self {
        let load = &server.load;
        Self {
            reported: load.report(rank),
            in_flight: load.in_flight(),
            failed_percent: (load.failure_ratio(now) * 100.0) as u32,
            sent_at: now,
        }
    }
}

/// An attempt that was not answered: it did not run, or its outcome is unknown.
pub(crate) struct FailedAttempt<'a> {
    pub(crate) server: &'a BackendServer,
    pub(crate) reason: Reason,
    pub(crate) load_at_send: LoadAtSend,
    pub(crate) response: &'a ResponseHead,
    pub(crate) decision: Decision,
}

/// Log lines about the attempts of the request.
impl IngressLog<'_> {
    /// Counts an attempt; called when a backend server was chosen.
    pub(crate) fn count_attempt(&mut self) {
        self.tries = self.tries.saturating_add(1);
    }

    /// Logs an attempt that was not answered, and the decision that follows.
    pub(crate) fn attempt_failed(&self, attempt: &FailedAttempt<'_>) {
        let Some(left_out) = permit(false) else {
            return;
        };
        let (now, load_at_send) = (self.timer.now(), &attempt.load_at_send);
        let reported = load_at_send.reported.as_ref();
        log::info!(
            target: part::INGRESS,
            request:% = RequestId(self.id.as_ref()),
            config = self.snapshot.version().0,
            tries = self.tries,
            host:% = self.snapshot.host(attempt.server.host).name,
            server:% = attempt.server.address,
            version:% = attempt.server.version,
            chosen:? = attempt.reason,
            in_flight = load_at_send.in_flight,
            failed_percent = load_at_send.failed_percent,
            reported_wait_ms = reported.map(|(r, _)| ms(r.wait)),
            reported_free = reported.map(|(r, _)| r.free),
            report_age_ms = reported.map(|(_, at)| ms(load_at_send.sent_at.since(*at))),
            status = attempt.response.status,
            took_ms = ms(now.since(load_at_send.sent_at)),
            retry_after_ms = attempt.response.retry_after_us.map(|us| us / 1_000),
            decision:? = attempt.decision,
            left_out = left_out.0;
            "try {}", attempt.response.outcome
        );
    }

    /// Logs that no backend server could be chosen.
    pub(crate) fn not_placed(&self, reason: NotRun) {
        let Some(left_out) = permit(false) else {
            return;
        };
        log::info!(
            target: part::INGRESS,
            request:% = RequestId(self.id.as_ref()),
            config = self.snapshot.version().0,
            tries = self.tries,
            hosts = self.snapshot.hosts().count(),
            left_out = left_out.0;
            "not placed: {}", reason.text()
        );
    }
}

/// State of the queue of a backend server when a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueState {
    pub(crate) running: u32,
    pub(crate) queued: usize,
}

/// Log of a request at its egress.
pub(crate) struct EgressLog {
    id: Option<Bytes>,
    route: Name,
    version: Name,
    server: SocketAddr,
    rank: Rank,
    objective_left_us: Option<u64>,
    time_left_us: u64,
    queue: Option<QueueState>,
}

impl EgressLog {
    /// Creates the log of a request. `queue` is `None` when the backend server is
    /// not known on this host.
    pub(crate) fn new(head: &RequestHead, queue: Option<QueueState>) -> Self {
        Self {
            id: head.caller_id.clone(),
            route: head.route.clone(),
            version: head.version.clone(),
            server: head.address,
            rank: head.rank,
            objective_left_us: head.objective_left_us,
            time_left_us: head.time_left_us,
            queue,
        }
    }

    /// Logs the outcome of the request, unless it succeeded.
    pub(crate) fn record_outcome(&self, response: &ResponseHead, duration: Duration) {
        let is_answered = matches!(response.outcome, Outcome::Answered(_));
        if is_answered && response.status < SERVER_ERROR {
            return;
        }
        let Some(left_out) = permit(false) else {
            return;
        };
        log::info!(
            target: part::EGRESS,
            request:% = RequestId(self.id.as_ref()),
            route:% = self.route,
            server:% = self.server,
            version:% = self.version,
            rank = self.rank.0,
            running = self.queue.map(|q| q.running),
            queued = self.queue.map(|q| q.queued),
            objective_left_ms = self.objective_left_us.map(|us| us / 1_000),
            deadline_left_ms = self.time_left_us / 1_000,
            status = response.status,
            took_ms = ms(duration),
            retry_after_ms = response.retry_after_us.map(|us| us / 1_000),
            left_out = left_out.0;
            "{}", response.outcome
        );
    }
}

/// Logs at the egress that a response of a backend server does not answer its request.
pub(crate) fn answer_rejected(head: &RequestHead, status: u16, reason: Mismatch) {
    if let Some(left_out) = permit(false) {
        log::info!(
            target: part::EGRESS,
            request:% = RequestId(head.caller_id.as_ref()),
            route:% = head.route,
            server:% = head.address,
            version:% = head.version,
            status = status,
            left_out = left_out.0;
            "answer rejected: {}", reason.text()
        );
    }
}

/// Logs at the egress that the caller or its ingress cancelled a request.
pub(crate) fn cancelled(id: Option<&Bytes>, from: &dyn fmt::Display) {
    if let Some(left_out) = permit(false) {
        log::info!(
            target: part::EGRESS,
            request:% = RequestId(id),
            node:% = from,
            left_out = left_out.0;
            "cancelled by its ingress"
        );
    }
}
