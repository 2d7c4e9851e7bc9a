//! Parses and formats wall-clock times as RFC 3339 text.

use chrono::{DateTime, SecondsFormat, Utc};
use knapweed_world::UnixMillis;

/// Latest time that RFC 3339 can represent: the end of the year 9999.
const LAST: UnixMillis = UnixMillis(253_402_300_799_999);

/// Error of parsing a time.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not RFC 3339.
    #[error("{text:?} is not a time in RFC 3339 such as 2026-03-01T06:00:00Z: {message}")]
    Syntax {
        /// The text that was parsed.
        text: String,
        /// Message of the parser.
        message: String,
    },
    /// The time lies before 1970.
    #[error("{0:?} lies before 1970")]
    TooEarly(String),
}

/// Parses an RFC 3339 time.
pub fn parse(text: &str) -> Result<UnixMillis, Error> {
    let time = DateTime::parse_from_rfc3339(text).map_err(|e| Error::Syntax {
        text: text.to_owned(),
        message: e.to_string(),
    })?;
    match u64::try_from(time.timestamp_millis()) {
        Ok(ms) => Ok(UnixMillis(ms)),
        Err(_) => Err(Error::TooEarly(text.to_owned())),
    }
}

/// Formats a time in UTC with milliseconds. Times after the year 9999 are shown as
/// its end.
pub fn format(time: UnixMillis) -> String {
    let ms = time.min(LAST).0 as i64;
    let time = DateTime::<Utc>::from_timestamp_millis(ms).expect("LAST is in range");
    time.to_rfc3339_opts(SecondsFormat::Millis, true)
}

/// Serde functions for a field that holds an optional time as RFC 3339 text.
pub mod optional {
    use super::UnixMillis;
    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Serializes the time as RFC 3339 text.
    pub fn serialize<S: Serializer>(time: &Option<UnixMillis>, s: S) -> Result<S::Ok, S::Error> {
        match time {
            Some(time) => s.serialize_str(&super::format(*time)),
            None => s.serialize_none(),
        }
    }

    /// Deserializes the time from RFC 3339 text.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Option<UnixMillis>, D::Error> {
        let text = Option::<String>::deserialize(d)?;
        let time = text.as_deref().map(super::parse).transpose();
        time.map_err(de::Error::custom)
    }
}
