//! The immutable snapshot of the mesh that the request path reads.

mod build;

use crate::backend_server::{Announcement, ServerId};
use crate::config::CallerLimits;
use crate::link::Distance;
use crate::organisation::CredentialPolicy;
use crate::rank::RankTable;
use crate::route::RouteTable;
use crate::{
    BackendServer, BackendServerKey, ConfigVersion, CredentialDigest, Host, HostKey, Link, LinkKey,
    Name, Organisation, OrganisationKey, Rank, Region, RegionKey, Route, RouteKey, ServerLoad,
    Service, ServiceKey, Zone, ZoneKey,
};
pub use build::Builder;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Error of [`Builder::build`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that the configuration does not contain.
    #[error("route {route} refers to service {service}, which does not exist")]
    MissingService {
        /// Name of the route.
        route: Name,
        /// Name of the missing service.
        service: Name,
    },
    /// The local host is not among the hosts.
    #[error("the local host {0} is not among the hosts")]
    MissingLocalHost(Name),
}

/// Address and load reports of a host; input of the [`Builder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the host.
    pub region: Name,
    /// UDP address on which its node receives traffic from other nodes.
    pub address: SocketAddr,
    /// Latest announcements of its backend servers.
    pub announcements: Vec<Announcement>,
}

/// The objects of a snapshot, in one arena per type.
#[derive(Clone, Debug, Default)]
struct Arenas {
    regions: SlotMap<RegionKey, Region>,
    zones: SlotMap<ZoneKey, Zone>,
    links: SlotMap<LinkKey, Link>,
    hosts: SlotMap<HostKey, Host>,
    services: SlotMap<ServiceKey, Service>,
    backend_servers: SlotMap<BackendServerKey, BackendServer>,
    organisations: SlotMap<OrganisationKey, Organisation>,
}

/// The routes of one configuration version, shared by its snapshots.
///
/// A snapshot is replaced several times a second while hosts come and go, and running
/// requests keep the earlier ones. With a copy of 2,200 routes each, these took most of the
/// memory of a node.
#[derive(Debug, Default)]
struct RouteSet {
    version: ConfigVersion,
    /// The regions by whose keys home regions were resolved, in the order of their keys.
    regions: Vec<Name>,
    routes: SlotMap<RouteKey, Route>,
    table: RouteTable,
}

/// The mesh at one configuration version, with every reference resolved.
#[derive(Clone, Debug)]
pub struct Snapshot {
    version: ConfigVersion,
    limits: CallerLimits,
    local: HostKey,
    arenas: Arenas,
    route_set: Arc<RouteSet>,
    credentials: HashMap<CredentialDigest, OrganisationKey>,
    credential_policy: CredentialPolicy,
    ranks: RankTable,
    loads: HashMap<ServerId, Arc<ServerLoad>>,
}

/// Access by key.
impl Snapshot {
    /// Configuration version of the snapshot.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits that nodes enforce on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Key of the local host.
    pub fn local(&self) -> HostKey {
        self.local
    }

    /// The host of `key`.
    pub fn host(&self, key: HostKey) -> &Host {
        &self.arenas.hosts[key]
    }

    /// The availability zone of `key`.
    pub fn zone(&self, key: ZoneKey) -> &Zone {
        &self.arenas.zones[key]
    }

    /// The region of `key`.
    pub fn region(&self, key: RegionKey) -> &Region {
        &self.arenas.regions[key]
    }

    /// The service of `key`.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.arenas.services[key]
    }

    /// The route of `key`.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.route_set.routes[key]
    }

    /// The organisation of `key`.
    pub fn organisation(&self, key: OrganisationKey) -> &Organisation {
        &self.arenas.organisations[key]
    }

    /// The backend server of `key`.
    pub fn backend_server(&self, key: BackendServerKey) -> &BackendServer {
        &self.arenas.backend_servers[key]
    }
}

/// Lookup and iteration.
impl Snapshot {
    /// The route for `host` with the longest prefix that matches `path`; see [`RouteTable::find`].
    pub fn find_route(&self, host: &[u8], path: &[u8]) -> Option<RouteKey> {
        self.route_set.table.find(host, path)
    }

    /// Whether callers must present a credential of an organisation.
    pub fn credential_policy(&self) -> CredentialPolicy {
        self.credential_policy
    }

    /// The organisation that holds a credential.
    pub fn find_organisation(&self, credential: &CredentialDigest) -> Option<OrganisationKey> {
        self.credentials.get(credential).copied()
    }

    /// The precedence of a request of `organisation` on `route`. A request without an
    /// organisation has the priority of one that states none.
    pub fn rank(
        &self,
        route: RouteKey,
        organisation: Option<OrganisationKey>,
        is_nested: bool,
    ) -> Rank {
        let route = self.route(route).priority;
        let organisation = organisation.map_or(0, |key| self.organisation(key).priority);
        match is_nested {
            true => Rank::of(route, true),
            false => self.ranks.rank(organisation, route),
        }
    }

    /// All organisations.
    pub fn organisations(&self) -> impl Iterator<Item = (OrganisationKey, &Organisation)> {
        self.arenas.organisations.iter()
    }

    /// All hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.arenas.hosts.iter()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.arenas.services.iter()
    }

    /// All routes, longest prefix first.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        let set = &self.route_set;
        set.table.iter().map(|k| &set.routes[k])
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.route_set.routes.len()
    }

    /// Links from the local availability zone to every zone, itself included.
    pub fn links(&self) -> impl Iterator<Item = &Link> {
        self.arenas.links.values()
    }

    /// All backend servers.
    pub fn backend_servers(&self) -> impl Iterator<Item = (BackendServerKey, &BackendServer)> {
        self.arenas.backend_servers.iter()
    }

    /// The region of a backend server.
    pub fn region_of(&self, server: BackendServerKey) -> RegionKey {
        self.arenas.zones[self.zone_of(server)].region
    }

    /// The availability zone of a backend server.
    pub fn zone_of(&self, server: BackendServerKey) -> ZoneKey {
        let host = self.arenas.backend_servers[server].host;
        self.arenas.hosts[host].zone
    }

    /// Network distance from the local host to `host`.
    pub fn distance(&self, host: HostKey) -> Distance {
        if host == self.local {
            return Distance::Host;
        }
        let here = self.arenas.hosts[self.local].zone;
        let there = self.arenas.hosts[host].zone;
        if here == there {
            return Distance::Zone;
        }
        zone_distance(&self.arenas.zones, here, there)
    }
}

fn zone_distance(zones: &SlotMap<ZoneKey, Zone>, here: ZoneKey, there: ZoneKey) -> Distance {
    if here == there {
        Distance::Zone
    } else if zones[here].region == zones[there].region {
        Distance::Region
    } else {
        Distance::Remote
    }
}
