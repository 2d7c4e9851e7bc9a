//! Metrics are encoded in the OpenMetrics text format.

use knapweed_observe::metrics::{Metrics, latency_histogram};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

#[test]
fn registered_metrics_are_encoded() {
    let metrics = Metrics::new();
    let requests: Family<[(&'static str, &'static str); 1], Counter> = Family::default();
    let requests = metrics.register("requests", "Requests by outcome", requests);
    requests.get_or_create(&[("outcome", "answered")]).inc_by(3);
    let latency = metrics.register("latency_seconds", "Latency", latency_histogram());
    latency.observe(0.000_07);
    latency.observe(60.0);
    insta::assert_snapshot!(metrics.to_text());
}
