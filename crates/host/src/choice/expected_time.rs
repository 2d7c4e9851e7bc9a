//! Selection by the expected time until the response.
//!
//! Load patterns:
//!
//! - Backend servers of different speed, and ones that become slow or are cold:
//!   the expected time includes the usual service time of the route on each server.
//! - One availability zone with too few or too slow backend servers: its queueing
//!   delay is weighed against the hop to another zone.
//! - A region at capacity: requests that would miss their objective go to the other
//!   region, except those with large bodies, since the link between regions is
//!   narrow and billed.
//! - Backend servers that fail some of their requests although their health check
//!   passes: they get fewer requests, and more again as the failures age.
//! - A host that does not answer: its backend servers get no requests for a
//!   period, which doubles each time, and then a single probe.
//! - Many backend servers that are down at once: a request probes at most one of them.
//! - A backend server that has said in an answer that it is shutting down gets no more
//!   requests from the hosts that passed on the answer, whatever its host announces.
//! - Requests that may run only in some regions: the backend servers of other regions do
//!   not count, however free they are.
//! - Large responses that fill the link of a host: the wait for that link is part of the
//!   expected time of its backend servers, for all other hosts.
//! - Many ingresses that see the same load report: each adds what it has sent since,
//!   and random jitter spreads the load over backend servers with similar times.

use super::{Choice, Query, Reason, ServerChoice};
use crate::NotRun;
use knapweed_world::service::ServedVersion;
use knapweed_world::{BackendServer, BackendServerKey, Flow, Share, Snapshot, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Settings of an [`ExpectedTime`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    zone_hop: Duration,
    region_hop: Duration,
    probe_one_in: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // The round trip of 2 ms plus the cost of the traffic, which is valued
            // at about a twentieth of a request with a typical objective.
            zone_hop: Duration::from_millis(20),
            region_hop: Duration::from_millis(60),
            probe_one_in: 32,
        }
    }
}

/// Methods that change one setting each.
impl Options {
    /// Time added for responses from another availability zone of the region; it covers the
    /// round trip and the cost of the traffic.
    pub fn zone_hop(mut self, hop: Duration) -> Self {
        self.zone_hop = hop;
        self
    }

    /// Time added for responses from the other region.
    pub fn region_hop(mut self, hop: Duration) -> Self {
        self.region_hop = hop;
        self
    }

    /// One request in `n` may probe a backend server whose last load report is
    /// outdated; 0 disables this kind of probe.
    pub fn probe_one_in(mut self, n: u32) -> Self {
        self.probe_one_in = n;
        self
    }
}

/// Maximum number of backend servers compared at each distance, to bound the time of
/// a choice.
const MAX_COMPARED: usize = 16;
/// Half-life of a reported wait: the queue is worked off while other requests join it.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Age at which a load report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// A backend server without measurements is assumed to be slower than its peers by
/// this factor, since most such servers are still cold.
const UNKNOWN_FACTOR: f64 = 1.5;
/// Assumed service time while no backend server of the version has been measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Slowdown of a request on a backend server whose slots are all in use, as a
/// fraction of its usual service time.
const BUSY_SLOWDOWN: f64 = 0.5;
/// Weight of the failure rate: at 0.5, the expected time is multiplied by 5.
const FAILURE_WEIGHT: f64 = 8.0;
/// Maximum relative random addition to an expected time; it randomizes the choice among
/// backend servers with similar times.
const JITTER: f64 = 0.1;
/// A request with a large body stays in its availability zone if the response is expected
/// within this fraction of the time to the objective; the rest is a margin for
/// requests that take longer than usual.
const BULK_OBJECTIVE_FRACTION: f64 = 0.6;
/// Likewise, a request stays in its region if the response is expected within this
/// fraction; one with a large body stays there while any backend server is usable.
const REGION_OBJECTIVE_FRACTION: f64 = 0.9;

/// The default choice: draws the version by its share, then takes the backend server
/// that is expected to respond first.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedTime {
    options: Options,
}

impl ExpectedTime {
    /// Creates a choice with `options`.
    pub fn new(options: Options) -> Self {
        Self { options }
    }
}

impl ServerChoice for ExpectedTime {
    fn choose(&self, snapshot: &Snapshot, query: &Query<'_>) -> Result<Choice, NotRun> {
        let service = snapshot.service(query.service);
        let drawn = service
            .version_for(query.version_draw)
            .ok_or(NotRun::NoServer)?;
        let mut selection = Selection::new(&self.options, snapshot, query);
        if let Some(choice) = selection.choose_from_version(drawn) {
            return Ok(choice);
        }
        let others = service.versions.iter().filter(|v| v.share > Share::NONE);
        let fallback = others
            .filter(|v| selection.has_any(v))
            .max_by_key(|v| v.share);
        let choice = fallback.and_then(|v| selection.choose_from_version(v));
        choice.ok_or(NotRun::NoServer)
    }
}

