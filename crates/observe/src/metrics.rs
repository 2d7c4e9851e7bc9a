//! Registry of metrics and its text exposition.
//!
//! Counters, gauges and histograms are the types of `prometheus-client`: cheap
//! handles to atomics, which the request path updates without locking the registry.

use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Content type of [`Metrics::to_text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of all metric names.
const PREFIX: &str = "knapweed";
/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_05;
/// Number of latency buckets. Each upper bound is twice the previous one; the last
/// is 6.6 s.
const LATENCY_BUCKETS: u16 = 18;

/// A counter with one label, whose values are known when it is created.
///
/// Clones share the counts. An increment takes one atomic operation and no lock, and the
/// samples are exported in the order of the values.
#[derive(Clone, Debug)]
pub struct LabeledCounter {
    label: &'static str,
    samples: Arc<[LabeledSample]>,
}

/// The count of one value of the label.
#[derive(Debug)]
struct LabeledSample {
    value: &'static str,
    count: AtomicU64,
}

impl LabeledCounter {
    /// Creates a counter with the label `label` for each of `values`.
    pub fn new(label: &'static str, values: impl IntoIterator<Item = &'static str>) -> Self {
        let sample = |value| LabeledSample {
            value,
            count: AtomicU64::new(0),
        };
        Self {
            label,
            samples: values.into_iter().map(sample).collect(),
        }
    }

    /// Increments the count of the value at `index`. An index without a value is ignored.
    pub fn inc(&self, index: usize) {
        debug_assert!(index < self.samples.len(), "no value at {index}");
        if let Some(sample) = self.samples.get(index) {
            sample.count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl EncodeMetric for LabeledCounter {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> fmt::Result {
        for sample in self.samples.iter() {
            let count = sample.count.load(Ordering::Relaxed);
            encoder
                .encode_family(&[(self.label, sample.value)])?
                .encode_counter::<NoLabelSet, _, u64>(&count, None)?;
        }
        Ok(())
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Counter
    }
}

/// Handle to the metrics of this process; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::with_labels([])
    }

    /// Creates an empty registry that adds `labels` to every metric.
    pub fn with_labels(labels: impl IntoIterator<Item = (&'static str, String)>) -> Self {
        let labels = labels.into_iter().map(|(k, v)| (k.into(), v.into()));
        let registry = Registry::with_labels(labels);
        Self {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Registers a metric and returns the handle to update it.
    ///
    /// The prefix `knapweed_` is added to the name, and the suffix `_total` to that of
    /// a counter.
    pub fn register<M: Clone + Metric>(&self, name: &str, help: &str, metric: M) -> M {
        let name = format!("{PREFIX}_{name}");
        self.registry.lock().register(name, help, metric.clone());
        metric
    }

    /// Registers a collector, which each [`Metrics::to_text`] calls.
    ///
    /// The collector returns full metric names, including the prefix.
    pub fn register_collector(&self, collector: impl Collector) {
        self.registry.lock().register_collector(Box::new(collector));
    }

    /// All metrics in the OpenMetrics text format, for `GET /metrics`.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        encode(&mut out, &self.registry.lock()).expect("writing to a string cannot fail");
        out
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// A histogram of latencies in seconds, from 50 µs to 6.6 s.
pub fn latency_histogram() -> Histogram {
    let buckets = exponential_buckets(FIRST_LATENCY_BUCKET, 2.0, LATENCY_BUCKETS);
    Histogram::new(buckets)
}
