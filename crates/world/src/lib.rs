//! The objects of the mesh, stored in arenas and addressed by typed keys, and the
//! immutable snapshot of them that the request path reads.
//!
//! This crate does no I/O and reads no clock.

pub mod backend_server;
pub mod cell;
pub mod config;
pub mod host;
pub mod keys;
pub mod link;
pub mod load;
pub mod name;
pub mod organisation;
pub mod quota_tokens;
pub mod rank;
pub mod region;
pub mod revision;
pub mod route;
pub mod service;
pub mod service_counters;
pub mod snapshot;
pub mod time;
pub mod zone;

pub use backend_server::{BackendServer, ServerState};
pub use cell::SnapshotCell;
pub use config::{Config, ConfigVersion, TicketNumber};
pub use host::Host;
pub use keys::{
    BackendServerKey, HostKey, LinkKey, OrganisationKey, RegionKey, RouteKey, ServiceKey, ZoneKey,
};
pub use link::Link;
pub use load::{Flow, LoadReport, Rank, RequestRate, ServerLoad};
pub use name::Name;
pub use organisation::{CredentialDigest, Organisation, OrganisationConfig, Quota};
pub use quota_tokens::{QuotaTokens, Tokens};
pub use region::Region;
pub use revision::{Revision, StoreEra};
pub use route::Route;
pub use service::{Service, Share};
pub use service_counters::{ServiceCounters, ServiceCounts};
pub use snapshot::Snapshot;
pub use time::{Time, UnixMillis};
pub use zone::Zone;
