//! Exported metrics of the node, and their list on the operators' page.

use arc_swap::ArcSwap;
use knapweed_host::Drain;
use knapweed_node::callers::ConnectionMetrics;
use knapweed_node::control::View;
use knapweed_node::egress::Egress;
use knapweed_node::ingress::metrics::IngressMetrics;
use knapweed_node::ingress::quota_metrics::QuotaMetrics;
use knapweed_node::ingress::service_metrics::ServiceMetrics;
use knapweed_node::operators::node_metrics::NodeMetrics;
use knapweed_node::protocol::native::NativeHeaders;
use knapweed_observe::Metrics;
use knapweed_timer::TimerService;
use knapweed_transport::Endpoint;
use knapweed_transport::certificates::Authority;
use knapweed_transport::tls::{Files, Identity};
use knapweed_world::config::ServiceConfig;
use knapweed_world::snapshot::{Builder, HostEntry};
use knapweed_world::{Config, Name, SnapshotCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

fn name(text: &str) -> Name {
    text.parse().expect("a valid name")
}

fn snapshots(services: usize) -> Arc<SnapshotCell> {
    let mut config = Config::default();
    for i in 0..services {
        let service = ServiceConfig {
            versions: Vec::new(),
            rollout: None,
            ticket: knapweed_world::TicketNumber(1),
            changed_at: knapweed_world::ConfigVersion(1),
            max_connections: None,
            health_path: None,
            cold_limit: None,
        };
        config.services.insert(name(&format!("s{i:03}")), service);
    }
    let host = HostEntry {
        name: name("a1"),
        zone: name("labasa-a"),
        region: name("labasa"),
        address: (Ipv4Addr::LOCALHOST, 1).into(),
        announcements: Vec::new(),
    };
    let snapshot = Builder::new(name("a1"), &config).hosts([host]).build();
    Arc::new(SnapshotCell::new(snapshot.expect("a valid mesh")))
}

fn endpoint() -> Endpoint {
    let authority = Authority::new().expect("an authority");
    let issued = authority.issue("a1", &[Ipv4Addr::LOCALHOST.into()]);
    let issued = issued.expect("a certificate");
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = |name: &str, text: String| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let identity = Identity::load(&Files {
        certificate: file("node.pem", issued.certificate),
        key: file("node.key", issued.key),
        authority: file("authority.pem", authority.certificate()),
    });
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();
    let (endpoint, _inbound) =
        Endpoint::open(any_port, &identity.expect("an identity")).expect("an endpoint");
    endpoint
}

/// Guards against metrics that are missing or described differently on the operators'
/// page.
#[tokio::test]
async fn the_page_lists_every_metric() {
    let metrics = Metrics::with_labels([("zone", "labasa-a".into())]);
    IngressMetrics::register(&metrics);
    ConnectionMetrics::register(&metrics);
    let snapshots = snapshots(1);
    metrics.register_collector(ServiceMetrics::new(Arc::clone(&snapshots)));
    metrics.register_collector(QuotaMetrics::new(Arc::clone(&snapshots)));
    metrics.register_collector(NodeMetrics {
        snapshots,
        view: Arc::new(ArcSwap::from_pointee(View::default())),
        currency: Arc::default(),
        timer: TimerService::start(),
        drain: Arc::new(Drain::default()),
        egress: Arc::new(Egress::new(
            TimerService::start(),
            Arc::default(),
            Arc::new(NativeHeaders),
        )),
        peers: endpoint().peers(),
    });
    assert_eq!(rows_of_page(), rows_of_registry(&metrics.to_text()));
}

fn rows_of_page() -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/metrics.md");
    let text = std::fs::read_to_string(page).expect("the page");
    let rows = text.lines().filter(|l| l.starts_with("| `"));
    rows.map(str::to_owned).collect()
}

fn rows_of_registry(text: &str) -> BTreeSet<String> {
    let after = |prefix: &str, name: &str| {
        let start = format!("{prefix} {name} ");
        let found = text.lines().find_map(|l| l.strip_prefix(&start));
        found.expect("a description").to_owned()
    };
    let names = text.lines().filter_map(|l| l.strip_prefix("# HELP "));
    let names = names.filter_map(|l| l.split(' ').next());
    names
        .map(|name| {
            let kind = after("# TYPE", name);
            let help = after("# HELP", name);
            format!("| `{name}` | {kind} | {} |", help.trim_end_matches('.'))
        })
        .collect()
}

/// Guards against histograms whose buckets are not cumulative or not in seconds.
#[test]
fn counters_of_a_service_are_exported() {
    let metrics = Metrics::with_labels([("zone", "labasa-a".into())]);
    let snapshots = snapshots(1);
    let snapshot = snapshots.load_full();
    let (_, service) = snapshot.services().next().expect("a service");
    service.counters.answered(200, Duration::from_micros(1_500));
    service.counters.answered(500, Duration::from_secs(3));
    service.counters.not_run();
    metrics.register_collector(ServiceMetrics::new(snapshots));
    insta::assert_snapshot!(metrics.to_text());
}

/// Guards against an unbounded number of label values.
#[test]
fn services_beyond_the_limit_share_a_label() {
    let metrics = Metrics::new();
    let snapshots = snapshots(163);
    for (_, service) in snapshots.load().services() {
        service.counters.unknown();
    }
    metrics.register_collector(ServiceMetrics::new(snapshots));
    let text = metrics.to_text();
    let unknown: Vec<_> = text
        .lines()
        .filter(|l| l.starts_with("knapweed_service_requests_unknown_total"))
        .collect();
    assert_eq!(unknown.len(), 161);
    assert!(unknown[160].ends_with("{service=\"(other)\"} 3"));
}
