//! The trace format: round trip, and errors with file and line.

use insta::assert_snapshot;
use knapweed_trace::header::{FORMAT, GuardSettings};
use knapweed_trace::record::{GuardEvent, GuardRequests, Record, TraceEvent};
use knapweed_trace::{ExpectedOutcome, Header, Settings, Trace, Writer};
use knapweed_world::{Time, UnixMillis};
use std::path::Path;

const HEADER: &str = r#"{"format":1,"title":"a guard","seed":null,"start_unix_ms":0,"settings":{"guard":{"alpha":0.0001}}}"#;
const EVENT: &str = r#"{"t_us":5,"event":{"guard":{"new":{"route":"today","failed":[true]}}}}"#;
const EARLIER: &str = r#"{"t_us":4,"event":"end"}"#;
const OUTCOME: &str = r#"{"outcome":"not-tripped"}"#;

fn header() -> Header {
    Header {
        format: FORMAT,
        title: "a guard".into(),
        seed: None,
        start_unix_ms: UnixMillis(0),
        settings: Settings::Guard(GuardSettings { alpha: 0.0001 }),
    }
}

fn record() -> Record {
    let requests = GuardRequests {
        route: "today".parse().expect("a valid name"),
        failed: vec![true],
    };
    Record {
        at: Time(5),
        event: TraceEvent::Guard(GuardEvent::New(requests)),
    }
}

fn read(text: &str) -> Result<Trace, String> {
    Trace::read_from(text.as_bytes(), Path::new("a.jsonl")).map_err(|e| e.to_string())
}

#[test]
fn what_is_written_can_be_read() {
    let mut writer = Writer::new(Vec::new(), &header()).expect("written");
    writer.record(record()).expect("written");
    writer
        .outcome(ExpectedOutcome::NotTripped)
        .expect("written");
    let text = String::from_utf8(writer.finish().expect("flushed")).expect("text");
    assert_eq!(text, format!("{HEADER}\n{EVENT}\n{OUTCOME}\n"));
    let trace = read(&text).expect("readable");
    assert_eq!(trace.header, header());
    assert_eq!(trace.records, vec![record()]);
    assert_eq!(trace.outcomes, vec![ExpectedOutcome::NotTripped]);
}

/// Guards against read errors without the file, the line or the expected content.
#[test]
fn errors_name_file_line_and_what_is_expected() {
    let no_ticks = r#"{"format":1,"title":"","start_unix_ms":0,"settings":{"rollout-control":{"service":"s","judge":"clock","planner":"ramp","tick_us":0,"platform":"recorded"}}}"#;
    let cases = [
        ("empty", String::new()),
        ("no JSON", format!("{HEADER}\nx\n")),
        (
            "other format",
            HEADER.replace("\"format\":1", "\"format\":9"),
        ),
        ("unknown setting", HEADER.replace("alpha", "beta")),
        ("no ticks", no_ticks.into()),
        (
            "unknown event",
            format!("{HEADER}\n{{\"t_us\":1,\"event\":\"x\"}}\n"),
        ),
        (
            "unknown field",
            format!("{HEADER}\n{{\"t_us\":1,\"x\":1}}\n"),
        ),
        (
            "event without a time",
            format!("{HEADER}\n{{\"event\":\"end\"}}\n"),
        ),
        (
            "times that go back",
            format!("{HEADER}\n{EVENT}\n{EARLIER}\n"),
        ),
        (
            "event after an outcome",
            format!("{HEADER}\n{OUTCOME}\n{EVENT}\n"),
        ),
        ("no outcome", format!("{HEADER}\n{EVENT}\n")),
        ("a cut line", format!("{HEADER}\n{}", &EVENT[..20])),
    ];
    let mut out = String::new();
    for (title, text) in cases {
        out += &format!("{title}: {}\n", read(&text).expect_err(title));
    }
    let missing = Trace::read(Path::new("/nonexistent/a.jsonl"));
    out += &format!("no file: {}\n", missing.expect_err("no such file"));
    assert_snapshot!(out);
}
