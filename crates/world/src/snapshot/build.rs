//! Construction of snapshots.

use super::{Arenas, Error, HostEntry, RouteSet, Snapshot, zone_distance};
use crate::backend_server::{Announcement, ServerId};
use crate::config::{RouteConfig, VersionShare};
use crate::link::Distance;
use crate::organisation::Homes;
use crate::rank::RankTable;
use crate::route::RouteTable;
use crate::service::{RetryTokens, ServedVersion};
use crate::{
    BackendServer, BackendServerKey, Config, CredentialDigest, Flow, Host, HostKey, Link, Name,
    Organisation, OrganisationKey, QuotaTokens, Region, RegionKey, Route, RouteKey, ServerLoad,
    ServerState, Service, ServiceCounters, ServiceKey, Zone, ZoneKey,
};
use bytes::Bytes;
use slotmap::SlotMap;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts on routes that do not configure it: the first one
/// and two retries.
const DEFAULT_MAX_ATTEMPTS: u8 = 3;

/// Maximum number of absent backend servers whose statements are kept. Each snapshot copies
/// them, and more servers than this are not absent for the restart of a node.
const MAX_ABSENT: usize = 256;

/// Builds a complete snapshot while another one is being served.
#[derive(Debug)]
pub struct Builder<'a> {
    local: Name,
    config: &'a Config,
    hosts: Vec<HostEntry>,
    shares: BTreeMap<Name, Vec<VersionShare>>,
    loads: HashMap<ServerId, Arc<ServerLoad>>,
    retained: HashMap<Name, RetainedStats>,
    route_set: Option<Arc<RouteSet>>,
    evacuated: BTreeSet<Name>,
    quota_tokens: HashMap<Name, Arc<QuotaTokens>>,
}

/// Statistics of a service that carry over from one snapshot to the next.
#[derive(Clone, Debug, Default)]
struct RetainedStats {
    counters: Arc<ServiceCounters>,
    retry_tokens: Arc<RetryTokens>,
}

/// Inputs of a snapshot, and its construction from them.
impl<'a> Builder<'a> {
    /// Starts a snapshot of `config` from the viewpoint of the host `local`.
    pub fn new(local: Name, config: &'a Config) -> Self {
        Self {
            local,
            config,
            hosts: Vec::new(),
            shares: BTreeMap::new(),
            loads: HashMap::new(),
            retained: HashMap::new(),
            route_set: None,
            evacuated: BTreeSet::new(),
            quota_tokens: HashMap::new(),
        }
    }

    /// Adds the known hosts, which must include the local one.
    pub fn hosts(mut self, hosts: impl IntoIterator<Item = HostEntry>) -> Self {
        self.hosts.extend(hosts);
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// Overrides the configured shares of a service during a rollout.
    pub fn shares(mut self, service: Name, shares: Vec<VersionShare>) -> Self {
        self.shares.insert(service, shares);
        self
    }

    /// Sets the availability zones whose backend servers get no requests.
    pub fn evacuated(mut self, zones: BTreeSet<Name>) -> Self {
        self.evacuated = zones;
        self
    }

    /// Carries over the statistics of backend servers and services, and the tokens of
    /// organisations, that exist in `previous` as well, and its routes if it has the same
    /// configuration version.
    pub fn previous(mut self, previous: &Snapshot) -> Self {
        self.loads.clone_from(&previous.loads);
        self.route_set = Some(Arc::clone(&previous.route_set));
        let services = previous.arenas.services.values();
        let retained = |s: &Service| RetainedStats {
            counters: Arc::clone(&s.counters),
            retry_tokens: Arc::clone(&s.retry_tokens),
        };
        self.retained = services.map(|s| (s.name.clone(), retained(s))).collect();
        let organisations = previous.arenas.organisations.values();
        self.quota_tokens = organisations
            .map(|o| (o.name.clone(), Arc::clone(&o.tokens)))
            .collect();
        self
    }

    /// Resolves all references between the objects and returns the snapshot.
    ///
    /// # Errors
    ///
    /// A route refers to a missing service, or the local host is not among the hosts.
    pub fn build(self) -> Result<Snapshot, Error> {
        let mut draft = Draft::default();
        draft.add_regions(&self.hosts);
        for entry in &self.hosts {
            draft.add_host(entry);
        }
        let local = draft.find_host(&self.local)?;
        draft.add_links(local);
        draft.add_services(&self);
        for entry in &self.hosts {
            let is_in_use = !self.evacuated.contains(&entry.zone);
            draft.add_backend_servers(entry, local, &self.loads, is_in_use);
        }
        draft.retain_notices(self.loads);
        let route_set = draft.route_set(self.config, self.route_set)?;
        draft.add_organisations(self.config, &self.quota_tokens);
        Ok(draft.finish(self.config, local, route_set))
    }
}

/// Arenas under construction, with an index of the names inserted so far.
#[derive(Default)]
struct Draft {
    arenas: Arenas,
    region_names: HashMap<Name, RegionKey>,
    zone_names: HashMap<Name, ZoneKey>,
    host_names: HashMap<Name, HostKey>,
    service_names: HashMap<Name, ServiceKey>,
    loads: HashMap<ServerId, Arc<ServerLoad>>,
    credentials: HashMap<CredentialDigest, OrganisationKey>,
}

impl Draft {
    /// Adds the regions of all hosts in the order of their names, so that snapshots with the
    /// same regions have the same keys.
    fn add_regions(&mut self, hosts: &[HostEntry]) {
        let names: BTreeSet<_> = hosts.iter().map(|entry| &entry.region).collect();
        for name in names {
            let key = self.arenas.regions.insert(Region {
                name: name.clone(),
                zones: Vec::new(),
            });
            self.region_names.insert(name.clone(), key);
        }
    }

