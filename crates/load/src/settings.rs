//! Settings file of the program.

use crate::options::{self, MAX_BODY_LEN, MAX_DURATION, MAX_RATE, MAX_REQUESTS, Options};
use knapweed_settings::{Errors, Key, Schema, Settings};
use std::path::Path;
use std::time::Duration;

const SECTION: &str = "load";
/// Largest allowed response timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;
const MAX_DURATION_MS: u64 = MAX_DURATION.as_millis() as u64;

const TARGETS: Key<String> =
    Key::text(SECTION, "targets").doc("URLs, separated by commas and used in turn.");
const COMPARE: Key<bool> = Key::boolean(SECTION, "compare")
    .default("false")
    .doc("Whether the two targets are reported apart.");
const RATE: Key<u64> = Key::integer(SECTION, "rate", 1, MAX_RATE)
    .default("100")
    .unit("requests/s")
    .doc("Rate over all targets.");
const DURATION_MS: Key<Duration> = Key::milliseconds(SECTION, "duration_ms", 1, MAX_DURATION_MS)
    .default("10000")
    .doc("Length of the run.");
const MAX_COUNT: Key<u64> = Key::integer(SECTION, "max_requests", 1, MAX_REQUESTS)
    .default("100000")
    .unit("requests")
    .doc("The run ends after this many requests.");
const METHOD: Key<String> = Key::text(SECTION, "method")
    .default("GET")
    .doc("Method of the requests.");
const BODY_BYTES: Key<u64> = Key::integer(SECTION, "body_bytes", 0, MAX_BODY_LEN)
    .default("0")
    .unit("bytes")
    .doc("Length of each body.");
const CHECK_ECHO: Key<bool> = Key::boolean(SECTION, "check_echo")
    .default("false")
    .doc("Whether the answer must repeat the body, which differs in each request.");
const KEYS: Key<bool> = Key::boolean(SECTION, "keys")
    .default("false")
    .doc("Whether each request has an idempotency key (UUIDv7) of its own.");
const TIMEOUT_MS: Key<Duration> = Key::milliseconds(SECTION, "timeout_ms", 1, MAX_TIMEOUT_MS)
    .default("5000")
    .doc("Longest time to wait for an answer.");
const WARM_UP_MS: Key<Duration> = Key::milliseconds(SECTION, "warm_up_ms", 0, MAX_DURATION_MS)
    .default("0")
    .doc("Requests of this first part of the run are sent but not reported.");

/// Returns the schema of the settings file.
pub fn schema() -> Schema {
    let specs = [
        TARGETS.spec,
        COMPARE.spec,
        RATE.spec,
        DURATION_MS.spec,
        MAX_COUNT.spec,
        METHOD.spec,
        BODY_BYTES.spec,
        CHECK_ECHO.spec,
        KEYS.spec,
        TIMEOUT_MS.spec,
        WARM_UP_MS.spec,
    ];
    Schema::new().section(SECTION, "The load.", &specs)
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Lists all errors of the file: it cannot be read, or values are missing or invalid.
pub fn load(file: &Path) -> Result<Options, Errors> {
    to_options(&schema().load(file)?)
}

/// Returns the options of a run with the given targets and default values for the rest.
///
/// # Errors
///
/// An element of `targets` is not an absolute `http://` URL, or there is none.
pub fn defaults(targets: &[String]) -> Result<Options, Errors> {
    let text = format!("[{SECTION}]\ntargets = {}\n", targets.join(","));
    to_options(&schema().parse(Path::new("command line"), &text)?)
}

fn to_options(settings: &Settings) -> Result<Options, Errors> {
    let targets = settings.get(&TARGETS);
    let targets = targets.split(',').map(options::parse_target);
    let targets: Result<Vec<_>, _> = targets.collect();
    let method = options::parse_method(&settings.get(&METHOD));
    let options = Options {
        targets: targets.map_err(|e| settings.reject(&TARGETS, e.to_string()))?,
        compare: settings.get(&COMPARE),
        rate: settings.get(&RATE),
        duration: settings.get(&DURATION_MS),
        max_requests: settings.get(&MAX_COUNT),
        method: method.map_err(|e| settings.reject(&METHOD, e.to_string()))?,
        body_len: settings.get(&BODY_BYTES),
        check_echo: settings.get(&CHECK_ECHO),
        keys: settings.get(&KEYS),
        timeout: settings.get(&TIMEOUT_MS),
        warm_up: settings.get(&WARM_UP_MS),
    };
    let checked = options.check();
    checked.map_err(|e| settings.reject(&TARGETS, e.to_string()))?;
    Ok(options)
}
