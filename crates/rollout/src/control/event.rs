//! What rollout control is told and what it asks for.

use crate::{RolloutState, TicketResult, ZoneCapacity, ZoneReport};
use knapweed_world::TicketNumber;
use knapweed_world::config::ServiceConfig;
use serde::{Deserialize, Serialize};

/// Revision of the stored state; 0 when it does not exist.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of an object that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// The answer to a write of the state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteAnswer {
    /// Written, with the new revision.
    Written(Revision),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// Refused or not answered: it may have been written.
    Unknown,
}

/// What rollout control is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The accepted configuration of the service, also after it changed.
    Config(ServiceConfig),
    /// Ready servers per availability zone and version. The zones listed are
    /// those whose reports are expected, also when they are cut off.
    Capacity(Vec<ZoneCapacity>),
    /// Counters of an availability zone.
    Report(ZoneReport),
    /// A copy of the state that a node holds.
    Seen(RolloutState),
    /// The stored state was read.
    Read {
        /// The state, if there is one.
        state: Option<RolloutState>,
        /// Its revision.
        revision: Revision,
    },
    /// The stored state could not be read.
    ReadFailed,
    /// A write of the state was answered.
    Write(WriteAnswer),
    /// The result of a ticket is written, now or earlier.
    ResultWritten(TicketNumber),
    /// Time has passed; sent at least every 250 ms.
    Tick,
}

/// What rollout control asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Read the stored state; answered by [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Write the state if the stored revision is the given one; answered by
    /// [`Event::Write`].
    Write {
        /// The state.
        state: Box<RolloutState>,
        /// The condition.
        condition: Revision,
    },
    /// Send the state to all nodes, which join it with theirs.
    Publish(Box<RolloutState>),
    /// Write the result of the ticket for this service unless it is written;
    /// answered by [`Event::ResultWritten`]. Repeated until it is.
    Finish(Box<TicketResult>),
}