    fn add_host(&mut self, entry: &HostEntry) {
        let zone = self.zone(&entry.zone, &entry.region);
        let key = self.arenas.hosts.insert(Host {
            name: entry.name.clone(),
            zone,
            address: entry.address,
            backend_servers: Vec::new(),
        });
        self.arenas.zones[zone].hosts.push(key);
        self.host_names.insert(entry.name.clone(), key);
    }

    /// Finds or adds an availability zone.
    fn zone(&mut self, name: &Name, region_name: &Name) -> ZoneKey {
        if let Some(key) = self.zone_names.get(name) {
            return *key;
        }
        let region = self.region_names[region_name];
        let zone = Zone {
            name: name.clone(),
            region,
            hosts: Vec::new(),
        };
        let key = self.arenas.zones.insert(zone);
        self.arenas.regions[region].zones.push(key);
        self.zone_names.insert(name.clone(), key);
        key
    }

    fn find_host(&self, name: &Name) -> Result<HostKey, Error> {
        let key = self.host_names.get(name).copied();
        key.ok_or_else(|| Error::MissingLocalHost(name.clone()))
    }

    fn add_links(&mut self, local: HostKey) {
        let here = self.arenas.hosts[local].zone;
        for to in self.arenas.zones.keys() {
            let distance = zone_distance(&self.arenas.zones, here, to);
            self.arenas.links.insert(Link { to, distance });
        }
    }

    fn add_services(&mut self, builder: &Builder<'_>) {
        for (name, service) in &builder.config.services {
            let shares = builder.shares.get(name).unwrap_or(&service.versions);
            let retained = builder.retained.get(name).cloned().unwrap_or_default();
            let versions = shares.iter().map(served_version).collect();
            let key = self.arenas.services.insert(Service {
                name: name.clone(),
                versions,
                health_path: service.health_path.as_deref().map(Arc::from),
                cold_limit: service.cold_limit,
                counters: retained.counters,
                retry_tokens: retained.retry_tokens,
            });
            self.service_names.insert(name.clone(), key);
        }
    }

    /// Adds the backend servers of a host. Those of an evacuated zone are not candidates.
    fn add_backend_servers(
        &mut self,
        entry: &HostEntry,
        local: HostKey,
        loads: &HashMap<ServerId, Arc<ServerLoad>>,
        is_in_use: bool,
    ) {
        let host = self.host_names[&entry.name];
        let here = self.arenas.hosts[local].zone;
        let distance = zone_distance(&self.arenas.zones, here, self.arenas.hosts[host].zone);
        for announcement in &entry.announcements {
            let Some(service) = self.service_names.get(&announcement.service).copied() else {
                continue;
            };
            let id = server_id(entry, announcement);
            let load = loads.get(&id).cloned().unwrap_or_default();
            self.loads.insert(id, Arc::clone(&load));
            let server = backend_server(announcement, service, host, load);
            let key = self.arenas.backend_servers.insert(server);
            self.arenas.hosts[host].backend_servers.push(key);
            if is_in_use && announcement.state == ServerState::Ready {
                self.add_ready_server(service, &announcement.version, distance, key);
            }
        }
    }

    /// Keeps what absent backend servers have stated about themselves. The node of their
    /// host may have restarted and announces them again soon.
    fn retain_notices(&mut self, loads: HashMap<ServerId, Arc<ServerLoad>>) {
        let absent = loads
            .into_iter()
            .filter(|(id, load)| load.has_notice() && !self.loads.contains_key(id));
        let absent: Vec<_> = absent.take(MAX_ABSENT).collect();
        self.loads.extend(absent);
    }

    /// Adds a ready backend server to the version that it runs, if that version
    /// has a share.
    fn add_ready_server(
        &mut self,
        service: ServiceKey,
        version: &Name,
        distance: Distance,
        key: BackendServerKey,
    ) {
        let versions = &mut self.arenas.services[service].versions;
        if let Some(served) = versions.iter_mut().find(|v| v.version == *version) {
            served.servers[distance_index(distance)].push(key);
        }
    }

