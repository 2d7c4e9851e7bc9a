//! Typed keys into the arenas of a snapshot.
//!
//! A key is valid only in the snapshot that issued it.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a region.
    pub struct RegionKey;
    /// Key of an availability zone.
    pub struct ZoneKey;
    /// Key of a host.
    pub struct HostKey;
    /// Key of a link between two availability zones.
    pub struct LinkKey;
    /// Key of a service.
    pub struct ServiceKey;
    /// Key of a backend server.
    pub struct BackendServerKey;
    /// Key of a route.
    pub struct RouteKey;
    /// Key of an organisation.
    pub struct OrganisationKey;
}
