//! Request counters of one service over a window, per availability zone, version,
//! route, load level and warmth. Counters of several egresses can be merged.

use crate::Histogram;
use knapweed_world::Name;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Largest number of series, which limits the counts of a host for one rollout to less
/// than a megabyte. A report holds only the series that have changed, which are few.
pub const MAX_SERIES: usize = 1_024;

/// Time after the start of a server in which it is slower than usual, whatever its
/// version.
pub const COLD_START: Duration = Duration::from_secs(10);

new_key_type! {
    /// Key of a series, valid only in the counters that created it.
    pub struct SeriesKey;
}

/// Load of a backend server when a request arrived.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadLevel {
    /// Less than half of its slots in use.
    Low,
    /// Less than three quarters of its slots in use.
    Medium,
    /// At least three quarters of its slots in use.
    High,
    /// All slots in use; the request had to wait.
    Full,
}

impl LoadLevel {
    /// The load level of a server with `in_use` of `slots` slots in use.
    pub fn of(in_use: u32, slots: u32) -> Self {
        if in_use >= slots {
            Self::Full
        } else if in_use * 4 >= slots * 3 {
            Self::High
        } else if in_use * 2 >= slots {
            Self::Medium
        } else {
            Self::Low
        }
    }
}

/// Whether a backend server was still in its cold start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// Ready for less than [`COLD_START`].
    Cold,
    /// Ready for [`COLD_START`] or longer.
    Warm,
}

impl Warmth {
    /// The warmth of a server that has been ready for `age`.
    pub fn of(age: Duration) -> Self {
        if age < COLD_START {
            Self::Cold
        } else {
            Self::Warm
        }
    }
}

/// Labels that all requests of one series have in common.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeriesId {
    /// Availability zone of the egress.
    pub zone: Name,
    /// Version that served the request.
    pub version: Name,
    /// Route of the request.
    pub route: Name,
    /// Load of the backend server when the request arrived.
    pub load: LoadLevel,
    /// Whether the backend server was in its cold start.
    pub warmth: Warmth,
}

/// Counts of the requests of one series.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Series {
    /// Requests that ended, successfully or not.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Latencies of the requests that succeeded.
    pub latency: Histogram,
}

/// Result of one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Sample {
    /// The request succeeded.
    Succeeded {
        /// Time from the request to its response, in microseconds.
        latency_us: u64,
    },
    /// The request failed.
    Failed,
}

impl Series {
    /// Counts one request.
    pub fn record(&mut self, sample: Sample) {
        self.requests += 1;
        match sample {
            Sample::Succeeded { latency_us } => self.latency.record(latency_us),
            Sample::Failed => self.failures += 1,
        }
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.latency.merge(&other.latency);
    }

    /// The counts that were added since `earlier`, an earlier copy of this series.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            latency: self.latency.since(&earlier.latency),
        }
    }
}

/// Counters of one service over a window.
///
/// Holds at most [`MAX_SERIES`] series, those with the smallest [`SeriesId`], which
/// keeps the merge associative. Requests of the other series are counted in
/// `overflow`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Document", into = "Document")]
pub struct Counters {
    series: SlotMap<SeriesKey, Series>,
    index: BTreeMap<SeriesId, SeriesKey>,
    overflow: u64,
}

/// Serialized form of [`Counters`].
#[derive(Deserialize, Serialize)]
struct Document {
    series: Vec<(SeriesId, Series)>,
    overflow: u64,
}

impl From<Document> for Counters {
    fn from(document: Document) -> Self {
        let mut counters = Self {
            overflow: document.overflow,
            ..Self::default()
        };
        for (id, series) in &document.series {
            counters.add(id, series);
        }
        counters
    }
}

impl From<Counters> for Document {
    fn from(counters: Counters) -> Self {
        let series = counters.iter().map(|(id, s)| (id.clone(), s.clone()));
        Self {
            series: series.collect(),
            overflow: counters.overflow,
        }
    }
}

impl PartialEq for Counters {
    fn eq(&self, other: &Self) -> bool {
        self.overflow == other.overflow && self.iter().eq(other.iter())
    }
}

impl Eq for Counters {}

/// Counting and merging.
impl Counters {
    /// The key of a series, for [`record`](Self::record); `None` when the counters
    /// already hold [`MAX_SERIES`] series with smaller identifiers.
    pub fn key(&mut self, id: &SeriesId) -> Option<SeriesKey> {
        if let Some(key) = self.index.get(id) {
            return Some(*key);
        }
        let key = self.series.insert(Series::default());
        self.index.insert(id.clone(), key);
        self.evict_last();
        self.index.get(id).copied()
    }

    /// Counts one request. If the series of `key` has been evicted, the request is
    /// counted as overflow.
    pub fn record(&mut self, key: SeriesKey, sample: Sample) {
        match self.series.get_mut(key) {
            Some(series) => series.record(sample),
            None => self.overflow += 1,
        }
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.overflow = self.overflow.saturating_add(other.overflow);
        for (id, series) in other.iter() {
            self.add(id, series);
        }
    }

    fn add(&mut self, id: &SeriesId, series: &Series) {
        match self.key(id) {
            Some(key) => self.series[key].merge(series),
            None => self.overflow = self.overflow.saturating_add(series.requests),
        }
    }

    fn evict_last(&mut self) {
        if self.index.len() <= MAX_SERIES {
            return;
        }
        let Some((_, key)) = self.index.pop_last() else {
            return;
        };
        if let Some(evicted) = self.series.remove(key) {
            self.overflow = self.overflow.saturating_add(evicted.requests);
        }
    }
}

/// Parts and differences.
impl Counters {
    /// A copy of the series with these keys.
    pub fn select(&self, keys: impl IntoIterator<Item = SeriesKey>) -> Self {
        let keys: BTreeSet<_> = keys.into_iter().collect();
        let mut selected = Self::default();
        for (id, key) in self.index.iter().filter(|(_, key)| keys.contains(key)) {
            selected.add(id, &self.series[*key]);
        }
        selected
    }

    /// Replaces the series that `totals` contains, and returns what was added to them.
    pub fn replace(&mut self, totals: &Self) -> Self {
        let mut added = Self::default();
        for (id, total) in totals.iter() {
            let Some(key) = self.key(id) else {
                continue;
            };
            let known = &mut self.series[key];
            added.add(id, &total.since(known));
            *known = total.clone();
        }
        added
    }
}

/// Series and totals.
impl Counters {
    /// All series in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&SeriesId, &Series)> {
        self.index.iter().map(|(id, key)| (id, &self.series[*key]))
    }

    /// Requests that belong to none of the series, because there were too many.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// Total number of requests, with those in overflow.
    pub fn requests(&self) -> u64 {
        self.overflow + self.iter().map(|(_, s)| s.requests).sum::<u64>()
    }

    /// Whether no requests were counted.
    pub fn is_empty(&self) -> bool {
        self.requests() == 0
    }
}
