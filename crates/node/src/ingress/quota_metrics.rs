//! Metrics of organisations with quotas, read from the tokens of the current snapshot.

use knapweed_world::quota_tokens::QuotaCounts;
use knapweed_world::{Organisation, SnapshotCell};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use std::fmt;
use std::sync::Arc;

/// Number of organisations with a label of their own, so that the number of time series stays
/// bounded. The others are left out.
pub const MAX_ORGANISATIONS: usize = 160;

/// Name, help text and source of a counter.
struct CounterDescriptor {
    name: &'static str,
    help: &'static str,
    value: fn(&QuotaCounts) -> u64,
}

const COUNTERS: [CounterDescriptor; 2] = [
    CounterDescriptor {
        name: "knapweed_quota_requests_admitted",
        help: "Requests of an organisation that were admitted by its quota",
        value: |counts| counts.admitted,
    },
    CounterDescriptor {
        name: "knapweed_quota_requests_refused",
        help: "Requests of an organisation that were refused by its quota",
        value: |counts| counts.refused,
    },
];

/// Label with the name of the organisation.
const LABEL: &str = "organisation";
const TOKENS_NAME: &str = "knapweed_quota_tokens";
const TOKENS_HELP: &str = "Tokens of an organisation on the node, negative while overdrawn";

/// Collector that exports the tokens of all organisations with quotas.
#[derive(Debug)]
pub struct QuotaMetrics {
    snapshots: Arc<SnapshotCell>,
}

impl QuotaMetrics {
    /// Creates a collector that reads `snapshots` at each export.
    pub fn new(snapshots: Arc<SnapshotCell>) -> Self {
        Self { snapshots }
    }
}

impl Collector for QuotaMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let snapshot = self.snapshots.load();
        let organisations = snapshot
            .organisations()
            .map(|(_, organisation)| organisation);
        let limited = organisations.filter(|organisation| organisation.quota.is_some());
        let limited: Vec<&Organisation> = limited.take(MAX_ORGANISATIONS).collect();
        for counter in &COUNTERS {
            let mut metric =
                encoder.encode_descriptor(counter.name, counter.help, None, MetricType::Counter)?;
            for organisation in &limited {
                let value = (counter.value)(&organisation.tokens.counts());
                metric
                    .encode_family(&[(LABEL, organisation.name.as_str())])?
                    .encode_counter::<NoLabelSet, _, u64>(&value, None)?;
            }
        }
        let mut metric =
            encoder.encode_descriptor(TOKENS_NAME, TOKENS_HELP, None, MetricType::Gauge)?;
        for organisation in &limited {
            let tokens = organisation.tokens.balance().as_f64();
            metric
                .encode_family(&[(LABEL, organisation.name.as_str())])?
                .encode_gauge(&tokens)?;
        }
        Ok(())
    }
}
