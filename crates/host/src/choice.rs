//! Choice of the backend server for a request.

use crate::NotRun;
use knapweed_world::link::Distance;
use knapweed_world::service::ServedVersion;
use knapweed_world::{BackendServer, BackendServerKey, ServiceKey, Share, Snapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Backend servers that a retry must avoid, with room for every try of a request.
///
/// Keys are valid only with the snapshot that the request was taken with.
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
}

impl Exclusions {
    /// Most exclusions that are kept; the first try and two retries need three.
    pub const MAX: usize = 4;

    /// Adds an exclusion; one more than [`Exclusions::MAX`] is ignored.
    pub fn add(&mut self, server: BackendServerKey, scope: Scope) {
        if let Some(free) = self.entries.iter_mut().find(|e| e.is_none()) {
            *free = Some((server, scope));
        }
    }

    /// Whether `server` must be avoided.
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
            })
    }
}

/// What a choice depends on besides the snapshot.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: ServiceKey,
    /// Random number in `0..10_000` for the version; the same for all tries of a request.
    pub version_draw: u16,
    /// Random number for everything else.
    pub server_draw: u64,
    /// Backend servers that were tried.
    pub excluded: &'a Exclusions,
}

/// Why a backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// It is in the own availability zone.
    OwnZone,
    /// The queue of the own availability zone costs more than the hop.
    Spill,
    /// No backend server of the own availability zone works.
    OtherZone,
    /// No backend server of the own region works.
    OtherRegion,
    /// It failed before; this request finds out whether it works again.
    Probe,
    /// No backend server is known to work.
    LastResort,
}

/// The chosen backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The backend server, in the snapshot of the query.
    pub server: BackendServerKey,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Chooses backend servers on the request path.
///
/// Called by many threads at the same time; implementations take no lock,
/// wait for nothing and allocate nothing.
pub trait ServerChoice: Send + Sync {
    /// Chooses a backend server, or says why none can take the request.
    fn choose(&self, snapshot: &Snapshot, query: &Query<'_>) -> Result<Choice, NotRun>;
}

/// Settings of [`NearestLeastLoaded`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    hop: Duration,
    failures: u32,
    probe_one_in: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hop: Duration::from_millis(2),
            failures: 3,
            probe_one_in: 32,
        }
    }
}

/// Settings, one by one.
impl Options {
    /// Round trip to another availability zone of the region.
    pub fn hop(mut self, hop: Duration) -> Self {
        self.hop = hop;
        self
    }

    /// Failures in a row from which a backend server is avoided.
    pub fn failures(mut self, failures: u32) -> Self {
        self.failures = failures;
        self
    }

    /// One request in this many ignores load and earlier failures, so that
    /// outdated measurements are replaced; 0 disables probing.
    pub fn probe_one_in(mut self, n: u32) -> Self {
        self.probe_one_in = n;
        self
    }
}

/// The default choice: version by shares, then the nearest availability zone,
/// then the less loaded of two random backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestLeastLoaded {
    options: Options,
}

/// Index of the own availability zone, the own region and the other region in
/// [`ServedVersion::servers`].
const RINGS: [(usize, Reason); 3] = [
    (0, Reason::OwnZone),
    (1, Reason::OtherZone),
    (2, Reason::OtherRegion),
];

impl NearestLeastLoaded {
    /// A choice with `options`.
    pub fn new(options: Options) -> Self {
        Self { options }
    }
}

impl ServerChoice for NearestLeastLoaded {
    fn choose(&self, snapshot: &Snapshot, query: &Query<'_>) -> Result<Choice, NotRun> {
        let service = snapshot.service(query.service);
        let drawn = service
            .version_for(query.version_draw)
            .ok_or(NotRun::NoServer)?;
        let mut pick = Pick::new(&self.options, snapshot, query);
        if let Some(choice) = pick.in_version(drawn) {
            return Ok(choice);
        }
        let others = service.versions.iter().filter(|v| v.share > Share::NONE);
        let fallback = others.filter(|v| pick.has_any(v)).max_by_key(|v| v.share);
        let choice = fallback.and_then(|v| pick.in_version(v));
        choice.ok_or(NotRun::NoServer)
    }
}

/// One choice under way.
struct Pick<'a> {
    options: &'a Options,
    snapshot: &'a Snapshot,
    excluded: &'a Exclusions,
    rng: SmallRng,
    probe: bool,
}

impl<'a> Pick<'a> {
    fn new(options: &'a Options, snapshot: &'a Snapshot, query: &Query<'a>) -> Self {
        let mut rng = SmallRng::seed_from_u64(query.server_draw);
        let one_in = options.probe_one_in;
        let probe = one_in > 0 && rng.random_range(0..one_in) == 0;
        Self {
            options,
            snapshot,
            excluded: query.excluded,
            rng,
            probe,
        }
    }

    fn in_version(&mut self, version: &ServedVersion) -> Option<Choice> {
        self.probe(version)
            .or_else(|| self.nearest(version))
            .or_else(|| self.last_resort(version))
    }

    fn has_any(&self, version: &ServedVersion) -> bool {
        version
            .servers
            .iter()
            .flatten()
            .any(|k| self.is_allowed(*k))
    }

