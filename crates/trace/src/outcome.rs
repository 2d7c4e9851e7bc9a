//! Stated outcomes and their comparison with what a replay showed.

use crate::run::Seen;
use knapweed_rollout::Outcome;
use knapweed_world::{Share, TicketNumber, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An outcome that a replay must show.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Stated {
    /// The ticket completed.
    Completed {
        /// The ticket.
        ticket: TicketNumber,
        /// Whether it was after the deadline.
        late: bool,
    },
    /// The ticket was pulled back.
    PulledBack {
        /// The ticket.
        ticket: TicketNumber,
        /// At the latest at this time, in microseconds.
        by_us: Time,
    },
    /// The ticket was superseded.
    Superseded {
        /// The ticket.
        ticket: TicketNumber,
        /// The later ticket.
        by: TicketNumber,
    },
    /// The ticket has no result at the end of the trace.
    NoResult {
        /// The ticket.
        ticket: TicketNumber,
    },
    /// The moved share never exceeded a limit in a stretch of time.
    ShareAtMost {
        /// The limit in basis points.
        share: Share,
        /// Start in microseconds.
        from_us: Time,
        /// End in microseconds.
        until_us: Time,
    },
    /// No result differed from one that was written for the ticket before.
    ResultsWrittenOnce,
    /// The guard tripped after at most this many failed requests.
    Tripped {
        /// Failed requests of the new version.
        failures: u64,
    },
    /// The guard did not trip.
    NotTripped,
}

impl fmt::Display for Stated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Completed {
                ticket,
                late: false,
            } => write!(f, "ticket {ticket} completed in time"),
            Self::Completed { ticket, late: true } => write!(f, "ticket {ticket} completed late"),
            Self::PulledBack { ticket, by_us } => {
                write!(f, "ticket {ticket} pulled back by {}", Seconds(*by_us))
            }
            Self::Superseded { ticket, by } => write!(f, "ticket {ticket} superseded by {by}"),
            Self::NoResult { ticket } => write!(f, "ticket {ticket} without a result"),
            Self::ShareAtMost {
                share,
                from_us,
                until_us,
            } => {
                let (from, until) = (Seconds(*from_us), Seconds(*until_us));
                write!(f, "share at most {share} from {from} until {until}")
            }
            Self::ResultsWrittenOnce => f.write_str("results written once"),
            Self::Tripped { failures } => write!(f, "guard tripped within {failures} failures"),
            Self::NotTripped => f.write_str("guard not tripped"),
        }
    }
}

/// A stated outcome next to what the replay showed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// What was stated.
    pub stated: Stated,
    /// What was seen, in words.
    pub seen: String,
    /// Whether they agree.
    pub is_met: bool,
}

impl Check {
    /// Compares `stated` with `seen`.
    pub fn new(stated: Stated, seen: &Seen) -> Self {
        let is_met = is_met(&stated, seen);
        Self {
            stated,
            seen: describe(&stated, seen),
            is_met,
        }
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_met { "met" } else { "missed" };
        write!(f, "{verdict}: {}; seen: {}", self.stated, self.seen)
    }
}

fn is_met(stated: &Stated, seen: &Seen) -> bool {
    let outcome = |ticket: &TicketNumber| seen.results.get(ticket).map(|r| &r.result.outcome);
    match stated {
        Stated::Completed { ticket, late } => {
            matches!(outcome(ticket), Some(Outcome::Completed { late: l, .. }) if l == late)
        }
        Stated::PulledBack { ticket, by_us } => {
            let in_time = seen.pulled_back.get(ticket).is_some_and(|at| at <= by_us);
            in_time && matches!(outcome(ticket), Some(Outcome::PulledBack { .. }))
        }
        Stated::Superseded { ticket, by } => {
            matches!(outcome(ticket), Some(Outcome::Superseded { by: b, .. }) if b == by)
        }
        Stated::NoResult { ticket } => outcome(ticket).is_none(),
        Stated::ShareAtMost {
            share,
            from_us,
            until_us,
        } => seen.most_share(*from_us, *until_us) <= *share,
        Stated::ResultsWrittenOnce => seen.contradictions == 0,
        Stated::Tripped { failures } => seen.tripped_after.is_some_and(|n| n <= *failures),
        Stated::NotTripped => seen.tripped_after.is_none(),
    }
}

fn describe(stated: &Stated, seen: &Seen) -> String {
    match stated {
        Stated::Completed { ticket, .. }
        | Stated::PulledBack { ticket, .. }
        | Stated::Superseded { ticket, .. }
        | Stated::NoResult { ticket } => describe_result(*ticket, seen),
        Stated::ShareAtMost {
            from_us, until_us, ..
        } => format!("at most {}", seen.most_share(*from_us, *until_us)),
        Stated::ResultsWrittenOnce => {
            let (results, other) = (seen.results.len(), seen.contradictions);
            format!("{results} results, {other} that differ from the first")
        }
        Stated::Tripped { .. } | Stated::NotTripped => match seen.tripped_after {
            Some(failures) => format!("tripped after {failures} failures"),
            None => "not tripped".into(),
        },
    }
}

fn describe_result(ticket: TicketNumber, seen: &Seen) -> String {
    let Some(found) = seen.results.get(&ticket) else {
        return "no result".into();
    };
    let at = Seconds(found.at);
    match &found.result.outcome {
        Outcome::Completed { late: false, .. } => format!("completed in time at {at}"),
        Outcome::Completed { late: true, .. } => format!("completed late at {at}"),
        Outcome::PulledBack { reason, .. } => {
            let decided = seen.pulled_back.get(&ticket).copied().unwrap_or(found.at);
            format!("pulled back at {}: {reason}", Seconds(decided))
        }
        Outcome::Superseded { by, .. } => format!("superseded by {by} at {at}"),
    }
}

struct Seconds(Time);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} s", self.0.0 as f64 / 1e6)
    }
}
