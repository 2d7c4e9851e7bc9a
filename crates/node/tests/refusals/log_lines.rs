//! Collects the log lines of this process.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write;
use std::sync::Mutex;

/// Fields that differ from run to run.
const VARYING: [&str; 2] = ["took_ms", "left_out"];

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

/// The last line that contains `text`.
pub(crate) fn last(text: &str) -> String {
    let lines = LINES.0.lock().expect("no panic");
    let found = lines.iter().rev().find(|line| line.contains(text));
    found.cloned().unwrap_or_default()
}
