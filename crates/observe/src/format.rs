//! Text and JSON formats of log lines.

use flexi_logger::{DeferredNow, Record};
use log::kv::{Key, Value, VisitSource};
use serde::{Serialize, Serializer};
use std::io::{self, Write};

/// Time format of text lines; the time is local.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.3f";

/// Writes `2026-12-04 10:15:30.250 WARN ingress: message key=value`.
///
/// # Errors
///
/// Writing to `w` failed.
pub fn text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(w, "{time} {:5} ", record.level())?;
    message(w, record)
}

/// Writes `ingress: message key=value`, the rest of a text line after time and level.
///
/// # Errors
///
/// Writing to `w` failed.
pub fn message(w: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    write!(w, "{}: {}", record.target(), record.args())?;
    for (key, value) in &Fields::of(record).0 {
        write!(w, " {key}={value}")?;
    }
    Ok(())
}

/// The key-value pairs of a record, in the order in which they were given.
struct Fields<'kvs>(Vec<(Key<'kvs>, Value<'kvs>)>);

impl<'kvs> Fields<'kvs> {
    fn of(record: &'kvs Record<'_>) -> Self {
        let mut fields = Self(Vec::with_capacity(record.key_values().count()));
        // `visit_pair` returns no error.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

impl<'kvs> VisitSource<'kvs> for Fields<'kvs> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key, value));
        Ok(())
    }
}

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(key, value)| (key.as_str(), value)))
    }
}

/// A log line in JSON form; the field names are the keys of the object.
#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    text: String,
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// Writes a JSON object with `time` (RFC 3339), `level`, `part`, `text` and the
/// key-value pairs of the record.
///
/// # Errors
///
/// Writing to `w` failed.
pub fn json(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let line = JsonLine {
        time: now.format_rfc3339(),
        level: record.level().as_str(),
        part: record.target(),
        text: record.args().to_string(),
        fields: Fields::of(record),
    };
    serde_json::to_writer(w, &line).map_err(io::Error::from)
}
