//! Log lines have a fixed format, repeated messages are rate-limited, and a slow
//! reader of the output does not block the process.

use assert_matches::assert_matches;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Record};
use knapweed_observe::sink::Sink;
use knapweed_observe::{Error, LogFormat, Logs, RateLimit, Suppressed, format, part, settings};
use knapweed_settings::Schema;
use log::Level;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

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
    let logs = Logs::start(LogFormat::Text, "info").expect("started");
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

/// Guards against a race in which the limiter permits several threads at the same
/// time, or does not count a suppressed message.
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
    // The permitted message already reports those suppressed before it.
    assert_eq!(suppressed.into_inner() + rest, 7_999);
}

/// Guards against lost fields, and against numbers that are written as strings.
#[test]
fn fields_are_part_of_a_line() {
    let fields: [(&str, log::kv::Value<'_>); 3] = [
        ("request", "r-1".into()),
        ("tries", 2.into()),
        ("retry_after_ms", log::kv::Value::from_serde(&None::<u64>)),
    ];
    let mut builder = Record::builder();
    builder.level(Level::Info).target(part::INGRESS);
    builder.key_values(&fields);
    let args = format_args!("not run");
    let record = builder.args(args).build();
    let mut line = Vec::new();
    format::json(&mut line, &mut DeferredNow::new(), &record).expect("a buffer");
    let mut json: serde_json::Value = serde_json::from_slice(&line).expect("JSON");
    json["time"] = "T".into();
    insta::assert_snapshot!(json, @r#"{"level":"INFO","part":"ingress","request":"r-1","retry_after_ms":null,"text":"not run","time":"T","tries":2}"#);
    line.clear();
    format::message(&mut line, &record).expect("a buffer");
    insta::assert_snapshot!(String::from_utf8(line).expect("text"), @"ingress: not run request=r-1 tries=2 retry_after_ms=None");
}

/// Guards against a limiter that permits more messages per interval than configured,
/// or that permits none after the first interval.
#[test]
fn some_messages_pass_in_each_second() {
    let limit = RateLimit::per_second(2);
    let permits: Vec<_> = [0, 1, 2, 999, 1_000, 1_001, 1_002]
        .map(|ms| limit.permit_at(Duration::from_millis(ms)))
        .into();
    let passed = |n| Some(Suppressed(n));
    assert_eq!(
        permits,
        [passed(0), passed(0), None, None, passed(2), passed(0), None]
    );
}

/// An output that blocks until `resume` receives a message or is closed.
struct BlockedOutput {
    resume: std::sync::mpsc::Receiver<()>,
    written: std::sync::Arc<parking_lot::Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Returns an error once the test drops the sender, which unblocks all writes.
        let _ = self.resume.recv();
        self.written.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a stalled reader of the output that blocks the process or makes its
/// memory grow, and against lines that are dropped without a warning.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    const LINES: usize = 10_000;
    let (resume, resumed) = std::sync::mpsc::channel();
    let written = std::sync::Arc::default();
    let out = BlockedOutput {
        resume: resumed,
        written: std::sync::Arc::clone(&written),
    };
    let sink = Sink::start(LogFormat::Json.function(), out).expect("a thread");
    let start = Instant::now();
    with_record(|record| {
        for _ in 0..LINES {
            sink.write(&mut DeferredNow::new(), record).expect("taken");
        }
    });
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "the writer waited"
    );
    drop(resume);
    sink.flush().expect("no error");
    let deadline = Instant::now() + Duration::from_secs(10);
    let (lines, dropped) = loop {
        sink.flush().expect("no error");
        let text = String::from_utf8(written.lock().clone()).expect("text");
        let parsed = text.lines().map(|line| {
            serde_json::from_str::<serde_json::Value>(line).expect("a complete line of JSON")
        });
        let (warnings, lines): (Vec<_>, Vec<_>) = parsed.partition(|line| line["lines"].is_u64());
        let dropped: u64 = warnings
            .iter()
            .filter_map(|line| line["lines"].as_u64())
            .sum();
        if lines.len() + dropped as usize == LINES || Instant::now() > deadline {
            break (lines.len(), dropped);
        }
    };
    assert_eq!(lines + dropped as usize, LINES);
    assert!(dropped > 0, "the queue has no bound");
}
