//! Counters of the ingress.

use knapweed_host::Outcome;
use knapweed_observe::Metrics;
use knapweed_observe::metrics::latency_histogram;
use knapweed_wire::ResponseHead;
use knapweed_world::ServiceCounters;
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

/// First status that is not a fault of the request itself.
const FIRST_SERVER_STATUS: u16 = 500;

/// Counts a request that ended for its service.
///
/// A request that is refused for a fault of its own says nothing about the
/// service and is not counted.
pub(super) fn count_service(counters: &ServiceCounters, head: &ResponseHead, took: Duration) {
    match head.outcome {
        Outcome::Answered(_) => {
            let status = head.outcome.status().unwrap_or(head.status);
            counters.answered(status, took);
        }
        Outcome::NotRun(reason) if reason.status() < FIRST_SERVER_STATUS => {}
        Outcome::NotRun(_) => counters.not_run(),
        Outcome::Unknown(_) => counters.unknown(),
    }
}
