//! Turns the cumulative counters of services into buckets per second and minute.

use super::ring::Ring;
use knapweed_observe::history::{Bucket, Change, ChangeKind, ServiceHistory};
use knapweed_world::config::VersionShare;
use knapweed_world::{ConfigVersion, Name, Service, ServiceCounts, Snapshot, UnixMillis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Buckets of one second per service, for 10 minutes.
const SECOND_BUCKETS: usize = 600;
/// Buckets of one minute per service, for 24 hours.
const MINUTE_BUCKETS: usize = 1_440;
/// Maximum number of services with a history. Each takes at most 2,040 buckets of
/// 64 bytes, which is 130,560 bytes, and 8.4 MB for all of them.
pub const MAX_SERVICES: usize = 64;
/// Maximum number of changes kept; a busy day has 980 tickets.
const MAX_CHANGES: usize = 1_024;

const MS_PER_S: u64 = 1_000;

/// Buckets of one service, and the counts at the last record.
#[derive(Debug)]
struct ServiceBuckets {
    last: ServiceCounts,
    seconds: Ring,
    minutes: Ring,
}

impl ServiceBuckets {
    fn new() -> Self {
        Self {
            last: ServiceCounts::default(),
            seconds: Ring::new(1, SECOND_BUCKETS),
            minutes: Ring::new(60, MINUTE_BUCKETS),
        }
    }

    fn record(&mut self, now_s: u32, counts: ServiceCounts) {
        // A service that was removed and added again has new counters, which start
        // at zero.
        let restarted = counts.requests() < self.last.requests();
        let before = match restarted {
            true => ServiceCounts::default(),
            false => self.last,
        };
        let new = counts.since(&before);
        self.last = counts;
        if new.requests() > 0 {
            let bucket = Bucket::new(now_s, &new);
            self.seconds.add(&bucket);
            self.minutes.add(&bucket);
        }
    }

    fn drop_before(&mut self, now_s: u32) {
        self.seconds.drop_before(now_s);
        self.minutes.drop_before(now_s);
    }
}

/// Request counts and configuration changes of a node.
#[derive(Debug)]
pub struct Recorder {
    since: UnixMillis,
    until: UnixMillis,
    buckets_by_service: BTreeMap<Name, ServiceBuckets>,
    left_out: u32,
    changes: VecDeque<Change>,
    version: ConfigVersion,
    shares: BTreeMap<Name, Vec<VersionShare>>,
    snapshot: Option<Arc<Snapshot>>,
}

/// Construction of an empty history.
impl Recorder {
    /// An empty history that starts at `now`.
    pub fn new(now: UnixMillis) -> Self {
        Self {
            since: now,
            until: now,
            buckets_by_service: BTreeMap::new(),
            left_out: 0,
            changes: VecDeque::new(),
            version: ConfigVersion::default(),
            shares: BTreeMap::new(),
            snapshot: None,
        }
    }
}

/// Recording of request counts and configuration changes.
impl Recorder {
    /// Records the counts of the services in `snapshot` since the last call.
    pub fn record(&mut self, now: UnixMillis, snapshot: &Arc<Snapshot>) {
        self.until = now;
        self.detect_changes(now, snapshot);
        let now_s = u32::try_from(now.0 / MS_PER_S).unwrap_or(u32::MAX);
        for buckets in self.buckets_by_service.values_mut() {
            buckets.drop_before(now_s);
        }
        self.left_out = 0;
        for (_, service) in snapshot.services() {
            let counts = service.counters.counts();
            if counts.requests() == 0 {
                continue;
            }
            match self.buckets(&service.name) {
                Some(buckets) => buckets.record(now_s, counts),
                None => self.left_out += 1,
            }
        }
    }

    /// The buckets of a service; `None` when [`MAX_SERVICES`] others have a history.
    fn buckets(&mut self, service: &Name) -> Option<&mut ServiceBuckets> {
        if !self.buckets_by_service.contains_key(service) {
            if self.buckets_by_service.len() >= MAX_SERVICES {
                return None;
            }
            self.buckets_by_service
                .insert(service.clone(), ServiceBuckets::new());
        }
        self.buckets_by_service.get_mut(service)
    }

    fn detect_changes(&mut self, now: UnixMillis, snapshot: &Arc<Snapshot>) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|s| Arc::ptr_eq(s, snapshot))
        {
            return;
        }
        self.snapshot = Some(Arc::clone(snapshot));
        if snapshot.version() != self.version {
            self.version = snapshot.version();
            let version = self.version;
            self.push_change(now, ChangeKind::Version { version });
        }
        let shares: BTreeMap<_, _> = snapshot
            .services()
            .map(|(_, s)| (s.name.clone(), shares(s)))
            .collect();
        let before = std::mem::replace(&mut self.shares, shares.clone());
        for (service, shares) in shares {
            if before.get(&service).is_some_and(|old| *old != shares) {
                self.push_change(now, ChangeKind::Shares { service, shares });
            }
        }
        self.drop_removed_services();
    }

    /// Drops the history of services that have been removed and had no request in 24 hours.
    fn drop_removed_services(&mut self) {
        let shares = &self.shares;
        self.buckets_by_service
            .retain(|name, buckets| shares.contains_key(name) || !buckets.minutes.is_empty());
    }

    fn push_change(&mut self, at: UnixMillis, kind: ChangeKind) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at, kind });
    }
}

/// Contents of the history.
impl Recorder {
    /// Time at which the history starts.
    pub fn since(&self) -> UnixMillis {
        self.since
    }

    /// Time of the last record.
    pub fn until(&self) -> UnixMillis {
        self.until
    }

    /// Number of services with requests that exceed [`MAX_SERVICES`] and have no history.
    pub fn left_out(&self) -> u32 {
        self.left_out
    }

    /// Changes of configuration version and version shares, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// All services with their buckets.
    pub fn services(&self) -> Vec<ServiceHistory> {
        let history = |(service, buckets): (&Name, &ServiceBuckets)| ServiceHistory {
            service: service.clone(),
            seconds: buckets.seconds.to_vec(),
            minutes: buckets.minutes.to_vec(),
        };
        self.buckets_by_service.iter().map(history).collect()
    }
}

fn shares(service: &Service) -> Vec<VersionShare> {
    let share = |v: &knapweed_world::service::ServedVersion| VersionShare {
        version: v.version.clone(),
        share: v.share,
    };
    service.versions.iter().map(share).collect()
}
