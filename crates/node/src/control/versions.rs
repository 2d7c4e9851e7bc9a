//! Versions of services whose configuration names none.
//!
//! Such a service runs the versions that its backend servers had when they were first
//! announced, until the first rollout. Another version gets requests only through a rollout,
//! even when its backend servers announce themselves before this node knows the rollout, or
//! when its order was replaced before any holder of rollout control had read it.
//!
//! [`EstablishedVersions`] is the only source of these versions: requests are routed by them,
//! and the first rollout of a service starts from them. A node that has just started finds all
//! versions at once, so it takes over what others have found before ([`super::established`]).

use knapweed_observe::part;
use knapweed_wire::stream::EstablishedService;
use knapweed_world::config::VersionShare;
use knapweed_world::{Name, ServerState, Share, UnixMillis};
use knapweed_zone::Directory;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Start of a version none of whose servers has told its start.
const UNKNOWN_START: UnixMillis = UnixMillis(u64::MAX);
/// Established versions without servers for this long are not expected back: their hosts may
/// be cut off for a moment only, or be restarting.
pub const MAX_ABSENCE: Duration = Duration::from_secs(10);
/// Time within which a node learns of all servers that have been announced together.
const DISCOVERY_TIME: Duration = Duration::from_millis(500);

/// A ready backend server.
#[derive(Clone, Copy, Debug)]
pub struct ReadyServer<'a> {
    /// Service that it implements.
    pub service: &'a Name,
    /// Start of its process; `None` if it does not send it.
    pub started: Option<UnixMillis>,
    /// Version that it runs.
    pub version: &'a Name,
}

/// The ready backend servers of the hosts in `directory`.
pub(super) fn ready_servers(directory: &Directory) -> impl Iterator<Item = ReadyServer<'_>> {
    let announcements = directory
        .present()
        .flat_map(|(_, record)| record.announcements.iter());
    let ready = announcements.filter(|server| server.state == ServerState::Ready);
    ready.map(|server| {
        let started = server.instance.as_ref().map(|run| run.started_ms);
        ReadyServer {
            service: &server.service,
            started: started.filter(|ms| *ms > 0).map(UnixMillis),
            version: &server.version,
        }
    })
}

/// Earliest start of the ready servers of each version.
type Starts = BTreeMap<Name, UnixMillis>;

/// Which versions of one service have its traffic, and how that is known.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Those that have the traffic.
    established: BTreeSet<Name>,
    /// Earliest start of their servers so far, also of those that have ended.
    started: UnixMillis,
    /// When a node found them.
    since: UnixMillis,
    /// Those that have ready servers.
    present: Starts,
    /// Since when only other versions have servers.
    absent_since: Option<UnixMillis>,
    /// When the first server of the service was met, by this node or before by another.
    met: UnixMillis,
    /// Whether [`DISCOVERY_TIME`] has passed since then.
    is_settled: bool,
}

/// Updates.
impl ServiceVersions {
    /// Notes the versions that have servers at the time `wall`; returns whether the
    /// established versions have changed.
    fn update(&mut self, wall: UnixMillis, present: Starts) -> bool {
        self.present = present;
        let has_changed = self.update_established(wall);
        self.is_settled = wall.since(self.met) >= DISCOVERY_TIME;
        has_changed
    }

    fn update_established(&mut self, wall: UnixMillis) -> bool {
        if self.established.is_empty() {
            self.met = wall;
            return self.establish(wall);
        }
        let known = self.present.iter().filter(|(v, _)| self.is_established(v));
        if let Some(first) = known.map(|(_, start)| *start).min() {
            self.absent_since = None;
            self.started = self.started.min(first);
            return self.establish_older(wall);
        }
        if self.present.is_empty() {
            self.absent_since = None;
            return false;
        }
        let since = *self.absent_since.get_or_insert(wall);
        wall.since(since) >= MAX_ABSENCE && self.establish(wall)
    }

