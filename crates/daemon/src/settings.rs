//! Schema of the node's settings file, and its checked options.

use knapweed_host::HostResources;
use knapweed_host::quota::Tolerance;
use knapweed_observe::settings as log_settings;
use knapweed_settings::{Errors, Key, Schema, Settings};
use knapweed_transport::tls::Files;
use knapweed_world::Name;
use knapweed_world::config::Caution;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bytes of a megabyte of memory.
const BYTES_PER_MB: usize = 1 << 20;

const NODE: &str = "node";
const LISTEN: &str = "listen";
const TLS: &str = "tls";
const PLATFORM: &str = "platform";
const TICKETS: &str = "tickets";
const LIMITS: &str = "limits";

const HOST: Key<String> = Key::name(NODE, "host").doc("Name of the host, unique in the mesh.");
const ZONE: Key<String> = Key::name(NODE, "zone").doc("Availability zone of the host.");
const REGION: Key<String> = Key::name(NODE, "region").doc("Region of the availability zone.");
const SEEDS: Key<Vec<SocketAddr>> = Key::addresses(NODE, "seeds")
    .default("")
    .doc("Nodes to ask at the start, besides those that the platform names.");
const THREADS: Key<u64> = Key::integer(NODE, "threads", 1, 64)
    .default("2")
    .unit("threads")
    .doc("Threads for requests.");

const CALLERS: Key<SocketAddr> = Key::address(LISTEN, "callers").doc("For callers (HTTP).");
const OPERATORS: Key<SocketAddr> = Key::address(LISTEN, "operators")
    .doc("For operators, metrics and backend servers of this host (HTTP); keep it on loopback.");
const NODES: Key<SocketAddr> =
    Key::address(LISTEN, "nodes").doc("For other nodes (QUIC over UDP); they connect to it by IP.");

const CERTIFICATE: Key<PathBuf> =
    Key::existing_file(TLS, "certificate").doc("Certificate of the node, PEM.");
const KEY: Key<PathBuf> = Key::existing_file(TLS, "key").doc("Private key of the node, PEM.");
const AUTHORITY: Key<PathBuf> =
    Key::existing_file(TLS, "authority").doc("Certificate of the authority of all nodes, PEM.");

const ADDRESS: Key<SocketAddr> =
    Key::address(PLATFORM, "address").doc("The platform's object API (HTTP).");
const TIMEOUT: Key<Duration> = Key::milliseconds(PLATFORM, "timeout_ms", 10, 60_000)
    .default("2000")
    .doc("Longest wait for an answer of the platform.");

const CAUTION: Key<String> = Key::choice(TICKETS, "caution", &["careful", "swift"])
    .default("careful")
    .doc("Weight of caution against speed for rollouts that do not say it.");
const DEADLINE: Key<Duration> = Key::milliseconds(TICKETS, "deadline_ms", 10_000, 86_400_000)
    .default("600000")
    .doc("Deadline of rollouts that do not say it, from acceptance.");

const REGION_BYTES: Key<u64> =
    Key::integer(LIMITS, "region_link_bytes_per_s", 1_000, 1_000_000_000)
        .default("50000")
        .unit("bytes/s")
        .doc("Bytes of calls that this node may send to another region.");

const MEMORY: Key<u64> = Key::integer(LIMITS, "memory_mb", 16, 1_048_576)
    .default("256")
    .unit("MB")
    .doc("Memory of the host for this program; callers may make it hold 40% of that.");
const DESCRIPTORS: Key<u64> = Key::integer(LIMITS, "descriptors", 300, 1_048_576)
    .default("4096")
    .unit("descriptors")
    .doc("Descriptors of this program; callers may use three quarters of those beyond 200.");
const QUOTA_WINDOW: Key<Duration> = Key::milliseconds(LIMITS, "quota_window_ms", 1_000, 60_000)
    .default("5000")
    .doc("Window in which the requests of an organisation are compared with its quota.");
const QUOTA_EXCESS: Key<u64> = Key::integer(LIMITS, "quota_excess_percent", 0, 100)
    .default("10")
    .unit("%")
    .doc("Share of its quota by which an organisation may exceed it in a window.");
