//! Events that rollout control handles and actions that it requests.

use crate::{RolloutState, TicketResult, ZoneCapacity, ZoneReport};
use knapweed_world::config::ServiceConfig;
use knapweed_world::{Revision, StoreEra, TicketNumber};
use serde::{Deserialize, Serialize};

/// The answer to a write of the state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteResult {
    /// The state was written and now has this revision.
    Written(Revision),
    /// The stored revision was another one; nothing was written.
    Conflict,
    /// Refused or not answered: the state may have been written.
    Unknown,
}

/// Input of rollout control.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The accepted configuration of the service, sent initially and after each
    /// change.
    Config(ServiceConfig),
    /// Ready servers per availability zone and version. Reports are expected from
    /// all zones in the list, including those that are partitioned.
    Capacity(Vec<ZoneCapacity>),
    /// A report of counters from an availability zone.
    Report(ZoneReport),
    /// A copy of the state received from a node.
    Seen(RolloutState),
    /// The reports so far contain the totals of all hosts with servers of the service.
    AllReported,
    /// The stored state was read.
    Read {
        /// The stored state; `None` if there is none.
        state: Option<RolloutState>,
        /// Revision of the stored state, or number 0 in the era of the read.
        revision: Revision,
    },
    /// The stored state could not be read.
    ReadFailed,
    /// A write of the state was answered.
    Write(WriteResult),
    /// The result of a ticket is stored, by this or an earlier write.
    ResultWritten(TicketNumber),
    /// The result of a ticket is no longer stored.
    ResultMissing(TicketNumber),
    /// The object store came back from an older copy and began this era. The state and the
    /// results may be older there, or absent.
    StoreRestored(StoreEra),
    /// Timer event; sent at least every 250 ms.
    Tick,
}

/// Output of rollout control.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Read the stored state; answered by [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Write the state if the stored revision is the given one; answered by
    /// [`Event::Write`].
    Write {
        /// The state to store.
        state: Box<RolloutState>,
        /// The revision that the stored state must have.
        condition: Revision,
    },
    /// Send the state to all nodes, which join it with their copies.
    Publish(Box<RolloutState>),
    /// Write the result of the ticket for this service unless one is stored;
    /// answered by [`Event::ResultWritten`]. Repeated until that answer arrives.
    Finish(Box<TicketResult>),
}
