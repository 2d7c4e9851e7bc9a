//! HTTP exchange of one request with a backend server.

use super::dispatcher::Slot;
use super::pool::{Pool, PooledConnection};
use super::unsized_body::{self, UnsizedBody};
use crate::body::{self, Body, LimitedRead, ReadToEnd, TrackedBody};
use crate::carrier::Response;
use crate::guarded::CompletionGuard;
use crate::headers;
use crate::protocol::{Mismatch, ServerAnswer, ServerNotice, ServerProtocol};
use crate::request_log;
use crate::streamed::{Deadline, StreamedBody};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use knapweed_host::{Answer, ByteBudget, NotRun, Outcome, Unknown};
use knapweed_observe::metrics::LabeledCounter;
use knapweed_observe::part;
use knapweed_timer::TimerService;
use knapweed_wire::{RequestHead, ResponseHead};
use knapweed_world::Time;
use knapweed_world::backend_server::Announcement;
use std::io;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest body of a refusal, in bytes, that is read so that the connection can be
/// reused.
const MAX_REFUSAL_LEN: usize = 4 * 1024;
/// Time limit for reading it; the caller waits for the refusal meanwhile.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest response, in bytes, that is buffered before any of it is forwarded.
/// A buffered response that turns out to be truncated can still be replaced.
const MAX_BUFFERED_RESPONSE_LEN: usize = 256 * 1024;
/// Statuses of a final response (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Attempts to find a connection that the backend server has not closed before
/// anything was sent on it.
const MAX_STALE_CONNECTIONS: usize = 3;

/// A request with what is needed to send it to a backend server.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Arc<Pool>,
    pub(super) server: &'a Announcement,
    pub(super) protocol: &'a dyn ServerProtocol,
    /// Receives what the backend server states about itself in an answer.
    pub(super) observe: &'a (dyn Fn(ServerNotice) + Send + Sync),
    /// Limits the response bodies that are buffered.
    pub(super) buffered: &'a Arc<ByteBudget>,
    /// Counts the responses that do not answer the request, by [`Mismatch`].
    pub(super) rejections: &'a LabeledCounter,
    /// Whether the availability zone of the backend server is evacuated.
    pub(super) is_evacuated: &'a AtomicBool,
    pub(super) timer: TimerService,
    pub(super) head: RequestHead,
    pub(super) deadline: Time,
}

impl Exchange<'_> {
    /// Sends the request over a connection of the pool. Returns when the head of
    /// the response has arrived, and its body if that is short enough to buffer.
    pub(super) async fn run(self, slot: Slot, body: Body) -> Result<Response, Outcome> {
        let left = self.deadline.since(self.timer.now());
        let (body, request_end) = TrackedBody::watch(body);
        let request = self.request(body, left).map_err(Outcome::NotRun)?;
        let mut sent = false;
        let exchange = self.send(slot, request, request_end, &mut sent);
        match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) if sent => Err(Outcome::Unknown(Unknown::DeadlinePassed)),
            Err(_) => Err(Outcome::NotRun(NotRun::DeadlinePassed)),
        }
    }

    fn request(&self, body: Body, left: Duration) -> Result<Request<Body>, NotRun> {
        let invalid = |_| NotRun::InvalidHeader;
        let head = &self.head;
        let method = Method::from_bytes(&head.method);
        let mut request = Request::new(body);
        *request.method_mut() = method.map_err(|_| NotRun::InvalidHeader)?;
        *request.uri_mut() = Uri::from_maybe_shared(head.path.clone()).map_err(invalid)?;
        let fields = request.headers_mut();
        headers::add_from_wire(fields, &head.headers);
        self.protocol.prepare(head, self.server, left, fields);
        Ok(request)
    }

    async fn send(
        &self,
        mut slot: Slot,
        mut request: Request<Body>,
        request_end: ReadToEnd,
        sent: &mut bool,
    ) -> Result<Response, Outcome> {
        for _ in 0..MAX_STALE_CONNECTIONS {
            let mut pooled = self.pool.acquire().await.map_err(Outcome::NotRun)?;
            if pooled.sender().ready().await.is_err() {
                continue;
            }
            // The request may have waited for a connection when the evacuation began.
            if self.is_evacuated.load(Ordering::SeqCst) {
                return Err(Outcome::NotRun(NotRun::Evacuated));
            }
            *sent = true;
            pooled.allowance().renew();
            match pooled.sender().try_send_request(request).await {
                Ok(response) => {
                    slot.mark_answered();
                    let running = RunningExchange {
                        _slot: slot,
                        pooled: Some(pooled),
                        request_end,
                    };
                    return self.read_response(response, running).await;
                }
                Err(mut err) => match err.take_message() {
                    // hyper returns a request that it has not begun to write.
                    Some(unsent) => {
                        *sent = false;
                        request = unsent;
                    }
                    None => {
                        self.log_unreadable(err.error());
                        return Err(Outcome::Unknown(Unknown::ServerCrashed));
                    }
                },
            }
        }
        Err(Outcome::NotRun(NotRun::ConnectFailed))
    }

    /// Counts and logs a response that does not answer the request; returns the outcome.
    fn reject(&self, reason: Mismatch, status: StatusCode) -> Outcome {
        self.rejections.inc(reason as usize);
        request_log::answer_rejected(&self.head, status.as_u16(), reason);
        Outcome::Unknown(Unknown::ForeignResponse)
    }

    /// Logs a response that is not one in the protocol, or whose head is too long.
    fn log_unreadable(&self, err: &hyper::Error) {
        if err.is_parse() {
            log::warn!(
                target: part::EGRESS,
                "cannot read the response of the backend server at {}: {err}", self.server.address
            );
        }
    }

    async fn read_response(
        &self,
        response: http::Response<Incoming>,
        running: RunningExchange,
    ) -> Result<Response, Outcome> {
        let (parts, incoming) = response.into_parts();
        if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
            return Err(self.reject(Mismatch::InvalidStatus, parts.status));
        }
        let is_unsized = unsized_body::ends_with_connection(&parts.headers, &incoming);
        match self.protocol.interpret(&self.head, &parts) {
            ServerAnswer::Answered => (self.observe)(self.protocol.notice(&parts)),
            ServerAnswer::Refused(reason) => {
                (self.observe)(self.protocol.notice(&parts));
                drain_refusal(incoming, running).await;
                return Err(Outcome::NotRun(reason));
            }
            ServerAnswer::RefusedUnnamed(reason) if !running.is_connection_used() => {
                (self.observe)(self.protocol.notice(&parts));
                return Err(Outcome::NotRun(reason));
            }
            // Dropping `running` closes the connection: anything else that arrives on
            // it belongs to no known request.
            ServerAnswer::RefusedUnnamed(_) => {
                return Err(self.reject(Mismatch::UnnamedRefusal, parts.status));
            }
            ServerAnswer::Mismatched(reason) => return Err(self.reject(reason, parts.status)),
        }
        let head = ResponseHead {
            outcome: Outcome::Answered(Answer::Complete),
            crashed: false,
            status: parts.status.as_u16(),
            headers: headers::to_wire(&parts.headers, |_| true),
            retry_after_us: None,
            load: None,
        };
        let body = self.response_body(incoming, is_unsized, running).await?;
        Ok(Response { head, body })
    }
}

