//! What the operator knows of the tickets that it has filed, and of the losses of the store.

use std::time::{Duration, Instant};

/// Time within which a configuration is in force on every reachable node after its acceptance
/// (bound B1 of the design page).
pub const APPLY_TIME: Duration = Duration::from_secs(3);

/// A loss of the store: all tickets above the last one of the copy are gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Loss {
    at: Instant,
    copied: u64,
}

/// The tickets of a run, which are numbered from 1 and filed in this order.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// Each acceptance of a ticket, also those after a loss.
    acceptances: Vec<(u64, Instant)>,
    losses: Vec<Loss>,
    /// The last ticket in the store.
    stored: u64,
    /// The last ticket in the copy of the store.
    copied: u64,
    /// The newest ticket that was accepted at any time.
    newest: u64,
    /// The newest ticket that the operator wants to file.
    wanted: u64,
    /// Refusals of tickets, one line each.
    refusals: Vec<String>,
}

/// Changes.
impl Tickets {
    /// Records that the operator wants to file the next ticket until it is accepted.
    pub fn want_next(&mut self) {
        self.wanted = self.wanted.max(self.next());
    }

    /// Records that the next ticket was accepted.
    pub fn accept_next(&mut self, now: Instant) {
        self.stored += 1;
        self.newest = self.newest.max(self.stored);
        self.acceptances.push((self.stored, now));
    }

    /// Records that a ticket was refused, although all tickets of a run are valid.
    pub fn refuse(&mut self, ticket: u64, reason: &str) {
        let line = match ticket <= self.newest {
            true => format!("ticket {ticket} was accepted and then refused: {reason}"),
            false => format!("ticket {ticket} was refused: {reason}"),
        };
        self.refusals.push(line);
    }

    /// Records that the store was copied.
    pub fn back_up(&mut self) {
        self.copied = self.stored;
    }

    /// Records that the store comes back from the copy.
    pub fn restore(&mut self, now: Instant) {
        let copied = self.copied;
        self.losses.push(Loss { at: now, copied });
        self.stored = copied;
    }
}

/// Queries.
impl Tickets {
    /// The ticket to file next: the first one that the store has lost, else a new one.
    pub fn next(&self) -> u64 {
        self.stored + 1
    }

    /// The newest ticket that was accepted at any time.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether the operator wants to file a ticket: a new one, or one that the store has lost.
    pub fn is_wanted(&self) -> bool {
        self.stored < self.wanted.max(self.newest)
    }

    /// Number of losses of the store.
    pub fn losses(&self) -> usize {
        self.losses.len()
    }

    /// Refusals of tickets, one line each.
    pub fn refusals(&self) -> &[String] {
        &self.refusals
    }

    /// Whether a configuration without `ticket` may be in force at some time from `start` to `end`:
    /// the ticket was not accepted [`APPLY_TIME`] before, or the store has lost it since.
    pub fn may_lack(&self, ticket: u64, start: Instant, end: Instant) -> bool {
        let lost_at = self.last_loss(ticket, end).map(|loss| loss.at);
        let is_settled = self.acceptances.iter().any(|(accepted, at)| {
            *accepted == ticket && *at + APPLY_TIME <= start && lost_at.is_none_or(|l| l < *at)
        });
        !is_settled
    }

    /// Whether a process that has just started may serve a version below `version` at `at`: the store
    /// has lost this version and may not have it again.
    pub fn may_restart_below(&self, version: u64, at: Instant) -> bool {
        self.last_loss(version, at).is_some() && self.may_lack(version, at, at)
    }

    fn last_loss(&self, ticket: u64, until: Instant) -> Option<Loss> {
        let losses = self.losses.iter().rev().copied();
        let mut losses = losses.filter(|loss| loss.copied < ticket && loss.at <= until);
        losses.next()
    }
}
