//! A filing process may stop at any store call, and the response to any call may be
//! lost.

mod common;

use assert_matches::assert_matches;
use common::world::{
    Fault, FaultyStore, ManualClock, config, driver, file, head, part_count, record, try_file,
};
use common::{name, route, service, set_service};
use futures_util::FutureExt;
use knapweed_contract::Outcome;
use knapweed_store::ObjectStore;
use knapweed_store::memory::MemoryStore;
use knapweed_world::{ConfigVersion, TicketNumber};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

/// A platform on which ticket 1 created the services calendar and switching and
/// their routes.
fn platform() -> (MemoryStore, ManualClock) {
    let (platform, clock) = (MemoryStore::new(), ManualClock::new());
    let document = json!({ "ticket": 1,
        "services": [service("calendar", "v1"), service("switching", "v1")],
        "routes": [route("calendar", "/calendar", "calendar"),
            route("switching", "/switching", "switching")] });
    let outcome = file(&platform, &clock, document.to_string().as_bytes());
    assert_matches!(outcome, Outcome::Accepted { .. });
    (platform, clock)
}

/// Ticket 2, which changes two services, so that two parts are written.
fn document() -> Vec<u8> {
    let services = [service("calendar", "v2"), service("surveys", "v1")];
    json!({ "ticket": 2, "services": services })
        .to_string()
        .into_bytes()
}

/// Number of store calls to file ticket 2 without faults.
fn calls() -> u64 {
    let (platform, clock) = platform();
    let faulty = FaultyStore::new(&platform, []);
    assert_matches!(
        try_file(&faulty, &clock, &document()),
        Some(Outcome::Accepted { .. })
    );
    faulty.calls()
}

fn version_of(outcome: &Outcome) -> Option<ConfigVersion> {
    match outcome {
        Outcome::Accepted { version, .. } => Some(*version),
        _ => None,
    }
}

/// Asserts that each accepted ticket has exactly one version, that the versions have
/// no gaps, and that the records hold them.
fn assert_versions(platform: &MemoryStore, tickets: &[u64]) {
    let records = tickets
        .iter()
        .map(|n| record(platform, *n).expect("a filed ticket"));
    let versions: BTreeMap<_, _> = records
        .filter_map(|r| Some((r.progress?.version.0, r.document.ticket)))
        .collect();
    let head = head(platform);
    let numbers: Vec<_> = versions.keys().copied().collect();
    assert_eq!(numbers, (1..=head.version.0).collect::<Vec<_>>());
    for accepted in &head.recent {
        assert_eq!(versions.get(&accepted.version.0), Some(&accepted.ticket));
    }
}

/// Guards against a ticket that is lost, partially applied or applied twice when its
/// filing process stops and another node resumes it, immediately or much later.
#[test]
fn a_filing_that_stops_at_any_call_is_resumed_elsewhere() {
    let calls = calls();
    assert!(calls >= 8, "{calls}");
    for call in 0..calls {
        for fault in [Fault::StopBefore, Fault::StopAfter] {
            for pause in [Duration::ZERO, Duration::from_secs(3_600)] {
                let (platform, clock) = platform();
                let faulty = FaultyStore::new(&platform, [(call, fault)]);
                assert_matches!(try_file(&faulty, &clock, &document()), None);
                clock.advance(pause);
                let outcome = file(&platform, &clock, &document());
                assert_eq!(
                    version_of(&outcome),
                    Some(ConfigVersion(2)),
                    "{call} {fault:?}"
                );
                assert_versions(&platform, &[1, 2]);
                let rollout = config(&platform).services[&name("calendar")]
                    .rollout
                    .clone();
                let accepted = record(&platform, 2).and_then(|r| r.progress);
                assert_eq!(rollout.map(|r| r.start), accepted.map(|a| a.at));
            }
        }
    }
}

/// Guards against a failed or repeated acceptance when another node changes the head
/// between stop and resumption.
#[test]
fn another_ticket_may_come_between_stop_and_resumption() {
    for call in 0..calls() {
        for fault in [Fault::StopBefore, Fault::StopAfter] {
            let (platform, clock) = platform();
            let faulty = FaultyStore::new(&platform, [(call, fault)]);
            assert_matches!(try_file(&faulty, &clock, &document()), None);
            let other = file(&platform, &clock, &set_service(3, None, "switching", "v2"));
            assert_matches!(other, Outcome::Accepted { .. });
            let outcome = file(&platform, &clock, &document());
            assert_matches!(outcome, Outcome::Accepted { .. }, "{call} {fault:?}");
            assert_versions(&platform, &[1, 2, 3]);
        }
    }
}

/// Guards against repeating a write that took effect although its response was lost
/// (requirement F4).
#[test]
fn any_two_answers_may_be_lost() {
    let calls = calls();
    for first in 0..calls {
        for second in first..calls * 2 {
            let (platform, clock) = platform();
            let faults = [(first, Fault::LoseResponse), (second, Fault::LoseResponse)];
            let faulty = FaultyStore::new(&platform, faults);
            let outcome = try_file(&faulty, &clock, &document()).expect("no stop");
            assert_eq!(
                version_of(&outcome),
                Some(ConfigVersion(2)),
                "{first} {second}"
            );
            assert_versions(&platform, &[1, 2]);
        }
    }
}

