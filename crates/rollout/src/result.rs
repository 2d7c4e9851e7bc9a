//! Results of rollouts.

use crate::Evidence;
use crate::judge::Fault;
use knapweed_world::{Name, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why traffic was pulled back.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PullBackReason {
    /// The judge found a fault.
    Fault(Fault),
    /// No backend server of the new versions was started by the deadline, or
    /// all of them were gone in the middle of the move.
    NoServers,
}

impl fmt::Display for PullBackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault(fault) => fault.fmt(f),
            Self::NoServers => f.write_str("no backend server of the new versions is ready"),
        }
    }
}

/// How a rollout ended.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All traffic moved.
    Completed {
        /// When the bake time was over.
        at: UnixMillis,
        /// Whether this was after the deadline.
        late: bool,
    },
    /// The traffic went back to the old versions.
    PulledBack {
        /// When it was decided.
        at: UnixMillis,
        /// Why.
        reason: PullBackReason,
    },
    /// A later ticket took over in the middle of the move.
    Superseded {
        /// When it did.
        at: UnixMillis,
        /// That ticket.
        by: TicketNumber,
    },
}

/// The result of a ticket for one service. It depends only on stored state, so
/// every holder that writes it writes the same.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketResult {
    /// The ticket.
    pub ticket: TicketNumber,
    /// The service.
    pub service: Name,
    /// How it ended.
    pub outcome: Outcome,
    /// Counts per version and route, and times.
    pub evidence: Evidence,
}
