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
    /// It is accepted.
    Accepted {
        /// The configuration version that it made.
        version: ConfigVersion,
        /// When.
        at: UnixMillis,
    },
    /// It is refused as a whole; nothing has changed.
    Refused {
        /// A reason for each item.
        reasons: Vec<Problem>,
    },
    /// A ticket with a higher number changed the same objects first.
    Superseded {
        /// That ticket.
        by: TicketNumber,
    },
    /// The number belongs to another document; nothing has changed.
    NumberTaken {
        /// The number.
        number: TicketNumber,
    },
    /// The document is not a ticket; nothing has changed.
    Malformed {
        /// Why.
        error: ticket::Error,
    },
    /// The platform is unavailable; the ticket is not accepted.
    Unavailable {
        /// What failed.
        reason: String,
    },
    /// The platform is unavailable; the ticket may be accepted.
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl Outcome {
    /// The outcome of a ticket with this final result and no acceptance.
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
