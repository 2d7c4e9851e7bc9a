//! The store comes back from an older copy while a ticket is filed.

mod common;

use assert_matches::assert_matches;
use common::service;
use common::sim::{Process, SimPlatform, step};
use common::world::{config, file, no_waits};
use knapweed_contract::{Driver, Outcome, PartCache};
use serde_json::json;

/// Exceeds the number of polls that one filing takes.
const MAX_POLLS: usize = 40;
/// Exceeds the number of polls that one filing takes with all its retries.
const MAX_POLLS_TO_FINISH: usize = 10_000;

fn document(ticket: u64, name: &str) -> Vec<u8> {
    let document = json!({ "ticket": ticket, "services": [service(name, "v1")] });
    document.to_string().into_bytes()
}

fn start<'a>(platform: &'a SimPlatform, document: &'a [u8]) -> Process<'a, Outcome> {
    Box::pin(async move {
        let driver = Driver::new(platform, &platform.clock).backoff(no_waits());
        driver.file(document, &mut PartCache::default()).await
    })
}

/// Files a ticket, during which the store loses what was written since the start, and checks
/// that a second filing makes up for the loss.
fn file_with_loss(earlier: &[Vec<u8>], calls_before_loss: usize) {
    let at = format!("{} earlier, {calls_before_loss} calls", earlier.len());
    let platform = SimPlatform::new(0, 0, &[]);
    for document in earlier {
        let outcome = file(&platform.inner, &platform.clock, document);
        assert_matches!(outcome, Outcome::Accepted { .. }, "{at}");
    }
    let backup = platform.inner.backup();
    let document = document(2, "surveys");
    let mut process = start(&platform, &document);
    let early = (0..calls_before_loss).find_map(|_| step(&mut process));
    platform.inner.restore(&backup);
    if early.is_none() {
        let outcome = (0..MAX_POLLS_TO_FINISH).find_map(|_| step(&mut process));
        assert!(outcome.is_some(), "{at}");
    }
    platform.assert_parts(calls_before_loss as u64);
    let outcome = file(&platform.inner, &platform.clock, &document);
    assert_matches!(outcome, Outcome::Accepted { .. }, "{at}");
    let services = config(&platform.inner).services;
    assert_eq!(services.len(), earlier.len() + 1, "{at}");
}

/// Guards against a head that refers to parts which the store has lost, and against a ticket
/// that cannot be filed again.
#[test]
fn a_ticket_survives_a_loss_at_any_call() {
    for calls in 0..MAX_POLLS {
        file_with_loss(&[document(1, "calendar")], calls);
    }
}

/// Guards against the first head of a store, which has no revision as a condition, that refers
/// to parts which the store has lost.
#[test]
fn the_first_ticket_survives_a_loss_at_any_call() {
    for calls in 0..MAX_POLLS {
        file_with_loss(&[], calls);
    }
}
