//! Results of rollouts, as written for the ticket that requested them.

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
    /// No backend server of the new versions started by the deadline, or all of
    /// them disappeared during the rollout.
    NoServers,
    /// By the deadline, the backend servers of the new versions had too little capacity
    /// for the next step.
    InsufficientCapacity,
}

impl fmt::Display for PullBackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault(fault) => fault.fmt(f),
            Self::NoServers => f.write_str("no backend server of the new versions is ready"),
            Self::InsufficientCapacity => {
                f.write_str("the backend servers of the new versions have too little capacity")
            }
        }
    }
}

/// How a rollout ended.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// All traffic moved to the target.
    Completed {
        /// When the bake time ended.
        at: UnixMillis,
        /// Whether `at` is after the deadline.
        late: bool,
    },
    /// The traffic went back to the old versions.
    PulledBack {
        /// When the pull-back was decided.
        at: UnixMillis,
        /// Cause of the pull-back.
        reason: PullBackReason,
    },
    /// A later ticket replaced the rollout while it was running.
    Superseded {
        /// When the later ticket took effect.
        at: UnixMillis,
        /// The later ticket.
        by: TicketNumber,
    },
}

/// The result of a ticket for one service. It depends only on stored state, so that
/// every holder writes the same result.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketResult {
    /// The ticket that requested the rollout.
    pub ticket: TicketNumber,
    /// The service whose traffic was to move.
    pub service: Name,
    /// How the rollout ended.
    pub outcome: Outcome,
    /// Counts per version and route, and when they were collected.
    pub evidence: Evidence,
}
