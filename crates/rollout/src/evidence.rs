//! Request counts of a rollout, which are stored with its result.

use crate::Counters;
use knapweed_world::{Name, UnixMillis};
use serde::{Deserialize, Serialize};

/// Largest number of rows, which limits the size of the stored state.
pub const MAX_ROWS: usize = 64;

/// Counts of one version on one route.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Version that served the requests.
    pub version: Name,
    /// Route of the requests.
    pub route: Name,
    /// Requests that ended, successfully or not.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
}

/// Counts per version and route, and when they were collected.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Evidence {
    /// Counts, ordered by version and route; at most [`MAX_ROWS`].
    pub rows: Vec<Row>,
    /// When the first counts arrived; `None` before any did.
    pub first: Option<UnixMillis>,
    /// When the last counts arrived; `None` before any did.
    pub last: Option<UnixMillis>,
}

impl Evidence {
    /// Adds the counts of a window. Versions and routes beyond [`MAX_ROWS`] are not
    /// counted.
    pub fn add(&mut self, counters: &Counters, now: UnixMillis) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        for (id, series) in counters.iter() {
            if let Some(row) = self.row(&id.version, &id.route) {
                row.requests = row.requests.saturating_add(series.requests);
                row.failures = row.failures.saturating_add(series.failures);
            }
        }
    }

    /// The larger count of both in each row, for copies of which either may lack some of
    /// the other's requests.
    pub fn join(&self, other: &Self) -> Self {
        let mut joined = self.clone();
        joined.first = [self.first, other.first].into_iter().flatten().min();
        joined.last = self.last.max(other.last);
        for theirs in &other.rows {
            if let Some(row) = joined.row(&theirs.version, &theirs.route) {
                row.requests = row.requests.max(theirs.requests);
                row.failures = row.failures.max(theirs.failures);
            }
        }
        joined
    }

    fn row(&mut self, version: &Name, route: &Name) -> Option<&mut Row> {
        let found = self
            .rows
            .binary_search_by(|r| (&r.version, &r.route).cmp(&(version, route)));
        let index = match found {
            Ok(index) => index,
            Err(_) if self.rows.len() >= MAX_ROWS => return None,
            Err(index) => {
                self.rows.insert(index, Row::empty(version, route));
                index
            }
        };
        self.rows.get_mut(index)
    }

    /// Total number of requests that any of `versions` served.
    pub fn requests(&self, versions: &[Name]) -> u64 {
        let rows = self.rows.iter().filter(|r| versions.contains(&r.version));
        rows.map(|r| r.requests).sum()
    }
}

impl Row {
    fn empty(version: &Name, route: &Name) -> Self {
        Self {
            version: version.clone(),
            route: route.clone(),
            requests: 0,
            failures: 0,
        }
    }
}
