//! The order of queued requests.

use knapweed_world::{Rank, Time};

/// Whether a queued request can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    OnTime,
    Late,
}

/// Position of a queued request; lower positions run first.
///
/// The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    pub(super) class: Class,
    pub(super) rank: Rank,
    /// Virtual start time of the fair queueing.
    pub(super) turn: u64,
    pub(super) objective: Time,
    pub(super) arrival: u64,
}

/// Lower bound of the positions of late requests.
pub(super) const FIRST_LATE: QueuePosition = QueuePosition {
    class: Class::Late,
    rank: Rank(0),
    turn: 0,
    objective: Time(0),
    arrival: 0,
};
