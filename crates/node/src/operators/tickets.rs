//! Handlers that file, show and list tickets.

use super::respond::{body, error, json};
use super::{Dependencies, dependencies};
use crate::body::Body;
use crate::control::event::Event;
use crate::control::watch::known_parts;
use crate::source::LoadedConfig;
use gotham::handler::HandlerFuture;
use gotham::prelude::*;
use gotham::state::State;
use http::{Response, StatusCode};
use knapweed_contract::api::{FileResponse, TicketResponse, TicketSummary, TicketsResponse};
use knapweed_contract::drive::SystemClock;
use knapweed_contract::{Driver, Outcome, PartCache, Ticket};
use knapweed_observe::part;
use knapweed_world::TicketNumber;
use serde::Deserialize;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

/// Longest ticket, in bytes.
const MAX_TICKET_LEN: usize = 200_000;

/// Path parameter with the ticket number.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub(super) struct TicketPath {
    ticket: u64,
}

pub(super) fn file(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let dependencies = dependencies(&state);
        let response = match body(&mut state, MAX_TICKET_LEN).await {
            Ok(document) => file_document(dependencies, document.to_vec()).await,
            Err(response) => response,
        };
        Ok((state, response))
    })
}

async fn file_document(
    dependencies: Arc<AssertUnwindSafe<Dependencies>>,
    document: Vec<u8>,
) -> Response<Body> {
    // Runs in a task of its own, so that it completes even if the operator disconnects.
    let task = tokio::spawn(async move { accept(&dependencies, &document).await });
    match task.await {
        Ok(response) => {
            let status = StatusCode::from_u16(response.status()).unwrap_or_default();
            json(status, &response)
        }
        Err(err) => error(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

async fn accept(dependencies: &Dependencies, document: &[u8]) -> FileResponse {
    let ticket = Ticket::parse(document).ok().map(|t| t.ticket);
    let mut cache = known_parts(&dependencies.control).await;
    let driver =
        Driver::new(&*dependencies.store, &SystemClock).policy(dependencies.policy.clone());
    let outcome = driver.file(document, &mut cache).await;
    let accepted = matches!(outcome, Outcome::Accepted { .. });
    let response = FileResponse::new(ticket, outcome);
    log::info!(target: part::TICKET, "{}", response.sentence);
    if accepted {
        load(dependencies, &driver, cache).await;
    }
    response
}

/// Puts the new configuration in force on this node at once; gossip spreads it to
/// the other nodes.
async fn load(dependencies: &Dependencies, driver: &Driver<'_>, mut cache: PartCache) {
    match driver.load_newest(&mut cache).await {
        Ok((_, head, _)) => {
            dependencies
                .control
                .send(Event::LoadedConfig(LoadedConfig {
                    head,
                    cache,
                    problems: Vec::new(),
                }))
                .await
        }
        // Not fatal: a gateway's watch delivers the configuration as well.
        Err(err) => log::warn!(target: part::CONFIG, "could not load the configuration: {err}"),
    }
}

pub(super) fn show(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let dependencies = dependencies(&state);
        let ticket = TicketNumber(TicketPath::take_from(&mut state).ticket);
        let driver = Driver::new(&*dependencies.store, &SystemClock);
        let response = match driver.record(ticket).await {
            Ok(Some(record)) => json(StatusCode::OK, &TicketResponse::new(record)),
            Ok(None) => error(
                StatusCode::NOT_FOUND,
                &format!("ticket {ticket} was never filed"),
            ),
            Err(err) => error(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
        };
        Ok((state, response))
    })
}

pub(super) fn list(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let dependencies = dependencies(&state);
        let driver = Driver::new(&*dependencies.store, &SystemClock);
        let response = match driver.tickets().await {
            Ok(numbers) => {
                let tickets = numbers.into_iter().map(summary).collect();
                json(StatusCode::OK, &TicketsResponse { tickets })
            }
            Err(err) => error(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
        };
        Ok((state, response))
    })
}

/// A list entry. It omits state and version, which would cost one read of the object
/// store per ticket.
fn summary(ticket: TicketNumber) -> TicketSummary {
    TicketSummary {
        ticket,
        state: None,
        version: None,
    }
}