/// Indices into [`ServedVersion::servers`], by distance.
const OWN_ZONE: usize = 0;
const OTHER_ZONE: usize = 1;
const OTHER_REGION: usize = 2;

/// A backend server and the expected time until its response.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    server: BackendServerKey,
    seconds: f64,
}

/// State of one choice.
struct Selection<'a> {
    options: &'a Options,
    snapshot: &'a Snapshot,
    query: &'a Query<'a>,
    flow: Flow,
    is_bulk: bool,
    rng: SmallRng,
}

impl<'a> Selection<'a> {
    fn new(options: &'a Options, snapshot: &'a Snapshot, query: &'a Query<'a>) -> Self {
        let route = snapshot.route(query.route);
        Self {
            options,
            snapshot,
            query,
            flow: route.flow,
            is_bulk: route.is_bulk,
            rng: SmallRng::seed_from_u64(query.server_draw),
        }
    }

    fn choose_from_version(&mut self, version: &ServedVersion) -> Option<Choice> {
        self.probe(version)
            .or_else(|| self.fastest(version))
            .or_else(|| self.last_resort(version))
    }

    fn has_any(&self, version: &ServedVersion) -> bool {
        let mut servers = version.servers.iter().flatten();
        servers.any(|key| self.is_allowed(*key))
    }

    fn fastest(&mut self, version: &ServedVersion) -> Option<Choice> {
        let mean_service = self.mean_service_time(version);
        let own = self.best(&version.servers[OWN_ZONE], Duration::ZERO, mean_service);
        if let Some(own) =
            own.filter(|own| self.is_bulk && self.is_within(own, BULK_OBJECTIVE_FRACTION))
        {
            return Some(chosen(own, Reason::OwnZone));
        }
        let hop = self.options.zone_hop;
        let other = self.best(&version.servers[OTHER_ZONE], hop, mean_service);
        let near = match (own, other) {
            (Some(own), Some(other)) if other.seconds < own.seconds => {
                Some((other, Reason::OtherZone))
            }
            (Some(own), _) => Some((own, Reason::OwnZone)),
            (None, other) => other.map(|other| (other, Reason::OtherZone)),
        };
        if let Some((best, reason)) = near
            && (self.is_bulk || self.is_within(&best, REGION_OBJECTIVE_FRACTION))
        {
            return Some(chosen(best, reason));
        }
        let hop = self.options.region_hop;
        let remote = self.best(&version.servers[OTHER_REGION], hop, mean_service);
        match (near, remote) {
            (Some((best, reason)), Some(remote)) if !self.is_within(&remote, 1.0) => {
                Some(chosen(best, reason))
            }
            (_, Some(remote)) => Some(chosen(remote, Reason::OtherRegion)),
            (near, None) => near.map(|(best, reason)| chosen(best, reason)),
        }
    }

    /// Whether the response is expected within this fraction of the time to the objective.
    fn is_within(&self, candidate: &Candidate, part: f64) -> bool {
        match self.query.objective {
            Some(objective) => {
                let left = objective.since(self.query.now).as_secs_f64();
                candidate.seconds <= left * part
            }
            None => true,
        }
    }

    /// Of the given backend servers, the one that is expected to respond first.
    fn best(
        &mut self,
        servers: &[BackendServerKey],
        hop: Duration,
        mean_service: f64,
    ) -> Option<Candidate> {
        let start = match servers.len() {
            0 => return None,
            len => self.rng.random_range(0..len),
        };
        let (before, after) = servers.split_at(start);
        let mut best: Option<Candidate> = None;
        let (homes, snapshot) = (self.query.homes, self.snapshot);
        let all = after.iter().chain(before);
        let at_home = all.filter(|key| homes.contain(snapshot, **key));
        for key in at_home.take(MAX_COMPARED) {
            if !self.is_usable(*key) {
                continue;
            }
            let server = self.snapshot.backend_server(*key);
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let seconds = hop.as_secs_f64() + self.expected(server, mean_service) * jitter;
            if best.is_none_or(|best| seconds < best.seconds) {
                best = Some(Candidate {
                    server: *key,
                    seconds,
                });
            }
        }
        best
    }