    /// Establishes the oldest of the present versions.
    fn establish(&mut self, wall: UnixMillis) -> bool {
        let Some(started) = self.present.values().min().copied() else {
            return false;
        };
        self.established = oldest(&self.present);
        self.started = started;
        self.since = wall;
        self.absent_since = None;
        true
    }

    /// Establishes a version that ran before this node found the established ones, and before
    /// the first of their servers started. The servers of a service do not become known all
    /// at once.
    fn establish_older(&mut self, wall: UnixMillis) -> bool {
        let first = self.present.values().min().copied();
        let is_older = first.is_some_and(|start| start < self.since && start < self.started);
        match is_older {
            true => self.establish(wall),
            false => self.establish_equal(wall),
        }
    }

    /// Establishes also the versions that are met soon after the established ones and have run
    /// as long, or do not tell their start: which of them had the traffic cannot be told.
    fn establish_equal(&mut self, wall: UnixMillis) -> bool {
        if wall.since(self.since) >= DISCOVERY_TIME {
            return false;
        }
        let equal = self.present.iter().filter(|(_, at)| **at == self.started);
        let before = self.established.len();
        self.established.extend(equal.map(|(v, _)| v.clone()));
        self.established.len() > before
    }

    /// Takes over what another node has found earlier, or together with this one; returns
    /// whether the established versions have changed.
    fn adopt(&mut self, found: &EstablishedService) -> bool {
        let mut versions: BTreeSet<_> = found.versions.iter().cloned().collect();
        if versions.is_empty() {
            return false;
        }
        let is_earlier = self.established.is_empty() || found.since < self.since;
        if self.is_equal(found) {
            versions.extend(self.established.iter().cloned());
        } else if !is_earlier {
            return false;
        }
        if is_earlier {
            self.started = found.started;
            self.since = found.since;
            self.met = found.since;
            self.absent_since = None;
        }
        std::mem::replace(&mut self.established, versions.clone()) != versions
    }
}

/// Queries.
impl ServiceVersions {
    fn is_established(&self, version: &Name) -> bool {
        self.established.contains(version)
    }

    /// Whether another node has found versions that have run as long, at the same time.
    fn is_equal(&self, found: &EstablishedService) -> bool {
        let (first, last) = (found.since.min(self.since), found.since.max(self.since));
        !self.established.is_empty()
            && found.started == self.started
            && last.since(first) < DISCOVERY_TIME
    }

    /// Whether it is known which versions have the traffic: others may not have become known
    /// yet, or the servers of the established ones may come back.
    fn is_known(&self) -> bool {
        self.is_settled && self.absent_since.is_none()
    }

    /// The versions that get requests. Without servers of the established ones these are
    /// others, so that the service stays available.
    fn in_use(&self) -> BTreeSet<Name> {
        let known = self.established.iter();
        let usable: BTreeSet<_> = known
            .filter(|v| self.present.contains_key(*v))
            .cloned()
            .collect();
        match (usable.is_empty(), self.present.is_empty()) {
            (false, _) => usable,
            (true, false) => oldest(&self.present),
            (true, true) => self.established.clone(),
        }
    }

    /// The shares from which a rollout to `target` moves the traffic.
    fn shares_before(&self, target: &Name) -> Vec<VersionShare> {
        let mut used = self.in_use();
        // Of several versions found together, the one that is ordered is probably the new one.
        if used.len() > 1 {
            used.remove(target);
        }
        let mut shares = even_shares(&used);
        let known = self.present.keys().chain(&self.established);
        let unused: BTreeSet<_> = known
            .filter(|v| *v != target && !used.contains(*v))
            .collect();
        shares.extend(unused.into_iter().map(|version| VersionShare {
            version: version.clone(),
            share: Share::NONE,
        }));
        shares
    }
}

