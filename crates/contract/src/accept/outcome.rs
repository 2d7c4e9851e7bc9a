//! Outcomes of filing a ticket.

use crate::head::Accepted;
use crate::result::{Ending, FinalResult};
use crate::{Problem, ticket};
use knapweed_world::{ConfigVersion, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};

/// The outcome of filing a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The ticket is accepted.
    Accepted {
        /// The configuration version that the ticket created.
        version: ConfigVersion,
        /// Time of acceptance.
        at: UnixMillis,
    },
    /// The whole ticket is refused; the configuration is unchanged.
    Refused {
        /// Each problem with the item that it concerns.
        reasons: Vec<Problem>,
    },
    /// A ticket with a higher number changed the same objects first.
    Superseded {
        /// The ticket with the higher number.
        by: TicketNumber,
    },
    /// Another document has the ticket number; the configuration is unchanged.
    NumberTaken {
        /// The ticket number in use.
        number: TicketNumber,
    },
    /// The document is not a valid ticket; the configuration is unchanged.
    Malformed {
        /// The parse or size error.
        error: ticket::Error,
    },
    /// The object store is unavailable. This filing has not accepted the ticket
    /// and has seen no other filing of it.
    Unavailable {
        /// The error of the last pass.
        reason: String,
    },
    /// The object store is unavailable, and it is unknown whether the ticket is
    /// accepted: a write had no response, or another process works on the ticket.
    Unknown {
        /// The error of the last pass.
        reason: String,
    },
}

impl Outcome {
    /// Returns the outcome of a ticket that has this final result and no acceptance.
    pub(super) fn of_result(result: &FinalResult) -> Self {
        match &result.ending {
            Ending::Refused { reasons } => Self::Refused {
                reasons: reasons.clone(),
            },
            Ending::Superseded { by } => Self::Superseded { by: *by },
            _ => Self::Unknown {
                reason: "the record holds a result without an acceptance".to_owned(),
            },
        }
    }
}

impl From<Accepted> for Outcome {
    fn from(accepted: Accepted) -> Self {
        Self::Accepted {
            version: accepted.version,
            at: accepted.at,
        }
    }
}
