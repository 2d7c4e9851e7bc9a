//! Expected outcomes and their comparison with the observations of a replay.

use crate::run::Observations;
use knapweed_rollout::Outcome;
use knapweed_world::{Share, TicketNumber, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An outcome that a replay must show.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ExpectedOutcome {
    /// The rollout of the ticket completed.
    Completed {
        /// Number of the ticket.
        ticket: TicketNumber,
        /// Whether it completed after the deadline.
        late: bool,
    },
    /// The rollout of the ticket was pulled back.
    PulledBack {
        /// Number of the ticket.
        ticket: TicketNumber,
        /// Latest time of the pull-back, in microseconds.
        by_us: Time,
    },
    /// The ticket was superseded.
    Superseded {
        /// Number of the ticket.
        ticket: TicketNumber,
        /// Number of the ticket that replaced it.
        by: TicketNumber,
    },
    /// The ticket has no result at the end of the trace.
    NoResult {
        /// Number of the ticket.
        ticket: TicketNumber,
    },
    /// The published share of the new version never exceeded a limit within an interval.
    ShareAtMost {
        /// Largest share allowed, in basis points.
        share: Share,
        /// Start of the interval, in microseconds.
        from_us: Time,
        /// End of the interval, in microseconds.
        until_us: Time,
    },
    /// Every result of a ticket equalled the first one of that ticket.
    ResultsWrittenOnce,
    /// The guard tripped after at most this many failed requests.
    Tripped {
        /// Upper bound on the failed requests of the new version.
        failures: u64,
    },
    /// The guard did not trip.
    NotTripped,
}

impl fmt::Display for ExpectedOutcome {
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

/// Comparison of an expected outcome with the observations of a replay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Outcome that the trace expects.
    pub expected: ExpectedOutcome,
    /// Description of what the replay showed, for display.
    pub observed: String,
    /// Whether the observations match the expected outcome.
    pub is_met: bool,
}

impl Check {
    /// Compares an expected outcome with the observations of a finished run.
    pub fn new(expected: ExpectedOutcome, observations: &Observations) -> Self {
        let is_met = is_met(&expected, observations);
        Self {
            expected,
            observed: describe(&expected, observations),
            is_met,
        }
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_met { "met" } else { "missed" };
        write!(f, "{verdict}: {}; seen: {}", self.expected, self.observed)
    }
}

fn is_met(expected: &ExpectedOutcome, observations: &Observations) -> bool {
    let outcome =
        |ticket: &TicketNumber| observations.results.get(ticket).map(|r| &r.result.outcome);
    match expected {
        ExpectedOutcome::Completed { ticket, late } => {
            matches!(outcome(ticket), Some(Outcome::Completed { late: l, .. }) if l == late)
        }
        ExpectedOutcome::PulledBack { ticket, by_us } => {
            let in_time = observations
                .pulled_back
                .get(ticket)
                .is_some_and(|at| at <= by_us);
            in_time && matches!(outcome(ticket), Some(Outcome::PulledBack { .. }))
        }
        ExpectedOutcome::Superseded { ticket, by } => {
            matches!(outcome(ticket), Some(Outcome::Superseded { by: b, .. }) if b == by)
        }
        ExpectedOutcome::NoResult { ticket } => outcome(ticket).is_none(),
        ExpectedOutcome::ShareAtMost {
            share,
            from_us,
            until_us,
        } => observations.max_share(*from_us, *until_us) <= *share,
        ExpectedOutcome::ResultsWrittenOnce => observations.conflicting_results == 0,
        ExpectedOutcome::Tripped { failures } => {
            observations.tripped_after.is_some_and(|n| n <= *failures)
        }
        ExpectedOutcome::NotTripped => observations.tripped_after.is_none(),
    }
}

fn describe(expected: &ExpectedOutcome, observations: &Observations) -> String {
    match expected {
        ExpectedOutcome::Completed { ticket, .. }
        | ExpectedOutcome::PulledBack { ticket, .. }
        | ExpectedOutcome::Superseded { ticket, .. }
        | ExpectedOutcome::NoResult { ticket } => describe_result(*ticket, observations),
        ExpectedOutcome::ShareAtMost {
            from_us, until_us, ..
        } => format!("at most {}", observations.max_share(*from_us, *until_us)),
        ExpectedOutcome::ResultsWrittenOnce => {
            let (results, other) = (observations.results.len(), observations.conflicting_results);
            format!("{results} results, {other} that differ from the first")
        }
        ExpectedOutcome::Tripped { .. } | ExpectedOutcome::NotTripped => {
            match observations.tripped_after {
                Some(failures) => format!("tripped after {failures} failures"),
                None => "not tripped".into(),
            }
        }
    }
}

fn describe_result(ticket: TicketNumber, observations: &Observations) -> String {
    let Some(found) = observations.results.get(&ticket) else {
        return "no result".into();
    };
    let at = Seconds(found.at);
    match &found.result.outcome {
        Outcome::Completed { late: false, .. } => format!("completed in time at {at}"),
        Outcome::Completed { late: true, .. } => format!("completed late at {at}"),
        Outcome::PulledBack { reason, .. } => {
            let decided = observations
                .pulled_back
                .get(&ticket)
                .copied()
                .unwrap_or(found.at);
            format!("pulled back at {}: {reason}", Seconds(decided))
        }
        Outcome::Superseded { by, .. } => format!("superseded by {by} at {at}"),
    }
}

/// Displays a time in seconds with one decimal.
struct Seconds(Time);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} s", self.0.0 as f64 / 1e6)
    }
}
