//! The operators' HTTP interface: tickets, configuration, nodes, rollouts, health,
//! metrics, request history, log level, and announcements of this host's backend
//! servers.

pub mod node_metrics;
mod respond;
mod tickets;

use crate::announcer::Announcer;
use crate::control::View;
use crate::control::event::ControlHandle;
use crate::history::HistoryKeeper;
use crate::node::Readiness;
use arc_swap::ArcSwap;
use gotham::handler::HandlerFuture;
use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::State;
use http::StatusCode;
use knapweed_contract::accept::Policy;
use knapweed_contract::api::{
    self, ConfigResponse, NodesResponse, RolloutPhase, RolloutSummary, RolloutsResponse,
};
use knapweed_observe::{Logs, Metrics, history};
use knapweed_rollout::{Phase, RolloutState};
use knapweed_store::ObjectStore;
use knapweed_world::backend_server::Announcement;
use respond::{body, error, json, text};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use tokio::task::spawn_blocking;

/// Longest announcement of a backend server, in bytes.
const MAX_ANNOUNCEMENT_LEN: usize = 4 * 1024;
/// Longest body of a request to change the log level, in bytes.
const MAX_LEVEL_LEN: usize = 1024;

/// Dependencies of the request handlers.
pub struct Dependencies {
    /// Object store that holds the tickets.
    pub store: Arc<dyn ObjectStore>,
    /// Receives announcements of the backend servers of this host.
    pub announcer: Announcer,
    /// Defaults and current shares by which filed tickets are completed and checked.
    pub policy: Policy,
    /// Sends events to the control thread.
    pub control: ControlHandle,
    /// The state that the control thread publishes for operators.
    pub view: Arc<ArcSwap<View>>,
    /// Reports whether the node serves callers.
    pub readiness: Readiness,
    /// The request history of this node.
    pub history: Arc<HistoryKeeper>,
    /// Registry whose metrics are exported at `/metrics`.
    pub metrics: Metrics,
    /// Controls the log level.
    pub logs: Logs,
}

/// The dependencies as gotham's state data, which gotham clones for each request.
#[derive(Clone, StateData)]
struct SharedDependencies(Arc<AssertUnwindSafe<Dependencies>>);

/// Routes of the operators' interface.
pub fn router(dependencies: Dependencies) -> Router {
    let state_middleware = gotham::middleware::state::StateMiddleware::new(SharedDependencies(
        Arc::new(AssertUnwindSafe(dependencies)),
    ));
    let (chain, pipelines) = single_pipeline(new_pipeline().add(state_middleware).build());
    build_router(chain, pipelines, |route| {
        route.post(api::TICKETS).to(tickets::file);
        route.get(api::TICKETS).to(tickets::list);
        route
            .get(&format!("{}/:ticket", api::TICKETS))
            .with_path_extractor::<tickets::TicketPath>()
            .to(tickets::show);
        route.get(api::CONFIG).to(config);
        route.get(api::NODES).to(nodes);
        route.get(api::ROLLOUTS).to(rollouts);
        route.get("/health/live").to(live);
        route.get("/health/ready").to(ready);
        route.get("/metrics").to(metrics);
        route.get(history::PATH).to(show_history);
        route.post("/v1/announce").to(announce);
        route.put("/v1/log-level").to(log_level);
    })
}

fn dependencies(state: &State) -> Arc<AssertUnwindSafe<Dependencies>> {
    Arc::clone(&SharedDependencies::borrow_from(state).0)
}

fn config(state: State) -> (State, http::Response<crate::body::Body>) {
    let config = dependencies(&state).view.load().config.as_ref().clone();
    (state, json(StatusCode::OK, &ConfigResponse { config }))
}

fn nodes(state: State) -> (State, http::Response<crate::body::Body>) {
    let view = dependencies(&state).view.load_full();
    let nodes = NodesResponse {
        nodes: view.nodes.clone(),
        duties: view.duties.clone(),
    };
    (state, json(StatusCode::OK, &nodes))
}

fn rollouts(state: State) -> (State, http::Response<crate::body::Body>) {
    let view = dependencies(&state).view.load_full();
    let rollouts = view.rollouts.values().map(summary).collect();
    (state, json(StatusCode::OK, &RolloutsResponse { rollouts }))
}

fn summary(state: &RolloutState) -> RolloutSummary {
    RolloutSummary {
        service: state.service.clone(),
        ticket: state.ticket,
        phase: match &state.phase {
            Phase::Warming => RolloutPhase::Warming,
            Phase::Ramping(share) => RolloutPhase::Ramping { share: *share },
            Phase::Holding(share) => RolloutPhase::Holding { share: *share },
            Phase::Completed => RolloutPhase::Completed,
            Phase::PulledBack(reason) => RolloutPhase::PulledBack {
                reason: reason.to_string(),
            },
        },
    }
}

fn live(state: State) -> (State, http::Response<crate::body::Body>) {
    (state, text(StatusCode::OK, "live\n"))
}

fn ready(state: State) -> (State, http::Response<crate::body::Body>) {
    let dependencies = dependencies(&state);
    let response = match dependencies.readiness.is_ready() {
        true => text(StatusCode::OK, "ready\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    (state, response)
}

fn metrics(state: State) -> (State, http::Response<crate::body::Body>) {
    let mut response = text(StatusCode::OK, &dependencies(&state).metrics.to_text());
    let content_type = http::HeaderValue::from_static(knapweed_observe::metrics::CONTENT_TYPE);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    (state, response)
}

fn show_history(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let dependencies = dependencies(&state);
        // Encoding a long history would block a thread that serves requests.
        let encoded =
            spawn_blocking(move || json(StatusCode::OK, &dependencies.history.document()));
        let response = encoded
            .await
            .unwrap_or_else(|err| error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()));
        Ok((state, response))
    })
}

fn announce(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let response = match body(&mut state, MAX_ANNOUNCEMENT_LEN).await {
            Ok(bytes) => match serde_json::from_slice::<Announcement>(&bytes) {
                Ok(announcement) => {
                    dependencies(&state).announcer.announce(announcement).await;
                    text(StatusCode::NO_CONTENT, "")
                }
                Err(err) => error(StatusCode::BAD_REQUEST, &format!("bad announcement: {err}")),
            },
            Err(response) => response,
        };
        Ok((state, response))
    })
}

fn log_level(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let response = match body(&mut state, MAX_LEVEL_LEN).await {
            Ok(bytes) => set_level(&dependencies(&state), &bytes),
            Err(response) => response,
        };
        Ok((state, response))
    })
}

fn set_level(dependencies: &Dependencies, bytes: &[u8]) -> http::Response<crate::body::Body> {
    let level = String::from_utf8_lossy(bytes);
    match dependencies.logs.set_level(level.trim()) {
        Ok(()) => text(StatusCode::NO_CONTENT, ""),
        Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}