impl Exchange<'_> {
    /// Buffers a short response; a longer one is streamed while it arrives.
    async fn response_body(
        &self,
        incoming: Incoming,
        is_unsized: bool,
        mut running: RunningExchange,
    ) -> Result<Body, Outcome> {
        if hyper::body::Body::is_end_stream(&incoming) {
            running.complete();
            return Ok(body::empty());
        }
        let mut incoming = incoming.map_err(io::Error::other).boxed_unsync();
        if is_unsized {
            incoming = UnsizedBody::new(incoming, running.request_end.clone()).boxed();
        }
        let incoming = match &running.pooled {
            Some(pooled) => {
                let allowance = pooled.allowance();
                allowance.renew();
                allowance.renew_with(incoming)
            }
            None => incoming,
        };
        match body::read_up_to(incoming, MAX_BUFFERED_RESPONSE_LEN, self.buffered).await {
            Ok(LimitedRead::Whole(bytes)) => {
                running.complete();
                Ok(body::full(bytes))
            }
            Ok(LimitedRead::Longer { body, .. }) => {
                let deadline = Deadline {
                    timer: self.timer.clone(),
                    left: self.deadline.since(self.timer.now()),
                    part: part::EGRESS,
                    from: self.server.address,
                };
                Ok(StreamedBody::new(body, running, deadline).boxed())
            }
            Err(_) => Err(Outcome::Unknown(Unknown::Truncated)),
        }
    }
}

/// Reads the body of a refusal, so that the connection can be reused. A body that is long
/// or slow ends with the connection.
async fn drain_refusal(incoming: Incoming, mut running: RunningExchange) {
    let body = Limited::new(incoming, MAX_REFUSAL_LEN).collect();
    if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await {
        running.complete();
    }
}

/// The slot and the connection of a running exchange. Dropping it aborts the
/// exchange.
struct RunningExchange {
    _slot: Slot,
    pooled: Option<PooledConnection>,
    request_end: ReadToEnd,
}

impl RunningExchange {
    fn is_connection_used(&self) -> bool {
        self.pooled.as_ref().is_some_and(PooledConnection::is_used)
    }
}

impl CompletionGuard for RunningExchange {
    fn complete(&mut self) {
        let Some(pooled) = self.pooled.take() else {
            return;
        };
        // A backend server that responded early still expects the rest of the
        // request body, so the connection cannot carry another request.
        if self.request_end.is_reached() {
            pooled.complete();
        }
    }
}
