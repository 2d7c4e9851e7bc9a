//! A ticket has exactly one final result, which one sentence describes.

mod common;

use assert_matches::assert_matches;
use common::world::{Fault, FaultyStore, ManualClock, driver, file, record};
use common::{NOW, name, set_service};
use futures_util::FutureExt;
use knapweed_contract::drive::Error;
use knapweed_contract::result::{self, Ending, Evidence, FinalResult, Tally};
use knapweed_contract::{Record, sentence};
use knapweed_store::memory::MemoryStore;
use knapweed_world::{TicketNumber, UnixMillis};
use std::fmt::Write;
use std::time::Duration;

fn platform() -> (MemoryStore, ManualClock) {
    let (platform, clock) = (MemoryStore::new(), ManualClock::new());
    file(&platform, &clock, &set_service(1, None, "calendar", "v1"));
    (platform, clock)
}

fn write_final_result(
    platform: &FaultyStore<'_>,
    number: u64,
    ending: Ending,
) -> Option<Result<FinalResult, Error>> {
    let clock = ManualClock::new();
    let result = FinalResult::new(ending, later());
    let driver = driver(platform, &clock);
    driver
        .write_final_result(TicketNumber(number), &result)
        .now_or_never()
}

fn later() -> UnixMillis {
    NOW.after(Duration::from_millis(61_500))
}

/// Guards against two results for one ticket, and against a result that differs from
/// the stored one because a response was lost.
#[test]
fn the_first_result_stands_also_after_lost_answers_and_stops() {
    for fault in [Fault::LoseResponse, Fault::StopBefore, Fault::StopAfter] {
        for call in 0..4 {
            let (platform, _) = platform();
            let faulty = FaultyStore::new(&platform, [(call, fault)]);
            let first = write_final_result(&faulty, 1, Ending::Completed);
            let plain = FaultyStore::new(&platform, []);
            let second = write_final_result(&plain, 1, Ending::InForce).expect("no stop");
            let stands = second.expect("a result").ending;
            match first {
                Some(first) => assert_eq!(first.expect("a result").ending, stands),
                None => assert_matches!(stands, Ending::Completed | Ending::InForce),
            }
            let result = record(&platform, 1).and_then(|r| r.result);
            assert_eq!(result.map(|r| r.ending), Some(stands));
        }
    }
}

#[test]
fn only_accepted_tickets_are_concluded() {
    let (platform, clock) = platform();
    let faulty = FaultyStore::new(&platform, []);
    let missing = write_final_result(&faulty, 9, Ending::InForce).expect("no stop");
    assert_matches!(missing, Err(Error::NotFiled(TicketNumber(9))));
    let stopped = FaultyStore::new(&platform, [(3, Fault::StopBefore)]);
    let document = set_service(2, None, "calendar", "v2");
    assert_matches!(common::world::try_file(&stopped, &clock, &document), None);
    let open = write_final_result(&faulty, 2, Ending::InForce).expect("no stop");
    assert_matches!(
        open,
        Err(Error::Record {
            error: result::Error::NotAccepted,
            ..
        })
    );
}

#[test]
fn each_state_is_told_in_one_sentence() {
    let (platform, _) = platform();
    let accepted = record(&platform, 1).expect("a filed ticket");
    let open = Record {
        progress: None,
        ..accepted.clone()
    };
    let pulled_back = Ending::PulledBack {
        service: name("calendar"),
        reason: "the new versions failed more often".to_owned(),
        evidence: Some(Evidence {
            route: Some(name("calendar")),
            zone: Some(name("labasa-a")),
            new: Tally {
                requests: 40,
                failures: 12,
                slow: 3,
            },
            old: Tally {
                requests: 800,
                failures: 1,
                slow: 40,
            },
        }),
    };
    let endings = [
        Ending::Completed,
        Ending::InForce,
        Ending::Superseded {
            by: TicketNumber(2),
        },
        pulled_back,
    ];
    let mut out = String::new();
    let mut describe = |record: &Record| {
        writeln!(out, "{}", sentence::of_record(record)).expect("a string");
    };
    describe(&open);
    describe(&accepted);
    for (i, ending) in endings.into_iter().enumerate() {
        let mut result = FinalResult::new(ending, later());
        result.unconfirmed = (0..i * 6).map(|i| name(&format!("host-{i}"))).collect();
        let record = accepted.with_result(&result).expect("no result yet");
        describe(&record.expect("a change"));
    }
    insta::assert_snapshot!(out);
    insta::assert_json_snapshot!(accepted);
}
