//! Messages that waited while this node was paused.

use super::PAUSE_THRESHOLD;
use knapweed_world::Time;
use std::time::Duration;

/// Time after a pause within which a node has handled the messages that arrived during it.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// How long a message may have waited on this node before it is handled.
///
/// A process that was stopped, or did not get the processor, finds the messages of that time in
/// its queues, and cannot tell them from those that have just arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Length of the last pause, with those shortly before it.
    pause: Duration,
    /// Time until which messages from the pause may be handled.
    until: Time,
}

impl Backlog {
    /// Handles the time between two events of this node, which has timers that run out
    /// more often than [`PAUSE_THRESHOLD`].
    pub(super) fn event(&mut self, last_event: Time, now: Time) {
        let gap = now.since(last_event);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        let has_backlog = last_event < self.until;
        self.pause = match has_backlog {
            true => self.pause.saturating_add(gap),
            false => gap,
        };
        self.until = now.after(BACKLOG_TIME);
    }

    /// The earliest time at which a message that is handled now can have arrived.
    pub(super) fn arrived_at(&self, now: Time) -> Time {
        match now < self.until {
            true => now.before(self.pause),
            false => now,
        }
    }
}
