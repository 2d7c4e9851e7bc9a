//! Runs of a state machine on recorded events, and what they observe.

mod control;
mod guard;
mod stand_in;

pub use control::ControlRun;
pub use guard::GuardRun;

use crate::record::Record;
use knapweed_rollout::TicketResult;
use knapweed_world::{Share, TicketNumber, Time};
use std::collections::BTreeMap;

/// A state machine that processes recorded events.
pub trait Run {
    /// Processes an event. Events of other state machines are ignored.
    fn feed(&mut self, record: &Record);

    /// Observations up to the last event.
    fn observations(&self) -> &Observations;
}

/// What a run has published and decided, as input of the outcome checks.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Published shares in order of time.
    pub shares: Vec<PublishedShare>,
    /// Time of the first published pull-back of each ticket.
    pub pulled_back: BTreeMap<TicketNumber, Time>,
    /// First final result of each ticket, as the controller passed it on for writing.
    pub results: BTreeMap<TicketNumber, TimedResult>,
    /// Number of later results that differ from the first one of their ticket.
    pub conflicting_results: u64,
    /// Failed requests of the new version at the time the guard tripped; `None`
    /// while it has not.
    pub tripped_after: Option<u64>,
}

/// A share of the new version that the controller published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublishedShare {
    /// Time of publication.
    pub at: Time,
    /// Completed part of the move from the old version to the new one.
    pub share: Share,
}

/// A final result and the time at which the controller decided it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedResult {
    /// Time of the action that carries the result.
    pub at: Time,
    /// Result to be written to the platform.
    pub result: TicketResult,
}

impl Observations {
    /// Largest share in force between `from` and `until`, including the share
    /// that was already in force at `from`.
    pub fn max_share(&self, from: Time, until: Time) -> Share {
        let before = self.shares.iter().rfind(|s| s.at <= from);
        let within = self.shares.iter().filter(|s| from < s.at && s.at <= until);
        let shares = before.into_iter().chain(within);
        shares.map(|s| s.share).max().unwrap_or(Share::NONE)
    }

    fn add_result(&mut self, at: Time, result: TicketResult) {
        let first = self.results.entry(result.ticket);
        let first = first.or_insert_with(|| TimedResult {
            at,
            result: result.clone(),
        });
        if first.result != result {
            self.conflicting_results += 1;
        }
    }
}
