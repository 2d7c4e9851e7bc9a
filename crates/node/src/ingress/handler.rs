//! The gotham handler for the requests of callers.

use super::{CallerRequest, Ingress};
use crate::body::Body;
use crate::carrier::Response;
use crate::guarded::{CompletionGuard, GuardedBody};
use crate::headers;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::state::{FromState, State};
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use http::{Method, StatusCode, Uri};
use knapweed_host::{Drain, NotRun};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Gotham handler that runs the requests of callers through the ingress.
pub struct CallerHandler {
    ingress: AssertUnwindSafe<Arc<Ingress>>,
}

impl Clone for CallerHandler {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.ingress))
    }
}

impl CallerHandler {
    /// Creates a handler that runs requests through `ingress`.
    pub fn new(ingress: Arc<Ingress>) -> Self {
        Self {
            ingress: AssertUnwindSafe(ingress),
        }
    }
}

impl NewHandler for CallerHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for CallerHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let request = CallerRequest {
                method: Method::take_from(&mut state),
                uri: Uri::take_from(&mut state),
                headers: HeaderMap::take_from(&mut state),
                body: Body::take_from(&mut state),
            };
            let response = serve(&self.ingress, request).await;
            Ok((state, response))
        })
    }
}

async fn serve(ingress: &Ingress, request: CallerRequest) -> http::Response<Body> {
    let drain = ingress.drain();
    let running = match Running::start(drain, ingress) {
        Ok(running) => running,
        Err(reason) => {
            let refused = ingress.refuse(&request, reason);
            return to_http(ingress, refused, true);
        }
    };
    let response = ingress.run(request).await;
    let mut response = to_http(ingress, response, drain.closes_connections());
    // The request counts as running until the whole response was sent to its caller.
    let body = std::mem::take(response.body_mut());
    *response.body_mut() = GuardedBody::new(body, running).boxed();
    response
}

fn to_http(ingress: &Ingress, response: Response, close: bool) -> http::Response<Body> {
    let outcome = response.head.outcome;
    let mut http = http::Response::new(response.body);
    let status = outcome.status().unwrap_or(response.head.status);
    *http.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let header_map = http.headers_mut();
    headers::add_from_wire(header_map, &response.head.headers);
    let retry_after = response.head.retry_after_us.map(Duration::from_micros);
    ingress
        .protocol()
        .describe(outcome, retry_after, header_map);
    if close {
        header_map.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    http
}

/// A request that the node has accepted and not finished; dropping it ends the
/// request for the drain.
struct Running(Arc<Drain>);

impl Running {
    fn start(drain: &Arc<Drain>, ingress: &Ingress) -> Result<Self, NotRun> {
        drain.arrive(ingress.dependencies.timer.now())?;
        Ok(Self(Arc::clone(drain)))
    }
}

impl CompletionGuard for Running {
    fn complete(&mut self) {}
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.end();
    }
}
