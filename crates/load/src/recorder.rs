//! Samples of a run and their histograms.

use crate::client::Outcome;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
/// Significant decimal digits of latencies.
const DIGITS: u8 = 3;

/// One request as it ended.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Index of its target.
    pub target: usize,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time from sending it to its outcome.
    pub latency: Duration,
    /// Time from its planned moment to sending it.
    pub lateness: Duration,
}

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Times {
    /// An empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }

    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time below which the share `quantile` of all lies, in microseconds.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// The longest time, in microseconds.
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

impl Default for Times {
    fn default() -> Self {
        Self::new()
    }
}

/// Everything recorded about one target.
#[derive(Clone, Debug, Default)]
pub struct TargetRecord {
    /// Latencies by outcome.
    pub outcomes: BTreeMap<Outcome, Times>,
    /// How late requests were sent.
    pub lateness: Times,
}

/// Records of a run, one per target, or one for all.
#[derive(Clone, Debug)]
pub struct Recorder {
    targets: Vec<TargetRecord>,
}

impl Recorder {
    /// A recorder for `targets` targets.
    pub fn new(targets: usize) -> Self {
        Self {
            targets: vec![TargetRecord::default(); targets],
        }
    }

    /// Adds a sample; one of a target beyond the last counts for the last.
    pub fn add(&mut self, sample: &Sample) {
        let index = sample.target.min(self.targets.len().saturating_sub(1));
        if let Some(record) = self.targets.get_mut(index) {
            let times = record.outcomes.entry(sample.outcome).or_default();
            times.add(sample.latency);
            record.lateness.add(sample.lateness);
        }
    }

    /// The records.
    pub fn into_targets(self) -> Vec<TargetRecord> {
        self.targets
    }
}
