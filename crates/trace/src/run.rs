//! Runs of a state machine on recorded events.

mod control;
mod guard;
mod stand_in;

pub use control::ControlRun;
pub use guard::GuardRun;

use crate::record::Record;
use knapweed_rollout::TicketResult;
use knapweed_world::{Share, TicketNumber, Time};
use std::collections::BTreeMap;

/// A state machine that takes recorded events.
pub trait Run {
    /// Takes an event. Events of other state machines are ignored.
    fn feed(&mut self, record: &Record);

    /// What it showed so far.
    fn seen(&self) -> &Seen;
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Shares that were published, with their times.
    pub shares: Vec<PublishedShare>,
    /// When each ticket was pulled back.
    pub pulled_back: BTreeMap<TicketNumber, Time>,
    /// The first result that was asked for, per ticket.
    pub results: BTreeMap<TicketNumber, TimedResult>,
    /// Results that differed from the first one of their ticket.
    pub contradictions: u64,
    /// Failed requests of the new version when the guard tripped.
    pub tripped_after: Option<u64>,
}

/// A share that was published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublishedShare {
    /// When.
    pub at: Time,
    /// The part of the move that was done.
    pub share: Share,
}

/// A result and when it was asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedResult {
    /// When.
    pub at: Time,
    /// The result.
    pub result: TicketResult,
}

impl Seen {
    /// The largest share in force from `from` until `until`.
    pub fn most_share(&self, from: Time, until: Time) -> Share {
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
            self.contradictions += 1;
        }
    }
}
