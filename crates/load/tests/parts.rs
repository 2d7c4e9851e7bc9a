//! Bounds of the options, schedule, payloads, report formats and exit codes.

use assert_matches::assert_matches;
use knapweed_load::client::{Outcome, Reported};
use knapweed_load::options::Error;
use knapweed_load::payload::{body, key};
use knapweed_load::recorder::{Recorder, Sample};
use knapweed_load::schedule::Schedule;
use knapweed_load::{Report, settings};
use std::collections::HashSet;
use std::process::Command;
use std::time::Duration;

/// Guards against runs that never end or exhaust the machine.
#[test]
fn a_run_is_bounded_in_time_rate_and_number() {
    let valid = settings::defaults(&["http://127.0.0.1:1/".into()]).expect("valid");
    let mut long_run = valid.clone();
    long_run.duration = Duration::from_secs(121);
    assert_matches!(
        long_run.check(),
        Err(Error::OutOfRange {
            name: "duration_ms",
            ..
        })
    );
    let mut many_requests = valid.clone();
    many_requests.max_requests = 5_000_001;
    assert_matches!(
        many_requests.check(),
        Err(Error::OutOfRange {
            name: "max_requests",
            ..
        })
    );
    let mut one_target = valid;
    one_target.compare = true;
    assert_matches!(one_target.check(), Err(Error::NotTwoTargets { found: 1 }));
    let error = settings::defaults(&["ftp://x/".into()]).expect_err("a bad URL");
    insta::assert_snapshot!(error, @r#"command line:2: [load] targets: expected a target such as http://127.0.0.1:7100/calendar, found "ftp://x/""#);
}

#[test]
fn requests_are_planned_at_equal_distances() {
    let schedule = Schedule::new(3, Duration::from_secs(2), 100);
    let due: Vec<_> = (0..schedule.count())
        .map(|i| schedule.due(i).as_micros())
        .collect();
    assert_eq!(due, [0, 333_333, 666_666, 1_000_000, 1_333_333, 1_666_666]);
    assert_eq!(Schedule::new(1_000, Duration::from_secs(9), 7).count(), 7);
}

#[test]
fn bodies_and_keys_are_unique_and_keys_carry_their_time() {
    let bodies: HashSet<_> = (0..1_000).map(|i| body(1, i, 24)).collect();
    assert_eq!(bodies.len(), 1_000);
    let now = Duration::from_millis(0x0192_3456_789a);
    let keys: HashSet<_> = (0..1_000).map(|i| key(1, i, now)).collect();
    assert_eq!(keys.len(), 1_000);
    for key in keys {
        assert!(key.starts_with("01923456-789a-7"), "{key}");
        assert_eq!(key.len(), 36);
        assert!(
            matches!(key.as_bytes()[19], b'8' | b'9' | b'a' | b'b'),
            "{key}"
        );
    }
}

fn report() -> Report {
    let mut recorder = Recorder::new(2);
    for i in 0..2_000_u64 {
        let target = (i % 2) as usize;
        let status = if i % 100 == 0 { 503 } else { 200 };
        let reported = match status {
            200 => Reported::Answered,
            _ => Reported::NotRun,
        };
        recorder.add(&Sample {
            target,
            outcome: Outcome::Response { status, reported },
            latency: Duration::from_micros(100 + i + 400 * (i % 2)),
            lateness: Duration::from_micros(i % 50),
        });
    }
    let names = vec!["http://a/".to_owned(), "http://b/".to_owned()];
    Report::new(names, &recorder.into_targets(), Duration::from_secs(10))
}

#[test]
fn a_report_is_text_or_json() {
    let report = report();
    insta::assert_snapshot!(report);
    let json = serde_json::to_string(&report).expect("JSON");
    let parsed: Report = serde_json::from_str(&json).expect("a report");
    assert_eq!(parsed, report);
    let outcome = serde_json::to_string(&report.targets[0].outcomes[0]).expect("JSON");
    insta::assert_snapshot!(outcome);
}

#[test]
fn bad_options_end_with_2() {
    let exit_code = |arguments: &[&str]| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_knapweed-load"));
        program
            .args(arguments)
            .output()
            .expect("the program runs")
            .status
            .code()
    };
    assert_eq!(
        exit_code(&["--check", "--target", "http://127.0.0.1:1/"]),
        Some(0)
    );
    assert_eq!(
        exit_code(&["--check", "--target", "x", "--rate", "9"]),
        Some(2)
    );
    assert_eq!(
        exit_code(&["--target", "http://127.0.0.1:1/", "--rate", "0"]),
        Some(2)
    );
    assert_eq!(exit_code(&["--settings", "none.ini"]), Some(2));
    assert_eq!(exit_code(&[]), Some(2));
}
