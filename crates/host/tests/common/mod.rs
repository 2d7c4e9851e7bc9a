//! Builds snapshots of a mesh for the tests.
#![allow(dead_code, missing_docs, unreachable_pub)]

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{
    BackendServerKey, ConfigVersion, Name, RouteKey, ServiceKey, Share, Snapshot, TicketNumber,
};

pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// A host with one backend server of the service `calendar`.
pub fn host(host: &str, zone: &str, region: &str, version: &str) -> HostEntry {
    HostEntry {
        name: name(host),
        zone: name(zone),
        region: name(region),
        address: ([127, 0, 0, 1], 1).into(),
        announcements: vec![Announcement {
            service: name("calendar"),
            version: name(version),
            address: ([127, 0, 0, 1], 2).into(),
            slots: 12,
            max_connections: 110,
            state: ServerState::Ready,
            instance: None,
            is_cold: false,
        }],
    }
}

/// Configuration of the service `calendar` with the route `/calendar`.
pub fn config(shares: &[(&str, u8)]) -> Config {
    let versions = shares.iter().map(|(version, percent)| VersionShare {
        version: name(version),
        share: Share::from_percent(*percent),
    });
    let service = ServiceConfig {
        versions: versions.collect(),
        rollout: None,
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    };
    let route = RouteConfig {
        path_prefix: "/calendar".into(),
        destinations: vec![Destination {
            service: name("calendar"),
            weight: 1,
        }],
        timeout_ms: 2_000,
        idempotence: Idempotence::Methods(vec!["GET".into(), "HEAD".into()]),
        host: None,
        objective_ms: None,
        max_attempts: None,
        priority: 0,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket: TicketNumber(1),
        changed_at: ConfigVersion(1),
    };
    Config {
        version: ConfigVersion(1),
        services: [(name("calendar"), service)].into(),
        routes: [(name("calendar"), route)].into(),
        ..Config::default()
    }
}

/// A mesh with two backend servers in the own zone, two in the other zone and one in the
/// other region, for each version.
pub fn mesh(shares: &[(&str, u8)]) -> Snapshot {
    mesh_of(shares, |_| {})
}

/// The same as [`mesh`], with changes to the route.
pub fn mesh_of(shares: &[(&str, u8)], change: impl Fn(&mut RouteConfig)) -> Snapshot {
    let mut hosts = Vec::new();
    for (version, _) in shares {
        for (host_name, zone, region) in [
            ("a1", "labasa-a", "labasa"),
            ("a2", "labasa-a", "labasa"),
            ("b1", "labasa-b", "labasa"),
            ("b2", "labasa-b", "labasa"),
            ("s1", "savusavu-a", "savusavu"),
        ] {
            hosts.push(host(
                &format!("{host_name}-{version}"),
                zone,
                region,
                version,
            ));
        }
    }
    let local = hosts[0].name.clone();
    let mut config = config(shares);
    config.routes.values_mut().for_each(change);
    let builder = Builder::new(local, &config).hosts(hosts);
    builder.build().expect("a valid mesh")
}

pub fn calendar(snapshot: &Snapshot) -> ServiceKey {
    snapshot.services().next().expect("one service").0
}

pub fn calendar_route(snapshot: &Snapshot) -> RouteKey {
    snapshot.find_route(b"", b"/calendar").expect("one route")
}

pub fn server(snapshot: &Snapshot, host: &str) -> BackendServerKey {
    let found = snapshot
        .backend_servers()
        .find(|(_, s)| snapshot.host(s.host).name == name(host));
    found.expect("a backend server on the host").0
}
