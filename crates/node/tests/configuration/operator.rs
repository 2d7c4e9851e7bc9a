//! The operator, who writes configurations to the store, and the configurations that may
//! be in force.

use crate::virtual_time::{ms, put};
use knapweed_contract::parts::WrittenFor;
use knapweed_contract::{Head, head, parts};
use knapweed_store::MemoryStore;
use knapweed_world::config::{Destination, Idempotence, RouteConfig, ServiceConfig};
use knapweed_world::{Config, ConfigVersion, Name, Revision, TicketNumber, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time within which a configuration must be in force after its acknowledgement.
pub(crate) const APPLY_BOUND: Duration = ms(3_000);
/// Routes that all configurations have.
const BASE_ROUTES: usize = 3;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

/// The versions that count at one time.
#[derive(Clone, Copy, Debug)]
struct InForce {
    since: Time,
    /// The newest version that the store has acknowledged.
    acknowledged: ConfigVersion,
    /// The version in the store, which is older after a loss.
    stored: ConfigVersion,
}

/// The operator of the mesh.
pub(crate) struct Operator {
    /// Configurations that the operator has written, by version.
    written: BTreeMap<ConfigVersion, Config>,
    newest: Config,
    /// Added routes that later changes may remove, oldest first.
    removable: Vec<Name>,
    added: usize,
    timeline: Vec<InForce>,
}

impl Operator {
    /// Writes the first configuration to an empty store.
    pub(crate) fn new(now: Time, store: &MemoryStore) -> Self {
        let mut operator = Self {
            written: BTreeMap::new(),
            newest: Config::default(),
            removable: Vec::new(),
            added: 0,
            timeline: Vec::new(),
        };
        let service = ServiceConfig {
            versions: Vec::new(),
            rollout: None,
            ticket: TicketNumber(0),
            changed_at: ConfigVersion(0),
            max_connections: None,
            health_path: None,
            cold_limit: None,
        };
        operator.newest.services.insert(name("calendar"), service);
        for _ in 0..BASE_ROUTES {
            operator.add_route();
        }
        operator.removable.clear();
        operator.newest.version = ConfigVersion(1);
        operator.write(now, store);
        operator
    }

    fn add_route(&mut self) {
        self.added += 1;
        let route = RouteConfig {
            host: None,
            path_prefix: format!("/{}", self.added),
            destinations: vec![Destination {
                service: name("calendar"),
                weight: 1,
            }],
            timeout_ms: 1_000,
            idempotence: Idempotence::Always,
            objective_ms: None,
            max_attempts: None,
            priority: 0,
            is_bulk: false,
            is_open: false,
            home_regions: Vec::new(),
            ticket: TicketNumber(0),
            changed_at: ConfigVersion(0),
        };
        let name = name(&format!("route-{}", self.added));
        self.newest.routes.insert(name.clone(), route);
        self.removable.push(name);
    }

    /// Writes the next version, `step` above the newest one.
    pub(crate) fn change(
        &mut self,
        now: Time,
        store: &MemoryStore,
        adds: bool,
        removes: bool,
        step: u64,
    ) {
        if removes && !self.removable.is_empty() {
            let removed = self.removable.remove(0);
            self.newest.routes.remove(&removed);
        }
        if adds {
            self.add_route();
        }
        let version = ConfigVersion(self.newest.version.0 + step);
        self.newest.version = version;
        let first = self.newest.routes.values_mut().next();
        first.expect("a base route").timeout_ms += 1;
        self.write(now, store);
    }

    /// Writes the newest configuration, which the store acknowledges at once.
    pub(crate) fn write(&mut self, now: Time, store: &MemoryStore) {
        let split = parts::split(&self.newest);
        let head = Head {
            version: self.newest.version,
            services: split.services,
            routes: split.routes,
            limits: self.newest.limits,
            ..Head::default()
        };
        let written_for = WrittenFor {
            ticket: TicketNumber(0),
            head: Revision::ABSENT,
        };
        for (digest, content) in &split.contents {
            let object = parts::encode_object(content, written_for);
            put(store, &parts::key(digest), object);
        }
        put(store, &head::key(), head.encode());
        let version = self.newest.version;
        self.written.insert(version, self.newest.clone());
        self.timeline.push(InForce {
            since: now,
            acknowledged: version,
            stored: version,
        });
    }

    /// Notes that the store is back with an older copy.
    pub(crate) fn store_lost(&mut self, now: Time, store: &MemoryStore) {
        let object = store.peek(&head::key()).expect("the first configuration");
        let (_, head) = Head::decode(Some(&object)).expect("a head");
        self.timeline.push(InForce {
            since: now,
            acknowledged: self.newest.version,
            stored: head.version,
        });
    }
}

/// What nodes are compared with.
impl Operator {
    pub(crate) fn newest(&self) -> ConfigVersion {
        self.newest.version
    }

    pub(crate) fn written(&self, version: ConfigVersion) -> Option<&Config> {
        self.written.get(&version)
    }

    /// The versions that may be in force: those that were the newest acknowledged one, or
    /// the one in the store, at some time within [`APPLY_BOUND`].
    pub(crate) fn in_force(&self, now: Time) -> BTreeSet<ConfigVersion> {
        let earliest = now.before(APPLY_BOUND);
        let later = self.timeline.iter().skip(1).map(|s| s.since);
        let ends = later.chain([Time(u64::MAX)]);
        let spans = self.timeline.iter().zip(ends);
        let current = spans.filter(|(_, end)| *end >= earliest);
        current
            .flat_map(|(span, _)| [span.acknowledged, span.stored])
            .collect()
    }

    /// The routes that all configurations have that may be in force.
    pub(crate) fn certain_routes(&self, now: Time) -> BTreeSet<Name> {
        let versions = self.in_force(now).into_iter();
        let configs = versions.filter_map(|version| self.written(version));
        let routes = configs.map(|c| c.routes.keys().cloned().collect::<BTreeSet<_>>());
        routes.reduce(|a, b| &a & &b).unwrap_or_default()
    }
}
