//! Log lines about requests: what was decided, from what, and what came of it.
//!
//! A request that one backend server answers at the first try gets one line, at
//! its ingress. Every other decision gets a line of its own, at the ingress or the
//! egress that made it. Both kinds are limited, each by itself, so that a flood of
//! answers does not hide the failures.

use bytes::Bytes;
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

/// Lines in a second about requests that went as usual. A node of the largest
/// deployment takes 140 requests a second.
const USUAL_PER_S: u16 = 100;
/// Lines in a second about all others. With four lines for a request that is
/// tried twice and refused, that explains 50 failures in a second.
const UNUSUAL_PER_S: u16 = 200;

static USUAL: RateLimit = RateLimit::per_second(USUAL_PER_S);
static UNUSUAL: RateLimit = RateLimit::per_second(UNUSUAL_PER_S);

/// Longest part of a caller's name of a request that is written, in bytes.
const MAX_ID_LEN: usize = 64;
/// First status that tells a fault of a backend server.
const SERVER_ERROR: u16 = 500;

/// The caller's name of a request, as text.
#[derive(Clone, Copy, Debug)]
pub struct RequestId<'a>(pub Option<&'a Bytes>);

impl fmt::Display for RequestId<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(id) = self.0 else {
            return f.write_str("-");
        };
        let part = &id[..id.len().min(MAX_ID_LEN)];
        write!(f, "{}", String::from_utf8_lossy(part).escape_debug())
    }
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Whether the line may be written, and what was left out before it.
fn permit(is_usual: bool) -> Option<Suppressed> {
    match is_usual {
        true => USUAL.permit(),
        false => UNUSUAL.permit(),
    }
}

/// A request at its ingress, from its arrival to its end. One that is dropped
/// before its end was given up by its caller.
#[derive(Debug)]
pub(crate) struct IngressLog<'a> {
    snapshot: &'a Snapshot,
    timer: &'a TimerService,
    arrived: Time,
    id: Option<Bytes>,
    request: Option<Request>,
    tries: u8,
    is_over: bool,
}

impl<'a> IngressLog<'a> {
    pub(crate) fn new(snapshot: &'a Snapshot, timer: &'a TimerService) -> Self {
        Self {
            snapshot,
            timer,
            arrived: timer.now(),
            id: None,
            request: None,
            tries: 0,
            is_over: false,
        }
    }

    /// The caller has named the request.
    pub(crate) fn named(&mut self, id: Option<Bytes>) {
        self.id = id;
    }

    /// The request has a route and a deadline.
    pub(crate) fn taken(&mut self, request: &Request) {
        self.request = Some(request.clone());
    }

    /// The request ended with this response.
    pub(crate) fn ended(&mut self, response: &ResponseHead) {
        self.is_over = true;
        let is_answered = matches!(response.outcome, Outcome::Answered(_));
        let is_usual = self.tries <= 1 && is_answered && response.status < SERVER_ERROR;
        self.write(response.outcome, response, is_usual);
    }

    fn write(&self, outcome: Outcome, response: &ResponseHead, is_usual: bool) {
        let Some(left_out) = permit(is_usual) else {
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
}

impl Drop for IngressLog<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let outcome = Outcome::Unknown(Unknown::CallerLeft);
            self.write(outcome, &ResponseHead::without_answer(outcome), false);
        }
    }
}

/// What was known of a backend server when a request was sent to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    reported: Option<(ReportedLoad, Time)>,
    in_flight: u32,
    failed_percent: u32,
    sent_at: Time,
}

impl Known {
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

/// One try of a request that was not answered.
pub(crate) struct Try<'a> {
    pub(crate) server: &'a BackendServer,
    pub(crate) reason: Reason,
    pub(crate) known: Known,
    pub(crate) response: &'a ResponseHead,
    pub(crate) decision: Decision,
}

/// Tries.
impl IngressLog<'_> {
    /// A backend server was chosen.
    pub(crate) fn sent(&mut self) {
        self.tries = self.tries.saturating_add(1);
    }

    /// A try ended without an answer.
    pub(crate) fn tried(&self, end: &Try<'_>) {
        let Some(left_out) = permit(false) else {
            return;
        };
        let (now, known) = (self.timer.now(), &end.known);
        let reported = known.reported.as_ref();
        log::info!(
            target: part::INGRESS,
            request:% = RequestId(self.id.as_ref()),
            config = self.snapshot.version().0,
            tries = self.tries,
            host:% = self.snapshot.host(end.server.host).name,
            server:% = end.server.address,
            version:% = end.server.version,
            chosen:? = end.reason,
            in_flight = known.in_flight,
            failed_percent = known.failed_percent,
            reported_wait_ms = reported.map(|(r, _)| ms(r.wait)),
            reported_free = reported.map(|(r, _)| r.free),
            report_age_ms = reported.map(|(_, at)| ms(known.sent_at.since(*at))),
            status = end.response.status,
            took_ms = ms(now.since(known.sent_at)),
            retry_after_ms = end.response.retry_after_us.map(|us| us / 1_000),
            decision:? = end.decision,
            left_out = left_out.0;
            "try {}", end.response.outcome
        );
    }

    /// No backend server can be chosen.
    pub(crate) fn unplaced(&self, reason: NotRun) {
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

/// The queue of a backend server when a request came to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueState {
    pub(crate) running: u32,
    pub(crate) queued: usize,
}

/// A request at its egress.
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
    /// The request with this head, which came to a queue or found none.
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

    /// Tells how the request ended, unless it was answered as usual.
    pub(crate) fn ended(&self, response: &ResponseHead, took: Duration) {
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
            took_ms = ms(took),
            retry_after_ms = response.retry_after_us.map(|us| us / 1_000),
            left_out = left_out.0;
            "{}", response.outcome
        );
    }
}

/// Tells that the caller or its ingress gave up a request at the egress.
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
