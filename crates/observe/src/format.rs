//! Formats of log lines.

use flexi_logger::{DeferredNow, Record};
use log::kv::{Key, Value, VisitSource};
use serde::{Serialize, Serializer};
use std::io::{self, Write};

/// Time format of text lines, in the local time zone.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.3f";

/// Writes `2026-12-04 10:15:30.250 WARN ingress: message key=value`.
///
/// # Errors
///
/// Those of `w`.
pub fn text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(w, "{time} {:5} ", record.level())?;
    message(w, record)
}

/// Writes `ingress: message key=value`, the part of a text line after time and level.
///
/// # Errors
///
/// Those of `w`.
pub fn message(w: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    write!(w, "{}: {}", record.target(), record.args())?;
    for (key, value) in &Fields::of(record).0 {
        write!(w, " {key}={value}")?;
    }
    Ok(())
}

/// The fields of a record, in their order.
struct Fields<'kvs>(Vec<(Key<'kvs>, Value<'kvs>)>);

impl<'kvs> Fields<'kvs> {
    fn of(record: &'kvs Record<'_>) -> Self {
        let mut fields = Self(Vec::with_capacity(record.key_values().count()));
        // Collecting does not fail.
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
/// fields of the record.
///
/// # Errors
///
/// Those of `w`.
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
