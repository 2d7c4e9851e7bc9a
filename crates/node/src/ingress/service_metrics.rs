//! Metrics by service, read from the counters of the current snapshot.

use knapweed_world::service_counters::LATENCY_BOUNDS_US;
use knapweed_world::{ServiceCounts, SnapshotCell};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use std::fmt;
use std::sync::Arc;

/// Number of services with a label of their own. The others are summed under
/// [`OVERFLOW_LABEL`], so that the number of time series stays bounded.
pub const MAX_SERVICES: usize = 160;
/// Label of the services beyond [`MAX_SERVICES`]. It is not a valid name, so it
/// cannot clash with that of a service.
pub const OVERFLOW_LABEL: &str = "(other)";

const US_PER_S: f64 = 1e6;

/// Name, help text and source of a counter.
struct CounterDescriptor {
    name: &'static str,
    help: &'static str,
    value: fn(&ServiceCounts) -> u64,
}

const COUNTERS: [CounterDescriptor; 4] = [
    CounterDescriptor {
        name: "knapweed_service_requests_answered",
        help: "Requests of a service with an answer",
        value: |c| c.answered,
    },
    CounterDescriptor {
        name: "knapweed_service_server_errors",
        help: "Answers of a service with status 500 and above",
        value: |c| c.server_errors,
    },
    CounterDescriptor {
        name: "knapweed_service_requests_not_run",
        help: "Requests of a service that did not run",
        value: |c| c.not_run,
    },
    CounterDescriptor {
        name: "knapweed_service_requests_unknown",
        help: "Requests of a service with an unknown outcome",
        value: |c| c.unknown,
    },
];

/// Collector that exports the counters of all services in the current snapshot.
#[derive(Debug)]
pub struct ServiceMetrics {
    snapshots: Arc<SnapshotCell>,
}

/// Counts under one service label.
struct ServiceRow {
    service: String,
    counts: ServiceCounts,
}

impl ServiceMetrics {
    /// Creates a collector that reads `snapshots` at each export.
    pub fn new(snapshots: Arc<SnapshotCell>) -> Self {
        Self { snapshots }
    }

    fn rows(&self) -> Vec<ServiceRow> {
        let snapshot = self.snapshots.load();
        let mut rows = Vec::new();
        let mut overflow: Option<ServiceCounts> = None;
        for (_, service) in snapshot.services() {
            let counts = service.counters.counts();
            if rows.len() < MAX_SERVICES {
                let service = service.name.to_string();
                rows.push(ServiceRow { service, counts });
            } else {
                overflow = Some(overflow.unwrap_or_default().plus(&counts));
            }
        }
        rows.extend(overflow.map(|counts| ServiceRow {
            service: OVERFLOW_LABEL.to_owned(),
            counts,
        }));
        rows
    }
}

impl Collector for ServiceMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let rows = self.rows();
        for descriptor in &COUNTERS {
            let mut metric = encoder.encode_descriptor(
                descriptor.name,
                descriptor.help,
                None,
                MetricType::Counter,
            )?;
            for row in &rows {
                let labels = [("service", row.service.as_str())];
                let value = (descriptor.value)(&row.counts);
                metric
                    .encode_family(&labels)?
                    .encode_counter::<NoLabelSet, _, u64>(&value, None)?;
            }
        }
        let mut metric = encoder.encode_descriptor(
            "knapweed_service_request_duration_seconds",
            "Time until the head of the answer of a service",
            None,
            MetricType::Histogram,
        )?;
        rows.iter()
            .try_for_each(|row| encode_latency(&mut metric, row))
    }
}

fn encode_latency(metric: &mut MetricEncoder<'_>, row: &ServiceRow) -> fmt::Result {
    let bounds = LATENCY_BOUNDS_US.iter().map(|us| f64::from(*us) / US_PER_S);
    let bounds = bounds.chain([f64::INFINITY]);
    let buckets: Vec<_> = bounds.zip(row.counts.latency).collect();
    let sum = row.counts.latency_sum_us as f64 / US_PER_S;
    let labels = [("service", row.service.as_str())];
    metric
        .encode_family(&labels)?
        .encode_histogram::<NoLabelSet>(sum, row.counts.answered, &buckets, None)
}
