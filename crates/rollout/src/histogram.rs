//! Latency histograms with fixed buckets, so that any two can be merged.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of buckets. The last one has no upper limit.
pub const BUCKETS: usize = 68;

/// Upper edge of the first bucket in microseconds.
const FIRST_EDGE_US: u64 = 64;

/// Buckets per doubling of the latency (octave).
const BUCKETS_PER_OCTAVE: usize = 4;

/// A latency histogram with four buckets per doubling, from 64 µs to about 8 s.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "Sparse", into = "Sparse")]
pub struct Histogram {
    buckets: [u64; BUCKETS],
}

/// Serialized form: index and count of the non-empty buckets, which are few in a
/// window of one second.
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

/// Counting and merging.
impl Histogram {
    /// Counts one request with a latency in microseconds.
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

/// Differences.
impl Histogram {
    /// The counts that were added since `earlier`, an earlier copy of this histogram.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut added = self.clone();
        for (bucket, before) in added.buckets.iter_mut().zip(earlier.buckets) {
            *bucket = bucket.saturating_sub(before);
        }
        added
    }
}

/// Totals and quantiles.
impl Histogram {
    /// The number of latencies counted.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// The number of latencies in bucket `first` and in all slower ones.
    pub fn count_from(&self, first: usize) -> u64 {
        self.buckets.iter().skip(first).sum()
    }

    /// The first bucket of the slow tail: at most the fraction `tail` (0 to 1) of
    /// the latencies lies in it or above. One latency is always allowed there, so
    /// that small samples have a tail too.
    ///
    /// Returns [`BUCKETS`] when the last bucket alone holds more than that.
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

    /// The first bucket whose latencies all exceed the median by at least `by`; 0 when the
    /// histogram is empty.
    ///
    /// The lower edge of its bucket stands for the median.
    pub fn bucket_above_median(&self, by: Duration) -> usize {
        let half = self.count().div_ceil(2);
        if half == 0 {
            return 0;
        }
        let mut up_to = 0;
        let median = self.buckets.iter().position(|count| {
            up_to += count;
            up_to >= half
        });
        let by_us = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        let limit_us = lower_edge_us(median.unwrap_or_default()).saturating_add(by_us);
        bucket_of(limit_us) + 1
    }
}

/// The shortest latency in a bucket, in microseconds.
fn lower_edge_us(bucket: usize) -> u64 {
    let Some(index) = bucket.checked_sub(1) else {
        return 0;
    };
    let (octave, within) = (index / BUCKETS_PER_OCTAVE, index % BUCKETS_PER_OCTAVE);
    let quarters = (BUCKETS_PER_OCTAVE + within) as u64;
    (FIRST_EDGE_US << octave) / BUCKETS_PER_OCTAVE as u64 * quarters
}

fn bucket_of(latency_us: u64) -> usize {
    if latency_us < FIRST_EDGE_US {
        return 0;
    }
    let octave = (latency_us.ilog2() - FIRST_EDGE_US.ilog2()) as usize;
    let within = (latency_us >> (latency_us.ilog2() - 2)) as usize & (BUCKETS_PER_OCTAVE - 1);
    (1 + octave * BUCKETS_PER_OCTAVE + within).min(BUCKETS - 1)
}
