//! Log lines have a fixed form, and repeated messages are limited.

use assert_matches::assert_matches;
use flexi_logger::{DeferredNow, Record};
use knapweed_observe::{Error, Form, Logs, RateLimit, Suppressed, format, part, settings};
use knapweed_settings::Schema;
use log::Level;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

fn with_record(check: impl Fn(&Record<'_>)) {
    let mut builder = Record::builder();
    builder.level(Level::Warn).target(part::INGRESS);
    check(
        &builder
            .args(format_args!("route \"x\" has no server"))
            .build(),
    );
}

#[test]
fn a_text_line_has_the_part_as_prefix() {
    with_record(|record| {
        let mut line = Vec::new();
        format::text(&mut line, &mut DeferredNow::new(), record).expect("a buffer");
        let line = String::from_utf8(line).expect("text");
        assert!(line.ends_with(" WARN  ingress: route \"x\" has no server"));
    });
}

#[test]
fn a_json_line_can_be_parsed() {
    with_record(|record| {
        let mut line = Vec::new();
        format::json(&mut line, &mut DeferredNow::new(), record).expect("a buffer");
        let mut line: serde_json::Value = serde_json::from_slice(&line).expect("JSON");
        line["time"] = "T".into();
        insta::assert_snapshot!(line, @r#"{"level":"WARN","part":"ingress","text":"route \"x\" has no server","time":"T"}"#);
    });
}

#[test]
fn the_level_changes_at_run_time() {
    let logs = Logs::start(Form::Text, "info").expect("started");
    assert!(!log::log_enabled!(target: part::INGRESS, Level::Debug));
    logs.set_level("info, ingress=debug").expect("a level");
    assert!(log::log_enabled!(target: part::INGRESS, Level::Debug));
    assert!(!log::log_enabled!(target: part::EGRESS, Level::Debug));
    assert!(!log::log_enabled!(target: "gotham::service", Level::Info));
    assert_matches!(logs.set_level("loud"), Err(Error::BadLevel { .. }));
    assert!(log::log_enabled!(target: part::INGRESS, Level::Debug));
}

#[test]
fn a_bad_level_in_the_settings_is_reported_with_its_line() {
    let schema = settings::add_section(Schema::new());
    let parsed = schema.parse(Path::new("n.ini"), "[log]\nlevel = loud\n");
    let errors = settings::check(&parsed.expect("a text")).expect_err("a bad level");
    insta::assert_snapshot!(errors, @r#"n.ini:2: [log] level: expected a log level such as "info" or "info, ingress=debug", found "loud""#);
}

#[test]
fn a_repeated_message_passes_once_per_interval() {
    let limit = RateLimit::every_ms(1_000);
    let permits: Vec<_> = [0, 1, 999, 1_000, 5_000]
        .map(|ms| limit.permit_at(Duration::from_millis(ms)))
        .into();
    let passed = |n| Some(Suppressed(n));
    assert_eq!(permits, [passed(0), None, None, passed(2), passed(0)]);
    assert_eq!(
        Suppressed(2).to_string(),
        " (2 similar messages suppressed)"
    );
}

/// Guards against a race in which several threads pass at the same time, or a
/// suppressed message is not counted.
#[test]
fn of_many_threads_one_passes() {
    let limit = RateLimit::every_ms(1_000);
    let passed = AtomicU64::new(0);
    let suppressed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..1_000 {
                    if let Some(before) = limit.permit_at(Duration::from_millis(7)) {
                        passed.fetch_add(1, Ordering::Relaxed);
                        suppressed.fetch_add(before.0, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    assert_eq!(passed.into_inner(), 1);
    let next = limit.permit_at(Duration::from_secs(2));
    let rest = next.expect("the interval is over").0;
    // The thread that passed already reports what others suppressed meanwhile.
    assert_eq!(suppressed.into_inner() + rest, 7_999);
}
