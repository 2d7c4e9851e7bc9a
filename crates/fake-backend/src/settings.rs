//! Settings file of the program.

use knapweed_observe::settings as log_settings;
use knapweed_settings::{Errors, Key, Schema, Settings};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const SECTION: &str = "backend";
/// Largest accepted value of all durations, in milliseconds.
const MAX_MS: u64 = 600_000;

const LISTEN: Key<SocketAddr> =
    Key::address(SECTION, "listen").doc("Address for requests and switches.");
const HOST: Key<String> = Key::name(SECTION, "host").doc("Name of the host.");
const ZONE: Key<String> = Key::name(SECTION, "zone").doc("Availability zone, a label for answers.");
const SERVICE: Key<String> = Key::name(SECTION, "service").doc("Service that is served.");
const VERSION: Key<String> = Key::name(SECTION, "version").doc("Version of the server.");
const SLOTS: Key<u64> = Key::integer(SECTION, "slots", 1, 1_024)
    .default("12")
    .unit("requests")
    .doc("Requests that run at a time.");
const QUEUE: Key<u64> = Key::integer(SECTION, "queue", 0, 4_096)
    .default("24")
    .unit("requests")
    .doc("Requests that wait for a slot; further ones are shed.");
const MAX_CONNECTIONS: Key<u64> = Key::integer(SECTION, "max_connections", 1, 10_000)
    .default("110")
    .unit("connections")
    .doc("Connections at a time; further ones are closed at once.");
const CONNECTION_COST_MS: Key<Duration> =
    Key::milliseconds(SECTION, "connection_cost_ms", 0, MAX_MS)
        .default("1")
        .doc("Time to set up a connection, one after the other.");
const WORK_MS: Key<Duration> = Key::milliseconds(SECTION, "work_ms", 0, MAX_MS)
    .default("5")
    .doc("Time that a request runs.");
const COLD_START_MS: Key<Duration> = Key::milliseconds(SECTION, "cold_start_ms", 0, MAX_MS)
    .default("0")
    .doc(
        "Time after the start in which the state is `warming` and a request runs 4 times as long.",
    );
const PROBE_COST_MS: Key<Duration> = Key::milliseconds(SECTION, "probe_cost_ms", 0, MAX_MS)
    .default("0")
    .doc("Time that a probe of `/health` takes a slot.");
const DRAIN_MS: Key<Duration> = Key::milliseconds(SECTION, "drain_ms", 0, MAX_MS)
    .default("10000")
    .doc("Longest time to finish running requests after SIGTERM.");
const ANNOUNCE: Key<Option<SocketAddr>> = Key::address(SECTION, "announce")
    .optional()
    .doc("Operator port of the node on this host, for announcements.");

/// Returns the schema of the settings file.
pub fn schema() -> Schema {
    let specs = [
        LISTEN.spec,
        HOST.spec,
        ZONE.spec,
        SERVICE.spec,
        VERSION.spec,
        SLOTS.spec,
        QUEUE.spec,
        MAX_CONNECTIONS.spec,
        CONNECTION_COST_MS.spec,
        WORK_MS.spec,
        COLD_START_MS.spec,
        PROBE_COST_MS.spec,
        DRAIN_MS.spec,
        ANNOUNCE.spec,
    ];
    let schema = Schema::new().section(SECTION, "The backend server.", &specs);
    log_settings::add_section(schema)
}

/// Options of a backend server, read from the settings file.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address on which callers' requests and control requests are accepted.
    pub listen: SocketAddr,
    /// Name of the host, sent in the header `knapweed-host`.
    pub host: String,
    /// Availability zone of the host, sent in the header `knapweed-zone`.
    pub zone: String,
    /// Name of the service that the server provides.
    pub service: String,
    /// Version of the service that the server runs.
    pub version: String,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further ones are shed.
    pub queue: usize,
    /// Number of connections that may be open; further ones are closed at once.
    pub max_connections: usize,
    /// Time to set up a connection; connections are set up one after the other.
    pub connection_cost: Duration,
    /// Time that a request runs unless it asks for another.
    pub work: Duration,
    /// Time after the start for which the server is warming.
    pub cold_start: Duration,
    /// Time for which a probe of `/health` occupies a slot.
    pub probe_cost: Duration,
    /// Longest time to finish requests during a graceful shutdown.
    pub drain: Duration,
    /// Operator port of the node on this host; `None` disables announcements.
    pub announce: Option<SocketAddr>,
}

impl Options {
    /// Reads the options from settings that were loaded with [`schema`].
    pub fn new(settings: &Settings) -> Self {
        let count = |key| usize::try_from(settings.get(key)).expect("the range fits into usize");
        Self {
            listen: settings.get(&LISTEN),
            host: settings.get(&HOST),
            zone: settings.get(&ZONE),
            service: settings.get(&SERVICE),
            version: settings.get(&VERSION),
            slots: count(&SLOTS),
            queue: count(&QUEUE),
            max_connections: count(&MAX_CONNECTIONS),
            connection_cost: settings.get(&CONNECTION_COST_MS),
            work: settings.get(&WORK_MS),
            cold_start: settings.get(&COLD_START_MS),
            probe_cost: settings.get(&PROBE_COST_MS),
            drain: settings.get(&DRAIN_MS),
            announce: settings.get(&ANNOUNCE),
        }
    }
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Lists all errors of the file: it cannot be read, or values are missing or invalid.
pub fn load(file: &Path) -> Result<Settings, Errors> {
    let settings = schema().load(file)?;
    log_settings::check(&settings)?;
    Ok(settings)
}