const QUOTA_REQUESTS: Key<u64> = Key::integer(LIMITS, "quota_excess_requests", 0, 1_000_000)
    .default("20")
    .unit("requests")
    .doc("Requests of an organisation beyond that in a window, over all nodes.");

/// Returns the schema of the settings file.
pub fn schema() -> Schema {
    let node = [HOST.spec, ZONE.spec, REGION.spec, SEEDS.spec, THREADS.spec];
    let listen = [CALLERS.spec, OPERATORS.spec, NODES.spec];
    let tls = [CERTIFICATE.spec, KEY.spec, AUTHORITY.spec];
    let schema = Schema::new()
        .section(NODE, "The node and its place.", &node)
        .section(LISTEN, "Addresses that the node listens on.", &listen)
        .section(TLS, "Mutual TLS between nodes.", &tls)
        .section(PLATFORM, "The platform.", &[ADDRESS.spec, TIMEOUT.spec])
        .section(
            TICKETS,
            "Defaults of tickets.",
            &[CAUTION.spec, DEADLINE.spec],
        )
        .section(
            LIMITS,
            "Limits.",
            &[
                REGION_BYTES.spec,
                MEMORY.spec,
                DESCRIPTORS.spec,
                QUOTA_WINDOW.spec,
                QUOTA_EXCESS.spec,
                QUOTA_REQUESTS.spec,
            ],
        );
    log_settings::add_section(schema)
}

/// Options of the node, read from the settings file.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the host, unique in the mesh.
    pub host: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the availability zone.
    pub region: Name,
    /// Addresses of nodes that the node contacts to join the mesh, besides those
    /// that it finds in the object store.
    pub seeds: Vec<SocketAddr>,
    /// Number of worker threads that handle requests.
    pub threads: usize,
    /// Address on which callers send requests (HTTP).
    pub callers: SocketAddr,
    /// Address for operators, metrics and backend servers of the host (HTTP).
    pub operators: SocketAddr,
    /// Address on which other nodes connect (QUIC over UDP).
    pub nodes: SocketAddr,
    /// Files of the node's certificate and key, and of the authority of all nodes.
    pub tls: Files,
    /// Address of the platform's object API (HTTP).
    pub platform: SocketAddr,
    /// Timeout of a request to the object API.
    pub platform_timeout: Duration,
    /// Caution of rollouts whose ticket gives none.
    pub caution: Caution,
    /// Deadline of rollouts whose ticket gives none, from acceptance.
    pub deadline: Duration,
    /// Bytes of calls that the node may send to another region, per second.
    pub region_bytes_per_s: u64,
    /// Memory and descriptors of the host for this program.
    pub resources: HostResources,
    /// How far the requests of an organisation may exceed its quota.
    pub quota_tolerance: Tolerance,
    /// All settings of the file, from which logging is configured.
    pub settings: Settings,
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn load(file: &Path) -> Result<Options, Errors> {
    let settings = schema().load(file)?;
    log_settings::check(&settings)?;
    let name = |key: &Key<String>| settings.get(key).parse().expect("the kind is a name");
    Ok(Options {
        host: name(&HOST),
        zone: name(&ZONE),
        region: name(&REGION),
        seeds: settings.get(&SEEDS),
        threads: settings.get(&THREADS) as usize,
        callers: settings.get(&CALLERS),
        operators: settings.get(&OPERATORS),
        nodes: settings.get(&NODES),
        tls: Files {
            certificate: settings.get(&CERTIFICATE),
            key: settings.get(&KEY),
            authority: settings.get(&AUTHORITY),
        },
        platform: settings.get(&ADDRESS),
        platform_timeout: settings.get(&TIMEOUT),
        caution: match settings.get(&CAUTION).as_str() {
            "swift" => Caution::Swift,
            _ => Caution::Careful,
        },
        deadline: settings.get(&DEADLINE),
        region_bytes_per_s: settings.get(&REGION_BYTES),
        resources: HostResources {
            memory: settings.get(&MEMORY) as usize * BYTES_PER_MB,
            descriptors: settings.get(&DESCRIPTORS) as usize,
        },
        quota_tolerance: Tolerance {
            window: settings.get(&QUOTA_WINDOW),
            share: settings.get(&QUOTA_EXCESS) as f64 / 100.0,
            requests: settings.get(&QUOTA_REQUESTS) as u32,
        },
        settings,
    })
}