    /// The routes of `previous` if they were resolved from the same configuration version and
    /// regions, new ones otherwise. The keys of services are the same within a version.
    fn route_set(
        &self,
        config: &Config,
        previous: Option<Arc<RouteSet>>,
    ) -> Result<Arc<RouteSet>, Error> {
        let regions = self.arenas.regions.values();
        let regions: Vec<_> = regions.map(|region| region.name.clone()).collect();
        let is_same = |set: &Arc<RouteSet>| set.version == config.version && set.regions == regions;
        if let Some(set) = previous.filter(is_same) {
            return Ok(set);
        }
        let routes = self.routes(config)?;
        Ok(Arc::new(RouteSet {
            version: config.version,
            regions,
            table: RouteTable::new(&routes),
            routes,
        }))
    }

    fn routes(&self, config: &Config) -> Result<SlotMap<RouteKey, Route>, Error> {
        let mut routes = SlotMap::with_capacity_and_key(config.routes.len());
        for (name, route) in &config.routes {
            let mut destinations = Vec::with_capacity(route.destinations.len());
            for destination in &route.destinations {
                let service = &destination.service;
                let Some(key) = self.service_names.get(service).copied() else {
                    return Err(Error::MissingService {
                        route: name.clone(),
                        service: service.clone(),
                    });
                };
                destinations.push((key, destination.weight));
            }
            let homes = self.homes(&route.home_regions);
            routes.insert(resolved_route(name, route, destinations, homes));
        }
        Ok(routes)
    }

    /// Adds the organisations. A credential that two of them hold belongs to the first by
    /// name, on all nodes alike.
    fn add_organisations(&mut self, config: &Config, tokens: &HashMap<Name, Arc<QuotaTokens>>) {
        for (name, organisation) in &config.organisations {
            let key = self.arenas.organisations.insert(Organisation {
                name: name.clone(),
                priority: organisation.priority,
                quota: organisation.quota,
                tokens: tokens.get(name).cloned().unwrap_or_default(),
                homes: self.homes(&organisation.home_regions),
            });
            for credential in &organisation.credentials {
                self.credentials.entry(*credential).or_insert(key);
            }
        }
    }

    /// The regions with these names; `None` when none are named. A region without hosts has
    /// no key and no server.
    fn homes(&self, names: &[Name]) -> Option<Homes> {
        let keys = names.iter().filter_map(|name| self.region_names.get(name));
        (!names.is_empty()).then(|| Homes(keys.copied().collect()))
    }

    fn finish(self, config: &Config, local: HostKey, route_set: Arc<RouteSet>) -> Snapshot {
        Snapshot {
            version: config.version,
            limits: config.limits,
            local,
            route_set,
            credentials: self.credentials,
            credential_policy: config.credentials,
            ranks: RankTable::new(
                config.organisations.values().map(|o| o.priority),
                config.routes.values().map(|r| r.priority),
            ),
            arenas: self.arenas,
            loads: self.loads,
        }
    }
}

fn resolved_route(
    name: &Name,
    route: &RouteConfig,
    destinations: Vec<(ServiceKey, u32)>,
    homes: Option<Homes>,
) -> Route {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    let timeout = millis(route.timeout_ms);
    Route {
        name: name.clone(),
        flow: Flow::named(name),
        host: route.host.clone().map(Bytes::from),
        path_prefix: Bytes::copy_from_slice(route.path_prefix.as_bytes()),
        destinations,
        timeout,
        idempotence: route.idempotence.clone(),
        objective: route.objective_ms.map(millis),
        max_attempts: route.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
        priority: route.priority,
        is_bulk: route.is_bulk,
        is_open: route.is_open,
        homes,
    }
}

fn served_version(share: &VersionShare) -> ServedVersion {
    ServedVersion {
        version: share.version.clone(),
        share: share.share,
        servers: Default::default(),
    }
}

fn server_id(entry: &HostEntry, announcement: &Announcement) -> ServerId {
    ServerId {
        host: entry.name.clone(),
        service: announcement.service.clone(),
        version: announcement.version.clone(),
        address: announcement.address,
        instance: announcement.instance.clone(),
    }
}

fn backend_server(
    announcement: &Announcement,
    service: ServiceKey,
    host: HostKey,
    load: Arc<ServerLoad>,
) -> BackendServer {
    BackendServer {
        service,
        version: announcement.version.clone(),
        host,
        address: announcement.address,
        slots: announcement.slots,
        max_connections: announcement.max_connections,
        state: announcement.state,
        load,
    }
}

/// Index into [`ServedVersion::servers`] for a distance between availability zones.
fn distance_index(distance: Distance) -> usize {
    match distance {
        Distance::Host | Distance::Zone => 0,
        Distance::Region => 1,
        Distance::Remote => 2,
    }
}
