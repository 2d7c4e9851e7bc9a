//! Records the requests of a run in histograms.

use crate::client::Outcome;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the histograms, in microseconds; longer times are recorded as this.
const MAX_MICROS: u64 = 120_000_000;
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Index of the target in the options.
    pub target: usize,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from sending the request to its end.
    pub latency: Duration,
    /// Delay of sending the request after its planned time.
    pub lateness: Duration,
}

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the constant bounds are valid"))
    }

    /// Records a duration.
    pub fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Duration in microseconds that the fraction `quantile` (0.0 to 1.0) of all durations does
    /// not exceed.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// Longest duration, in microseconds.
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

impl Default for DurationHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Histograms of one target, or of all targets together.
#[derive(Clone, Debug, Default)]
pub struct TargetRecord {
    /// Latencies, separate for each outcome.
    pub outcomes: BTreeMap<Outcome, DurationHistogram>,
    /// Delays of sending requests after their planned times.
    pub lateness: DurationHistogram,
}

/// Collects the samples of a run, per target or for all targets together.
#[derive(Clone, Debug)]
pub struct Recorder {
    targets: Vec<TargetRecord>,
}

impl Recorder {
    /// Creates a recorder with `targets` records.
    pub fn new(targets: usize) -> Self {
        Self {
            targets: vec![TargetRecord::default(); targets],
        }
    }

    /// Adds a sample to the record of its target, or to the last record if there are fewer. A single
    /// record thus takes the samples of all targets.
    pub fn add(&mut self, sample: &Sample) {
        let index = sample.target.min(self.targets.len().saturating_sub(1));
        if let Some(record) = self.targets.get_mut(index) {
            let times = record.outcomes.entry(sample.outcome).or_default();
            times.add(sample.latency);
            record.lateness.add(sample.lateness);
        }
    }

    /// Returns the records in the order of the targets.
    pub fn into_targets(self) -> Vec<TargetRecord> {
        self.targets
    }
}
