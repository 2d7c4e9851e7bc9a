//! The state of a rollout and its monotone join.

use crate::result::PullBackReason;
use crate::shares;
use crate::{Evidence, Outcome, TicketResult};
use knapweed_world::config::{RolloutTerms, VersionShare};
use knapweed_world::{Name, Share, TicketNumber, UnixMillis};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Counts the changes of a rollout's state.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

/// Where a rollout stands. Shares are the part of the move that is done.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// New servers start; no traffic has moved.
    Warming,
    /// Traffic moves; this share has.
    Ramping(Share),
    /// No forward steps; this share has moved.
    Holding(Share),
    /// All traffic has moved.
    Completed,
    /// All traffic is back at the old versions.
    PulledBack(PullBackReason),
}

impl Phase {
    /// The part of the move that is done.
    pub fn progress(&self) -> Share {
        match self {
            Self::Warming | Self::PulledBack(_) => Share::NONE,
            Self::Ramping(share) | Self::Holding(share) => *share,
            Self::Completed => Share::ALL,
        }
    }

    /// Whether the rollout has ended.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::PulledBack(_))
    }

    fn rank(&self) -> u8 {
        match self {
            Self::Warming | Self::Ramping(_) | Self::Holding(_) => 0,
            Self::Completed => 1,
            Self::PulledBack(_) => 2,
        }
    }
}

/// State of the rollout of one service by one ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutState {
    /// The service.
    pub service: Name,
    /// The ticket.
    pub ticket: TicketNumber,
    /// Number of this state within the ticket.
    pub epoch: Epoch,
    /// Where the rollout stands.
    pub phase: Phase,
    /// When the phase began.
    pub changed: UnixMillis,
    /// Terms; `from` holds the shares in force when this rollout began.
    pub terms: RolloutTerms,
    /// Shares at the end of the move.
    pub target: Vec<VersionShare>,
    /// Versions that the superseded rollout moved away from. A move to only
    /// these is a return to versions that are known and warm, and needs no test.
    pub proven: Vec<Name>,
    /// Whether the end of the rollout is the result of the ticket. It is not for
    /// a ticket without a rollout, whose result its acceptance states.
    pub has_result: bool,
    /// Counts so far.
    pub evidence: Evidence,
    /// Results of earlier tickets that are possibly not written yet.
    pub owed: Vec<TicketResult>,
}

/// Join.
impl RolloutState {
    /// The state that wins: higher ticket; then pulled back over completed over
    /// the others; then higher epoch. Contents decide between states that are
    /// equal in these, so that the join is commutative in any case.
    pub fn join(self, other: Self) -> Self {
        match self.order(&other) {
            Ordering::Less => other,
            Ordering::Equal | Ordering::Greater => self,
        }
    }

    /// The order that [`join`](Self::join) takes the maximum of.
    pub fn order(&self, other: &Self) -> Ordering {
        let rank = |s: &Self| (s.ticket, s.phase.rank(), s.epoch);
        rank(self)
            .cmp(&rank(other))
            .then_with(|| self.contents().cmp(&other.contents()))
    }

    fn contents(&self) -> impl Ord + '_ {
        let shares = |list: &[VersionShare]| -> Vec<(Name, Share)> {
            list.iter().map(|s| (s.version.clone(), s.share)).collect()
        };
        let terms = &self.terms;
        let times = (terms.start, terms.deadline, self.changed);
        let limits = (terms.min_old_capacity, terms.caution);
        let moves = (shares(&terms.from), shares(&self.target), &self.proven);
        let known = (&self.phase, &self.evidence, &self.owed, &self.service);
        let known = (known, self.has_result);
        (known, times, limits, moves)
    }
}

/// Access.
impl RolloutState {
    /// The shares that proxies apply.
    pub fn shares(&self) -> Vec<VersionShare> {
        shares::between(&self.terms.from, &self.target, self.phase.progress())
    }

    /// Versions under test.
    pub fn new_versions(&self) -> Vec<Name> {
        shares::growing(&self.terms.from, &self.target)
    }

    /// Versions that the new ones are compared with.
    pub fn old_versions(&self) -> Vec<Name> {
        shares::baseline(&self.terms.from, &self.target)
    }

    /// Whether the rollout goes on and ends at `target`.
    pub fn is_moving_to(&self, target: &[VersionShare]) -> bool {
        !self.phase.is_final() && self.target == target
    }

    /// Whether the move only returns to proven versions.
    pub fn is_return(&self) -> bool {
        let new = self.new_versions();
        new.iter().all(|v| self.proven.contains(v))
    }

    /// The result, when the rollout has ended and states the ticket's result.
    pub fn result(&self) -> Option<TicketResult> {
        let at = self.changed;
        let outcome = match &self.phase {
            Phase::Completed => Outcome::Completed {
                at,
                late: at > self.terms.deadline,
            },
            Phase::PulledBack(reason) => Outcome::PulledBack {
                at,
                reason: reason.clone(),
            },
            Phase::Warming | Phase::Ramping(_) | Phase::Holding(_) => return None,
        };
        self.has_result.then(|| self.ended(outcome))
    }

    /// The result with a given outcome.
    pub fn ended(&self, outcome: Outcome) -> TicketResult {
        TicketResult {
            ticket: self.ticket,
            service: self.service.clone(),
            outcome,
            evidence: self.evidence.clone(),
        }
    }
}

/// Change.
impl RolloutState {
    /// The next state of the same ticket.
    pub fn next(&self, phase: Phase, now: UnixMillis, evidence: &Evidence) -> Self {
        Self {
            epoch: Epoch(self.epoch.0 + 1),
            phase,
            changed: now,
            evidence: evidence.clone(),
            ..self.clone()
        }
    }
}
