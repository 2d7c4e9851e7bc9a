//! The stored record of a ticket: its document, its acceptance, and its final
//! result, which is written at most once.

use crate::head::Accepted;
use crate::{Digest, Problem, Ticket};
use bytes::Bytes;
use knapweed_store::{Condition, Object, ObjectKey, Revision};
use knapweed_world::{ConfigVersion, Name, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};

/// Object kind of ticket records.
pub const KIND: &str = "mesh-tickets";

/// Returns the key of the record of a ticket.
pub fn key(ticket: TicketNumber) -> ObjectKey {
    ObjectKey::new(KIND, ticket.to_string())
}

/// Parses the ticket number from the key of a record; `None` for any other key.
pub fn ticket_from_key(key: &ObjectKey) -> Option<TicketNumber> {
    let is_ticket = key.kind() == KIND;
    let number = is_ticket.then(|| key.name().parse().ok());
    number.flatten().map(TicketNumber)
}

/// An attempt to accept a ticket: the inputs on which the decision depends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Revision of the head that the acceptance requires; 0 if there is no head yet.
    pub head: Revision,
    /// Time of acceptance if this attempt succeeds.
    pub at: UnixMillis,
}

/// Request counts of the old or the new versions during a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Number of completed requests.
    pub requests: u64,
    /// Number of failed requests among them.
    pub failures: u64,
    /// Number of requests slower than the 95th percentile of the old versions.
    pub slow: u64,
}

/// The request counts for which a rollout was pulled back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The route to which the counts belong; `None` for all routes together.
    pub route: Option<Name>,
    /// The availability zone to which the counts belong; `None` for all zones.
    pub zone: Option<Name>,
    /// Requests to the new versions.
    pub new: Tally,
    /// Requests to the old versions in the same period.
    pub old: Tally,
}

/// The final state of a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Ending {
    /// All rollouts of the ticket are complete.
    Completed,
    /// A rollout was pulled back.
    PulledBack {
        /// The service of the rollout.
        service: Name,
        /// Why the rollout was pulled back.
        reason: String,
        /// The request counts behind the decision; `None` if it had another cause.
        evidence: Option<Evidence>,
    },
    /// The whole ticket was refused.
    Refused {
        /// Each problem with the item that it concerns.
        reasons: Vec<Problem>,
    },
    /// A ticket with a higher number changed the same objects first.
    Superseded {
        /// The ticket with the higher number.
        by: TicketNumber,
    },
    /// The configuration is in force; the ticket started no rollout.
    InForce,
}

/// The final result of a ticket. Once written, it never changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinalResult {
    /// The final state.
    pub ending: Ending,
    /// Time at which the ticket reached it.
    pub at: UnixMillis,
    /// Nodes that had not confirmed the configuration by then.
    pub unconfirmed: Vec<Name>,
}

impl FinalResult {
    /// Creates a result without unconfirmed nodes.
    pub fn new(ending: Ending, at: UnixMillis) -> Self {
        Self {
            ending,
            at,
            unconfirmed: Vec::new(),
        }
    }
}

/// The record of a ticket in the object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The filed document.
    pub document: Ticket,
    /// Digest of the document; detects another document with the same number.
    pub digest: Digest,
    /// The base version from the document, or else the accepted version at the time
    /// of filing.
    pub base: ConfigVersion,
    /// The latest attempt to accept the ticket.
    pub attempt: Attempt,
    /// The acceptance, once it is recorded.
    pub progress: Option<Accepted>,
    /// The final result, once there is one.
    pub result: Option<FinalResult>,
}

/// Error of decoding or updating a record.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The object cannot be decoded.
    #[error("the record cannot be read: {0}")]
    Malformed(String),
    /// The record already has a different final result, which this holds.
    #[error("the ticket has another final result already")]
    HasResult(Box<FinalResult>),
    /// The record holds no acceptance, which a final result requires.
    #[error("the ticket is not accepted")]
    NotAccepted,
}

/// Construction and conversion from and to the stored object.
impl Record {
    /// Creates a record without acceptance and result.
    pub fn new(document: Ticket, base: ConfigVersion, attempt: Attempt) -> Self {
        Self {
            digest: document.digest(),
            base: document.base.unwrap_or(base),
            document,
            attempt,
            progress: None,
            result: None,
        }
    }

    /// Decodes a record from its object.
    pub fn decode(object: &Object) -> Result<Self, Error> {
        serde_json::from_slice(&object.value).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Encodes the value of the record object.
    pub fn encode(&self) -> Bytes {
        let json = serde_json::to_vec(self).expect("a record has only text keys");
        json.into()
    }
}

/// Updates. Each returns the new record, which is to be written on the condition
/// that the stored one is unchanged.
impl Record {
    /// Returns the record with its acceptance; `None` if it already has one.
    pub fn with_progress(&self, accepted: Accepted) -> Option<Self> {
        let progress = Some(accepted);
        let next = || Self {
            progress,
            ..self.clone()
        };
        self.progress.is_none().then(next)
    }

    /// Returns the record with the final result of an accepted ticket; `None` if it
    /// already has the same result.
    pub fn with_result(&self, result: &FinalResult) -> Result<Option<Self>, Error> {
        match &self.result {
            Some(old) if old == result => return Ok(None),
            Some(old) => return Err(Error::HasResult(Box::new(old.clone()))),
            None => {}
        }
        if self.progress.is_none() {
            return Err(Error::NotAccepted);
        }
        let mut next = self.clone();
        next.result = Some(result.clone());
        Ok(Some(next))
    }

    /// Returns the record with a new attempt.
    pub fn with_attempt(&self, attempt: Attempt) -> Self {
        Self {
            attempt,
            ..self.clone()
        }
    }
}

/// A record with the revision at which it was read, for conditional writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Revision of the record object.
    pub revision: Revision,
    /// The decoded record.
    pub record: Record,
}

impl StoredRecord {
    /// Decodes a record and keeps the revision of its object.
    pub fn decode(object: &Object) -> Result<Self, Error> {
        Ok(Self {
            revision: object.revision,
            record: Record::decode(object)?,
        })
    }

    /// The precondition of the next write: the stored record is unchanged.
    pub fn condition(&self) -> Condition {
        Condition::Revision(self.revision)
    }
}
