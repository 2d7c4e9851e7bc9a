//! The HTTP server and the dispatch of requests to their handlers.

use crate::backend::{Backend, increment};
use crate::{control, handler};
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::{Method, Response, Uri};
use std::panic::RefUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves callers and the control endpoints until the future is dropped.
pub async fn serve(listener: TcpListener, backend: Arc<Backend>) {
    let connections = Arc::clone(&backend.connections);
    gotham::bind_server(listener, Service(backend), move |stream| {
        connections.accept(stream)
    })
    .await
}

/// Handler of all paths; it replaces a gotham router.
#[derive(Clone)]
struct Service(Arc<Backend>);

/// A panic in a handler leaves no inconsistent state, since every change is a single step under a
/// lock or on an atomic.
impl RefUnwindSafe for Service {}

impl NewHandler for Service {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Service {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let response = dispatch(self.0, &mut state).await;
            Ok((state, response))
        })
    }
}

async fn dispatch(backend: Arc<Backend>, state: &mut State) -> Response<Body> {
    let method = Method::borrow_from(state).clone();
    let uri = Uri::borrow_from(state).clone();
    match (method.as_str(), uri.path()) {
        ("GET", "/health") => control::health(&backend, state).await,
        ("PUT", "/faults") => control::put_faults(&backend, state).await,
        ("GET", "/faults") => control::get_faults(&backend, state),
        ("GET", "/ledger") => control::get_ledger(&backend, state),
        ("DELETE", "/ledger") => control::delete_ledger(&backend, state),
        ("GET", "/stats") => control::stats(&backend, state),
        _ => {
            increment(&backend.counters.arrived);
            handler::handle(backend, state).await
        }
    }
}
