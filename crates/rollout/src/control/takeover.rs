//! Takeover of a running rollout from an earlier holder of the duty.

use crate::Counters;
use crate::control::TAKEOVER_WAIT;
use knapweed_world::Time;

/// What a new holder learns before it takes forward steps.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    since: Time,
    /// Merged counters of the reports so far.
    counters: Counters,
    has_all_reports: bool,
}

impl Takeover {
    pub(super) fn new(now: Time) -> Self {
        Self {
            since: now,
            counters: Counters::default(),
            has_all_reports: false,
        }
    }

    /// Adds counters and returns all of them.
    pub(super) fn gather(&mut self, counters: &Counters) -> &Counters {
        self.counters.merge(counters);
        &self.counters
    }

    /// All hosts with servers of the service have reported their totals.
    pub(super) fn all_reported(&mut self) {
        self.has_all_reports = true;
    }

    /// Whether forward steps may be taken: the totals of all hosts are known, or hosts that
    /// have not reported are not waited for any longer.
    pub(super) fn is_over(&self, now: Time) -> bool {
        self.has_all_reports || now.since(self.since) >= TAKEOVER_WAIT
    }
}
