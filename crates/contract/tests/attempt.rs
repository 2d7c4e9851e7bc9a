//! Two processes file the same ticket, and the state on which the decision depends
//! changes between them.

mod common;

use assert_matches::assert_matches;
use common::sim::{Process, SimPlatform, step};
use common::world::{file, head, no_waits};
use common::{route, service};
use knapweed_contract::{Driver, Outcome, PartCache};
use knapweed_world::TicketNumber;
use serde_json::{Value, json};
use std::time::Duration;

/// Exceeds the number of polls that one filing takes.
const MAX_POLLS: usize = 40;

fn start<'a>(platform: &'a SimPlatform, document: &'a [u8]) -> Process<'a, Outcome> {
    Box::pin(async move {
        let driver = Driver::new(platform, &platform.clock).backoff(no_waits());
        driver.file(document, &mut PartCache::default()).await
    })
}

fn step_times(process: &mut Process<'_, Outcome>, times: usize) -> Option<Outcome> {
    (0..times).find_map(|_| step(process))
}

fn finish(process: &mut Process<'_, Outcome>) -> Outcome {
    step_times(process, 10_000).expect("an outcome")
}

/// Runs the first process for a number of calls, then `change`, then the second
/// process for a number of calls, and then both to completion. Repeats this for all
/// combinations of the two numbers, and returns how often the ticket was accepted
/// and how often it was refused.
fn outcomes(document: &Value, change: impl Fn(&SimPlatform)) -> (u32, u32) {
    let document = document.to_string().into_bytes();
    let (mut accepted, mut refused) = (0, 0);
    for first_calls in 0..MAX_POLLS {
        for second_calls in 0..MAX_POLLS {
            let platform = SimPlatform::new(0, 0, &[]);
            let mut first = start(&platform, &document);
            let mut second = start(&platform, &document);
            let early = step_times(&mut first, first_calls);
            change(&platform);
            let second_early = step_times(&mut second, second_calls);
            let outcomes = [
                early.unwrap_or_else(|| finish(&mut first)),
                second_early.unwrap_or_else(|| finish(&mut second)),
                file(&platform.inner, &platform.clock, &document),
            ];
            let at = format!("after {first_calls} and {second_calls} calls");
            assert_eq!(outcomes[0], outcomes[1], "{at}");
            assert_eq!(outcomes[1], outcomes[2], "{at}");
            let in_head = head(&platform.inner).accepted(TicketNumber(2)).is_some();
            match &outcomes[0] {
                Outcome::Accepted { .. } => accepted += 1,
                _ => refused += 1,
            }
            assert_eq!(
                matches!(outcomes[0], Outcome::Accepted { .. }),
                in_head,
                "{at}"
            );
        }
    }
    (accepted, refused)
}

/// Guards against a refusal by a process that read an old head while another
/// process accepts the ticket against a newer head.
#[test]
fn a_refusal_against_an_old_head_excludes_an_acceptance() {
    let document = json!({ "ticket": 2, "routes": [route("surveys", "/surveys", "surveys")] });
    let (accepted, refused) = outcomes(&document, |platform| {
        let services = json!({ "ticket": 3, "services": [service("surveys", "v1")] });
        let services = services.to_string().into_bytes();
        let outcome = file(&platform.inner, &platform.clock, &services);
        assert_matches!(outcome, Outcome::Accepted { .. });
    });
    assert!(accepted > 0 && refused > 0, "{accepted} {refused}");
}

/// Guards against a refusal because the deadline is now too close while another
/// process accepts the ticket with the time of an earlier attempt.
#[test]
fn a_refusal_after_a_pause_excludes_an_acceptance() {
    let document = json!({ "ticket": 2, "services": [{ "name": "surveys",
        "versions": [{ "version": "v1", "share": 100 }],
        "rollout": { "deadline": "2026-03-01T06:00:12Z" } }] });
    let (accepted, refused) = outcomes(&document, |platform| {
        platform.clock.advance(Duration::from_secs(8));
    });
    assert!(accepted > 0 && refused > 0, "{accepted} {refused}");
}
