//! Requests of a service whose traffic is being moved.

use super::Dispatcher;
use super::failure::Failure;
use super::queue::Start;
use crate::body::Body;
use crate::carrier::Response;
use crate::egress::time_left;
use crate::protocol::SERVER_ERROR;
use crate::trial::{RequestRun, Trial};
use knapweed_host::{NotRun, Outcome};
use knapweed_rollout::counters::Sample;
use knapweed_wire::RequestHead;
use knapweed_world::Name;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Execution of such requests.
impl Dispatcher {
    /// Runs a request of a service whose traffic is being moved, and records its
    /// outcome in `trial`.
    pub(super) async fn run_trial(
        self: Arc<Self>,
        trial: &Trial,
        head: RequestHead,
        body: Body,
    ) -> Result<Response, Failure> {
        let (route, version) = (head.route.clone(), head.version.clone());
        if !trial.admits(&version) {
            return Err(NotRun::Guarded.into());
        }
        let mut trial_run = TrialRun {
            dispatcher: &self,
            trial,
            route,
            version,
            time_left: time_left(&head),
            start: OnceLock::new(),
            is_recorded: false,
        };
        let (is_crash, result) = Arc::clone(&self)
            .exchange(head, body, &trial_run.start)
            .await;
        trial_run.is_recorded = true;
        if !is_crash {
            trial_run.record_result(&result);
        }
        result
    }
}

/// Records the outcome of one request of a service whose traffic is being moved.
/// Dropping it unrecorded counts the request as failed if it was given up late.
struct TrialRun<'a> {
    dispatcher: &'a Dispatcher,
    trial: &'a Trial,
    route: Name,
    version: Name,
    time_left: Duration,
    start: OnceLock<Start>,
    is_recorded: bool,
}

/// Share of its time left, in percent, after which a cancelled request counts as
/// failed: near its deadline, the ingress gives a request up slightly before the
/// egress does.
const ABANDONED_PERCENT: u32 = 80;

impl TrialRun<'_> {
    fn record_result(&self, result: &Result<Response, Failure>) {
        let Some(start) = self.start.get() else {
            return;
        };
        let duration = self.dispatcher.timer.now().since(start.at);
        if let Some(sample) = sample(result, duration) {
            self.record(*start, sample);
        }
    }

    fn record(&self, start: Start, sample: Sample) {
        let now = self.dispatcher.timer.now();
        let run = RequestRun {
            route: &self.route,
            version: &self.version,
            in_use: start.in_use,
            slots: self.dispatcher.announcement.slots,
            warmth: self.dispatcher.warmth(now),
        };
        self.trial.record(&run, sample, now);
    }
}

impl Drop for TrialRun<'_> {
    fn drop(&mut self) {
        let Some(start) = self.start.get().filter(|_| !self.is_recorded) else {
            return;
        };
        let duration = self.dispatcher.timer.now().since(start.at);
        if duration >= self.time_left * ABANDONED_PERCENT / 100 {
            self.record(*start, Sample::Failed);
        }
    }
}

/// Converts a result into a sample for the rollout; `None` when it is no
/// evidence about the version.
fn sample(result: &Result<Response, Failure>, duration: Duration) -> Option<Sample> {
    match result {
        Ok(response) if response.head.status >= SERVER_ERROR => Some(Sample::Failed),
        Ok(_) => Some(Sample::Succeeded {
            latency_us: duration.as_micros() as u64,
        }),
        Err(failure) => match failure.outcome {
            Outcome::Unknown(_) => Some(Sample::Failed),
            _ => None,
        },
    }
}