/// The established versions of each service.
#[derive(Debug, Default)]
pub struct EstablishedVersions(BTreeMap<Name, ServiceVersions>);

/// Updates.
impl EstablishedVersions {
    /// Updates the established versions from the ready backend servers at the wall-clock
    /// time `wall`.
    pub fn refresh<'a>(
        &mut self,
        wall: UnixMillis,
        servers: impl Iterator<Item = ReadyServer<'a>>,
    ) {
        let mut present: BTreeMap<&Name, Starts> = BTreeMap::new();
        for server in servers {
            let versions = present.entry(server.service).or_default();
            let start = server.started.unwrap_or(UNKNOWN_START);
            match versions.get_mut(server.version) {
                Some(first) => *first = start.min(*first),
                None => drop(versions.insert(server.version.clone(), start)),
            }
        }
        for service in present.keys() {
            if !self.0.contains_key(*service) {
                self.0
                    .insert((*service).clone(), ServiceVersions::default());
            }
        }
        for (service, versions) in &mut self.0 {
            let present = present.remove(service).unwrap_or_default();
            if versions.update(wall, present) {
                log_established(service, versions);
            }
        }
    }

    /// Takes over the versions that another node has found earlier; returns whether the
    /// established versions have changed.
    pub fn adopt(&mut self, found: &[EstablishedService]) -> bool {
        let mut has_changed = false;
        for service in found {
            let versions = self.0.entry(service.service.clone()).or_default();
            if versions.adopt(service) {
                log_established(&service.service, versions);
                has_changed = true;
            }
        }
        has_changed
    }
}

/// Queries.
impl EstablishedVersions {
    /// Even shares of the versions of a service that get its requests.
    pub fn shares(&self, service: &Name) -> Vec<VersionShare> {
        let versions = self.0.get(service).map(ServiceVersions::in_use);
        even_shares(&versions.unwrap_or_default())
    }

    /// The shares from which the first rollout of a service moves its traffic to `target`: the
    /// shares in force, and none for other versions with servers.
    pub fn shares_before(&self, service: &Name, target: &Name) -> Vec<VersionShare> {
        let versions = self.0.get(service);
        versions.map_or_else(Vec::new, |versions| versions.shares_before(target))
    }

    /// Whether it is known which versions of a service have its traffic. It is not when the
    /// service was met a moment ago, or when the servers of the established versions are gone
    /// for less than [`MAX_ABSENCE`].
    pub fn are_known(&self, service: &Name) -> bool {
        self.0.get(service).is_none_or(ServiceVersions::is_known)
    }

    /// What this node knows, for others.
    pub fn found(&self) -> Vec<EstablishedService> {
        let known = self.0.iter().filter(|(_, v)| !v.established.is_empty());
        let found = known.map(|(service, versions)| EstablishedService {
            service: service.clone(),
            versions: versions.established.iter().cloned().collect(),
            started: versions.started,
            since: versions.since,
        });
        found.collect()
    }
}

fn log_established(service: &Name, versions: &ServiceVersions) {
    let names: Vec<_> = versions.established.iter().map(Name::as_str).collect();
    log::info!(
        target: part::ROLLOUT,
        "established versions of service {service}: {}, found at {}",
        names.join(", "), versions.since.0
    );
}

/// The versions whose servers have run the longest.
fn oldest(starts: &Starts) -> BTreeSet<Name> {
    let first = starts.values().min();
    let oldest = starts.iter().filter(|(_, start)| Some(*start) == first);
    oldest.map(|(version, _)| version.clone()).collect()
}

fn even_shares(versions: &BTreeSet<Name>) -> Vec<VersionShare> {
    let count = versions.len() as u16;
    let mut rest = Share::ALL.0;
    let shares = versions.iter().enumerate().map(|(index, version)| {
        let share = rest / (count - index as u16);
        rest -= share;
        VersionShare {
            version: version.clone(),
            share: Share(share),
        }
    });
    shares.collect()
}
