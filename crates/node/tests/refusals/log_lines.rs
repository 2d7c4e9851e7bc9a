//! Collects the log lines of this process.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

/// Fields that differ from run to run.
const VARYING: [&str; 5] = [
    "took_ms",
    "deadline_left_ms",
    "retry_after_ms",
    "left_out",
    "peer",
];
/// Time limit for a line, which is written after the response was sent.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the lines are searched.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

/// Formats the fields that have a value.
struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if !VARYING.contains(&key.as_str()) && text != "None" {
            write!(self.0, " {key}={text}").expect("a string");
        }
        Ok(())
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = format!("{} {}", record.level(), record.args());
        let fields = record.key_values().visit(&mut Fields(&mut line));
        fields.expect("readable fields");
        self.0.lock().expect("no panic").push(line);
    }

    fn flush(&self) {}
}

/// Collects the lines from level info on from now on.
pub(crate) fn collect() {
    let _ = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
}

/// Takes all lines.
pub(crate) fn take() -> Vec<String> {
    std::mem::take(&mut LINES.0.lock().expect("no panic"))
}

/// Takes the lines until one contains `text`, and returns that one.
pub(crate) async fn until(text: &str) -> String {
    let search = async {
        loop {
            if let Some(line) = take().into_iter().find(|line| line.contains(text)) {
                return line;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(LINE_TIMEOUT, search).await;
    found.expect("a line in time")
}
