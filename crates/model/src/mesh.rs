//! The modelled mesh: regions, availability zones, hosts and routes.

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{BackendServerKey, ConfigVersion, Name, Share, Snapshot, TicketNumber};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of hosts, each with one backend server: three in each of four
/// availability zones.
pub const HOSTS: usize = 12;
/// Number of requests that each backend server can run at the same time.
pub const SLOTS: u16 = 8;
const ZONES: [(&str, &str); 4] = [
    ("labasa-a", "labasa"),
    ("labasa-b", "labasa"),
    ("savusavu-a", "savusavu"),
    ("savusavu-b", "savusavu"),
];
const VERSION: &str = "v1";

/// One-way network delays: within a zone, within a region, and between regions.
const ONE_WAY_DELAYS: [Duration; 3] = [
    Duration::from_micros(200),
    Duration::from_micros(900),
    Duration::from_millis(30),
];

/// Properties that all requests of one route share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestKind {
    /// Name of its route and of its service.
    pub route: &'static str,
    /// Mean service time in a backend server, without the nested call.
    pub service_time: Duration,
    /// Latency objective: a response within this time has its full worth.
    pub objective: Duration,
    /// Timeout of the route, and longest wait of a client.
    pub deadline: Duration,
    /// Priority of the route; decides which requests run under overload.
    pub priority: u8,
    /// Whether the route is idempotent, so that a request may run more than once.
    pub is_idempotent: bool,
    /// Whether the backend server sends a nested request of kind [`CALL`].
    pub calls: bool,
}

/// Requests of clients: two reads (`calendar`) to one order (`switching`).
pub const KINDS: [RequestKind; 2] = [
    RequestKind {
        route: "calendar",
        service_time: Duration::from_millis(160),
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(2_500),
        priority: 2,
        is_idempotent: true,
        calls: false,
    },
    RequestKind {
        route: "switching",
        service_time: Duration::from_millis(210),
        objective: Duration::from_millis(800),
        deadline: Duration::from_millis(3_000),
        priority: 1,
        is_idempotent: false,
        calls: true,
    },
];

/// Nested request that a backend server sends while it runs an order.
pub const CALL: RequestKind = RequestKind {
    route: "check",
    service_time: Duration::from_millis(40),
    objective: Duration::from_millis(150),
    deadline: Duration::from_millis(500),
    priority: 1,
    is_idempotent: true,
    calls: false,
};

/// Service that a host runs. Two of three hosts run `calendar`, which also serves
/// the nested calls.
pub fn service_of(host: usize) -> &'static str {
    match host % 3 {
        2 => "switching",
        _ => "calendar",
    }
}

/// Capacity of the mesh, in requests of clients per second.
pub fn capacity() -> f64 {
    let calendar = 8.0 * f64::from(SLOTS);
    let read = KINDS[0].service_time.as_secs_f64();
    let call = CALL.service_time.as_secs_f64();
    // Of three requests, two are reads and one is an order with a nested call.
    let of_calendar = 3.0 * calendar / (2.0 * read + call);
    let switching = 4.0 * f64::from(SLOTS);
    let order = KINDS[1].service_time.as_secs_f64() + call;
    of_calendar.min(3.0 * switching / order)
}

/// Index of the availability zone of a host.
pub fn zone_of(host: usize) -> usize {
    host / 3
}

/// One-way network delay between two hosts.
pub fn one_way_delay(a: usize, b: usize) -> Duration {
    let (a, b) = (zone_of(a), zone_of(b));
    match () {
        () if a == b => ONE_WAY_DELAYS[0],
        () if a / 2 == b / 2 => ONE_WAY_DELAYS[1],
        () => ONE_WAY_DELAYS[2],
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8], 8_000).into()
}

fn entry(host: usize) -> HostEntry {
    let (zone, region) = ZONES[zone_of(host)];
    HostEntry {
        name: name(&format!("host-{host}")),
        zone: name(zone),
        region: name(region),
        address: address(host),
        announcements: vec![Announcement {
            service: name(service_of(host)),
            version: name(VERSION),
            address: address(host),
            slots: SLOTS,
            max_connections: 100,
            state: ServerState::Ready,
            instance: None,
            is_cold: false,
        }],
    }
}

fn route(kind: &RequestKind) -> RouteConfig {
    let service = match kind.route {
        "check" => "calendar",
        other => other,
    };
    RouteConfig {
        path_prefix: format!("/{}", kind.route),
        destinations: vec![Destination {
            service: name(service),
            weight: 1,
        }],
        timeout_ms: kind.deadline.as_millis() as u32,
        idempotence: match kind.is_idempotent {
            true => Idempotence::Always,
            false => Idempotence::Never,
        },
        host: None,
        objective_ms: Some(kind.objective.as_millis() as u32),
        max_attempts: None,
        priority: kind.priority,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
    }
}

fn service() -> ServiceConfig {
    ServiceConfig {
        versions: vec![VersionShare {
            version: name(VERSION),
            share: Share::ALL,
        }],
        rollout: None,
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    }
}

/// Builds the snapshot of the mesh on the node of `host`. Each snapshot has its
/// own load statistics.
pub fn snapshot(host: usize) -> Snapshot {
    let kinds = KINDS.iter().chain([&CALL]);
    let config = Config {
        version: ConfigVersion(1),
        services: ["calendar", "switching"]
            .map(|s| (name(s), service()))
            .into(),
        routes: kinds.map(|k| (name(k.route), route(k))).collect(),
        ..Config::default()
    };
    let local = name(&format!("host-{host}"));
    let builder = Builder::new(local, &config).hosts((0..HOSTS).map(entry).collect::<Vec<_>>());
    builder.build().expect("a whole mesh")
}

/// Index of the host of a backend server, which its address encodes.
pub fn host_of(snapshot: &Snapshot, server: BackendServerKey) -> usize {
    match snapshot.backend_server(server).address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("the model uses no IPv6"),
    }
}
