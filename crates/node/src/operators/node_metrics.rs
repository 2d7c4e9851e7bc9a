//! Metrics of the node itself, computed on each scrape.

use crate::control::View;
use crate::currency::RouteCurrency;
use crate::egress::Egress;
use arc_swap::ArcSwap;
use knapweed_contract::api::NodeState;
use knapweed_host::Drain;
use knapweed_timer::TimerService;
use knapweed_transport::Peers;
use knapweed_world::SnapshotCell;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use std::fmt;
use std::sync::Arc;

/// Linux status file of this process, which contains its resident memory.
const STATUS_FILE: &str = "/proc/self/status";

/// Collector of configuration version, members, running requests, link traffic and
/// memory.
pub struct NodeMetrics {
    /// Cell with the snapshot in force.
    pub snapshots: Arc<SnapshotCell>,
    /// The state that the control thread publishes for operators.
    pub view: Arc<ArcSwap<View>>,
    /// Whether the configuration in force is known to be the newest one.
    pub currency: Arc<RouteCurrency>,
    /// Clock that tells whether it still is.
    pub timer: TimerService,
    /// Counts the running requests.
    pub drain: Arc<Drain>,
    /// Knows which requests crash backend servers.
    pub egress: Arc<Egress>,
    /// Connections to other nodes.
    pub peers: Arc<Peers>,
}

impl fmt::Debug for NodeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeMetrics").finish_non_exhaustive()
    }
}

impl NodeMetrics {
    fn members_alive(&self) -> usize {
        let view = self.view.load();
        let alive = view.nodes.iter().filter(|n| n.state == NodeState::Alive);
        alive.count()
    }
}

impl Collector for NodeMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let traffic = self.peers.traffic();
        let mut gauge = |name, help, value| encode(&mut encoder, name, help, gauge(value));
        gauge(
            "knapweed_config_version",
            "Configuration version in force on the node",
            self.snapshots.load().version().0,
        )?;
        gauge(
            "knapweed_config_problems",
            "Entries of the configuration that the node could not use as written",
            self.view.load().config_problems as u64,
        )?;
        gauge(
            "knapweed_config_is_newest",
            "Whether the node knows its configuration to be the newest one (1) or not (0)",
            self.currency.is_current(self.timer.now()).into(),
        )?;
        gauge(
            "knapweed_store_era",
            "Era of the store; it rises when the store comes back from an older copy",
            self.view.load().store_era.0,
        )?;
        gauge(
            "knapweed_members_alive",
            "Nodes that the node sees alive, itself included",
            self.members_alive() as u64,
        )?;
        gauge(
            "knapweed_requests_running",
            "Requests of callers that are running",
            self.drain.running(),
        )?;
        gauge(
            "knapweed_link_connections",
            "Open connections to other nodes",
            traffic.connections,
        )?;
        let crashes = self.egress.crash_counts();
        gauge(
            "knapweed_crash_suspects",
            "Requests that crashed one backend server and run alone when they come again",
            crashes.suspects as u64,
        )?;
        gauge(
            "knapweed_crash_convictions",
            "Requests that crashed several backend servers and are refused",
            crashes.convicted as u64,
        )?;
        if let Some(bytes) = resident_bytes() {
            gauge(
                "process_resident_memory_bytes",
                "Resident memory of the process",
                bytes,
            )?;
        }
        encode(
            &mut encoder,
            "knapweed_answers_rejected",
            "Answers of backend servers that were not passed on, by reason",
            self.egress.rejections().clone(),
        )?;
        let mut counter =
            |name, help, value: u64| encode(&mut encoder, name, help, ConstCounter::new(value));
        counter(
            "knapweed_link_sent_bytes",
            "Bytes of UDP payload sent to other nodes",
            traffic.sent,
        )?;
        counter(
            "knapweed_link_received_bytes",
            "Bytes of UDP payload received from other nodes",
            traffic.received,
        )
    }
}

fn gauge(value: u64) -> ConstGauge<i64> {
    ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX))
}

fn encode(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    metric: impl EncodeMetric,
) -> fmt::Result {
    let encoder = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
    metric.encode(encoder)
}

/// Resident memory of this process in bytes; `None` where the system does not report it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
