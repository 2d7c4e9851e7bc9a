//! One exchange with a backend server.

use super::lane::Slot;
use super::pool::{Pool, Pooled};
use crate::body::{self, Body};
use crate::carrier::Response;
use crate::guarded::{Guard, Guarded};
use crate::headers;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use knapweed_host::request::{DEADLINE_MS, DEPTH, SHED};
use knapweed_host::{Answer, NotRun, Outcome, Unknown};
use knapweed_timer::TimerService;
use knapweed_wire::{RequestHead, ResponseHead};
use knapweed_world::Time;
use std::io;
use std::sync::Arc;

/// Header with the identity of the request, for logs of backend servers.
const REQUEST_ID: &str = "knapweed-request-id";
/// Longest body of a refusal that is read to keep the connection, in bytes.
const MAX_REFUSAL_LEN: usize = 4 * 1024;
/// Connections tried that the backend server had closed before anything was sent.
const MAX_STALE: usize = 3;

/// Sends a request over a connection of `pool` and waits for the head of the response.
pub(super) async fn run(
    pool: &Arc<Pool>,
    slot: Slot,
    head: RequestHead,
    body: Body,
    timer: TimerService,
    deadline: Time,
) -> Result<Response, Outcome> {
    let left = deadline.since(timer.now());
    let request = request(&head, body, left.as_millis() as u64).map_err(Outcome::NotRun)?;
    let mut sent = false;
    let exchange = send(pool, slot, request, &mut sent);
    match tokio::time::timeout(left, exchange).await {
        Ok(result) => result,
        Err(_) if sent => Err(Outcome::Unknown(Unknown::DeadlinePassed)),
        Err(_) => Err(Outcome::NotRun(NotRun::DeadlinePassed)),
    }
}

fn request(head: &RequestHead, body: Body, left_ms: u64) -> Result<Request<Body>, NotRun> {
    let invalid = |_| NotRun::InvalidHeader;
    let mut request = Request::new(body);
    *request.method_mut() = Method::from_bytes(&head.method).map_err(|_| NotRun::InvalidHeader)?;
    *request.uri_mut() = Uri::from_maybe_shared(head.path.clone()).map_err(invalid)?;
    let fields = request.headers_mut();
    headers::add_from_wire(fields, &head.headers);
    fields.insert(DEPTH, u16::from(head.depth).into());
    fields.insert(DEADLINE_MS, left_ms.into());
    let id = u128::from_be_bytes(head.id.request.0);
    let id = format!("{id:032x}")
        .parse()
        .map_err(|_| NotRun::InvalidHeader)?;
    fields.insert(REQUEST_ID, id);
    Ok(request)
}

async fn send(
    pool: &Arc<Pool>,
    mut slot: Slot,
    mut request: Request<Body>,
    sent: &mut bool,
) -> Result<Response, Outcome> {
    for _ in 0..MAX_STALE {
        let mut pooled = pool.acquire().await.map_err(Outcome::NotRun)?;
        if pooled.handle().ready().await.is_err() {
            continue;
        }
        *sent = true;
        match pooled.handle().try_send_request(request).await {
            Ok(response) => {
                slot.answered();
                return answer(
                    response,
                    Running {
                        _slot: slot,
                        pooled: Some(pooled),
                    },
                )
                .await;
            }
            Err(mut err) => match err.take_message() {
                // The library returns a request that it did not begin to write.
                Some(unsent) => {
                    *sent = false;
                    request = unsent;
                }
                None => return Err(Outcome::Unknown(Unknown::ServerCrashed)),
            },
        }
    }
    Err(Outcome::NotRun(NotRun::ConnectFailed))
}

async fn answer(response: http::Response<Incoming>, running: Running) -> Result<Response, Outcome> {
    let (parts, incoming) = response.into_parts();
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && parts.headers.contains_key(SHED) {
        refused(incoming, running).await;
        return Err(Outcome::NotRun(NotRun::ShedByServer));
    }
    let head = ResponseHead {
        outcome: Outcome::Answered(Answer::Complete),
        crashed: false,
        status: parts.status.as_u16(),
        headers: headers::to_wire(&parts.headers),
    };
    Ok(Response {
        head,
        body: response_body(incoming, running),
    })
}

fn response_body(incoming: Incoming, mut running: Running) -> Body {
    if hyper::body::Body::is_end_stream(&incoming) {
        running.complete();
        return body::empty();
    }
    let incoming = incoming.map_err(io::Error::other).boxed_unsync();
    Guarded::new(incoming, running).boxed()
}

/// Reads the body of a refusal, so that the connection can be used again.
async fn refused(incoming: Incoming, mut running: Running) {
    if Limited::new(incoming, MAX_REFUSAL_LEN)
        .collect()
        .await
        .is_ok()
    {
        running.complete();
    }
}

/// A slot and a connection in use; dropping it cuts the exchange short.
struct Running {
    _slot: Slot,
    pooled: Option<Pooled>,
}

impl Guard for Running {
    fn complete(&mut self) {
        if let Some(pooled) = self.pooled.take() {
            pooled.complete();
        }
    }
}