    /// Takes any backend server of the nearest ring that has one, without
    /// regard to its load or failures.
    fn probe(&mut self, version: &ServedVersion) -> Option<Choice> {
        if !self.probe {
            return None;
        }
        let (ring, reason) = *RINGS
            .iter()
            .find(|(r, _)| !version.servers[*r].is_empty())?;
        let server = self.one_of(&version.servers[ring], Self::is_allowed)?;
        let reason = if self.works(server) {
            reason
        } else {
            Reason::Probe
        };
        Some(Choice { server, reason })
    }

    fn nearest(&mut self, version: &ServedVersion) -> Option<Choice> {
        for (ring, reason) in RINGS {
            let Some(server) = self.less_loaded_of_two(&version.servers[ring]) else {
                continue;
            };
            if reason == Reason::OwnZone
                && let Some(other) = self.spill(server, version)
            {
                return Some(Choice {
                    server: other,
                    reason: Reason::Spill,
                });
            }
            return Some(Choice { server, reason });
        }
        None
    }

    /// A backend server of another availability zone that answers sooner than
    /// `own`, with the hop included.
    fn spill(
        &mut self,
        own: BackendServerKey,
        version: &ServedVersion,
    ) -> Option<BackendServerKey> {
        let snapshot = self.snapshot;
        let own = snapshot.backend_server(own);
        let latency = own.load.latency_us();
        let hop = self.options.hop.as_micros() as u64;
        // Without a queue the other availability zone could save at most the latency.
        if u64::from(latency) <= hop && own.load.in_flight() < u32::from(own.slots) {
            return None;
        }
        let other = self.less_loaded_of_two(&version.servers[1])?;
        let cost = estimate(snapshot.backend_server(other), latency).saturating_add(hop);
        (estimate(own, latency) > cost).then_some(other)
    }

    fn last_resort(&mut self, version: &ServedVersion) -> Option<Choice> {
        for servers in &version.servers {
            if let Some(server) = self.one_of(servers, Self::is_allowed) {
                let reason = Reason::LastResort;
                return Some(Choice { server, reason });
            }
        }
        None
    }

    fn less_loaded_of_two(&mut self, servers: &[BackendServerKey]) -> Option<BackendServerKey> {
        let first = self.one_of(servers, Self::is_usable)?;
        let second = self.one_of(servers, Self::is_usable)?;
        let a = self.snapshot.backend_server(first);
        let b = self.snapshot.backend_server(second);
        Some(if is_less_loaded(b, a) { second } else { first })
    }

    /// A random backend server that passes `filter`.
    fn one_of(
        &mut self,
        servers: &[BackendServerKey],
        filter: fn(&Self, BackendServerKey) -> bool,
    ) -> Option<BackendServerKey> {
        const DRAWS: usize = 4;
        if servers.is_empty() {
            return None;
        }
        let mut start = 0;
        for _ in 0..DRAWS {
            start = self.rng.random_range(0..servers.len());
            if filter(self, servers[start]) {
                return Some(servers[start]);
            }
        }
        let (before, after) = servers.split_at(start);
        let mut rest = after.iter().chain(before);
        rest.find(|k| filter(self, **k)).copied()
    }

    fn is_usable(&self, server: BackendServerKey) -> bool {
        self.is_allowed(server) && self.works(server)
    }

    fn is_allowed(&self, server: BackendServerKey) -> bool {
        !self.excluded.contains(self.snapshot, server)
    }

    fn works(&self, server: BackendServerKey) -> bool {
        self.snapshot.backend_server(server).load.failures() < self.options.failures
    }
}

/// Expected time of one more request, in microseconds: the latency, and more
/// when this host alone has filled the slots.
///
/// A backend server without an answer so far is assumed to have `default_latency`.
fn estimate(server: &BackendServer, default_latency: u32) -> u64 {
    let latency = match server.load.latency_us() {
        0 => default_latency,
        latency => latency,
    };
    let slots = u64::from(server.slots.max(1));
    let rounds = slots.max(u64::from(server.load.in_flight()) + 1);
    u64::from(latency) * rounds / slots
}

/// Compares requests in flight per slot, weighted by latency.
fn is_less_loaded(a: &BackendServer, b: &BackendServer) -> bool {
    let (latency_a, latency_b) = match (a.load.latency_us(), b.load.latency_us()) {
        (0, _) | (_, 0) => (1, 1),
        known => known,
    };
    let cost = |server: &BackendServer, latency: u32| {
        (u128::from(server.load.in_flight()) + 1) * u128::from(latency)
    };
    let cost_a = cost(a, latency_a) * u128::from(b.slots.max(1));
    let cost_b = cost(b, latency_b) * u128::from(a.slots.max(1));
    cost_a < cost_b
}

/// The distance that a reason implies at least.
impl Reason {
    /// Nearest distance at which the chosen backend server can be.
    pub fn distance(self) -> Distance {
        match self {
            Self::OwnZone | Self::Probe | Self::LastResort => Distance::Host,
            Self::Spill | Self::OtherZone => Distance::Region,
            Self::OtherRegion => Distance::Remote,
        }
    }
}