    /// Expected time of another request at `server`, in seconds, without the hop.
    fn expected(&self, server: &BackendServer, mean_service: f64) -> f64 {
        let load = &server.load;
        let service = match load.service_time(self.flow) {
            Some(service) => service.as_secs_f64(),
            None => mean_service * UNKNOWN_FACTOR,
        };
        let slots = f64::from(server.slots.max(1));
        let in_flight = f64::from(load.in_flight());
        let (wait, used) = match load.report(self.query.rank) {
            Some((reported, at)) if self.query.now.since(at) < MAX_REPORT_AGE => {
                let age = self.query.now.since(at).as_secs_f64();
                let sent = f64::from(load.sent_since_report()).min(in_flight);
                let excess = (sent - f64::from(reported.free)).max(0.0);
                let wait = reported.wait.as_secs_f64()
                    * 0.5f64.powf(age / WAIT_HALF_LIFE.as_secs_f64())
                    + excess * reported.slot.as_secs_f64();
                (wait, slots - f64::from(reported.free) + sent)
            }
            _ => ((in_flight - slots).max(0.0) * service / slots, in_flight),
        };
        let used = (used / slots).min(1.0);
        let busy = service * BUSY_SLOWDOWN * used * used;
        let failing = 1.0 + FAILURE_WEIGHT * load.failure_ratio(self.query.now);
        let link = match server.host == self.snapshot.local() {
            true => 0.0,
            false => load.link_wait(self.query.now).as_secs_f64(),
        };
        (wait + service + busy) * failing + link
    }

    /// Mean of the measured service times of the flow on the backend servers of a
    /// version, in seconds.
    fn mean_service_time(&self, version: &ServedVersion) -> f64 {
        let (mut sum, mut known) = (0.0, 0.0);
        for key in version.servers.iter().flatten().take(MAX_COMPARED) {
            if let Some(service) = self
                .snapshot
                .backend_server(*key)
                .load
                .service_time(self.flow)
            {
                sum += service.as_secs_f64();
                known += 1.0;
            }
        }
        match known {
            0.0 => DEFAULT_SERVICE_TIME.as_secs_f64(),
            known => sum / known,
        }
    }

    /// A backend server to probe: one whose block has ended, or, at random, one whose
    /// last load report is outdated.
    ///
    /// Only the first try of a request probes. While several servers are down, each further
    /// try could otherwise meet another of them, until the request has no tries left.
    fn probe(&mut self, version: &ServedVersion) -> Option<Choice> {
        if !self.query.excluded.is_empty() {
            return None;
        }
        let near = &version.servers[..=OTHER_ZONE];
        let mut blocked = near.iter().flatten().filter(|key| {
            let load = &self.snapshot.backend_server(**key).load;
            load.blocked_until().is_some() && self.is_allowed(**key)
        });
        let now = self.query.now;
        let found = blocked.find(|key| self.snapshot.backend_server(**key).load.claim_probe(now));
        if let Some(server) = found.copied() {
            return Some(Choice {
                server,
                reason: Reason::Probe,
            });
        }
        let one_in = self.options.probe_one_in;
        if one_in == 0 || self.rng.random_range(0..one_in) > 0 {
            return None;
        }
        let servers = near.iter().find(|servers| !servers.is_empty())?;
        let server = servers[self.rng.random_range(0..servers.len())];
        let is_stale = self.is_stale(server, now);
        (is_stale && self.is_usable(server)).then_some(Choice {
            server,
            reason: Reason::Probe,
        })
    }

    fn is_stale(&self, server: BackendServerKey, now: Time) -> bool {
        let load = &self.snapshot.backend_server(server).load;
        let report = load.report(self.query.rank);
        report.is_none_or(|(_, at)| now.since(at) > MAX_REPORT_AGE)
    }

    fn last_resort(&mut self, version: &ServedVersion) -> Option<Choice> {
        for servers in &version.servers {
            let start = match servers.len() {
                0 => continue,
                len => self.rng.random_range(0..len),
            };
            let (before, after) = servers.split_at(start);
            let mut all = after.iter().chain(before).copied();
            if let Some(server) = all.find(|key| self.is_allowed(*key)) {
                let reason = Reason::LastResort;
                return Some(Choice { server, reason });
            }
        }
        None
    }

    fn is_usable(&self, server: BackendServerKey) -> bool {
        let load = &self.snapshot.backend_server(server).load;
        load.blocked_until().is_none() && self.is_allowed(server)
    }

    fn is_allowed(&self, server: BackendServerKey) -> bool {
        let load = &self.snapshot.backend_server(server).load;
        !load.is_leaving()
            && self.query.homes.contain(self.snapshot, server)
            && !self.query.excluded.contains(self.snapshot, server)
    }
}

fn chosen(candidate: Candidate, reason: Reason) -> Choice {
    Choice {
        server: candidate.server,
        reason,
    }
}
