//! A mesh of four hosts, two routes and one service, used as test data.
#![allow(missing_docs, unreachable_pub)]

use knapweed_world::backend_server::{Announcement, ServerState};
use knapweed_world::config::{
    Config, Destination, Idempotence, RouteConfig, ServiceConfig, VersionShare,
};
use knapweed_world::snapshot::HostEntry;
use knapweed_world::{ConfigVersion, Name, Share, TicketNumber};

pub fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

pub fn host(host: &str, zone: &str, region: &str, port: u16, versions: &[&str]) -> HostEntry {
    HostEntry {
        name: name(host),
        zone: name(zone),
        region: name(region),
        address: ([127, 0, 0, 1], port).into(),
        announcements: versions.iter().map(|v| announcement(v, port)).collect(),
    }
}

fn announcement(version: &str, port: u16) -> Announcement {
    Announcement {
        service: name("calendar"),
        version: name(version),
        address: ([127, 0, 0, 1], port + 1000).into(),
        slots: 12,
        max_connections: 110,
        state: ServerState::Ready,
        instance: None,
        is_cold: false,
    }
}

pub fn hosts() -> Vec<HostEntry> {
    vec![
        host("a1", "labasa-a", "labasa", 1, &["v1"]),
        host("a2", "labasa-a", "labasa", 2, &["v2"]),
        host("b1", "labasa-b", "labasa", 3, &["v1"]),
        host("s1", "savusavu-a", "savusavu", 4, &["v1", "v2"]),
    ]
}

pub fn config(version: u64) -> Config {
    let mut config = Config {
        version: ConfigVersion(version),
        ..Config::default()
    };
    let service = ServiceConfig {
        versions: vec![share("v1", 75), share("v2", 25)],
        rollout: None,
        ticket: TicketNumber(version),
        changed_at: ConfigVersion(version),
        max_connections: None,
        health_path: None,
        cold_limit: None,
    };
    config.services.insert(name("calendar"), service);
    for (route, prefix) in [("all", "/"), ("calendar", "/calendar")] {
        config
            .routes
            .insert(name(route), route_config(prefix, version));
    }
    config
}

fn share(version: &str, percent: u8) -> VersionShare {
    VersionShare {
        version: name(version),
        share: Share::from_percent(percent),
    }
}

fn route_config(prefix: &str, version: u64) -> RouteConfig {
    RouteConfig {
        path_prefix: prefix.into(),
        destinations: vec![Destination {
            service: name("calendar"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        idempotence: Idempotence::Methods(vec!["GET".into()]),
        host: None,
        objective_ms: None,
        max_attempts: None,
        priority: 0,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket: TicketNumber(version),
        changed_at: ConfigVersion(version),
    }
}
