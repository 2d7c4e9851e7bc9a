//! Counters of one service over a window, per availability zone, version,
//! route and load level. Counters of several egresses add up.

use crate::Histogram;
use knapweed_world::Name;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::time::Duration;

/// Most series kept; it bounds the message to a few tens of kilobytes.
pub const MAX_SERIES: usize = 256;

/// The first part of a server's life, in which it is slow for its own reasons.
pub const COLD_START: Duration = Duration::from_secs(10);

new_key_type! {
    /// Key of a series in the counters that made it.
    pub struct SeriesKey;
}

/// Load of a backend server when a request reached it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadLevel {
    /// Less than half of its slots in use.
    Low,
    /// Less than three quarters of its slots in use.
    Medium,
    /// At least three quarters of its slots in use.
    High,
    /// All slots in use; the request waited.
    Full,
}

impl LoadLevel {
    /// The level with `in_use` of `slots` slots in use.
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

/// Whether a backend server was past its cold start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// Within [`COLD_START`].
    Cold,
    /// Past it.
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

/// What the requests of one series have in common.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeriesId {
    /// Availability zone of the egress.
    pub zone: Name,
    /// Version that ran the request.
    pub version: Name,
    /// Route of the request.
    pub route: Name,
    /// Load of the backend server.
    pub load: LoadLevel,
    /// Warmth of the backend server.
    pub warmth: Warmth,
}

/// Counts of one series.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Series {
    /// Requests that ended.
    pub requests: u64,
    /// Those that failed.
    pub failures: u64,
    /// Latency of those that succeeded.
    pub latency: Histogram,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Sample {
    /// It succeeded after this many microseconds.
    Succeeded {
        /// Latency in microseconds.
        latency_us: u64,
    },
    /// It failed.
    Failed,
}

impl Series {
    /// Counts a request.
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
}

/// Counters of one service over a window.
///
/// Holds at most [`MAX_SERIES`] series: those that come first in the order of
/// [`SeriesId`]. This keeps the merge associative. Requests of the others are
/// counted in `overflow`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Document", into = "Document")]
pub struct Counters {
    series: SlotMap<SeriesKey, Series>,
    index: BTreeMap<SeriesId, SeriesKey>,
    overflow: u64,
}

/// Counters as they are sent.
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

/// Mutation.
impl Counters {
    /// The key of a series, for [`record`](Self::record); `None` when the
    /// counters are full of series that come before it.
    pub fn key(&mut self, id: &SeriesId) -> Option<SeriesKey> {
        if let Some(key) = self.index.get(id) {
            return Some(*key);
        }
        let key = self.series.insert(Series::default());
        self.index.insert(id.clone(), key);
        self.drop_last();
        self.index.get(id).copied()
    }

    /// Counts a request. A key of a dropped series counts as overflow.
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

    fn drop_last(&mut self) {
        if self.index.len() <= MAX_SERIES {
            return;
        }
        let Some((_, key)) = self.index.pop_last() else {
            return;
        };
        if let Some(dropped) = self.series.remove(key) {
            self.overflow = self.overflow.saturating_add(dropped.requests);
        }
    }
}

/// Access.
impl Counters {
    /// Every series in the order of its identity.
    pub fn iter(&self) -> impl Iterator<Item = (&SeriesId, &Series)> {
        self.index.iter().map(|(id, key)| (id, &self.series[*key]))
    }

    /// Requests that no series counts.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// All requests.
    pub fn requests(&self) -> u64 {
        self.overflow + self.iter().map(|(_, s)| s.requests).sum::<u64>()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.requests() == 0
    }
}
