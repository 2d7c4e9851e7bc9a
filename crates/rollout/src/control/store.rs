//! Reads and conditional writes of the stored state, one call at a time.

use crate::control::event::{Action, WriteResult};
use crate::state::RolloutState;
use knapweed_world::{Revision, StoreEra, Time};
use std::time::Duration;

/// A call without an answer for this long is abandoned and the state is read
/// again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait before a failed call is repeated.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// The stored state as far as it is known, and the call in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    status: Status,
    /// The latest era of the object store that this holder has been told of.
    era: StoreEra,
    /// The last stored state that was read or written; it may be outdated.
    pub(super) state: Option<RolloutState>,
}

#[derive(Clone, Debug, Default)]
enum Status {
    /// The state must be read.
    #[default]
    Unread,
    /// The state must be read after [`RETRY_WAIT`].
    Waiting { since: Time },
    /// A read is in flight.
    Reading { since: Time },
    /// The state and its revision are known.
    Known { revision: Revision },
    /// A write is in flight.
    Writing {
        since: Time,
        proposed: Box<RolloutState>,
    },
}

/// Calls to the object store.
impl Store {
    /// Starts a read when one is needed, and abandons calls that exceed
    /// [`CALL_TIMEOUT`].
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_due = match &self.status {
            Status::Unread => true,
            Status::Waiting { since } => now.since(*since) >= RETRY_WAIT,
            Status::Reading { since } | Status::Writing { since, .. } => {
                now.since(*since) >= CALL_TIMEOUT
            }
            Status::Known { .. } => false,
        };
        if is_due {
            self.status = Status::Reading { since: now };
            out.push(Action::Read);
        }
    }

    /// Requests a conditional write. Does nothing unless [`is_known`](Self::is_known).
    pub(super) fn write(&mut self, state: RolloutState, now: Time, out: &mut Vec<Action>) {
        let Status::Known { revision } = self.status else {
            return;
        };
        let proposed = Box::new(state);
        out.push(Action::Write {
            state: proposed.clone(),
            condition: revision,
        });
        self.status = Status::Writing {
            since: now,
            proposed,
        };
    }
}

/// Answers of the object store.
impl Store {
    /// Reads the state again, because the object store came back from an older copy.
    /// Returns false when that era was known before.
    pub(super) fn restored(&mut self, era: StoreEra) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.status = Status::Unread;
        true
    }

    /// Handles the answer to a read. An unexpected answer is ignored, because a
    /// write may have followed the read. An answer of an earlier era is not what the object
    /// store holds, so the state is read again.
    pub(super) fn read(&mut self, state: Option<RolloutState>, revision: Revision) {
        if !matches!(self.status, Status::Reading { .. }) {
            return;
        }
        if revision.era < self.era {
            self.status = Status::Unread;
        } else {
            self.state = state;
            self.status = Status::Known { revision };
        }
    }

    /// Handles a failed read, which is repeated after [`RETRY_WAIT`].
    pub(super) fn read_failed(&mut self, now: Time) {
        if matches!(self.status, Status::Reading { .. }) {
            self.status = Status::Waiting { since: now };
        }
    }

    /// Handles the answer to a write; returns the state if it is now stored.
    pub(super) fn written(&mut self, answer: WriteResult, now: Time) -> Option<RolloutState> {
        let Status::Writing { proposed, .. } = std::mem::take(&mut self.status) else {
            self.status = Status::Unread;
            return None;
        };
        match answer {
            // The object store may have lost this write since.
            WriteResult::Written(revision) if revision.era < self.era => None,
            WriteResult::Written(revision) => {
                self.state = Some((*proposed).clone());
                self.status = Status::Known { revision };
                Some(*proposed)
            }
            WriteResult::Conflict => None,
            WriteResult::Unknown => {
                self.status = Status::Waiting { since: now };
                None
            }
        }
    }
}

/// Queries of the status.
impl Store {
    /// Whether the stored state is known and no call is in flight.
    pub(super) fn is_known(&self) -> bool {
        matches!(self.status, Status::Known { .. })
    }
}
