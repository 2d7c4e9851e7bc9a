//! Messages between ingress, owner and deputy, and the actions of the ledger.
//!
//! The slot of a message about one key follows from the key.

use super::table::{Epoch, Member, Slot};
use crate::{NotRun, SendId, Unknown};
use knapweed_world::UnixMillis;
use serde::{Deserialize, Serialize};

/// Ingress to owner: may this send go to this egress?
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permit {
    /// The row that the ingress knows.
    pub epoch: Epoch,
    /// The key and the attempt.
    pub send: SendId,
    /// Digest of method and path, so that a key cannot return the response to
    /// a different request.
    pub fingerprint: u32,
    /// When the key was made, if it says so.
    pub made_at: Option<UnixMillis>,
    /// The one egress that the request would be sent to.
    pub egress: Member,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u32,
}

/// Owner to ingress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitAnswer {
    /// Send it, once, to the egress that was named.
    Granted,
    /// Another send of the key runs; a further answer follows.
    Waiting,
    /// The key was answered; the response may be stored at this egress.
    Answered {
        /// The egress.
        egress: Member,
        /// The send that was answered.
        send: SendId,
    },
    /// Do not send it.
    Refused(NotRun),
    /// Do not send it; another send of the key may have run.
    Unresolved(Unknown),
    /// Another host owns the slot; the epoch is the latest known here.
    Moved(Epoch),
}

/// How a permitted send ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Settlement {
    /// It was answered.
    Answered,
    /// It did not run, which is proven, and will not be sent any more.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Ingress to owner: the end of a permitted send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settle {
    /// The key and the attempt.
    pub send: SendId,
    /// How it ended.
    pub settlement: Settlement,
}

/// State of a key between owner and deputy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum KeyState {
    /// A permit was given or may have been.
    Granted,
    /// The permitted send may have run.
    Unresolved,
    /// The permitted send was answered.
    Answered,
}

/// A key as owner and deputy record it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The key and the attempt.
    pub send: SendId,
    /// Position in the changes of the slot; of two records the higher one is valid.
    pub seq: u64,
    /// State.
    pub state: KeyState,
    /// Where the request was sent.
    pub egress: Member,
    /// Digest of method and path.
    pub fingerprint: u32,
    /// Seconds since the grant, or since the answer.
    pub age_s: u32,
    /// Seconds from the grant to the deadline.
    pub left_s: u16,
}

/// Owner to deputy: record this before the permit is given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The row that the owner knows.
    pub epoch: Epoch,
    /// The deputy of that row.
    pub deputy: Member,
    /// The key.
    pub record: Record,
}

/// Deputy to owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantAnswer {
    /// The epoch of the grant.
    pub epoch: Epoch,
    /// The key and the attempt.
    pub send: SendId,
    /// Whether it was recorded; refused by a deputy that knows a later epoch
    /// or has restarted.
    pub recorded: bool,
}

/// A change of a key that was recorded before.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Change {
    /// The send was answered.
    Answered,
    /// The send may have run.
    Unresolved,
    /// The send did not run; the key may be granted again.
    Released,
}

/// Owner to deputy, without an answer: a lost one leaves the key granted, which
/// an inquiry resolves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The row that the owner knows.
    pub epoch: Epoch,
    /// The key and the attempt.
    pub send: SendId,
    /// Position in the changes of the slot.
    pub seq: u64,
    /// The change.
    pub change: Change,
}

/// What an owner without the history of its slot can still decide on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Floor {
    /// Wall clock at the takeover; keys must be provably newer.
    pub newer_than: UnixMillis,
    /// When all keys from before the takeover have passed their retention.
    pub until: UnixMillis,
}

/// Owner to a new deputy: part of the keys granted so far.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Copy {
    /// The slot.
    pub slot: Slot,
    /// The row that the owner knows.
    pub epoch: Epoch,
    /// The deputy of that row.
    pub deputy: Member,
    /// Number of the part, from 0.
    pub chunk: u32,
    /// Whether it is the last part.
    pub last: bool,
    /// What is missing from the owner's own history.
    pub floor: Option<Floor>,
    /// The keys.
    pub records: Vec<Record>,
}

/// Deputy to owner: send the next part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CopyAnswer {
    /// The slot.
    pub slot: Slot,
    /// The epoch of the copy.
    pub epoch: Epoch,
    /// The part that was taken.
    pub chunk: u32,
}

/// What an egress said about a send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// It was answered.
    Answered,
    /// It did not run and will not.
    NotRun,
    /// It is running.
    Running,
    /// The egress cannot tell, has restarted, or cannot be reached.
    Lost,
}

/// Handle of a permit stream of the node, chosen by the node.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AskId(pub u64);

/// What the ledger asks of its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a permit; after [`PermitAnswer::Waiting`] the stream stays open.
    Answer {
        /// The stream.
        ask: AskId,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Send a grant.
    Grant {
        /// The deputy.
        to: Member,
        /// The message.
        grant: Grant,
    },
    /// Send an update.
    Update {
        /// The deputy.
        to: Member,
        /// The message.
        update: Update,
    },
    /// Send a part of the keys.
    Copy {
        /// The deputy.
        to: Member,
        /// The message.
        copy: Copy,
    },
    /// Inquire at an egress about a send, and report the resolution.
    Inquire {
        /// The egress.
        to: Member,
        /// The send.
        send: SendId,
        /// Most seconds since the send may have reached the egress.
        age_s: u32,
    },
    /// Fetch the table from a peer and call `confirm`: this node was paused and
    /// may have been replaced.
    ConfirmTable,
}
