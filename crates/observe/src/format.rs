//! Formats of log lines.

use flexi_logger::{DeferredNow, Record};
use serde::Serialize;
use std::io::{self, Write};

/// Time format of text lines, in the local time zone.
const TIME_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.3f";

/// Writes `2026-12-04 10:15:30.250 WARN ingress: message`.
///
/// # Errors
///
/// Those of `w`.
pub fn text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format(TIME_FORMAT);
    write!(w, "{time} {:5} ", record.level())?;
    message(w, record)
}

/// Writes `ingress: message`, the part of a text line after time and level.
///
/// # Errors
///
/// Those of `w`.
pub fn message(w: &mut dyn Write, record: &Record<'_>) -> io::Result<()> {
    write!(w, "{}: {}", record.target(), record.args())
}

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    text: String,
}

/// Writes a JSON object with `time` (RFC 3339), `level`, `part` and `text`.
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
    };
    serde_json::to_writer(w, &line).map_err(io::Error::from)
}
