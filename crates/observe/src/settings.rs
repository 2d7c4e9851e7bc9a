//! The settings section `[log]`, which all programs share.

use crate::logs::{LogFormat, Logs, parse_level};
use knapweed_settings::{Errors, Key, Schema, Settings};

const SECTION: &str = "log";

/// Level of logs.
pub const LEVEL: Key<String> = Key::text(SECTION, "level")
    .default("info")
    .doc("Level of logs: off, error, warn, info, debug or trace; `info, ingress=debug` sets one part apart.");

/// Form of log lines.
pub const FORM: Key<String> = Key::choice(SECTION, "form", &["text", "json"])
    .default("text")
    .doc("Form of log lines.");

/// Adds the section `[log]` to a settings schema.
pub fn add_section(schema: Schema) -> Schema {
    schema.section(
        SECTION,
        "Logs, written to standard output.",
        &[LEVEL.spec, FORM.spec],
    )
}

/// Validates the log level, which the schema cannot express.
///
/// # Errors
///
/// The level cannot be parsed.
pub fn check(settings: &Settings) -> Result<(), Errors> {
    match parse_level(&settings.get(&LEVEL)) {
        Ok(_) => Ok(()),
        Err(e) => Err(settings.reject(&LEVEL, e.to_string())),
    }
}

/// Starts the logger with the level and form of the settings.
///
/// # Errors
///
/// Those of [`Logs::start`].
pub fn start(settings: &Settings) -> Result<Logs, crate::Error> {
    let form: LogFormat = settings.get(&FORM).parse()?;
    Logs::start(form, &settings.get(&LEVEL))
}
