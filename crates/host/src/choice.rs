//! Selection of the backend server for a request.

mod expected_time;

pub use expected_time::{ExpectedTime, Options};

use crate::NotRun;
use knapweed_world::link::Distance;
use knapweed_world::organisation::Homes;
use knapweed_world::{BackendServerKey, Rank, RouteKey, ServiceKey, Snapshot, Time};

/// Backend servers that a retry must avoid.
///
/// The keys are valid only in the snapshot that the request was accepted with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusions {
    entries: [Option<(BackendServerKey, Scope)>; Exclusions::MAX],
}

/// What an exclusion covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// One backend server.
    Server,
    /// Every backend server of the same version.
    Version,
    /// Every backend server in the same availability zone.
    Zone,
}

impl Exclusions {
    /// Capacity; the first try and two retries need three exclusions.
    pub const MAX: usize = 4;

    /// Adds an exclusion; ignored when there are [`Exclusions::MAX`] already.
    pub fn add(&mut self, server: BackendServerKey, scope: Scope) {
        if let Some(free) = self.entries.iter_mut().find(|e| e.is_none()) {
            *free = Some((server, scope));
        }
    }

    /// Whether this is the first try of the request.
    pub fn is_empty(&self) -> bool {
        self.entries.iter().all(Option::is_none)
    }

    /// Whether `server` is excluded, by itself, with its version or with its zone.
    pub fn contains(&self, snapshot: &Snapshot, server: BackendServerKey) -> bool {
        self.entries
            .iter()
            .flatten()
            .any(|(excluded, scope)| match scope {
                Scope::Server => *excluded == server,
                Scope::Version => {
                    let (a, b) = (
                        snapshot.backend_server(*excluded),
                        snapshot.backend_server(server),
                    );
                    a.service == b.service && a.version == b.version
                }
                Scope::Zone => snapshot.zone_of(*excluded) == snapshot.zone_of(server),
            })
    }
}

/// Regions in which a request may run.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeRegions<'a> {
    /// Homes of its route; `None` for all regions.
    pub route: Option<&'a Homes>,
    /// Homes of its organisation; `None` for all regions, and without an organisation.
    pub organisation: Option<&'a Homes>,
}

impl HomeRegions<'_> {
    /// Whether the request may run on `server`.
    pub fn contain(&self, snapshot: &Snapshot, server: BackendServerKey) -> bool {
        let mut limits = self.route.iter().chain(&self.organisation).peekable();
        if limits.peek().is_none() {
            return true;
        }
        let region = snapshot.region_of(server);
        limits.all(|homes| homes.contain(region))
    }
}

/// Input of a choice besides the snapshot.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The route of the request.
    pub route: RouteKey,
    /// The destination service of the request.
    pub service: ServiceKey,
    /// Regions in which it may run.
    pub homes: HomeRegions<'a>,
    /// Precedence of the request in queues.
    pub rank: Rank,
    /// Until when a response has its full value; `None` without an objective.
    pub objective: Option<Time>,
    /// The current time.
    pub now: Time,
    /// Random number in `0..10_000` for the version; the same for all tries of a request.
    pub version_draw: u16,
    /// Seed for the random numbers of the choice among backend servers.
    pub server_draw: u64,
    /// Backend servers that earlier tries rule out.
    pub excluded: &'a Exclusions,
}

/// Why a backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// A backend server of the own availability zone is expected to respond first.
    OwnZone,
    /// A backend server of another availability zone is expected to respond first,
    /// even with the cost of the hop.
    OtherZone,
    /// No backend server of the own region is usable, or expected to respond in time.
    OtherRegion,
    /// It is probed, since its block has ended or its last load report is outdated.
    Probe,
    /// Every backend server of the version that is not excluded is blocked as unreachable.
    LastResort,
}

/// The chosen backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The backend server, valid in the snapshot that was passed to the choice.
    pub server: BackendServerKey,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Chooses backend servers on the request path.
///
/// Called by many threads at the same time; implementations must not lock, block
/// or allocate.
pub trait ServerChoice: Send + Sync {
    /// Chooses a backend server.
    ///
    /// Fails with [`NotRun::NoServer`] when the service has no backend server in the home
    /// regions of the request that is not excluded.
    fn choose(&self, snapshot: &Snapshot, query: &Query<'_>) -> Result<Choice, NotRun>;
}

/// Mapping of reasons to distances.
impl Reason {
    /// Nearest distance at which the chosen backend server can be.
    pub fn distance(self) -> Distance {
        match self {
            Self::OwnZone | Self::Probe | Self::LastResort => Distance::Host,
            Self::OtherZone => Distance::Region,
            Self::OtherRegion => Distance::Remote,
        }
    }
}
