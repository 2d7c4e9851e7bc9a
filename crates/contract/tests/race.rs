//! Concurrent filing of tickets.

mod common;

use assert_matches::assert_matches;
use common::world::{ManualClock, file, head, record};
use common::{route, service, set_service};
use knapweed_contract::drive::SystemClock;
use knapweed_contract::{Driver, Outcome, PartCache};
use knapweed_store::memory::MemoryStore;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

const FILERS: u64 = 4;
const TICKETS: u64 = 300;

/// Files a first ticket with two services and a route, then the documents, and
/// returns the outcome of each document as a sentence.
fn outcomes(documents: &[Value]) -> String {
    let (platform, clock) = (MemoryStore::new(), ManualClock::new());
    let first = json!({ "ticket": 1, "routes": [route("calendar", "/calendar", "calendar")],
        "services": [service("calendar", "v1"), service("switching", "v1")] });
    file(&platform, &clock, first.to_string().as_bytes());
    let mut out = String::new();
    for document in documents {
        let outcome = file(&platform, &clock, document.to_string().as_bytes());
        let number = document["ticket"]
            .as_u64()
            .map(knapweed_world::TicketNumber);
        let sentence = knapweed_contract::sentence::of_outcome(number, &outcome);
        writeln!(out, "{sentence}").expect("a string");
    }
    out
}

/// Guards against a lost update when two operators base their changes on version 1
/// (requirement F6).
#[test]
fn operators_with_the_same_base_exclude_each_other_on_the_same_object() {
    let change = |number: u64, service_name: &str, version: &str| json!({ "ticket": number, "base": 1, "services": [service(service_name, version)] });
    let remove = |number: u64, services: &[&str], routes: &[&str]| {
        json!({ "ticket": number, "base": 1,
            "remove": { "services": services, "routes": routes } })
    };
    let mut out = String::new();
    let mut case = |title: &str, documents: &[Value]| {
        write!(out, "{title}\n{}\n", outcomes(documents)).expect("a string");
    };
    case(
        "lower number first",
        &[change(5, "calendar", "v2"), change(6, "calendar", "v3")],
    );
    case(
        "higher number first",
        &[change(6, "calendar", "v3"), change(5, "calendar", "v2")],
    );
    case(
        "different objects",
        &[change(6, "calendar", "v3"), change(5, "switching", "v2")],
    );
    case(
        "changed after its removal by a lower number",
        &[remove(5, &["switching"], &[]), change(6, "switching", "v2")],
    );
    case(
        "changed after its removal by a higher number",
        &[remove(6, &["switching"], &[]), change(5, "switching", "v2")],
    );
    case(
        "removed twice",
        &[
            remove(5, &[], &["calendar"]),
            remove(6, &["calendar"], &["calendar"]),
        ],
    );
    case(
        "removed after a change",
        &[change(5, "switching", "v2"), remove(6, &["switching"], &[])],
    );
    case(
        "route to a service that was removed",
        &[
            remove(5, &["switching"], &[]),
            json!({ "ticket": 6, "base": 1, "routes": [route("s", "/s", "switching")] }),
        ],
    );
    case(
        "filed again with the new base",
        &[
            change(5, "calendar", "v2"),
            json!({ "ticket": 6, "base": 2, "services": [service("calendar", "v3")] }),
        ],
    );
    // Nodes merge rollout states by keeping the higher ticket number, so a rollout
    // with the lower number would have no effect.
    case(
        "lower number with the base of the higher one",
        &[
            change(6, "calendar", "v3"),
            json!({ "ticket": 5, "base": 2, "services": [service("calendar", "v2")] }),
        ],
    );
    insta::assert_snapshot!(out);
}

/// Guards against version gaps, repeated versions and lost tickets when several
/// threads file tickets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_filers_give_gapless_versions() {
    let platform = Arc::new(MemoryStore::new());
    let filers: Vec<_> = (0..FILERS)
        .map(|filer| tokio::spawn(file_tickets(platform.clone(), filer)))
        .collect();
    for filer in filers {
        filer.await.expect("a filer without a failed check");
    }
    let versions: BTreeSet<_> = (1..=TICKETS)
        .filter_map(|n| record(&platform, n)?.progress)
        .map(|accepted| accepted.version.0)
        .collect();
    assert_eq!(versions, (1..=TICKETS).collect());
    assert_eq!(head(&platform).version.0, TICKETS);
}

async fn file_tickets(platform: Arc<MemoryStore>, filer: u64) {
    let driver = Driver::new(&*platform, &SystemClock);
    let mut cache = PartCache::default();
    for number in (1..=TICKETS).filter(|n| n % FILERS == filer) {
        let service = format!("s{filer}-{}", number % 7);
        let document = set_service(number, None, &service, &format!("v{number}"));
        let outcome = driver.file(&document, &mut cache).await;
        assert_matches!(outcome, Outcome::Accepted { .. }, "{number}");
    }
}

/// Guards against two versions for a ticket that several nodes file at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_filed_by_four_nodes_at_once_has_one_version() {
    let platform = Arc::new(MemoryStore::new());
    for number in 1..=30 {
        let file = |_| {
            let platform = platform.clone();
            tokio::spawn(async move {
                let driver = Driver::new(&*platform, &SystemClock);
                let document = set_service(number, None, "calendar", &format!("v{number}"));
                driver.file(&document, &mut PartCache::default()).await
            })
        };
        let filers: Vec<_> = (0..FILERS).map(file).collect();
        let mut outcomes = BTreeSet::new();
        for filer in filers {
            let outcome = filer.await.expect("a filer without a failed check");
            assert_matches!(outcome, Outcome::Accepted { version, .. } if version.0 == number);
            outcomes.insert(format!("{outcome:?}"));
        }
        assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    }
}
