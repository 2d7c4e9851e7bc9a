//! Handlers of health probes and of the endpoints with which tests inject faults and read results.

use crate::backend::{Backend, Lifecycle, increment, pause};
use crate::faults::Faults;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::state::{FromState, State, client_addr};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use std::time::Duration;

/// Longest accepted body of `PUT /faults`, in bytes.
const MAX_FAULTS_LEN: usize = 4_096;
/// Longest time that a probe waits for a slot.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(5);

/// Response body of `GET /health`.
#[derive(Serialize)]
struct Health {
    state: Lifecycle,
    running: usize,
    slots: usize,
}

/// `GET /health`: 200 if the server is ready or warming, else 503. A probe takes a slot like a
/// request; it gets 503 if none becomes free in time.
pub(crate) async fn health(backend: &Backend, state: &mut State) -> Response<Body> {
    increment(&backend.counters.probes);
    let Ok(_slot) = backend.slots.take(MAX_PROBE_WAIT).await else {
        return create_empty_response(state, StatusCode::SERVICE_UNAVAILABLE);
    };
    pause(backend.options.probe_cost).await;
    let health = Health {
        state: *backend.state().borrow(),
        running: backend.slots.running(),
        slots: backend.options.slots,
    };
    let status = match health.state {
        Lifecycle::Warming | Lifecycle::Ready => StatusCode::OK,
        Lifecycle::Draining | Lifecycle::Gone => StatusCode::SERVICE_UNAVAILABLE,
    };
    json(state, status, &health)
}

/// `PUT /faults`: replaces all faults, and responds with the faults that it has read.
pub(crate) async fn put_faults(backend: &Backend, state: &mut State) -> Response<Body> {
    let body = Limited::new(Body::take_from(state), MAX_FAULTS_LEN);
    let body = body.collect().await.map(|b| b.to_bytes());
    let faults: Faults = match serde_json::from_slice(&body.unwrap_or_default()) {
        Ok(faults) => faults,
        Err(e) => {
            let text = e.to_string();
            let plain = mime::TEXT_PLAIN_UTF_8;
            return create_response(state, StatusCode::BAD_REQUEST, plain, text);
        }
    };
    log::info!(target: "program", "faults set to {faults:?}");
    if faults.silence_connections {
        backend.connections.silence(client_addr(state));
    }
    let response = json(state, StatusCode::OK, &faults);
    backend.fault_injector.lock().set(faults);
    response
}

/// `GET /faults`: the faults that are injected now.
pub(crate) fn get_faults(backend: &Backend, state: &State) -> Response<Body> {
    json(state, StatusCode::OK, &backend.faults())
}

/// `GET /ledger`: the requests that ran.
pub(crate) fn get_ledger(backend: &Backend, state: &State) -> Response<Body> {
    json(state, StatusCode::OK, &backend.ledger.to_doc())
}

/// `DELETE /ledger`: removes all entries.
pub(crate) fn delete_ledger(backend: &Backend, state: &State) -> Response<Body> {
    backend.ledger.clear();
    create_empty_response(state, StatusCode::NO_CONTENT)
}

/// `GET /stats`: the counters of the server.
pub(crate) fn stats(backend: &Backend, state: &State) -> Response<Body> {
    json(state, StatusCode::OK, &backend.stats())
}

fn json(state: &State, status: StatusCode, doc: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(doc).expect("strings and numbers can be written as JSON");
    create_response(state, status, mime::APPLICATION_JSON, body)
}
