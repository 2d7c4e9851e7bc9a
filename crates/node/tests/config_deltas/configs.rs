//! Configurations with many routes, and the stores of a sender and a receiver.

use knapweed_contract::{Head, PartCache, parts};
use knapweed_node::control::config::ConfigStore;
use knapweed_world::config::{Destination, Idempotence, RouteConfig, ServiceConfig};
use knapweed_world::{Config, ConfigVersion, Name, TicketNumber};

/// Number of services of the target size.
pub(crate) const SERVICES: usize = 160;

pub(crate) fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// A service whose versions change with `revision`.
pub(crate) fn service(revision: u64) -> ServiceConfig {
    ServiceConfig {
        versions: Vec::new(),
        rollout: None,
        ticket: TicketNumber(revision),
        changed_at: ConfigVersion(revision),
        max_connections: Some(110),
        health_path: Some("/health".to_owned()),
        cold_limit: None,
    }
}

/// Route number `number`; its timeout changes with `revision`.
pub(crate) fn route(number: usize, revision: u64) -> (Name, RouteConfig) {
    let route = RouteConfig {
        host: None,
        path_prefix: format!("/area-{}/listing-{number}", number % 40),
        destinations: vec![Destination {
            service: name(&format!("service-{}", number * 7 % SERVICES)),
            weight: 1,
        }],
        timeout_ms: 1_000 + 100 * (number as u32 % 9) + revision as u32,
        idempotence: match number % 3 {
            0 => Idempotence::Never,
            1 => Idempotence::Always,
            _ => Idempotence::Methods(vec!["GET".to_owned(), "HEAD".to_owned()]),
        },
        objective_ms: Some(200),
        max_attempts: None,
        priority: (number % 3) as u8,
        is_bulk: false,
        is_open: false,
        home_regions: Vec::new(),
        ticket: TicketNumber(0),
        changed_at: ConfigVersion(0),
    };
    // Neighbours in number are not neighbours in the order of names.
    let scattered = (number as u32).wrapping_mul(2_654_435_761);
    (name(&format!("listing-{scattered:08x}")), route)
}

/// A configuration of [`SERVICES`] services and the routes with the numbers below `routes`.
pub(crate) fn config_of(version: u64, routes: usize) -> Config {
    let services = 0..SERVICES;
    Config {
        version: ConfigVersion(version),
        services: services
            .map(|number| (name(&format!("service-{number}")), service(0)))
            .collect(),
        routes: (0..routes).map(|number| route(number, 0)).collect(),
        ..Config::default()
    }
}

/// The head and the parts of a configuration, as a load from the store gives them.
pub(crate) fn loaded(config: &Config) -> (Head, PartCache) {
    let parts = parts::split(config);
    let mut cache = PartCache::default();
    for content in parts.contents.into_values() {
        cache.insert(content);
    }
    let head = Head {
        version: config.version,
        services: parts.services,
        routes: parts.routes,
        limits: config.limits,
        ..Head::default()
    };
    (head, cache)
}

/// Puts a configuration into force as a load from the store does.
pub(crate) fn load(store: &mut ConfigStore, config: &Config) {
    let (head, cache) = loaded(config);
    store.replace(&head, cache).expect("a whole configuration");
}

/// A store that has loaded these configurations, one after the other.
pub(crate) fn store_of<'a>(configs: impl IntoIterator<Item = &'a Config>) -> ConfigStore {
    let mut store = ConfigStore::default();
    for config in configs {
        load(&mut store, config);
    }
    store
}