/// Guards against reporting an accepted ticket as not accepted, or the reverse, when
/// the platform becomes unavailable.
#[test]
fn an_outage_at_any_call_is_reported_truthfully() {
    let mut out = String::new();
    for call in 0..calls() {
        for fault in [Fault::Outage, Fault::OutageAfter] {
            let (platform, clock) = platform();
            let faulty = FaultyStore::new(&platform, [(call, fault)]);
            let outcome = try_file(&faulty, &clock, &document()).expect("no stop");
            let accepted = head(&platform).accepted(TicketNumber(2));
            match &outcome {
                Outcome::Accepted { version, .. } => {
                    assert_eq!(accepted.map(|a| a.version), Some(*version));
                }
                Outcome::Unavailable { .. } => assert_eq!(accepted, None),
                Outcome::Unknown { .. } => {}
                other => panic!("{other:?}"),
            }
            let reported = serde_json::to_value(&outcome).expect("JSON");
            writeln!(out, "call {call}, {fault:?}: {}", reported["outcome"]).expect("a string");
            assert_matches!(
                file(&platform, &clock, &document()),
                Outcome::Accepted { .. }
            );
            assert_versions(&platform, &[1, 2]);
        }
    }
    insta::assert_snapshot!(out);
}

/// Guards against a repeated acceptance after the head evicted the ticket from its
/// recent tickets.
#[test]
fn a_stopped_filing_is_known_after_more_than_64_further_tickets() {
    let calls = calls();
    let (platform, clock) = platform();
    // The last call writes the progress to the record, after the head.
    let faulty = FaultyStore::new(&platform, [(calls - 1, Fault::StopBefore)]);
    assert_matches!(try_file(&faulty, &clock, &document()), None);
    assert_eq!(record(&platform, 2).and_then(|r| r.progress), None);
    for number in 3..73 {
        let outcome = file(
            &platform,
            &clock,
            &set_service(number, None, "switching", "v2"),
        );
        assert_eq!(version_of(&outcome), Some(ConfigVersion(number)));
    }
    assert_eq!(head(&platform).recent.len(), 64);
    assert_eq!(head(&platform).accepted(TicketNumber(2)), None);
    let outcome = file(&platform, &clock, &document());
    assert_eq!(version_of(&outcome), Some(ConfigVersion(2)));
    assert_versions(&platform, &(1..73).collect::<Vec<_>>());
}

/// Guards against accepted tickets whose progress no relay records, and against
/// repeated reads of the same records.
#[test]
fn a_relay_completes_the_progress_of_stopped_filings_once() {
    let calls = calls();
    let (platform, clock) = platform();
    let faulty = FaultyStore::new(&platform, [(calls - 1, Fault::StopBefore)]);
    assert_matches!(try_file(&faulty, &clock, &document()), None);
    let relay = driver(&platform, &clock);
    let mut known = BTreeSet::new();
    let mut finish = || {
        let head = head(&platform);
        let done = relay
            .record_missing_acceptances(&head, &mut known)
            .now_or_never();
        done.expect("no waits").expect("no faults")
    };
    assert_eq!(finish(), [TicketNumber(2)]);
    let reads = platform.calls().reads;
    assert_eq!(finish(), []);
    assert_eq!(
        platform.calls().reads,
        reads + 1,
        "only the head is read again"
    );
    assert_versions(&platform, &[1, 2]);
}

/// Guards against a missing record that prevents the completion of all later ones.
#[test]
fn a_relay_passes_over_a_record_that_is_gone() {
    let calls = calls();
    let (platform, clock) = platform();
    let key = knapweed_contract::result::key(TicketNumber(1));
    let object = platform.read(&key).now_or_never().expect("no waits");
    let revision = object.expect("no faults").expect("a record").revision;
    let deletion = platform.delete(&key, revision).now_or_never();
    deletion.expect("no waits").expect("no faults");
    let faulty = FaultyStore::new(&platform, [(calls - 1, Fault::StopBefore)]);
    assert_matches!(try_file(&faulty, &clock, &document()), None);
    let (relay, head) = (driver(&platform, &clock), head(&platform));
    let mut known = BTreeSet::new();
    let done = relay
        .record_missing_acceptances(&head, &mut known)
        .now_or_never();
    assert_eq!(done.expect("no waits"), Ok(vec![TicketNumber(2)]));
}

/// Guards against a refused ticket that changes the head or leaves parts behind
/// (hazard H3).
#[test]
fn refused_tickets_change_only_their_record() {
    let (platform, clock) = platform();
    let (head_before, parts_before) = (head(&platform), part_count(&platform));
    let mut out = String::new();
    let documents = [
        json!({ "ticket": 2, "services": [service("surveys", "v1")],
            "routes": [route("surveys", "surveys", "survey")] }),
        json!({ "ticket": 2, "services": [service("surveys", "v1")] }),
        json!({ "ticket": 3, "base": 7, "services": [service("surveys", "v1")] }),
        json!({ "ticket": 4, "base": 0, "services": [service("calendar", "v2")] }),
        json!({ "ticket": 1, "base": 0, "services": [service("surveys", "v1")] }),
        json!({ "ticket": 5, "surveys": [] }),
    ];
    for document in documents {
        let outcome = file(&platform, &clock, document.to_string().as_bytes());
        let json = serde_json::to_string_pretty(&outcome).expect("JSON");
        writeln!(out, "{json}").expect("a string");
    }
    assert_eq!(head(&platform), head_before);
    assert_eq!(part_count(&platform), parts_before);
    assert_versions(&platform, &[1, 2, 3, 4]);
    insta::assert_snapshot!(out);
}
