//! Metrics of the ingress: outcomes and latencies of requests.

use knapweed_host::Outcome;
use knapweed_observe::Metrics;
use knapweed_observe::metrics::latency_histogram;
use knapweed_wire::ResponseHead;
use knapweed_world::ServiceCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use std::time::Duration;

/// Outcome counters and latency histogram of the ingress; clones share them.
#[derive(Clone, Debug)]
pub struct IngressMetrics {
    answered: Counter,
    not_run: Counter,
    unknown: Counter,
    duration: Histogram,
}

impl IngressMetrics {
    /// Registers the metrics in `metrics`.
    pub fn register(metrics: &Metrics) -> Self {
        let counter = |name: &str, help: &str| metrics.register(name, help, Counter::default());
        Self {
            answered: counter("requests_answered", "Requests with an answer"),
            not_run: counter("requests_not_run", "Requests that did not run"),
            unknown: counter("requests_unknown", "Requests with an unknown outcome"),
            duration: metrics.register(
                "request_duration_seconds",
                "Time until the head of the response",
                latency_histogram(),
            ),
        }
    }

    /// Records a finished request.
    pub fn count(&self, outcome: Outcome, latency: Duration) {
        let counter = match outcome {
            Outcome::Answered(_) => &self.answered,
            Outcome::NotRun(_) => &self.not_run,
            Outcome::Unknown(_) => &self.unknown,
        };
        counter.inc();
        self.duration.observe(latency.as_secs_f64());
    }
}

/// Lowest HTTP status that is not caused by the request itself.
const MIN_SERVER_STATUS: u16 = 500;

/// Records a finished request in the counters of its service.
///
/// A request that is refused because it is invalid is not counted, since the service
/// did not cause the refusal.
pub(super) fn count_service(counters: &ServiceCounters, head: &ResponseHead, latency: Duration) {
    match head.outcome {
        Outcome::Answered(_) => {
            let status = head.outcome.status().unwrap_or(head.status);
            counters.answered(status, latency);
        }
        Outcome::NotRun(reason) if reason.status() < MIN_SERVER_STATUS => {}
        Outcome::NotRun(_) => counters.not_run(),
        Outcome::Unknown(_) => counters.unknown(),
    }
}
