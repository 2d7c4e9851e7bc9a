//! Replay of a guard.

use crate::header::GuardSettings;
use crate::record::{GuardEvent, GuardRequests, Record, TraceEvent};
use crate::run::{Observations, Run};
use knapweed_rollout::Guard;
use knapweed_rollout::guard::Options;
use knapweed_world::{TicketNumber, Time};

/// A guard that processes recorded results of requests.
#[derive(Debug)]
pub struct GuardRun {
    guard: Guard,
    failures: u64,
    observations: Observations,
}

impl GuardRun {
    /// Creates a run whose guard has not tripped and has no baseline.
    pub fn new(settings: &GuardSettings) -> Self {
        let options = Options {
            alpha: settings.alpha,
        };
        Self {
            guard: Guard::new(TicketNumber(0), options),
            failures: 0,
            observations: Observations::default(),
        }
    }

    fn feed_old(&mut self, requests: &GuardRequests) {
        let route = self.guard.route(&requests.route);
        for failed in &requests.failed {
            self.guard.record_old(route, *failed);
        }
    }

    fn feed_new(&mut self, requests: &GuardRequests, at: Time) {
        let route = self.guard.route(&requests.route);
        for failed in &requests.failed {
            if !self.guard.admits() {
                return;
            }
            self.failures += u64::from(*failed);
            self.guard.record_new(route, *failed, at);
            if !self.guard.admits() {
                self.observations.tripped_after = Some(self.failures);
            }
        }
    }
}

impl Run for GuardRun {
    fn feed(&mut self, record: &Record) {
        let TraceEvent::Guard(event) = &record.event else {
            return;
        };
        match event {
            GuardEvent::Old(requests) => self.feed_old(requests),
            GuardEvent::New(requests) => self.feed_new(requests, record.at),
            GuardEvent::Baseline { route, old } => {
                let key = self.guard.route(route);
                self.guard.set_baseline(key, *old, record.at);
            }
        }
    }

    fn observations(&self) -> &Observations {
        &self.observations
    }
}
