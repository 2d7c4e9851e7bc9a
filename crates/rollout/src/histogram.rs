//! Latency histograms with fixed buckets, so that any two can be added.

use serde::{Deserialize, Serialize};

/// Number of buckets. The last one also holds everything slower.
pub const BUCKETS: usize = 68;

/// Latencies below this many microseconds share the first bucket.
const FIRST_EDGE_US: u64 = 64;

/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: usize = 4;

/// A latency histogram with four buckets per doubling, from 64 µs to about 8 s.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "Sparse", into = "Sparse")]
pub struct Histogram {
    buckets: [u64; BUCKETS],
}

/// The buckets that are not empty, which are few in a window of one second.
#[derive(Deserialize, Serialize)]
struct Sparse(Vec<(u8, u64)>);

impl From<Sparse> for Histogram {
    fn from(sparse: Sparse) -> Self {
        let mut histogram = Self::default();
        for (index, count) in sparse.0 {
            if let Some(bucket) = histogram.buckets.get_mut(usize::from(index)) {
                *bucket = bucket.saturating_add(count);
            }
        }
        histogram
    }
}

impl From<Histogram> for Sparse {
    fn from(histogram: Histogram) -> Self {
        let filled = histogram.buckets.iter().enumerate().filter(|b| *b.1 > 0);
        Self(filled.map(|(i, count)| (i as u8, *count)).collect())
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
        }
    }
}

/// Mutation.
impl Histogram {
    /// Counts one latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.buckets[bucket_of(latency_us)] += 1;
    }

    /// Adds every count of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in self.buckets.iter_mut().zip(other.buckets) {
            *bucket = bucket.saturating_add(count);
        }
    }
}

/// Access.
impl Histogram {
    /// The number of latencies counted.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// The number of latencies in bucket `first` and the slower ones.
    pub fn count_from(&self, first: usize) -> u64 {
        self.buckets.iter().skip(first).sum()
    }

    /// The first bucket such that at most the part `tail` (0 to 1) of the
    /// latencies, but at least one when there are any, lies in it or above.
    ///
    /// Returns [`BUCKETS`] when one bucket holds more than that by itself.
    pub fn tail_bucket(&self, tail: f64) -> usize {
        let most = ((self.count() as f64 * tail) as u64).max(1);
        let mut above = 0;
        for (i, count) in self.buckets.iter().enumerate().rev() {
            above += count;
            if above > most {
                return i + 1;
            }
        }
        0
    }
}

fn bucket_of(latency_us: u64) -> usize {
    if latency_us < FIRST_EDGE_US {
        return 0;
    }
    let octave = (latency_us.ilog2() - FIRST_EDGE_US.ilog2()) as usize;
    let within = (latency_us >> (latency_us.ilog2() - 2)) as usize & (BUCKETS_PER_OCTAVE - 1);
    (1 + octave * BUCKETS_PER_OCTAVE + within).min(BUCKETS - 1)
}
