//! Counters of the ingress.

use knapweed_host::Outcome;
use knapweed_observe::Metrics;
use knapweed_observe::metrics::latency_histogram;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use std::time::Duration;

/// Counters of the ingress; clones count together.
#[derive(Clone, Debug)]
pub struct IngressMetrics {
    answered: Counter,
    not_run: Counter,
    unknown: Counter,
    duration: Histogram,
}

impl IngressMetrics {
    /// Registers the counters.
    pub fn register(metrics: &Metrics) -> Self {
        let counter = |name: &str, help: &str| metrics.register(name, help, Counter::default());
        Self {
            answered: counter("knapweed_requests_answered", "Requests with an answer"),
            not_run: counter("knapweed_requests_not_run", "Requests that did not run"),
            unknown: counter(
                "knapweed_requests_unknown",
                "Requests with an unknown outcome",
            ),
            duration: metrics.register(
                "knapweed_request_duration_seconds",
                "Time until the head of the response",
                latency_histogram(),
            ),
        }
    }

    /// Counts a request that ended.
    pub fn count(&self, outcome: Outcome, took: Duration) {
        let counter = match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::NotRun(_) => &self.not_run,
            Outcome::Unknown(_) => &self.unknown,
        };
        counter.inc();
        self.duration.observe(took.as_secs_f64());
    }
}
