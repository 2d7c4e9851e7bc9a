//! Metrics of the ingress: outcomes and latencies of requests.

use knapweed_host::{Answer, NotRun, Outcome};
use knapweed_observe::Metrics;
use knapweed_observe::metrics::{LabeledCounter, latency_histogram};
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
    /// Requests that did not run, by [`NotRun`].
    refusals: LabeledCounter,
    /// Answers of backend servers, by the first digit of their status.
    answers: LabeledCounter,
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
            refusals: metrics.register(
                "request_refusals",
                "Requests that did not run, by the reason that the caller was given",
                LabeledCounter::new("reason", NotRun::ALL.map(NotRun::label)),
            ),
            answers: metrics.register(
                "request_answers",
                "Answers of backend servers that were passed on, by the class of their status",
                LabeledCounter::new("status", STATUS_CLASSES),
            ),
            duration: metrics.register(
                "request_duration_seconds",
                "Time until the head of the response",
                latency_histogram(),
            ),
        }
    }

    /// Records a finished request.
    pub fn count(&self, head: &ResponseHead, latency: Duration) {
        match head.outcome {
            Outcome::Answered(answer) => {
                self.answered.inc();
                if answer == Answer::Complete {
                    self.answers.inc(status_class(head.status));
                }
            }
            Outcome::NotRun(reason) => self.count_refusal(reason),
            Outcome::Unknown(_) => {
                self.unknown.inc();
            }
        }
        self.duration.observe(latency.as_secs_f64());
    }

    /// Records a request that did not run.
    pub(super) fn count_refusal(&self, reason: NotRun) {
        self.not_run.inc();
        self.refusals.inc(reason as usize);
    }
}

/// Classes of HTTP statuses as values of a label; the last one is that of all others.
const STATUS_CLASSES: [&str; 6] = ["1xx", "2xx", "3xx", "4xx", "5xx", "other"];

/// Index of the class of an HTTP status in [`STATUS_CLASSES`].
fn status_class(status: u16) -> usize {
    match status {
        100..=599 => usize::from(status / 100 - 1),
        _ => STATUS_CLASSES.len() - 1,
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
